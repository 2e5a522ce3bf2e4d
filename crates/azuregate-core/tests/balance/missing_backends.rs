//! Rows of backend servers that expire during an outage of the store.

use azuregate_core::{balance::MissingBackends, names::BackendId};

fn id() -> BackendId {
    BackendId::new("server-1")
}

#[test]
fn removal_outside_an_outage_is_immediate() {
    assert!(MissingBackends::default().mark_missing(&id(), 5_000));
}

/// Returns the state after an outage that ended at 10 s, with one row missing.
fn missing_since_outage() -> MissingBackends {
    let mut backends = MissingBackends::default();
    backends.mark_store_unreachable();
    assert!(backends.mark_store_reachable(10_000));
    assert!(!backends.mark_missing(&id(), 10_100));
    backends
}

#[test]
fn missing_row_is_kept_for_the_grace_period() {
    let mut backends = missing_since_outage();
    assert!(backends.take_expired(false, 11_999).is_empty());
    assert_eq!(backends.take_expired(false, 12_000), [id()].into());
    assert!(backends.take_expired(false, 12_001).is_empty());
}

#[test]
fn rewritten_row_is_kept() {
    let mut backends = missing_since_outage();
    backends.mark_present("server-1");
    assert!(backends.take_expired(false, 13_000).is_empty());
}

/// Guards against requests to servers that left while only this instance was cut off from the
/// store.
#[test]
fn missing_row_expires_if_another_instance_had_the_store() {
    let mut backends = missing_since_outage();
    assert_eq!(backends.take_expired(true, 10_200), [id()].into());
    assert!(backends.mark_missing(&id(), 10_300));
}

//! Rows that run out while the store is away.

use azuregate_core::{balance::Lapsed, names::BackendId};

fn id() -> BackendId {
    BackendId::new("server-1")
}

#[test]
fn a_row_that_is_removed_in_calm_is_gone() {
    assert!(Lapsed::default().is_gone(&id(), 5_000));
}

/// The store was away and is back at 10 s; the row is missing.
fn missing() -> Lapsed {
    let mut lapsed = Lapsed::default();
    lapsed.store_lost();
    assert!(lapsed.store_regained(10_000));
    assert!(!lapsed.is_gone(&id(), 10_100));
    lapsed
}

#[test]
fn a_row_that_ran_out_is_believed_for_two_seconds() {
    let mut lapsed = missing();
    assert!(lapsed.take_gone(false, 11_999).is_empty());
    assert_eq!(lapsed.take_gone(false, 12_000), [id()].into());
    assert!(lapsed.take_gone(false, 12_001).is_empty());
}

#[test]
fn a_row_that_is_back_is_not_gone() {
    let mut lapsed = missing();
    lapsed.is_back("server-1");
    assert!(lapsed.take_gone(false, 13_000).is_empty());
}

/// This instance alone was cut off from the store: another had it all the time, so
/// rows that are missing were removed, and their servers are leaving.
#[test]
fn a_row_is_gone_if_another_instance_had_the_store() {
    let mut lapsed = missing();
    assert_eq!(lapsed.take_gone(true, 10_200), [id()].into());
    assert!(lapsed.is_gone(&id(), 10_300));
}

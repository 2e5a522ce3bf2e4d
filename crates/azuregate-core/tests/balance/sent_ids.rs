//! Connections that carry each request ID once.

use azuregate_core::balance::SentIds;
use proptest::{collection::vec, prelude::*};

/// Requests after which a connection must have been closed, so that its memory is bounded.
const MAX_REQUESTS: usize = 1_000;

proptest! {
    /// Guards against a connection that carries an ID twice, however many others came between.
    #[test]
    fn connection_carries_each_id_once(ids in vec("[a-c]{1,3}", 0..200)) {
        let mut sent = SentIds::default();
        let mut carried = Vec::new();
        for id in ids {
            if sent.allows(id.as_bytes()) {
                prop_assert!(!carried.contains(&id), "{id} twice");
                sent.insert(id.as_bytes());
                carried.push(id);
            }
        }
        prop_assert_eq!(sent.count(), carried.len());
    }
}

/// Guards against unbounded memory of a connection, and against closing it after a few requests.
#[test]
fn connection_is_closed_after_many_requests() {
    let mut sent = SentIds::default();
    let count = (0..MAX_REQUESTS)
        .take_while(|number| {
            let id = format!("r{number}");
            let is_allowed = sent.allows(id.as_bytes());
            sent.insert(id.as_bytes());
            is_allowed
        })
        .count();
    assert!((100..MAX_REQUESTS).contains(&count), "{count} requests");
    assert!(sent.is_full());
}

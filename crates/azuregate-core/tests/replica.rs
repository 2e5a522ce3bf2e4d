//! Replicas of the store's tables, and the tracking of their freshness.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

use std::collections::BTreeMap;

use azuregate_core::{
    names::InstanceId,
    replica::{Changes, FreshnessTracker, Replica, Row, SourceReport, StaleRead},
};
use proptest::prelude::*;

fn row(key: &str, value: &str, version: u64) -> Row {
    Row { key: key.to_owned(), value: Some(value.to_owned()), is_removed: false, version }
}

fn removal(key: &str, version: u64) -> Row {
    Row { key: key.to_owned(), value: None, is_removed: true, version }
}

fn partial(rows: Vec<Row>, version: u64) -> Changes {
    Changes { is_whole: false, rows, version }
}

/// The rows of a replica that are not removed, by key.
fn live_rows(replica: &Replica) -> BTreeMap<String, String> {
    let rows = replica.changes_since(0).rows.into_iter();
    rows.map(|row| (row.key, row.value.unwrap())).collect()
}

/// A lagging source sends an older state, as changes and as the whole table. It must
/// not restore a server that was removed.
#[test]
fn lagging_source_does_not_restore_removed_rows() {
    let mut replica = Replica::default();
    replica.replace(vec![row("a", "ready", 3)], 3).unwrap();
    replica.apply(partial(vec![removal("a", 5)], 5));
    assert_eq!(replica.apply(partial(vec![row("a", "ready", 3)], 4)), []);
    let whole = Changes { is_whole: true, rows: vec![row("a", "ready", 3)], version: 4 };
    assert_eq!(replica.apply(whole), []);
    let stale = replica.replace(vec![row("a", "ready", 3)], 4);
    assert_eq!(stale, Err(StaleRead { version: 4, known_version: 5 }));
    assert!(live_rows(&replica).is_empty());
}

#[test]
fn replace_removes_missing_rows() {
    let mut replica = Replica::default();
    replica.replace(vec![row("a", "1", 1), row("b", "1", 2)], 2).unwrap();
    let changed = replica.replace(vec![row("b", "1", 2), row("c", "1", 7)], 9).unwrap();
    assert_eq!(changed, [removal("a", 9), row("c", "1", 7)]);
    // A follower at version 2 gets both changes.
    let missing = replica.changes_since(2);
    assert_eq!((missing.is_whole, missing.rows.len(), missing.version), (false, 2, 9));
}

/// Guards against a follower that keeps a row whose removal was dropped.
#[test]
fn follower_behind_compaction_gets_the_whole_table() {
    let mut source = Replica::default();
    source.replace(vec![row("a", "1", 1)], 1).unwrap();
    let mut follower = source.clone();
    for version in 2..1_000 {
        let key = format!("k{version}");
        source.apply(partial(vec![row(&key, "1", version * 2)], version * 2));
        source.apply(partial(vec![removal(&key, version * 2 + 1)], version * 2 + 1));
    }
    source.apply(partial(vec![removal("a", 3_000), row("b", "1", 3_001)], 3_001));
    let missing = source.changes_since(follower.version());
    assert!(missing.is_whole);
    follower.apply(missing);
    assert_eq!(live_rows(&follower), live_rows(&source));
    assert!(!source.changes_since(2_990).is_whole);
}

/// Changes of a table: a key, and whether it is written or removed.
fn history() -> impl Strategy<Value = Vec<(u8, bool)>> {
    prop::collection::vec((0..6_u8, any::<bool>()), 1..60)
}

proptest! {
    /// Guards against a follower that goes back to an older version or ends with other
    /// rows than the store, whichever source it hears first, with reconnects in
    /// between.
    #[test]
    fn follower_of_two_sources_converges(
        history in history(),
        reads in prop::collection::vec((0..2_usize, any::<bool>(), any::<bool>()), 1..80),
    ) {
        let mut store = Replica::default();
        store.replace(Vec::new(), 1).unwrap();
        let mut sources = [store.clone(), store.clone()];
        let mut follower = store.clone();
        let mut sent = [1, 1];
        let mut changes = history.into_iter().zip(2_u64..);
        for (source, reads, reconnects) in reads {
            if let Some(((key, is_written), version)) = changes.next() {
                let key = key.to_string();
                let change = if is_written { row(&key, "x", version) } else { removal(&key, version) };
                store.apply(partial(vec![change], version));
            }
            if reads {
                let missing = store.changes_since(sources[source].version());
                sources[source].apply(missing);
            }
            if reconnects {
                sent[source] = follower.version();
            }
            let before = follower.version();
            follower.apply(sources[source].changes_since(sent[source]));
            sent[source] = sent[source].max(sources[source].version());
            prop_assert!(follower.version() >= before);
        }
        sources[0].apply(store.changes_since(sources[0].version()));
        follower.apply(sources[0].changes_since(sent[0]));
        prop_assert_eq!(live_rows(&follower), live_rows(&store));
    }
}

/// Guards against an instance that relies for too long on a source that has lost the
/// store, stopped responding, or reports old data.
#[test]
fn source_goes_stale_within_the_propagation_limit() {
    let name = InstanceId::new("entry-1");
    let report =
        |requested_at_ms, held_ms, age_ms| Some(SourceReport { requested_at_ms, held_ms, age_ms });
    let just_received = |age_ms| report(10_000, 0, age_ms);
    let cases = [
        ("just received", just_received(0), 10_000, true),
        ("held back by the source", report(9_700, 300, 0), 11_199, true),
        ("long in transit", report(8_600, 200, 0), 10_000, false),
        ("the data of the source was old", just_received(1_300), 10_000, false),
        ("no report for a while", just_received(0), 11_199, true),
        ("no report for too long", just_received(0), 11_200, false),
        ("old data and no report", just_received(800), 10_400, false),
        ("the source has lost the store", None, 10_000, false),
    ];
    let is_still_fresh = |now_ms: u64| now_ms < 11_200;
    for (case, report, now_ms, is_fresh) in cases {
        let mut tracker = FreshnessTracker::new(2_000);
        tracker.record_report(&name, just_received(0));
        tracker.record_report(&name, report);
        assert_eq!(tracker.has_fresh_source(now_ms), is_fresh, "{case}");
        // What was received before stays known, whatever becomes of its source.
        assert_eq!(tracker.is_fresh(now_ms), is_still_fresh(now_ms), "{case}");
        assert_eq!(tracker.age_ms(now_ms), Some(now_ms - 10_000), "{case}");
    }
}

#[test]
fn direct_watch_keeps_data_fresh_without_sources() {
    let mut tracker = FreshnessTracker::new(3_000);
    tracker.record_answer(10_000);
    assert!(tracker.is_fresh(11_000) && !tracker.has_fresh_source(11_000));
    assert!(tracker.poll_wait_ms() < tracker.staleness_limit_ms(), "an idle watch stays fresh");
    // An instance that starts to watch for want of a source stays fresh, too.
    let watches_at_ms = (10_000..).find(|&now_ms| tracker.needs_direct_watch(now_ms)).unwrap();
    assert!(watches_at_ms >= 10_500, "an instance that has just started waits for sources");
    assert!(tracker.is_fresh(watches_at_ms + tracker.fallback_poll_wait_ms()));
    tracker.record_failure(11_000);
    assert!(tracker.is_fresh(11_799) && !tracker.is_fresh(11_800));
}

/// Guards against an instance that loses freshness between dropping its sources and the
/// first response to its own watch. It would alternate between watching and following,
/// and use removed servers each time.
#[test]
fn data_stays_fresh_from_last_source_to_direct_watch() {
    let name = InstanceId::new("entry-1");
    let mut tracker = FreshnessTracker::new(2_000);
    tracker.record_report(
        &name,
        Some(SourceReport { requested_at_ms: 10_000, held_ms: 0, age_ms: 200 }),
    );
    tracker.remove_source(&name);
    assert!(tracker.is_fresh(10_900) && tracker.can_watch(10_900));
    assert!(!tracker.has_fresh_direct_watch(10_900) && tracker.needs_direct_watch(10_900));
    tracker.record_answer(10_950);
    assert!(tracker.has_fresh_direct_watch(12_100) && tracker.can_watch(12_100));
}

/// Guards against choosing an instance that cannot reach the store itself as a source
/// for others.
#[test]
fn instance_with_recent_failure_does_not_watch_for_others() {
    let name = InstanceId::new("entry-1");
    let mut tracker = FreshnessTracker::new(2_000);
    tracker.record_failure(10_000);
    for requested_at_ms in [10_100, 14_900, 15_100] {
        tracker.record_report(&name, Some(SourceReport { requested_at_ms, held_ms: 0, age_ms: 0 }));
        assert!(tracker.is_fresh(requested_at_ms));
        assert_eq!(tracker.can_watch(requested_at_ms), requested_at_ms >= 15_000);
    }
}

/// Guards against two instances that follow each other and keep each other fresh after
/// both have lost the store.
#[test]
fn cycle_of_sources_goes_stale() {
    let name = InstanceId::new("other");
    let mut cycle = [FreshnessTracker::new(2_000), FreshnessTracker::new(2_000)];
    cycle.iter_mut().for_each(|tracker| tracker.record_answer(10_000));
    for requested_at_ms in (10_000..12_000).step_by(100) {
        for (requester, responder) in [(0, 1), (1, 0)] {
            let age_ms = cycle[responder].age_ms(requested_at_ms + 50).unwrap();
            cycle[requester]
                .record_report(&name, Some(SourceReport { requested_at_ms, held_ms: 50, age_ms }));
        }
    }
    assert!(cycle.iter().all(|tracker| !tracker.is_fresh(11_200)));
}

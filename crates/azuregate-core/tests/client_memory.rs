//! Tests of the account of what clients hold.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

use azuregate_core::client_memory::{
    ACTIVE_BYTES, Account, Activity, CONNECTION_BYTES, Decision, HolderId, Limits, MAX_WAIT_MS,
    Refused, STALL_MS,
};

const MIB: usize = 1 << 20;
const SEGMENT_BYTES: usize = 64 << 10;

fn account(total_mib: usize, connections: usize) -> Account {
    let total_bytes = total_mib * MIB;
    Account::new(Limits { total_bytes, large_bytes: total_bytes / 4 * 3, connections })
}

/// Opens a connection that receives a body and holds `bytes` of it.
fn body(account: &mut Account, bytes: usize, now_ms: u64) -> HolderId {
    let id = account.open(now_ms).unwrap();
    account.begin_body(id, now_ms);
    for _ in 0..bytes / SEGMENT_BYTES {
        assert_eq!(account.reserve_body(id, SEGMENT_BYTES, 0, now_ms), Decision::Granted);
    }
    id
}

#[test]
fn limits_leave_memory_to_the_process() {
    // Memory in MiB, descriptors; memory for clients in MiB, connections.
    let rows = [
        (96, 500, 52, 150),
        (160, 4_100, 108, 1_950),
        (260, 4_100, 195, 1_950),
        (512, 8_192, 416, 3_996),
        (16, 100, 8, 16),
    ];
    for (memory_mb, max_fds, total_mib, connections) in rows {
        let limits = Limits::of_machine(memory_mb, max_fds);
        assert_eq!((limits.total_bytes / MIB, limits.connections), (total_mib, connections));
    }
}

/// Guards against a share for large bodies that is smaller than the largest one.
#[test]
fn largest_body_fits() {
    let limits = Limits::of_machine(160, 4_100).with_largest_body(100 * MIB);
    assert!(limits.large_bytes > 100 * MIB);
    let limits = Limits::of_machine(160, 4_100).with_largest_body(1_000 * MIB);
    assert_eq!(limits.large_bytes, limits.total_bytes);
}

/// Guards against small requests that wait for memory which large bodies hold.
#[test]
fn large_bodies_leave_memory_to_small_ones() {
    let mut account = account(8, 100);
    let large = body(&mut account, 5 * MIB, 0);
    let other = body(&mut account, 0, 0);
    assert_eq!(account.reserve_body(large, MIB, 0, 0), Decision::Refused);
    assert_eq!(account.reserve_body(other, SEGMENT_BYTES, 0, 0), Decision::Granted);
}

/// Guards against refusing clients that send while others stall.
#[test]
fn body_that_stalls_gives_way() {
    let mut account = account(8, 100);
    let stalled = body(&mut account, 4 * MIB, 0);
    let sending = body(&mut account, MIB, STALL_MS);
    assert_eq!(account.reserve_body(sending, 2 * MIB, 0, STALL_MS), Decision::Evict(stalled));
    account.drop_body(stalled, STALL_MS);
    assert_eq!(account.reserve_body(sending, 2 * MIB, 0, STALL_MS), Decision::Granted);
}

/// Guards against a client that keeps its memory by sending a byte now and then.
#[test]
fn body_that_trickles_stalls() {
    let mut account = account(8, 100);
    let trickling = body(&mut account, 4 * MIB, 0);
    // Its bytes fill the last segment, so it reserves none.
    account.set_activity(trickling, Activity::Receiving, STALL_MS - 1);
    let sending = body(&mut account, MIB, STALL_MS);
    assert_eq!(account.reserve_body(sending, 2 * MIB, 0, STALL_MS), Decision::Evict(trickling));
}

/// Guards against bodies that wait for each other for ever: none waits while it holds memory.
#[test]
fn body_that_holds_memory_does_not_wait() {
    let mut account = account(8, 100);
    let holding = body(&mut account, 5 * MIB, 0);
    let new = body(&mut account, 0, 0);
    assert_eq!(account.reserve_body(holding, MIB, 0, 0), Decision::Refused);
    assert_eq!(account.reserve_body(new, MIB, 0, 0), Decision::Wait);
    assert_eq!(account.reserve_body(new, MIB, MAX_WAIT_MS - 1, 0), Decision::Wait);
    assert_eq!(account.reserve_body(new, MIB, MAX_WAIT_MS, 0), Decision::Refused);
}

/// Guards against taking a body that waits for memory for one that stalls.
#[test]
fn body_that_waits_for_memory_does_not_stall() {
    let mut account = account(8, 100);
    let holding = body(&mut account, 5 * MIB, 0);
    let waiting = body(&mut account, 0, 0);
    assert_eq!(account.reserve_body(waiting, MIB, 0, 0), Decision::Wait);
    account.touch(holding, STALL_MS);
    let new = body(&mut account, 0, STALL_MS);
    assert_eq!(account.reserve_body(new, MIB, 0, STALL_MS), Decision::Wait);
}

/// Guards against closing connections of clients that wait for an answer, or that have just got one.
#[test]
fn connections_give_way_by_what_they_wait_for() {
    // What the first of two connections waits for, and whether it gives way to a third.
    let rows = [
        (Activity::Receiving, STALL_MS - 1, false),
        (Activity::Receiving, STALL_MS, true),
        (Activity::Sending, STALL_MS, true),
        (Activity::Working, 60_000, false),
        (Activity::WaitingForMemory, 60_000, false),
        (Activity::Idle, 2 * STALL_MS - 1, false),
        (Activity::Idle, 2 * STALL_MS, true),
    ];
    for (activity, now_ms, gives_way) in rows {
        let mut account = account(8, 2);
        let [first, second] = [0, 0].map(|now_ms| account.open(now_ms).unwrap());
        account.set_activity(first, activity, 0);
        account.set_activity(second, Activity::Working, 0);
        let expected = if gives_way { Refused::Evict(first) } else { Refused::Full };
        assert_eq!(account.open(now_ms), Err(expected), "{activity:?} for {now_ms} ms");
    }
}

/// Guards against closing an idle connection in place of one that stalls.
#[test]
fn connections_that_stall_give_way_before_idle_ones() {
    let mut account = account(8, 2);
    let idle = account.open(0).unwrap();
    account.set_activity(idle, Activity::Idle, 0);
    let stalled = account.open(10_000).unwrap();
    assert_eq!(account.open(11_000), Err(Refused::Evict(stalled)));
    account.remove(stalled);
    assert!(account.open(11_000).is_ok());
    assert_eq!(account.open(11_000), Err(Refused::Evict(idle)));
}

/// Guards against an account that drifts.
#[test]
fn all_that_is_charged_is_released() {
    let mut account = account(8, 100);
    let id = body(&mut account, MIB, 0);
    account.set_active(id, true);
    account.set_active(id, true);
    assert_eq!(account.usage().bytes, CONNECTION_BYTES + ACTIVE_BYTES + MIB);
    assert_eq!(account.complete_body(id, 0), MIB);
    account.release(id, MIB);
    account.set_active(id, false);
    assert_eq!(account.usage().bytes, CONNECTION_BYTES);
    account.remove(id);
    account.remove(id);
    account.release(id, MIB);
    assert_eq!((account.usage().bytes, account.usage().connections), (0, 0));
}

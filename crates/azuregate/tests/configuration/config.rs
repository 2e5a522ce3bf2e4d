//! What the configuration takes in.

use azuregate::config::{Change, PAUSE_THRESHOLD_MS, Source};
use azuregate_core::{names::StartNumber, policy::Cap, snapshot::Readiness};

use crate::world::{JumpClock, list, policy, ready, run_pending_tasks, server, version};

// Version 5 is in force. A delayed message, a lagging read, a frame that claims
// an absurd version and a row that no operator could have made come in.
#[tokio::test(start_paused = true)]
async fn only_valid_policies_with_higher_versions_are_applied() {
    let mut invalid = policy(6);
    invalid.cap = Cap { share_ppm: 0, window_ms: 0 };
    let cases = [
        ("next, of a peer", policy(6), Source::Peer, 6),
        ("next, of the platform", policy(6), Source::Platform, 6),
        ("the same", policy(5), Source::Peer, 5),
        ("older, of a peer", policy(4), Source::Peer, 5),
        ("older, of the platform", policy(1), Source::Platform, 5),
        ("absurd", policy(u64::MAX), Source::Peer, 5),
        ("broken", invalid, Source::Peer, 5),
    ];
    for (case, sent, source, in_force) in cases {
        let (config, snapshots) = ready(&JumpClock::start(), list(&[]));
        config.change(Change::Policy(Box::new(sent), source));
        run_pending_tasks().await;
        assert_eq!(version(&snapshots), in_force, "{case}");
    }
}

// The process is paused. Requests that waited in its sockets run before any task
// notices; then the membership's task does, and at last the platform is read.
#[tokio::test(start_paused = true)]
async fn after_a_pause_the_snapshot_is_not_ready_until_confirmed() {
    let clock = JumpClock::start();
    let (config, snapshots) = ready(&clock, list(&[]));
    config.change(Change::WatchdogTick(1_000));
    run_pending_tasks().await;
    assert!(snapshots.current().ready);

    clock.jump(PAUSE_THRESHOLD_MS + 1);
    let after_pause = snapshots.current();
    assert_eq!((after_pause.ready, after_pause.readiness), (false, Readiness::Woken));

    config.change(Change::PauseDetected);
    config.change(Change::WatchdogTick(1_000 + PAUSE_THRESHOLD_MS + 1));
    run_pending_tasks().await;
    assert!(!snapshots.current().ready, "running again is no confirmation");

    config.change(Change::Confirmed);
    run_pending_tasks().await;
    assert_eq!(snapshots.current().readiness, Readiness::Platform);
}

// Servers close fresh connections one after the other. The first two of four are
// taken to be leaving; more than half of a service never are by this sign, since
// then it is their habit.
#[tokio::test(start_paused = true)]
async fn closed_connections_mark_at_most_half_of_a_service_as_leaving() {
    let (config, snapshots) = ready(&JumpClock::start(), list(&[]));
    for index in 0..4 {
        config.change(Change::ConnectionClosed(server(index).id, StartNumber(1)));
    }
    run_pending_tasks().await;
    let snapshot = snapshots.current();
    let leaving: Vec<_> = snapshot.leaving.iter().map(|(id, _)| id.as_str()).collect();
    assert_eq!(leaving, ["desk-0", "desk-1"]);
}

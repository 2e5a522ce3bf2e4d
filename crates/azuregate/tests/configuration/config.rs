//! Tests which changes the configuration applies.

use azuregate::config::{Change, PAUSE_THRESHOLD_MS, Source};
use azuregate_core::{names::StartNumber, policy::Cap, snapshot::Readiness};

use crate::world::{JumpClock, list, policy, ready, run_pending_tasks, server, version};

// Delayed messages, lagging reads and corrupt frames must not replace version 5.
#[tokio::test(start_paused = true)]
async fn only_valid_policies_with_higher_versions_are_applied() {
    let mut invalid = policy(6);
    invalid.cap = Cap { share_ppm: 0, window_ms: 0 };
    let cases = [
        ("next version from a peer", policy(6), Source::Peer, 6),
        ("next version from the platform", policy(6), Source::Platform, 6),
        ("same version", policy(5), Source::Peer, 5),
        ("older version from a peer", policy(4), Source::Peer, 5),
        ("older version from the platform", policy(1), Source::Platform, 5),
        ("much higher version from a peer", policy(u64::MAX), Source::Peer, 5),
        ("invalid policy", invalid, Source::Peer, 5),
    ];
    for (case, sent, source, in_force) in cases {
        let (config, snapshots) = ready(&JumpClock::start(), list(&[]));
        config.change(Change::Policy(Box::new(sent), source));
        run_pending_tasks().await;
        assert_eq!(version(&snapshots), in_force, "{case}");
    }
}

// After a pause, requests that waited in the sockets must not be served with an
// outdated configuration, even before the membership task detects the pause.
#[tokio::test(start_paused = true)]
async fn after_a_pause_the_snapshot_is_not_ready_until_confirmed() {
    let clock = JumpClock::start();
    let (config, snapshots) = ready(&clock, list(&[]));
    config.change(Change::WatchdogTick(1_000));
    run_pending_tasks().await;
    assert!(snapshots.current().ready);

    clock.jump(PAUSE_THRESHOLD_MS + 1);
    let after_pause = snapshots.current();
    assert_eq!((after_pause.ready, after_pause.readiness), (false, Readiness::Resumed));

    config.change(Change::PauseDetected);
    config.change(Change::WatchdogTick(1_000 + PAUSE_THRESHOLD_MS + 1));
    run_pending_tasks().await;
    assert!(!snapshots.current().ready, "a watchdog tick is not a confirmation");

    config.change(Change::Confirmed);
    run_pending_tasks().await;
    assert_eq!(snapshots.current().readiness, Readiness::Platform);
}

// If most servers of a service close new connections, they must not all be taken to
// be leaving.
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

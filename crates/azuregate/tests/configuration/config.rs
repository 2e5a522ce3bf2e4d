//! What the configuration takes in.

use azuregate::config::{Change, PAUSE_MS, Source};
use azuregate_core::{names::StartNumber, policy::Cap, snapshot::Readiness};

use crate::world::{JumpClock, list, policy, ready, server, settle, version};

// Version 5 is in force. A delayed message, a lagging read, a frame that claims
// an absurd version and a row that no operator could have made come in.
#[tokio::test(start_paused = true)]
async fn versions_only_go_up_and_only_by_sound_policies() {
    let mut broken = policy(6);
    broken.cap = Cap { share_ppm: 0, window_ms: 0 };
    let cases = [
        ("next, of a peer", policy(6), Source::Peer, 6),
        ("next, of the platform", policy(6), Source::Platform, 6),
        ("the same", policy(5), Source::Peer, 5),
        ("older, of a peer", policy(4), Source::Peer, 5),
        ("older, of the platform", policy(1), Source::Platform, 5),
        ("absurd", policy(u64::MAX), Source::Peer, 5),
        ("broken", broken, Source::Peer, 5),
    ];
    for (case, sent, source, in_force) in cases {
        let (config, snapshots) = ready(&JumpClock::start(), list(&[]));
        config.change(Change::Policy(Box::new(sent), source));
        settle().await;
        assert_eq!(version(&snapshots), in_force, "{case}");
    }
}

// The process is paused. Requests that waited in its sockets run before any task
// notices; then the membership's task does, and at last the platform is read.
#[tokio::test(start_paused = true)]
async fn after_a_pause_nothing_is_served_until_confirmed() {
    let clock = JumpClock::start();
    let (config, snapshots) = ready(&clock, list(&[]));
    config.change(Change::Beat(1_000));
    settle().await;
    assert!(snapshots.current().ready);

    clock.jump(PAUSE_MS + 1);
    let woken = snapshots.current();
    assert_eq!((woken.ready, woken.readiness), (false, Readiness::Resumed));

    config.change(Change::Woken);
    config.change(Change::Beat(1_000 + PAUSE_MS + 1));
    settle().await;
    assert!(!snapshots.current().ready, "running again is no confirmation");

    config.change(Change::Confirmed);
    settle().await;
    assert_eq!(snapshots.current().readiness, Readiness::Platform);
}

// Servers close fresh connections one after the other. The first two of four are
// taken to be leaving; more than half of a service never are by this sign, since
// then it is their habit.
#[tokio::test(start_paused = true)]
async fn closing_is_a_sign_only_while_most_stay() {
    let (config, snapshots) = ready(&JumpClock::start(), list(&[]));
    for index in 0..4 {
        config.change(Change::Closed(server(index).id, StartNumber(1)));
    }
    settle().await;
    let snapshot = snapshots.current();
    let leaving: Vec<_> = snapshot.leaving.iter().map(|(id, _)| id.as_str()).collect();
    assert_eq!(leaving, ["desk-0", "desk-1"]);
}

//! Keyed requests whose claim is a row in the platform.

use std::time::Duration;

use azuregate::body;
use tokio::time;

use crate::{
    fake_platform::{FakePlatform, Fault},
    script::{Script, Step},
    world::{Adapter, ClientResponse, World, eventually, order, post},
};

/// Faults of the platform and the backend server during the first attempt, and the
/// responses to it and to a later retry.
struct Case {
    name: &'static str,
    faults: &'static [Fault],
    steps: &'static [Step],
    first: (u16, &'static str, &'static str),
    then: (u16, &'static str, &'static str),
    ran: usize,
}

const ANSWERED: (u16, &str, &str) = (200, "-", "-");

const CASES: &[Case] = &[
    Case {
        name: "the platform is well",
        faults: &[],
        steps: &[],
        first: ANSWERED,
        then: ANSWERED,
        ran: 1,
    },
    Case {
        name: "the claim's answer is lost after its effect",
        faults: &[Fault::AnswerLost],
        steps: &[],
        first: ANSWERED,
        then: ANSWERED,
        ran: 1,
    },
    Case {
        name: "the claim's request is lost",
        faults: &[Fault::RequestLost],
        steps: &[],
        first: ANSWERED,
        then: ANSWERED,
        ran: 1,
    },
    Case {
        name: "the claim's answer is lost each time",
        faults: &[Fault::AnswerLost, Fault::AnswerLost, Fault::AnswerLost],
        steps: &[],
        first: (503, "unknown", "claim-unknown"),
        then: ANSWERED,
        ran: 1,
    },
    Case {
        name: "the platform is down when the claim is made",
        faults: &[Fault::Refused, Fault::Refused, Fault::Refused],
        steps: &[],
        first: (503, "unknown", "claim-not-made"),
        then: ANSWERED,
        ran: 1,
    },
    Case {
        name: "the platform is slower than the deadline",
        faults: &[Fault::Slow(400)],
        steps: &[],
        first: (503, "unknown", "claim-unknown"),
        then: ANSWERED,
        ran: 1,
    },
    Case {
        name: "the owner is paused past its deadline once it has claimed",
        faults: &[Fault::Paused(60_000)],
        steps: &[],
        first: (504, "not-run", "deadline-before-send"),
        then: ANSWERED,
        ran: 1,
    },
    Case {
        name: "the answer cannot be kept at first",
        faults: &[Fault::Ok, Fault::Refused, Fault::Refused],
        steps: &[],
        first: ANSWERED,
        then: ANSWERED,
        ran: 1,
    },
    Case {
        name: "the answer is kept, and that is not heard",
        faults: &[Fault::Ok, Fault::AnswerLost],
        steps: &[],
        first: ANSWERED,
        then: ANSWERED,
        ran: 1,
    },
    Case {
        name: "the claim cannot be given up at first",
        faults: &[Fault::Ok, Fault::Refused, Fault::AnswerLost],
        steps: &[Step::Refused, Step::Refused, Step::Refused],
        first: (503, "not-run", "backend-refused"),
        then: ANSWERED,
        ran: 1,
    },
    Case {
        name: "the backend server is lost, and that cannot be kept at first",
        faults: &[Fault::Ok, Fault::Refused],
        steps: &[Step::CutBeforeAnswer],
        first: (502, "unknown", "backend-lost"),
        then: (409, "unknown", "claim-orphaned"),
        ran: 1,
    },
];

fn status_outcome_code(seen: &ClientResponse) -> (u16, &str, &str) {
    (seen.status, &seen.outcome, &seen.code)
}

// Whatever the platform loses, a request and its retry run at most once in total, and
// a request reported as "not-run" did not run.
#[tokio::test]
async fn a_request_runs_at_most_once_under_platform_faults() {
    for case in CASES {
        let world = World::start(Adapter::Real, Script::new(case.steps)).await;
        world.platform.state().faults.extend(case.faults);
        let first = world.send(order("k", None)).await;
        let ran = world.script.state().ran;
        assert_eq!(status_outcome_code(&first), case.first, "{}", case.name);
        assert!(first.outcome != "not-run" || ran == 0, "{}", case.name);
        time::sleep(Duration::from_millis(1_200)).await;
        let then = world.send(order("k", None)).await;
        assert_eq!(status_outcome_code(&then), case.then, "{}", case.name);
        assert_eq!(world.script.state().ran, case.ran, "{}", case.name);
    }
}

// While the platform is down, requests are refused immediately and nothing runs. The
// key remains usable afterwards.
#[tokio::test]
async fn no_keyed_request_runs_while_the_platform_is_down() {
    let world = World::start(Adapter::Real, Script::new(&[])).await;
    world.platform.state().down = true;
    for _ in 0..3 {
        let seen = world.send(order("k", None)).await;
        assert_eq!(status_outcome_code(&seen), (503, "unknown", "claim-not-made"));
        assert_eq!(seen.retry_after, "1");
    }
    assert_eq!(world.script.state().ran, 0);
    world.platform.state().down = false;
    assert_eq!(world.send(order("k", None)).await.status, 200);
}

// Concurrent requests with the same key on two instances.
#[tokio::test]
async fn concurrent_requests_with_one_key_on_two_instances_run_once() {
    let platform = FakePlatform::default();
    let script = Script::new(&[Step::Slow]);
    let start = |name| World::start_with(Adapter::Real, script.clone(), platform.clone(), name);
    let worlds = [start("entry-1").await, start("entry-2").await];
    let sends = (0..20).map(|i| worlds[i % 2].send(order("k", None)));
    let seen = futures_util::future::join_all(sends).await;
    assert_eq!(script.state().ran, 1);
    assert_eq!(seen.iter().filter(|seen| seen.status == 200).count(), 1);
    let others = seen.iter().filter(|seen| seen.status != 200);
    assert!(
        others
            .into_iter()
            .all(|seen| status_outcome_code(seen) == (409, "unknown", "claim-in-progress"))
    );
    for world in &worlds {
        assert_eq!(world.send(order("k", None)).await.status, 200);
    }
    assert_eq!(script.state().ran, 1);
}

// The owner is killed after it claimed the key, so nobody knows whether the request
// ran.
#[tokio::test]
async fn an_orphaned_claim_is_never_run_again() {
    let platform = FakePlatform::default();
    let script = Script::new(&[Step::Silent]);
    let start = |name| World::start_with(Adapter::Real, script.clone(), platform.clone(), name);
    let owner = start("entry-1").await;
    let killed = owner.send(order("k", None));
    assert!(time::timeout(Duration::from_millis(30), killed).await.is_err());
    let rows = platform.state().rows.clone();
    let row = rows.values().next().unwrap();
    assert!(row.value["settled"].is_null());
    time::sleep(Duration::from_millis(2)).await;
    for (name, code) in [("entry-1", "claim-orphaned"), ("entry-2", "claim-in-progress")] {
        let seen = start(name).await.send(order("k", None)).await;
        assert_eq!(status_outcome_code(&seen), (409, "unknown", code), "{name}");
    }
    let later = start("entry-2").await;
    later.clock.advance(60_000);
    let seen = later.send(order("k", None)).await;
    assert_eq!(status_outcome_code(&seen), (409, "unknown", "claim-orphaned"));
    assert_eq!(script.state().ran, 1);
}

#[tokio::test]
async fn a_key_identifies_one_request() {
    let world = World::start(Adapter::Real, Script::new(&[])).await;
    world.send(order("k", None)).await;
    let others = [("/orders", "two starters"), ("/holds", "one starter")];
    for (path, body) in others {
        let other = post(path).header("idempotency-key", "k").body(body::full(body)).unwrap();
        let seen = world.send(other).await;
        assert_eq!(status_outcome_code(&seen), (422, "not-run", "claim-mismatch"), "{path} {body}");
    }
    assert_eq!(world.script.state().ran, 1);
}

// A small response is stored in the row, a larger one as an object. One that is too
// large is streamed only, and a retry learns that the request ran.
#[tokio::test]
async fn responses_are_stored_by_size() {
    let cases = [(5, 0, 200, "-"), (100_000, 1, 200, "-"), (2 << 20, 0, 409, "answer-not-kept")];
    for (answer_bytes, objects, status, code) in cases {
        let world = World::start(Adapter::Real, Script::new(&[])).await;
        world.script.state().answer_bytes = answer_bytes;
        let first = world.send(order("k", None)).await;
        assert_eq!(first.body.as_ref().map(Vec::len), Some(answer_bytes));
        let then = world.send(order("k", None)).await;
        assert_eq!((then.status, then.code.as_str()), (status, code), "{answer_bytes}");
        assert!(status != 200 || first.body == then.body);
        assert_eq!(world.platform.state().objects.len(), objects);
        assert_eq!(world.script.state().ran, 1);
    }
}

// The instance is paused while it opens a connection. After the deadline, nothing may
// be sent.
#[tokio::test]
async fn nothing_is_sent_after_a_pause_past_the_deadline() {
    for home in [false, true] {
        let world = World::start(Adapter::Fake, Script::new(&[])).await;
        let clock = std::sync::Arc::clone(&world.clock);
        world.script.state().in_dial = Some(Box::new(move || clock.advance(60_000)));
        let home = home.then(|| world.home());
        let seen = world.send(order("k", home.as_ref())).await;
        assert_eq!(status_outcome_code(&seen), (504, "not-run", "deadline-before-send"));
        assert_eq!(world.script.state().tried, 0);
    }
}

// A row deleted too early would let its request run again; rows that are never
// deleted would fill the table.
#[tokio::test]
async fn only_claims_past_their_retention_are_deleted() {
    let hour_ms = 3_600_000;
    for (age_ms, left) in [(0, 1), (23 * hour_ms, 1), (25 * hour_ms, 0)] {
        let world = World::start(Adapter::Fake, Script::new(&[])).await;
        world.send(order("k", None)).await;
        world.clock.advance(age_ms);
        for instance in ["entry-1", "entry-2"] {
            world.cleaner(instance).sweep().await;
        }
        assert_eq!(world.platform.state().rows.len(), left, "after {age_ms} ms");
    }
}

// A cleaner is paused between reading old claims and deleting them. Meanwhile, another
// instance may have deleted them and a key may have been claimed again, at the same
// version.
#[tokio::test]
async fn a_paused_cleaner_deletes_nothing() {
    let world = World::start(Adapter::Fake, Script::new(&[])).await;
    world.send(order("k", None)).await;
    world.clock.advance(25 * 3_600_000);
    let clock = std::sync::Arc::clone(&world.clock);
    world.platform.state().in_read = Some(Box::new(move || clock.advance(60_000)));
    for instance in ["entry-1", "entry-2"] {
        let cleaner = world.cleaner(instance);
        cleaner.sweep().await;
        if world.platform.state().in_read.is_none() {
            break;
        }
    }
    assert_eq!(world.platform.state().rows.len(), 1);
}

// An owner is paused for more than the retention before it settles its claim. The key
// may have been claimed again, at the same version.
#[tokio::test]
async fn an_owner_paused_for_a_day_does_not_settle_its_claim() {
    let world = World::start(Adapter::Fake, Script::new(&[])).await;
    let clock = std::sync::Arc::clone(&world.clock);
    world.script.state().in_answer = Some(Box::new(move || clock.advance(25 * 3_600_000)));
    world.send(order("k", None)).await;
    let state = world.platform.state();
    assert_eq!((state.rows["svc/k"].version, state.writes), (1, 1));
}

// One response that the platform never accepts must not block the storing of others.
#[tokio::test]
async fn an_unstorable_response_does_not_block_others() {
    let world = World::start(Adapter::Fake, Script::new(&[])).await;
    world.platform.state().refuses_updates_of = Some("stuck".to_owned());
    assert_eq!(world.send(order("stuck", None)).await.status, 200);
    world.platform.state().faults.extend([Fault::Ok, Fault::Refused]);
    assert_eq!(world.send(order("k", None)).await.status, 200);
    let platform = world.platform.clone();
    eventually("kept", || !platform.state().rows["svc/k"].value["settled"].is_null()).await;
}

// The memory for responses that wait for the platform is bounded; beyond it, only the
// outcome is stored.
#[tokio::test]
async fn responses_waiting_for_the_platform_are_bounded() {
    let world = World::start(Adapter::Fake, Script::new(&[])).await;
    world.script.state().answer_bytes = 1 << 20;
    world.platform.state().refuses_updates_of = Some("large".to_owned());
    for index in 0..20 {
        let seen = world.send(order(&format!("large-{index}"), None)).await;
        assert_eq!(seen.status, 200);
    }
    world.platform.state().refuses_updates_of = None;
    let platform = world.platform.clone();
    let settled = || {
        let state = platform.state();
        state.rows.values().filter(|row| !row.value["settled"].is_null()).count()
    };
    eventually("all are settled", || settled() == 20).await;
    assert_eq!(platform.state().objects.len(), 16);
}

// If the row stayed although nothing ran, the retry could never run.
#[tokio::test]
async fn a_claim_is_deleted_if_nothing_ran() {
    let script = Script::new(&[]);
    script.state().down = true;
    let world = World::start(Adapter::Real, script).await;
    let seen = world.send(order("k", None)).await;
    assert_eq!(status_outcome_code(&seen), (503, "not-run", "connect-failed"));
    let platform = world.platform.clone();
    eventually("the claim is gone", || platform.state().rows.is_empty()).await;
}

//! Changes while the platform fails and other operators change the same policy.

use std::time::Duration;

use azuregate::{config::Change, operators::convert, platform::Table};
use azuregate_schema::v1::{
    ChangeResponse, DrainRequest, SetPolicyRequest, StartShiftRequest, StopShiftRequest,
    operators_server::Operators,
};
use serde_json::json;
use tonic::{Request, Response, Status};

use crate::fake::{
    Fault::{self, *},
    Fixture, SERVICE, initial_policy, instance_list, outcome,
};

type Answer = Result<Response<ChangeResponse>, Status>;

async fn set(
    fixture: &Fixture,
    operation_id: &str,
    based_on_version: u64,
    queue_ms: u64,
) -> Answer {
    let mut policy = initial_policy();
    policy.queue_ms = queue_ms;
    let request = SetPolicyRequest {
        policy: Some(convert::to_proto(&policy)),
        based_on_version,
        operation_id: operation_id.to_owned(),
        dry_run: false,
    };
    fixture.service.set_policy(Request::new(request)).await
}

// Two operators create the same policy. The second, who says that there is none,
// is told of the first's.
#[tokio::test(start_paused = true)]
async fn a_policy_is_created_once() {
    let fixture = Fixture::new().await;
    let create = async |operation_id: &str| {
        let mut policy = convert::to_proto(&initial_policy());
        policy.service = "proof-vault".to_owned();
        let operation_id = operation_id.to_owned();
        let request = SetPolicyRequest { policy: Some(policy), operation_id, ..Default::default() };
        outcome(&fixture.service.set_policy(Request::new(request)).await)
    };
    assert_eq!(create("op-1").await, "accepted 1");
    assert_eq!(create("op-2").await, "conflict 1");
    assert_eq!(create("op-1").await, "repeated 1");
    assert_eq!(fixture.snapshots.current().policies["proof-vault"].version, 1);
}

async fn drain(fixture: &Fixture, operation_id: &str, backend: &str) -> Answer {
    let request = DrainRequest {
        service: SERVICE.to_owned(),
        backends: vec![backend.to_owned()],
        operation_id: operation_id.to_owned(),
        ..DrainRequest::default()
    };
    fixture.service.start_drain(Request::new(request)).await
}

async fn shift(fixture: &Fixture, operation_id: &str, zone: &str) -> Answer {
    let request = StartShiftRequest {
        service: SERVICE.to_owned(),
        to_share_ppm: [(zone.to_owned(), 1_000_000)].into(),
        operation_id: operation_id.to_owned(),
        ..StartShiftRequest::default()
    };
    fixture.service.start_shift(Request::new(request)).await
}

/// What goes wrong, then how a replacement and a drain end, each with the
/// version that the platform holds afterwards.
const FAULTS: &[(&[Fault], &str, u64, &str, u64)] = &[
    (&[], "accepted 2", 2, "accepted 2", 2),
    (&[Refused], "unreachable", 1, "unreachable", 1),
    (&[ResponseLost], "accepted 2", 2, "accepted 2", 2),
    (&[RequestLost], "accepted 2", 2, "accepted 2", 2),
    (&[ResponseLostThenConflict], "accepted 2", 3, "accepted 2", 3),
    (&[RequestLostThenConflict], "conflict 2", 2, "accepted 3", 3),
    (&[RequestLost, ResponseLost], "accepted 2", 2, "accepted 2", 2),
    (&[RequestLost, ResponseLostThenConflict], "accepted 2", 3, "accepted 2", 3),
    (&[RequestLost, Refused], "accepted 2", 2, "accepted 2", 2),
    (&[RequestLost, ConflictFirst], "conflict 2", 2, "accepted 3", 3),
    (&[AppliedLate], "accepted 2", 2, "accepted 2", 2),
    (&[AppliedLate, RequestLost], "accepted 2", 2, "accepted 2", 2),
    (&[ConflictFirst], "conflict 2", 2, "accepted 3", 3),
    (&[RequestLost, RequestLost, RequestLost, RequestLost], "unknown", 1, "unknown", 1),
    (&[ResponseLostThenDown], "unknown", 2, "unknown", 2),
    (&[ConflictFirst, ConflictFirst, ConflictFirst, ConflictFirst], "conflict 2", 2, "refused", 5),
    (
        &[RequestLostThenConflict, ConflictFirst, ConflictFirst, ConflictFirst],
        "conflict 2",
        2,
        "refused",
        5,
    ),
];

// The operator sends one change. Its write, or the answer to it, is lost, comes
// late, or meets a rival's. Whatever is told, "accepted" is told only of a change
// that the platform holds, "conflict", "refused" and "unreachable" only of one
// that it does not hold and never will.
#[tokio::test(start_paused = true)]
async fn one_change_under_each_fault() {
    for (faults, set_outcome, set_version, drain_outcome, drain_version) in FAULTS {
        let fixture = Fixture::new().await;
        fixture.platform.script(faults);
        let result = set(&fixture, "op-1", 1, 300).await;
        assert_eq!(outcome(&result), *set_outcome, "set: {faults:?}");
        assert_eq!(fixture.platform.policy().version, *set_version, "set: {faults:?}");

        let fixture = Fixture::new().await;
        fixture.platform.script(faults);
        let result = drain(&fixture, "op-1", "starter-desk-01").await;
        assert_eq!(outcome(&result), *drain_outcome, "drain: {faults:?}");
        assert_eq!(fixture.platform.policy().version, *drain_version, "drain: {faults:?}");
    }
}

// The answer is lost and the platform goes down, so that the first call cannot
// tell. A rival changes the policy. The operator repeats the call with the same
// operation id: it is told of its own version, and nothing is made twice.
#[tokio::test(start_paused = true)]
async fn a_retry_resolves_an_unknown_outcome() {
    let fixture = Fixture::new().await;
    fixture.platform.script(&[ResponseLostThenDown]);
    assert_eq!(outcome(&set(&fixture, "op-1", 1, 300).await), "unknown");
    fixture.platform.set_down(false);
    assert_eq!(outcome(&set(&fixture, "op-2", 2, 400).await), "accepted 3");
    assert_eq!(outcome(&set(&fixture, "op-1", 1, 300).await), "repeated 2");
    assert_eq!(fixture.platform.policy().version, 3);
    assert_eq!(fixture.platform.policy().queue_ms, 400);
    assert_eq!(fixture.version_in_force(), 3);
}

// The answer to a drain is lost. The server finishes and is taken off the list
// before the operator repeats the call. To refuse it as a server that nobody
// knows would tell that nothing was changed.
#[tokio::test(start_paused = true)]
async fn a_drain_is_repeated_after_its_server_is_removed() {
    let fixture = Fixture::new().await;
    assert_eq!(outcome(&drain(&fixture, "op-1", "starter-desk-01").await), "accepted 2");
    let mut list = instance_list();
    list.backends.remove(0);
    fixture.config.change(Change::List(list));
    let mut snapshots = fixture.snapshots.watch();
    snapshots.wait_for(|snapshot| snapshot.backends[SERVICE].len() == 5).await.unwrap();
    assert_eq!(outcome(&drain(&fixture, "op-1", "starter-desk-01").await), "repeated 2");
    assert_eq!(outcome(&drain(&fixture, "op-2", "starter-desk-01").await), "refused");
}

// The same operation id comes with another change, by a mistake in a script.
// Taking it for a repeat would report a change that nobody made.
#[tokio::test(start_paused = true)]
async fn an_operation_id_names_one_change() {
    let fixture = Fixture::new().await;
    assert_eq!(outcome(&set(&fixture, "op-1", 1, 300).await), "accepted 2");
    for other in [
        set(&fixture, "op-1", 1, 301).await,
        set(&fixture, "op-1", 2, 300).await,
        drain(&fixture, "op-1", "starter-desk-01").await,
    ] {
        assert_eq!(outcome(&other), "refused");
    }
    assert_eq!(fixture.platform.policy().version, 2);
}

// Two operators start from version 1 at the same moment, on two instances or
// on one. One wins. The other is told who won and where the winner differs.
#[tokio::test(start_paused = true)]
async fn concurrent_replacements_conflict() {
    let fixture = Fixture::new().await;
    let results = tokio::join!(set(&fixture, "op-1", 1, 300), set(&fixture, "op-2", 1, 400));
    let mut outcomes = [outcome(&results.0), outcome(&results.1)];
    outcomes.sort();
    assert_eq!(outcomes, ["accepted 2", "conflict 2"]);
    let winner = fixture.platform.policy();
    let (loser, losing_queue_ms) =
        if winner.queue_ms == 300 { (results.1, 400) } else { (results.0, 300) };
    let loser = loser.unwrap().into_inner();
    assert_eq!(loser.policy.unwrap().operation_id, winner.operation_id);
    let [difference] = &loser.differences[..] else { panic!("{:?}", loser.differences) };
    assert_eq!(difference.field, "queue_ms");
    assert_eq!(difference.before, losing_queue_ms.to_string());
    assert_eq!(difference.after, winner.queue_ms.to_string());
}

// Drains of different backend servers do not contradict each other, so that
// neither operator has to start again. Shifts do: the second is not made on top
// of one that its operator never saw.
#[tokio::test(start_paused = true)]
async fn concurrent_drains_commute_and_shifts_conflict() {
    let fixture = Fixture::new().await;
    let results = tokio::join!(
        drain(&fixture, "op-1", "starter-desk-01"),
        drain(&fixture, "op-2", "starter-desk-02")
    );
    let mut outcomes = [outcome(&results.0), outcome(&results.1)];
    outcomes.sort();
    assert_eq!(outcomes, ["accepted 2", "accepted 3"]);
    assert_eq!(fixture.platform.policy().drains.len(), 2);

    let fixture = Fixture::new().await;
    let results =
        tokio::join!(shift(&fixture, "op-1", "sofia-a"), shift(&fixture, "op-2", "varna-a"));
    let mut outcomes = [outcome(&results.0), outcome(&results.1)];
    outcomes.sort();
    assert_eq!(outcomes, ["accepted 2", "conflict 2"]);
}

#[tokio::test(start_paused = true)]
async fn a_shift_is_started_and_stopped() {
    let fixture = Fixture::new().await;
    assert_eq!(outcome(&shift(&fixture, "op-1", "varna-a").await), "accepted 2");
    assert_eq!(outcome(&shift(&fixture, "op-2", "sofia-a").await), "refused");
    let stop = |operation_id: &str| {
        let request = StopShiftRequest {
            service: SERVICE.to_owned(),
            operation_id: operation_id.to_owned(),
            ..StopShiftRequest::default()
        };
        fixture.service.stop_shift(Request::new(request))
    };
    assert_eq!(outcome(&stop("op-3").await), "accepted 3");
    assert_eq!(outcome(&stop("op-3").await), "repeated 3");
    assert_eq!(outcome(&stop("op-4").await), "refused");
    assert_eq!(fixture.platform.policy().shift, None);
}

// The operator's connection breaks while the platform is at work. The change
// goes on, and is in force on this instance though nobody waits for the answer.
#[tokio::test(start_paused = true)]
async fn a_cancelled_call_completes_the_change() {
    let fixture = Fixture::new().await;
    fixture.platform.script(&[RequestLost]);
    let call = set(&fixture, "op-1", 1, 300);
    // Let it start, and no more.
    let cancelled = tokio::time::timeout(Duration::from_millis(1), call).await;
    assert!(cancelled.is_err());
    let mut snapshots = fixture.snapshots.watch();
    let in_force = snapshots.wait_for(|snapshot| snapshot.policies[SERVICE].version == 2);
    let in_force = tokio::time::timeout(Duration::from_secs(5), in_force).await;
    assert!(in_force.is_ok(), "the change never came into force");
    assert_eq!(fixture.platform.policy().queue_ms, 300);
}

// A script sets a policy and reads it back. Were the change only on its way to
// the task that brings it into force, now and then it would read the old one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_accepted_change_is_in_force_on_the_serving_instance() {
    let fixture = Fixture::new().await;
    for version in 2..200 {
        let result = set(&fixture, &format!("op-{version}"), version - 1, version).await;
        assert_eq!(outcome(&result), format!("accepted {version}"));
        assert_eq!(fixture.version_in_force(), version);
    }
}

#[tokio::test(start_paused = true)]
async fn an_unavailable_platform_or_a_malformed_row_changes_nothing() {
    let fixture = Fixture::new().await;
    fixture.platform.set_down(true);
    assert_eq!(outcome(&set(&fixture, "op-1", 1, 300).await), "unreachable");

    let fixture = Fixture::new().await;
    fixture.platform.put(Table::Policy, SERVICE, json!({ "service": 7 }));
    assert_eq!(outcome(&set(&fixture, "op-1", 1, 300).await), "failed");
    assert_eq!(outcome(&drain(&fixture, "op-1", "starter-desk-01").await), "failed");

    let fixture = Fixture::new().await;
    let operation = format!("{SERVICE}/operation/op-1");
    fixture.platform.put(Table::PolicyHistory, &operation, json!("garbage"));
    assert_eq!(outcome(&set(&fixture, "op-1", 1, 300).await), "failed");
    assert_eq!(fixture.platform.policy().version, 1);
}

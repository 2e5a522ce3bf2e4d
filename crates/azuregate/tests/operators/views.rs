//! What operators are shown.

use azuregate_schema::v1::{
    DrainRequest, EntriesRequest, GetShiftRequest, ListDrainsRequest, PolicyHistoryRequest,
    StartShiftRequest, StatusRequest, operators_server::Operators,
};
use tonic::Request;

use crate::fake::{Fixture, SERVICE, initial_policy, outcome};

fn shift(dry_run: bool) -> Request<StartShiftRequest> {
    Request::new(StartShiftRequest {
        service: SERVICE.to_owned(),
        to_share_ppm: [("plovdiv-a".to_owned(), 700_000), ("varna-b".to_owned(), 300_000)].into(),
        operation_id: "op-1".to_owned(),
        dry_run,
        ..StartShiftRequest::default()
    })
}

fn drain(backends: &[&str], dry_run: bool) -> Request<DrainRequest> {
    Request::new(DrainRequest {
        service: SERVICE.to_owned(),
        backends: backends.iter().map(|&id| id.to_owned()).collect(),
        operation_id: "op-2".to_owned(),
        dry_run,
        ..DrainRequest::default()
    })
}

#[tokio::test(start_paused = true)]
async fn a_dry_run_reports_the_effect_without_applying_it() {
    let fixture = Fixture::new().await;
    let planned = fixture.service.start_shift(shift(true)).await;
    assert_eq!(outcome(&planned), "planned 2");
    insta::assert_debug_snapshot!("shift", planned.unwrap().into_inner().effect);
    let planned =
        fixture.service.start_drain(drain(&["starter-desk-01", "starter-desk-04"], true)).await;
    assert_eq!(outcome(&planned), "planned 2");
    insta::assert_debug_snapshot!("drain", planned.unwrap().into_inner().effect);
    assert_eq!(fixture.platform.policy(), initial_policy());
    assert_eq!(fixture.version_in_force(), 1);
}

#[tokio::test(start_paused = true)]
async fn the_shift_in_progress() {
    let fixture = Fixture::new().await;
    let show =
        || fixture.service.get_shift(Request::new(GetShiftRequest { service: SERVICE.into() }));
    let none = show().await.unwrap().into_inner();
    assert_eq!((none.shift.is_some(), none.end_at_ms), (false, 0));
    assert_eq!(none.share_ppm["sofia-a"], 600_000);
    assert_eq!(outcome(&fixture.service.start_shift(shift(false)).await), "accepted 2");
    let some = show().await.unwrap().into_inner();
    // It starts when the change is in force everywhere.
    assert_eq!(some.shift.unwrap().start_at_ms, 1_013_000);
    assert_eq!((some.progress_ppm, some.version), (0, 2));
}

#[tokio::test(start_paused = true)]
async fn closed_backend_servers_are_listed_with_reasons() {
    let fixture = Fixture::new().await;
    let drained = fixture.service.start_drain(drain(&["starter-desk-01"], false)).await;
    assert_eq!(outcome(&drained), "accepted 2");
    let request = Request::new(ListDrainsRequest::default());
    let [backend] = &fixture.service.list_drains(request).await.unwrap().into_inner().backends[..]
    else {
        panic!("one is drained")
    };
    assert_eq!(backend.id, "starter-desk-01");
    assert_eq!(backend.reasons, ["drained by an operator"]);
    let status = fixture.service.status(Request::new(StatusRequest {})).await.unwrap().into_inner();
    assert_eq!(status.backends.iter().filter(|backend| backend.open).count(), 5);
    assert_eq!(status.ready_reason, "confirmed by the platform");
    assert_eq!(status.instances.len(), 2);
}

#[tokio::test(start_paused = true)]
async fn history_is_newest_first_and_bounded() {
    let fixture = Fixture::new().await;
    for index in 1..=4 {
        let backend = format!("starter-desk-0{index}");
        let mut request = drain(&[&backend], false);
        request.get_mut().operation_id = format!("op-{index}");
        fixture.service.start_drain(request).await.unwrap();
    }
    for (limit, versions) in [(0, vec![5, 4, 3, 2]), (2, vec![5, 4]), (1, vec![5])] {
        let request = PolicyHistoryRequest { service: SERVICE.to_owned(), limit };
        let answer = fixture.service.policy_history(Request::new(request)).await.unwrap();
        let policies = answer.into_inner().policies;
        let seen: Vec<_> = policies.iter().map(|policy| policy.version).collect();
        assert_eq!(seen, versions, "limit {limit}");
    }
}

#[tokio::test(start_paused = true)]
async fn entries_match_those_returned_to_callers() {
    let fixture = Fixture::new().await;
    let request = EntriesRequest { service: SERVICE.to_owned(), caller: String::new() };
    let answer = fixture.service.entries(Request::new(request)).await.unwrap().into_inner();
    let ids: Vec<_> = answer.entries.iter().map(|entry| entry.id.as_str()).collect();
    assert_eq!(ids, ["entry-1", "entry-2"]);
}

//! Requests that operators may not make: nothing is changed, and the answer
//! says what to write instead.

use std::fmt::Write;

use azuregate::operators::{FailureClass, convert};
use azuregate_core::policy::Policy;
use azuregate_schema::v1::{
    ChangeResponse, DrainRequest, SetPolicyRequest, StartShiftRequest, StopShiftRequest,
    operators_server::Operators,
};
use tonic::{Request, Response, Status};

use crate::fake::{Fixture, SERVICE, initial_policy};

type Edit = fn(&mut SetPolicyRequest);

const SETS: &[(&str, Edit)] = &[
    ("no policy", |r| r.policy = None),
    ("no service", |r| policy(r).service.clear()),
    ("a service in capitals", |r| policy(r).service = "Starter-Desk".to_owned()),
    ("a service with a slash", |r| policy(r).service = "a/b".to_owned()),
    ("no cap", |r| policy(r).cap = None),
    ("a cap of nothing", |r| policy(r).cap.as_mut().unwrap().share_ppm = 0),
    ("a cap over the whole", |r| policy(r).cap.as_mut().unwrap().share_ppm = 1_000_001),
    ("no window", |r| policy(r).cap.as_mut().unwrap().window_ms = 0),
    ("no timeout", |r| policy(r).timeout_ms = 0),
    ("shares of 90 percent", |r| {
        policy(r).zone_share_ppm = [("sofia-a".to_owned(), 900_000)].into();
    }),
    ("an unknown zone", |r| {
        policy(r).zone_share_ppm = [("sofia-x".to_owned(), 1_000_000)].into();
    }),
    ("shares that jump", |r| {
        policy(r).zone_share_ppm = [("sofia-a".to_owned(), 1_000_000)].into();
    }),
    ("unknown backend servers", |r| {
        policy(r).drains = vec!["starter-desk-1".to_owned(), "proof-vault-99".to_owned()];
    }),
    ("no operation id", |r| r.operation_id.clear()),
    ("an operation id with a slash", |r| r.operation_id = "a/b".to_owned()),
];

fn policy(request: &mut SetPolicyRequest) -> &mut azuregate_schema::v1::Policy {
    request.policy.as_mut().unwrap()
}

fn record(transcript: &mut String, name: &str, result: Result<Response<ChangeResponse>, Status>) {
    let status = result.unwrap_err();
    let class = FailureClass::from_status(&status).unwrap().as_str();
    writeln!(transcript, "{name}\n    {class}: {}", status.message()).unwrap();
}

#[tokio::test]
async fn policies() {
    let fixture = Fixture::new().await;
    let mut transcript = String::new();
    for (name, edit) in SETS {
        let mut request = SetPolicyRequest {
            policy: Some(convert::to_proto(&initial_policy())),
            based_on_version: 1,
            operation_id: "op-1".to_owned(),
            dry_run: false,
        };
        edit(&mut request);
        record(&mut transcript, name, fixture.service.set_policy(Request::new(request)).await);
    }
    insta::assert_snapshot!(transcript);
    assert_eq!(fixture.platform.policy(), initial_policy());
}

fn shift(service: &str, shares: &[(&str, u32)]) -> Request<StartShiftRequest> {
    Request::new(StartShiftRequest {
        service: service.to_owned(),
        to_share_ppm: shares.iter().map(|&(zone, ppm)| (zone.to_owned(), ppm)).collect(),
        operation_id: "op-1".to_owned(),
        ..StartShiftRequest::default()
    })
}

#[tokio::test]
async fn shifts() {
    let fixture = Fixture::new().await;
    let service = &fixture.service;
    let mut transcript = String::new();
    let unknown = shift(SERVICE, &[("sofia-c", 500_000), ("nowhere", 500_000)]);
    record(&mut transcript, "unknown zones", service.start_shift(unknown).await);
    let over = shift(SERVICE, &[("sofia-a", 600_000), ("sofia-b", 600_000)]);
    record(&mut transcript, "over the whole", service.start_shift(over).await);
    let same = shift(SERVICE, &[("sofia-a", 600_000), ("varna-a", 400_000)]);
    record(&mut transcript, "the same shares", service.start_shift(same).await);
    let none = shift("no-such", &[("sofia-a", 1_000_000)]);
    record(&mut transcript, "an unknown service", service.start_shift(none).await);
    let stop = StopShiftRequest {
        service: SERVICE.to_owned(),
        operation_id: "op-1".to_owned(),
        ..StopShiftRequest::default()
    };
    record(&mut transcript, "no shift to stop", service.stop_shift(Request::new(stop)).await);
    insta::assert_snapshot!(transcript);
    assert_eq!(fixture.platform.policy(), initial_policy());
}

fn drain(backends: &[&str]) -> Request<DrainRequest> {
    Request::new(DrainRequest {
        service: SERVICE.to_owned(),
        backends: backends.iter().map(|&id| id.to_owned()).collect(),
        operation_id: "op-1".to_owned(),
        ..DrainRequest::default()
    })
}

#[tokio::test]
async fn drains() {
    let fixture = Fixture::new().await;
    let service = &fixture.service;
    let mut transcript = String::new();
    record(&mut transcript, "no backend server", service.start_drain(drain(&[])).await);
    let unknown = drain(&["starter-desk-07", "starter-desk-01", "x"]);
    record(&mut transcript, "unknown backend servers", service.start_drain(unknown).await);
    let not_drained = drain(&["starter-desk-01"]);
    record(&mut transcript, "not drained", service.stop_drain(not_drained).await);
    insta::assert_snapshot!(transcript);
    let policy: Policy = fixture.platform.policy();
    assert_eq!(policy, initial_policy());
}

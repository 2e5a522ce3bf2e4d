//! Histograms: what callers send must not decide what they cost.

use azuregate::metrics::{ANSWERED, RequestClass, Sample};
use azuregate_core::names::{ServiceName, TenantName};
use azuregate_schema::v1::{HistogramsRequest, operators_server::Operators};
use tonic::Request;

use crate::fake::{Fixture, SERVICE};

fn sample(service: &str, tenant: Option<&str>, code: &'static str, latency_ms: u64) -> Sample {
    Sample {
        service: ServiceName::new(service),
        tenant: tenant.map(TenantName::new),
        class: RequestClass::Read,
        code,
        latency_ms,
    }
}

#[tokio::test]
async fn latencies_for_each_tenant() {
    let fixture = Fixture::new().await;
    for latency_ms in 1..=100 {
        fixture.recorder.record(sample(SERVICE, Some("bakers"), ANSWERED, latency_ms));
    }
    fixture.recorder.record(sample(SERVICE, None, "queue-full", 1));
    let request = HistogramsRequest { service: SERVICE.to_owned() };
    let answer = fixture.service.histograms(Request::new(request)).await.unwrap().into_inner();
    let [none, bakers] = &answer.histograms[..] else { panic!("{answer:?}") };
    assert_eq!((none.tenant.as_str(), none.count, none.errors), ("", 1, 1));
    assert_eq!((bakers.tenant.as_str(), bakers.count, bakers.errors), ("bakers", 100, 0));
    assert_eq!((bakers.p50_ms, bakers.p99_ms, bakers.max_ms), (50, 99, 100));
}

// Someone sends requests with a new Host and a new tenant each. A series for
// each would fill the memory, here and at the metrics' receiver.
#[tokio::test]
async fn names_from_callers_are_aggregated() {
    let fixture = Fixture::new().await;
    for index in 0..1_000 {
        let name = format!("made-up-{index}");
        fixture.recorder.record(sample(&name, Some(&name), "unknown-service", 1));
        fixture.recorder.record(sample(SERVICE, Some(&name), ANSWERED, 1));
        fixture.recorder.record(sample(&name, None, ANSWERED, 1));
    }
    let histograms = fixture.recorder.histograms().await.histograms;
    assert!(histograms.len() <= 64 + 64 + 2, "{} series", histograms.len());
    assert_eq!(histograms.iter().map(|histogram| histogram.count).sum::<u64>(), 3_000);
}

// The task cannot run while this one does not wait, as under overload: samples
// beyond the bound are dropped and counted, and the request path goes on.
#[tokio::test]
async fn samples_beyond_the_bound_are_dropped_and_counted() {
    let fixture = Fixture::new().await;
    for _ in 0..20_000 {
        fixture.recorder.record(sample(SERVICE, None, ANSWERED, 1));
    }
    let histograms = fixture.recorder.histograms().await;
    assert_eq!(histograms.dropped, 20_000 - 16_384);
    assert_eq!(histograms.histograms[0].count, 16_384);
}

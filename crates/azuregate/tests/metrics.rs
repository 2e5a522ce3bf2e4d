//! Metrics sent over UDP.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

use std::{net::UdpSocket, sync::Arc, time::Duration};

use azuregate::metrics::{ANSWERED, MetricSink, Recorder, RequestClass, Sample, StatsdSink};
use azuregate_core::names::{ServiceName, TenantName};

#[tokio::test]
async fn metrics_have_names_and_tags() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let sink: Arc<dyn MetricSink> =
        Arc::new(StatsdSink::new(socket.local_addr().unwrap()).unwrap());
    let recorder = Recorder::start(Arc::clone(&sink));
    recorder.record(Sample {
        service: ServiceName::new("starter-desk"),
        tenant: Some(TenantName::new("bakers")),
        class: RequestClass::Keyed,
        code: ANSWERED,
        latency_ms: 7,
    });
    assert_eq!(recorder.histograms().await.histograms.len(), 1);
    sink.dropped(3);
    let mut seen = Vec::new();
    for _ in 0..3 {
        let mut bytes = [0; 512];
        let len = socket.recv(&mut bytes).unwrap();
        seen.push(String::from_utf8(bytes[..len].to_vec()).unwrap());
    }
    assert_eq!(
        seen,
        [
            "azuregate.request:1|c|#service:starter-desk,tenant:bakers,class:keyed,code:answered",
            "azuregate.request_ms:7|ms|#service:starter-desk,tenant:bakers,class:keyed",
            "azuregate.samples_dropped:3|c",
        ]
    );
}

// Guards against errors or lost samples if no receiver listens.
#[tokio::test]
async fn missing_receiver_is_ignored() {
    let addr = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let recorder = Recorder::start(Arc::new(StatsdSink::new(addr).unwrap()));
    for latency_ms in 0..1_000 {
        recorder.record(Sample {
            service: ServiceName::new("starter-desk"),
            tenant: None,
            class: RequestClass::Read,
            code: ANSWERED,
            latency_ms,
        });
    }
    let histograms = recorder.histograms().await;
    assert_eq!((histograms.histograms[0].count, histograms.dropped), (1_000, 0));
}

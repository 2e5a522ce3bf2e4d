//! Responses that break off, or that are none, while the request is still being sent.

use std::time::Duration;

use azuregate_platform::fakes::Behaviour;
use tokio::time;

use crate::{
    cluster::{Client, HttpResponse, Instance, TestCluster, get_request},
    late_copies::Instances,
};

/// Longer than all buffers between the client and the server.
const UPLOAD_BYTES: usize = 16 << 20;

/// Sends an upload, and reads the response after `pause`.
async fn upload(instance: &Instance, id: &str, pause: Duration) -> Option<HttpResponse> {
    let mut client = Client::connect(instance.traffic_addr).await;
    let head = format!(
        "POST /upload/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 5000\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
    );
    client.send(&head).await;
    client.send(&"x".repeat(UPLOAD_BYTES)).await;
    time::sleep(pause).await;
    client.response().await
}

async fn start() -> (TestCluster, Instances) {
    let mut cluster = TestCluster::start(2).await;
    cluster.update_config(|config| {
        config.max_body_bytes = UPLOAD_BYTES;
        config.timeout_ms = 5_000;
    });
    let instances = Instances::start(&cluster).await;
    (cluster, instances)
}

/// Guards against passing on the part of a response that was reset while the upload was still being written, as
/// if it were complete.
#[tokio::test]
async fn reset_during_an_upload_completes_no_response() {
    let (cluster, instances) = start().await;
    for (number, bytes) in [0, 10, 1_000, 60_000, 70_000, 200_000, 1_000_000].iter().enumerate() {
        cluster.backends.iter().for_each(|b| b.set(Behaviour::ResetBeforeBody(*bytes)));
        for (way, instance) in [("direct", &instances.direct), ("forwarded", &instances.cut_off)] {
            let id = format!("reset-{way}-{bytes}");
            // The rest of a long response waits for its client when the connection is reset.
            let pause = Duration::from_millis(100 * number as u64);
            let response = upload(instance, &id, pause).await;
            let status = response.as_ref().map(|response| response.status);
            assert!(status.is_none_or(|status| status == 502), "{way}, {bytes} bytes: {status:?}");
        }
    }
}

/// Guards against passing on a response whose status is none.
#[tokio::test]
async fn status_zero_is_no_response() {
    let (cluster, instances) = start().await;
    cluster.backends.iter().for_each(|backend| backend.set(Behaviour::StatusZero));
    for (way, instance) in [("direct", &instances.direct), ("forwarded", &instances.cut_off)] {
        let read = instance.send(&get_request("/read/x", &format!("read-{way}"))).await;
        assert_eq!(read.map(|response| response.status), Some(502), "{way}");
        let written = upload(instance, &format!("upload-{way}"), Duration::ZERO).await;
        assert_eq!(written.map(|response| response.status), Some(502), "{way}");
    }
}

//! Serves health, readiness and histograms over HTTP.

use std::{convert::Infallible, sync::Arc};

use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Bytes, body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::{accept, config::Snapshots, metrics::Recorder, stop::StopSignal};

/// The state that the status port reports.
pub struct Status {
    /// Tells whether the instance is ready.
    pub snapshots: Snapshots,
    /// Holds the latency histograms.
    pub recorder: Recorder,
    /// Tells whether the instance is stopping.
    pub stop: StopSignal,
}

/// Serves the status port until the task is aborted.
pub async fn serve(listener: TcpListener, status: Arc<Status>) {
    loop {
        let (stream, _) = accept::next(&listener).await;
        let _ = stream.set_nodelay(true);
        let status = Arc::clone(&status);
        tokio::spawn(async move {
            let service = service_fn(|request| answer(&status, request));
            let conn = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            let _ = conn.await;
        });
    }
}

async fn answer(
    status: &Status,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (code, text) = match request.uri().path() {
        "/health" => (StatusCode::OK, "alive\n".to_owned()),
        "/ready" => ready(status),
        "/histograms" => {
            let histograms = status.recorder.histograms().await;
            (StatusCode::OK, serde_json::to_string(&histograms).unwrap_or_default())
        }
        _ => (StatusCode::NOT_FOUND, "paths: /health /ready /histograms\n".to_owned()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = code;
    Ok(response)
}

fn ready(status: &Status) -> (StatusCode, String) {
    if status.stop.is_stopping() {
        return (StatusCode::SERVICE_UNAVAILABLE, "stopping\n".to_owned());
    }
    let snapshot = status.snapshots.current();
    if !snapshot.ready {
        return (StatusCode::SERVICE_UNAVAILABLE, format!("not ready: {}\n", snapshot.readiness));
    }
    (StatusCode::OK, format!("ready: {}\n", snapshot.readiness))
}

//! The ports for questions: which instances to use, whether this one is ready, and
//! its metrics.

use std::{convert::Infallible, rc::Rc};

use azuregate_platform::request::{LOOKUP_PATH, Lookup, READINESS_PATH, encode_lookup_response};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, task::spawn_local};

use super::{answer::plain, metrics::Gauges, state::State};
use crate::accept;

/// For how long clients may keep the answer to a lookup. Short, so that they
/// learn soon of an instance that has left; each client asks that often.
pub(super) const KEEP_MS: u64 = 2_000;

/// Where metrics are served.
const METRICS_PATH: &str = "/metrics";

/// Who asks at a port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Audience {
    /// Clients and the platform, whom metrics do not concern.
    Clients,
    /// Whoever is on call.
    Operators,
}

/// Serves a port until the process ends.
pub(super) async fn serve(state: Rc<State>, listener: TcpListener, audience: Audience) {
    loop {
        let (stream, _) = accept::next(&listener).await;
        let state = Rc::clone(&state);
        spawn_local(async move {
            let service = service_fn(move |request| {
                let response = respond(&state, audience, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            // An error means that the client has left.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn respond(
    state: &State,
    audience: Audience,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    match request.uri().path() {
        READINESS_PATH => ready(state),
        METRICS_PATH if audience == Audience::Operators => metrics(state),
        LOOKUP_PATH => lookup(state, request.uri().query().unwrap_or_default()),
        _ => plain(StatusCode::NOT_FOUND, "text/plain", Vec::new()),
    }
}

fn ready(state: &State) -> Response<Full<Bytes>> {
    let status = match state.is_ready() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    plain(status, "text/plain", Vec::new())
}

fn metrics(state: &State) -> Response<Full<Bytes>> {
    let gauges = Gauges {
        is_ready: state.is_ready(),
        connections: state.connections.get(),
        instances: state.members.borrow().len(),
        followers: state.followers.get(),
        is_watching: *state.is_watching.borrow(),
        config_version: state.config().map(|config| config.version()),
        age_ms: state.contact.borrow().age_ms(state.now_ms()),
    };
    plain(StatusCode::OK, "text/plain", state.metrics.text(gauges).into_bytes())
}

fn lookup(state: &State, query: &str) -> Response<Full<Bytes>> {
    let lookup = Lookup::parse(query);
    let region = match lookup.region.as_str() {
        "" => state.region_of(&lookup.zone).unwrap_or_default(),
        region => region,
    };
    let own = (!state.is_ready()).then_some(state.settings.traffic_addr);
    let mut addrs = state.members.borrow().lookup(&lookup.zone, region, state.now_ms());
    addrs.retain(|addr| Some(*addr) != own);
    if addrs.is_empty() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "text/plain", Vec::new());
    }
    let keep_ms = KEEP_MS.min(state.bounds().lookup_ttl_ms);
    plain(StatusCode::OK, "application/json", encode_lookup_response(&addrs, keep_ms))
}

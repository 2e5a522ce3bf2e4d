//! HTTP endpoints for instance lookups, readiness and metrics.

use std::{convert::Infallible, rc::Rc};

use azuregate_platform::request::{LOOKUP_PATH, Lookup, READINESS_PATH, encode_lookup_response};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming, service::service_fn};
use tokio::{net::TcpListener, task::spawn_local};

use super::{
    bounded_connection, client_memory::Port, metrics::Gauges, response::full_response, state::State,
};
use crate::accept;

/// The TTL of lookup results. A short TTL directs clients away from a stopped instance
/// soon, at the cost of one lookup per client and TTL.
pub(super) const LOOKUP_TTL_MS: u64 = 2_000;

const MAX_HEAD_BYTES: usize = 16 << 10;
const METRICS_PATH: &str = "/metrics";

/// The audience of a port, which determines the available endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Audience {
    /// Clients and the platform, without access to metrics.
    Clients,
    /// Operators, with access to metrics.
    Operators,
}

/// Serves the endpoints of one port until the process ends.
pub(super) async fn serve(state: Rc<State>, listener: TcpListener, audience: Audience) {
    loop {
        let (stream, peer) = accept::next(&listener).await;
        let Some(memory) = state.client_memory.open(Port::Endpoints, peer.ip()) else { continue };
        let state = Rc::clone(&state);
        let service = service_fn({
            let memory = Rc::clone(&memory);
            move |request| {
                let _in_progress = memory.begin_request();
                let response = respond(&state, audience, &request);
                async move { Ok::<_, Infallible>(response) }
            }
        });
        spawn_local(bounded_connection::serve(stream, memory, MAX_HEAD_BYTES, service));
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
        _ => full_response(StatusCode::NOT_FOUND, "text/plain", Vec::new()),
    }
}

fn ready(state: &State) -> Response<Full<Bytes>> {
    let status = match state.is_ready() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    full_response(status, "text/plain", Vec::new())
}

fn metrics(state: &State) -> Response<Full<Bytes>> {
    let gauges = Gauges {
        is_ready: state.is_ready(),
        connections: state.connections.get(),
        client_usage: state.client_memory.usage(),
        client_limits: state.client_memory.limits(),
        instances: state.members.borrow().len(),
        followers: state.followers.get(),
        is_watching: *state.is_watching.borrow(),
        quarantined_requests: state.quarantine.borrow().quarantined_requests(),
        unreachable_services: state.reachability.borrow().unreachable_services(),
        limited_servers: state.balancer.borrow().limited_servers(),
        leaving_servers: state.balancer.borrow().leaving_servers(),
        paused_servers: state.balancer.borrow().paused_servers(state.now_ms()),
        config_version: state.config().map(|config| config.version()),
        age_ms: state.contact.borrow().age_ms(state.now_ms()),
    };
    let text = state.metrics.render(gauges, &state.client_memory.counters);
    full_response(StatusCode::OK, "text/plain", text.into_bytes())
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
        return full_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", Vec::new());
    }
    let ttl_ms = LOOKUP_TTL_MS.min(state.bounds().lookup_ttl_ms);
    full_response(StatusCode::OK, "application/json", encode_lookup_response(&addrs, ttl_ms))
}

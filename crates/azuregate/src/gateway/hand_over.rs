//! Requests that one instance hands over to the dispatcher of a group.
//!
//! The sender sets [`HAND_OVER`]; the dispatcher serves the request from its own
//! slots and queue, never by a second hop, and sends [`LOAD`] back with every
//! answer.

use std::net::{IpAddr, SocketAddr};

use azuregate_core::{
    error::{Error, ErrorKind, Outcome},
    route::group::GroupLoad,
    snapshot::Snapshot,
};
use hyper::{
    HeaderMap, Response,
    header::{self, HeaderValue},
};

use crate::{
    body::Body,
    gateway::error_response::OUTCOME,
    selector::{IncomingHandOver, Lease, OutgoingHandOver},
};

/// Names the group that a request is handed over for, and how many milliseconds
/// it may wait there: `sofia-a/0 150`.
const HAND_OVER: &str = "azuregate-hand-over";
/// The dispatcher's load, as [`GroupLoad`] is written.
const LOAD: &str = "azuregate-load";

/// Reads who handed a request over, and takes the mark off it.
///
/// # Errors
///
/// When the mark is there and the caller is no listed instance. A caller could
/// otherwise skip the claim of a keyed request and the policy. An instance that
/// is not listed here yet is told that nothing ran, and goes elsewhere; taking
/// its request for a caller's would claim its key a second time.
pub(crate) fn read(
    headers: &mut HeaderMap,
    caller: SocketAddr,
    snapshot: &Snapshot,
) -> Result<Option<IncomingHandOver>, Error> {
    let Some(value) = headers.remove(HAND_OVER) else {
        return Ok(None);
    };
    let sender = snapshot.instances.iter().find(|instance| same_ip(instance.ip, caller.ip()));
    let Some(sender) = sender else {
        let detail = format!("{caller} hands a request over and is no listed instance");
        return Err(Error::new(ErrorKind::NotReady, detail));
    };
    let parsed = value.to_str().ok().and_then(|value| {
        let (group, max_wait_ms) = value.split_once(' ')?;
        let (group, max_wait_ms) = (group.parse().ok()?, max_wait_ms.parse().ok()?);
        Some(IncomingHandOver { from: sender.id.clone(), group, max_wait_ms })
    });
    let malformed = || Error::new(ErrorKind::BadRequest, "the hand-over names no group");
    parsed.map(Some).ok_or_else(malformed)
}

/// Marks a request that is handed over.
pub(crate) fn set_header(headers: &mut HeaderMap, lease: &Lease) {
    // A caller's own mark never goes on.
    headers.remove(HAND_OVER);
    let Some(OutgoingHandOver { group, max_wait_ms, .. }) = &lease.outgoing_hand_over else {
        return;
    };
    if let Ok(value) = HeaderValue::from_str(&format!("{group} {max_wait_ms}")) {
        headers.insert(HAND_OVER, value);
    }
}

/// Puts the dispatcher's load on an answer that it hands back.
pub(crate) fn set_load(headers: &mut HeaderMap, load: Option<GroupLoad>) {
    let load = load.and_then(|load| HeaderValue::from_str(&load.to_string()).ok());
    match load {
        Some(load) => headers.insert(LOAD, load),
        None => headers.remove(LOAD),
    };
}

/// Takes in an answer that a dispatcher handed back.
///
/// # Errors
///
/// When the dispatcher says that the request did not run, which is trusted: it
/// may be tried elsewhere.
pub(crate) fn read_response(
    lease: &Lease,
    mut response: Response<Body>,
) -> Result<Response<Body>, Error> {
    let load = response.headers_mut().remove(LOAD);
    if let Some(load) = load.and_then(|load| load.to_str().ok()?.parse().ok()) {
        lease.record_group_load(load);
    }
    let outcome = response.headers().get(OUTCOME).and_then(|outcome| outcome.to_str().ok());
    if outcome.and_then(Outcome::parse) != Some(Outcome::NotRun) {
        return Ok(response);
    }
    let detail = format!("{} did not run it: {}", lease.backend, response.status());
    let after_s = response.headers().get(header::RETRY_AFTER);
    let after_s: Option<u64> = after_s.and_then(|after_s| after_s.to_str().ok()?.parse().ok());
    let error = Error::new(ErrorKind::BackendRefused, detail);
    Err(match after_s {
        Some(after_s) => error.with_retry_after_ms(after_s * 1_000),
        None => error,
    })
}

/// An IPv4 caller of a socket that takes IPv6 too comes with a mapped number.
fn same_ip(listed: IpAddr, caller: IpAddr) -> bool {
    listed.to_canonical() == caller.to_canonical()
}

//! Headers of requests that one instance hands over to the dispatcher of a group.
//!
//! The sender sets [`HAND_OVER`]. The dispatcher serves the request from its own
//! slots and queue, never hands it over again, and returns [`LOAD`] with every
//! response.

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

/// The group that the request is for, and its maximum queueing time in
/// milliseconds: `sofia-a/0 150`.
const HAND_OVER: &str = "azuregate-hand-over";
/// The dispatcher's load, in the text form of [`GroupLoad`].
const LOAD: &str = "azuregate-load";

/// Removes and parses the [`HAND_OVER`] header of a request.
///
/// # Errors
///
/// Fails if the header is malformed, or if its sender is not a listed instance: a
/// client could otherwise bypass the claim of a key and the policy. An instance
/// that is not listed here yet is told that nothing ran and can retry elsewhere;
/// treating its request as a client's would claim the key twice.
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
        let detail = format!("{caller} sent a hand-over but is not a listed instance");
        return Err(Error::new(ErrorKind::NotReady, detail));
    };
    let parsed = value.to_str().ok().and_then(|value| {
        let (group, max_wait_ms) = value.split_once(' ')?;
        let (group, max_wait_ms) = (group.parse().ok()?, max_wait_ms.parse().ok()?);
        Some(IncomingHandOver { from: sender.id.clone(), group, max_wait_ms })
    });
    let malformed = || Error::new(ErrorKind::BadRequest, "malformed azuregate-hand-over header");
    parsed.map(Some).ok_or_else(malformed)
}

/// Sets the [`HAND_OVER`] header on a request that is handed over, and removes it
/// from others.
pub(crate) fn set_header(headers: &mut HeaderMap, lease: &Lease) {
    // Never forward a header that the client set.
    headers.remove(HAND_OVER);
    let Some(OutgoingHandOver { group, max_wait_ms, .. }) = &lease.outgoing_hand_over else {
        return;
    };
    if let Ok(value) = HeaderValue::from_str(&format!("{group} {max_wait_ms}")) {
        headers.insert(HAND_OVER, value);
    }
}

/// Sets the [`LOAD`] header on a response to a handed-over request.
pub(crate) fn set_load(headers: &mut HeaderMap, load: Option<GroupLoad>) {
    let load = load.and_then(|load| HeaderValue::from_str(&load.to_string()).ok());
    match load {
        Some(load) => headers.insert(LOAD, load),
        None => headers.remove(LOAD),
    };
}

/// Processes a dispatcher's response: records its load and checks its outcome.
///
/// # Errors
///
/// Fails if the dispatcher states that the request did not run; it can then be
/// retried elsewhere.
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
    let detail = format!("{} did not run the request: {}", lease.backend, response.status());
    let after_s = response.headers().get(header::RETRY_AFTER);
    let after_s: Option<u64> = after_s.and_then(|after_s| after_s.to_str().ok()?.parse().ok());
    let error = Error::new(ErrorKind::BackendRefused, detail);
    Err(match after_s {
        Some(after_s) => error.with_retry_after_ms(after_s * 1_000),
        None => error,
    })
}

/// Compares addresses, treating IPv4-mapped IPv6 addresses, as a dual-stack socket
/// reports them, as IPv4.
fn same_ip(listed: IpAddr, caller: IpAddr) -> bool {
    listed.to_canonical() == caller.to_canonical()
}

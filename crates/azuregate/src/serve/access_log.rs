//! The access log: one line for each request.

use std::{fmt::Write, net::IpAddr, rc::Rc};

use azuregate_core::balance::Choice;
use azuregate_platform::request;
use hyper::{StatusCode, header::HeaderValue, http::request::Parts};
use tokio::time::Instant;

use super::{pool::Connection, state::State};

/// Longer paths are truncated in the log.
const MAX_LOGGED_PATH_CHARS: usize = 128;

/// The access log entry of a request. If it is dropped before its outcome is known, the request is
/// logged as cut by the end of the process, or else as cancelled by its client.
pub(super) struct AccessLogEntry {
    state: Rc<State>,
    pub(super) id: String,
    pub(super) origin: &'static str,
    pub(super) client: IpAddr,
    /// The start of the path and query.
    pub(super) path: String,
    pub(super) object: String,
    pub(super) route: String,
    /// Whether the request may be executed at most once.
    pub(super) is_write: bool,
    pub(super) service: String,
    pub(super) version: u64,
    pub(super) backend: String,
    pub(super) attempts: usize,
    pub(super) failures: String,
    /// The connections that it was sent on, each with the number of the request on it.
    pub(super) connections: String,
    /// The instance that the request was forwarded to last; empty if it was not.
    pub(super) forwarded_to: String,
    pub(super) in_flight: u32,
    /// The rate limit that the last backend server named; empty if it named none.
    pub(super) limit_per_s: String,
    pub(super) deadline_ms: u64,
    /// The time from the request for a planned stop to the receipt of this request; `None` if it was
    /// received before.
    stopping_ms: Option<u64>,
    /// The state that explains why no backend server was chosen; empty otherwise.
    pub(super) basis: String,
    pub(super) code: &'static str,
    received_at: Instant,
    is_logged: bool,
}

impl Drop for AccessLogEntry {
    fn drop(&mut self) {
        if !self.is_logged {
            self.code = if self.state.has_ended.get() { "stopped" } else { "cancelled" };
            self.log(None);
        }
    }
}

impl AccessLogEntry {
    pub(super) fn new(
        state: &Rc<State>,
        is_forwarded: bool,
        client: IpAddr,
        parts: &Parts,
        received_at: Instant,
    ) -> AccessLogEntry {
        let text =
            |name| parts.headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
        let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
        let origin = if is_forwarded { "instance" } else { "client" };
        AccessLogEntry {
            state: Rc::clone(state),
            origin,
            client,
            path: path.chars().take(MAX_LOGGED_PATH_CHARS).collect(),
            id: text(request::REQUEST_ID).unwrap_or_default().to_owned(),
            object: text(request::AFFINITY_KEY).unwrap_or_default().to_owned(),
            route: String::new(),
            // Until its route is known.
            is_write: !parts.method.is_safe(),
            service: String::new(),
            version: 0,
            backend: String::new(),
            attempts: 0,
            failures: String::new(),
            connections: String::new(),
            forwarded_to: String::new(),
            in_flight: 0,
            limit_per_s: String::new(),
            deadline_ms: 0,
            stopping_ms: state.stopping_ms(received_at),
            basis: String::new(),
            code: "answered",
            received_at,
            is_logged: false,
        }
    }

    pub(super) fn record_attempt(&mut self, choice: &Choice) {
        self.attempts += 1;
        self.in_flight = choice.in_flight;
        self.backend = choice.backend.id.as_str().to_owned();
    }

    pub(super) fn record_failure(&mut self, cause: &str) {
        if !self.failures.is_empty() {
            self.failures.push(',');
        }
        self.failures.push_str(&self.backend);
        self.failures.push(':');
        self.failures.push_str(cause);
    }

    /// Records the connection that the request is about to be sent on.
    pub(super) fn record_connection(&mut self, connection: &Connection) {
        if !self.connections.is_empty() {
            self.connections.push(',');
        }
        let count = connection.sent_ids.count() + 1;
        let _ = write!(self.connections, "{}/{count}", connection.number);
    }

    /// Returns the time since the request was received.
    pub(super) fn taken_ms(&self) -> u64 {
        u64::try_from(self.received_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Writes the line, with the status of the response if there is one. That of a write which was
    /// refused, failed or sent more than once is summarized if it is suppressed.
    pub(super) fn log(&mut self, status: Option<StatusCode>) {
        self.is_logged = true;
        let is_served =
            status.is_some_and(|status| status.is_success()) && self.failures.is_empty();
        log::info!(
            id = self.id.as_str(),
            origin = self.origin,
            client:% = self.client,
            path = self.path.as_str(),
            code = self.code,
            status = status.map_or(0, |status| status.as_u16()),
            route = self.route.as_str(),
            service = self.service.as_str(),
            object = self.object.as_str(),
            version = self.version,
            backend = self.backend.as_str(),
            tries = self.attempts,
            failed = self.failures.as_str(),
            connections = self.connections.as_str(),
            forwarded_to = self.forwarded_to.as_str(),
            in_flight = self.in_flight,
            limit_per_s = self.limit_per_s.as_str(),
            basis = self.basis.as_str(),
            keep = self.is_write && !is_served,
            deadline_ms = self.deadline_ms,
            stopping_ms = self.stopping_ms.map_or_else(String::new, |ms| ms.to_string()),
            taken_ms = self.taken_ms();
            "request"
        );
    }
}

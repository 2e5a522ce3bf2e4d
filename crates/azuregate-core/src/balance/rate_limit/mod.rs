//! Rate limits that backend servers name in their responses.
//!
//! A server in need names the requests per second that it accepts from all instances together.
//! The limit belongs to the run of the server that names it. A few instances have a part of it
//! each and keep to that part alone. The others send their requests to other servers; if these have
//! no room, they ask an instance that has a part.

mod grants;
mod report;
mod state;

use super::{BackendHandle, Balancer, Members, backends::BackendState, share};
pub(super) use state::RateLimit;
pub use {
    grants::GrantRequest,
    report::{RateLimitReport, ReportedRateLimit},
    state::RateLimitObservation,
};

use self::report::MAX_SERVERS_PER_DATAGRAM;
use crate::names::{BackendId, InstanceId};

/// Time for which an observation is reported with each heartbeat.
const REPORTED_MS: u64 = 5_000;

/// A server whose rate limit has changed.
#[derive(Clone, Debug, PartialEq)]
pub struct RateLimitChange {
    /// The server.
    pub backend: BackendId,
    /// The new limit in requests per second from all instances; `None` if it has ended.
    pub limit_per_s: Option<f64>,
    /// Requests per second that this instance may send.
    pub part_per_s: f64,
}

impl Balancer {
    /// Records what a response of a server says of its rate limit; returns the limit if it has
    /// changed.
    pub fn record_rate_limit(
        &mut self,
        handle: BackendHandle,
        observation: RateLimitObservation,
        members: &Members,
        now_ms: u64,
    ) -> Option<RateLimitChange> {
        let local = self.settings.instance.clone();
        let state = self.backend_state_mut(handle)?;
        let has_changed = state.rate_limit.observe(observation);
        has_changed.then(|| change(state, &local, members, now_ms))
    }

    /// Records the report of another instance; returns the limits that have changed.
    pub fn record_rate_limit_report(
        &mut self,
        report: &RateLimitReport,
        members: &Members,
        now_ms: u64,
    ) -> Vec<RateLimitChange> {
        let local = self.settings.instance.clone();
        let mut changes = Vec::new();
        for reported in &report.0 {
            let Some(state) = self.backends_mut().find(|state| state.run == reported.0) else {
                continue;
            };
            if state.rate_limit.observe_remote(report::decode(reported, now_ms)) {
                changes.push(change(state, &local, members, now_ms));
            }
        }
        changes
    }

    /// Returns a report of the limits that this instance has observed lately, or only of those
    /// that have changed since the last report.
    pub fn next_rate_limit_report(
        &mut self,
        only_changes: bool,
        now_ms: u64,
    ) -> Option<RateLimitReport> {
        let is_due = |rate_limit: &RateLimit| {
            let recent = |observed: &RateLimitObservation| {
                now_ms.saturating_sub(observed.received_at_ms) <= REPORTED_MS
            };
            rate_limit.observed.as_ref().is_some_and(recent)
                && !(only_changes && rate_limit.is_reported)
        };
        let first = self.next_reported;
        let mut due: Vec<&mut BackendState> =
            self.backends_mut().filter(|state| is_due(&state.rate_limit)).collect();
        // Continues where the last report ended, if not all fit in a datagram.
        due.sort_by_key(|state| (state.run < first, state.run));
        let next = due.get(MAX_SERVERS_PER_DATAGRAM).map(|state| state.run);
        let mut reported = Vec::new();
        for state in due.into_iter().take(MAX_SERVERS_PER_DATAGRAM) {
            state.rate_limit.is_reported = true;
            let observed = state.rate_limit.observed.as_ref();
            reported.extend(observed.map(|observed| report::encode(state.run, observed, now_ms)));
        }
        if !only_changes {
            self.next_reported = next.unwrap_or_default();
        }
        (!reported.is_empty()).then_some(RateLimitReport(reported))
    }

    /// Returns the rate limit that a server named, in requests per second.
    pub fn rate_limit(&self, handle: BackendHandle) -> Option<f64> {
        self.backends().find(|state| state.handle == handle)?.rate_limit.limit_per_s()
    }

    /// Iterates over all backend servers.
    pub fn handles(&self) -> impl Iterator<Item = BackendHandle> {
        self.backends().map(|state| state.handle)
    }

    /// Returns the number of servers with a rate limit.
    pub fn limited_servers(&self) -> usize {
        self.backends().filter(|state| state.rate_limit.limit_per_s().is_some()).count()
    }
}

fn change(
    state: &mut BackendState,
    local: &InstanceId,
    members: &Members,
    now_ms: u64,
) -> RateLimitChange {
    divide_limit(state, local, members, now_ms);
    RateLimitChange {
        backend: state.backend.id.clone(),
        limit_per_s: state.rate_limit.limit_per_s(),
        part_per_s: state.rate_limit.part_per_s(),
    }
}

/// Divides a server's limit among the instances; to be called when the limit or the members have
/// changed.
pub(super) fn divide_limit(
    state: &mut BackendState,
    local: &InstanceId,
    members: &Members,
    now_ms: u64,
) {
    let holders = match state.rate_limit.max_parts() {
        0 => Vec::new(),
        max_parts => share::holders(state.backend.id.as_str(), members.registered(), max_parts),
    };
    state.rate_limit.set_holders(holders, local, now_ms);
}

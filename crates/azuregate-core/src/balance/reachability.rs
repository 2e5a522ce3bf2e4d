//! Tells an instance that is cut off from backend servers from servers that are down.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::BackendHandle;
use crate::{
    names::{InstanceId, ServiceName, StartNumber},
    route::hash::stable_hash,
};

/// Servers of a service that fail in a row, without a response on a new connection to any of them, before the
/// links are checked.
const FAILURES_BEFORE_CHECK: usize = 2;
/// Minimum time between two checks of a service that was reachable.
const CHECK_INTERVAL_MS: u64 = 1_000;
/// Time for which a change is reported with every heartbeat, for instances that missed it.
const REPORTED_MS: u64 = 5_000;

/// Which services this instance can reach.
///
/// A server that fails says little: it may be down. An instance therefore checks several servers
/// of a service at once when connections to two in a row fail, and considers the service
/// unreachable if none of them accepts a connection. Whether others reach it is known from their
/// [`ReachabilityReport`]s: if all report the same, the servers are down.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    services: BTreeMap<ServiceName, ServiceReachability>,
    changed_at_ms: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct ServiceReachability {
    /// Servers that failed since the last response on a new connection.
    failed: Vec<BackendHandle>,
    is_checking: bool,
    checked_at_ms: Option<u64>,
    is_unreachable: bool,
}

impl Reachability {
    /// Records that a connection to a server failed or broke. Returns whether to check `servers`,
    /// the number of servers that the service has; [`Reachability::record_check`] must follow.
    #[must_use]
    pub fn record_failure(
        &mut self,
        service: &ServiceName,
        handle: BackendHandle,
        servers: usize,
        now_ms: u64,
    ) -> bool {
        let state = self.services.entry(service.clone()).or_default();
        if !state.failed.contains(&handle) && state.failed.len() < FAILURES_BEFORE_CHECK {
            state.failed.push(handle);
        }
        let is_due = state.checked_at_ms.is_none_or(|at_ms| at_ms + CHECK_INTERVAL_MS <= now_ms);
        state.failed.len() >= FAILURES_BEFORE_CHECK.min(servers) && is_due && state.start_check()
    }

    /// Returns whether to check a service, since another one is unreachable.
    #[must_use]
    pub fn start_check(&mut self, service: &ServiceName) -> bool {
        self.services.entry(service.clone()).or_default().start_check()
    }

    /// Records a response on a new connection to a server of a service.
    pub fn record_connection(&mut self, service: &ServiceName) {
        if let Some(state) = self.services.get_mut(service) {
            state.failed.clear();
        }
    }

    /// Records whether any checked server accepted a connection. Returns whether that is a change;
    /// checks go on while the service is unreachable.
    pub fn record_check(&mut self, service: &ServiceName, is_reachable: bool, now_ms: u64) -> bool {
        let state = self.services.entry(service.clone()).or_default();
        state.is_checking = !is_reachable;
        state.checked_at_ms = Some(now_ms);
        if is_reachable {
            state.failed.clear();
        }
        let has_changed = state.is_unreachable == is_reachable;
        state.is_unreachable = !is_reachable;
        if has_changed {
            self.changed_at_ms = Some(now_ms);
        }
        has_changed
    }

    /// Returns whether a check of a service goes on: it has not ended yet, or no server was reached.
    pub fn is_checking(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|state| state.is_checking)
    }

    /// Returns whether no server of a service can be reached.
    pub fn is_unreachable(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|state| state.is_unreachable)
    }

    /// Returns the number of unreachable services.
    pub fn unreachable_services(&self) -> usize {
        self.services.values().filter(|state| state.is_unreachable).count()
    }

    /// Returns the report to other instances, or `None` if there is nothing to report. `served` are
    /// the services that have servers.
    pub fn next_report<'a>(
        &self,
        instance: &InstanceId,
        start: StartNumber,
        served: impl Iterator<Item = &'a ServiceName>,
        now_ms: u64,
    ) -> Option<ReachabilityReport> {
        let unreachable = self.services.iter().filter(|(_, state)| state.is_unreachable);
        let unreachable: Vec<u32> =
            unreachable.map(|(service, _)| service_hash(service.as_str())).collect();
        let was_changed = self.changed_at_ms.is_some_and(|at_ms| at_ms + REPORTED_MS > now_ms);
        (was_changed || !unreachable.is_empty()).then(|| ReachabilityReport {
            instance: instance.as_str().to_owned(),
            start,
            is_cut_off: self.is_cut_off(served),
            unreachable,
        })
    }

    /// Returns whether all of `served`, the services that have servers, are unreachable.
    pub fn is_cut_off<'a>(&self, mut served: impl Iterator<Item = &'a ServiceName>) -> bool {
        self.unreachable_services() > 0 && served.all(|service| self.is_unreachable(service))
    }
}

impl ServiceReachability {
    fn start_check(&mut self) -> bool {
        !std::mem::replace(&mut self.is_checking, true)
    }
}

/// What an instance tells others of the services that it cannot reach.
///
/// Sent while there are any, and for some seconds after a change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReachabilityReport {
    /// The instance.
    pub instance: String,
    /// Identifies this run of the instance.
    pub start: StartNumber,
    /// Whether it reaches no server at all.
    pub is_cut_off: bool,
    /// Hashes of the names of the services that it cannot reach.
    pub unreachable: Vec<u32>,
}

impl ReachabilityReport {
    /// Returns whether the instance can reach a service.
    pub fn reaches(&self, service: &str) -> bool {
        !self.unreachable.contains(&service_hash(service))
    }
}

fn service_hash(service: &str) -> u32 {
    (stable_hash(&[service]) >> 32) as u32
}

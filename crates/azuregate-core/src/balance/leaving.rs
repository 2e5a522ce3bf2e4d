//! Backend servers that announce in their responses that they are leaving.
//!
//! A server that has told this instance gets no further requests in this run, whatever its
//! registration says. Other instances are told, since the store's news may be late. They send to it
//! only if no other server has room, and only for a time: the word of one response, passed on, takes
//! no server away from all instances.

use std::mem;

use serde::{Deserialize, Serialize};

use super::{BackendHandle, BackendRun, Balancer, backends::BackendState};
use crate::names::BackendId;

/// Time for which the report of another instance holds: several times that of the store's news.
const REPORT_TTL_MS: u64 = 10_000;
/// How often a report is sent, since datagrams may be lost.
const REPORT_REPETITIONS: u32 = 3;
/// Servers per datagram, so that it fits in one packet.
const MAX_SERVERS_PER_DATAGRAM: usize = 80;

/// What is known of a run's leaving beside its registration.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Leaving {
    /// Whether the server has told this instance.
    pub(super) is_announced: bool,
    /// Until when the report of another instance holds.
    reported_until_ms: u64,
}

impl Leaving {
    pub(super) fn is_reported(&self, now_ms: u64) -> bool {
        now_ms < self.reported_until_ms
    }
}

/// A report of leaving servers from one instance to another. It contains only what servers have told
/// the sender itself.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(transparent)]
pub struct LeavingReport(
    /// The runs of the servers.
    pub Vec<BackendRun>,
);

/// The reports that are due, with the number of times that each is still to be sent.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingReports(Vec<(BackendRun, u32)>);

impl Balancer {
    /// Records that a run of a server has said that it is leaving, in a response that this instance
    /// passes on; returns the server's name if that is news.
    pub fn record_leaving(&mut self, run: BackendRun, now_ms: u64) -> Option<BackendId> {
        let Some(state) = self.backends_mut().find(|state| state.run == run) else {
            self.unregistered
                .update(run, |announcements| announcements.leaving.is_announced = true);
            return None;
        };
        let leaving = &mut state.announcements.leaving;
        if mem::replace(&mut leaving.is_announced, true) {
            return None;
        }
        let (id, is_reported) = (state.backend.id.clone(), leaving.is_reported(now_ms));
        // Otherwise all instances would tell all others of each server.
        if !is_reported {
            self.leaving_reports.0.push((run, REPORT_REPETITIONS));
        }
        Some(id)
    }

    /// Records the report of another instance; returns the servers of which it is news.
    pub fn record_leaving_report(&mut self, report: &LeavingReport, now_ms: u64) -> Vec<BackendId> {
        let is_news = |state: &&mut BackendState| {
            let leaving = &state.announcements.leaving;
            report.0.contains(&state.run) && !leaving.is_announced && !leaving.is_reported(now_ms)
        };
        let news = self.backends_mut().filter(is_news);
        news.map(|state| {
            state.announcements.leaving.reported_until_ms = now_ms + REPORT_TTL_MS;
            state.backend.id.clone()
        })
        .collect()
    }

    /// Returns the next report to all other instances, or only one of servers that are new in it.
    pub fn next_leaving_report(&mut self, only_new: bool) -> Option<LeavingReport> {
        let is_due = |count: u32| !only_new || count == REPORT_REPETITIONS;
        let pending = self.leaving_reports.0.iter_mut().filter(|(_, count)| is_due(*count));
        let reported = pending.take(MAX_SERVERS_PER_DATAGRAM).map(|(run, count)| {
            *count -= 1;
            *run
        });
        let report = LeavingReport(reported.collect());
        self.leaving_reports.0.retain(|(_, count)| *count > 0);
        (!report.0.is_empty()).then_some(report)
    }

    /// Returns whether a server has announced, to this instance or to one that reports it, that it is
    /// leaving.
    pub fn is_leaving(&self, handle: BackendHandle, now_ms: u64) -> bool {
        let state = self.backends().find(|state| state.handle == handle);
        state.is_some_and(|state| {
            let leaving = &state.announcements.leaving;
            leaving.is_announced || leaving.is_reported(now_ms)
        })
    }

    /// Returns whether a server has told this instance that it is leaving.
    pub fn has_announced_leaving(&self, handle: BackendHandle) -> bool {
        let state = self.backends().find(|state| state.handle == handle);
        state.is_some_and(|state| state.announcements.leaving.is_announced)
    }

    /// Returns the number of servers that have told this instance that they are leaving.
    pub fn leaving_servers(&self) -> usize {
        self.backends().filter(|state| state.announcements.leaving.is_announced).count()
    }
}

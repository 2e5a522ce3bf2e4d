//! Quarantine of requests that crash the backend servers that execute them.

mod crash;
mod evidence;
mod report;
mod responses;

use std::{collections::BTreeMap, mem};

pub use self::report::{BackendRun, CrashReport, Fingerprint, ReportScope, ReportedCrash};
use self::{
    crash::{CRASH_TTL_MS, Crash, since_epoch},
    evidence::Evidence,
    report::{MAX_REQUESTS_PER_DATAGRAM, REPORT_REPETITIONS},
    responses::RecentResponses,
};

/// Time from the last crash to the first trial of a quarantined request; doubled for each
/// failed trial. Long enough to roll back the version of a service.
const FIRST_TRIAL_MS: u64 = 600_000;
/// Trials after which a request stays quarantined until its crashes are forgotten.
const MAX_TRIALS: usize = 3;
/// Time within which a trial must have ended before there is another one.
const TRIAL_TIMEOUT_MS: u64 = 60_000;
/// Time within which all instances notice one crash. Requests that break later were sent to a
/// server that had crashed already.
const MAX_NOTICE_MS: u64 = 1_000;
/// Bounds the memory to some hundred kilobytes, whatever callers send.
const MAX_STORED_CRASHES: usize = 256;
/// Requests stored of one crash.
const MAX_REQUESTS_PER_CRASH: usize = 64;

/// Whether a request may be sent to backend servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may be sent.
    Allowed,
    /// It is quarantined.
    Refused {
        /// Time until it may be tried again.
        retry_after_ms: u64,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct Quarantined {
    failed_trials: usize,
    last_crash_ms: u64,
    trial_started_at_ms: Option<u64>,
}

impl Quarantined {
    fn next_trial_ms(&self) -> Option<u64> {
        if self.failed_trials >= MAX_TRIALS {
            return None;
        }
        let due_ms = self.last_crash_ms + (FIRST_TRIAL_MS << self.failed_trials);
        let previous_ends_ms = self.trial_started_at_ms.map_or(0, |at| at + TRIAL_TIMEOUT_MS);
        Some(due_ms.max(previous_ends_ms))
    }
}

/// Recognizes requests that crash the backend servers that execute them, and keeps them from
/// being sent to one server after the other.
///
/// Such a request comes back under new IDs and at any instance, so no instance sees more than
/// a few of its crashes. Instances therefore report which requests were in flight at each
/// crash. A request is quarantined after three crashes of different servers, without
/// a response of any server in between.
///
/// Other requests in flight at the same servers are told from the cause by the number of their
/// crashes: a crash counts only for the request that was in flight at the most crashes. Of several
/// servers that crash at the same time, most must have had the request.
///
/// A quarantined request is tried again after a while by one instance, and released if a
/// server responds.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    crashes: BTreeMap<BackendRun, Crash>,
    quarantined: BTreeMap<Fingerprint, Quarantined>,
    /// Cleared requests to report, with the number of reports left.
    cleared: BTreeMap<Fingerprint, u32>,
    responses: RecentResponses,
    /// The crash with which the next report begins.
    first_unreported: BackendRun,
}

impl Quarantine {
    /// Returns whether any crash is known. Otherwise every request is admitted.
    pub fn has_crashes(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined_requests(&self) -> usize {
        self.quarantined.len()
    }

    /// Returns whether a request may be sent. `is_responsible` tells whether this instance is
    /// the one that tries it again.
    pub fn admit(
        &mut self,
        request: Fingerprint,
        is_responsible: impl FnOnce() -> bool,
        now_ms: u64,
    ) -> Admission {
        let Some(quarantined) = self.quarantined.get_mut(&request) else {
            return Admission::Allowed;
        };
        let now_ms = since_epoch(now_ms);
        let next_trial_ms = quarantined.next_trial_ms();
        if next_trial_ms.is_some_and(|at| at <= now_ms) && is_responsible() {
            quarantined.trial_started_at_ms = Some(now_ms);
            return Admission::Allowed;
        }
        let ends_ms = next_trial_ms.unwrap_or(quarantined.last_crash_ms + CRASH_TTL_MS);
        let retry_after_ms = ends_ms.saturating_sub(now_ms).max(TRIAL_TIMEOUT_MS);
        Admission::Refused { retry_after_ms }
    }

    /// Records that this instance saw a server crash with `requests` in flight. Returns the
    /// requests that are quarantined from now on.
    pub fn record_crash(
        &mut self,
        run: BackendRun,
        requests: &[Fingerprint],
        at_ms: u64,
    ) -> Vec<Fingerprint> {
        if !self.add_crash(run, requests, since_epoch(at_ms)) {
            return Vec::new();
        }
        if let Some(crash) = self.crashes.get_mut(&run) {
            crash.reports_left = REPORT_REPETITIONS;
        }
        self.update()
    }

    /// Records the report of another instance. Returns the requests that are quarantined from
    /// now on.
    pub fn record_report(&mut self, report: &CrashReport, now_ms: u64) -> Vec<Fingerprint> {
        let CrashReport(crashes, cleared) = report;
        let mut has_changed = false;
        for (run, age_ms, requests) in crashes {
            if *age_ms < CRASH_TTL_MS {
                has_changed |= self.add_crash(*run, requests, since_epoch(now_ms) - age_ms);
            }
        }
        for request in cleared {
            has_changed |= self.clear(*request);
        }
        if has_changed { self.update() } else { Vec::new() }
    }

    /// Records that a server responded to a request. Returns whether that clears it of
    /// crashes.
    pub fn record_response(&mut self, request: Fingerprint, now_ms: u64) -> bool {
        self.responses.record(request, since_epoch(now_ms));
        let was_suspect = self.clear(request);
        if was_suspect {
            self.cleared.insert(request, REPORT_REPETITIONS);
            self.update();
        }
        was_suspect
    }

    /// Returns what to report to the other instances, `None` if there is nothing.
    pub fn next_report(&mut self, scope: ReportScope, now_ms: u64) -> Option<CrashReport> {
        let cleared = self.next_cleared(scope);
        let crashes = self.next_crashes(scope, MAX_REQUESTS_PER_DATAGRAM - cleared.len(), now_ms);
        let report = CrashReport(crashes, cleared);
        (report != CrashReport::default()).then_some(report)
    }

    fn next_cleared(&mut self, scope: ReportScope) -> Vec<Fingerprint> {
        let due = self.cleared.iter_mut().filter(|(_, reports_left)| scope.is_due(**reports_left));
        let mut cleared = Vec::new();
        for (request, reports_left) in due.take(MAX_REQUESTS_PER_DATAGRAM) {
            *reports_left -= 1;
            cleared.push(*request);
        }
        self.cleared.retain(|_, reports_left| *reports_left > 0);
        cleared
    }

    /// Returns crashes with `max_requests` in all. What does not fit comes first in the next
    /// report.
    fn next_crashes(
        &mut self,
        scope: ReportScope,
        max_requests: usize,
        now_ms: u64,
    ) -> Vec<ReportedCrash> {
        let now_ms = since_epoch(now_ms);
        let first = self.first_unreported;
        let in_turn = self.crashes.range(first..).chain(self.crashes.range(..first));
        let runs: Vec<BackendRun> = in_turn.map(|(run, _)| *run).collect();
        let mut requests_left = max_requests;
        let mut reported = Vec::new();
        for run in runs {
            let Some(crash) = self.crashes.get_mut(&run) else { continue };
            let is_due = scope.is_due(crash.reports_left);
            if !is_due && scope != ReportScope::Quarantined {
                continue;
            }
            let mut requests: Vec<Fingerprint> = crash.suspects().collect();
            requests.retain(|request| is_due || self.quarantined.contains_key(request));
            if requests.len() > requests_left {
                self.first_unreported = run;
                break;
            }
            if requests.is_empty() {
                continue;
            }
            crash.reports_left = crash.reports_left.saturating_sub(1);
            requests_left -= requests.len();
            reported.push((run, now_ms - crash.at_ms, requests));
        }
        reported
    }

    /// Returns the quarantined requests with their crashes and the times since these.
    pub fn quarantined_crashes(
        &self,
        now_ms: u64,
    ) -> BTreeMap<Fingerprint, Vec<(BackendRun, u64)>> {
        let now_ms = since_epoch(now_ms);
        let crashes_of = |request: &Fingerprint| {
            let crashes = self.crashes.iter().filter(|(_, crash)| crash.is_suspect(*request));
            crashes.map(|(run, crash)| (*run, now_ms - crash.at_ms)).collect()
        };
        self.quarantined.keys().map(|request| (*request, crashes_of(request))).collect()
    }

    /// Forgets old crashes.
    pub fn expire(&mut self, now_ms: u64) {
        let count = self.crashes.len();
        let oldest_ms = since_epoch(now_ms) - CRASH_TTL_MS;
        self.crashes.retain(|_, crash| crash.at_ms > oldest_ms);
        if self.crashes.len() < count {
            self.update();
        }
    }

    /// Adds requests that were in flight at a crash; returns whether any of them is new.
    fn add_crash(&mut self, run: BackendRun, requests: &[Fingerprint], at_ms: u64) -> bool {
        if !self.crashes.contains_key(&run) && self.crashes.len() >= MAX_STORED_CRASHES {
            self.evict();
        }
        let crash = self.crashes.entry(run).or_insert_with(|| Crash {
            at_ms,
            requests: BTreeMap::new(),
            reports_left: 0,
        });
        if at_ms > crash.at_ms + MAX_NOTICE_MS {
            return false;
        }
        let count = crash.requests.len();
        for request in requests {
            if crash.requests.len() < MAX_REQUESTS_PER_CRASH
                && !crash.requests.contains_key(request)
            {
                // The crash may be recorded later than the response.
                let is_cleared = self.responses.is_later(*request, crash.at_ms);
                crash.requests.insert(*request, is_cleared);
                if is_cleared {
                    self.cleared.insert(*request, REPORT_REPETITIONS);
                }
            }
        }
        crash.requests.len() > count
    }

    /// Evicts the oldest crash, one without quarantined requests if there is any.
    fn evict(&mut self) {
        let oldest = self.crashes.iter().min_by_key(|(_, crash)| {
            (crash.suspects().any(|request| self.quarantined.contains_key(&request)), crash.at_ms)
        });
        if let Some(run) = oldest.map(|(run, _)| *run) {
            self.crashes.remove(&run);
        }
    }

    fn clear(&mut self, request: Fingerprint) -> bool {
        let mut was_suspect = false;
        for crash in self.crashes.values_mut() {
            if let Some(is_cleared) = crash.requests.get_mut(&request) {
                was_suspect |= !mem::replace(is_cleared, true);
            }
        }
        was_suspect
    }

    /// Recomputes the quarantined requests and returns those that are new.
    fn update(&mut self) -> Vec<Fingerprint> {
        let evidence = Evidence::of(&self.crashes);
        let previous = mem::take(&mut self.quarantined);
        let mut added = Vec::new();
        for (&request, runs) in &evidence.runs {
            let before = previous.get(&request).copied();
            let is_quarantined = match before {
                Some(_) => !evidence.is_dominated(request),
                None => {
                    let is_unexplained = |run: &&BackendRun| {
                        let mut others = self.crashes[run].suspects().filter(|o| *o != request);
                        !others.any(|o| evidence.explains(o, request, previous.contains_key(&o)))
                    };
                    runs.iter().filter(is_unexplained).count() >= evidence.needed(request)
                }
            };
            if !is_quarantined {
                continue;
            }
            let last_crash_ms = runs.iter().map(|run| self.crashes[run].at_ms).max();
            self.quarantined.insert(
                request,
                Quarantined {
                    failed_trials: runs.len().saturating_sub(evidence.needed(request)),
                    last_crash_ms: last_crash_ms.unwrap_or_default(),
                    ..before.unwrap_or_default()
                },
            );
            if before.is_none() {
                added.push(request);
            }
        }
        added
    }
}

//! Probes the backend servers that this instance watches.

use std::{collections::BTreeSet, time::Duration};

use azuregate_core::{
    names::{BackendId, InstanceId, StartNumber},
    probe::{ProbeReport, ProbeTracker, watched_servers},
    snapshot::{BackendServer, Snapshot},
};
use futures_util::future;
use hyper::{Request, header};
use tokio::time;

use crate::{
    backend::{Pool, SharedDialer},
    body,
    config::{Change, Config, Snapshots},
    timer::Timer,
};

/// How often a backend server is probed by each watcher.
const PROBE_MS: u64 = 1_000;
/// How long a probe may take; the usual is about 6 ms.
const ANSWER_MS: u64 = 700;
/// The path that probes ask for.
const PROBE_PATH: &str = "/health";

/// What the prober works with.
pub struct Prober {
    /// The name of this instance.
    pub instance: InstanceId,
    /// Its start number.
    pub start: StartNumber,
    /// Opens connections to backend servers.
    pub dialer: SharedDialer,
    /// Takes in reports.
    pub config: Config,
    /// Tells which servers there are.
    pub snapshots: Snapshots,
    /// When to probe.
    pub timer: Timer,
}

impl Prober {
    /// Probes until the task is aborted.
    pub async fn serve(self) {
        let mut ticks = self.timer.subscribe(PROBE_MS);
        let mut tracker = ProbeTracker::default();
        let mut report = self.report(0, BTreeSet::new());
        let mut lists = self.snapshots.current();
        let mut servers = watched_servers(&self.instance, &lists);
        while ticks.recv().await.is_some() {
            let snapshot = self.snapshots.current();
            // Every pair of an instance and a server is hashed to find out who
            // watches what: milliseconds at today's size, but 0.2 s of processor
            // time with 680 instances and 3,000 servers. The lists change seldom.
            if !snapshot.shares_lists_with(&lists) {
                servers = watched_servers(&self.instance, &snapshot);
                lists = snapshot;
            }
            tracker.set_servers(&servers.iter().map(|server| server.id.clone()).collect());
            let probes = servers.iter().map(|server| self.probe(server));
            for (id, answered) in future::join_all(probes).await {
                tracker.record_probe(&id, answered);
            }
            let failed = tracker.failed_servers();
            if failed != report.failed {
                report = self.report(report.sequence + 1, failed);
                self.config.change(Change::Probes(self.instance.clone(), report.clone()));
            }
        }
    }

    fn report(&self, sequence: u64, failed: BTreeSet<BackendId>) -> ProbeReport {
        ProbeReport { start: self.start, sequence, failed }
    }

    /// Any answer counts: a server that sheds load is alive.
    async fn probe(&self, server: &BackendServer) -> (BackendId, bool) {
        let answer = time::timeout(Duration::from_millis(ANSWER_MS), self.ask(server)).await;
        (server.id.clone(), answer.unwrap_or(false))
    }

    async fn ask(&self, server: &BackendServer) -> bool {
        // A connection of its own: one that is kept may have gone silent while
        // new ones work.
        let Ok(mut conn) = self.dialer.dial(server.addr).await else {
            return false;
        };
        let request = Request::get(PROBE_PATH)
            .header(header::HOST, server.service.as_str())
            .body(body::empty());
        let Ok(request) = request else { return false };
        conn.send(request).await.is_ok()
    }
}

/// Closes the idle connections to backend servers that get no new work; ends
/// with the configuration.
pub async fn close_idle(pool: Pool, snapshots: Snapshots) {
    let mut changes = snapshots.watch();
    let mut closed = BTreeSet::new();
    loop {
        let snapshot = changes.borrow_and_update().clone();
        let shut = shut_servers(&snapshot);
        for &addr in shut.difference(&closed) {
            pool.close_idle(addr);
        }
        closed = shut;
        if changes.changed().await.is_err() {
            return;
        }
    }
}

fn shut_servers(snapshot: &Snapshot) -> BTreeSet<std::net::SocketAddr> {
    let servers = snapshot.backends.keys().flat_map(|service| snapshot.route_servers(service));
    servers.filter(|server| !server.available).map(|server| server.server.addr).collect()
}

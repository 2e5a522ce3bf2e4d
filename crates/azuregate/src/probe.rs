//! Probes the backend servers that are assigned to this instance.

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

const PROBE_INTERVAL_MS: u64 = 1_000;
/// A probe usually takes about 6 ms.
const PROBE_TIMEOUT_MS: u64 = 700;
const PROBE_PATH: &str = "/health";

/// Probes backend servers and reports those that do not answer.
pub struct Prober {
    /// The ID of this instance.
    pub instance: InstanceId,
    /// Its start number.
    pub start: StartNumber,
    /// Opens connections to backend servers.
    pub dialer: SharedDialer,
    /// Receives the reports.
    pub config: Config,
    /// Lists the backend servers.
    pub snapshots: Snapshots,
    /// Starts the rounds of probes.
    pub timer: Timer,
}

impl Prober {
    /// Probes until the task is aborted.
    pub async fn serve(self) {
        let mut ticks = self.timer.subscribe(PROBE_INTERVAL_MS);
        let mut tracker = ProbeTracker::default();
        let mut report = self.report(0, BTreeSet::new());
        let mut last_snapshot = self.snapshots.current();
        let mut servers = watched_servers(&self.instance, &last_snapshot);
        while ticks.recv().await.is_some() {
            let snapshot = self.snapshots.current();
            // Assigning the servers hashes every pair of an instance and a server,
            // which takes 0.2 s of CPU time with 680 instances and 3,000 servers, so
            // it is done only when a list has changed.
            if !snapshot.shares_lists_with(&last_snapshot) {
                servers = watched_servers(&self.instance, &snapshot);
                last_snapshot = snapshot;
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

    /// Returns whether the server answered, with any status: a server that sheds
    /// load is alive.
    async fn probe(&self, server: &BackendServer) -> (BackendId, bool) {
        let answer =
            time::timeout(Duration::from_millis(PROBE_TIMEOUT_MS), self.send_probe(server)).await;
        (server.id.clone(), answer.unwrap_or(false))
    }

    async fn send_probe(&self, server: &BackendServer) -> bool {
        // A new connection for each probe: a pooled one may have failed silently
        // while the server accepts new ones.
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

/// Closes the idle connections to backend servers that get no new work, until the
/// configuration task ends.
pub async fn close_idle(pool: Pool, snapshots: Snapshots) {
    let mut changes = snapshots.watch();
    let mut closed = BTreeSet::new();
    loop {
        let snapshot = changes.borrow_and_update().clone();
        let unavailable = unavailable_addrs(&snapshot);
        for &addr in unavailable.difference(&closed) {
            pool.close_idle(addr);
        }
        closed = unavailable;
        if changes.changed().await.is_err() {
            return;
        }
    }
}

fn unavailable_addrs(snapshot: &Snapshot) -> BTreeSet<std::net::SocketAddr> {
    let servers = snapshot.backends.keys().flat_map(|service| snapshot.route_servers(service));
    servers.filter(|server| !server.available).map(|server| server.server.addr).collect()
}

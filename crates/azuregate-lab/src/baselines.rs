//! Rules that the dispatchers are measured against: each instance chooses
//! alone, among all backend servers of a service.

use std::sync::Arc;

use azuregate::dispatch::RoutingMode;
use azuregate_core::{
    names::BackendId,
    route::{Capacity, Completion, LoadReport, Locality, Router, ServerStatus},
    time::Millis,
};

/// The rule with this name.
///
/// # Errors
///
/// When there is none; the text lists those that there are.
pub fn rule(name: &str) -> Result<RoutingMode, String> {
    match name {
        "random" => Ok(RoutingMode::Independent(Arc::new(|| Box::new(Random::default())))),
        "round-robin" => Ok(RoutingMode::Independent(Arc::new(|| Box::new(RoundRobin::default())))),
        "least-load" => Ok(RoutingMode::Independent(Arc::new(|| Box::new(LeastLoad::default())))),
        "nearest" => Ok(RoutingMode::nearest()),
        "dispatcher" => Ok(RoutingMode::default()),
        _ => Err(format!(
            "there is no rule {name:?}; there are random, round-robin, least-load, nearest and \
             dispatcher"
        )),
    }
}

/// What all baselines know of a server.
#[derive(Debug)]
struct Server {
    id: BackendId,
    open: bool,
    in_use: u32,
    report: Option<LoadReport>,
}

/// The servers of a router, which keep their keys.
#[derive(Debug, Default)]
struct Servers {
    all: Vec<Server>,
}

impl Servers {
    fn set(&mut self, servers: &[ServerStatus]) {
        for known in &mut self.all {
            known.open = false;
        }
        for ServerStatus { server, available } in servers {
            match self.all.iter_mut().find(|known| known.id == server.id) {
                Some(known) => known.open = *available,
                None => self.all.push(Server {
                    id: server.id.clone(),
                    open: *available,
                    in_use: 0,
                    report: None,
                }),
            }
        }
    }

    fn open(&self) -> impl Iterator<Item = usize> {
        (0..self.all.len()).filter(|&key| self.all[key].open)
    }

    fn take(&mut self, key: usize) -> usize {
        self.all[key].in_use += 1;
        key
    }

    /// They count no slots, and never make a request wait for one.
    fn room(&self) -> Capacity {
        let open = self.open().next().is_some();
        if open { Capacity { free: u32::MAX, total: u32::MAX } } else { Capacity::default() }
    }

    fn finish(&mut self, key: usize) {
        let server = &mut self.all[key];
        server.in_use = server.in_use.saturating_sub(1);
    }
}

/// Any server, with equal chances, whatever it is known to hold.
#[derive(Debug, Default)]
pub struct Random {
    servers: Servers,
}

/// Each server in turn, whatever it is known to hold.
#[derive(Debug, Default)]
pub struct RoundRobin {
    servers: Servers,
    last: Option<usize>,
}

/// The server with the smallest load by its own last report.
#[derive(Debug, Default)]
pub struct LeastLoad {
    servers: Servers,
}

macro_rules! delegate {
    () => {
        fn set_servers(&mut self, _locality: Locality<'_>, servers: &[ServerStatus]) {
            self.servers.set(servers);
        }

        fn id(&self, key: usize) -> &BackendId {
            &self.servers.all[key].id
        }

        fn release(&mut self, key: usize, _completion: Completion, _now_ms: Millis) {
            self.servers.finish(key);
        }

        fn record_load(&mut self, key: usize, report: LoadReport) {
            self.servers.all[key].report = Some(report);
        }

        fn capacity(&self) -> Capacity {
            self.servers.room()
        }
    };
}

impl Router for Random {
    delegate!();

    fn acquire(&mut self, _now_ms: Millis, rng: &mut fastrand::Rng) -> Option<usize> {
        let count = self.servers.open().count();
        let nth = if count == 0 { return None } else { rng.usize(..count) };
        let key = self.servers.open().nth(nth)?;
        Some(self.servers.take(key))
    }
}

impl Router for RoundRobin {
    delegate!();

    fn acquire(&mut self, _now_ms: Millis, rng: &mut fastrand::Rng) -> Option<usize> {
        // Instances that all start at the first server would move in step.
        let count = self.servers.all.len();
        let last = *self.last.get_or_insert_with(|| rng.usize(..count.max(1)));
        let after = self.servers.open().find(|&key| key > last);
        let key = after.or_else(|| self.servers.open().next())?;
        self.last = Some(key);
        Some(self.servers.take(key))
    }
}

impl Router for LeastLoad {
    delegate!();

    fn acquire(&mut self, _now_ms: Millis, rng: &mut fastrand::Rng) -> Option<usize> {
        let load = |key: usize| self.servers.all[key].report.map_or(0, |report| report.in_use);
        let least = self.servers.open().map(load).min()?;
        let ties: Vec<_> = self.servers.open().filter(|&key| load(key) == least).collect();
        let key = ties[rng.usize(..ties.len())];
        Some(self.servers.take(key))
    }
}

//! Baseline load-balancing rules that the dispatchers are compared with. Each
//! instance chooses independently among all backend servers of a service.

use std::sync::Arc;

use azuregate::dispatch::RoutingMode;
use azuregate_core::{
    names::BackendId,
    route::{Capacity, Completion, LoadReport, Locality, Router, ServerStatus},
    time::Millis,
};

/// Returns the rule with this name.
///
/// # Errors
///
/// When there is none; the message lists the names.
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

/// The state that all baselines keep of a server.
#[derive(Debug)]
struct Server {
    id: BackendId,
    available: bool,
    in_use: u32,
    report: Option<LoadReport>,
}

/// The servers of a router. The key of a server is stable.
#[derive(Debug, Default)]
struct Servers {
    all: Vec<Server>,
}

impl Servers {
    fn set(&mut self, servers: &[ServerStatus]) {
        for existing in &mut self.all {
            existing.available = false;
        }
        for ServerStatus { server, available } in servers {
            match self.all.iter_mut().find(|existing| existing.id == server.id) {
                Some(existing) => existing.available = *available,
                None => self.all.push(Server {
                    id: server.id.clone(),
                    available: *available,
                    in_use: 0,
                    report: None,
                }),
            }
        }
    }

    fn available(&self) -> impl Iterator<Item = usize> {
        (0..self.all.len()).filter(|&key| self.all[key].available)
    }

    fn acquire(&mut self, key: usize) -> usize {
        self.all[key].in_use += 1;
        key
    }

    /// Baselines do not limit requests to slots, so a request never waits for one.
    fn capacity(&self) -> Capacity {
        let available = self.available().next().is_some();
        if available { Capacity { free: u32::MAX, total: u32::MAX } } else { Capacity::default() }
    }

    fn release(&mut self, key: usize) {
        let server = &mut self.all[key];
        server.in_use = server.in_use.saturating_sub(1);
    }
}

/// Chooses uniformly at random.
#[derive(Debug, Default)]
pub struct Random {
    servers: Servers,
}

/// Chooses each server in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    servers: Servers,
    last: Option<usize>,
}

/// Chooses the server with the lowest load in its last report.
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
            self.servers.release(key);
        }

        fn record_load(&mut self, key: usize, report: LoadReport) {
            self.servers.all[key].report = Some(report);
        }

        fn capacity(&self) -> Capacity {
            self.servers.capacity()
        }
    };
}

impl Router for Random {
    delegate!();

    fn acquire(&mut self, _now_ms: Millis, rng: &mut fastrand::Rng) -> Option<usize> {
        let count = self.servers.available().count();
        let nth = if count == 0 { return None } else { rng.usize(..count) };
        let key = self.servers.available().nth(nth)?;
        Some(self.servers.acquire(key))
    }
}

impl Router for RoundRobin {
    delegate!();

    fn acquire(&mut self, _now_ms: Millis, rng: &mut fastrand::Rng) -> Option<usize> {
        // A random start keeps instances from choosing the same servers in step.
        let count = self.servers.all.len();
        let last = *self.last.get_or_insert_with(|| rng.usize(..count.max(1)));
        let after = self.servers.available().find(|&key| key > last);
        let key = after.or_else(|| self.servers.available().next())?;
        self.last = Some(key);
        Some(self.servers.acquire(key))
    }
}

impl Router for LeastLoad {
    delegate!();

    fn acquire(&mut self, _now_ms: Millis, rng: &mut fastrand::Rng) -> Option<usize> {
        let load = |key: usize| self.servers.all[key].report.map_or(0, |report| report.in_use);
        let least = self.servers.available().map(load).min()?;
        let ties: Vec<_> = self.servers.available().filter(|&key| load(key) == least).collect();
        let key = ties[rng.usize(..ties.len())];
        Some(self.servers.acquire(key))
    }
}

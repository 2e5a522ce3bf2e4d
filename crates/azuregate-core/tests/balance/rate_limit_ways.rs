//! Ways to keep a server's rate limit by all instances together, compared by a model.

use std::collections::VecDeque;

use fastrand::Rng;

const SERVERS: usize = 24;
const LIMIT_PER_S: f64 = 3.0;
/// Requests per second of all clients.
const DEMAND_PER_S: f64 = 240.0;
const STEP_MS: u64 = 10;
const DURATION_MS: u64 = 60_000;
/// Time without requests, after which all instances have saved up what they can.
const IDLE_MS: u64 = 600_000;
/// A request takes up to this long from an instance to a server.
const MAX_TRANSIT_MS: u64 = 50;
const WINDOW_MS: u64 = 4_000;
const REPORT_INTERVAL_MS: u64 = 500;
const DEMAND_MEMORY_MS: u64 = 2_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    /// Each instance has an equal part.
    EqualParts,
    /// Each instance has a part in proportion to its requests, which all instances report.
    PartsByDemand,
    /// A few instances have a part each.
    FewParts,
    /// The same, and an instance that has no other server asks one of them for one request.
    FewPartsAndGrants,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    name: &'static str,
    limited_servers: usize,
    /// One in this many instances has requests.
    busy_one_in: usize,
}

struct Outcome {
    /// Most requests at one server in a window.
    worst_window: usize,
    /// Requests that limited servers got, of what their limits allow.
    used: f64,
    refused: f64,
}

/// Tokens of one instance for one server.
#[derive(Clone, Copy, Default)]
struct Bucket {
    rate_per_s: f64,
    saved: f64,
    at_ms: u64,
}

impl Bucket {
    fn try_take(&mut self, now_ms: u64) -> bool {
        let elapsed_s = (now_ms - self.at_ms) as f64 / 1_000.0;
        self.saved = (self.saved + elapsed_s * self.rate_per_s).min(1.0);
        self.at_ms = now_ms;
        let has_token = self.saved >= 1.0;
        if has_token {
            self.saved -= 1.0;
        }
        has_token
    }
}

struct Model {
    way: Way,
    scenario: Scenario,
    instances: usize,
    random: Rng,
    buckets: Vec<[Bucket; SERVERS]>,
    homes: Vec<Vec<usize>>,
    sent_at_ms: Vec<VecDeque<u64>>,
    arrivals: Vec<Vec<u64>>,
}

impl Model {
    fn new(way: Way, scenario: Scenario, instances: usize) -> Model {
        let mut model = Model {
            way,
            scenario,
            instances,
            random: Rng::with_seed(instances as u64),
            buckets: vec![[Bucket::default(); SERVERS]; instances],
            homes: Vec::new(),
            sent_at_ms: vec![VecDeque::new(); instances],
            arrivals: vec![Vec::new(); SERVERS],
        };
        for server in 0..SERVERS {
            let mut all: Vec<usize> = (0..instances).collect();
            model.random.shuffle(&mut all);
            let parts = (LIMIT_PER_S as usize).min(instances);
            let homes = all[..parts].to_vec();
            for (instance, buckets) in model.buckets.iter_mut().enumerate() {
                buckets[server].rate_per_s = match way {
                    Way::EqualParts => LIMIT_PER_S / instances as f64,
                    Way::PartsByDemand => 0.0,
                    _ if homes.contains(&instance) => LIMIT_PER_S / parts as f64,
                    _ => 0.0,
                };
            }
            model.homes.push(homes);
        }
        model
    }

    fn run(mut self) -> Outcome {
        let (mut requests, mut refused) = (0, 0);
        let busy = self.instances.div_ceil(self.scenario.busy_one_in);
        for now_ms in (IDLE_MS..IDLE_MS + DURATION_MS).step_by(STEP_MS as usize) {
            if self.way == Way::PartsByDemand && now_ms % REPORT_INTERVAL_MS == 0 {
                self.share_by_demand(now_ms);
            }
            let mean = DEMAND_PER_S * STEP_MS as f64 / 1_000.0;
            let count = mean as usize + usize::from(self.random.f64() < mean.fract());
            for _ in 0..count {
                requests += 1;
                let instance = self.random.usize(..busy);
                refused += usize::from(!self.send(instance, now_ms));
            }
        }
        let limited = &self.arrivals[..self.scenario.limited_servers];
        let received: usize = limited.iter().map(Vec::len).sum();
        let allowed = LIMIT_PER_S * DURATION_MS as f64 / 1_000.0 * limited.len() as f64;
        Outcome {
            worst_window: limited.iter().map(|times| worst_window(times)).max().unwrap_or(0),
            used: received as f64 / allowed,
            refused: refused as f64 / f64::from(requests),
        }
    }

    fn share_by_demand(&mut self, now_ms: u64) {
        let mut total = 0;
        for sent in &mut self.sent_at_ms {
            sent.retain(|at| at + DEMAND_MEMORY_MS > now_ms);
            total += sent.len();
        }
        for (buckets, sent) in self.buckets.iter_mut().zip(&self.sent_at_ms) {
            let share = sent.len() as f64 / total.max(1) as f64;
            for bucket in buckets {
                bucket.try_take(now_ms);
                bucket.rate_per_s = LIMIT_PER_S * share;
            }
        }
    }

    /// Sends a request to its first server, else to another one; returns whether it was sent.
    fn send(&mut self, instance: usize, now_ms: u64) -> bool {
        self.sent_at_ms[instance].push_back(now_ms);
        let first = self.random.usize(..SERVERS);
        for offset in 0..SERVERS {
            let server = (first + offset) % SERVERS;
            let is_limited = server < self.scenario.limited_servers;
            if !is_limited || self.buckets[instance][server].try_take(now_ms) {
                self.arrivals[server].push(now_ms + self.random.u64(..MAX_TRANSIT_MS));
                return true;
            }
        }
        if self.way != Way::FewPartsAndGrants {
            return false;
        }
        let home = self.homes[first][self.random.usize(..self.homes[first].len())];
        let is_granted = self.buckets[home][first].try_take(now_ms);
        if is_granted {
            self.arrivals[first].push(now_ms + 3 * self.random.u64(..MAX_TRANSIT_MS));
        }
        is_granted
    }
}

fn worst_window(times: &[u64]) -> usize {
    let mut times = times.to_vec();
    times.sort_unstable();
    let in_window = |start: usize| {
        times[start..].iter().take_while(|at| **at < times[start] + WINDOW_MS).count()
    };
    (0..times.len()).map(in_window).max().unwrap_or(0)
}

/// Guards against a way to share a limit that exceeds it as the number of instances grows, or
/// that leaves most of it unused where a few instances have all requests.
#[test]
fn few_parts_with_grants_keep_and_use_a_limit_at_every_size() {
    let scenarios = [
        Scenario {
            name: "one server of 24, all instances busy",
            limited_servers: 1,
            busy_one_in: 1,
        },
        Scenario { name: "all servers, all instances busy", limited_servers: 24, busy_one_in: 1 },
        Scenario { name: "all servers, one in 8 busy", limited_servers: 24, busy_one_in: 8 },
    ];
    let ways = [Way::EqualParts, Way::PartsByDemand, Way::FewParts, Way::FewPartsAndGrants];
    for scenario in scenarios {
        for way in ways {
            for instances in [8, 83, 680] {
                let outcome = Model::new(way, scenario, instances).run();
                println!(
                    "{} | {way:?} | {instances} instances | {} in 4 s | {:.0}% used | {:.0}% refused",
                    scenario.name,
                    outcome.worst_window,
                    outcome.used * 100.0,
                    outcome.refused * 100.0
                );
                if way != Way::FewPartsAndGrants {
                    continue;
                }
                let allowed = LIMIT_PER_S * WINDOW_MS as f64 / 1_000.0;
                // One more for requests that are under way when a window begins.
                assert!(outcome.worst_window as f64 <= allowed + 1.0, "{scenario:?} {instances}");
                if scenario.limited_servers == SERVERS {
                    assert!(outcome.used >= 0.5, "{scenario:?} {instances}: {}", outcome.used);
                }
            }
        }
    }
}

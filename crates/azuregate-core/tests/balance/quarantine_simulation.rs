//! Proper requests beside requests that crash servers and beside other crashes.

use azuregate_core::balance::{Admission, BackendRun, Fingerprint, Quarantine};
use fastrand::Rng;

const SERVERS: usize = 24;
/// Time that a server takes for a request.
const WORK_MS: u64 = 100;
/// Longer, so that the crash comes first.
const COMPANION_WORK_MS: u64 = 200;
const STEP_MS: u64 = 10;
const REQUESTS_PER_STEP: usize = 4;
const DOWNTIME_MS: u64 = 3_000;
const SEEDS: u64 = 4;
const DURATION_MS: u64 = 60_000;
/// Requests that come again and again, as for the front page.
const POPULAR_REQUESTS: u64 = 20;
const CAUSE: Fingerprint = Fingerprint(u64::MAX / 2);
const COMPANION: Fingerprint = Fingerprint(u64::MAX);

#[derive(Clone, Copy, Debug)]
struct Trouble {
    name: &'static str,
    /// Interval of crashes for reasons other than a request, 0 for none.
    crash_interval_ms: u64,
    /// Number of servers that crash at the same time.
    servers_at_once: usize,
    /// Interval of requests that crash the server, 0 for none.
    cause_interval_ms: u64,
    /// Whether another request, always the same, is at the same server with each such request.
    has_companion: bool,
}

struct InFlight {
    request: Fingerprint,
    server: usize,
    ends_at_ms: u64,
}

/// One view of the deployment, as if all instances learned of each event at once.
struct Simulation {
    quarantine: Quarantine,
    random: Rng,
    in_flight: Vec<InFlight>,
    up_at_ms: [u64; SERVERS],
    runs: u64,
    now_ms: u64,
    refused: usize,
    crashes_by_cause: usize,
}

impl Simulation {
    fn run(trouble: Trouble, seed: u64) -> Simulation {
        let mut simulation = Simulation {
            quarantine: Quarantine::default(),
            random: Rng::with_seed(seed),
            in_flight: Vec::new(),
            up_at_ms: [0; SERVERS],
            runs: 0,
            now_ms: 0,
            refused: 0,
            crashes_by_cause: 0,
        };
        while simulation.now_ms < DURATION_MS {
            simulation.step(trouble);
        }
        simulation
    }

    fn step(&mut self, trouble: Trouble) {
        self.now_ms += STEP_MS;
        for _ in 0..REQUESTS_PER_STEP {
            let request = match self.random.u64(..10) {
                0..4 => self.random.u64(..POPULAR_REQUESTS),
                _ => self.random.u64(POPULAR_REQUESTS..1 << 60),
            };
            self.send(Fingerprint(request));
        }
        if is_due(trouble.cause_interval_ms, self.now_ms) {
            let server = self.send(CAUSE);
            if trouble.has_companion {
                self.send_to(COMPANION, server);
            }
        }
        if is_due(trouble.crash_interval_ms, self.now_ms) {
            for _ in 0..trouble.servers_at_once {
                let server = self.random.usize(..SERVERS);
                self.crash(server);
            }
        }
        self.finish_requests();
    }

    /// Sends a request to a random server, which is returned.
    fn send(&mut self, request: Fingerprint) -> Option<usize> {
        let up: Vec<usize> = (0..SERVERS).filter(|s| self.up_at_ms[*s] <= self.now_ms).collect();
        let server = (!up.is_empty()).then(|| up[self.random.usize(..up.len())]);
        self.send_to(request, server);
        server
    }

    fn send_to(&mut self, request: Fingerprint, server: Option<usize>) {
        if self.quarantine.admit(request, || false, self.now_ms) != Admission::Allowed {
            self.refused += usize::from(request != CAUSE);
            return;
        }
        let Some(server) = server else { return };
        let work_ms = if request == COMPANION { COMPANION_WORK_MS } else { WORK_MS };
        self.in_flight.push(InFlight { request, server, ends_at_ms: self.now_ms + work_ms });
    }

    fn finish_requests(&mut self) {
        let now_ms = self.now_ms;
        let (done, rest): (Vec<_>, Vec<_>) =
            self.in_flight.drain(..).partition(|at| at.ends_at_ms <= now_ms);
        self.in_flight = rest;
        for at in done {
            if at.request != CAUSE {
                self.quarantine.record_response(at.request, now_ms);
            } else if self.up_at_ms[at.server] <= now_ms {
                self.crashes_by_cause += 1;
                self.in_flight.push(at);
                self.crash(self.in_flight.last().map_or(0, |at| at.server));
            }
        }
    }

    fn crash(&mut self, server: usize) {
        if self.up_at_ms[server] > self.now_ms {
            return;
        }
        self.up_at_ms[server] = self.now_ms + DOWNTIME_MS;
        self.runs += 1;
        let broken = self.in_flight.extract_if(.., |at| at.server == server);
        let requests: Vec<Fingerprint> = broken.map(|at| at.request).collect();
        self.quarantine.record_crash(BackendRun(self.runs), &requests, self.now_ms);
    }
}

fn is_due(interval_ms: u64, now_ms: u64) -> bool {
    interval_ms > 0 && now_ms.is_multiple_of(interval_ms)
}

/// Guards against refusing proper requests that were in flight at servers that crashed.
#[test]
fn proper_requests_are_not_refused() {
    let calm = Trouble {
        name: "calm",
        crash_interval_ms: 0,
        servers_at_once: 1,
        cause_interval_ms: 0,
        has_companion: false,
    };
    let troubles = [
        Trouble { name: "a server crashes each 200 ms", crash_interval_ms: 200, ..calm },
        Trouble {
            name: "8 servers crash each 4 s",
            crash_interval_ms: 4_000,
            servers_at_once: 8,
            ..calm
        },
        Trouble { name: "a request crashes servers", cause_interval_ms: 100, ..calm },
        Trouble {
            name: "a request crashes servers, and others crash",
            cause_interval_ms: 100,
            crash_interval_ms: 200,
            ..calm
        },
        Trouble {
            name: "a request that crashes servers comes with another one",
            cause_interval_ms: 500,
            has_companion: true,
            ..calm
        },
    ];
    for trouble in troubles {
        for seed in 0..SEEDS {
            let simulation = Simulation::run(trouble, seed);
            println!(
                "{}: {} refused, {} servers crashed by the request",
                trouble.name, simulation.refused, simulation.crashes_by_cause
            );
            // Two requests that were always together are told apart by the next crash.
            let max_refused = usize::from(trouble.has_companion);
            assert!(simulation.refused <= max_refused, "{} seed {seed}", trouble.name);
            // Requests already sent when the third server crashes add to the three.
            assert!(simulation.crashes_by_cause <= 6, "{} seed {seed}", trouble.name);
        }
    }
}

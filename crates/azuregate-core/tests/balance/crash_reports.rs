//! Propagation of crash reports between many instances.

use azuregate_core::balance::{Admission, BackendRun, Fingerprint, Quarantine, ReportScope};
use fastrand::Rng;

const CAUSE: Fingerprint = Fingerprint(7);
const TICK_MS: u64 = 100;
const TICKS_PER_BEAT: u64 = 5;
/// As in the task that sends the reports.
const QUARANTINE_REPORTS_PER_BEAT: usize = 4;
/// The time within which the operator allows instances to learn of the third crash.
const CONTACT_MS: u64 = 3_000;

/// Instances that report crashes to each other.
struct Simulation {
    instances: Vec<Quarantine>,
    /// Instances that neither send nor receive.
    silent: Vec<bool>,
    loss: f64,
    random: Rng,
    now_ms: u64,
}

impl Simulation {
    fn new(count: usize, loss: f64, seed: u64) -> Simulation {
        Simulation {
            instances: vec![Quarantine::default(); count],
            silent: vec![false; count],
            loss,
            random: Rng::with_seed(seed),
            now_ms: 0,
        }
    }

    /// Three instances see one crash each.
    fn crash_three_servers(&mut self) {
        for run in 0..3 {
            let instance = self.random.usize(1..self.instances.len());
            let now_ms = self.now_ms;
            self.instances[instance].record_crash(BackendRun(run), &[CAUSE], now_ms);
        }
    }

    fn tick(&mut self) {
        self.now_ms += TICK_MS;
        let count = self.instances.len();
        for sender in 0..count {
            let is_beat = self.now_ms / TICK_MS % TICKS_PER_BEAT == sender as u64 % TICKS_PER_BEAT;
            let is_chosen = self.random.usize(..count - 1) < QUARANTINE_REPORTS_PER_BEAT;
            let scope = match (is_beat, is_chosen) {
                (false, _) => ReportScope::Unsent,
                (true, false) => ReportScope::Recent,
                (true, true) => ReportScope::Quarantined,
            };
            if self.silent[sender] {
                continue;
            }
            let Some(report) = self.instances[sender].next_report(scope, self.now_ms) else {
                continue;
            };
            for receiver in (0..count).filter(|receiver| *receiver != sender) {
                if !self.silent[receiver] && self.random.f64() >= self.loss {
                    self.instances[receiver].record_report(&report, self.now_ms);
                }
            }
        }
    }

    fn is_refused(&mut self, instance: usize) -> bool {
        let admission = self.instances[instance].admit(CAUSE, || false, self.now_ms);
        admission != Admission::Allowed
    }

    /// Returns after which time all instances that are not silent refuse the request.
    fn time_until_all_refuse(&mut self) -> u64 {
        let start_ms = self.now_ms;
        loop {
            let active: Vec<usize> =
                (0..self.instances.len()).filter(|n| !self.silent[*n]).collect();
            if active.into_iter().all(|instance| self.is_refused(instance)) {
                return self.now_ms - start_ms;
            }
            assert!(self.now_ms < start_ms + 60_000, "some instances never learn");
            self.tick();
        }
    }
}

/// Returns the number of seeds to run, fewer for many instances, which take longer.
fn seeds(instances: usize) -> u64 {
    if instances < 100 { 10 } else { 1 }
}

/// Guards against instances that learn too late of a request that crashes servers, and go on
/// sending it.
#[test]
fn all_instances_learn_of_the_third_crash_in_time() {
    for (count, loss) in [(8, 0.0), (8, 0.05), (8, 0.3), (83, 0.0), (83, 0.05), (680, 0.05)] {
        let mut slowest_ms = 0;
        for seed in 0..seeds(count) {
            let mut simulation = Simulation::new(count, loss, seed);
            simulation.crash_three_servers();
            slowest_ms = slowest_ms.max(simulation.time_until_all_refuse());
        }
        println!("{count} instances, loss {loss}: {slowest_ms} ms");
        assert!(slowest_ms < CONTACT_MS, "{count} instances, loss {loss}: {slowest_ms} ms");
    }
}

/// Guards against an instance that was silent while the crashes were reported, because it was
/// frozen, cut off or not started yet, and that then sends the request on.
#[test]
fn silent_instance_learns_in_time_after_its_return() {
    for (count, loss) in [(8, 0.0), (8, 0.05), (83, 0.05), (680, 0.05)] {
        let mut slowest_ms = 0;
        for seed in 0..seeds(count) {
            let mut simulation = Simulation::new(count, loss, seed);
            simulation.silent[0] = true;
            simulation.crash_three_servers();
            simulation.time_until_all_refuse();
            for _ in 0..20 {
                simulation.tick();
            }
            simulation.silent[0] = false;
            slowest_ms = slowest_ms.max(simulation.time_until_all_refuse());
        }
        println!("{count} instances, loss {loss}: {slowest_ms} ms after the return");
        assert!(slowest_ms < CONTACT_MS, "{count} instances, loss {loss}: {slowest_ms} ms");
    }
}

//! How one change spreads over the links between instances, as plain values.
//!
//! `cargo run -p azuregate --example spread` prints a table for
//! docs/CAPACITY.md. It walks the graph of links in steps: an instance that has
//! heard of the change sends it on all its links but those that it came on. No
//! time passes and no socket is opened; it measures the graph, not a network.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::IpAddr,
};

use azuregate::peer::Frame;
use azuregate_core::{
    membership::{Heartbeat, HeartbeatTiming},
    names::{BackendId, InstanceId, ServiceName, StartNumber, ZoneName},
    neighbours::{LinkGraph, link_graph},
    policy::{Cap, DEFAULT_SHIFT_DELAY_MS, Policy, Shift},
    probe::ProbeReport,
    snapshot::{Instance, Liveness},
    time::Millis,
};

/// Numbers of instances with numbers of zones.
const SIZES: [(usize, usize); 4] = [(9, 6), (85, 19), (340, 19), (680, 19)];
/// How many random sets of dead instances are tried for each size.
const SEEDS: u64 = 20;
/// Changes of configuration in a day.
const CHANGES_PER_DAY: f64 = 1_200.0;
const S_PER_DAY: f64 = 86_400.0;

fn main() {
    let change = bytes(&Frame::Policy(Box::new(policy())));
    let heartbeat = bytes(&heartbeat());
    println!("| frame | bytes |\n|---|---|");
    println!("| heartbeat | {heartbeat} |");
    println!("| policy in a shift, 6 zones, 2 drains | {change} |");
    println!("| stopping | {} |", bytes(&stopping()));
    println!("| probes, none failed | {} |", bytes(&probes(0)));
    println!("| probes, 10 failed | {} |", bytes(&probes(10)));
    println!();
    println!(
        "| instances | dead | links mean/max | hops max | not reached | \
         frames sent for one change mean/max | bytes sent for one change max | \
         bytes/s at rest mean/max | of it heartbeats, mean |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for (count, zones) in SIZES {
        let graph = link_graph(&instances(count, zones));
        let dead = count * 46 / 680;
        let deaths = if dead == 0 { vec![0] } else { vec![0, dead] };
        for dead in deaths {
            print_row(&graph, dead, change, heartbeat);
        }
    }
}

fn print_row(graph: &LinkGraph, dead: usize, change: usize, heartbeat: usize) {
    let mut all = Spread::default();
    let seeds = if dead == 0 { 1 } else { SEEDS };
    for seed in 0..seeds {
        all.merge(&spread(graph, dead, seed));
    }
    let links: Vec<f64> = graph.values().map(|linked| linked.len() as f64).collect();
    let (links_mean, links_max) = mean_max(&links);
    let frames: Vec<f64> = all.sent.iter().map(|&sent| sent as f64).collect();
    let (frames_mean, frames_max) = mean_max(&frames);
    let beats_per_s = 1e3 / HeartbeatTiming::for_deployment(graph.len()).heartbeat_ms as f64;
    let changes_per_s = CHANGES_PER_DAY / S_PER_DAY;
    let at_rest = |links: f64, frames: f64| {
        links * beats_per_s * heartbeat as f64 + changes_per_s * frames * change as f64
    };
    println!(
        "| {} | {dead} | {links_mean:.1} / {links_max} | {} | {} | {frames_mean:.1} / {frames_max} \
         | {:.0} | {:.0} / {:.0} | {:.0} |",
        graph.len(),
        all.hops,
        all.not_reached,
        frames_max * change as f64,
        at_rest(links_mean, frames_mean),
        at_rest(links_max, frames_max),
        links_mean * beats_per_s * heartbeat as f64,
    );
}

fn mean_max(values: &[f64]) -> (f64, f64) {
    let max = values.iter().copied().fold(0.0, f64::max);
    (values.iter().sum::<f64>() / values.len().max(1) as f64, max)
}

/// How a change went round.
#[derive(Debug, Default)]
struct Spread {
    hops: usize,
    not_reached: usize,
    /// Frames that each instance sent.
    sent: Vec<usize>,
}

impl Spread {
    fn merge(&mut self, other: &Spread) {
        self.hops = self.hops.max(other.hops);
        self.not_reached += other.not_reached;
        self.sent.extend(&other.sent);
    }
}

fn spread(graph: &LinkGraph, dead: usize, seed: u64) -> Spread {
    let mut rng = fastrand::Rng::with_seed(seed);
    let names: Vec<&InstanceId> = graph.keys().collect();
    let mut alive: BTreeSet<&InstanceId> = names.iter().copied().collect();
    while names.len() - alive.len() < dead {
        alive.remove(names[rng.usize(..names.len())]);
    }
    let first = *alive.iter().nth(rng.usize(..alive.len())).unwrap_or(&names[0]);
    let mut heard_from: BTreeMap<&InstanceId, BTreeSet<&InstanceId>> = BTreeMap::new();
    heard_from.insert(first, BTreeSet::new());
    let mut newly = vec![first];
    let mut sent: BTreeMap<&InstanceId, usize> = alive.iter().map(|id| (*id, 0)).collect();
    let mut hops = 0;
    while !newly.is_empty() {
        let mut frames = Vec::new();
        for from in newly.drain(..) {
            let came_from = &heard_from[from];
            let to = graph[from].iter().filter(|to| alive.contains(to) && !came_from.contains(to));
            frames.extend(to.map(|to| (from, to)));
        }
        for (from, to) in frames {
            *sent.entry(from).or_default() += 1;
            if !heard_from.contains_key(to) {
                newly.push(to);
            }
            heard_from.entry(to).or_default().insert(from);
        }
        hops += usize::from(!newly.is_empty());
    }
    let not_reached = alive.len() - heard_from.len();
    Spread { hops, not_reached, sent: sent.into_values().collect() }
}

fn bytes(frame: &Frame) -> usize {
    let mut bytes = Vec::new();
    match ciborium::into_writer(frame, &mut bytes) {
        Ok(()) => bytes.len(),
        Err(e) => panic!("{frame:?}: {e}"),
    }
}

fn instances(count: usize, zones: usize) -> Vec<Instance> {
    let instance = |index: usize| Instance {
        id: InstanceId::new(&format!("entry-{index:03}")),
        zone: ZoneName::new(&format!("zone-{:02}", index % zones)),
        ip: IpAddr::from([127, 0, 0, 1]),
        traffic_port: 8080,
        peer_port: 8081,
        liveness: Liveness::Live,
    };
    (0..count).map(instance).collect()
}

fn heartbeat() -> Frame {
    Frame::Heartbeat(Heartbeat { ready: true, confirmed_age_ms: Some(1_234), digest: u64::MAX - 1 })
}

fn stopping() -> Frame {
    Frame::Stopping {
        instance: InstanceId::new("entry-001"),
        start: StartNumber(1_796_256_000_000),
    }
}

fn probes(failed: usize) -> Frame {
    let id = |index| BackendId::new(&format!("starter-desk-{index:02}"));
    Frame::Probes {
        watcher: InstanceId::new("entry-001"),
        report: ProbeReport {
            start: StartNumber(1_796_256_000_000),
            sequence: 1_000,
            failed: (0..failed).map(id).collect(),
        },
    }
}

fn policy() -> Policy {
    let share = |index| (ZoneName::new(&format!("region-{}-{}", index / 2, index % 2)), 166_666);
    let shares: BTreeMap<_, _> = (0..6).map(share).collect();
    let cap = Cap { share_ppm: 100_000, window_ms: 60_000 };
    Policy {
        service: ServiceName::new("starter-desk"),
        version: 1_000,
        operation_id: "0123456789abcdef0123456789abcdef".to_owned(),
        zone_share_ppm: shares.clone(),
        cap,
        shift: Some(Shift {
            from_share_ppm: shares.clone(),
            to_share_ppm: shares,
            start_at_ms: Millis(1_796_256_000_000),
            cap,
        }),
        shift_delay_ms: DEFAULT_SHIFT_DELAY_MS,
        drains: (0..2).map(|index| BackendId::new(&format!("starter-desk-{index:02}"))).collect(),
        timeout_ms: 10_000,
        queue_ms: 200,
    }
}

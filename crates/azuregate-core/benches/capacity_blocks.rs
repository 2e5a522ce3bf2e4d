//! Measures client address blocks at several sizes: memory, decoding, lookups and
//! deltas.
//!
//! `cargo bench -p azuregate-core --bench capacity_blocks` prints a table for
//! docs/CAPACITY.md. Each figure is the median of five runs, with the smallest and
//! largest.

use std::{
    collections::HashSet,
    hint::black_box,
    net::{IpAddr, Ipv4Addr},
    sync::{
        Arc, RwLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use azuregate_core::blocks::{BlockMap, Delta, SiteId};
use fastrand::Rng;
use ipnet::{IpNet, Ipv4Net};

const SIZES: [usize; 4] = [225_000, 900_000, 1_800_000, 3_600_000];
const SITES: u16 = 140;
const RUNS: usize = 5;
const LOOKUPS: usize = 2_000_000;
/// How long lookups run concurrently with updates.
const CONCURRENT_DURATION: Duration = Duration::from_secs(2);

fn main() {
    println!(
        "| world | blocks | bytes/block in memory | bytes/block in a snapshot | sort and build ns/block | decode ns/block | look-up ns | one delta us | 100 deltas us |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for size in SIZES {
        bench_size("random", size, random_blocks);
        bench_size("nested", size, nested_blocks);
    }
    bench_concurrent_updates();
}

type Dataset = fn(&mut Rng, usize) -> Vec<(IpNet, SiteId)>;

/// Blocks at random addresses, with prefix lengths from /16 to /28.
fn random_blocks(rng: &mut Rng, size: usize) -> Vec<(IpNet, SiteId)> {
    let mut set = DistinctBlocks::default();
    while set.blocks.len() < size {
        set.add(block(rng.u32(..), rng.u8(16..=28), rng));
    }
    set.blocks
}

/// Nested blocks as registries allocate them: regions of /8 to /12 contain networks of
/// /14 to /20, which contain runs of adjacent customer blocks of /22 to /29.
fn nested_blocks(rng: &mut Rng, size: usize) -> Vec<(IpNet, SiteId)> {
    let mut set = DistinctBlocks::default();
    while set.blocks.len() < size {
        let region = rng.u32(..);
        set.add(block(region, rng.u8(8..=12), rng));
        for _ in 0..64 {
            let network = (region & 0xfff0_0000) | rng.u32(..1 << 20);
            let network_len = rng.u8(14..=20);
            set.add(block(network, network_len, rng));
            let customer_len = rng.u8(22..=29);
            let mut addr = network & (u32::MAX << (32 - network_len));
            for _ in 0..rng.usize(1..64) {
                set.add(block(addr, customer_len, rng));
                addr = addr.wrapping_add(1 << (32 - customer_len));
            }
        }
    }
    set.blocks.truncate(size);
    set.blocks
}

/// Blocks without duplicates, so that a data set has the requested size.
#[derive(Default)]
struct DistinctBlocks {
    seen: HashSet<IpNet>,
    blocks: Vec<(IpNet, SiteId)>,
}

impl DistinctBlocks {
    fn add(&mut self, (block, site): (IpNet, SiteId)) {
        if self.seen.insert(block) {
            self.blocks.push((block, site));
        }
    }
}

fn block(addr: u32, len: u8, rng: &mut Rng) -> (IpNet, SiteId) {
    let net = Ipv4Net::new(Ipv4Addr::from_bits(addr), len).expect("the length is at most 32");
    (IpNet::V4(net.trunc()), SiteId(rng.u16(..SITES)))
}

fn bench_size(name: &str, size: usize, dataset: Dataset) {
    let mut rng = Rng::with_seed(size as u64);
    let blocks = dataset(&mut rng, size);
    let map = BlockMap::from_blocks(blocks.clone()).expect("all blocks are IPv4");
    let count = map.len();
    let snapshot = map.encode();
    let build = summarize_runs(|| {
        let blocks = blocks.clone();
        let start = Instant::now();
        black_box(BlockMap::from_blocks(blocks).expect("all blocks are IPv4"));
        start.elapsed().as_nanos() as f64 / count as f64
    });
    let decode = summarize_runs(|| {
        let start = Instant::now();
        black_box(BlockMap::decode(&snapshot).expect("it was just encoded"));
        start.elapsed().as_nanos() as f64 / count as f64
    });
    let lookup = summarize_runs(|| lookup_ns(&map, &mut rng));
    let one = summarize_runs(|| delta_us(&map, &mut rng, 1));
    let hundred = summarize_runs(|| delta_us(&map, &mut rng, 100));
    println!(
        "| {name} | {count} | {:.1} | {:.1} | {build} | {decode} | {lookup} | {one} | {hundred} |",
        map.memory_bytes() as f64 / count as f64,
        snapshot.len() as f64 / count as f64,
    );
}

/// Runs a measurement several times and formats its median, minimum and maximum.
fn summarize_runs(mut measure: impl FnMut() -> f64) -> String {
    let mut taken: Vec<f64> = (0..RUNS).map(|_| measure()).collect();
    taken.sort_by(f64::total_cmp);
    format!("{:.1} ({:.1} to {:.1})", taken[RUNS / 2], taken[0], taken[RUNS - 1])
}

fn lookup_ns(map: &BlockMap, rng: &mut Rng) -> f64 {
    let addrs: Vec<IpAddr> =
        (0..LOOKUPS).map(|_| IpAddr::V4(Ipv4Addr::from_bits(rng.u32(..)))).collect();
    let start = Instant::now();
    for &addr in &addrs {
        black_box(map.lookup(addr));
    }
    start.elapsed().as_nanos() as f64 / LOOKUPS as f64
}

fn deltas(rng: &mut Rng, count: usize) -> Vec<Delta> {
    let set = |_| {
        let (block, site) = block(rng.u32(..), rng.u8(20..=28), rng);
        Delta::Set { block, site }
    };
    (0..count).map(set).collect()
}

fn delta_us(map: &BlockMap, rng: &mut Rng, count: usize) -> f64 {
    let deltas = deltas(rng, count);
    let start = Instant::now();
    let next = map.apply(&deltas).expect("all blocks are IPv4");
    let taken = start.elapsed();
    black_box(next);
    taken.as_nanos() as f64 / 1_000.0
}

/// Measures lookups on one thread while another applies a delta of 100 blocks ten times
/// per second.
fn bench_concurrent_updates() {
    let mut rng = Rng::with_seed(1);
    let blocks = nested_blocks(&mut rng, 3_600_000);
    let map = BlockMap::from_blocks(blocks).expect("all blocks are IPv4");
    let current = Arc::new(RwLock::new(Arc::new(map)));
    let stop = Arc::new(AtomicBool::new(false));
    let worst_ns = Arc::new(AtomicU64::new(0));
    let reader = {
        let (current, stop, worst_ns) =
            (Arc::clone(&current), Arc::clone(&stop), Arc::clone(&worst_ns));
        thread::spawn(move || {
            let mut rng = Rng::with_seed(2);
            let mut lookups = 0_u64;
            while !stop.load(Ordering::Relaxed) {
                let start = Instant::now();
                let map = Arc::clone(&current.read().expect("no writer panics"));
                for _ in 0..64 {
                    black_box(map.lookup(IpAddr::V4(Ipv4Addr::from_bits(rng.u32(..)))));
                }
                drop(map);
                worst_ns.fetch_max(start.elapsed().as_nanos() as u64, Ordering::Relaxed);
                lookups += 64;
            }
            lookups
        })
    };
    let start = Instant::now();
    let mut swaps = 0;
    while start.elapsed() < CONCURRENT_DURATION {
        let map = Arc::clone(&current.read().expect("no reader panics"));
        let next = map.apply(&deltas(&mut rng, 100)).expect("all blocks are IPv4");
        *current.write().expect("no reader panics") = Arc::new(next);
        swaps += 1;
        thread::sleep(Duration::from_millis(100));
    }
    stop.store(true, Ordering::Relaxed);
    let lookups = reader.join().expect("the reader does not panic");
    println!();
    println!(
        "3.6 million nested blocks, {swaps} swaps of 100 deltas in {:.1} s beside look-ups: \
         {:.0} look-ups/s on one core, the slowest 64 took {:.1} us",
        start.elapsed().as_secs_f64(),
        lookups as f64 / start.elapsed().as_secs_f64(),
        worst_ns.load(Ordering::Relaxed) as f64 / 1_000.0,
    );
}

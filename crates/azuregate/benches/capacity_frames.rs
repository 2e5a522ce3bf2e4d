//! Measures the encoded size of frames between instances, and the time to encode
//! and decode them.
//!
//! `cargo bench -p azuregate --bench capacity_frames` prints a table for
//! docs/CAPACITY.md. Each time is the median of five runs, with the minimum and
//! maximum.

use std::{
    collections::{BTreeMap, BTreeSet},
    hint::black_box,
    time::Instant,
};

use azuregate::peer::Frame;
use azuregate_core::{
    names::{BackendId, InstanceId, ServiceName, StartNumber, ZoneName},
    policy::{Cap, Policy, Shift},
    time::Millis,
};

const RUNS: usize = 5;
const REPEATS: u32 = 20_000;

fn main() {
    println!("| frame | size | bytes | write us | read us |");
    println!("|---|---|---|---|---|");
    row("hello", "", &hello());
    row("leaving", "", &leaving());
    for services in [2, 40, 140, 400] {
        row("digest", &format!("{services} services"), &digest(services));
    }
    for (zones, drains) in [(6, 0), (19, 0), (19, 20), (57, 60)] {
        let size = format!("{zones} zones, {drains} drains, in a shift");
        row("policy", &size, &Frame::Policy(Box::new(policy(zones, drains))));
    }
}

fn hello() -> Frame {
    Frame::Hello {
        instance: InstanceId::new("entry-001"),
        start: StartNumber(1_796_256_000_000),
        has_list: true,
    }
}

fn leaving() -> Frame {
    Frame::Leaving {
        backend: BackendId::new("starter-desk-01"),
        start: StartNumber(1_796_256_000_000),
    }
}

fn digest(services: usize) -> Frame {
    let version = |i| (ServiceName::new(&format!("service-{i:04}")), 1_000 + i as u64);
    Frame::Digest { versions: (0..services).map(version).collect() }
}

fn policy(zones: u32, drains: usize) -> Policy {
    let share = |i| (ZoneName::new(&format!("region-{}-{}", i / 4, i % 4)), 1_000_000 / zones);
    let shares: BTreeMap<_, _> = (0..zones).map(share).collect();
    let cap = Cap { share_ppm: 50_000, window_ms: 1_000 };
    Policy {
        service: ServiceName::new("starter-desk"),
        version: 1_200,
        operation_id: "0123456789abcdef".to_owned(),
        zone_share_ppm: shares.clone(),
        cap,
        shift: Some(Shift {
            from_share_ppm: shares.clone(),
            to_share_ppm: shares,
            start_at_ms: Millis(1_796_256_000_000),
            cap,
        }),
        drains: (0..drains)
            .map(|i| BackendId::new(&format!("starter-desk-{i}")))
            .collect::<BTreeSet<_>>(),
        timeout_ms: 10_000,
        queue_ms: 200,
        shift_delay_ms: 13_000,
    }
}

fn row(name: &str, size: &str, frame: &Frame) {
    let bytes = write(frame);
    let written = runs(|| drop(black_box(write(black_box(frame)))));
    let read = runs(|| {
        let frame: Frame =
            ciborium::from_reader(black_box(bytes.as_slice())).expect("just written");
        drop(black_box(frame));
    });
    println!("| {name} | {size} | {} | {written} | {read} |", bytes.len());
}

fn write(frame: &Frame) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes).expect("a vector takes all bytes");
    bytes
}

fn runs(mut once: impl FnMut()) -> String {
    let mut taken_us: Vec<f64> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            (0..REPEATS).for_each(|_| once());
            start.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS)
        })
        .collect();
    taken_us.sort_by(f64::total_cmp);
    format!("{:.2} ({:.2} to {:.2})", taken_us[RUNS / 2], taken_us[0], taken_us[RUNS - 1])
}

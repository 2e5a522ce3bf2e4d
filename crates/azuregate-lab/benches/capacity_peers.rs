//! What control costs an entry instance in deployments of several sizes.
//!
//! One entry process is shown a platform's list of so many instances, services
//! and backend servers. The bench plays the neighbours that the instance would
//! have there, and the backend servers that it would watch; all others are names
//! in the list. It measures rest, and then changes that every neighbour sends at
//! once, which is the most that can come.
//!
//! `cargo build --release && cargo bench -p azuregate-lab --bench
//! capacity_peers` prints a table for docs/CAPACITY.md.

mod process;
mod world;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use azuregate::peer::{Frame, PeerLink, WsLink};
use azuregate_core::{
    membership::{Heartbeat, HeartbeatTiming},
    names::{InstanceId, StartNumber},
    policy::Policy,
};
use azuregate_lab::client::ClientError;
use process::Entry;
use tokio::{net::TcpListener, sync::broadcast, time};
use world::World;

/// How long links may take to open.
const SETTLE: Duration = Duration::from_secs(4);
/// How long rest is measured.
const REST: Duration = Duration::from_secs(20);
/// How many changes are played, and how far apart.
const CHANGES: u64 = 100;
const CHANGE_EVERY: Duration = Duration::from_millis(100);
/// Header of a web socket frame with a payload of up to 125 and 65,535 bytes;
/// the side that dialled adds a mask.
const SHORT_HEADER_BYTES: u64 = 2;
const LONG_HEADER_BYTES: u64 = 4;
const MASK_BYTES: u64 = 4;
/// The longest payload with a short header.
const SHORT_BYTES: u64 = 125;

/// Frames and bytes to and from the instance, as the neighbours count them.
#[derive(Debug, Default)]
struct Traffic {
    links: AtomicU64,
    frames: AtomicU64,
    bytes: AtomicU64,
}

/// One reading of everything that is counted.
#[derive(Clone, Copy, Debug)]
struct Reading {
    at: Instant,
    processor_us: u64,
    frames: u64,
    bytes: u64,
    reads: u64,
    read_bytes: u64,
}

#[tokio::main]
async fn main() -> Result<(), ClientError> {
    println!(
        "| instances | services | backend servers | neighbours | watched | resident KiB | \
         at rest: processor % | frames/s | bytes/s | platform reads/s | bytes read at start | \
         each change: processor us | frames | bytes |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (instances, services, servers) in [(9, 2, 18), (85, 18, 24), (340, 70, 24), (680, 140, 24)]
    {
        measure(&World::new(instances, services, servers)).await?;
    }
    Ok(())
}

async fn measure(world: &World) -> Result<(), ClientError> {
    let traffic = Arc::new(Traffic::default());
    let (changes, _) = broadcast::channel(1_024);
    let mut tasks = Vec::new();
    let beat = Duration::from_millis(HeartbeatTiming::for_deployment(world.listed).heartbeat_ms);
    for neighbour in &world.neighbours {
        let listener = TcpListener::bind(neighbour.peer_addr()).await?;
        let (id, traffic, changes) = (neighbour.id.clone(), Arc::clone(&traffic), changes.clone());
        tasks.push(tokio::spawn(accept(listener, id, world.digest, traffic, beat, changes)));
    }
    let (platform, stand_ins) = world.start().await?;
    tasks.extend(stand_ins);
    let entry = Entry::start(&world.example).await?;
    time::sleep(SETTLE).await;

    let read = || -> Result<Reading, ClientError> {
        Ok(Reading {
            at: Instant::now(),
            processor_us: entry.processor_us()?,
            frames: traffic.frames.load(Ordering::Relaxed),
            bytes: traffic.bytes.load(Ordering::Relaxed),
            reads: platform.counts().reads,
            read_bytes: platform.counts().answer_bytes,
        })
    };
    let before = read()?;
    time::sleep(REST).await;
    let rest = read()?;
    let resident_kib = entry.resident_kib()?;
    for sequence in 0..CHANGES {
        let _ = changes.send(world.change(sequence));
        time::sleep(CHANGE_EVERY).await;
    }
    time::sleep(CHANGE_EVERY).await;
    let after = read()?;
    for task in tasks {
        task.abort();
    }

    let rest_s = (rest.at - before.at).as_secs_f64();
    let changes_s = (after.at - rest.at).as_secs_f64();
    let per_s = |more: u64| more as f64 / rest_s;
    let per_change = |more: u64, rest_more: u64| {
        (more as f64 - rest_more as f64 / rest_s * changes_s) / CHANGES as f64
    };
    let (idle_us, idle_frames, idle_bytes) = (
        rest.processor_us - before.processor_us,
        rest.frames - before.frames,
        rest.bytes - before.bytes,
    );
    println!(
        "| {} | {} | {} | {} | {} | {resident_kib} | {:.2} | {:.1} | {:.0} | {:.2} | {} | {:.0} | {:.1} | {:.0} |",
        world.listed,
        world.services,
        world.servers,
        traffic.links.load(Ordering::Relaxed),
        world.watched.len(),
        per_s(idle_us) / 1e4,
        per_s(idle_frames),
        per_s(idle_bytes),
        per_s(rest.reads - before.reads),
        before.read_bytes,
        per_change(after.processor_us - rest.processor_us, idle_us),
        per_change(after.frames - rest.frames, idle_frames),
        per_change(after.bytes - rest.bytes, idle_bytes),
    );
    Ok(())
}

/// Plays one neighbour, to which the instance opens its link.
async fn accept(
    listener: TcpListener,
    id: InstanceId,
    digest: u64,
    traffic: Arc<Traffic>,
    beat: Duration,
    changes: broadcast::Sender<Policy>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let Ok(link) = WsLink::accept(stream).await else { continue };
        traffic.links.fetch_add(1, Ordering::Relaxed);
        let changes = changes.subscribe();
        let _ = play(Box::new(link), &id, digest, &traffic, beat, changes).await;
    }
}

async fn play(
    mut link: Box<dyn PeerLink>,
    id: &InstanceId,
    digest: u64,
    traffic: &Traffic,
    beat: Duration,
    mut changes: broadcast::Receiver<Policy>,
) -> Result<(), ClientError> {
    let hello = Frame::Hello { instance: id.clone(), start: StartNumber(1), has_list: true };
    send(link.as_mut(), &hello, traffic).await?;
    let mut beats = time::interval(beat);
    let mut digest = digest;
    loop {
        tokio::select! {
            frame = link.recv() => {
                let Some(frame) = frame? else { return Ok(()) };
                traffic.count(&frame, MASK_BYTES);
                // A neighbour has the versions that the instance has.
                if let Frame::Heartbeat(heartbeat) = &frame {
                    digest = heartbeat.digest;
                }
            }
            _ = beats.tick() => {
                let beat = Heartbeat { ready: true, confirmed_age_ms: Some(0), digest };
                send(link.as_mut(), &Frame::Heartbeat(beat), traffic).await?;
            }
            change = changes.recv() => {
                let frame = Frame::Policy(Box::new(change?));
                send(link.as_mut(), &frame, traffic).await?;
            }
        }
    }
}

async fn send(
    link: &mut dyn PeerLink,
    frame: &Frame,
    traffic: &Traffic,
) -> Result<(), ClientError> {
    traffic.count(frame, 0);
    link.send(frame).await?;
    Ok(())
}

impl Traffic {
    fn count(&self, frame: &Frame, mask_bytes: u64) {
        let mut payload = Vec::new();
        ciborium::into_writer(frame, &mut payload).expect("a vector takes all bytes");
        let payload_bytes = payload.len() as u64;
        let header_bytes =
            if payload_bytes <= SHORT_BYTES { SHORT_HEADER_BYTES } else { LONG_HEADER_BYTES };
        self.frames.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(payload_bytes + header_bytes + mask_bytes, Ordering::Relaxed);
    }
}

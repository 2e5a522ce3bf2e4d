//! What an entry instance costs, seen from outside: memory for each idle
//! connection, processor time for each look-up and each request.
//!
//! `cargo build --release && cargo bench -p azuregate-lab --bench
//! capacity_process` starts one entry process on loopback with stand-ins beside
//! it and prints tables for docs/CAPACITY.md.

mod process;

use std::{net::SocketAddr, time::Duration};

use azuregate_core::{
    names::InstanceId,
    snapshot::{Instance, Liveness},
};
use azuregate_lab::{
    client::ClientError,
    example::Example,
    up::{self, Lab},
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use process::Entry;
use tokio::{net::TcpStream, time};

/// How many connections calls are spread over.
const CONNECTIONS: usize = 16;
/// How long the instance may take to settle after a change.
const SETTLE: Duration = Duration::from_millis(1_500);
/// The sizes of the platform's list of instances.
const LISTED: [usize; 4] = [9, 85, 340, 680];

type Sender = http1::SendRequest<Full<Bytes>>;

#[tokio::main]
async fn main() -> Result<(), ClientError> {
    let example = example()?;
    let lab = up::start_simulators(&example).await?;
    let entry = Entry::start(&example).await?;
    idle_connections(&entry).await?;
    requests(&entry, &lab).await?;
    drop(entry);
    lookups(&lab, &example).await
}

/// The Kvas example with one entry instance and backend servers that answer at
/// once, so that the instance is what is measured.
fn example() -> Result<Example, ClientError> {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/kvas.jsonc");
    let mut example = Example::load(file.as_ref()).map_err(|e| format!("{e:?}"))?;
    example.entries.truncate(1);
    example.entries[0].ip = "127.30.0.1".parse()?;
    example.platform_addr = "127.30.0.100:7000".parse()?;
    example.services.truncate(1);
    let service = &mut example.services[0];
    service.ip = "127.30.1.1".parse()?;
    service.service_ms = 0;
    service.slots = 64;
    Ok(example)
}

async fn connect(addr: SocketAddr) -> Result<Sender, ClientError> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (sender, conn) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(conn);
    Ok(sender)
}

async fn call(sender: &mut Sender, path: &str, key: Option<&str>) -> Result<usize, ClientError> {
    let mut request = Request::builder().uri(path).header(header::HOST, "starter-desk");
    if let Some(key) = key {
        request = request.method("POST").header("idempotency-key", key);
    }
    sender.ready().await?;
    let response: Response<_> = sender.send_request(request.body(Full::default())?).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    if !status.is_success() {
        return Err(format!("{path}: {status}: {}", String::from_utf8_lossy(&body)).into());
    }
    Ok(body.len())
}

async fn idle_connections(entry: &Entry) -> Result<(), ClientError> {
    println!("| idle connections of callers | resident KiB | KiB for each beyond the first row |");
    println!("|---|---|---|");
    let mut open = Vec::new();
    let mut first = None;
    for count in [100, 1_000, 2_000, 4_000] {
        while open.len() < count {
            let mut sender = connect(entry.traffic).await?;
            call(&mut sender, "/v1/entries?service=starter-desk", None).await?;
            open.push(sender);
        }
        time::sleep(SETTLE).await;
        let resident_kib = entry.resident_kib()?;
        let (first_count, first_kib) = *first.get_or_insert((count, resident_kib));
        let more = count - first_count;
        let each = (resident_kib - first_kib) as f64 / more.max(1) as f64;
        println!("| {count} | {resident_kib} | {each:.2} |");
    }
    println!();
    Ok(())
}

/// Makes `count` calls over all connections; processor time for each, in
/// microseconds, and bytes of the last answer.
async fn cost(
    entry: &Entry,
    count: usize,
    path: &'static str,
    keys: Option<&'static str>,
) -> Result<(f64, usize), ClientError> {
    let before = entry.processor_us()?;
    let mut tasks = Vec::new();
    for connection in 0..CONNECTIONS {
        let mut sender = connect(entry.traffic).await?;
        tasks.push(tokio::spawn(async move {
            let mut bytes = 0;
            for sequence in 0..count / CONNECTIONS {
                let key = keys.map(|keys| format!("{keys}-{connection}-{sequence}"));
                bytes = call(&mut sender, path, key.as_deref()).await?;
            }
            Ok::<_, ClientError>(bytes)
        }));
    }
    let mut bytes = 0;
    for task in tasks {
        bytes = task.await??;
    }
    Ok(((entry.processor_us()? - before) as f64 / count as f64, bytes))
}

/// Each size has an instance of its own: the longer the list, the seldomer it is
/// read again.
async fn lookups(lab: &Lab, example: &Example) -> Result<(), ClientError> {
    println!("| instances listed | look-ups | processor us each | bytes of an answer |");
    println!("|---|---|---|---|");
    for listed in LISTED {
        let mut list = example.instance_list();
        list.instances = listed_instances(example, listed);
        lab.platform.store().list.set(list, Duration::ZERO);
        let entry = Entry::start(example).await?;
        for count in [16_000, 32_000, 64_000] {
            let (each_us, bytes) =
                cost(&entry, count, "/v1/entries?service=starter-desk", None).await?;
            println!("| {listed} | {count} | {each_us:.1} | {bytes} |");
        }
    }
    Ok(())
}

/// The instance itself, and others that are not there.
fn listed_instances(example: &Example, count: usize) -> Vec<Instance> {
    let zones: Vec<_> = example.topology.zones().cloned().collect();
    let mut instances = example.instance_list().instances;
    for index in instances.len()..count {
        let [_, _, third, fourth] = (index as u32).to_be_bytes();
        instances.push(Instance {
            id: InstanceId::new(&format!("entry-{:03}", index + 1)),
            zone: zones[index % zones.len()].clone(),
            ip: std::net::Ipv4Addr::new(127, 31, third, fourth).into(),
            traffic_port: example.ports.traffic,
            peer_port: example.ports.peers,
            liveness: Liveness::Live,
        });
    }
    instances
}

async fn requests(entry: &Entry, lab: &Lab) -> Result<(), ClientError> {
    println!("| requests | kind | processor us each | platform writes each |");
    println!("|---|---|---|---|");
    for count in [4_000, 8_000, 16_000] {
        let (each_us, _) = cost(entry, count, "/feeding-schedule", None).await?;
        println!("| {count} | read | {each_us:.1} | 0 |");
    }
    for (count, keys) in [(1_600, "a"), (3_200, "b"), (6_400, "c")] {
        let before = lab.platform.counts().writes;
        let (each_us, _) = cost(entry, count, "/orders", Some(keys)).await?;
        let writes = lab.platform.counts().writes - before;
        let each_writes = writes as f64 / count as f64;
        println!("| {count} | keyed, claimed in the platform | {each_us:.1} | {each_writes:.2} |");
    }
    println!();
    Ok(())
}

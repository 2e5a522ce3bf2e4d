//! What the entry instance costs: latency over a direct request, and memory
//! while a large upload goes through it.

use std::{net::SocketAddr, time::Instant};

use azuregate_core::names::ServiceName;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::{Request, body::Frame, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpStream;

use crate::{
    backends::Distribution,
    client::ClientError,
    example::{Example, ServiceExample},
    load::{Conn, SendError},
    measure::{Plan, Section, Spread, processes::Entries},
    up,
};

/// One in so many requests more, at first, opens connections and warms up both
/// ways.
const WARM_UP: usize = 10;
/// The size of the upload.
const UPLOAD_BYTES: usize = 50_000_000;
const PIECE_BYTES: usize = 50_000;

/// Latencies of both ways in one run, taken in turns.
#[derive(Clone, Debug, Serialize)]
struct Pair {
    service_ms: u64,
    direct_us: Spread,
    through_us: Spread,
}

/// What one upload took.
#[derive(Clone, Debug, Serialize)]
struct Upload {
    bytes: usize,
    taken_ms: u64,
    peak_before_kb: u64,
    peak_after_kb: u64,
    answer: String,
}

/// Measures latency in turns, then the upload.
pub(crate) async fn measure(plan: &Plan) -> Result<Section, ClientError> {
    let example = one_entry(plan.fresh_example())?;
    let service = example.services[0].clone();
    let lab = up::start_simulators(&example).await?;
    let entries = Entries::start(&example).await?;
    let direct = lab.backends[0].server.addr;
    let through = example.traffic_addr(&example.entries[0]);
    let mut pairs = Vec::new();
    for (service_ms, count) in [(0, 4_000), (plan.example.services[0].service_ms, 300)] {
        lab.backends[0].behaviour().service_ms = service_ms;
        pairs.push(pair(&service.name, direct, through, service_ms, count).await?);
    }
    let upload = upload(&service, through, &entries).await?;
    drop(entries);
    lab.stop().await;
    Ok(section(plan, &pairs, &upload))
}

/// The example with one entry instance and one backend server.
fn one_entry(mut example: Example) -> Result<Example, ClientError> {
    example.entries.truncate(1);
    example.services.truncate(1);
    let service = example.services.first_mut().ok_or("the example has no service")?;
    service.upstreams = 1;
    service.distribution = Distribution::Fixed;
    Ok(example)
}

async fn pair(
    service: &ServiceName,
    direct: SocketAddr,
    through: SocketAddr,
    service_ms: u64,
    count: usize,
) -> Result<Pair, ClientError> {
    let mut direct = Conn::open(None, direct).await?;
    let mut through = Conn::open(None, through).await?;
    let (mut direct_us, mut through_us) = (Vec::new(), Vec::new());
    let warm_up = count / WARM_UP;
    for turn in 0..warm_up + count {
        let first = ask(&mut direct, service).await?;
        let second = ask(&mut through, service).await?;
        if turn >= warm_up {
            direct_us.push(first);
            through_us.push(second);
        }
    }
    let (direct_us, through_us) = (Spread::of(direct_us), Spread::of(through_us));
    Ok(Pair { service_ms, direct_us, through_us })
}

async fn ask(conn: &mut Conn, service: &ServiceName) -> Result<f64, ClientError> {
    let request = Request::get("/feeding-schedule")
        .header(header::HOST, service.as_str())
        .body(Full::default())?;
    let start = Instant::now();
    let answer = conn.send(request).await.map_err(|lost| match lost {
        SendError::Unsent(_) => "the connection closed".to_owned(),
        SendError::Interrupted(reason) => reason,
    })?;
    if !answer.status().is_success() {
        let text = String::from_utf8_lossy(answer.body()).into_owned();
        return Err(format!("refused: {} {text}", answer.status()).into());
    }
    Ok(start.elapsed().as_secs_f64() * 1e6)
}

async fn upload(
    service: &ServiceExample,
    through: SocketAddr,
    entries: &Entries,
) -> Result<Upload, ClientError> {
    let peak_before_kb = entries.peak_memory_kb(0)?;
    let piece = Bytes::from(vec![b'.'; PIECE_BYTES]);
    let pieces = (0..UPLOAD_BYTES / PIECE_BYTES)
        .map(move |_| Ok::<_, std::convert::Infallible>(Frame::data(piece.clone())));
    let request = Request::post("/photos")
        .header(header::HOST, service.name.as_str())
        .header(header::CONTENT_LENGTH, UPLOAD_BYTES)
        .header("azuregate-timeout-ms", 60_000)
        .body(StreamBody::new(futures_util::stream::iter(pieces)))?;
    let stream = TcpStream::connect(through).await?;
    let (mut sender, conn) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(conn);
    let start = Instant::now();
    let answer = sender.send_request(request).await?.into_body().collect().await?.to_bytes();
    let taken_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
    let answer = String::from_utf8_lossy(&answer).trim().to_owned();
    if !answer.contains(&format!("after {UPLOAD_BYTES} bytes")) {
        return Err(format!("the upload was answered by {answer:?}").into());
    }
    let peak_after_kb = entries.peak_memory_kb(0)?;
    Ok(Upload { bytes: UPLOAD_BYTES, taken_ms, peak_before_kb, peak_after_kb, answer })
}

fn section(plan: &Plan, pairs: &[Pair], upload: &Upload) -> Section {
    let rows = pairs.iter().map(|pair| {
        let (direct, through) = (pair.direct_us, pair.through_us);
        vec![
            format!("{} ms", pair.service_ms),
            format!("{:.0}", direct.median),
            format!("{:.0}", through.median),
            format!("{:.2}", through.median / direct.median),
            format!("{:.0}", direct.p99),
            format!("{:.0}", through.p99),
            format!("{:.2}", through.p99 / direct.p99),
            direct.count.to_string(),
        ]
    });
    Section {
        title: format!("What the entry instance costs: {}", plan.example.name),
        command: format!("azuregate-lab measure overhead {}", plan.example_file.display()),
        notes: vec![
            "One entry instance as a process, one backend server in the bench, no delays. Reads \
             one at a time on one kept connection each, directly and through the entry in turns."
                .to_owned(),
            format!(
                "An upload of {} MB took {} ms through the entry, whose peak memory (VmHWM) was \
                 {:.1} MB before and {:.1} MB after it.",
                upload.bytes / 1_000_000,
                upload.taken_ms,
                upload.peak_before_kb as f64 / 1_024.0,
                upload.peak_after_kb as f64 / 1_024.0
            ),
        ],
        columns: vec![
            "service time",
            "direct p50 us",
            "through p50 us",
            "ratio",
            "direct p99 us",
            "through p99 us",
            "ratio",
            "requests each",
        ],
        rows: rows.collect(),
        data: serde_json::json!({ "pairs": pairs, "upload": upload }),
    }
}

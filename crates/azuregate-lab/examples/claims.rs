//! What an order costs in each form of claim: writes to the platform, latency,
//! and the memory of a home.
//!
//! ```text
//! cargo run --release -p azuregate-lab --example claims -- examples/kvas.jsonc
//! ```
//!
//! It runs the first three entry instances of the example and its stand-ins on
//! loopback, with backend servers that answer at once, so that what is left is
//! the cost of the claim.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr},
    path::Path,
    sync::Arc,
    time::Instant,
};

use azuregate_core::{
    claim::{Settled, StoredBody, StoredResponse},
    entries::Entries,
    home::{Config, HomeTable},
    time::Millis,
};
use azuregate_lab::{
    client::{self, ClientError},
    example::Example,
    platform::Faults,
    up::{self, Lab},
};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::Request;

/// Orders of each run.
const ORDERS: usize = 1_500;
/// Orders in progress at once.
const CONCURRENCY: usize = 4;
/// Runs of each form.
const ROUNDS: usize = 5;

/// How an order is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Form {
    /// Without a key.
    Plain,
    /// With a key, claimed by a row.
    Row,
    /// With a key, at its home.
    Home,
    /// With a key, to an instance that is not its home.
    PassedOn,
}

fn main() -> Result<(), ClientError> {
    let path = std::env::args().nth(1).ok_or("the example's file is missing")?;
    home_memory()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(measure(&load(Path::new(&path))?))
}

/// The example on IP numbers of its own, without service times.
fn load(path: &Path) -> Result<Example, ClientError> {
    let mut example = Example::load(path).map_err(|e| format!("{e:?}"))?;
    let ip = |last: u8| IpAddr::V4(Ipv4Addr::new(127, 201, 7, last));
    example.entries.truncate(3);
    for (entry, last) in example.entries.iter_mut().zip(1..) {
        entry.ip = ip(last);
    }
    example.platform_addr.set_ip(ip(100));
    example.services.truncate(1);
    example.services[0].ip = ip(200);
    example.services[0].service_ms = 0;
    example.stop_delay_ms = 0;
    example.relays = false;
    Ok(example)
}

async fn measure(example: &Example) -> Result<(), ClientError> {
    let lab = Arc::new(up::start(example).await?);
    lab.wait_ready().await?;
    println!("{ORDERS} orders, {CONCURRENCY} at once, median (least to most) of {ROUNDS} runs");
    println!("platform  form      writes/order  p50 ms                 p99 ms");
    for slow_ms in [0, 20] {
        *lab.platform.faults() = Faults { slow_ms, ..Faults::default() };
        for form in [Form::Plain, Form::Row, Form::Home, Form::PassedOn] {
            let mut rounds = Vec::new();
            for round in 0..ROUNDS {
                rounds.push(run(&lab, example, form, &format!("{slow_ms}-{round}")).await?);
            }
            report(slow_ms, form, &rounds);
        }
    }
    Ok(())
}

/// One run: writes for each order, median and 99th percentile in milliseconds.
struct Run {
    writes: f64,
    p50_ms: f64,
    p99_ms: f64,
}

async fn run(
    lab: &Arc<Lab>,
    example: &Example,
    form: Form,
    name: &str,
) -> Result<Run, ClientError> {
    let home = home(example).await?;
    let to = example.traffic_addr(&example.entries[usize::from(form == Form::PassedOn)]);
    let writes = lab.platform.counts().writes;
    let orders = (0..ORDERS).map(|index| {
        let order = order(example, form, &home, &format!("{form:?}-{name}-{index}"));
        async move {
            let start = Instant::now();
            let answer = client::call(to, order).await?;
            if !answer.status().is_success() {
                return Err(String::from_utf8_lossy(answer.body()).into_owned().into());
            }
            Ok::<_, ClientError>(start.elapsed())
        }
    });
    let taken: Vec<_> = stream::iter(orders).buffer_unordered(CONCURRENCY).collect().await;
    let mut latency_us = Histogram::<u64>::new(3)?;
    for taken in taken {
        latency_us.record(u64::try_from(taken?.as_micros())?)?;
    }
    let writes = (lab.platform.counts().writes - writes) as f64 / ORDERS as f64;
    let at = |quantile| latency_us.value_at_quantile(quantile) as f64 / 1_000.0;
    Ok(Run { writes, p50_ms: at(0.5), p99_ms: at(0.99) })
}

fn order(example: &Example, form: Form, home: &str, key: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::from(Bytes::from_static(b"one starter")));
    *request.method_mut() = hyper::Method::POST;
    *request.uri_mut() = hyper::Uri::from_static("/orders");
    let mut set = |name, value: &str| {
        let value = value.parse().expect("names and keys are ASCII");
        request.headers_mut().insert(name, value);
    };
    set("host", example.services[0].name.as_str());
    if form != Form::Plain {
        set("idempotency-key", key);
    }
    if matches!(form, Form::Home | Form::PassedOn) {
        set("azuregate-home", home);
    }
    request
}

/// The home that the first instance names for itself.
async fn home(example: &Example) -> Result<String, ClientError> {
    let first = &example.entries[0];
    let path = format!("/v1/entries?service={}", example.services[0].name);
    let answer = client::get(example.traffic_addr(first), &path).await?;
    let entries: Entries = serde_json::from_slice(answer.body())?;
    let entry = entries.entries.into_iter().find(|entry| entry.id == first.id);
    entry.and_then(|entry| entry.home).ok_or_else(|| "the first instance names no home".into())
}

fn report(slow_ms: u64, form: Form, rounds: &[Run]) {
    let spread = |of: fn(&Run) -> f64| {
        let mut values: Vec<f64> = rounds.iter().map(of).collect();
        values.sort_by(f64::total_cmp);
        (values[values.len() / 2], values[0], values[values.len() - 1])
    };
    let (writes, ..) = spread(|run| run.writes);
    let (p50, p50_least, p50_most) = spread(|run| run.p50_ms);
    let (p99, p99_least, p99_most) = spread(|run| run.p99_ms);
    let form = format!("{form:?}");
    println!(
        "{slow_ms:2} ms     {form:9} {writes:12.2}  {p50:6.2} ({p50_least:6.2} to {p50_most:6.2})  \
         {p99:6.2} ({p99_least:6.2} to {p99_most:6.2})"
    );
}

/// What a home takes for each key, by the resident memory of this process.
fn home_memory() -> Result<(), ClientError> {
    let config = Config { max_answer_bytes: usize::MAX, ..Config::default() };
    // Kept to the end, or the next table would live in what this one gave back.
    let mut tables = Vec::new();
    for keys in [25_000, 50_000, 100_000] {
        for answer_bytes in [0, 256] {
            let before = resident_bytes()?;
            let mut table = HomeTable::new(config);
            for key in 0..keys {
                // As long as a UUID with the name of its service.
                let key = format!("starter-desk/{key:036}");
                let (_, sequence) = table.claim(&key, 7, Millis(1), Millis(1));
                table.settle(&key, sequence, settled(answer_bytes));
            }
            let per_key = resident_bytes()?.saturating_sub(before) / table.len();
            println!(
                "home of {keys:6} keys, answers of {answer_bytes:3} bytes: {per_key} bytes a key"
            );
            tables.push(table);
        }
    }
    Ok(())
}

fn settled(answer_bytes: usize) -> Settled {
    if answer_bytes == 0 {
        return Settled::NotKept;
    }
    let headers = vec![("content-type".to_owned(), "application/json".to_owned())];
    let body = StoredBody::Inline(vec![0; answer_bytes]);
    Settled::Answer(StoredResponse { status: 200, headers, body })
}

fn resident_bytes() -> Result<usize, ClientError> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().strip_suffix(" kB")).ok_or("no VmRSS")?;
    Ok(kib.trim().parse::<usize>()? * 1_024)
}

//! Clients that trust refusals, under servers that reject many requests and send faulty responses.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use azuregate_platform::fakes::{Behaviour, ReceivedRequest};
use fastrand::Rng;
use tokio::time;

use crate::{
    cluster::{Client, HttpResponse, post_request},
    env_number, run,
};

const SEED: u64 = 45;
const INSTANCES: usize = 3;
const CLIENTS: usize = 40;
const PAUSE: Duration = Duration::from_millis(60);
/// Longer than the deadline in the requests.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(3_500);
/// One of so many orders is given up after a moment.
const GIVE_UP_EVERY: usize = 17;
const GIVE_UP_AFTER: Duration = Duration::from_millis(10);
const DEFAULT_DURATION_S: u64 = 6;
/// Time within which servers have executed all that they received, and instances have logged it.
const SETTLING: Duration = Duration::from_millis(2_500);
/// Statuses that say that a request was not executed and never will be.
const NOT_EXECUTED: [u16; 4] = [408, 421, 429, 503];
/// For all instances: summaries, and 50 lines of half a KiB for each of five kinds.
const MAX_LOG_BYTES_PER_S: u64 = (INSTANCES as u64 * (128 + 5 * 25)) << 10;

/// An attempt of a client to place an order. Each has an ID of its own.
struct Attempt {
    id: String,
    order: usize,
    status: Option<u16>,
    signature: Option<String>,
}

/// What clients and servers saw.
#[derive(Debug, Default)]
#[allow(dead_code, reason = "some counts are only printed")]
struct Counts {
    attempts: usize,
    executed: usize,
    answers: BTreeMap<String, usize>,
    /// Refused with a promise, and executed.
    refused: usize,
    /// Executed more than once under one ID.
    twice: usize,
    /// Executed more than once, since the client trusted a refusal.
    orders_twice: usize,
    /// Answered with a signature and another status than the server's.
    mixed: usize,
    /// Attempts that were not served and are in no log.
    without_line: usize,
    log_bytes: u64,
}

/// How the servers handle requests: 40 in 100 are rejected, of which `late_copies` are repeated, and
/// `unproven` refused after they were executed.
fn mixture(late_copies: u64, unproven: u64) -> Behaviour {
    let late_copy = Behaviour::LateCopy(Box::new(Behaviour::Reject));
    let early = (if unproven > 0 { 2 } else { 0 }, Behaviour::RejectBeforeBody);
    let refusal = |status, is_signed| Behaviour::Refuse { status, is_signed };
    let mut shares = vec![(late_copies, late_copy), (40 - late_copies, Behaviour::Reject), early];
    shares.extend([503, 429, 408].map(|status| (unproven, refusal(status, true))));
    shares.push((unproven, refusal(503, false)));
    shares.push((100, Behaviour::Delay(Duration::from_millis(25))));
    Behaviour::Mixed(shares)
}

/// Guards against writes that are executed after a refusal that promises the opposite, against
/// writes that are executed twice, and against such writes that no log explains.
#[tokio::test(flavor = "multi_thread")]
async fn refused_writes_are_not_executed() {
    let mut problems = Vec::new();
    let duration_s = env_number("AZUREGATE_REFUSALS_S").unwrap_or(DEFAULT_DURATION_S);
    for (name, late_copies, unproven) in
        [("late copies", 12, 0), ("refusals without evidence", 0, 2), ("both", 6, 2)]
    {
        let counts = play(&mixture(late_copies, unproven), Duration::from_secs(duration_s)).await;
        eprintln!("{name}: {counts:?}");
        let is_explained = counts.without_line == 0;
        let is_bounded = counts.log_bytes <= MAX_LOG_BYTES_PER_S * duration_s;
        if counts.refused + counts.twice + counts.orders_twice + counts.mixed > 0
            || !is_explained
            || !is_bounded
        {
            problems.push(format!("{name}: {counts:?}"));
        }
    }
    assert!(problems.is_empty(), "{}", problems.join("\n"));
}

async fn play(behaviour: &Behaviour, duration: Duration) -> Counts {
    let deployment = run::set_up(SEED, INSTANCES).await;
    deployment.servers.iter().for_each(|server| server.backend.set(behaviour.clone()));
    let attempts = Arc::new(Mutex::new(Vec::new()));
    let end = Instant::now() + duration;
    let clients = (0..CLIENTS).map(|number| {
        let addr = deployment.instances[number % INSTANCES].traffic_addr;
        tokio::spawn(send_orders(number, addr, end, Arc::clone(&attempts)))
    });
    for client in clients.collect::<Vec<_>>() {
        client.await.unwrap();
    }
    time::sleep(SETTLING).await;
    let log: String = deployment.instances.iter().map(|instance| instance.log_text()).collect();
    let attempts = std::mem::take(&mut *attempts.lock().unwrap());
    count(&attempts, &deployment.received(), &log)
}

/// Sends orders, each once more under another ID and on a new connection if the answer promises that
/// it was not executed.
async fn send_orders(
    number: usize,
    addr: SocketAddr,
    end: Instant,
    attempts: Arc<Mutex<Vec<Attempt>>>,
) {
    let mut random = Rng::with_seed(SEED ^ (number as u64) << 32);
    let mut client = Client::connect(addr).await;
    for order in (number..).step_by(CLIENTS).take_while(|_| Instant::now() < end) {
        let object = random.u32(..200);
        for number in 0..2 {
            let id = format!("o{order:06}-{number}");
            let text = post_request("/write/x", &id, &format!("order {id}"));
            let object = format!("X-Affinity-Key: {object}");
            client.send(&text.replace("X-Affinity-Key: 17", &object)).await;
            if order % GIVE_UP_EVERY == 0 {
                time::sleep(GIVE_UP_AFTER).await;
                client = Client::connect(addr).await;
                attempts.lock().unwrap().push(Attempt { id, order, status: None, signature: None });
                break;
            }
            let response = time::timeout(CLIENT_TIMEOUT, client.response()).await.ok().flatten();
            let status = response.as_ref().map(|response| response.status);
            let header = |name| Some(response.as_ref()?.header(name)?.to_owned());
            let signature = header("x-response-signature");
            attempts.lock().unwrap().push(Attempt { id, order, status, signature });
            let is_refused = status.is_some_and(|status| NOT_EXECUTED.contains(&status));
            if status.is_none_or(|status| status >= 400) {
                client = Client::connect(addr).await;
            }
            if !is_refused {
                break;
            }
            time::sleep(retry_after(response.as_ref())).await;
        }
        time::sleep(PAUSE).await;
    }
}

fn retry_after(response: Option<&HttpResponse>) -> Duration {
    let seconds = response.and_then(|response| response.header("retry-after")?.parse().ok());
    Duration::from_secs_f64(seconds.map_or(0.0, |seconds: f64| seconds.min(1.0)))
}

fn count(attempts: &[Attempt], received: &[ReceivedRequest], log: &str) -> Counts {
    let mut executions: BTreeMap<&str, usize> = BTreeMap::new();
    for received in received.iter().filter(|received| received.is_executed) {
        *executions.entry(&received.id).or_default() += 1;
    }
    let executions_of = |id: &str| executions.get(id).copied().unwrap_or(0);
    let logged = logged_ids(log);
    let mut counts = Counts {
        attempts: attempts.len(),
        executed: executions.len(),
        twice: executions.values().filter(|&&count| count > 1).count(),
        log_bytes: log.len() as u64,
        ..Counts::default()
    };
    let mut by_order: BTreeMap<usize, usize> = BTreeMap::new();
    for Attempt { id, order, status, signature } in attempts {
        let answer = status.map_or("none".to_owned(), |status| status.to_string());
        *counts.answers.entry(answer).or_default() += 1;
        let executions = executions_of(id);
        *by_order.entry(*order).or_default() += executions;
        let is_refused = status.is_some_and(|status| NOT_EXECUTED.contains(&status));
        counts.refused += usize::from(is_refused && executions > 0);
        let is_served = status.is_some_and(|status| status < 400);
        counts.without_line += usize::from(!is_served && !logged.contains(id.as_str()));
        // Of the servers' responses, only successes and refusals without evidence are signed.
        let is_foreign = signature.as_ref().is_some_and(|value| *value != format!("s-{id}"));
        counts.mixed += usize::from(is_foreign || signature.is_some() && *status == Some(502));
    }
    counts.orders_twice = by_order.values().filter(|&&count| count > 1).count();
    counts
}

/// Returns the IDs of all requests in lines of the log and in summaries.
fn logged_ids(log: &str) -> BTreeSet<&str> {
    let values = log.split("id=").skip(1);
    values.map(|rest| rest.split([' ', ';', '"', '\n']).next().unwrap_or_default()).collect()
}

//! Checks that all instances together keep to the retry budget of the service.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use azuregate_platform::fakes::{Behaviour, ReceivedRequest};
use tokio::time;

use crate::{
    cluster::{Client, get_request},
    run::{self, Deployment},
};

/// Retries in a window as a share of the requests.
pub(crate) const RATIO: f64 = 0.2;
pub(crate) const WINDOW: Duration = Duration::from_secs(4);
/// Retries in a window beyond that share.
pub(crate) const BURST: u32 = 6;

/// Checks the arrivals at all servers. `sent` are the times at which clients sent requests.
pub(crate) fn check(sent: &[Instant], received: &[ReceivedRequest]) -> Option<String> {
    let mut sent = sent.to_vec();
    sent.sort();
    let mut arrivals: Vec<(Instant, &str)> =
        received.iter().map(|request| (request.received_at, request.id.as_str())).collect();
    arrivals.sort();
    let mut seen = BTreeSet::new();
    let repeated: Vec<Instant> =
        arrivals.into_iter().filter(|(_, id)| !seen.insert(*id)).map(|(at, _)| at).collect();
    let count = |times: &[Instant], from: Instant, to: Instant| {
        times.partition_point(|at| *at < to) - times.partition_point(|at| *at < from)
    };
    let excess = |from: &Instant| {
        let earlier = [Duration::ZERO, WINDOW / 2, WINDOW];
        let windows = earlier.map(|by| count(&sent, *from - by, *from - by + WINDOW));
        let requests = windows.into_iter().max().unwrap_or_default();
        let allowed = RATIO * requests as f64 + f64::from(BURST);
        let repeated = count(&repeated, *from, *from + WINDOW);
        (repeated as f64 - allowed, repeated, requests)
    };
    let (excess, repeated, requests) =
        repeated.iter().map(excess).max_by(|a, b| a.0.total_cmp(&b.0))?;
    (excess > 0.0).then(|| {
        format!("{repeated} arrivals beyond the first of {requests} requests in {WINDOW:?}, {excess:.0} too many")
    })
}

/// Sends requests at a constant rate.
struct SteadyClient {
    instances: Vec<SocketAddr>,
    is_stopped: AtomicBool,
    sent: Mutex<BTreeMap<String, Instant>>,
}

impl SteadyClient {
    const INTERVAL: Duration = Duration::from_millis(7);

    fn new(instances: Vec<SocketAddr>) -> Arc<SteadyClient> {
        Arc::new(SteadyClient { instances, is_stopped: false.into(), sent: Mutex::default() })
    }

    async fn run(self: Arc<SteadyClient>) {
        let mut ticks = time::interval(Self::INTERVAL);
        for number in 0.. {
            ticks.tick().await;
            if self.is_stopped.load(Ordering::Relaxed) {
                return;
            }
            let addr = self.instances[number % self.instances.len()];
            let id = format!("s{number}");
            self.sent.lock().unwrap().insert(id.clone(), Instant::now());
            tokio::spawn(async move {
                let Some(mut client) = Client::try_connect(addr).await else { return };
                let object = format!("X-Affinity-Key: k{number}");
                let request = get_request("/read/x", &id).replace("X-Affinity-Key: 17", &object);
                client.send(&request).await;
                client.response().await;
            });
        }
    }
}

async fn kill_all(deployment: &Deployment) {
    let kills = deployment.instances.iter().map(|i| i.kill(Duration::from_millis(50)));
    futures_util::future::join_all(kills).await;
}

/// Guards against instances that restart while servers fail, and retry as if their last run had
/// not retried.
#[tokio::test(flavor = "multi_thread")]
async fn retries_keep_to_the_budget_while_instances_restart() {
    let deployment = run::set_up(u64::MAX, 4).await;
    let addrs = deployment.instances.iter().map(|instance| instance.traffic_addr).collect();
    let client = SteadyClient::new(addrs);
    let sending = tokio::spawn(Arc::clone(&client).run());
    time::sleep(WINDOW + WINDOW / 4).await;
    deployment.servers.iter().for_each(|server| server.backend.set(Behaviour::Reject));
    time::sleep(WINDOW / 8).await;
    kill_all(&deployment).await;
    time::sleep(WINDOW).await;
    client.is_stopped.store(true, Ordering::Relaxed);
    sending.await.unwrap();
    let sent: Vec<Instant> = client.sent.lock().unwrap().values().copied().collect();
    let received = deployment.received();
    assert_eq!(check(&sent, &received), None);
    let ids: BTreeSet<&str> = received.iter().map(|request| request.id.as_str()).collect();
    assert!(received.len() > ids.len() + 20, "retries are made");
}

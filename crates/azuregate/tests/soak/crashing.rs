//! A request that crashes the servers that execute it, sent again and again.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use azuregate_platform::fakes::ReceivedRequest;
use fastrand::Rng;
use tokio::time;

use crate::{
    cluster::{Client, get_request, post_request},
    run::Deployment,
};

/// The contact bound of the settings fixture.
const CONTACT: Duration = Duration::from_secs(1);
/// Crashes after which instances must recognize the request.
const MAX_CRASHES: usize = 3;
/// How often the request may reach servers once they must.
const MAX_RETRIES: usize = 3;
const SEND_INTERVAL_MS: std::ops::Range<u64> = 50..300;
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2_500);
const PATHS: [&str; 2] = ["GET /read/crash-1", "POST /write/crash-1"];
const ID_PREFIX: &str = "crash";
const BODY: &str = "always the same";

/// Sends one request under new ids at random instances, from a random time on.
pub(crate) struct CrashingClient {
    is_write: bool,
    starts_after: Duration,
    random: Mutex<Rng>,
    is_stopped: AtomicBool,
    /// The instance that each request was sent to.
    sent_to: Mutex<BTreeMap<String, usize>>,
}

impl CrashingClient {
    pub(crate) fn new(seed: u64) -> Arc<CrashingClient> {
        let mut random = Rng::with_seed(!seed);
        Arc::new(CrashingClient {
            is_write: random.bool(),
            starts_after: Duration::from_millis(random.u64(..8_000)),
            random: Mutex::new(random),
            is_stopped: AtomicBool::new(false),
            sent_to: Mutex::default(),
        })
    }

    pub(crate) fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    pub(crate) async fn run(self: Arc<CrashingClient>, deployment: Arc<Deployment>) {
        time::sleep(self.starts_after).await;
        for number in 0.. {
            if self.is_stopped.load(Ordering::Relaxed) {
                return;
            }
            let (instance, pause_ms) = {
                let mut random = self.random.lock().unwrap();
                (random.usize(..deployment.instances.len()), random.u64(SEND_INTERVAL_MS))
            };
            let id = format!("{ID_PREFIX}{number}");
            self.sent_to.lock().unwrap().insert(id.clone(), instance);
            let text = match self.is_write {
                true => post_request("/write/crash-1", &id, BODY),
                false => get_request("/read/crash-1", &id),
            };
            let addr = deployment.instances[instance].traffic_addr;
            tokio::spawn(time::timeout(CLIENT_TIMEOUT, async move {
                let mut client = Client::try_connect(addr).await?;
                client.send(&text).await;
                client.response().await
            }));
            time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Returns how often the request reached servers from instances in contact, later than the
    /// contact bound after it had crashed the third.
    fn late_retries(&self, deployment: &Deployment, received: &[ReceivedRequest]) -> usize {
        let mut crashes: Vec<Instant> = received.iter().filter_map(|r| r.crashed_at).collect();
        crashes.sort();
        let Some(third) = crashes.get(MAX_CRASHES - 1) else { return 0 };
        let sent_to = self.sent_to.lock().unwrap();
        let is_late = |received: &&ReceivedRequest| {
            let in_contact = sent_to.get(&received.id).is_some_and(|instance| {
                let since = received.received_at - CONTACT;
                !deployment.was_disturbed(*instance, since, received.received_at)
            });
            received.received_at > *third + CONTACT && in_contact
        };
        received.iter().filter(is_crashing).filter(is_late).count()
    }

    /// Checks that the request was stopped in time.
    pub(crate) fn check(
        &self,
        deployment: &Deployment,
        received: &[ReceivedRequest],
    ) -> Option<String> {
        let late = self.late_retries(deployment, received);
        let crashes = received.iter().filter(|received| received.crashed_at.is_some()).count();
        (late > MAX_RETRIES)
            .then(|| format!("a crashing request was retried {late} times, {crashes} crashes"))
    }
}

/// Returns whether a server received the request as it was sent, or a part of it if it crashed
/// before the whole body was in.
pub(crate) fn is_crashing(received: &&ReceivedRequest) -> bool {
    let body = if received.method_and_path == PATHS[1] { BODY } else { "" };
    received.id.starts_with(ID_PREFIX)
        && PATHS.contains(&received.method_and_path.as_str())
        && body.as_bytes().starts_with(&received.body)
        && (!received.is_complete || received.body.len() == body.len())
}

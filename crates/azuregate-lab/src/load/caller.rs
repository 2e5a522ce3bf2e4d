//! A simulated caller with its list of entry instances and its connections.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use azuregate_core::{
    entries::{Entries, MAX_AGE_S},
    names::ServiceName,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, header};
use tokio::time::{self, Instant};

use crate::{
    client::ClientError,
    load::{
        Class, RequestOutcome,
        conn::{Conn, SendError},
    },
};

/// Time past the announced timeout that a caller waits for the response.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// One simulated caller.
pub struct Caller {
    ip: Option<IpAddr>,
    bootstrap_addr: SocketAddr,
    favoured: Option<SocketAddr>,
    service: ServiceName,
    timeout_ms: u64,
    entry_addrs: Mutex<Vec<SocketAddr>>,
    idle: Mutex<HashMap<SocketAddr, Vec<Conn>>>,
}

/// A request to send.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) name: String,
    pub(crate) class: Class,
    pub(crate) upload_bytes: usize,
    pub(crate) retries: u32,
}

impl Caller {
    /// Returns a caller that connects from `ip` and fetches its first list of
    /// entry instances from `bootstrap_addr`. It prefers `favoured` while that is
    /// listed.
    pub fn new(
        ip: Option<IpAddr>,
        bootstrap_addr: SocketAddr,
        favoured: Option<SocketAddr>,
        service: &ServiceName,
        timeout_ms: u64,
    ) -> Caller {
        Caller {
            ip,
            bootstrap_addr,
            favoured,
            service: service.clone(),
            timeout_ms,
            entry_addrs: Mutex::default(),
            idle: Mutex::default(),
        }
    }

    /// Fetches the list of entry instances from the known ones in order, then
    /// from the bootstrap address.
    ///
    /// # Errors
    ///
    /// When none of them returns a list with at least one instance.
    pub async fn discover(&self) -> Result<(), ClientError> {
        let mut last: ClientError = "there is no entry instance to ask".into();
        let entry_addrs = lock(&self.entry_addrs).clone();
        for at in entry_addrs.into_iter().chain([self.bootstrap_addr]) {
            match self.fetch_entries(at).await {
                Ok(addrs) => {
                    *lock(&self.entry_addrs) = addrs;
                    return Ok(());
                }
                Err(e) => last = e,
            }
        }
        Err(last)
    }

    async fn fetch_entries(&self, at: SocketAddr) -> Result<Vec<SocketAddr>, ClientError> {
        let request = Request::get(format!("/v1/entries?service={}", self.service))
            .header(header::HOST, at.to_string())
            .body(Full::default())?;
        let limit = Duration::from_millis(self.timeout_ms);
        let answer = time::timeout(limit, self.round_trip(at, request)).await?;
        let answer = answer.map_err(|e| match e {
            SendError::Unsent(_) => format!("{at} cannot be reached"),
            SendError::Interrupted(reason) => format!("{at}: {reason}"),
        })?;
        if !answer.status().is_success() {
            return Err(String::from_utf8_lossy(answer.body()).into_owned().into());
        }
        let entries: Entries = serde_json::from_slice(answer.body())?;
        let mut addrs: Vec<_> = entries.entries.iter().map(|entry| entry.addr).collect();
        if let Some(favoured) = self.favoured {
            // The sort is stable, so the others keep their order.
            addrs.sort_by_key(|addr| *addr != favoured);
        }
        if addrs.is_empty() { Err("no entry instance takes requests".into()) } else { Ok(addrs) }
    }

    /// Fetches the list again whenever its max-age has elapsed.
    pub(crate) async fn refresh_periodically(self: std::sync::Arc<Caller>) {
        // A random phase keeps callers from refreshing at the same time.
        let mut wait_ms = fastrand::u64(0..MAX_AGE_S * 1_000);
        loop {
            time::sleep(Duration::from_millis(wait_ms)).await;
            let discovered = self.discover().await;
            wait_ms = if discovered.is_ok() { MAX_AGE_S * 1_000 } else { 500 };
        }
    }

    /// Sends a request with retries; returns its outcome and the number of tries.
    pub(crate) async fn execute(&self, job: &Job) -> (RequestOutcome, u32) {
        let mut tries = 1;
        loop {
            let (ending, retry_after) = self.attempt(job).await;
            let Some(after) = retry_after.filter(|_| tries <= job.retries) else {
                return (ending, tries);
            };
            time::sleep(after).await;
            tries += 1;
        }
    }

    /// Sends a request once; returns its outcome and, if it was refused as
    /// `not-run` with a `Retry-After`, the delay until a retry.
    async fn attempt(&self, job: &Job) -> (RequestOutcome, Option<Duration>) {
        let request = match self.request(job) {
            Ok(request) => request,
            Err(e) => return (RequestOutcome::Failed(e.to_string()), None),
        };
        match self.send(request).await {
            Ok(answer) => (classify(job, &answer), retry_after(&answer)),
            Err(reason) => (RequestOutcome::Failed(reason), None),
        }
    }

    fn request(&self, job: &Job) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let builder = Request::builder()
            .header(header::HOST, self.service.as_str())
            .header("azuregate-timeout-ms", self.timeout_ms)
            .header("azuregate-request-id", &job.name);
        match job.class {
            Class::Read => builder.uri("/feeding-schedule").body(Full::default()),
            Class::Keyed => builder
                .method("POST")
                .uri("/orders")
                .header("idempotency-key", &job.name)
                .body(Full::from("order")),
            Class::Upload => {
                let body = Bytes::from(vec![b'.'; job.upload_bytes]);
                builder.method("POST").uri("/photos").body(Full::from(body))
            }
        }
    }

    /// Sends a request to the first entry instance that accepts the connection.
    async fn send(&self, mut request: Request<Full<Bytes>>) -> Result<Response<Bytes>, String> {
        let entry_addrs = lock(&self.entry_addrs).clone();
        let deadline = Instant::now() + Duration::from_millis(self.timeout_ms) + TIMEOUT_MARGIN;
        for addr in entry_addrs {
            match time::timeout_at(deadline, self.round_trip(addr, request)).await {
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(SendError::Unsent(unsent))) => request = *unsent,
                Ok(Err(SendError::Interrupted(reason))) => {
                    self.deprioritize(addr);
                    return Err(reason);
                }
                Err(_) => {
                    self.deprioritize(addr);
                    return Err("no answer in time".to_owned());
                }
            }
        }
        Err("no entry instance can be reached".to_owned())
    }

    /// Moves an entry instance that did not answer to the end of the list, until
    /// the list is next fetched.
    fn deprioritize(&self, addr: SocketAddr) {
        lock(&self.entry_addrs).sort_by_key(|entry| *entry == addr);
    }

    async fn round_trip(
        &self,
        addr: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, SendError> {
        while let Some(mut conn) = self.take_idle(addr) {
            match conn.send(request).await {
                Ok(answer) => {
                    self.put_idle(addr, conn);
                    return Ok(answer);
                }
                Err(SendError::Unsent(unsent)) => request = *unsent,
                Err(e) => return Err(e),
            }
        }
        let Ok(mut conn) = Conn::open(self.ip, addr).await else {
            return Err(SendError::Unsent(Box::new(request)));
        };
        let answer = conn.send(request).await?;
        self.put_idle(addr, conn);
        Ok(answer)
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Conn> {
        let mut idle = lock(&self.idle);
        let idle_conns = idle.get_mut(&addr)?;
        while let Some(conn) = idle_conns.pop() {
            if conn.is_idle() {
                return Some(conn);
            }
        }
        None
    }

    fn put_idle(&self, addr: SocketAddr, conn: Conn) {
        lock(&self.idle).entry(addr).or_default().push(conn);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn classify(job: &Job, answer: &Response<Bytes>) -> RequestOutcome {
    let status = answer.status();
    if let Some(outcome) = answer.headers().get("azuregate-outcome") {
        let outcome = outcome.to_str().unwrap_or("?").to_owned();
        return RequestOutcome::Refused { status: status.as_u16(), outcome };
    }
    if !status.is_success() {
        return RequestOutcome::Refused { status: status.as_u16(), outcome: "backend".to_owned() };
    }
    // The backend server echoes the body length and the request ID, which detects
    // responses to other requests.
    let bytes = match job.class {
        Class::Read => 0,
        Class::Keyed => "order".len(),
        Class::Upload => job.upload_bytes,
    };
    let expected = format!(" after {bytes} bytes for {}\n", job.name);
    if answer.body().ends_with(expected.as_bytes()) {
        RequestOutcome::Answered
    } else {
        RequestOutcome::MixedUp
    }
}

fn retry_after(answer: &Response<Bytes>) -> Option<Duration> {
    let outcome = answer.headers().get("azuregate-outcome")?;
    let after = answer.headers().get(header::RETRY_AFTER)?;
    if outcome.as_bytes() != b"not-run" {
        return None;
    }
    Some(Duration::from_secs(after.to_str().ok()?.parse().ok()?))
}

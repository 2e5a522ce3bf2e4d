//! A caller: what it knows of the entry instances, and its connections.

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
        Class, Ending,
        conn::{Conn, Lost},
    },
};

/// How much longer than it says a caller waits for the refusal.
const GRACE: Duration = Duration::from_millis(500);

/// One caller.
pub struct Caller {
    ip: Option<IpAddr>,
    ask: SocketAddr,
    favoured: Option<SocketAddr>,
    service: ServiceName,
    timeout_ms: u64,
    known: Mutex<Vec<SocketAddr>>,
    idle: Mutex<HashMap<SocketAddr, Vec<Conn>>>,
}

/// One request to make.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) name: String,
    pub(crate) class: Class,
    pub(crate) upload_bytes: usize,
    pub(crate) retries: u32,
}

impl Caller {
    /// A caller that comes from `ip` and asks `ask` first; it uses `favoured`
    /// while that takes requests.
    pub fn new(
        ip: Option<IpAddr>,
        ask: SocketAddr,
        favoured: Option<SocketAddr>,
        service: &ServiceName,
        timeout_ms: u64,
    ) -> Caller {
        Caller {
            ip,
            ask,
            favoured,
            service: service.clone(),
            timeout_ms,
            known: Mutex::default(),
            idle: Mutex::default(),
        }
    }

    /// Asks which entry instances to use: those that it knows, in order, then
    /// the one that it started from.
    ///
    /// # Errors
    ///
    /// When none of them gives a list that names an instance.
    pub async fn learn(&self) -> Result<(), ClientError> {
        let mut last: ClientError = "there is no entry instance to ask".into();
        let known = lock(&self.known).clone();
        for at in known.into_iter().chain([self.ask]) {
            match self.list_of(at).await {
                Ok(addrs) => {
                    *lock(&self.known) = addrs;
                    return Ok(());
                }
                Err(e) => last = e,
            }
        }
        Err(last)
    }

    async fn list_of(&self, at: SocketAddr) -> Result<Vec<SocketAddr>, ClientError> {
        let request = Request::get(format!("/v1/entries?service={}", self.service))
            .header(header::HOST, at.to_string())
            .body(Full::default())?;
        let limit = Duration::from_millis(self.timeout_ms);
        let answer = time::timeout(limit, self.exchange(at, request)).await?;
        let answer = answer.map_err(|lost| match lost {
            Lost::Unsent(_) => format!("{at} cannot be reached"),
            Lost::Sent(reason) => format!("{at}: {reason}"),
        })?;
        if !answer.status().is_success() {
            return Err(String::from_utf8_lossy(answer.body()).into_owned().into());
        }
        let entries: Entries = serde_json::from_slice(answer.body())?;
        let mut addrs: Vec<_> = entries.entries.iter().map(|entry| entry.addr).collect();
        if let Some(favoured) = self.favoured {
            // Stable, so the others keep their order.
            addrs.sort_by_key(|addr| *addr != favoured);
        }
        if addrs.is_empty() { Err("no entry instance takes requests".into()) } else { Ok(addrs) }
    }

    /// Asks again each time the last answer has run out.
    pub(crate) async fn renew(self: std::sync::Arc<Caller>) {
        // Callers did not all start at once.
        let mut wait_ms = fastrand::u64(0..MAX_AGE_S * 1_000);
        loop {
            time::sleep(Duration::from_millis(wait_ms)).await;
            let learnt = self.learn().await;
            wait_ms = if learnt.is_ok() { MAX_AGE_S * 1_000 } else { 500 };
        }
    }

    /// Makes one request; returns how it ended and how often it was sent.
    pub(crate) async fn serve(&self, job: &Job) -> (Ending, u32) {
        let mut tries = 1;
        loop {
            let (ending, come_back) = self.once(job).await;
            let Some(after) = come_back.filter(|_| tries <= job.retries) else {
                return (ending, tries);
            };
            time::sleep(after).await;
            tries += 1;
        }
    }

    /// Makes one request once; returns also when to come back, if it was
    /// refused as not run and the answer says when.
    async fn once(&self, job: &Job) -> (Ending, Option<Duration>) {
        let request = match self.request(job) {
            Ok(request) => request,
            Err(e) => return (Ending::Failed(e.to_string()), None),
        };
        match self.send(request).await {
            Ok(answer) => (ending(job, &answer), come_back(&answer)),
            Err(reason) => (Ending::Failed(reason), None),
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

    /// Sends to the first entry instance that takes the connection.
    async fn send(&self, mut request: Request<Full<Bytes>>) -> Result<Response<Bytes>, String> {
        let known = lock(&self.known).clone();
        let limit = Instant::now() + Duration::from_millis(self.timeout_ms) + GRACE;
        for addr in known {
            match time::timeout_at(limit, self.exchange(addr, request)).await {
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(Lost::Unsent(unsent))) => request = *unsent,
                Ok(Err(Lost::Sent(reason))) => {
                    self.put_last(addr);
                    return Err(reason);
                }
                Err(_) => {
                    self.put_last(addr);
                    return Err("no answer in time".to_owned());
                }
            }
        }
        Err("no entry instance can be reached".to_owned())
    }

    /// Uses an entry instance that gave no answer after all others, until the
    /// next list.
    fn put_last(&self, addr: SocketAddr) {
        lock(&self.known).sort_by_key(|known| *known == addr);
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, Lost> {
        while let Some(mut conn) = self.take_idle(addr) {
            match conn.send(request).await {
                Ok(answer) => {
                    self.keep(addr, conn);
                    return Ok(answer);
                }
                Err(Lost::Unsent(unsent)) => request = *unsent,
                Err(lost) => return Err(lost),
            }
        }
        let Ok(mut conn) = Conn::open(self.ip, addr).await else {
            return Err(Lost::Unsent(Box::new(request)));
        };
        let answer = conn.send(request).await?;
        self.keep(addr, conn);
        Ok(answer)
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Conn> {
        let mut idle = lock(&self.idle);
        let kept = idle.get_mut(&addr)?;
        while let Some(conn) = kept.pop() {
            if conn.is_idle() {
                return Some(conn);
            }
        }
        None
    }

    fn keep(&self, addr: SocketAddr, conn: Conn) {
        lock(&self.idle).entry(addr).or_default().push(conn);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn ending(job: &Job, answer: &Response<Bytes>) -> Ending {
    let status = answer.status();
    if let Some(outcome) = answer.headers().get("azuregate-outcome") {
        let outcome = outcome.to_str().unwrap_or("?").to_owned();
        return Ending::Refused { status: status.as_u16(), outcome };
    }
    if !status.is_success() {
        return Ending::Refused { status: status.as_u16(), outcome: "backend".to_owned() };
    }
    // The backend server repeats what it was asked: an answer to another
    // request would show.
    let bytes = match job.class {
        Class::Read => 0,
        Class::Keyed => "order".len(),
        Class::Upload => job.upload_bytes,
    };
    let expected = format!(" after {bytes} bytes for {}\n", job.name);
    if answer.body().ends_with(expected.as_bytes()) { Ending::Answered } else { Ending::MixedUp }
}

fn come_back(answer: &Response<Bytes>) -> Option<Duration> {
    let outcome = answer.headers().get("azuregate-outcome")?;
    let after = answer.headers().get(header::RETRY_AFTER)?;
    if outcome.as_bytes() != b"not-run" {
        return None;
    }
    Some(Duration::from_secs(after.to_str().ok()?.parse().ok()?))
}

//! One request of a client, from its head to its answer.

use std::{rc::Rc, sync::Arc, time::Duration};

use azuregate_core::{
    balance::{self, BackendHandle, BackendQuery, Choice, RequestKind, Route},
    names::ServiceName,
};
use azuregate_platform::request;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Response, StatusCode,
    body::{Body, Incoming},
    header::{self, HeaderValue},
    http::request::Parts,
};
use tokio::time::{self, Instant};

use super::{
    answer::{self, Refusal},
    attempt::{self, Ended, NotRun, Outgoing},
    state::State,
    streaming::Answer,
};

/// How long a client is waited for that names no deadline.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// Bodies from this size go to a server nearby: the way costs more than what a
/// server saves that knows the object.
const LARGE_BODY_BYTES: usize = 20_000;
/// Servers that may reject a request before it is given up, beyond the attempts
/// of its route.
const REJECTIONS: u32 = 1;
/// Time that must be left for another attempt to be of use.
const LEAST_LEFT_MS: u64 = 20;

/// Answers one request of a client, whose head arrived at `received_at`.
pub(super) async fn handle(
    state: Rc<State>,
    parts: Parts,
    body: Option<Incoming>,
    received_at: Instant,
) -> Response<Answer> {
    let mut record = Record::new(&parts.headers);
    let result = serve(&state, parts, body, received_at, &mut record).await;
    let taken_ms = u64::try_from(received_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    let response = match result {
        Ok(response) => response,
        Err(refusal) => {
            record.code = refusal.code();
            refusal.answer()
        }
    };
    state.metrics.request(&record.service, &record.route, record.code, taken_ms);
    record.log(response.status(), taken_ms);
    response
}

/// Whether a request may run although its connection may end before its turn.
pub(super) fn may_start_early(state: &State, parts: &Parts) -> bool {
    let Some(config) = state.config() else { return false };
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let route = host.and_then(|host| config.route(host, parts.uri.path()));
    route.is_some_and(|route| route.kind == RequestKind::Idempotent)
}

/// What the log says of a request.
struct Record {
    id: String,
    object: String,
    route: String,
    service: String,
    version: u64,
    backend: String,
    tries: usize,
    causes: String,
    in_flight: u32,
    deadline_ms: u64,
    /// What a refusal is based on, empty for others.
    basis: String,
    code: &'static str,
}

impl Record {
    fn new(headers: &HeaderMap) -> Record {
        let text = |name| headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
        Record {
            id: text(request::REQUEST_ID).unwrap_or_default().to_owned(),
            object: text(request::AFFINITY_KEY).unwrap_or_default().to_owned(),
            route: String::new(),
            service: String::new(),
            version: 0,
            backend: String::new(),
            tries: 0,
            causes: String::new(),
            in_flight: 0,
            deadline_ms: 0,
            basis: String::new(),
            code: "answered",
        }
    }

    fn tried(&mut self, choice: &Choice) {
        self.tries += 1;
        self.in_flight = choice.in_flight;
        self.backend = choice.backend.id.as_str().to_owned();
    }

    fn failed(&mut self, cause: &str) {
        if !self.causes.is_empty() {
            self.causes.push(',');
        }
        self.causes.push_str(&self.backend);
        self.causes.push(':');
        self.causes.push_str(cause);
    }

    fn log(&self, status: StatusCode, taken_ms: u64) {
        log::info!(
            id = self.id.as_str(),
            code = self.code,
            status = status.as_u16(),
            route = self.route.as_str(),
            service = self.service.as_str(),
            object = self.object.as_str(),
            version = self.version,
            backend = self.backend.as_str(),
            tries = self.tries,
            failed = self.causes.as_str(),
            in_flight = self.in_flight,
            basis = self.basis.as_str(),
            deadline_ms = self.deadline_ms,
            taken_ms = taken_ms;
            "request"
        );
    }
}

async fn serve(
    state: &Rc<State>,
    parts: Parts,
    body: Option<Incoming>,
    received_at: Instant,
    record: &mut Record,
) -> Result<Response<Answer>, Refusal> {
    let Some(config) = state.config() else { return Err(Refusal::NotReady) };
    record.version = config.version();
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let Some(host) = host else { return Err(Refusal::BadRequest) };
    let Some(route) = config.route(host, parts.uri.path()) else {
        // A client does not come back after a denial, and the route may be new.
        let has_contact = state.contact.borrow().is_fresh(state.now_ms());
        return Err(if has_contact { Refusal::NoRoute } else { Refusal::OutOfContact });
    };
    let route = Arc::clone(route);
    record.route.push_str(&route.name);
    let wait_ms = deadline_ms(&parts.headers).min(route.timeout_ms);
    record.deadline_ms = wait_ms;
    let deadline = received_at + Duration::from_millis(wait_ms);
    let service = state.next_service(&route);
    record.service.push_str(service.as_str());
    state.count_request(&service);
    if !state.has_backends() {
        return Err(Refusal::NotReady);
    }
    let body_limit = config.limits().body_bytes;
    drop(config);

    let mut progress = Progress::default();
    let work = async {
        let outgoing = read(parts, body, &route, body_limit).await?;
        Task { state, route: &route, service: &service, outgoing, deadline }
            .run(&mut progress, record)
            .await
    };
    match time::timeout_at(deadline, work).await {
        Ok(result) => result,
        Err(_) => Err(progress.timed_out()),
    }
}

fn deadline_ms(headers: &HeaderMap) -> u64 {
    let text = headers.get(request::DEADLINE_MS).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_DEADLINE_MS)
}

/// Reads the whole body, so that no backend server waits for a slow client and a
/// server that rejects the request can be replaced by another.
async fn read(
    mut parts: Parts,
    body: Option<Incoming>,
    route: &Route,
    body_limit: usize,
) -> Result<Outgoing, Refusal> {
    let body = match body {
        Some(body) => read_body(body, body_limit).await?,
        None => Bytes::new(),
    };
    answer::remove_hop_by_hop(&mut parts.headers);
    answer::remove_internal(&mut parts.headers);
    parts.headers.remove(header::EXPECT);
    parts.headers.remove(header::CONTENT_LENGTH);
    Ok(Outgoing {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        is_idempotent: route.kind == RequestKind::Idempotent,
    })
}

async fn read_body(mut incoming: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    if incoming.size_hint().lower() > limit as u64 {
        return Err(Refusal::BodyTooLong);
    }
    let mut body = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|_| Refusal::BodyBroken)?;
        let Ok(data) = frame.into_data() else { continue };
        if body.len() + data.len() > limit {
            return Err(Refusal::BodyTooLong);
        }
        body.extend_from_slice(&data);
    }
    Ok(body.freeze())
}

/// What has become of a request so far.
#[derive(Default)]
struct Progress {
    /// Servers that are not asked again.
    tried: Vec<BackendHandle>,
    /// How often it was sent to a server.
    sends: u32,
    /// Servers that may have run it.
    runs: u32,
    /// Whether it is at a server now.
    is_sent: bool,
}

impl Progress {
    fn timed_out(&self) -> Refusal {
        if self.runs > 0 || self.is_sent { Refusal::TimedOut } else { Refusal::NoRoom }
    }

    fn given_up(&self, not_run: Refusal) -> Refusal {
        if self.runs > 0 { Refusal::AnswerLost } else { not_run }
    }
}

/// A request that looks for a backend server.
struct Task<'a> {
    state: &'a Rc<State>,
    route: &'a Route,
    service: &'a ServiceName,
    outgoing: Outgoing,
    deadline: Instant,
}

impl Task<'_> {
    async fn run(
        &self,
        progress: &mut Progress,
        record: &mut Record,
    ) -> Result<Response<Answer>, Refusal> {
        let mut failure = None;
        loop {
            let left_ms = self.left_ms();
            let is_retry = progress.sends > 0;
            if is_retry && !self.may_retry(progress, left_ms) {
                break;
            }
            let Some(choice) = self.choose(progress, record) else { break };
            record.tried(&choice);
            progress.tried.push(choice.handle);
            progress.sends += 1;
            progress.is_sent = true;
            let ended = attempt::send(self.state, &choice, &self.outgoing, left_ms).await;
            progress.is_sent = false;
            match ended {
                Ended::Answer(response) => {
                    progress.runs += 1;
                    let is_failure = response.status().is_server_error();
                    if !is_failure || !self.outgoing.is_idempotent {
                        return Ok(self.passed_on(response));
                    }
                    record.failed("failure");
                    failure = Some(response);
                }
                Ended::NotRun(cause) => {
                    record.failed(cause.name());
                    if cause == NotRun::Rejected && choice.had_free_slot() {
                        progress.tried.pop();
                    }
                }
                Ended::Unknown(cause) => {
                    progress.runs += 1;
                    record.failed(cause);
                    if !self.outgoing.is_idempotent {
                        break;
                    }
                }
            }
        }
        match failure {
            Some(response) => Ok(self.passed_on(response)),
            None if progress.sends == 0 => Err(Refusal::NoRoom),
            None => Err(progress.given_up(Refusal::Rejected)),
        }
    }

    fn left_ms(&self) -> u64 {
        let left = self.deadline.saturating_duration_since(Instant::now());
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }

    fn may_retry(&self, progress: &Progress, left_ms: u64) -> bool {
        progress.runs < self.route.attempts
            && progress.sends < self.route.attempts + REJECTIONS
            && left_ms > LEAST_LEFT_MS
            && self.state.take_retry(self.service)
    }

    fn choose(&self, progress: &Progress, record: &mut Record) -> Option<Choice> {
        let headers = &self.outgoing.headers;
        let known = headers.get(request::AFFINITY_KEY).filter(|_| self.route.has_session_affinity);
        let known = known.map(|key| balance::object_hash(&self.route.name, key.as_bytes()));
        let object = known.unwrap_or_else(|| fastrand::u64(..));
        let query = BackendQuery {
            service: self.service,
            object,
            has_large_body: self.outgoing.body.len() > LARGE_BODY_BYTES,
            tried: &progress.tried,
            home_regions: &self.route.home_regions,
        };
        let now_ms = self.state.now_ms();
        let mut balancer = self.state.balancer.borrow_mut();
        if let Some(object) = known {
            balancer.record_request(object, now_ms);
        }
        let choice = balancer.choose(&query, now_ms);
        if choice.is_none() {
            record.basis = balancer.explain(&query, now_ms).to_string();
        }
        choice
    }

    /// A status that promises that the request has not run must be true. A backend
    /// server says so by a header; one that uses the status without it may have
    /// run the request, and only its signature keeps the status as it is.
    fn passed_on(&self, mut response: Response<Answer>) -> Response<Answer> {
        let is_promise = matches!(
            response.status(),
            StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::REQUEST_TIMEOUT
        );
        let is_signed = response.headers().contains_key(request::RESPONSE_SIGNATURE);
        if is_promise && !is_signed && !self.outgoing.is_idempotent {
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            response.headers_mut().remove(header::RETRY_AFTER);
        }
        response
    }
}

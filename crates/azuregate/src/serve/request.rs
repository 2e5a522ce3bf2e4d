//! Handles one client request.

use std::{fmt::Write, net::IpAddr, rc::Rc, sync::Arc, time::Duration};

use azuregate_core::{
    balance::{
        self, Admission, BackendHandle, BackendQuery, BackendRun, Choice, GrantRequest, Member,
        RequestKind, Route,
    },
    names::{InstanceId, ServiceName},
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
    attempt::{self, AttemptResult, NotExecuted, OutgoingRequest},
    forwarding::{self, ForwardResult},
    grants, metrics,
    response::{self, RequestError},
    response_body::ResponseBody,
    state::State,
};

/// The deadline of requests without a deadline header.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// Larger bodies are sent to a nearby server: transferring them costs more time than
/// a server with a warm object saves.
const LARGE_BODY_BYTES: usize = 20_000;
/// Sends allowed beyond the route's attempts, to make up for rejected ones.
const EXTRA_SENDS_AFTER_REJECTION: u32 = 1;
/// Longer paths are truncated in the log.
const MAX_LOGGED_PATH_CHARS: usize = 128;
/// Instances that a request is sent through, one after the other.
const MAX_FORWARDS: usize = 2;
/// The least time before the deadline at which a retry is still useful.
const MIN_RETRY_REMAINING_MS: u64 = 20;

/// Handles a request of `client` whose head was received at `received_at`.
pub(super) async fn handle(
    state: Rc<State>,
    client: IpAddr,
    parts: Parts,
    body: Option<Incoming>,
    received_at: Instant,
) -> Response<ResponseBody> {
    let mut attempts = AttemptState::default();
    let result = respond(&state, &mut attempts, client, parts, body, received_at).await;
    result.unwrap_or_else(RequestError::into_response)
}

/// Handles a request, and records its outcome.
///
/// # Errors
///
/// Returns why there is no response of a backend server.
pub(super) async fn respond(
    state: &Rc<State>,
    attempts: &mut AttemptState,
    sender: IpAddr,
    parts: Parts,
    body: Option<Incoming>,
    received_at: Instant,
) -> Result<Response<ResponseBody>, RequestError> {
    let mut log_entry = AccessLogEntry::new(attempts.is_forwarded, sender, &parts);
    let result = serve(state, attempts, parts, body, received_at, &mut log_entry).await;
    let taken_ms = u64::try_from(received_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    let status = match &result {
        Ok(response) => response.status(),
        Err(error) => {
            log_entry.code = error.code();
            error.status()
        }
    };
    state.metrics.record_request(&log_entry.service, &log_entry.route, log_entry.code, taken_ms);
    log_entry.log(status, taken_ms);
    result
}

/// Returns whether a pipelined request may start before the previous responses are
/// sent. Only idempotent requests may: if the connection closes first, the client
/// retries the request, and it is executed twice.
pub(super) fn can_start_early(state: &State, parts: &Parts) -> bool {
    let Some(config) = state.config() else { return false };
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let route = host.and_then(|host| config.route(host, parts.uri.path()));
    route.is_some_and(|route| route.kind == RequestKind::Idempotent)
}

/// The access log entry of a request.
struct AccessLogEntry {
    id: String,
    origin: &'static str,
    client: IpAddr,
    /// The start of the path and query.
    path: String,
    object: String,
    route: String,
    service: String,
    version: u64,
    backend: String,
    attempts: usize,
    failures: String,
    /// The instance that the request was forwarded to last; empty if it was not.
    forwarded_to: String,
    in_flight: u32,
    /// The rate limit that the last backend server named; empty if it named none.
    limit_per_s: String,
    deadline_ms: u64,
    /// The state that explains why no backend server was chosen; empty otherwise.
    basis: String,
    code: &'static str,
}

impl AccessLogEntry {
    fn new(is_forwarded: bool, client: IpAddr, parts: &Parts) -> AccessLogEntry {
        let text =
            |name| parts.headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
        let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
        let origin = if is_forwarded { "instance" } else { "client" };
        AccessLogEntry {
            origin,
            client,
            path: path.chars().take(MAX_LOGGED_PATH_CHARS).collect(),
            id: text(request::REQUEST_ID).unwrap_or_default().to_owned(),
            object: text(request::AFFINITY_KEY).unwrap_or_default().to_owned(),
            route: String::new(),
            service: String::new(),
            version: 0,
            backend: String::new(),
            attempts: 0,
            failures: String::new(),
            forwarded_to: String::new(),
            in_flight: 0,
            limit_per_s: String::new(),
            deadline_ms: 0,
            basis: String::new(),
            code: "answered",
        }
    }

    fn record_attempt(&mut self, choice: &Choice) {
        self.attempts += 1;
        self.in_flight = choice.in_flight;
        self.backend = choice.backend.id.as_str().to_owned();
    }

    fn record_failure(&mut self, cause: &str) {
        if !self.failures.is_empty() {
            self.failures.push(',');
        }
        self.failures.push_str(&self.backend);
        self.failures.push(':');
        self.failures.push_str(cause);
    }

    fn log(&self, status: StatusCode, taken_ms: u64) {
        log::info!(
            id = self.id.as_str(),
            origin = self.origin,
            client:% = self.client,
            path = self.path.as_str(),
            code = self.code,
            status = status.as_u16(),
            route = self.route.as_str(),
            service = self.service.as_str(),
            object = self.object.as_str(),
            version = self.version,
            backend = self.backend.as_str(),
            tries = self.attempts,
            failed = self.failures.as_str(),
            forwarded_to = self.forwarded_to.as_str(),
            in_flight = self.in_flight,
            limit_per_s = self.limit_per_s.as_str(),
            basis = self.basis.as_str(),
            deadline_ms = self.deadline_ms,
            taken_ms = taken_ms;
            "request"
        );
    }
}

async fn serve(
    state: &Rc<State>,
    attempts: &mut AttemptState,
    parts: Parts,
    body: Option<Incoming>,
    received_at: Instant,
    log_entry: &mut AccessLogEntry,
) -> Result<Response<ResponseBody>, RequestError> {
    let Some(config) = state.config() else { return Err(RequestError::NotReady) };
    log_entry.version = config.version();
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let Some(host) = host else { return Err(RequestError::BadRequest) };
    let Some(route) = config.route(host, parts.uri.path()) else {
        // Clients do not retry a 404, and without contact the route may be missing only
        // because the configuration is outdated.
        let has_contact = state.contact.borrow().is_fresh(state.now_ms());
        return Err(if has_contact {
            RequestError::NoRoute
        } else {
            RequestError::StoreContactLost
        });
    };
    let route = Arc::clone(route);
    log_entry.route.push_str(&route.name);
    let timeout_ms = deadline_ms(&parts.headers).min(route.timeout_ms);
    log_entry.deadline_ms = timeout_ms;
    let deadline = received_at + Duration::from_millis(timeout_ms);
    let service = state.next_service(&route);
    log_entry.service.push_str(service.as_str());
    // The instance that took the request from the client has counted a forwarded one.
    if !attempts.is_forwarded {
        state.record_request(&service);
    }
    if !state.has_backends() {
        return Err(RequestError::NotReady);
    }
    let body_limit = config.limits().body_bytes;
    drop(config);

    let work = async {
        let outgoing = read_request(parts, body, &route, body_limit).await?;
        Forwarder { state, route: &route, service: &service, outgoing, deadline }
            .forward(attempts, log_entry)
            .await
    };
    match time::timeout_at(deadline, work).await {
        Ok(result) => result,
        Err(_) => Err(attempts.timeout_error()),
    }
}

fn deadline_ms(headers: &HeaderMap) -> u64 {
    let text = headers.get(request::DEADLINE_MS).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_DEADLINE_MS)
}

/// Reads the complete body, so that a slow client does not occupy a backend server and
/// a rejected request can be sent to another one.
async fn read_request(
    mut parts: Parts,
    body: Option<Incoming>,
    route: &Route,
    body_limit: usize,
) -> Result<OutgoingRequest, RequestError> {
    let body = match body {
        Some(body) => read_body(body, body_limit).await?,
        None => Bytes::new(),
    };
    response::remove_hop_by_hop_headers(&mut parts.headers);
    response::remove_internal_headers(&mut parts.headers);
    parts.headers.remove(header::EXPECT);
    parts.headers.remove(header::CONTENT_LENGTH);
    Ok(OutgoingRequest::new(parts, body, route.kind == RequestKind::Idempotent))
}

async fn read_body(mut incoming: Incoming, limit: usize) -> Result<Bytes, RequestError> {
    if incoming.size_hint().lower() > limit as u64 {
        return Err(RequestError::BodyTooLarge);
    }
    let mut body = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|_| RequestError::BodyIncomplete)?;
        let Ok(data) = frame.into_data() else { continue };
        if body.len() + data.len() > limit {
            return Err(RequestError::BodyTooLarge);
        }
        body.extend_from_slice(&data);
    }
    Ok(body.freeze())
}

/// The state of a request's attempts.
#[derive(Default)]
pub(super) struct AttemptState {
    /// Whether another instance forwarded the request, because it reaches no server.
    is_forwarded: bool,
    /// Servers excluded from further attempts.
    tried: Vec<BackendHandle>,
    /// The number of attempts, including rejected ones.
    sends: u32,
    /// The number of attempts that may have executed the request.
    possible_executions: u32,
    /// The number of attempts that may have reached a server.
    possible_arrivals: u32,
    /// Whether an attempt is in flight.
    is_in_flight: bool,
    /// The last server, if it has announced that it is leaving.
    leaving: Option<BackendRun>,
}

impl AttemptState {
    /// Returns the state of a request that another instance forwarded, which may have been executed
    /// `executions` times before.
    pub(super) fn forwarded(executions: u32) -> AttemptState {
        AttemptState {
            is_forwarded: true,
            possible_executions: executions,
            ..AttemptState::default()
        }
    }

    /// Returns how many times the request may have been executed.
    pub(super) fn possible_executions(&self) -> u32 {
        self.possible_executions + u32::from(self.is_in_flight)
    }

    /// Returns the server that the request was sent to last if it is leaving.
    pub(super) fn leaving(&self) -> Option<BackendRun> {
        self.leaving
    }

    fn timeout_error(&self) -> RequestError {
        if self.possible_executions > 0 || self.is_in_flight {
            RequestError::TimedOut
        } else {
            RequestError::NoCapacity
        }
    }

    fn attempts_exhausted(&self, not_executed: RequestError) -> RequestError {
        if self.possible_executions > 0 { RequestError::ResponseLost } else { not_executed }
    }
}

/// Forwards a request to backend servers until one attempt succeeds.
struct Forwarder<'a> {
    state: &'a Rc<State>,
    route: &'a Route,
    service: &'a ServiceName,
    outgoing: OutgoingRequest,
    deadline: Instant,
}

impl Forwarder<'_> {
    async fn forward(
        &self,
        attempts: &mut AttemptState,
        log_entry: &mut AccessLogEntry,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let mut failure = None;
        let mut refusal = RequestError::NoCapacity;
        loop {
            // Before a retry is taken from the budget.
            let admission = self.state.admit(|| self.outgoing.fingerprint());
            if let Admission::Refused { retry_after_ms } = admission {
                log_entry.basis = format!("fingerprint:{}", self.outgoing.fingerprint());
                return Err(
                    attempts.attempts_exhausted(RequestError::Quarantined { retry_after_ms })
                );
            }
            if self.should_forward(attempts) {
                return self.forward_to_instance(attempts, log_entry).await;
            }
            let remaining_ms = self.remaining_ms();
            let is_retry = attempts.sends > 0;
            if is_retry && !self.can_retry(attempts, remaining_ms) {
                break;
            }
            let choice = match self.choose(attempts, log_entry).await {
                Ok(choice) => choice,
                Err(e) => {
                    refusal = e;
                    break;
                }
            };
            log_entry.record_attempt(&choice);
            if is_retry {
                self.log_retry(log_entry);
            }
            attempts.tried.push(choice.handle);
            attempts.is_in_flight = true;
            // The choice may have taken time.
            let remaining_ms = self.remaining_ms();
            let result = attempt::send(self.state, &choice, &self.outgoing, remaining_ms).await;
            attempts.is_in_flight = false;
            let is_withheld = matches!(result, AttemptResult::NotExecuted(NotExecuted::Withheld));
            attempts.sends += u32::from(!is_withheld);
            let is_leaving = self.state.balancer.borrow().has_announced_leaving(choice.handle);
            attempts.leaving = is_leaving.then(|| BackendRun::of(&choice.backend));
            let limit_per_s = self.state.balancer.borrow().rate_limit(choice.handle);
            log_entry.limit_per_s = limit_per_s.map_or_else(String::new, |limit| limit.to_string());
            match result {
                AttemptResult::Response(response) => {
                    attempts.possible_arrivals += 1;
                    attempts.possible_executions += 1;
                    let is_failure = response.status().is_server_error();
                    if !is_failure || !self.outgoing.is_idempotent {
                        return Ok(self.mask_unsigned_rejection(response));
                    }
                    log_entry.record_failure("failure");
                    failure = Some(response);
                }
                AttemptResult::NotExecuted(cause) => {
                    attempts.possible_arrivals += u32::from(cause.has_arrived());
                    log_entry.record_failure(cause.as_str());
                    if may_send_again(cause, &choice) {
                        attempts.tried.pop();
                    }
                }
                AttemptResult::Unknown(cause) => {
                    attempts.possible_arrivals += 1;
                    attempts.possible_executions += 1;
                    log_entry.record_failure(cause);
                    if !self.outgoing.is_idempotent {
                        break;
                    }
                }
            }
        }
        match failure {
            Some(response) => Ok(self.mask_unsigned_rejection(response)),
            None if attempts.sends == 0 => Err(refusal),
            None => {
                let is_paused = matches!(refusal, RequestError::PushedBack { .. });
                let error = if is_paused { refusal } else { RequestError::Rejected };
                Err(attempts.attempts_exhausted(error))
            }
        }
    }

    fn remaining_ms(&self) -> u64 {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)
    }

    fn can_retry(&self, attempts: &AttemptState, remaining_ms: u64) -> bool {
        attempts.possible_executions < self.route.attempts
            && attempts.sends < self.route.attempts + EXTRA_SENDS_AFTER_REJECTION
            && remaining_ms > MIN_RETRY_REMAINING_MS
            && self.take_retry(attempts)
    }

    /// Takes a retry from the budget, which bounds what servers receive: a request that has
    /// reached none of them needs none.
    fn take_retry(&self, attempts: &AttemptState) -> bool {
        attempts.possible_arrivals == 0 || self.state.try_take_retry(self.service)
    }

    /// Returns whether to send the request through another instance, since this one reaches no
    /// server of the service.
    fn should_forward(&self, attempts: &AttemptState) -> bool {
        !attempts.is_forwarded && self.state.reachability.borrow().is_unreachable(self.service)
    }

    fn forwarding_target(&self, excluded: &[InstanceId]) -> Option<Member> {
        let members = self.state.members.borrow();
        let random = fastrand::u64(..);
        let regions = &self.route.home_regions;
        let now_ms = self.state.now_ms();
        members.forwarding_target(self.service, regions, excluded, random, now_ms).cloned()
    }

    /// Forwards the request to other instances until one of them returns a response.
    async fn forward_to_instance(
        &self,
        attempts: &mut AttemptState,
        log_entry: &mut AccessLogEntry,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let mut excluded = Vec::new();
        let mut refusal = None;
        while excluded.len() < MAX_FORWARDS
            && attempts.possible_executions < self.route.attempts
            && self.remaining_ms() > MIN_RETRY_REMAINING_MS
        {
            let Some(target) = self.forwarding_target(&excluded) else { break };
            if !self.take_retry(attempts) {
                break;
            }
            log_entry.forwarded_to = target.instance.as_str().to_owned();
            metrics::inc_by(&self.state.metrics.forwarded, 1);
            attempts.is_in_flight = true;
            let executions = attempts.possible_executions;
            let result = forwarding::send(
                self.state,
                &target,
                &self.outgoing,
                executions,
                self.remaining_ms(),
            );
            let result = result.await;
            attempts.is_in_flight = false;
            match result {
                ForwardResult::Response(response) => {
                    return Ok(self.mask_unsigned_rejection(response));
                }
                ForwardResult::Refused { response, is_retriable } => {
                    refusal = Some(response);
                    if !is_retriable {
                        break;
                    }
                }
                ForwardResult::NotSent => {}
                ForwardResult::Unknown { executions } => {
                    attempts.possible_arrivals += 1;
                    attempts.possible_executions = executions.unwrap_or(self.route.attempts).max(1);
                    if !self.outgoing.is_idempotent {
                        break;
                    }
                }
            }
            excluded.push(target.instance);
        }
        match refusal {
            Some(response) if attempts.possible_executions == 0 => {
                log_entry.code = "refused-elsewhere";
                Ok(response)
            }
            _ => Err(attempts.attempts_exhausted(RequestError::Unreachable)),
        }
    }

    /// Logs a retry and what it has left of its budget.
    fn log_retry(&self, log_entry: &AccessLogEntry) {
        log::info!(
            id = log_entry.id.as_str(),
            service:% = self.service,
            backend = log_entry.backend.as_str(),
            failed = log_entry.failures.as_str(),
            available = self.state.available_retries(self.service),
            up_ms = self.state.now_ms();
            "request retried"
        );
    }

    /// Chooses a server, or returns why there is none.
    async fn choose(
        &self,
        attempts: &AttemptState,
        log_entry: &mut AccessLogEntry,
    ) -> Result<Choice, RequestError> {
        let headers = &self.outgoing.headers;
        let object_hash =
            headers.get(request::AFFINITY_KEY).filter(|_| self.route.has_session_affinity);
        let object_hash =
            object_hash.map(|key| balance::object_hash(&self.route.name, key.as_bytes()));
        let object = object_hash.unwrap_or_else(|| fastrand::u64(..));
        let query = BackendQuery {
            service: self.service,
            object,
            has_large_body: self.outgoing.body.len() > LARGE_BODY_BYTES,
            tried: &attempts.tried,
            home_regions: &self.route.home_regions,
        };
        let refusal = {
            let now_ms = self.state.now_ms();
            let mut balancer = self.state.balancer.borrow_mut();
            if let Some(object) = object_hash {
                balancer.record_request(object, now_ms);
            }
            if let Some(choice) = balancer.choose(&query, now_ms) {
                return Ok(choice);
            }
            let explanation = balancer.explain(&query, now_ms);
            log_entry.basis = explanation.to_string();
            match explanation.refusing_pause_ms() {
                Some(pause_ms) => RequestError::PushedBack { pause_ms },
                None if explanation.is_rate_limited() => RequestError::RateLimited,
                None => RequestError::NoCapacity,
            }
        };
        self.choose_granted(&query, log_entry).await.ok_or(refusal)
    }

    /// Asks another instance for a request on the account of its part of a rate limit.
    async fn choose_granted(
        &self,
        query: &BackendQuery<'_>,
        log_entry: &mut AccessLogEntry,
    ) -> Option<Choice> {
        // Otherwise the request would be held until its deadline.
        if self.remaining_ms() <= grants::GRANT_TIMEOUT_MS {
            return None;
        }
        let state = self.state;
        let request = {
            let members = state.members.borrow();
            let balancer = state.balancer.borrow();
            balancer.grant_request(query, &members, fastrand::u64(..), state.now_ms())?
        };
        let GrantRequest { handle, backend, holder, .. } = &request;
        let _ = write!(log_entry.basis, " asked:{}:{backend}", holder.instance);
        if !grants::ask(state, &request).await {
            return None;
        }
        state.balancer.borrow_mut().choose_granted(query, *handle, state.now_ms())
    }

    /// Replaces an unsigned 503, 429 or 408 response to a non-idempotent request by a 502.
    ///
    /// Clients take these statuses to mean that the request was not executed and retry
    /// it. Without the server's signature this is not certain.
    fn mask_unsigned_rejection(
        &self,
        mut response: Response<ResponseBody>,
    ) -> Response<ResponseBody> {
        let implies_not_executed = matches!(
            response.status(),
            StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::REQUEST_TIMEOUT
        );
        let is_signed = response.headers().contains_key(request::RESPONSE_SIGNATURE);
        if implies_not_executed && !is_signed && !self.outgoing.is_idempotent {
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            response.headers_mut().remove(header::RETRY_AFTER);
        }
        response
    }
}

/// Returns whether the request may be sent to a server again that did not execute it.
fn may_send_again(cause: NotExecuted, choice: &Choice) -> bool {
    match cause {
        NotExecuted::Rejected => choice.had_free_slot(),
        // When its pause is over.
        NotExecuted::PushedBack | NotExecuted::Withheld => true,
        NotExecuted::Unreachable | NotExecuted::ClosedBeforeSend | NotExecuted::WrongServer => {
            false
        }
    }
}

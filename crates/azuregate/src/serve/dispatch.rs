//! Sends one request to backend servers, or through other instances, until there is a response.

use std::{fmt::Write, rc::Rc, sync::Arc};

use azuregate_core::{
    balance::{
        self, Admission, BackendQuery, BackendRun, Choice, GrantRequest, Member, Route, SendWindow,
    },
    names::{InstanceId, ServiceName},
};
use azuregate_platform::request;
use hyper::Response;

use super::{
    access_log::AccessLogEntry,
    attempt::{self, AttemptResult, NotExecuted},
    attempt_state::AttemptState,
    forwarding::{self, ForwardResult},
    grants, metrics,
    outgoing_request::OutgoingRequest,
    request_timing::RequestTiming,
    response::RequestError,
    response_body::ResponseBody,
    shutdown,
    state::State,
};

/// Larger bodies are sent to a nearby server: transferring them costs more time than
/// a server with a warm object saves.
const LARGE_BODY_BYTES: usize = 20_000;
/// Sends allowed beyond the route's attempts, to make up for rejected ones.
const EXTRA_SENDS_AFTER_REJECTION: u32 = 1;
/// Instances that a request is sent through, one after the other.
const MAX_FORWARDS: usize = 2;
/// The least time before the deadline at which a retry is still useful.
const MIN_RETRY_REMAINING_MS: u64 = 20;

/// Sends a request to backend servers until one attempt succeeds.
pub(super) struct Dispatcher<'a> {
    pub(super) state: &'a Rc<State>,
    pub(super) route: &'a Arc<Route>,
    pub(super) service: &'a ServiceName,
    pub(super) outgoing: OutgoingRequest,
}

impl Dispatcher<'_> {
    /// Sends the request, through another instance if this one reaches no server.
    ///
    /// # Errors
    ///
    /// Returns why there is no response of a backend server.
    pub(super) async fn send(
        &self,
        attempts: &mut AttemptState,
        log_entry: &mut AccessLogEntry,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let timing = RequestTiming::new(self.state, self.route);
        let mut result = self.send_timed(&timing, attempts, log_entry).await;
        match &mut result {
            Ok(response) => response.body_mut().hold(timing),
            Err(error) if error.is_refusal() => timing.discard(),
            Err(_) => {}
        }
        result
    }

    async fn send_timed(
        &self,
        timing: &RequestTiming,
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
            if !self.can_end_in_time(log_entry) {
                refusal = RequestError::Stopping;
                break;
            }
            if self.should_forward(attempts) {
                return self.forward_to_instance(timing, attempts, log_entry).await;
            }
            let remaining_ms = self.outgoing.remaining_ms();
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
            timing.start();
            let result = attempt::send(self.state, &choice, &self.outgoing, log_entry).await;
            attempts.is_in_flight = false;
            let is_withheld = matches!(result, AttemptResult::NotExecuted(NotExecuted::Withheld));
            attempts.sends += u32::from(!is_withheld);
            if attempts.is_forwarded {
                attempts.leaving = self.leaving_run(&choice);
            }
            let limit_per_s = self.state.balancer.borrow().rate_limit(choice.handle);
            log_entry.limit_per_s = limit_per_s.map_or_else(String::new, |limit| limit.to_string());
            match result {
                AttemptResult::Response(response) => {
                    attempts.possible_arrivals += 1;
                    attempts.possible_executions += 1;
                    let is_failure = response.status().is_server_error();
                    if !is_failure || !self.outgoing.is_idempotent {
                        return self.pass_on(response, log_entry);
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
            Some(response) => self.pass_on(response, log_entry),
            None if attempts.sends == 0 => Err(refusal),
            None => {
                let error = match refusal {
                    RequestError::PushedBack { .. } | RequestError::Stopping => refusal,
                    _ => RequestError::Rejected,
                };
                Err(attempts.attempts_exhausted(error))
            }
        }
    }

    /// Returns whether the request, if it is sent now, can be expected to end before this process does.
    fn can_end_in_time(&self, log_entry: &mut AccessLogEntry) -> bool {
        let deadline = self.outgoing.deadline;
        if shutdown::send_window(self.state, self.route, deadline) != SendWindow::Closed {
            return true;
        }
        let longest_ms = self.state.request_times.borrow().longest_ms(self.route);
        log_entry.basis = format!("longest_ms:{longest_ms}");
        false
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
        timing: &RequestTiming,
        attempts: &mut AttemptState,
        log_entry: &mut AccessLogEntry,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let mut excluded = Vec::new();
        let mut refusal = None;
        let mut error = RequestError::Unreachable;
        while excluded.len() < MAX_FORWARDS
            && attempts.possible_executions < self.route.attempts
            && self.outgoing.remaining_ms() > MIN_RETRY_REMAINING_MS
        {
            if !self.can_end_in_time(log_entry) {
                error = RequestError::Stopping;
                break;
            }
            let Some(target) = self.forwarding_target(&excluded) else { break };
            if !self.take_retry(attempts) {
                break;
            }
            log_entry.forwarded_to = target.instance.as_str().to_owned();
            metrics::inc_by(&self.state.metrics.forwarded, 1);
            attempts.is_in_flight = true;
            timing.start();
            let executions = attempts.possible_executions;
            let result = forwarding::send(self.state, &target, &self.outgoing, executions).await;
            attempts.is_in_flight = false;
            match result {
                ForwardResult::Response(response) => {
                    return self.pass_on(response, log_entry);
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
                timing.discard();
                Ok(response)
            }
            _ => Err(attempts.attempts_exhausted(error)),
        }
    }

    /// Returns the run of the server that was chosen if it has announced that it is leaving.
    fn leaving_run(&self, choice: &Choice) -> Option<BackendRun> {
        let balancer = self.state.balancer.borrow();
        let is_leaving = balancer.has_announced_leaving(choice.handle);
        is_leaving.then(|| BackendRun::of(&choice.backend))
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
        if self.outgoing.remaining_ms() <= grants::GRANT_TIMEOUT_MS {
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

    /// Returns the response of a server to pass on.
    ///
    /// # Errors
    ///
    /// Returns an error if its status would tell the client that a write was not executed. The
    /// server has not said so, and a client that believes it sends the write again.
    fn pass_on(
        &self,
        response: Response<ResponseBody>,
        log_entry: &mut AccessLogEntry,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let is_refusal = balance::promises_not_executed(response.status().as_u16());
        if is_refusal && !self.outgoing.is_idempotent {
            metrics::inc_by(&self.state.metrics.unproven_refusals, 1);
            log_entry.record_failure("refused without evidence");
            return Err(RequestError::ResponseLost);
        }
        Ok(response)
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

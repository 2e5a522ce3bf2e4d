//! What one instance knows of the rate limit of one backend server.

use crate::names::InstanceId;

/// Time without news of a limit after which one request is sent to learn whether it still holds.
/// Nobody learns it otherwise if the instances that have a part send nothing or are gone.
const TRIAL_INTERVAL_MS: u64 = 10_000;
/// Lead that the report of an end must have over the last time the limit was named, since the
/// time that a report was under way is unknown.
const MAX_REPORT_DELAY_MS: u64 = 200;

/// What a response, or the report of another instance, says of a server's rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitObservation {
    /// Requests per second from all instances together; `None` if the server names no limit.
    pub limit_per_s: Option<f64>,
    /// When the request was sent.
    pub sent_at_ms: u64,
    /// When the response was received.
    pub received_at_ms: u64,
}

/// The rate limit of one run of a backend server, and this instance's part of it.
///
/// The limit holds from the first response that names it until a server that has named it
/// responds to a later request without it.
#[derive(Clone, Debug, Default)]
pub(in crate::balance) struct RateLimit {
    limit_per_s: Option<f64>,
    named_at_ms: u64,
    /// When the newest request was sent whose response did not name the limit.
    unnamed_at_ms: u64,
    /// The last observation of this instance itself.
    pub(in crate::balance) observed: Option<RateLimitObservation>,
    pub(in crate::balance) is_reported: bool,
    holders: Vec<InstanceId>,
    part_per_s: f64,
    tokens: f64,
    refilled_at_ms: u64,
    trial_at_ms: u64,
    /// Differs between instances, so that not all of them try at the same time.
    trial_jitter_ms: u64,
}

impl RateLimit {
    /// Creates the state of a server that has named no limit. `seed` differs between instances.
    pub(in crate::balance) fn new(seed: u64) -> RateLimit {
        RateLimit { trial_jitter_ms: seed % TRIAL_INTERVAL_MS, ..RateLimit::default() }
    }

    /// Returns the requests per second that all instances together may send.
    pub(in crate::balance) fn limit_per_s(&self) -> Option<f64> {
        self.limit_per_s
    }

    /// Returns the requests per second that this instance may send.
    pub(in crate::balance) fn part_per_s(&self) -> f64 {
        self.part_per_s
    }

    /// Returns the number of parts that the limit is divided into.
    pub(in crate::balance) fn max_parts(&self) -> u32 {
        self.limit_per_s.map_or(0, |limit| (limit as u32).max(1))
    }

    /// Records what a response to this instance says; returns whether the limit has changed.
    pub(in crate::balance) fn observe(&mut self, observation: RateLimitObservation) -> bool {
        let has_news = observation.limit_per_s.is_some() || self.limit_per_s.is_some();
        let has_changed = self.merge(observation, 0);
        if has_news {
            self.observed = Some(observation);
            self.is_reported &= !has_changed;
        }
        has_changed
    }

    /// Records the observation of another instance; returns whether the limit has changed.
    pub(in crate::balance) fn observe_remote(&mut self, observation: RateLimitObservation) -> bool {
        self.merge(observation, MAX_REPORT_DELAY_MS)
    }

    /// Records an observation whose times may be `max_delay_ms` late.
    fn merge(&mut self, observation: RateLimitObservation, max_delay_ms: u64) -> bool {
        let RateLimitObservation { limit_per_s, sent_at_ms, received_at_ms } = observation;
        let is_newer = match limit_per_s {
            Some(_) => received_at_ms >= self.named_at_ms && received_at_ms > self.unnamed_at_ms,
            // The response may be older than another one that named the limit, unless its request
            // was sent later.
            None => sent_at_ms > self.named_at_ms + max_delay_ms,
        };
        if !is_newer {
            return false;
        }
        match limit_per_s {
            Some(_) => self.named_at_ms = received_at_ms,
            None => self.unnamed_at_ms = self.unnamed_at_ms.max(sent_at_ms),
        }
        self.trial_at_ms = received_at_ms + TRIAL_INTERVAL_MS + self.trial_jitter_ms;
        std::mem::replace(&mut self.limit_per_s, limit_per_s) != limit_per_s
    }

    /// Returns the instances that have a part of the limit.
    pub(in crate::balance) fn holders(&self) -> &[InstanceId] {
        &self.holders
    }

    /// Sets the instances that have a part of the limit. A part that is new to this instance begins
    /// without a token, since another instance may have just used it.
    pub(in crate::balance) fn set_holders(
        &mut self,
        holders: Vec<InstanceId>,
        local: &InstanceId,
        now_ms: u64,
    ) {
        self.refill(now_ms);
        self.part_per_s = match holders.contains(local) {
            true => self.limit_per_s.unwrap_or(0.0) / holders.len() as f64,
            false => 0.0,
        };
        if self.part_per_s == 0.0 {
            self.tokens = 0.0;
        }
        self.holders = holders;
    }

    /// Returns whether a request may be sent to the server.
    pub(in crate::balance) fn has_capacity(&self, now_ms: u64) -> bool {
        self.limit_per_s.is_none() || self.tokens_at(now_ms) >= 1.0 || now_ms >= self.trial_at_ms
    }

    /// Records a request that is sent to the server.
    pub(in crate::balance) fn record_sent(&mut self, now_ms: u64) {
        if self.limit_per_s.is_none() {
            return;
        }
        if !self.try_take(now_ms) {
            self.trial_at_ms = now_ms + TRIAL_INTERVAL_MS + self.trial_jitter_ms;
        }
    }

    /// Takes a token if there is one.
    pub(in crate::balance) fn try_take(&mut self, now_ms: u64) -> bool {
        self.refill(now_ms);
        let has_token = self.limit_per_s.is_some() && self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    fn tokens_at(&self, now_ms: u64) -> f64 {
        let elapsed_s = now_ms.saturating_sub(self.refilled_at_ms) as f64 / 1_000.0;
        // Saves up one second's requests. There are so few parts that this is one or more.
        (self.tokens + elapsed_s * self.part_per_s).min(self.part_per_s.max(1.0))
    }

    fn refill(&mut self, now_ms: u64) {
        self.tokens = self.tokens_at(now_ms);
        self.refilled_at_ms = now_ms;
    }
}

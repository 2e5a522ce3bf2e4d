//! The choice of a backend server for one request.

use std::{fmt, sync::Arc};

use xxhash_rust::xxh3::Xxh3;

use super::{
    Backend, BackendHandle, Balancer, Candidate, Decision, HealthStatus, Settings,
    backends::BackendState,
};
use crate::{
    names::{BackendId, RegionName, ServiceName},
    topology::Distance,
};

/// Number of servers with rate limits, and of paused ones, that the explanation of a refusal names.
const MAX_EXPLAINED_SERVERS: usize = 2;

/// Returns the affinity hash of an object as requested through `route`.
///
/// Servers cache an object per route. Hashing the route as well spreads the load of a hot object
/// over several servers.
pub fn object_hash(route: &str, object: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(route.as_bytes());
    hasher.update(&[0]);
    hasher.update(object);
    hasher.digest()
}

/// A request to choose a backend server for.
#[derive(Clone, Copy, Debug)]
pub struct BackendQuery<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Affinity hash of the object, from [`object_hash`].
    pub object: u64,
    /// Whether transferring the body costs more than a server that does not have the object
    /// cached.
    pub has_large_body: bool,
    /// Servers that are excluded because the request was sent there before.
    pub tried: &'a [BackendHandle],
    /// The regions that may serve it; all if empty.
    pub home_regions: &'a [RegionName],
}

/// The server that was chosen for a request.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Identifies the server to the balancer.
    pub handle: BackendHandle,
    /// The server.
    pub backend: Arc<Backend>,
    /// Requests that were in flight there before this one, from all instances as far as known.
    pub in_flight: u32,
}

impl Choice {
    /// Returns whether the server had a free slot, so that a rejection is worth a retry there.
    ///
    /// A server that does not have the object cached would serve the retry late. The retry
    /// budget and the route's attempts limit such retries.
    pub fn had_free_slot(&self) -> bool {
        self.in_flight < self.backend.slots
    }
}

/// The state that a choice was based on, for the log line of a refusal.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Explanation {
    /// Number of servers that were eligible.
    pub eligible_servers: usize,
    /// The servers considered, the preferred one first, with their requests in flight and
    /// their slots.
    pub servers: Vec<(BackendId, u32, u32)>,
    /// The servers that are not eligible only because of their rate limits, with the limits in
    /// requests per second; a few of them at most.
    pub limited: Vec<(BackendId, f64)>,
    /// Number of these servers.
    pub limited_servers: usize,
    /// The servers that are not eligible only because they have asked for a pause, with the time in
    /// milliseconds until they may get a request; a few of them at most.
    pub paused: Vec<(BackendId, u64)>,
    /// Number of these servers.
    pub paused_servers: usize,
    /// The shortest of these times.
    pub pause_ms: Option<u64>,
    /// Age of the oldest load report in use.
    pub oldest_report_age_ms: u64,
}

impl Explanation {
    /// Returns whether the request was refused because of rate limits alone.
    pub fn is_rate_limited(&self) -> bool {
        self.eligible_servers == 0 && self.limited_servers > 0
    }

    /// Returns the time in milliseconds until a server may get a request, if the request was refused
    /// because of pauses alone.
    pub fn refusing_pause_ms(&self) -> Option<u64> {
        self.pause_ms.filter(|_| self.eligible_servers == 0 && self.limited_servers == 0)
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "open:{} oldest_report_ms:{}", self.eligible_servers, self.oldest_report_age_ms)?;
        for (id, in_flight, slots) in &self.servers {
            write!(f, " {id}:{in_flight}/{slots}")?;
        }
        if self.limited_servers > 0 {
            write!(f, " limited:{}", self.limited_servers)?;
        }
        for (id, limit_per_s) in &self.limited {
            write!(f, " {id}:{limit_per_s}/s")?;
        }
        if self.paused_servers > 0 {
            write!(f, " paused:{}", self.paused_servers)?;
        }
        for (id, pause_ms) in &self.paused {
            write!(f, " {id}:{pause_ms}ms")?;
        }
        Ok(())
    }
}

impl Balancer {
    /// Chooses a server by the balancer's [`LoadBalancingPolicy`](super::LoadBalancingPolicy)
    /// and counts the request there until [`Balancer::complete`]. Returns `None` if the request
    /// is refused.
    pub fn choose(&mut self, query: &BackendQuery<'_>, now_ms: u64) -> Option<Choice> {
        let handle = self.decide(query, now_ms).chosen?;
        let state = self.pool_backend_mut(query.service, handle)?;
        state.rate_limit.record_sent(now_ms);
        Some(state.start_request(now_ms))
    }

    /// Returns the state that [`Balancer::choose`] would base a choice for `query` on.
    pub fn explain(&mut self, query: &BackendQuery<'_>, now_ms: u64) -> Explanation {
        let decision = self.decide(query, now_ms);
        let servers = decision.considered.into_iter().flatten().filter_map(|server| {
            let backend = self.backend(server.handle)?;
            Some((backend.id.clone(), server.in_flight, server.slots))
        });
        let limited = self
            .limited_states(query, now_ms)
            .take(MAX_EXPLAINED_SERVERS)
            .filter_map(|state| Some((state.backend.id.clone(), state.rate_limit.limit_per_s()?)));
        let mut paused: Vec<(&BackendState, u64)> = self.paused_states(query, now_ms).collect();
        paused.sort_by_key(|(_, pause_ms)| *pause_ms);
        let paused_ids = paused.iter().map(|(state, ms)| (state.backend.id.clone(), *ms));
        Explanation {
            eligible_servers: decision.eligible_servers,
            paused: paused_ids.take(MAX_EXPLAINED_SERVERS).collect(),
            paused_servers: paused.len(),
            pause_ms: paused.first().map(|(_, pause_ms)| *pause_ms),
            servers: servers.collect(),
            limited: limited.collect(),
            limited_servers: self.limited_states(query, now_ms).count(),
            oldest_report_age_ms: self.oldest_report_age_ms(now_ms),
        }
    }

    /// Returns the servers that only their rate limits exclude.
    pub(super) fn limited_states(
        &self,
        query: &BackendQuery<'_>,
        now_ms: u64,
    ) -> impl Iterator<Item = &BackendState> {
        let states = self.pools.get(query.service).into_iter().flat_map(|pool| &pool.backends);
        states.filter(move |state| {
            !state.rate_limit.has_capacity(now_ms)
                && is_eligible(&self.settings, state, query, now_ms)
        })
    }

    /// Returns the servers that only pauses exclude, and the time until they may get a request.
    fn paused_states(
        &self,
        query: &BackendQuery<'_>,
        now_ms: u64,
    ) -> impl Iterator<Item = (&BackendState, u64)> {
        let states = self.pools.get(query.service).into_iter().flat_map(|pool| &pool.backends);
        let paused = states.map(move |state| (state, state.announcements.pushback.wait_ms(now_ms)));
        paused.filter(move |(state, wait_ms)| {
            *wait_ms > 0 && is_usable(&self.settings, state, query, now_ms)
        })
    }

    /// Returns whether a server may get a request, apart from its rate limit.
    pub(super) fn is_eligible(
        &self,
        query: &BackendQuery<'_>,
        handle: BackendHandle,
        now_ms: u64,
    ) -> bool {
        let state = self.backends().find(|state| state.handle == handle);
        state.is_some_and(|state| is_eligible(&self.settings, state, query, now_ms))
    }

    fn decide(&mut self, query: &BackendQuery<'_>, now_ms: u64) -> Decision {
        let Balancer { settings, pools, policy, candidates, shared_objects, .. } = self;
        let prefers_region = !shared_objects.is_shared();
        let Some(pool) = pools.get_mut(query.service) else { return Decision::default() };
        pool.detect_outliers(now_ms);
        let eligible = pool.backends.iter().filter(|state| {
            state.rate_limit.has_capacity(now_ms) && is_eligible(settings, state, query, now_ms)
        });
        candidates.clear();
        candidates.extend(eligible.map(|state| candidate(state, query, prefers_region, now_ms)));
        policy.choose(query.has_large_body, candidates)
    }
}

/// Returns whether a server may get a request, apart from its rate limit.
fn is_eligible(
    settings: &Settings,
    state: &BackendState,
    query: &BackendQuery<'_>,
    now_ms: u64,
) -> bool {
    state.announcements.pushback.wait_ms(now_ms) == 0 && is_usable(settings, state, query, now_ms)
}

/// Returns whether a server may get a request, apart from its rate limit and from pauses.
fn is_usable(
    settings: &Settings,
    state: &BackendState,
    query: &BackendQuery<'_>,
    now_ms: u64,
) -> bool {
    !state.backend.is_draining
        && !state.announcements.leaving.is_announced
        && !state.is_evacuated
        && !query.tried.contains(&state.handle)
        && settings.is_allowed_region(&state.backend.zone, query.home_regions)
        && (!state.is_cold(now_ms)
            || state.cold_start_budget.has_capacity(state.cold_limit, now_ms))
}

impl BackendState {
    /// Returns the rendezvous hash of the server and an object.
    pub(super) fn hash(&self, object: u64) -> u64 {
        fmix64(self.seed ^ object)
    }

    /// Counts a request that is sent to the server.
    pub(super) fn start_request(&mut self, now_ms: u64) -> Choice {
        let in_flight = self.total_in_flight();
        self.in_flight += 1;
        self.announcements.pushback.record_sent(now_ms);
        if self.is_cold(now_ms) {
            self.cold_start_budget.record_sent(now_ms);
        }
        Choice { handle: self.handle, backend: Arc::clone(&self.backend), in_flight }
    }
}

fn candidate(
    state: &BackendState,
    query: &BackendQuery<'_>,
    prefers_region: bool,
    now_ms: u64,
) -> Candidate {
    let status = if state.health.is_in_backoff(now_ms) {
        HealthStatus::InBackoff
    } else if state.announcements.leaving.is_reported(now_ms) {
        HealthStatus::Leaving
    } else if state.is_outlier {
        HealthStatus::Outlier
    } else {
        HealthStatus::Healthy
    };
    let hash = state.hash(query.object);
    let is_preferred = prefers_region && state.distance != Distance::OtherRegion;
    Candidate {
        handle: state.handle,
        hash: if is_preferred { with_double_weight(hash) } else { hash },
        distance: state.distance,
        status,
        in_flight: state.total_in_flight(),
        slots: state.backend.slots,
    }
}

/// Returns a hash that gives a server twice the weight in rendezvous hashing: the square root
/// of a uniform number is distributed as the larger of two.
///
/// Servers of the local region get it while no other region requests the same objects, to save
/// latency and traffic between regions. A larger weight would overload a region with few
/// servers.
fn with_double_weight(hash: u64) -> u64 {
    ((hash as f64).sqrt() * (u64::MAX as f64).sqrt()) as u64
}

/// The finalizer of MurmurHash3.
fn fmix64(mut x: u64) -> u64 {
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}

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

/// A hash of what a backend server remembers of a request: the object that it is
/// about, as `route` works on it.
///
/// Servers work faster on an object that they handled for the same route. With a
/// server for each route of an object, the work on a busy object comes in smaller
/// parts, and no server gets all of it.
pub fn object_hash(route: &str, object: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(route.as_bytes());
    hasher.update(&[0]);
    hasher.update(object);
    hasher.digest()
}

/// A request that needs a backend server.
#[derive(Clone, Copy, Debug)]
pub struct BackendQuery<'a> {
    /// The service that it goes to.
    pub service: &'a ServiceName,
    /// What it is about, by [`object_hash`].
    pub object: u64,
    /// Whether its body is so large that the way counts more than a server that
    /// knows the object.
    pub has_large_body: bool,
    /// Servers that have had the request already.
    pub tried: &'a [BackendHandle],
    /// The only regions that may serve it; all if empty.
    pub home_regions: &'a [RegionName],
}

/// The server that was chosen for a request.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Names the server to the balancer.
    pub handle: BackendHandle,
    /// The server.
    pub backend: Arc<Backend>,
    /// Requests of all instances that were there already, as far as is known.
    pub in_flight: u32,
}

impl Choice {
    /// Whether a rejection by the server is no sign that it is full.
    ///
    /// The failure: servers reject a part of their requests although they have free
    /// slots, and each rejected one is sent to a server that does not know its
    /// object, where it is late. The server that knows the object is then worth
    /// another try, which the retry budget and the attempts of the route bound.
    pub fn had_free_slot(&self) -> bool {
        self.in_flight < self.backend.slots
    }
}

/// What a choice is based on, to explain a refusal.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Explanation {
    /// Servers that the request may use.
    pub eligible_servers: usize,
    /// The servers that were considered, the preferred one first, with the requests of
    /// all instances there and the server's slots.
    pub servers: Vec<(BackendId, u32, u32)>,
    /// The age of the oldest report of another instance that is believed.
    pub oldest_report_ms: u64,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "open:{} oldest_report_ms:{}", self.eligible_servers, self.oldest_report_ms)?;
        for (id, in_flight, slots) in &self.servers {
            write!(f, " {id}:{in_flight}/{slots}")?;
        }
        Ok(())
    }
}

impl Balancer {
    /// Chooses a server for a request by the balancer's [`super::LoadBalancingPolicy`] and counts
    /// the request there until [`Balancer::complete`]; `None` if no server may get it.
    pub fn choose(&mut self, query: &BackendQuery<'_>, now_ms: u64) -> Option<Choice> {
        let handle = self.decide(query, now_ms).chosen?;
        let state = self.pool_backend_mut(query.service, handle)?;
        state.in_flight += 1;
        if state.is_cold(now_ms) {
            state.cold_start_budget.record_sent(now_ms);
        }
        let in_flight = state.total_in_flight() - 1;
        Some(Choice { handle, backend: Arc::clone(&state.backend), in_flight })
    }

    /// What [`Balancer::choose`] goes by for `query`.
    pub fn explain(&mut self, query: &BackendQuery<'_>, now_ms: u64) -> Explanation {
        let decision = self.decide(query, now_ms);
        let servers = decision.considered.into_iter().flatten().filter_map(|server| {
            let backend = self.backend(server.handle)?;
            Some((backend.id.clone(), server.in_flight, server.slots))
        });
        Explanation {
            eligible_servers: decision.eligible_servers,
            servers: servers.collect(),
            oldest_report_ms: self.oldest_report_ms(now_ms),
        }
    }

    fn decide(&mut self, query: &BackendQuery<'_>, now_ms: u64) -> Decision {
        let Balancer { settings, services, policy, candidates, shared_objects, .. } = self;
        let prefers_region = !shared_objects.is_shared();
        let Some(pool) = services.get_mut(query.service) else { return Decision::default() };
        pool.detect_outliers(now_ms);
        let eligible = pool.backends.iter_mut().filter_map(|state| {
            is_eligible(settings, state, query, now_ms)
                .then(|| candidate(state, query, prefers_region, now_ms))
        });
        candidates.clear();
        candidates.extend(eligible);
        policy.choose(query.has_large_body, candidates)
    }
}

fn is_eligible(
    settings: &Settings,
    state: &mut BackendState,
    query: &BackendQuery<'_>,
    now_ms: u64,
) -> bool {
    !state.backend.is_draining
        && !state.is_evacuated
        && !query.tried.contains(&state.handle)
        && settings.is_allowed_region(&state.backend.zone, query.home_regions)
        && (!state.is_cold(now_ms)
            || state.cold_start_budget.has_capacity(state.cold_limit, now_ms))
}

fn candidate(
    state: &BackendState,
    query: &BackendQuery<'_>,
    prefers_region: bool,
    now_ms: u64,
) -> Candidate {
    let status = match (state.health.is_in_backoff(now_ms), state.is_outlier) {
        (true, _) => HealthStatus::InBackoff,
        (false, true) => HealthStatus::Outlier,
        (false, false) => HealthStatus::Healthy,
    };
    let hash = mix(state.seed ^ query.object);
    let is_preferred = prefers_region && state.distance != Distance::OtherRegion;
    Candidate {
        handle: state.handle,
        hash: if is_preferred { counted_twice(hash) } else { hash },
        distance: state.distance,
        status,
        in_flight: state.total_in_flight(),
        slots: state.backend.slots,
    }
}

/// A hash by which a server comes first as often as two servers would.
///
/// Servers of the own region have it while the clients of an object are in one
/// region: what leaves the region costs the way and the bytes on it. With a larger
/// weight a region with few servers would overload them. The square root of a uniform
/// number is distributed as the larger of two.
fn counted_twice(hash: u64) -> u64 {
    ((hash as f64).sqrt() * (u64::MAX as f64).sqrt()) as u64
}

/// Mixes the bits of `x` so that neighbouring values have unrelated results; the
/// finalizer of MurmurHash3.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}

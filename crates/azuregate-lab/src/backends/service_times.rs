//! Simulated service times.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use tokio::time;

use crate::backends::{Behaviour, lock};

/// Draws the service times of one backend server and waits for them.
#[derive(Debug)]
pub(crate) struct ServiceTimes {
    rng: Mutex<fastrand::Rng>,
    cache: Mutex<CacheState>,
    /// Time by which sleeps were too long and which later sleeps have not made up
    /// for yet.
    overslept: Mutex<Duration>,
}

#[derive(Debug, Default)]
struct CacheState {
    requests: u32,
    last: Option<Instant>,
}

impl ServiceTimes {
    pub(crate) fn new(seed: u64) -> ServiceTimes {
        ServiceTimes {
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
            cache: Mutex::default(),
            overslept: Mutex::default(),
        }
    }

    /// Makes the simulated caches cold.
    pub(crate) fn reset_cache(&self) {
        *lock(&self.cache) = CacheState::default();
    }

    /// Draws the service time of a request that begins now.
    pub(crate) fn draw(&self, behaviour: &Behaviour) -> Duration {
        let service = behaviour.distribution.draw(behaviour.service_ms, &mut lock(&self.rng));
        service + self.cold_extra(behaviour)
    }

    fn cold_extra(&self, behaviour: &Behaviour) -> Duration {
        let mut cache = lock(&self.cache);
        let now = Instant::now();
        let idle = cache.last.map_or(Duration::ZERO, |last| now.duration_since(last));
        let limit = Duration::from_millis(behaviour.cold_after_idle_ms);
        if !limit.is_zero() && idle > limit {
            cache.requests = 0;
        }
        cache.last = Some(now);
        cache.requests = cache.requests.saturating_add(1);
        if cache.requests > behaviour.cold_requests {
            return Duration::ZERO;
        }
        Duration::from_millis(behaviour.cold_extra_ms)
    }

    /// Waits for `service` or `limit`, whichever is shorter, and returns whether
    /// the full service time elapsed.
    pub(crate) async fn run(&self, service: Duration, limit: Option<Duration>) -> bool {
        if let Some(limit) = limit.filter(|limit| *limit < service) {
            time::sleep(limit).await;
            return false;
        }
        self.sleep_compensated(service).await;
        true
    }

    /// Sleeps for `service` less the time by which earlier sleeps were too long.
    ///
    /// Timers fire about 1 ms late, which would otherwise lower the capacity of a
    /// server with short service times below its nominal one.
    async fn sleep_compensated(&self, service: Duration) {
        let planned = {
            let mut overslept = lock(&self.overslept);
            let correction = (*overslept).min(service);
            *overslept -= correction;
            service - correction
        };
        if planned.is_zero() {
            return;
        }
        let start = Instant::now();
        time::sleep(planned).await;
        *lock(&self.overslept) += start.elapsed().saturating_sub(planned);
    }
}

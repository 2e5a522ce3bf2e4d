//! How long requests take.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use tokio::time;

use crate::backends::{Behaviour, lock};

/// Draws and spends the service times of one backend server.
#[derive(Debug)]
pub(crate) struct ServiceTimes {
    rng: Mutex<fastrand::Rng>,
    cache: Mutex<CacheState>,
    /// By how much timers were late and later sleeps have not made up for.
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

    /// Empties the caches.
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

    /// Spends the service time, or the time to the deadline where that is
    /// shorter; returns whether the work was finished.
    pub(crate) async fn run(&self, service: Duration, limit: Option<Duration>) -> bool {
        if let Some(limit) = limit.filter(|limit| *limit < service) {
            time::sleep(limit).await;
            return false;
        }
        self.sleep_compensated(service).await;
        true
    }

    /// Sleeps for `service`, less what earlier sleeps took too long.
    ///
    /// Timers are a millisecond late on average. With a service time of 20 ms a
    /// server would have a twentieth less to give than its example says, and no
    /// goodput could reach 95%.
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

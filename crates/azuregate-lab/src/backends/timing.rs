//! How long requests take.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use tokio::time;

use crate::backends::{Behaviour, lock};

/// Draws and spends the service times of one backend server.
#[derive(Debug)]
pub(crate) struct Timing {
    rng: Mutex<fastrand::Rng>,
    warmth: Mutex<Warmth>,
    /// By how much timers were late and later sleeps have not made up for.
    late: Mutex<Duration>,
}

#[derive(Debug, Default)]
struct Warmth {
    requests: u32,
    last: Option<Instant>,
}

impl Timing {
    pub(crate) fn new(seed: u64) -> Timing {
        Timing {
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
            warmth: Mutex::default(),
            late: Mutex::default(),
        }
    }

    /// Empties the caches.
    pub(crate) fn cool(&self) {
        *lock(&self.warmth) = Warmth::default();
    }

    /// Draws the service time of a request that begins now.
    pub(crate) fn draw(&self, behaviour: &Behaviour) -> Duration {
        let service = behaviour.distribution.draw(behaviour.service_ms, &mut lock(&self.rng));
        service + self.cold_extra(behaviour)
    }

    fn cold_extra(&self, behaviour: &Behaviour) -> Duration {
        let mut warmth = lock(&self.warmth);
        let now = Instant::now();
        let idle = warmth.last.map_or(Duration::ZERO, |last| now.duration_since(last));
        let limit = Duration::from_millis(behaviour.cold_after_idle_ms);
        if !limit.is_zero() && idle > limit {
            warmth.requests = 0;
        }
        warmth.last = Some(now);
        warmth.requests = warmth.requests.saturating_add(1);
        if warmth.requests > behaviour.cold_requests {
            return Duration::ZERO;
        }
        Duration::from_millis(behaviour.cold_extra_ms)
    }

    /// Spends the service time, or the time to the deadline where that is
    /// shorter; returns whether the work was finished.
    pub(crate) async fn spend(&self, service: Duration, limit: Option<Duration>) -> bool {
        if let Some(limit) = limit.filter(|limit| *limit < service) {
            time::sleep(limit).await;
            return false;
        }
        self.sleep(service).await;
        true
    }

    /// Sleeps for `service`, less what earlier sleeps took too long.
    ///
    /// Timers are a millisecond late on average. With a service time of 20 ms a
    /// server would have a twentieth less to give than its example says, and no
    /// goodput could reach 95%.
    async fn sleep(&self, service: Duration) {
        let planned = {
            let mut late = lock(&self.late);
            let taken_off = (*late).min(service);
            *late -= taken_off;
            service - taken_off
        };
        if planned.is_zero() {
            return;
        }
        let start = Instant::now();
        time::sleep(planned).await;
        *lock(&self.late) += start.elapsed().saturating_sub(planned);
    }
}

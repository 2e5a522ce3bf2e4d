//! How long requests take, and which ones a stopping instance can still send.

use std::collections::HashMap;

use super::config::{Config, Route};

/// The number of latest requests that are remembered for each route.
const REMEMBERED_REQUESTS: usize = 64;
/// Fewer requests say too little about how long a request may take.
const MIN_REQUESTS: usize = 16;
/// Few requests take longer than this multiple of their route's target latency.
const TARGET_LATENCY_FACTOR: u64 = 4;

/// How long the latest requests of each route took, from the first send to the end of the response.
///
/// # Examples
///
/// ```
/// use azuregate_core::balance::{RequestTimes, SendWindow};
/// # use azuregate_core::{balance::{Destination, RequestKind, Route}, names::ServiceName};
/// # let route = Route {
/// #     name: "holds".to_owned(), prefix: "/holds/".to_owned(), kind: RequestKind::NonIdempotent,
/// #     timeout_ms: 10_000, target_latency_ms: 300, attempts: 1, priority: 0,
/// #     has_session_affinity: false, home_regions: Vec::new(),
/// #     destinations: vec![Destination { service: ServiceName::new("shop"), weight: 1.0 }],
/// # };
///
/// let mut times = RequestTimes::default();
/// times.record("holds", 2_500);
/// // The process ends in 4 s, and the request has 8 s.
/// assert_eq!(times.send_window(&route, 8_000, 4_000), SendWindow::OpenFor { ms: 1_500 });
/// assert_eq!(times.send_window(&route, 8_000, 2_000), SendWindow::Closed);
/// // Whatever it takes, it ends in time.
/// assert_eq!(times.send_window(&route, 1_000, 2_000), SendWindow::Open);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RequestTimes {
    routes: HashMap<String, LatestTimes>,
}

/// Until when a request may be sent to a backend server so that it ends before its instance does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendWindow {
    /// At any time: its deadline is before the end of the instance.
    Open,
    /// For this time.
    OpenFor {
        /// Milliseconds from now.
        ms: u64,
    },
    /// No longer.
    Closed,
}

/// A ring of the latest times of a route.
#[derive(Clone, Debug, Default)]
struct LatestTimes {
    times_ms: Vec<u32>,
    oldest: usize,
}

impl LatestTimes {
    fn record(&mut self, taken_ms: u64) {
        let taken_ms = u32::try_from(taken_ms).unwrap_or(u32::MAX);
        if self.times_ms.len() < REMEMBERED_REQUESTS {
            self.times_ms.push(taken_ms);
            return;
        }
        self.times_ms[self.oldest] = taken_ms;
        self.oldest = (self.oldest + 1) % REMEMBERED_REQUESTS;
    }

    fn longest_ms(&self) -> u64 {
        self.times_ms.iter().copied().max().unwrap_or(0).into()
    }
}

impl RequestTimes {
    /// Records that a request of a route took `taken_ms` milliseconds.
    pub fn record(&mut self, route: &str, taken_ms: u64) {
        if let Some(times) = self.routes.get_mut(route) {
            return times.record(taken_ms);
        }
        self.routes.entry(route.to_owned()).or_default().record(taken_ms);
    }

    /// Forgets routes that `config` does not have.
    pub fn retain_routes(&mut self, config: &Config) {
        self.routes.retain(|name, _| config.has_route(name));
    }

    /// Returns how long a request of `route` may take, in milliseconds: the longest of the latest
    /// requests. A multiple of the target latency counts as well while there are few of these.
    pub fn longest_ms(&self, route: &Route) -> u64 {
        let by_target_ms = route.target_latency_ms.saturating_mul(TARGET_LATENCY_FACTOR);
        let Some(times) = self.routes.get(&route.name) else { return by_target_ms };
        let longest_ms = times.longest_ms();
        match times.times_ms.len() < MIN_REQUESTS {
            true => longest_ms.max(by_target_ms),
            false => longest_ms,
        }
    }

    /// Returns until when a request may be sent whose deadline is in `deadline_ms` milliseconds, by an
    /// instance that ends in `exit_ms`.
    pub fn send_window(&self, route: &Route, deadline_ms: u64, exit_ms: u64) -> SendWindow {
        if deadline_ms <= exit_ms {
            return SendWindow::Open;
        }
        match exit_ms.checked_sub(self.longest_ms(route)) {
            Some(ms) => SendWindow::OpenFor { ms },
            None => SendWindow::Closed,
        }
    }
}

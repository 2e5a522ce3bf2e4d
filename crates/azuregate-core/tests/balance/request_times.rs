//! Which requests a stopping instance still sends.

use std::sync::Arc;

use azuregate_core::{
    balance::{
        ClientLimits, Config, ConfigParts, Destination, RequestKind, RequestTimes, Route,
        SendWindow, Service,
    },
    names::ServiceName,
};
use proptest::prelude::*;

const TARGET_LATENCY_MS: u64 = 250;

fn route(name: &str) -> Route {
    Route {
        name: name.to_owned(),
        prefix: format!("/{name}/"),
        kind: RequestKind::NonIdempotent,
        timeout_ms: 60_000,
        target_latency_ms: TARGET_LATENCY_MS,
        attempts: 1,
        priority: 0,
        has_session_affinity: false,
        destinations: vec![Destination { service: ServiceName::new("shop"), weight: 1.0 }],
        home_regions: Vec::new(),
    }
}

/// Guards against cutting a request that is sent too late, and against refusing one that is not.
#[test]
fn request_is_sent_while_it_can_end_in_time() {
    use SendWindow::{Closed, Open, OpenFor};
    // Times of the route's requests, the request's deadline, the end of the instance.
    let cases: [(&[u64], u64, u64, SendWindow); 13] = [
        // Its deadline is first, whatever the others took.
        (&[], 2_000, 2_000, Open),
        (&[5_000; 64], 2_000, 2_000, Open),
        (&[5_000; 64], 2_001, 2_000, Closed),
        // Nothing is known, or little.
        (&[], 5_000, 3_000, OpenFor { ms: 2_000 }),
        (&[], 5_000, 1_000, OpenFor { ms: 0 }),
        (&[], 5_000, 999, Closed),
        (&[10; 15], 5_000, 999, Closed),
        (&[10; 16], 5_000, 999, OpenFor { ms: 989 }),
        (&[2_000], 5_000, 3_000, OpenFor { ms: 1_000 }),
        // The longest counts.
        (&[10, 2_500, 10], 5_000, 3_000, OpenFor { ms: 500 }),
        (&[10, 3_001, 10], 5_000, 3_000, Closed),
        (&[u64::MAX], 5_000, 3_000, Closed),
        (&[0; 64], u64::MAX, 0, OpenFor { ms: 0 }),
    ];
    for (times_ms, deadline_ms, exit_ms, expected) in cases {
        let mut times = RequestTimes::default();
        times_ms.iter().for_each(|&taken_ms| times.record("orders", taken_ms));
        let window = times.send_window(&route("orders"), deadline_ms, exit_ms);
        assert_eq!(window, expected, "{times_ms:?} {deadline_ms} {exit_ms}");
    }
}

/// Guards against refusing the requests of a route for one that was slow long ago, or on another route.
#[test]
fn latest_requests_of_the_route_count() {
    let mut times = RequestTimes::default();
    times.record("orders", 9_000);
    (0..63).for_each(|_| times.record("orders", 20));
    times.record("exports", 8_000);
    assert_eq!(times.longest_ms(&route("orders")), 9_000);
    times.record("orders", 20);
    assert_eq!(times.longest_ms(&route("orders")), 20);
    assert_eq!(times.longest_ms(&route("exports")), 8_000);
}

/// Guards against memory that grows with each route that was ever configured.
#[test]
fn routes_that_are_gone_are_forgotten() {
    let mut times = RequestTimes::default();
    times.record("kept", 7_000);
    times.record("gone", 7_000);
    let service = Service { connection_limit: 10, cold_ms: 0, cold_rate_per_s: 0.0 };
    let parts = ConfigParts {
        version: 1,
        limits: ClientLimits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout_ms: 1,
            idle_timeout_ms: 1,
        },
        services: [(ServiceName::new("shop"), service)].into(),
        routes: vec![("shop.example".to_owned(), Arc::new(route("kept")))],
    };
    times.retain_routes(&Config::new(parts).unwrap());
    assert_eq!(times.longest_ms(&route("kept")), 7_000);
    assert_eq!(times.longest_ms(&route("gone")), 4 * TARGET_LATENCY_MS);
}

proptest! {
    /// Guards against an estimate below what one of the latest requests took, and against a window that
    /// is longer than the time that is left.
    #[test]
    fn window_leaves_time_for_the_longest_request(
        times_ms in prop::collection::vec(0..20_000_u64, 0..200),
        deadline_ms in 0..20_000_u64,
        exit_ms in 0..10_000_u64,
    ) {
        let mut times = RequestTimes::default();
        times_ms.iter().for_each(|&taken_ms| times.record("orders", taken_ms));
        let latest = &times_ms[times_ms.len().saturating_sub(64)..];
        let longest_ms = latest.iter().copied().max().unwrap_or(0);
        match times.send_window(&route("orders"), deadline_ms, exit_ms) {
            SendWindow::Open => prop_assert!(deadline_ms <= exit_ms),
            SendWindow::OpenFor { ms } => prop_assert!(ms + longest_ms <= exit_ms),
            SendWindow::Closed => prop_assert!(longest_ms.max(4 * TARGET_LATENCY_MS) > exit_ms),
        }
    }
}

//! Limits that each instance enforces alone hold over all instances together.

use azuregate_core::balance::{
    ColdStartBudget, Destination, RetryBudgets, RetryLimits, WeightedRoundRobin,
};
use proptest::prelude::*;

use crate::fixtures::{balancer, instance, query, service};

proptest! {
    /// The instances' limits for a cold server sum to at most its rate, and to most of it.
    #[test]
    fn instance_limits_sum_to_the_cold_start_rate(count in 1..400_usize, rate in 1.0..60.0_f64, server in 0..50_u8) {
        let names: Vec<String> = (0..count).map(|n| instance(n).as_str().to_owned()).collect();
        let all = || names.iter().map(String::as_str);
        let server = format!("server-{server}");
        let limits = all().map(|local| ColdStartBudget::instance_limit(&server, local, all(), rate));
        let sum: u32 = limits.sum();
        prop_assert!(f64::from(sum) <= rate);
        prop_assert!(f64::from(sum) >= (rate * 0.8).floor());
    }

    /// Retries in any window stay within the ratio of the requests in that window and the one
    /// before.
    #[test]
    fn retries_stay_within_the_ratio(steps in proptest::collection::vec((0..40_u64, 0..4_u8), 1..2_000)) {
        let (ratio, window_ms) = (0.2, 10_000);
        let mut budgets = RetryBudgets::new(RetryLimits { ratio, window_ms, burst: 0.0 });
        let (mut now_ms, mut requests, mut retries) = (0, Vec::new(), Vec::new());
        for (pause_ms, kind) in steps {
            now_ms += pause_ms;
            if kind == 0 {
                budgets.record_request(&service(), now_ms);
                requests.push(now_ms);
            } else if budgets.try_acquire(&service(), now_ms) {
                retries.push(now_ms);
            }
            let within = |times: &[u64], span_ms| {
                times.iter().filter(|&&at| at + span_ms > now_ms).count() as f64
            };
            let allowed = ratio * within(&requests, 2 * window_ms);
            prop_assert!(within(&retries, window_ms) <= allowed);
        }
    }

    /// Each destination's count deviates from its weight by at most the number of destinations.
    #[test]
    fn weighted_round_robin_follows_the_weights(weights in proptest::collection::vec(0..100_u32, 2..5), requests in 1..500_u32) {
        let total: u32 = weights.iter().sum();
        prop_assume!(total > 0);
        let destinations: Vec<Destination> = weights
            .iter()
            .map(|&weight| Destination { service: service(), weight: weight.into() })
            .collect();
        let mut round_robin = WeightedRoundRobin::default();
        let mut counts = vec![0; weights.len()];
        for _ in 0..requests {
            counts[round_robin.next(&destinations)] += 1;
        }
        for (&count, &weight) in counts.iter().zip(&weights) {
            let expected = f64::from(requests * weight) / f64::from(total);
            prop_assert!((f64::from(count) - expected).abs() <= weights.len() as f64);
            prop_assert!(weight > 0 || count == 0);
        }
    }
}

/// Nine instances send to a cold server whenever their budgets allow. In no second does it get
/// more than its configured rate, with the factor and the slack.
#[test]
fn cold_backend_rate_is_bounded_across_instances() {
    let mut instances: Vec<_> = (0..9).map(|local| balancer(local, 9, 1)).collect();
    let members: Vec<_> = (0..9).map(|local| crate::fixtures::members(local, 9)).collect();
    let service = service();
    let mut sent = Vec::new();
    for (balancer, members) in instances.iter_mut().zip(&members) {
        let mut cold = crate::fixtures::backend(0);
        cold.cold_left_ms = 3_000;
        cold.start_epoch_ms = 2;
        balancer.put(cold, members, 0);
    }
    for now_ms in (0..3_000).step_by(100) {
        for balancer in &mut instances {
            for object in 0..3 {
                let Some(choice) = balancer.choose(&query(&service, object), now_ms) else {
                    continue;
                };
                balancer.complete(
                    choice.handle,
                    azuregate_core::balance::Outcome::Cancelled,
                    now_ms,
                );
                sent.push(now_ms);
            }
        }
    }
    assert!(sent.len() > 20, "requests sent: {}", sent.len());
    for &start in &sent {
        let count = sent.iter().filter(|&&at| (start..start + 1_000).contains(&at)).count();
        assert!(count as f64 <= 9.0 * 1.5 + 5.0, "{count} from {start} ms");
    }
}

/// Guards against an instance that has just started, or has left, and takes the whole rate of a
/// cold server because it counts no others.
#[test]
fn unregistered_instance_sends_nothing_to_cold_backends() {
    let others = [instance(1), instance(2), instance(3)];
    for registered in [&[][..], &others[..1], &others[..]] {
        let names = registered.iter().map(|name| name.as_str());
        let limit = ColdStartBudget::instance_limit("server-1", instance(0).as_str(), names, 20.0);
        assert_eq!(limit, 0, "{} others", registered.len());
    }
}

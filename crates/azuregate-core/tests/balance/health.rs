//! Outlier detection and backoff.

use azuregate_core::balance::{Balancer, Outcome};

use crate::fixtures::{balancer, query, service};

/// Sends requests for 100 objects, `gap_ms` apart, each completed at once with the outcome that
/// `outcome_of` returns for its server; returns how many went to `server-5`.
fn send_requests(
    balancer: &mut Balancer,
    from_ms: u64,
    gap_ms: u64,
    outcome_of: impl Fn(&str) -> Outcome,
) -> usize {
    let service = service();
    let mut count = 0;
    for object in 0..100 {
        let now_ms = from_ms + object * gap_ms;
        let choice = balancer.choose(&query(&service, object), now_ms).unwrap();
        let id = choice.backend.id.as_str();
        count += usize::from(id == "server-5");
        balancer.complete(choice.handle, outcome_of(id), now_ms);
    }
    count
}

const SUCCESS: Outcome = Outcome::Succeeded { taken_ms: 100 };

/// One of six servers fails, rejects or times out its requests, or is five times slower.
#[test]
fn outliers_are_avoided() {
    let cases = [
        Outcome::Failed,
        Outcome::Rejected,
        Outcome::TimedOut { taken_ms: 1_000 },
        Outcome::Succeeded { taken_ms: 500 },
    ];
    for bad in cases {
        let mut balancer = balancer(0, 1, 6);
        let outcome_of = |id: &str| if id == "server-5" { bad } else { SUCCESS };
        let baseline = send_requests(&mut balancer, 0, 1, |_| SUCCESS);
        send_requests(&mut balancer, 100, 1, outcome_of);
        send_requests(&mut balancer, 200, 1, outcome_of);
        let avoided = send_requests(&mut balancer, 300, 1, outcome_of);
        assert!(avoided * 4 < baseline, "{bad:?}: {avoided} of {baseline}");
    }
}

/// Guards against a baseline of means: two of five servers are nine times slower than the
/// others, but neither is 2.5 times slower than the mean.
#[test]
fn two_slow_backends_of_five_are_both_outliers() {
    let mut balancer = balancer(0, 1, 5);
    let is_slow = |id: &str| matches!(id, "server-3" | "server-4");
    let outcome_of = |id: &str| match is_slow(id) {
        true => Outcome::Succeeded { taken_ms: 900 },
        false => SUCCESS,
    };
    for round in 0..3 {
        send_requests(&mut balancer, round * 100, 1, outcome_of);
    }
    let service = service();
    let slow = (0..100).filter(|&object| {
        let choice = balancer.choose(&query(&service, object), 400).unwrap();
        balancer.complete(choice.handle, SUCCESS, 400);
        is_slow(choice.backend.id.as_str())
    });
    assert_eq!(slow.count(), 0);
}

/// Guards against cold caches under overload: no server performs worse than the others, so
/// each object stays with its server.
#[test]
fn uniform_overload_moves_no_objects() {
    for bad in [Outcome::Rejected, Outcome::TimedOut { taken_ms: 1_000 }] {
        let mut balancer = balancer(0, 1, 6);
        let baseline = send_requests(&mut balancer, 0, 1, |_| SUCCESS);
        for round in 1..5 {
            assert_eq!(send_requests(&mut balancer, round * 100, 1, |_| bad), baseline, "{bad:?}");
        }
    }
}

/// An outlier gets requests again after some seconds, since nothing else shows its recovery.
#[test]
fn outlier_statistics_decay() {
    let mut balancer = balancer(0, 1, 6);
    let baseline = send_requests(&mut balancer, 0, 1, |_| SUCCESS);
    for round in 1..4 {
        let outcome_of = |id: &str| if id == "server-5" { Outcome::Failed } else { SUCCESS };
        send_requests(&mut balancer, round * 100, 1, outcome_of);
    }
    assert_eq!(send_requests(&mut balancer, 20_000, 1, |_| SUCCESS), baseline);
}

/// An unreachable server gets no requests for half a second. When it responds again it may
/// have restarted, so it gets requests at the rate of a cold server.
#[test]
fn unreachable_backend_is_in_backoff_and_then_cold() {
    let mut balancer = balancer(0, 1, 6);
    let baseline = send_requests(&mut balancer, 0, 0, |_| SUCCESS);
    let lost = |id: &str| if id == "server-5" { Outcome::Unreachable } else { SUCCESS };
    assert_eq!(send_requests(&mut balancer, 0, 0, lost), 1);
    assert_eq!(send_requests(&mut balancer, 499, 0, lost), 0);
    let cold =
        (500..900).step_by(100).map(|now_ms| send_requests(&mut balancer, now_ms, 0, |_| SUCCESS));
    let cold: usize = cold.sum();
    assert!(baseline * 4 > 18 && (1..=18).contains(&cold), "{cold} in half a second");
}

/// A single lost response must not move a server's objects to servers with cold caches; two
/// in a row start a backoff.
#[test]
fn one_lost_response_moves_no_objects() {
    let mut balancer = balancer(0, 1, 6);
    let baseline = send_requests(&mut balancer, 0, 0, |_| SUCCESS);
    for round in 1..5 {
        lose_responses(&mut balancer, 1, round);
        assert_eq!(send_requests(&mut balancer, round, 0, |_| SUCCESS), baseline, "round {round}");
    }
    lose_responses(&mut balancer, 2, 10);
    assert_eq!(send_requests(&mut balancer, 10, 0, |_| SUCCESS), 0);
}

/// Loses `count` responses of `server-5` in a row.
fn lose_responses(balancer: &mut Balancer, count: usize, now_ms: u64) {
    let service = service();
    let mut lost = 0;
    for object in (0..100).cycle() {
        if lost == count {
            return;
        }
        let choice = balancer.choose(&query(&service, object), now_ms).unwrap();
        let is_lost = choice.backend.id.as_str() == "server-5";
        lost += usize::from(is_lost);
        let outcome = if is_lost { Outcome::ResponseLost } else { Outcome::Cancelled };
        balancer.complete(choice.handle, outcome, now_ms);
    }
}

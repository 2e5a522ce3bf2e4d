//! Tests of concurrency limits, service times and the retry budget.

use azuregate_core::{
    names::StartNumber,
    retry::RetryBudget,
    route::{limit::ConcurrencyLimit, queue::ServiceTime},
    time::Millis,
};

const START: StartNumber = StartNumber(1);

enum Event {
    Good,
    Slow,
    Refused(u32),
}

#[test]
fn limits_follow_refusals_and_latency() {
    use Event::{Good, Refused, Slow};
    // Delay in milliseconds, event, and the expected limit after it.
    let warm: &[&[(u64, Event, u32)]] = &[
        // Refused with one request in progress: other instances hold the other slots.
        &[(0, Refused(1), 1), (10, Good, 1), (100, Good, 2), (10, Good, 2), (10, Good, 3)],
        // Refused with none in progress: nothing is sent until the backoff has passed.
        &[(0, Refused(0), 0)],
        // Consecutive refusals double the backoff.
        &[(0, Refused(1), 1), (1, Refused(1), 1), (150, Good, 1), (100, Good, 2)],
        // A single slow response does not lower the limit.
        &[(0, Good, 3), (10, Slow, 3)],
        // A server that stays slow receives fewer requests, but at least one.
        &[(0, Slow, 2), (10, Slow, 2), (100, Slow, 1), (100, Slow, 1), (100, Slow, 1)],
    ];
    for (case, events) in warm.iter().enumerate() {
        let mut limit = ConcurrencyLimit::warm(START, 3);
        let mut now_ms = Millis(0);
        for (step, (after_ms, event, expected)) in events.iter().enumerate() {
            now_ms = now_ms + Millis(*after_ms);
            match event {
                Good => limit.record_response(20, 20.0, now_ms),
                Slow => limit.record_response(120, 20.0, now_ms),
                Refused(in_use) => limit.record_refusal(*in_use, now_ms),
            }
            assert_eq!(limit.get(), *expected, "case {case}, step {step}");
        }
    }
}

#[test]
fn limit_of_zero_reopens_with_one_request() {
    let mut limit = ConcurrencyLimit::warm(START, 3);
    limit.record_refusal(0, Millis(0));
    limit.reopen(Millis(99));
    assert_eq!(limit.get(), 0);
    limit.reopen(Millis(100));
    assert_eq!(limit.get(), 1);
}

#[test]
fn server_idle_for_a_minute_is_cold() {
    let mut limit = ConcurrencyLimit::warm(START, 3);
    limit.record_response(20, 20.0, Millis(0));
    limit.reset_if_idle(Millis(60_000));
    assert_eq!(limit.get(), 3);
    limit.reset_if_idle(Millis(60_001));
    assert_eq!(limit.get(), 1);
}

#[test]
fn service_time_is_busy_time_over_requests() {
    let mut service_time = ServiceTime::default();
    for _ in 0..3 {
        service_time.acquire(Millis(0));
    }
    service_time.release(true, Millis(30));
    service_time.release(true, Millis(60));
    service_time.release(true, Millis(90));
    assert_eq!(service_time.mean_ms(), 60);
    assert_eq!(service_time.wait_ms(6, 3), 120);
}

// Without a budget, retries would double the load while all requests fail.
#[test]
fn retries_are_at_most_a_tenth_of_requests() {
    let budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        retries += u32::from(budget.try_withdraw());
    }
    assert!((1_000..=1_020).contains(&retries), "{retries}");
}

//! Learnt limits, known loads, the queue's drain and the retry budget.

use azuregate_core::{
    names::StartNumber,
    retry::RetryBudget,
    route::{limit::Limit, queue::Drain},
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
    // What happens after how many milliseconds, and the limit after it.
    let warm: &[&[(u64, Event, u32)]] = &[
        // Refused with one left in progress: somebody else holds the others.
        &[(0, Refused(1), 1), (10, Good, 1), (100, Good, 2), (10, Good, 2), (10, Good, 3)],
        // Refused with none left in progress: nothing is sent for a while.
        &[(0, Refused(0), 0)],
        // Refusals in a row hold it for longer each time.
        &[(0, Refused(1), 1), (1, Refused(1), 1), (150, Good, 1), (100, Good, 2)],
        // An answer that is slow once may be chance.
        &[(0, Good, 3), (10, Slow, 3)],
        // A server that stays slow gets less, but always something.
        &[(0, Slow, 2), (10, Slow, 2), (100, Slow, 1), (100, Slow, 1), (100, Slow, 1)],
    ];
    for (case, events) in warm.iter().enumerate() {
        let mut limit = Limit::warm(START, 3);
        let mut now_ms = Millis(0);
        for (step, (after_ms, event, expected)) in events.iter().enumerate() {
            now_ms = now_ms + Millis(*after_ms);
            match event {
                Good => limit.answered(20, 20.0, now_ms),
                Slow => limit.answered(120, 20.0, now_ms),
                Refused(in_use) => limit.refused(*in_use, now_ms),
            }
            assert_eq!(limit.get(), *expected, "case {case}, step {step}");
        }
    }
}

#[test]
fn a_limit_of_zero_is_tried_again_with_one() {
    let mut limit = Limit::warm(START, 3);
    limit.refused(0, Millis(0));
    limit.try_again(Millis(99));
    assert_eq!(limit.get(), 0);
    limit.try_again(Millis(100));
    assert_eq!(limit.get(), 1);
}

#[test]
fn a_server_that_was_idle_for_a_minute_is_cold() {
    let mut limit = Limit::warm(START, 3);
    limit.answered(20, 20.0, Millis(0));
    limit.wake(Millis(60_000));
    assert_eq!(limit.get(), 3);
    limit.wake(Millis(60_001));
    assert_eq!(limit.get(), 1);
}

#[test]
fn the_drain_is_time_in_slots_over_requests() {
    let mut drain = Drain::default();
    for _ in 0..3 {
        drain.take(Millis(0));
    }
    drain.finish(true, Millis(30));
    drain.finish(true, Millis(60));
    drain.finish(true, Millis(90));
    assert_eq!(drain.hold_ms(), 60);
    assert_eq!(drain.wait_ms(6, 3), 120);
}

// Every request fails and each failure would be tried again: without a budget
// the load doubles just when there is least room for it.
#[test]
fn retries_are_a_tenth_of_the_requests_at_the_most() {
    let budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        retries += u32::from(budget.try_withdraw());
    }
    assert!((1_000..=1_020).contains(&retries), "{retries}");
}

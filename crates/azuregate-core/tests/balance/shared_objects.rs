//! Whether a region prefers its own servers.

use azuregate_core::balance::Balancer;

use crate::fixtures::balancer;

/// Five seconds of requests, of which another region has `shared` in 100 as well;
/// returns what the balancer says of it.
fn replay_requests(balancer: &mut Balancer, from_ms: u64, shared: u64) -> Option<bool> {
    let mut preference = None;
    for number in 0..100_u64 {
        let now_ms = from_ms + number * 60;
        let object = number << 32;
        balancer.record_request(object, now_ms);
        let remote_object = if number < shared { number as u32 } else { 1_000 + number as u32 };
        preference = balancer.record_remote_requests(&[remote_object], now_ms).or(preference);
    }
    preference
}

/// Other regions request the same objects: a region that goes on preferring its own
/// servers would make each object known to servers in all regions. Clients that move
/// for a while are no reason, and the preference comes back.
#[test]
fn shared_objects_end_the_regional_preference() {
    let cases = [
        (0, None),
        (40, None),
        (90, Some(false)),
        (40, None),
        (90, None),
        (5, Some(true)),
        (5, None),
    ];
    let mut balancer = balancer(0, 6, 6);
    for (round, (shared, expected)) in cases.into_iter().enumerate() {
        // Far enough apart that objects of the round before are forgotten.
        let from_ms = 10_000 + round as u64 * 30_000;
        assert_eq!(replay_requests(&mut balancer, from_ms, shared), expected, "round {round}");
    }
}

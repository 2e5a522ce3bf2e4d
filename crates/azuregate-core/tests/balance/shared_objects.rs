//! Detection of objects that several regions request.

use azuregate_core::balance::Balancer;

use crate::fixtures::balancer;

/// Records six seconds of requests, `shared` percent of which another region has as well;
/// returns the last change of the preference for servers of the local region.
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

/// Guards against every region caching the objects that all regions request. A share between
/// a quarter and a half, as from clients that move, changes nothing.
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
        // Far enough apart that the objects of the previous round have expired.
        let from_ms = 10_000 + round as u64 * 30_000;
        assert_eq!(replay_requests(&mut balancer, from_ms, shared), expected, "round {round}");
    }
}

//! Which instances clients are told to use.

use std::net::SocketAddr;

use azuregate_core::{
    balance::Members,
    names::{InstanceId, StartNumber},
};

use crate::world::{instance, member, members};

/// Nine instances seen from the first, all heard at 1 s but for `silent` ones.
fn heard(silent: &[usize]) -> Members {
    let mut members = members(0, 9);
    for number in (0..9).filter(|number| !silent.contains(number)) {
        assert!(members.heard(instance(number).as_str(), StartNumber(1), false, 1_000));
    }
    members
}

fn addrs(numbers: &[usize]) -> Vec<SocketAddr> {
    let mut addrs: Vec<_> = numbers.iter().map(|&number| member(number).traffic_addr).collect();
    addrs.sort();
    addrs
}

fn named(members: &Members, zone: &str, region: &str, now_ms: u64) -> Vec<SocketAddr> {
    let mut named = members.lookup(zone, region, now_ms);
    named.sort();
    named
}

#[test]
fn lookups_name_what_is_near_and_lives() {
    // Instance n stands in zone n modulo 6: a1, a2, b1, b2, c1, c2, a1, a2, b1.
    let cases: [(&[usize], &str, &str, &[usize]); 5] = [
        (&[], "a1", "a", &[0, 6]),
        (&[6], "a1", "a", &[0]),
        (&[], "c1", "c", &[4]),
        (&[4], "c1", "c", &[5]),
        (&[4, 5], "c1", "c", &[0, 1, 2, 3, 6, 7, 8]),
    ];
    for (silent, zone, region, expected) in cases {
        let members = heard(silent);
        assert_eq!(named(&members, zone, region, 1_500), addrs(expected), "{silent:?} {zone}");
    }
}

#[test]
fn an_instance_is_named_until_it_was_silent_for_too_long() {
    let members = heard(&[]);
    assert_eq!(named(&members, "b2", "b", 3_000), addrs(&[3]));
    assert_eq!(named(&members, "b2", "b", 3_001), addrs(&[0]), "only the own instance is sure");
}

#[test]
fn an_instance_that_leaves_is_not_named() {
    let mut members = heard(&[]);
    members.heard("entry-6", StartNumber(1), true, 1_100);
    assert_eq!(named(&members, "a1", "a", 1_200), addrs(&[0]));
}

/// An instance starts anew at another address. Heartbeats of its earlier start,
/// which were on the way, say nothing of the new one.
#[test]
fn heartbeats_of_another_start_say_nothing() {
    let mut members = heard(&[]);
    let mut anew = member(6);
    anew.start = StartNumber(2);
    members.put(anew);
    assert!(!members.heard("entry-6", StartNumber(1), false, 1_100));
    assert_eq!(named(&members, "a1", "a", 1_200), addrs(&[0]));
    assert!(members.heard("entry-6", StartNumber(2), false, 1_300));
    assert_eq!(named(&members, "a1", "a", 1_400), addrs(&[0, 6]));
}

#[test]
fn members_whose_rows_are_gone_are_forgotten() {
    let mut members = heard(&[]);
    members.remove("entry-6");
    assert_eq!((members.len(), members.others().count()), (8, 7));
    members.retain(|instance| *instance == InstanceId::new("entry-1"));
    assert_eq!(members.len(), 1);
    assert!(!members.is_empty());
}

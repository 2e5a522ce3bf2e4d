//! Lookups, heartbeats and replication sources.

use std::net::SocketAddr;

use azuregate_core::{
    balance::{HeartbeatStatus, Members, ReplicationSource},
    names::StartNumber,
};

use crate::fixtures::{instance, member, members};

/// Returns a heartbeat of a live instance that can watch the store.
fn status(instance: &str, start: u64) -> HeartbeatStatus<'_> {
    HeartbeatStatus { instance, start: StartNumber(start), is_leaving: false, can_watch: true }
}

/// Returns nine instances as seen by the first, with heartbeats at 1 s except from `silent`.
fn live_members_except(silent: &[usize]) -> Members {
    let mut members = members(0, 9);
    for number in (0..9).filter(|number| !silent.contains(number)) {
        assert!(members.record_heartbeat(&status(instance(number).as_str(), 1), 1_000));
    }
    members
}

fn addrs(numbers: &[usize]) -> Vec<SocketAddr> {
    let mut addrs: Vec<_> = numbers.iter().map(|&number| member(number).traffic_addr).collect();
    addrs.sort();
    addrs
}

fn sorted_lookup(members: &Members, zone: &str, region: &str, now_ms: u64) -> Vec<SocketAddr> {
    let mut found = members.lookup(zone, region, now_ms);
    found.sort();
    found
}

#[test]
fn lookup_returns_the_nearest_live_instances() {
    // Instance n is in zone n modulo 6: a1, a2, b1, b2, c1, c2, a1, a2, b1.
    let cases: [(&[usize], &str, &str, &[usize]); 5] = [
        (&[], "a1", "a", &[0, 6]),
        (&[6], "a1", "a", &[0]),
        (&[], "c1", "c", &[4]),
        (&[4], "c1", "c", &[5]),
        (&[4, 5], "c1", "c", &[0, 1, 2, 3, 6, 7, 8]),
    ];
    for (silent, zone, region, expected) in cases {
        let members = live_members_except(silent);
        assert_eq!(
            sorted_lookup(&members, zone, region, 1_500),
            addrs(expected),
            "{silent:?} {zone}"
        );
    }
}

/// Guards against a duty that no live instance has, or that each has in its own view.
#[test]
fn live_instances_agree_on_their_ranks() {
    for key in ["a", "b", "c", "d"] {
        let ranks = |silent: usize| {
            let local_views = (0..9).filter(|local| *local != silent).map(|local| {
                let mut members = members(local, 9);
                for number in (0..9).filter(|number| *number != silent) {
                    members.record_heartbeat(&status(instance(number).as_str(), 1), 1_000);
                }
                members.rank(key, 1_500)
            });
            let mut ranks: Vec<usize> = local_views.collect();
            ranks.sort();
            ranks
        };
        for silent in 0..9 {
            assert_eq!(ranks(silent), (0..8).collect::<Vec<_>>(), "{key} {silent}");
        }
    }
}

#[test]
fn majority_is_lost_without_half_of_the_others() {
    let cases: [(&[usize], bool); 4] = [
        (&[], true),
        (&[1, 2, 3, 4], true),
        (&[1, 2, 3, 4, 5], false),
        (&[1, 2, 3, 4, 5, 6, 7, 8], false),
    ];
    for (silent, expected) in cases {
        assert_eq!(live_members_except(silent).is_in_majority(1_500), expected, "{silent:?}");
    }
    assert!(!live_members_except(&[]).is_in_majority(10_000), "after the heartbeat timeout");
    assert!(members(0, 1).is_in_majority(0), "a single instance");
}

#[test]
fn lookup_drops_instances_after_the_heartbeat_timeout() {
    let members = live_members_except(&[]);
    assert_eq!(sorted_lookup(&members, "b2", "b", 3_000), addrs(&[3]));
    assert_eq!(
        sorted_lookup(&members, "b2", "b", 3_001),
        addrs(&[0]),
        "only the local instance is live"
    );
}

#[test]
fn lookup_drops_leaving_instances() {
    let mut members = live_members_except(&[]);
    members.record_heartbeat(&HeartbeatStatus { is_leaving: true, ..status("entry-6", 1) }, 1_100);
    assert_eq!(sorted_lookup(&members, "a1", "a", 1_200), addrs(&[0]));
}

/// Guards against a delayed heartbeat of the previous run making a restarted instance live.
#[test]
fn heartbeats_of_another_start_are_ignored() {
    let mut members = live_members_except(&[]);
    let mut restarted = member(6);
    restarted.start = StartNumber(2);
    members.put(restarted);
    assert!(!members.record_heartbeat(&status("entry-6", 1), 1_100));
    assert_eq!(sorted_lookup(&members, "a1", "a", 1_200), addrs(&[0]));
    assert!(members.record_heartbeat(&status("entry-6", 2), 1_300));
    assert_eq!(sorted_lookup(&members, "a1", "a", 1_400), addrs(&[0, 6]));
}

#[test]
fn removed_members_are_dropped() {
    let mut members = live_members_except(&[]);
    members.remove("entry-6");
    assert_eq!((members.len(), members.others().count()), (8, 7));
    (0..9).filter(|&number| number != 1).for_each(|n| members.remove(instance(n).as_str()));
    assert_eq!(members.len(), 1);
    assert!(!members.is_empty());
}

/// Returns the instances that are followed; none if the local instance watches the store.
fn followed_instances(members: &Members, now_ms: u64) -> Vec<String> {
    match members.replication_source(now_ms) {
        ReplicationSource::Store => Vec::new(),
        ReplicationSource::Instances(followed) => {
            followed.iter().map(|member| member.instance.as_str().to_owned()).collect()
        }
    }
}

/// Returns nine instances as seen by each; all but `without_store` can watch the store.
fn views(without_store: &[usize]) -> Vec<Members> {
    let view = |local| {
        let mut members = members(local, 9);
        for number in 0..9 {
            let can_watch = !without_store.contains(&number);
            members.record_heartbeat(
                &HeartbeatStatus { can_watch, ..status(instance(number).as_str(), 1) },
                1_000,
            );
        }
        members.set_local_can_watch(!without_store.contains(&local));
        members
    };
    (0..9).map(view).collect()
}

#[test]
fn watchers_are_two_instances_in_different_regions() {
    let views = views(&[]);
    let watchers: Vec<usize> = (0..9)
        .filter(|&local| views[local].replication_source(1_100) == ReplicationSource::Store)
        .collect();
    assert_eq!(watchers.len(), 2, "{watchers:?}");
    let region = |number: usize| crate::fixtures::ZONES[number % 6].1;
    assert_ne!(region(watchers[0]), region(watchers[1]));
    for local in (0..9).filter(|local| !watchers.contains(local)) {
        let mut followed = followed_instances(&views[local], 1_100);
        followed.sort();
        assert_eq!(followed, watchers.iter().map(|n| format!("entry-{n}")).collect::<Vec<_>>());
    }
}

/// When the watchers lose the store, others are elected; without any live watcher an instance
/// watches the store itself.
#[test]
fn instances_without_store_access_are_not_followed() {
    let watchers: Vec<usize> = (0..9)
        .filter(|&local| views(&[])[local].replication_source(1_100) == ReplicationSource::Store)
        .collect();
    let views = views(&watchers);
    for view in &views {
        let followed = followed_instances(view, 1_100);
        assert!(watchers.iter().all(|n| !followed.contains(&format!("entry-{n}"))), "{followed:?}");
    }
    // No heartbeat is recent: only the local instance is live.
    let alone = views.iter().enumerate().find(|(local, _)| !watchers.contains(local)).unwrap().1;
    assert_eq!(alone.replication_source(9_000), ReplicationSource::Store);
}

#[test]
fn no_source_while_no_instance_has_the_store() {
    let all: Vec<usize> = (0..9).collect();
    assert_eq!(views(&all)[3].replication_source(1_100), ReplicationSource::Instances(Vec::new()));
}

/// Guards against an instance of a large deployment sending every change to all others.
#[test]
fn large_deployments_relay_changes_within_zones() {
    const COUNT: usize = 96;
    let view = |local| {
        let mut members = members(local, COUNT);
        for number in 0..COUNT {
            assert!(members.record_heartbeat(&status(instance(number).as_str(), 1), 1_000));
        }
        members.set_local_can_watch(true);
        members
    };
    let views: Vec<Members> = (0..COUNT).map(view).collect();
    let sources: Vec<Vec<String>> =
        views.iter().map(|view| followed_instances(view, 1_100)).collect();
    let watchers: Vec<usize> = (0..COUNT).filter(|&local| sources[local].is_empty()).collect();
    assert_eq!(watchers.len(), 2);
    let zone = |number: usize| number % crate::fixtures::ZONES.len();
    let in_zone = COUNT / crate::fixtures::ZONES.len();
    for local in 0..COUNT {
        let followers =
            sources.iter().filter(|all| all.iter().any(|name| name == instance(local).as_str()));
        assert!(followers.count() <= in_zone + 2 * crate::fixtures::ZONES.len(), "{local}");
        // Instances other than the watchers are followed only within their zone.
        let number_of =
            |name: &String| (0..COUNT).find(|&number| instance(number).as_str() == name);
        for source in sources[local].iter().filter_map(number_of) {
            let is_direct = watchers.contains(&source);
            assert!(is_direct || zone(source) == zone(local), "{local} follows {source}");
            let upstream = sources[source].iter().filter_map(number_of);
            assert!(is_direct || upstream.into_iter().all(|next| watchers.contains(&next)));
        }
    }
}

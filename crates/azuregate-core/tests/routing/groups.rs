//! Tests of groups and the preference of their dispatchers.

use std::collections::BTreeMap;

use azuregate_core::{
    names::BackendId,
    route::group::{self, GroupId, GroupLoad},
    snapshot::Instance,
};

use crate::fixture::{SERVICE, instance, topology, zone};

fn first(instances: &[Instance], group: &GroupId) -> String {
    let mut order: Vec<_> = instances.iter().collect();
    group::sort_by_preference(&mut order, &topology(0), SERVICE, group);
    order[0].id.to_string()
}

#[test]
fn losing_an_instance_moves_only_its_groups() {
    let instances: Vec<_> =
        (0..9).map(|nth| instance(&format!("entry-{nth}"), "sofia-a")).collect();
    let groups = (0..200).map(|part| GroupId { zone: zone("sofia-a"), part });
    let mut load: BTreeMap<String, u32> = BTreeMap::new();
    for group in groups {
        let before = first(&instances, &group);
        let rest: Vec<_> = instances[1..].to_vec();
        let after = first(&rest, &group);
        assert!(before == "entry-0" || before == after, "{group} moved");
        *load.entry(before).or_default() += 1;
    }
    assert_eq!(load.len(), 9);
    assert!(load.values().all(|&groups| (8..=45).contains(&groups)), "{load:?}");
}

#[test]
fn nearer_instances_are_preferred() {
    let instances = [
        instance("entry-1", "varna-a"),
        instance("entry-2", "sofia-b"),
        instance("entry-3", "sofia-a"),
    ];
    let group = GroupId { zone: zone("sofia-a"), part: 0 };
    let mut order: Vec<_> = instances.iter().rev().collect();
    group::sort_by_preference(&mut order, &topology(0), SERVICE, &group);
    let ids: Vec<_> = order.iter().map(|instance| instance.id.as_str()).collect();
    assert_eq!(ids, ["entry-3", "entry-2", "entry-1"]);
}

#[test]
fn adding_a_partition_moves_few_servers() {
    let cases = [(0, 1), (1, 1), (64, 1), (65, 2), (1_000, 16)];
    for (servers, parts) in cases {
        assert_eq!(group::partition_count(servers), parts, "{servers} servers");
    }
    let servers: Vec<_> = (0..1_000).map(|nth| BackendId::new(&format!("s{nth}"))).collect();
    let moved =
        servers.iter().filter(|s| group::partition_of(s, 15) != group::partition_of(s, 16)).count();
    assert!((30..=100).contains(&moved), "{moved} of 1000 moved");
}

#[test]
fn group_ids_and_loads_round_trip() {
    let group = GroupId { zone: zone("sofia-a"), part: 3 };
    assert_eq!(group.to_string().parse(), Ok(group));
    let load =
        GroupLoad { free: 2, queued: 7, slots: 12, service_ms: 21, seen: 90, ..Default::default() };
    assert_eq!(load.to_string().parse(), Ok(load));
    for text in ["", "1 2 3", "a b c d e f", "1 2 3 4 5 -6"] {
        assert!(text.parse::<GroupLoad>().is_err(), "{text:?}");
    }
    for text in ["", "sofia-a", "sofia-a/", "sofia-a/x"] {
        assert!(text.parse::<GroupId>().is_err(), "{text:?}");
    }
}

//! Choice of a backend server for a request.

use azuregate_core::{
    balance::{BackendQuery, Balancer, InFlightCount, Outcome},
    names::{RegionName, ZoneName},
};
use proptest::prelude::*;

use crate::fixtures::{ZONES, backend, balancer, instance, members, query, service};

const OBJECTS: u64 = 200;

/// Returns the server of each object while nothing else is in flight.
fn chosen_servers(balancer: &mut Balancer) -> Vec<String> {
    let service = service();
    let chosen_server = |object| {
        let choice = balancer.choose(&query(&service, object), 0).unwrap();
        balancer.complete(choice.handle, Outcome::Cancelled, 0);
        choice.backend.id.as_str().to_owned()
    };
    (0..OBJECTS).map(chosen_server).collect()
}

/// Instances of other regions prefer servers of their own, and still agree on most objects.
#[test]
fn instances_of_a_region_choose_the_same_backend() {
    for first in [0, 2, 4] {
        let expected = chosen_servers(&mut balancer(first, 12, 24));
        for local in 0..12 {
            let chosen = chosen_servers(&mut balancer(local, 12, 24));
            let same = chosen.iter().zip(&expected).filter(|(a, b)| a == b).count();
            let is_same_region = ZONES[local % ZONES.len()].1 == ZONES[first].1;
            let min_same = if is_same_region { chosen.len() } else { chosen.len() * 6 / 10 };
            assert!(same >= min_same, "{same} of {} for {first} and {local}", chosen.len());
        }
    }
}

/// A region has a third of the servers, which get half of its requests.
#[test]
fn backends_of_the_local_region_have_double_weight() {
    for (local, &(_, region)) in ZONES.iter().enumerate() {
        let mut balancer = balancer(local, 6, 24);
        let service = service();
        let in_region = (0..2_000).filter(|&object| {
            let choice = balancer.choose(&query(&service, object), 0).unwrap();
            balancer.complete(choice.handle, Outcome::Cancelled, 0);
            let zone = choice.backend.zone.as_str();
            ZONES.iter().find(|(name, _)| *name == zone).unwrap().1 == region
        });
        let in_region = in_region.count();
        assert!((920..1_080).contains(&in_region), "{in_region} of 2000, 1000 expected");
    }
}

#[test]
fn removing_a_backend_moves_only_its_objects() {
    let mut balancer = balancer(0, 9, 24);
    let before = chosen_servers(&mut balancer);
    balancer.remove("server-5");
    let after = chosen_servers(&mut balancer);
    for (before, after) in before.iter().zip(&after) {
        assert!(before == after || before == "server-5");
        assert_ne!(after, "server-5");
    }
}

#[test]
fn ineligible_backends_are_never_chosen() {
    type Change = fn(&mut Balancer);
    let cases: [(&str, Change); 4] = [
        ("draining", |balancer| {
            let draining = azuregate_core::balance::Backend { is_draining: true, ..backend(5) };
            balancer.put(draining, &members(0, 9), 0);
        }),
        ("evacuated", |balancer| {
            balancer.set_evacuated(&ZoneName::new("c2"), true, 0);
        }),
        ("removed", |balancer| {
            balancer.remove("server-5");
        }),
        ("marked as draining", |balancer| {
            let service = service();
            let handle = (0..OBJECTS)
                .filter_map(|object| balancer.choose(&query(&service, object), 0))
                .find(|choice| choice.backend.id.as_str() == "server-5")
                .map(|choice| choice.handle);
            balancer.set_draining(handle.unwrap());
        }),
    ];
    for (name, change) in cases {
        let mut balancer = balancer(0, 9, 24);
        change(&mut balancer);
        assert!(!chosen_servers(&mut balancer).contains(&"server-5".to_owned()), "{name}");
    }
}

/// The second server of an object is used while it has a free slot; then requests queue at the
/// first, and then they are refused.
#[test]
fn full_backend_spills_over_only_to_a_free_slot() {
    let mut balancer = balancer(0, 9, 24);
    let service = service();
    let mut servers = Vec::new();
    while let Some(choice) = balancer.choose(&query(&service, 7), 0) {
        servers.push(choice.backend.id.as_str().to_owned());
    }
    let (first, second) = (&servers[0], &servers[6]);
    assert_ne!(first, second);
    let expected = [&[first; 6][..], &[second; 3], &[first; 2]].concat();
    assert_eq!(servers.iter().collect::<Vec<_>>(), expected);
    let explanation = balancer.explain(&query(&service, 7), 0).to_string();
    assert_eq!(explanation, format!("open:24 oldest_report_ms:0 {first}:8/3 {second}:3/3"));
}

/// Another instance reports a full queue at an object's server.
#[test]
fn remote_in_flight_counts_until_the_report_expires() {
    let (mut local, mut remote) = (balancer(0, 2, 24), balancer(1, 2, 24));
    let service = service();
    let first = local.choose(&query(&service, 7), 0).unwrap();
    local.complete(first.handle, Outcome::Cancelled, 0);
    for _ in 0..7 {
        remote.choose(&query(&service, 7), 0).unwrap();
    }
    let report: Vec<InFlightCount> = remote.in_flight();
    local.record_load_report(&instance(1), report, 0);
    let other = local.choose(&query(&service, 7), 0).unwrap();
    assert_ne!(other.backend.id, first.backend.id);
    local.expire_load_reports(1_501);
    let again = local.choose(&query(&service, 7), 1_501).unwrap();
    assert_eq!(again.backend.id, first.backend.id);
}

#[test]
fn large_bodies_stay_in_the_zone() {
    let mut balancer = balancer(0, 9, 24);
    let service = service();
    for object in 0..OBJECTS {
        let query = BackendQuery { has_large_body: true, ..query(&service, object) };
        let choice = balancer.choose(&query, 0).unwrap();
        balancer.complete(choice.handle, Outcome::Cancelled, 0);
        assert_eq!(choice.backend.zone.as_str(), "a1");
    }
}

proptest! {
    /// A choice is never a server that was tried or one outside the home regions.
    #[test]
    fn tried_backends_and_other_regions_are_excluded(object: u64, tries in 1..8_usize, home in 0..4_usize) {
        let mut balancer = balancer(0, 9, 24);
        let service = service();
        let homes: Vec<RegionName> =
            ["a", "b", "c"].iter().take(home).map(|name| RegionName::new(name)).collect();
        let mut tried = Vec::new();
        for _ in 0..tries {
            let query = BackendQuery { tried: &tried, home_regions: &homes, ..query(&service, object) };
            let choice = balancer.choose(&query, 0).unwrap();
            prop_assert!(!tried.contains(&choice.handle));
            let region = &choice.backend.zone.as_str()[..1];
            prop_assert!(homes.is_empty() || homes.iter().any(|home| home.as_str() == region));
            tried.push(choice.handle);
        }
    }
}

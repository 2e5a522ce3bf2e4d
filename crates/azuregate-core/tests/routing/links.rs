//! Tests of bandwidth reservations on links between regions.

use azuregate_core::{
    error::ErrorKind,
    names::RegionName,
    route::{
        dispatch::{Decision, DispatchRequest},
        link::RegionLinks,
    },
    snapshot::{InstanceList, Snapshot},
    time::Millis,
};

use crate::fixture::{Node, instance, server, topology, zone};

const SECOND_MS: Millis = Millis(1_000);

fn links(mbit_per_s: u64) -> (RegionLinks, usize) {
    let instances = [instance("entry-1", "sofia-a"), instance("entry-2", "varna-a")];
    let mut links = RegionLinks::default();
    links.update(&topology(mbit_per_s), &RegionName::new("sofia"), &instances);
    let link = links.link_to(&RegionName::new("varna")).unwrap();
    (links, link)
}

#[test]
fn no_link_to_the_local_region() {
    let (links, _) = links(8);
    assert_eq!(links.link_to(&RegionName::new("sofia")), None);
}

// Two instances share 8 Mbit/s, so each may use 500,000 bytes per second.
#[test]
fn used_and_reserved_bytes_count() {
    let (mut links, link) = links(8);
    links.record_totals(link, 400_000, 0, Millis(0));
    let reservation =
        links.plan_reservation(link, 90_000, Millis(0)).expect("490,000 of 500,000 bytes");
    links.reserve(reservation);
    assert_eq!(links.plan_reservation(link, 90_000, Millis(0)), None);
    links.release(reservation);
    assert!(links.plan_reservation(link, 90_000, Millis(0)).is_some());
    assert_eq!(links.plan_reservation(link, 110_000, Millis(900)), None);
    assert!(links.plan_reservation(link, 110_000, SECOND_MS).is_some());
}

#[test]
fn responses_count_in_the_other_direction() {
    let (mut links, link) = links(8);
    links.record_totals(link, 0, 499_000, Millis(0));
    assert_eq!(links.plan_reservation(link, 0, Millis(0)), None);
}

// Instances do not know each other's traffic; with all of them at their share,
// the link must not be overloaded.
#[test]
fn instance_shares_fit_into_the_link() {
    for (here, there) in [(1, 1), (3, 2), (5, 4), (130, 140)] {
        let near = (0..here).map(|nth| instance(&format!("n{nth}"), "sofia-a"));
        let far = (0..there).map(|nth| instance(&format!("f{nth}"), "varna-a"));
        let instances: Vec<_> = near.chain(far).collect();
        let mut links = RegionLinks::default();
        links.update(&topology(4_000), &RegionName::new("sofia"), &instances);
        let link = links.link_to(&RegionName::new("varna")).unwrap();
        let mut sent_bytes = 0;
        while links.plan_reservation(link, 10_000, Millis(0)).is_some() {
            sent_bytes += 10_000;
            links.record_totals(link, sent_bytes, 0, Millis(0));
        }
        let all_bytes = sent_bytes * (here + there);
        assert!(all_bytes <= 500_000_000, "{all_bytes} bytes per second from {here} and {there}");
        assert!(all_bytes >= 490_000_000, "{all_bytes} bytes per second from {here} and {there}");
    }
}

// Without the bound, a body larger than the share of one second could never be
// sent.
#[test]
fn large_body_reserves_at_most_a_quarter() {
    let (mut links, link) = links(8);
    for _ in 0..3 {
        let reservation = links.plan_reservation(link, 50_000_000, Millis(0)).unwrap();
        links.reserve(reservation);
    }
    assert!(links.plan_reservation(link, 50_000_000, Millis(0)).is_some());
    links.record_totals(link, 200_000, 0, Millis(0));
    assert_eq!(links.plan_reservation(link, 50_000_000, Millis(0)), None);
}

// A request is refused if the only free slots are behind a full link.
#[test]
fn full_link_is_not_crossed() {
    let instances = vec![instance("entry-1", "sofia-a")];
    let mut snapshot = Snapshot::empty(std::sync::Arc::new(topology(8)));
    let backends = vec![server("s1", "varna-a", 1)];
    snapshot.set_list(InstanceList { instances, backends });
    let mut node = Node::new("no_room", "entry-1", "sofia-a", &snapshot);
    let slot = node.serve(&["varna-a"]);
    let link = slot.reservation.expect("it crosses a link").link;
    node.dispatch.record_link_bytes(link, 999_999, 0, node.now_ms);
    let plan = [zone("varna-a")];
    let request = DispatchRequest { body_bytes: 2, ..node.request(&plan) };
    let decision = node.dispatch.place(&request, node.now_ms, &mut node.rng);
    let Decision::Refuse(refusal) = decision else { panic!("{decision:?}") };
    assert_eq!(refusal.kind, ErrorKind::QueueFull);
    node.now_ms = node.now_ms + SECOND_MS;
    assert!(matches!(node.place(&["varna-a"]), Decision::Serve(_)));
}

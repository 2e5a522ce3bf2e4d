//! The block map, compared with a linear scan.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

use std::{collections::BTreeMap, net::IpAddr};

use azuregate_core::blocks::{BlockMap, Delta, SiteId};
use ipnet::IpNet;
use proptest::prelude::*;

/// A reference implementation that finds the longest match by a linear scan.
#[derive(Clone, Debug, Default)]
struct LinearMap(BTreeMap<IpNet, SiteId>);

impl LinearMap {
    fn lookup(&self, addr: IpAddr) -> Option<SiteId> {
        let holding = self.0.iter().filter(|(block, _)| block.contains(&addr));
        holding.max_by_key(|(block, _)| block.prefix_len()).map(|(_, &site)| site)
    }

    fn apply(&mut self, deltas: &[Delta]) {
        for delta in deltas {
            match *delta {
                Delta::Set { block, site } => self.0.insert(block, site),
                Delta::Remove { block } => self.0.remove(&block),
            };
        }
    }
}

/// Blocks within a small address range, so that they nest and adjoin.
fn block() -> impl Strategy<Value = IpNet> {
    let v4 = (0_u32..1 << 14, 8_u8..=32)
        .prop_map(|(low, len)| IpNet::new(IpAddr::V4((0x0a00_0000 + low * 64).into()), len));
    let v6 = (0_u128..1 << 10, 16_u8..=64).prop_map(|(low, len)| {
        IpNet::new(IpAddr::V6(((0x2001_0db8_u128 << 96) + (low << 62)).into()), len)
    });
    prop_oneof![3 => v4, 1 => v6].prop_map(|block| block.unwrap().trunc())
}

fn delta() -> impl Strategy<Value = Delta> {
    let set =
        (block(), 0_u16..140).prop_map(|(block, site)| Delta::Set { block, site: SiteId(site) });
    let remove = block().prop_map(|block| Delta::Remove { block });
    prop_oneof![3 => set, 1 => remove]
}

fn addresses(blocks: impl Iterator<Item = IpNet>) -> Vec<IpAddr> {
    let ends = blocks.flat_map(|block| [block.network(), block.broadcast()]);
    ends.chain(["9.255.255.255".parse().unwrap(), "255.255.255.255".parse().unwrap()]).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn lookups_and_deltas_match_a_linear_scan(
        first in prop::collection::vec((block(), 0_u16..140), 0..1_500),
        rounds in prop::collection::vec(prop::collection::vec(delta(), 1..300), 0..4),
    ) {
        let mut linear = LinearMap(first.iter().map(|&(block, site)| (block, SiteId(site))).collect());
        let blocks = first.iter().map(|&(block, site)| (block, SiteId(site))).collect();
        let mut map = BlockMap::from_blocks(blocks).unwrap();
        for deltas in &rounds {
            linear.apply(deltas);
            map = map.apply(deltas).unwrap();
        }
        prop_assert_eq!(map.len(), linear.0.len());
        let changed = rounds.iter().flatten().map(|delta| match *delta {
            Delta::Set { block, .. } | Delta::Remove { block } => block,
        });
        for addr in addresses(linear.0.keys().copied().chain(changed)) {
            prop_assert_eq!(map.lookup(addr), linear.lookup(addr), "at {}", addr);
        }
    }

    #[test]
    fn snapshot_round_trips(
        blocks in prop::collection::vec((block(), 0_u16..140), 0..600),
    ) {
        let blocks: Vec<_> = blocks.into_iter().map(|(block, site)| (block, SiteId(site))).collect();
        let map = BlockMap::from_blocks(blocks.clone()).unwrap();
        let read = BlockMap::decode(&map.encode()).unwrap();
        prop_assert_eq!(read.len(), map.len());
        for addr in addresses(blocks.iter().map(|&(block, _)| block)) {
            prop_assert_eq!(read.lookup(addr), map.lookup(addr));
        }
    }

    // Guards against directing clients by a snapshot that was truncated or corrupted in
    // storage.
    #[test]
    fn damaged_snapshot_is_rejected(
        blocks in prop::collection::vec((block(), 0_u16..140), 1..50),
        at in any::<prop::sample::Index>(),
        flip in 1_u8..,
        cut in any::<bool>(),
    ) {
        let blocks = blocks.into_iter().map(|(block, site)| (block, SiteId(site))).collect();
        let mut bytes = BlockMap::from_blocks(blocks).unwrap().encode();
        let at = at.index(bytes.len());
        if cut { bytes.truncate(at) } else { bytes[at] ^= flip }
        prop_assert!(BlockMap::decode(&bytes).is_err());
    }
}

#[test]
fn ipv6_block_longer_than_64_bits_is_rejected() {
    let error = BlockMap::from_blocks(vec![("2001:db8::/65".parse().unwrap(), SiteId(1))]);
    assert_eq!(error.unwrap_err().to_string(), "block 2001:db8::/65 is longer than /64");
}

#[test]
fn apply_leaves_the_original_map_unchanged() {
    let block = "10.0.0.0/8".parse().unwrap();
    let old = BlockMap::from_blocks(vec![(block, SiteId(1))]).unwrap();
    let new = old.apply(&[Delta::Set { block, site: SiteId(2) }]).unwrap();
    let addr = "10.9.9.9".parse().unwrap();
    assert_eq!((old.lookup(addr), new.lookup(addr)), (Some(SiteId(1)), Some(SiteId(2))));
}

//! How much of the links between regions this instance may use.

use crate::{
    names::RegionName,
    snapshot::{Instance, Liveness},
    time::Millis,
    topology::Topology,
};

/// Bytes a second in one megabit a second.
const BYTES_PER_MBIT: u64 = 125_000;
/// The window over which bytes are counted, in parts of [`BUCKET_MS`].
const BUCKETS: usize = 10;
/// The length of one part.
const BUCKET_MS: u64 = 100;
/// One request books no more than one in so many of the share: a body larger
/// than a second's share would otherwise never go.
const MAX_RESERVATION_DIVISOR: u64 = 4;
/// Taken for the size of an answer until some have been measured, in bytes.
const DEFAULT_RESPONSE_BYTES: u64 = 4_096;
/// After so many answers the older half of what was measured is forgotten.
const HALVE_AFTER_RESPONSES: u64 = 512;

/// The links from this instance's region to each other region.
#[derive(Debug, Default)]
pub struct RegionLinks {
    links: Vec<RegionLink>,
}

/// What a request in progress holds of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reservation {
    /// The link, as an index.
    pub link: usize,
    up_bytes: u64,
    down_bytes: u64,
}

#[derive(Debug)]
struct RegionLink {
    region: RegionName,
    share_bytes_per_s: u64,
    up: Direction,
    down: Direction,
    responses: u64,
    response_bytes: u64,
}

/// One way of a link: bytes of the last second and bytes that are booked.
#[derive(Debug, Default)]
struct Direction {
    total_bytes: u64,
    buckets: [u64; BUCKETS],
    newest: u64,
    reserved_bytes: u64,
}

impl Direction {
    fn count(&mut self, bytes: u64, now_ms: Millis) {
        self.advance(now_ms);
        self.buckets[self.newest as usize % BUCKETS] += bytes;
    }

    fn advance(&mut self, now_ms: Millis) {
        let bucket = now_ms.0 / BUCKET_MS;
        let passed = bucket.saturating_sub(self.newest).min(BUCKETS as u64);
        for offset in 0..passed {
            self.buckets[(bucket - offset) as usize % BUCKETS] = 0;
        }
        self.newest = self.newest.max(bucket);
    }

    fn fits(&mut self, bytes: u64, share_bytes_per_s: u64, now_ms: Millis) -> bool {
        self.advance(now_ms);
        let used = self.buckets.iter().sum::<u64>() + self.reserved_bytes;
        used + bytes <= share_bytes_per_s
    }
}

impl RegionLink {
    fn response_bytes(&self) -> u64 {
        self.response_bytes.checked_div(self.responses).unwrap_or(DEFAULT_RESPONSE_BYTES)
    }
}

impl RegionLinks {
    /// Takes in the regions and the live instances.
    ///
    /// Both ends of a link send on it both ways, and no instance knows what the
    /// others send: each keeps to its even share, so that all together stay
    /// within the link.
    pub fn update(&mut self, topology: &Topology, here: &RegionName, instances: &[Instance]) {
        let live = |region: &RegionName| {
            let mut count = 0;
            for instance in instances {
                let live = instance.liveness == Liveness::Live;
                count += u64::from(live && topology.region_of(&instance.zone) == Some(region));
            }
            count
        };
        let link_bytes_per_s = topology.link_mbit_per_s * BYTES_PER_MBIT;
        for region in topology.regions.iter().filter(|region| region.name != *here) {
            let instances_sharing = live(here).max(1) + live(&region.name);
            let share_bytes_per_s = link_bytes_per_s / instances_sharing;
            match self.links.iter_mut().find(|link| link.region == region.name) {
                Some(link) => link.share_bytes_per_s = share_bytes_per_s,
                None => self.links.push(RegionLink {
                    region: region.name.clone(),
                    share_bytes_per_s,
                    up: Direction::default(),
                    down: Direction::default(),
                    responses: 0,
                    response_bytes: 0,
                }),
            }
        }
    }

    /// The link to a region; `None` for this instance's own.
    pub fn link_to(&self, region: &RegionName) -> Option<usize> {
        self.links.iter().position(|link| link.region == *region)
    }

    /// Whether a request with a body of `up_bytes` has room on a link, and what
    /// it would hold of it.
    pub fn plan_reservation(
        &mut self,
        link: usize,
        up_bytes: u64,
        now_ms: Millis,
    ) -> Option<Reservation> {
        let state = &mut self.links[link];
        let share = state.share_bytes_per_s;
        let max_bytes = share / MAX_RESERVATION_DIVISOR;
        let up_bytes = up_bytes.min(max_bytes);
        let down_bytes = state.response_bytes().min(max_bytes);
        let fits =
            state.up.fits(up_bytes, share, now_ms) && state.down.fits(down_bytes, share, now_ms);
        fits.then_some(Reservation { link, up_bytes, down_bytes })
    }

    /// Holds what a request in progress needs.
    pub fn reserve(&mut self, reservation: Reservation) {
        let link = &mut self.links[reservation.link];
        link.up.reserved_bytes += reservation.up_bytes;
        link.down.reserved_bytes += reservation.down_bytes;
    }

    /// Gives back what a request held.
    pub fn release(&mut self, reservation: Reservation) {
        let link = &mut self.links[reservation.link];
        link.up.reserved_bytes = link.up.reserved_bytes.saturating_sub(reservation.up_bytes);
        link.down.reserved_bytes = link.down.reserved_bytes.saturating_sub(reservation.down_bytes);
        link.responses += 1;
        if link.responses >= HALVE_AFTER_RESPONSES {
            link.responses /= 2;
            link.response_bytes /= 2;
        }
    }

    /// Takes in how many bytes have passed since the start, each way.
    pub fn record_totals(&mut self, link: usize, up_bytes: u64, down_bytes: u64, now_ms: Millis) {
        let link = &mut self.links[link];
        link.up.count(up_bytes.saturating_sub(link.up.total_bytes), now_ms);
        let received = down_bytes.saturating_sub(link.down.total_bytes);
        link.down.count(received, now_ms);
        link.response_bytes += received;
        link.up.total_bytes = up_bytes;
        link.down.total_bytes = down_bytes;
    }
}

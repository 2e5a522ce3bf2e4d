//! Bandwidth reservations on the links between regions.

use crate::{
    names::RegionName,
    snapshot::{Instance, Liveness},
    time::Millis,
    topology::Topology,
};

/// Bytes per second in one megabit per second.
const BYTES_PER_MBIT: u64 = 125_000;
/// Number of buckets in the sliding window over which bytes are counted.
const BUCKETS: usize = 10;
/// Length of one bucket.
const BUCKET_MS: u64 = 100;
/// A request reserves at most this fraction (1/4) of the share; otherwise a body
/// larger than the share of one second could never be sent.
const MAX_RESERVATION_DIVISOR: u64 = 4;
/// Response size assumed before the first response.
const DEFAULT_RESPONSE_BYTES: u64 = 4_096;
/// The response size sums are halved after this many responses, so that old
/// samples decay.
const HALVE_AFTER_RESPONSES: u64 = 512;

/// The links from this instance's region to each other region.
#[derive(Debug, Default)]
pub struct RegionLinks {
    links: Vec<RegionLink>,
}

/// The bandwidth that a request in progress holds on a link.
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

/// One direction of a link: bytes of the last second and reserved bytes.
#[derive(Debug, Default)]
struct Direction {
    total_bytes: u64,
    buckets: [u64; BUCKETS],
    newest_bucket: u64,
    reserved_bytes: u64,
}

impl Direction {
    fn add(&mut self, bytes: u64, now_ms: Millis) {
        self.advance(now_ms);
        self.buckets[self.newest_bucket as usize % BUCKETS] += bytes;
    }

    fn advance(&mut self, now_ms: Millis) {
        let bucket = now_ms.0 / BUCKET_MS;
        let passed = bucket.saturating_sub(self.newest_bucket).min(BUCKETS as u64);
        for offset in 0..passed {
            self.buckets[(bucket - offset) as usize % BUCKETS] = 0;
        }
        self.newest_bucket = self.newest_bucket.max(bucket);
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
    /// Sets the share of each link from the regions and the live instances.
    ///
    /// Instances do not know each other's traffic. Each keeps to an equal share
    /// of a link, so that together they stay within its capacity.
    pub fn update(&mut self, topology: &Topology, local: &RegionName, instances: &[Instance]) {
        let live = |region: &RegionName| {
            let mut count = 0;
            for instance in instances {
                let live = instance.liveness == Liveness::Live;
                count += u64::from(live && topology.region_of(&instance.zone) == Some(region));
            }
            count
        };
        let link_bytes_per_s = topology.link_mbit_per_s * BYTES_PER_MBIT;
        for region in topology.regions.iter().filter(|region| region.name != *local) {
            let instances_sharing = live(local).max(1) + live(&region.name);
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

    /// Returns the index of the link to a region, or `None` for the region of
    /// this instance.
    pub fn link_to(&self, region: &RegionName) -> Option<usize> {
        self.links.iter().position(|link| link.region == *region)
    }

    /// Returns the reservation that a request with a body of `up_bytes` needs on
    /// a link, or `None` if the link lacks capacity. Nothing is reserved yet.
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

    /// Reserves the bandwidth for a request.
    pub fn reserve(&mut self, reservation: Reservation) {
        let link = &mut self.links[reservation.link];
        link.up.reserved_bytes += reservation.up_bytes;
        link.down.reserved_bytes += reservation.down_bytes;
    }

    /// Releases the reservation of a finished request.
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

    /// Records the total bytes sent and received on a link since the start.
    pub fn record_totals(&mut self, link: usize, up_bytes: u64, down_bytes: u64, now_ms: Millis) {
        let link = &mut self.links[link];
        link.up.add(up_bytes.saturating_sub(link.up.total_bytes), now_ms);
        let received = down_bytes.saturating_sub(link.down.total_bytes);
        link.down.add(received, now_ms);
        link.response_bytes += received;
        link.up.total_bytes = up_bytes;
        link.down.total_bytes = down_bytes;
    }
}

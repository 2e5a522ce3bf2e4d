//! How much of the links between regions this instance may use.

use crate::{
    names::RegionName,
    snapshot::{Instance, Liveness},
    time::Millis,
    topology::Topology,
};

/// Bytes a second in one megabit a second.
const BYTES_PER_MBIT: u64 = 125_000;
/// The window over which bytes are counted, in parts of [`PART_MS`].
const PARTS: usize = 10;
/// The length of one part.
const PART_MS: u64 = 100;
/// One request books no more than one in so many of the share: a body larger
/// than a second's share would otherwise never go.
const LARGEST_BOOKING: u64 = 4;
/// Taken for the size of an answer until some have been measured, in bytes.
const FIRST_ANSWER_BYTES: u64 = 4_096;
/// After so many answers the older half of what was measured is forgotten.
const MEASURED_LIMIT: u64 = 512;

/// The links from this instance's region to each other region.
#[derive(Debug, Default)]
pub struct Links {
    links: Vec<Link>,
}

/// What a request in progress holds of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Booking {
    /// The link, as an index.
    pub link: usize,
    up_bytes: u64,
    down_bytes: u64,
}

#[derive(Debug)]
struct Link {
    region: RegionName,
    share_bytes_per_s: u64,
    up: Way,
    down: Way,
    answers: u64,
    answer_bytes: u64,
}

/// One way of a link: bytes of the last second and bytes that are booked.
#[derive(Debug, Default)]
struct Way {
    total_bytes: u64,
    parts: [u64; PARTS],
    newest: u64,
    booked_bytes: u64,
}

impl Way {
    fn count(&mut self, bytes: u64, now_ms: Millis) {
        self.pass(now_ms);
        self.parts[self.newest as usize % PARTS] += bytes;
    }

    fn pass(&mut self, now_ms: Millis) {
        let part = now_ms.0 / PART_MS;
        let passed = part.saturating_sub(self.newest).min(PARTS as u64);
        for offset in 0..passed {
            self.parts[(part - offset) as usize % PARTS] = 0;
        }
        self.newest = self.newest.max(part);
    }

    fn has_room(&mut self, bytes: u64, share_bytes_per_s: u64, now_ms: Millis) -> bool {
        self.pass(now_ms);
        let used = self.parts.iter().sum::<u64>() + self.booked_bytes;
        used + bytes <= share_bytes_per_s
    }
}

impl Link {
    fn answer_bytes(&self) -> u64 {
        self.answer_bytes.checked_div(self.answers).unwrap_or(FIRST_ANSWER_BYTES)
    }
}

impl Links {
    /// Takes in the regions and the live instances.
    ///
    /// Both ends of a link send on it both ways, and no instance knows what the
    /// others send: each keeps to its even share, so that all together stay
    /// within the link.
    pub fn set(&mut self, topology: &Topology, here: &RegionName, instances: &[Instance]) {
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
            let sharers = live(here).max(1) + live(&region.name);
            let share_bytes_per_s = link_bytes_per_s / sharers;
            match self.links.iter_mut().find(|link| link.region == region.name) {
                Some(link) => link.share_bytes_per_s = share_bytes_per_s,
                None => self.links.push(Link {
                    region: region.name.clone(),
                    share_bytes_per_s,
                    up: Way::default(),
                    down: Way::default(),
                    answers: 0,
                    answer_bytes: 0,
                }),
            }
        }
    }

    /// The link to a region; `None` for this instance's own.
    pub fn to(&self, region: &RegionName) -> Option<usize> {
        self.links.iter().position(|link| link.region == *region)
    }

    /// Whether a request with a body of `up_bytes` has room on a link, and what
    /// it would hold of it.
    pub fn room(&mut self, link: usize, up_bytes: u64, now_ms: Millis) -> Option<Booking> {
        let known = &mut self.links[link];
        let share = known.share_bytes_per_s;
        let largest = share / LARGEST_BOOKING;
        let up_bytes = up_bytes.min(largest);
        let down_bytes = known.answer_bytes().min(largest);
        let room = known.up.has_room(up_bytes, share, now_ms)
            && known.down.has_room(down_bytes, share, now_ms);
        room.then_some(Booking { link, up_bytes, down_bytes })
    }

    /// Holds what a request in progress needs.
    pub fn book(&mut self, booking: Booking) {
        let link = &mut self.links[booking.link];
        link.up.booked_bytes += booking.up_bytes;
        link.down.booked_bytes += booking.down_bytes;
    }

    /// Gives back what a request held.
    pub fn release(&mut self, booking: Booking) {
        let link = &mut self.links[booking.link];
        link.up.booked_bytes = link.up.booked_bytes.saturating_sub(booking.up_bytes);
        link.down.booked_bytes = link.down.booked_bytes.saturating_sub(booking.down_bytes);
        link.answers += 1;
        if link.answers >= MEASURED_LIMIT {
            link.answers /= 2;
            link.answer_bytes /= 2;
        }
    }

    /// Takes in how many bytes have passed since the start, each way.
    pub fn passed(&mut self, link: usize, up_bytes: u64, down_bytes: u64, now_ms: Millis) {
        let link = &mut self.links[link];
        link.up.count(up_bytes.saturating_sub(link.up.total_bytes), now_ms);
        let answered = down_bytes.saturating_sub(link.down.total_bytes);
        link.down.count(answered, now_ms);
        link.answer_bytes += answered;
        link.up.total_bytes = up_bytes;
        link.down.total_bytes = down_bytes;
    }
}

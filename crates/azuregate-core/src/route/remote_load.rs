//! What an instance knows of a group that another instance dispatches for.

use crate::{names::StartNumber, route::group::GroupLoad, time::Millis};

/// An update older than this says nothing about free slots any more.
const MAX_AGE_MS: Millis = Millis(300);
/// Taken for the time in a slot until the dispatcher has spoken.
const DEFAULT_SERVICE_MS: u32 = 20;

/// The last update of a group's dispatcher, and what was sent since.
#[derive(Clone, Copy, Debug, Default)]
pub struct RemoteLoad {
    last_update: Option<(GroupLoad, Millis)>,
    /// Handed over to this start of the dispatcher.
    sent: u64,
    /// Handed over and not finished.
    in_flight: u64,
}

impl RemoteLoad {
    /// Counts a hand-over.
    pub fn hand_over(&mut self) {
        self.sent += 1;
        self.in_flight += 1;
    }

    /// Counts the end of a hand-over; `arrived` unless it failed on the way.
    pub fn finish(&mut self, arrived: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if !arrived {
            self.sent = self.sent.saturating_sub(1);
        }
    }

    /// Takes in an update.
    pub fn update(&mut self, load: GroupLoad, now_ms: Millis) {
        let start = self.last_update.map(|(load, _)| load.start);
        // Another start counts from zero again; comparing would make it look
        // full for ever.
        if start.is_some_and(|start| start != load.start) || load.seen > self.sent {
            self.sent = load.seen;
        }
        self.last_update = Some((load, now_ms));
    }

    /// Forgets the update: another instance dispatches now.
    pub fn reset(&mut self) {
        *self = RemoteLoad { in_flight: self.in_flight, ..RemoteLoad::default() };
    }

    /// The dispatcher's start, once it has spoken.
    pub fn start(&self) -> Option<StartNumber> {
        self.last_update.map(|(load, _)| load.start)
    }

    /// How many slots are likely to be free.
    ///
    /// What was sent since the update is taken off, or all requests of the next
    /// moments would go to the group that looked idle. An old update, or none,
    /// counts for no more than `share` slots less what is in progress there.
    pub fn estimated_free(&self, slot_share: u32, now_ms: Millis) -> u64 {
        let fair_share = u64::from(slot_share).saturating_sub(self.in_flight);
        let Some((load, at_ms)) = self.last_update else {
            return fair_share;
        };
        let reported = u64::from(load.free).saturating_sub(self.unseen(&load));
        if now_ms.since(at_ms) <= MAX_AGE_MS { reported } else { reported.min(fair_share) }
    }

    /// How long another request is likely to wait there, with `slots` slots
    /// listed.
    pub fn estimated_wait_ms(&self, slots: u32) -> u64 {
        // Until the dispatcher has spoken, all slots are taken for its own
        // instance's requests but those that are in flight from here.
        let assumed = GroupLoad { slots, service_ms: DEFAULT_SERVICE_MS, ..GroupLoad::default() };
        let load = self.last_update.map_or(assumed, |(load, _)| load);
        let ahead = u64::from(load.queued) + self.unseen(&load) + 1;
        // Never less than one: it is asked only when no slot is likely free.
        let ahead = ahead.saturating_sub(u64::from(load.free)).max(1);
        ahead * u64::from(load.service_ms) / u64::from(load.slots.max(1))
    }

    /// How many requests are likely to wait there; an old update says nothing of
    /// that.
    pub fn estimated_queued(&self, now_ms: Millis) -> usize {
        let fresh = self.last_update.filter(|&(_, at_ms)| now_ms.since(at_ms) <= MAX_AGE_MS);
        fresh.map_or(0, |(load, _)| load.queued as usize + self.unseen(&load) as usize)
    }

    /// What the dispatcher had not seen when it spoke; all of it is in flight.
    fn unseen(&self, load: &GroupLoad) -> u64 {
        self.sent.saturating_sub(load.seen).min(self.in_flight)
    }
}

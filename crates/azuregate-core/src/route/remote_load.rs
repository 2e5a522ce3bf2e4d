//! The estimated load of a group that another instance dispatches for.

use crate::{names::StartNumber, route::group::GroupLoad, time::Millis};

/// Age at which an update is stale.
const MAX_AGE_MS: Millis = Millis(300);
/// Mean service time assumed before the first update.
const DEFAULT_SERVICE_MS: u32 = 20;

/// The last update from a group's dispatcher, and the requests sent since.
#[derive(Clone, Copy, Debug, Default)]
pub struct RemoteLoad {
    last_update: Option<(GroupLoad, Millis)>,
    /// Requests handed over to the current start of the dispatcher.
    sent: u64,
    /// Requests handed over and not finished.
    in_flight: u64,
}

impl RemoteLoad {
    /// Records the start of a hand-over.
    pub fn hand_over(&mut self) {
        self.sent += 1;
        self.in_flight += 1;
    }

    /// Records the end of a hand-over; `arrived` is false if it failed before
    /// the dispatcher received it.
    pub fn finish(&mut self, arrived: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if !arrived {
            self.sent = self.sent.saturating_sub(1);
        }
    }

    /// Applies an update from the dispatcher.
    pub fn update(&mut self, load: GroupLoad, now_ms: Millis) {
        let start = self.last_update.map(|(load, _)| load.start);
        // A restarted dispatcher counts from zero; comparing its count with the
        // old one would make it look full forever.
        if start.is_some_and(|start| start != load.start) || load.seen > self.sent {
            self.sent = load.seen;
        }
        self.last_update = Some((load, now_ms));
    }

    /// Discards the update, for a new dispatcher.
    pub fn reset(&mut self) {
        *self = RemoteLoad { in_flight: self.in_flight, ..RemoteLoad::default() };
    }

    /// Returns the dispatcher's start number, or `None` before its first update.
    pub fn start(&self) -> Option<StartNumber> {
        self.last_update.map(|(load, _)| load.start)
    }

    /// Returns the estimated number of free slots.
    ///
    /// Requests sent since the update are deducted; otherwise all requests until
    /// the next one would go to the group that looked idle. Without an update,
    /// or with a stale one, the estimate is at most `slot_share` less the
    /// requests in progress.
    pub fn estimated_free(&self, slot_share: u32, now_ms: Millis) -> u64 {
        let fair_share = u64::from(slot_share).saturating_sub(self.in_flight);
        let Some((load, at_ms)) = self.last_update else {
            return fair_share;
        };
        let reported = u64::from(load.free).saturating_sub(self.not_received(&load));
        if now_ms.since(at_ms) <= MAX_AGE_MS { reported } else { reported.min(fair_share) }
    }

    /// Returns the estimated waiting time of another request in milliseconds,
    /// with `slots` slots listed.
    pub fn estimated_wait_ms(&self, slots: u32) -> u64 {
        // Before the first update, all slots are assumed to be in use.
        let assumed = GroupLoad { slots, service_ms: DEFAULT_SERVICE_MS, ..GroupLoad::default() };
        let load = self.last_update.map_or(assumed, |(load, _)| load);
        let ahead = u64::from(load.queued) + self.not_received(&load) + 1;
        // At least one, since this is called only if no slot is expected free.
        let ahead = ahead.saturating_sub(u64::from(load.free)).max(1);
        ahead * u64::from(load.service_ms) / u64::from(load.slots.max(1))
    }

    /// Returns the estimated number of queued requests, or 0 if the update is
    /// stale.
    pub fn estimated_queued(&self, now_ms: Millis) -> usize {
        let fresh = self.last_update.filter(|&(_, at_ms)| now_ms.since(at_ms) <= MAX_AGE_MS);
        fresh.map_or(0, |(load, _)| load.queued as usize + self.not_received(&load) as usize)
    }

    /// Returns how many requests the dispatcher had not received when it sent
    /// `load`; all of them are still in flight.
    fn not_received(&self, load: &GroupLoad) -> u64 {
        self.sent.saturating_sub(load.seen).min(self.in_flight)
    }
}

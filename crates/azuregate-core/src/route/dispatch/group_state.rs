//! The state of one group.

use crate::{
    route::dispatch::{Group, Sender},
    time::Millis,
};

impl Group {
    /// Returns the number of free slots, or 0 if requests are queued for them.
    pub(super) fn free(&self) -> u64 {
        if self.queue.is_empty() { u64::from(self.router.capacity().free) } else { 0 }
    }

    /// Returns how long another request is expected to wait.
    pub(super) fn wait_ms(&self) -> u64 {
        if self.free() > 0 {
            return 0;
        }
        self.service_time.wait_ms(self.queue.len() + 1, self.router.capacity().total)
    }

    /// Sets the dispatcher, and discards the load that another one reported.
    pub(super) fn set_remote_peer(&mut self, peer: usize) {
        if self.remote_peer != Some(peer) {
            self.remote_peer = Some(peer);
            self.remote.reset();
        }
    }

    /// Records a request that another instance handed over.
    pub(super) fn add_request(&mut self, peer: usize, now_ms: Millis) {
        if !self.senders.iter().any(|sender| sender.peer == peer) {
            let last_request_at_ms = now_ms;
            self.senders.push(Sender {
                peer,
                received: 0,
                in_flight: 0,
                last_request_at_ms,
                last_update: None,
                last_frame_at_ms: None,
            });
        }
        for sender in self.senders.iter_mut().filter(|sender| sender.peer == peer) {
            sender.received += 1;
            sender.in_flight += 1;
            sender.last_request_at_ms = now_ms;
        }
    }

    /// Records the end of a request that another instance handed over.
    pub(super) fn remove_request(&mut self, peer: Option<usize>) {
        for sender in self.senders.iter_mut().filter(|sender| Some(sender.peer) == peer) {
            sender.in_flight = sender.in_flight.saturating_sub(1);
        }
    }
}

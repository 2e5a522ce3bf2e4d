//! What one group holds, as its dispatcher counts it.

use crate::{
    route::dispatch::{Group, Hander},
    time::Millis,
};

impl Group {
    /// Free slots that nobody waits for.
    pub(super) fn free(&self) -> u64 {
        if self.queue.is_empty() { u64::from(self.router.capacity().free) } else { 0 }
    }

    /// How long another request would wait here.
    pub(super) fn wait_ms(&self) -> u64 {
        if self.free() > 0 {
            return 0;
        }
        self.service_time.wait_ms(self.queue.len() + 1, self.router.capacity().total)
    }

    /// Another dispatcher's updates do not count for this one.
    pub(super) fn set_remote_peer(&mut self, peer: usize) {
        if self.remote_peer != Some(peer) {
            self.remote_peer = Some(peer);
            self.remote.reset();
        }
    }

    /// Counts a request that another instance handed over.
    pub(super) fn enter(&mut self, peer: usize, now_ms: Millis) {
        if !self.handers.iter().any(|hander| hander.peer == peer) {
            let heard_at_ms = now_ms;
            self.handers.push(Hander {
                peer,
                seen: 0,
                active: 0,
                heard_at_ms,
                said: None,
                framed_at_ms: None,
            });
        }
        for hander in self.handers.iter_mut().filter(|hander| hander.peer == peer) {
            hander.seen += 1;
            hander.active += 1;
            hander.heard_at_ms = now_ms;
        }
    }

    /// Counts the end of a request that another instance handed over.
    pub(super) fn leave(&mut self, peer: Option<usize>) {
        for hander in self.handers.iter_mut().filter(|hander| Some(hander.peer) == peer) {
            hander.active = hander.active.saturating_sub(1);
        }
    }
}

//! Failure detection for the instances that requests are handed over to.

use std::collections::HashMap;

use crate::{names::InstanceId, time::Millis};

/// An instance that holds requests and sends nothing for this long is considered
/// frozen. Dispatchers send an update every 200 ms while they hold requests.
const SILENCE_TIMEOUT_MS: Millis = Millis(500);
/// Ejection time after a first failure.
const BASE_EJECTION_MS: Millis = Millis(1_000);
/// Upper bound of the ejection time, which doubles with each failure.
const MAX_EJECTION_MS: Millis = Millis(8_000);
/// A longer interval between ticks means that this process was paused.
const SELF_PAUSE_MS: Millis = Millis(300);

/// The other instances, by index.
#[derive(Debug, Default)]
pub(super) struct Peers {
    peers: Vec<Peer>,
    by_id: HashMap<InstanceId, usize>,
    last_tick_at_ms: Millis,
}

#[derive(Debug)]
struct Peer {
    id: InstanceId,
    in_flight: u32,
    /// Whether it ever sent an update in a frame of its own. The silence of an
    /// instance that only responds to requests is not a failure.
    sends_frames: bool,
    /// Start of the current silence.
    last_heard_at_ms: Millis,
    /// Whether its silence has yet to be reported.
    monitored: bool,
    ejected_until_ms: Option<Millis>,
    ejection_ms: Millis,
}

impl Peers {
    /// Returns the index of an instance, adding it if it is new.
    pub(super) fn index(&mut self, id: &InstanceId) -> usize {
        if let Some(&index) = self.by_id.get(id) {
            return index;
        }
        self.peers.push(Peer {
            id: id.clone(),
            in_flight: 0,
            sends_frames: false,
            last_heard_at_ms: Millis(0),
            monitored: false,
            ejected_until_ms: None,
            ejection_ms: BASE_EJECTION_MS,
        });
        self.by_id.insert(id.clone(), self.peers.len() - 1);
        self.peers.len() - 1
    }

    pub(super) fn find(&self, id: &InstanceId) -> Option<usize> {
        self.by_id.get(id).copied()
    }

    pub(super) fn id(&self, peer: usize) -> &InstanceId {
        &self.peers[peer].id
    }

    /// Returns whether a request may be handed over to a peer.
    ///
    /// A request that is not idempotent does not probe an ejected peer: if that
    /// is still frozen, the request would wait for its whole deadline.
    pub(super) fn is_usable(&self, peer: usize, idempotent: bool, now_ms: Millis) -> bool {
        let extra_ms = if idempotent { Millis(0) } else { MAX_EJECTION_MS };
        let until_ms = self.peers[peer].ejected_until_ms;
        until_ms.is_none_or(|until_ms| until_ms + extra_ms <= now_ms)
    }

    /// Records the start of a hand-over. An ejected peer receives a single
    /// request as a probe.
    pub(super) fn start_hand_over(&mut self, peer: usize, now_ms: Millis) {
        let peer = &mut self.peers[peer];
        if peer.in_flight == 0 || !peer.monitored {
            peer.last_heard_at_ms = now_ms;
            peer.monitored = true;
        }
        peer.in_flight += 1;
        if peer.ejected_until_ms.is_some() {
            peer.eject(now_ms);
        }
    }

    /// Returns whether a peer holds requests of this instance.
    pub(super) fn has_requests(&self, peer: usize) -> bool {
        self.peers[peer].in_flight > 0
    }

    /// Records the end of a hand-over.
    pub(super) fn finish_hand_over(&mut self, peer: usize) {
        let peer = &mut self.peers[peer];
        peer.in_flight = peer.in_flight.saturating_sub(1);
    }

    /// Records an update from a peer, and ends its ejection.
    pub(super) fn record_update(&mut self, peer: usize, by_frame: bool, now_ms: Millis) {
        let peer = &mut self.peers[peer];
        peer.sends_frames |= by_frame;
        peer.last_heard_at_ms = now_ms;
        peer.monitored = true;
        peer.ejected_until_ms = None;
        peer.ejection_ms = BASE_EJECTION_MS;
    }

    /// Ejects a peer that did not respond.
    pub(super) fn record_failure(&mut self, peer: usize, now_ms: Millis) {
        self.peers[peer].eject(now_ms);
    }

    /// Ejects peers that have become silent, and returns their indexes.
    pub(super) fn tick(&mut self, now_ms: Millis) -> Vec<usize> {
        let paused = now_ms.since(self.last_tick_at_ms) > SELF_PAUSE_MS;
        self.last_tick_at_ms = now_ms;
        let mut silent = Vec::new();
        for (index, peer) in self.peers.iter_mut().enumerate() {
            // After a pause of this process all peers look silent, since their
            // updates are still unread.
            if paused {
                peer.last_heard_at_ms = now_ms;
            }
            let silence_ms = now_ms.since(peer.last_heard_at_ms);
            let waiting = peer.monitored && peer.in_flight > 0;
            if waiting && peer.sends_frames && silence_ms > SILENCE_TIMEOUT_MS {
                peer.monitored = false;
                if peer.ejected_until_ms.is_none() {
                    peer.eject(now_ms);
                }
                silent.push(index);
            }
        }
        silent
    }
}

impl Peer {
    fn eject(&mut self, now_ms: Millis) {
        self.ejected_until_ms = Some(now_ms + self.ejection_ms);
        self.ejection_ms = (self.ejection_ms + self.ejection_ms).min(MAX_EJECTION_MS);
    }
}

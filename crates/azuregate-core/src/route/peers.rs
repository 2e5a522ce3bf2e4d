//! Which other instances answer, as far as hand-overs show.

use std::collections::HashMap;

use crate::{names::InstanceId, time::Millis};

/// An instance that holds requests and says nothing for so long is taken for
/// frozen. Dispatchers speak every 200 ms to those whose requests they hold.
const SILENCE_TIMEOUT_MS: Millis = Millis(500);
/// How long an instance that did not answer is passed over, at first.
const BASE_EJECTION_MS: Millis = Millis(1_000);
/// How long it is passed over at the most.
const MAX_EJECTION_MS: Millis = Millis(8_000);
/// Ticks further apart than this mean that this process was paused itself.
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
    /// Whether it was ever heard by frames; silence means nothing of one that
    /// only ever answers.
    sends_frames: bool,
    /// Since when its silence counts.
    last_heard_at_ms: Millis,
    /// Whether its silence was not told yet.
    monitored: bool,
    ejected_until_ms: Option<Millis>,
    ejection_ms: Millis,
}

impl Peers {
    /// The index of an instance; a new one is added.
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

    /// Whether a request may be handed over to it.
    ///
    /// One that may not be sent twice does not ask whether a frozen instance is
    /// back: it would wait there for its whole deadline.
    pub(super) fn is_usable(&self, peer: usize, idempotent: bool, now_ms: Millis) -> bool {
        let extra_ms = if idempotent { Millis(0) } else { MAX_EJECTION_MS };
        let until_ms = self.peers[peer].ejected_until_ms;
        until_ms.is_none_or(|until_ms| until_ms + extra_ms <= now_ms)
    }

    /// Counts a hand-over. One that was passed over gets a single request to
    /// show that it answers again.
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

    /// Whether it holds requests of this instance.
    pub(super) fn has_requests(&self, peer: usize) -> bool {
        self.peers[peer].in_flight > 0
    }

    /// Counts the end of a hand-over.
    pub(super) fn finish_hand_over(&mut self, peer: usize) {
        let peer = &mut self.peers[peer];
        peer.in_flight = peer.in_flight.saturating_sub(1);
    }

    /// Takes in a sign of life.
    pub(super) fn record_update(&mut self, peer: usize, by_frame: bool, now_ms: Millis) {
        let peer = &mut self.peers[peer];
        peer.sends_frames |= by_frame;
        peer.last_heard_at_ms = now_ms;
        peer.monitored = true;
        peer.ejected_until_ms = None;
        peer.ejection_ms = BASE_EJECTION_MS;
    }

    /// Passes over an instance that did not answer.
    pub(super) fn record_failure(&mut self, peer: usize, now_ms: Millis) {
        self.peers[peer].eject(now_ms);
    }

    /// Passes over those that have gone silent, and returns them.
    pub(super) fn tick(&mut self, now_ms: Millis) -> Vec<usize> {
        let paused = now_ms.since(self.last_tick_at_ms) > SELF_PAUSE_MS;
        self.last_tick_at_ms = now_ms;
        let mut silent = Vec::new();
        for (index, peer) in self.peers.iter_mut().enumerate() {
            // After a pause of this process all others look silent, since what
            // they said is still unread.
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

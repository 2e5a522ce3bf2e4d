//! Which other instances answer, as far as hand-overs show.

use std::collections::HashMap;

use crate::{names::InstanceId, time::Millis};

/// An instance that holds requests and says nothing for so long is taken for
/// frozen. Dispatchers speak every 200 ms to those whose requests they hold.
const SILENT_MS: Millis = Millis(500);
/// How long an instance that did not answer is passed over, at first.
const PASS_OVER_MS: Millis = Millis(1_000);
/// How long it is passed over at the most.
const PASS_OVER_LIMIT_MS: Millis = Millis(8_000);
/// Ticks further apart than this mean that this process was paused itself.
const PAUSE_MS: Millis = Millis(300);

/// The other instances, by index.
#[derive(Debug, Default)]
pub(super) struct Peers {
    peers: Vec<Peer>,
    by_id: HashMap<InstanceId, usize>,
    ticked_at_ms: Millis,
}

#[derive(Debug)]
struct Peer {
    id: InstanceId,
    in_flight: u32,
    /// Whether it was ever heard by frames; silence means nothing of one that
    /// only ever answers.
    speaks: bool,
    /// Since when its silence counts.
    quiet_since_ms: Millis,
    /// Whether its silence was not told yet.
    watched: bool,
    passed_over_until_ms: Option<Millis>,
    pass_over_ms: Millis,
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
            speaks: false,
            quiet_since_ms: Millis(0),
            watched: false,
            passed_over_until_ms: None,
            pass_over_ms: PASS_OVER_MS,
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
    pub(super) fn usable(&self, peer: usize, idempotent: bool, now_ms: Millis) -> bool {
        let extra_ms = if idempotent { Millis(0) } else { PASS_OVER_LIMIT_MS };
        let until_ms = self.peers[peer].passed_over_until_ms;
        until_ms.is_none_or(|until_ms| until_ms + extra_ms <= now_ms)
    }

    /// Counts a hand-over. One that was passed over gets a single request to
    /// show that it answers again.
    pub(super) fn send(&mut self, peer: usize, now_ms: Millis) {
        let peer = &mut self.peers[peer];
        if peer.in_flight == 0 || !peer.watched {
            peer.quiet_since_ms = now_ms;
            peer.watched = true;
        }
        peer.in_flight += 1;
        if peer.passed_over_until_ms.is_some() {
            peer.pass_over(now_ms);
        }
    }

    /// Whether it holds requests of this instance.
    pub(super) fn holds_any(&self, peer: usize) -> bool {
        self.peers[peer].in_flight > 0
    }

    /// Counts the end of a hand-over.
    pub(super) fn finish(&mut self, peer: usize) {
        let peer = &mut self.peers[peer];
        peer.in_flight = peer.in_flight.saturating_sub(1);
    }

    /// Takes in a sign of life.
    pub(super) fn hear(&mut self, peer: usize, by_frame: bool, now_ms: Millis) {
        let peer = &mut self.peers[peer];
        peer.speaks |= by_frame;
        peer.quiet_since_ms = now_ms;
        peer.watched = true;
        peer.passed_over_until_ms = None;
        peer.pass_over_ms = PASS_OVER_MS;
    }

    /// Passes over an instance that did not answer.
    pub(super) fn fail(&mut self, peer: usize, now_ms: Millis) {
        self.peers[peer].pass_over(now_ms);
    }

    /// Passes over those that have gone silent, and returns them.
    pub(super) fn tick(&mut self, now_ms: Millis) -> Vec<usize> {
        let paused = now_ms.since(self.ticked_at_ms) > PAUSE_MS;
        self.ticked_at_ms = now_ms;
        let mut silent = Vec::new();
        for (index, peer) in self.peers.iter_mut().enumerate() {
            // After a pause of this process all others look silent, since what
            // they said is still unread.
            if paused {
                peer.quiet_since_ms = now_ms;
            }
            let quiet_ms = now_ms.since(peer.quiet_since_ms);
            let waits = peer.watched && peer.in_flight > 0;
            if waits && peer.speaks && quiet_ms > SILENT_MS {
                peer.watched = false;
                if peer.passed_over_until_ms.is_none() {
                    peer.pass_over(now_ms);
                }
                silent.push(index);
            }
        }
        silent
    }
}

impl Peer {
    fn pass_over(&mut self, now_ms: Millis) {
        self.passed_over_until_ms = Some(now_ms + self.pass_over_ms);
        self.pass_over_ms = (self.pass_over_ms + self.pass_over_ms).min(PASS_OVER_LIMIT_MS);
    }
}

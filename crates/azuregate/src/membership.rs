//! Owns what this instance believes of the others, and notices its own pauses.

use azuregate_core::{
    membership::{Heartbeat, HeartbeatTiming, Membership, READY_QUORUM},
    names::{InstanceId, StartNumber},
    neighbours,
    snapshot::{Instance, Snapshot},
    time::Millis,
};
use std::{collections::BTreeSet, sync::Arc};
use tokio::sync::{mpsc, watch};

use crate::{
    clock::SharedClock,
    config::{Change, Config, PAUSE_MS, Snapshots},
    timer::Timer,
};

/// How often beliefs are looked over.
const LOOK_MS: u64 = 250;

/// A handle to the membership's task; cheap to clone.
#[derive(Clone, Debug)]
pub struct Members {
    sender: mpsc::UnboundedSender<Message>,
    confirmed_at_ms: watch::Receiver<Option<Millis>>,
}

#[derive(Debug)]
enum Message {
    Heard(InstanceId, StartNumber, Heartbeat),
    PlatformRead,
    PlatformFailed,
}

/// What the task works with.
#[derive(Clone)]
pub struct Parts {
    /// The name of this instance.
    pub instance: InstanceId,
    /// Takes in beliefs.
    pub config: Config,
    /// The configuration in force.
    pub snapshots: Snapshots,
    /// The clock.
    pub clock: SharedClock,
    /// When to look beliefs over.
    pub timer: Timer,
}

impl Members {
    /// Starts the task; it ends when the last handle is dropped.
    pub fn start(parts: Parts) -> Members {
        let (sender, receiver) = mpsc::unbounded_channel();
        let (publish, confirmed_at_ms) = watch::channel(None);
        let task = Task {
            membership: Membership::new(&parts.instance),
            listed: Arc::from([]),
            away: BTreeSet::new(),
            looked_at_ms: parts.clock.now(),
            platform_down: false,
            publish,
            parts,
        };
        tokio::spawn(task.serve(receiver));
        Members { sender, confirmed_at_ms }
    }

    /// Passes on a neighbour's heartbeat.
    pub fn heard(&self, id: &InstanceId, start: StartNumber, heartbeat: Heartbeat) {
        self.send(Message::Heard(id.clone(), start, heartbeat));
    }

    /// Tells that all that the platform holds was read and sent to the
    /// configuration, which is ready from then on.
    pub fn platform_read(&self) {
        self.send(Message::PlatformRead);
    }

    /// Tells that the platform could not be read.
    pub fn platform_failed(&self) {
        self.send(Message::PlatformFailed);
    }

    /// When the versions in force were last known to be the platform's newest.
    pub fn confirmed_at_ms(&self) -> Option<Millis> {
        *self.confirmed_at_ms.borrow()
    }

    fn send(&self, message: Message) {
        // The task ends only after the last handle, and this is a handle.
        let _ = self.sender.send(message);
    }
}

struct Task {
    parts: Parts,
    membership: Membership,
    listed: Arc<[Instance]>,
    away: BTreeSet<InstanceId>,
    looked_at_ms: Millis,
    platform_down: bool,
    publish: watch::Sender<Option<Millis>>,
}

impl Task {
    async fn serve(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        let mut ticks = self.parts.timer.subscribe(LOOK_MS);
        loop {
            tokio::select! {
                message = receiver.recv() => {
                    let Some(message) = message else { return };
                    self.take(message);
                }
                tick = ticks.recv() => {
                    if tick.is_none() {
                        return;
                    }
                    self.look();
                }
            }
            let now_ms = self.parts.clock.now();
            let age_ms = self.membership.confirmed_age_ms(now_ms);
            self.publish.send_replace(age_ms.map(|age_ms| now_ms - Millis(age_ms)));
        }
    }

    fn take(&mut self, message: Message) {
        let now_ms = self.parts.clock.now();
        match message {
            Message::Heard(id, start, heartbeat) => {
                let digest = self.parts.snapshots.current().digest();
                self.membership.record_heartbeat(&id, start, heartbeat, digest, now_ms);
            }
            Message::PlatformRead if self.was_paused(now_ms) => {}
            Message::PlatformRead => {
                self.platform_down = false;
                self.membership.record_confirmation(now_ms);
                // In this order, or an instance that has just started would be
                // ready while it still calls itself away.
                self.tell_away(now_ms);
                self.parts.config.change(Change::Confirmed);
            }
            Message::PlatformFailed => self.platform_down = true,
        }
    }

    fn look(&mut self) {
        let now_ms = self.parts.clock.now();
        if self.was_paused(now_ms) {
            // Whatever was decided meanwhile is not known here yet.
            log::warn!(paused_ms = now_ms.since(self.looked_at_ms).0; "process was paused");
            self.membership.reset_after_pause(now_ms);
            self.parts.config.change(Change::Woken);
        }
        self.looked_at_ms = now_ms;
        self.parts.config.change(Change::Beat(now_ms.0));
        let snapshot = self.parts.snapshots.current();
        self.watch(&snapshot, now_ms);
        self.tell_away(now_ms);
        self.get_ready(&snapshot, now_ms);
    }

    fn was_paused(&self, now_ms: Millis) -> bool {
        now_ms.since(self.looked_at_ms).0 > PAUSE_MS
    }

    fn tell_away(&mut self, now_ms: Millis) {
        let away = self.membership.unavailable(now_ms);
        if away != self.away {
            self.away = away.clone();
            self.parts.config.change(Change::Away(away));
        }
    }

    fn watch(&mut self, snapshot: &Snapshot, now_ms: Millis) {
        if !Arc::ptr_eq(&self.listed, &snapshot.listed) {
            self.listed = Arc::clone(&snapshot.listed);
            let neighbours = neighbours::neighbours(&self.parts.instance, &self.listed);
            self.membership.set_neighbours(&neighbours, now_ms);
            self.membership
                .set_heartbeat_timing(HeartbeatTiming::for_deployment(self.listed.len()));
        }
        self.membership.set_confirmation_timeout_ms(snapshot.confirmation_timeout_ms());
        for (instance, start) in &snapshot.stopping {
            self.membership.record_stopping(instance, *start);
        }
    }

    /// With the platform down, the word of several peers is enough to serve:
    /// no change can be made that they do not know of.
    fn get_ready(&self, snapshot: &Snapshot, now_ms: Millis) {
        let needed = READY_QUORUM.min(self.listed.len().saturating_sub(1)).max(1);
        let agreeing = self.membership.agreeing_peers(now_ms);
        if self.platform_down && !snapshot.ready && agreeing >= needed {
            self.parts.config.change(Change::ConfirmedByPeers(agreeing));
        }
    }
}

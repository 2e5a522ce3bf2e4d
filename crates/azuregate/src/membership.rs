//! Tracks which other instances are available, and detects pauses of this process.

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
    config::{Change, Config, PAUSE_THRESHOLD_MS, Snapshots},
    timer::Timer,
};

const CHECK_INTERVAL_MS: u64 = 250;

/// A handle to the membership task; cheap to clone.
#[derive(Clone, Debug)]
pub struct Members {
    sender: mpsc::UnboundedSender<Message>,
    confirmed_at_ms: watch::Receiver<Option<Millis>>,
}

#[derive(Debug)]
enum Message {
    Heartbeat(InstanceId, StartNumber, Heartbeat),
    PlatformRead,
    PlatformReadFailed,
}

/// The dependencies of the membership task.
#[derive(Clone)]
pub struct Parts {
    /// The ID of this instance.
    pub instance: InstanceId,
    /// Receives changes of availability and readiness.
    pub config: Config,
    /// The configuration in force.
    pub snapshots: Snapshots,
    /// Measures the age of heartbeats, and pauses.
    pub clock: SharedClock,
    /// Starts the periodic checks.
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
            unavailable: BTreeSet::new(),
            last_check_at_ms: parts.clock.now(),
            platform_down: false,
            publish,
            parts,
        };
        tokio::spawn(task.serve(receiver));
        Members { sender, confirmed_at_ms }
    }

    /// Records a heartbeat of a neighbour.
    pub fn heartbeat_received(&self, id: &InstanceId, start: StartNumber, heartbeat: Heartbeat) {
        self.send(Message::Heartbeat(id.clone(), start, heartbeat));
    }

    /// Records that the platform's newest state was read and sent to the
    /// configuration, which makes this instance ready.
    pub fn platform_read(&self) {
        self.send(Message::PlatformRead);
    }

    /// Records that a read of the platform failed.
    pub fn platform_read_failed(&self) {
        self.send(Message::PlatformReadFailed);
    }

    /// Returns when the versions in force were last confirmed as the platform's
    /// newest.
    pub fn confirmed_at_ms(&self) -> Option<Millis> {
        *self.confirmed_at_ms.borrow()
    }

    fn send(&self, message: Message) {
        // The task runs as long as any handle exists, so sending cannot fail.
        let _ = self.sender.send(message);
    }
}

struct Task {
    parts: Parts,
    membership: Membership,
    listed: Arc<[Instance]>,
    unavailable: BTreeSet<InstanceId>,
    last_check_at_ms: Millis,
    platform_down: bool,
    publish: watch::Sender<Option<Millis>>,
}

impl Task {
    async fn serve(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        let mut ticks = self.parts.timer.subscribe(CHECK_INTERVAL_MS);
        loop {
            tokio::select! {
                message = receiver.recv() => {
                    let Some(message) = message else { return };
                    self.handle_message(message);
                }
                tick = ticks.recv() => {
                    if tick.is_none() {
                        return;
                    }
                    self.check();
                }
            }
            let now_ms = self.parts.clock.now();
            let age_ms = self.membership.confirmed_age_ms(now_ms);
            self.publish.send_replace(age_ms.map(|age_ms| now_ms - Millis(age_ms)));
        }
    }

    fn handle_message(&mut self, message: Message) {
        let now_ms = self.parts.clock.now();
        match message {
            Message::Heartbeat(id, start, heartbeat) => {
                let digest = self.parts.snapshots.current().digest();
                self.membership.record_heartbeat(&id, start, heartbeat, digest, now_ms);
            }
            Message::PlatformRead if self.was_paused(now_ms) => {}
            Message::PlatformRead => {
                self.platform_down = false;
                self.membership.record_confirmation(now_ms);
                // In this order: otherwise an instance that has just started would
                // be ready while its own snapshot still lists it as
                // unavailable.
                self.publish_unavailable(now_ms);
                self.parts.config.change(Change::Confirmed);
            }
            Message::PlatformReadFailed => self.platform_down = true,
        }
    }

    fn check(&mut self) {
        let now_ms = self.parts.clock.now();
        if self.was_paused(now_ms) {
            // Changes made during the pause have not arrived here.
            log::warn!(paused_ms = now_ms.since(self.last_check_at_ms).0; "process was paused");
            self.membership.reset_after_pause(now_ms);
            self.parts.config.change(Change::PauseDetected);
        }
        self.last_check_at_ms = now_ms;
        self.parts.config.change(Change::WatchdogTick(now_ms.0));
        let snapshot = self.parts.snapshots.current();
        self.update_neighbours(&snapshot, now_ms);
        self.publish_unavailable(now_ms);
        self.confirm_by_peers(&snapshot, now_ms);
    }

    fn was_paused(&self, now_ms: Millis) -> bool {
        now_ms.since(self.last_check_at_ms).0 > PAUSE_THRESHOLD_MS
    }

    fn publish_unavailable(&mut self, now_ms: Millis) {
        let unavailable = self.membership.unavailable(now_ms);
        if unavailable != self.unavailable {
            self.unavailable = unavailable.clone();
            self.parts.config.change(Change::Unavailable(unavailable));
        }
    }

    fn update_neighbours(&mut self, snapshot: &Snapshot, now_ms: Millis) {
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

    /// Makes this instance ready if the platform is down and enough peers serve the
    /// same versions. This is safe: while the platform is down, no change can be
    /// committed that those peers do not know.
    fn confirm_by_peers(&self, snapshot: &Snapshot, now_ms: Millis) {
        let required_peers = READY_QUORUM.min(self.listed.len().saturating_sub(1)).max(1);
        let agreeing_peers = self.membership.agreeing_peers(now_ms);
        if self.platform_down && !snapshot.ready && agreeing_peers >= required_peers {
            self.parts.config.change(Change::ConfirmedByPeers(agreeing_peers));
        }
    }
}

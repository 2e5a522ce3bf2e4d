//! The slots of one service's backend servers, owned by one task.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use azuregate_core::{
    error::{Error, ErrorKind},
    names::{BackendId, ServiceName, StartNumber, ZoneName},
    route::{Ending, LoadReport, Place, RouteServer, Router},
    snapshot::Snapshot,
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time,
};

use crate::{clock::SharedClock, config::Snapshots};

/// How many requests wait for each slot at the most.
const WAITING_PER_SLOT: usize = 4;

/// A handle to a selector's task; cheap to clone.
#[derive(Clone, Debug)]
pub struct Selector {
    sender: mpsc::UnboundedSender<Message>,
}

/// A slot of a backend server; given back when dropped.
#[derive(Debug)]
pub struct Lease {
    /// The server.
    pub backend: BackendId,
    /// Its start number when it was chosen.
    pub start: StartNumber,
    /// Where it takes requests.
    pub addr: SocketAddr,
    key: usize,
    ending: Ending,
    sender: mpsc::UnboundedSender<Message>,
}

impl Lease {
    /// Records how the request ended; the slot goes back when the lease is
    /// dropped.
    pub fn set_ending(&mut self, ending: Ending) {
        self.ending = ending;
    }

    /// Passes on what the server said of its load.
    pub fn report(&self, report: LoadReport) {
        let _ = self.sender.send(Message::Report { key: self.key, report });
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        // The selector is gone only when the instance is.
        let _ = self.sender.send(Message::Finish { key: self.key, ending: self.ending });
    }
}

#[derive(Debug)]
enum Message {
    Acquire { reply: oneshot::Sender<Result<Lease, Error>> },
    Finish { key: usize, ending: Ending },
    Report { key: usize, report: LoadReport },
}

struct Task {
    service: ServiceName,
    zone: ZoneName,
    clock: SharedClock,
    router: Box<dyn Router>,
    rng: fastrand::Rng,
    servers: Vec<RouteServer>,
    waiting: VecDeque<oneshot::Sender<Result<Lease, Error>>>,
    sender: mpsc::WeakUnboundedSender<Message>,
}

impl Selector {
    /// Starts a selector for `service`; it ends when the last handle is dropped.
    pub fn start(
        service: &ServiceName,
        zone: &ZoneName,
        clock: SharedClock,
        router: Box<dyn Router>,
        snapshots: Snapshots,
    ) -> Selector {
        let (sender, receiver) = mpsc::unbounded_channel();
        let task = Task {
            service: service.clone(),
            zone: zone.clone(),
            clock,
            router,
            rng: fastrand::Rng::new(),
            servers: Vec::new(),
            waiting: VecDeque::new(),
            sender: sender.downgrade(),
        };
        tokio::spawn(task.serve(receiver, snapshots.watch()));
        Selector { sender }
    }

    /// Takes a slot, waiting for one at most `wait_ms`.
    ///
    /// # Errors
    ///
    /// All mean that nothing was sent: no server may serve, the queue is full,
    /// or the wait was too long.
    pub async fn acquire(&self, wait_ms: u64) -> Result<Lease, Error> {
        let (reply, answer) = oneshot::channel();
        let gone = || Error::new(ErrorKind::Stopping, "the instance is stopping");
        self.sender.send(Message::Acquire { reply }).map_err(|_| gone())?;
        let Ok(answer) = time::timeout(Duration::from_millis(wait_ms), answer).await else {
            return Err(Error::new(ErrorKind::TooLate, format!("no slot within {wait_ms} ms")));
        };
        answer.map_err(|_| gone())?
    }
}

impl Task {
    async fn serve(
        mut self,
        mut receiver: mpsc::UnboundedReceiver<Message>,
        mut snapshots: watch::Receiver<std::sync::Arc<Snapshot>>,
    ) {
        self.set_servers(&snapshots.borrow_and_update().clone());
        loop {
            tokio::select! {
                message = receiver.recv() => {
                    let Some(message) = message else { return };
                    self.take(message);
                }
                changed = snapshots.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let snapshot = snapshots.borrow_and_update().clone();
                    self.set_servers(&snapshot);
                    self.serve_waiting();
                }
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Acquire { reply } => self.acquire(reply),
            Message::Finish { key, ending } => {
                self.router.finish(key, ending, self.clock.now());
                self.serve_waiting();
            }
            Message::Report { key, report } => self.router.report(key, report),
        }
    }

    fn set_servers(&mut self, snapshot: &Snapshot) {
        self.servers = snapshot.route_servers(&self.service);
        let place = Place { topology: &snapshot.topology, zone: &self.zone };
        self.router.set_servers(place, &self.servers);
    }

    fn acquire(&mut self, reply: oneshot::Sender<Result<Lease, Error>>) {
        let open_slots: u32 = self.servers.iter().filter(|s| s.open).map(|s| s.server.slots).sum();
        if open_slots == 0 {
            let detail = format!("no backend server of {} takes new work", self.service);
            let _ = reply.send(Err(Error::new(ErrorKind::NoBackend, detail)));
            return;
        }
        self.waiting.retain(|waiting| !waiting.is_closed());
        if self.waiting.len() >= open_slots as usize * WAITING_PER_SLOT {
            let detail = format!("{} requests wait for {}", self.waiting.len(), self.service);
            let _ = reply.send(Err(Error::new(ErrorKind::QueueFull, detail)));
            return;
        }
        self.waiting.push_back(reply);
        self.serve_waiting();
    }

    fn serve_waiting(&mut self) {
        while let Some(reply) = self.waiting.pop_front() {
            if reply.is_closed() {
                continue;
            }
            let Some(lease) = self.choose() else {
                self.waiting.push_front(reply);
                return;
            };
            // A caller that left meanwhile drops the lease, which gives it back.
            let _ = reply.send(Ok(lease));
        }
    }

    fn choose(&mut self) -> Option<Lease> {
        let sender = self.sender.upgrade()?;
        let key = self.router.choose(self.clock.now(), &mut self.rng)?;
        let id = self.router.id(key);
        let server = self.servers.iter().find(|server| server.server.id == *id)?;
        Some(Lease {
            backend: id.clone(),
            start: server.server.start,
            addr: server.server.addr,
            key,
            ending: Ending::Abandoned,
            sender,
        })
    }
}

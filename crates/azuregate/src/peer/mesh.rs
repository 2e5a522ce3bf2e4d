//! Keeps a link to each neighbour.

use std::collections::BTreeMap;

use azuregate_core::{
    names::{InstanceId, StartNumber},
    snapshot::Instance,
};
use tokio::{net::TcpListener, task::JoinHandle};

use crate::{
    config::{Config, Snapshots},
    dispatch::Exchange,
    peer::{
        PeerLink, WsLink,
        link::{self, LinkParts},
    },
    timer::Timer,
};

/// How often broken links are opened again.
const DIAL_MS: u64 = 500;
/// How often neighbours compare versions.
const DIGEST_MS: u64 = 2_000;

/// Opens and takes links.
pub struct Mesh {
    /// The name of this instance.
    pub instance: InstanceId,
    /// Its start number.
    pub start: StartNumber,
    /// Takes in what neighbours send.
    pub config: Config,
    /// What is sent to neighbours.
    pub snapshots: Snapshots,
    /// Loads of groups, to and from neighbours.
    pub exchange: Exchange,
    /// When to dial and to compare.
    pub timer: Timer,
}

impl Mesh {
    /// Serves until the task is aborted.
    pub async fn serve(self, listener: TcpListener) {
        let mut dials = self.timer.subscribe(DIAL_MS);
        let mut links: BTreeMap<InstanceId, JoinHandle<()>> = BTreeMap::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let parts = self.link_parts();
                    tokio::spawn(async move {
                        match WsLink::accept(stream).await {
                            Ok(link) => run(Box::new(link), parts).await,
                            Err(e) => log::debug!(error:% = e; "peer not taken"),
                        }
                    });
                }
                tick = dials.recv() => {
                    if tick.is_none() {
                        return;
                    }
                    self.dial_missing(&mut links);
                }
            }
        }
    }

    /// Dials the neighbours that come later in the order of names, so that two
    /// instances do not dial each other.
    fn dial_missing(&self, links: &mut BTreeMap<InstanceId, JoinHandle<()>>) {
        links.retain(|_, link| !link.is_finished());
        let snapshot = self.snapshots.current();
        let later = |instance: &&Instance| instance.id > self.instance;
        for neighbour in snapshot.instances.iter().filter(later) {
            if links.contains_key(&neighbour.id) {
                continue;
            }
            let addr = neighbour.peer_addr();
            let parts = self.link_parts();
            let task = tokio::spawn(async move {
                match WsLink::dial(addr).await {
                    Ok(link) => run(Box::new(link), parts).await,
                    Err(e) => log::debug!(addr:% = addr, error:% = e; "peer not reached"),
                }
            });
            links.insert(neighbour.id.clone(), task);
        }
    }

    fn link_parts(&self) -> LinkParts {
        LinkParts {
            instance: self.instance.clone(),
            start: self.start,
            config: self.config.clone(),
            snapshots: self.snapshots.clone(),
            exchange: self.exchange.clone(),
            digests: self.timer.subscribe(DIGEST_MS),
        }
    }
}

async fn run(link: Box<dyn PeerLink>, parts: LinkParts) {
    if let Err(e) = link::serve(link, parts).await {
        log::info!(error:% = e; "peer link ended");
    }
}

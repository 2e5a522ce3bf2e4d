//! One link: sends what the neighbour does not have, takes in what it sends.

use std::collections::{BTreeMap, BTreeSet};

use azuregate_core::{
    names::{BackendId, InstanceId, ServiceName, StartNumber},
    snapshot::Snapshot,
};
use tokio::sync::mpsc;

use crate::{
    config::{Change, Config, Snapshots, Source},
    dispatch::{Exchange, Word},
    peer::{Frame, LinkError, PeerLink},
    timer::Tick,
};

/// What a link works with.
pub(crate) struct LinkParts {
    pub(crate) instance: InstanceId,
    pub(crate) start: StartNumber,
    pub(crate) config: Config,
    pub(crate) snapshots: Snapshots,
    /// Loads of groups, to and from the neighbour.
    pub(crate) exchange: Exchange,
    /// When to send a digest.
    pub(crate) digests: mpsc::Receiver<Tick>,
}

/// What the neighbour is known to have.
#[derive(Default)]
struct Known {
    neighbour: Option<InstanceId>,
    versions: BTreeMap<ServiceName, u64>,
    leaving: BTreeSet<(BackendId, StartNumber)>,
}

/// Serves a link until it breaks or closes.
pub(crate) async fn serve(
    mut link: Box<dyn PeerLink>,
    mut parts: LinkParts,
) -> Result<(), LinkError> {
    let hello = Frame::Hello { instance: parts.instance.clone(), start: parts.start };
    link.send(&hello).await?;
    let mut snapshots = parts.snapshots.watch();
    let mut known = Known::default();
    let mut words = parts.exchange.outgoing();
    let first = snapshots.borrow_and_update().clone();
    link.send(&digest(&first)).await?;
    loop {
        tokio::select! {
            frame = link.recv() => {
                let Some(frame) = frame? else { return Ok(()) };
                let wants = take(frame, &mut known, &parts);
                if wants {
                    let snapshot = parts.snapshots.current();
                    send_missing(link.as_mut(), &snapshot, &mut known).await?;
                }
            }
            changed = snapshots.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
                let snapshot = snapshots.borrow_and_update().clone();
                send_missing(link.as_mut(), &snapshot, &mut known).await?;
            }
            word = words.recv() => {
                let Some(word) = word else { return Ok(()) };
                if known.neighbour.as_ref() == Some(&word.peer) {
                    let Word { service, group, load, .. } = word;
                    link.send(&Frame::Load { service, group, load }).await?;
                }
            }
            tick = parts.digests.recv() => {
                if tick.is_none() {
                    return Ok(());
                }
                link.send(&digest(&parts.snapshots.current())).await?;
            }
        }
    }
}

/// Takes in a frame; returns whether the neighbour may lack something.
fn take(frame: Frame, known: &mut Known, parts: &LinkParts) -> bool {
    match frame {
        Frame::Hello { instance, start } => {
            log::info!(peer:% = instance, start:% = start; "peer link open");
            known.neighbour = Some(instance);
            false
        }
        Frame::Digest { versions } => {
            known.versions = versions;
            true
        }
        Frame::Policy(policy) => {
            let version = known.versions.entry(policy.service.clone()).or_default();
            *version = policy.version.max(*version);
            parts.config.change(Change::Policy(policy, Source::Peer));
            false
        }
        Frame::Leaving { backend, start } => {
            known.leaving.insert((backend.clone(), start));
            parts.config.change(Change::Leaving(backend, start, Source::Peer));
            false
        }
        Frame::Load { service, group, load } => {
            if let Some(peer) = known.neighbour.clone() {
                parts.exchange.heard(Word { peer, service, group, load });
            }
            false
        }
    }
}

async fn send_missing(
    link: &mut dyn PeerLink,
    snapshot: &Snapshot,
    known: &mut Known,
) -> Result<(), LinkError> {
    for policy in snapshot.policies.values() {
        let version = known.versions.entry(policy.service.clone()).or_default();
        if policy.version > *version {
            *version = policy.version;
            link.send(&Frame::Policy(Box::new(azuregate_core::policy::Policy::clone(policy))))
                .await?;
        }
    }
    for (backend, start) in &snapshot.leaving {
        if known.leaving.insert((backend.clone(), *start)) {
            link.send(&Frame::Leaving { backend: backend.clone(), start: *start }).await?;
        }
    }
    Ok(())
}

fn digest(snapshot: &Snapshot) -> Frame {
    let versions = snapshot.policies.values().map(|p| (p.service.clone(), p.version)).collect();
    Frame::Digest { versions }
}

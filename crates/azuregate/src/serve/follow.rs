//! Follows the instances that watch the store, and decides when to watch it here.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use azuregate_core::{
    balance::{Member, ReplicationSource},
    names::InstanceId,
    replica::{SourceReport, Table},
};
use bytes::BytesMut;
use tokio::{sync::oneshot, task::spawn_local, time};

use super::{
    encoded::{ChangeSet, Encoded},
    metrics::count,
    relay::{Follow, LIMITS, PATH, Update},
    state::State,
};
use crate::peer::{LinkError, socket::CborSocket};

/// How often it is decided anew whom to follow, and whether that is enough. A part
/// of the time that is left when a source is lost.
const DECIDE_EVERY_MS: u64 = 200;
/// The pause before a lost source is tried again: one heartbeat, which may tell that
/// it has left.
const RETRY_MS: u64 = 500;

/// Instances that are followed; dropping one ends its task.
type Followed = BTreeMap<InstanceId, (Member, oneshot::Sender<()>)>;

/// Decides until the process ends.
pub(super) async fn serve(state: Rc<State>) {
    let mut ticks = state.timer.subscribe(DECIDE_EVERY_MS);
    let mut followed = Followed::new();
    while ticks.recv().await.is_some() {
        state.check_contact();
        decide(&state, &mut followed);
    }
}

fn decide(state: &Rc<State>, followed: &mut Followed) {
    let now_ms = state.now_ms();
    let sources = state.members.borrow().replication_source(now_ms);
    match &sources {
        ReplicationSource::Instances(wanted) => follow_these(state, followed, wanted),
        // The sources so far are followed until the own watch has taken over.
        ReplicationSource::Store if state.contact.borrow().has_fresh_direct_watch(now_ms) => {
            followed.clear()
        }
        ReplicationSource::Store => {}
    }
    let is_chosen = sources == ReplicationSource::Store;
    let has_source = !state.contact.borrow().needs_direct_watch(now_ms);
    state.watches_for_others.set(is_chosen);
    let is_watching = state.watches_for_others.get() || !has_source;
    let has_changed = state.is_watching.send_if_modified(|now| {
        let has_changed = *now != is_watching;
        *now = is_watching;
        has_changed
    });
    if has_changed {
        let followers = state.followers.get();
        log::info!(watching = is_watching, chosen = is_chosen, followers = followers, has_source = has_source; "watch of the store");
    }
}

fn follow_these(state: &Rc<State>, followed: &mut Followed, wanted: &[Member]) {
    followed.retain(|_, (member, _)| wanted.contains(member));
    for member in wanted {
        if !followed.contains_key(&member.instance) {
            let (ends, ended) = oneshot::channel();
            spawn_local(follow(Rc::clone(state), member.clone(), ended));
            followed.insert(member.instance.clone(), (member.clone(), ends));
        }
    }
}

/// Follows one instance until `ended` closes.
async fn follow(state: Rc<State>, source: Member, mut ended: oneshot::Receiver<()>) {
    loop {
        let lost = tokio::select! {
            lost = follow_once(&state, &source) => lost,
            _ = &mut ended => break,
        };
        let error = lost.err().unwrap_or_else(|| LinkError::new("closed"));
        count(&state.metrics.changes.sources_lost, 1);
        log::info!(source:% = source.instance, error:% = error; "source lost");
        state.contact.borrow_mut().remove_source(&source.instance);
        tokio::select! {
            () = time::sleep(Duration::from_millis(RETRY_MS)) => {}
            _ = &mut ended => break,
        }
    }
    state.contact.borrow_mut().remove_source(&source.instance);
}

async fn follow_once(state: &State, source: &Member) -> Result<(), LinkError> {
    let addr = SocketAddr::new(source.ip, state.settings.peer_port);
    let mut socket = CborSocket::dial(state.settings.ip, addr, PATH, LIMITS).await?;
    log::info!(source:% = source.instance; "follows");
    loop {
        let requested_at_ms = state.now_ms();
        let version = |table| (table, state.tables.borrow().get(table).version());
        socket.send(&Follow { versions: Table::ALL.map(version).into() }).await?;
        let Some(update) = in_time(state, socket.recv::<Update>()).await? else { return Ok(()) };
        let Some(changes) = receive_changes(state, &mut socket, &update).await? else {
            return Ok(());
        };
        apply(state, &source.instance, &update, requested_at_ms, changes);
    }
}

/// The changes that `update` announces; `None` when the source has left.
async fn receive_changes(
    state: &State,
    socket: &mut CborSocket,
    update: &Update,
) -> Result<Option<ChangeSet>, LinkError> {
    if update.changes_bytes == 0 {
        return Ok(Some(Vec::new()));
    }
    let mut bytes = BytesMut::new();
    while bytes.len() < update.changes_bytes {
        let Some(chunk) = in_time(state, socket.recv_bytes()).await? else { return Ok(None) };
        bytes.extend_from_slice(&chunk);
    }
    Encoded { coding: update.coding, bytes: bytes.freeze() }.decode().map(Some)
}

/// Waits for a frame for as long as a source may be silent.
async fn in_time<T>(
    state: &State,
    frame: impl Future<Output = Result<T, LinkError>>,
) -> Result<T, LinkError> {
    let silence = Duration::from_millis(state.contact.borrow().staleness_limit_ms());
    time::timeout(silence, frame).await.unwrap_or_else(|_| Err(LinkError::new("silent")))
}

fn apply(
    state: &State,
    source: &InstanceId,
    update: &Update,
    requested_at_ms: u64,
    changes: ChangeSet,
) {
    let held_ms = update.held_ms;
    let report = update.age_ms.map(|age_ms| SourceReport { requested_at_ms, held_ms, age_ms });
    state.contact.borrow_mut().record_report(source, report);
    // Before the rows: whether a missing row ran out depends on it.
    state.check_contact();
    for (table, changes) in changes {
        state.take(table, changes);
    }
    state.changed.send_replace(());
}

//! Replicates table changes from other instances, and decides whether this instance
//! must watch the store itself.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use azuregate_core::{
    balance::{Member, ReplicationSource},
    names::InstanceId,
    replica::{SourceReport, Table},
};
use bytes::BytesMut;
use tokio::{sync::oneshot, task::spawn_local, time};

use super::{
    encoding::{ChangeSet, EncodedChanges},
    metrics::inc_by,
    relay::{CHANGES_PATH, ChangesRequest, ChangesResponse, SOCKET_LIMITS},
    state::State,
};
use crate::peer::{LinkError, socket::CborSocket};

/// A part of the time that is left to watch the store when a source is lost.
const SOURCE_SELECTION_INTERVAL_MS: u64 = 200;
/// One heartbeat interval, within which the other instances learn if the source has shut
/// down.
const RECONNECT_DELAY_MS: u64 = 500;

/// The followed instances. Dropping a sender stops the task that follows its instance.
type ActiveSources = BTreeMap<InstanceId, (Member, oneshot::Sender<()>)>;

/// Selects the sources to follow until the process ends.
pub(super) async fn serve(state: Rc<State>) {
    let mut ticks = state.timer.subscribe(SOURCE_SELECTION_INTERVAL_MS);
    let mut active = ActiveSources::new();
    while ticks.recv().await.is_some() {
        state.update_store_contact();
        update_sources(&state, &mut active);
    }
}

fn update_sources(state: &Rc<State>, active: &mut ActiveSources) {
    let now_ms = state.now_ms();
    let sources = state.members.borrow().replication_source(now_ms);
    match &sources {
        ReplicationSource::Instances(wanted) => reconcile_sources(state, active, wanted),
        // Keep the previous sources until this instance's own watch has taken over.
        ReplicationSource::Store if state.contact.borrow().has_fresh_direct_watch(now_ms) => {
            active.clear()
        }
        ReplicationSource::Store => {}
    }
    let is_designated_watcher = sources == ReplicationSource::Store;
    let has_source = !state.contact.borrow().needs_direct_watch(now_ms);
    state.is_designated_watcher.set(is_designated_watcher);
    let is_watching = state.is_designated_watcher.get() || !has_source;
    let has_changed = state.is_watching.send_if_modified(|now| {
        let has_changed = *now != is_watching;
        *now = is_watching;
        has_changed
    });
    if has_changed {
        let followers = state.followers.get();
        log::info!(watching = is_watching, chosen = is_designated_watcher, followers = followers, has_source = has_source; "store watch changed");
    }
}

fn reconcile_sources(state: &Rc<State>, active: &mut ActiveSources, wanted: &[Member]) {
    active.retain(|_, (member, _)| wanted.contains(member));
    for member in wanted {
        if !active.contains_key(&member.instance) {
            let (stop, stopped) = oneshot::channel();
            spawn_local(follow(Rc::clone(state), member.clone(), stopped));
            active.insert(member.instance.clone(), (member.clone(), stop));
        }
    }
}

/// Follows one instance until `stopped` closes, reconnecting after failures.
async fn follow(state: Rc<State>, source: Member, mut stopped: oneshot::Receiver<()>) {
    loop {
        let lost = tokio::select! {
            lost = follow_until_lost(&state, &source) => lost,
            _ = &mut stopped => break,
        };
        let error = lost.err().unwrap_or_else(|| LinkError::new("closed"));
        inc_by(&state.metrics.changes.sources_lost, 1);
        log::info!(source:% = source.instance, error:% = error; "connection to source lost");
        state.contact.borrow_mut().remove_source(&source.instance);
        tokio::select! {
            () = time::sleep(Duration::from_millis(RECONNECT_DELAY_MS)) => {}
            _ = &mut stopped => break,
        }
    }
    state.contact.borrow_mut().remove_source(&source.instance);
}

async fn follow_until_lost(state: &State, source: &Member) -> Result<(), LinkError> {
    let addr = SocketAddr::new(source.ip, state.settings.peer_port);
    let mut socket = CborSocket::dial(state.settings.ip, addr, CHANGES_PATH, SOCKET_LIMITS).await?;
    log::info!(source:% = source.instance; "follows");
    loop {
        let requested_at_ms = state.now_ms();
        let version = |table| (table, state.tables.borrow().get(table).version());
        socket.send(&ChangesRequest { versions: Table::ALL.map(version).into() }).await?;
        let Some(response) = with_silence_timeout(state, socket.recv::<ChangesResponse>()).await?
        else {
            return Ok(());
        };
        let Some(changes) = receive_changes(state, &mut socket, &response).await? else {
            return Ok(());
        };
        apply_changes(state, &source.instance, &response, requested_at_ms, changes);
    }
}

/// Receives the changes that `response` announces. Returns `None` if the source closed
/// the connection.
async fn receive_changes(
    state: &State,
    socket: &mut CborSocket,
    response: &ChangesResponse,
) -> Result<Option<ChangeSet>, LinkError> {
    if response.changes_bytes == 0 {
        return Ok(Some(Vec::new()));
    }
    let mut bytes = BytesMut::new();
    while bytes.len() < response.changes_bytes {
        let Some(chunk) = with_silence_timeout(state, socket.recv_bytes()).await? else {
            return Ok(None);
        };
        bytes.extend_from_slice(&chunk);
    }
    EncodedChanges { coding: response.coding, bytes: bytes.freeze() }.decode().map(Some)
}

/// Waits for a frame until the source counts as lost.
async fn with_silence_timeout<T>(
    state: &State,
    frame: impl Future<Output = Result<T, LinkError>>,
) -> Result<T, LinkError> {
    let silence_timeout = Duration::from_millis(state.contact.borrow().staleness_limit_ms());
    time::timeout(silence_timeout, frame).await.unwrap_or_else(|_| Err(LinkError::new("silent")))
}

fn apply_changes(
    state: &State,
    source: &InstanceId,
    response: &ChangesResponse,
    requested_at_ms: u64,
    changes: ChangeSet,
) {
    let held_ms = response.held_ms;
    let report = response.age_ms.map(|age_ms| SourceReport { requested_at_ms, held_ms, age_ms });
    state.contact.borrow_mut().record_report(source, report);
    // Must precede the changes: contact with the store determines whether a missing row
    // counts as expired or as removed.
    state.update_store_contact();
    for (table, changes) in changes {
        state.apply_changes(table, changes);
    }
    state.tables_changed.send_replace(());
}

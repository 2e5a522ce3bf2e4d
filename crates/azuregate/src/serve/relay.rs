//! Passes the store's changes on to the instances that follow this one.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use azuregate_core::replica::Table;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::{self, Instant},
};

use super::{
    encoded::{Coding, Encoded, Span},
    metrics::count,
    state::State,
};
use crate::{
    accept,
    peer::{
        LinkError,
        socket::{CborSocket, SocketLimits},
    },
};

/// Where followers connect to.
pub(super) const PATH: &str = "/v1/changes";
/// Opening takes two ways there and back.
pub(super) const LIMITS: SocketLimits =
    SocketLimits { max_frame_bytes: 1 << 20, handshake_timeout_ms: 700 };
/// Time between two updates if nothing changes: three fit into the time after which
/// followers take a source for lost.
const UPDATE_EVERY_MS: u64 = 400;
/// How much newer the sender's knowledge must be to be told at once. Ages add up along
/// the way, and would exceed what followers rely on if each had to wait for a tick.
const NEWER_MS: u64 = 200;
/// Bytes of changes that go into one frame. The time limits of both sides hold for a
/// frame, so that a large set on a slow link is not broken off while it moves.
const CHUNK_BYTES: usize = 16 << 10;
/// How long a frame may take to be sent. A follower that is frozen takes nothing.
const SEND_MS: u64 = 2_000;
/// How long a follower may take to ask again: its time to take in a set.
const ASK_MS: u64 = 5_000;

/// What a follower asks, again after each update. It has one update under way at the
/// most, so that none waits behind others on a slow link.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Follow {
    /// The versions up to which it has the tables.
    pub(super) versions: BTreeMap<Table, u64>,
}

/// What followers are told. The changes that it announces follow in frames of bytes.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Update {
    /// How long the question was held back, since there was nothing to tell.
    pub(super) held_ms: u64,
    /// How old the sender's knowledge is; `None` if it has none.
    pub(super) age_ms: Option<u64>,
    /// How the changes are written.
    pub(super) coding: Coding,
    /// The length of the changes; 0 if there are none.
    pub(super) changes_bytes: usize,
}

/// Takes followers until the process ends.
pub(super) async fn serve(state: Rc<State>, listener: TcpListener) {
    loop {
        let (stream, _) = accept::next(&listener).await;
        let state = Rc::clone(&state);
        spawn_local(async move {
            if let Err(e) = serve_follower(&state, stream).await {
                count(&state.metrics.changes.followers_lost, 1);
                log::info!(error:% = e; "follower lost");
            }
        });
    }
}

/// Counts a follower until it is dropped.
struct FollowerGuard<'a>(&'a State);

impl<'a> FollowerGuard<'a> {
    fn new(state: &'a State) -> FollowerGuard<'a> {
        state.followers.set(state.followers.get() + 1);
        FollowerGuard(state)
    }
}

impl Drop for FollowerGuard<'_> {
    fn drop(&mut self) {
        self.0.followers.set(self.0.followers.get() - 1);
    }
}

async fn serve_follower(state: &State, stream: TcpStream) -> Result<(), LinkError> {
    let mut socket = CborSocket::accept(stream, LIMITS).await?;
    let _guard = FollowerGuard::new(state);
    let mut ticks = state.timer.subscribe(UPDATE_EVERY_MS);
    let mut told_at_ms = 0;
    loop {
        let ask = time::timeout(Duration::from_millis(ASK_MS), socket.recv::<Follow>());
        let ask = ask.await.map_err(|_| LinkError::new("asks nothing"))?;
        let Some(Follow { versions }) = ask? else { return Ok(()) };
        let asked_at = Instant::now();
        tokio::select! {
            () = until_news(state, &versions, told_at_ms) => {}
            tick = ticks.recv() => {
                if tick.is_none() {
                    return Ok(());
                }
            }
            // A follower that waits says nothing but that it leaves.
            frame = socket.recv::<Follow>() => return frame.map(drop),
        }
        told_at_ms = known_at_ms(state);
        send_update(state, &mut socket, &versions, asked_at).await?;
    }
}

fn known_at_ms(state: &State) -> u64 {
    state.contact.borrow().synced_at_ms().unwrap_or_default()
}

/// Waits until there is a change that one with these `versions` lacks, or what is
/// known is newer than at `told_at_ms`.
async fn until_news(state: &State, versions: &BTreeMap<Table, u64>, told_at_ms: u64) {
    let mut changed = state.changed.subscribe();
    while span(state, versions).is_empty() && known_at_ms(state) < told_at_ms + NEWER_MS {
        // An error means that the process ends.
        if changed.changed().await.is_err() {
            return;
        }
    }
}

/// What one with these `versions` lacks.
fn span(state: &State, versions: &BTreeMap<Table, u64>) -> Span {
    let tables = state.tables.borrow();
    let lacks = |table| {
        let from = versions.get(&table).copied().unwrap_or_default();
        let to = tables.get(table).version();
        (to > from).then_some((table, from, to))
    };
    Table::ALL.into_iter().filter_map(lacks).collect()
}

async fn send_update(
    state: &State,
    socket: &mut CborSocket,
    versions: &BTreeMap<Table, u64>,
    asked_at: Instant,
) -> Result<(), LinkError> {
    let encoded = encoded_changes(state, span(state, versions))?;
    let update = Update {
        held_ms: u64::try_from(asked_at.elapsed().as_millis()).unwrap_or(u64::MAX),
        age_ms: state.contact.borrow().age_ms(state.now_ms()),
        coding: encoded.coding,
        changes_bytes: encoded.bytes.len(),
    };
    in_time(socket.send(&update)).await?;
    count(&state.metrics.changes.sent_bytes, encoded.bytes.len() as u64);
    let mut rest = encoded.bytes;
    while !rest.is_empty() {
        let chunk = rest.split_to(rest.len().min(CHUNK_BYTES));
        in_time(socket.send_bytes(chunk)).await?;
    }
    Ok(())
}

async fn in_time(sending: impl Future<Output = Result<(), LinkError>>) -> Result<(), LinkError> {
    let sent = time::timeout(Duration::from_millis(SEND_MS), sending).await;
    sent.unwrap_or_else(|_| Err(LinkError::new("takes nothing")))
}

fn encoded_changes(state: &State, span: Span) -> Result<Encoded, LinkError> {
    if span.is_empty() {
        return Ok(Encoded { coding: Coding::Plain, bytes: Bytes::new() });
    }
    state.encoded.borrow_mut().get(span.clone(), || {
        let tables = state.tables.borrow();
        let changes =
            span.into_iter().map(|(table, from, _)| (table, tables.get(table).changes_since(from)));
        Encoded::new(&changes.collect())
    })
}

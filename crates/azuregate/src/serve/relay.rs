//! Forwards table changes to the instances that follow this one.

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
    encoding::{EncodedChanges, Encoding, VersionRanges},
    metrics::inc_by,
    state::State,
};
use crate::{
    accept,
    peer::{
        LinkError,
        socket::{CborSocket, SocketLimits},
    },
};

/// The path that followers connect to.
pub(super) const CHANGES_PATH: &str = "/v1/changes";
/// The handshake takes two round trips, possibly between regions.
pub(super) const SOCKET_LIMITS: SocketLimits =
    SocketLimits { max_frame_bytes: 1 << 20, handshake_timeout_ms: 700 };
/// A request is answered after this time even without changes. Three such responses fit
/// into the time after which followers consider a source lost.
const RESPONSE_INTERVAL_MS: u64 = 400;
/// A follower is notified at once if the tables are confirmed current this much later than
/// before. Delays add up along a chain of followers and would exceed their freshness
/// limit if each of them waited for the interval.
const MIN_FRESHNESS_GAIN_MS: u64 = 200;
/// Timeouts apply to each frame, so that a large change set on a slow link does not time
/// out while it makes progress.
const MAX_CHUNK_BYTES: usize = 16 << 10;
const SEND_TIMEOUT_MS: u64 = 2_000;
/// Includes the time that a follower takes to apply a change set.
const REQUEST_TIMEOUT_MS: u64 = 5_000;

/// A follower's request for changes. It is sent again after each response, so that at
/// most one response is in transit and none queues behind others on a slow link.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct ChangesRequest {
    /// The follower's version of each table.
    pub(super) versions: BTreeMap<Table, u64>,
}

/// The response to a [`ChangesRequest`]. The encoded changes follow in binary frames.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct ChangesResponse {
    /// How long the request was held while there was nothing to report, in milliseconds.
    pub(super) held_ms: u64,
    /// The time since the sender's tables were last confirmed current, in milliseconds;
    /// `None` if they never were.
    pub(super) age_ms: Option<u64>,
    /// The encoding of the changes.
    pub(super) coding: Encoding,
    /// The length of the encoded changes; 0 if there are none.
    pub(super) changes_bytes: usize,
}

/// Accepts followers until the process ends.
pub(super) async fn serve(state: Rc<State>, listener: TcpListener) {
    loop {
        let (stream, _) = accept::next(&listener).await;
        let state = Rc::clone(&state);
        spawn_local(async move {
            if let Err(e) = serve_follower(&state, stream).await {
                inc_by(&state.metrics.changes.followers_lost, 1);
                log::info!(error:% = e; "connection to follower lost");
            }
        });
    }
}

/// Counts a connected follower until dropped.
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
    let mut socket = CborSocket::accept(stream, SOCKET_LIMITS).await?;
    let _guard = FollowerGuard::new(state);
    let mut ticks = state.timer.subscribe(RESPONSE_INTERVAL_MS);
    let mut sent_known_at_ms = 0;
    loop {
        let request = time::timeout(
            Duration::from_millis(REQUEST_TIMEOUT_MS),
            socket.recv::<ChangesRequest>(),
        );
        let request =
            request.await.map_err(|_| LinkError::new("no request from follower in time"))?;
        let Some(ChangesRequest { versions }) = request? else { return Ok(()) };
        let received_at = Instant::now();
        tokio::select! {
            () = wait_for_changes(state, &versions, sent_known_at_ms) => {}
            tick = ticks.recv() => {
                if tick.is_none() {
                    return Ok(());
                }
            }
            // A waiting follower sends nothing, so this resolves when it disconnects.
            frame = socket.recv::<ChangesRequest>() => return frame.map(drop),
        }
        sent_known_at_ms = known_at_ms(state);
        send_changes(state, &mut socket, &versions, received_at).await?;
    }
}

fn known_at_ms(state: &State) -> u64 {
    state.contact.borrow().synced_at_ms().unwrap_or_default()
}

/// Waits until there are changes after `versions`, or until the tables are confirmed
/// current later than at `sent_known_at_ms`.
async fn wait_for_changes(state: &State, versions: &BTreeMap<Table, u64>, sent_known_at_ms: u64) {
    let mut changed = state.tables_changed.subscribe();
    while missing_ranges(state, versions).is_empty()
        && known_at_ms(state) < sent_known_at_ms + MIN_FRESHNESS_GAIN_MS
    {
        // An error means that the process is exiting.
        if changed.changed().await.is_err() {
            return;
        }
    }
}

/// Returns the version ranges that are missing from tables at `versions`.
fn missing_ranges(state: &State, versions: &BTreeMap<Table, u64>) -> VersionRanges {
    let tables = state.tables.borrow();
    let missing = |table| {
        let from = versions.get(&table).copied().unwrap_or_default();
        let to = tables.get(table).version();
        (to > from).then_some((table, from, to))
    };
    Table::ALL.into_iter().filter_map(missing).collect()
}

async fn send_changes(
    state: &State,
    socket: &mut CborSocket,
    versions: &BTreeMap<Table, u64>,
    received_at: Instant,
) -> Result<(), LinkError> {
    let encoded = encoded_changes(state, missing_ranges(state, versions))?;
    let response = ChangesResponse {
        held_ms: u64::try_from(received_at.elapsed().as_millis()).unwrap_or(u64::MAX),
        age_ms: state.contact.borrow().age_ms(state.now_ms()),
        coding: encoded.coding,
        changes_bytes: encoded.bytes.len(),
    };
    with_send_timeout(socket.send(&response)).await?;
    inc_by(&state.metrics.changes.sent_bytes, encoded.bytes.len() as u64);
    let mut rest = encoded.bytes;
    while !rest.is_empty() {
        let chunk = rest.split_to(rest.len().min(MAX_CHUNK_BYTES));
        with_send_timeout(socket.send_bytes(chunk)).await?;
    }
    Ok(())
}

async fn with_send_timeout(
    sending: impl Future<Output = Result<(), LinkError>>,
) -> Result<(), LinkError> {
    let sent = time::timeout(Duration::from_millis(SEND_TIMEOUT_MS), sending).await;
    sent.unwrap_or_else(|_| Err(LinkError::new("follower did not accept a frame in time")))
}

fn encoded_changes(state: &State, ranges: VersionRanges) -> Result<EncodedChanges, LinkError> {
    if ranges.is_empty() {
        return Ok(EncodedChanges { coding: Encoding::Plain, bytes: Bytes::new() });
    }
    state.encoded_cache.borrow_mut().get(ranges.clone(), || {
        let tables = state.tables.borrow();
        let changes = ranges
            .into_iter()
            .map(|(table, from, _)| (table, tables.get(table).changes_since(from)));
        EncodedChanges::new(&changes.collect())
    })
}

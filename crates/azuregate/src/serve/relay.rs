//! Passes the store's changes on to the instances that follow this one.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use azuregate_core::replica::{Changes, Table};
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time,
};

use super::state::State;
use crate::{
    accept,
    peer::{
        LinkError,
        socket::{CborSocket, Limits},
    },
};

/// Where followers connect to.
pub(super) const PATH: &str = "/v1/changes";
/// A whole table with a configuration of some thousand routes fits into a frame;
/// opening takes two ways there and back.
pub(super) const LIMITS: Limits = Limits { frame_bytes: 8 << 20, open_ms: 700 };
/// Time between two updates if nothing changes: three fit into the time after which
/// followers take a source for lost.
const UPDATE_EVERY_MS: u64 = 400;
/// How long an update may take to be sent. A follower that is frozen takes nothing.
const SEND_MS: u64 = 2_000;

/// The first frame of a follower.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Follow {
    /// The versions up to which it has the tables.
    pub(super) versions: BTreeMap<Table, u64>,
}

/// What followers are told.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Update {
    /// Time since the store last answered the sender itself, not what it heard
    /// from others; `None` if it has lost the store.
    pub(super) store_age_ms: Option<u64>,
    /// What the follower lacks, and up to which version nothing is missing.
    pub(super) changes: Vec<(Table, Changes)>,
}

/// Takes followers until the process ends.
pub(super) async fn serve(state: Rc<State>, listener: TcpListener) {
    loop {
        let (stream, _) = accept::next(&listener).await;
        let state = Rc::clone(&state);
        spawn_local(async move {
            if let Err(e) = serve_follower(&state, stream).await {
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
    let first = time::timeout(Duration::from_millis(LIMITS.open_ms), socket.recv::<Follow>());
    let first = first.await.map_err(|_| LinkError::new("no first frame"))?;
    let Some(Follow { mut versions }) = first? else { return Ok(()) };
    let _guard = FollowerGuard::new(state);
    let mut changed = state.changed.subscribe();
    let mut ticks = state.timer.subscribe(UPDATE_EVERY_MS);
    loop {
        let update = next_update(state, &mut versions);
        let sending = time::timeout(Duration::from_millis(SEND_MS), socket.send(&update));
        sending.await.map_err(|_| LinkError::new("takes nothing"))??;
        tokio::select! {
            _ = changed.changed() => {}
            tick = ticks.recv() => {
                if tick.is_none() {
                    return Ok(());
                }
            }
            // Followers say nothing after the first frame but that they leave.
            frame = socket.recv::<Follow>() => return frame.map(drop),
        }
    }
}

fn next_update(state: &State, versions: &mut BTreeMap<Table, u64>) -> Update {
    let tables = state.tables.borrow();
    let mut changes = Vec::new();
    for table in Table::ALL {
        let replica = tables.get(table);
        let sent = versions.entry(table).or_default();
        if replica.version() > *sent {
            changes.push((table, replica.since(*sent)));
            *sent = replica.version();
        }
    }
    let store_age_ms = state.contact.borrow().own_age_ms(state.now_ms());
    Update { store_age_ms, changes }
}

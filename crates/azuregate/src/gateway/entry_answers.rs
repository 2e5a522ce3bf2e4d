//! Answers to entry look-ups, made once and handed out many times.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use azuregate_core::{
    entries::{self, Entries},
    error::{Error, ErrorKind},
    names::ServiceName,
    snapshot::{Instance, Snapshot},
};
use bytes::Bytes;

use crate::gateway::GatewayContext;

/// How long an answer is handed out. It names the time at which it was made, by
/// which the homes of idempotency keys run out.
const KEPT_MS: u64 = 1_000;

/// The answers that were made from one list of instances.
#[derive(Debug, Default)]
pub(crate) struct EntryAnswers {
    kept: Mutex<Kept>,
}

#[derive(Debug, Default)]
struct Kept {
    made_from: Option<Arc<[Instance]>>,
    by_caller: HashMap<(ServiceName, u8), Made>,
}

#[derive(Clone, Debug)]
struct Made {
    json: Bytes,
    until_ms: u64,
}

impl EntryAnswers {
    /// The answer for a caller, in JSON.
    pub(crate) fn get(
        &self,
        context: &GatewayContext,
        snapshot: &Snapshot,
        service: &ServiceName,
        caller: SocketAddr,
    ) -> Result<Bytes, Error> {
        let salt = caller.ip().to_string();
        let key = (service.clone(), entries::variant(&salt));
        let now_ms = context.clock.now().0;
        if let Some(made) = self.kept_answer(snapshot, &key, now_ms) {
            return Ok(made);
        }
        let json = Bytes::from(make(context, snapshot, service, &salt)?);
        let made = Made { json: json.clone(), until_ms: now_ms + KEPT_MS };
        let mut kept = self.lock();
        // Another request may have brought in a newer list meanwhile.
        if kept.is_from(snapshot) {
            kept.by_caller.insert(key, made);
        }
        Ok(json)
    }

    fn kept_answer(
        &self,
        snapshot: &Snapshot,
        key: &(ServiceName, u8),
        now_ms: u64,
    ) -> Option<Bytes> {
        let mut kept = self.lock();
        // An answer from an older list would send callers to an instance that
        // is known to be gone.
        if !kept.is_from(snapshot) {
            kept.by_caller.clear();
            kept.made_from = Some(Arc::clone(&snapshot.instances));
        }
        let made = kept.by_caller.get(key)?;
        (now_ms < made.until_ms).then(|| made.json.clone())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Kept {
    fn is_from(&self, snapshot: &Snapshot) -> bool {
        self.made_from.as_ref().is_some_and(|list| Arc::ptr_eq(list, &snapshot.instances))
    }
}

fn make(
    context: &GatewayContext,
    snapshot: &Snapshot,
    service: &ServiceName,
    salt: &str,
) -> Result<Vec<u8>, Error> {
    let mut entries: Entries = entries::entries(snapshot, service, &context.zone, salt);
    for entry in &mut entries.entries {
        let home = context.claims.home_token(&entry.id, snapshot);
        entry.home = home.map(|home| home.to_string());
    }
    serde_json::to_vec(&entries).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))
}

//! Cache of responses to entry look-ups.

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

/// Maximum age of a cached response. A response contains home tokens, which expire
/// a fixed time after they were issued.
const CACHE_TTL_MS: u64 = 1_000;

/// The responses built from one instance list.
#[derive(Debug, Default)]
pub(crate) struct EntriesCache {
    state: Mutex<CacheState>,
}

#[derive(Debug, Default)]
struct CacheState {
    built_from: Option<Arc<[Instance]>>,
    responses: HashMap<(ServiceName, u8), CachedResponse>,
}

#[derive(Clone, Debug)]
struct CachedResponse {
    json: Bytes,
    expires_at_ms: u64,
}

impl EntriesCache {
    /// Returns the JSON response for a client, building it if it is not cached.
    pub(crate) fn get(
        &self,
        context: &GatewayContext,
        snapshot: &Snapshot,
        service: &ServiceName,
        caller: SocketAddr,
    ) -> Result<Bytes, Error> {
        let salt = caller.ip().to_string();
        let key = (service.clone(), entries::ranking_variant(&salt));
        let now_ms = context.clock.now().0;
        if let Some(cached) = self.lookup(snapshot, &key, now_ms) {
            return Ok(cached);
        }
        let json = Bytes::from(build(context, snapshot, service, &salt)?);
        let cached = CachedResponse { json: json.clone(), expires_at_ms: now_ms + CACHE_TTL_MS };
        let mut state = self.lock();
        // A concurrent request may have switched to a newer list.
        if state.is_built_from(snapshot) {
            state.responses.insert(key, cached);
        }
        Ok(json)
    }

    fn lookup(&self, snapshot: &Snapshot, key: &(ServiceName, u8), now_ms: u64) -> Option<Bytes> {
        let mut state = self.lock();
        // A response from an older list would direct clients to instances that are
        // known to be gone.
        if !state.is_built_from(snapshot) {
            state.responses.clear();
            state.built_from = Some(Arc::clone(&snapshot.instances));
        }
        let cached = state.responses.get(key)?;
        (now_ms < cached.expires_at_ms).then(|| cached.json.clone())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, CacheState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CacheState {
    fn is_built_from(&self, snapshot: &Snapshot) -> bool {
        self.built_from.as_ref().is_some_and(|list| Arc::ptr_eq(list, &snapshot.instances))
    }
}

fn build(
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

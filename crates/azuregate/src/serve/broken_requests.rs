//! The requests whose connections to backend servers broke.

use std::{cell::RefCell, collections::HashMap, sync::Arc};

use azuregate_core::balance::{Backend, BackendHandle, Fingerprint};

/// The requests whose connections broke, by server.
pub(super) type BrokenRequests = RefCell<HashMap<BackendHandle, BrokenAt>>;

/// The requests whose connections to one server broke.
pub(super) struct BrokenAt {
    pub(super) backend: Arc<Backend>,
    pub(super) requests: Vec<Fingerprint>,
    pub(super) first_at_ms: u64,
    /// Whether the server was found alive since.
    pub(super) was_alive: bool,
}

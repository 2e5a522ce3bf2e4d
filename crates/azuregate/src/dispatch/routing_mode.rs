//! Which instance selects a backend server, and by which algorithm.

use std::{fmt, sync::Arc};

use azuregate_core::route::{Nearest, Router};

/// Creates the router of a service.
pub type RouterFactory = Arc<dyn Fn() -> Box<dyn Router> + Send + Sync>;

/// How an instance selects backend servers.
#[derive(Clone)]
pub enum RoutingMode {
    /// One instance dispatches for each group of servers.
    Dispatch,
    /// Every instance selects among all servers of a service on its own.
    Independent(RouterFactory),
}

impl RoutingMode {
    /// Returns the independent mode with the nearest-first router.
    pub fn nearest() -> RoutingMode {
        RoutingMode::Independent(Arc::new(|| Box::new(Nearest::default())))
    }
}

impl Default for RoutingMode {
    /// Returns the production mode.
    fn default() -> RoutingMode {
        RoutingMode::Dispatch
    }
}

impl fmt::Debug for RoutingMode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RoutingMode::Dispatch => f.write_str("Dispatch"),
            RoutingMode::Independent(_) => f.write_str("Alone"),
        }
    }
}

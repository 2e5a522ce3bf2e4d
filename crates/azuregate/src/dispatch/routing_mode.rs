//! Who chooses a backend server, and by which rule.

use std::{fmt, sync::Arc};

use azuregate_core::route::{Nearest, Router};

/// Makes a router for a service.
pub type RouterFactory = Arc<dyn Fn() -> Box<dyn Router> + Send + Sync>;

/// The rule of an instance.
#[derive(Clone)]
pub enum RoutingMode {
    /// One instance dispatches for each group of servers.
    Dispatch,
    /// This instance chooses alone, among all servers of a service.
    Independent(RouterFactory),
}

impl RoutingMode {
    /// This instance chooses alone, by nearness.
    pub fn nearest() -> RoutingMode {
        RoutingMode::Independent(Arc::new(|| Box::new(Nearest::default())))
    }
}

impl Default for RoutingMode {
    /// The rule that ships.
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

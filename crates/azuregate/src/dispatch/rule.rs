//! Who chooses a backend server, and by which rule.

use std::{fmt, sync::Arc};

use azuregate_core::route::{Nearest, Router};

/// Makes a router for a service.
pub type RouterFactory = Arc<dyn Fn() -> Box<dyn Router> + Send + Sync>;

/// The rule of an instance.
#[derive(Clone)]
pub enum Rule {
    /// One instance dispatches for each group of servers.
    Dispatch,
    /// This instance chooses alone, among all servers of a service.
    Alone(RouterFactory),
}

impl Rule {
    /// This instance chooses alone, by nearness.
    pub fn nearest() -> Rule {
        Rule::Alone(Arc::new(|| Box::new(Nearest::default())))
    }
}

impl Default for Rule {
    /// The rule that ships.
    fn default() -> Rule {
        Rule::Dispatch
    }
}

impl fmt::Debug for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rule::Dispatch => f.write_str("Dispatch"),
            Rule::Alone(_) => f.write_str("Alone"),
        }
    }
}

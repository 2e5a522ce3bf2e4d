//! Replicas of the store's tables.

use azuregate_core::replica::{Replica, Table};

/// The replicas of all tables.
#[derive(Debug, Default)]
pub(super) struct Tables {
    operator: Replica,
    backends: Replica,
    members: Replica,
}

impl Tables {
    pub(super) fn get(&self, table: Table) -> &Replica {
        match table {
            Table::Operator => &self.operator,
            Table::Backends => &self.backends,
            Table::Members => &self.members,
        }
    }

    pub(super) fn get_mut(&mut self, table: Table) -> &mut Replica {
        match table {
            Table::Operator => &mut self.operator,
            Table::Backends => &mut self.backends,
            Table::Members => &mut self.members,
        }
    }
}

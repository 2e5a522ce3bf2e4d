//! Applies changed rows of the store's tables to the instance's state.

use azuregate_core::{
    names::BackendId,
    replica::{Changes, Row, StaleRead, Table},
};
use azuregate_platform::{
    backend,
    config::{self, OperatorKey},
    member,
};

use super::state::State;

impl State {
    /// Applies incremental changes of a table.
    pub(super) fn apply_changes(&self, table: Table, changes: Changes) {
        let rows = self.tables.borrow_mut().get_mut(table).apply(changes);
        self.apply_rows(table, &rows);
    }

    /// Replaces a table with a full snapshot of it.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot is older than the current table.
    pub(super) fn replace_table(&self, table: Table, snapshot: Changes) -> Result<(), StaleRead> {
        let rows =
            self.tables.borrow_mut().get_mut(table).replace(snapshot.rows, snapshot.version)?;
        self.apply_rows(table, &rows);
        Ok(())
    }

    fn apply_rows(&self, table: Table, rows: &[Row]) {
        for row in rows {
            match table {
                Table::Operator => self.apply_operator(row),
                Table::Backends => self.apply_backend(row),
                Table::Members => self.apply_member(row),
            }
        }
        if table == Table::Members && !rows.is_empty() {
            self.update_shares();
        }
        self.tables_changed.send_replace(());
    }

    fn apply_operator(&self, row: &Row) {
        let key = row.key.as_str();
        match config::parse_operator_key(key) {
            OperatorKey::Evacuate(zone) => {
                let is_evacuated = !row.is_removed;
                let now_ms = self.now_ms();
                if self.balancer.borrow_mut().set_evacuated(&zone, is_evacuated, now_ms) {
                    log::info!(zone:% = zone, evacuated = is_evacuated, row_version = row.version; "zone evacuation changed");
                }
            }
            OperatorKey::Config => match config::decode(row_value(row)) {
                Ok(config) => self.set_config(config),
                Err(e) => {
                    log::warn!(key = key, row_version = row.version, error:% = e; "invalid configuration row ignored");
                }
            },
            OperatorKey::Unknown => log::warn!(key = key; "unknown operator row ignored"),
        }
    }

    fn apply_backend(&self, row: &Row) {
        let key = row.key.as_str();
        if row.is_removed {
            return self.remove_backend(row);
        }
        self.missing_backends.borrow_mut().mark_present(key);
        let backend = match backend::decode(key, row_value(row)) {
            Ok(backend) => backend,
            Err(e) => {
                log::warn!(backend = key, row_version = row.version, error:% = e; "invalid backend server row ignored");
                return;
            }
        };
        let now_ms = self.now_ms();
        let (draining, cold_left_ms) = (backend.is_draining, backend.cold_left_ms);
        let members = self.members.borrow();
        let is_new = self.balancer.borrow_mut().put(backend, &members, now_ms);
        log::info!(backend = key, new = is_new, draining = draining, cold_left_ms = cold_left_ms, row_version = row.version; "backend server updated");
    }

    fn remove_backend(&self, row: &Row) {
        let key = row.key.as_str();
        let now_ms = self.now_ms();
        if !self.missing_backends.borrow_mut().mark_missing(&BackendId::new(key), now_ms) {
            log::info!(backend = key, row_version = row.version; "backend server row expired during store outage");
        } else if self.balancer.borrow_mut().remove(key) {
            log::info!(backend = key, row_version = row.version; "backend server removed");
        }
    }

    fn apply_member(&self, row: &Row) {
        let key = row.key.as_str();
        if row.is_removed {
            return self.members.borrow_mut().remove(key);
        }
        match member::decode(key, row_value(row)) {
            Ok(member) => self.members.borrow_mut().put(member),
            Err(e) => log::warn!(instance = key, error:% = e; "invalid instance row ignored"),
        }
    }
}

/// Returns the value of a row. A missing value yields an empty slice, which every
/// decoder rejects.
fn row_value(row: &Row) -> &[u8] {
    row.value.as_deref().unwrap_or_default().as_bytes()
}

//! What follows from the rows of the store's tables.

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
    /// Takes in changes of a table.
    pub(super) fn take(&self, table: Table, changes: Changes) {
        let news = self.tables.borrow_mut().get_mut(table).apply(changes);
        self.apply(table, &news);
    }

    /// Takes in a table that was read whole.
    pub(super) fn replace(&self, table: Table, whole: Changes) -> Result<(), StaleRead> {
        let news = self.tables.borrow_mut().get_mut(table).replace(whole.rows, whole.version)?;
        self.apply(table, &news);
        Ok(())
    }

    fn apply(&self, table: Table, news: &[Row]) {
        for row in news {
            match table {
                Table::Operator => self.apply_operator(row),
                Table::Backends => self.apply_backend(row),
                Table::Members => self.apply_member(row),
            }
        }
        if table == Table::Members && !news.is_empty() {
            self.balancer.borrow_mut().set_cold_limits(&self.members.borrow());
        }
        self.changed.send_replace(());
    }

    fn apply_operator(&self, row: &Row) {
        let key = row.key.as_str();
        match config::parse_operator_key(key) {
            OperatorKey::Evacuate(zone) => {
                let is_evacuated = !row.is_removed;
                let now_ms = self.now_ms();
                if self.balancer.borrow_mut().set_evacuated(&zone, is_evacuated, now_ms) {
                    log::info!(zone:% = zone, evacuated = is_evacuated, row_version = row.version; "evacuation of a zone");
                }
            }
            OperatorKey::Config => match config::decode(value(row)) {
                Ok(config) => self.set_config(config),
                Err(e) => {
                    log::warn!(key = key, row_version = row.version, error:% = e; "configuration ignored");
                }
            },
            OperatorKey::Unknown => log::warn!(key = key; "unknown row of the operator ignored"),
        }
    }

    fn apply_backend(&self, row: &Row) {
        let key = row.key.as_str();
        if row.is_removed {
            return self.remove_backend(row);
        }
        self.lapsed.borrow_mut().mark_present(key);
        let backend = match backend::decode(key, value(row)) {
            Ok(backend) => backend,
            Err(e) => {
                log::warn!(backend = key, row_version = row.version, error:% = e; "backend server's row ignored");
                return;
            }
        };
        let now_ms = self.now_ms();
        let (draining, cold_left_ms) = (backend.is_draining, backend.cold_left_ms);
        let members = self.members.borrow();
        let is_new = self.balancer.borrow_mut().put(backend, &members, now_ms);
        log::info!(backend = key, new = is_new, draining = draining, cold_left_ms = cold_left_ms, row_version = row.version; "backend server");
    }

    fn remove_backend(&self, row: &Row) {
        let key = row.key.as_str();
        let now_ms = self.now_ms();
        if !self.lapsed.borrow_mut().mark_missing(&BackendId::new(key), now_ms) {
            log::info!(backend = key, row_version = row.version; "backend server's row ran out while the store was away");
        } else if self.balancer.borrow_mut().remove(key) {
            log::info!(backend = key, row_version = row.version; "backend server gone");
        }
    }

    fn apply_member(&self, row: &Row) {
        let key = row.key.as_str();
        if row.is_removed {
            return self.members.borrow_mut().remove(key);
        }
        match member::decode(key, value(row)) {
            Ok(member) => self.members.borrow_mut().put(member),
            Err(e) => log::warn!(instance = key, error:% = e; "instance's row ignored"),
        }
    }
}

/// What a row holds; one that cannot be read is like an empty one, which no
/// decoder accepts.
fn value(row: &Row) -> &[u8] {
    row.value.as_deref().unwrap_or_default().as_bytes()
}

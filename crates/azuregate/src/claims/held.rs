//! The claim row of a running request.

use azuregate_core::{
    claim::Claim,
    error::{Error, ErrorKind},
};

use crate::platform::{Expect, Table, Write};

/// A claim row that a request owns while it runs.
#[derive(Clone, Debug)]
pub(crate) struct HeldRow {
    pub(crate) key: String,
    pub(crate) row_version: u64,
    pub(crate) claim: Claim,
}

impl HeldRow {
    /// Returns the write that stores `claim` in the row.
    pub(crate) fn write(&self, expect: Expect) -> Result<Write, Error> {
        let value = serde_json::to_value(&self.claim)
            .map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
        Ok(Write { table: Table::Claim, key: self.key.clone(), expect, value: Some(value) })
    }

    /// Returns the write that deletes the row at `row_version`.
    pub(crate) fn delete(&self, row_version: u64) -> Write {
        let expect = Expect::Version(row_version);
        Write { table: Table::Claim, key: self.key.clone(), expect, value: None }
    }
}

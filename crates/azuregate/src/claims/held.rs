//! The row of a claim, held by a request that runs.

use azuregate_core::{
    claim::Claim,
    error::{Error, ErrorKind},
};

use crate::platform::{Expect, Table, Write};

/// A row that a request holds while it runs.
#[derive(Clone, Debug)]
pub(crate) struct HeldRow {
    pub(crate) key: String,
    pub(crate) row_version: u64,
    pub(crate) claim: Claim,
}

impl HeldRow {
    /// The write that makes the row say what this claim says.
    pub(crate) fn write(&self, expect: Expect) -> Result<Write, Error> {
        let value = serde_json::to_value(&self.claim)
            .map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
        Ok(Write { table: Table::Claim, key: self.key.clone(), expect, value: Some(value) })
    }

    /// The write that takes the row away.
    pub(crate) fn delete(&self, row_version: u64) -> Write {
        let expect = Expect::Version(row_version);
        Write { table: Table::Claim, key: self.key.clone(), expect, value: None }
    }
}

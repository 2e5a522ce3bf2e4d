//! Changes of the store's tables as bytes, for the instances that follow this one.

use std::{
    collections::VecDeque,
    io::{Read, Write},
};

use azuregate_core::replica::{Changes, Table};
use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize};

use crate::peer::LinkError;

/// Changes of several tables.
pub(super) type ChangeSet = Vec<(Table, Changes)>;
/// For each table the versions from which and to which changes lead.
pub(super) type Span = Vec<(Table, u64, u64)>;

/// Sets from this size are compressed.
const COMPRESSED_FROM_BYTES: usize = 1 << 10;
/// The largest set that is taken, before compression.
const LIMIT_BYTES: u64 = 64 << 20;
/// Sets that are kept. Most followers lack the same changes at the same time.
const KEPT: usize = 4;

/// How a set is written.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) enum Coding {
    /// CBOR.
    Plain,
    /// CBOR, compressed. A configuration repeats its fields for each route, and is
    /// a tenth as large.
    Deflate,
}

/// A set of changes as bytes.
#[derive(Clone, Debug)]
pub(super) struct Encoded {
    pub(super) coding: Coding,
    pub(super) bytes: Bytes,
}

impl Encoded {
    /// Writes a set down.
    ///
    /// # Errors
    ///
    /// When it cannot be written as CBOR.
    pub(super) fn new(changes: &ChangeSet) -> Result<Encoded, LinkError> {
        let mut plain = Vec::new();
        ciborium::into_writer(changes, &mut plain).map_err(broken)?;
        if plain.len() < COMPRESSED_FROM_BYTES {
            return Ok(Encoded { coding: Coding::Plain, bytes: Bytes::from(plain) });
        }
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&plain).map_err(broken)?;
        let bytes = Bytes::from(encoder.finish().map_err(broken)?);
        Ok(Encoded { coding: Coding::Deflate, bytes })
    }

    /// Reads a set.
    ///
    /// # Errors
    ///
    /// When it cannot be read, or is larger than any table.
    pub(super) fn decode(&self) -> Result<ChangeSet, LinkError> {
        match self.coding {
            Coding::Plain => ciborium::from_reader(self.bytes.as_ref()).map_err(broken),
            Coding::Deflate => {
                let mut plain = Vec::new();
                let decoder = DeflateDecoder::new(self.bytes.as_ref());
                decoder.take(LIMIT_BYTES).read_to_end(&mut plain).map_err(broken)?;
                ciborium::from_reader(plain.as_slice()).map_err(broken)
            }
        }
    }
}

/// The sets that were sent last.
#[derive(Debug, Default)]
pub(super) struct EncodedCache {
    kept: VecDeque<(Span, Encoded)>,
}

impl EncodedCache {
    /// The changes of `span`, which are written down by `encode` if they are not kept.
    ///
    /// # Errors
    ///
    /// Those of `encode`.
    pub(super) fn get(
        &mut self,
        span: Span,
        encode: impl FnOnce() -> Result<Encoded, LinkError>,
    ) -> Result<Encoded, LinkError> {
        if let Some((_, encoded)) = self.kept.iter().find(|(kept, _)| *kept == span) {
            return Ok(encoded.clone());
        }
        let encoded = encode()?;
        self.kept.truncate(KEPT - 1);
        self.kept.push_front((span, encoded.clone()));
        Ok(encoded)
    }
}

fn broken(e: impl std::fmt::Display) -> LinkError {
    LinkError::new(e.to_string())
}

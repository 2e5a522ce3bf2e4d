//! Encodes table changes for the instances that follow this one.

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
/// The version range of each table, as `(table, from, to)`.
pub(super) type VersionRanges = Vec<(Table, u64, u64)>;

const COMPRESSION_THRESHOLD_BYTES: usize = 1 << 10;
/// Limits decompression, so that a malformed message cannot exhaust the memory.
const MAX_DECODED_BYTES: u64 = 64 << 20;
const CACHE_CAPACITY: usize = 4;

/// The encoding of a change set.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) enum Encoding {
    /// CBOR.
    Plain,
    /// CBOR, compressed with DEFLATE. Configurations repeat field names for each route
    /// and shrink to a tenth.
    Deflate,
}

/// An encoded change set.
#[derive(Clone, Debug)]
pub(super) struct EncodedChanges {
    pub(super) coding: Encoding,
    pub(super) bytes: Bytes,
}

impl EncodedChanges {
    /// Encodes a change set, compressing it unless it is small.
    ///
    /// # Errors
    ///
    /// Returns an error if encoding or compression fails.
    pub(super) fn new(changes: &ChangeSet) -> Result<EncodedChanges, LinkError> {
        let mut cbor = Vec::new();
        ciborium::into_writer(changes, &mut cbor).map_err(codec_error)?;
        if cbor.len() < COMPRESSION_THRESHOLD_BYTES {
            return Ok(EncodedChanges { coding: Encoding::Plain, bytes: Bytes::from(cbor) });
        }
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&cbor).map_err(codec_error)?;
        let bytes = Bytes::from(encoder.finish().map_err(codec_error)?);
        Ok(EncodedChanges { coding: Encoding::Deflate, bytes })
    }

    /// Decodes a change set.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are malformed or exceed `MAX_DECODED_BYTES`.
    pub(super) fn decode(&self) -> Result<ChangeSet, LinkError> {
        match self.coding {
            Encoding::Plain => ciborium::from_reader(self.bytes.as_ref()).map_err(codec_error),
            Encoding::Deflate => {
                let mut cbor = Vec::new();
                let decoder = DeflateDecoder::new(self.bytes.as_ref());
                decoder.take(MAX_DECODED_BYTES).read_to_end(&mut cbor).map_err(codec_error)?;
                ciborium::from_reader(cbor.as_slice()).map_err(codec_error)
            }
        }
    }
}

/// A cache of the most recently encoded change sets. Most followers need the same
/// changes at the same time.
#[derive(Debug, Default)]
pub(super) struct EncodedChangesCache {
    entries: VecDeque<(VersionRanges, EncodedChanges)>,
}

impl EncodedChangesCache {
    /// Returns the cached changes for `ranges`, or encodes and caches them.
    ///
    /// # Errors
    ///
    /// Returns the error of `encode`.
    pub(super) fn get(
        &mut self,
        ranges: VersionRanges,
        encode: impl FnOnce() -> Result<EncodedChanges, LinkError>,
    ) -> Result<EncodedChanges, LinkError> {
        if let Some((_, encoded)) = self.entries.iter().find(|(cached, _)| *cached == ranges) {
            return Ok(encoded.clone());
        }
        let encoded = encode()?;
        self.entries.truncate(CACHE_CAPACITY - 1);
        self.entries.push_front((ranges, encoded.clone()));
        Ok(encoded)
    }
}

fn codec_error(e: impl std::fmt::Display) -> LinkError {
    LinkError::new(e.to_string())
}

//! Encoding of a block map as one object of the platform.
//!
//! A snapshot consists of a magic number, the blocks of each family, and a checksum
//! of everything before it. Each family is the number of its blocks followed by the
//! blocks in order. Each block is the difference of its start to that of the
//! previous block, in units of the family's smallest block, then the prefix length
//! and the site. Numbers are encoded as LEB128, so most blocks take four or five
//! bytes.

use xxhash_rust::xxh3::xxh3_64;

use crate::blocks::{BlockMap, BlocksError, SiteId, chunk::Entry, family::FamilyMap};

const MAGIC: &[u8; 8] = b"azgblk01";
const CHECKSUM_BYTES: usize = size_of::<u64>();
/// Number of low bits that are zero in each start of an IPv4 block.
const V4_SHIFT: u32 = 32;
const V6_SHIFT: u32 = 0;

pub(crate) fn encode(map: &BlockMap) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    put_family(&mut bytes, &map.v4, V4_SHIFT);
    put_family(&mut bytes, &map.v6, V6_SHIFT);
    let checksum = xxh3_64(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

pub(crate) fn decode(bytes: &[u8]) -> Result<BlockMap, BlocksError> {
    let Some(body_bytes) = bytes.len().checked_sub(CHECKSUM_BYTES) else {
        return Err(BlocksError::malformed(0, "too short"));
    };
    let (body, checksum) = bytes.split_at(body_bytes);
    if xxh3_64(body).to_le_bytes() != *checksum {
        return Err(BlocksError::malformed(body_bytes, "checksum mismatch"));
    }
    let mut reader = Reader { bytes: body, position: 0 };
    if reader.take(MAGIC.len())? != MAGIC {
        return Err(BlocksError::malformed(0, "wrong magic number"));
    }
    let v4 = reader.family(V4_SHIFT)?;
    let v6 = reader.family(V6_SHIFT)?;
    if reader.position != body.len() {
        return Err(BlocksError::malformed(reader.position, "trailing bytes after the last block"));
    }
    Ok(BlockMap { v4, v6 })
}

fn put_family(bytes: &mut Vec<u8>, family: &FamilyMap, shift: u32) {
    put_varint(bytes, family.len() as u64);
    let mut previous = 0;
    for Entry { start, prefix_len, site } in family.entries() {
        put_varint(bytes, (start - previous) >> shift);
        bytes.push(prefix_len);
        put_varint(bytes, u64::from(site.0));
        previous = start;
    }
}

/// Appends a number in LEB128 encoding.
fn put_varint(bytes: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        bytes.push(number as u8 | 0x80);
        number >>= 7;
    }
    bytes.push(number as u8);
}

struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Result<&'a [u8], BlocksError> {
        let Some(taken) = self.bytes.get(self.position..self.position + count) else {
            return Err(BlocksError::malformed(self.position, "unexpected end of input"));
        };
        self.position += count;
        Ok(taken)
    }

    fn byte(&mut self) -> Result<u8, BlocksError> {
        Ok(self.take(1)?[0])
    }

    fn varint(&mut self) -> Result<u64, BlocksError> {
        let mut number = 0;
        for shift in (0..u64::BITS).step_by(7) {
            let byte = self.byte()?;
            number |= u64::from(byte & 0x7f) << shift;
            if byte < 0x80 {
                return Ok(number);
            }
        }
        Err(BlocksError::malformed(self.position, "varint too long"))
    }

    fn family(&mut self, shift: u32) -> Result<FamilyMap, BlocksError> {
        let count = self.varint()?;
        // A corrupt count must not allocate more than the input can fill.
        let mut entries = Vec::with_capacity((count as usize).min(self.bytes.len()));
        let mut start = 0_u64;
        for _ in 0..count {
            let offset = self.position;
            let difference = self.varint()?;
            let shifted = difference.checked_mul(1 << shift);
            let next_start = shifted.and_then(|difference| start.checked_add(difference));
            let Some(next_start) = next_start else {
                return Err(BlocksError::malformed(
                    offset,
                    "block starts beyond the address space",
                ));
            };
            start = next_start;
            entries.push(self.entry(start, shift)?);
        }
        Ok(FamilyMap::from_entries(entries))
    }

    fn entry(&mut self, start: u64, shift: u32) -> Result<Entry, BlocksError> {
        let offset = self.position;
        let prefix_len = self.byte()?;
        if u32::from(prefix_len) > u64::BITS - shift {
            return Err(BlocksError::malformed(offset, "prefix length out of range"));
        }
        let host_bits = u64::MAX.checked_shr(u32::from(prefix_len)).unwrap_or(0);
        if start & host_bits != 0 {
            return Err(BlocksError::malformed(offset, "host bits of a block are not zero"));
        }
        let site = u16::try_from(self.varint()?);
        let site = site.map_err(|_| BlocksError::malformed(offset, "site out of range"))?;
        Ok(Entry { start, prefix_len, site: SiteId(site) })
    }
}

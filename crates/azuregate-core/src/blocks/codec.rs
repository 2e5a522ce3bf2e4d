//! Snapshots of a block map: the form kept as one object of the platform.
//!
//! A magic number, then for each family the count of blocks and the blocks in
//! order, then a checksum of all before it. Of each block: the gap to the start
//! of the one before in units of the family's smallest block, the length, the
//! site. Gaps are small, so that most blocks take four or five bytes.

use xxhash_rust::xxh3::xxh3_64;

use crate::blocks::{BlockMap, BlocksError, SiteId, chunk::Entry, family::FamilyMap};

const MAGIC: &[u8; 8] = b"azgblk01";
const CHECKSUM_BYTES: usize = size_of::<u64>();
/// The number of low bits that no start of an IPv4 block uses.
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
        return Err(BlocksError::malformed(0, "it is too short"));
    };
    let (body, checksum) = bytes.split_at(body_bytes);
    if xxh3_64(body).to_le_bytes() != *checksum {
        return Err(BlocksError::malformed(body_bytes, "the checksum does not match"));
    }
    let mut reader = Reader { bytes: body, position: 0 };
    if reader.take(MAGIC.len())? != MAGIC {
        return Err(BlocksError::malformed(0, "it does not start as a block snapshot"));
    }
    let v4 = reader.family(V4_SHIFT)?;
    let v6 = reader.family(V6_SHIFT)?;
    if reader.position != body.len() {
        return Err(BlocksError::malformed(reader.position, "bytes follow the last block"));
    }
    Ok(BlockMap { v4, v6 })
}

fn put_family(bytes: &mut Vec<u8>, family: &FamilyMap, shift: u32) {
    put_varint(bytes, family.len() as u64);
    let mut before = 0;
    for Entry { start, prefix_len, site } in family.entries() {
        put_varint(bytes, (start - before) >> shift);
        bytes.push(prefix_len);
        put_varint(bytes, u64::from(site.0));
        before = start;
    }
}

/// Writes a number in groups of seven bits, the lowest first (LEB128).
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
            return Err(BlocksError::malformed(self.position, "it ends early"));
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
        Err(BlocksError::malformed(self.position, "a number has too many bytes"))
    }

    fn family(&mut self, shift: u32) -> Result<FamilyMap, BlocksError> {
        let count = self.varint()?;
        // A count that lies must not make room for more than the bytes hold.
        let mut entries = Vec::with_capacity((count as usize).min(self.bytes.len()));
        let mut start = 0_u64;
        for _ in 0..count {
            let at = self.position;
            let gap = self.varint()?;
            let shifted = gap.checked_mul(1 << shift);
            let next = shifted.and_then(|gap| start.checked_add(gap));
            let Some(next) = next else {
                return Err(BlocksError::malformed(at, "a block starts beyond all addresses"));
            };
            start = next;
            entries.push(self.entry(start, shift)?);
        }
        Ok(FamilyMap::from_entries(entries))
    }

    fn entry(&mut self, start: u64, shift: u32) -> Result<Entry, BlocksError> {
        let at = self.position;
        let prefix_len = self.byte()?;
        if u32::from(prefix_len) > u64::BITS - shift {
            return Err(BlocksError::malformed(at, "a block is too long"));
        }
        let host_bits = u64::MAX.checked_shr(u32::from(prefix_len)).unwrap_or(0);
        if start & host_bits != 0 {
            return Err(BlocksError::malformed(at, "a block does not start on its boundary"));
        }
        let site = u16::try_from(self.varint()?);
        let site = site.map_err(|_| BlocksError::malformed(at, "a site is out of range"))?;
        Ok(Entry { start, prefix_len, site: SiteId(site) })
    }
}

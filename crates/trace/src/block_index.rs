//! Locations of blocks: collected until the end of their file, where they become its index. They are kept as
//! differences, some ten bytes each, since a long file has a million of them.

use std::io::{self, Write};

use cedarpulley::interface::Micros;

use crate::Error;
use crate::blocks::INDEX_MAGIC;
use crate::codec::{DecodeError, Decoder, Encoder};

/// Kept in parts of this size: one long vector would be copied each time it grows.
const PART_BYTES: usize = 1 << 16;
/// Five numbers, of ten bytes each at most.
pub const MAX_ENTRY_BYTES: usize = 50;

/// Where a block lies in its file, and what it spans.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BlockLocation {
    /// Of its header, from the file's beginning.
    pub offset: u64,
    /// Router time of its first record.
    pub first: Micros,
    /// Router time of its last record.
    pub last: Micros,
    /// How many records it has.
    pub records: u32,
    /// Number of its source in the file.
    pub source: u32,
}

impl BlockLocation {
    /// An entry of an index in the present format.
    fn encode(&self, out: &mut Encoder) {
        out.unsigned(self.offset);
        out.signed(self.first);
        out.signed(self.last);
        out.unsigned(self.records.into());
        out.unsigned(self.source.into());
    }

    /// An entry of an index in any known format.
    pub fn decode(format: u16, input: &mut Decoder) -> Result<BlockLocation, DecodeError> {
        Ok(BlockLocation {
            offset: input.unsigned()?,
            first: input.signed()?,
            last: input.signed()?,
            records: input.u32()?,
            source: if format == 1 { 0 } else { input.u32()? },
        })
    }

    fn encode_after(&self, before: &BlockLocation, out: &mut Encoder) {
        out.unsigned(self.offset - before.offset);
        out.signed(self.first.wrapping_sub(before.first));
        out.signed(self.last.wrapping_sub(self.first));
        out.unsigned(self.records.into());
        out.unsigned(self.source.into());
    }

    fn decode_after(before: &BlockLocation, input: &mut Decoder) -> Result<Self, DecodeError> {
        let offset = before.offset + input.unsigned()?;
        let first = before.first.wrapping_add(input.signed()?);
        Ok(BlockLocation {
            offset,
            first,
            last: first.wrapping_add(input.signed()?),
            records: input.u32()?,
            source: input.u32()?,
        })
    }
}

/// Collects the index of a file.
#[derive(Debug, Default)]
pub struct BlockIndexBuilder {
    parts: Vec<Encoder>,
    count: u64,
    /// Size of the index's entries.
    bytes: u64,
    last: BlockLocation,
}

impl BlockIndexBuilder {
    /// Adds the next block. Offsets only grow; times may go back.
    pub fn push(&mut self, location: BlockLocation) {
        let mut entry = Encoder::default();
        location.encode(&mut entry);
        self.bytes += entry.bytes.len() as u64;
        self.count += 1;
        let before = std::mem::replace(&mut self.last, location);
        location.encode_after(&before, self.part());
    }

    /// The part that has room for an entry.
    fn part(&mut self) -> &mut Encoder {
        let full = |part: &Encoder| part.bytes.len() + MAX_ENTRY_BYTES > PART_BYTES;
        if self.parts.last().is_none_or(full) {
            self.parts.push(Encoder {
                bytes: Vec::with_capacity(PART_BYTES),
            });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }

    /// Writes the whole index.
    ///
    /// # Errors
    /// When writing fails, or there are more blocks than an index can have.
    pub fn write(self, out: &mut impl Write) -> io::Result<()> {
        let mut count = Encoder::default();
        count.unsigned(self.count);
        let size = u32::try_from(count.bytes.len() as u64 + self.bytes)
            .map_err(|_| Error::TooManyBlocks)?;
        let mut index = Encoder {
            bytes: INDEX_MAGIC.to_vec(),
        };
        index.bytes.extend(size.to_le_bytes());
        index.bytes.append(&mut count.bytes);
        let (mut checksum, mut before) = (0, BlockLocation::default());
        for part in self.parts {
            let mut entries = Decoder::new(&part.bytes);
            while !entries.is_empty() {
                // Does not fail: these bytes were written by `push`.
                before =
                    BlockLocation::decode_after(&before, &mut entries).map_err(io::Error::other)?;
                before.encode(&mut index);
            }
            checksum = crc32c::crc32c_append(checksum, &index.bytes);
            out.write_all(&index.bytes)?;
            index.bytes.clear();
        }
        checksum = crc32c::crc32c_append(checksum, &index.bytes);
        out.write_all(&index.bytes)?;
        out.write_all(&checksum.to_le_bytes())
    }
}

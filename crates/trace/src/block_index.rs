//! Locations of blocks, collected in memory until the file ends and then written as its index. In memory, each location
//! is stored as the difference from the previous one, in about ten bytes, since a long file has a million blocks.

use std::io::{self, Write};

use cedarpulley::interface::Micros;

use crate::Error;
use crate::blocks::INDEX_MAGIC;
use crate::codec::{DecodeError, Decoder, Encoder};

/// The locations are stored in parts of this size in bytes: a single vector would be copied each time it grows.
const PART_BYTES: usize = 1 << 16;
/// Largest size of an entry in bytes: five numbers of at most ten bytes each.
pub const MAX_ENTRY_BYTES: usize = 50;

/// The position of a block in its file, and the time span of its records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BlockLocation {
    /// Offset of the block header from the beginning of the file, in bytes.
    pub offset: u64,
    /// Router time of its first record.
    pub first: Micros,
    /// Router time of its last record.
    pub last: Micros,
    /// Number of records in the block.
    pub records: u32,
    /// Number of the block's source in the file.
    pub source: u32,
}

impl BlockLocation {
    /// Encodes an index entry in the current format.
    fn encode(&self, out: &mut Encoder) {
        out.unsigned(self.offset);
        out.signed(self.first);
        out.signed(self.last);
        out.unsigned(self.records.into());
        out.unsigned(self.source.into());
    }

    /// Decodes an index entry of any known format.
    pub fn decode(format: u16, input: &mut Decoder) -> Result<BlockLocation, DecodeError> {
        Ok(BlockLocation {
            offset: input.unsigned()?,
            first: input.signed()?,
            last: input.signed()?,
            records: input.u32()?,
            source: if format == 1 { 0 } else { input.u32()? },
        })
    }

    /// Encodes the location as the difference from the previous one.
    fn encode_after(&self, before: &BlockLocation, out: &mut Encoder) {
        out.unsigned(self.offset - before.offset);
        out.signed(self.first.wrapping_sub(before.first));
        out.signed(self.last.wrapping_sub(self.first));
        out.unsigned(self.records.into());
        out.unsigned(self.source.into());
    }

    /// Decodes a location that [`BlockLocation::encode_after`] wrote.
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
    /// Size of the encoded index entries in bytes.
    bytes: u64,
    last: BlockLocation,
}

impl BlockIndexBuilder {
    /// Adds the next block. Offsets must increase; times may decrease.
    pub fn push(&mut self, location: BlockLocation) {
        let mut entry = Encoder::default();
        location.encode(&mut entry);
        self.bytes += entry.bytes.len() as u64;
        self.count += 1;
        let before = std::mem::replace(&mut self.last, location);
        location.encode_after(&before, self.part());
    }

    /// The last part, or a new one if the last has no room for another entry.
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
    /// Fails when writing fails, or when the index exceeds the size that its length field can express.
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
                // Cannot fail: `push` wrote these bytes.
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

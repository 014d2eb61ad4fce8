//! BlockIndexBuilder of blocks that wait for the end of their file, to become its index: as steps, some ten bytes each, since a
//! long file has a million of them.

use std::io::{self, Write};

use cedarpulley::interface::Micros;

use crate::Error;
use crate::blocks::INDEX_MAGIC;
use crate::codec::{Decoder, Encoder};

/// Kept in parts of this size: one long row would be copied each time it grows.
const PART: usize = 1 << 16;
/// Five numbers, of ten bytes each at most.
pub const MAX_ENTRY_BYTES: usize = 50;

/// Where a block lies in its file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BlockLocation {
    pub offset: u64,
    pub first: Micros,
    pub last: Micros,
    pub records: u32,
    pub source: u32,
}

impl BlockLocation {
    /// As an index has it.
    fn put(&self, p: &mut Encoder) {
        p.unsigned(self.offset);
        p.signed(self.first);
        p.signed(self.last);
        p.unsigned(self.records.into());
        p.unsigned(self.source.into());
    }
}

#[derive(Debug, Default)]
pub struct BlockIndexBuilder {
    parts: Vec<Encoder>,
    count: u64,
    /// Of the index, without its count.
    bytes: u64,
    last: BlockLocation,
}

impl BlockIndexBuilder {
    /// Offsets only grow; times may go back.
    pub fn push(&mut self, place: BlockLocation) {
        let mut entry = Encoder::default();
        place.put(&mut entry);
        self.bytes += entry.bytes.len() as u64;
        self.count += 1;
        if self
            .parts
            .last()
            .is_none_or(|p| p.bytes.len() + MAX_ENTRY_BYTES > PART)
        {
            self.parts.push(Encoder {
                bytes: Vec::with_capacity(PART),
            });
        }
        let before = std::mem::replace(&mut self.last, place);
        if let Some(p) = self.parts.last_mut() {
            p.unsigned(place.offset - before.offset);
            p.signed(place.first.wrapping_sub(before.first));
            p.signed(place.last.wrapping_sub(place.first));
            p.unsigned(place.records.into());
            p.unsigned(place.source.into());
        }
    }

    /// The whole index.
    pub fn write(self, out: &mut impl Write) -> io::Result<()> {
        let mut count = Encoder::default();
        count.unsigned(self.count);
        let size = u32::try_from(count.bytes.len() as u64 + self.bytes);
        let size = size.map_err(|_| Error::TooManyBlocks)?;
        let mut bytes = INDEX_MAGIC.to_vec();
        bytes.extend(size.to_le_bytes());
        bytes.append(&mut count.bytes);
        let (mut sum, mut before) = (0, BlockLocation::default());
        for part in self.parts {
            let mut g = Decoder::new(&part.bytes);
            let mut whole = Encoder {
                bytes: std::mem::take(&mut bytes),
            };
            while !g.is_empty() {
                let step = || -> Result<BlockLocation, crate::codec::DecodeError> {
                    let offset = before.offset + g.unsigned()?;
                    let first = before.first.wrapping_add(g.signed()?);
                    let last = first.wrapping_add(g.signed()?);
                    Ok(BlockLocation {
                        offset,
                        first,
                        last,
                        records: g.u32()?,
                        source: g.u32()?,
                    })
                };
                // Written above, by this very code.
                before = { step }().map_err(io::Error::other)?;
                before.put(&mut whole);
            }
            sum = crc32c::crc32c_append(sum, &whole.bytes);
            out.write_all(&whole.bytes)?;
        }
        sum = crc32c::crc32c_append(sum, &bytes);
        out.write_all(&bytes)?;
        out.write_all(&sum.to_le_bytes())
    }
}

//! Places of blocks that wait for the end of their file, to become its index: as steps, some ten bytes each, since a
//! long file has a million of them.

use std::io::{self, Write};

use cedarpulley::interface::Micros;

use crate::Error;
use crate::blocks::INDEX;
use crate::wire::{Get, Put};

/// Kept in parts of this size: one long row would be copied each time it grows.
const PART: usize = 1 << 16;
/// Five numbers, of ten bytes each at most.
pub const MOST_ENTRY: usize = 50;

/// Where a block lies in its file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    pub offset: u64,
    pub first: Micros,
    pub last: Micros,
    pub records: u32,
    pub source: u32,
}

impl Place {
    /// As an index has it.
    fn put(&self, p: &mut Put) {
        p.u(self.offset);
        p.i(self.first);
        p.i(self.last);
        p.u(self.records.into());
        p.u(self.source.into());
    }
}

#[derive(Debug, Default)]
pub struct Places {
    parts: Vec<Put>,
    count: u64,
    /// Of the index, without its count.
    bytes: u64,
    last: Place,
}

impl Places {
    /// Offsets only grow; times may go back.
    pub fn push(&mut self, place: Place) {
        let mut entry = Put::default();
        place.put(&mut entry);
        self.bytes += entry.bytes.len() as u64;
        self.count += 1;
        if self
            .parts
            .last()
            .is_none_or(|p| p.bytes.len() + MOST_ENTRY > PART)
        {
            self.parts.push(Put {
                bytes: Vec::with_capacity(PART),
            });
        }
        let before = std::mem::replace(&mut self.last, place);
        if let Some(p) = self.parts.last_mut() {
            p.u(place.offset - before.offset);
            p.i(place.first.wrapping_sub(before.first));
            p.i(place.last.wrapping_sub(place.first));
            p.u(place.records.into());
            p.u(place.source.into());
        }
    }

    /// The whole index.
    pub fn write(self, out: &mut impl Write) -> io::Result<()> {
        let mut count = Put::default();
        count.u(self.count);
        let size = u32::try_from(count.bytes.len() as u64 + self.bytes);
        let size = size.map_err(|_| Error::TooManyBlocks)?;
        let mut bytes = INDEX.to_vec();
        bytes.extend(size.to_le_bytes());
        bytes.append(&mut count.bytes);
        let (mut sum, mut before) = (0, Place::default());
        for part in self.parts {
            let mut g = Get::new(&part.bytes);
            let mut whole = Put {
                bytes: std::mem::take(&mut bytes),
            };
            while !g.is_empty() {
                let step = || -> Result<Place, crate::wire::Bad> {
                    let offset = before.offset + g.u()?;
                    let first = before.first.wrapping_add(g.i()?);
                    let last = first.wrapping_add(g.i()?);
                    Ok(Place {
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

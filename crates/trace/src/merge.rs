//! Makes one file of any number of files, and estimates by how much their clocks differ.
//!
//! How the offset is estimated: a worker's change of standing reaches all routers by the same list, within a moment.
//! For each two files the differences of the times at which they were told of the same change are taken; half of
//! them are more than the median and half less, whatever single delays there were.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{Read, Seek, Write};

use cedarpulley::interface::{Endpoint, EndpointState, Micros};

use crate::Error;
use crate::block_index::BlockLocation;
use crate::blocks::{BlockHeader, FORMAT};
use crate::reader::{Found, Reader};
use crate::records::{Record, RecordedEvent};
use crate::start::Source;
use crate::writer::Sheet;

/// Changes that are looked at for the offset: enough for a steady median.
const MOST_CHANGES: usize = 4096;
/// An offset from fewer changes than this is told as unknown.
const FEW: usize = 3;

/// A change of standing, as each router can tell it: which worker, for the how manieth time, to what.
type Change = (u64, u32, u8);

#[derive(Debug, Default)]
pub struct Offsets {
    seen: Vec<HashMap<Change, Micros>>,
}

/// What was last known of each worker, to tell what changed.
#[derive(Default)]
struct Known(HashMap<u64, (u8, u32)>);

impl Known {
    fn change(&mut self, e: &Endpoint) -> Option<Change> {
        let standing = match e.state {
            EndpointState::InService => 0,
            EndpointState::Draining => 1,
            EndpointState::Gone => 2,
        };
        let known = self.0.entry(e.fingerprint).or_insert((u8::MAX, 0));
        if known.0 == standing {
            return None;
        }
        // The first sight tells when the router began, not when the worker changed.
        let first = known.0 == u8::MAX;
        *known = (standing, known.1 + 1);
        (!first).then_some((e.fingerprint, known.1, standing))
    }
}

impl Offsets {
    /// Reads one file whole for its changes.
    pub fn file<R: Read + Seek>(&mut self, reader: &mut Reader<R>) -> Result<(), Error> {
        let (mut known, mut seen) = (Known::default(), HashMap::new());
        reader.rewind();
        while let Some(found) = reader.next()? {
            let Found::Block { records, place } = found else {
                continue;
            };
            for (at, record) in records {
                let Record::Decided {
                    event:
                        RecordedEvent::List {
                            endpoints: entries, ..
                        },
                    ..
                } = record
                else {
                    continue;
                };
                for change in entries.iter().filter_map(|e| known.change(e)) {
                    if seen.len() < MOST_CHANGES {
                        seen.entry(change)
                            .or_insert(reader.sources[place.source as usize].wall(at));
                    }
                }
            }
        }
        reader.rewind();
        self.seen.push(seen);
        Ok(())
    }

    /// By how much each file's clock is ahead of the first's, and from how many changes; absent: unknown.
    pub fn estimate(&self) -> Vec<Option<(Micros, usize)>> {
        let Some(first) = self.seen.first() else {
            return Vec::new();
        };
        self.seen
            .iter()
            .map(|seen| {
                let mut apart: Vec<Micros> = seen
                    .iter()
                    .filter_map(|(change, at)| Some(at - first.get(change)?))
                    .collect();
                apart.sort_unstable();
                (apart.len() >= FEW).then(|| (apart[apart.len() / 2], apart.len()))
            })
            .collect()
    }
}

/// One file out of many: all their sources, their blocks in the order of the common time at which they begin, copied
/// as they are packed. Of each file one block is in memory, and the index of what is written. Gives the number of
/// damaged blocks that were left out.
pub fn merge<R: Read + Seek, W: Write>(
    readers: &mut [Reader<R>],
    ahead: &[Micros],
    out: W,
) -> Result<u64, Error> {
    let (mut sources, mut bases) = (Vec::new(), Vec::new());
    for (n, reader) in readers.iter_mut().enumerate() {
        let more = ahead.get(n).copied().unwrap_or(0);
        bases.push(sources.len() as u32);
        sources.extend(reader.sources.iter().map(|s| Source {
            clock_ahead: s.clock_ahead + more,
            ..s.clone()
        }));
        reader.rewind();
        reader.damaged_blocks = 0;
    }
    let mut sheet = Sheet::begin(out, &sources)?;
    let mut damaged = 0;
    // The next of each file; of blocks that begin together, the earlier file's first.
    let mut next = BinaryHeap::new();
    let step = |n: usize,
                readers: &mut [Reader<R>]|
     -> Result<Option<(Micros, usize, BlockLocation)>, Error> {
        while let Some(place) = readers[n].next_place()? {
            if let Some(source) = sources.get((bases[n] + place.source) as usize) {
                return Ok(Some((source.wall(place.first), n, place)));
            }
        }
        Ok(None)
    };
    for n in 0..readers.len() {
        next.extend(step(n, readers)?.map(Reverse));
    }
    while let Some(Reverse((_, n, place))) = next.pop() {
        match readers[n].packed(&place)? {
            Some((head, packed_bytes)) => {
                let head = BlockHeader {
                    source: bases[n] + place.source,
                    ..head
                };
                sheet.packed(
                    &BlockHeader {
                        checksum: head.checksum_over(FORMAT, &packed_bytes),
                        ..head
                    },
                    &packed_bytes,
                )?;
            }
            None => damaged += 1,
        }
        next.extend(step(n, readers)?.map(Reverse));
    }
    sheet.end()?;
    Ok(damaged + readers.iter().map(|r| r.damaged_blocks).sum::<u64>())
}

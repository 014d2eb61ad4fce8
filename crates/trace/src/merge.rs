//! Makes one file of any number of files, and estimates by how much their clocks differ.
//!
//! How the offset is estimated: a worker's change of state reaches all routers by the same endpoint list, within a
//! moment. For each two files the differences of the times at which they heard of the same change are taken; half of
//! them are more than the median and half less, whatever single delays there were.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::hash::{Hash, Hasher};
use std::io::{Read, Seek, Write};

use cedarpulley::interface::{Endpoint, EndpointState, Micros};

use crate::Error;
use crate::block_index::BlockLocation;
use crate::blocks::{BlockHeader, FORMAT};
use crate::reader::{BlockRead, Reader};
use crate::records::{Record, RecordedEvent};
use crate::start::Source;
use crate::writer::TraceFileWriter;

/// Changes of each file that are compared: enough for a steady median.
const MAX_CHANGES: usize = 4096;
/// An offset from fewer common changes than this is unknown.
const MIN_COMMON_CHANGES: usize = 3;

/// A change of a worker's state, as each router can identify it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Change {
    /// Of the worker's address.
    worker: u64,
    /// How many states the worker had with this one.
    number: u32,
    state: EndpointState,
}

/// Without the state, which has no hash of its own.
impl Hash for Change {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.worker, self.number).hash(hasher);
    }
}

/// The last state of each worker, and how many it has had.
#[derive(Default)]
struct WorkerStates(HashMap<u64, (EndpointState, u32)>);

impl WorkerStates {
    /// The first sight of a worker is no change: it tells when the router began, not when the worker changed.
    fn change(&mut self, endpoint: &Endpoint) -> Option<Change> {
        let (worker, state) = (endpoint.fingerprint, endpoint.state);
        let Some((known, number)) = self.0.get_mut(&worker) else {
            self.0.insert(worker, (state, 1));
            return None;
        };
        if *known == state {
            return None;
        }
        *known = state;
        *number += 1;
        Some(Change {
            worker,
            number: *number,
            state,
        })
    }
}

/// Estimates clock offsets.
#[derive(Debug, Default)]
pub struct Offsets {
    /// By file: the wall clock at which each change was first heard of.
    changes: Vec<HashMap<Change, Micros>>,
}

impl Offsets {
    /// Reads the next file whole for its changes.
    pub fn file<R: Read + Seek>(&mut self, reader: &mut Reader<R>) -> Result<(), Error> {
        let (mut states, mut changes) = (WorkerStates::default(), HashMap::new());
        reader.rewind();
        while let Some(found) = reader.next()? {
            let BlockRead::Block { records, location } = found else {
                continue;
            };
            let source = &reader.sources[location.source as usize];
            for (at, record) in records {
                let Record::Decided {
                    event: RecordedEvent::List { endpoints, .. },
                    ..
                } = record
                else {
                    continue;
                };
                for change in endpoints.iter().filter_map(|e| states.change(e)) {
                    if changes.len() < MAX_CHANGES {
                        changes.entry(change).or_insert(source.wall(at));
                    }
                }
            }
        }
        reader.rewind();
        self.changes.push(changes);
        Ok(())
    }

    /// By how much each file's clock is ahead of the first's, and from how many changes; absent: unknown.
    pub fn estimate(&self) -> Vec<Option<(Micros, usize)>> {
        let Some(first) = self.changes.first() else {
            return Vec::new();
        };
        self.changes
            .iter()
            .map(|changes| {
                let mut ahead: Vec<Micros> = changes
                    .iter()
                    .filter_map(|(change, at)| Some(at - first.get(change)?))
                    .collect();
                ahead.sort_unstable();
                let enough = ahead.len() >= MIN_COMMON_CHANGES;
                enough.then(|| (ahead[ahead.len() / 2], ahead.len()))
            })
            .collect()
    }
}

/// The next block of a file. Ordered by time; of blocks that begin together, the earlier file's comes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct NextBlock {
    /// Common wall clock at which it begins.
    wall: Micros,
    /// Number of its file.
    file: usize,
    location: BlockLocation,
}

/// The sources of all files.
struct MergedSources {
    sources: Vec<Source>,
    /// By file: the number of its first source.
    first_of_file: Vec<u32>,
}

impl MergedSources {
    fn of<R: Read + Seek>(readers: &[Reader<R>], ahead: &[Micros]) -> MergedSources {
        let mut merged = MergedSources {
            sources: Vec::new(),
            first_of_file: Vec::new(),
        };
        for (file, reader) in readers.iter().enumerate() {
            let more = ahead.get(file).copied().unwrap_or(0);
            merged.first_of_file.push(merged.sources.len() as u32);
            merged
                .sources
                .extend(reader.sources.iter().map(|source| Source {
                    clock_ahead: source.clock_ahead + more,
                    ..source.clone()
                }));
        }
        merged
    }

    /// The number that a source of this file has in the merged one.
    fn number(&self, file: usize, source: u32) -> u32 {
        self.first_of_file[file] + source
    }

    fn next_block<R: Read + Seek>(
        &self,
        file: usize,
        reader: &mut Reader<R>,
    ) -> Result<Option<NextBlock>, Error> {
        while let Some(location) = reader.next_place()? {
            let number = self.number(file, location.source);
            if let Some(source) = self.sources.get(number as usize) {
                return Ok(Some(NextBlock {
                    wall: source.wall(location.first),
                    file,
                    location,
                }));
            }
        }
        Ok(None)
    }
}

/// One file out of many: all their sources, their blocks in the order of the common time at which they begin, copied
/// as they are compressed. Of each file one block is in memory, and the index of what is written. `ahead`: by how much
/// each file's clock is ahead. Returns the number of damaged blocks that were left out.
pub fn merge<R: Read + Seek, W: Write>(
    readers: &mut [Reader<R>],
    ahead: &[Micros],
    out: W,
) -> Result<u64, Error> {
    let merged = MergedSources::of(readers, ahead);
    for reader in readers.iter_mut() {
        reader.rewind();
        reader.damaged_blocks = 0;
    }
    let mut merged_file = TraceFileWriter::begin(out, &merged.sources)?;
    let mut damaged = 0;
    let mut next = BinaryHeap::new();
    for (file, reader) in readers.iter_mut().enumerate() {
        next.extend(merged.next_block(file, reader)?.map(Reverse));
    }
    while let Some(Reverse(NextBlock { file, location, .. })) = next.pop() {
        match readers[file].packed(&location)? {
            Some((header, packed)) => {
                let mut header = BlockHeader {
                    source: merged.number(file, location.source),
                    ..header
                };
                header.checksum = header.checksum_over(FORMAT, &packed);
                merged_file.write_packed(&header, &packed)?;
            }
            None => damaged += 1,
        }
        next.extend(merged.next_block(file, &mut readers[file])?.map(Reverse));
    }
    merged_file.finish()?;
    let unreadable: u64 = readers.iter().map(|r| r.damaged_blocks).sum();
    Ok(damaged + unreadable)
}

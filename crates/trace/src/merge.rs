//! Merges any number of files into one, and estimates the offsets between their clocks.
//!
//! How an offset is estimated: all routers receive the change of a worker's state with the same endpoint list at almost
//! the same time. The estimate is the median of the differences between the times at which two files recorded the same
//! change. Delays of single deliveries hardly affect the median.

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

/// Largest number of changes per file that are compared; enough for a stable median.
const MAX_CHANGES: usize = 4096;
/// With fewer changes in common than this, an offset is unknown.
const MIN_COMMON_CHANGES: usize = 3;

/// A change of a worker's state, identified in the same way at each router.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Change {
    /// Fingerprint of the worker's address.
    worker: u64,
    /// Number of states that the worker has had, including this one.
    number: u32,
    state: EndpointState,
}

/// Leaves out the state, whose type does not implement [`Hash`].
impl Hash for Change {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.worker, self.number).hash(hasher);
    }
}

/// The last state of each worker by fingerprint, and the number of states that it has had.
#[derive(Default)]
struct WorkerStates(HashMap<u64, (EndpointState, u32)>);

impl WorkerStates {
    /// The first state of a worker is not a change: its time depends on the start of the router, not on the worker.
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
    /// For each file, the wall clock at which each change was first recorded.
    changes: Vec<HashMap<Change, Micros>>,
}

impl Offsets {
    /// Reads all changes of the next file.
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

    /// For each file, how far its clock is ahead of the first file's in microseconds, and the number of changes that
    /// the estimate is based on; absent if unknown.
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

/// The next block of a file. Ordered by time, then by the number of the file.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct NextBlock {
    /// Wall clock of the merged file at which the block begins.
    wall: Micros,
    /// Number of the file.
    file: usize,
    location: BlockLocation,
}

/// The sources of all files.
struct MergedSources {
    sources: Vec<Source>,
    /// For each file, the number of its first source in the merged file.
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

    /// The number that a source of this file has in the merged file.
    fn number(&self, file: usize, source: u32) -> u32 {
        self.first_of_file[file] + source
    }

    /// The next block of this file whose source exists.
    fn next_block<R: Read + Seek>(
        &self,
        file: usize,
        reader: &mut Reader<R>,
    ) -> Result<Option<NextBlock>, Error> {
        while let Some(location) = reader.next_location()? {
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

/// Merges files into one that contains all their sources. The compressed blocks are copied in the order of the wall
/// clock at which they begin. Only one block, the location of each file's next block and the index of the merged file
/// are in memory. `ahead` contains how far each file's clock is ahead in microseconds. Returns the number of damaged
/// blocks that were left out.
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

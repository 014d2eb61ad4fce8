//! Collects records into blocks, without I/O: the bytes of a block before compression, and its header. A block can be
//! read without the others: it contains the names that its records use, and its times are relative to its first record.

use std::collections::HashMap;

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::{Action, Event, Micros};

use crate::block_index::BlockLocation;
use crate::codec::{DecodeError, Decoder, Encoder};
use crate::record_codec;
use crate::records::{NameKind, Record, RecordedEvent};

/// The first bytes of a trace file.
pub const FILE_MAGIC: [u8; 8] = *b"CPTRACE\0";
/// Version of the file format that is written. A file of format 1 has one source; from format 2 on, a file has any
/// number of sources, and each block belongs to one of them.
pub const FORMAT: u16 = 3;
/// The first bytes of a block.
pub const BLOCK_MAGIC: [u8; 4] = *b"CPBL";
/// The first bytes of the index.
pub const INDEX_MAGIC: [u8; 4] = *b"CPIX";
/// The last bytes of a file that was completed.
pub const FOOTER_MAGIC: [u8; 8] = *b"CPTREND\0";
/// A block is closed at this size in bytes: small enough that a flipped bit loses few records, large enough to compress
/// well.
pub const TARGET_UNPACKED_BYTES: usize = 128 * 1024;
/// A reader rejects blocks whose header states a larger size. The limit is above [`TARGET_UNPACKED_BYTES`], as a single
/// record, for example an endpoint list, may exceed that size.
pub const MAX_UNPACKED_BYTES: u32 = 64 << 20;
/// Size of a block header in the current format, in bytes.
pub const BLOCK_HEADER_BYTES: usize = 40;

/// Size of a block header in the given format, in bytes.
pub fn block_header_bytes(format: u16) -> usize {
    if format == 1 { 36 } else { BLOCK_HEADER_BYTES }
}

/// The fixed header of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockHeader {
    /// Size of the compressed data that follows, in bytes.
    pub packed_bytes: u32,
    /// Size of the data after decompression, in bytes.
    pub unpacked_bytes: u32,
    /// Number of records in the block.
    pub records: u32,
    /// Number of the block's source in the file.
    pub source: u32,
    /// Router time of its first record.
    pub first: Micros,
    /// Router time of its last record.
    pub last: Micros,
    /// CRC-32C of the fields before it and the packed bytes.
    pub checksum: u32,
}

impl BlockHeader {
    /// Creates the header of a block in the current format.
    pub fn new(block: &UnpackedBlock, source: u32, packed: &[u8]) -> BlockHeader {
        let mut header = BlockHeader {
            packed_bytes: packed.len() as u32,
            unpacked_bytes: block.bytes.len() as u32,
            records: block.records,
            source,
            first: block.first,
            last: block.last,
            checksum: 0,
        };
        header.checksum = header.checksum_over(FORMAT, packed);
        header
    }

    /// Encodes all fields except the checksum.
    fn encode_fields(&self, format: u16) -> Vec<u8> {
        let mut out = BLOCK_MAGIC.to_vec();
        out.extend(self.packed_bytes.to_le_bytes());
        out.extend(self.unpacked_bytes.to_le_bytes());
        out.extend(self.records.to_le_bytes());
        if format > 1 {
            out.extend(self.source.to_le_bytes());
        }
        out.extend(self.first.to_le_bytes());
        out.extend(self.last.to_le_bytes());
        out
    }

    /// Computes the checksum of this header followed by these packed bytes.
    pub fn checksum_over(&self, format: u16, packed: &[u8]) -> u32 {
        crc32c::crc32c_append(crc32c::crc32c(&self.encode_fields(format)), packed)
    }

    /// Encodes the header in the current format.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = self.encode_fields(FORMAT);
        out.extend(self.checksum.to_le_bytes());
        out
    }

    /// Decodes a header; absent if the bytes are not a block header. `bytes` has the size of a header in this format.
    pub fn decode(format: u16, bytes: &[u8]) -> Option<BlockHeader> {
        let u32_at = |at: usize| {
            let field = bytes.get(at..at + 4)?.try_into().ok()?;
            Some(u32::from_le_bytes(field))
        };
        let time_at = |at: usize| {
            let field = bytes.get(at..at + 8)?.try_into().ok()?;
            Some(i64::from_le_bytes(field))
        };
        let times = if format == 1 { 16 } else { 20 };
        let header = BlockHeader {
            packed_bytes: u32_at(4)?,
            unpacked_bytes: u32_at(8)?,
            records: u32_at(12)?,
            source: if format == 1 { 0 } else { u32_at(16)? },
            first: time_at(times)?,
            last: time_at(times + 8)?,
            checksum: u32_at(times + 16)?,
        };
        let plausible = bytes.starts_with(&BLOCK_MAGIC)
            && header.packed_bytes <= MAX_UNPACKED_BYTES
            && header.unpacked_bytes <= MAX_UNPACKED_BYTES;
        plausible.then_some(header)
    }

    /// The location of the block, if its header begins at this offset of the file.
    pub fn location(&self, offset: u64) -> BlockLocation {
        BlockLocation {
            offset,
            first: self.first,
            last: self.last,
            records: self.records,
            source: self.source,
        }
    }
}

/// A closed block before compression.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnpackedBlock {
    /// The encoded records, each preceded by the microseconds since the previous record.
    pub bytes: Vec<u8>,
    /// Number of records.
    pub records: u32,
    /// Router time of the first record.
    pub first: Micros,
    /// Router time of the last record.
    pub last: Micros,
}

/// Collects records into a block. A caller that closes full blocks keeps at most [`TARGET_UNPACKED_BYTES`] and one
/// record in memory.
#[derive(Debug, Default)]
pub struct BlockBuilder {
    out: Encoder,
    records: u32,
    first: Micros,
    last: Micros,
    /// Names that are recorded in this block.
    names: HashMap<(NameKind, u32), String>,
}

impl BlockBuilder {
    /// Writes the time of the next record.
    fn begin_record(&mut self, now: Micros) {
        if self.records == 0 {
            (self.first, self.last) = (now, now);
        }
        // The times in a block never decrease: if the clock went back, the record gets the time of the previous one.
        let now = now.max(self.last);
        self.out.unsigned((now - self.last) as u64);
        self.last = now;
        self.records += 1;
    }

    /// Writes the name of an index, unless the block already contains it. An index that was reassigned is named again.
    pub fn name(&mut self, now: Micros, kind: NameKind, index: u32, name: &str) {
        let known = self.names.get(&(kind, index));
        if known.is_none_or(|known| known != name) {
            let name = name.to_owned();
            self.record(now, &Record::Name { kind, index, name });
        }
    }

    /// Writes a [`Record::Decided`] without copying the event.
    pub fn decided(&mut self, now: Micros, event: &Event, actions: &[Action]) {
        self.begin_record(now);
        record_codec::encode_decided(&mut self.out, event, actions);
    }

    /// Writes any record.
    pub fn record(&mut self, now: Micros, record: &Record) {
        if let Record::Name { kind, index, name } = record {
            self.names.insert((*kind, *index), name.clone());
        }
        self.begin_record(now);
        record_codec::encode_record(&mut self.out, record);
    }

    /// Whether the block has reached the size at which it is closed.
    pub fn is_full(&self) -> bool {
        self.out.bytes.len() >= TARGET_UNPACKED_BYTES
    }

    /// Whether the block has no records.
    pub fn is_empty(&self) -> bool {
        self.records == 0
    }

    /// Number of records in the block.
    pub fn records(&self) -> u32 {
        self.records
    }

    /// Time since the first record of the block, in microseconds; 0 for an empty block.
    pub fn age(&self, now: Micros) -> Micros {
        if self.records == 0 {
            0
        } else {
            now - self.first
        }
    }

    /// Returns the block and starts a new one.
    pub fn close(&mut self) -> UnpackedBlock {
        let closed = std::mem::take(self);
        UnpackedBlock {
            bytes: closed.out.bytes,
            records: closed.records,
            first: closed.first,
            last: closed.last,
        }
    }
}

/// Calls `each` for every worker and function index in a decision.
pub fn for_each_named_index(
    event: &RecordedEvent,
    actions: &[Action],
    mut each: impl FnMut(NameKind, u32),
) {
    visit_named_indices(&event.event(), actions, &mut each);
}

/// Same as [`for_each_named_index`], for an event that is not recorded yet.
pub fn visit_named_indices(event: &Event, actions: &[Action], each: &mut dyn FnMut(NameKind, u32)) {
    event_indices(event, each);
    for action in actions {
        match *action {
            Action::Dispatch { worker, .. } | Action::Probe { worker } => {
                each(NameKind::Worker, worker);
            }
            Action::LoadOrder {
                worker, function, ..
            }
            | Action::Unload { worker, function } => {
                each(NameKind::Worker, worker);
                each(NameKind::Function, function);
            }
            _ => {}
        }
    }
}

fn event_indices(event: &Event, each: &mut dyn FnMut(NameKind, u32)) {
    match *event {
        Event::EndpointList { endpoints, .. } => endpoints
            .iter()
            .for_each(|endpoint| each(NameKind::Worker, endpoint.worker)),
        Event::Invocation(ref arrival) => {
            each(NameKind::Function, arrival.function);
            if let Some(worker) = arrival.preferred_worker {
                each(NameKind::Worker, worker);
            }
        }
        Event::CopyWanted {
            worker,
            ref function,
        } => {
            each(NameKind::Worker, worker);
            each(NameKind::Function, function.function);
        }
        Event::AnswerStarted { worker, .. } | Event::ProbeEnded { worker, .. } => {
            each(NameKind::Worker, worker);
        }
        Event::DispatchEnded(ref ended) => each(NameKind::Worker, ended.worker),
        Event::OrderEnded {
            worker, function, ..
        }
        | Event::CopiesReported {
            worker, function, ..
        } => {
            each(NameKind::Worker, worker);
            each(NameKind::Function, function);
        }
        Event::ClientLeft { .. }
        | Event::EndpointListLease { .. }
        | Event::DrainLease(_)
        | Event::Timer { .. } => {}
    }
}

/// Decodes the records of an unpacked block, in order, each with its router time. `first` is the router time of the
/// first record, `count` the expected number of records.
pub fn unpack(
    bytes: &[u8],
    first: Micros,
    count: u32,
) -> Result<Vec<(Micros, Record)>, DecodeError> {
    let mut input = Decoder::new(bytes);
    let mut fingerprints: HashMap<u32, u64> = HashMap::new();
    let (mut now, mut records) = (first, Vec::with_capacity(count.min(1 << 16) as usize));
    while !input.is_empty() {
        now = i64::try_from(input.unsigned()?)
            .ok()
            .and_then(|step| now.checked_add(step))
            .ok_or(DecodeError::UnknownValue)?;
        let fingerprint_of = |function| fingerprints.get(&function).copied().unwrap_or(0);
        let record = record_codec::decode_record(&mut input, &fingerprint_of)?;
        if let Record::Name {
            kind: NameKind::Function,
            index,
            name,
        } = &record
        {
            fingerprints.insert(*index, fingerprint(name));
        }
        records.push((now, record));
    }
    if records.len() == count as usize {
        Ok(records)
    } else {
        Err(DecodeError::Truncated)
    }
}

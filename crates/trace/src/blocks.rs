//! Records gathered into blocks, free of I/O: what a block holds before it is compressed, and the fixed heads around
//! it. A block stands alone: it has the names that its records use, and times from its own first.

use std::collections::HashMap;

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::{Action, Event, Micros};

use crate::codec::{DecodeError, Decoder, Encoder};
use crate::record_codec;
use crate::records::{Record, RecordedEvent, Space};

pub const FILE_MAGIC: [u8; 8] = *b"CPTRACE\0";
/// 1: one source a file. 2: any number of them, each block of one.
pub const FORMAT: u16 = 3;
pub const BLOCK_MAGIC: [u8; 4] = *b"CPBL";
pub const INDEX_MAGIC: [u8; 4] = *b"CPIX";
pub const FOOTER_MAGIC: [u8; 8] = *b"CPTREND\0";
/// A block is closed at this size: small enough that a flipped bit costs little, large enough to compress well.
pub const TARGET_UNPACKED_BYTES: usize = 128 * 1024;
/// A reader refuses what claims more than this: one record may exceed `TARGET_UNPACKED_BYTES`, a list of workers for example.
pub const MAX_UNPACKED_BYTES: u32 = 64 << 20;
/// Of a block's head in the present format.
pub const BLOCK_HEADER_BYTES: usize = 40;

/// In this format.
pub fn block_header_bytes(format: u16) -> usize {
    if format == 1 { 36 } else { BLOCK_HEADER_BYTES }
}

/// The fixed head of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockHeader {
    pub packed_bytes: u32,
    pub unpacked_bytes: u32,
    pub records: u32,
    /// Which of the file's sources it is of.
    pub source: u32,
    pub first: Micros,
    pub last: Micros,
    /// Of the fields before it and the packed bytes.
    pub checksum: u32,
}

impl BlockHeader {
    pub fn new(raw: &Raw, source: u32, packed: &[u8]) -> BlockHeader {
        let mut head = BlockHeader {
            packed_bytes: packed.len() as u32,
            unpacked_bytes: raw.bytes.len() as u32,
            records: raw.records,
            source,
            first: raw.first,
            last: raw.last,
            checksum: 0,
        };
        head.checksum = head.checksum_over(FORMAT, packed);
        head
    }

    fn fields(&self, format: u16) -> Vec<u8> {
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

    pub fn checksum_over(&self, format: u16, packed: &[u8]) -> u32 {
        crc32c::crc32c_append(crc32c::crc32c(&self.fields(format)), packed)
    }

    /// In the present format.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = self.fields(FORMAT);
        out.extend(self.checksum.to_le_bytes());
        out
    }

    /// Absent if no block begins here; `b` is of the size that the format has.
    pub fn decode(format: u16, b: &[u8]) -> Option<BlockHeader> {
        let four = |at: usize| Some(u32::from_le_bytes(b.get(at..at + 4)?.try_into().ok()?));
        let eight = |at: usize| Some(i64::from_le_bytes(b.get(at..at + 8)?.try_into().ok()?));
        let times = if format == 1 { 16 } else { 20 };
        let head = BlockHeader {
            packed_bytes: four(4)?,
            unpacked_bytes: four(8)?,
            records: four(12)?,
            source: if format == 1 { 0 } else { four(16)? },
            first: eight(times)?,
            last: eight(times + 8)?,
            checksum: four(times + 16)?,
        };
        (b[..4] == BLOCK_MAGIC
            && head.packed_bytes <= MAX_UNPACKED_BYTES
            && head.unpacked_bytes <= MAX_UNPACKED_BYTES)
            .then_some(head)
    }
}

/// A block that is ready to be packed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Raw {
    pub bytes: Vec<u8>,
    pub records: u32,
    pub first: Micros,
    pub last: Micros,
}

/// Gathers records; bounded by `TARGET_UNPACKED_BYTES` and one record.
#[derive(Debug, Default)]
pub struct Gather {
    put: Encoder,
    records: u32,
    first: Micros,
    last: Micros,
    named: HashMap<(Space, u32), String>,
}

impl Gather {
    fn at(&mut self, now: Micros) {
        if self.records == 0 {
            (self.first, self.last) = (now, now);
        }
        // Records are told in order; a clock that went back counts as standing still.
        let now = now.max(self.last);
        self.put.unsigned((now - self.last) as u64);
        self.last = now;
        self.records += 1;
    }

    /// Gives the index its name in this block, unless it has it.
    pub fn name(&mut self, now: Micros, space: Space, ix: u32, text: &str) {
        // An index that has gone to another is named anew.
        if self
            .named
            .get(&(space, ix))
            .is_none_or(|known| known != text)
        {
            self.named.insert((space, ix), text.to_owned());
            self.at(now);
            record_codec::encode_record(
                &mut self.put,
                &Record::Name {
                    kind: space,
                    index: ix,
                    name: text.to_owned(),
                },
            );
        }
    }

    pub fn decided(&mut self, now: Micros, event: &Event, actions: &[Action]) {
        self.at(now);
        record_codec::encode_decided(&mut self.put, event, actions);
    }

    pub fn record(&mut self, now: Micros, record: &Record) {
        if let Record::Name {
            kind: space,
            index: ix,
            name: text,
        } = record
        {
            self.named.insert((*space, *ix), text.clone());
        }
        self.at(now);
        record_codec::encode_record(&mut self.put, record);
    }

    pub fn is_full(&self) -> bool {
        self.put.bytes.len() >= TARGET_UNPACKED_BYTES
    }

    pub fn is_empty(&self) -> bool {
        self.records == 0
    }

    pub fn records(&self) -> u32 {
        self.records
    }

    /// Since its first record.
    pub fn age(&self, now: Micros) -> Micros {
        if self.records == 0 {
            0
        } else {
            now - self.first
        }
    }

    pub fn close(&mut self) -> Raw {
        let it = std::mem::take(self);
        Raw {
            bytes: it.put.bytes,
            records: it.records,
            first: it.first,
            last: it.last,
        }
    }
}

/// All indices that a record speaks of by name.
pub fn for_each_named_index(
    happened: &RecordedEvent,
    actions: &[Action],
    mut each: impl FnMut(Space, u32),
) {
    event_uses(&happened.event(), actions, &mut each);
}

pub fn event_uses(event: &Event, actions: &[Action], each: &mut dyn FnMut(Space, u32)) {
    match event {
        Event::EndpointList {
            endpoints: entries, ..
        } => entries.iter().for_each(|e| each(Space::Worker, e.worker)),
        Event::Invocation(a) => {
            each(Space::Function, a.function);
            a.preferred_worker
                .into_iter()
                .for_each(|w| each(Space::Worker, w));
        }
        Event::CopyWanted {
            worker,
            function: asked,
        } => {
            each(Space::Worker, *worker);
            each(Space::Function, asked.function);
        }
        Event::AnswerStarted { worker, .. } | Event::ProbeEnded { worker, .. } => {
            each(Space::Worker, *worker)
        }
        Event::DispatchEnded(e) => each(Space::Worker, e.worker),
        Event::OrderEnded {
            worker,
            function: func,
            ..
        }
        | Event::CopiesReported {
            worker,
            function: func,
            ..
        } => {
            each(Space::Worker, *worker);
            each(Space::Function, *func);
        }
        Event::ClientLeft { .. } | Event::Timer { .. } => {}
    }
    for action in actions {
        match *action {
            Action::Dispatch { worker, .. } | Action::Probe { worker } => {
                each(Space::Worker, worker)
            }
            Action::LoadOrder {
                worker,
                function: func,
                ..
            }
            | Action::Unload {
                worker,
                function: func,
            } => {
                each(Space::Worker, worker);
                each(Space::Function, func);
            }
            _ => {}
        }
    }
}

/// Records of a block, in order, each with its time.
pub fn unpack(raw: &[u8], first: Micros, count: u32) -> Result<Vec<(Micros, Record)>, DecodeError> {
    let mut g = Decoder::new(raw);
    let mut names: HashMap<u32, u64> = HashMap::new();
    let (mut now, mut out) = (first, Vec::with_capacity(count.min(1 << 16) as usize));
    while !g.is_empty() {
        now = i64::try_from(g.unsigned()?)
            .ok()
            .and_then(|step| now.checked_add(step))
            .ok_or(DecodeError::UnknownValue)?;
        let record =
            record_codec::decode_record(&mut g, &|func| names.get(&func).copied().unwrap_or(0))?;
        if let Record::Name {
            kind: Space::Function,
            index,
            name,
        } = &record
        {
            names.insert(*index, fingerprint(name));
        }
        out.push((now, record));
    }
    if out.len() == count as usize {
        Ok(out)
    } else {
        Err(DecodeError::Truncated)
    }
}

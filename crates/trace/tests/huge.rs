//! A trace of ten gigabytes, told by a stand-in that makes each part as it is read: what the tools hold in memory
//! stays bounded.

mod small;

use std::alloc::System;
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::sync::Mutex;

use cap::Cap;
use cedarpulley::interface::Event;
use cedarpulley_trace::blocks::{
    BlockBuilder, BlockHeader, FOOTER_MAGIC, INDEX_MAGIC, UnpackedBlock,
};
use cedarpulley_trace::codec::Encoder;
use cedarpulley_trace::merge::merge;
use cedarpulley_trace::reader::Reader;
use cedarpulley_trace::records::{Record, RecordedEvent};
use cedarpulley_trace::rewrite::cut;
use cedarpulley_trace::selection::SelectionCriteria;
use cedarpulley_trace::writer::TraceFileWriter;

/// Its limit holds for the whole process, so for one test at a time.
#[global_allocator]
static MEMORY: Cap<System> = Cap::new(System, usize::MAX);
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

const TEN_GB: u64 = 10_000_000_000;
const MOST: usize = 64 << 20;
/// Between the beginnings of two blocks.
const APART: i64 = 100_000;
const MINUTE: i64 = 60_000_000;

/// A file with the same block again and again, each at its own time, in good order.
#[derive(Clone)]
struct Sparse {
    head: Vec<u8>,
    raw: UnpackedBlock,
    packed: Vec<u8>,
    blocks: u64,
    tail: Vec<u8>,
    at: u64,
}

impl Sparse {
    fn new(records: u64, bytes: u64) -> Sparse {
        let mut g = BlockBuilder::default();
        for token in 0..records {
            let event = RecordedEvent::Other(Event::Timer {
                token: token.wrapping_mul(0x9E37_79B9_7F4A_7C15),
            });
            g.record(
                0,
                &Record::Decided {
                    event,
                    actions: Vec::new(),
                },
            );
        }
        let raw = g.close();
        let head = TraceFileWriter::begin(Vec::new(), &[small::start().into()]).expect("a head");
        let mut written = head;
        let size = written.write_block(0, &raw).expect("a block");
        let whole = written.bytes();
        let out = written.finish().expect("ended");
        let first = (whole - size) as usize;
        let packed = out[first + 40..whole as usize].to_vec();
        let mut it = Sparse {
            head: out[..first].to_vec(),
            raw,
            packed,
            blocks: bytes / size,
            tail: Vec::new(),
            at: 0,
        };
        it.tail = it.index();
        it
    }

    fn size(&self) -> u64 {
        40 + self.packed.len() as u64
    }

    fn end_of_blocks(&self) -> u64 {
        self.head.len() as u64 + self.blocks * self.size()
    }

    fn index(&self) -> Vec<u8> {
        let mut p = Encoder::default();
        p.unsigned(self.blocks);
        for n in 0..self.blocks {
            p.unsigned(self.head.len() as u64 + n * self.size());
            let first = n as i64 * APART;
            p.signed(first);
            p.signed(first);
            p.unsigned(self.raw.records.into());
            p.unsigned(0);
        }
        let mut out = INDEX_MAGIC.to_vec();
        out.extend((p.bytes.len() as u32).to_le_bytes());
        out.extend(&p.bytes);
        out.extend(crc32c::crc32c(&out).to_le_bytes());
        let mut footer = self.end_of_blocks().to_le_bytes().to_vec();
        footer.extend(crc32c::crc32c(&footer).to_le_bytes());
        footer.extend(FOOTER_MAGIC);
        out.extend(footer);
        out
    }

    fn len(&self) -> u64 {
        self.end_of_blocks() + self.tail.len() as u64
    }
}

impl Read for Sparse {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let (begin, end) = (self.head.len() as u64, self.end_of_blocks());
        let from = |part: &[u8], at: usize, into: &mut [u8]| {
            let n = into.len().min(part.len().saturating_sub(at));
            into[..n].copy_from_slice(&part[at..at + n]);
            n
        };
        let n = if self.at < begin {
            from(&self.head, self.at as usize, into)
        } else if self.at >= end {
            from(&self.tail, (self.at - end) as usize, into)
        } else {
            let (n, within) = (
                (self.at - begin) / self.size(),
                ((self.at - begin) % self.size()) as usize,
            );
            if within < 40 {
                self.raw.first = n as i64 * APART;
                self.raw.last = self.raw.first;
                from(
                    &BlockHeader::new(&self.raw, 0, &self.packed).encode(),
                    within,
                    into,
                )
            } else {
                from(&self.packed, within - 40, into)
            }
        };
        self.at += n as u64;
        Ok(n)
    }
}

impl Seek for Sparse {
    fn seek(&mut self, to: SeekFrom) -> io::Result<u64> {
        self.at = match to {
            SeekFrom::Start(at) => at,
            SeekFrom::End(by) => (self.len() as i64 + by) as u64,
            SeekFrom::Current(by) => (self.at as i64 + by) as u64,
        };
        Ok(self.at)
    }
}

/// Counts, and keeps nothing.
#[derive(Default)]
struct Sink(u64);

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len() as u64;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// With no more than so much beside what is there before; whoever asks for more ends the test's process.
fn within_memory<T>(act: impl FnOnce() -> T) -> T {
    MEMORY
        .set_limit(MEMORY.allocated() + MOST)
        .expect("a limit above what is there");
    let done = act();
    MEMORY.set_limit(usize::MAX).expect("no limit");
    done
}

#[test]
fn a_minute_is_cut_out_of_ten_gigabytes_in_bounded_memory() {
    let _alone = ONE_AT_A_TIME.lock();
    // Small blocks: more than a million of them, so that the index weighs.
    let sparse = Sparse::new(600, TEN_GB);
    assert!(sparse.len() > 9_900_000_000 && sparse.blocks > 1_000_000);
    let start = small::start().wall_at_zero;
    let from = start + 40 * MINUTE;
    let wanted = SelectionCriteria {
        from: Some(from),
        until: Some(from + MINUTE),
        ..SelectionCriteria::default()
    };
    let (done, size) = within_memory(|| {
        let mut reader = Reader::open(sparse).expect("a trace");
        let mut out = Vec::new();
        (cut(&mut reader, &wanted, &mut out).expect("cut"), out.len())
    });
    assert_eq!(done.blocks_read, (MINUTE / APART) as u64);
    assert!(size > 100_000);
}

#[test]
fn ten_gigabytes_are_merged_in_bounded_memory() {
    let _alone = ONE_AT_A_TIME.lock();
    let (one, other) = (Sparse::new(600, TEN_GB / 2), Sparse::new(600, TEN_GB / 2));
    let blocks = one.blocks + other.blocks;
    let size = within_memory(|| {
        let mut readers = [
            Reader::open(one).expect("a trace"),
            Reader::open(other).expect("a trace"),
        ];
        let mut sink = Sink::default();
        assert_eq!(merge(&mut readers, &[0, 0], &mut sink).expect("merged"), 0);
        sink.0
    });
    println!("{blocks} blocks, {size} bytes written");
    assert!(size > TEN_GB - 100_000_000);
}

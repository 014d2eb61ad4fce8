//! Guards against tools whose memory grows with the size of a trace: ten gigabytes are cut and merged with a memory
//! limit. The files are simulated by a reader that generates each part when it is read.

mod sample_trace;

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

/// The allocator with the memory limit, which applies to the whole process.
#[global_allocator]
static MEMORY: Cap<System> = Cap::new(System, usize::MAX);
/// Held by each test, as the memory limit allows only one test at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Ten gigabytes, in bytes.
const TEN_GB: u64 = 10_000_000_000;
/// Memory in bytes that a tool may allocate.
const MEMORY_LIMIT: usize = 64 << 20;
/// Microseconds between the beginnings of two blocks.
const BLOCK_INTERVAL: i64 = 100_000;
/// Microseconds in a minute.
const MINUTE: i64 = 60_000_000;

/// A simulated complete file that repeats the same block with increasing times.
#[derive(Clone)]
struct SimulatedFile {
    /// The file header with the start record.
    header: Vec<u8>,
    /// The block before compression.
    unpacked: UnpackedBlock,
    /// The compressed block without its header.
    packed: Vec<u8>,
    /// Number of blocks.
    blocks: u64,
    /// The index and the footer.
    tail: Vec<u8>,
    /// Offset of the next byte.
    at: u64,
}

impl SimulatedFile {
    /// A file of about `bytes` bytes, with blocks of `records` records.
    fn new(records: u64, bytes: u64) -> SimulatedFile {
        let mut builder = BlockBuilder::default();
        for token in 0..records {
            let event = RecordedEvent::Other(Event::Timer {
                token: token.wrapping_mul(0x9E37_79B9_7F4A_7C15),
            });
            builder.record(
                0,
                &Record::Decided {
                    event,
                    actions: Vec::new(),
                },
            );
        }
        let unpacked = builder.close();
        let header =
            TraceFileWriter::begin(Vec::new(), &[sample_trace::start().into()]).expect("a header");
        let mut writer = header;
        let size = writer.write_block(0, &unpacked).expect("a block");
        let end_of_block = writer.bytes();
        let out = writer.finish().expect("completed");
        let first = (end_of_block - size) as usize;
        let packed = out[first + 40..end_of_block as usize].to_vec();
        let mut file = SimulatedFile {
            header: out[..first].to_vec(),
            unpacked,
            packed,
            blocks: bytes / size,
            tail: Vec::new(),
            at: 0,
        };
        file.tail = file.index();
        file
    }

    /// Size of a block with its header, in bytes.
    fn block_size(&self) -> u64 {
        40 + self.packed.len() as u64
    }

    fn end_of_blocks(&self) -> u64 {
        self.header.len() as u64 + self.blocks * self.block_size()
    }

    /// The index and the footer.
    fn index(&self) -> Vec<u8> {
        let mut entries = Encoder::default();
        entries.unsigned(self.blocks);
        for n in 0..self.blocks {
            entries.unsigned(self.header.len() as u64 + n * self.block_size());
            let first = n as i64 * BLOCK_INTERVAL;
            entries.signed(first);
            entries.signed(first);
            entries.unsigned(self.unpacked.records.into());
            entries.unsigned(0);
        }
        let mut out = INDEX_MAGIC.to_vec();
        out.extend((entries.bytes.len() as u32).to_le_bytes());
        out.extend(&entries.bytes);
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

impl Read for SimulatedFile {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let (begin, end) = (self.header.len() as u64, self.end_of_blocks());
        let copy = |part: &[u8], at: usize, into: &mut [u8]| {
            let n = into.len().min(part.len().saturating_sub(at));
            into[..n].copy_from_slice(&part[at..at + n]);
            n
        };
        let n = if self.at < begin {
            copy(&self.header, self.at as usize, into)
        } else if self.at >= end {
            copy(&self.tail, (self.at - end) as usize, into)
        } else {
            let (n, within) = (
                (self.at - begin) / self.block_size(),
                ((self.at - begin) % self.block_size()) as usize,
            );
            if within < 40 {
                self.unpacked.first = n as i64 * BLOCK_INTERVAL;
                self.unpacked.last = self.unpacked.first;
                copy(
                    &BlockHeader::new(&self.unpacked, 0, &self.packed).encode(),
                    within,
                    into,
                )
            } else {
                copy(&self.packed, within - 40, into)
            }
        };
        self.at += n as u64;
        Ok(n)
    }
}

impl Seek for SimulatedFile {
    fn seek(&mut self, to: SeekFrom) -> io::Result<u64> {
        self.at = match to {
            SeekFrom::Start(at) => at,
            SeekFrom::End(by) => (self.len() as i64 + by) as u64,
            SeekFrom::Current(by) => (self.at as i64 + by) as u64,
        };
        Ok(self.at)
    }
}

/// Counts the written bytes and discards them.
#[derive(Default)]
struct CountingSink(u64);

impl Write for CountingSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len() as u64;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Runs `act` with a limit of [`MEMORY_LIMIT`] bytes for further allocations; exceeding it aborts the test process.
fn with_memory_limit<T>(act: impl FnOnce() -> T) -> T {
    MEMORY
        .set_limit(MEMORY.allocated() + MEMORY_LIMIT)
        .expect("a limit above the allocated memory");
    let result = act();
    MEMORY.set_limit(usize::MAX).expect("no limit");
    result
}

#[test]
fn a_minute_is_cut_out_of_ten_gigabytes_in_bounded_memory() {
    let _alone = ONE_AT_A_TIME.lock();
    // Small blocks, so that there are more than a million of them and the index is large.
    let file = SimulatedFile::new(600, TEN_GB);
    assert!(file.len() > 9_900_000_000 && file.blocks > 1_000_000);
    let start = sample_trace::start().wall_at_zero;
    let from = start + 40 * MINUTE;
    let wanted = SelectionCriteria {
        from: Some(from),
        until: Some(from + MINUTE),
        ..SelectionCriteria::default()
    };
    let (result, size) = with_memory_limit(|| {
        let mut reader = Reader::open(file).expect("a trace");
        let mut out = Vec::new();
        (cut(&mut reader, &wanted, &mut out).expect("cut"), out.len())
    });
    assert_eq!(result.blocks_read, (MINUTE / BLOCK_INTERVAL) as u64);
    assert!(size > 100_000);
}

#[test]
fn ten_gigabytes_are_merged_in_bounded_memory() {
    let _alone = ONE_AT_A_TIME.lock();
    let (one, other) = (
        SimulatedFile::new(600, TEN_GB / 2),
        SimulatedFile::new(600, TEN_GB / 2),
    );
    let blocks = one.blocks + other.blocks;
    let size = with_memory_limit(|| {
        let mut readers = [
            Reader::open(one).expect("a trace"),
            Reader::open(other).expect("a trace"),
        ];
        let mut sink = CountingSink::default();
        assert_eq!(merge(&mut readers, &[0, 0], &mut sink).expect("merged"), 0);
        sink.0
    });
    println!("{blocks} blocks, {size} bytes written");
    assert!(size > TEN_GB - 100_000_000);
}

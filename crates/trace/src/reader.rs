//! Reads a trace file, sequentially or by its index. A truncated file is read up to its last whole block. A damaged
//! block is reported with its offset, and the blocks after it are still read.

mod index_cursor;

use std::io::{self, Read, Seek, SeekFrom};

use cedarpulley::interface::Micros;

use crate::Error;
use crate::block_index::BlockLocation;
use crate::blocks::{
    BLOCK_MAGIC, BlockHeader, FILE_MAGIC, FORMAT, INDEX_MAGIC, block_header_bytes, unpack,
};
use crate::codec::DecodeError;
use crate::records::Record;
use crate::start::Source;
use crate::start_codec::decode_sources;
use index_cursor::IndexCursor;

/// A start record whose length field exceeds this size in bytes is treated as damaged.
const MAX_START_BYTES: u32 = 16 << 20;
/// The next block after a damaged one is searched for in steps of this size in bytes.
const SEARCH_BYTES: usize = 1 << 16;

/// The result of reading one block.
#[derive(Debug)]
pub enum BlockRead {
    /// A whole block.
    Block {
        /// The location of the block.
        location: BlockLocation,
        /// The records, each with its router time.
        records: Vec<(Micros, Record)>,
    },
    /// A damaged block.
    Damaged {
        /// Offset of the block in the file, in bytes.
        offset: u64,
        /// Why the block could not be read.
        cause: String,
    },
}

/// How the file ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileEnd {
    /// With its index: the file was completed.
    Complete,
    /// Truncated after its last whole block.
    Truncated {
        /// Offset in bytes after the last whole block.
        offset: u64,
    },
}

/// Reads one file.
pub struct Reader<R> {
    input: R,
    /// The routers whose records the file contains.
    pub sources: Vec<Source>,
    /// Version of the file format.
    pub format: u16,
    /// Offset of the first block.
    first_block: u64,
    /// Present if the file was completed and its index is undamaged.
    index: Option<IndexCursor>,
    /// Offset of the next block.
    next_block: u64,
    /// How the file ended; present once its end was reached.
    pub ended: Option<FileEnd>,
    /// If set, [`Reader::next`] skips the blocks of all other sources.
    pub only_source: Option<u32>,
    /// Number of damaged blocks that [`Reader::next_location`] skipped.
    pub damaged_blocks: u64,
}

/// The header of a file.
struct FileHeader {
    format: u16,
    sources: Vec<Source>,
    /// Size of the header with the start record, in bytes.
    bytes: u64,
}

fn read_file_header(input: &mut impl Read) -> Result<FileHeader, Error> {
    let mut fixed = [0; 16];
    input.read_exact(&mut fixed).map_err(|_| Error::TooShort)?;
    if fixed[..8] != FILE_MAGIC {
        return Err(Error::NotATrace);
    }
    let format = u16::from_le_bytes([fixed[8], fixed[9]]);
    if format == 0 || format > FORMAT {
        return Err(Error::UnsupportedFormat { format });
    }
    let damaged = |cause| Error::DamagedStart { cause };
    let size = u32::from_le_bytes([fixed[12], fixed[13], fixed[14], fixed[15]]);
    if size > MAX_START_BYTES {
        return Err(damaged(DecodeError::UnknownValue));
    }
    let mut start = Vec::new();
    input.take(u64::from(size) + 4).read_to_end(&mut start)?;
    let Some((start, checksum)) = start
        .split_at_checked(size as usize)
        .filter(|(_, checksum)| checksum.len() == 4)
    else {
        return Err(damaged(DecodeError::Truncated));
    };
    let computed = crc32c::crc32c_append(crc32c::crc32c(&fixed), start);
    if computed.to_le_bytes() != checksum {
        return Err(damaged(DecodeError::ChecksumMismatch));
    }
    Ok(FileHeader {
        format,
        sources: decode_sources(format, start).map_err(damaged)?,
        bytes: 16 + u64::from(size) + 4,
    })
}

impl<R: Read + Seek> Reader<R> {
    /// Reads the file header and looks for the index.
    ///
    /// # Errors
    /// Fails when the file is not a trace or has a later format, or when its header is damaged.
    pub fn open(mut input: R) -> Result<Self, Error> {
        let header = read_file_header(&mut input)?;
        // Without a readable index, blocks are found by reading the file sequentially.
        let index = IndexCursor::open(&mut input, header.bytes, header.format).unwrap_or(None);
        input.seek(SeekFrom::Start(header.bytes))?;
        Ok(Reader {
            input,
            sources: header.sources,
            format: header.format,
            first_block: header.bytes,
            index,
            next_block: header.bytes,
            ended: None,
            only_source: None,
            damaged_blocks: 0,
        })
    }

    /// Whether the file was completed and its index is undamaged.
    pub fn has_index(&self) -> bool {
        self.index.is_some()
    }

    /// The bytes of a block header; fewer at the end of the file.
    fn header_bytes_at(&mut self, offset: u64) -> io::Result<Vec<u8>> {
        self.input.seek(SeekFrom::Start(offset))?;
        let mut header = vec![0; block_header_bytes(self.format)];
        let got = read_up_to(&mut self.input, &mut header)?;
        header.truncate(got);
        Ok(header)
    }

    /// Absent if the bytes are not a whole block header.
    fn decode_header(&self, bytes: &[u8]) -> Option<BlockHeader> {
        (bytes.len() == block_header_bytes(self.format))
            .then(|| BlockHeader::decode(self.format, bytes))
            .flatten()
    }

    /// The packed bytes after a header; fewer at the end of the file.
    fn packed_after(&mut self, header: &BlockHeader) -> io::Result<Vec<u8>> {
        let mut packed = Vec::new();
        self.input
            .by_ref()
            .take(u64::from(header.packed_bytes))
            .read_to_end(&mut packed)?;
        Ok(packed)
    }

    fn is_whole(&self, header: &BlockHeader, packed: &[u8]) -> bool {
        packed.len() == header.packed_bytes as usize
            && header.checksum_over(self.format, packed) == header.checksum
    }

    /// Reads the header and the packed bytes of the block at this location; absent if the block is damaged.
    pub fn packed(
        &mut self,
        location: &BlockLocation,
    ) -> Result<Option<(BlockHeader, Vec<u8>)>, Error> {
        let header = self.header_bytes_at(location.offset)?;
        let Some(header) = self.decode_header(&header) else {
            return Ok(None);
        };
        let packed = self.packed_after(&header)?;
        Ok(self.is_whole(&header, &packed).then_some((header, packed)))
    }

    /// The location of the next whole block, from the index or by reading the file sequentially. Other blocks may be
    /// read between two calls.
    ///
    /// # Errors
    /// Fails when the file cannot be read, or its index contains an invalid entry.
    pub fn next_location(&mut self) -> Result<Option<BlockLocation>, Error> {
        if let Some(index) = &mut self.index {
            return index.next(&mut self.input, self.sources.len());
        }
        loop {
            match self.next_of_any_source()? {
                None => return Ok(None),
                Some(BlockRead::Block { location, .. }) => return Ok(Some(location)),
                Some(BlockRead::Damaged { .. }) => self.damaged_blocks += 1,
            }
        }
    }

    /// Continues with the first block.
    pub fn rewind(&mut self) {
        (self.next_block, self.ended) = (self.first_block, None);
        if let Some(index) = &mut self.index {
            index.rewind();
        }
    }

    /// The next block, whole or damaged; absent at the end of the file.
    ///
    /// # Errors
    /// Fails when the file cannot be read; a damaged block is not an error.
    #[expect(
        clippy::should_implement_trait,
        reason = "read errors are returned apart from the blocks, which an iterator cannot do"
    )]
    pub fn next(&mut self) -> Result<Option<BlockRead>, Error> {
        loop {
            let found = self.next_of_any_source()?;
            match (&found, self.only_source) {
                (Some(BlockRead::Block { location, .. }), Some(only))
                    if location.source != only => {}
                _ => return Ok(found),
            }
        }
    }

    fn next_of_any_source(&mut self) -> Result<Option<BlockRead>, Error> {
        if self.ended.is_some() {
            return Ok(None);
        }
        let offset = self.next_block;
        let header = self.header_bytes_at(offset)?;
        if header.starts_with(&INDEX_MAGIC) && self.index.is_some() {
            self.ended = Some(FileEnd::Complete);
            return Ok(None);
        }
        let header_bytes = block_header_bytes(self.format);
        if header.len() < header_bytes {
            self.ended = Some(FileEnd::Truncated { offset });
            return Ok(None);
        }
        let Some(header) = self.decode_header(&header) else {
            return self.damaged(offset, "no block begins here");
        };
        let packed = self.packed_after(&header)?;
        if packed.len() != header.packed_bytes as usize {
            // The file is truncated, unless the length is damaged and more blocks follow.
            return self.damaged(offset, "the block is truncated, or its length is damaged");
        }
        if !self.is_whole(&header, &packed) {
            return self.damaged(offset, &DecodeError::ChecksumMismatch.to_string());
        }
        self.next_block = offset + (header_bytes + packed.len()) as u64;
        let found = match self.records_of(&header, &packed) {
            Ok(records) => BlockRead::Block {
                location: header.location(offset),
                records,
            },
            Err(cause) => BlockRead::Damaged { offset, cause },
        };
        Ok(Some(found))
    }

    /// Decodes the records of a block whose checksum matches; the error is the cause for the report.
    fn records_of(
        &self,
        header: &BlockHeader,
        packed: &[u8],
    ) -> Result<Vec<(Micros, Record)>, String> {
        if header.source as usize >= self.sources.len() {
            return Err("the block refers to a source that the file does not have".into());
        }
        let unpacked = zstd::bulk::decompress(packed, header.unpacked_bytes as usize)
            .map_err(|e| e.to_string())?;
        unpack(&unpacked, header.first, header.records).map_err(|e| e.to_string())
    }

    /// Searches for the next whole block or the index after a damaged block.
    fn damaged(&mut self, offset: u64, cause: &str) -> Result<Option<BlockRead>, Error> {
        let mut at = offset + 1;
        let mut window = vec![0; SEARCH_BYTES];
        loop {
            self.input.seek(SeekFrom::Start(at))?;
            let got = read_up_to(&mut self.input, &mut window)?;
            let candidate = window[..got]
                .windows(4)
                .position(|bytes| bytes == BLOCK_MAGIC || bytes == INDEX_MAGIC);
            if let Some(position) = candidate {
                self.next_block = at + position as u64;
                if self.begins(self.next_block)? {
                    let cause = cause.to_owned();
                    return Ok(Some(BlockRead::Damaged { offset, cause }));
                }
                at = self.next_block + 1;
                continue;
            }
            if got < SEARCH_BYTES {
                self.ended = Some(FileEnd::Truncated { offset });
                return Ok(None);
            }
            // A magic number may cross the end of the window.
            at += (SEARCH_BYTES - 3) as u64;
        }
    }

    /// Whether a whole block or the index begins at this offset, and not just bytes that equal a magic number.
    fn begins(&mut self, offset: u64) -> Result<bool, Error> {
        let header = self.header_bytes_at(offset)?;
        if header.starts_with(&INDEX_MAGIC) {
            return Ok(self.index.is_some());
        }
        let Some(header) = self.decode_header(&header) else {
            return Ok(false);
        };
        let packed = self.packed_after(&header)?;
        Ok(self.is_whole(&header, &packed))
    }

    /// Reads the blocks that overlap the span of their source, with the index if there is one. `span` returns the span
    /// of a source in its router time. Returns the number of blocks read.
    pub fn within(
        &mut self,
        span: impl Fn(u32) -> (Micros, Micros),
        mut each: impl FnMut(BlockRead),
    ) -> Result<u64, Error> {
        let touches = |block: &BlockLocation| {
            let (from, until) = span(block.source);
            block.last >= from && block.first < until
        };
        let mut blocks_read = 0;
        self.rewind();
        if self.index.is_some() {
            while let Some(location) = self.next_location()? {
                if !touches(&location) {
                    continue;
                }
                (self.next_block, self.ended) = (location.offset, None);
                if let Some(found) = self.next()? {
                    blocks_read += 1;
                    each(found);
                }
            }
            return Ok(blocks_read);
        }
        while let Some(found) = self.next()? {
            blocks_read += 1;
            let wanted = match &found {
                BlockRead::Block { location, .. } => touches(location),
                BlockRead::Damaged { .. } => true,
            };
            if wanted {
                each(found);
            }
        }
        Ok(blocks_read)
    }
}

/// Reads until the buffer is full or the input ends; returns the number of bytes read.
fn read_up_to(input: &mut impl Read, into: &mut [u8]) -> io::Result<usize> {
    let mut got = 0;
    while got < into.len() {
        match input.read(&mut into[got..]) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(got)
}

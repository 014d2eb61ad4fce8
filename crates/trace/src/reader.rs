//! Reads a trace file, whole or by its index, however it ended: cut anywhere it is read up to its last whole block,
//! and a block that is damaged costs that block, named by its place.

use std::io::{self, Read, Seek, SeekFrom};

use cedarpulley::interface::Micros;

use crate::Error;
use crate::block_index::{BlockLocation, MAX_ENTRY_BYTES};
use crate::blocks::{
    BLOCK_MAGIC, BlockHeader, FILE_MAGIC, FOOTER_MAGIC, FORMAT, INDEX_MAGIC, block_header_bytes,
    unpack,
};
use crate::codec::{DecodeError, Decoder};
use crate::records::Record;
use crate::start::Source;
use crate::start_codec::decode_sources;

/// Heads beyond this size are none.
const MOST_HEAD: u32 = 16 << 20;
/// An index beyond this size is not read: blocks are found without it.
const MOST_INDEX: u32 = 256 << 20;
const FOOTER: usize = 20;
/// So much of an index is in memory.
const WINDOW: usize = 1 << 14;
/// A lost beginning of a block is looked for in steps of this size.
const SEARCH: usize = 1 << 16;

/// What was found of one block.
#[derive(Debug)]
pub enum Found {
    Block {
        place: BlockLocation,
        records: Vec<(Micros, Record)>,
    },
    /// Damaged, from this offset on, and why.
    Damaged { offset: u64, cause: String },
}

/// How the file ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With its index, in good order.
    Well,
    /// Cut at this offset, after the last whole block.
    Cut { offset: u64 },
}

pub struct Reader<R> {
    input: R,
    pub sources: Vec<Source>,
    pub format: u16,
    first_block: u64,
    /// Where the places of the blocks are, if the file ended well: a long file has a million of them.
    index: Option<(u64, u64)>,
    at: u64,
    pub ended: Option<Ended>,
    /// Blocks of other sources are passed over.
    pub only: Option<u32>,
    /// How much of the index has been told by [`Reader::next_place`], and what has been read of it.
    listed: u64,
    window: Vec<u8>,
    window_at: usize,
    /// Passed over by it.
    pub damaged_blocks: u64,
}

impl<R: Read + Seek> Reader<R> {
    pub fn open(mut input: R) -> Result<Self, Error> {
        let mut fixed = [0; 16];
        input.read_exact(&mut fixed).map_err(|_| Error::TooShort)?;
        if fixed[..8] != FILE_MAGIC {
            return Err(Error::NoTrace);
        }
        let format = u16::from_le_bytes([fixed[8], fixed[9]]);
        if format == 0 || format > FORMAT {
            return Err(Error::Later { format });
        }
        let size = u32::from_le_bytes([fixed[12], fixed[13], fixed[14], fixed[15]]);
        if size > MOST_HEAD {
            return Err(Error::Head {
                cause: DecodeError::UnknownValue,
            });
        }
        let mut body = Vec::new();
        input
            .by_ref()
            .take(u64::from(size) + 4)
            .read_to_end(&mut body)?;
        let Some((body, sum)) = body
            .split_at_checked(size as usize)
            .filter(|(_, sum)| sum.len() == 4)
        else {
            return Err(Error::Head {
                cause: DecodeError::Truncated,
            });
        };
        let whole = crc32c::crc32c_append(crc32c::crc32c(&fixed), body);
        if whole.to_le_bytes() != sum {
            return Err(Error::Head {
                cause: DecodeError::ChecksumMismatch,
            });
        }
        let sources = decode_sources(format, body).map_err(|cause| Error::Head { cause })?;
        let first_block = 16 + u64::from(size) + 4;
        let mut it = Reader {
            input,
            sources,
            format,
            first_block,
            index: None,
            at: first_block,
            ended: None,
            only: None,
            listed: 0,
            window: Vec::new(),
            window_at: 0,
            damaged_blocks: 0,
        };
        it.index = it.read_index().unwrap_or(None);
        it.input.seek(SeekFrom::Start(first_block))?;
        Ok(it)
    }

    /// Absent if the file has none, or none that is whole.
    fn read_index(&mut self) -> io::Result<Option<(u64, u64)>> {
        let end = self.input.seek(SeekFrom::End(0))?;
        if end < self.first_block + FOOTER as u64 {
            return Ok(None);
        }
        self.input.seek(SeekFrom::Start(end - FOOTER as u64))?;
        let mut footer = [0; FOOTER];
        self.input.read_exact(&mut footer)?;
        let sum = crc32c::crc32c(&footer[..8]).to_le_bytes();
        if footer[12..] != FOOTER_MAGIC || footer[8..12] != sum {
            return Ok(None);
        }
        let mut eight = [0; 8];
        eight.copy_from_slice(&footer[..8]);
        let offset = u64::from_le_bytes(eight);
        if offset < self.first_block || offset + 12 > end - FOOTER as u64 {
            return Ok(None);
        }
        self.input.seek(SeekFrom::Start(offset))?;
        let mut head = [0; 8];
        self.input.read_exact(&mut head)?;
        let size = u32::from_le_bytes([head[4], head[5], head[6], head[7]]);
        if head[..4] != INDEX_MAGIC || size > MOST_INDEX || offset + 12 + u64::from(size) > end {
            return Ok(None);
        }
        let (mut left, mut sum) = (size as usize, crc32c::crc32c(&head));
        let mut window = vec![0; WINDOW];
        let mut begins = None;
        while left > 0 {
            let part = &mut window[..left.min(WINDOW)];
            self.input.read_exact(part)?;
            sum = crc32c::crc32c_append(sum, part);
            if begins.is_none() {
                let mut g = Decoder::new(part);
                if g.unsigned().is_err() {
                    return Ok(None);
                }
                begins = Some((part.len() - g.remaining()) as u64);
            }
            left -= part.len();
        }
        let mut told = [0; 4];
        self.input.read_exact(&mut told)?;
        let whole = sum.to_le_bytes() == told;
        Ok(begins
            .filter(|_| whole)
            .map(|n| (offset + 8 + n, u64::from(size) - n)))
    }

    fn entry(&self, g: &mut Decoder) -> Result<BlockLocation, DecodeError> {
        let (offset, first, last, records) = (g.unsigned()?, g.signed()?, g.signed()?, g.u32()?);
        let source = if self.format == 1 { 0 } else { g.u32()? };
        Ok(BlockLocation {
            offset,
            first,
            last,
            records,
            source,
        })
    }

    pub fn has_index(&self) -> bool {
        self.index.is_some()
    }

    /// A whole block as it is packed, by its place; absent if it is damaged.
    pub fn packed(
        &mut self,
        place: &BlockLocation,
    ) -> Result<Option<(BlockHeader, Vec<u8>)>, Error> {
        self.input.seek(SeekFrom::Start(place.offset))?;
        let mut head = vec![0; block_header_bytes(self.format)];
        if fill(&mut self.input, &mut head)? < head.len() {
            return Ok(None);
        }
        let Some(head) = BlockHeader::decode(self.format, &head) else {
            return Ok(None);
        };
        let mut packed = Vec::new();
        self.input
            .by_ref()
            .take(u64::from(head.packed_bytes))
            .read_to_end(&mut packed)?;
        let whole = packed.len() == head.packed_bytes as usize
            && head.checksum_over(self.format, &packed) == head.checksum;
        Ok(whole.then_some((head, packed)))
    }

    /// The place of the next whole block, from where this stands on: by the index, or by reading the file. Its blocks
    /// may be read between.
    pub fn next_place(&mut self) -> Result<Option<BlockLocation>, Error> {
        if let Some((from, size)) = self.index {
            if self.window.len() - self.window_at < MAX_ENTRY_BYTES {
                self.window.drain(..self.window_at);
                self.window_at = 0;
                let ahead = self.window.len() as u64;
                self.input
                    .seek(SeekFrom::Start(from + self.listed + ahead))?;
                let more = (size - self.listed - ahead).min(WINDOW as u64);
                self.input
                    .by_ref()
                    .take(more)
                    .read_to_end(&mut self.window)?;
            }
            let mut g = Decoder::new(&self.window[self.window_at..]);
            if g.is_empty() {
                return Ok(None);
            }
            let left = g.remaining();
            let place = self
                .entry(&mut g)
                .ok()
                .filter(|p| (p.source as usize) < self.sources.len());
            let Some(place) = place else {
                return Err(Error::Index);
            };
            let told = left - g.remaining();
            self.listed += told as u64;
            self.window_at += told;
            return Ok(Some(place));
        }
        loop {
            match self.any()? {
                None => return Ok(None),
                Some(Found::Block { place, .. }) => return Ok(Some(place)),
                Some(Found::Damaged { .. }) => self.damaged_blocks += 1,
            }
        }
    }

    /// From the first block on again.
    pub fn rewind(&mut self) {
        (self.at, self.ended, self.listed) = (self.first_block, None, 0);
        self.window.clear();
        self.window_at = 0;
    }

    /// The next block, or what is left of it; absent at the end.
    #[allow(clippy::should_implement_trait)] // An error of the disk is no block.
    pub fn next(&mut self) -> Result<Option<Found>, Error> {
        loop {
            let found = self.any()?;
            match (&found, self.only) {
                (Some(Found::Block { place, .. }), Some(only)) if place.source != only => {}
                _ => return Ok(found),
            }
        }
    }

    fn any(&mut self) -> Result<Option<Found>, Error> {
        if self.ended.is_some() {
            return Ok(None);
        }
        let offset = self.at;
        self.input.seek(SeekFrom::Start(offset))?;
        let size = block_header_bytes(self.format);
        let mut head = vec![0; size];
        let got = fill(&mut self.input, &mut head)?;
        if got >= 4 && head[..4] == INDEX_MAGIC && self.index.is_some() {
            self.ended = Some(Ended::Well);
            return Ok(None);
        }
        if got < size {
            self.ended = Some(Ended::Cut { offset });
            return Ok(None);
        }
        let Some(place) = BlockHeader::decode(self.format, &head) else {
            return self.damaged(offset, "no block begins here");
        };
        let mut packed = vec![0; 0];
        let wanted = u64::from(place.packed_bytes);
        self.input.by_ref().take(wanted).read_to_end(&mut packed)?;
        if packed.len() as u64 != wanted {
            // Cut, unless a damaged length only makes it seem so and more blocks follow.
            return self.damaged(offset, "it is cut, or its length is damaged");
        }
        if place.checksum_over(self.format, &packed) != place.checksum {
            return self.damaged(offset, &DecodeError::ChecksumMismatch.to_string());
        }
        self.at = offset + size as u64 + wanted;
        if place.source as usize >= self.sources.len() {
            return Ok(Some(Found::Damaged {
                offset,
                cause: "it is of no source of this file".into(),
            }));
        }

        match zstd::bulk::decompress(&packed, place.unpacked_bytes as usize) {
            Ok(raw) => match unpack(&raw, place.first, place.records) {
                Ok(records) => {
                    let BlockHeader {
                        first,
                        last,
                        records: count,
                        source,
                        ..
                    } = place;
                    let place = BlockLocation {
                        offset,
                        first,
                        last,
                        records: count,
                        source,
                    };
                    Ok(Some(Found::Block { place, records }))
                }
                Err(bad) => Ok(Some(Found::Damaged {
                    offset,
                    cause: bad.to_string(),
                })),
            },
            Err(e) => Ok(Some(Found::Damaged {
                offset,
                cause: e.to_string(),
            })),
        }
    }

    /// Goes on at the next thing that looks like a block, or at the index.
    fn damaged(&mut self, offset: u64, cause: &str) -> Result<Option<Found>, Error> {
        let mut at = offset + 1;
        let mut window = vec![0; SEARCH];
        loop {
            self.input.seek(SeekFrom::Start(at))?;
            let got = fill(&mut self.input, &mut window)?;
            let found = window[..got]
                .windows(4)
                .position(|w| w == BLOCK_MAGIC || w == INDEX_MAGIC);
            if let Some(n) = found {
                self.at = at + n as u64;
                if self.begins(self.at)? {
                    return Ok(Some(Found::Damaged {
                        offset,
                        cause: cause.to_owned(),
                    }));
                }
                at = self.at + 1;
                continue;
            }
            if got < SEARCH {
                self.ended = Some(Ended::Cut { offset });
                return Ok(None);
            }
            at += (SEARCH - 3) as u64;
        }
    }

    /// A whole block, or the index, and not bytes that look alike.
    fn begins(&mut self, at: u64) -> Result<bool, Error> {
        self.input.seek(SeekFrom::Start(at))?;
        let size = block_header_bytes(self.format);
        let mut head = vec![0; size];
        let got = fill(&mut self.input, &mut head)?;
        if got >= 4 && head[..4] == INDEX_MAGIC {
            return Ok(self.index.is_some());
        }
        let Some(place) = (got == size)
            .then(|| BlockHeader::decode(self.format, &head))
            .flatten()
        else {
            return Ok(false);
        };
        let mut packed = Vec::new();
        self.input
            .by_ref()
            .take(u64::from(place.packed_bytes))
            .read_to_end(&mut packed)?;
        Ok(packed.len() == place.packed_bytes as usize
            && place.checksum_over(self.format, &packed) == place.checksum)
    }

    /// Only the blocks that touch their source's span, in its own time; by the index if there is one.
    pub fn within(
        &mut self,
        span: impl Fn(u32) -> (Micros, Micros),
        mut each: impl FnMut(Found),
    ) -> Result<u64, Error> {
        let mut read = 0;
        let touching = |p: &BlockLocation| p.last >= span(p.source).0 && p.first < span(p.source).1;
        self.rewind();
        if self.index.is_some() {
            while let Some(place) = self.next_place()? {
                if !touching(&place) {
                    continue;
                }
                (self.at, self.ended) = (place.offset, None);
                if let Some(found) = self.next()? {
                    read += 1;
                    each(found);
                }
            }
            return Ok(read);
        }
        while let Some(found) = self.next()? {
            read += 1;
            let touches = match &found {
                Found::Block { place, .. } => touching(place),
                Found::Damaged { .. } => true,
            };
            if touches {
                each(found);
            }
        }
        Ok(read)
    }
}

/// As much as there is.
fn fill(input: &mut impl Read, into: &mut [u8]) -> io::Result<usize> {
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

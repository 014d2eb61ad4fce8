//! Iterates over the index of a file. Only a window of the index is in memory, since a long file has a million blocks.

use std::io::{self, Read, Seek, SeekFrom};

use crate::Error;
use crate::block_index::{BlockLocation, MAX_ENTRY_BYTES};
use crate::blocks::{FOOTER_MAGIC, INDEX_MAGIC};
use crate::codec::Decoder;

/// An index larger than this size in bytes is not read: blocks are found by reading the file sequentially.
const MAX_INDEX_BYTES: u32 = 256 << 20;
/// Size of the footer: offset of the index, checksum and magic number.
const FOOTER_BYTES: usize = 20;
/// The index is read in parts of this size.
const WINDOW_BYTES: usize = 1 << 14;

/// A position in an undamaged index.
pub(super) struct IndexCursor {
    format: u16,
    /// Offset in the file of the first entry, which follows the count of entries.
    entries_at: u64,
    /// Size of all entries in bytes.
    entries_bytes: u64,
    /// Size in bytes of the entries that were returned.
    returned: u64,
    /// Bytes of entries that were read from the file.
    window: Vec<u8>,
    /// Position in `window` of the first byte that was not returned.
    window_at: usize,
}

/// Reads the footer; returns the offset of the index that it contains, and its own offset.
fn read_footer(input: &mut (impl Read + Seek), first_block: u64) -> io::Result<Option<(u64, u64)>> {
    let end = input.seek(SeekFrom::End(0))?;
    if end < first_block + FOOTER_BYTES as u64 {
        return Ok(None);
    }
    let footer_at = end - FOOTER_BYTES as u64;
    input.seek(SeekFrom::Start(footer_at))?;
    let mut footer = [0; FOOTER_BYTES];
    input.read_exact(&mut footer)?;
    let checksum = crc32c::crc32c(&footer[..8]).to_le_bytes();
    if footer[12..] != FOOTER_MAGIC || footer[8..12] != checksum {
        return Ok(None);
    }
    let mut offset = [0; 8];
    offset.copy_from_slice(&footer[..8]);
    let offset = u64::from_le_bytes(offset);
    Ok((offset >= first_block && offset + 12 <= footer_at).then_some((offset, footer_at)))
}

impl IndexCursor {
    /// Absent if the file has no index, or its index is damaged.
    pub fn open(
        input: &mut (impl Read + Seek),
        first_block: u64,
        format: u16,
    ) -> io::Result<Option<Self>> {
        let Some((offset, footer_at)) = read_footer(input, first_block)? else {
            return Ok(None);
        };
        input.seek(SeekFrom::Start(offset))?;
        let mut header = [0; 8];
        input.read_exact(&mut header)?;
        let size = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
        let file_end = footer_at + FOOTER_BYTES as u64;
        if header[..4] != INDEX_MAGIC
            || size > MAX_INDEX_BYTES
            || offset + 12 + u64::from(size) > file_end
        {
            return Ok(None);
        }
        let count_bytes = check(input, &header, size as usize)?;
        Ok(count_bytes.map(|count_bytes| IndexCursor {
            format,
            entries_at: offset + 8 + count_bytes,
            entries_bytes: u64::from(size) - count_bytes,
            returned: 0,
            window: Vec::new(),
            window_at: 0,
        }))
    }

    /// Continues with the first entry.
    pub fn rewind(&mut self) {
        self.returned = 0;
        self.window.clear();
        self.window_at = 0;
    }

    /// The next entry; absent at the end. `sources` is the number of sources of the file.
    pub fn next(
        &mut self,
        input: &mut (impl Read + Seek),
        sources: usize,
    ) -> Result<Option<BlockLocation>, Error> {
        if self.window.len() - self.window_at < MAX_ENTRY_BYTES {
            self.refill(input)?;
        }
        let mut entries = Decoder::new(&self.window[self.window_at..]);
        if entries.is_empty() {
            return Ok(None);
        }
        let before = entries.remaining();
        let location = BlockLocation::decode(self.format, &mut entries)
            .ok()
            .filter(|location| (location.source as usize) < sources)
            .ok_or(Error::DamagedIndex)?;
        let size = before - entries.remaining();
        self.returned += size as u64;
        self.window_at += size;
        Ok(Some(location))
    }

    /// Drops the returned bytes of the window and reads more entries into it.
    fn refill(&mut self, input: &mut (impl Read + Seek)) -> io::Result<()> {
        self.window.drain(..self.window_at);
        self.window_at = 0;
        let read = self.returned + self.window.len() as u64;
        input.seek(SeekFrom::Start(self.entries_at + read))?;
        let more = (self.entries_bytes - read).min(WINDOW_BYTES as u64);
        input.by_ref().take(more).read_to_end(&mut self.window)?;
        Ok(())
    }
}

/// Verifies the checksum of the index. Returns the size in bytes of the count of entries; absent if the index is
/// damaged.
fn check(input: &mut impl Read, header: &[u8], size: usize) -> io::Result<Option<u64>> {
    let (mut left, mut checksum) = (size, crc32c::crc32c(header));
    let mut window = vec![0; WINDOW_BYTES];
    let mut count_bytes = None;
    while left > 0 {
        let part = &mut window[..left.min(WINDOW_BYTES)];
        input.read_exact(part)?;
        checksum = crc32c::crc32c_append(checksum, part);
        if count_bytes.is_none() {
            let mut entries = Decoder::new(part);
            if entries.unsigned().is_err() {
                return Ok(None);
            }
            count_bytes = Some((part.len() - entries.remaining()) as u64);
        }
        left -= part.len();
    }
    let mut stored = [0; 4];
    input.read_exact(&mut stored)?;
    Ok(count_bytes.filter(|_| checksum.to_le_bytes() == stored))
}

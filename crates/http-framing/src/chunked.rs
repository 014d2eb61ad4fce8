//! Decodes bodies in the chunked transfer encoding of HTTP/1.1 from a buffer that holds them.

use std::ops::Range;

use httparse::Status;

/// The bytes that end the data of a chunk.
const CHUNK_END: &[u8] = b"\r\n";

/// The state of the first chunk in a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Chunk {
    /// The line with the chunk's size has not been received completely.
    SizeIncomplete,
    /// The chunk's data has not been received completely.
    DataIncomplete,
    /// The chunk is complete; the last one of a body has no data.
    Complete {
        /// The position of its data in the buffer.
        data: Range<usize>,
        /// Length of the whole chunk, with size line and line ends, in bytes.
        length: usize,
    },
}

/// Why a chunk cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkError {
    /// The size or the end of the chunk is malformed. Trailer fields after the last chunk are not supported and count
    /// as a malformed end.
    Malformed,
    /// The size line or the data is longer than its limit.
    TooLarge,
}

/// Parses the first chunk in `bytes`. `max_data` and `max_size_line` limit the lengths of its data and of its size
/// line, in bytes.
pub fn parse_chunk(
    bytes: &[u8],
    max_data: usize,
    max_size_line: usize,
) -> Result<Chunk, ChunkError> {
    let parsed = httparse::parse_chunk_size(bytes).map_err(|_| ChunkError::Malformed)?;
    let Status::Complete((size_line, size)) = parsed else {
        return Ok(Chunk::SizeIncomplete);
    };
    if size > max_data as u64 || size_line > max_size_line {
        return Err(ChunkError::TooLarge);
    }
    let data = size_line..size_line + size as usize;
    let length = data.end + CHUNK_END.len();
    match bytes.get(data.end..length) {
        None => Ok(Chunk::DataIncomplete),
        Some(CHUNK_END) => Ok(Chunk::Complete { data, length }),
        Some(_) => Err(ChunkError::Malformed),
    }
}

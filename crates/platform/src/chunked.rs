//! Bodies in the chunked transfer encoding of HTTP/1.1, for requests of clients and responses of discovery alike.

use std::ops::Range;

use httparse::Status;

/// What ends the data of a chunk.
const CHUNK_END: &[u8] = b"\r\n";

/// The first chunk in some bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Chunk {
    /// The line with the chunk's size has not been received completely.
    SizeIncomplete,
    /// The chunk's data has not been received completely.
    DataIncomplete,
    /// The chunk is complete; the last one of a body has no data.
    Complete {
        /// Where its data is.
        data: Range<usize>,
        /// Bytes of the whole chunk.
        length: usize,
    },
}

/// Why no chunk can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChunkError {
    /// Its size or its end is malformed; after the last chunk, further fields count as such.
    Malformed,
    /// Its size line or its data is beyond the limit.
    TooLarge,
}

/// Parses the first chunk. `max_data`, `max_size_line`: limits of its two parts, in bytes.
pub(crate) fn parse_chunk(
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

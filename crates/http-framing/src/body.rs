//! [`Body`]: the part of a body that is still to come.

use crate::MAX_HEAD_BYTES;

/// The line end after the data of a chunk, in bytes.
const CHUNK_END_BYTES: u64 = 2;

/// The part of a body that is still to come.
#[derive(Debug)]
pub(crate) enum Body {
    /// This number of bytes.
    Sized(u64),
    /// Chunks.
    Chunked(Chunks),
    /// Everything until the connection ends, or until its framing can no longer be followed.
    Endless,
}

/// The position in a chunked body.
#[derive(Debug)]
pub(crate) enum Chunks {
    /// In the line with the size of a chunk, of which this has arrived.
    Size(Vec<u8>),
    /// In the data of a chunk or the line end after it, of which this number of bytes is to come.
    Data(u64),
    /// In the lines after the last chunk; the number of bytes of the current one, without line ends.
    Trailer(usize),
}

impl Body {
    /// A body in chunks.
    pub fn chunked() -> Self {
        Body::Chunked(Chunks::Size(Vec::new()))
    }

    /// Removes the bytes of the body from the start of `bytes`; returns true once the body is complete.
    pub fn advance(&mut self, bytes: &mut &[u8]) -> bool {
        match self {
            Body::Sized(remaining) => {
                skip(bytes, remaining);
                *remaining == 0
            }
            Body::Chunked(chunks) => {
                while let Some(byte) = bytes.first().copied() {
                    match chunks.advance(byte, bytes) {
                        Progress::Continue => {}
                        Progress::Complete => return true,
                        Progress::Malformed => {
                            *self = Body::Endless;
                            return self.advance(bytes);
                        }
                    }
                }
                false
            }
            Body::Endless => {
                *bytes = &[];
                false
            }
        }
    }
}

/// The result of a step in a chunked body.
enum Progress {
    Continue,
    Complete,
    Malformed,
}

impl Chunks {
    /// Removes the next bytes, the first of which is `byte`.
    fn advance(&mut self, byte: u8, bytes: &mut &[u8]) -> Progress {
        match self {
            Chunks::Data(remaining) => {
                skip(bytes, remaining);
                if *remaining == 0 {
                    *self = Chunks::Size(Vec::new());
                }
                return Progress::Continue;
            }
            Chunks::Size(line) => {
                line.push(byte);
                if byte == b'\n' {
                    *self = match httparse::parse_chunk_size(line) {
                        Ok(httparse::Status::Complete((_, 0))) => Chunks::Trailer(0),
                        Ok(httparse::Status::Complete((_, size))) => {
                            Chunks::Data(size.saturating_add(CHUNK_END_BYTES))
                        }
                        _ => return Progress::Malformed,
                    };
                } else if line.len() > MAX_HEAD_BYTES {
                    return Progress::Malformed;
                }
            }
            Chunks::Trailer(length) => match byte {
                b'\n' if *length == 0 => {
                    *bytes = &bytes[1..];
                    return Progress::Complete;
                }
                b'\n' => *length = 0,
                b'\r' => {}
                _ => *length += 1,
            },
        }
        *bytes = &bytes[1..];
        Progress::Continue
    }
}

/// Removes up to `remaining` bytes from the start of `bytes`, and subtracts their number.
fn skip(bytes: &mut &[u8], remaining: &mut u64) {
    let length = usize::try_from(*remaining)
        .unwrap_or(usize::MAX)
        .min(bytes.len());
    *bytes = &bytes[length..];
    *remaining -= length as u64;
}

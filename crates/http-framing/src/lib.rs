//! Where messages of HTTP/1.1 end, and what follows them, without I/O.
//!
//! A body that is longer than its declared length cannot be told from a shorter one: only the bytes behind it show that
//! they belong to no other message. [`FollowingInput`] classifies bytes behind a request. [`RequestObserver`] and
//! [`ResponseObserver`] follow the bytes of a connection beside an HTTP library that keeps such bytes to itself. [`parse_chunk`] decodes
//! buffered bodies in chunks.

#![warn(missing_docs)]

mod body;
mod chunked;
mod following_input;
mod request_observer;
mod response_observer;

pub use chunked::{Chunk, ChunkError, parse_chunk};
pub use following_input::FollowingInput;
pub use request_observer::RequestObserver;
pub use response_observer::ResponseObserver;

/// How the end of a body that is buffered as a whole is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By the length of the body, in bytes.
    Sized(usize),
    /// By the last chunk.
    Chunked,
}

/// Longest head that is followed, in bytes. HTTP libraries in use refuse shorter ones already.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Most header fields that are followed.
const MAX_FIELDS: usize = 128;

/// The value of a header field, without spaces around it; `None` if it is absent or not text.
fn field<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a str> {
    let header = headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(header.value).ok().map(str::trim)
}

//! [`LineBuffer`]: the lines of a stream that arrives in pieces.
//!
//! The rule that this type keeps: each byte is looked at once, and moved once for each piece at most, however the sender divides
//! its lines into pieces.

/// The bytes that have arrived and are not taken as lines.
#[derive(Debug, Default)]
pub(crate) struct LineBuffer {
    bytes: Vec<u8>,
    /// Where the next line begins.
    start: usize,
    /// Where the search for the end of the next line goes on.
    searched: usize,
}

impl LineBuffer {
    /// Adds a piece.
    pub fn put(&mut self, piece: &[u8]) {
        self.bytes.drain(..self.start);
        self.searched -= self.start;
        self.start = 0;
        self.bytes.extend_from_slice(piece);
    }

    /// The next whole line, with its line break.
    pub fn next_line(&mut self) -> Option<&[u8]> {
        let end = self.bytes[self.searched..]
            .iter()
            .position(|&byte| byte == b'\n');
        let Some(end) = end else {
            self.searched = self.bytes.len();
            return None;
        };
        let start = self.start;
        self.start = self.searched + end + 1;
        self.searched = self.start;
        Some(&self.bytes[start..self.start])
    }

    /// Number of bytes that are not taken.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.start
    }
}

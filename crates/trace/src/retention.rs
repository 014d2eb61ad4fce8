//! Decides when a trace file is full, which old files go, and what happens when the disk fails. Free of I/O: sizes,
//! times and failures go in. Called with [`Retention::wrote`], [`Retention::failed`] and [`Retention::looked`].
//!
//! Mechanisms:
//! 1. A file ends at a size or an age, whichever comes first.
//! 2. Old files of the same row go, oldest first, until the row fits its budget; the file being written never goes.
//! 3. A disk that fails stops the trace for a while that doubles, never the router; what was lost is a gap.

use cedarpulley::interface::Micros;

/// The first wait after a failure, and the longest: a full disk is seldom emptied sooner, and one that was is seen
/// within this time.
const WAIT_FIRST: Micros = 1_000_000;
const WAIT_MOST: Micros = 300_000_000;

#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub file_bytes: u64,
    pub file_age: Micros,
    /// Of all files of the row.
    pub budget: u64,
}

#[derive(Debug)]
pub struct Retention {
    bounds: Bounds,
    written: u64,
    began: Micros,
    wait: Micros,
    again_at: Option<Micros>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    GoOn,
    /// Finish this file and begin the next.
    Next,
}

impl Retention {
    pub fn new(bounds: Bounds) -> Self {
        Retention {
            bounds,
            written: 0,
            began: 0,
            wait: WAIT_FIRST,
            again_at: None,
        }
    }

    pub fn began(&mut self, now: Micros) {
        (self.written, self.began) = (0, now);
    }

    pub fn wrote(&mut self, now: Micros, bytes: u64) -> Step {
        self.written += bytes;
        self.wait = WAIT_FIRST;
        let full =
            self.written >= self.bounds.file_bytes || now - self.began >= self.bounds.file_age;
        if full { Step::Next } else { Step::GoOn }
    }

    /// The disk failed; until it may be tried again nothing is written.
    pub fn failed(&mut self, now: Micros) {
        self.again_at = Some(now + self.wait);
        self.wait = (self.wait * 2).min(WAIT_MOST);
    }

    /// Whether writing may be tried.
    pub fn may_write(&mut self, now: Micros) -> bool {
        match self.again_at {
            Some(at) if now < at => false,
            _ => {
                self.again_at = None;
                true
            }
        }
    }

    /// `files`: sizes of the row's earlier files, oldest first. How many of them have to go, before one of this
    /// many bytes is begun.
    pub fn looked(&self, files: &[u64]) -> usize {
        // Room for the file that begins: else the budget would be passed while it is written.
        let room = self.bounds.budget.saturating_sub(self.bounds.file_bytes);
        let mut all: u64 = files.iter().sum();
        let mut gone = 0;
        while all > room && gone < files.len() {
            all -= files[gone];
            gone += 1;
        }
        gone
    }
}

//! Decides when a trace file is full, which old files are deleted, and how long writing pauses when the disk fails. Free
//! of I/O: sizes, times and failures go in. Called with [`Retention::wrote`], [`Retention::failed`] and
//! [`Retention::files_to_delete`].
//!
//! Mechanisms:
//! 1. A file ends at a size or an age, whichever comes first.
//! 2. Old files of the same router are deleted, oldest first, until all fit the budget; the file being written never is.
//! 3. A disk that fails stops the trace for a backoff that doubles, never the router; what was lost is a gap.

use cedarpulley::interface::Micros;

/// The first backoff after a failure, and the longest: a full disk is seldom emptied sooner, and one that was is seen
/// within this time.
const FIRST_BACKOFF: Micros = 1_000_000;
const MAX_BACKOFF: Micros = 300_000_000;

/// The limits of a router's trace files.
#[derive(Clone, Copy, Debug)]
pub struct RetentionLimits {
    /// A file ends at this size.
    pub file_bytes: u64,
    /// A file ends at this age, in microseconds.
    pub file_age: Micros,
    /// Bytes of all files of the router.
    pub budget_bytes: u64,
}

/// State of the present file and of the backoff.
#[derive(Debug)]
pub struct Retention {
    bounds: RetentionLimits,
    /// Bytes of the present file.
    written: u64,
    began_at: Micros,
    backoff: Micros,
    retry_at: Option<Micros>,
}

/// What follows on a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterWrite {
    /// Go on with this file.
    KeepFile,
    /// End this file and begin the next.
    EndFile,
}

impl Retention {
    /// Before the first file.
    pub fn new(bounds: RetentionLimits) -> Self {
        Retention {
            bounds,
            written: 0,
            began_at: 0,
            backoff: FIRST_BACKOFF,
            retry_at: None,
        }
    }

    /// A file was begun.
    pub fn began(&mut self, now: Micros) {
        (self.written, self.began_at) = (0, now);
    }

    /// So many bytes were written to the present file.
    pub fn wrote(&mut self, now: Micros, bytes: u64) -> AfterWrite {
        self.written += bytes;
        self.backoff = FIRST_BACKOFF;
        let full =
            self.written >= self.bounds.file_bytes || now - self.began_at >= self.bounds.file_age;
        if full {
            AfterWrite::EndFile
        } else {
            AfterWrite::KeepFile
        }
    }

    /// The disk failed; nothing is written until the backoff has passed.
    pub fn failed(&mut self, now: Micros) {
        self.retry_at = Some(now + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Whether writing may be tried.
    pub fn may_write(&mut self, now: Micros) -> bool {
        match self.retry_at {
            Some(at) if now < at => false,
            _ => {
                self.retry_at = None;
                true
            }
        }
    }

    /// How many of the earlier files have to be deleted before a file is begun. `sizes`: of these files, oldest first.
    pub fn files_to_delete(&self, sizes: &[u64]) -> usize {
        // Room for the file that begins: else the budget would be passed while it is written.
        let room = self
            .bounds
            .budget_bytes
            .saturating_sub(self.bounds.file_bytes);
        let mut total: u64 = sizes.iter().sum();
        let mut deleted = 0;
        while total > room && deleted < sizes.len() {
            total -= sizes[deleted];
            deleted += 1;
        }
        deleted
    }
}

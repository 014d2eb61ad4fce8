//! Decides when a trace file ends, which old files are deleted, and how long writing pauses after a disk failure. Does
//! no I/O: the caller reports writes with [`Retention::wrote`] and failures with [`Retention::failed`], and asks
//! [`Retention::files_to_delete`] before it begins a file.
//!
//! Mechanisms:
//! 1. A file ends when it reaches a size or an age, whichever comes first.
//! 2. Old files of the same router are deleted, oldest first, until all fit into the budget. The file that is being
//!    written is never deleted.
//! 3. After a disk failure, writing pauses for a backoff that doubles with each failure. The router is never stopped;
//!    lost records are reported as a gap.

use cedarpulley::interface::Micros;

/// The first backoff after a failure, in microseconds.
const FIRST_BACKOFF: Micros = 1_000_000;
/// The longest backoff, in microseconds. A full disk is seldom cleared sooner, and a cleared disk is noticed within it.
const MAX_BACKOFF: Micros = 300_000_000;

/// The limits of a router's trace files.
#[derive(Clone, Copy, Debug)]
pub struct RetentionLimits {
    /// A file ends at this size in bytes.
    pub file_bytes: u64,
    /// A file ends at this age, in microseconds.
    pub file_age: Micros,
    /// Limit of the size of all files of the router together, in bytes.
    pub budget_bytes: u64,
}

/// State of the current file and of the backoff.
#[derive(Debug)]
pub struct Retention {
    limits: RetentionLimits,
    /// Size of the current file in bytes.
    written: u64,
    began_at: Micros,
    backoff: Micros,
    retry_at: Option<Micros>,
}

/// What the writer does after a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterWrite {
    /// Continue with this file.
    KeepFile,
    /// End this file and begin the next.
    EndFile,
}

impl Retention {
    /// Creates the state before the first file.
    pub fn new(limits: RetentionLimits) -> Self {
        Retention {
            limits,
            written: 0,
            began_at: 0,
            backoff: FIRST_BACKOFF,
            retry_at: None,
        }
    }

    /// Records that a file was begun.
    pub fn file_begun(&mut self, now: Micros) {
        (self.written, self.began_at) = (0, now);
    }

    /// Records that `bytes` bytes were written to the current file.
    pub fn wrote(&mut self, now: Micros, bytes: u64) -> AfterWrite {
        self.written += bytes;
        self.backoff = FIRST_BACKOFF;
        let file_ends =
            self.written >= self.limits.file_bytes || now - self.began_at >= self.limits.file_age;
        if file_ends {
            AfterWrite::EndFile
        } else {
            AfterWrite::KeepFile
        }
    }

    /// Records a disk failure: nothing is written until the backoff has passed.
    pub fn failed(&mut self, now: Micros) {
        self.retry_at = Some(now + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Whether writing may be attempted.
    pub fn may_write(&mut self, now: Micros) -> bool {
        match self.retry_at {
            Some(at) if now < at => false,
            _ => {
                self.retry_at = None;
                true
            }
        }
    }

    /// Number of earlier files, oldest first, that must be deleted before a file is begun. `sizes` contains the sizes
    /// of the earlier files in bytes, oldest first.
    pub fn files_to_delete(&self, sizes: &[u64]) -> usize {
        // Reserves space for the new file: otherwise, the budget would be exceeded while it is written.
        let room = self
            .limits
            .budget_bytes
            .saturating_sub(self.limits.file_bytes);
        let mut total: u64 = sizes.iter().sum();
        let mut deleted = 0;
        while total > room && deleted < sizes.len() {
            total -= sizes[deleted];
            deleted += 1;
        }
        deleted
    }
}

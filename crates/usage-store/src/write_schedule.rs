//! When usage is written, and what happens when the disk fails. Free of I/O: times and results go in.
//!
//! 1. Usage is written once a second: a power cut loses at most that, and writing much costs as much as writing
//!    little.
//! 2. After a failure it stays in memory, and the next attempt waits twice as long. It is bounded by its number of
//!    keys: with a disk that is full for a week, amounts beyond lose their function's name, and readings beyond are
//!    dropped and counted; a later reading contains them.
//! 3. A ledger that cannot be read is renamed, once in the life of a process, and a new one begun: a gap that is
//!    reported is better than a router that meters nothing.

use cedarpulley::interface::Micros;

/// Between two writes: each waits for the disk once.
const INTERVAL: Micros = 1_000_000;
const MAX_BACKOFF: Micros = 300_000_000;

/// The schedule of one ledger's writes.
#[derive(Debug, Default)]
pub struct WriteSchedule {
    /// The wait after the last failure; 0 after a success.
    backoff: Micros,
    due_at: Micros,
    set_aside: bool,
    /// Number of writes that failed.
    pub failures: u64,
}

impl WriteSchedule {
    /// Whether it is time to write.
    pub fn is_due(&self, now: Micros) -> bool {
        now >= self.due_at
    }

    /// A write succeeded.
    pub fn on_written(&mut self, now: Micros) {
        self.backoff = 0;
        self.due_at = now + INTERVAL;
    }

    /// A write failed.
    pub fn on_failed(&mut self, now: Micros) {
        self.failures += 1;
        self.backoff = (self.backoff * 2).clamp(INTERVAL, MAX_BACKOFF);
        self.due_at = now + self.backoff;
    }

    /// Whether a ledger that cannot be read may be renamed now: true the first time only.
    pub fn may_set_aside(&mut self) -> bool {
        !std::mem::replace(&mut self.set_aside, true)
    }
}

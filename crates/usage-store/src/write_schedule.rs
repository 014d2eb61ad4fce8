//! Decides when usage is written, and what happens when a write fails. Free of I/O: the caller passes in times and
//! results.
//!
//! 1. Usage is written once a second. A power failure loses at most the usage of one second, and a large write costs as
//!    much as a small one.
//! 2. After a failed write, the usage stays in memory, and the wait before the next attempt doubles. The number of keys
//!    in memory is limited: if the disk stays full for a week, amounts above the limit lose their function's name, and
//!    readings above the limit are dropped and counted; a later reading includes them.
//! 3. A ledger that cannot be read is renamed, at most once per process, and a new one is created: a reported gap is
//!    better than a router that meters nothing.

use cedarpulley::interface::Micros;

/// Time between two writes in microseconds. Each write waits for one sync of the disk.
const INTERVAL: Micros = 1_000_000;
/// Longest wait after a failed write, in microseconds.
const MAX_BACKOFF: Micros = 300_000_000;

/// The schedule of one ledger's writes.
#[derive(Debug, Default)]
pub struct WriteSchedule {
    /// The wait after the last failed write, in microseconds; 0 after a successful one.
    backoff: Micros,
    /// When the next write is due, in microseconds.
    due_at: Micros,
    /// Whether the one renaming of an unreadable ledger that each process is allowed has been used.
    ledger_renamed: bool,
    /// Number of writes that failed.
    pub failures: u64,
}

impl WriteSchedule {
    /// Whether it is time to write.
    pub fn is_due(&self, now: Micros) -> bool {
        now >= self.due_at
    }

    /// Schedules the next write after a successful one.
    pub fn on_written(&mut self, now: Micros) {
        self.backoff = 0;
        self.due_at = now + INTERVAL;
    }

    /// Schedules the next attempt after a failed write.
    pub fn on_failed(&mut self, now: Micros) {
        self.failures += 1;
        self.backoff = (self.backoff * 2).clamp(INTERVAL, MAX_BACKOFF);
        self.due_at = now + self.backoff;
    }

    /// Whether a ledger that cannot be read may be renamed now. Returns true only for the first call.
    pub fn may_rename_ledger(&mut self) -> bool {
        !std::mem::replace(&mut self.ledger_renamed, true)
    }
}

//! Decides when sums are written, and what happens when the disk fails. Free of I/O: times and results go in.
//!
//! Mechanisms:
//! 1. Sums are written once a [`PACE`]: a power cut loses at most that, and a writing of many costs as much as of few.
//! 2. After a failure they stay in memory and are tried again after a wait that doubles. They are bounded by their
//!    keys: of a disk that is full for a week, sums beyond lose whose function they were, and readings beyond are left
//!    out and counted; a later reading has them again.
//! 3. A ledger that cannot be read is set aside under another name, once in a life, and a new one begun: better a gap
//!    that is told than a router that meters nothing.

use cedarpulley::interface::Micros;

/// Between two writings: each waits for the disk once.
pub const PACE: Micros = 1_000_000;
const WAIT_MOST: Micros = 300_000_000;

#[derive(Debug, Default)]
pub struct Writing {
    wait: Micros,
    due: Micros,
    set_aside: bool,
    /// Writings that failed.
    pub failures: u64,
}

impl Writing {
    pub fn is_due(&self, now: Micros) -> bool {
        now >= self.due
    }

    pub fn wrote(&mut self, now: Micros) {
        (self.wait, self.due) = (0, now + PACE);
    }

    pub fn failed(&mut self, now: Micros) {
        self.failures += 1;
        self.wait = (self.wait * 2).clamp(PACE, WAIT_MOST);
        self.due = now + self.wait;
    }

    /// Whether one that cannot be read may be set aside now.
    pub fn sets_aside(&mut self) -> bool {
        !std::mem::replace(&mut self.set_aside, true)
    }
}

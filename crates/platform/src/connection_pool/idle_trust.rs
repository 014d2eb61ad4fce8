//! Estimates for how long an idle connection may be reused before it is likely that the worker has dropped it.

use cedarpulley::interface::Micros;

/// An idle connection is closed from here after this part (numerator, denominator) of the time after which the worker
/// closes it: otherwise a request may cross the worker's close.
const IDLE_TIMEOUT_PART: (Micros, Micros) = (4, 5);
/// A dropped connection answers the first bytes with a reset, one round trip after the use: sooner than most
/// work is done, later than the network takes.
const RESET_WITHIN: Micros = 8_000;
/// After such a reset, connections are trusted for this part of the time that this one had been idle.
const SHRINK_DIVISOR: Micros = 2;
/// Only a connection that had been idle for at least this part of the trusted time shows that more can be trusted.
const EVIDENCE_DIVISOR: Micros = 2;
/// Each answer on such a connection adds one part in so many to the trusted time.
const GROW_DIVISOR: Micros = 32;
/// From less, the trusted time could not grow again.
const MIN_TRUSTED: Micros = 1_000;

/// The time for which an idle connection is trusted to be alive, in microseconds: it shrinks when one turns out to be
/// dead, and grows back while idle ones turn out to be alive.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleTrust {
    trusted: Micros,
    max_trusted: Micros,
}

impl IdleTrust {
    /// `keepalive`: for how long workers keep an idle connection.
    pub fn new(keepalive: Micros) -> Self {
        let max_trusted = keepalive * IDLE_TIMEOUT_PART.0 / IDLE_TIMEOUT_PART.1;
        IdleTrust {
            trusted: max_trusted,
            max_trusted,
        }
    }

    /// Whether a connection that has been idle for this long may be reused.
    pub fn allows(&self, idle: Micros) -> bool {
        idle <= self.trusted
    }

    /// Bytes arrived on a connection that had been idle for `idle` before its last use: it was alive.
    pub fn found_alive(&mut self, idle: Micros) {
        if idle >= self.trusted / EVIDENCE_DIVISOR {
            self.trusted = (self.trusted + self.trusted / GROW_DIVISOR).min(self.max_trusted);
        }
    }

    /// A connection that had been idle for `idle` was lost `after` its last use. If that was at once, the worker had
    /// dropped it while it was idle.
    pub fn lost(&mut self, idle: Micros, after: Micros) {
        if after <= RESET_WITHIN {
            self.trusted = self.trusted.min(idle / SHRINK_DIVISOR).max(MIN_TRUSTED);
        }
    }
}

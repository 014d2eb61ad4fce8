//! Estimates how long an idle connection may be reused before the worker is likely to have dropped it.

use cedarpulley::interface::Micros;

/// This router closes an idle connection after this fraction (numerator, denominator) of the time after which the
/// worker closes it. Otherwise a request could be sent while the worker is closing the connection.
const KEEPALIVE_FRACTION: (Micros, Micros) = (4, 5);
/// A connection that is lost within this time after its use, in microseconds, counts as dropped while it was idle. A
/// dropped connection is reset one round trip after the first bytes are sent. The time is longer than a round trip
/// takes, and shorter than most executions.
const RESET_WINDOW: Micros = 8_000;
/// After such a reset, the limit is at most the idle time of that connection divided by this number.
const SHRINK_DIVISOR: Micros = 2;
/// The limit grows only after a connection was found alive that had been idle for at least the limit divided by this
/// number: shorter idle times do not show that longer ones are safe.
const EVIDENCE_DIVISOR: Micros = 2;
/// The limit grows in steps of the limit divided by this number.
const GROWTH_DIVISOR: Micros = 32;
/// Lowest limit, in microseconds: a much lower one could not grow again.
const MIN_LIMIT: Micros = 1_000;

/// The longest idle time after which a connection is reused, in microseconds. The limit shrinks when a connection that
/// was idle turns out to have been dropped, and grows back while idle connections turn out to be alive.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleReuseLimit {
    limit: Micros,
    max_limit: Micros,
}

impl IdleReuseLimit {
    /// `keepalive`: time after which workers close an idle connection, in microseconds.
    pub fn new(keepalive: Micros) -> Self {
        let max_limit = keepalive * KEEPALIVE_FRACTION.0 / KEEPALIVE_FRACTION.1;
        IdleReuseLimit {
            limit: max_limit,
            max_limit,
        }
    }

    /// Whether a connection that has been idle for `idle` microseconds may be reused.
    pub fn allows(&self, idle: Micros) -> bool {
        idle <= self.limit
    }

    /// Records that bytes arrived on a connection that had been idle for `idle` microseconds before its use, so it was
    /// alive.
    pub fn found_alive(&mut self, idle: Micros) {
        if idle >= self.limit / EVIDENCE_DIVISOR {
            self.limit = (self.limit + self.limit / GROWTH_DIVISOR).min(self.max_limit);
        }
    }

    /// Records that a connection was lost `after` microseconds from its use, before which it had been idle for `idle`
    /// microseconds. A loss within [`RESET_WINDOW`] means that the worker had dropped it while it was idle.
    pub fn lost(&mut self, idle: Micros, after: Micros) {
        if after <= RESET_WINDOW {
            self.limit = self.limit.min(idle / SHRINK_DIVISOR).max(MIN_LIMIT);
        }
    }
}

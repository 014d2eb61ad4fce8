//! Estimates how long bytes may have waited in the kernel because the process was not running.
//!
//! A process that shares its core, or that was stopped, reads bytes later than they arrived. Times that are counted
//! from the read, such as the deadline of a client or the drain grace of a worker, would then end too late. The event
//! loop calls [`EventLoopLag::timer_ran`] at a fixed period; [`EventLoopLag::lag`] estimates its delay from those
//! calls.

use cedarpulley::interface::Micros;

/// Number of timer periods that do not count as lag. The last catch-up that is known is that of the previous run, up
/// to two periods ago: one period passes between two runs, and the timer may run before or after the reads of the
/// same wake-up.
const TOLERATED_PERIODS: Micros = 2;

/// Estimates the lag of the event loop from the times at which its periodic timer ran.
#[derive(Clone, Copy, Debug)]
pub struct EventLoopLag {
    period: Micros,
    last_run: Micros,
    /// Time of the run before the last one: the loop has since read everything that had arrived by then.
    caught_up_at: Micros,
}

impl EventLoopLag {
    /// `period`: time between two runs of the timer, in microseconds. No lag is assumed at `now`, on the router's
    /// clock.
    pub fn new(period: Micros, now: Micros) -> Self {
        EventLoopLag {
            period,
            last_run: now,
            caught_up_at: now,
        }
    }

    /// Records that the periodic timer ran at `now`.
    pub fn timer_ran(&mut self, now: Micros) {
        self.caught_up_at = self.last_run;
        self.last_run = now;
    }

    /// The longest time for which bytes that are read at `now` may have waited, in microseconds. It is 0 while the
    /// timer runs at its period.
    pub fn lag(&self, now: Micros) -> Micros {
        (now - self.caught_up_at - TOLERATED_PERIODS * self.period).max(0)
    }
}

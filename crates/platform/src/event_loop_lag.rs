//! Estimates for how long bytes may have been waiting in the kernel because the process was not running.
//!
//! A process that shares its core, or was stopped, reads bytes later than they arrived. Times that are counted from
//! the read (a client's deadline, the grace of a draining worker) would then be too generous. The event loop calls
//! [`EventLoopLag::beat`] at a fixed period; [`EventLoopLag::lag`] is how far behind it may be.

use cedarpulley::interface::Micros;

/// Beats that may pass unnoticed: bytes read between two beats arrived at most one period ago, and the beat itself may
/// run before or after the reads that the same wake-up brings.
const BEATS_IN_FLIGHT: Micros = 2;

/// How late the event loop may be, from the times at which its periodic timer ran.
#[derive(Clone, Copy, Debug)]
pub struct EventLoopLag {
    period: Micros,
    last_beat: Micros,
    /// The beat before the last one: everything that had arrived by then has been read since.
    caught_up_at: Micros,
}

impl EventLoopLag {
    /// `period`: time between two beats, in microseconds. The loop counts as caught up at `now`.
    pub fn new(period: Micros, now: Micros) -> Self {
        EventLoopLag {
            period,
            last_beat: now,
            caught_up_at: now,
        }
    }

    /// The periodic timer ran.
    pub fn beat(&mut self, now: Micros) {
        self.caught_up_at = self.last_beat;
        self.last_beat = now;
    }

    /// Bytes read now may have arrived this many microseconds ago; 0 while the loop keeps its period.
    pub fn lag(&self, now: Micros) -> Micros {
        (now - self.caught_up_at - BEATS_IN_FLIGHT * self.period).max(0)
    }
}

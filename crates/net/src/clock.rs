//! The monotonic clock and the wall clock of a process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cedarpulley::interface::Micros;

/// Converts microseconds to a [`Duration`]; a negative number becomes 0.
pub fn duration_from_micros(us: Micros) -> Duration {
    Duration::from_micros(us.max(0) as u64)
}

/// A monotonic clock that starts at 0, which all timers use, and the wall clock, for points in time that clients and
/// other systems specify.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// When this clock was 0.
    zero: Instant,
    /// Added to the system's wall clock, in microseconds.
    wall_offset: Micros,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Clock::with_wall_offset(0)
    }

    /// Creates a clock that starts now and whose wall clock is wrong by `wall_offset` microseconds, for tests.
    pub fn with_wall_offset(wall_offset: Micros) -> Self {
        Clock {
            zero: Instant::now(),
            wall_offset,
        }
    }

    /// Microseconds since the clock was started.
    pub fn now(&self) -> Micros {
        self.zero.elapsed().as_micros() as Micros
    }

    /// Converts a time on the scale of [`Clock::now`] to an [`Instant`].
    pub fn instant(&self, at: Micros) -> Instant {
        self.zero + duration_from_micros(at)
    }

    /// Microseconds since the Unix epoch. Unlike [`Clock::now`], this time may jump forwards and backwards.
    pub fn wall_time(&self) -> Micros {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since_epoch| since_epoch.as_micros() as Micros)
            + self.wall_offset
    }
}

//! Clocks of a process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cedarpulley::interface::Micros;

/// Microseconds as a [`Duration`]; negative ones as 0.
pub fn duration_from_micros(us: Micros) -> Duration {
    Duration::from_micros(us.max(0) as u64)
}

/// A monotonic clock that starts at 0, by which everything is timed, and the wall clock, for times that clients and
/// other systems name.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    zero: Instant,
    wall_offset: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock::with_wall_offset(0)
    }

    /// A clock that starts now and whose wall clock is wrong by `wall_offset`, for tests.
    pub fn with_wall_offset(wall_offset: Micros) -> Self {
        Clock {
            zero: Instant::now(),
            wall_offset,
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Micros {
        self.zero.elapsed().as_micros() as Micros
    }

    /// A time of [`Clock::now`] as an [`Instant`].
    pub fn instant(&self, at: Micros) -> Instant {
        self.zero + duration_from_micros(at)
    }

    /// Time since the Unix epoch; it may jump.
    pub fn wall_time(&self) -> Micros {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since_epoch| since_epoch.as_micros() as Micros)
            + self.wall_offset
    }
}

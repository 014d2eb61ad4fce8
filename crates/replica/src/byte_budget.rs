//! A token bucket of bytes that limits the transfer rate of catching up.

use cedarpulley::interface::Micros;

/// The burst is the number of bytes per second divided by this number.
const BURST_DIVISOR: u64 = 8;

/// A token bucket: the bytes that may be transferred now. The balance is negative after a transfer that was larger than
/// what was available.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ByteBudget {
    available: i64,
    updated_at: Micros,
}

impl ByteBudget {
    pub(crate) fn new(now: Micros) -> Self {
        ByteBudget {
            available: 0,
            updated_at: now,
        }
    }

    /// Takes the bytes of a transfer from the budget, and returns the time at which the next transfer may begin.
    pub(crate) fn take(&mut self, now: Micros, bytes_per_s: u64, bytes: usize) -> Micros {
        let burst = (bytes_per_s / BURST_DIVISOR) as i64;
        let elapsed = (now - self.updated_at).clamp(0, 1_000_000);
        let refill = elapsed as i128 * bytes_per_s as i128 / 1_000_000;
        self.available = (self.available + refill as i64).min(burst);
        self.updated_at = now;
        self.available -= bytes as i64;
        if self.available >= 0 {
            return now;
        }
        let wait = -self.available as i128 * 1_000_000 / bytes_per_s.max(1) as i128;
        now.saturating_add(wait as Micros)
    }
}

//! [`DeadlineTimer`]: a timer for the earliest of several deadlines.

use std::cell::Cell;

use async_io::Timer;
use cedarpulley::interface::Micros;
use futures_lite::FutureExt;

use crate::clock::Clock;
use crate::notifier::Notifier;

/// Elapses at the earliest deadline that was set, even if that deadline is set while a task already waits.
#[derive(Debug)]
pub struct DeadlineTimer {
    /// The earliest deadline on the clock's scale, in microseconds; [`Micros::MAX`] if none is set.
    deadline: Cell<Micros>,
    /// Notified when an earlier deadline is set, so that a waiting task starts its wait anew.
    deadline_changed: Notifier,
}

impl Default for DeadlineTimer {
    fn default() -> Self {
        DeadlineTimer {
            deadline: Cell::new(Micros::MAX),
            deadline_changed: Notifier::default(),
        }
    }
}

impl DeadlineTimer {
    /// Sets a deadline, in microseconds on the clock's scale. A deadline later than the current one is ignored.
    pub fn set_deadline(&self, deadline: Micros) {
        if deadline < self.deadline.get() {
            self.deadline.set(deadline);
            self.deadline_changed.notify();
        }
    }

    /// Waits until the deadline has passed, then clears it.
    pub async fn elapsed(&self, clock: &Clock) {
        loop {
            let deadline = self.deadline.get();
            let elapsed = async {
                match deadline {
                    Micros::MAX => std::future::pending().await,
                    deadline => {
                        Timer::at(clock.instant(deadline)).await;
                    }
                }
                true
            };
            let moved = async {
                self.deadline_changed.notified().await;
                false
            };
            if elapsed.or(moved).await {
                return self.deadline.set(Micros::MAX);
            }
        }
    }
}

//! A timer for the next of many deadlines.

use std::cell::Cell;

use async_io::Timer;
use cedarpulley::interface::Micros;
use futures_lite::FutureExt;

use crate::clock::Clock;
use crate::notifier::Notifier;

/// Elapses at the earliest deadline that it was set to, also if that is set while a task waits.
#[derive(Debug)]
pub struct DeadlineTimer {
    /// [`Micros::MAX`] if none is set.
    deadline: Cell<Micros>,
    deadline_moved: Notifier,
}

impl Default for DeadlineTimer {
    fn default() -> Self {
        DeadlineTimer {
            deadline: Cell::new(Micros::MAX),
            deadline_moved: Notifier::default(),
        }
    }
}

impl DeadlineTimer {
    /// Sets a deadline; a later one than that already set is ignored.
    pub fn set_deadline(&self, deadline: Micros) {
        if deadline < self.deadline.get() {
            self.deadline.set(deadline);
            self.deadline_moved.notify();
        }
    }

    /// Waits for the deadline and clears it.
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
                self.deadline_moved.notified().await;
                false
            };
            if elapsed.or(moved).await {
                return self.deadline.set(Micros::MAX);
            }
        }
    }
}

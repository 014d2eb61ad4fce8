//! [`DrainLeaseTracker`]: until when the endpoint list holds every drain that counts as announced.
//!
//! By the protocol, what discovery would have announced while it was lost counts as announced at a later time, which
//! depends on how it was lost. Until then the list can be relied on for drains, and after that for the drain grace.

use cedarpulley::interface::{DrainLease, Micros};

use super::{FIRST_POLL_WAIT, POLL_WAIT};

/// Time after the connection to discovery broke at which its announcements count as received, in microseconds.
const BREAK_TERM: Micros = 2_000_000;
/// Time after the end of the wait that an unanswered poll asked for at which the announcements count as received, in
/// microseconds.
const SILENCE_TERM: Micros = 2_000_000;
/// Time after the signal that moved discovery to another address at which the announcements count as received, in
/// microseconds.
const MOVE_TERM: Micros = 4_000_000;

/// How discovery was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryLoss {
    /// The connection ended, or its responses could not be used any longer.
    Broken,
    /// A poll was not answered, although the connection stayed open.
    Silent,
    /// A signal moved discovery to another address.
    Moved,
}

/// Tracks the lease of the endpoint list for drains. All times are in microseconds of the router's clock.
#[derive(Clone, Copy, Debug)]
pub struct DrainLeaseTracker {
    lease: DrainLease,
    /// When the wait ends that the present poll asked for; `None` unless the connection has answered a poll before.
    wait_ends: Option<Micros>,
}

impl Default for DrainLeaseTracker {
    /// Discovery has not been heard yet: the lease has ended.
    fn default() -> Self {
        DrainLeaseTracker {
            lease: DrainLease {
                until: Micros::MIN,
                discovery_lost: true,
            },
            wait_ends: None,
        }
    }
}

impl DrainLeaseTracker {
    /// The present lease. Discovery counts as lost if its connection broke, a poll was not answered or it moved, and it has
    /// not responded since, or if it has never responded.
    pub fn lease(&self) -> DrainLease {
        self.lease
    }

    /// For how long discovery may hold the next poll open. If the lease is over, as this process stood still while the last
    /// response waited to be read, the next poll is to be answered at once.
    pub fn next_poll_wait(&self, now: Micros) -> Micros {
        if now < self.lease.until {
            POLL_WAIT
        } else {
            FIRST_POLL_WAIT
        }
    }

    /// Records that a poll is sent at `now` which discovery may hold open for `wait`. After a loss, the lease does not
    /// depend on it.
    pub fn poll_sent(&mut self, now: Micros, wait: Micros) {
        self.wait_ends = (!self.lease.discovery_lost).then_some(now + wait);
    }

    /// Records a response that arrived at `arrived` or later, and that was applied.
    pub fn response_applied(&mut self, arrived: Micros) {
        self.lease.discovery_lost = false;
        self.extend(arrived + BREAK_TERM);
    }

    /// Records that discovery was lost at `lost_at` or later. If it had been lost before, the lease stays as it is.
    pub fn lost(&mut self, loss: DiscoveryLoss, lost_at: Micros) {
        self.lease.discovery_lost = true;
        let Some(wait_ends) = self.wait_ends.take() else {
            return;
        };
        let silence_counts_at = wait_ends + SILENCE_TERM;
        self.extend(match loss {
            DiscoveryLoss::Broken => silence_counts_at.min(lost_at + BREAK_TERM),
            DiscoveryLoss::Silent => silence_counts_at,
            DiscoveryLoss::Moved => lost_at + MOVE_TERM,
        });
    }

    fn extend(&mut self, until: Micros) {
        self.lease.until = self.lease.until.max(until);
    }
}

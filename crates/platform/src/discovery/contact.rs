//! [`DiscoveryContact`]: whether discovery is in reach, for the log: one message when it has been lost for too long, and
//! one when it is back.

use cedarpulley::interface::Micros;

use super::LIST_LEASE;

/// Discovery has been lost, or is back, after so many microseconds without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence(pub Micros);

/// When discovery was last heard, and whether its loss has been reported.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryContact {
    last_heard: Micros,
    reported: bool,
}

impl DiscoveryContact {
    /// The router starts at `now`, with the list in its configuration.
    pub fn new(now: Micros) -> Self {
        DiscoveryContact {
            last_heard: now,
            reported: false,
        }
    }

    /// A response arrived; returns the silence that it ends, if its beginning was reported.
    pub fn heard(&mut self, now: Micros) -> Option<Silence> {
        let silence = Silence(now - self.last_heard);
        self.last_heard = now;
        std::mem::take(&mut self.reported).then_some(silence)
    }

    /// A poll failed; returns the silence so far, once, when it has outlasted the list's lease.
    pub fn failed(&mut self, now: Micros) -> Option<Silence> {
        let silence = now - self.last_heard;
        if self.reported || silence < LIST_LEASE {
            return None;
        }
        self.reported = true;
        Some(Silence(silence))
    }
}

//! [`DiscoveryContact`] decides when the log reports that discovery does not respond: once when the silence has
//! outlasted the lease of the endpoint list, and once when discovery responds again.

use cedarpulley::interface::Micros;

use super::LIST_LEASE;

/// A time without a response from discovery, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence(pub Micros);

/// The time of the last response from discovery, and whether the silence since then has been reported.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryContact {
    last_response: Micros,
    reported: bool,
}

impl DiscoveryContact {
    /// The router starts at `now` with the endpoint list in its configuration, which counts as a response.
    pub fn new(now: Micros) -> Self {
        DiscoveryContact {
            last_response: now,
            reported: false,
        }
    }

    /// The silence at `now`.
    pub fn silence(&self, now: Micros) -> Silence {
        Silence(now - self.last_response)
    }

    /// Records a response; returns the silence that it ends if [`DiscoveryContact::record_failure`] has reported that
    /// silence.
    pub fn record_response(&mut self, now: Micros) -> Option<Silence> {
        let silence = Silence(now - self.last_response);
        self.last_response = now;
        std::mem::take(&mut self.reported).then_some(silence)
    }

    /// Records a failed poll; returns the silence so far if it has outlasted the lease of the endpoint list and has not
    /// been reported yet.
    pub fn record_failure(&mut self, now: Micros) -> Option<Silence> {
        let silence = now - self.last_response;
        if self.reported || silence < LIST_LEASE {
            return None;
        }
        self.reported = true;
        Some(Silence(silence))
    }
}

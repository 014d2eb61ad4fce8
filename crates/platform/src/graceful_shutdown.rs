//! Decides what a router still accepts after the signal to stop, and when it may exit. Call
//! [`GracefulShutdown::begin`] on the signal and [`GracefulShutdown::accepts`] for each request, and poll
//! [`GracefulShutdown::may_exit`] until it is true.

use cedarpulley::interface::Micros;

/// Clients that have not noticed the shutdown yet have their requests accepted for this long, by the protocol.
const ACCEPT_PERIOD: Micros = 700_000;
/// Beyond the deadline of the last accepted request, its answer has this long to reach the client.
const EXIT_MARGIN: Micros = 500_000;

/// The state of a graceful shutdown; times are microseconds of the router's clock.
#[derive(Debug)]
pub struct GracefulShutdown {
    longest_deadline: Micros,
    begun_at: Option<Micros>,
}

impl GracefulShutdown {
    /// `longest_deadline`: the longest that any client may wait for its answer.
    pub fn new(longest_deadline: Micros) -> Self {
        GracefulShutdown {
            longest_deadline,
            begun_at: None,
        }
    }

    /// The signal to stop arrived; a repeated one changes nothing.
    pub fn begin(&mut self, now: Micros) {
        self.begun_at.get_or_insert(now);
    }

    /// Whether the signal to stop has arrived.
    pub fn begun(&self) -> bool {
        self.begun_at.is_some()
    }

    /// Whether a request whose last byte arrived at `arrived` is still accepted.
    pub fn accepts(&self, arrived: Micros) -> bool {
        self.begun_at
            .is_none_or(|begun| arrived - begun <= ACCEPT_PERIOD)
    }

    /// Whether the process may exit now. `unfinished`: a request is unanswered, partly received, or may be in one of the
    /// kernel's buffers. The caller must have checked those buffers right before the call: a request that is in one
    /// counts as accepted although nobody has read it. The time limit is for clients that never finish.
    pub fn may_exit(&self, now: Micros, unfinished: bool) -> bool {
        let Some(begun) = self.begun_at else {
            return false;
        };
        let overdue = now - begun > ACCEPT_PERIOD + self.longest_deadline + EXIT_MARGIN;
        overdue || !unfinished && !self.accepts(now)
    }
}

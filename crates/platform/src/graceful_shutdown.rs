//! Decides what a router that was told to stop still accepts, and when it may exit. Call
//! [`GracefulShutdown::begin`] with the order to stop; [`GracefulShutdown::accepts`] judges each request, and
//! [`GracefulShutdown::may_exit`] is asked again and again until it agrees.

use cedarpulley::interface::Micros;

/// Requests that crossed the order to stop are accepted for this long, by the protocol.
const STILL_ACCEPTS: Micros = 700_000;
/// The last accepted request has its whole deadline, and its answer this long to reach the client.
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

    /// The order to stop came; a repeated order changes nothing.
    pub fn begin(&mut self, now: Micros) {
        self.begun_at.get_or_insert(now);
    }

    /// Whether the order to stop has come.
    pub fn begun(&self) -> bool {
        self.begun_at.is_some()
    }

    /// Whether a request whose last byte arrived at `arrived` is still accepted.
    pub fn accepts(&self, arrived: Micros) -> bool {
        self.begun_at
            .is_none_or(|begun| arrived - begun <= STILL_ACCEPTS)
    }

    /// Whether the process may exit now. `unfinished`: a request is unanswered, partly received, or may lie in one of the
    /// kernel's buffers. The caller must have looked into those buffers in this very moment: a request that lies there is
    /// accepted although nobody has read it. The time limit holds for clients that never finish.
    pub fn may_exit(&self, now: Micros, unfinished: bool) -> bool {
        let Some(begun) = self.begun_at else {
            return false;
        };
        let overdue = now - begun > STILL_ACCEPTS + self.longest_deadline + EXIT_MARGIN;
        overdue || !unfinished && !self.accepts(now)
    }
}

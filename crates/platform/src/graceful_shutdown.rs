//! Decides which requests a router accepts after the signal to stop, and when it may exit. Call
//! [`GracefulShutdown::begin`] on the signal and [`GracefulShutdown::accepts`] for each request, and poll
//! [`GracefulShutdown::may_exit`] until it is true.

use cedarpulley::interface::Micros;

use crate::listen_queue::ListenQueue;

/// Time after the signal to stop in which requests are still accepted, in microseconds. The protocol requires it,
/// because clients do not notice the shutdown at once.
const ACCEPT_PERIOD: Micros = 700_000;
/// Time that the last response gets to reach its client after the client's deadline, in microseconds.
const EXIT_MARGIN: Micros = 500_000;

/// The state of a graceful shutdown; times are microseconds of the router's clock.
#[derive(Debug)]
pub struct GracefulShutdown {
    max_client_timeout: Micros,
    begun_at: Option<Micros>,
}

impl GracefulShutdown {
    /// `max_client_timeout`: the longest time that a client may wait for its response, in microseconds.
    pub fn new(max_client_timeout: Micros) -> Self {
        GracefulShutdown {
            max_client_timeout,
            begun_at: None,
        }
    }

    /// Records the signal to stop. A repeated signal changes nothing.
    pub fn begin(&mut self, now: Micros) {
        self.begun_at.get_or_insert(now);
    }

    /// Whether the signal to stop has arrived.
    pub fn has_begun(&self) -> bool {
        self.begun_at.is_some()
    }

    /// Whether a request whose last byte arrived at `arrived` is still accepted.
    pub fn accepts(&self, arrived: Micros) -> bool {
        self.begun_at
            .is_none_or(|begun| arrived - begun <= ACCEPT_PERIOD)
    }

    /// Whether the process may exit now. `unfinished`: a request is unanswered, partly received, or may be in a buffer
    /// of the kernel. The caller must check those buffers right before the call: a request in one of them counts as
    /// accepted although the process has not read it. The time limit covers clients that never finish their request.
    pub fn may_exit(&self, now: Micros, unfinished: bool) -> bool {
        let Some(begun) = self.begun_at else {
            return false;
        };
        let overdue = now - begun > ACCEPT_PERIOD + self.max_client_timeout + EXIT_MARGIN;
        overdue || !unfinished && !self.accepts(now)
    }

    /// Whether clients may still connect that tried to while requests were accepted and whose connects were dropped.
    pub fn awaits_connects(&self, now: Micros, queue: &ListenQueue) -> bool {
        let last_accepted = self.begun_at.map(|begun| begun + ACCEPT_PERIOD);
        last_accepted
            .and_then(|last| queue.retries_due(last))
            .is_some_and(|due| now < due)
    }
}

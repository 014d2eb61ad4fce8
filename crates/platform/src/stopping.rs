//! Decides what a router that was told to stop still takes, and when it leaves. Call [`Stopping::told`] with
//! the order; [`Stopping::takes`] and [`Stopping::leaves`] answer.

use cedarpulley::interface::Micros;

/// Requests that crossed the order are taken for so long, by the protocol.
const STILL_TAKES: Micros = 700_000;
/// What was taken last has its whole time, and its answer this long to get out.
const MARGIN: Micros = 500_000;

#[derive(Debug)]
pub struct Stopping {
    longest: Micros,
    since: Option<Micros>,
}

impl Stopping {
    /// `longest`: that any client waits.
    pub fn new(longest: Micros) -> Self {
        Stopping { longest, since: None }
    }

    pub fn told(&mut self, now: Micros) {
        self.since.get_or_insert(now);
    }

    pub fn stops(&self) -> bool {
        self.since.is_some()
    }

    /// Whether a request that came then is taken.
    pub fn takes(&self, came: Micros) -> bool {
        self.since.is_none_or(|since| came - since <= STILL_TAKES)
    }

    /// `open`: something taken is not answered, or its answer not out.
    pub fn leaves(&self, now: Micros, open: bool) -> bool {
        let late = |since| now - since > STILL_TAKES + self.longest + MARGIN;
        self.since.is_some_and(late) || !self.takes(now) && !open
    }
}

//! Decides what a router that was told to stop still takes, and when it leaves. Call [`Stopping::told`] with
//! the order; [`Stopping::takes`] answers, and [`Stopping::leaves`] at each look.

use cedarpulley::interface::Micros;

/// Requests that crossed the order are taken for so long, by the protocol.
const STILL_TAKES: Micros = 700_000;
/// What was taken last has its whole time, and its answer this long to get out.
const MARGIN: Micros = 500_000;
/// It leaves after so many looks in a row that found nothing open. Symptom: the process is held up; a client has
/// connected and sent a request meanwhile, which is taken though nobody has read it. Each look is made before what
/// the same wake-up brings is handled: one for the connection, one for its request, one for a wake-up that a signal
/// cut short, one that sees the request open, and one to spare.
const QUIET_LOOKS: u32 = 5;

#[derive(Debug)]
pub struct Stopping {
    longest: Micros,
    since: Option<Micros>,
    quiet: u32,
}

impl Stopping {
    /// `longest`: that any client waits.
    pub fn new(longest: Micros) -> Self {
        Stopping { longest, since: None, quiet: 0 }
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

    /// A look whether it leaves. `open`: something taken is not answered, or its answer not out.
    pub fn leaves(&mut self, now: Micros, open: bool) -> bool {
        let late = |since| now - since > STILL_TAKES + self.longest + MARGIN;
        self.quiet = if open || self.takes(now) { 0 } else { self.quiet + 1 };
        self.since.is_some_and(late) || self.quiet >= QUIET_LOOKS
    }
}

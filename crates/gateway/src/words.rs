//! The words by which every front tells what became of a request.

use cedarpulley_router::entry::Short;
use cedarpulley_router::{Fate, Reason};

pub(crate) fn fate(fate: Fate) -> &'static str {
    match fate {
        Fate::Succeeded => "succeeded",
        Fate::Throttled => "throttled",
        Fate::Errored => "errored",
    }
}

pub(crate) fn reason(reason: Reason) -> &'static str {
    match reason {
        Reason::Worker => "worker",
        Reason::GivenUp => "given-up",
        Reason::Expired => "expired",
        Reason::MayHaveRun => "may-have-run",
        Reason::Overdue => "overdue",
        Reason::Functions => "too-many-functions",
        Reason::Size => "no-memory",
        Reason::Share => "beyond-share",
        Reason::NoMajority => "no-majority",
        Reason::SessionOver => "session-over",
        Reason::Alone => "worker-alone",
    }
}

/// The word for why a request was not let in.
pub(crate) fn short(why: Short) -> &'static str {
    match why {
        Short::Stopping => "stopping",
        Short::Memory => "no-memory",
        Short::All => "full",
        Short::Front => "front-beyond-share",
        Short::Account => "beyond-share",
        Short::Connection => "connection-beyond-share",
        Short::Worth => "kept-for-dearer",
    }
}

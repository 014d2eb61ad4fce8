//! The names by which all fronts report the outcome of a request. They are part of the public interface.

use cedarpulley_router::entry::Short;
use cedarpulley_router::{Fate, Reason};

/// The outcome of a request that was taken.
pub(crate) fn fate_name(fate: Fate) -> &'static str {
    match fate {
        Fate::Succeeded => "succeeded",
        Fate::Throttled => "throttled",
        Fate::Errored => "errored",
    }
}

/// Why a request that was taken ended with its outcome.
pub(crate) fn reason_name(reason: Reason) -> &'static str {
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

/// Why a request was rejected before it was taken.
pub(crate) fn rejection_name(reason: Short) -> &'static str {
    match reason {
        Short::Stopping => "stopping",
        Short::Memory => "no-memory",
        Short::All => "full",
        Short::Front => "front-beyond-share",
        Short::Account => "beyond-share",
        Short::Connection => "connection-beyond-share",
        Short::Worth => "kept-for-dearer",
    }
}

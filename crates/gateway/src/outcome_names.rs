//! The names under which all fronts report the outcome of a request. They are part of the public interface.

use cedarpulley_router::admission_control::RejectionReason;
use cedarpulley_router::{AnswerReason, FinalOutcome};

/// The name of the final outcome of an accepted request.
pub(crate) fn outcome_name(outcome: FinalOutcome) -> &'static str {
    match outcome {
        FinalOutcome::Succeeded => "succeeded",
        FinalOutcome::Throttled => "throttled",
        FinalOutcome::Errored => "errored",
    }
}

/// The name of the reason why an accepted request ended with its outcome.
pub(crate) fn reason_name(reason: AnswerReason) -> &'static str {
    match reason {
        AnswerReason::Worker => "worker",
        AnswerReason::GivenUp => "given-up",
        AnswerReason::Expired => "expired",
        AnswerReason::MayHaveRun => "may-have-run",
        AnswerReason::Overdue => "overdue",
        AnswerReason::Functions => "too-many-functions",
        AnswerReason::Size => "no-memory",
        AnswerReason::Share => "beyond-share",
        AnswerReason::NoMajority => "no-majority",
        AnswerReason::SessionOver => "session-over",
        AnswerReason::Alone => "worker-alone",
        AnswerReason::DrainsUnknown => "drains-unknown",
    }
}

/// The name of the reason why a request was rejected before it was accepted.
pub(crate) fn rejection_name(reason: RejectionReason) -> &'static str {
    match reason {
        RejectionReason::Stopping => "stopping",
        RejectionReason::Memory => "no-memory",
        RejectionReason::All => "full",
        RejectionReason::Front => "front-beyond-share",
        RejectionReason::Account => "beyond-share",
        RejectionReason::Connection => "connection-beyond-share",
        RejectionReason::Worth => "kept-for-dearer",
    }
}

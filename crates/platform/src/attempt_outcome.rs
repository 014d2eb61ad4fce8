//! What the end of an exchange with a worker proves: the one table. Never-ran is claimed only where it is
//! proven.

use cedarpulley::interface::{DispatchOutcome, LoadOrderResult};

/// The words of a worker's answer; on the wire they are in lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerWord {
    /// Served; the body follows. Of an order: the copies stand.
    Ok,
    /// The function is not loaded: nothing ran.
    Nothing,
    /// The worker is full, or drains: nothing ran.
    Refused,
    /// It failed, and may have run.
    Error,
    /// It was over before it began there: nothing ran.
    Stale,
    /// Of a probe: the worker does well.
    Yes,
    /// Of a probe: it does not.
    No,
}

impl AnswerWord {
    /// The word as it stands on the wire.
    pub fn read(word: &[u8]) -> Option<Self> {
        Some(match word {
            b"ok" => AnswerWord::Ok,
            b"nothing" => AnswerWord::Nothing,
            b"refused" => AnswerWord::Refused,
            b"error" => AnswerWord::Error,
            b"stale" => AnswerWord::Stale,
            b"yes" => AnswerWord::Yes,
            b"no" => AnswerWord::No,
            _ => return None,
        })
    }
}

/// How an exchange ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The worker answered.
    Answered(AnswerWord),
    /// No connection came up.
    Unreached,
    /// The connection ended, or was ended, before every byte of the request was accepted by the kernel.
    Unsent,
    /// It was held back before its first byte: its deadline, its client or its worker's service had ended, or no
    /// connection may be opened.
    HeldBack,
    /// The connection ended after the request was written whole, or said what cannot be read.
    Broken,
}

/// What the end of an attempt proves of its request.
pub fn dispatch(end: AttemptEnd) -> DispatchOutcome {
    match end {
        AttemptEnd::Answered(AnswerWord::Ok) => DispatchOutcome::Succeeded,
        AttemptEnd::Answered(AnswerWord::Nothing) => DispatchOutcome::NotLoaded,
        AttemptEnd::Answered(AnswerWord::Refused) => DispatchOutcome::Rejected,
        AttemptEnd::Answered(AnswerWord::Error) => DispatchOutcome::Errored,
        // Over before it began there.
        AttemptEnd::Answered(AnswerWord::Stale) => DispatchOutcome::NotSent,
        // No word for an invocation: it may have run.
        AttemptEnd::Answered(AnswerWord::Yes | AnswerWord::No) => DispatchOutcome::ConnectionLost,
        AttemptEnd::Unreached => DispatchOutcome::Unreachable,
        // Nothing ran. A connection that is reset while idle or just after it came up says nothing about the worker;
        // whether another one comes up is seen next.
        AttemptEnd::Unsent | AttemptEnd::HeldBack => DispatchOutcome::NotSent,
        AttemptEnd::Broken => DispatchOutcome::ConnectionLost,
    }
}

/// What the end of an order to load proves.
pub fn order(end: AttemptEnd) -> LoadOrderResult {
    match end {
        AttemptEnd::Answered(AnswerWord::Ok) => LoadOrderResult::Loaded,
        AttemptEnd::Answered(AnswerWord::Refused) => LoadOrderResult::NoCapacity,
        AttemptEnd::Answered(AnswerWord::Error) => LoadOrderResult::LoadFailed,
        AttemptEnd::Unreached | AttemptEnd::Unsent | AttemptEnd::HeldBack => {
            LoadOrderResult::Unreachable
        }
        AttemptEnd::Answered(_) | AttemptEnd::Broken => LoadOrderResult::ConnectionLost,
    }
}

/// What the end of a probe tells of its worker.
pub fn probe(end: AttemptEnd) -> DispatchOutcome {
    match end {
        AttemptEnd::Answered(AnswerWord::Yes) => DispatchOutcome::Succeeded,
        AttemptEnd::Answered(AnswerWord::No) => DispatchOutcome::Rejected,
        AttemptEnd::Unreached | AttemptEnd::Unsent | AttemptEnd::HeldBack => {
            DispatchOutcome::Unreachable
        }
        AttemptEnd::Answered(_) | AttemptEnd::Broken => DispatchOutcome::ConnectionLost,
    }
}

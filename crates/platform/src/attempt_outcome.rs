//! What the end of an exchange with a worker proves: the one table. Never-ran is claimed only where it is
//! proven.

use cedarpulley::interface::{OrderResult, Outcome};

/// The words of a worker's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Ok,
    Nothing,
    Refused,
    Error,
    Stale,
    Yes,
    No,
}

impl Word {
    pub fn read(word: &[u8]) -> Option<Self> {
        Some(match word {
            b"ok" => Word::Ok,
            b"nothing" => Word::Nothing,
            b"refused" => Word::Refused,
            b"error" => Word::Error,
            b"stale" => Word::Stale,
            b"yes" => Word::Yes,
            b"no" => Word::No,
            _ => return None,
        })
    }
}

/// How an exchange ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Answered(Word),
    /// No connection came up.
    Unreached,
    /// The connection ended, or was ended, before every byte of the request was accepted by the kernel.
    Unsent,
    /// It was held back: its time, its client or its worker's service had ended, or no connection may be
    /// opened.
    HeldBack,
    /// The connection ended after the request was written whole, or said what cannot be read.
    Broken,
}

pub fn dispatch(ended: Ended) -> Outcome {
    match ended {
        Ended::Answered(Word::Ok) => Outcome::Succeeded,
        Ended::Answered(Word::Nothing) => Outcome::Missed,
        Ended::Answered(Word::Refused) => Outcome::Throttled,
        Ended::Answered(Word::Error) => Outcome::Errored,
        // Over before it began there.
        Ended::Answered(Word::Stale) => Outcome::NotSent,
        // No word for an invocation: it may have run.
        Ended::Answered(Word::Yes | Word::No) => Outcome::Broken,
        Ended::Unreached => Outcome::Unreachable,
        // Nothing ran. Symptom: a connection is reset while idle or just after it came up; that says nothing
        // about the worker, and whether another one comes up is seen next.
        Ended::Unsent | Ended::HeldBack => Outcome::NotSent,
        Ended::Broken => Outcome::Broken,
    }
}

pub fn order(ended: Ended) -> OrderResult {
    match ended {
        Ended::Answered(Word::Ok) => OrderResult::Stand,
        Ended::Answered(Word::Refused) => OrderResult::NoRoom,
        Ended::Answered(Word::Error) => OrderResult::LoadErrored,
        Ended::Unreached | Ended::Unsent | Ended::HeldBack => OrderResult::Unreachable,
        Ended::Answered(_) | Ended::Broken => OrderResult::Broken,
    }
}

pub fn probe(ended: Ended) -> Outcome {
    match ended {
        Ended::Answered(Word::Yes) => Outcome::Succeeded,
        Ended::Answered(Word::No) => Outcome::Throttled,
        Ended::Unreached | Ended::Unsent | Ended::HeldBack => Outcome::Unreachable,
        Ended::Answered(_) | Ended::Broken => Outcome::Broken,
    }
}

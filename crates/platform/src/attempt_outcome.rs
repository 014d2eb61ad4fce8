//! Maps the end of an exchange with a worker to what it proves about the request. This mapping is defined only here.
//! A request is reported as not executed only if that is proven: one that may have run must not be retried as if it had
//! not.

use cedarpulley::interface::{DispatchOutcome, LoadOrderResult};

/// The status in an answer of a worker. On the wire each status is a word in lower case, given below.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStatus {
    /// `ok`: the request succeeded and its body follows, or the load order was carried out.
    Ok,
    /// `nothing`: the function is not loaded; nothing was executed.
    NotLoaded,
    /// `refused`: the worker is at capacity or draining; nothing was executed.
    Rejected,
    /// `error`: the request failed, and may have been executed.
    Error,
    /// `stale`: the deadline passed before the worker began the request; nothing was executed.
    Expired,
    /// `yes`, to a probe: the worker is healthy.
    Healthy,
    /// `no`, to a probe: the worker is not healthy.
    Unhealthy,
}

impl AnswerStatus {
    /// The status for a word on the wire; `None` if the protocol does not define the word.
    pub fn from_wire(word: &[u8]) -> Option<Self> {
        Some(match word {
            b"ok" => AnswerStatus::Ok,
            b"nothing" => AnswerStatus::NotLoaded,
            b"refused" => AnswerStatus::Rejected,
            b"error" => AnswerStatus::Error,
            b"stale" => AnswerStatus::Expired,
            b"yes" => AnswerStatus::Healthy,
            b"no" => AnswerStatus::Unhealthy,
            _ => return None,
        })
    }
}

/// How an exchange (an attempt, a load order or a probe) ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// The worker answered.
    Answered(AnswerStatus),
    /// No connection to the worker could be established.
    ConnectFailed,
    /// This router had no connection for the message: it can open no further one, and no open one was free.
    NoConnection,
    /// The connection ended, or this router closed it, before the kernel had accepted every byte of the message.
    NotSent,
    /// This router sent no byte of the message: the deadline had passed, the client had disconnected, or the worker no
    /// longer accepts requests.
    Withheld,
    /// The connection ended after the whole message was written, or delivered bytes that violate the protocol.
    ConnectionLost,
}

/// What the end of an attempt proves about its request.
pub fn dispatch_outcome(end: ExchangeEnd) -> DispatchOutcome {
    match end {
        ExchangeEnd::Answered(AnswerStatus::Ok) => DispatchOutcome::Succeeded,
        ExchangeEnd::Answered(AnswerStatus::NotLoaded) => DispatchOutcome::NotLoaded,
        ExchangeEnd::Answered(AnswerStatus::Rejected) => DispatchOutcome::Rejected,
        ExchangeEnd::Answered(AnswerStatus::Error) => DispatchOutcome::Errored,
        // The worker did not begin the request in time. That is no sign of a fault of the worker.
        ExchangeEnd::Answered(AnswerStatus::Expired) => DispatchOutcome::NotSent,
        // These statuses are defined for probes only. As an answer to an invocation they prove nothing: it may have
        // run.
        ExchangeEnd::Answered(AnswerStatus::Healthy | AnswerStatus::Unhealthy) => {
            DispatchOutcome::ConnectionLost
        }
        ExchangeEnd::ConnectFailed => DispatchOutcome::Unreachable,
        ExchangeEnd::NoConnection => DispatchOutcome::NoConnection,
        // Nothing ran. A connection that is reset while idle or just after it was established does not show that the
        // worker is down. If it is down, the next attempt to connect fails.
        ExchangeEnd::NotSent | ExchangeEnd::Withheld => DispatchOutcome::NotSent,
        ExchangeEnd::ConnectionLost => DispatchOutcome::ConnectionLost,
    }
}

/// What the end of a load order proves about the load.
pub fn load_order_result(end: ExchangeEnd) -> LoadOrderResult {
    match end {
        ExchangeEnd::Answered(AnswerStatus::Ok) => LoadOrderResult::Loaded,
        ExchangeEnd::Answered(AnswerStatus::Rejected) => LoadOrderResult::NoCapacity,
        ExchangeEnd::Answered(AnswerStatus::Error) => LoadOrderResult::LoadFailed,
        ExchangeEnd::ConnectFailed => LoadOrderResult::Unreachable,
        ExchangeEnd::NoConnection | ExchangeEnd::NotSent | ExchangeEnd::Withheld => {
            LoadOrderResult::NotSent
        }
        ExchangeEnd::Answered(_) | ExchangeEnd::ConnectionLost => LoadOrderResult::ConnectionLost,
    }
}

/// What the end of a probe shows about the probed worker.
pub fn probe_outcome(end: ExchangeEnd) -> DispatchOutcome {
    match end {
        ExchangeEnd::Answered(AnswerStatus::Healthy) => DispatchOutcome::Succeeded,
        ExchangeEnd::Answered(AnswerStatus::Unhealthy) => DispatchOutcome::Rejected,
        ExchangeEnd::ConnectFailed => DispatchOutcome::Unreachable,
        // A lack of connections in this router, or an idle connection that was closed, is no sign of a fault of the
        // worker.
        ExchangeEnd::NoConnection | ExchangeEnd::NotSent | ExchangeEnd::Withheld => {
            DispatchOutcome::NotSent
        }
        ExchangeEnd::Answered(_) | ExchangeEnd::ConnectionLost => DispatchOutcome::ConnectionLost,
    }
}

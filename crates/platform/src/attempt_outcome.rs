//! What the end of an exchange with a worker proves about the request: the only table of that mapping. "Not executed" is
//! claimed only where it is proven, because a request that may have run must not be retried as if it had not.

use cedarpulley::interface::{DispatchOutcome, LoadOrderResult};

/// The status in a worker's answer; each has its own word in lower case on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStatus {
    /// `ok`: the request succeeded and its body follows; or a load order is fulfilled.
    Ok,
    /// `nothing`: the function is not loaded, nothing was executed.
    NotLoaded,
    /// `refused`: the worker is at capacity or draining, nothing was executed.
    Rejected,
    /// `error`: it failed, and may have been executed.
    Error,
    /// `stale`: its deadline had passed before it began on the worker, nothing was executed.
    Expired,
    /// `yes`, to a probe: the worker is healthy.
    Healthy,
    /// `no`, to a probe: the worker is not healthy.
    Unhealthy,
}

impl AnswerStatus {
    /// The status for a word on the wire; `None` for a word that the protocol does not have.
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
    /// The connection ended, or was closed from here, before the kernel had accepted every byte of the message.
    NotSent,
    /// This router did not send its first byte: the deadline had passed, the client had disconnected, the worker no
    /// longer accepts requests, or no further connection may be opened.
    Withheld,
    /// The connection ended after the whole message was written, or delivered bytes that are not of the protocol.
    ConnectionLost,
}

/// What the end of an attempt proves about its request.
pub fn dispatch_outcome(end: ExchangeEnd) -> DispatchOutcome {
    match end {
        ExchangeEnd::Answered(AnswerStatus::Ok) => DispatchOutcome::Succeeded,
        ExchangeEnd::Answered(AnswerStatus::NotLoaded) => DispatchOutcome::NotLoaded,
        ExchangeEnd::Answered(AnswerStatus::Rejected) => DispatchOutcome::Rejected,
        ExchangeEnd::Answered(AnswerStatus::Error) => DispatchOutcome::Errored,
        // It never began on the worker, which says nothing about the worker.
        ExchangeEnd::Answered(AnswerStatus::Expired) => DispatchOutcome::NotSent,
        // These answer probes only. To an invocation they prove nothing: it may have run.
        ExchangeEnd::Answered(AnswerStatus::Healthy | AnswerStatus::Unhealthy) => {
            DispatchOutcome::ConnectionLost
        }
        ExchangeEnd::ConnectFailed => DispatchOutcome::Unreachable,
        // Nothing ran. A connection that is reset while idle or just after it was established does not show that the
        // worker is down; the next attempt to connect will.
        ExchangeEnd::NotSent | ExchangeEnd::Withheld => DispatchOutcome::NotSent,
        ExchangeEnd::ConnectionLost => DispatchOutcome::ConnectionLost,
    }
}

/// What the end of a load order proves.
pub fn load_order_result(end: ExchangeEnd) -> LoadOrderResult {
    match end {
        ExchangeEnd::Answered(AnswerStatus::Ok) => LoadOrderResult::Loaded,
        ExchangeEnd::Answered(AnswerStatus::Rejected) => LoadOrderResult::NoCapacity,
        ExchangeEnd::Answered(AnswerStatus::Error) => LoadOrderResult::LoadFailed,
        ExchangeEnd::ConnectFailed | ExchangeEnd::NotSent | ExchangeEnd::Withheld => {
            LoadOrderResult::Unreachable
        }
        ExchangeEnd::Answered(_) | ExchangeEnd::ConnectionLost => LoadOrderResult::ConnectionLost,
    }
}

/// What the end of a probe shows about its worker.
pub fn probe_outcome(end: ExchangeEnd) -> DispatchOutcome {
    match end {
        ExchangeEnd::Answered(AnswerStatus::Healthy) => DispatchOutcome::Succeeded,
        ExchangeEnd::Answered(AnswerStatus::Unhealthy) => DispatchOutcome::Rejected,
        ExchangeEnd::ConnectFailed => DispatchOutcome::Unreachable,
        // A shortage here, or an idle connection that was closed, says nothing about the worker.
        ExchangeEnd::NotSent | ExchangeEnd::Withheld => DispatchOutcome::NotSent,
        ExchangeEnd::Answered(_) | ExchangeEnd::ConnectionLost => DispatchOutcome::ConnectionLost,
    }
}

//! Converts the words of the protocol to the balancer's types, and writes actions as lines.

use std::io::Write;

use cedarpulley::interface::*;
use cedarpulley_startup::ReportField;

use crate::error::{ProtocolError, Result};
use crate::field_reader::malformed;

const NANOS_PER_MICRO: i64 = 1_000;

/// The error for a word that the protocol does not define for this field.
pub fn unknown_word(field: &'static str, word: &str) -> ProtocolError {
    ProtocolError::UnknownWord {
        what: field,
        word: word.to_owned(),
    }
}

/// Parses the outcome of a dispatch or a probe.
pub fn dispatch_outcome(word: &str) -> Result<DispatchOutcome> {
    Ok(match word {
        "success" => DispatchOutcome::Succeeded,
        "failure" => DispatchOutcome::Errored,
        "overloaded" => DispatchOutcome::Rejected,
        "timed_out" => DispatchOutcome::TimedOut,
        "unreachable" => DispatchOutcome::Unreachable,
        "broken" => DispatchOutcome::ConnectionLost,
        "withdrawn" => DispatchOutcome::Cancelled,
        "void" => DispatchOutcome::NotSent,
        "absent" => DispatchOutcome::NotLoaded,
        _ => return Err(unknown_word("result", word)),
    })
}

/// Parses the result of a load order.
pub fn load_order_result(word: &str) -> Result<LoadOrderResult> {
    Ok(match word {
        "success" => LoadOrderResult::Loaded,
        "overloaded" => LoadOrderResult::NoCapacity,
        "failure" => LoadOrderResult::LoadFailed,
        "broken" => LoadOrderResult::ConnectionLost,
        "unreachable" => LoadOrderResult::Unreachable,
        "timed_out" => LoadOrderResult::TimedOut,
        _ => return Err(unknown_word("result", word)),
    })
}

/// Parses the kind of an endpoint list.
pub fn list_kind(word: &str) -> Result<EndpointListKind> {
    Ok(match word {
        "INCREMENTAL" => EndpointListKind::Changes,
        "FULL" => EndpointListKind::Complete,
        "SAVED" => EndpointListKind::Cached,
        "FAILED" => EndpointListKind::Failed,
        _ => return Err(unknown_word("mode", word)),
    })
}

/// Parses the state of an endpoint.
pub fn endpoint_state(word: &str) -> Result<EndpointState> {
    Ok(match word {
        "in_service" => EndpointState::InService,
        "terminating" => EndpointState::Draining,
        "terminated" => EndpointState::Gone,
        _ => return Err(unknown_word("readiness", word)),
    })
}

/// Splits the field `remark` into the status of the copy (its lowest three bits) and the load of the function (the
/// other bits). The load is only meaningful if workers report it and the worker answered or rejected the request.
pub fn remark(
    value: Option<u32>,
    outcome: DispatchOutcome,
    reports_function_load: bool,
) -> (CopyStatus, Option<u32>) {
    let value = value.unwrap_or(0);
    let copy_status = match value % 8 {
        1 => CopyStatus::Warm,
        2 => CopyStatus::LoadStarted,
        3 => CopyStatus::LoadAwaited,
        4 => CopyStatus::LoadFailed,
        _ => CopyStatus::Unreported,
    };
    let reported = reports_function_load
        && matches!(
            outcome,
            DispatchOutcome::Succeeded | DispatchOutcome::Rejected
        );
    (copy_status, reported.then_some(value / 8))
}

/// Parses a load report: `name:value` pairs separated by commas, or `-` for none.
pub fn load_report(text: &str, fields: &[ReportField]) -> Result<LoadReport> {
    let mut report = LoadReport::default();
    if text == "-" {
        return Ok(report);
    }
    for pair in text.split(',') {
        let (name, value) = pair
            .split_once(':')
            .ok_or_else(|| malformed("report", pair))?;
        let value: f64 = value.parse().map_err(|_| malformed("report", pair))?;
        ReportField::set_in_report(&mut report, fields, name, value);
    }
    Ok(report)
}

/// Provides the benchmark's ids for the indices in actions.
pub trait ExternalIds {
    /// The id of the invocation with this index; an error if there is none.
    fn invocation_id(&self, index: InvocationIndex) -> Result<&str>;
    /// The id of the function with this index; an error if there is none.
    fn function_id(&self, index: FunctionIndex) -> Result<&str>;
    /// The id of the worker with this index; an error if there is none.
    fn worker_id(&self, index: WorkerIndex) -> Result<&str>;
}

/// Converts a time to nanoseconds.
fn nanos(time: Micros) -> i64 {
    time.saturating_mul(NANOS_PER_MICRO)
}

/// Writes an action of an instance as a line. [`Action::ReleaseFunction`] only concerns the host and writes nothing.
pub fn write_action(
    out: &mut Vec<u8>,
    router: u32,
    action: &Action,
    ids: &impl ExternalIds,
) -> Result<()> {
    match *action {
        Action::Dispatch {
            invocation,
            worker,
            timeout,
        } => {
            let (invocation, worker) = (ids.invocation_id(invocation)?, ids.worker_id(worker)?);
            write!(out, "try {router} {invocation} {worker} ")?;
            write_timeout(out, timeout)?;
        }
        Action::Cancel {
            invocation,
            dispatch,
        } => {
            let invocation = ids.invocation_id(invocation)?;
            writeln!(out, "withdraw {router} {invocation} {dispatch}")?;
        }
        Action::Reject {
            invocation,
            retry_after,
        } => {
            let invocation = ids.invocation_id(invocation)?;
            write!(out, "overload_reply {router} {invocation} ")?;
            write_retry_after(out, retry_after)?;
        }
        Action::Fail { invocation } => {
            writeln!(
                out,
                "drop_request {router} {}",
                ids.invocation_id(invocation)?
            )?;
        }
        _ => write_host_action(out, router, action, ids)?,
    }
    Ok(())
}

/// Writes an action that does not concern an invocation.
fn write_host_action(
    out: &mut Vec<u8>,
    router: u32,
    action: &Action,
    ids: &impl ExternalIds,
) -> Result<()> {
    match *action {
        Action::LoadOrder {
            worker,
            function,
            copies,
        } => {
            let (worker, function) = (ids.worker_id(worker)?, ids.function_id(function)?);
            writeln!(out, "pin_up {router} {worker} {function} {copies}")?;
        }
        Action::Unload { worker, function } => {
            let (worker, function) = (ids.worker_id(worker)?, ids.function_id(function)?);
            writeln!(out, "take_down {router} {worker} {function}")?;
        }
        Action::Probe { worker } => writeln!(out, "test {router} {}", ids.worker_id(worker)?)?,
        Action::Timer { token, after } => {
            writeln!(out, "sleep {router} {token} {}", nanos(after.max(0)))?;
        }
        Action::RequestEndpointList { watch } => match watch {
            true => writeln!(out, "listen {router} 1")?,
            false => writeln!(out, "query_all {router}")?,
        },
        Action::Dispatch { .. }
        | Action::Cancel { .. }
        | Action::Reject { .. }
        | Action::Fail { .. }
        | Action::ReleaseFunction { .. } => {}
    }
    Ok(())
}

/// Writes a timeout in nanoseconds, or `-` for none. A timeout of no time at all is written as -1, which expires at
/// once, as 0 would mean no limit.
fn write_timeout(out: &mut Vec<u8>, timeout: Option<Micros>) -> std::io::Result<()> {
    match timeout {
        None => writeln!(out, "-"),
        Some(time) if time <= 0 => writeln!(out, "-1"),
        Some(time) => writeln!(out, "{}", nanos(time)),
    }
}

/// Writes a Retry-After in nanoseconds, or `-` for none.
fn write_retry_after(out: &mut Vec<u8>, retry_after: Option<Micros>) -> std::io::Result<()> {
    match retry_after {
        Some(time) if time > 0 => writeln!(out, "{}", nanos(time)),
        _ => writeln!(out, "-"),
    }
}

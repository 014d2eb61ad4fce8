//! The wire's values and words.

use std::io::Write;
use std::str::{FromStr, Split};

use cedarpulley::interface::*;
use cedarpulley_startup::{ReportField, micros_from_nanos};

use crate::refused::{Refused, Result};

const NANOS_PER_MICRO: i64 = 1_000;

fn missing(what: &'static str) -> Refused {
    Refused::Missing { what }
}

fn misread(what: &'static str, value: &str) -> Refused {
    Refused::Misread {
        what,
        value: value.to_owned(),
    }
}

pub fn unknown(what: &'static str, word: &str) -> Refused {
    Refused::Unknown {
        what,
        word: word.to_owned(),
    }
}

/// The values of one line, in order.
pub struct Values<'a>(Split<'a, char>);

impl<'a> Values<'a> {
    pub fn of(line: &'a str) -> Self {
        Self(line.split(' '))
    }

    pub fn text(&mut self, name: &'static str) -> Result<&'a str> {
        match self.0.next() {
            Some(v) if !v.is_empty() => Ok(v),
            _ => Err(missing(name)),
        }
    }

    pub fn maybe<T: FromStr>(&mut self, name: &'static str) -> Result<Option<T>> {
        let v = self.text(name)?;
        if v == "-" {
            return Ok(None);
        }
        v.parse().map(Some).map_err(|_| misread(name, v))
    }

    pub fn value<T: FromStr>(&mut self, name: &'static str) -> Result<T> {
        self.maybe(name)?.ok_or_else(|| missing(name))
    }

    pub fn time(&mut self, name: &'static str) -> Result<Micros> {
        self.value(name).map(micros_from_nanos)
    }

    pub fn flag(&mut self, name: &'static str) -> Result<bool> {
        match self.text(name)? {
            "1" => Ok(true),
            "0" => Ok(false),
            v => Err(misread(name, v)),
        }
    }

    /// All that is left of the line.
    pub fn rest(mut self) -> String {
        let mut text = self.0.next().unwrap_or("").to_owned();
        for part in self.0 {
            text.push(' ');
            text.push_str(part);
        }
        text
    }

    pub fn end(mut self) -> Result<()> {
        if self.0.next().is_some() {
            Err(Refused::TooMany)
        } else {
            Ok(())
        }
    }
}

pub fn outcome(word: &str) -> Result<DispatchOutcome> {
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
        _ => return Err(unknown("result", word)),
    })
}

pub fn order_result(word: &str) -> Result<LoadOrderResult> {
    Ok(match word {
        "success" => LoadOrderResult::Loaded,
        "overloaded" => LoadOrderResult::NoCapacity,
        "failure" => LoadOrderResult::LoadFailed,
        "broken" => LoadOrderResult::ConnectionLost,
        "unreachable" => LoadOrderResult::Unreachable,
        "timed_out" => LoadOrderResult::TimedOut,
        _ => return Err(unknown("result", word)),
    })
}

pub fn mode(word: &str) -> Result<EndpointListKind> {
    Ok(match word {
        "INCREMENTAL" => EndpointListKind::Changes,
        "FULL" => EndpointListKind::Complete,
        "SAVED" => EndpointListKind::Cached,
        "FAILED" => EndpointListKind::Failed,
        _ => return Err(unknown("mode", word)),
    })
}

pub fn standing(word: &str) -> Result<EndpointState> {
    Ok(match word {
        "in_service" => EndpointState::InService,
        "terminating" => EndpointState::Draining,
        "terminated" => EndpointState::Gone,
        _ => return Err(unknown("readiness", word)),
    })
}

/// Splits a remark into what it tells of the copy and the crowd around it.
pub fn remark(
    value: Option<u32>,
    outcome: DispatchOutcome,
    crowds: bool,
) -> (CopyStatus, Option<u32>) {
    let value = value.unwrap_or(0);
    let note = match value % 8 {
        1 => CopyStatus::Warm,
        2 => CopyStatus::LoadStarted,
        3 => CopyStatus::LoadAwaited,
        4 => CopyStatus::LoadFailed,
        _ => CopyStatus::Unreported,
    };
    let told = crowds
        && matches!(
            outcome,
            DispatchOutcome::Succeeded | DispatchOutcome::Rejected
        );
    (note, told.then_some(value / 8))
}

/// name:value pairs set apart by commas.
pub fn report(text: &str, fields: &[ReportField]) -> Result<LoadReport> {
    let mut report = LoadReport::default();
    if text == "-" {
        return Ok(report);
    }
    for pair in text.split(',') {
        let (name, value) = pair
            .split_once(':')
            .ok_or_else(|| misread("report", pair))?;
        let value: f64 = value.parse().map_err(|_| misread("report", pair))?;
        ReportField::set_in_report(&mut report, fields, name, value);
    }
    Ok(report)
}

/// Outside ids for an action's indices.
pub trait Names {
    fn inv(&self, ix: InvocationIndex) -> Result<&str>;
    fn func(&self, ix: FunctionIndex) -> Result<&str>;
    fn worker(&self, ix: WorkerIndex) -> Result<&str>;
}

/// Writes one action as a line; what concerns no one outside writes none.
pub fn write(out: &mut Vec<u8>, router: u32, action: &Action, names: &impl Names) -> Result<()> {
    let nanos = |t: Micros| t.saturating_mul(NANOS_PER_MICRO);
    match *action {
        Action::Dispatch {
            invocation: inv,
            worker,
            timeout: time_out,
        } => {
            write!(
                out,
                "try {router} {} {} ",
                names.inv(inv)?,
                names.worker(worker)?
            )?;
            // Nothing left must expire at once: a zero would mean no limit.
            match time_out {
                None => writeln!(out, "-")?,
                Some(t) if t <= 0 => writeln!(out, "-1")?,
                Some(t) => writeln!(out, "{}", nanos(t))?,
            }
        }
        Action::Cancel {
            invocation: inv,
            dispatch,
        } => writeln!(out, "withdraw {router} {} {dispatch}", names.inv(inv)?)?,
        Action::Reject {
            invocation: inv,
            retry_after: return_after,
        } => {
            write!(out, "overload_reply {router} {} ", names.inv(inv)?)?;
            match return_after {
                Some(t) if t > 0 => writeln!(out, "{}", nanos(t))?,
                _ => writeln!(out, "-")?,
            }
        }
        Action::Fail { invocation: inv } => {
            writeln!(out, "drop_request {router} {}", names.inv(inv)?)?
        }
        Action::LoadOrder {
            worker,
            function: func,
            copies,
        } => writeln!(
            out,
            "pin_up {router} {} {} {copies}",
            names.worker(worker)?,
            names.func(func)?
        )?,
        Action::Unload {
            worker,
            function: func,
        } => writeln!(
            out,
            "take_down {router} {} {}",
            names.worker(worker)?,
            names.func(func)?
        )?,
        Action::Probe { worker } => writeln!(out, "test {router} {}", names.worker(worker)?)?,
        Action::Timer { token, after } => {
            writeln!(out, "sleep {router} {token} {}", nanos(after.max(0)))?
        }
        Action::RequestEndpointList { watch: true } => writeln!(out, "listen {router} 1")?,
        Action::RequestEndpointList { watch: false } => writeln!(out, "query_all {router}")?,
        Action::ReleaseFunction { .. } => {}
    }
    Ok(())
}

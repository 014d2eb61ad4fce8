//! The wire's values and words.

use std::io::Write;
use std::str::{FromStr, Split};

use cedarpulley::interface::*;
use cedarpulley_startup::{ReportField, micros};

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
        self.value(name).map(micros)
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

pub fn outcome(word: &str) -> Result<Outcome> {
    Ok(match word {
        "success" => Outcome::Succeeded,
        "failure" => Outcome::Errored,
        "overloaded" => Outcome::Throttled,
        "timed_out" => Outcome::TimedOut,
        "unreachable" => Outcome::Unreachable,
        "broken" => Outcome::Broken,
        "withdrawn" => Outcome::Withdrawn,
        "void" => Outcome::NotSent,
        "absent" => Outcome::Missed,
        _ => return Err(unknown("result", word)),
    })
}

pub fn order_result(word: &str) -> Result<OrderResult> {
    Ok(match word {
        "success" => OrderResult::Stand,
        "overloaded" => OrderResult::NoRoom,
        "failure" => OrderResult::LoadErrored,
        "broken" => OrderResult::Broken,
        "unreachable" => OrderResult::Unreachable,
        "timed_out" => OrderResult::TimedOut,
        _ => return Err(unknown("result", word)),
    })
}

pub fn mode(word: &str) -> Result<ListMode> {
    Ok(match word {
        "INCREMENTAL" => ListMode::Changes,
        "FULL" => ListMode::Complete,
        "SAVED" => ListMode::Saved,
        "FAILED" => ListMode::Failed,
        _ => return Err(unknown("mode", word)),
    })
}

pub fn standing(word: &str) -> Result<Standing> {
    Ok(match word {
        "in_service" => Standing::InService,
        "terminating" => Standing::Draining,
        "terminated" => Standing::Gone,
        _ => return Err(unknown("readiness", word)),
    })
}

/// Splits a remark into what it tells of the copy and the crowd around it.
pub fn remark(value: Option<u32>, outcome: Outcome, crowds: bool) -> (CopyNote, Option<u32>) {
    let value = value.unwrap_or(0);
    let note = match value % 8 {
        1 => CopyNote::Found,
        2 => CopyNote::Began,
        3 => CopyNote::Waited,
        4 => CopyNote::LoadErrored,
        _ => CopyNote::Untold,
    };
    let told = crowds && matches!(outcome, Outcome::Succeeded | Outcome::Throttled);
    (note, told.then_some(value / 8))
}

/// name:value pairs set apart by commas.
pub fn report(text: &str, fields: &[ReportField]) -> Result<Report> {
    let mut report = Report::default();
    if text == "-" {
        return Ok(report);
    }
    for pair in text.split(',') {
        let (name, value) = pair
            .split_once(':')
            .ok_or_else(|| misread("report", pair))?;
        let value: f64 = value.parse().map_err(|_| misread("report", pair))?;
        ReportField::tell(&mut report, fields, name, value);
    }
    Ok(report)
}

/// Outside ids for an action's indices.
pub trait Names {
    fn inv(&self, ix: InvIx) -> Result<&str>;
    fn func(&self, ix: FnIx) -> Result<&str>;
    fn worker(&self, ix: WorkerIx) -> Result<&str>;
}

/// Writes one action as a line; what concerns no one outside writes none.
pub fn write(out: &mut Vec<u8>, router: u32, action: &Action, names: &impl Names) -> Result<()> {
    let nanos = |t: Micros| t.saturating_mul(NANOS_PER_MICRO);
    match *action {
        Action::Dispatch {
            inv,
            worker,
            time_out,
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
        Action::Withdraw { inv, dispatch } => {
            writeln!(out, "withdraw {router} {} {dispatch}", names.inv(inv)?)?
        }
        Action::Throttle { inv, return_after } => {
            write!(out, "overload_reply {router} {} ", names.inv(inv)?)?;
            match return_after {
                Some(t) if t > 0 => writeln!(out, "{}", nanos(t))?,
                _ => writeln!(out, "-")?,
            }
        }
        Action::Error { inv } => writeln!(out, "drop_request {router} {}", names.inv(inv)?)?,
        Action::Order {
            worker,
            func,
            copies,
        } => writeln!(
            out,
            "pin_up {router} {} {} {copies}",
            names.worker(worker)?,
            names.func(func)?
        )?,
        Action::Unload { worker, func } => writeln!(
            out,
            "take_down {router} {} {}",
            names.worker(worker)?,
            names.func(func)?
        )?,
        Action::Probe { worker } => writeln!(out, "test {router} {}", names.worker(worker)?)?,
        Action::Timer { token, after } => {
            writeln!(out, "sleep {router} {token} {}", nanos(after.max(0)))?
        }
        Action::AskList { follow: true } => writeln!(out, "listen {router} 1")?,
        Action::AskList { follow: false } => writeln!(out, "query_all {router}")?,
        Action::Forget { .. } => {}
    }
    Ok(())
}

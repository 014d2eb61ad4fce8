//! What the checks found, and how it is shown.

use std::collections::BTreeMap;
use std::fmt::{self, Write};

use serde::Serialize;

use crate::rules::Rule;
use crate::warm_capacity::{FloorRecord, PrefixCounts, Promise};

/// Breaks that are described one by one.
pub(crate) const MAX_DESCRIBED: usize = 40;

/// What the checks found. Field names are the keys of its JSON.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Invocations that a router took.
    pub invocations: u64,
    /// Answers by final outcome.
    pub answers: BTreeMap<String, u64>,
    /// Taken and never answered.
    pub unanswered: u64,
    /// Answered more than once.
    pub double_answers: u64,
    /// Late because the broker accepted no publishing when they were due: no router could have answered.
    pub held_by_broker: u64,
    /// Late, or never received by a caller, because their router was paused or partitioned from the broker.
    pub held_by_rig: u64,
    /// Breaks by the rule's number.
    pub rules: BTreeMap<String, u64>,
    /// Succeeded within their latency objective.
    pub within_objective: u64,
    /// Dispatches that workers received.
    pub dispatches: u64,
    /// Loads that workers began.
    pub loads: u64,
    /// Redeliveries by the broker.
    pub redelivered: u64,
    /// Executions.
    pub effects: u64,
    /// Repeats that workers did not execute.
    pub repeats_dropped: u64,
    /// Fetches from the store.
    pub fetches: u64,
    /// By trigger type.
    pub by_type: BTreeMap<String, Tally>,
    /// By account.
    pub by_account: BTreeMap<String, Tally>,
    /// By the queue that it was published to, or `calls`.
    pub by_front: BTreeMap<String, Tally>,
    /// Answers by reason.
    pub by_reason: BTreeMap<String, u64>,
    /// Descriptions of the first breaks.
    pub breaks: Vec<String>,
    /// Breaks of what is promised beyond the rules: `sessions`, `floor` and `terms`.
    pub promises: BTreeMap<String, u64>,
    /// Sessions that ran.
    pub sessions: u64,
    /// How sessions met their cached prefixes.
    pub prefixes: PrefixCounts,
    /// How often ready lanes fell below a floor by a fault, not by an order.
    pub floor_lost: u64,
    /// By model and region, where a floor held.
    pub floors: BTreeMap<String, FloorRecord>,
}

/// Counts of one trigger type, account or front.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// Invocations that a router took.
    pub taken: u64,
    /// Whose first answer is a success.
    pub succeeded: u64,
    /// Whose first answer is a rejection.
    pub throttled: u64,
    /// Whose first answer is an error.
    pub errored: u64,
    /// Succeeded within their latency objective.
    pub within_objective: u64,
}

fn percentage(part: u64, of: u64) -> f64 {
    if of == 0 {
        0.0
    } else {
        100.0 * part as f64 / of as f64
    }
}

/// `a 1, b 2`, with this between name and count.
fn counts(counts: &BTreeMap<String, u64>, prefix: &str, separator: &str) -> String {
    let all: Vec<String> = counts
        .iter()
        .map(|(name, count)| format!("{prefix}{name}{separator}{count}"))
        .collect();
    all.join(", ")
}

impl Verdict {
    /// Nothing broken, with an entry for each rule, promise and outcome.
    pub(crate) fn unbroken() -> Self {
        let zeros = |names: &[&str]| names.iter().map(|name| ((*name).to_owned(), 0)).collect();
        Verdict {
            rules: Rule::ALL
                .iter()
                .map(|rule| (rule.number().to_string(), 0))
                .collect(),
            promises: zeros(&Promise::ALL.map(Promise::as_str)),
            answers: zeros(&["succeeded", "throttled", "errored"]),
            ..Verdict::default()
        }
    }

    /// Breaks of rules and promises together.
    pub fn broken(&self) -> u64 {
        self.rules.values().chain(self.promises.values()).sum()
    }

    /// Counts and describes a break of a rule.
    pub(crate) fn add_break(&mut self, rule: Rule, description: String) {
        let number = rule.number();
        *self.rules.entry(number.to_string()).or_default() += 1;
        self.describe(format!("rule {number}: {description}"));
    }

    /// Counts and describes a break of a promise.
    pub(crate) fn add_broken_promise(&mut self, promise: Promise, description: String) {
        let name = promise.as_str();
        *self.promises.entry(name.to_owned()).or_default() += 1;
        self.describe(format!("{name}: {description}"));
    }

    fn describe(&mut self, description: String) {
        if self.breaks.len() < MAX_DESCRIBED {
            self.breaks.push(description);
        }
    }

    /// The line that a run ends on.
    pub fn last_line(&self) -> String {
        let answers: u64 = self.answers.values().sum();
        format!(
            "audit: {} invocations, {answers} answers, {} breaks",
            self.invocations,
            self.broken()
        )
    }

    /// All figures and the descriptions of breaks, in lines.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let written = self
            .write_tallies(&mut text)
            .and_then(|()| self.write_counts(&mut text))
            .and_then(|()| self.write_promises(&mut text))
            .and_then(|()| self.write_breaks(&mut text));
        written.expect("writing to a string does not fail");
        text
    }

    fn write_tallies(&self, text: &mut String) -> fmt::Result {
        writeln!(
            text,
            "{:<18} {:>8} {:>9} {:>9} {:>8} {:>12}",
            "", "taken", "succeeded", "throttled", "errored", "in objective"
        )?;
        for (name, tally) in self
            .by_type
            .iter()
            .chain(&self.by_account)
            .chain(&self.by_front)
        {
            writeln!(
                text,
                "{name:<18} {:>8} {:>9} {:>9} {:>8} {:>11.1}%",
                tally.taken,
                tally.succeeded,
                tally.throttled,
                tally.errored,
                percentage(tally.within_objective, tally.taken)
            )?;
        }
        Ok(())
    }

    fn write_counts(&self, text: &mut String) -> fmt::Result {
        writeln!(
            text,
            "\ndispatches {}, effects {}, repeats dropped {}, loads {}, fetches {}, redelivered {}",
            self.dispatches,
            self.effects,
            self.repeats_dropped,
            self.loads,
            self.fetches,
            self.redelivered
        )?;
        writeln!(
            text,
            "answers by reason: {}",
            counts(&self.by_reason, "", " ")
        )?;
        writeln!(
            text,
            "unanswered {}, answered twice {}, late as the broker took nothing {}, as a router was held {}",
            self.unanswered, self.double_answers, self.held_by_broker, self.held_by_rig
        )
    }

    fn write_promises(&self, text: &mut String) -> fmt::Result {
        if self.sessions == 0 && self.floors.is_empty() {
            return Ok(());
        }
        let prefixes = &self.prefixes;
        writeln!(
            text,
            "sessions {}, prefixes begun {}, found {}, rebuilt {}, floors lost {}",
            self.sessions, prefixes.begun, prefixes.found, prefixes.rebuilt, self.floor_lost
        )?;
        writeln!(
            text,
            "rebuilt by cause: {:?}; astray: {}",
            prefixes.by,
            prefixes.astray.join(", ")
        )?;
        writeln!(
            text,
            "promises broken: {}",
            counts(&self.promises, "", ": ")
        )
    }

    fn write_breaks(&self, text: &mut String) -> fmt::Result {
        writeln!(text, "breaks: {}", counts(&self.rules, "rule ", ": "))?;
        for description in &self.breaks {
            writeln!(text, "  {description}")?;
        }
        Ok(())
    }
}

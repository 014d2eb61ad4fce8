//! The result of the checks, and its output as a table.

use std::collections::BTreeMap;
use std::fmt::{self, Write};

use serde::Serialize;

use crate::rules::Rule;
use crate::warm_capacity::{FloorRecord, PrefixCounts, Promise};

/// Maximum number of violations, and of rebuilt prefixes, that are listed individually.
pub(crate) const MAX_DESCRIPTIONS: usize = 40;

/// Result of the checks. The names of the fields are the keys of its JSON.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Invocations that were delivered to a router.
    pub invocations: u64,
    /// Answers by final outcome.
    pub answers: BTreeMap<String, u64>,
    /// Invocations that a router had to answer and that got no answer.
    pub unanswered: u64,
    /// Invocations that were answered more than once.
    pub double_answers: u64,
    /// Answers that were late because the broker blocked publishing when they were due, so that no router could have
    /// answered in time.
    pub held_by_broker: u64,
    /// Answers that were late, or never received by a KServe client, because their router was paused or partitioned
    /// from the broker.
    pub held_by_rig: u64,
    /// Violations by the number of the rule.
    pub rules: BTreeMap<String, u64>,
    /// Invocations that succeeded within their latency objective.
    pub within_objective: u64,
    /// Dispatches that workers received.
    pub dispatches: u64,
    /// Loads that workers began.
    pub loads: u64,
    /// Redeliveries by the broker.
    pub redelivered: u64,
    /// Executions by workers.
    pub effects: u64,
    /// Repeated dispatches that workers recognised and did not execute.
    pub repeats_dropped: u64,
    /// Fetches of functions from the store.
    pub fetches: u64,
    /// Counts by trigger type.
    pub by_type: BTreeMap<String, Tally>,
    /// Counts by account.
    pub by_account: BTreeMap<String, Tally>,
    /// Counts by front: the AMQP queue that an invocation was published to, or `calls` for KServe.
    pub by_front: BTreeMap<String, Tally>,
    /// Answers by reason.
    pub by_reason: BTreeMap<String, u64>,
    /// Descriptions of the first violations.
    pub breaks: Vec<String>,
    /// Violations of the promises, which hold beside the rules: `sessions`, `floor` and `terms`.
    pub promises: BTreeMap<String, u64>,
    /// Sessions that were executed, counted for each model.
    pub sessions: u64,
    /// How often sessions found their cached prefixes.
    pub prefixes: PrefixCounts,
    /// How often ready lanes were below a floor because of a fault. This includes orders that routers issued when they
    /// may not have known of lanes that a fault had removed.
    pub floor_lost: u64,
    /// Floors by model and region, for those in which a floor applied.
    pub floors: BTreeMap<String, FloorRecord>,
}

/// Counts of one trigger type, account or front.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// Invocations that were delivered to a router.
    pub taken: u64,
    /// Invocations whose first answer is a success.
    pub succeeded: u64,
    /// Invocations whose first answer is a rejection (outcome `throttled`).
    pub throttled: u64,
    /// Invocations whose first answer is an error.
    pub errored: u64,
    /// Invocations that succeeded within their latency objective.
    pub within_objective: u64,
}

/// Returns `part` as a percentage of `total`, or 0 if `total` is 0.
fn percentage(part: u64, total: u64) -> f64 {
    if total == 0 {
        0.0
    } else {
        100.0 * part as f64 / total as f64
    }
}

/// Formats counts as a list such as `a 1, b 2`, with `prefix` before each name and `separator` between name and count.
fn counts(counts: &BTreeMap<String, u64>, prefix: &str, separator: &str) -> String {
    let all: Vec<String> = counts
        .iter()
        .map(|(name, count)| format!("{prefix}{name}{separator}{count}"))
        .collect();
    all.join(", ")
}

impl Verdict {
    /// Returns a verdict without violations that has an entry for each rule, promise and outcome.
    pub(crate) fn without_violations() -> Self {
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

    /// Returns the number of violations of all rules and promises.
    pub fn broken(&self) -> u64 {
        self.rules.values().chain(self.promises.values()).sum()
    }

    /// Counts and describes a violation of a rule.
    pub(crate) fn add_violation(&mut self, rule: Rule, description: String) {
        let number = rule.number();
        *self.rules.entry(number.to_string()).or_default() += 1;
        self.describe(format!("rule {number}: {description}"));
    }

    /// Counts and describes a violation of a promise.
    pub(crate) fn add_promise_violation(&mut self, promise: Promise, description: String) {
        let name = promise.as_str();
        *self.promises.entry(name.to_owned()).or_default() += 1;
        self.describe(format!("{name}: {description}"));
    }

    fn describe(&mut self, description: String) {
        if self.breaks.len() < MAX_DESCRIPTIONS {
            self.breaks.push(description);
        }
    }

    /// Returns the summary line that ends the output of a run.
    pub fn last_line(&self) -> String {
        let answers: u64 = self.answers.values().sum();
        format!(
            "audit: {} invocations, {answers} answers, {} breaks",
            self.invocations,
            self.broken()
        )
    }

    /// Returns all counts and the descriptions of the violations as lines of text.
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

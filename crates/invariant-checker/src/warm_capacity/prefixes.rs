//! How sessions met their cached prefixes, and why a prefix had to be rebuilt: where the last turn that was answered
//! before had run, and what kept this one from going there.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::Serialize;

use super::is_lost_by_fault;
use crate::check::Evidence;
use crate::excused_intervals::ExcusedIntervals;
use crate::traffic_log::LogLine;
use crate::verdict::{MAX_DESCRIBED, Verdict};

/// RebuildCause a turn found no prefix, by where the last turn that was answered before it came to its router had run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RebuildCause {
    /// No turn had been answered by then, or the last one had been.
    OutOfTurn,
    /// That worker had crashed since, or had lost the function by a fault.
    Died,
    /// An order had the function unloaded.
    Unloaded,
    /// It was evicted for want of memory.
    Room,
    /// The router could not reach that worker just then.
    Cut,
    /// It was sent there before, and that dispatch came to nothing.
    Tried,
    /// All lanes of the function were taken at some time since the router had it.
    Busy,
    /// Its router had other work in flight at that worker, and may have taken the worker for crowded.
    Crowded,
    /// Another router had answered the turn before, and the gossip of where may have come late.
    Elsewhere,
    /// Its router had answered the turn before; the function was ready with a free lane all the time, at a worker to
    /// which that router had sent nothing else, or one thing.
    Astray,
}

/// How sessions met their prefixes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PrefixCounts {
    /// First turns.
    pub begun: u64,
    /// Turns that found their prefix.
    pub found: u64,
    /// Turns that did not.
    pub rebuilt: u64,
    /// The rebuilt by cause; each has one.
    pub by: BTreeMap<RebuildCause, u64>,
    /// Invocations that went astray, with the worker to which they should have gone; the first few.
    pub astray: Vec<String>,
}

impl PrefixCounts {
    /// How many were rebuilt for this cause.
    pub fn caused_by(&self, why: RebuildCause) -> u64 {
        self.by.get(&why).copied().unwrap_or(0)
    }
}

/// From this many dispatches of its own on a router may take a worker for crowded, and not use its free lanes.
const CROWDED_FROM: usize = 2;

/// A turn that was answered.
struct AnsweredTurn<'a> {
    at: i64,
    /// When its router passed the answer on.
    passed_on: i64,
    worker: &'a str,
    router: &'a str,
    ends_session: bool,
}

struct Loss {
    at: i64,
    cause: RebuildCause,
}

/// A function at a worker, or by an empty name all of a worker.
#[derive(Default)]
struct FunctionRecord {
    lanes: i64,
    busy: i64,
    /// When all of its lanes were busy last; `i64::MAX` while they are.
    last_full: Option<i64>,
    last_loss: Option<Loss>,
}

impl FunctionRecord {
    fn change_busy(&mut self, at: i64, change: i64) {
        let was_full = self.lanes > 0 && self.busy >= self.lanes;
        self.busy += change;
        if self.lanes > 0 && self.busy >= self.lanes {
            self.last_full = Some(i64::MAX);
        } else if was_full {
            self.last_full = Some(at);
        }
    }
}

/// A dispatch in flight, as its router knows it: from when it took the invocation, at the earliest, until it has
/// answered it.
struct InFlight<'a> {
    invocation: &'a str,
    since: i64,
    until: i64,
}

#[derive(Clone, Copy)]
struct SessionTurn<'a> {
    session: &'a str,
    ends_session: bool,
}

/// RebuildCause a turn went where it did, and where it should have gone.
#[derive(Clone, Copy)]
struct Explanation<'a> {
    cause: RebuildCause,
    wanted: &'a str,
}

/// What is the same for all lines.
struct Background<'a> {
    excused: &'a ExcusedIntervals,
    /// By router and worker.
    in_flight: HashMap<(&'a str, &'a str), Vec<InFlight<'a>>>,
    /// When each invocation was answered to its client.
    answered: HashMap<&'a str, i64>,
    /// By invocation.
    turns: HashMap<&'a str, SessionTurn<'a>>,
}

/// What is known up to a line.
#[derive(Default)]
struct Progress<'a> {
    /// When each invocation came to a router last.
    delivered: HashMap<&'a str, i64>,
    /// By worker and function.
    functions: HashMap<(&'a str, &'a str), FunctionRecord>,
    /// The function of each dispatch at a worker, by worker, id and number.
    dispatches: HashMap<(&'a str, &'a str, &'a str), &'a str>,
    /// By session and function, in the order of their answers.
    answered_turns: HashMap<(&'a str, &'a str), Vec<AnsweredTurn<'a>>>,
    /// Workers and the invocations that they have received.
    tried: HashSet<(&'a str, &'a str)>,
    /// By worker and invocation, of the last dispatch.
    explanations: HashMap<(&'a str, &'a str), Explanation<'a>>,
}

pub(crate) fn count(evidence: &Evidence, verdict: &mut Verdict) {
    let background = Background::read(evidence);
    let mut progress = Progress::default();
    for line in evidence.lines {
        match line.event.as_str() {
            "loaded" if line.flag("stands") => {
                progress.function_mut(line).lanes = line.number("lanes").unwrap_or(1);
            }
            "unloaded" | "evicted" | "down" | "fell" => {
                progress.function_mut(line).last_loss = Some(Loss {
                    at: line.at,
                    cause: cause_of_loss(line),
                });
            }
            "received" => progress.receive(line, &background),
            "left" => progress.leave(line, &background),
            "prefix" => progress.count_prefix(line, &mut verdict.prefixes),
            _ if line.is_delivery_to_router() => {
                progress.delivered.insert(line.invocation_id(), line.at);
            }
            _ => {}
        }
    }
}

fn cause_of_loss(line: &LogLine) -> RebuildCause {
    if is_lost_by_fault(line) {
        RebuildCause::Died
    } else if line.event == "unloaded" {
        RebuildCause::Unloaded
    } else {
        RebuildCause::Room
    }
}

impl<'a> Background<'a> {
    fn read(evidence: &Evidence<'a>) -> Self {
        let (mut came, mut answered) = (HashMap::new(), HashMap::new());
        let mut turns = HashMap::new();
        for line in evidence.lines {
            let id = line.invocation_id();
            match line.event.as_str() {
                "published" if !line.text("fate").is_empty() => {
                    answered.insert(id, line.at);
                }
                "prefix" => {
                    let turn = SessionTurn {
                        session: line.text("session"),
                        ends_session: line.flag("end"),
                    };
                    turns.insert(id, turn);
                }
                _ if line.is_delivery_to_router() => {
                    came.insert((line.text("to"), id), line.at);
                }
                _ => {}
            }
        }
        let mut in_flight: HashMap<(&str, &str), Vec<InFlight>> = HashMap::new();
        for line in evidence.lines.iter().filter(|l| l.event == "received") {
            let (router, invocation) = (line.text("from"), line.invocation_id());
            in_flight
                .entry((router, line.source.as_str()))
                .or_default()
                .push(InFlight {
                    invocation,
                    since: came.get(&(router, invocation)).copied().unwrap_or(line.at),
                    until: answered.get(invocation).copied().unwrap_or(i64::MAX),
                });
        }
        Background {
            excused: evidence.excused,
            in_flight,
            answered,
            turns,
        }
    }

    /// Of its router's other invocations, those in flight at that worker at some time since this one came.
    fn others_in_flight(&self, line: &LogLine, worker: &str, came: i64) -> usize {
        let id = line.invocation_id();
        let is_other = |other: &&InFlight| {
            other.invocation != id && other.since <= line.at && other.until >= came
        };
        self.in_flight
            .get(&(line.text("from"), worker))
            .map_or(0, |all| all.iter().filter(is_other).count())
    }
}

impl<'a> Progress<'a> {
    fn function_mut(&mut self, line: &'a LogLine) -> &mut FunctionRecord {
        self.functions
            .entry((line.source.as_str(), line.text("function")))
            .or_default()
    }

    fn receive(&mut self, line: &'a LogLine, background: &Background<'a>) {
        let (worker, id) = (line.source.as_str(), line.invocation_id());
        let explanation = self.explain(line, background);
        self.explanations.insert((worker, id), explanation);
        self.tried.insert((worker, id));
        let dispatch = (worker, line.text("id"), line.text("dispatch"));
        self.dispatches.insert(dispatch, line.text("function"));
        self.function_mut(line).change_busy(line.at, 1);
    }

    fn leave(&mut self, line: &'a LogLine, background: &Background<'a>) {
        let worker = line.source.as_str();
        let dispatch = (worker, line.text("id"), line.text("dispatch"));
        let Some(function) = self.dispatches.remove(&dispatch) else {
            return;
        };
        self.functions
            .entry((worker, function))
            .or_default()
            .change_busy(line.at, -1);
        let id = line.invocation_id();
        if line.text("how") != "answered" {
            return;
        }
        let Some(turn) = background.turns.get(id) else {
            return;
        };
        self.answered_turns
            .entry((turn.session, function))
            .or_default()
            .push(AnsweredTurn {
                at: line.at,
                passed_on: background.answered.get(id).copied().unwrap_or(i64::MAX),
                worker,
                router: line.text("from"),
                ends_session: turn.ends_session,
            });
    }

    /// Where a dispatch should have gone, and why it may not have.
    fn explain(&self, line: &'a LogLine, background: &Background<'a>) -> Explanation<'a> {
        let (id, function) = (line.invocation_id(), line.text("function"));
        let came = self.delivered.get(id).copied().unwrap_or(line.at);
        // A router knows of an answer once it has passed it on.
        let last = background
            .turns
            .get(id)
            .and_then(|turn| self.answered_turns.get(&(turn.session, function)))
            .and_then(|turns| turns.iter().rev().find(|turn| turn.passed_on <= came));
        let Some(last) = last.filter(|turn| !turn.ends_session) else {
            return Explanation {
                cause: RebuildCause::OutOfTurn,
                wanted: "",
            };
        };
        Explanation {
            cause: self.cause(line, last, came, background),
            wanted: last.worker,
        }
    }

    /// RebuildCause a dispatch need not have found the prefix that the session's last answered turn left.
    fn cause(
        &self,
        line: &LogLine,
        last: &AnsweredTurn,
        came: i64,
        background: &Background,
    ) -> RebuildCause {
        let (id, function, router) = (
            line.invocation_id(),
            line.text("function"),
            line.text("from"),
        );
        let record = |function| self.functions.get(&(last.worker, function));
        let wanted = record(function);
        let loss = [record(""), wanted]
            .into_iter()
            .flatten()
            .filter_map(|record| record.last_loss.as_ref())
            .filter(|loss| loss.at > last.at)
            .max_by_key(|loss| (loss.at, loss.cause));
        let is_held = || {
            let held = background.excused.held_since(router, last.worker, line.at);
            held.is_some()
        };
        if let Some(loss) = loss {
            loss.cause
        } else if last.worker == line.source {
            // It went where it should. What is not found there was dropped by the session's last turn.
            RebuildCause::OutOfTurn
        } else if is_held() {
            RebuildCause::Cut
        } else if self.tried.contains(&(last.worker, id)) {
            RebuildCause::Tried
        } else if wanted
            .and_then(|record| record.last_full)
            .is_some_and(|at| at >= came)
        {
            RebuildCause::Busy
        } else if background.others_in_flight(line, last.worker, came) >= CROWDED_FROM {
            RebuildCause::Crowded
        } else if last.router != router {
            RebuildCause::Elsewhere
        } else {
            RebuildCause::Astray
        }
    }

    fn count_prefix(&self, line: &LogLine, counts: &mut PrefixCounts) {
        match line.text("how") {
            "begun" => counts.begun += 1,
            "found" => counts.found += 1,
            _ => {
                counts.rebuilt += 1;
                let (worker, id) = (line.source.as_str(), line.invocation_id());
                let explanation = self.explanations.get(&(worker, id));
                let cause = explanation.map_or(RebuildCause::OutOfTurn, |e| e.cause);
                *counts.by.entry(cause).or_default() += 1;
                if cause == RebuildCause::Astray && counts.astray.len() < MAX_DESCRIBED {
                    let wanted = explanation.map_or("", |e| e.wanted);
                    counts
                        .astray
                        .push(format!("{id} at {worker}, not {wanted}"));
                }
            }
        }
    }
}

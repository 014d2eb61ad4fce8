//! Counts how often the turns of sessions found their cached prefixes, and determines why a prefix was rebuilt.
//!
//! The prefix is expected at the worker that ran the last turn of the session that was answered before this turn was
//! delivered to its router. The cause is what kept this turn from being sent to that worker, or from finding its prefix
//! there.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::Serialize;

use super::is_lost_by_fault;
use crate::check::Evidence;
use crate::excused_intervals::ExcusedIntervals;
use crate::traffic_log::LogLine;
use crate::verdict::{MAX_DESCRIPTIONS, Verdict};

/// Reason why a turn did not find its prefix. "The expected worker" is the worker that ran the last turn of the session
/// that was answered before this turn was delivered to its router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RebuildCause {
    /// No turn of the session had been answered by then, the answered turn was the last of the session, or this turn
    /// did reach the expected worker.
    OutOfTurn,
    /// The expected worker had crashed since, or had lost the function by a fault.
    Died,
    /// The expected worker had unloaded the function by an order.
    Unloaded,
    /// The expected worker had evicted the function for lack of memory.
    Room,
    /// The expected worker was unreachable for the router when the turn was dispatched.
    Cut,
    /// The turn had been dispatched to the expected worker before, without success.
    Tried,
    /// All lanes of the function at the expected worker were busy at some time since the turn was delivered to its
    /// router.
    Busy,
    /// The router had other dispatches in flight at the expected worker, and may have considered it crowded.
    Crowded,
    /// Another router had answered the previous turn, and the gossip about its worker may have been received too late.
    Elsewhere,
    /// None of the other causes applies: the same router had answered the previous turn, the function always had a free
    /// lane at the expected worker, and the router had at most one other dispatch in flight there.
    Astray,
}

/// How often sessions found their cached prefixes. Field names are the keys of its JSON.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PrefixCounts {
    /// First turns, which begin a prefix.
    pub begun: u64,
    /// Turns that found their prefix.
    pub found: u64,
    /// Turns that did not find their prefix.
    pub rebuilt: u64,
    /// Turns that did not find their prefix, by cause; each has exactly one cause.
    pub by: BTreeMap<RebuildCause, u64>,
    /// The first invocations with the cause [`RebuildCause::Astray`], with the worker that received them and the
    /// expected worker.
    pub astray: Vec<String>,
}

impl PrefixCounts {
    /// Returns how many prefixes were rebuilt for this cause.
    pub fn caused_by(&self, why: RebuildCause) -> u64 {
        self.by.get(&why).copied().unwrap_or(0)
    }
}

/// Number of other dispatches of a router in flight at a worker from which on the router may consider the worker
/// crowded and not use its free lanes.
const MIN_DISPATCHES_IF_CROWDED: usize = 2;

/// A turn of a session that a worker answered.
struct AnsweredTurn<'a> {
    at: i64,
    /// When its router sent the answer to the client; `i64::MAX` if it sent none.
    answer_sent_at: i64,
    worker: &'a str,
    router: &'a str,
    ends_session: bool,
}

/// The loss of a function at a worker, or of the worker.
struct Loss {
    at: i64,
    cause: RebuildCause,
}

/// State of a function at a worker. An empty function name stands for the whole worker.
#[derive(Default)]
struct FunctionRecord {
    lanes: i64,
    busy_lanes: i64,
    /// Last time at which all of its lanes were busy; `i64::MAX` while they are.
    last_full: Option<i64>,
    last_loss: Option<Loss>,
}

impl FunctionRecord {
    /// Changes the number of busy lanes at the time `at`.
    fn change_busy_lanes(&mut self, at: i64, change: i64) {
        let was_full = self.lanes > 0 && self.busy_lanes >= self.lanes;
        self.busy_lanes += change;
        if self.lanes > 0 && self.busy_lanes >= self.lanes {
            self.last_full = Some(i64::MAX);
        } else if was_full {
            self.last_full = Some(at);
        }
    }
}

/// The time in which a router may consider a dispatch to be in flight: at most from the delivery of the invocation to
/// the router until its answer.
struct InFlight<'a> {
    invocation: &'a str,
    since: i64,
    until: i64,
}

/// The session of a turn, and whether the turn ends it.
#[derive(Clone, Copy)]
struct SessionTurn<'a> {
    session: &'a str,
    ends_session: bool,
}

/// The worker that should have received a turn, and the cause to report if the turn does not find its prefix.
#[derive(Clone, Copy)]
struct Explanation<'a> {
    cause: RebuildCause,
    /// Name of the expected worker; empty if there is none.
    expected_worker: &'a str,
}

/// Facts from the whole run, collected before the lines are processed in order.
struct RunFacts<'a> {
    excused: &'a ExcusedIntervals,
    /// Dispatches by router and worker.
    in_flight: HashMap<(&'a str, &'a str), Vec<InFlight<'a>>>,
    /// Time at which each invocation was answered to its client.
    answered: HashMap<&'a str, i64>,
    /// Turns by invocation.
    turns: HashMap<&'a str, SessionTurn<'a>>,
}

/// State after the lines that have been processed so far.
#[derive(Default)]
struct ReplayState<'a> {
    /// Time at which each invocation was last delivered to a router.
    delivered: HashMap<&'a str, i64>,
    /// Functions by worker and function name.
    functions: HashMap<(&'a str, &'a str), FunctionRecord>,
    /// The function of each dispatch in flight at a worker, by worker, id and number of the dispatch.
    dispatches: HashMap<(&'a str, &'a str, &'a str), &'a str>,
    /// Answered turns by session and function, in the order of their answers.
    answered_turns: HashMap<(&'a str, &'a str), Vec<AnsweredTurn<'a>>>,
    /// Pairs of a worker and an invocation that the worker has received.
    received: HashSet<(&'a str, &'a str)>,
    /// Explanations of the last dispatch, by worker and invocation.
    explanations: HashMap<(&'a str, &'a str), Explanation<'a>>,
}

/// Counts the prefixes that were begun, found and rebuilt.
pub(crate) fn count(evidence: &Evidence, verdict: &mut Verdict) {
    let facts = RunFacts::read(evidence);
    let mut state = ReplayState::default();
    for line in evidence.lines {
        match line.event.as_str() {
            "loaded" if line.flag("stands") => {
                state.function_mut(line).lanes = line.number("lanes").unwrap_or(1);
            }
            "unloaded" | "evicted" | "down" | "fell" => {
                state.function_mut(line).last_loss = Some(Loss {
                    at: line.at,
                    cause: cause_of_loss(line),
                });
            }
            "received" => state.record_dispatch(line, &facts),
            "left" => state.record_dispatch_end(line, &facts),
            "prefix" => state.count_prefix(line, &mut verdict.prefixes),
            _ if line.is_delivery_to_router() => {
                state.delivered.insert(line.invocation_id(), line.at);
            }
            _ => {}
        }
    }
}

/// Returns the cause that a loss on this line gives for a rebuilt prefix.
fn cause_of_loss(line: &LogLine) -> RebuildCause {
    if is_lost_by_fault(line) {
        RebuildCause::Died
    } else if line.event == "unloaded" {
        RebuildCause::Unloaded
    } else {
        RebuildCause::Room
    }
}

impl<'a> RunFacts<'a> {
    fn read(evidence: &Evidence<'a>) -> Self {
        let (mut delivered_at, mut answered) = (HashMap::new(), HashMap::new());
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
                    delivered_at.insert((line.text("to"), id), line.at);
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
                    since: delivered_at
                        .get(&(router, invocation))
                        .copied()
                        .unwrap_or(line.at),
                    until: answered.get(invocation).copied().unwrap_or(i64::MAX),
                });
        }
        RunFacts {
            excused: evidence.excused,
            in_flight,
            answered,
            turns,
        }
    }

    /// Counts the other invocations of the router that were in flight at `worker` at some time since this invocation
    /// was delivered.
    fn others_in_flight(&self, line: &LogLine, worker: &str, delivered_at: i64) -> usize {
        let id = line.invocation_id();
        let is_other = |other: &&InFlight| {
            other.invocation != id && other.since <= line.at && other.until >= delivered_at
        };
        self.in_flight
            .get(&(line.text("from"), worker))
            .map_or(0, |all| all.iter().filter(is_other).count())
    }
}

impl<'a> ReplayState<'a> {
    fn function_mut(&mut self, line: &'a LogLine) -> &mut FunctionRecord {
        self.functions
            .entry((line.source.as_str(), line.text("function")))
            .or_default()
    }

    fn record_dispatch(&mut self, line: &'a LogLine, facts: &RunFacts<'a>) {
        let (worker, id) = (line.source.as_str(), line.invocation_id());
        let explanation = self.explain(line, facts);
        self.explanations.insert((worker, id), explanation);
        self.received.insert((worker, id));
        let dispatch = (worker, line.text("id"), line.text("dispatch"));
        self.dispatches.insert(dispatch, line.text("function"));
        self.function_mut(line).change_busy_lanes(line.at, 1);
    }

    fn record_dispatch_end(&mut self, line: &'a LogLine, facts: &RunFacts<'a>) {
        let worker = line.source.as_str();
        let dispatch = (worker, line.text("id"), line.text("dispatch"));
        let Some(function) = self.dispatches.remove(&dispatch) else {
            return;
        };
        self.functions
            .entry((worker, function))
            .or_default()
            .change_busy_lanes(line.at, -1);
        let id = line.invocation_id();
        if line.text("how") != "answered" {
            return;
        }
        let Some(turn) = facts.turns.get(id) else {
            return;
        };
        self.answered_turns
            .entry((turn.session, function))
            .or_default()
            .push(AnsweredTurn {
                at: line.at,
                answer_sent_at: facts.answered.get(id).copied().unwrap_or(i64::MAX),
                worker,
                router: line.text("from"),
                ends_session: turn.ends_session,
            });
    }

    /// Determines which worker should have received the dispatch on this line, and why another worker may have received
    /// it.
    fn explain(&self, line: &'a LogLine, facts: &RunFacts<'a>) -> Explanation<'a> {
        let (id, function) = (line.invocation_id(), line.text("function"));
        let delivered_at = self.delivered.get(id).copied().unwrap_or(line.at);
        // A router knows the worker of a turn at the latest when it has sent the answer to the client.
        let last = facts
            .turns
            .get(id)
            .and_then(|turn| self.answered_turns.get(&(turn.session, function)))
            .and_then(|turns| {
                turns
                    .iter()
                    .rev()
                    .find(|turn| turn.answer_sent_at <= delivered_at)
            });
        let Some(last) = last.filter(|turn| !turn.ends_session) else {
            return Explanation {
                cause: RebuildCause::OutOfTurn,
                expected_worker: "",
            };
        };
        Explanation {
            cause: self.cause(line, last, delivered_at, facts),
            expected_worker: last.worker,
        }
    }

    /// Determines why a dispatch need not have found the prefix that the last answered turn of the session left. The
    /// causes are tried in a fixed order, and the first that applies is returned.
    fn cause(
        &self,
        line: &LogLine,
        last: &AnsweredTurn,
        delivered_at: i64,
        facts: &RunFacts,
    ) -> RebuildCause {
        let (id, function, router) = (
            line.invocation_id(),
            line.text("function"),
            line.text("from"),
        );
        let record = |function| self.functions.get(&(last.worker, function));
        let function_record = record(function);
        let loss = [record(""), function_record]
            .into_iter()
            .flatten()
            .filter_map(|record| record.last_loss.as_ref())
            .filter(|loss| loss.at > last.at)
            .max_by_key(|loss| (loss.at, loss.cause));
        let is_held = || {
            let held = facts.excused.held_since(router, last.worker, line.at);
            held.is_some()
        };
        if let Some(loss) = loss {
            loss.cause
        } else if last.worker == line.source {
            // The expected worker received it. A prefix that is missing there was dropped by the last turn of the
            // session.
            RebuildCause::OutOfTurn
        } else if is_held() {
            RebuildCause::Cut
        } else if self.received.contains(&(last.worker, id)) {
            RebuildCause::Tried
        } else if function_record
            .and_then(|record| record.last_full)
            .is_some_and(|at| at >= delivered_at)
        {
            RebuildCause::Busy
        } else if facts.others_in_flight(line, last.worker, delivered_at)
            >= MIN_DISPATCHES_IF_CROWDED
        {
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
                if cause == RebuildCause::Astray && counts.astray.len() < MAX_DESCRIPTIONS {
                    let expected_worker = explanation.map_or("", |e| e.expected_worker);
                    counts
                        .astray
                        .push(format!("{id} at {worker}, not {expected_worker}"));
                }
            }
        }
    }
}

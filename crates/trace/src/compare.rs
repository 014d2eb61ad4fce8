//! How the decisions of two modules about the same events differ, counted by kind. Free of I/O: [`Comparison::row`] begins
//! a router's incarnation, [`Comparison::decision`] takes each decision in it, [`Comparison::finish`] returns the counts.
//!
//! Mechanisms:
//! 1. What becomes of each invocation that either of them acts on: a pair of what one did and what the other does.
//! 2. Load orders, by function: more, fewer, or elsewhere.
//! 3. The first difference of an incarnation is exact, as until then both received the same events and returned the
//!    same actions. Later ones are counted apart: from then on one of them hears of what it never asked for.
//! 4. What differs in timers alone is no decision of its own, and is counted last.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use cedarpulley::interface::{Action, FunctionIndex, InvocationIndex, WorkerIndex};
use serde::Serialize;

use crate::replay::alike;

/// What was done with an invocation. Sorted, and printed under the names beside the variants and in [`fmt::Debug`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// Nothing yet.
    #[serde(rename = "held")]
    Queued,
    /// Dispatched to a worker.
    #[serde(rename = "sent")]
    Dispatched,
    /// Given back to the client unexecuted.
    Throttled,
    /// Ended with an error.
    Errored,
    /// A dispatch was cancelled.
    #[serde(rename = "called-back")]
    Cancelled,
}

/// As `trace replay` prints it.
impl fmt::Debug for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Decision::Queued => "Held",
            Decision::Dispatched => "Sent",
            Decision::Throttled => "Throttled",
            Decision::Errored => "Errored",
            Decision::Cancelled => "CalledBack",
        })
    }
}

/// A kind of difference. Sorted, and printed under the names beside the variants and in [`fmt::Debug`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DifferenceKind {
    /// One did this with an invocation, the other that.
    #[serde(rename = "instead")]
    OtherDecision(Decision, Decision),
    /// Both dispatched it, to different workers.
    #[serde(rename = "sent-elsewhere")]
    OtherWorker,
    /// The same, with another timeout or another Retry-After.
    #[serde(rename = "other-figures")]
    OtherParameters,
    /// More load orders for a function.
    #[serde(rename = "ordered-more")]
    MoreLoadOrders,
    /// Fewer load orders for a function.
    #[serde(rename = "ordered-fewer")]
    FewerLoadOrders,
    /// As many load orders for a function, at other workers.
    #[serde(rename = "ordered-elsewhere")]
    OtherLoadWorkers,
    /// Unloads, probes, requests for the endpoint list.
    #[serde(rename = "upkeep")]
    Maintenance,
    /// Timers, or the same actions in another order.
    Timers,
}

/// As `trace replay` prints it.
impl fmt::Debug for DifferenceKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            DifferenceKind::OtherDecision(one, other) => {
                return f.debug_tuple("Instead").field(one).field(other).finish();
            }
            DifferenceKind::OtherWorker => "SentElsewhere",
            DifferenceKind::OtherParameters => "OtherFigures",
            DifferenceKind::MoreLoadOrders => "OrderedMore",
            DifferenceKind::FewerLoadOrders => "OrderedFewer",
            DifferenceKind::OtherLoadWorkers => "OrderedElsewhere",
            DifferenceKind::Maintenance => "Upkeep",
            DifferenceKind::Timers => "Timers",
        };
        f.write_str(name)
    }
}

/// How often a kind of difference occurred.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DifferenceCount {
    /// Incarnations in which it was, or was among, the first difference.
    pub first: u64,
    /// Differences after the first of their incarnation.
    pub later: u64,
}

/// The counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ComparisonResult {
    /// Router incarnations compared.
    #[serde(rename = "rows")]
    pub incarnations: u64,
    /// Those with any difference.
    #[serde(rename = "rows_differing")]
    pub incarnations_differing: u64,
    /// Decisions compared.
    pub decisions: u64,
    /// Up to and with the first difference of each incarnation.
    pub decisions_exact: u64,
    /// Decisions that differ.
    pub differing: u64,
    /// Most frequent first, timers last.
    pub by_kind: Vec<(DifferenceKind, DifferenceCount)>,
}

/// Counts differences.
#[derive(Debug, Default)]
pub struct Comparison {
    result: ComparisonResult,
    counts: BTreeMap<DifferenceKind, DifferenceCount>,
    /// The present incarnation has differed.
    differs: bool,
}

/// What became of an invocation.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Treatment {
    decision: Decision,
    worker: Option<WorkerIndex>,
    /// Timeout, Retry-After or number of the dispatch.
    parameter: Option<i64>,
}

impl Treatment {
    const NONE: Treatment = Treatment {
        decision: Decision::Queued,
        worker: None,
        parameter: None,
    };

    /// Absent for actions that concern no invocation.
    fn of(action: &Action) -> Option<(InvocationIndex, Treatment)> {
        let (invocation, decision, worker, parameter) = match *action {
            Action::Cancel {
                invocation,
                dispatch,
            } => (invocation, Decision::Cancelled, None, Some(dispatch.into())),
            Action::Dispatch {
                invocation,
                worker,
                timeout,
            } => (invocation, Decision::Dispatched, Some(worker), timeout),
            Action::Reject {
                invocation,
                retry_after,
            } => (invocation, Decision::Throttled, None, retry_after),
            Action::Fail { invocation } => (invocation, Decision::Errored, None, None),
            _ => return None,
        };
        let treatment = Treatment {
            decision,
            worker,
            parameter,
        };
        Some((invocation, treatment))
    }

    fn difference(self, other: Treatment) -> Option<DifferenceKind> {
        if self.decision != other.decision {
            Some(DifferenceKind::OtherDecision(self.decision, other.decision))
        } else if self.worker != other.worker {
            Some(DifferenceKind::OtherWorker)
        } else if self.parameter != other.parameter {
            Some(DifferenceKind::OtherParameters)
        } else {
            None
        }
    }
}

fn treatments(actions: &[Action]) -> BTreeMap<InvocationIndex, Treatment> {
    let mut treatments = BTreeMap::new();
    for (invocation, treatment) in actions.iter().filter_map(Treatment::of) {
        let last = treatments.entry(invocation).or_insert(treatment);
        // Of an invocation that is cancelled and dispatched again, the dispatch counts.
        if treatment.decision != Decision::Cancelled {
            *last = treatment;
        }
    }
    treatments
}

/// Workers with a load order, by function.
fn load_orders(actions: &[Action]) -> BTreeMap<FunctionIndex, Vec<WorkerIndex>> {
    let mut orders: BTreeMap<FunctionIndex, Vec<WorkerIndex>> = BTreeMap::new();
    for action in actions {
        if let Action::LoadOrder {
            worker,
            function,
            copies: 1..,
        } = *action
        {
            orders.entry(function).or_default().push(worker);
        }
    }
    orders.values_mut().for_each(|w| w.sort_unstable());
    orders
}

fn load_order_difference(one: &[WorkerIndex], other: &[WorkerIndex]) -> Option<DifferenceKind> {
    match one.len().cmp(&other.len()) {
        Ordering::Less => Some(DifferenceKind::MoreLoadOrders),
        Ordering::Greater => Some(DifferenceKind::FewerLoadOrders),
        Ordering::Equal if one != other => Some(DifferenceKind::OtherLoadWorkers),
        Ordering::Equal => None,
    }
}

fn maintenance(actions: &[Action]) -> Vec<Action> {
    let is_maintenance = |action: &&Action| {
        matches!(
            action,
            Action::Unload { .. }
                | Action::Probe { .. }
                | Action::RequestEndpointList { .. }
                | Action::LoadOrder { copies: 0, .. }
                | Action::ReleaseFunction { .. }
        )
    };
    actions.iter().filter(is_maintenance).copied().collect()
}

/// The keys of both, each once, in order.
fn keys<'a, K: Ord, V>(
    one: &'a BTreeMap<K, V>,
    other: &'a BTreeMap<K, V>,
) -> impl Iterator<Item = &'a K> {
    let all: BTreeSet<&K> = one.keys().chain(other.keys()).collect();
    all.into_iter()
}

/// All that differs between the two, each kind as often as it does; nothing for equal ones.
pub fn kinds(one: &[Action], other: &[Action]) -> Vec<DifferenceKind> {
    if alike(one, other) {
        return Vec::new();
    }
    let mut kinds = Vec::new();
    let (a, b) = (treatments(one), treatments(other));
    kinds.extend(keys(&a, &b).filter_map(|invocation| {
        let of =
            |map: &BTreeMap<_, Treatment>| map.get(invocation).copied().unwrap_or(Treatment::NONE);
        of(&a).difference(of(&b))
    }));
    let (a, b) = (load_orders(one), load_orders(other));
    kinds.extend(keys(&a, &b).filter_map(|function| {
        let workers =
            |map: &BTreeMap<_, Vec<WorkerIndex>>| map.get(function).cloned().unwrap_or_default();
        load_order_difference(&workers(&a), &workers(&b))
    }));
    if !alike(&maintenance(one), &maintenance(other)) {
        kinds.push(DifferenceKind::Maintenance);
    }
    if kinds.is_empty() {
        kinds.push(DifferenceKind::Timers);
    }
    kinds
}

impl Comparison {
    /// A router's incarnation begins.
    pub fn begin_incarnation(&mut self) {
        self.result.incarnations += 1;
        self.differs = false;
    }

    /// Takes what both decided about the next event.
    pub fn decision(&mut self, one: &[Action], other: &[Action]) {
        let kinds = kinds(one, other);
        self.result.decisions += 1;
        self.result.decisions_exact += u64::from(!self.differs);
        if kinds.is_empty() {
            return;
        }
        self.result.differing += 1;
        for kind in kinds {
            let count = self.counts.entry(kind).or_default();
            if self.differs {
                count.later += 1;
            } else {
                count.first += 1;
            }
        }
        if !self.differs {
            self.differs = true;
            self.result.incarnations_differing += 1;
        }
    }

    /// The counts of all decisions so far.
    pub fn finish(self) -> ComparisonResult {
        let mut by_kind: Vec<_> = self.counts.into_iter().collect();
        by_kind
            .sort_by_key(|(kind, n)| (*kind == DifferenceKind::Timers, Reverse(n.first + n.later)));
        ComparisonResult {
            by_kind,
            ..self.result
        }
    }
}

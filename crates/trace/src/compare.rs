//! Counts by kind how the decisions of two balancers about the same events differ. Does no I/O:
//! [`Comparison::begin_incarnation`] begins a router's incarnation, [`Comparison::decision`] compares each decision in
//! it, and [`Comparison::finish`] returns the counts.
//!
//! Mechanisms:
//! 1. For each invocation that one of the two acts on, the actions of both are compared.
//! 2. Load orders are compared by function: more, fewer, or at other workers.
//! 3. The first difference of an incarnation is exact, as until then both balancers received the same events and
//!    returned the same actions. Later differences are counted separately: after the first, one balancer receives the
//!    results of actions that it did not request.
//! 4. A difference in timers alone is not a difference of decisions; such differences are listed last.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use cedarpulley::interface::{Action, FunctionIndex, InvocationIndex, WorkerIndex};
use serde::Serialize;

use crate::replay::same_encoding;

/// The action on an invocation. The order of the variants is the sort order. The serialized names are those of the
/// attributes, the names in text those of [`fmt::Debug`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// Neither dispatched nor ended.
    #[serde(rename = "held")]
    Queued,
    /// Dispatched to a worker.
    #[serde(rename = "sent")]
    Dispatched,
    /// Returned to the client without being executed.
    Throttled,
    /// Ended with an error.
    Errored,
    /// A dispatch was cancelled.
    #[serde(rename = "called-back")]
    Cancelled,
}

/// Writes the name that `trace replay` prints.
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

/// A kind of difference. The order of the variants is the sort order. The serialized names are those of the attributes,
/// the names in text those of [`fmt::Debug`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DifferenceKind {
    /// The two acted differently on an invocation: the action of the first and that of the second.
    #[serde(rename = "instead")]
    OtherDecision(Decision, Decision),
    /// Both dispatched it, to different workers.
    #[serde(rename = "sent-elsewhere")]
    OtherWorker,
    /// The same action, with another timeout, Retry-After or dispatch number.
    #[serde(rename = "other-figures")]
    OtherParameters,
    /// The second gave more load orders for a function.
    #[serde(rename = "ordered-more")]
    MoreLoadOrders,
    /// The second gave fewer load orders for a function.
    #[serde(rename = "ordered-fewer")]
    FewerLoadOrders,
    /// The same number of load orders for a function, at other workers.
    #[serde(rename = "ordered-elsewhere")]
    OtherLoadWorkers,
    /// Other unloads, probes, requests for the endpoint list, queries of copies or releases of functions.
    #[serde(rename = "upkeep")]
    Maintenance,
    /// Other timers, or the same actions in another order.
    Timers,
}

/// Writes the name that `trace replay` prints.
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
    /// Differences in the first differing decision of an incarnation.
    pub first: u64,
    /// Differences in later decisions of an incarnation.
    pub later: u64,
}

/// The result of a comparison.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ComparisonResult {
    /// Router incarnations compared.
    #[serde(rename = "rows")]
    pub incarnations: u64,
    /// Incarnations with at least one difference.
    #[serde(rename = "rows_differing")]
    pub incarnations_differing: u64,
    /// Decisions compared.
    pub decisions: u64,
    /// Decisions up to and including the first difference of each incarnation.
    pub decisions_exact: u64,
    /// Decisions that differ.
    pub differing: u64,
    /// Most frequent first, timers last.
    pub by_kind: Vec<(DifferenceKind, DifferenceCount)>,
}

/// Counts the differences between the decisions of two balancers.
#[derive(Debug, Default)]
pub struct Comparison {
    result: ComparisonResult,
    counts: BTreeMap<DifferenceKind, DifferenceCount>,
    /// Whether a decision of the current incarnation has differed.
    differs: bool,
}

/// The action on an invocation, with its parameters.
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

    /// The invocation that an action is about, and the action; absent for actions about no invocation.
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
        // If an invocation is cancelled and dispatched again, the dispatch counts.
        if treatment.decision != Decision::Cancelled {
            *last = treatment;
        }
    }
    treatments
}

/// Workers that got a load order, by function.
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

/// The keys of both maps, each once, in order.
fn keys<'a, K: Ord, V>(
    one: &'a BTreeMap<K, V>,
    other: &'a BTreeMap<K, V>,
) -> impl Iterator<Item = &'a K> {
    let all: BTreeSet<&K> = one.keys().chain(other.keys()).collect();
    all.into_iter()
}

/// The differences between two lists of actions; a kind is repeated for each difference of that kind. Empty if the
/// lists are equal.
pub fn differences(one: &[Action], other: &[Action]) -> Vec<DifferenceKind> {
    if same_encoding(one, other) {
        return Vec::new();
    }
    let mut kinds = Vec::new();
    let (a, b) = (treatments(one), treatments(other));
    kinds.extend(keys(&a, &b).filter_map(|invocation| {
        let treatment =
            |map: &BTreeMap<_, Treatment>| map.get(invocation).copied().unwrap_or(Treatment::NONE);
        treatment(&a).difference(treatment(&b))
    }));
    let (a, b) = (load_orders(one), load_orders(other));
    kinds.extend(keys(&a, &b).filter_map(|function| {
        let workers =
            |map: &BTreeMap<_, Vec<WorkerIndex>>| map.get(function).cloned().unwrap_or_default();
        load_order_difference(&workers(&a), &workers(&b))
    }));
    if !same_encoding(&maintenance(one), &maintenance(other)) {
        kinds.push(DifferenceKind::Maintenance);
    }
    if kinds.is_empty() {
        kinds.push(DifferenceKind::Timers);
    }
    kinds
}

impl Comparison {
    /// Begins a router's incarnation.
    pub fn begin_incarnation(&mut self) {
        self.result.incarnations += 1;
        self.differs = false;
    }

    /// Compares the actions of both balancers for the next event.
    pub fn decision(&mut self, one: &[Action], other: &[Action]) {
        let kinds = differences(one, other);
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

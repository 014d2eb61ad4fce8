//! Tells how what two modules decided about the same events differs, and counts it by kind. Free of I/O: called with
//! [`Compare::row`] for each router's life and [`Compare::decision`] for each decision in it; [`Compare::finish`] has
//! the counts.
//!
//! Mechanisms:
//! 1. What becomes of each invocation that either of them acts on: a pair of what one did and what the other does.
//! 2. Orders of loads, by function: more, fewer, or elsewhere.
//! 3. The first difference of a life is exact, as until then both were told the same and asked for the same. Later
//!    ones are counted apart: from then on one of them is told of what it never asked for.
//! 4. What differs in timers alone is no decision of its own, and is counted last.

use std::collections::BTreeMap;

use cedarpulley::interface::{Action, FunctionIndex, InvocationIndex, WorkerIndex};
use serde::Serialize;

use crate::replay::alike;

/// What was done with an invocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    Held,
    Sent,
    Throttled,
    Errored,
    CalledBack,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// One did this with an invocation, the other that.
    Instead(Decision, Decision),
    /// Both sent it, to different workers.
    SentElsewhere,
    /// The same, with other time-outs or other advice.
    OtherFigures,
    OrderedMore,
    OrderedFewer,
    OrderedElsewhere,
    /// Unloads, probes, questions for the list.
    Upkeep,
    Timers,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DifferenceCount {
    /// Lives in which it was, or was among, the first difference.
    pub first: u64,
    pub later: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Compared {
    pub rows: u64,
    pub rows_differing: u64,
    pub decisions: u64,
    /// Up to and with the first difference of each life.
    pub decisions_exact: u64,
    pub differing: u64,
    pub by_kind: Vec<(Kind, DifferenceCount)>,
}

#[derive(Debug, Default)]
pub struct Compare {
    out: Compared,
    counts: BTreeMap<Kind, DifferenceCount>,
    /// The present life has differed.
    differs: bool,
}

/// By invocation: what came of it, where to if sent, and the figures beside it.
type Done = BTreeMap<InvocationIndex, (Decision, Option<WorkerIndex>, Option<i64>)>;

fn done(actions: &[Action]) -> Done {
    let mut done = Done::new();
    for action in actions {
        // Of an invocation that is called back and sent again, the sending counts.
        let (inv, did) = match *action {
            Action::Cancel {
                invocation: inv,
                dispatch,
            } => (inv, (Decision::CalledBack, None, Some(dispatch.into()))),
            Action::Dispatch {
                invocation: inv,
                worker,
                timeout: time_out,
            } => (inv, (Decision::Sent, Some(worker), time_out)),
            Action::Reject {
                invocation: inv,
                retry_after: return_after,
            } => (inv, (Decision::Throttled, None, return_after)),
            Action::Fail { invocation: inv } => (inv, (Decision::Errored, None, None)),
            _ => continue,
        };
        let before = done.entry(inv).or_insert(did);
        if did.0 != Decision::CalledBack {
            *before = did;
        }
    }
    done
}

fn ordered(actions: &[Action]) -> BTreeMap<FunctionIndex, Vec<WorkerIndex>> {
    let mut orders: BTreeMap<FunctionIndex, Vec<WorkerIndex>> = BTreeMap::new();
    for action in actions {
        if let Action::LoadOrder {
            worker,
            function: func,
            copies: 1..,
        } = action
        {
            orders.entry(*func).or_default().push(*worker);
        }
    }
    orders.values_mut().for_each(|w| w.sort_unstable());
    orders
}

fn upkeep(action: &Action) -> bool {
    matches!(
        action,
        Action::Unload { .. }
            | Action::Probe { .. }
            | Action::RequestEndpointList { .. }
            | Action::LoadOrder { copies: 0, .. }
            | Action::ReleaseFunction { .. }
    )
}

/// All that differs between the two, each kind as often as it does; nothing for alike ones.
pub fn kinds(one: &[Action], other: &[Action]) -> Vec<Kind> {
    if alike(one, other) {
        return Vec::new();
    }
    let mut kinds = Vec::new();
    let (a, b) = (done(one), done(other));
    let untouched = (Decision::Held, None, None);
    let mut invs: Vec<InvocationIndex> = a.keys().chain(b.keys()).copied().collect();
    invs.sort_unstable();
    invs.dedup();
    for inv in invs {
        let (x, y) = (
            a.get(&inv).unwrap_or(&untouched),
            b.get(&inv).unwrap_or(&untouched),
        );
        if x.0 != y.0 {
            kinds.push(Kind::Instead(x.0, y.0));
        } else if x.1 != y.1 {
            kinds.push(Kind::SentElsewhere);
        } else if x.2 != y.2 {
            kinds.push(Kind::OtherFigures);
        }
    }
    let (a, b) = (ordered(one), ordered(other));
    let mut funcs: Vec<FunctionIndex> = a.keys().chain(b.keys()).copied().collect();
    funcs.sort_unstable();
    funcs.dedup();
    for func in funcs {
        let (x, y) = (a.get(&func), b.get(&func));
        let count = |w: Option<&Vec<WorkerIndex>>| w.map_or(0, Vec::len);
        match count(x).cmp(&count(y)) {
            std::cmp::Ordering::Less => kinds.push(Kind::OrderedMore),
            std::cmp::Ordering::Greater => kinds.push(Kind::OrderedFewer),
            std::cmp::Ordering::Equal if x != y => kinds.push(Kind::OrderedElsewhere),
            std::cmp::Ordering::Equal => {}
        }
    }
    let kept = |actions: &[Action]| {
        actions
            .iter()
            .filter(|a| upkeep(a))
            .copied()
            .collect::<Vec<_>>()
    };
    if !alike(&kept(one), &kept(other)) {
        kinds.push(Kind::Upkeep);
    }
    if kinds.is_empty() {
        // Timers, or the same in another order.
        kinds.push(Kind::Timers);
    }
    kinds
}

impl Compare {
    /// A router's life begins.
    pub fn row(&mut self) {
        self.out.rows += 1;
        self.differs = false;
    }

    pub fn decision(&mut self, one: &[Action], other: &[Action]) {
        let kinds = kinds(one, other);
        self.out.decisions += 1;
        self.out.decisions_exact += u64::from(!self.differs);
        if kinds.is_empty() {
            return;
        }
        self.out.differing += 1;
        for kind in kinds {
            let count = self.counts.entry(kind).or_default();
            if self.differs {
                count.later += 1
            } else {
                count.first += 1
            }
        }
        if !self.differs {
            self.differs = true;
            self.out.rows_differing += 1;
        }
    }

    pub fn finish(mut self) -> Compared {
        self.out.by_kind = self.counts.into_iter().collect();
        self.out
            .by_kind
            .sort_by_key(|(kind, n)| (*kind == Kind::Timers, std::cmp::Reverse(n.first + n.later)));
        self.out
    }
}

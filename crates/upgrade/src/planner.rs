//! Who leads, when a step is taken, what is loaded and unloaded. One [`Planner`] for each router; what happens comes in
//! at [`Planner::handle`], [`Planner::next_due`] says when [`Input::Tick`] is wanted, and routers ask it where to send
//! what begins.

use std::collections::BTreeMap;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIx;
use serde::Serialize;

use crate::Name;
use crate::health::Count;
use crate::orders::Order;
use crate::plan::{Ballot, GoesBy, Phase, Plan, Stage, function};
use crate::seen::WorkerSeen;

#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// After its last step was put before a majority and agreed, it acts for so long on its own clock.
    pub lease: Micros,
    /// Of one plan, over all regions.
    pub loads_at_once: u32,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms { lease: 5_000_000, loads_at_once: 2 }
    }
}

/// What a majority said of what was asked under a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Leads { ballot: Ballot, last: Option<Bytes> },
    Written { ballot: Ballot },
    Overtaken,
    NoMajority,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// All of the operator's file, as it was read last.
    Orders(Vec<Order>),
    /// Whenever it changes. The names of all members' regions, as `alive` is ordered.
    Members {
        me: MemberIx,
        alive: Vec<bool>,
        regions: Vec<Name>,
    },
    /// All workers that are known; whenever something of them changes, and once a second at least.
    Workers(Vec<WorkerSeen>),
    /// What a member, this one too, has seen of the versions of a model, and what it goes by
    /// ([`Planner::goes_by`]). Shared among all; told anew whenever one of them changes.
    Counted {
        member: MemberIx,
        model: Name,
        goes_by: GoesBy,
        counts: Vec<Count>,
    },
    /// The answer to [`Output::Lead`] or [`Output::Write`].
    Decided {
        key: Name,
        outcome: Outcome,
    },
    /// What the shared state holds as accepted for a model: at start, and whenever it changes.
    PlanHeard {
        model: Name,
        ballot: Ballot,
        bytes: Bytes,
    },
    LoadEnded {
        worker: Name,
        function: Name,
        ok: bool,
    },
    Tick,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Ask a majority for the lead under this key.
    Lead {
        key: Name,
    },
    Write {
        key: Name,
        ballot: Ballot,
        value: Bytes,
    },
    /// A copy is to be loaded there, or renewed. `like`: a function whose invocations are as this one's will be.
    Want {
        worker: Name,
        function: Name,
        like: Name,
        term: Name,
    },
    /// Idle copies are to go from there.
    Unwant {
        worker: Name,
        function: Name,
        term: Name,
    },
    /// For the operator.
    Log(String),
}

/// Where something goes that begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Way {
    pub function: Name,
    pub version: Name,
}

/// Copies that a plan answers for: nobody else is to take them for forgotten.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    pub function: Name,
    /// Of the plan's leader, as its orders say; absent where nobody leads yet.
    pub term: Option<Name>,
}

/// As an operator can read it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Shown {
    pub model: Name,
    pub from: Name,
    pub to: Name,
    pub serial: u64,
    pub step: u64,
    pub phase: Phase,
    pub leads: bool,
    pub term: Option<Name>,
    pub regions: Vec<ShownRegion>,
    /// Why it waits; empty where it does not.
    pub waits: String,
    pub next: String,
    pub reason: String,
    pub queued: Vec<u64>,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ShownRegion {
    pub region: Name,
    pub stage: Stage,
    pub part: u16,
    pub old_lanes: u32,
    pub new_lanes: u32,
    pub floor_lanes: u32,
    pub old_sessions: u32,
    pub over: bool,
}

#[derive(Clone, Debug, Default)]
struct Model {
    ballot: Ballot,
    plan: Option<Plan>,
}

#[derive(Clone, Debug)]
pub struct Planner {
    terms: Terms,
    me: MemberIx,
    regions: Vec<Name>,
    models: BTreeMap<Name, Model>,
}

impl Planner {
    pub fn new(terms: Terms) -> Planner {
        Planner { terms, me: 0, regions: Vec::new(), models: BTreeMap::new() }
    }

    pub fn handle(&mut self, _now: Micros, input: Input, _out: &mut Vec<Output>) {
        match input {
            Input::Members { me, regions, .. } => (self.me, self.regions) = (me, regions),
            Input::PlanHeard { model, ballot, bytes } => {
                let Some(plan) = Plan::read(&bytes) else { return };
                let m = self.models.entry(model).or_default();
                if m.plan.is_none() || (ballot, plan.step) > (m.ballot, m.plan.as_ref().map_or(0, |p| p.step))
                {
                    (m.ballot, m.plan) = (ballot, Some(plan));
                }
            }
            _ => {}
        }
    }

    /// When [`Input::Tick`] is wanted.
    pub fn next_due(&self) -> Micros {
        Micros::MAX
    }

    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    fn plan(&self, model: &str) -> Option<&Plan> {
        self.models.get(model)?.plan.as_ref()
    }

    /// Models with a plan here; the others are left alone.
    pub fn models(&self) -> impl Iterator<Item = &Name> {
        self.models.iter().filter(|(_, m)| m.plan.is_some()).map(|(name, _)| name)
    }

    /// What this router goes by, for [`Input::Counted`].
    pub fn goes_by(&self, model: &str) -> GoesBy {
        let of = |m: &Model| Some(GoesBy { ballot: m.ballot, step: m.plan.as_ref()?.step });
        self.models.get(model).and_then(of).unwrap_or_default()
    }

    /// Where something goes that begins and names no version. Absent: there is no plan, it goes as it came. `draw`:
    /// chance, of the whole range.
    pub fn goes_to(&self, model: &str, region: &str, draw: u64, session: bool) -> Option<Way> {
        let version = self.plan(model)?.version(region, draw, session);
        Some(Way { function: function(model, version), version: version.clone() })
    }

    /// A majority has to say to which version a session belongs before its first dispatch from here. After a plan's end
    /// only for those that do not begin: they may have begun while it was under way.
    pub fn wants_binding(&self, model: &str, begins: bool) -> bool {
        self.plan(model).is_some_and(|p| !p.phase.is_over() || !begins)
    }

    /// The version to propose for a session: one that does not begin and has no record was there before the plan.
    pub fn proposes(&self, model: &str, region: &str, draw: u64, begins: bool) -> Option<Name> {
        let plan = self.plan(model)?;
        let version = match begins || plan.phase.is_over() {
            true => plan.version(region, draw, true),
            false => &plan.order.from,
        };
        Some(version.clone())
    }

    /// Sessions of this version are answered that they are over.
    pub fn over(&self, model: &str, version: &str) -> bool {
        let Some(plan) = self.plan(model) else { return false };
        let (goes, _) = plan.versions();
        if version != &**goes {
            return false;
        }
        let here = self.regions.get(self.me as usize).and_then(|r| plan.region(r));
        matches!(plan.phase, Phase::Done | Phase::RolledBack) || here.is_some_and(|r| r.over)
    }

    /// What nobody is to unload as forgotten.
    pub fn claims(&self) -> Vec<Claim> {
        let mut claims = Vec::new();
        for (model, m) in &self.models {
            let Some(plan) = &m.plan else { continue };
            let (goes, comes) = plan.versions();
            let stays = !plan.phase.is_over();
            for version in [Some(comes), Some(goes).filter(|_| stays)].into_iter().flatten() {
                claims.push(Claim { function: function(model, version), term: Some(m.ballot.term()) });
            }
        }
        claims
    }

    pub fn shown(&self) -> Vec<Shown> {
        Vec::new()
    }
}

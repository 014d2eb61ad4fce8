//! [`Reconciler`]: call [`Reconciler::handle`] with each thing that happened, and again with [`Input::Tick`]
//! at [`Reconciler::next_due`]; what is to be done comes out, in order.
//!
//! Mechanisms, and the part that decides each:
//! 1. `turns`: the list of workers and the members say who asks which worker; asks go out as their times
//!    come.
//! 2. `heard`: an answer from before the last that was taken is void; answers, and silence, go to the group
//!    as notes.
//! 3. `place`: an answer of an earlier process is void; one of a new process takes all belief of the old with
//!    it. A worker that contradicted itself, or that an invocation refuted, is doubted for a while.
//! 4. `judging`: an observation that began before a belief last changed says nothing about it; what is
//!    loading is left alone; else belief is corrected by each router for itself.
//! 5. `claims`: what nobody claims is unloaded only after it has been idle for longer than any router may
//!    believe in it.
//! 6. `repairing`: what costs the worker something is done only by the one that is first for it, from its own
//!    observation, within a budget, and looked at again right before.
//! 7. `shown`: what is counted and shown; no decision reads it back.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cedarpulley::interface::Micros;

use self::place::Place;
use crate::asking::{Budget, Chance};
use crate::belief::{Belief, Change};
use crate::drift::Drift;
use crate::observation::Observation;
use crate::repair::Repairs;

mod claims;
mod heard;
mod judging;
mod place;
mod repairing;
mod shown;
mod turns;

pub use self::shown::{Counts, Shown};

/// What a reconciler goes by.
#[derive(Clone, Debug)]
pub struct Terms {
    /// As the members and the workers know this router.
    pub me: Arc<str>,
    /// A worker is asked so often where nothing else is known.
    pub every: Micros,
    /// What nobody claims is left alone for so long.
    pub grace: Micros,
    /// The module believes in a copy for so long after its last use.
    pub kept: Micros,
    pub asks_per_s: f64,
    pub repairs_per_s: f64,
    pub seed: u64,
}

/// A worker of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Seat {
    /// As this router knows it.
    pub worker: Arc<str>,
    /// As all members know it; another one once the list tells of another process.
    pub id: Arc<str>,
    /// 0: unknown.
    pub memory_mb: f64,
}

/// What plans of upgrades lay claim to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Claims {
    /// Of plans that are under way.
    pub terms: BTreeSet<Arc<str>>,
    pub functions: BTreeSet<Arc<str>>,
    /// Versions that a plan has taken out of service.
    pub retired: BTreeSet<Arc<str>>,
}

#[derive(Debug)]
pub enum Input<'a> {
    /// The list, whole.
    Workers(Vec<Seat>),
    /// Those that are believed alive, this one among them.
    Members(Vec<Arc<str>>),
    /// What this router's own orders and dispatches show; what it leads to comes with the next input.
    Believes {
        worker: &'a str,
        function: &'a str,
        change: Change,
    },
    /// A worker's answer to an ask that left at `began`.
    Said {
        worker: &'a str,
        began: Micros,
        observation: Observation,
    },
    Silent {
        worker: &'a str,
    },
    /// Another member's note. `transit`: it has been under way for no longer.
    Noted {
        id: &'a str,
        version: (u64, u64),
        transit: Micros,
        value: &'a [u8],
    },
    Claims(Claims),
    Tick,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Ask {
        worker: Arc<str>,
    },
    /// So many copies stand there, whatever was believed.
    Held {
        worker: Arc<str>,
        function: Arc<str>,
        copies: u32,
    },
    Want {
        worker: Arc<str>,
        function: Arc<str>,
    },
    Unload {
        worker: Arc<str>,
        function: Arc<str>,
        term: Option<Arc<str>>,
    },
    /// These sessions lose nothing by going elsewhere.
    PrefixLost {
        worker: Arc<str>,
        function: Arc<str>,
        sessions: Vec<Arc<str>>,
    },
    /// For the group; a later one has a higher version.
    Note {
        id: Arc<str>,
        version: (u64, u64),
        value: Vec<u8>,
    },
    Found(Drift),
}

#[derive(Debug)]
pub struct Reconciler {
    terms: Terms,
    now: Micros,
    places: BTreeMap<Arc<str>, Place>,
    by_id: BTreeMap<Arc<str>, Arc<str>>,
    schedule: BTreeSet<(Micros, Arc<str>)>,
    members: Vec<Arc<str>>,
    /// Members that were alive once, since when they are not.
    gone: BTreeMap<Arc<str>, Micros>,
    claims: Option<Claims>,
    budget: Budget,
    repairs: Repairs,
    chance: Chance,
    beliefs: usize,
    pub counts: Counts,
}

impl Reconciler {
    pub fn new(now: Micros, terms: Terms) -> Self {
        Reconciler {
            now,
            places: BTreeMap::new(),
            by_id: BTreeMap::new(),
            schedule: BTreeSet::new(),
            members: Vec::new(),
            gone: BTreeMap::new(),
            claims: None,
            budget: Budget::new(now, terms.asks_per_s),
            repairs: Repairs::new(terms.repairs_per_s),
            chance: Chance::new(terms.seed),
            beliefs: 0,
            counts: Counts::default(),
            terms,
        }
    }

    /// `now` that goes back counts as standing still.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Workers(seats) => self.workers(&seats),
            Input::Members(members) => self.membership(members),
            Input::Believes {
                worker,
                function,
                change,
            } => return self.believes(worker, function, change),
            Input::Said {
                worker,
                began,
                observation,
            } => self.said(worker, began, &observation, out),
            Input::Silent { worker } => self.silent(worker, out),
            Input::Noted {
                id,
                version,
                transit,
                value,
            } => self.noted(id, version, transit, value, out),
            Input::Claims(claims) => self.claims = Some(claims),
            Input::Tick => {}
        }
        self.repair(out);
        self.ask(out);
    }

    pub fn next_due(&self) -> Micros {
        let ask = self
            .schedule
            .first()
            .map_or(Micros::MAX, |s| s.0.max(self.budget.due()));
        ask.min(self.repairs.next_due())
    }

    /// What each worker said last, and when that began to be true.
    pub fn observed(&self) -> impl Iterator<Item = (&Arc<str>, Micros, &Observation)> {
        self.places
            .iter()
            .filter_map(|(w, p)| Some((w, p.last_began, p.observed.as_ref()?)))
    }

    /// As all members know a worker, and back.
    pub fn id_of(&self, worker: &str) -> Option<&Arc<str>> {
        self.places.get(worker).map(|p| &p.id)
    }

    pub fn worker_of(&self, id: &str) -> Option<&Arc<str>> {
        self.by_id.get(id)
    }

    pub fn repairs_waiting(&self) -> usize {
        self.repairs.len()
    }

    /// Whether this router believes that copies stand there.
    pub fn believes_in(&self, worker: &str, function: &str) -> bool {
        self.belief(worker, function)
            .is_some_and(|b| b.believed(self.now))
    }

    /// Whether a load is under way there, as far as this router knows by itself.
    pub fn under_way(&self, worker: &str, function: &str) -> bool {
        self.belief(worker, function)
            .is_some_and(|b| b.under_way(self.now))
    }

    /// Whether copies are believed there that this router itself has used so lately that the module would still believe
    /// in them by that use alone: told so again, it believes in them no longer than [`BELIEVED_FOR`] allows.
    pub fn used_lately(&self, now: Micros, worker: &str, function: &str) -> bool {
        let lately = |b: &Belief| b.used.is_some_and(|at| now - at < self.terms.kept);
        self.belief(worker, function)
            .is_some_and(|b| b.believed(now) && lately(b))
    }

    fn belief(&self, worker: &str, function: &str) -> Option<&Belief> {
        self.places.get(worker)?.beliefs.get(function)
    }
}

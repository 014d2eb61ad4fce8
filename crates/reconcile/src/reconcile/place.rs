//! What is kept of one worker. Whoever holds a [`Place`] asks it of which process an answer is, and of each
//! difference whether it may be believed now.
//!
//! Mechanisms:
//! 1. An answer of an earlier process is void; that such a one is back counts once it was said twice.
//! 2. Doubt grows with what contradicts, up to a bound; while it lasts, a difference counts once two answers
//!    in a row say it.
//! 3. Beliefs are bounded over all workers together: what is beyond is not followed.

use std::collections::BTreeMap;
use std::sync::Arc;

use cedarpulley::interface::Micros;

use super::Seat;
use super::claims::Why;
use crate::asking::Pace;
use crate::belief::Belief;
use crate::drift::{KINDS, Kind};
use crate::observation::Observation;

/// Beliefs over all workers; what is beyond is not followed, and counted.
const MOST_BELIEFS: usize = 200_000;
/// Doubt that one contradiction adds, that one refutation adds, and at most: so many sound answers lift it.
pub(super) const CONTRADICTED: u8 = 2;
pub(super) const REFUTED: u8 = 1;
const MOST_DOUBT: u8 = 8;
/// Earlier processes of a worker that are remembered.
const MOST_FORMER: usize = 8;

/// Of which process an answer is.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Process {
    Known,
    New,
    Void,
}

#[derive(Debug)]
pub(super) struct Place {
    pub(super) id: Arc<str>,
    pub(super) memory_mb: f64,
    pub(super) rank: u32,
    pub(super) life: Option<u64>,
    former: Vec<u64>,
    /// Another process than the known one, said once.
    maybe_life: Option<u64>,
    pub(super) version: (u64, u64),
    pub(super) last_began: Micros,
    pub(super) heard: Micros,
    pub(super) asked: Option<Micros>,
    pub(super) due: Micros,
    pub(super) pace: Pace,
    pub(super) doubt: u8,
    /// What was said once by a doubted worker, and in which answer.
    pub(super) said_once: BTreeMap<(Arc<str>, Kind), u64>,
    pub(super) answers: u64,
    pub(super) beliefs: BTreeMap<Arc<str>, Belief>,
    pub(super) unclaimed: BTreeMap<Arc<str>, (Micros, Why)>,
    /// The last that was heard of this process.
    pub(super) observed: Option<Observation>,
    pub(super) found: [u64; KINDS.len()],
    pub(super) found_by: [u64; KINDS.len()],
}

impl Place {
    pub(super) fn new(now: Micros, seat: &Seat, rank: u32, due: Micros, pace: Pace) -> Place {
        Place {
            id: seat.id.clone(),
            memory_mb: seat.memory_mb,
            rank,
            life: None,
            former: Vec::new(),
            maybe_life: None,
            version: (0, 0),
            last_began: Micros::MIN,
            heard: now,
            asked: None,
            due,
            pace,
            doubt: 0,
            said_once: BTreeMap::new(),
            answers: 0,
            beliefs: BTreeMap::new(),
            unclaimed: BTreeMap::new(),
            observed: None,
            found: [0; KINDS.len()],
            found_by: [0; KINDS.len()],
        }
    }

    /// From the process before it.
    pub(super) fn inherit(&mut self, before: Place) {
        self.former = before.former;
        self.former.extend(before.life);
        self.found = before.found;
    }

    /// Symptom: a worker was started anew at the same address, and answers of its old process are still under way.
    pub(super) fn process(&mut self, life: Option<u64>, own: bool) -> Process {
        let Some(life) = life else {
            return Process::Known;
        };
        let maybe = self.maybe_life.take();
        if self.life == Some(life) {
            return Process::Known;
        }
        let earlier = self.former.contains(&life);
        if earlier && own && maybe.is_none() {
            // It was over, or so it was said.
            self.suspect(CONTRADICTED);
        }
        // A doubted word, and one that an earlier process is back, counts once it was said twice.
        if (earlier || self.doubt > 0) && maybe != Some(life) {
            self.maybe_life = Some(life);
            return Process::Void;
        }
        let before = self.life.replace(life);
        self.former.retain(|l| *l != life);
        self.former.extend(before);
        if self.former.len() > MOST_FORMER {
            self.former.remove(0);
        }
        if before.is_some() {
            Process::New
        } else {
            Process::Known
        }
    }

    /// True if what is believed of it is followed; `all`: how many beliefs there are of all workers.
    pub(super) fn follow(
        &mut self,
        function: impl AsRef<str> + Into<Arc<str>>,
        all: &mut usize,
    ) -> bool {
        if !self.beliefs.contains_key(function.as_ref()) {
            if *all >= MOST_BELIEFS {
                return false;
            }
            *all += 1;
            self.beliefs.insert(function.into(), Belief::default());
        }
        true
    }

    /// True if this difference may be believed now.
    pub(super) fn believable(&mut self, function: &Arc<str>, kind: Kind) -> bool {
        if self.doubt == 0 {
            return true;
        }
        let before = self
            .said_once
            .insert((function.clone(), kind), self.answers);
        before.is_some_and(|n| n + 1 == self.answers)
    }

    pub(super) fn suspect(&mut self, by: u8) {
        self.doubt = self.doubt.saturating_add(by).min(MOST_DOUBT);
    }
}

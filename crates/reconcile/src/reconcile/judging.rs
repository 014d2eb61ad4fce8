//! An answer held against what is believed: `compare` takes one that may say something, corrects each belief
//! that it refutes, and tells what the answer was like.
//!
//! Mechanisms:
//! 1. What is loading, here or by the worker's own word, is left alone, and so is a belief that changed after
//!    the answer began.
//! 2. What a doubted worker says is believed once it said it in two answers in a row.
//! 3. What stands and is believed is renewed before the belief ends, unless nobody claims it or it is about
//!    to leave.
//! 4. A session whose prefix is gone is let go: it loses nothing by going elsewhere.
//! 5. Belief is corrected by each router for itself; repairs are left to the one that is first, by its own
//!    answer.

use std::sync::Arc;

use cedarpulley::interface::Micros;

use super::place::{CONTRADICTED, Place, Process};
use super::{Counts, Output, Reconciler};
use crate::asking::{Went, slowest};
use crate::drift::{Cause, Drift, Kind};
use crate::observation::{Entry, Observation, Sound};
use crate::repair::What;

/// A function is under load while its uses, halved with each time that copies are kept, are above this.
const UNDER_LOAD: f64 = 1.0;

impl Reconciler {
    #[allow(clippy::too_many_arguments)] // The parts of one observation.
    pub(super) fn compare(
        &mut self,
        worker: &Arc<str>,
        place: &mut Place,
        began: Micros,
        observation: &Observation,
        process: Process,
        own: bool,
        out: &mut Vec<Output>,
    ) -> Went {
        let (now, kept) = (self.now, self.terms.kept);
        place.last_began = began;
        let mb = |f: &str| place.beliefs.get(f).map_or(0.0, |b| b.copy_mb);
        let sound = observation.sound(mb, place.memory_mb);
        self.counts.contradictions += sound.contradictions;
        let entries = sound.entries.values().map(|e| (*e).clone()).collect();
        place.observed = Some(Observation {
            entries,
            ..observation.clone()
        });
        if sound.contradictions > 0 {
            place.suspect(CONTRADICTED);
        }
        let (first, before) = (own && place.rank == 0, out.len());
        let anew = process == Process::New;
        if anew {
            self.found(
                worker,
                place,
                None,
                Kind::OtherIncarnation,
                Cause::Restarted,
                out,
            );
        }
        self.absent(
            worker,
            place,
            began,
            observation.cut,
            &sound,
            anew,
            first,
            out,
        );
        for e in sound.entries.values().filter(|e| e.copies > 0) {
            if !place.follow(e.function.clone(), &mut self.beliefs) {
                self.counts.beliefs_left_out += 1;
                continue;
            }
            self.standing(worker, place, began, e, anew, first, out);
        }
        let stands = |f: &Arc<str>| sound.entries.get(&**f).is_some_and(|e| e.copies > 0);
        if !observation.cut {
            place.unclaimed.retain(|f, _| stands(f));
        }
        let (beliefs, answers) = (place.beliefs.len(), place.answers);
        place.beliefs.retain(|_, b| !b.is_idle(now, kept));
        self.beliefs -= beliefs - place.beliefs.len();
        place.said_once.retain(|_, n| *n == answers);
        if sound.contradictions == 0 {
            place.doubt = place.doubt.saturating_sub(1);
        }
        let mut found = out[before..].iter().filter_map(|o| match o {
            Output::Found(drift) => Some(drift),
            _ => None,
        });
        // Symptom: what other routers load is news all day, and all workers are asked in haste for ever.
        let elsewhere = |d: &Drift| matches!(d.cause, Cause::LoadedElsewhere | Cause::LoadedOnMiss);
        match (found.clone().any(|d| !elsewhere(d)), found.next()) {
            (true, _) => Went::Drifted,
            (_, Some(_)) => Went::Changed,
            _ if place.doubt > 0 => Went::Changed,
            _ => Went::Clean,
        }
    }

    /// What is believed and is not among what stands.
    #[allow(clippy::too_many_arguments)] // The parts of one observation.
    fn absent(
        &mut self,
        worker: &Arc<str>,
        place: &mut Place,
        began: Micros,
        cut: bool,
        sound: &Sound,
        anew: bool,
        first: bool,
        out: &mut Vec<Output>,
    ) {
        let (now, kept) = (self.now, self.terms.kept);
        let believed = place.beliefs.iter().filter(|(_, b)| b.believed(now));
        let mut missing: Vec<Arc<str>> = Vec::new();
        let mut all = true;
        for (f, b) in believed {
            let entry = sound.entries.get(&**f);
            if entry.is_some_and(|e| e.copies > 0) {
                all = false;
            } else if sound.unclear.contains(&&**f) || cut && entry.is_none() {
            } else if b.under_way(now) || entry.is_some_and(|e| e.loading) {
                self.counts.left_under_load += 1;
            } else if !b.settled(began) {
                self.counts.left_belief_newer += 1;
            } else {
                missing.push(f.clone());
            }
        }
        all &= missing.len() > 1;
        for function in missing {
            // That the process is another one was told before, and is no reason for doubt.
            if !anew && !place.believable(&function, Kind::Phantom) {
                self.counts.left_doubted += 1;
                continue;
            }
            let Some(b) = place.beliefs.get_mut(&function) else {
                continue;
            };
            let sessions: Vec<Arc<str>> = b.sessions.keys().cloned().collect();
            let by_order = b.by_order;
            b.correct(now, began, kept, 0);
            let uses = b.uses_at(now, kept);
            out.push(Output::Held {
                worker: worker.clone(),
                function: function.clone(),
                copies: 0,
            });
            self.counts.corrected += 1;
            self.let_go(worker, place, &function, sessions, out);
            if !anew {
                let cause = match (all, by_order) {
                    (true, _) => Cause::Flushed,
                    (_, true) => Cause::LostLoad,
                    _ => Cause::Evicted,
                };
                self.found(worker, place, Some(&function), Kind::Phantom, cause, out);
            }
            if first && uses >= UNDER_LOAD {
                self.wait(worker, &function, What::Want, began, uses);
            }
        }
    }

    /// What the worker says that stands.
    #[allow(clippy::too_many_arguments)] // The parts of one observation.
    fn standing(
        &mut self,
        worker: &Arc<str>,
        place: &mut Place,
        began: Micros,
        e: &Entry,
        anew: bool,
        first: bool,
        out: &mut Vec<Output>,
    ) {
        let (now, kept, function) = (self.now, self.terms.kept, &e.function);
        let slow = slowest(self.terms.every);
        let why = self.unclaimed(e);
        let Some(b) = place.beliefs.get(function) else {
            return;
        };
        if b.under_way(now) || e.loading {
            self.counts.left_under_load += 1;
            return;
        }
        if !b.settled(began) {
            self.counts.left_belief_newer += 1;
            return;
        }
        let (believed, believes, renew) = (b.believed(now), b.copies, b.left(now) < slow * 2);
        // It will have left by itself before it is asked about again.
        let leaving = e.busy.unwrap_or(0) == 0
            && e.idle
                .is_some_and(|idle| idle > (kept - slow).max(kept / 2));
        let other = believes.is_some_and(|n| n != e.copies);
        let mut correct = |place: &mut Place, counts: &mut Counts| {
            if let Some(b) = place.beliefs.get_mut(function) {
                b.correct(now, began, kept, e.copies);
            }
            *(if believed && !other {
                &mut counts.renewed
            } else {
                &mut counts.corrected
            }) += 1;
            out.push(Output::Held {
                worker: worker.clone(),
                function: function.clone(),
                copies: e.copies,
            });
        };
        let cause = match &e.ordered_by {
            Some(by) if *by == self.terms.me => Cause::LostLoad,
            Some(_) => Cause::LoadedElsewhere,
            None => Cause::LoadedOnMiss,
        };
        match believed {
            true if other => match place.believable(function, Kind::Miscounted) {
                true => {
                    correct(place, &mut self.counts);
                    self.found(
                        worker,
                        place,
                        Some(function),
                        Kind::Miscounted,
                        Cause::PartlyEvicted,
                        out,
                    );
                }
                false => self.counts.left_doubted += 1,
            },
            true if renew && !leaving && why.is_none() => correct(place, &mut self.counts),
            true => {
                if let Some(b) = place.beliefs.get_mut(function) {
                    b.copies = Some(e.copies);
                }
            }
            // What is to be unloaded is not for use; whoever uses it lays claim to it.
            false if why.is_some() || leaving => {}
            false => match place.believable(function, Kind::Unseen) {
                true => {
                    correct(place, &mut self.counts);
                    self.found(worker, place, Some(function), Kind::Unseen, cause, out);
                }
                false => self.counts.left_doubted += 1,
            },
        }
        self.prefixes(worker, place, began, e, anew, out);
        if first {
            self.orphan(worker, place, began, e, why, out);
        }
    }

    fn prefixes(
        &mut self,
        worker: &Arc<str>,
        place: &mut Place,
        began: Micros,
        e: &Entry,
        anew: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(b) = place.beliefs.get(&e.function) else {
            return;
        };
        // Of a worker that says nothing of sessions it is known only that a new process has none.
        let held = |id: &Arc<str>| e.sequences.as_ref().map_or(!anew, |held| held.contains(id));
        let lost = b
            .sessions
            .iter()
            .filter(|(id, at)| **at < began && !held(id));
        let lost: Vec<Arc<str>> = lost.map(|(id, _)| id.clone()).collect();
        if lost.is_empty() {
            return;
        }
        if !place.believable(&e.function, Kind::PrefixLost) {
            self.counts.left_doubted += 1;
            return;
        }
        if let Some(b) = place.beliefs.get_mut(&e.function) {
            b.sessions.retain(|id, _| !lost.contains(id));
        }
        self.let_go(worker, place, &e.function, lost, out);
    }

    fn let_go(
        &mut self,
        worker: &Arc<str>,
        place: &mut Place,
        function: &Arc<str>,
        sessions: Vec<Arc<str>>,
        out: &mut Vec<Output>,
    ) {
        if sessions.is_empty() {
            return;
        }
        self.counts.sessions_let_go += sessions.len() as u64;
        out.push(Output::PrefixLost {
            worker: worker.clone(),
            function: function.clone(),
            sessions,
        });
        self.found(
            worker,
            place,
            Some(function),
            Kind::PrefixLost,
            Cause::Evicted,
            out,
        );
    }

    pub(super) fn found(
        &mut self,
        worker: &Arc<str>,
        place: &mut Place,
        function: Option<&Arc<str>>,
        kind: Kind,
        cause: Cause,
        out: &mut Vec<Output>,
    ) {
        place.found[kind.ix()] += 1;
        place.found_by[kind.ix()] = place.answers;
        self.counts.found(kind);
        out.push(Output::Found(Drift {
            kind,
            cause,
            worker: worker.clone(),
            function: function.cloned(),
        }));
    }
}

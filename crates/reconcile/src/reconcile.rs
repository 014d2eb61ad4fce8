//! [`Reconciler`]: call [`Reconciler::handle`] with each thing that happened, and again with [`Input::Tick`] at
//! [`Reconciler::next_due`]; what is to be done comes out, in order.
//!
//! Mechanisms:
//! 1. An observation that began before a belief last changed says nothing about it, nor does one from before the last
//!    that was taken; what is loading, here or by the worker's own word, is left alone.
//! 2. An answer of an earlier process is void; one of a new process takes all belief of the old with it.
//! 3. A worker that contradicted itself, or that an invocation refuted, is doubted for a while: its word counts once it
//!    was said in two answers in a row.
//! 4. Belief is corrected by each router for itself. What costs the worker something is done only by the one that is
//!    first for it, from its own observation, within a budget, and looked at again right before.
//! 5. What nobody claims is unloaded only after it has been idle for longer than any router may believe in it: so an
//!    unload leaves no router with a wrong belief.
//! 6. Answers, and silence, go to the group as notes; each says for how long it was under way, so that a receiver knows
//!    by its own clock from which time it can be at the earliest.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cedarpulley::interface::Micros;
use serde::{Deserialize, Serialize};

use crate::asking::{Budget, Chance, Pace, Went, patience, rank, slowest};
use crate::belief::{Belief, Change};
use crate::drift::{Cause, Drift, KINDS, Kind};
use crate::observation::{Entry, Observation, Sound};
use crate::repair::{Repair, Repairs, What};

/// Beliefs over all workers; what is beyond is not followed, and counted.
const MOST_BELIEFS: usize = 200_000;
/// An answer that has not come by then never does: whoever asks gives up long before.
const ASK_LOST: Micros = 30_000_000;
/// Bytes of a note; sessions are left out first, then functions.
const MOST_NOTE: usize = 256 << 10;
/// Functions that a note which was too long still names.
const FEW_ENTRIES: usize = 512;
/// Functions that are shown of a worker.
const MOST_SHOWN: usize = 100;
/// Doubt that one contradiction adds, that one refutation adds, and at most: so many sound answers lift it.
const CONTRADICTED: u8 = 2;
const REFUTED: u8 = 1;
const MOST_DOUBT: u8 = 8;
/// Earlier processes of a worker that are remembered.
const MOST_FORMER: usize = 8;
/// So many times as the module keeps a copy after its use some router may believe in it: its last renewal by a worker's
/// word may have come when it had been idle for almost that long.
const BELIEVED_FOR: Micros = 2;
/// A function is under load while its uses, halved with each time that copies are kept, are above this.
const UNDER_LOAD: f64 = 1.0;

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

/// All that was seen and done; nothing here is read back by a decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    pub asks: u64,
    /// For another member that was not heard of.
    pub asks_for_another: u64,
    pub asks_put_off: u64,
    pub answers: u64,
    pub silences: u64,
    pub notes: u64,
    pub notes_unreadable: u64,
    pub notes_old: u64,
    pub void_older: u64,
    pub void_of_earlier_process: u64,
    pub left_belief_newer: u64,
    pub left_under_load: u64,
    pub left_doubted: u64,
    pub contradictions: u64,
    pub refuted: u64,
    pub phantom: u64,
    pub unseen: u64,
    pub older_version: u64,
    pub other_incarnation: u64,
    pub miscounted: u64,
    pub prefix_lost: u64,
    pub orphan: u64,
    pub corrected: u64,
    pub renewed: u64,
    pub wanted: u64,
    pub unloaded: u64,
    pub sessions_let_go: u64,
    pub repairs_dropped: u64,
    pub beliefs_left_out: u64,
}

impl Counts {
    fn found(&mut self, kind: Kind) {
        let count = match kind {
            Kind::Phantom => &mut self.phantom,
            Kind::Unseen => &mut self.unseen,
            Kind::OlderVersion => &mut self.older_version,
            Kind::OtherIncarnation => &mut self.other_incarnation,
            Kind::Miscounted => &mut self.miscounted,
            Kind::PrefixLost => &mut self.prefix_lost,
            Kind::Orphan => &mut self.orphan,
        };
        *count += 1;
    }
}

/// One worker, as an operator sees it.
#[derive(Debug, Serialize)]
pub struct Shown<'a> {
    pub worker: &'a str,
    pub id: &'a str,
    /// 0: this router asks it.
    pub rank: u32,
    pub life: Option<u64>,
    pub doubt: u8,
    pub heard_us_ago: Micros,
    /// The first of them by name.
    pub believes: Vec<&'a str>,
    /// Its answers that were taken in, its own or as others noted them.
    pub answers: u64,
    pub found: BTreeMap<Kind, u64>,
    /// By which answer each kind was found last.
    pub found_by: BTreeMap<Kind, u64>,
}

/// What goes from one member to the others.
#[derive(Debug, Serialize, Deserialize)]
enum Word {
    /// It began so long before the note left.
    Said {
        ago: Micros,
        observation: Observation,
    },
    Silent,
}

/// Why nobody claims a copy.
#[derive(Clone, Debug, PartialEq)]
enum Why {
    Owner(Arc<str>),
    Plan(Arc<str>),
    Retired,
}

#[derive(Debug)]
struct Place {
    id: Arc<str>,
    memory_mb: f64,
    rank: u32,
    life: Option<u64>,
    former: Vec<u64>,
    /// Another process than the known one, said once.
    maybe_life: Option<u64>,
    version: (u64, u64),
    last_began: Micros,
    heard: Micros,
    asked: Option<Micros>,
    due: Micros,
    pace: Pace,
    doubt: u8,
    /// What was said once by a doubted worker, and in which answer.
    said_once: BTreeMap<(Arc<str>, Kind), u64>,
    answers: u64,
    beliefs: BTreeMap<Arc<str>, Belief>,
    unclaimed: BTreeMap<Arc<str>, (Micros, Why)>,
    /// The last that was heard of this process.
    observed: Option<Observation>,
    found: [u64; KINDS.len()],
    found_by: [u64; KINDS.len()],
}

impl Place {
    fn new(now: Micros, seat: &Seat, rank: u32, due: Micros, pace: Pace) -> Place {
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

    /// True if this difference may be believed now.
    fn believable(&mut self, function: &Arc<str>, kind: Kind) -> bool {
        if self.doubt == 0 {
            return true;
        }
        let before = self.said_once.insert((function.clone(), kind), self.answers);
        before.is_some_and(|n| n + 1 == self.answers)
    }

    fn suspect(&mut self, by: u8) {
        self.doubt = self.doubt.saturating_add(by).min(MOST_DOUBT);
    }
}

/// Of which process an answer is.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Process {
    Known,
    New,
    Void,
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
            Input::Believes { worker, function, change } => return self.believes(worker, function, change),
            Input::Said { worker, began, observation } => self.said(worker, began, &observation, out),
            Input::Silent { worker } => self.silent(worker, out),
            Input::Noted { id, version, transit, value } => self.noted(id, version, transit, value, out),
            Input::Claims(claims) => self.claims = Some(claims),
            Input::Tick => {}
        }
        self.repair(out);
        self.ask(out);
    }

    pub fn next_due(&self) -> Micros {
        let ask = self.schedule.first().map_or(Micros::MAX, |s| s.0.max(self.budget.due()));
        ask.min(self.repairs.next_due())
    }

    /// For whoever operates it.
    pub fn shown(&self) -> impl Iterator<Item = Shown<'_>> {
        self.places.iter().map(|(worker, p)| Shown {
            worker,
            id: &p.id,
            rank: p.rank,
            life: p.life,
            doubt: p.doubt,
            heard_us_ago: self.now - p.heard,
            believes: p
                .beliefs
                .iter()
                .filter(|(_, b)| b.believed(self.now))
                .map(|(f, _)| &**f)
                .take(MOST_SHOWN)
                .collect(),
            answers: p.answers,
            found: KINDS.iter().map(|k| (*k, p.found[k.ix()])).filter(|f| f.1 > 0).collect(),
            found_by: KINDS.iter().map(|k| (*k, p.found_by[k.ix()])).filter(|f| f.1 > 0).collect(),
        })
    }

    /// What each worker said last, and when that began to be true.
    pub fn observed(&self) -> impl Iterator<Item = (&Arc<str>, Micros, &Observation)> {
        self.places.iter().filter_map(|(w, p)| Some((w, p.last_began, p.observed.as_ref()?)))
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
        self.belief(worker, function).is_some_and(|b| b.believed(self.now))
    }

    /// Whether a load is under way there, as far as this router knows by itself.
    pub fn under_way(&self, worker: &str, function: &str) -> bool {
        self.belief(worker, function).is_some_and(|b| b.under_way(self.now))
    }

    /// Whether copies are believed there that this router itself has used so lately that the module would still believe
    /// in them by that use alone: told so again, it believes in them no longer than [`BELIEVED_FOR`] allows.
    pub fn used_lately(&self, now: Micros, worker: &str, function: &str) -> bool {
        let lately = |b: &Belief| b.used.is_some_and(|at| now - at < self.terms.kept);
        self.belief(worker, function).is_some_and(|b| b.believed(now) && lately(b))
    }

    fn belief(&self, worker: &str, function: &str) -> Option<&Belief> {
        self.places.get(worker)?.beliefs.get(function)
    }

    fn rank(&self, id: &str) -> u32 {
        rank(id, &self.terms.me, &self.members)
    }

    /// Alone, it is first for all.
    fn grouped(&self) -> bool {
        self.members.iter().any(|m| *m != self.terms.me)
    }

    fn workers(&mut self, seats: &[Seat]) {
        let now = self.now;
        let named: BTreeSet<&str> = seats.iter().map(|s| &*s.worker).collect();
        let gone: Vec<Arc<str>> = self.places.keys().filter(|w| !named.contains(&***w)).cloned().collect();
        for worker in gone {
            self.remove(&worker);
        }
        for seat in seats {
            if let Some(place) = self.places.get_mut(&seat.worker).filter(|p| p.id == seat.id) {
                place.memory_mb = seat.memory_mb;
                continue;
            }
            let before = self.remove(&seat.worker);
            // One that just started holds nothing that is worth waiting for.
            let within = if before.is_some() { self.terms.every / 8 } else { self.terms.every };
            let due = now + (within as f64 * self.chance.draw()) as Micros;
            let mut place = Place::new(now, seat, self.rank(&seat.id), due, Pace::new(self.terms.every));
            if let Some(before) = before {
                place.former = before.former;
                place.former.extend(before.life);
                place.found = before.found;
            }
            self.by_id.insert(seat.id.clone(), seat.worker.clone());
            self.schedule.insert((due, seat.worker.clone()));
            self.places.insert(seat.worker.clone(), place);
        }
    }

    fn remove(&mut self, worker: &Arc<str>) -> Option<Place> {
        let place = self.places.remove(worker)?;
        self.by_id.remove(&place.id);
        self.schedule.remove(&(place.due, worker.clone()));
        self.beliefs -= place.beliefs.len();
        Some(place)
    }

    fn membership(&mut self, members: Vec<Arc<str>>) {
        let now = self.now;
        for member in &self.members {
            if !members.contains(member) {
                self.gone.entry(member.clone()).or_insert(now);
            }
        }
        self.gone.retain(|m, _| !members.contains(m));
        self.members = members;
        let ranks: Vec<(Arc<str>, u32)> =
            self.places.iter().map(|(w, p)| (w.clone(), self.rank(&p.id))).collect();
        for (worker, rank) in ranks {
            let soon = now + self.chance.about(self.terms.every);
            if let Some(place) = self.places.get_mut(&worker)
                && place.rank != rank
            {
                place.rank = rank;
                let due = if rank == 0 { place.due.min(soon) } else { place.due.max(soon) };
                self.reschedule(&worker, due);
            }
        }
    }

    fn reschedule(&mut self, worker: &Arc<str>, due: Micros) {
        let Some(place) = self.places.get_mut(worker) else { return };
        self.schedule.remove(&(place.due, worker.clone()));
        place.due = due;
        self.schedule.insert((due, worker.clone()));
    }

    fn believes(&mut self, worker: &str, function: &str, change: Change) {
        let (now, kept) = (self.now, self.terms.kept);
        let Some(place) = self.places.get_mut(worker) else { return };
        if !place.beliefs.contains_key(function) {
            if self.beliefs >= MOST_BELIEFS {
                self.counts.beliefs_left_out += 1;
                return;
            }
            self.beliefs += 1;
            place.beliefs.insert(Arc::from(function), Belief::default());
        }
        let refuted = place.beliefs.get_mut(function).is_some_and(|b| b.change(now, kept, change));
        if refuted {
            self.counts.refuted += 1;
            place.suspect(REFUTED);
        }
    }

    fn ask(&mut self, out: &mut Vec<Output>) {
        let (now, every) = (self.now, self.terms.every);
        while let Some((due, worker)) = self.schedule.first().cloned()
            && due <= now
        {
            let Some(place) = self.places.get_mut(&worker) else {
                self.schedule.remove(&(due, worker));
                continue;
            };
            let turn = place.heard + patience(every).saturating_mul(Micros::from(place.rank));
            let lost = place.asked.map(|at| at + ASK_LOST);
            if let Some(later) =
                lost.into_iter().chain((place.rank > 0).then_some(turn)).max().filter(|t| *t > now)
            {
                self.reschedule(&worker, later);
                continue;
            }
            if !self.budget.take(now) {
                self.counts.asks_put_off += 1;
                return;
            }
            place.asked = Some(now);
            self.counts.asks += 1;
            self.counts.asks_for_another += u64::from(place.rank > 0);
            self.reschedule(&worker, now + ASK_LOST);
            out.push(Output::Ask { worker });
        }
    }

    /// When a worker that something was heard of is asked next.
    fn ask_again(&mut self, worker: &Arc<str>, went: Went) {
        let now = self.now;
        let Some(place) = self.places.get_mut(worker) else { return };
        let after = place.pace.after(went);
        let due = now + self.chance.about(after);
        self.reschedule(worker, due);
    }

    fn silent(&mut self, worker: &str, out: &mut Vec<Output>) {
        let now = self.now;
        let grouped = self.grouped();
        let Some((worker, place)) = self.places.get_key_value(worker) else { return };
        let (worker, id, version) =
            (worker.clone(), place.id.clone(), (place.version.0, place.version.1 + 1));
        if let Some(place) = self.places.get_mut(&worker) {
            (place.asked, place.heard, place.version) = (None, now, version);
        }
        self.counts.silences += 1;
        if grouped && let Ok(value) = postcard::to_stdvec(&Word::Silent) {
            out.push(Output::Note { id, version, value });
        }
        self.ask_again(&worker, Went::Silent);
    }

    fn said(&mut self, worker: &str, began: Micros, observation: &Observation, out: &mut Vec<Output>) {
        let Some((worker, mut place)) = self.places.remove_entry(worker) else { return };
        self.counts.answers += 1;
        place.asked = None;
        let mut went = Went::Changed;
        if began <= place.last_began {
            self.counts.void_older += 1;
        } else {
            place.answers += 1;
            match self.process(&mut place, observation.life, true) {
                Process::Void => self.counts.void_of_earlier_process += 1,
                process => {
                    place.heard = self.now;
                    place.version.0 += u64::from(process == Process::New);
                    place.version.1 += 1;
                    if self.grouped() {
                        let ago = self.now - began;
                        let (id, version) = (place.id.clone(), place.version);
                        out.extend(note(ago, observation).map(|value| Output::Note { id, version, value }));
                    }
                    went = self.compare(&worker, &mut place, began, observation, process, true, out);
                }
            }
        }
        self.places.insert(worker.clone(), place);
        self.ask_again(&worker, went);
    }

    fn noted(&mut self, id: &str, version: (u64, u64), transit: Micros, value: &[u8], out: &mut Vec<Output>) {
        let Some(worker) = self.by_id.get(id).cloned() else { return };
        let Some(mut place) = self.places.remove(&worker) else { return };
        self.counts.notes += 1;
        let word = postcard::from_bytes::<Word>(value);
        if version <= place.version {
            self.counts.notes_old += 1;
        } else if let Ok(word) = word {
            (place.version, place.heard) = (version, self.now);
            if let Word::Said { ago, observation } = word {
                let began = self.now.saturating_sub(transit.max(0)).saturating_sub(ago.max(0));
                if began <= place.last_began {
                    self.counts.void_older += 1;
                } else {
                    place.answers += 1;
                    match self.process(&mut place, observation.life, false) {
                        Process::Void => self.counts.void_of_earlier_process += 1,
                        process => {
                            self.compare(&worker, &mut place, began, &observation, process, false, out);
                        }
                    }
                }
            }
        } else {
            self.counts.notes_unreadable += 1;
        }
        self.places.insert(worker, place);
    }

    /// Symptom: a worker was started anew at the same address, and answers of its old process are still under way.
    fn process(&mut self, place: &mut Place, life: Option<u64>, own: bool) -> Process {
        let Some(life) = life else { return Process::Known };
        let maybe = place.maybe_life.take();
        if place.life == Some(life) {
            return Process::Known;
        }
        let earlier = place.former.contains(&life);
        if earlier && own && maybe.is_none() {
            // It was over, or so it was said.
            place.suspect(CONTRADICTED);
        }
        // A doubted word, and one that an earlier process is back, counts once it was said twice.
        if (earlier || place.doubt > 0) && maybe != Some(life) {
            place.maybe_life = Some(life);
            return Process::Void;
        }
        let before = place.life.replace(life);
        place.former.retain(|l| *l != life);
        place.former.extend(before);
        if place.former.len() > MOST_FORMER {
            place.former.remove(0);
        }
        if before.is_some() { Process::New } else { Process::Known }
    }

    #[allow(clippy::too_many_arguments)] // The parts of one observation.
    fn compare(
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
        place.observed = Some(Observation { entries, ..observation.clone() });
        if sound.contradictions > 0 {
            place.suspect(CONTRADICTED);
        }
        let (first, before) = (own && place.rank == 0, out.len());
        let anew = process == Process::New;
        if anew {
            self.found(worker, place, None, Kind::OtherIncarnation, Cause::Restarted, out);
        }
        self.absent(worker, place, began, observation.cut, &sound, anew, first, out);
        for (name, e) in sound.entries.iter().filter(|(_, e)| e.copies > 0) {
            if !place.beliefs.contains_key(*name) {
                if self.beliefs >= MOST_BELIEFS {
                    self.counts.beliefs_left_out += 1;
                    continue;
                }
                self.beliefs += 1;
                place.beliefs.insert(e.function.clone(), Belief::default());
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
            let Some(b) = place.beliefs.get_mut(&function) else { continue };
            let sessions: Vec<Arc<str>> = b.sessions.keys().cloned().collect();
            let by_order = b.by_order;
            b.correct(now, began, kept, 0);
            let uses = b.uses_at(now, kept);
            out.push(Output::Held { worker: worker.clone(), function: function.clone(), copies: 0 });
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
        let Some(b) = place.beliefs.get(function) else { return };
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
        let leaving =
            e.busy.unwrap_or(0) == 0 && e.idle.is_some_and(|idle| idle > (kept - slow).max(kept / 2));
        let other = believes.is_some_and(|n| n != e.copies);
        let mut correct = |place: &mut Place, counts: &mut Counts| {
            if let Some(b) = place.beliefs.get_mut(function) {
                b.correct(now, began, kept, e.copies);
            }
            *(if believed && !other { &mut counts.renewed } else { &mut counts.corrected }) += 1;
            out.push(Output::Held { worker: worker.clone(), function: function.clone(), copies: e.copies });
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
                    self.found(worker, place, Some(function), Kind::Miscounted, Cause::PartlyEvicted, out);
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
        let Some(b) = place.beliefs.get(&e.function) else { return };
        // Of a worker that says nothing of sessions it is known only that a new process has none.
        let held = |id: &Arc<str>| e.sequences.as_ref().map_or(!anew, |held| held.contains(id));
        let lost = b.sessions.iter().filter(|(id, at)| **at < began && !held(id));
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
        out.push(Output::PrefixLost { worker: worker.clone(), function: function.clone(), sessions });
        self.found(worker, place, Some(function), Kind::PrefixLost, Cause::Evicted, out);
    }

    /// Symptom: a router died, or a plan ended, with copies ordered; they fill memory, and nobody ever asks for them.
    fn orphan(
        &mut self,
        worker: &Arc<str>,
        place: &mut Place,
        began: Micros,
        e: &Entry,
        why: Option<Why>,
        out: &mut Vec<Output>,
    ) {
        let (now, function) = (self.now, &e.function);
        // A use is a claim, whoever's: so long as any router may still believe in the copy, it is not touched.
        let idle_for = self.terms.grace.max(self.terms.kept.saturating_mul(BELIEVED_FOR));
        let used = place.beliefs.get(function).and_then(|b| b.used).is_some_and(|at| now - at < idle_for);
        let Some(why) = why.filter(|_| !used && e.busy.unwrap_or(0) == 0) else {
            place.unclaimed.remove(function);
            return;
        };
        if !place.believable(function, Kind::Orphan) {
            self.counts.left_doubted += 1;
            return;
        }
        let known = place.unclaimed.get(function).filter(|(_, before)| *before == why).map(|u| u.0);
        let since = known.unwrap_or(now);
        if known.is_none() {
            let (kind, cause) = match &why {
                Why::Owner(_) => (Kind::Orphan, Cause::RouterGone),
                Why::Plan(_) => (Kind::Orphan, Cause::PlanEnded),
                Why::Retired => (Kind::OlderVersion, Cause::LostUnload),
            };
            place.unclaimed.insert(function.clone(), (now, why));
            self.found(worker, place, Some(function), kind, cause, out);
        }
        // Where the worker does not say for how long it was idle, it counts from when it was first seen so.
        let idle = e.idle.unwrap_or(now - since);
        if now - since >= self.terms.grace && idle >= idle_for {
            self.wait(worker, function, What::Unload { term: e.term.clone() }, began, 0.0);
        }
    }

    /// Why no router and no plan claims it, if none does.
    fn unclaimed(&self, e: &Entry) -> Option<Why> {
        if let Some(claims) = &self.claims {
            if claims.functions.contains(&e.function) {
                return None;
            }
            if claims.retired.contains(&e.function) {
                return Some(Why::Retired);
            }
            match &e.term {
                Some(term) if claims.terms.contains(term) => return None,
                Some(term) => return Some(Why::Plan(term.clone())),
                None => {}
            }
        }
        let owner = e.ordered_by.as_ref().filter(|by| **by != self.terms.me)?;
        // Without a group nothing is known of others.
        let gone = !self.members.is_empty() && !self.members.contains(owner);
        gone.then(|| Why::Owner(owner.clone()))
    }

    fn found(
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
        out.push(Output::Found(Drift { kind, cause, worker: worker.clone(), function: function.cloned() }));
    }

    fn wait(&mut self, worker: &Arc<str>, function: &Arc<str>, what: What, began: Micros, urgency: f64) {
        let urgency = (urgency.max(0.0) * 1e3) as u64;
        let repair = Repair { worker: worker.clone(), function: function.clone(), what, began, urgency };
        if !self.repairs.wait(self.now, &mut self.chance, repair) {
            self.counts.repairs_dropped += 1;
        }
    }

    /// What waited goes, if it still stands.
    fn repair(&mut self, out: &mut Vec<Output>) {
        let (now, kept) = (self.now, self.terms.kept);
        let (places, claims) = (&self.places, &self.claims);
        let (members, gone, grace) = (&self.members, &self.gone, self.terms.grace);
        let claimed = |function: &Arc<str>, why: &Why| match why {
            Why::Owner(owner) => {
                let lately = gone.get(owner).is_some_and(|since| now - since < grace);
                members.contains(owner) || lately
            }
            Why::Plan(term) => {
                claims.as_ref().is_some_and(|c| c.terms.contains(term) || c.functions.contains(function))
            }
            Why::Retired => !claims.as_ref().is_some_and(|c| c.retired.contains(function)),
        };
        let stands = |r: &Repair| {
            let Some(place) = places.get(&r.worker).filter(|p| p.rank == 0) else { return false };
            let untouched = |b: &Belief| b.changed <= r.began && !b.under_way(now) && !b.believed(now);
            let untouched = place.beliefs.get(&r.function).is_none_or(untouched);
            untouched
                && match &r.what {
                    What::Want => true,
                    What::Unload { .. } => {
                        place.unclaimed.get(&r.function).is_some_and(|(_, why)| !claimed(&r.function, why))
                    }
                }
        };
        let Some(repair) = self.repairs.take(now, &mut self.chance, stands) else { return };
        let Repair { worker, function, what, .. } = repair;
        match what {
            What::Want => {
                self.counts.wanted += 1;
                out.push(Output::Want { worker, function });
            }
            What::Unload { term } => {
                self.counts.unloaded += 1;
                if let Some(place) = self.places.get_mut(&worker) {
                    // Lost, it is tried again after the grace.
                    place.unclaimed.remove(&function);
                    if let Some(b) = place.beliefs.get_mut(&function) {
                        b.change(now, kept, Change::Unloaded);
                    }
                }
                out.push(Output::Unload { worker, function, term });
            }
        }
    }
}

/// Within its bound; what is left out is told.
fn note(ago: Micros, observation: &Observation) -> Option<Vec<u8>> {
    let encode = |observation| postcard::to_stdvec(&Word::Said { ago, observation }).ok();
    let whole = encode(observation.clone())?;
    if whole.len() <= MOST_NOTE {
        return Some(whole);
    }
    let mut less = observation.clone();
    less.entries.iter_mut().for_each(|e| e.sequences = None);
    let value = encode(less.clone())?;
    if value.len() <= MOST_NOTE {
        return Some(value);
    }
    less.entries.truncate(FEW_ENTRIES);
    less.cut = true;
    encode(less).filter(|value| value.len() <= MOST_NOTE)
}

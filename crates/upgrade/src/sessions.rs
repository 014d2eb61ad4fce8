//! Which version a session is of, and where what came before in it is warm. Called with [`Sessions::handle`] for all that
//! happens, and with [`Input::Tick`] when [`Sessions::next_due`] says so.
//!
//! Mechanisms:
//! 1. A majority says once to which version a session belongs, before the first dispatch from here. What it said is
//!    kept and not asked again.
//! 2. The majority's record is kept for a time beyond its last use and renewed while the session goes on. What is known
//!    here is used for a little less than that: when it has run out at all others, it has run out here.
//! 3. Who waits for a majority is bounded in number and time.
//! 4. The worker that answered a session last is preferred. Other routers learn of it when it changes.

use std::collections::{BTreeSet, HashMap};

use cedarpulley::interface::Micros;
use serde::Serialize;

use crate::Name;

/// Part of the time that records are kept by which clocks may go wrong between two members.
const DRIFT_PART: Micros = 8;
/// Before the model and the session in the record of a binding.
pub const BOUND: &str = "s\n";
/// The same, of a place.
const PLACED: &str = "p\n";

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// A session that nothing comes of for so long is over.
    pub kept: Micros,
    /// Invocations wait for a majority for so long.
    pub patience: Micros,
    /// Sessions that are known here at once.
    pub most_known: usize,
    /// Invocations that wait at once.
    pub most_waiting: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// An invocation of a session, before it goes on. `ticket`: unlike any other that waits. `proposes`: the version
    /// that the session is to have if a majority knows of none; absent where sessions are not bound. `placed`: what
    /// other routers made known last.
    Arrives {
        ticket: u64,
        model: Name,
        session: Name,
        proposes: Option<Name>,
        placed: Option<Placed>,
    },
    /// It is not waited for any more.
    Leaves {
        ticket: u64,
    },
    /// What a majority said under the key of [`Output::Choose`]. Absent: there was none.
    Decided {
        key: Name,
        version: Option<Name>,
    },
    /// A worker has answered an invocation of the session. `ends`: it was the last one.
    Answered {
        model: Name,
        session: Name,
        worker: Name,
        ends: bool,
    },
    /// What had come before is no longer warm there.
    Lost {
        model: Name,
        session: Name,
        worker: Name,
    },
    /// The worker is gone, or has begun anew.
    Gone {
        worker: Name,
    },
    Tick,
}

/// Where a session was last answered. The one with the higher number is the later one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Placed {
    pub number: u64,
    /// Empty: nowhere any more.
    pub worker: Name,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    NoMajority,
    /// More wait already than may.
    Full,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A majority is to say it once, and to keep it for so long.
    Choose {
        key: Name,
        version: Name,
        kept: Micros,
    },
    /// `version` is absent where sessions are not bound. `anew`: another router has told of the worker since the last.
    Goes {
        ticket: u64,
        version: Option<Name>,
        prefers: Option<Name>,
        anew: bool,
    },
    Refused {
        ticket: u64,
        why: Refused,
    },
    /// The other routers are to know.
    Place {
        key: Name,
        placed: Placed,
        kept: Micros,
    },
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    pub sessions_bound: u64,
    pub sessions_renewed: u64,
    pub sessions_without_majority: u64,
    pub sessions_refused_full: u64,
    /// Forgotten for want of room; their next invocation asks again.
    pub sessions_forgotten: u64,
    /// A majority says another version than was known here: its record had run out.
    pub sessions_rebound: u64,
    pub sessions_moved: u64,
}

#[derive(Clone, Debug, Default)]
struct Session {
    /// What a majority said, and until when that is sure to stand.
    bound: Option<(Name, Micros)>,
    /// When a majority was asked first that has not yet said.
    asked: Option<Micros>,
    /// It is asked again before it is used.
    unheard: bool,
    /// Who waits, each since when.
    waiting: Vec<(u64, Micros)>,
    place: Placed,
    /// The place is another router's word, and nothing has gone there from here since.
    anew: bool,
    used: Micros,
}

#[derive(Clone, Debug)]
pub struct Sessions {
    terms: Terms,
    known: HashMap<Name, Session>,
    /// By their last use.
    order: BTreeSet<(Micros, Name)>,
    /// By the time that they are waited for, and for which session.
    waits: BTreeSet<(Micros, u64, Name)>,
    pub counts: Counts,
}

/// Of the record that a majority keeps. No session's name has the character between them.
pub fn key(model: &str, session: &str) -> Name {
    Name::from([BOUND, model, "\n", session].concat())
}

/// Of what other routers are told.
pub fn place_key(model: &str, session: &str) -> Name {
    Name::from([PLACED, model, "\n", session].concat())
}

impl Sessions {
    pub fn new(terms: Terms) -> Sessions {
        Sessions {
            terms,
            known: HashMap::new(),
            order: BTreeSet::new(),
            waits: BTreeSet::new(),
            counts: Counts::default(),
        }
    }

    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Arrives {
                ticket,
                model,
                session,
                proposes,
                placed,
            } => {
                self.arrives(now, ticket, key(&model, &session), proposes, placed, out);
            }
            Input::Leaves { ticket } => {
                let Some(wait) = self.waits.iter().find(|w| w.1 == ticket).cloned() else {
                    return;
                };
                self.waits.remove(&wait);
                if let Some(s) = self.known.get_mut(&wait.2) {
                    s.waiting.retain(|w| w.0 != ticket);
                }
            }
            Input::Decided { key, version } => self.decided(key, version, out),
            Input::Answered {
                model,
                session,
                worker,
                ends,
            } => {
                let worker = if ends { Name::default() } else { worker };
                self.placed(
                    now,
                    key(&model, &session),
                    place_key(&model, &session),
                    worker,
                    out,
                );
            }
            Input::Lost {
                model,
                session,
                worker,
            } => {
                let key = key(&model, &session);
                if self
                    .known
                    .get(&key)
                    .is_some_and(|s| s.place.worker == worker)
                {
                    self.placed(now, key, place_key(&model, &session), Name::default(), out);
                }
            }
            // What others made known of it names a worker that is gone, and is not found in the list.
            Input::Gone { worker } => {
                for s in self.known.values_mut().filter(|s| s.place.worker == worker) {
                    s.place.worker = Name::default();
                }
            }
            Input::Tick => {}
        }
        self.pass(now, out);
    }

    /// When [`Input::Tick`] is wanted.
    pub fn next_due(&self) -> Micros {
        self.waits.first().map_or(Micros::MAX, |w| w.0)
    }

    pub fn waiting(&self) -> usize {
        self.waits.len()
    }

    /// Bindings that are known here, by version.
    pub fn known(&self) -> impl Iterator<Item = &Name> {
        self.known
            .values()
            .filter_map(|s| s.bound.as_ref().map(|b| &b.0))
    }

    fn arrives(
        &mut self,
        now: Micros,
        ticket: u64,
        key: Name,
        proposes: Option<Name>,
        placed: Option<Placed>,
        out: &mut Vec<Output>,
    ) {
        let terms = self.terms;
        let full = self.waits.len() >= terms.most_waiting;
        let s = self.used(now, &key);
        if let Some(placed) = placed.filter(|p| p.number > s.place.number) {
            (s.place, s.anew) = (placed, true);
        }
        let prefers = Some(&s.place.worker).filter(|w| !w.is_empty()).cloned();
        let Some(proposes) = proposes else {
            let anew = std::mem::take(&mut s.anew);
            return out.push(Output::Goes {
                ticket,
                version: None,
                prefers,
                anew,
            });
        };
        let stands = s.bound.clone().filter(|(_, until)| now < *until);
        if stands.is_none() && full {
            self.counts.sessions_refused_full += 1;
            return out.push(Output::Refused {
                ticket,
                why: Refused::Full,
            });
        }
        // Half of its time is over: renewed beside what goes on.
        let renews = stands
            .as_ref()
            .is_some_and(|(_, until)| *until - now < terms.kept / 2);
        if (stands.is_none() || renews) && (s.asked.is_none() || std::mem::take(&mut s.unheard)) {
            s.asked.get_or_insert(now);
            // Known here once: that one, whatever the plan says by now.
            let version = s.bound.as_ref().map_or(proposes, |b| b.0.clone());
            out.push(Output::Choose {
                key: key.clone(),
                version,
                kept: terms.kept,
            });
        }
        match stands {
            Some((version, _)) => {
                let anew = std::mem::take(&mut s.anew);
                out.push(Output::Goes {
                    ticket,
                    version: Some(version),
                    prefers,
                    anew,
                });
            }
            None => {
                let until = now.saturating_add(terms.patience);
                s.waiting.push((ticket, until));
                self.waits.insert((until, ticket, key));
            }
        }
    }

    fn decided(&mut self, key: Name, version: Option<Name>, out: &mut Vec<Output>) {
        let terms = self.terms;
        let Some(s) = self.known.get_mut(&key) else {
            return;
        };
        // Not asked from here, or forgotten meanwhile: since when it stands is not known.
        let Some(asked) = s.asked.take() else { return };
        s.unheard = false;
        let waiting = std::mem::take(&mut s.waiting);
        for (ticket, until) in &waiting {
            self.waits.remove(&(*until, *ticket, key.clone()));
        }
        let Some(version) = version else {
            self.counts.sessions_without_majority += waiting.len() as u64;
            let why = Refused::NoMajority;
            return out.extend(
                waiting
                    .into_iter()
                    .map(|(ticket, _)| Output::Refused { ticket, why }),
            );
        };
        match &s.bound {
            None => self.counts.sessions_bound += 1,
            Some((known, _)) if *known == version => self.counts.sessions_renewed += 1,
            Some(_) => self.counts.sessions_rebound += 1,
        }
        // Kept by a majority for so long since it was asked, at the least, by any clock.
        s.bound = Some((
            version.clone(),
            asked.saturating_add(terms.kept - terms.kept / DRIFT_PART),
        ));
        let prefers = Some(&s.place.worker).filter(|w| !w.is_empty()).cloned();
        let anew = std::mem::take(&mut s.anew);
        let goes = |ticket| Output::Goes {
            ticket,
            version: Some(version.clone()),
            prefers: prefers.clone(),
            anew,
        };
        out.extend(waiting.into_iter().map(|(ticket, _)| goes(ticket)));
    }

    fn placed(
        &mut self,
        now: Micros,
        key: Name,
        place_key: Name,
        worker: Name,
        out: &mut Vec<Output>,
    ) {
        let kept = self.terms.kept;
        let s = self.used(now, &key);
        if s.place.worker == worker {
            return;
        }
        s.place = Placed {
            number: s.place.number + 1,
            worker,
        };
        let placed = s.place.clone();
        self.counts.sessions_moved += 1;
        out.push(Output::Place {
            key: place_key,
            placed,
            kept,
        });
    }

    /// Marks it as used, and makes room for it.
    fn used(&mut self, now: Micros, key: &Name) -> &mut Session {
        if let Some(s) = self.known.get(key) {
            self.order.remove(&(s.used, key.clone()));
        }
        while self.known.len() >= self.terms.most_known.max(1) && !self.known.contains_key(key) {
            // Whoever is waited for is not forgotten.
            let known = &self.known;
            let idle = |o: &&(Micros, Name)| known.get(&o.1).is_none_or(|s| s.waiting.is_empty());
            let Some(oldest) = self.order.iter().find(idle).cloned() else {
                break;
            };
            self.order.remove(&oldest);
            self.known.remove(&oldest.1);
            self.counts.sessions_forgotten += 1;
        }
        self.order.insert((now, key.clone()));
        let s = self.known.entry(key.clone()).or_default();
        s.used = now;
        s
    }

    fn pass(&mut self, now: Micros, out: &mut Vec<Output>) {
        // Symptom: an answer of the group is lost on the way here, and its invocations are never answered.
        while let Some((until, ticket, key)) = self.waits.first().cloned()
            && until <= now
        {
            self.waits.pop_first();
            if let Some(s) = self.known.get_mut(&key) {
                s.waiting.retain(|w| w.0 != ticket);
                s.unheard = true;
            }
            self.counts.sessions_without_majority += 1;
            out.push(Output::Refused {
                ticket,
                why: Refused::NoMajority,
            });
        }
        // Nothing of it can be used any more.
        while let Some((used, key)) = self.order.first().cloned()
            && now.saturating_sub(used) > self.terms.kept
            && self.known.get(&key).is_none_or(|s| s.waiting.is_empty())
        {
            self.order.pop_first();
            self.known.remove(&key);
        }
    }
}

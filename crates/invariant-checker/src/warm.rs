//! What upgrades promise: sessions that stay on one version, floors of what stands warm, one planner in a term; and
//! what became of warm prefixes. From the workers' lines alone, and the rig's `upgrade` lines.
//!
//! Mechanisms:
//! 1. Functions that differ only in what follows `/versions/` are versions of one model; one without is a version too.
//! 2. Lanes stand from `loaded` until `unloaded`, `evicted`, or their worker's `down` or `fell`. A floor is given in
//!    lanes and holds from when it is first reached, or as a part of what stood at the model's `upgrade` line, until
//!    its `upgrade-over`.
//! 3. What an order, or a load that needs room, takes below a floor breaks it; what a fault takes away is counted as
//!    lost, and routers need not know of it for a stated time.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::Serialize;

use crate::Terms;
use crate::judge::{TOLD, Verdict, id_of};
use crate::kept::Kept;
use crate::log::Line;

/// Why a turn found no prefix, by where the last turn that was answered before it came to its router had run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    /// No turn had been answered by then, or the last one had been.
    OutOfTurn,
    /// That worker had died since, or had lost the copy by a fault.
    Died,
    /// An order had the copy unloaded.
    Unloaded,
    /// It was evicted for room.
    Room,
    /// The router could not reach that worker just then.
    Cut,
    /// It was sent there before, and that dispatch came to nothing.
    Tried,
    /// All lanes of the copy were taken at some time since the router had it.
    Busy,
    /// Its router had other work at that worker then, and may have taken the worker for crowded.
    Crowded,
    /// Another router had answered the turn before, and the word of where may have come late.
    Elsewhere,
    /// Its router had answered the turn before; the copy stood with a free lane all the time, at a worker to which that
    /// router had sent nothing else, or one thing.
    Astray,
}

/// How sessions met their prefixes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Prefixes {
    pub begun: u64,
    pub found: u64,
    pub rebuilt: u64,
    /// Of the rebuilt; each is in one.
    pub by: BTreeMap<Why, u64>,
    /// Invocations that went astray, with the worker to which they should have gone; the first few.
    pub astray: Vec<String>,
}

impl Prefixes {
    pub fn why(&self, why: Why) -> u64 {
        self.by.get(&why).copied().unwrap_or(0)
    }
}

/// Of one model in one region, in lanes.
#[derive(Clone, Debug, Serialize)]
pub struct Stood {
    pub floor: f64,
    pub lowest: u64,
}

pub const SESSIONS: &str = "sessions";
pub const FLOOR: &str = "floor";
pub const TERMS: &str = "terms";

fn model(function: &str) -> &str {
    function
        .split_once("/versions/")
        .map_or(function, |(model, _)| model)
}

/// Taken by a fault of the test's, not by an order or for want of room.
fn is_taken(l: &Line) -> bool {
    matches!(l.what.as_str(), "down" | "fell") || l.what == "evicted" && l.text("why") != "room"
}

/// No session runs on two versions of a model.
pub fn sessions(lines: &[Line], v: &mut Verdict) {
    let mut ran: HashMap<(&str, &str), HashSet<&str>> = HashMap::new();
    for l in lines
        .iter()
        .filter(|l| l.what == "ran" && !l.text("session").is_empty())
    {
        let (session, function) = (l.text("session"), l.text("function"));
        let versions = ran.entry((session, model(function))).or_default();
        if versions.insert(function) && versions.len() > 1 {
            v.fails(
                SESSIONS,
                format!("session {session} ran on {function} as well, at {}", l.of),
            );
        }
    }
    v.sessions = ran.len() as u64;
}

/// Orders of one term about one model are of one router.
pub fn one_planner(lines: &[Line], v: &mut Verdict) {
    let mut planners: HashMap<(&str, &str), HashSet<&str>> = HashMap::new();
    for l in lines
        .iter()
        .filter(|l| matches!(l.what.as_str(), "ordered" | "unloaded"))
    {
        let (router, term, model) = (l.text("router"), l.text("term"), model(l.text("function")));
        if router.is_empty() || term.is_empty() {
            continue;
        }
        let routers = planners.entry((model, term)).or_default();
        if routers.insert(router) && routers.len() > 1 {
            v.fails(
                TERMS,
                format!("{router} gave an order about {model} in term {term}, which is another's"),
            );
        }
    }
}

/// A turn that was answered.
struct Answered<'a> {
    at: i64,
    /// When its router gave the answer on.
    told: i64,
    worker: &'a str,
    router: &'a str,
    ends: bool,
}

/// A copy, or by an empty name all of a worker.
#[derive(Default)]
struct Copied {
    lanes: i64,
    taken: i64,
    /// When all of its lanes were taken last; for ever while they are.
    full: Option<i64>,
    gone: Option<(i64, Why)>,
}

impl Copied {
    fn takes(&mut self, t: i64, n: i64) {
        let was = self.lanes > 0 && self.taken >= self.lanes;
        self.taken += n;
        match self.lanes > 0 && self.taken >= self.lanes {
            true => self.full = Some(i64::MAX),
            false if was => self.full = Some(t),
            false => {}
        }
    }
}

/// From so many dispatches of its own on a router may take a worker for crowded, and not use its free lanes.
const CROWD: usize = 2;

/// By router and worker: what was sent there, when it had come to the router, and when it was answered to its client.
type Work<'a> = HashMap<(&'a str, &'a str), Vec<(&'a str, i64, i64)>>;

#[derive(Default)]
struct Prefixed<'a> {
    work: Work<'a>,
    told: HashMap<&'a str, i64>,
    /// By invocation: its session, and whether that ends with it; from all lines.
    sessions: HashMap<&'a str, (&'a str, bool)>,
    /// When it came to a router last.
    delivered: HashMap<&'a str, i64>,
    copies: HashMap<(&'a str, &'a str), Copied>,
    /// Dispatches at workers, and of which function each is.
    out: HashMap<(&'a str, &'a str, &'a str), &'a str>,
    answered: HashMap<(&'a str, &'a str), Vec<Answered<'a>>>,
    /// By worker and invocation.
    tried: HashSet<(&'a str, &'a str)>,
    /// As its last dispatch there came.
    why: HashMap<(&'a str, &'a str), (Why, &'a str)>,
}

impl<'a> Prefixed<'a> {
    /// Of its router's other invocations, those under way at that worker at some time since this one came.
    fn others(&self, l: &Line, worker: &str, id: &str, came: i64) -> usize {
        let all = self.work.get(&(l.text("from"), worker));
        let also = |w: &&(&str, i64, i64)| w.0 != id && w.1 <= l.t && w.2 >= came;
        all.map_or(0, |all| all.iter().filter(also).count())
    }

    /// Where it should have gone, and why it may not have.
    fn received(&self, l: &'a Line, id: &str, kept: &Kept) -> (Why, &'a str) {
        let function = l.text("function");
        let known = |(session, _): &(&'a str, bool)| self.answered.get(&(*session, function));
        let came = self.delivered.get(id).copied().unwrap_or(l.t);
        // A router knows of an answer once it has given it on.
        let before = |a: &&Answered| a.told <= came;
        let all = self.sessions.get(id).and_then(known);
        let Some(last) = all
            .and_then(|all| all.iter().rev().find(before))
            .filter(|a| !a.ends)
        else {
            return (Why::OutOfTurn, "");
        };
        // It went where it should. What is not found there was let go by the session's last turn.
        let stays = last.worker == l.of;
        let of = |function| self.copies.get(&(last.worker, function));
        let gone = [of(""), of(function)]
            .into_iter()
            .flatten()
            .filter_map(|c| c.gone);
        let copy = of(function);
        let why = if let Some(gone) = gone.filter(|(t, _)| *t > last.at).max() {
            gone.1
        } else if stays {
            Why::OutOfTurn
        } else if kept.held_since(l.text("from"), last.worker, l.t).is_some() {
            Why::Cut
        } else if self.tried.contains(&(last.worker, id)) {
            Why::Tried
        } else if copy.and_then(|c| c.full).is_some_and(|t| t >= came) {
            Why::Busy
        } else if self.others(l, last.worker, id, came) >= CROWD {
            Why::Crowded
        } else if last.router != l.text("from") {
            Why::Elsewhere
        } else {
            Why::Astray
        };
        (why, last.worker)
    }
}

/// A router has a dispatch under way from when it took its invocation, at the earliest, until it has answered it.
fn work<'a>(lines: &'a [Line]) -> (Work<'a>, HashMap<&'a str, i64>) {
    let (mut came, mut answered) = (HashMap::new(), HashMap::new());
    for l in lines {
        let id = id_of(l.text("id"));
        match l.what.as_str() {
            "delivered" if !l.text("queue").starts_with("replies") => {
                came.insert((l.text("to"), id), l.t);
            }
            "published" if !l.text("fate").is_empty() => {
                answered.insert(id, l.t);
            }
            _ => {}
        }
    }
    let mut work = Work::new();
    for l in lines.iter().filter(|l| l.what == "received") {
        let (router, id) = (l.text("from"), id_of(l.text("id")));
        let since = came.get(&(router, id)).copied().unwrap_or(l.t);
        let until = answered.get(id).copied().unwrap_or(i64::MAX);
        work.entry((router, &*l.of))
            .or_default()
            .push((id, since, until));
    }
    (work, answered)
}

pub fn prefixes(lines: &[Line], kept: &Kept, v: &mut Verdict) {
    let (work, told) = work(lines);
    let mut it = Prefixed {
        work,
        told,
        ..Prefixed::default()
    };
    for l in lines.iter().filter(|l| l.what == "prefix") {
        it.sessions
            .insert(id_of(l.text("id")), (l.text("session"), l.flag("end")));
    }
    for l in lines {
        let (worker, function, id) = (l.of.as_str(), l.text("function"), id_of(l.text("id")));
        let dispatch = (worker, l.text("id"), l.text("dispatch"));
        match l.what.as_str() {
            "delivered" if !l.text("queue").starts_with("replies") => {
                it.delivered.insert(id, l.t);
            }
            "loaded" if l.flag("stands") => {
                let copy = it.copies.entry((worker, function)).or_default();
                copy.lanes = l.number("lanes").unwrap_or(1);
            }
            "unloaded" | "evicted" | "down" | "fell" => {
                let why = match (is_taken(l), l.what.as_str()) {
                    (true, _) => Why::Died,
                    (false, "unloaded") => Why::Unloaded,
                    _ => Why::Room,
                };
                it.copies.entry((worker, function)).or_default().gone = Some((l.t, why));
            }
            "received" => {
                let (why, wanted) = it.received(l, id, kept);
                it.why.insert((worker, id), (why, wanted));
                it.tried.insert((worker, id));
                it.out.insert(dispatch, function);
                it.copies
                    .entry((worker, function))
                    .or_default()
                    .takes(l.t, 1);
            }
            "left" => {
                let Some(function) = it.out.remove(&dispatch) else {
                    continue;
                };
                it.copies
                    .entry((worker, function))
                    .or_default()
                    .takes(l.t, -1);
                if let Some((session, ends)) =
                    it.sessions.get(id).filter(|_| l.text("how") == "answered")
                {
                    let told = it.told.get(id).copied().unwrap_or(i64::MAX);
                    let (at, router, ends) = (l.t, l.text("from"), *ends);
                    let answered = Answered {
                        at,
                        told,
                        worker,
                        router,
                        ends,
                    };
                    it.answered
                        .entry((session, function))
                        .or_default()
                        .push(answered);
                }
            }
            "prefix" => match l.text("how") {
                "begun" => v.prefixes.begun += 1,
                "found" => v.prefixes.found += 1,
                _ => {
                    v.prefixes.rebuilt += 1;
                    let why = it.why.get(&(worker, id)).copied();
                    let (why, wanted) = why.unwrap_or((Why::OutOfTurn, ""));
                    *v.prefixes.by.entry(why).or_default() += 1;
                    if why == Why::Astray && v.prefixes.astray.len() < TOLD {
                        v.prefixes
                            .astray
                            .push(format!("{id} at {worker}, not {wanted}"));
                    }
                }
            },
            _ => {}
        }
    }
}

#[derive(Default)]
struct Standing {
    lanes: i64,
    floor: f64,
    /// The floor holds: it was reached, or an upgrade is under way.
    holds: bool,
    lowest: Option<i64>,
    /// What faults took away, and when.
    taken: Vec<(i64, i64)>,
}

impl Standing {
    fn falls_short(&self, lanes: i64) -> bool {
        self.holds && (lanes as f64) < self.floor
    }

    fn holds_from_now(&mut self, floor: f64) {
        (self.floor, self.holds) = (floor, true);
        self.lowest = Some(self.lowest.map_or(self.lanes, |l| l.min(self.lanes)));
    }

    fn comes(&mut self, lanes: i64) {
        self.lanes += lanes;
        if !self.holds
            && self.lowest.is_none()
            && self.floor > 0.0
            && self.lanes as f64 >= self.floor
        {
            self.holds_from_now(self.floor);
        }
    }

    /// Why it is a break, if it is one.
    fn goes(&mut self, l: &Line, lanes: i64, known_us: i64, lost: &mut u64) -> Option<String> {
        let before = self.lanes;
        self.lanes -= lanes;
        if is_taken(l) {
            self.taken.push((l.t, lanes));
        }
        if !self.holds {
            return None;
        }
        self.lowest = self.lowest.map(|n| n.min(self.lanes));
        let unknown = self
            .taken
            .iter()
            .filter(|(t, _)| l.t - t < known_us)
            .map(|(_, lanes)| lanes)
            .sum::<i64>();
        match is_taken(l) {
            true => *lost += u64::from(self.falls_short(self.lanes) && !self.falls_short(before)),
            false if self.falls_short(self.lanes + unknown) => {
                return Some(format!(
                    "{} lanes stand where {:.1} must, as {} was {}",
                    self.lanes,
                    self.floor,
                    l.text("function"),
                    l.what
                ));
            }
            false => *lost += u64::from(self.falls_short(self.lanes)),
        }
        None
    }
}

/// Warm lanes of a model in a region never fall below its floor by an order, or for want of room.
pub fn floors(lines: &[Line], terms: &Terms, v: &mut Verdict) {
    let region = |worker: &str| terms.regions.get(worker).map_or("", String::as_str);
    let mut all: BTreeMap<(&str, &str), Standing> = BTreeMap::new();
    for f in &terms.floors {
        all.entry((&f.region, &f.model)).or_default().floor = f.lanes as f64;
    }
    let mut stands: BTreeMap<(&str, &str), i64> = BTreeMap::new();
    for l in lines {
        let (worker, function) = (l.of.as_str(), l.text("function"));
        match l.what.as_str() {
            "loaded" if l.flag("stands") => {
                let lanes = l.number("lanes").unwrap_or(1);
                let before = stands.insert((worker, function), lanes).unwrap_or(0);
                all.entry((region(worker), model(function)))
                    .or_default()
                    .comes(lanes - before);
            }
            "unloaded" | "evicted" | "down" | "fell" => {
                let of =
                    |k: &(&str, &str)| k.0 == worker && (function.is_empty() || k.1 == function);
                for (key, lanes) in stands.extract_if(.., |k, _| of(k)) {
                    let place = (region(worker), model(key.1));
                    let standing = all.entry(place).or_default();
                    if let Some(why) =
                        standing.goes(l, lanes, terms.floor_known_us, &mut v.floor_lost)
                    {
                        v.fails(FLOOR, format!("{} in {:?}: {why}", place.1, place.0));
                    }
                }
            }
            "upgrade" | "upgrade-over" => {
                let models = l.texts("models");
                for (_, s) in all.iter_mut().filter(|((_, m), _)| models.contains(m)) {
                    match l.what == "upgrade" {
                        // An order in mid-upgrade leaves the floor as it is.
                        true if !s.holds => s.holds_from_now(s.lanes as f64 * terms.floor_part),
                        true => {}
                        false => s.holds = false,
                    }
                }
            }
            _ => {}
        }
    }
    for ((region, model), s) in all {
        if let Some(lowest) = s.lowest.filter(|_| s.floor > 0.0) {
            let stood = Stood {
                floor: s.floor,
                lowest: lowest.max(0) as u64,
            };
            v.floors
                .insert(format!("{model} {region}").trim_end().to_owned(), stood);
        }
    }
}

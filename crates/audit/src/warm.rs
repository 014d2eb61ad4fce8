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
use crate::judge::Verdict;
use crate::kept::Kept;
use crate::log::Line;

/// How sessions met their prefixes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Prefixes {
    pub begun: u64,
    pub found: u64,
    pub rebuilt: u64,
    /// Of these, whose worker had died, or had lost the copy by a fault.
    pub rebuilt_died: u64,
    /// Of these, whose worker their router could not reach just then.
    pub rebuilt_cut: u64,
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
    function.split_once("/versions/").map_or(function, |(model, _)| model)
}

/// Taken by a fault of the test's, not by an order or for want of room.
fn is_taken(l: &Line) -> bool {
    matches!(l.what.as_str(), "down" | "fell") || l.what == "evicted" && l.text("why") != "room"
}

/// No session runs on two versions of a model.
pub fn sessions(lines: &[Line], v: &mut Verdict) {
    let mut ran: HashMap<(&str, &str), HashSet<&str>> = HashMap::new();
    for l in lines.iter().filter(|l| l.what == "ran" && !l.text("session").is_empty()) {
        let (session, function) = (l.text("session"), l.text("function"));
        let versions = ran.entry((session, model(function))).or_default();
        if versions.insert(function) && versions.len() > 1 {
            v.fails(SESSIONS, format!("session {session} ran on {function} as well, at {}", l.of));
        }
    }
    v.sessions = ran.len() as u64;
}

/// Orders of one term about one model are of one router.
pub fn one_planner(lines: &[Line], v: &mut Verdict) {
    let mut planners: HashMap<(&str, &str), HashSet<&str>> = HashMap::new();
    for l in lines.iter().filter(|l| matches!(l.what.as_str(), "ordered" | "unloaded")) {
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

pub fn prefixes(lines: &[Line], kept: &Kept, v: &mut Verdict) {
    // How often a fault took a worker, or a copy from it; where a session's prefix was last, and how often then.
    let mut taken: HashMap<(&str, &str), u64> = HashMap::new();
    let mut last: HashMap<(&str, &str), (&str, &str, u64)> = HashMap::new();
    let times = |taken: &HashMap<(&str, &str), u64>, worker, function| {
        [(worker, ""), (worker, function)].iter().filter_map(|k| taken.get(k)).sum::<u64>()
    };
    for l in lines {
        if is_taken(l) {
            *taken.entry((&l.of, l.text("function"))).or_default() += 1;
        }
        if l.what != "prefix" {
            continue;
        }
        let key = (l.text("session"), l.text("function"));
        match l.text("how") {
            "begun" => v.prefixes.begun += 1,
            "found" => v.prefixes.found += 1,
            _ => {
                v.prefixes.rebuilt += 1;
                if let Some((worker, function, then)) = last.get(&key) {
                    let died = times(&taken, worker, function) > *then;
                    let cut = kept.held_since(l.text("from"), worker, l.t).is_some();
                    v.prefixes.rebuilt_died += u64::from(died);
                    v.prefixes.rebuilt_cut += u64::from(cut && !died);
                }
            }
        }
        match l.flag("end") {
            true => last.remove(&key),
            false => last.insert(key, (&l.of, key.1, times(&taken, &l.of, key.1))),
        };
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
        if !self.holds && self.lowest.is_none() && self.floor > 0.0 && self.lanes as f64 >= self.floor {
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
        let unknown =
            self.taken.iter().filter(|(t, _)| l.t - t < known_us).map(|(_, lanes)| lanes).sum::<i64>();
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
                all.entry((region(worker), model(function))).or_default().comes(lanes - before);
            }
            "unloaded" | "evicted" | "down" | "fell" => {
                let of = |k: &(&str, &str)| k.0 == worker && (function.is_empty() || k.1 == function);
                for (key, lanes) in stands.extract_if(.., |k, _| of(k)) {
                    let place = (region(worker), model(key.1));
                    let standing = all.entry(place).or_default();
                    if let Some(why) = standing.goes(l, lanes, terms.floor_known_us, &mut v.floor_lost) {
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
            let stood = Stood { floor: s.floor, lowest: lowest.max(0) as u64 };
            v.floors.insert(format!("{model} {region}").trim_end().to_owned(), stood);
        }
    }
}

//! Who asks which worker and when. [`rank`] says at which place this router stands for a worker; [`Pace`] says when it
//! is asked next; [`Budget`] holds a router's asks to so many a second.
//!
//! Mechanisms:
//! 1. Rendezvous hash over the members believed alive and the worker's name in the list, which is the same for all of
//!    them: one of them is first, and if one dies only its workers get another.
//! 2. Sooner after a drift or a restart, later after each clean answer, up to a bound; who is silent is asked rarely.
//! 3. Whoever stands second takes over when nothing was heard of the first for a while, the third after twice that: a
//!    first one that hangs while it is believed alive leaves nobody unasked, and a broken sharing makes no herd.
//! 4. Chance spreads all times, so that routers that began together do not ask together.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::Micros;

/// After a drift a worker is asked after this part of the usual time.
const SOONER: Micros = 8;
/// After clean answers it is asked after so many times the usual time at most.
const LATER: Micros = 4;
/// Whoever stands next takes over after so many of the slowest paces without a word.
const PATIENCE: Micros = 3;

/// The place of `me` for this worker among the members; 0 asks. Alone, one is always first.
pub fn rank(id: &str, me: &str, members: &[Arc<str>]) -> u32 {
    let weight = |member: &str| (fingerprint(&format!("{id}\n{member}")), fingerprint(member));
    let own = weight(me);
    members
        .iter()
        .filter(|m| ***m != *me && weight(m) > own)
        .count() as u32
}

/// What an answer was like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Went {
    Drifted,
    /// Something had changed as it may: another router loaded something.
    Changed,
    Clean,
    Silent,
}

/// Chance in 0..1 that is the same in every run.
#[derive(Clone, Debug)]
pub struct Chance {
    seed: u64,
    drawn: u64,
}

impl Chance {
    pub fn new(seed: u64) -> Self {
        Chance { seed, drawn: 0 }
    }

    pub fn draw(&mut self) -> f64 {
        self.drawn += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.drawn).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// An eighth more or less.
    pub fn about(&mut self, time: Micros) -> Micros {
        (time as f64 * (0.875 + 0.25 * self.draw())) as Micros
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Pace {
    every: Micros,
    now: Micros,
}

impl Pace {
    pub fn new(every: Micros) -> Self {
        Pace { every, now: every }
    }

    /// Until the next ask.
    pub fn after(&mut self, went: Went) -> Micros {
        self.now = match went {
            Went::Drifted => (self.every / SOONER).max(1),
            Went::Changed => self.every,
            Went::Clean => (self.now * 2).min(slowest(self.every)),
            Went::Silent => slowest(self.every),
        };
        self.now
    }
}

/// No worker that answers is left unasked for longer.
pub fn slowest(every: Micros) -> Micros {
    every.saturating_mul(LATER)
}

/// Nothing was heard of a worker for so long: whoever stands next asks.
pub fn patience(every: Micros) -> Micros {
    slowest(every).saturating_mul(PATIENCE)
}

/// So many a second, and as many at once.
#[derive(Clone, Debug)]
pub struct Budget {
    per_s: f64,
    left: f64,
    at: Micros,
}

impl Budget {
    pub fn new(now: Micros, per_s: f64) -> Self {
        let per_s = per_s.max(1e-3);
        Budget {
            per_s,
            left: per_s.max(1.0),
            at: now,
        }
    }

    fn fill(&mut self, now: Micros) {
        let gone = (now - self.at).max(0) as f64 / 1e6;
        (self.left, self.at) = (
            (self.left + gone * self.per_s).min(self.per_s.max(1.0)),
            now.max(self.at),
        );
    }

    pub fn take(&mut self, now: Micros) -> bool {
        self.fill(now);
        // A little less than one: what was waited for by the clock may lack a rounding.
        let enough = self.left >= 0.999;
        if enough {
            self.left = (self.left - 1.0).max(0.0);
        }
        enough
    }

    /// When there is one again.
    pub fn due(&self) -> Micros {
        self.at + ((1.0 - self.left).max(0.0) / self.per_s * 1e6).ceil() as Micros
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn members(n: usize) -> Vec<Arc<str>> {
        (0..n).map(|m| Arc::from(format!("r{m}"))).collect()
    }

    #[test]
    fn one_member_asks_each_worker_and_a_death_moves_only_its_own() {
        let all = members(9);
        let first =
            |id: &str, of: &[Arc<str>]| of.iter().position(|m| rank(id, m, of) == 0).expect("one");
        let mut had = [0; 9];
        for w in 0..900 {
            let id = format!("w{w}");
            let mut ranks: Vec<u32> = all.iter().map(|m| rank(&id, m, &all)).collect();
            let asks = first(&id, &all);
            had[asks] += 1;
            ranks.sort();
            assert_eq!(ranks, (0..9).collect::<Vec<u32>>());
            let left: Vec<Arc<str>> = all.iter().filter(|m| &***m != "r4").cloned().collect();
            let then = &left[first(&id, &left)];
            assert!(asks == 4 || *then == all[asks], "only what r4 asked moves");
        }
        assert!(had.iter().all(|n| (60..150).contains(n)), "{had:?}");
    }

    #[test]
    fn pace_and_budget() {
        let mut pace = Pace::new(800);
        let went = [
            Went::Clean,
            Went::Clean,
            Went::Clean,
            Went::Drifted,
            Went::Clean,
            Went::Changed,
            Went::Silent,
        ];
        assert_eq!(
            went.map(|w| pace.after(w)),
            [1600, 3200, 3200, 100, 200, 800, 3200]
        );
        let mut budget = Budget::new(0, 4.0);
        assert_eq!((0..9).filter(|_| budget.take(0)).count(), 4);
        assert_eq!(budget.due(), 250_000);
        assert!(!budget.take(200_000) && budget.take(250_000) && !budget.take(250_000));
        assert_eq!((0..9).filter(|_| budget.take(90_000_000)).count(), 4);
    }
}

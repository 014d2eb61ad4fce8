//! What part of the limit each party (a front, or an account) may use, when one floods and another does not. Called
//! with [`Shares::entered`], [`Shares::left`] and [`Shares::ended`]; [`Shares::cap`] is how many it may have out.
//!
//! Mechanisms:
//! 1. Nobody is capped until somebody suffers: what others leave unused is free to all.
//! 2. Who has more out than its fair part pays when one within its fair part was late after waiting here: its cap
//!    falls by steps, never below its fair part.
//! 3. A cap rises again with each timely answer, and is gone once it holds nothing back.

use cedarpulley::interface::Micros;

/// A cap falls to this part of what its party has out, so that the room it leaves is felt at the first step.
const SHRINK: f64 = 0.8;
/// A party counts as there for so long after its last entry: a front whose requests come one by one keeps its part
/// through the gaps between them.
const THERE: Micros = 5_000_000;
/// A fair part is never below so many: a party may always have a few out, or it could never show that it is in time.
const FEW: f64 = 4.0;
/// An uncapped party.
const FREE: f64 = f64::INFINITY;
/// The time between two steps down is the usual time of an answer, but at least this: answers of one burst come
/// together and are one sign, not many.
const STEP_APART: Micros = 50_000;

/// How an invocation ended, as its party felt it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Felt {
    InTime,
    /// After its latency objective, a good part of which it spent waiting here for a lane.
    Crowded,
    /// Late by its own work, or an end that says nothing about load.
    Neither,
}

#[derive(Debug)]
pub struct Shares {
    weight: Vec<f64>,
    out: Vec<u32>,
    cap: Vec<f64>,
    entered_at: Vec<Micros>,
    shrunk_at: Vec<Micros>,
}

impl Shares {
    /// `weights`: one for each party; one of 0 counts as next to nothing.
    pub fn new(weights: &[f64]) -> Self {
        let n = weights.len().max(1);
        let weight = (0..n).map(|p| weights.get(p).map_or(1.0, |w| w.max(1e-6))).collect();
        Shares {
            weight,
            out: vec![0; n],
            cap: vec![FREE; n],
            entered_at: vec![Micros::MIN / 2; n],
            shrunk_at: vec![Micros::MIN / 2; n],
        }
    }

    pub fn entered(&mut self, now: Micros, party: usize) {
        self.out[party] += 1;
        self.entered_at[party] = now;
    }

    pub fn left(&mut self, party: usize) {
        self.out[party] = self.out[party].saturating_sub(1);
    }

    pub fn out(&self, party: usize) -> u32 {
        self.out[party]
    }

    pub fn all_out(&self) -> u32 {
        self.out.iter().sum()
    }

    fn there(&self, now: Micros, party: usize) -> bool {
        self.out[party] > 0 || now - self.entered_at[party] < THERE
    }

    /// Its part of the limit among those that are there, by weight.
    pub fn fair(&self, now: Micros, party: usize, limit: f64) -> f64 {
        let others = (0..self.weight.len()).filter(|&p| p != party && self.there(now, p));
        let all = others.map(|p| self.weight[p]).sum::<f64>() + self.weight[party];
        (limit * self.weight[party] / all).max(FEW)
    }

    /// How many it may have out.
    pub fn cap(&self, now: Micros, party: usize, limit: f64) -> f64 {
        self.cap[party].max(self.fair(now, party, limit)).min(limit)
    }

    /// `usual`: time of an answer.
    pub fn ended(&mut self, now: Micros, party: usize, limit: f64, usual: Micros, felt: Felt) {
        match felt {
            Felt::Neither => {}
            Felt::InTime => {
                if self.cap[party] == FREE {
                    return;
                }
                self.cap[party] += 1.0 / self.cap[party].max(1.0);
                if self.cap[party] >= limit {
                    self.cap[party] = FREE;
                }
            }
            // Symptom: one front's flood fills the lanes, and the other's few wait behind it.
            Felt::Crowded if f64::from(self.out[party]) <= self.fair(now, party, limit) => {
                for q in (0..self.weight.len()).filter(|&q| q != party) {
                    let fair = self.fair(now, q, limit);
                    let has = f64::from(self.out[q]);
                    if has <= fair || now - self.shrunk_at[q] < usual.max(STEP_APART) {
                        continue;
                    }
                    self.cap[q] = (self.cap[q].min(has) * SHRINK).max(fair);
                    self.shrunk_at[q] = now;
                }
            }
            Felt::Crowded => {}
        }
    }
}

//! What part of the limit each party (a front, or an account) may use, when one floods and another does not. Called
//! with [`Shares::entered`], [`Shares::left`] and [`Shares::ended`]; [`Shares::cap`] is how many it may have out.
//!
//! Mechanisms:
//! 1. Nobody is capped until somebody suffers: what others leave unused is free to all.
//! 2. One that was late or given up after waiting here has suffered. Who has more out than its party, for the weights
//!    of both, pays: its cap falls by steps, never below as much as that party has. So all come to have as much,
//!    for their weights, as the one that suffers, or none suffers.
//! 3. Who feels no crowding itself pays nothing: then it is not lanes that are short, and less of its work would
//!    not help the other.
//! 4. A cap rises again with each timely answer, and is gone once it holds nothing back.

use cedarpulley::interface::Micros;

/// A cap falls to this part of what its party has out, so that the room it leaves is felt at the first step.
const SHRINK: f64 = 0.8;
/// A party may always have a few out, or it could never show that it is in time.
const FEW: f64 = 4.0;
/// An uncapped party.
const FREE: f64 = f64::INFINITY;
/// The time between two steps down is the usual time of an answer, but at least this: answers of one burst come
/// together and are one sign, not many.
const STEP_APART: Micros = 50_000;
/// A party feels crowding if so many of its last 32 did: a few late ones are there on any day.
const FEELS: u32 = 4;

/// How an invocation ended, as its party felt it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Felt {
    InTime,
    /// After its latency objective, a good part of which it spent waiting here for a lane; or given up in the end.
    Crowded,
    /// Late by its own work, or an end that says nothing about load.
    Neither,
}

#[derive(Debug)]
pub struct Shares {
    weight: Vec<f64>,
    out: Vec<u32>,
    cap: Vec<f64>,
    /// Of its last 32 that felt anything, a bit for each that was crowded.
    crowded: Vec<u32>,
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
            crowded: vec![0; n],
            shrunk_at: vec![Micros::MIN / 2; n],
        }
    }

    pub fn entered(&mut self, party: usize) {
        self.out[party] += 1;
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

    /// How many it may have out.
    pub fn cap(&self, party: usize, limit: f64) -> f64 {
        self.cap[party].min(limit)
    }

    /// `usual`: time of an answer.
    pub fn ended(&mut self, now: Micros, party: usize, limit: f64, usual: Micros, felt: Felt) {
        if felt == Felt::Neither {
            return;
        }
        self.crowded[party] = self.crowded[party] << 1 | u32::from(felt == Felt::Crowded);
        if felt == Felt::InTime {
            if self.cap[party] < FREE {
                self.cap[party] += 1.0 / self.cap[party];
            }
            if self.cap[party] >= limit {
                self.cap[party] = FREE;
            }
            return;
        }
        // Symptom: one front's flood fills the lanes, and the other's few wait behind it.
        for q in (0..self.weight.len()).filter(|&q| q != party) {
            let as_much = f64::from(self.out[party]) * self.weight[q] / self.weight[party];
            let (has, least) = (f64::from(self.out[q]), as_much.max(FEW));
            let feels = self.crowded[q].count_ones() >= FEELS;
            if has > least && feels && now - self.shrunk_at[q] >= usual.max(STEP_APART) {
                self.cap[q] = (self.cap[q].min(has) * SHRINK).max(least);
                self.shrunk_at[q] = now;
            }
        }
    }
}

//! What part of the limit each party (a front, or an account) may use, when one floods and another does not. Called
//! with [`Shares::came`], [`Shares::entered`], [`Shares::left`] and [`Shares::ended`]; [`Shares::cap`] is how many it may
//! have out, and [`Shares::spent`] whether it has to wait for successes of its own.
//!
//! Mechanisms:
//! 1. Nobody is capped until somebody suffers: what others leave unused is free to all.
//! 2. One that was late or given up after waiting here has suffered, as has one that nearly was. Who comes much more
//!    often than its party and has more out, for the weights of both, or has much more out, pays: its cap falls by steps, never below as much as that party has. So all come to have as much,
//!    for their weights, as the one that suffers, or none suffers.
//! 3. Who feels no crowding itself pays nothing: then it is not lanes that are short, and less of its work would
//!    not help the other.
//! 4. A cap rises again with each timely answer, and is gone once it holds nothing back.
//! 5. What is given up at once is out for no time, and no cap holds it. So whoever comes much more often than one that
//!    suffers, and feels crowding, is held to the pace of its own successes for a while: each timely answer lets in
//!    one and a little more, so that it finds what is free.

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

/// One that comes so many times as often as who suffers, for the weights of both, floods: less is how days go.
const OFTENER: f64 = 2.0;
/// How often a party comes is counted over about this time.
const COUNTED_OVER: Micros = 1_000_000;
/// It is held to its pace until nobody has suffered for so long: two rounds of a client that comes back after a second.
const PACED_FOR: Micros = 2_000_000;
/// A timely answer lets in so many: more would fail as often as it is above one, and press on all.
const LETS_IN: f64 = 1.05;
/// So much may be saved up: arrivals are not even.
const SAVED: f64 = 8.0;

/// How an invocation ended, as its party felt it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Felt {
    InTime,
    /// After its latency objective, a good part of which it spent waiting here for a lane; or given up in the end.
    Crowded,
    /// In time, but after waiting here for a good part of it: what comes next may be late.
    Nearly,
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
    /// How often it came of late, and since when that fades.
    came: Vec<(f64, Micros)>,
    paced_until: Vec<Micros>,
    /// Lets in this many more, and since when a few are added each second.
    credit: Vec<(f64, Micros)>,
}

/// What is left of a count by now.
fn faded((count, at): (f64, Micros), now: Micros) -> f64 {
    count * (-((now - at) as f64) / COUNTED_OVER as f64).exp()
}

impl Shares {
    /// `weights`: one for each party; one of 0 counts as next to nothing.
    pub fn new(weights: &[f64]) -> Self {
        let n = weights.len().max(1);
        let weight = (0..n)
            .map(|p| weights.get(p).map_or(1.0, |w| w.max(1e-6)))
            .collect();
        Shares {
            weight,
            out: vec![0; n],
            cap: vec![FREE; n],
            crowded: vec![0; n],
            shrunk_at: vec![Micros::MIN / 2; n],
            came: vec![(0.0, 0); n],
            paced_until: vec![Micros::MIN; n],
            credit: vec![(0.0, 0); n],
        }
    }

    /// Whether or not it is let in.
    pub fn came(&mut self, now: Micros, party: usize) {
        self.came[party] = (faded(self.came[party], now) + 1.0, now);
    }

    /// It comes faster than it succeeds, and others suffer by it.
    pub fn spent(&self, now: Micros, party: usize) -> bool {
        now < self.paced_until[party] && self.credit(now, party) < 1.0
    }

    /// A few come in each second, or it could never show that it succeeds.
    fn credit(&self, now: Micros, party: usize) -> f64 {
        let (credit, at) = self.credit[party];
        (credit + FEW * (now - at) as f64 / 1e6).min(SAVED)
    }

    pub fn entered(&mut self, now: Micros, party: usize) {
        self.out[party] += 1;
        self.credit[party] = ((self.credit(now, party) - 1.0).max(0.0), now);
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
        let lets_in = match felt {
            Felt::InTime => LETS_IN,
            Felt::Neither | Felt::Nearly => 1.0,
            Felt::Crowded => 0.0,
        };
        self.credit[party] = ((self.credit(now, party) + lets_in).min(SAVED), now);
        if felt == Felt::Neither {
            return;
        }
        self.crowded[party] = self.crowded[party] << 1 | u32::from(felt != Felt::InTime);
        if felt == Felt::InTime {
            if self.cap[party] < FREE {
                self.cap[party] += 1.0 / self.cap[party];
            }
            if self.cap[party] >= limit {
                self.cap[party] = FREE;
            }
            return;
        }
        // Symptom: a flood that is held to its pace has little out, suffers, and makes the quiet one pay.
        if now < self.paced_until[party] {
            return;
        }
        // Symptom: one front's flood fills the lanes, and the other's few wait behind it.
        for q in (0..self.weight.len()).filter(|&q| q != party) {
            let part = self.weight[q] / self.weight[party];
            let (often, comes) = (
                faded(self.came[party], now) * part,
                faded(self.came[q], now),
            );
            let floods = comes > OFTENER * often.max(1.0);
            // Symptom: all come alike and wait for the first loads, and one of them pays for it. Who does not come
            // more often has to have much more out.
            let as_much = f64::from(self.out[party]) * part * if floods { 1.0 } else { OFTENER };
            let (has, least) = (f64::from(self.out[q]), as_much.max(FEW));
            let feels = self.crowded[q].count_ones() >= FEELS;
            if has > least && feels && now - self.shrunk_at[q] >= usual.max(STEP_APART) {
                self.cap[q] = (self.cap[q].min(has) * SHRINK).max(least);
                self.shrunk_at[q] = now;
            }
            // Symptom: what comes too often is given up at once; it fills no lane, but uses up what its account is
            // allowed and presses on all, so that the module gives up the quiet one's too.
            if floods && (feels || now < self.paced_until[q]) {
                self.paced_until[q] = now + PACED_FOR;
            }
        }
    }
}

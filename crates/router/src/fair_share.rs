//! Which part of the concurrency limit each party (a front, or an account) may use when one floods the router and
//! others suffer. Call [`FairShare::arrived`], [`FairShare::admitted`], [`FairShare::departed`] and
//! [`FairShare::ended`]; [`FairShare::cap`] is how many a party may have in flight, and [`FairShare::lacks_credit`]
//! whether it has to wait for successes of its own.
//!
//! Mechanisms:
//! 1. No party is capped until another suffers: what others leave unused is free to all.
//! 2. A party suffers if an invocation of it is late, or rejected after waiting here, or nearly so. A party pays that
//!    arrives much more often than the one that suffers and has more in flight, or has much more in flight, relative
//!    to the weights of both: its cap falls by steps, never below as much as the suffering party has. So all come to
//!    have as much, relative to their weights, as the one that suffers, or none suffers.
//! 3. A party that sees no crowding itself pays nothing: lanes are not short then, and less of its work would not
//!    help the other.
//! 4. A cap rises again with each timely answer, and is removed once it limits nothing.
//! 5. Invocations rejected at once take no time in flight, so no cap limits them. Therefore a party that arrives much
//!    more often than one that suffers, and sees crowding, is paced by its own successes for a while: each timely
//!    answer is credit for one invocation and a little more, so that it finds free capacity.

use cedarpulley::interface::Micros;

/// A cap falls to this part of what its party has in flight, so that the others notice the first step.
const SHRINK: f64 = 0.8;
/// A party may always have a few in flight, or it could never show that it is on time.
const MIN_CAP: f64 = 4.0;
/// The cap of a party that is not capped.
const UNCAPPED: f64 = f64::INFINITY;
/// Two reductions of a cap are the usual time of an answer apart, but at least this: answers of one burst come together
/// and are one sign, not many.
const MIN_REDUCTION_INTERVAL: Micros = 50_000;
/// A party sees crowding if so many of its last 32 invocations did: a few late ones are normal.
const CROWDED_THRESHOLD: u32 = 4;

/// A party that arrives so many times as often as the one that suffers, relative to the weights of both, floods: less
/// is ordinary variation.
const FLOOD_RATIO: f64 = 2.0;
/// Time constant of the arrival rate.
const RATE_TIME_CONSTANT: Micros = 1_000_000;
/// A party is paced until no other has suffered for this time: two rounds of a client that retries after a second.
const PACING_TIME: Micros = 2_000_000;
/// Credit for a timely answer: with more, as many would fail as it is above one, and press on all.
const CREDIT_PER_SUCCESS: f64 = 1.05;
/// Credit at most: arrivals are uneven.
const MAX_CREDIT: f64 = 8.0;

/// What an invocation that ended says about crowding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrowdingSignal {
    /// It was on time.
    OnTime,
    /// It was late, and spent much of its time waiting here for a lane; or it was rejected in the end.
    Crowded,
    /// It was on time, but after waiting here for much of its latency objective: the next ones may be late.
    NearlyCrowded,
    /// Nothing: it was late by its own work, or its end says nothing about load.
    Neutral,
}

/// A value and when it was last updated.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    value: f64,
    at: Micros,
}

impl Sample {
    /// The value decayed until `now`.
    fn decayed(self, now: Micros) -> f64 {
        self.value * (-((now - self.at) as f64) / RATE_TIME_CONSTANT as f64).exp()
    }
}

#[derive(Clone, Copy, Debug)]
struct Party {
    weight: f64,
    in_flight: u32,
    cap: f64,
    /// A bit for each of its last 32 invocations that gave a signal, set if it was crowded.
    crowding_history: u32,
    cap_reduced_at: Micros,
    arrivals: Sample,
    paced_until: Micros,
    /// How many more may be admitted while it is paced.
    credit: Sample,
}

impl Party {
    fn new(weight: f64) -> Self {
        Party {
            weight,
            in_flight: 0,
            cap: UNCAPPED,
            crowding_history: 0,
            cap_reduced_at: Micros::MIN / 2,
            arrivals: Sample::default(),
            paced_until: Micros::MIN,
            credit: Sample::default(),
        }
    }

    /// Some credit is added each second, or a party could never show that it succeeds.
    fn credit(&self, now: Micros) -> f64 {
        let added = MIN_CAP * (now - self.credit.at) as f64 / 1e6;
        (self.credit.value + added).min(MAX_CREDIT)
    }

    fn is_paced(&self, now: Micros) -> bool {
        now < self.paced_until
    }

    fn raise_cap(&mut self, limit: f64) {
        if self.cap < UNCAPPED {
            self.cap += 1.0 / self.cap;
        }
        if self.cap >= limit {
            self.cap = UNCAPPED;
        }
    }

    /// Another party, `suffering`, was crowded out: pays for it where this one floods or has much more in flight.
    fn charge(&mut self, now: Micros, suffering: &Party, typical_latency: Micros) {
        let ratio = self.weight / suffering.weight;
        let fair_rate = suffering.arrivals.decayed(now) * ratio;
        let floods = self.arrivals.decayed(now) > FLOOD_RATIO * fair_rate.max(1.0);
        // Symptom: all arrive alike and wait for the first loads, and one of them pays for it. A party that does
        // not arrive more often has to have much more in flight.
        let tolerance = if floods { 1.0 } else { FLOOD_RATIO };
        let fair_in_flight = f64::from(suffering.in_flight) * ratio * tolerance;
        let (in_flight, least) = (f64::from(self.in_flight), fair_in_flight.max(MIN_CAP));
        let sees_crowding = self.crowding_history.count_ones() >= CROWDED_THRESHOLD;
        let interval = typical_latency.max(MIN_REDUCTION_INTERVAL);
        if in_flight > least && sees_crowding && now - self.cap_reduced_at >= interval {
            self.cap = (self.cap.min(in_flight) * SHRINK).max(least);
            self.cap_reduced_at = now;
        }
        // Symptom: what arrives too often is rejected at once; it fills no lane, but uses up its account's quota and
        // presses on all, so that the module rejects the quiet party's invocations too.
        if floods && (sees_crowding || self.is_paced(now)) {
            self.paced_until = now + PACING_TIME;
        }
    }
}

/// The parties that share one limit.
#[derive(Debug)]
pub struct FairShare {
    parties: Vec<Party>,
}

impl FairShare {
    /// `weights`: one for each party, which are then known by their position; a weight of 0 counts as next to nothing.
    /// Without weights there is one party.
    pub fn new(weights: &[f64]) -> Self {
        let parties = (0..weights.len().max(1))
            .map(|party| weights.get(party).map_or(1.0, |weight| weight.max(1e-6)))
            .map(Party::new)
            .collect();
        FairShare { parties }
    }

    /// An invocation of the party arrived, whether or not it will be admitted.
    pub fn arrived(&mut self, now: Micros, party: usize) {
        let arrivals = &mut self.parties[party].arrivals;
        *arrivals = Sample {
            value: arrivals.decayed(now) + 1.0,
            at: now,
        };
    }

    /// The party is paced by its own successes and has used up its credit.
    pub fn lacks_credit(&self, now: Micros, party: usize) -> bool {
        let party = &self.parties[party];
        party.is_paced(now) && party.credit(now) < 1.0
    }

    /// An invocation of the party was admitted and counts as in flight.
    pub fn admitted(&mut self, now: Micros, party: usize) {
        let party = &mut self.parties[party];
        party.in_flight += 1;
        party.credit = Sample {
            value: (party.credit(now) - 1.0).max(0.0),
            at: now,
        };
    }

    /// An invocation of the party is no longer in flight.
    pub fn departed(&mut self, party: usize) {
        let in_flight = &mut self.parties[party].in_flight;
        *in_flight = in_flight.saturating_sub(1);
    }

    /// Invocations of the party in flight.
    pub fn in_flight(&self, party: usize) -> u32 {
        self.parties[party].in_flight
    }

    /// Invocations of all parties in flight.
    pub fn total_in_flight(&self) -> u32 {
        self.parties.iter().map(|party| party.in_flight).sum()
    }

    /// How many invocations the party may have in flight.
    pub fn cap(&self, party: usize, limit: f64) -> f64 {
        self.parties[party].cap.min(limit)
    }

    /// An invocation of the party ended. `limit`: of all parties together; `typical_latency`: the usual time of an answer.
    pub fn ended(
        &mut self,
        now: Micros,
        party: usize,
        limit: f64,
        typical_latency: Micros,
        signal: CrowdingSignal,
    ) {
        let credit = match signal {
            CrowdingSignal::OnTime => CREDIT_PER_SUCCESS,
            CrowdingSignal::Neutral | CrowdingSignal::NearlyCrowded => 1.0,
            CrowdingSignal::Crowded => 0.0,
        };
        let ended = &mut self.parties[party];
        ended.credit = Sample {
            value: (ended.credit(now) + credit).min(MAX_CREDIT),
            at: now,
        };
        if signal == CrowdingSignal::Neutral {
            return;
        }
        let on_time = signal == CrowdingSignal::OnTime;
        ended.crowding_history = ended.crowding_history << 1 | u32::from(!on_time);
        if on_time {
            return ended.raise_cap(limit);
        }
        // Symptom: a flooding party that is paced has little in flight, suffers, and makes the quiet one pay.
        if ended.is_paced(now) {
            return;
        }
        // Symptom: one front's flood fills the lanes, and the few invocations of another wait behind it.
        let suffering = *ended;
        for (index, other) in self.parties.iter_mut().enumerate() {
            if index != party {
                other.charge(now, &suffering, typical_latency);
            }
        }
    }
}

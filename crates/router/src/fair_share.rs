//! Limits how much of the concurrency limit each party (a front, or an account) may use when one party floods the router
//! and crowds out the invocations of others.
//!
//! The caller reports the invocations of each party to [`FairShare::arrived`], [`FairShare::admitted`],
//! [`FairShare::departed`] and [`FairShare::ended`]. [`FairShare::cap`] returns how many invocations a party may have in
//! flight, and [`FairShare::lacks_credit`] whether it has to wait until more of its own invocations succeed.
//!
//! Mechanisms:
//! 1. No party is capped until another one is crowded out: any party may use the capacity that others leave unused.
//! 2. A party is crowded out if one of its invocations is late after it waited here for a lane, is rejected because no
//!    lane became free, or waited here for so long that it was nearly late. The cap of another party is reduced if, relative to the weights of both, invocations of the other party
//!    arrive much more often and more of them are in flight, or if many more of them are in flight. The cap falls in
//!    steps, but never below the number that the crowded-out party has in flight, relative to the weights. This continues
//!    until all parties have equally many invocations in flight, relative to their weights, or no party is crowded out.
//! 3. The cap of a party that is not crowded itself is not reduced: lanes are not short for it, so less of its work would
//!    not help the other party.
//! 4. A cap rises again with each timely answer, and is removed once it is no lower than the concurrency limit.
//! 5. Invocations that are rejected at once spend no time in flight, so a cap does not limit them. A party whose
//!    invocations arrive much more often than those of a crowded-out party, and which is crowded itself, is therefore
//!    paced by its own successes for a while: each timely answer is credit for slightly more than one invocation, so that
//!    the party can find out whether there is free capacity.

use cedarpulley::interface::Micros;

/// A cap is reduced to this fraction of its party's invocations in flight, so that the first step already takes effect
/// for the others.
const CAP_REDUCTION_FACTOR: f64 = 0.8;
/// Lowest cap, and also the credit that a paced party gains per second. Without a few invocations a party could never show
/// that its answers are on time.
const MIN_CAP: f64 = 4.0;
/// The cap of a party that is not capped.
const UNCAPPED: f64 = f64::INFINITY;
/// Minimum time between two reductions of a cap, in microseconds; the typical latency of an answer applies if it is
/// longer. The answers to one burst arrive together and must count as one signal.
const MIN_REDUCTION_INTERVAL: Micros = 50_000;
/// A party counts as crowded if at least this many of its last 32 invocations were crowded or nearly crowded; a few late
/// ones are normal.
const CROWDED_THRESHOLD: u32 = 4;

/// A party floods if its arrival rate, relative to the weights of both, is more than this multiple of the crowded-out
/// party's rate. Smaller differences are ordinary variation.
const FLOOD_RATIO: f64 = 2.0;
/// Time constant over which the arrival rate is averaged, in microseconds.
const RATE_TIME_CONSTANT: Micros = 1_000_000;
/// A party is paced until no other party was crowded out for this time, in microseconds: long enough for two retries of a
/// client that retries after one second.
const PACING_DURATION: Micros = 2_000_000;
/// Credit for a timely answer. The part above one lets a paced party find free capacity; without free capacity, that part
/// of its invocations fails and raises the pressure on all parties, so it must stay small.
const CREDIT_PER_SUCCESS: f64 = 1.05;
/// Maximum credit; a party may save up some credit because arrivals are uneven.
const MAX_CREDIT: f64 = 8.0;

/// Whether an invocation that ended was crowded out by others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrowdingSignal {
    /// The invocation was answered on time.
    OnTime,
    /// The invocation was late and spent much of its time waiting here for a lane, or it was rejected in the end.
    Crowded,
    /// The invocation was on time, but waited here for much of its latency objective; the next ones may be late.
    NearlyCrowded,
    /// The invocation gives no signal: it was late because of its own execution time, or it ended for a reason that does
    /// not depend on the load.
    Neutral,
}

/// A value and the time of its last update.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    value: f64,
    at: Micros,
}

impl Sample {
    /// The value after exponential decay until `now`.
    fn decayed(self, now: Micros) -> f64 {
        self.value * (-((now - self.at) as f64) / RATE_TIME_CONSTANT as f64).exp()
    }
}

/// The state of one front or account.
#[derive(Clone, Copy, Debug)]
struct Party {
    weight: f64,
    in_flight: u32,
    /// Maximum number of invocations in flight, or [`UNCAPPED`].
    cap: f64,
    /// One bit for each of its last 32 invocations that gave a signal, set if the invocation was crowded or nearly crowded.
    crowding_history: u32,
    cap_reduced_at: Micros,
    /// Arrivals, decayed with [`RATE_TIME_CONSTANT`].
    arrivals: Sample,
    paced_until: Micros,
    /// How many more invocations may be admitted while the party is paced.
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

    /// The credit at `now`. It grows by [`MIN_CAP`] per second, since a party without credit could never show that its
    /// invocations succeed.
    fn credit(&self, now: Micros) -> f64 {
        let added = MIN_CAP * (now - self.credit.at) as f64 / 1e6;
        (self.credit.value + added).min(MAX_CREDIT)
    }

    fn is_paced(&self, now: Micros) -> bool {
        now < self.paced_until
    }

    /// Raises the cap after a timely answer, and removes it once it reaches `limit`.
    fn raise_cap(&mut self, limit: f64) {
        if self.cap < UNCAPPED {
            self.cap += 1.0 / self.cap;
        }
        if self.cap >= limit {
            self.cap = UNCAPPED;
        }
    }

    /// Reduces the cap of this party or paces it, if it may have caused that the other party, `crowded_out`, was crowded
    /// out: if it floods or has many more invocations in flight.
    fn restrict(&mut self, now: Micros, crowded_out: &Party, typical_latency: Micros) {
        let ratio = self.weight / crowded_out.weight;
        let fair_rate = crowded_out.arrivals.decayed(now) * ratio;
        let floods = self.arrivals.decayed(now) > FLOOD_RATIO * fair_rate.max(1.0);
        // A party that does not flood is only restricted if it has many more invocations in flight. Without this, one of
        // several equally busy parties would be restricted while all of them wait for the first loads.
        let tolerance = if floods { 1.0 } else { FLOOD_RATIO };
        let fair_in_flight = f64::from(crowded_out.in_flight) * ratio * tolerance;
        let (in_flight, min_cap) = (f64::from(self.in_flight), fair_in_flight.max(MIN_CAP));
        let is_crowded = self.crowding_history.count_ones() >= CROWDED_THRESHOLD;
        let interval = typical_latency.max(MIN_REDUCTION_INTERVAL);
        if in_flight > min_cap && is_crowded && now - self.cap_reduced_at >= interval {
            self.cap = (self.cap.min(in_flight) * CAP_REDUCTION_FACTOR).max(min_cap);
            self.cap_reduced_at = now;
        }
        // Without pacing, the invocations of a flooding party that are rejected at once occupy no lane, but use up the
        // quota of their account and raise the pressure, so that the balancer rejects the other party's invocations too.
        if floods && (is_crowded || self.is_paced(now)) {
            self.paced_until = now + PACING_DURATION;
        }
    }
}

/// The parties that share one concurrency limit.
#[derive(Debug)]
pub struct FairShare {
    parties: Vec<Party>,
}

impl FairShare {
    /// Creates one party for each weight; a party is identified by its position in `weights`. A weight of 0 is replaced by
    /// a very small one. If `weights` is empty, there is one party.
    pub fn new(weights: &[f64]) -> Self {
        let parties = (0..weights.len().max(1))
            .map(|party| weights.get(party).map_or(1.0, |weight| weight.max(1e-6)))
            .map(Party::new)
            .collect();
        FairShare { parties }
    }

    /// Records that an invocation of the party arrived, whether or not it will be admitted.
    pub fn arrived(&mut self, now: Micros, party: usize) {
        let arrivals = &mut self.parties[party].arrivals;
        *arrivals = Sample {
            value: arrivals.decayed(now) + 1.0,
            at: now,
        };
    }

    /// Returns whether the party is paced by its own successes and has used up its credit.
    pub fn lacks_credit(&self, now: Micros, party: usize) -> bool {
        let party = &self.parties[party];
        party.is_paced(now) && party.credit(now) < 1.0
    }

    /// Records that an invocation of the party was admitted; it counts as in flight from now on.
    pub fn admitted(&mut self, now: Micros, party: usize) {
        let party = &mut self.parties[party];
        party.in_flight += 1;
        party.credit = Sample {
            value: (party.credit(now) - 1.0).max(0.0),
            at: now,
        };
    }

    /// Records that an invocation of the party is no longer in flight.
    pub fn departed(&mut self, party: usize) {
        let in_flight = &mut self.parties[party].in_flight;
        *in_flight = in_flight.saturating_sub(1);
    }

    /// Number of invocations of the party in flight.
    pub fn in_flight(&self, party: usize) -> u32 {
        self.parties[party].in_flight
    }

    /// Number of invocations of all parties in flight.
    pub fn total_in_flight(&self) -> u32 {
        self.parties.iter().map(|party| party.in_flight).sum()
    }

    /// Maximum number of invocations that the party may have in flight. `limit`: the concurrency limit of all parties.
    pub fn cap(&self, party: usize, limit: f64) -> f64 {
        self.parties[party].cap.min(limit)
    }

    /// Records that an invocation of the party ended. `limit`: the concurrency limit of all parties together;
    /// `typical_latency`: the average latency of an answer, in microseconds.
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
        // A paced party that floods has few invocations in flight and is crowded out. Without this check, that would
        // restrict the other parties.
        if ended.is_paced(now) {
            return;
        }
        // If one front floods the router and occupies the lanes, the few invocations of another front wait behind them.
        let crowded_out = *ended;
        for (index, other) in self.parties.iter_mut().enumerate() {
            if index != party {
                other.restrict(now, &crowded_out, typical_latency);
            }
        }
    }
}

//! Selects the member to probe next and tracks the probe in flight.

use cedarpulley::interface::Micros;

use crate::group::{Group, MemberIndex};
use crate::stable_hash::stable_hash;

/// The probe in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingProbe {
    pub target: MemberIndex,
    pub sequence: u64,
    /// Whether other members were requested to probe the target too.
    pub is_indirect: bool,
    /// Time at which the probe times out: a direct probe is then followed by indirect ones, and after these the target
    /// is suspected.
    pub due: Micros,
}

/// Probes one member after the other, in a random order that changes with each round.
#[derive(Debug)]
pub(crate) struct ProbeSchedule {
    seed: u64,
    /// Number of shuffles so far; part of the seed of the next one.
    draws: u64,
    /// The members still to be probed in this round; the last one is next.
    round: Vec<MemberIndex>,
    /// Time at which the next probe is due.
    pub next_probe: Micros,
    /// The probe in flight; at most one at a time.
    pub pending: Option<PendingProbe>,
}

impl ProbeSchedule {
    pub fn new(now: Micros, seed: u64) -> Self {
        ProbeSchedule {
            seed,
            draws: 0,
            round: Vec::new(),
            next_probe: now,
            pending: None,
        }
    }

    /// Time at which the next probe is due or the pending one times out.
    pub fn next_due(&self) -> Micros {
        self.pending
            .map_or(self.next_probe, |probe| probe.due.min(self.next_probe))
    }

    /// The next member to probe; none in a group of one member.
    pub fn next_target(&mut self, group: &Group) -> Option<MemberIndex> {
        if self.round.is_empty() {
            let mut round: Vec<MemberIndex> = group.others().collect();
            self.shuffle(&mut round);
            self.round = round;
        }
        self.round.pop()
    }

    /// Shuffles members; the order depends only on the seed and the number of shuffles before.
    pub fn shuffle(&mut self, members: &mut [MemberIndex]) {
        self.draws += 1;
        let draw = (self.seed, self.draws);
        members.sort_by_cached_key(|member| stable_hash((draw, *member)));
    }

    /// The pending probe, if it has timed out.
    pub fn timed_out(&self, now: Micros) -> Option<PendingProbe> {
        self.pending.filter(|probe| now >= probe.due)
    }

    /// Ends the pending probe if the answer belongs to it; returns whether it does.
    pub fn answered(&mut self, sequence: u64, target: MemberIndex) -> bool {
        let is_answer = self
            .pending
            .is_some_and(|probe| probe.sequence == sequence && probe.target == target);
        if is_answer {
            self.pending = None;
        }
        is_answer
    }
}

//! Which member is probed next, and the probe that is in flight.

use cedarpulley::interface::Micros;

use crate::group::{Group, MemberIndex};
use crate::member_table::stable_hash;

/// The probe in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingProbe {
    pub target: MemberIndex,
    pub sequence: u64,
    /// Other members were asked to probe the target too.
    pub is_indirect: bool,
    /// Without an answer until then, the next step is taken.
    pub due: Micros,
}

/// One member after the other is probed, in an order drawn anew for each round.
#[derive(Debug)]
pub(crate) struct ProbeSchedule {
    seed: u64,
    /// How many orders were drawn.
    draws: u64,
    /// Who is left in this round; the last one is next.
    round: Vec<MemberIndex>,
    /// When the next probe is due.
    pub next_probe: Micros,
    /// At most one at a time.
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

    /// When the next probe is due or the pending one times out.
    pub fn next_due(&self) -> Micros {
        self.pending
            .map_or(self.next_probe, |probe| probe.due.min(self.next_probe))
    }

    /// The next one to probe; none in a group of one.
    pub fn next_target(&mut self, group: &Group) -> Option<MemberIndex> {
        if self.round.is_empty() {
            let mut round: Vec<MemberIndex> = group.others().collect();
            self.shuffle(&mut round);
            self.round = round;
        }
        self.round.pop()
    }

    /// Puts members in a drawn order.
    pub fn shuffle(&mut self, members: &mut [MemberIndex]) {
        self.draws += 1;
        let draw = (self.seed, self.draws);
        members.sort_by_cached_key(|member| stable_hash((draw, *member)));
    }

    /// The pending probe, if its time is over.
    pub fn timed_out(&self, now: Micros) -> Option<PendingProbe> {
        self.pending.filter(|probe| now >= probe.due)
    }

    /// Ends the pending probe if this answers it.
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

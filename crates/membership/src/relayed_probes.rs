//! Probes that this member makes on behalf of others.

use std::collections::BTreeMap;

use cedarpulley::interface::Micros;

use crate::group::MemberIndex;

/// Relayed probes in flight at once. One more is rejected, and its requester suspects the target a little sooner.
const MAX_RELAYED: usize = 256;

/// One probe on behalf of another member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayedProbe {
    pub requester: MemberIndex,
    /// The requester's number of its own probe.
    pub requested_sequence: u64,
    pub target: MemberIndex,
    pub expires_at: Micros,
}

/// By the number of this member's own probe.
#[derive(Debug, Default)]
pub(crate) struct RelayedProbes {
    in_flight: BTreeMap<u64, RelayedProbe>,
}

impl RelayedProbes {
    pub fn is_full(&self) -> bool {
        self.in_flight.len() >= MAX_RELAYED
    }

    pub fn insert(&mut self, sequence: u64, probe: RelayedProbe) {
        self.in_flight.insert(sequence, probe);
    }

    /// The relayed probe that `answered_by` answered; it ends.
    pub fn answered(&mut self, sequence: u64, answered_by: MemberIndex) -> Option<RelayedProbe> {
        let probe = self.in_flight.remove(&sequence)?;
        (probe.target == answered_by).then_some(probe)
    }

    pub fn remove_expired(&mut self, now: Micros) {
        self.in_flight.retain(|_, probe| probe.expires_at > now);
    }
}

//! Probes that this member sends on behalf of other members.

use std::collections::BTreeMap;

use cedarpulley::interface::Micros;

use crate::group::MemberIndex;

/// Most relayed probes in flight. Further requests are rejected, and their requesters suspect the target a little
/// sooner.
const MAX_RELAYED: usize = 256;

/// One probe on behalf of another member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayedProbe {
    pub requester: MemberIndex,
    /// Sequence number of the requester's own probe.
    pub requested_sequence: u64,
    pub target: MemberIndex,
    pub expires_at: Micros,
}

/// Relayed probes in flight, by the sequence number of this member's probe.
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

    /// Removes the relayed probe of this sequence number and returns it if `answered_by` is its target.
    pub fn answered(&mut self, sequence: u64, answered_by: MemberIndex) -> Option<RelayedProbe> {
        let probe = self.in_flight.remove(&sequence)?;
        (probe.target == answered_by).then_some(probe)
    }

    pub fn remove_expired(&mut self, now: Micros) {
        self.in_flight.retain(|_, probe| probe.expires_at > now);
    }
}

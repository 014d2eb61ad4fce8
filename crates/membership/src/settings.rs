//! Settings of the failure detector.

use cedarpulley::interface::Micros;

/// Times of the failure detector.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Time between two probes; each goes to one member.
    pub probe_every: Micros,
    /// A probe not answered within this time is made through others too.
    pub answer_within: Micros,
    /// A suspected member is dead after this time.
    pub suspected_for: Micros,
    /// Of the order in which members are probed.
    pub seed: u64,
}

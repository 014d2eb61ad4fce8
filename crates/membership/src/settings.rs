//! Settings of the failure detector.

use cedarpulley::interface::Micros;

/// Times of the failure detector.
#[derive(Clone, Copy, Debug)]
pub struct FailureDetectorSettings {
    /// Time between two probes; each goes to one member.
    pub probe_interval: Micros,
    /// A probe not answered within this time is made through others too.
    pub answer_timeout: Micros,
    /// A suspected member is dead after this time.
    pub suspicion_timeout: Micros,
    /// Of the order in which members are probed.
    pub seed: u64,
}

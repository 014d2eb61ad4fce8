//! Settings of the failure detector.

use cedarpulley::interface::Micros;

/// Settings of the failure detector; times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct FailureDetectorSettings {
    /// Time between two probes; each probe is sent to one member.
    pub probe_interval: Micros,
    /// Time after which an unanswered probe is followed by indirect probes.
    pub answer_timeout: Micros,
    /// Time after which a suspected member is declared dead.
    pub suspicion_timeout: Micros,
    /// Seed of the random order in which members are probed.
    pub seed: u64,
}

//! Counts of the failure detector. The names under `/state` and in the metrics are those given to serde.

use serde::Serialize;

/// How often each thing happened since this process started; shown under `/state`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MembershipCounts {
    /// Probes of this member's own rounds.
    #[serde(rename = "probes")]
    pub probes: u64,
    /// Requests to others to probe a silent member.
    #[serde(rename = "asked_for")]
    pub indirect_probes: u64,
    /// Members that this one began to suspect.
    #[serde(rename = "suspected")]
    pub suspicions: u64,
    /// Wrong states of this member that it refuted.
    #[serde(rename = "refuted")]
    pub refutations: u64,
    /// Refutations of another process of this member with an incarnation at least as high: this one started from an
    /// older store.
    #[serde(rename = "outdated")]
    pub outdated_store_signs: u64,
    /// Suspected members that this one declared dead.
    #[serde(rename = "deaths")]
    pub deaths: u64,
    /// Times that this process noticed it had been suspended.
    #[serde(rename = "woken")]
    pub resumptions: u64,
    /// Probes on behalf of others that there was no room for.
    #[serde(rename = "unasked")]
    pub rejected_relays: u64,
}

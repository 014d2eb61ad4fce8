//! Counters of the failure detector. The serde names are those shown under `/state` and in the metrics.

use serde::Serialize;

/// Counters since the start of this process; shown under `/state`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MembershipCounts {
    /// Probes sent in this member's own probe rounds.
    #[serde(rename = "probes")]
    pub probes: u64,
    /// Requests to other members to probe an unresponsive member.
    #[serde(rename = "asked_for")]
    pub indirect_probes: u64,
    /// Suspicions that this member raised.
    #[serde(rename = "suspected")]
    pub suspicions: u64,
    /// Refutations by this member of a wrong state that others recorded of it.
    #[serde(rename = "refuted")]
    pub refutations: u64,
    /// Refutations of an update about another process of this member whose incarnation was at least as high. They show
    /// that this process started from an outdated store.
    #[serde(rename = "outdated")]
    pub outdated_store_signs: u64,
    /// Suspected members that this one declared dead.
    #[serde(rename = "deaths")]
    pub deaths: u64,
    /// Times that this process detected that it had been suspended.
    #[serde(rename = "woken")]
    pub resumptions: u64,
    /// Probes on behalf of other members that were rejected because too many were in flight.
    #[serde(rename = "unasked")]
    pub rejected_relays: u64,
}

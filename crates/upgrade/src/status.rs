//! The state of upgrades as an operator reads it from `GET /state`; its JSON keys are part of the interface.

use serde::Serialize;

use crate::Name;
use crate::plan::{Phase, Stage};

/// The state of one plan.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlanStatus {
    /// The model.
    pub model: Name,
    /// The old version.
    pub from: Name,
    /// The new version.
    pub to: Name,
    /// The serial of the order that the plan carries out.
    pub serial: u64,
    /// The number of the latest step.
    pub step: u64,
    /// The phase of the plan.
    pub phase: Phase,
    /// Whether this router leads.
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// The term of the leader that proposed the step.
    pub term: Option<Name>,
    /// The regions, in the order in which they are upgraded.
    pub regions: Vec<RegionStatus>,
    /// Why the plan does not advance at the moment; empty otherwise.
    #[serde(rename = "waits")]
    pub wait_reason: String,
    /// What the plan does after this step.
    #[serde(rename = "next")]
    pub next_action: String,
    /// Why the plan was paused or rolled back.
    pub reason: String,
    /// The serials of the orders that are queued after this one.
    #[serde(rename = "queued")]
    pub queued_serials: Vec<u64>,
}

/// The state of one region of a plan.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RegionStatus {
    /// Its name.
    pub region: Name,
    /// Its stage.
    pub stage: Stage,
    /// Share of new work that is routed to the new version, in thousandths.
    #[serde(rename = "part")]
    pub new_share: u16,
    /// Warm lanes of the old version.
    pub old_lanes: u32,
    /// Warm lanes of the new version.
    pub new_lanes: u32,
    /// Lanes that have to stay available.
    pub floor_lanes: u32,
    /// Active sessions on copies of the old version.
    pub old_sessions: u32,
    /// Whether the drain limit has passed.
    #[serde(rename = "over")]
    pub drain_limit_passed: bool,
}

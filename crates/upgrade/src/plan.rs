//! The replicated state of one upgrade, one record per model. A majority agrees on each step of a plan, and each step
//! determines the version to which new work is routed. [`Plan::decode`] reads a record, [`Plan::encode`] writes it.

use bytes::Bytes;
use cedarpulley_membership::MemberIndex;
use serde::{Deserialize, Serialize};

use crate::Name;
use crate::orders::Order;

/// Precedes the model in a record's key.
const KEY_PREFIX: &str = "u\n";
/// Separates model and version, as in KServe's paths.
const VERSION_SEPARATOR: &str = "/versions/";
/// A record starts with the number of its step in big-endian order, so that within a term a later record is the greater
/// value.
const STEP_BYTES: usize = size_of::<u64>();
/// A share of 100 percent: shares are in thousandths.
pub const FULL_SHARE: u16 = 1000;
/// Largest record, in bytes: it is sent to all members at every step.
pub const MAX_PLAN_BYTES: usize = 64 * 1024;

/// The key of a model's record in the shared state.
pub fn plan_key(model: &str) -> Name {
    Name::from(KEY_PREFIX.to_owned() + model)
}

/// The model whose record has this key.
pub fn model_of_key(key: &str) -> Option<&str> {
    key.strip_prefix(KEY_PREFIX)
}

/// The name under which a version's copies are loaded and called.
pub fn function_name(model: &str, version: &str) -> Name {
    if version.is_empty() {
        Name::from(model)
    } else {
        Name::from([model, VERSION_SEPARATOR, version].concat())
    }
}

/// The ballot under which a member writes, as in the shared state.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Its number; a ballot with a higher number overtakes.
    pub number: u32,
    /// The member that leads with it.
    pub member: MemberIndex,
    /// Distinguishes the incarnations of the member.
    pub nonce: u64,
}

impl Ballot {
    /// The term as it is sent to workers; no two leaders have the same term.
    pub fn term(&self) -> Name {
        Name::from(format!("{}.{}.{:x}", self.number, self.member, self.nonce))
    }
}

/// A step and the ballot of its leader: two leaders may have given the same number to different steps.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct RoutingRule {
    /// The ballot of the step's leader.
    pub ballot: Ballot,
    /// The number of the step.
    pub step: u64,
}

/// The phase of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Announced, nothing done yet.
    Waiting,
    /// Canaries of the new version are compared with the old one.
    Canary,
    /// Region after region is upgraded.
    Rolling,
    /// The new version is slower than the old one; no more of it is loaded.
    Paused,
    /// The plan is being rolled back.
    #[serde(rename = "Back")]
    RollingBack,
    /// All regions have the new version.
    Done,
    /// All regions have the old version again.
    RolledBack,
    /// Cancelled before anything was done.
    #[serde(rename = "Ended")]
    Cancelled,
}

impl Phase {
    /// Whether the plan has reached its end.
    pub fn is_over(self) -> bool {
        matches!(self, Phase::Done | Phase::RolledBack | Phase::Cancelled)
    }
}

/// The stage of a region. While the plan is rolled back, the incoming version is the old one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// Nothing was done yet.
    #[serde(rename = "Before")]
    Pending,
    /// Copies of the incoming version are loaded.
    Loading,
    /// New work is routed to the incoming version; the plan waits for the sessions of the outgoing version to end.
    Draining,
    /// The copies of the outgoing version are unloaded.
    Done,
}

/// One region of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Region {
    /// Its name.
    pub name: Name,
    /// Warm lanes when the plan began.
    pub base_lanes: u32,
    /// Share of new work that is routed to the new version, in thousandths.
    pub new_share: u16,
    /// Its stage.
    pub stage: Stage,
    /// Whether the drain limit has passed. In stage `Draining`, outgoing copies are then unloaded even if sessions use
    /// them. In earlier stages, copies with sessions may then be displaced too if both versions do not fit.
    pub drain_limit_passed: bool,
    /// The last step that changed routing here: a router that routes by an earlier step may still use outgoing copies.
    pub routing_step: u64,
}

impl Region {
    /// Whether outgoing copies are unloaded even if sessions use them.
    pub(crate) fn is_evicting(&self) -> bool {
        self.drain_limit_passed && self.stage == Stage::Draining
    }

    /// Whether no outgoing copies are retained for sessions any more.
    pub(crate) fn has_released_outgoing(&self) -> bool {
        self.stage == Stage::Done || self.is_evicting()
    }

    /// The share of new work for the new version. While a region in stage `Loading` splits new work, sessions are routed
    /// to the incoming version twice as often as other work. Without this, where memory is too small for both versions,
    /// new sessions would keep starting on outgoing copies, and none of these copies could ever be displaced.
    fn share_for(&self, is_session: bool, rolling_back: bool) -> u16 {
        let is_split = self.new_share > 0 && self.new_share != FULL_SHARE;
        if !is_session || self.stage != Stage::Loading || !is_split {
            return self.new_share;
        }
        let directed = |share| {
            if rolling_back {
                FULL_SHARE - share
            } else {
                share
            }
        };
        directed(directed(self.new_share).saturating_mul(2).min(FULL_SHARE))
    }
}

/// The state of one upgrade after a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The number of the step.
    pub step: u64,
    /// The ballot of the leader that proposed it.
    pub proposed_by: Ballot,
    /// The order that the plan carries out.
    pub order: Order,
    /// Its phase.
    pub phase: Phase,
    /// The regions, in the order in which they are upgraded.
    pub regions: Vec<Region>,
    /// Orders for the same model that are queued after this one.
    pub queued: Vec<Order>,
    /// Why the plan was paused or rolled back.
    pub reason: String,
    /// Whether the plan is over and all routers know it: sessions that begin need no binding any more.
    pub settled: bool,
}

impl Plan {
    /// The encoded record.
    pub fn encode(&self) -> Bytes {
        let mut bytes = self.step.to_be_bytes().to_vec();
        // The codec can write every value that a plan can have.
        bytes.extend(postcard::to_stdvec(self).unwrap_or_default());
        Bytes::from(bytes)
    }

    /// The plan in a record; absent if no member of this release can have written the record.
    pub fn decode(bytes: &[u8]) -> Option<Plan> {
        if bytes.len() > MAX_PLAN_BYTES {
            return None;
        }
        let (number, rest) = bytes.split_first_chunk::<STEP_BYTES>()?;
        let plan: Plan = postcard::from_bytes(rest).ok()?;
        (plan.step == u64::from_be_bytes(*number)).then_some(plan)
    }

    /// The same plan with the next step's number.
    pub(crate) fn following_step(&self) -> Plan {
        Plan {
            step: self.step + 1,
            ..self.clone()
        }
    }

    /// The region of this name.
    pub fn region(&self, name: &str) -> Option<&Region> {
        self.regions.iter().find(|region| *region.name == *name)
    }

    /// Whether the plan is being rolled back, was rolled back or was cancelled.
    pub fn is_rolling_back(&self) -> bool {
        matches!(
            self.phase,
            Phase::RollingBack | Phase::RolledBack | Phase::Cancelled
        )
    }

    /// The outgoing and the incoming version.
    pub fn versions(&self) -> (&Name, &Name) {
        let order = &self.order;
        if self.is_rolling_back() {
            (&order.to, &order.from)
        } else {
            (&order.from, &order.to)
        }
    }

    /// Converts the share of the new version to the share of the incoming version, and back.
    pub(crate) fn directed_share(&self, share: u16) -> u16 {
        if self.is_rolling_back() {
            FULL_SHARE - share
        } else {
            share
        }
    }

    /// The version to which new work is routed once the plan is over.
    pub(crate) fn version_in_service(&self) -> &Name {
        if self.phase == Phase::Done {
            &self.order.to
        } else {
            &self.order.from
        }
    }

    pub(crate) fn is_outgoing(&self, version: &str) -> bool {
        **self.versions().0 == *version
    }

    /// Whether the plan has taken this version out of service in all regions.
    pub(crate) fn is_out_of_service(&self, version: &str) -> bool {
        self.is_outgoing(version) && matches!(self.phase, Phase::Done | Phase::RolledBack)
    }

    /// What the plan does after this step, as text for an operator.
    pub fn next_action(&self) -> String {
        let is_current = |region: &&Region| !matches!(region.stage, Stage::Pending | Stage::Done);
        let current = self.regions.iter().find(is_current);
        match (self.phase, current) {
            (Phase::Waiting, _) => "loads canaries".into(),
            (Phase::Canary, _) => "the first region, or back".into(),
            (Phase::Paused, _) => "goes on, or back".into(),
            (Phase::Rolling | Phase::RollingBack, Some(region))
                if region.stage == Stage::Loading =>
            {
                format!(
                    "sends what begins in {} to the copies that have come",
                    region.name
                )
            }
            (Phase::Rolling, Some(region)) => match self.next_pending_region(region) {
                Some(next) => format!(
                    "lets old copies in {} go, then loads in {}",
                    region.name, next.name
                ),
                None => format!("lets old copies in {} go, then is done", region.name),
            },
            (Phase::RollingBack, Some(region)) => format!("lets new copies in {} go", region.name),
            (Phase::Rolling, None) => "the next region, or the end".into(),
            (Phase::RollingBack, None) => "the end".into(),
            (Phase::Done | Phase::RolledBack | Phase::Cancelled, _) => match self.queued.first() {
                Some(order) => format!("order {}", order.serial),
                None => String::new(),
            },
        }
    }

    fn next_pending_region(&self, region: &Region) -> Option<&Region> {
        self.regions
            .iter()
            .find(|other| other.stage == Stage::Pending && other.name != region.name)
    }

    /// The version to which new work is routed. `draw` is a random number, or the same number for all work that has to
    /// be routed to the same version.
    pub fn version_for(&self, region: &str, draw: u64, is_session: bool) -> &Name {
        let share = match (self.phase, self.region(region)) {
            (Phase::Done, _) => FULL_SHARE,
            (phase, _) if phase.is_over() => 0,
            (_, None) => 0,
            (_, Some(region)) => region.share_for(is_session, self.is_rolling_back()),
        };
        if draw % u64::from(FULL_SHARE) < u64::from(share) {
            &self.order.to
        } else {
            &self.order.from
        }
    }
}

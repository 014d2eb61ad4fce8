//! The replicated state of one upgrade, one record a model: the steps as a majority agrees on them, and which version new
//! work is routed to by each. Read with [`Plan::decode`], written with [`Plan::encode`].

use bytes::Bytes;
use cedarpulley_membership::MemberIndex;
use serde::{Deserialize, Serialize};

use crate::Name;
use crate::orders::Order;

/// Before the model in a record's key.
const KEY_PREFIX: &str = "u\n";
/// Between model and version, as in KServe's paths.
const VERSION_SEPARATOR: &str = "/versions/";
/// A step's number comes first, its highest byte first: within a term the later value is the greater one.
const STEP_BYTES: usize = size_of::<u64>();
/// All of a share: shares are in thousandths.
pub const WHOLE: u16 = 1000;
/// Largest record: it is sent to all members at every step.
pub const MAX_BYTES: usize = 64 * 1024;

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
    /// Its number; a higher one overtakes.
    pub number: u32,
    /// The member that leads with it.
    pub member: MemberIndex,
    /// Distinguishes incarnations of the member.
    pub nonce: u64,
}

impl Ballot {
    /// The term as workers are sent it; no two leaders have the same.
    pub fn term(&self) -> Name {
        Name::from(format!("{}.{}.{:x}", self.number, self.member, self.nonce))
    }
}

/// A step and whose it is: two leaders may have given the same number to different steps.
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
    /// It is being rolled back.
    #[serde(rename = "Back")]
    RollingBack,
    /// All regions have the new version.
    Done,
    /// All regions have the old version again.
    RolledBack,
    /// Cancelled before anything was done, with the reason.
    #[serde(rename = "Ended")]
    Cancelled,
}

impl Phase {
    /// Nothing more comes of it.
    pub fn is_over(self) -> bool {
        matches!(self, Phase::Done | Phase::RolledBack | Phase::Cancelled)
    }
}

/// The stage of a region. While rolling back, read with old and new exchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// Nothing was done yet.
    #[serde(rename = "Before")]
    Pending,
    /// Copies of the incoming version are loaded.
    Loading,
    /// New work is routed to the incoming version; the outgoing one's sessions end.
    Draining,
    /// The outgoing version is gone.
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
    /// The drain limit has passed. While draining, sessions of the outgoing version are answered that they are over;
    /// before, copies with sessions may be displaced too where both versions do not fit.
    pub drain_limit_passed: bool,
    /// The last step that changed routing here: a router that routes by an earlier one may still use outgoing copies.
    pub routing_step: u64,
}

impl Region {
    /// Outgoing copies are unloaded, whoever uses them.
    pub(crate) fn is_evicting(&self) -> bool {
        self.drain_limit_passed && self.stage == Stage::Draining
    }

    /// No outgoing copies are retained for sessions any more.
    pub(crate) fn has_let_go(&self) -> bool {
        self.stage == Stage::Done || self.is_evicting()
    }

    /// The share for sessions goes twice as often to the copies that stay. Symptom otherwise: where memory is too small
    /// for both versions, sessions go on beginning on outgoing copies, and none of these can ever be displaced.
    fn share_for(&self, is_session: bool, rolling_back: bool) -> u16 {
        let is_split = self.new_share > 0 && self.new_share != WHOLE;
        if !is_session || self.stage != Stage::Loading || !is_split {
            return self.new_share;
        }
        let directed = |share| if rolling_back { WHOLE - share } else { share };
        directed(directed(self.new_share).saturating_mul(2).min(WHOLE))
    }
}

/// The state of one upgrade after a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The number of the step.
    pub step: u64,
    /// The ballot of the leader that proposed it.
    pub proposed_by: Ballot,
    /// The order that is carried out.
    pub order: Order,
    /// Its phase.
    pub phase: Phase,
    /// The regions, in the order in which they are upgraded.
    pub regions: Vec<Region>,
    /// Orders for the same model that come after this one.
    pub queued: Vec<Order>,
    /// Why it was paused or rolled back.
    pub reason: String,
    /// It is over and all routers know: sessions that begin need no binding any more.
    pub settled: bool,
}

impl Plan {
    /// The record.
    pub fn encode(&self) -> Bytes {
        let mut bytes = self.step.to_be_bytes().to_vec();
        // A plan has nothing that this codec cannot write.
        bytes.extend(postcard::to_stdvec(self).unwrap_or_default());
        Bytes::from(bytes)
    }

    /// Absent for what no member of this release has written.
    pub fn decode(bytes: &[u8]) -> Option<Plan> {
        if bytes.len() > MAX_BYTES {
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

    /// It is being undone, or was.
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

    /// Between the share of the new version and the share of the incoming one; the same in both directions.
    pub(crate) fn directed_share(&self, share: u16) -> u16 {
        if self.is_rolling_back() {
            WHOLE - share
        } else {
            share
        }
    }

    /// The version that new work is routed to once the plan is over.
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

    /// The plan has taken this version out of service in all regions.
    pub(crate) fn is_out_of_service(&self, version: &str) -> bool {
        self.is_outgoing(version) && matches!(self.phase, Phase::Done | Phase::RolledBack)
    }

    /// What comes after this step, for an operator.
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
            (Phase::Rolling, Some(region)) => match self.untouched_region_beside(region) {
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

    fn untouched_region_beside(&self, region: &Region) -> Option<&Region> {
        self.regions
            .iter()
            .find(|other| other.stage == Stage::Pending && other.name != region.name)
    }

    /// The version that new work is routed to. `draw`: random, or the same for what has to stay together.
    pub fn version_for(&self, region: &str, draw: u64, is_session: bool) -> &Name {
        let share = match (self.phase, self.region(region)) {
            (Phase::Done, _) => WHOLE,
            (phase, _) if phase.is_over() => 0,
            (_, None) => 0,
            (_, Some(region)) => region.share_for(is_session, self.is_rolling_back()),
        };
        if draw % u64::from(WHOLE) < u64::from(share) {
            &self.order.to
        } else {
            &self.order.from
        }
    }
}

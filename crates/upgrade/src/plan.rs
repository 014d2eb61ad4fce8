//! The steps of one upgrade as a majority agrees on them, one record for each model, and where what begins goes by each.
//! Read with [`Plan::read`], written with [`Plan::bytes`].

use bytes::Bytes;
use cedarpulley_membership::MemberIndex;
use serde::{Deserialize, Serialize};

use crate::Name;
use crate::orders::Order;

/// Before the model in a record's key.
const KEY: &str = "u\n";
/// Between model and version, as KServe's paths have it.
const VERSIONS: &str = "/versions/";
/// A step's number comes first, its highest byte first: within a term the later value is the greater one.
const NUMBER: usize = size_of::<u64>();
/// A part of all.
pub const WHOLE: u16 = 1000;
/// A record is sent to all members at every step.
pub const MOST_BYTES: usize = 64 * 1024;

pub fn key(model: &str) -> Name {
    Name::from(KEY.to_owned() + model)
}

pub fn model_of(key: &str) -> Option<&str> {
    key.strip_prefix(KEY)
}

/// The name under which a version's copies are loaded and called.
pub fn function(model: &str, version: &str) -> Name {
    if version.is_empty() {
        Name::from(model)
    } else {
        Name::from([model, VERSIONS, version].concat())
    }
}

/// Under which a member writes; as the shared state has it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Ballot {
    pub number: u32,
    pub member: MemberIndex,
    pub nonce: u64,
}

impl Ballot {
    /// As workers are told; no two leaders have the same.
    pub fn term(&self) -> Name {
        Name::from(format!("{}.{}.{:x}", self.number, self.member, self.nonce))
    }
}

/// A step and whose it is: two leaders may have given the same number to different steps.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct GoesBy {
    pub ballot: Ballot,
    pub step: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Taken, nothing done yet.
    Waiting,
    Canary,
    /// Region after region.
    Rolling,
    /// The new version is later than the old one; nothing more of it is begun.
    Paused,
    Back,
    Done,
    RolledBack,
    /// Without anything having been done, with the reason.
    Ended,
}

impl Phase {
    /// Nothing more comes of it.
    pub fn is_over(self) -> bool {
        matches!(self, Phase::Done | Phase::RolledBack | Phase::Ended)
    }
}

/// Of a region. While rolling back, read with old and new exchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    Before,
    /// Copies of the version that is to come are loaded.
    Loading,
    /// What begins goes to the one that has come; the other one's sessions end.
    Draining,
    Done,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Region {
    pub name: Name,
    /// Warm lanes at the plan's beginning.
    pub base: u32,
    /// Of what begins, the part that goes to the new version, in thousandths.
    pub part: u16,
    pub stage: Stage,
    /// The drain limit is past. While draining, sessions of the version that goes are answered that they are over; before,
    /// copies with sessions may give way, too, where both versions do not fit.
    pub over: bool,
    /// The last step that changed where something goes here: a router that goes by an earlier one may still use what
    /// goes.
    pub changed: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    pub step: u64,
    /// Whose step it is.
    pub by: Ballot,
    pub order: Order,
    pub phase: Phase,
    /// In the order in which they are upgraded.
    pub regions: Vec<Region>,
    /// Orders for the same model that come after it.
    pub queued: Vec<Order>,
    pub reason: String,
    /// It is over and all routers know: sessions that begin need no binding any more.
    pub settled: bool,
}

impl Plan {
    pub fn bytes(&self) -> Bytes {
        let mut bytes = self.step.to_be_bytes().to_vec();
        // A plan has nothing that this codec cannot write.
        bytes.extend(postcard::to_stdvec(self).unwrap_or_default());
        Bytes::from(bytes)
    }

    /// Absent for what no member of this release has written.
    pub fn read(bytes: &[u8]) -> Option<Plan> {
        if bytes.len() > MOST_BYTES {
            return None;
        }
        let (number, rest) = bytes.split_first_chunk::<NUMBER>()?;
        let plan: Plan = postcard::from_bytes(rest).ok()?;
        (plan.step == u64::from_be_bytes(*number)).then_some(plan)
    }

    pub fn region(&self, name: &str) -> Option<&Region> {
        self.regions.iter().find(|r| *r.name == *name)
    }

    /// True while it is being undone.
    pub fn back(&self) -> bool {
        matches!(self.phase, Phase::Back | Phase::RolledBack | Phase::Ended)
    }

    /// The version that is to go, and the one that is to come.
    pub fn versions(&self) -> (&Name, &Name) {
        let o = &self.order;
        if self.back() {
            (&o.to, &o.from)
        } else {
            (&o.from, &o.to)
        }
    }

    /// What comes after this step, for an operator.
    pub fn then(&self) -> String {
        let after = |r: &Region| {
            self.regions
                .iter()
                .find(|o| o.stage == Stage::Before && o.name != r.name)
        };
        let region = self
            .regions
            .iter()
            .find(|r| !matches!(r.stage, Stage::Before | Stage::Done));
        match (self.phase, region) {
            (Phase::Waiting, _) => "loads canaries".into(),
            (Phase::Canary, _) => "the first region, or back".into(),
            (Phase::Paused, _) => "goes on, or back".into(),
            (Phase::Rolling | Phase::Back, Some(r)) if r.stage == Stage::Loading => {
                format!(
                    "sends what begins in {} to the copies that have come",
                    r.name
                )
            }
            (Phase::Rolling, Some(r)) => match after(r) {
                Some(next) => format!(
                    "lets old copies in {} go, then loads in {}",
                    r.name, next.name
                ),
                None => format!("lets old copies in {} go, then is done", r.name),
            },
            (Phase::Back, Some(r)) => format!("lets new copies in {} go", r.name),
            (Phase::Rolling, None) => "the next region, or the end".into(),
            (Phase::Back, None) => "the end".into(),
            (Phase::Done | Phase::RolledBack | Phase::Ended, _) => match self.queued.first() {
                Some(q) => format!("order {}", q.serial),
                None => String::new(),
            },
        }
    }

    /// The version that something goes to that begins now. `draw`: chance, or of what has to stay together.
    pub fn version(&self, region: &str, draw: u64, session: bool) -> &Name {
        let o = &self.order;
        let part = match (self.phase, self.region(region)) {
            (Phase::Done, _) => WHOLE,
            (phase, _) if phase.is_over() => 0,
            (_, None) => 0,
            (_, Some(r)) => r.part_of(session, self.back()),
        };
        if draw % u64::from(WHOLE) < u64::from(part) {
            &o.to
        } else {
            &o.from
        }
    }
}

impl Region {
    /// Symptom: where memory is too small for both versions, sessions go on beginning on old copies, and none of them
    /// ever gives way. They go to the copies that stay twice as often.
    fn part_of(&self, session: bool, back: bool) -> u16 {
        if !session || self.stage != Stage::Loading || self.part == 0 || self.part == WHOLE {
            return self.part;
        }
        let stays = if back { WHOLE - self.part } else { self.part };
        let stays = stays.saturating_mul(2).min(WHOLE);
        if back { WHOLE - stays } else { stays }
    }
}

//! The group as configured: its members, their weights and regions, and what a majority is. It never changes while a
//! router runs, and two routers with different groups do not talk to each other.

use std::collections::BTreeSet;

use crate::member_table::stable_hash;

/// A member's place in [`Group::members`].
pub type MemberIndex = u16;

/// Each member probes every other one and holds an entry for each: with more of them, a second group is the better
/// choice.
pub const MAX_MEMBERS: usize = 64;
/// Weights are small numbers, so that their sum is exact and a person can add them up.
pub const MAX_WEIGHT: u32 = 100;

/// One member of a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// Unique in the group.
    pub name: String,
    /// Where it runs; any text.
    pub region: String,
    /// Its votes towards a majority; with 0 it only listens.
    pub weight: u32,
    /// It votes and stores records, and takes no invocations.
    pub witness: bool,
}

/// Why a list of members is no group.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GroupError {
    /// There are no members.
    #[error("the group has no member")]
    Empty,
    /// There are more than [`MAX_MEMBERS`]: so many.
    #[error("the group has {0} members, more than {MAX_MEMBERS}")]
    TooLarge(usize),
    /// Two members have this name.
    #[error("member '{0}' is named twice")]
    DuplicateName(String),
    /// This router's own name is no member's.
    #[error("'{0}' is not among the group's members")]
    NotAMember(String),
    /// All weights are 0.
    #[error("no member of the group has a weight")]
    NoWeight,
}

impl GroupError {
    /// What an operator can do.
    pub fn remedy(&self) -> &'static str {
        match self {
            GroupError::Empty => {
                "name each router of the group under [[peers.member]], this one too"
            }
            GroupError::TooLarge(_) => {
                "part the routers into several groups, each with queues of its own"
            }
            GroupError::DuplicateName(_) => "give each member a name of its own",
            GroupError::NotAMember(_) => {
                "set peers.name to the name of the member that this router is"
            }
            GroupError::NoWeight => "give at least one member a weight above 0",
        }
    }
}

/// Equal at every member, apart from `me`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Group {
    /// Its name.
    pub name: String,
    /// In the order of their names.
    pub members: Vec<Member>,
    /// Which member this router is.
    pub own_index: MemberIndex,
    /// Hash of name and members. Members with another one are not talked to.
    pub fingerprint: u64,
}

impl Group {
    /// `own_name`: which member this router is. Members are sorted by name: their order in a file does not matter.
    pub fn new(name: &str, mut members: Vec<Member>, own_name: &str) -> Result<Group, GroupError> {
        members.sort_by(|a, b| a.name.cmp(&b.name));
        if members.is_empty() {
            return Err(GroupError::Empty);
        }
        if members.len() > MAX_MEMBERS {
            return Err(GroupError::TooLarge(members.len()));
        }
        if let Some(pair) = members.windows(2).find(|w| w[0].name == w[1].name) {
            return Err(GroupError::DuplicateName(pair[0].name.clone()));
        }
        if members.iter().all(|member| member.weight == 0) {
            return Err(GroupError::NoWeight);
        }
        let Some(own_index) = members.iter().position(|member| member.name == own_name) else {
            return Err(GroupError::NotAMember(own_name.to_owned()));
        };
        Ok(Group {
            name: name.to_owned(),
            fingerprint: stable_hash((name, &members)),
            members,
            own_index: own_index as MemberIndex,
        })
    }

    /// How many members there are.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Never, as [`Group::new`] rejects it.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn indices(&self) -> impl Iterator<Item = MemberIndex> + use<> {
        0..self.members.len() as MemberIndex
    }

    /// All members but this one.
    pub fn others(&self) -> impl Iterator<Item = MemberIndex> + use<> {
        let own_index = self.own_index;
        self.indices().filter(move |member| *member != own_index)
    }

    /// The sum of these members' weights; each index counts as often as it is given.
    pub fn weight(&self, members: impl IntoIterator<Item = MemberIndex>) -> u32 {
        members
            .into_iter()
            .filter_map(|index| self.members.get(index as usize))
            .map(|member| member.weight)
            .sum()
    }

    /// These have more than half of all weight. Two majorities always have a member in common.
    pub fn is_majority(&self, members: impl IntoIterator<Item = MemberIndex>) -> bool {
        self.weight(members) * 2 > self.weight(self.indices())
    }

    /// Every majority has a member among these other than `excluded`: what any majority accepted, one of these knows.
    pub fn intersects_every_majority(
        &self,
        members: &BTreeSet<MemberIndex>,
        excluded: MemberIndex,
    ) -> bool {
        let rest = self
            .indices()
            .filter(|member| *member == excluded || !members.contains(member));
        !self.is_majority(rest)
    }

    /// Regions whose members are a majority by themselves: cut off from the others, they can go on.
    pub fn regions_with_majority(&self) -> Vec<&str> {
        let regions: BTreeSet<&str> = self.members.iter().map(|m| m.region.as_str()).collect();
        let members_in = |region: &str| {
            self.indices()
                .filter(|index| self.members[*index as usize].region == region)
                .collect::<Vec<_>>()
        };
        regions
            .into_iter()
            .filter(|region| self.is_majority(members_in(region)))
            .collect()
    }
}

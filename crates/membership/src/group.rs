//! The group as configured: its members, their weights and regions, and the definition of a majority. It does not
//! change while a router runs. Two routers that are configured with different groups do not communicate.

use std::collections::BTreeSet;

use crate::stable_hash::stable_hash;

/// Index of a member in [`Group::members`].
pub type MemberIndex = u16;

/// Most members of a group. Each member probes every other member and has a table entry for it, so that a second group
/// is the better choice above this number.
pub const MAX_MEMBERS: usize = 64;
/// Highest weight of a member. Weights are small so that their sum is exact and easy to check by hand.
pub const MAX_WEIGHT: u32 = 100;

/// One member of a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// Unique in the group.
    pub name: String,
    /// The region where it runs; any text.
    pub region: String,
    /// Weight of its vote towards a majority; a member of weight 0 receives records and does not count.
    pub weight: u32,
    /// Whether it only votes and stores records, and accepts no invocations.
    pub witness: bool,
}

/// The reason why a list of members is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GroupError {
    /// The list is empty.
    #[error("the group has no member")]
    Empty,
    /// The list has this number of members, more than [`MAX_MEMBERS`].
    #[error("the group has {0} members, more than {MAX_MEMBERS}")]
    TooLarge(usize),
    /// Two members have this name.
    #[error("member '{0}' is listed twice")]
    DuplicateName(String),
    /// No member has this router's own name.
    #[error("'{0}' is not a member of the group")]
    NotAMember(String),
    /// All weights are 0.
    #[error("no member of the group has a weight above 0")]
    NoWeight,
}

impl GroupError {
    /// What an operator can do about the error.
    pub fn remedy(&self) -> &'static str {
        match self {
            GroupError::Empty => {
                "list each router of the group under [[peers.member]], including this one"
            }
            GroupError::TooLarge(_) => {
                "split the routers into several groups, each with its own queues"
            }
            GroupError::DuplicateName(_) => "give each member a unique name",
            GroupError::NotAMember(_) => {
                "set peers.name to the name of the member that this router is"
            }
            GroupError::NoWeight => "give at least one member a weight above 0",
        }
    }
}

/// The group as configured. It is equal at every member, apart from `own_index`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Group {
    /// Its name.
    pub name: String,
    /// Sorted by name.
    pub members: Vec<Member>,
    /// The member that is this router.
    pub own_index: MemberIndex,
    /// Hash of the name and the members. Routers with different fingerprints do not communicate.
    pub fingerprint: u64,
}

impl Group {
    /// `own_name` is the name of this router. Members are sorted by name, so that their order in a file does not
    /// matter.
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

    /// Number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Always false, as [`Group::new`] rejects an empty group.
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

    /// Sum of the weights of `members`; an index that is given several times is counted several times.
    pub fn weight(&self, members: impl IntoIterator<Item = MemberIndex>) -> u32 {
        members
            .into_iter()
            .filter_map(|index| self.members.get(index as usize))
            .map(|member| member.weight)
            .sum()
    }

    /// Whether `members` have more than half of the total weight. Any two majorities have a member in common.
    pub fn is_majority(&self, members: impl IntoIterator<Item = MemberIndex>) -> bool {
        self.weight(members) * 2 > self.weight(self.indices())
    }

    /// Whether every majority has a member among `members` other than `excluded`, so that one of them has whatever a
    /// majority accepted.
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

    /// Regions whose members are a majority by themselves, so that they keep working when all other regions are
    /// unreachable.
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

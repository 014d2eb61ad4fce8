//! The group as its settings fix it: members, their weights and regions, and what makes a majority. It never changes
//! while a router runs, and two routers with different groups never speak with each other.

use std::collections::BTreeSet;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

pub type MemberIndex = u16;

/// Each asks each other one from time to time and keeps a line for each in every table: beyond, a second group is
/// the better choice.
pub const MOST_MEMBERS: usize = 64;
/// Weights are small numbers, so that their sum is exact and a person can add them up.
pub const MOST_WEIGHT: u32 = 100;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    pub name: String,
    pub region: String,
    /// Its part in majorities; 0: it only listens.
    pub weight: u32,
    /// It votes and keeps copies, and takes no invocations.
    pub witness: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unfit {
    #[error("the group has no member")]
    Empty,
    #[error("the group has {0} members, more than {MOST_MEMBERS}")]
    Large(usize),
    #[error("member '{0}' is named twice")]
    Twice(String),
    #[error("'{0}' is not among the group's members")]
    Stranger(String),
    #[error("no member of the group has a weight")]
    Weightless,
}

impl Unfit {
    /// What an operator can do.
    pub fn remedy(&self) -> &'static str {
        match self {
            Unfit::Empty => "name each router of the group under [[peers.member]], this one too",
            Unfit::Large(_) => "part the routers into several groups, each with queues of its own",
            Unfit::Twice(_) => "give each member a name of its own",
            Unfit::Stranger(_) => "set peers.name to the name of the member that this router is",
            Unfit::Weightless => "give at least one member a weight above 0",
        }
    }
}

/// The same text at every member, apart from which of them this router is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Group {
    pub name: String,
    pub members: Vec<Member>,
    pub me: MemberIndex,
    /// A number for all of it: members with another one are strangers.
    pub mark: u64,
}

impl Group {
    /// Members go by the order of their names, so that the order in a file does not matter.
    pub fn new(name: &str, mut members: Vec<Member>, me: &str) -> Result<Group, Unfit> {
        members.sort_by(|a, b| a.name.cmp(&b.name));
        if members.is_empty() {
            return Err(Unfit::Empty);
        }
        if members.len() > MOST_MEMBERS {
            return Err(Unfit::Large(members.len()));
        }
        if let Some(twice) = members.windows(2).find(|w| w[0].name == w[1].name) {
            return Err(Unfit::Twice(twice[0].name.clone()));
        }
        if members.iter().all(|m| m.weight == 0) {
            return Err(Unfit::Weightless);
        }
        let Some(at) = members.iter().position(|m| m.name == me) else {
            return Err(Unfit::Stranger(me.to_owned()));
        };
        let mark = BuildHasherDefault::<DefaultHasher>::default().hash_one((name, &members));
        Ok(Group {
            name: name.to_owned(),
            members,
            me: at as MemberIndex,
            mark,
        })
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    pub fn others(&self) -> impl Iterator<Item = MemberIndex> + use<> {
        let me = self.me;
        (0..self.members.len() as MemberIndex).filter(move |m| *m != me)
    }

    pub fn weight(&self, of: impl IntoIterator<Item = MemberIndex>) -> u32 {
        of.into_iter()
            .filter_map(|m| self.members.get(m as usize))
            .map(|m| m.weight)
            .sum()
    }

    fn all(&self) -> u32 {
        self.members.iter().map(|m| m.weight).sum()
    }

    /// Two such sets always have a member in common.
    pub fn is_majority(&self, of: impl IntoIterator<Item = MemberIndex>) -> bool {
        self.weight(of) * 2 > self.all()
    }

    /// Every majority has a member among these, apart from `beside`: what they all know together is known.
    pub fn meets_all(&self, of: &BTreeSet<MemberIndex>, beside: MemberIndex) -> bool {
        let rest =
            (0..self.members.len() as MemberIndex).filter(|m| *m == beside || !of.contains(m));
        !self.is_majority(rest)
    }

    /// Regions whose members are a majority by themselves: a cut leaves them able to go on alone.
    pub fn ruling_regions(&self) -> Vec<&str> {
        let regions: BTreeSet<&str> = self.members.iter().map(|m| m.region.as_str()).collect();
        let of = |r: &str| {
            (0..self.members.len() as MemberIndex)
                .filter(|m| self.members[*m as usize].region == r)
                .collect::<Vec<_>>()
        };
        regions
            .into_iter()
            .filter(|r| self.is_majority(of(r)))
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn group(weights: &[u32]) -> Group {
        let member = |(n, w): (usize, &u32)| Member {
            name: format!("r{n}"),
            region: format!("g{}", n % 2),
            weight: *w,
            witness: false,
        };
        Group::new("g", weights.iter().enumerate().map(member).collect(), "r0").expect("it is fit")
    }

    #[test]
    fn two_majorities_meet_and_what_meets_all_misses_none() {
        for weights in [
            &[1, 1, 1][..],
            &[1, 1, 1, 1],
            &[2, 1, 1, 1],
            &[1, 1, 1, 1, 1],
            &[3, 1, 0, 1],
        ] {
            let g = group(weights);
            let n = weights.len() as MemberIndex;
            let set = |bits: u32| {
                (0..n)
                    .filter(|m| bits & 1 << m != 0)
                    .collect::<BTreeSet<_>>()
            };
            for a in 0..1 << n {
                for b in 0..1 << n {
                    let meet = !set(a).is_disjoint(&set(b));
                    assert!(
                        meet || !g.is_majority(set(a)) || !g.is_majority(set(b)),
                        "{weights:?}"
                    );
                    for beside in 0..n {
                        let without: BTreeSet<_> =
                            set(b).into_iter().filter(|m| *m != beside).collect();
                        let met = !set(a).is_disjoint(&without);
                        assert!(met || !g.meets_all(&set(a), beside) || !g.is_majority(set(b)));
                    }
                }
            }
        }
        assert_eq!(group(&[1, 1, 1, 1]).ruling_regions(), Vec::<&str>::new());
        assert_eq!(group(&[2, 1, 1, 1]).ruling_regions(), ["g0"]);
    }
}

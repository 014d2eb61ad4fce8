//! Votes, and which of them may be counted together.

use std::collections::BTreeMap;

use cedarpulley_membership::MemberIndex;
use serde::{Deserialize, Serialize};

/// The process tag ([`process_tag`]) of each member as the voter knows it, indexed by member. Votes are counted
/// together only if their voters agree on each other's processes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KnownProcesses(pub Vec<u32>);

/// A vote: the voter's own process tag, and the process tags of all members as the voter knows them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Vote {
    process: u32,
    views: KnownProcesses,
}

/// The votes for one request. A majority counts only if its voters agree on each other's processes. Without this rule,
/// a member could promise, restart without its state and vote again, and the promise of its earlier process would be
/// counted together with newer votes of other members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Votes(BTreeMap<MemberIndex, Vote>);

impl Votes {
    /// Adds a vote, or replaces the voter's earlier one.
    pub fn put(&mut self, from: MemberIndex, process: u32, views: KnownProcesses) {
        self.0.insert(from, Vote { process, views });
    }

    /// All voters, whether or not they agree on each other's processes.
    pub fn voters(&self) -> impl Iterator<Item = MemberIndex> + '_ {
        self.0.keys().copied()
    }

    /// Whether this member has voted.
    pub fn has(&self, member: MemberIndex) -> bool {
        self.0.contains_key(&member)
    }

    /// The number of votes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no votes.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// A set of voters that agree on each other's processes. Voters are added greedily: the proposer first, then the
    /// others in the order of their indexes.
    pub fn agreeing(&self, proposer: MemberIndex) -> Vec<MemberIndex> {
        let knows = |a: MemberIndex, b: MemberIndex| {
            let (vote_of_a, vote_of_b) = (self.0.get(&a), self.0.get(&b));
            vote_of_a
                .zip(vote_of_b)
                .is_some_and(|(a, b_vote)| a.views.0.get(b as usize) == Some(&b_vote.process))
        };
        let (first, rest): (Vec<MemberIndex>, Vec<MemberIndex>) =
            self.voters().partition(|m| *m == proposer);
        let mut agreed: Vec<MemberIndex> = Vec::new();
        for member in first.into_iter().chain(rest) {
            if agreed
                .iter()
                .all(|a| knows(member, *a) && knows(*a, member))
            {
                agreed.push(member);
            }
        }
        agreed
    }
}

/// The tag by which votes identify a process: its nonce, folded to 32 bits.
pub fn process_tag(nonce: u64) -> u32 {
    (nonce ^ nonce >> 32) as u32
}

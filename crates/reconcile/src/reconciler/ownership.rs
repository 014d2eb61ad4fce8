//! Who owns a worker among the members, and who claims a copy there: a router that is alive, a plan that is under
//! way, or whoever uses it.
//!
//! Mechanisms:
//! 1. A router that is gone, a plan that has ended, and a version that a plan has taken out of service claim
//!    nothing.
//! 2. An owner that has been gone for less than the grace period still counts as one when a repair is about to go.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cedarpulley::interface::Micros;

use crate::observation::FunctionReport;
use crate::polling::PollerRank;

/// What plans of upgrades claim.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Claims {
    /// Terms of plans that are under way.
    pub terms: BTreeSet<Arc<str>>,
    /// Functions that are claimed, whatever the term.
    pub functions: BTreeSet<Arc<str>>,
    /// Versions that a plan has taken out of service.
    pub retired: BTreeSet<Arc<str>>,
}

/// Why nobody claims a copy.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum UnclaimedReason {
    /// The router that ordered it is no member.
    OwnerGone(Arc<str>),
    /// The plan of this term is not under way.
    PlanEnded(Arc<str>),
    /// A plan has taken the version out of service.
    Retired,
}

#[derive(Debug)]
pub(super) struct Ownership {
    me: Arc<str>,
    grace_period: Micros,
    members: Vec<Arc<str>>,
    /// Members that were alive once, since when they are not.
    departed: BTreeMap<Arc<str>, Micros>,
    claims: Option<Claims>,
}

impl Ownership {
    pub(super) fn new(me: Arc<str>, grace_period: Micros) -> Self {
        Ownership {
            me,
            grace_period,
            members: Vec::new(),
            departed: BTreeMap::new(),
            claims: None,
        }
    }

    /// This router's rank for a worker.
    pub(super) fn rank(&self, id: &str) -> PollerRank {
        PollerRank::of(id, &self.me, &self.members)
    }

    pub(super) fn is_me(&self, member: &str) -> bool {
        *self.me == *member
    }

    /// Whether there are other members.
    pub(super) fn has_peers(&self) -> bool {
        self.members.iter().any(|member| *member != self.me)
    }

    pub(super) fn set_members(&mut self, now: Micros, members: Vec<Arc<str>>) {
        for member in &self.members {
            if !members.contains(member) {
                self.departed.entry(member.clone()).or_insert(now);
            }
        }
        self.departed.retain(|member, _| !members.contains(member));
        self.members = members;
    }

    pub(super) fn set_claims(&mut self, claims: Claims) {
        self.claims = Some(claims);
    }

    /// Why no router and no plan claims a copy, if none does.
    pub(super) fn unclaimed_reason(&self, entry: &FunctionReport) -> Option<UnclaimedReason> {
        if let Some(claims) = &self.claims {
            if claims.functions.contains(&entry.function) {
                return None;
            }
            if claims.retired.contains(&entry.function) {
                return Some(UnclaimedReason::Retired);
            }
            match &entry.term {
                Some(term) if claims.terms.contains(term) => return None,
                Some(term) => return Some(UnclaimedReason::PlanEnded(term.clone())),
                None => {}
            }
        }
        let owner = entry.ordered_by.as_ref().filter(|by| **by != self.me)?;
        // Without a group nothing is known of others.
        let gone = !self.members.is_empty() && !self.members.contains(owner);
        gone.then(|| UnclaimedReason::OwnerGone(owner.clone()))
    }

    /// Whether somebody claims the function by now, though nobody did for this reason.
    pub(super) fn is_claimed_again(
        &self,
        now: Micros,
        function: &Arc<str>,
        reason: &UnclaimedReason,
    ) -> bool {
        let claims = self.claims.as_ref();
        match reason {
            UnclaimedReason::OwnerGone(owner) => {
                let lately = self
                    .departed
                    .get(owner)
                    .is_some_and(|since| now - since < self.grace_period);
                self.members.contains(owner) || lately
            }
            UnclaimedReason::PlanEnded(term) => {
                claims.is_some_and(|c| c.terms.contains(term) || c.functions.contains(function))
            }
            UnclaimedReason::Retired => !claims.is_some_and(|c| c.retired.contains(function)),
        }
    }
}

//! Which member is first for a worker, and whether a copy is claimed: by a router that is alive or by an upgrade plan
//! in progress. (A use also claims a copy; `comparison` checks that.)
//!
//! Mechanisms:
//! 1. A copy is unclaimed if a plan has retired its version, if the plan of its term has ended, or if the router that
//!    ordered it has left the group. A function that a plan claims by name is always claimed.
//! 2. When a repair is about to be sent, an owner that left less than a grace period ago still counts as an owner.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cedarpulley::interface::Micros;

use crate::observation::FunctionReport;
use crate::polling::PollerRank;

/// What upgrade plans claim.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Claims {
    /// Terms of plans that are in progress.
    pub terms: BTreeSet<Arc<str>>,
    /// Functions that are claimed regardless of the term.
    pub functions: BTreeSet<Arc<str>>,
    /// Functions whose version a plan has retired.
    pub retired: BTreeSet<Arc<str>>,
}

/// Why a copy is unclaimed.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum UnclaimedReason {
    /// The router that ordered the copy is not a member.
    OwnerGone(Arc<str>),
    /// The plan of this term is not in progress.
    PlanEnded(Arc<str>),
    /// A plan has retired the version.
    Retired,
}

/// The members of the group and the claims of upgrade plans, as this router knows them.
#[derive(Debug)]
pub(super) struct Ownership {
    router_name: Arc<str>,
    grace_period: Micros,
    members: Vec<Arc<str>>,
    /// Former members, and since when they are no longer considered alive.
    departed: BTreeMap<Arc<str>, Micros>,
    claims: Option<Claims>,
}

impl Ownership {
    /// Knows no members and no claims yet.
    pub(super) fn new(router_name: Arc<str>, grace_period: Micros) -> Self {
        Ownership {
            router_name,
            grace_period,
            members: Vec::new(),
            departed: BTreeMap::new(),
            claims: None,
        }
    }

    /// The rank of this router for a worker.
    pub(super) fn rank(&self, id: &str) -> PollerRank {
        PollerRank::of(id, &self.router_name, &self.members)
    }

    /// Whether this is the name of this router.
    pub(super) fn is_own_name(&self, member: &str) -> bool {
        *self.router_name == *member
    }

    /// Whether the group has other members.
    pub(super) fn has_peers(&self) -> bool {
        self.members
            .iter()
            .any(|member| *member != self.router_name)
    }

    /// Replaces the members; those that are no longer listed have departed at `now`.
    pub(super) fn set_members(&mut self, now: Micros, members: Vec<Arc<str>>) {
        for member in &self.members {
            if !members.contains(member) {
                self.departed.entry(member.clone()).or_insert(now);
            }
        }
        self.departed.retain(|member, _| !members.contains(member));
        self.members = members;
    }

    /// Replaces the claims of upgrade plans.
    pub(super) fn set_claims(&mut self, claims: Claims) {
        self.claims = Some(claims);
    }

    /// Why no router and no plan claims a copy; `None` if it is claimed.
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
        let owner = entry
            .ordered_by
            .as_ref()
            .filter(|by| **by != self.router_name)?;
        // Without a group this router does not know whether other routers are alive.
        let gone = !self.members.is_empty() && !self.members.contains(owner);
        gone.then(|| UnclaimedReason::OwnerGone(owner.clone()))
    }

    /// Whether `reason`, for which the function was unclaimed, no longer applies at `now`.
    pub(super) fn is_claimed_again(
        &self,
        now: Micros,
        function: &Arc<str>,
        reason: &UnclaimedReason,
    ) -> bool {
        let claims = self.claims.as_ref();
        match reason {
            UnclaimedReason::OwnerGone(owner) => {
                let left_recently = self
                    .departed
                    .get(owner)
                    .is_some_and(|since| now - since < self.grace_period);
                self.members.contains(owner) || left_recently
            }
            UnclaimedReason::PlanEnded(term) => {
                claims.is_some_and(|c| c.terms.contains(term) || c.functions.contains(function))
            }
            UnclaimedReason::Retired => !claims.is_some_and(|c| c.retired.contains(function)),
        }
    }
}

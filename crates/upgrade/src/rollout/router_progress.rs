//! The step by which each router of the group routes.

use std::collections::BTreeMap;

use cedarpulley_membership::MemberIndex;

use super::RolloutContext;
use super::wait_reason::WaitReason;
use crate::plan::{Region, RoutingRule};

/// The routing rule that each member reported last.
#[derive(Clone, Debug, Default)]
pub(super) struct RouterProgress {
    rules: BTreeMap<MemberIndex, RoutingRule>,
}

impl RouterProgress {
    pub fn record(&mut self, member: MemberIndex, rule: RoutingRule) {
        self.rules.insert(member, rule);
    }

    /// Whether the member routes by this rule or a later one.
    fn has_reached(&self, member: usize, rule: RoutingRule) -> bool {
        self.rules
            .get(&(member as MemberIndex))
            .is_some_and(|known| *known >= rule)
    }
}

impl RolloutContext<'_> {
    /// Whether all routers of the region route by a step of this leader that includes the last change of routing there.
    /// Members that have been absent for long route nothing any more and are ignored. Notes the reason if not.
    pub(super) fn routers_follow(&self, region: &Region, wait: &mut WaitReason) -> bool {
        let wanted = RoutingRule {
            ballot: self.ballot,
            step: region.routing_step,
        };
        let behind = self.view.members_in(&region.name).find(|member| {
            !self.routers.has_reached(*member, wanted) && !self.view.is_gone(*member)
        });
        if let Some(member) = behind {
            wait.note(format!(
                "{}: member {member} goes by an earlier step",
                region.name
            ));
        }
        behind.is_none()
    }

    /// Whether every router of the group routes by this step of this leader or a later one. Notes the reason if not.
    pub(super) fn all_routers_follow(&self, step: u64, wait: &mut WaitReason) -> bool {
        let wanted = RoutingRule {
            ballot: self.ballot,
            step,
        };
        let behind =
            (0..self.view.member_count()).find(|member| !self.routers.has_reached(*member, wanted));
        if let Some(member) = behind {
            wait.note(format!("member {member} has not heard of it"));
        }
        behind.is_none()
    }
}

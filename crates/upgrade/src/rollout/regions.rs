//! Advances the regions of a plan, one after another in an upgrade: loads the incoming version, routes new work to it,
//! and drains the outgoing version.

use super::RolloutContext;
use super::assessment::RegionAssessment;
use super::steps::StepPlanner;
use crate::plan::{FULL_SHARE, Phase, Stage};

/// The smallest change of the share that is routed to the incoming version, in thousandths: each change costs a step of
/// the plan.
const SHARE_STEP: u16 = 100;

impl RolloutContext<'_> {
    /// Whether only sessions prevent the next load and the operator's drain limit has just passed.
    pub(super) fn past_drain_limit(&self, assessment: &RegionAssessment) -> bool {
        let region = assessment.region;
        let age = self.timing.region_age(self.view.now, &region.name);
        !region.drain_limit_passed
            && age >= self.plan.order.drain_limit
            && assessment.is_blocked_by_sessions()
    }
}

impl StepPlanner<'_> {
    /// An upgrade advances one region after another; a rollback advances all remaining regions at once.
    pub(super) fn advance_regions(&mut self) -> Option<String> {
        let (plan, view) = (self.context.plan, self.context.view);
        let is_remaining = |index: &usize| plan.regions[*index].stage != Stage::Done;
        let remaining: Vec<usize> = (0..plan.regions.len()).filter(is_remaining).collect();
        let Some(&first) = remaining.first() else {
            return Some(self.complete());
        };
        let region = &plan.regions[first];
        if region.stage == Stage::Pending {
            if view.is_unreachable(&region.name) {
                self.wait.note(format!("region {} is cut off", region.name));
                return None;
            }
            self.next.regions[first].stage = Stage::Loading;
            return Some(format!("region {} is next", region.name));
        }
        let current = if plan.is_rolling_back() {
            remaining
        } else {
            vec![first]
        };
        current
            .into_iter()
            .find_map(|index| self.advance_region(index))
    }

    fn complete(&mut self) -> String {
        if self.context.plan.is_rolling_back() {
            self.next.phase = Phase::RolledBack;
            "the upgrade is rolled back".into()
        } else {
            self.next.phase = Phase::Done;
            "the upgrade is done".into()
        }
    }

    fn advance_region(&mut self, index: usize) -> Option<String> {
        let region = &self.context.plan.regions[index];
        if self.context.view.is_unreachable(&region.name) {
            self.wait.note(format!("region {} is cut off", region.name));
            return None;
        }
        let assessment = self.assess(region);
        match region.stage {
            Stage::Loading => self.advance_loading(index, &assessment),
            Stage::Draining => self.advance_draining(index, &assessment),
            Stage::Pending | Stage::Done => None,
        }
    }

    fn advance_loading(&mut self, index: usize, assessment: &RegionAssessment) -> Option<String> {
        let (plan, step) = (self.context.plan, self.next.step);
        let region = &mut self.next.regions[index];
        let (before, name) = (assessment.region, &assessment.region.name);
        let (incoming, outgoing) = (assessment.incoming.capacity, assessment.outgoing.capacity);
        let is_only_version = outgoing.copies == 0 && incoming.lanes > 0;
        let renewals_done = || self.context.timing.renewals_done(self.context.view, name);
        let is_ready =
            (incoming.lanes >= assessment.floor_lanes || is_only_version) && renewals_done();
        if before.base_lanes == 0 || is_ready {
            region.new_share = plan.directed_share(FULL_SHARE);
            region.stage = Stage::Draining;
            region.routing_step = step;
            region.drain_limit_passed = false;
            return Some(format!(
                "region {name}: new work is routed to the incoming version"
            ));
        }
        if let Some(share) = split_share(assessment) {
            region.new_share = plan.directed_share(share);
            region.routing_step = step;
            return Some(format!(
                "region {name}: new work is routed to both versions, {share} in 1000 to the incoming version"
            ));
        }
        if self.context.past_drain_limit(assessment) {
            region.drain_limit_passed = true;
            return Some(format!(
                "region {name}: the drain limit has passed, outgoing copies with sessions are displaced"
            ));
        }
        self.wait.note(format!(
            "region {name}: {} of {} lanes stand",
            incoming.lanes, assessment.floor_lanes
        ));
        None
    }

    fn advance_draining(&mut self, index: usize, assessment: &RegionAssessment) -> Option<String> {
        let (plan, view) = (self.context.plan, self.context.view);
        let (before, name) = (assessment.region, &assessment.region.name);
        if !self.context.routers_follow(before, self.wait) {
            return None;
        }
        let step = self.next.step;
        let region = &mut self.next.regions[index];
        let outgoing = assessment.outgoing.capacity;
        let remaining = outgoing.copies + outgoing.loading;
        let is_drained =
            remaining == 0 || before.drain_limit_passed && assessment.unload_attempts_exhausted();
        let all_fresh = view.all_fresh_in(name);
        if is_drained && all_fresh {
            region.stage = Stage::Done;
            let exception = if remaining > 0 {
                " except for copies called by their version's name"
            } else {
                ""
            };
            return Some(format!("region {name} is done{exception}"));
        }
        let age = self.context.timing.region_age(view.now, name);
        if !before.drain_limit_passed && age >= plan.order.drain_limit {
            region.drain_limit_passed = true;
            region.routing_step = step;
            return Some(format!(
                "region {name}: the drain limit has passed, sessions of the outgoing version are over"
            ));
        }
        if !all_fresh {
            self.wait
                .note(format!("region {name}: a worker was not seen for a while"));
        }
        self.wait.note(format!(
            "region {name}: {} sessions on {} copies",
            outgoing.sessions, outgoing.copies
        ));
        None
    }
}

/// The share to route to the incoming version, in thousandths. Absent if new work does not have to be routed to both
/// versions, or the current share is close enough to the proportion of their lanes.
fn split_share(assessment: &RegionAssessment) -> Option<u16> {
    let (incoming, outgoing) = (
        assessment.incoming.capacity.lanes,
        assessment.outgoing.capacity.lanes,
    );
    let by_lanes =
        u64::from(FULL_SHARE) * u64::from(incoming) / u64::from(incoming + outgoing).max(1);
    let share = (by_lanes as u16).min(FULL_SHARE - 1);
    let splits = assessment.incoming_share > 0 || assessment.must_split_traffic();
    let differs = share.abs_diff(assessment.incoming_share) >= SHARE_STEP.min(share);
    (splits && share > 0 && differs).then_some(share)
}

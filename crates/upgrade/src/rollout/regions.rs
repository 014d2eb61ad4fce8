//! Region after region: load the incoming version, route new work to it, drain the outgoing one.

use super::RolloutContext;
use super::assessment::RegionAssessment;
use super::steps::StepPlanner;
use crate::plan::{Phase, Stage, WHOLE};

/// The share that is routed to the incoming version follows the lanes in steps of this size, in thousandths: each is a
/// step of the plan.
const SHARE_STEP: u16 = 100;

impl RolloutContext<'_> {
    /// Nothing but sessions is in the way, and the operator's drain limit does not wait for them any longer.
    pub(super) fn past_drain_limit(&self, assessment: &RegionAssessment) -> bool {
        let region = assessment.region;
        let age = self.timing.region_age(self.view.now, &region.name);
        !region.drain_limit_passed
            && age >= self.plan.order.drain_limit
            && assessment.is_blocked_by_sessions()
    }
}

impl StepPlanner<'_> {
    /// Forwards one region after the other; a rollback advances in all that are left.
    pub(super) fn advance_regions(&mut self) -> Option<String> {
        let (plan, view) = (self.context.plan, self.context.view);
        let is_left = |index: &usize| plan.regions[*index].stage != Stage::Done;
        let left: Vec<usize> = (0..plan.regions.len()).filter(is_left).collect();
        let Some(&first) = left.first() else {
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
            left
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
            "is rolled back".into()
        } else {
            self.next.phase = Phase::Done;
            "is done".into()
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
        let (was, name) = (assessment.region, &assessment.region.name);
        let (incoming, outgoing) = (assessment.incoming.capacity, assessment.outgoing.capacity);
        let is_alone = outgoing.copies == 0 && incoming.lanes > 0;
        let renewals_done = || self.context.timing.renewals_done(self.context.view, name);
        let is_ready = (incoming.lanes >= assessment.floor_lanes || is_alone) && renewals_done();
        if was.base_lanes == 0 || is_ready {
            region.new_share = plan.directed_share(WHOLE);
            region.stage = Stage::Draining;
            region.routing_step = step;
            region.drain_limit_passed = false;
            return Some(format!("region {name}: what begins goes to the new copies"));
        }
        if let Some(share) = split_share(assessment) {
            region.new_share = plan.directed_share(share);
            region.routing_step = step;
            return Some(format!(
                "region {name}: what begins goes to both, {share} in 1000 to new copies"
            ));
        }
        if self.context.past_drain_limit(assessment) {
            region.drain_limit_passed = true;
            return Some(format!(
                "region {name}: the limit is past, old copies with sessions give way"
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
        let (was, name) = (assessment.region, &assessment.region.name);
        if !self.context.routers_follow(was, self.wait) {
            return None;
        }
        let step = self.next.step;
        let region = &mut self.next.regions[index];
        let outgoing = assessment.outgoing.capacity;
        let left = outgoing.copies + outgoing.loading;
        let is_drained =
            left == 0 || was.drain_limit_passed && assessment.unload_attempts_exhausted();
        let all_fresh = view.all_fresh_in(name);
        if is_drained && all_fresh {
            region.stage = Stage::Done;
            let exception = if left > 0 {
                " but for copies called by their name"
            } else {
                ""
            };
            return Some(format!("region {name} is done{exception}"));
        }
        let age = self.context.timing.region_age(view.now, name);
        if !was.drain_limit_passed && age >= plan.order.drain_limit {
            region.drain_limit_passed = true;
            region.routing_step = step;
            return Some(format!(
                "region {name}: the limit is past, sessions of old copies are over"
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

/// The share to route to the incoming version, in thousandths, where new work has to go to both versions and the share
/// there is far enough from their lanes.
fn split_share(assessment: &RegionAssessment) -> Option<u16> {
    let (incoming, outgoing) = (
        assessment.incoming.capacity.lanes,
        assessment.outgoing.capacity.lanes,
    );
    let by_lanes = u64::from(WHOLE) * u64::from(incoming) / u64::from(incoming + outgoing).max(1);
    let share = (by_lanes as u16).min(WHOLE - 1);
    let splits = assessment.incoming_share > 0 || assessment.must_split_traffic();
    let differs = share.abs_diff(assessment.incoming_share) >= SHARE_STEP.min(share);
    (splits && share > 0 && differs).then_some(share)
}

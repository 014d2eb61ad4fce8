//! Canaries: a few copies of the new version in the first region, which are compared with the old version before the
//! rollout continues. Also the reactions to later results of the comparison.

use super::assessment::RegionAssessment;
use super::steps::StepPlanner;
use crate::plan::{FULL_SHARE, Phase, Region, Stage};
use crate::version_comparison::{MIN_COMPARED, Verdict};

/// Number of failed loads in a row after which the version, and not the workers, is considered faulty: the loads are
/// tried on changing workers.
const MAX_CANARY_LOAD_FAILURES: u32 = 6;

impl StepPlanner<'_> {
    /// Rolls back if the new version has more errors, and pauses if it is slower.
    pub(super) fn react_to_regression(&mut self) -> Option<String> {
        match self.comparison.verdict {
            Verdict::MoreErrors => Some(self.roll_back("the new version errs more".into())),
            Verdict::Slower => {
                self.next.phase = Phase::Paused;
                self.next.reason = "the new version is later".into();
                Some("pauses: the new version is slower".into())
            }
            _ => None,
        }
    }

    /// Loads canaries, routes their share of new work to them, and compares the versions.
    pub(super) fn evaluate_canaries(&mut self) -> Option<String> {
        let (plan, view) = (self.context.plan, self.context.view);
        let region = plan.regions.first()?;
        if self.copies.load_failures_in_a_row() >= MAX_CANARY_LOAD_FAILURES {
            return Some(self.roll_back("no worker loads the new version".into()));
        }
        if view.is_unreachable(&region.name) {
            self.wait.note(format!("region {} is cut off", region.name));
            return None;
        }
        let assessment = self.assess(region);
        let are_warm = assessment.incoming.capacity.copies >= plan.order.canary;
        if region.new_share == 0 && !are_warm {
            return self.wait_for_canaries(&assessment);
        }
        if region.new_share == 0 && plan.order.canary_part > 0 {
            let step = self.next.step;
            let region = self.next.regions.first_mut()?;
            region.new_share = plan.order.canary_part.min(FULL_SHARE - 1);
            region.routing_step = step;
            return Some(format!(
                "canaries are warm and get {} in 1000 of new work",
                region.new_share
            ));
        }
        self.conclude_canaries(region)
    }

    fn wait_for_canaries(&mut self, assessment: &RegionAssessment) -> Option<String> {
        if self.context.past_drain_limit(assessment) {
            self.next.regions.first_mut()?.drain_limit_passed = true;
            return Some(format!(
                "region {}: the drain limit has passed, an old copy with sessions is displaced",
                assessment.region.name
            ));
        }
        self.wait.note(format!(
            "{} of {} canaries stand",
            assessment.incoming.capacity.copies, self.context.plan.order.canary
        ));
        None
    }

    fn conclude_canaries(&mut self, region: &Region) -> Option<String> {
        let (now, settings) = (self.context.view.now, self.context.view.settings);
        let age = self.context.timing.region_age(now, &region.name);
        let compared = self.comparison.compared;
        let enough = compared >= MIN_COMPARED;
        let are_good = enough
            && age >= settings.canary_min_time
            && self.comparison.verdict == Verdict::Equivalent;
        if age < settings.canary_max_time && !are_good {
            self.wait.note(format!(
                "{compared} of {MIN_COMPARED} invocations of the canaries were compared"
            ));
            return None;
        }
        self.next.phase = Phase::Rolling;
        self.next.regions.first_mut()?.stage = Stage::Loading;
        let because = if enough {
            "were as good as the old version"
        } else {
            "reached their time limit"
        };
        Some(format!(
            "canaries {because}; region {} is next",
            region.name
        ))
    }

    /// A paused plan resumes once the new version is no longer slower, and rolls back after the pause limit.
    pub(super) fn resume_or_roll_back(&mut self) -> Option<String> {
        let (plan, view) = (self.context.plan, self.context.view);
        match self.comparison.verdict {
            Verdict::MoreErrors => {
                return Some(self.roll_back("the new version errs more".into()));
            }
            Verdict::Equivalent => {
                let mut regions = plan.regions.iter();
                let has_begun = regions.any(|region| region.stage != Stage::Pending);
                self.next.phase = if has_begun {
                    Phase::Rolling
                } else {
                    Phase::Canary
                };
                self.next.reason.clear();
                return Some("resumes: the new version is no longer slower".into());
            }
            _ => {}
        }
        if self.context.timing.phase_age(view.now) >= view.settings.pause_limit {
            return Some(self.roll_back("the new version stayed later".into()));
        }
        self.wait
            .note("the new version was later; watched for a while");
        None
    }
}

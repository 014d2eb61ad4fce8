//! The invariant that holds at all times: the lanes available to new work are not below the floor.

use super::*;

impl Simulation {
    /// The lanes available to new work in a region by the plan of a router there, and the floor. Absent if the router
    /// routes nothing or has no plan in progress.
    pub(super) fn usable_lanes(&self, m: usize, region: &Name) -> Option<(u32, u32)> {
        let member = &self.members[m];
        // The plan of an unreachable router is not checked: the other members count it as gone after some time.
        let is_unreachable = member.isolated_until.max(if member.region.as_ref() == "b" {
            self.partition_until
        } else {
            0
        }) > self.now;
        if member.region != *region || !self.is_running(m) || is_unreachable || !member.caught_up {
            return None;
        }
        let status = member.planner.status();
        let plan = status.first()?;
        if !matches!(
            plan.phase,
            Phase::Canary | Phase::Rolling | Phase::Paused | Phase::RollingBack
        ) {
            return None;
        }
        let r = plan.regions.iter().find(|r| r.region == *region)?;
        let lanes = |function: &Name| {
            let is_warm = |w: &&Worker| {
                w.region == *region
                    && w.dead_until <= self.now
                    && w.copies
                        .get(function)
                        .is_some_and(|copy| copy.is_warm(self.now))
            };
            self.workers.iter().filter(is_warm).count() as u32 * LANES_PER_COPY
        };
        let (from, to) = (
            function_name(MODEL, &plan.from),
            function_name(MODEL, &plan.to),
        );
        let usable_lanes = match r.new_share {
            0 => lanes(&from),
            1000 => lanes(&to),
            _ => lanes(&from) + lanes(&to),
        };
        Some((usable_lanes, r.floor_lanes))
    }

    /// Records a violation for each router by whose plan its region has fewer lanes than the floor.
    pub(super) fn check_floor_lanes(&mut self) {
        if !self.check_floors {
            return;
        }
        for m in 0..self.members.len() {
            let region = self.members[m].region.clone();
            if let Some((lanes, need)) = self.usable_lanes(m, &region)
                && lanes < need
            {
                self.violations.push(format!(
                    "{} s: {region}: {lanes} lanes of {need} at router {m}",
                    self.now / SECOND
                ));
            }
        }
    }
}

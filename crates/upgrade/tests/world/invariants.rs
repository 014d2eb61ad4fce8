//! What must hold at every moment.

use super::*;

impl World {
    /// Lanes for what begins in a region at a router there, and its floor.
    pub(super) fn usable_lanes(&self, m: usize, region: &Name) -> Option<(u32, u32)> {
        let it = &self.members[m];
        // One that is away for as long as is counted as gone has no word in it.
        let away = it.isolated_until.max(if it.region.as_ref() == "b" {
            self.cut_until
        } else {
            0
        }) > self.now;
        if it.region != *region || !self.is_running(m) || away || !it.caught_up {
            return None;
        }
        let shown = it.planner.status();
        let plan = shown.first()?;
        if !matches!(
            plan.phase,
            Phase::Canary | Phase::Rolling | Phase::Paused | Phase::RollingBack
        ) {
            return None;
        }
        let r = plan.regions.iter().find(|r| r.region == *region)?;
        let lanes = |f: &Name| {
            let is_warm = |w: &&Worker| {
                w.region == *region
                    && w.dead_until <= self.now
                    && w.copies.get(f).is_some_and(|c| c.is_warm(self.now))
            };
            self.workers.iter().filter(is_warm).count() as u32 * LANES
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
                    self.now / S
                ));
            }
        }
    }
}

//! When a plan entered its phase and each region its stage, by this router's clock.

use std::collections::BTreeMap;

use cedarpulley::interface::Micros;

use crate::Name;
use crate::cluster_state::ClusterView;

/// Start times of the phase, of each region's stage and of this member's leadership.
#[derive(Clone, Debug, Default)]
pub(super) struct RolloutTiming {
    /// When each region last changed its stage, or whether any new work is routed to the new version there.
    region_since: BTreeMap<Name, Micros>,
    phase_since: Micros,
    /// The time from which this member leads and may act.
    leading_since: Micros,
}

impl RolloutTiming {
    pub fn phase_changed(&mut self, now: Micros) {
        self.phase_since = now;
    }

    pub fn region_changed(&mut self, now: Micros, region: &Name) {
        self.region_since.insert(region.clone(), now);
    }

    pub fn leading_from(&mut self, at: Micros) {
        self.leading_since = at;
    }

    pub fn phase_age(&self, now: Micros) -> Micros {
        now - self.phase_since
    }

    pub fn region_age(&self, now: Micros, region: &Name) -> Micros {
        now - self.region_since(now, region)
    }

    fn region_since(&self, now: Micros, region: &Name) -> Micros {
        self.region_since.get(region).copied().unwrap_or(now)
    }

    /// Whether the copies that new work needs have been renewed, because all workers of the region were observed after
    /// this leader's first renewals there. Without this, copies that new work needs could be evicted as idle after a
    /// time without a leader, or after a time in which they were not used.
    pub fn renewals_done(&self, view: &ClusterView, region: &Name) -> bool {
        let began = self.region_since(view.now, region).max(self.leading_since);
        let after = began.saturating_add(view.settings.order_delivery_timeout);
        view.workers_in(region)
            .all(|worker| !worker.accepts_copies || worker.observed_at > after)
    }
}

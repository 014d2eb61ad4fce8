//! When draining copies were last in use.

use std::collections::BTreeMap;

use cedarpulley::interface::Micros;

use crate::Name;
use crate::plan::Region;

/// The last time at which the draining copies of a region may have been in use.
#[derive(Clone, Copy, Debug)]
struct LastUse {
    /// The last step that changed routing in the region.
    routing_step: u64,
    at: Micros,
}

/// For each region, when sessions were last observed on its draining copies or, if none were, when all its routers were
/// first known not to route new work to them any more.
#[derive(Clone, Debug, Default)]
pub(super) struct DrainMonitor {
    last_uses: BTreeMap<Name, LastUse>,
}

impl DrainMonitor {
    /// Whether no session was observed on draining copies for the quiet period. Without this period, two kinds of
    /// sessions would be missed: sessions of a worker that has died move to a copy that was just observed without any,
    /// and a router that did not yet know the step may have started a session there since the observation.
    pub fn is_quiet(
        &mut self,
        now: Micros,
        region: &Region,
        sessions: u32,
        quiet_period: Micros,
    ) -> bool {
        let current = LastUse {
            routing_step: region.routing_step,
            at: now,
        };
        let last = self.last_uses.entry(region.name.clone()).or_insert(current);
        if sessions > 0 || last.routing_step != region.routing_step {
            *last = current;
        }
        now - last.at >= quiet_period
    }
}

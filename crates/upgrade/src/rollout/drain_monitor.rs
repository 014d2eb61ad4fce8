//! When copies that drain were last in use.

use std::collections::BTreeMap;

use cedarpulley::interface::Micros;

use crate::Name;
use crate::plan::Region;

#[derive(Clone, Copy, Debug)]
struct LastUse {
    /// The step that routed new work elsewhere.
    routing_step: u64,
    at: Micros,
}

/// When sessions were last observed on the copies of each region that drain, or all its routers were first known to send
/// nothing there any more.
#[derive(Clone, Debug, Default)]
pub(super) struct DrainMonitor {
    last_uses: BTreeMap<Name, LastUse>,
}

impl DrainMonitor {
    /// No session was observed on copies that drain for the quiet period. Symptom without it: a worker dies, and its
    /// sessions come to a copy that was just observed without any; or one began there since the observation, through a
    /// router that did not yet know the step.
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

//! Repairs, and the last look at each: `wait` takes what a difference asks for, `repair` lets one go when its
//! time has come. Their order and their budget are in [`crate::repair`].
//!
//! Mechanisms:
//! 1. Right before it goes it is asked again whether it still stands: this router is still first, nothing
//!    changed since the answer that showed it, and of what is to be unloaded, that still nobody claims it.
//! 2. An owner that has been gone for less than the grace still counts as one.
//! 3. What is unloaded is not believed from then on; an unload that was lost is found again and tried after
//!    the grace.

use std::sync::Arc;

use cedarpulley::interface::Micros;

use super::claims::Why;
use super::{Output, Reconciler};
use crate::belief::{Belief, Change};
use crate::repair::{Repair, What};

impl Reconciler {
    pub(super) fn wait(
        &mut self,
        worker: &Arc<str>,
        function: &Arc<str>,
        what: What,
        began: Micros,
        urgency: f64,
    ) {
        let urgency = (urgency.max(0.0) * 1e3) as u64;
        let repair = Repair {
            worker: worker.clone(),
            function: function.clone(),
            what,
            began,
            urgency,
        };
        if !self.repairs.wait(self.now, &mut self.chance, repair) {
            self.counts.repairs_dropped += 1;
        }
    }

    /// What waited goes, if it still stands.
    pub(super) fn repair(&mut self, out: &mut Vec<Output>) {
        let (now, kept) = (self.now, self.terms.kept);
        let (places, claims) = (&self.places, &self.claims);
        let (members, gone, grace) = (&self.members, &self.gone, self.terms.grace);
        let claimed = |function: &Arc<str>, why: &Why| match why {
            Why::Owner(owner) => {
                let lately = gone.get(owner).is_some_and(|since| now - since < grace);
                members.contains(owner) || lately
            }
            Why::Plan(term) => claims
                .as_ref()
                .is_some_and(|c| c.terms.contains(term) || c.functions.contains(function)),
            Why::Retired => !claims
                .as_ref()
                .is_some_and(|c| c.retired.contains(function)),
        };
        let stands = |r: &Repair| {
            let Some(place) = places.get(&r.worker).filter(|p| p.rank == 0) else {
                return false;
            };
            let untouched =
                |b: &Belief| b.changed <= r.began && !b.under_way(now) && !b.believed(now);
            let untouched = place.beliefs.get(&r.function).is_none_or(untouched);
            untouched
                && match &r.what {
                    What::Want => true,
                    What::Unload { .. } => place
                        .unclaimed
                        .get(&r.function)
                        .is_some_and(|(_, why)| !claimed(&r.function, why)),
                }
        };
        let Some(repair) = self.repairs.take(now, &mut self.chance, stands) else {
            return;
        };
        let Repair {
            worker,
            function,
            what,
            ..
        } = repair;
        match what {
            What::Want => {
                self.counts.wanted += 1;
                out.push(Output::Want { worker, function });
            }
            What::Unload { term } => {
                self.counts.unloaded += 1;
                if let Some(place) = self.places.get_mut(&worker) {
                    // Lost, it is tried again after the grace.
                    place.unclaimed.remove(&function);
                    if let Some(b) = place.beliefs.get_mut(&function) {
                        b.change(now, kept, Change::Unloaded);
                    }
                }
                out.push(Output::Unload {
                    worker,
                    function,
                    term,
                });
            }
        }
    }
}

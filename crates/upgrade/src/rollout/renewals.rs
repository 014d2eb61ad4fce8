//! Renews copies in use, so that workers do not evict them as idle.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use cedarpulley::interface::Micros;

use super::assessment::RegionAssessment;
use super::copies::load_request;
use crate::Name;
use crate::events::Output;
use crate::observed_state::{FunctionCopies, ObservedWorker};
use crate::plan::{Ballot, FULL_SHARE, Phase, Stage};

/// When each copy was last renewed, by worker and function.
#[derive(Clone, Debug, Default)]
pub(super) struct Renewals {
    renewed_at: BTreeMap<(Name, Name), Micros>,
}

impl Renewals {
    /// Forgets renewals that are due again.
    pub fn expire(&mut self, now: Micros, interval: Micros) {
        self.renewed_at.retain(|_, at| now - *at < interval);
    }

    /// Renews copies of both versions in the region: as many lanes as were warm when the plan began, and all copies
    /// with sessions.
    pub fn renew(&mut self, region: &RegionAssessment, ballot: Ballot, out: &mut Vec<Output>) {
        if region.region.stage == Stage::Done && region.plan.is_rolling_back() {
            return;
        }
        let (outgoing, incoming) = (&region.outgoing.function, &region.incoming.function);
        for (function, similar) in [(outgoing, incoming), (incoming, outgoing)] {
            self.renew_version(region, function, similar, ballot, out);
        }
    }

    fn renew_version(
        &mut self,
        region: &RegionAssessment,
        function: &Name,
        similar: &Name,
        ballot: Ballot,
        out: &mut Vec<Output>,
    ) {
        let view = region.view;
        let mut wanted_lanes = wanted_lanes(region, function);
        let mut copies: Vec<(&ObservedWorker, &FunctionCopies)> = view
            .workers_in(&region.region.name)
            .filter(|worker| view.is_fresh(worker) && worker.accepts_copies)
            .filter_map(|worker| Some((worker, worker.warm_copies_of(function)?)))
            .collect();
        copies.sort_by_key(|(_, held)| Reverse(held.sessions));
        let sessions_ended = region.region.drain_limit_passed
            && region.region.stage == Stage::Draining
            && *function == region.outgoing.function;
        for (worker, held) in copies {
            let is_used = held.sessions > 0 && !sessions_ended;
            if wanted_lanes == 0 && !is_used || region.is_being_unloaded(worker, function) {
                continue;
            }
            wanted_lanes = wanted_lanes.saturating_sub(held.lanes);
            let copy = (worker.name.clone(), function.clone());
            if self.renewed_at.contains_key(&copy) {
                continue;
            }
            self.renewed_at.insert(copy, view.now);
            out.push(load_request(&worker.name, function, similar, ballot));
        }
    }
}

/// Lanes of a version that new work needs, or may need soon.
fn wanted_lanes(assessment: &RegionAssessment, function: &Name) -> u32 {
    let (phase, region) = (assessment.plan.phase, assessment.region);
    let is_incoming = *function == assessment.incoming.function;
    let gets_new_work = if *function == assessment.outgoing.function {
        assessment.incoming_share < FULL_SHARE
    } else {
        region.stage != Stage::Pending || assessment.incoming_share > 0
    };
    // While the plan is paused, either version may be needed next.
    let is_needed =
        gets_new_work || phase == Phase::Paused || phase == Phase::Canary && is_incoming;
    if is_needed {
        region.base_lanes.max(1)
    } else {
        0
    }
}

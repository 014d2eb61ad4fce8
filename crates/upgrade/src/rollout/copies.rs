//! The loads, renewals and unloads that a leader requests, and those in flight ([`CopyController`]).

use cedarpulley::interface::Micros;

use super::RolloutContext;
use super::assessment::{LoadTarget, RegionAssessment, VersionCapacity};
use super::drain_monitor::DrainMonitor;
use super::loads::PendingLoads;
use super::renewals::Renewals;
use super::unloads::PendingUnloads;
use super::wait_reason::WaitReason;
use crate::Name;
use crate::cluster_state::ClusterView;
use crate::events::Output;
use crate::observed_state::ObservedWorker;
use crate::plan::{Ballot, Phase, Plan, Region, Stage};
use crate::settings::PlannerSettings;

/// Requests loads, renewals and unloads, and keeps track of those in flight.
#[derive(Clone, Debug)]
pub(super) struct CopyController {
    loads: PendingLoads,
    unloads: PendingUnloads,
    renewals: Renewals,
    drains: DrainMonitor,
}

impl CopyController {
    pub fn new(settings: &PlannerSettings) -> CopyController {
        CopyController {
            loads: PendingLoads::new(settings),
            unloads: PendingUnloads::default(),
            renewals: Renewals::default(),
            drains: DrainMonitor::default(),
        }
    }

    pub fn observe(&mut self, view: &ClusterView) {
        self.loads.observe(view);
        self.unloads.observe(view);
    }

    pub fn load_ended(
        &mut self,
        now: Micros,
        worker: &Name,
        function: &Name,
        ok: bool,
        settings: &PlannerSettings,
    ) {
        self.loads.ended(now, worker, function, ok, settings);
    }

    pub fn load_failures_in_a_row(&self) -> u32 {
        self.loads.failures_in_a_row()
    }

    pub fn capacity(&self, view: &ClusterView, region: &str, function: &Name) -> VersionCapacity {
        VersionCapacity::observe(view, &self.unloads, region, function)
    }

    pub fn assess<'a>(
        &'a self,
        view: &'a ClusterView<'a>,
        plan: &'a Plan,
        region: &'a Region,
    ) -> RegionAssessment<'a> {
        RegionAssessment::new(view, plan, region, &self.loads, &self.unloads)
    }

    /// Requests what each region needs now; unreachable regions are left as they are.
    pub fn execute(
        &mut self,
        context: &RolloutContext,
        wait: &mut WaitReason,
        out: &mut Vec<Output>,
    ) {
        let (view, plan) = (context.view, context.plan);
        self.renewals
            .expire(view.now, view.settings.renewal_interval);
        for region in &plan.regions {
            if view.is_unreachable(&region.name) {
                continue;
            }
            let assessment = RegionAssessment::new(view, plan, region, &self.loads, &self.unloads);
            self.renewals.renew(&assessment, context.ballot, out);
            let workers = workers_to_unload(&mut self.drains, context, &assessment, wait);
            let outgoing = assessment.outgoing.function;
            for worker in workers {
                self.unloads.begin(view.now, &worker, &outgoing);
                out.push(unload_request(&worker, &outgoing, context.ballot));
            }
            if region.stage != Stage::Done || !plan.is_rolling_back() {
                // Assessed again, because copies whose unload was just requested no longer count.
                let target = self.assess(view, plan, region).load_target();
                self.load(context, region, target, wait, out);
            }
        }
    }

    fn load(
        &mut self,
        context: &RolloutContext,
        region: &Region,
        target: LoadTarget,
        wait: &mut WaitReason,
        out: &mut Vec<Output>,
    ) {
        let (view, order) = (context.view, &context.plan.order);
        let (function, similar) = (&target.function, &target.similar);
        let mb = view.copy_mb(function, order.copy_mb, similar);
        let lanes_per_copy = view.lanes_per_copy(function, similar);
        let mut missing_lanes = target.missing_lanes;
        while missing_lanes > 0 {
            if !self.loads.has_capacity() {
                return wait.note(format!(
                    "{} loads are under way, {} at once",
                    self.loads.len(),
                    self.loads.concurrency_limit()
                ));
            }
            let Some(worker) = self.worker_for(view, &region.name, &target, mb) else {
                return wait.note(format!(
                    "region {}: no worker takes a copy of {function}",
                    region.name
                ));
            };
            self.loads.begin(view.now, &worker.name, function);
            out.push(load_request(
                &worker.name,
                function,
                similar,
                context.ballot,
            ));
            missing_lanes = missing_lanes.saturating_sub(lanes_per_copy);
        }
    }

    /// The worker with the most free memory that can load a copy now.
    fn worker_for<'a>(
        &self,
        view: &'a ClusterView,
        region: &'a str,
        target: &LoadTarget,
        mb: u32,
    ) -> Option<&'a ObservedWorker> {
        let can_load = |worker: &&ObservedWorker| {
            view.is_fresh(worker)
                && worker.accepts_copies
                && worker.copies_of(&target.function).is_none()
                && !worker.is_loading()
                && worker.has_memory_for(mb)
                && self.loads.may_load_on(view.now, &worker.name)
                && !self
                    .unloads
                    .is_pending(worker, &target.similar, view.settings)
        };
        view.workers_in(region)
            .filter(can_load)
            .min_by(|a, b| (b.free_mb(), &a.name).cmp(&(a.free_mb(), &b.name)))
    }
}

/// The workers of the region that are to unload outgoing copies.
fn workers_to_unload(
    drains: &mut DrainMonitor,
    context: &RolloutContext,
    assessment: &RegionAssessment,
    wait: &mut WaitReason,
) -> Vec<Name> {
    let (plan, region) = (context.plan, assessment.region);
    match region.stage {
        Stage::Draining if context.routers_follow(region, wait) => {
            drained_workers(drains, assessment)
        }
        Stage::Loading if plan.phase != Phase::Paused => {
            worker_to_displace(context, assessment, wait)
                .into_iter()
                .collect()
        }
        Stage::Pending
            if assessment.missing_incoming_lanes() > 0 && assessment.incoming_share == 0 =>
        {
            worker_to_displace(context, assessment, wait)
                .into_iter()
                .collect()
        }
        _ => Vec::new(),
    }
}

/// Workers whose outgoing copies are idle. There are none until no session uses the version in the region any more or
/// the drain limit has passed.
fn drained_workers(drains: &mut DrainMonitor, assessment: &RegionAssessment) -> Vec<Name> {
    let (view, region) = (assessment.view, assessment.region);
    let outgoing = &assessment.outgoing;
    let is_quiet = drains.is_quiet(
        view.now,
        region,
        outgoing.capacity.sessions,
        view.settings.quiet_period,
    );
    let is_unused = is_quiet && view.all_fresh_in(&region.name);
    if !region.drain_limit_passed && !is_unused {
        return Vec::new();
    }
    let is_idle = |worker: &&ObservedWorker| {
        view.is_fresh(worker)
            && worker
                .warm_copies_of(&outgoing.function)
                .is_some_and(|held| held.busy_lanes == 0)
            && !assessment.is_being_unloaded(worker, &outgoing.function)
    };
    view.workers_in(&region.name)
        .filter(is_idle)
        .map(|worker| worker.name.clone())
        .collect()
}

/// The worker that is to unload an outgoing copy to make room for an incoming one; absent if there is room elsewhere or
/// the floor does not allow it.
fn worker_to_displace(
    context: &RolloutContext,
    assessment: &RegionAssessment,
    wait: &mut WaitReason,
) -> Option<Name> {
    if !assessment.is_memory_full() {
        return None;
    }
    let region = assessment.region;
    let name = &region.name;
    let Some(copy) = assessment.displaceable_copy(region.drain_limit_passed) else {
        wait.note(match assessment.displaceable_copy(true) {
            Some(_) => format!("region {name}: no memory, and no old copy without sessions"),
            None => format!("region {name}: no memory, and no old copy that can be let go"),
        });
        return None;
    };
    if assessment.usable_lanes() < assessment.floor_lanes + copy.lanes {
        wait.note(format!(
            "region {name}: no memory, and no old copy can go without undercutting the floor"
        ));
        return None;
    }
    if !context.routers_follow(region, wait) {
        return None;
    }
    if !context.timing.renewals_done(context.view, name) {
        wait.note(format!("region {name}: copies are renewed first"));
        return None;
    }
    Some(copy.worker.name.clone())
}

/// The request to load a copy, or to renew it where it is warm.
pub(super) fn load_request(
    worker: &Name,
    function: &Name,
    similar: &Name,
    ballot: Ballot,
) -> Output {
    Output::LoadCopy {
        worker: worker.clone(),
        function: function.clone(),
        similar: similar.clone(),
        term: ballot.term(),
    }
}

fn unload_request(worker: &Name, function: &Name, ballot: Ballot) -> Output {
    Output::UnloadCopies {
        worker: worker.clone(),
        function: function.clone(),
        term: ballot.term(),
    }
}

//! The assessment of one region of a plan, in the plan's direction: the outgoing and the incoming version, their lanes,
//! the floor, and where memory can be freed.

use super::loads::PendingLoads;
use super::unloads::PendingUnloads;
use crate::Name;
use crate::cluster_state::ClusterView;
use crate::observed_state::ObservedWorker;
use crate::plan::{FULL_SHARE, Phase, Plan, Region, Stage, function_name};

/// Number of unload requests after which a copy is left loaded: a worker may decline to unload a copy that clients call
/// by its version's name.
const MAX_UNLOAD_ATTEMPTS: u32 = 5;

/// The copies of one function in one region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct VersionCapacity {
    /// Warm lanes in fresh observations, without those of copies whose unload was requested.
    pub lanes: u32,
    /// Warm copies, including those whose unload was requested and those in stale observations.
    pub copies: u32,
    /// Workers that are loading a copy.
    pub loading: u32,
    /// Active sessions on these copies.
    pub sessions: u32,
}

impl VersionCapacity {
    pub(super) fn observe(
        view: &ClusterView,
        unloads: &PendingUnloads,
        region: &str,
        function: &Name,
    ) -> VersionCapacity {
        let mut capacity = VersionCapacity::default();
        for worker in view.workers_in(region) {
            let Some(held) = worker.copies_of(function) else {
                continue;
            };
            capacity.loading += u32::from(held.loading);
            capacity.copies += held.copies;
            capacity.sessions += held.sessions;
            let is_unloading = unloads.is_pending(worker, function, view.settings);
            if view.is_fresh(worker) && worker.accepts_copies && !is_unloading {
                capacity.lanes += held.lanes;
            }
        }
        capacity
    }
}

/// Lanes that have to stay available in a region.
pub(crate) fn floor_lanes(plan: &Plan, region: &Region) -> u32 {
    let floor = u64::from(region.base_lanes) * u64::from(plan.order.floor);
    let lanes = floor.div_ceil(u64::from(FULL_SHARE)) as u32;
    // A region that had lanes keeps at least one: a region without a warm copy gets no work.
    lanes.max(u32::from(region.base_lanes > 0))
}

/// One of the two versions in a region.
pub(super) struct RegionVersion {
    pub function: Name,
    pub capacity: VersionCapacity,
}

/// Copies to load in a region.
pub(super) struct LoadTarget {
    pub function: Name,
    /// The other version, whose copies are assumed to be similar.
    pub similar: Name,
    pub missing_lanes: u32,
}

/// An outgoing copy that can be unloaded to make room for an incoming copy.
pub(super) struct DisplaceableCopy<'a> {
    pub worker: &'a ObservedWorker,
    pub lanes: u32,
}

/// The assessment of a region in the direction of the plan.
pub(super) struct RegionAssessment<'a> {
    pub view: &'a ClusterView<'a>,
    pub plan: &'a Plan,
    pub region: &'a Region,
    loads: &'a PendingLoads,
    unloads: &'a PendingUnloads,
    pub outgoing: RegionVersion,
    pub incoming: RegionVersion,
    /// Share of new work that is routed to the incoming version, in thousandths.
    pub incoming_share: u16,
    pub floor_lanes: u32,
}

impl<'a> RegionAssessment<'a> {
    pub fn new(
        view: &'a ClusterView<'a>,
        plan: &'a Plan,
        region: &'a Region,
        loads: &'a PendingLoads,
        unloads: &'a PendingUnloads,
    ) -> RegionAssessment<'a> {
        let version = |version: &Name| {
            let function = function_name(&plan.order.model, version);
            let capacity = VersionCapacity::observe(view, unloads, &region.name, &function);
            RegionVersion { function, capacity }
        };
        let (outgoing, incoming) = plan.versions();
        RegionAssessment {
            view,
            plan,
            region,
            loads,
            unloads,
            outgoing: version(outgoing),
            incoming: version(incoming),
            incoming_share: plan.directed_share(region.new_share),
            floor_lanes: floor_lanes(plan, region),
        }
    }

    /// Lanes of the versions to which new work is routed.
    pub fn usable_lanes(&self) -> u32 {
        let (outgoing, incoming) = (self.outgoing.capacity.lanes, self.incoming.capacity.lanes);
        match self.incoming_share {
            0 => outgoing,
            FULL_SHARE => incoming,
            _ => outgoing + incoming,
        }
    }

    pub fn is_being_unloaded(&self, worker: &ObservedWorker, function: &Name) -> bool {
        self.unloads
            .is_pending(worker, function, self.view.settings)
    }

    /// Whether every worker with a warm copy of the outgoing version has got the maximum number of unload requests.
    pub fn unload_attempts_exhausted(&self) -> bool {
        let outgoing = &self.outgoing.function;
        self.view
            .workers_in(&self.region.name)
            .filter(|worker| worker.warm_copies_of(outgoing).is_some())
            .all(|worker| self.unloads.attempts(&worker.name, outgoing) >= MAX_UNLOAD_ATTEMPTS)
    }

    fn incoming_copy_mb(&self) -> u32 {
        self.view.copy_mb(
            &self.incoming.function,
            self.plan.order.copy_mb,
            &self.outgoing.function,
        )
    }

    /// Whether no incoming copy fits anywhere in the region, no load is in progress there, and no unload is pending.
    pub fn is_memory_full(&self) -> bool {
        let (incoming, outgoing) = (&self.incoming.function, &self.outgoing.function);
        let mb = self.incoming_copy_mb();
        let workers = || self.view.workers_in(&self.region.name);
        let in_progress = workers().any(|worker| {
            self.loads.is_pending(&worker.name, incoming)
                || self.is_being_unloaded(worker, outgoing)
                || worker.copies_of(incoming).is_some_and(|held| held.loading)
        });
        let may_fit = |worker: &ObservedWorker| {
            worker.accepts_copies
                && worker.copies_of(incoming).is_none()
                && !self.loads.is_failing(self.view.now, &worker.name)
                && (!self.view.is_fresh(worker) || worker.has_memory_for(mb))
        };
        !in_progress && !workers().any(may_fit)
    }

    /// The outgoing copy to unload to make room for an incoming one: a copy without sessions or, with
    /// `displace_sessions`, the copy with the fewest sessions.
    pub fn displaceable_copy(&self, displace_sessions: bool) -> Option<DisplaceableCopy<'a>> {
        let mb = self.incoming_copy_mb();
        let (view, region) = (self.view, self.region);
        let candidates = view
            .workers_in(&region.name)
            .filter(|worker| view.is_fresh(worker) && worker.accepts_copies)
            .filter_map(|worker| {
                let held = worker
                    .warm_copies_of(&self.outgoing.function)
                    .filter(|held| {
                        held.busy_lanes == 0 && (displace_sessions || held.sessions == 0)
                    })?;
                let retained_mb = worker.used_mb.saturating_sub(held.copies * held.copy_mb);
                let fits = worker.memory_mb.saturating_sub(retained_mb) >= mb
                    && worker.copies_of(&self.incoming.function).is_none();
                (fits && self.loads.may_load_on(view.now, &worker.name)).then_some((worker, held))
            });
        let (worker, held) = candidates
            .min_by_key(|(worker, held)| (held.sessions, held.lanes, worker.name.clone()))?;
        let lanes = held.lanes;
        Some(DisplaceableCopy { worker, lanes })
    }

    /// Whether new work has to be routed to both versions, because both do not fit and no further copy can be displaced
    /// without taking the outgoing version below the floor.
    pub fn must_split_traffic(&self) -> bool {
        let undercuts =
            |copy: DisplaceableCopy| self.outgoing.capacity.lanes < self.floor_lanes + copy.lanes;
        self.is_memory_full()
            && self.incoming.capacity.lanes > 0
            && self
                .displaceable_copy(self.region.drain_limit_passed)
                .is_some_and(undercuts)
    }

    /// Whether only sessions on outgoing copies prevent an incoming copy from being loaded.
    pub fn is_blocked_by_sessions(&self) -> bool {
        self.is_memory_full()
            && self.displaceable_copy(false).is_none()
            && self.displaceable_copy(true).is_some()
    }

    /// Lanes of the loads in flight, at `lanes_per_copy` each.
    fn loading_lanes(&self, function: &Name, lanes_per_copy: u32) -> u32 {
        let loading = self
            .view
            .workers_in(&self.region.name)
            .filter(|worker| self.loads.is_pending(&worker.name, function));
        loading.count() as u32 * lanes_per_copy
    }

    /// Lanes of the incoming version that the phase and the stage require and that are neither warm nor loading.
    pub fn missing_incoming_lanes(&self) -> u32 {
        let (plan, region) = (self.plan, self.region);
        let incoming = &self.incoming.function;
        let lanes_per_copy = self.view.lanes_per_copy(incoming, &self.outgoing.function);
        let goal = match (plan.phase, region.stage) {
            (Phase::Canary, _) if *region.name == *plan.regions[0].name => {
                plan.order.canary * lanes_per_copy
            }
            (Phase::Rolling, Stage::Loading | Stage::Draining | Stage::Done) => region.base_lanes,
            (Phase::RollingBack, Stage::Loading | Stage::Draining) => region.base_lanes,
            (_, _) if self.incoming_share == FULL_SHARE => self.floor_lanes,
            _ => 0,
        };
        let expected = self.incoming.capacity.lanes + self.loading_lanes(incoming, lanes_per_copy);
        goal.saturating_sub(expected)
    }

    /// What to load. Outgoing copies are loaded first where all new work is still routed to them and too few are left.
    /// Without this, new work would have fewer lanes than the floor after a worker has died or evicted copies.
    pub fn load_target(&self) -> LoadTarget {
        let (outgoing, incoming) = (&self.outgoing.function, &self.incoming.function);
        let lanes_per_copy = self.view.lanes_per_copy(outgoing, incoming);
        let expected = self.outgoing.capacity.lanes + self.loading_lanes(outgoing, lanes_per_copy);
        if self.incoming_share == 0 && expected < self.floor_lanes {
            return LoadTarget {
                function: outgoing.clone(),
                similar: incoming.clone(),
                missing_lanes: self.floor_lanes - expected,
            };
        }
        LoadTarget {
            function: incoming.clone(),
            similar: outgoing.clone(),
            missing_lanes: self.missing_incoming_lanes(),
        }
    }
}

//! One region of a plan, read in the plan's direction: the version that goes out and the one that comes in, their lanes,
//! the floor, and where memory can be found.

use super::loads::PendingLoads;
use super::unloads::PendingUnloads;
use crate::Name;
use crate::cluster_state::ClusterView;
use crate::observed_state::ObservedWorker;
use crate::plan::{Phase, Plan, Region, Stage, WHOLE, function_name};

/// An unload may be declined for a copy that is called by its version's name; after so many attempts it stays.
const MAX_UNLOAD_ATTEMPTS: u32 = 5;

/// The copies of one function in one region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct VersionCapacity {
    /// Lanes that are warm, observed lately, and not requested to go.
    pub lanes: u32,
    /// Copies in any state, even those requested to go.
    pub copies: u32,
    /// Workers that load one.
    pub loading: u32,
    /// Active sessions.
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
            let is_going = unloads.is_pending(worker, function, view.settings);
            if view.is_fresh(worker) && worker.accepts_copies && !is_going {
                capacity.lanes += held.lanes;
            }
        }
        capacity
    }
}

/// Lanes that have to stay available in a region.
pub(crate) fn floor_lanes(plan: &Plan, region: &Region) -> u32 {
    let floor = u64::from(region.base_lanes) * u64::from(plan.order.floor);
    let lanes = floor.div_ceil(u64::from(WHOLE)) as u32;
    // A region that had lanes keeps at least one: nothing is routed to where no copy is warm.
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
    /// The other version: its copies are taken as similar.
    pub similar: Name,
    pub missing_lanes: u32,
}

/// A copy that can make room for an incoming one.
pub(super) struct DisplaceableCopy<'a> {
    pub worker: &'a ObservedWorker,
    pub lanes: u32,
}

/// A region in the direction of the plan.
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

    /// Lanes that new work counts on.
    pub fn usable_lanes(&self) -> u32 {
        let (outgoing, incoming) = (self.outgoing.capacity.lanes, self.incoming.capacity.lanes);
        match self.incoming_share {
            0 => outgoing,
            WHOLE => incoming,
            _ => outgoing + incoming,
        }
    }

    pub fn is_being_unloaded(&self, worker: &ObservedWorker, function: &Name) -> bool {
        self.unloads
            .is_pending(worker, function, self.view.settings)
    }

    /// Every worker with a copy of the outgoing version was requested to unload it as often as is worth trying.
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

    /// No incoming copy fits anywhere in the region, and none is on its way.
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

    /// The outgoing copy to make room for an incoming one: one without sessions; with `displace_sessions`, the one with
    /// the fewest.
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

    /// Both versions do not fit, and no further copy can be displaced without taking the outgoing version below the
    /// floor: new work has to be routed to both.
    pub fn must_split_traffic(&self) -> bool {
        let undercuts =
            |copy: DisplaceableCopy| self.outgoing.capacity.lanes < self.floor_lanes + copy.lanes;
        self.is_memory_full()
            && self.incoming.capacity.lanes > 0
            && self
                .displaceable_copy(self.region.drain_limit_passed)
                .is_some_and(undercuts)
    }

    /// Nothing but sessions on outgoing copies keeps an incoming one from being loaded.
    pub fn is_blocked_by_sessions(&self) -> bool {
        self.is_memory_full()
            && self.displaceable_copy(false).is_none()
            && self.displaceable_copy(true).is_some()
    }

    /// Lanes of loads in flight, at so many a copy.
    fn loading_lanes(&self, function: &Name, lanes_per_copy: u32) -> u32 {
        let loading = self
            .view
            .workers_in(&self.region.name)
            .filter(|worker| self.loads.is_pending(&worker.name, function));
        loading.count() as u32 * lanes_per_copy
    }

    /// Lanes of the incoming version that are neither warm nor loading, by the stage.
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
            (_, _) if self.incoming_share == WHOLE => self.floor_lanes,
            _ => 0,
        };
        let expected = self.incoming.capacity.lanes + self.loading_lanes(incoming, lanes_per_copy);
        goal.saturating_sub(expected)
    }

    /// What to load. Outgoing copies come first where all new work still goes to them and too few are left. Symptom
    /// otherwise: a worker dies or evicts copies, and new work has less than the floor.
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

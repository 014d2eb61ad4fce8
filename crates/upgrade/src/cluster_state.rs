//! Members and workers as this router observes them ([`ClusterState`]), and a snapshot of them at one time
//! ([`ClusterView`]).

use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;

use crate::Name;
use crate::observed_state::ObservedWorker;
use crate::settings::PlannerSettings;

/// One member of the group.
#[derive(Clone, Debug)]
struct Member {
    is_alive: bool,
    /// When `is_alive` last changed, or when the member became known.
    changed_at: Micros,
    region: Name,
}

/// The members of the group and all known workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClusterState {
    own_index: MemberIndex,
    members: Vec<Member>,
    workers: Vec<ObservedWorker>,
}

impl ClusterState {
    pub fn set_members(
        &mut self,
        now: Micros,
        own_index: MemberIndex,
        alive: Vec<bool>,
        regions: Vec<Name>,
    ) {
        let mut regions = regions.into_iter();
        let member = |(index, is_alive): (usize, bool)| {
            let known = self.members.get(index);
            let unchanged = known.filter(|member| member.is_alive == is_alive);
            Member {
                is_alive,
                changed_at: unchanged.map_or(now, |member| member.changed_at),
                region: regions.next().unwrap_or_default(),
            }
        };
        let members = alive.into_iter().enumerate().map(member).collect();
        self.own_index = own_index;
        self.members = members;
    }

    pub fn set_workers(&mut self, workers: Vec<ObservedWorker>) {
        self.workers = workers;
    }

    /// Whether this member has the lowest index of all members considered alive, and so should lead.
    pub fn should_lead(&self) -> bool {
        let lowest = self.members.iter().position(|member| member.is_alive);
        lowest == Some(usize::from(self.own_index))
    }

    pub fn own_region(&self) -> Option<&Name> {
        let member = self.members.get(usize::from(self.own_index))?;
        Some(&member.region)
    }

    pub fn view<'a>(&'a self, now: Micros, settings: &'a PlannerSettings) -> ClusterView<'a> {
        ClusterView {
            now,
            settings,
            members: &self.members,
            workers: &self.workers,
        }
    }
}

/// A snapshot of the cluster at one time.
pub(crate) struct ClusterView<'a> {
    pub now: Micros,
    pub settings: &'a PlannerSettings,
    members: &'a [Member],
    workers: &'a [ObservedWorker],
}

impl ClusterView<'_> {
    pub fn workers(&self) -> &[ObservedWorker] {
        self.workers
    }

    pub fn workers_in<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a ObservedWorker> {
        let in_region = move |worker: &&ObservedWorker| *worker.region == *region;
        self.workers.iter().filter(in_region)
    }

    /// The regions of all workers, sorted.
    pub fn region_names(&self) -> Vec<Name> {
        let regions = self.workers.iter().map(|worker| worker.region.clone());
        let mut names: Vec<Name> = regions.collect();
        names.sort();
        names.dedup();
        names
    }

    /// Whether the observation of this worker is recent enough to rely on.
    pub fn is_fresh(&self, worker: &ObservedWorker) -> bool {
        self.now.saturating_sub(worker.observed_at) <= self.settings.observation_lifetime
    }

    pub fn all_fresh_in(&self, region: &str) -> bool {
        self.workers_in(region).all(|worker| self.is_fresh(worker))
    }

    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    pub fn members_in<'a>(&'a self, region: &'a str) -> impl Iterator<Item = usize> + 'a {
        (0..self.members.len()).filter(move |index| *self.members[*index].region == *region)
    }

    /// Whether the member has been absent for so long that it certainly routes nothing any more.
    pub fn is_gone(&self, member: usize) -> bool {
        self.members.get(member).is_some_and(|member| {
            !member.is_alive && self.now - member.changed_at >= self.settings.member_gone_after
        })
    }

    /// Whether the region has routers and none of them is considered alive.
    pub fn is_unreachable(&self, region: &str) -> bool {
        let mut members = self.members_in(region).peekable();
        members.peek().is_some() && members.all(|index| !self.members[index].is_alive)
    }

    /// Memory of one copy of `function` in MB: as observed, else as given in the order (0: not given), else as observed
    /// for `similar`; 0 if unknown.
    pub fn copy_mb(&self, function: &Name, ordered_mb: u32, similar: &Name) -> u32 {
        let observed = |function: &Name| {
            let copies = self.workers.iter();
            let copies = copies.filter_map(|worker| worker.warm_copies_of(function));
            let largest = copies.map(|held| held.copy_mb).max();
            largest.filter(|mb| *mb > 0)
        };
        let ordered = Some(ordered_mb).filter(|mb| *mb > 0);
        observed(function)
            .or(ordered)
            .or_else(|| observed(similar))
            .unwrap_or(0)
    }

    /// Lanes of one copy of `function`: as observed, else as observed for `similar`; at least 1.
    pub fn lanes_per_copy(&self, function: &Name, similar: &Name) -> u32 {
        let observed = |function: &Name| {
            let copies = self.workers.iter();
            let copies = copies.filter_map(|worker| worker.warm_copies_of(function));
            copies.map(|held| held.lanes / held.copies).max()
        };
        observed(function)
            .or_else(|| observed(similar))
            .unwrap_or(1)
            .max(1)
    }
}

//! The next step of a plan, which follows from the operator's orders, from new regions or from the plan's phase.

use super::assessment::RegionAssessment;
use super::copies::CopyController;
use super::order_file::OrderFile;
use super::wait_reason::WaitReason;
use super::{ProposedStep, RolloutContext, first_plan};
use crate::Name;
use crate::plan::{FULL_SHARE, Phase, Plan, Region, Stage};
use crate::version_comparison::ComparisonSummary;

/// Maximum number of queued orders of a model: further orders are ignored while the queue is full.
const MAX_QUEUED_ORDERS: usize = 8;

/// Decides one step. The methods change `next` and return the step's log line, or note why the plan waits.
pub(super) struct StepPlanner<'a> {
    pub context: RolloutContext<'a>,
    orders: &'a OrderFile,
    pub copies: &'a CopyController,
    pub comparison: ComparisonSummary,
    pub wait: &'a mut WaitReason,
    /// The plan after the step.
    pub next: Plan,
}

impl<'a> StepPlanner<'a> {
    pub fn new(
        context: RolloutContext<'a>,
        orders: &'a OrderFile,
        copies: &'a CopyController,
        comparison: ComparisonSummary,
        wait: &'a mut WaitReason,
    ) -> StepPlanner<'a> {
        let next = context.plan.following_step();
        StepPlanner {
            context,
            orders,
            copies,
            comparison,
            wait,
            next,
        }
    }

    /// The next step of a plan that is not settled; absent if the plan has to wait.
    pub fn next_step(mut self) -> Option<ProposedStep> {
        let log = if self.context.plan.phase.is_over() {
            self.settle()
        } else {
            self.follow_orders()
                .or_else(|| self.add_region())
                .or_else(|| self.advance_phase())
        };
        let plan = self.next;
        log.map(|log| ProposedStep { plan, log })
    }

    pub fn assess(&self, region: &'a Region) -> RegionAssessment<'a> {
        self.copies
            .assess(self.context.view, self.context.plan, region)
    }

    fn settle(&mut self) -> Option<String> {
        let step = self.context.plan.step;
        if !self.context.all_routers_follow(step, self.wait) {
            return None;
        }
        self.next.settled = true;
        Some("all routers know that the plan is over".into())
    }

    fn advance_phase(&mut self) -> Option<String> {
        match self.context.plan.phase {
            Phase::Waiting => self.start(),
            Phase::Canary => self
                .react_to_regression()
                .or_else(|| self.evaluate_canaries()),
            Phase::Rolling => self
                .react_to_regression()
                .or_else(|| self.advance_regions()),
            Phase::Paused => self.resume_or_roll_back(),
            Phase::RollingBack => self.advance_regions(),
            Phase::Done | Phase::RolledBack | Phase::Cancelled => None,
        }
    }

    /// Takes in the orders of the file. Later orders are queued. The plan is rolled back if its order was withdrawn or
    /// the next order reverses it.
    fn follow_orders(&mut self) -> Option<String> {
        let plan = self.context.plan;
        self.update_queue();
        let is_withdrawn = self.orders.is_withdrawn(plan.order.serial);
        if !plan.is_rolling_back() {
            if is_withdrawn {
                return Some(self.roll_back("the order was withdrawn".into()));
            }
            let reverses = |order: &&crate::Order| {
                (&order.from, &order.to) == (&plan.order.to, &plan.order.from)
            };
            if let Some(reverse) = self.next.queued.first().filter(reverses) {
                let serial = reverse.serial;
                self.next.queued.remove(0);
                self.next.order.serial = serial;
                return Some(self.roll_back(format!("order {serial} takes it back")));
            }
        }
        (self.next.queued != plan.queued).then(|| {
            let serials: Vec<u64> = self.next.queued.iter().map(|order| order.serial).collect();
            format!("orders {serials:?} are queued")
        })
    }

    fn update_queue(&mut self) {
        let queued = &mut self.next.queued;
        queued.retain(|order| !self.orders.is_withdrawn(order.serial));
        for order in self.orders.newer_than(self.context.plan.order.serial) {
            let is_known = queued.iter().any(|known| known.serial == order.serial);
            if queued.len() < MAX_QUEUED_ORDERS && !is_known {
                queued.push(order.clone());
            }
        }
        queued.sort_by_key(|order| order.serial);
    }

    /// Adds the region of a worker if the plan does not have it.
    fn add_region(&mut self) -> Option<String> {
        let (plan, view) = (self.context.plan, self.context.view);
        if plan.is_rolling_back() || plan.phase == Phase::Waiting {
            return None;
        }
        let mut workers = view.workers().iter();
        let worker = workers.find(|worker| plan.region(&worker.region).is_none())?;
        let name = worker.region.clone();
        let region = first_plan::new_region(view, self.copies, &plan.order, name, self.next.step);
        let log = format!("region {} is added", region.name);
        self.next.regions.push(region);
        Some(log)
    }

    /// Reverses the plan's direction. The lanes available to new work stay available: where too few lanes of the old
    /// version are left, copies are loaded first, and where its copies were no longer in use, they are renewed first.
    pub fn roll_back(&mut self, reason: String) -> String {
        let before = self.next.clone();
        let next = &mut self.next;
        next.reason = reason;
        if before.phase == Phase::Waiting {
            next.phase = Phase::Cancelled;
            return format!("cancelled before it began: {}", next.reason);
        }
        next.phase = Phase::RollingBack;
        for (region, was) in next.regions.iter_mut().zip(&before.regions) {
            let assessment = self.copies.assess(self.context.view, &before, was);
            let is_untouched = was.stage == Stage::Pending
                && was.new_share == 0
                && assessment.incoming.capacity.copies == 0;
            let old_lanes_suffice = was.new_share == 0
                || was.new_share < FULL_SHARE
                    && assessment.outgoing.capacity.lanes >= assessment.floor_lanes;
            region.drain_limit_passed = false;
            if is_untouched {
                region.stage = Stage::Done;
            } else if old_lanes_suffice {
                region.stage = Stage::Draining;
                region.new_share = 0;
                region.routing_step = before.step;
            } else {
                region.stage = Stage::Loading;
            }
        }
        format!("rolls back: {}", next.reason)
    }

    /// Advances an announced plan to its canaries.
    fn start(&mut self) -> Option<String> {
        let (plan, view) = (self.context.plan, self.context.view);
        if let Some(reason) = self.reason_not_to_start() {
            self.wait.note(reason);
            return None;
        }
        // Without this, a router that does not know the plan would route later invocations of a session to another
        // version.
        if !self.context.all_routers_follow(0, self.wait) {
            return None;
        }
        let regions = first_plan::regions(view, self.copies, &plan.order, self.next.step);
        let unversioned = Name::from(&*plan.order.model);
        let has_unversioned = |region: &Region| {
            let capacity = self.copies.capacity(view, &region.name, &unversioned);
            capacity.lanes > 0
        };
        let base_lanes: u32 = regions.iter().map(|region| region.base_lanes).sum();
        if base_lanes == 0 && regions.iter().any(has_unversioned) {
            self.wait.note(format!(
                "no copy of version '{}' stands, but copies without one do",
                plan.order.from
            ));
            return None;
        }
        self.next.regions = regions;
        self.next.phase = Phase::Canary;
        Some(format!("begins with {} canaries", plan.order.canary))
    }

    fn reason_not_to_start(&self) -> Option<String> {
        let (plan, view) = (self.context.plan, self.context.view);
        if self.context.timing.phase_age(view.now) < view.settings.announcement_time {
            return Some("it is shown before it begins".into());
        }
        let mut workers = view.workers().iter();
        if let Some(stale) = workers.find(|worker| worker.accepts_copies && !view.is_fresh(worker))
        {
            return Some(format!("worker {} was not seen for a while", stale.name));
        }
        let mut regions = plan.regions.iter();
        let unreachable = regions.find(|region| view.is_unreachable(&region.name))?;
        Some(format!("region {} is cut off", unreachable.name))
    }
}

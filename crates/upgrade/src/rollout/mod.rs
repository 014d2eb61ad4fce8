//! What a leader does for one plan. [`RolloutExecutor::next_step`] decides the next step to propose, and
//! [`RolloutExecutor::execute`] requests the loads, renewals and unloads of the last agreed step. A plan changes only
//! by steps that a majority has accepted.
//!
//! Mechanisms:
//! 1. One procedure for both directions: a rollback is an upgrade with the old and the new version exchanged.
//! 2. The lanes available to new work are those of the old version while no new work is routed to the new version,
//!    those of the new version once all new work is, and those of both in between. A leader requests no unload that
//!    would take these lanes below the floor.
//! 3. Where both versions do not fit, old copies without sessions are displaced one at a time. New work is then routed
//!    to both versions in proportion to their lanes.
//! 4. The old copies of a region are unloaded for good once all routers of the region route by a step that sends no new
//!    work to them, and no session is left or the drain limit has passed.
//! 5. A region whose routers are all unreachable is not changed.
//!
//! | module | purpose |
//! | --- | --- |
//! | `steps`, `canary`, `regions`, `first_plan` | deciding the next step of a plan |
//! | `copies` | requesting loads, renewals and unloads |
//! | `assessment` | one region in the plan's direction: lanes, floor, memory, copies that can be displaced |
//! | `loads`, `unloads`, `renewals`, `drain_monitor` | requests in flight, and when copies were last in use |
//! | `order_file`, `router_progress`, `timing`, `wait_reason` | what a step depends on besides the state of the cluster |

mod assessment;
mod canary;
mod copies;
mod drain_monitor;
mod first_plan;
mod loads;
mod order_file;
mod regions;
mod renewals;
mod router_progress;
mod steps;
mod timing;
mod unloads;
mod wait_reason;

use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;

use crate::Name;
use crate::cluster_state::ClusterView;
use crate::events::Output;
use crate::orders::Order;
use crate::plan::{Ballot, Phase, Plan, RoutingRule};
use crate::settings::PlannerSettings;
use crate::version_comparison::ComparisonSummary;
pub(crate) use assessment::{VersionCapacity, floor_lanes};
use copies::CopyController;
use order_file::OrderFile;
use router_progress::RouterProgress;
use steps::StepPlanner;
use timing::RolloutTiming;
use wait_reason::WaitReason;

/// A step to be proposed, with the log line for when it is agreed.
#[derive(Clone, Debug)]
pub(crate) struct ProposedStep {
    pub plan: Plan,
    /// Empty if the step only confirms the step before.
    pub log: String,
}

impl ProposedStep {
    /// The same plan again: extends the leader's lease and the record's retention.
    pub fn confirming(plan: &Plan) -> ProposedStep {
        ProposedStep {
            plan: plan.following_step(),
            log: String::new(),
        }
    }
}

/// The state on which the decisions about a plan depend.
struct RolloutContext<'a> {
    view: &'a ClusterView<'a>,
    ballot: Ballot,
    plan: &'a Plan,
    routers: &'a RouterProgress,
    timing: &'a RolloutTiming,
}

/// The state that a leader keeps for one model in addition to the plan. It is not replicated: a new leader starts
/// without it.
#[derive(Clone, Debug)]
pub(crate) struct RolloutExecutor {
    orders: OrderFile,
    routers: RouterProgress,
    timing: RolloutTiming,
    copies: CopyController,
    wait_reason: WaitReason,
}

impl RolloutExecutor {
    pub fn new(settings: &PlannerSettings) -> RolloutExecutor {
        RolloutExecutor {
            orders: OrderFile::default(),
            routers: RouterProgress::default(),
            timing: RolloutTiming::default(),
            copies: CopyController::new(settings),
            wait_reason: WaitReason::default(),
        }
    }

    /// Another plan has begun: clears everything but the orders and the progress of the routers.
    pub fn reset(&mut self, now: Micros, settings: &PlannerSettings) {
        self.timing = RolloutTiming::default();
        self.timing.phase_changed(now);
        self.copies = CopyController::new(settings);
        self.wait_reason.clear();
    }

    pub fn clear_orders(&mut self) {
        self.orders.clear();
    }

    pub fn add_order(&mut self, order: Order) {
        self.orders.add(order);
    }

    /// Whether there are orders that are not withdrawn and, if there is a plan, have a higher serial than its order.
    pub fn has_orders_after(&self, plan: Option<&Plan>) -> bool {
        match plan {
            None => self.orders.has_active(),
            Some(plan) => self.orders.newer_than(plan.order.serial).next().is_some(),
        }
    }

    pub fn record_router(&mut self, member: MemberIndex, rule: RoutingRule) {
        self.routers.record(member, rule);
    }

    pub fn phase_changed(&mut self, now: Micros) {
        self.timing.phase_changed(now);
    }

    pub fn region_changed(&mut self, now: Micros, region: &Name) {
        self.timing.region_changed(now, region);
    }

    /// This member leads and may act from the time `at` on.
    pub fn leading_from(&mut self, at: Micros) {
        self.timing.leading_from(at);
    }

    pub fn load_ended(
        &mut self,
        now: Micros,
        worker: &Name,
        function: &Name,
        ok: bool,
        settings: &PlannerSettings,
    ) {
        self.copies.load_ended(now, worker, function, ok, settings);
    }

    /// Takes in the observed copies of the workers.
    pub fn observe(&mut self, view: &ClusterView) {
        self.copies.observe(view);
    }

    pub fn capacity(&self, view: &ClusterView, region: &str, function: &Name) -> VersionCapacity {
        self.copies.capacity(view, region, function)
    }

    /// Why the plan does not advance at the moment; empty otherwise.
    pub fn wait_reason(&self) -> &str {
        self.wait_reason.as_str()
    }

    pub fn clear_wait_reason(&mut self) {
        self.wait_reason.clear();
    }

    /// Notes that this leader does not act yet, because the previous leader may still act.
    pub fn wait_for_earlier_leader(&mut self) {
        self.wait_reason.note("whoever led before may still act");
    }

    /// The first step of the plan for the next order; `previous` is the plan before it.
    pub fn first_step(
        &mut self,
        view: &ClusterView,
        previous: Option<&Plan>,
    ) -> Option<ProposedStep> {
        match first_plan::first_plan(view, &self.orders, &self.copies, previous) {
            Ok(step) => step,
            Err(reason) => {
                self.wait_reason.note(reason);
                None
            }
        }
    }

    /// The next step of a plan, or the first step of the plan after it; absent if the plan has to wait.
    pub fn next_step(
        &mut self,
        view: &ClusterView,
        ballot: Ballot,
        plan: &Plan,
        comparison: ComparisonSummary,
    ) -> Option<ProposedStep> {
        if plan.phase.is_over() && plan.settled {
            return self.first_step(view, Some(plan));
        }
        let context = RolloutContext {
            view,
            ballot,
            plan,
            routers: &self.routers,
            timing: &self.timing,
        };
        StepPlanner::new(
            context,
            &self.orders,
            &self.copies,
            comparison,
            &mut self.wait_reason,
        )
        .next_step()
    }

    /// Requests the loads, renewals and unloads that the plan needs now.
    pub fn execute(
        &mut self,
        view: &ClusterView,
        ballot: Ballot,
        plan: &Plan,
        out: &mut Vec<Output>,
    ) {
        if plan.phase == Phase::Waiting || plan.phase.is_over() {
            return;
        }
        let context = RolloutContext {
            view,
            ballot,
            plan,
            routers: &self.routers,
            timing: &self.timing,
        };
        // The cause (a copy cannot be loaded) takes precedence over its effect (the next step cannot be taken).
        let step_reason = self.wait_reason.take();
        self.copies.execute(&context, &mut self.wait_reason, out);
        self.wait_reason.note(step_reason);
    }
}

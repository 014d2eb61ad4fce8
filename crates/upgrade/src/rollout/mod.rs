//! What a leader does about one plan: the next step that it wants agreed ([`RolloutExecutor::next_step`]), and the loads,
//! renewals and unloads by the last step that was ([`RolloutExecutor::execute`]). Nothing here changes a plan but by a
//! step that goes to the majority first.
//!
//! Mechanisms:
//! 1. One rule for both directions: rolling back is the same work with the old and the new version exchanged.
//! 2. New work counts on the lanes of the old version while none is routed to the new one, of the new version once all
//!    is, and of both in between. No unload is requested that would take these lanes below the floor.
//! 3. Where both versions do not fit, old copies without sessions are displaced one at a time; then new work is routed to
//!    both versions in proportion to their lanes.
//! 4. Old copies of a region are unloaded for good once all its routers route by a step that sends nothing there, and no
//!    session is left or the drain limit has passed.
//! 5. A region whose routers are all unreachable is left as it is.
//!
//! | module | job |
//! | --- | --- |
//! | `steps`, `canary`, `regions`, `first_plan` | deciding the next step of a plan |
//! | `copies` | requesting loads, renewals and unloads |
//! | `assessment` | one region as the plan's direction has it: lanes, floor, memory, copies that can be displaced |
//! | `loads`, `unloads`, `renewals`, `drain_monitor` | what was requested and is not yet observed |
//! | `order_file`, `router_progress`, `timing`, `wait_reason` | what a step depends on beside the cluster |

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
    /// Empty: the step only confirms the one before.
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

/// What the decisions about a plan depend on.
struct RolloutContext<'a> {
    view: &'a ClusterView<'a>,
    ballot: Ballot,
    plan: &'a Plan,
    routers: &'a RouterProgress,
    timing: &'a RolloutTiming,
}

/// What a leader retains of one model beside the plan; all of it can be lost.
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

    /// Another plan has begun: only the orders and the progress of the routers remain.
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

    /// There are orders that are not withdrawn and come after the plan, if there is one.
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

    /// This member leads and may act from then on.
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

    /// Takes in what the workers were observed to hold.
    pub fn observe(&mut self, view: &ClusterView) {
        self.copies.observe(view);
    }

    pub fn capacity(&self, view: &ClusterView, region: &str, function: &Name) -> VersionCapacity {
        self.copies.capacity(view, region, function)
    }

    /// Why nothing happens at the moment; empty otherwise.
    pub fn wait_reason(&self) -> &str {
        self.wait_reason.as_str()
    }

    pub fn clear_wait_reason(&mut self) {
        self.wait_reason.clear();
    }

    /// The leader before may still act, so nothing is done.
    pub fn wait_for_earlier_leader(&mut self) {
        self.wait_reason.note("whoever led before may still act");
    }

    /// The first step of the next order, after the plan before it if there was one.
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
        // The cause (a copy that cannot be loaded) takes precedence over its effect (a step that cannot be taken).
        let step_reason = self.wait_reason.take();
        self.copies.execute(&context, &mut self.wait_reason, out);
        self.wait_reason.note(step_reason);
    }
}

//! The part that this router takes in the upgrade of one model: it routes by the latest plan, and advances the plan
//! while it leads.

use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;

use crate::Name;
use crate::cluster_state::ClusterView;
use crate::events::{Outcome, Output};
use crate::leadership::Leadership;
use crate::orders::Order;
use crate::plan::{Ballot, Phase, Plan, Region, RoutingRule, function_name, plan_key};
use crate::rollout::{ProposedStep, RolloutExecutor, floor_lanes};
use crate::settings::PlannerSettings;
use crate::status::{PlanStatus, RegionStatus};
use crate::version_comparison::{VersionComparison, VersionCounters};

/// Minimum time between two log lines about why a plan waits, however often the reason changes.
const WAIT_LOG_INTERVAL: Micros = 10_000_000;
/// Time after which leadership is requested again for a model whose record was written by another release.
const FOREIGN_RECORD_RETRY: Micros = 60_000_000;

/// The last logged wait reason.
#[derive(Clone, Debug)]
struct WaitLog {
    reason: String,
    at: Micros,
}

/// The upgrade of one model.
#[derive(Clone, Debug)]
pub(crate) struct ModelUpgrade {
    /// The ballot of the latest plan.
    ballot: Ballot,
    plan: Option<Plan>,
    plan_received_at: Micros,
    leadership: Leadership,
    executor: RolloutExecutor,
    comparison: VersionComparison,
    wait_log: WaitLog,
}

impl ModelUpgrade {
    pub fn new(now: Micros, settings: &PlannerSettings) -> ModelUpgrade {
        ModelUpgrade {
            ballot: Ballot::default(),
            plan: None,
            plan_received_at: now,
            leadership: Leadership::new(now),
            executor: RolloutExecutor::new(settings),
            comparison: VersionComparison::default(),
            wait_log: WaitLog {
                reason: String::new(),
                at: Micros::MIN,
            },
        }
    }

    pub fn plan(&self) -> Option<&Plan> {
        self.plan.as_ref()
    }

    /// The term of the latest plan's leader.
    pub fn term(&self) -> Name {
        self.ballot.term()
    }

    /// The step by which this router routes; absent without a plan.
    pub fn routing_rule(&self) -> Option<RoutingRule> {
        let step = self.plan.as_ref()?.step;
        let ballot = self.ballot;
        Some(RoutingRule { ballot, step })
    }

    pub fn clear_orders(&mut self) {
        self.executor.clear_orders();
    }

    pub fn add_order(&mut self, order: Order) {
        self.executor.add_order(order);
    }

    /// Takes in the counters of a member for both versions, and the step by which it routes.
    pub fn member_reported(
        &mut self,
        member: MemberIndex,
        rule: RoutingRule,
        counts: Vec<VersionCounters>,
    ) {
        self.executor.record_router(member, rule);
        let order = self.plan.as_ref().map(|plan| &plan.order);
        let (old, new) = order.map_or(("", ""), |order| (&*order.from, &*order.to));
        self.comparison.record(member, counts, old, new);
    }

    pub fn load_ended(
        &mut self,
        now: Micros,
        worker: &Name,
        function: &Name,
        ok: bool,
        settings: &PlannerSettings,
    ) {
        self.executor
            .load_ended(now, worker, function, ok, settings);
    }

    /// Takes in a plan that a majority accepted, unless a later one is known.
    pub fn plan_received(
        &mut self,
        now: Micros,
        ballot: Ballot,
        plan: Plan,
        settings: &PlannerSettings,
    ) {
        let known = self.plan.as_ref().map(|known| (self.ballot, known.step));
        if known.is_some_and(|known| known >= (ballot, plan.step)) {
            return;
        }
        let before = self.plan.replace(plan.clone());
        (self.ballot, self.plan_received_at) = (ballot, now);
        let before = before.filter(|before| {
            before.order.model == plan.order.model
                && (before.order.serial == plan.order.serial || plan.is_rolling_back())
        });
        match &before {
            None => {
                self.comparison.restart();
                self.executor.reset(now, settings);
            }
            Some(before) if before.phase != plan.phase => {
                self.executor.phase_changed(now);
                if [before.phase, plan.phase].contains(&Phase::Paused)
                    || before.phase == Phase::Waiting
                {
                    self.comparison.restart();
                }
            }
            Some(_) => {}
        }
        let progress = |region: &Region| (region.stage, region.new_share > 0);
        for region in &plan.regions {
            let was = before.as_ref().and_then(|plan| plan.region(&region.name));
            if was.is_none_or(|was| progress(was) != progress(region)) {
                self.executor.region_changed(now, &region.name);
            }
        }
    }

    /// Whether a member has to lead: a plan has to begin or is in progress, or its record has to be refreshed.
    pub fn has_work(&self, now: Micros, settings: &PlannerSettings) -> bool {
        match &self.plan {
            None => self.executor.has_orders_after(None),
            Some(plan) if plan.phase.is_over() => {
                !plan.settled
                    || !plan.queued.is_empty()
                    || self.executor.has_orders_after(Some(plan))
                    || self.is_refresh_due(now, settings)
            }
            Some(_) => true,
        }
    }

    fn is_refresh_due(&self, now: Micros, settings: &PlannerSettings) -> bool {
        now - self.plan_received_at >= settings.record_refresh_interval
    }

    /// When the record has to be refreshed; absent without a plan.
    pub fn refresh_at(&self, settings: &PlannerSettings) -> Option<Micros> {
        self.plan.as_ref()?;
        Some(
            self.plan_received_at
                .saturating_add(settings.record_refresh_interval),
        )
    }

    /// Whether this member leads, has requested leadership, or has a reason to request it.
    pub fn is_active(&self, now: Micros, settings: &PlannerSettings) -> bool {
        self.has_work(now, settings) || !self.leadership.is_follower()
    }

    /// Takes in a majority's answer.
    pub fn decided(
        &mut self,
        now: Micros,
        outcome: Outcome,
        settings: &PlannerSettings,
        out: &mut Vec<Output>,
    ) {
        match outcome {
            Outcome::Leads { ballot, last } if self.leadership.is_candidate() => {
                let agreed = match last.as_deref().map(Plan::decode) {
                    Some(None) => {
                        out.push(Output::Log(
                            "the plan record was written by another release and is left unchanged"
                                .into(),
                        ));
                        let retry_at = now.saturating_add(FOREIGN_RECORD_RETRY);
                        return self.leadership.step_down(retry_at);
                    }
                    last => last.flatten(),
                };
                let acts_from = self.leadership.granted(now, ballot, agreed, settings);
                self.executor.leading_from(acts_from);
            }
            Outcome::Leads { .. } => {}
            Outcome::Written { ballot } => {
                let Some(step) = self.leadership.agreed(ballot) else {
                    return;
                };
                if !step.log.is_empty() {
                    out.push(Output::Log(format!(
                        "step {}: {}",
                        step.plan.step, step.log
                    )));
                }
                self.plan_received(now, ballot, step.plan, settings);
            }
            Outcome::Overtaken | Outcome::NoMajority => self.leadership.back_off(now, settings),
        }
    }

    /// Does what is due: requests leadership, proposes a step, or requests the loads and unloads of the last agreed
    /// step.
    pub fn update(
        &mut self,
        model: &Name,
        view: &ClusterView,
        should_lead: bool,
        out: &mut Vec<Output>,
    ) {
        if should_lead {
            let has_work = self.has_work(view.now, view.settings);
            if self
                .leadership
                .update(view.now, self.ballot, has_work, view.settings)
            {
                out.push(Output::RequestLeadership {
                    key: plan_key(model),
                });
            }
            self.lead(model, view, out);
        } else {
            if !self.leadership.is_follower() {
                self.leadership.step_down(view.now);
            }
            self.executor.clear_wait_reason();
        }
        self.log_wait_reason(model, view.now, out);
    }

    fn lead(&mut self, model: &Name, view: &ClusterView, out: &mut Vec<Output>) {
        let (now, settings) = (view.now, view.settings);
        let is_refresh_due = self.is_refresh_due(now, settings);
        let Some(term) = self.leadership.term_mut() else {
            return;
        };
        if term.has_proposal() {
            return;
        }
        self.executor.observe(view);
        let Some(plan) = term.agreed_plan() else {
            if let Some(step) = self.executor.first_step(view, None) {
                term.propose(now, model, step, out);
            }
            return;
        };
        let lease_left = term.lease_left(now, settings);
        let needs_lease = !plan.settled && (!plan.phase.is_over() || !term.is_confirmed());
        if lease_left <= 0 && needs_lease {
            return term.propose(now, model, ProposedStep::confirming(&plan), out);
        }
        self.executor.clear_wait_reason();
        if !term.may_act(now) {
            self.executor.wait_for_earlier_leader();
        } else {
            let comparison = self.comparison.summary();
            let ballot = term.ballot();
            let next = self.executor.next_step(view, ballot, &plan, comparison);
            if let Some(step) = next {
                return term.propose(now, model, step, out);
            }
            self.executor.execute(view, ballot, &plan, out);
        }
        let is_due = if plan.phase.is_over() {
            is_refresh_due
        } else {
            lease_left <= settings.lease / 2
        };
        if is_due {
            term.propose(now, model, ProposedStep::confirming(&plan), out);
        }
    }

    fn log_wait_reason(&mut self, model: &Name, now: Micros, out: &mut Vec<Output>) {
        let reason = self.executor.wait_reason();
        let is_due = now.saturating_sub(self.wait_log.at) >= WAIT_LOG_INTERVAL;
        if reason == self.wait_log.reason || !is_due {
            return;
        }
        self.wait_log = WaitLog {
            reason: reason.to_owned(),
            at: now,
        };
        if !reason.is_empty() {
            out.push(Output::Log(format!("{model} waits: {reason}")));
        }
    }

    /// The state shown to an operator; absent without a plan.
    pub fn status(&self, model: &Name, view: &ClusterView) -> Option<PlanStatus> {
        let plan = self.plan.as_ref()?;
        let order = &plan.order;
        let is_leader = self.leadership.is_leader();
        let wait_reason = if is_leader || plan.phase.is_over() {
            self.executor.wait_reason().to_owned()
        } else {
            "another member leads".into()
        };
        let regions = plan.regions.iter();
        Some(PlanStatus {
            model: model.clone(),
            from: order.from.clone(),
            to: order.to.clone(),
            serial: order.serial,
            step: plan.step,
            phase: plan.phase,
            is_leader,
            term: Some(self.term()),
            regions: regions
                .map(|region| self.region_status(model, plan, region, view))
                .collect(),
            wait_reason,
            next_action: plan.next_action(),
            reason: plan.reason.clone(),
            queued_serials: plan.queued.iter().map(|order| order.serial).collect(),
        })
    }

    fn region_status(
        &self,
        model: &Name,
        plan: &Plan,
        region: &Region,
        view: &ClusterView,
    ) -> RegionStatus {
        let capacity = |version: &Name| {
            self.executor
                .capacity(view, &region.name, &function_name(model, version))
        };
        let old = capacity(&plan.order.from);
        RegionStatus {
            region: region.name.clone(),
            stage: region.stage,
            new_share: region.new_share,
            old_lanes: old.lanes,
            new_lanes: capacity(&plan.order.to).lanes,
            floor_lanes: floor_lanes(plan, region),
            old_sessions: old.sessions,
            drain_limit_passed: region.drain_limit_passed,
        }
    }
}

//! Each router has one [`Planner`]. [`Planner::handle`] takes events, [`Planner::next_due`] returns when
//! [`Input::Tick`] is due, and further methods tell the router where to route new work and which sessions have ended.

use std::collections::BTreeMap;

use cedarpulley::interface::Micros;

use crate::Name;
use crate::cluster_state::ClusterState;
use crate::events::{Input, Output};
use crate::model_upgrade::ModelUpgrade;
use crate::orders::Order;
use crate::plan::{Plan, RoutingRule, function_name, model_of_key};
use crate::settings::PlannerSettings;
use crate::status::PlanStatus;

/// Maximum number of models with an order or a plan: each of them costs one round to a majority per lease.
const MAX_MODELS: usize = 256;

/// The destination of new work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteChoice {
    /// The function to invoke.
    pub function: Name,
    /// The version of that function.
    pub version: Name,
}

/// Copies that a plan needs: they must not be unloaded as orphans.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The function of the copies.
    pub function: Name,
    /// The term of the plan's leader, as in its requests; absent while no member leads yet.
    pub term: Option<Name>,
}

/// The part that one router takes in the upgrades of all models.
#[derive(Clone, Debug)]
pub struct Planner {
    settings: PlannerSettings,
    cluster: ClusterState,
    models: BTreeMap<Name, ModelUpgrade>,
    /// The time of the last event.
    now: Micros,
}

impl Planner {
    /// A planner that knows no worker and no plan yet.
    pub fn new(settings: PlannerSettings) -> Planner {
        Planner {
            settings,
            cluster: ClusterState::default(),
            models: BTreeMap::new(),
            now: Micros::MIN,
        }
    }

    /// Handles an event and does what is due; `now` is in microseconds.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Orders(orders) => self.set_orders(now, orders),
            Input::Members {
                own_index,
                alive,
                regions,
            } => {
                self.cluster.set_members(now, own_index, alive, regions);
            }
            Input::Workers(workers) => self.cluster.set_workers(workers),
            Input::MemberReported {
                member,
                model,
                rule,
                counts,
            } => {
                if let Some(upgrade) = self.upgrade_of(now, &model) {
                    upgrade.member_reported(member, rule, counts);
                }
            }
            Input::Decided { key, outcome } => {
                let upgrade = model_of_key(&key).and_then(|model| self.models.get_mut(model));
                if let Some(upgrade) = upgrade {
                    upgrade.decided(now, outcome, &self.settings, out);
                }
            }
            Input::PlanReceived {
                model,
                ballot,
                bytes,
            } => {
                let settings = self.settings.clone();
                if let Some(plan) = Plan::decode(&bytes)
                    && let Some(upgrade) = self.upgrade_of(now, &model)
                {
                    upgrade.plan_received(now, ballot, plan, &settings);
                }
            }
            Input::LoadEnded {
                worker,
                function,
                ok,
            } => {
                for upgrade in self.models.values_mut() {
                    upgrade.load_ended(now, &worker, &function, ok, &self.settings);
                }
            }
            Input::Tick => {}
        }
        self.update(now, out);
    }

    /// The upgrade of a model, created if it is not known; absent if there are too many.
    fn upgrade_of(&mut self, now: Micros, model: &Name) -> Option<&mut ModelUpgrade> {
        if self.models.len() >= MAX_MODELS && !self.models.contains_key(model) {
            return None;
        }
        let upgrade = self.models.entry(model.clone());
        Some(upgrade.or_insert_with(|| ModelUpgrade::new(now, &self.settings)))
    }

    fn set_orders(&mut self, now: Micros, orders: Vec<Order>) {
        self.models
            .values_mut()
            .for_each(ModelUpgrade::clear_orders);
        for order in orders {
            if let Some(upgrade) = self.upgrade_of(now, &order.model) {
                upgrade.add_order(order);
            }
        }
    }

    fn update(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.now = now;
        let view = self.cluster.view(now, &self.settings);
        let should_lead = self.cluster.should_lead();
        for (model, upgrade) in &mut self.models {
            upgrade.update(model, &view, should_lead, out);
        }
    }

    /// When [`Input::Tick`] is due, in microseconds; the maximum if it is not needed.
    pub fn next_due(&self) -> Micros {
        if !self.cluster.should_lead() {
            return Micros::MAX;
        }
        let is_active = |upgrade: &ModelUpgrade| upgrade.is_active(self.now, &self.settings);
        if self.models.values().any(is_active) {
            return self.now.saturating_add(self.settings.evaluation_interval);
        }
        let upgrades = self.models.values();
        let refreshes = upgrades.filter_map(|upgrade| upgrade.refresh_at(&self.settings));
        refreshes.min().unwrap_or(Micros::MAX)
    }

    /// The settings with which the planner was created.
    pub fn settings(&self) -> &PlannerSettings {
        &self.settings
    }

    fn plan(&self, model: &str) -> Option<&Plan> {
        self.models.get(model)?.plan()
    }

    /// The models with a plan known here; requests for other models are not changed.
    pub fn models(&self) -> impl Iterator<Item = &Name> {
        let planned = self
            .models
            .iter()
            .filter(|(_, upgrade)| upgrade.plan().is_some());
        planned.map(|(model, _)| model)
    }

    /// The step by which this router routes, for [`Input::MemberReported`].
    pub fn routing_rule(&self, model: &str) -> RoutingRule {
        let upgrade = self.models.get(model);
        upgrade
            .and_then(ModelUpgrade::routing_rule)
            .unwrap_or_default()
    }

    /// The destination of new work that names no version; absent if there is no plan and the work is not changed.
    /// `draw` is a random number from the whole range.
    pub fn route(
        &self,
        model: &str,
        region: &str,
        draw: u64,
        session: bool,
    ) -> Option<RouteChoice> {
        let version = self.plan(model)?.version_for(region, draw, session);
        Some(RouteChoice {
            function: function_name(model, version),
            version: version.clone(),
        })
    }

    /// Whether a majority has to bind a session to a version before its first dispatch from here. Once all routers know
    /// that a plan is over, only a session that does not begin with this invocation needs a binding: it may have begun
    /// while the plan was in progress.
    pub fn needs_binding(&self, model: &str, begins: bool) -> bool {
        self.plan(model)
            .is_some_and(|plan| !plan.settled || !begins)
    }

    /// The version to propose for a session. A session that does not begin with this invocation and has no record
    /// existed before the plan, so it is bound to the old version while the plan is in progress.
    pub fn version_to_propose(
        &self,
        model: &str,
        region: &str,
        draw: u64,
        begins: bool,
    ) -> Option<Name> {
        let plan = self.plan(model)?;
        let version = if begins || plan.phase.is_over() {
            plan.version_for(region, draw, true)
        } else {
            &plan.order.from
        };
        Some(version.clone())
    }

    /// Whether copies of this version are unloaded in this member's region even if sessions use them.
    pub fn copies_evicted(&self, model: &str, version: &str) -> bool {
        let Some(plan) = self.plan(model) else {
            return false;
        };
        let region = self.cluster.own_region();
        let region = region.and_then(|region| plan.region(region));
        plan.is_out_of_service(version)
            || plan.is_outgoing(version) && region.is_some_and(|region| region.is_evicting())
    }

    /// Whether sessions of this version are answered that they are over, because no region retains copies for them any
    /// more. All regions count, because routers consume from one queue and dispatch to all regions. Without this, a
    /// session that had just begun in a region where the version was still in service would end when a router or a
    /// worker of a region past its drain limit got one of its requests.
    pub fn sessions_ended(&self, model: &str, version: &str) -> bool {
        let Some(plan) = self.plan(model) else {
            return false;
        };
        plan.is_out_of_service(version)
            || plan.is_outgoing(version)
                && plan
                    .regions
                    .iter()
                    .all(|region| region.has_released_outgoing())
    }

    /// The copies that must not be unloaded as orphans, for all plans.
    pub fn claims(&self) -> Vec<Claim> {
        let mut claims = Vec::new();
        for (model, upgrade) in &self.models {
            let Some(plan) = upgrade.plan() else { continue };
            let (outgoing, incoming) = plan.versions();
            let outgoing = Some(outgoing).filter(|_| !plan.phase.is_over());
            claims.extend([incoming].into_iter().chain(outgoing).map(|version| Claim {
                function: function_name(model, version),
                term: Some(upgrade.term()),
            }));
        }
        claims
    }

    /// All plans, for `GET /state`.
    pub fn status(&self) -> Vec<PlanStatus> {
        let view = self.cluster.view(self.now, &self.settings);
        self.models
            .iter()
            .filter_map(|(model, upgrade)| upgrade.status(model, &view))
            .collect()
    }
}

//! One [`Planner`] for each router: events come in at [`Planner::handle`], [`Planner::next_due`] says when
//! [`Input::Tick`] is wanted, and the router asks where to route new work and which sessions have ended.

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

/// Models with an order or a plan; each costs a majority's round for every lease.
const MAX_MODELS: usize = 256;

/// Where new work is routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteChoice {
    /// The function to invoke.
    pub function: Name,
    /// The version that it is.
    pub version: Name,
}

/// Copies that a plan needs: nobody may unload them as forgotten.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The function of the copies.
    pub function: Name,
    /// The term of the plan's leader, as its requests have it; absent where nobody leads yet.
    pub term: Option<Name>,
}

/// The upgrades of all models, as one router takes part in them.
#[derive(Clone, Debug)]
pub struct Planner {
    settings: PlannerSettings,
    cluster: ClusterState,
    models: BTreeMap<Name, ModelUpgrade>,
    /// The time of the last event.
    now: Micros,
}

impl Planner {
    /// A planner that knows of no worker and no plan.
    pub fn new(settings: PlannerSettings) -> Planner {
        Planner {
            settings,
            cluster: ClusterState::default(),
            models: BTreeMap::new(),
            now: Micros::MIN,
        }
    }

    /// Takes in an event, and does what is due.
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

    /// The upgrade of a model, begun if it is not known; nothing if there are too many.
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

    /// When [`Input::Tick`] is wanted.
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

    /// The settings it was made with.
    pub fn settings(&self) -> &PlannerSettings {
        &self.settings
    }

    fn plan(&self, model: &str) -> Option<&Plan> {
        self.models.get(model)?.plan()
    }

    /// Models with a plan here; requests for other ones are left unchanged.
    pub fn models(&self) -> impl Iterator<Item = &Name> {
        let planned = self.models.iter().filter(|(_, up)| up.plan().is_some());
        planned.map(|(model, _)| model)
    }

    /// By which step this router routes, for [`Input::Counted`].
    pub fn routing_rule(&self, model: &str) -> RoutingRule {
        let upgrade = self.models.get(model);
        upgrade
            .and_then(ModelUpgrade::routing_rule)
            .unwrap_or_default()
    }

    /// Where new work that names no version is routed; absent: there is no plan, it is left unchanged. `draw`: a random
    /// number of the whole range.
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

    /// A majority has to bind a session to a version before its first dispatch from here. Once all routers know that a
    /// plan is over, only sessions that do not begin need it: they may have begun while the plan was under way.
    pub fn needs_binding(&self, model: &str, begins: bool) -> bool {
        self.plan(model)
            .is_some_and(|plan| !plan.settled || !begins)
    }

    /// The version to propose for a session: one that does not begin and has no record was there before the plan.
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

    /// Copies of this version are unloaded in this member's region, whoever uses them.
    pub fn copies_evicted(&self, model: &str, version: &str) -> bool {
        let Some(plan) = self.plan(model) else {
            return false;
        };
        let region = self.cluster.own_region();
        let region = region.and_then(|region| plan.region(region));
        plan.is_out_of_service(version)
            || plan.is_outgoing(version) && region.is_some_and(|region| region.is_evicting())
    }

    /// Sessions of this version are answered that they are over, as no region keeps copies for them any more. Symptom
    /// otherwise: routers take from one queue and dispatch to all regions; sessions that had begun a moment ago where the
    /// version was still in service ended when a router of a region past its limit got a request, or a worker there.
    pub fn sessions_ended(&self, model: &str, version: &str) -> bool {
        let Some(plan) = self.plan(model) else {
            return false;
        };
        plan.is_out_of_service(version)
            || plan.is_outgoing(version) && plan.regions.iter().all(|region| region.has_let_go())
    }

    /// Copies that nobody may unload as forgotten.
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

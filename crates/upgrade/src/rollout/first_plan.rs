//! The first step of a plan, which announces an order before it is carried out.

use super::ProposedStep;
use super::copies::CopyController;
use super::order_file::OrderFile;
use crate::Name;
use crate::cluster_state::ClusterView;
use crate::orders::Order;
use crate::plan::{Ballot, Phase, Plan, Region, Stage, function_name};

/// The plan for the next order; absent if there is none. The error is the reason why the order has to wait.
pub(super) fn first_plan(
    view: &ClusterView,
    orders: &OrderFile,
    copies: &CopyController,
    previous: Option<&Plan>,
) -> Result<Option<ProposedStep>, String> {
    let Some(order) = orders.following(previous) else {
        return Ok(None);
    };
    let in_service = previous.map(Plan::version_in_service);
    if let Some(version) = in_service.filter(|version| **version != order.from) {
        let version = if version.is_empty() {
            "copies without a version"
        } else {
            version
        };
        return Err(format!(
            "order {} is from '{}', but what begins goes to {version}",
            order.serial, order.from
        ));
    }
    let step = previous.map_or(1, |plan| plan.step + 1);
    let regions = regions(view, copies, &order, step);
    if regions.is_empty() {
        return Err("no worker is known".into());
    }
    let queued = previous.map(|plan| &plan.queued[..]).unwrap_or_default();
    let queued = queued
        .iter()
        .filter(|queued| queued.serial > order.serial)
        .cloned()
        .collect();
    let log = format!("order {} is accepted", order.serial);
    let plan = Plan {
        step,
        proposed_by: Ballot::default(),
        order,
        phase: Phase::Waiting,
        regions,
        queued,
        reason: String::new(),
        settled: false,
    };
    Ok(Some(ProposedStep { plan, log }))
}

/// All regions with workers, in their initial state.
pub(super) fn regions(
    view: &ClusterView,
    copies: &CopyController,
    order: &Order,
    step: u64,
) -> Vec<Region> {
    let names = view.region_names().into_iter();
    names
        .map(|name| new_region(view, copies, order, name, step))
        .collect()
}

/// A region in its initial state.
pub(super) fn new_region(
    view: &ClusterView,
    copies: &CopyController,
    order: &Order,
    name: Name,
    step: u64,
) -> Region {
    let old_function = function_name(&order.model, &order.from);
    Region {
        base_lanes: copies.capacity(view, &name, &old_function).lanes,
        name,
        new_share: 0,
        stage: Stage::Pending,
        drain_limit_passed: false,
        routing_step: step,
    }
}

//! An order line and a plan that tests modify.

use cedarpulley_upgrade::*;

/// A valid order.
pub fn order_line() -> OrderLine {
    OrderLine {
        model: "m".into(),
        from: "1".into(),
        to: "2".into(),
        serial: 7,
        canary: 1,
        canary_part: 0.05,
        floor: 0.8,
        drain_limit_ms: 1000,
        copy_mb: 0,
        withdrawn: false,
    }
}

/// A plan that is rolling, with two regions in stage `Loading`.
pub fn plan(step: u64) -> Plan {
    let order = Order::try_from(order_line()).expect("the order is valid");
    let region = |name: &str, new_share| Region {
        name: name.into(),
        base_lanes: 4,
        new_share,
        stage: Stage::Loading,
        drain_limit_passed: false,
        routing_step: step,
    };
    let (phase, regions) = (Phase::Rolling, vec![region("a", 300), region("b", 0)]);
    Plan {
        step,
        proposed_by: Ballot::default(),
        order,
        phase,
        regions,
        queued: Vec::new(),
        reason: String::new(),
        settled: false,
    }
}

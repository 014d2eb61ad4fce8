//! Checks of orders, encoding of plans, and routing by plans.

mod plans;

use cedarpulley_upgrade::orders::parse_orders;
use cedarpulley_upgrade::*;
use plans::{order_line, plan};

#[test]
fn an_invalid_order_is_rejected_with_its_error() {
    let result_of = |change: fn(&mut OrderLine)| {
        let mut line = order_line();
        change(&mut line);
        parse_orders(vec![line]).map(|orders| orders.len())
    };
    assert_eq!(result_of(|_| ()), Ok(1));
    assert_eq!(result_of(|line| line.from.clear()), Ok(1));
    assert_eq!(
        result_of(|line| line.model.clear()),
        Err(OrderError::ModelName(7))
    );
    assert_eq!(
        result_of(|line| line.to = "2/3".into()),
        Err(OrderError::VersionName(7))
    );
    assert_eq!(
        result_of(|line| line.to.clear()),
        Err(OrderError::VersionName(7))
    );
    assert_eq!(
        result_of(|line| line.to = "1".into()),
        Err(OrderError::SameVersion(7))
    );
    assert_eq!(
        result_of(|line| line.canary = 0),
        Err(OrderError::CanaryCount(7))
    );
    assert_eq!(
        result_of(|line| line.floor = f64::NAN),
        Err(OrderError::Share(7))
    );
    assert_eq!(
        result_of(|line| line.drain_limit_ms = u64::MAX),
        Err(OrderError::DrainLimit(7))
    );
    assert_eq!(
        parse_orders(vec![order_line(), order_line()]),
        Err(OrderError::DuplicateSerial("m".into(), 7))
    );
    assert_eq!(
        parse_orders(vec![order_line(); 257]),
        Err(OrderError::TooManyOrders)
    );
}

#[test]
fn plans_are_decoded_as_encoded_and_later_steps_are_greater_bytes() {
    for step in [1, 255, 256, 1 << 40] {
        assert_eq!(Plan::decode(&plan(step).encode()), Some(plan(step)));
        assert!(plan(step).encode() < plan(step + 1).encode());
    }
    let mut foreign = plan(3).encode().to_vec();
    foreign[7] = 4;
    assert_eq!(Plan::decode(&foreign), None);
}

#[test]
fn new_work_follows_the_share_and_sessions_prefer_copies_that_stay_twice_as_often() {
    let routed_to_new = |p: &Plan, session| {
        (0..1000)
            .filter(|draw| &**p.version_for("a", *draw, session) == "2")
            .count()
    };
    let mut p = plan(1);
    assert_eq!(
        (routed_to_new(&p, false), routed_to_new(&p, true)),
        (300, 600)
    );
    p.phase = Phase::RollingBack;
    // In a rollback the old version is the incoming one. Twice its share of 700 is more than 1000, so it gets all
    // sessions.
    assert_eq!(
        (routed_to_new(&p, false), routed_to_new(&p, true)),
        (300, 0)
    );
    assert_eq!(&**p.version_for("b", 0, false), "1");
    assert_eq!(&**p.version_for("elsewhere", 0, false), "1");
    p.phase = Phase::Done;
    assert_eq!(&**p.version_for("elsewhere", 999, false), "2");
}

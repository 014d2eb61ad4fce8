//! Sessions of a scenario: what their clients send.

use std::collections::BTreeMap;

use cedarpulley_test_cluster::scenario::{self, Scenario};
use cedarpulley_test_cluster::traffic::arrivals;

fn scenario(sessions: f64) -> Scenario {
    let text = include_str!("../../../days/regions.toml");
    let mut scenario = scenario::parse("regions.toml", text).expect("a day");
    let t = &mut scenario.triggers[0];
    (t.sessions, t.turns, t.pause_ms) = (sessions, 5, 400);
    scenario
}

#[test]
fn a_session_starts_once_keeps_its_function_and_ends_with_its_last_turn() {
    let (with, without) = (arrivals(&scenario(0.6)), arrivals(&scenario(0.0)));
    assert!(without.iter().all(|a| a.turn.is_none()));
    let of = |kind: &str| {
        with.iter()
            .filter(|a| a.trigger_type == kind && a.turn.is_some())
            .count()
    };
    let (some, all) = (
        of("resize"),
        with.iter().filter(|a| a.trigger_type == "resize").count(),
    );
    assert!(
        of("quote") == 0 && (2 * all..5 * all).contains(&(some * 5)),
        "{some} of {all}"
    );
    // About as many in all as without sessions.
    assert!(
        (without.len() * 3 / 4..without.len() * 5 / 4).contains(&with.len()),
        "{}",
        with.len()
    );
    let ids: std::collections::BTreeSet<_> = with.iter().map(|a| &a.id).collect();
    assert_eq!(ids.len(), with.len());

    let mut sessions: BTreeMap<&str, Vec<_>> = BTreeMap::new();
    for a in &with {
        if let Some(turn) = &a.turn {
            sessions.entry(&turn.session).or_default().push((a, turn));
        }
    }
    assert!(sessions.len() > 20);
    for turns in sessions.values() {
        let alike = |a: &cedarpulley_test_cluster::amqp_client::Arrival| {
            (a.function.clone(), a.account.clone(), a.over_kserve)
        };
        assert!(turns.iter().all(|t| alike(t.0) == alike(turns[0].0)));
        assert!((1..10).contains(&turns.len()));
        let (first, last) = (
            turns.first().expect("a turn"),
            turns.last().expect("a turn"),
        );
        assert!(first.1.start && turns.iter().skip(1).all(|t| !t.1.start));
        assert!(turns.iter().rev().skip(1).all(|t| !t.1.end));
        // But for one that the scenario's end cuts off.
        assert!(last.1.end || last.0.at.as_secs_f64() > scenario(0.6).seconds - 0.6);
    }
}

#[test]
fn sessions_without_turns_are_rejected() {
    let text = include_str!("../../../days/regions.toml");
    let bad = text.replacen("work_ms = 60\n", "work_ms = 60\nsessions = 0.5\n", 1);
    assert!(
        scenario::parse("bad", &bad)
            .expect_err("refused")
            .to_string()
            .ends_with("turns above 0")
    );
    let good = text.replacen(
        "work_ms = 60\n",
        "work_ms = 60\nsessions = 0.5\nturns = 4\n",
        1,
    );
    assert!(scenario::parse("good", &good).is_ok());
}

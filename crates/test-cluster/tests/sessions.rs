//! Tests of the sessions among the arrivals of a scenario.

use std::collections::BTreeMap;

use cedarpulley_test_cluster::scenario::{self, Scenario};
use cedarpulley_test_cluster::traffic::arrivals;

/// A scenario whose first trigger type has this share of sessions.
fn scenario(sessions: f64) -> Scenario {
    let text = include_str!("../../../days/regions.toml");
    let mut scenario = scenario::parse("regions.toml", text).expect("a scenario");
    let trigger = &mut scenario.triggers[0];
    (trigger.sessions, trigger.turns, trigger.pause_ms) = (sessions, 5, 400);
    scenario
}

#[test]
fn a_session_starts_once_keeps_its_function_and_ends_with_its_last_turn() {
    let (with, without) = (arrivals(&scenario(0.6)), arrivals(&scenario(0.0)));
    assert!(without.iter().all(|a| a.turn.is_none()));
    let in_sessions = |trigger_type: &str| {
        with.iter()
            .filter(|a| a.trigger_type == trigger_type && a.turn.is_some())
            .count()
    };
    let (some, all) = (
        in_sessions("resize"),
        with.iter().filter(|a| a.trigger_type == "resize").count(),
    );
    assert!(
        in_sessions("quote") == 0 && (2 * all..5 * all).contains(&(some * 5)),
        "{some} of {all}"
    );
    // The total number of arrivals is about the same as without sessions.
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
        // The end of the scenario may cut off the last turns of a session.
        assert!(last.1.end || last.0.at.as_secs_f64() > scenario(0.6).seconds - 0.6);
    }
}

#[test]
fn sessions_without_turns_are_rejected() {
    let text = include_str!("../../../days/regions.toml");
    let bad = text.replacen("work_ms = 60\n", "work_ms = 60\nsessions = 0.5\n", 1);
    assert!(
        scenario::parse("bad", &bad)
            .expect_err("rejected")
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

//! A group as processes whose members lose their stores while others are down. Guards against a member that neither tells
//! an operator which members it lacks, nor agrees with them once they are back.

use cedarpulley_test_cluster::cluster::Cluster;
use cedarpulley_test_cluster::router_process::StateAtStart;
use cedarpulley_test_cluster::script::Script;
use cedarpulley_test_cluster::until;
use serde_json::json;

mod fleets;
mod sharing;
use fleets::*;
use sharing::*;

/// The router that restarts alone and without its store.
const ALONE: usize = 0;

/// Waits until a condition is met.
fn wait_for(what: &str, condition: impl Fn() -> bool) {
    assert!(
        until(PATIENCE, condition),
        "timeout while waiting for: {what}"
    );
}

/// The state of each member as a router reports it.
fn standings(f: &Cluster, n: usize) -> Vec<serde_json::Value> {
    let state = f.state(n).unwrap_or_default();
    let members = state["members"].as_array().cloned().unwrap_or_default();
    members
        .into_iter()
        .map(|member| member["standing"].clone())
        .collect()
}

/// Whether a router votes on choices, and the members that it has to reach before.
fn votes_on_choices(f: &Cluster, n: usize) -> Option<(bool, serde_json::Value)> {
    let state = f.state(n)?;
    let votes = state["votes_on_choices"].as_bool()?;
    Some((votes, state["choices_wait_for"].clone()))
}

#[test]
fn a_member_that_restarts_alone_names_the_members_that_it_lacks_and_agrees_once_they_return() {
    let script = Script::new(1).at(1000, |f| {
        (0..3).for_each(|n| f.kill_router(n));
        f.start_router(ALONE, StateAtStart::Removed)
            .expect("the router starts");
        wait_for("the others to be declared dead", || {
            standings(f, ALONE) == ["alive", "dead", "dead"]
        });
        wait_for("votes on invocations", || f.may_vote(ALONE));
        let lacking = Some((false, json!(["r1", "r2"])));
        assert_eq!(votes_on_choices(f, ALONE), lacking);
        (1..3).for_each(|n| {
            f.start_router(n, StateAtStart::Kept)
                .expect("the router starts");
        });
        wait_for("all members to agree", || {
            (0..3).all(|n| standings(f, n) == ["alive", "alive", "alive"])
        });
        wait_for("all members to vote on choices", || {
            (0..3).all(|n| votes_on_choices(f, n) == Some((true, json!([]))))
        });
    });
    let played = play(&shared(3, |_| {}), None, script, PATIENCE);
    played.holds();
    let log = cedarpulley_emulators::lock(&played.fleet.routers[ALONE]).log();
    assert!(
        log.contains("recovery complete for invocations only"),
        "{log}"
    );
}

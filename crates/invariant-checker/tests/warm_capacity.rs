//! Tests the promises of upgrades, and the causes of rebuilt prefixes, with hand-written logs. Guards against
//! violations that are missed, and against false violations where a fault or an allowed order caused the same lines.

use std::path::Path;

use cedarpulley_invariant_checker::{RebuildCause, Verdict, check};
use serde_json::{Value, json};

/// Checks a run with these lines, each with the name of its log. Their times are one second apart, in the order in
/// which they are given. `settings` are added to those in `terms.json`.
fn check_lines(name: &str, settings: Value, lines: &[(&str, Value)]) -> Verdict {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let traffic = folder.join("traffic");
    if traffic.exists() {
        std::fs::remove_dir_all(&traffic).expect("gone");
    }
    std::fs::create_dir_all(&traffic).expect("a folder");
    let mut terms = json!({
        "kinds": {}, "answer_slack_us": 0, "drain_grace_us": 0, "cold_part": 1.0, "cold_for_us": 0,
        "overload_multiple": 1e9, "overload_window_us": 1, "ration_window_us": 0,
        "ration_few": 1.0, "ration_part": 0.0, "second_copies": false,
        "regions": {"w0": "east", "w1": "east", "w2": "west"},
    });
    for (key, value) in settings.as_object().into_iter().flatten() {
        terms[key] = value.clone();
    }
    std::fs::write(folder.join("terms.json"), terms.to_string()).expect("written");
    let mut logs: std::collections::BTreeMap<&str, String> = Default::default();
    for (n, (log, line)) in lines.iter().enumerate() {
        let mut line = line.clone();
        line["t"] = ((n as i64 + 1) * 1_000_000).into();
        *logs.entry(log).or_default() += &format!("{line}\n");
    }
    for (log, text) in logs {
        std::fs::write(traffic.join(format!("{log}.ndjson")), text).expect("written");
    }
    check(&folder).expect("a verdict")
}

/// A line that a function was executed for a session.
fn ran(session: &str, function: &str) -> Value {
    json!({"what": "ran", "id": "i", "session": session, "function": function})
}

#[test]
fn a_session_on_two_versions_of_a_model_is_a_violation() {
    let counts = |name: &str, second: (&str, &str)| {
        let lines = [
            ("w0", ran("s1", "m:1/versions/1")),
            ("w1", ran(second.0, second.1)),
        ];
        let verdict = check_lines(name, json!({}), &lines);
        assert_eq!(verdict.broken(), verdict.promises["sessions"]);
        (verdict.promises["sessions"], verdict.sessions)
    };
    assert_eq!(counts("two-versions", ("s1", "m:1/versions/2")), (1, 1));
    assert_eq!(counts("one-without-version", ("s1", "m:1")), (1, 1));
    assert_eq!(counts("one-version", ("s1", "m:1/versions/1")), (0, 1));
    assert_eq!(counts("two-sessions", ("s2", "m:1/versions/2")), (0, 2));
    assert_eq!(counts("two-models", ("s1", "m:2/versions/2")), (0, 2));
}

#[test]
fn two_planners_in_one_term_are_a_violation() {
    let order = |what: &str, function: &str, router: Option<&str>, term: Option<&str>| json!({"what": what, "function": function, "router": router, "term": term, "from": "127.0.10.1"});
    let violations = |name: &str, second: Value| {
        let first = order("ordered", "m:1/versions/2", Some("r0"), Some("7"));
        check_lines(name, json!({}), &[("w0", first), ("w1", second)]).promises["terms"]
    };
    let load_order = |function, router, term| order("ordered", function, router, term);
    assert_eq!(
        violations(
            "two-planners",
            load_order("m:1/versions/2", Some("r1"), Some("7"))
        ),
        1
    );
    let unload = order("unloaded", "m:1/versions/1", Some("r1"), Some("7"));
    assert_eq!(violations("unload-by-other-planner", unload), 1);
    assert_eq!(
        violations(
            "next-term",
            load_order("m:1/versions/2", Some("r1"), Some("8"))
        ),
        0
    );
    assert_eq!(
        violations(
            "same-planner",
            load_order("m:1/versions/2", Some("r0"), Some("7"))
        ),
        0
    );
    assert_eq!(
        violations(
            "other-model",
            load_order("m:2/versions/2", Some("r1"), Some("7"))
        ),
        0
    );
    assert_eq!(
        violations("no-term", load_order("m:1/versions/2", Some("r1"), None)),
        0
    );
}

/// The lines of one turn of a session: its delivery to a router, its dispatch to a worker and its answer. `prefix`
/// tells how the turn found its prefix; if it is empty, the worker did not execute the turn. `dispatch_end` tells how
/// the dispatch ended.
fn turn<'a>(
    worker: &'a str,
    id: &str,
    prefix: &str,
    end: bool,
    dispatch_end: &str,
) -> Vec<(&'a str, Value)> {
    let line = |what: &str| json!({"what": what, "id": id, "function": "m:1", "session": "s1", "from": "127.0.10.1"});
    let mut prefix_line = line("prefix");
    (prefix_line["how"], prefix_line["end"]) = (prefix.into(), end.into());
    let mut left = line("left");
    left["how"] = dispatch_end.into();
    let mut answer = line("published");
    answer["fate"] = "succeeded".into();
    let lines = vec![
        ("broker", line("delivered")),
        (worker, line("received")),
        (worker, prefix_line),
        (worker, left),
        ("broker", answer),
    ];
    // A turn without a prefix was not executed.
    lines
        .into_iter()
        .filter(|(_, l)| l["what"] != "prefix" || !prefix.is_empty())
        .collect()
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
)]
fn a_rebuilt_prefix_has_exactly_one_cause() {
    let cause = |name: &str, between: Vec<(&'static str, Value)>| {
        let mut lines = vec![("w0", loaded("m:1"))];
        lines.extend(turn("w0", "a", "begun", false, "answered"));
        lines.extend(between);
        lines.extend(turn("w1", "z", "rebuilt", false, "answered"));
        let prefixes = check_lines(name, json!({}), &lines).prefixes;
        assert_eq!(
            (
                prefixes.begun,
                prefixes.rebuilt,
                prefixes.by.len(),
                prefixes.by.values().sum::<u64>()
            ),
            (1, 1, 1, 1)
        );
        assert_eq!(
            prefixes.astray,
            Vec::from_iter(
                (prefixes.caused_by(RebuildCause::Astray) > 0)
                    .then(|| "z at w1, not w0".to_owned())
            )
        );
        prefixes.by.into_keys().next().expect("one")
    };
    let evicted =
        |function: &str, why: &str| json!({"what": "evicted", "function": function, "why": why});
    let held = json!({"what": "link", "from": "127.0.10.1", "to": "w0", "why": "held", "on": true, "most_us": null});
    assert_eq!(cause("no-other-cause", vec![]), RebuildCause::Astray);
    assert_eq!(
        cause("died", vec![("w0", json!({"what": "down"}))]),
        RebuildCause::Died
    );
    assert_eq!(
        cause("another-worker-died", vec![("w2", json!({"what": "down"}))]),
        RebuildCause::Astray
    );
    assert_eq!(
        cause("was-evicted", vec![("w0", evicted("m:1", "unseen"))]),
        RebuildCause::Died
    );
    assert_eq!(
        cause(
            "another-function-evicted",
            vec![("w0", evicted("m:2", "unseen"))]
        ),
        RebuildCause::Astray
    );
    assert_eq!(
        cause("for-room", vec![("w0", evicted("m:1", "room"))]),
        RebuildCause::Room
    );
    assert_eq!(
        cause(
            "unloaded",
            vec![("w0", json!({"what": "unloaded", "function": "m:1"}))]
        ),
        RebuildCause::Unloaded
    );
    let loaded_again = [("w0", evicted("m:1", "room")), ("w0", loaded("m:1"))];
    assert_eq!(
        cause("loaded-again", loaded_again.to_vec()),
        RebuildCause::Room
    );
    assert_eq!(
        cause("cut-off", vec![("day", held.clone())]),
        RebuildCause::Cut
    );
    assert_eq!(
        cause(
            "cut-off-and-died",
            vec![("day", held), ("w0", json!({"what": "down"}))]
        ),
        RebuildCause::Died
    );
    assert_eq!(
        cause("session-ended", turn("w0", "b", "found", true, "answered")),
        RebuildCause::OutOfTurn
    );
    // Lines of another invocation, of another function, that the same router has in flight at the expected worker.
    let other = |id: &str| {
        [
            (
                "broker",
                json!({"what": "delivered", "id": id, "to": "127.0.10.1"}),
            ),
            (
                "w0",
                json!({"what": "received", "id": id, "function": "m:2", "from": "127.0.10.1"}),
            ),
        ]
    };
    assert_eq!(
        cause("one-other", other("x").to_vec()),
        RebuildCause::Astray
    );
    assert_eq!(
        cause("two-others", [other("x"), other("y")].concat()),
        RebuildCause::Crowded
    );
    let answered = (
        "broker",
        json!({"what": "published", "id": "x", "fate": "succeeded"}),
    );
    assert_eq!(
        cause(
            "two-others-one-answered",
            [
                &other("x")[..],
                &other("y"),
                std::slice::from_ref(&answered)
            ]
            .concat()
        ),
        RebuildCause::Astray
    );
    // The copy has two lanes, and each of these dispatches uses one.
    let in_flight = |id| turn("w0", id, "", false, "").into_iter().take(2);
    assert_eq!(
        cause("one-lane-taken", in_flight("x").collect()),
        RebuildCause::Astray
    );
    assert_eq!(
        cause(
            "all-lanes-taken",
            in_flight("x").chain(in_flight("y")).collect()
        ),
        RebuildCause::Busy
    );
    let left = json!({"what": "left", "id": "x", "how": "answered"});
    let freed = in_flight("x")
        .chain(in_flight("y"))
        .chain([("w0", left), answered])
        .collect();
    assert_eq!(cause("a-lane-was-free-since", freed), RebuildCause::Astray);
    assert_eq!(
        cause("refused", turn("w0", "z", "", false, "refused")),
        RebuildCause::Tried
    );
}

#[test]
fn a_prefix_is_expected_at_the_worker_of_the_last_answered_turn() {
    let out_of_turn_and_astray = |name: &str, first_end: &str, second_end: &str| {
        let mut lines = vec![("w0", loaded("m:1")), ("w1", loaded("m:1"))];
        lines.extend(turn("w0", "a", "begun", false, first_end));
        lines.extend(turn("w1", "b", "found", false, second_end));
        lines.extend(turn("w2", "z", "rebuilt", false, "answered"));
        let prefixes = check_lines(name, json!({}), &lines).prefixes;
        (prefixes.caused_by(RebuildCause::OutOfTurn), prefixes.astray)
    };
    assert_eq!(
        out_of_turn_and_astray("moved", "answered", "answered"),
        (0, vec!["z at w2, not w1".to_owned()])
    );
    assert_eq!(
        out_of_turn_and_astray("moved-unanswered", "answered", "closed"),
        (0, vec!["z at w2, not w0".to_owned()])
    );
    assert_eq!(
        out_of_turn_and_astray("never-answered", "closed", "closed"),
        (1, vec![])
    );
    let mut lines = vec![("w0", loaded("m:1"))];
    lines.extend(turn("w0", "a", "begun", false, "answered"));
    let mut second = turn("w1", "z", "rebuilt", false, "answered");
    second
        .iter_mut()
        .for_each(|(_, l)| l["from"] = "127.0.10.2".into());
    lines.extend(second);
    assert_eq!(
        check_lines("another-router", json!({}), &lines)
            .prefixes
            .caused_by(RebuildCause::Elsewhere),
        1
    );
}

/// A line that a copy with two lanes was loaded.
fn loaded(function: &str) -> Value {
    json!({"what": "loaded", "function": function, "stands": true, "lanes": 2})
}

/// A line that a function was unloaded or evicted.
fn removed(what: &str, function: &str, why: &str) -> Value {
    json!({"what": what, "function": function, "why": why})
}

const OLD_VERSION: &str = "m:1/versions/1";
const NEW_VERSION: &str = "m:1/versions/2";

/// Four lanes of the old version are ready in the east and two in the west when the upgrade begins; the lines of `then`
/// follow.
fn check_upgrade(name: &str, settings: Value, then: &[(&str, Value)]) -> Verdict {
    let mut lines: Vec<_> = ["w0", "w1", "w2"].map(|w| (w, loaded(OLD_VERSION))).into();
    lines.push(("day", json!({"what": "upgrade", "models": ["m:1"]})));
    lines.extend_from_slice(then);
    check_lines(name, settings, &lines)
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
)]
fn an_order_that_reduces_lanes_below_the_floor_is_a_violation() {
    let settings = json!({"floor_part": 0.75});
    let floor_counts = |name: &str, then: &[(&str, Value)]| {
        let verdict = check_upgrade(name, settings.clone(), then);
        (
            verdict.promises["floor"],
            verdict.floor_lost,
            verdict.floors["m:1 east"].lowest,
        )
    };
    let unloads = |w: &'static str| (w, removed("unloaded", OLD_VERSION, ""));
    assert_eq!(floor_counts("none", &[]), (0, 0, 4));
    assert_eq!(floor_counts("too-early", &[unloads("w0")]), (1, 0, 2));
    assert_eq!(
        floor_counts(
            "in-turn",
            &[
                ("w0", loaded(NEW_VERSION)),
                unloads("w0"),
                ("w1", loaded(NEW_VERSION)),
                unloads("w1")
            ]
        ),
        (0, 0, 4)
    );
    // Lanes in another region, or of another model, do not count.
    assert_eq!(
        floor_counts(
            "another-region",
            &[("w2", loaded(NEW_VERSION)), unloads("w0")]
        ),
        (1, 0, 2)
    );
    assert_eq!(
        floor_counts("another-model", &[("w0", loaded("m:2")), unloads("w0")]),
        (1, 0, 2)
    );
    assert_eq!(
        floor_counts(
            "failed",
            &[
                (
                    "w0",
                    json!({"what": "loaded", "function": NEW_VERSION, "stands": false})
                ),
                unloads("w0")
            ]
        ),
        (1, 0, 2)
    );
    assert_eq!(
        floor_counts(
            "evicted-for-memory",
            &[("w0", removed("evicted", OLD_VERSION, "room"))]
        ),
        (1, 0, 2)
    );
    // Lanes that a fault removes are no violation, but an order that removes further lanes is.
    assert_eq!(
        floor_counts(
            "unseen",
            &[("w0", removed("evicted", OLD_VERSION, "unseen"))]
        ),
        (0, 1, 2)
    );
    assert_eq!(
        floor_counts("dead", &[("w0", json!({"what": "down"}))]),
        (0, 1, 2)
    );
    assert_eq!(
        floor_counts(
            "dead-and-more",
            &[("w0", json!({"what": "down"})), unloads("w1")]
        ),
        (1, 1, 0)
    );
    let upgrade_over = ("day", json!({"what": "upgrade-over", "models": ["m:1"]}));
    assert_eq!(
        floor_counts("over", &[upgrade_over, unloads("w0")]),
        (0, 0, 4)
    );
    let second_upgrade = ("day", json!({"what": "upgrade", "models": ["m:1"]}));
    assert_eq!(
        floor_counts(
            "second-order",
            &[
                ("w0", loaded(NEW_VERSION)),
                second_upgrade,
                unloads("w0"),
                unloads("w1")
            ]
        ),
        (1, 0, 2)
    );
}

#[test]
fn an_order_after_a_loss_that_routers_may_not_know_of_is_no_violation() {
    let evicted = ("w0", removed("evicted", NEW_VERSION, "unseen"));
    let then = [
        ("w0", loaded(NEW_VERSION)),
        evicted,
        ("w1", removed("unloaded", OLD_VERSION, "")),
    ];
    let floor_counts = |name: &str, floor_known_us: i64| {
        let verdict = check_upgrade(
            name,
            json!({"floor_part": 1.0, "floor_known_us": floor_known_us}),
            &then,
        );
        (verdict.promises["floor"], verdict.floor_lost)
    };
    assert_eq!(floor_counts("known-at-once", 0), (1, 0));
    assert_eq!(floor_counts("unknown", 1_500_000), (0, 1));
    assert_eq!(floor_counts("known", 900_000), (1, 0));
}

#[test]
fn a_floor_in_lanes_applies_once_it_is_first_reached() {
    let floor =
        |lanes: u32| json!({"floors": [{"region": "east", "model": "m:1", "lanes": lanes}]});
    let violations = |name: &str, lanes: u32| {
        let then = [
            ("w0", removed("unloaded", OLD_VERSION, "")),
            ("w1", removed("unloaded", OLD_VERSION, "")),
        ];
        check_upgrade(name, floor(lanes), &then).promises["floor"]
    };
    assert_eq!(
        (
            violations("lanes-6", 6),
            violations("lanes-4", 4),
            violations("lanes-2", 2)
        ),
        (0, 2, 1)
    );
}

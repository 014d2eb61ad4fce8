//! The promises of upgrades on hand-written logs: each kept, and broken.

use std::path::Path;

use cedarpulley_invariant_checker::{RebuildCause, Verdict, check};
use serde_json::{Value, json};

/// Each log's lines by its name; their times are their order, a second apart, unless they say so.
fn judged(name: &str, floors: Value, lines: &[(&str, Value)]) -> Verdict {
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
    for (key, value) in floors.as_object().into_iter().flatten() {
        terms[key] = value.clone();
    }
    std::fs::write(folder.join("terms.json"), terms.to_string()).expect("written");
    let mut logs: std::collections::BTreeMap<&str, String> = Default::default();
    for (n, (of, line)) in lines.iter().enumerate() {
        let mut line = line.clone();
        line["t"] = ((n as i64 + 1) * 1_000_000).into();
        *logs.entry(of).or_default() += &format!("{line}\n");
    }
    for (of, text) in logs {
        std::fs::write(traffic.join(format!("{of}.ndjson")), text).expect("written");
    }
    check(&folder).expect("a verdict")
}

fn ran(session: &str, function: &str) -> Value {
    json!({"what": "ran", "id": "i", "session": session, "function": function})
}

#[test]
fn a_session_on_two_versions_of_a_model_breaks_its_promise() {
    let broken = |name: &str, second: (&str, &str)| {
        let lines = [
            ("w0", ran("s1", "m:1/versions/1")),
            ("w1", ran(second.0, second.1)),
        ];
        let v = judged(name, json!({}), &lines);
        assert_eq!(v.broken(), v.promises["sessions"]);
        (v.promises["sessions"], v.sessions)
    };
    assert_eq!(broken("two-versions", ("s1", "m:1/versions/2")), (1, 1));
    assert_eq!(broken("one-without", ("s1", "m:1")), (1, 1));
    assert_eq!(broken("one-version", ("s1", "m:1/versions/1")), (0, 1));
    assert_eq!(broken("two-sessions", ("s2", "m:1/versions/2")), (0, 2));
    assert_eq!(broken("two-models", ("s1", "m:2/versions/2")), (0, 2));
}

#[test]
fn two_planners_in_one_term_break_the_promise() {
    let order = |what: &str, function: &str, router: Option<&str>, term: Option<&str>| json!({"what": what, "function": function, "router": router, "term": term, "from": "127.0.10.1"});
    let broken = |name: &str, second: Value| {
        let first = order("ordered", "m:1/versions/2", Some("r0"), Some("7"));
        judged(name, json!({}), &[("w0", first), ("w1", second)]).promises["terms"]
    };
    let one = |function, router, term| order("ordered", function, router, term);
    assert_eq!(
        broken("two-planners", one("m:1/versions/2", Some("r1"), Some("7"))),
        1
    );
    let unloads = order("unloaded", "m:1/versions/1", Some("r1"), Some("7"));
    assert_eq!(broken("an-unload", unloads), 1);
    assert_eq!(
        broken("next-term", one("m:1/versions/2", Some("r1"), Some("8"))),
        0
    );
    assert_eq!(
        broken("same-planner", one("m:1/versions/2", Some("r0"), Some("7"))),
        0
    );
    assert_eq!(
        broken("other-model", one("m:2/versions/2", Some("r1"), Some("7"))),
        0
    );
    assert_eq!(
        broken("no-plan", one("m:1/versions/2", Some("r1"), None)),
        0
    );
}

/// A turn comes to a router, goes to a worker and is answered there, or is not.
fn turn<'a>(worker: &'a str, id: &str, how: &str, end: bool, left: &str) -> Vec<(&'a str, Value)> {
    let of = |what: &str| json!({"what": what, "id": id, "function": "m:1", "session": "s1", "from": "127.0.10.1"});
    let mut prefix = of("prefix");
    (prefix["how"], prefix["end"]) = (how.into(), end.into());
    let mut leaves = of("left");
    leaves["how"] = left.into();
    let mut told = of("published");
    told["fate"] = "succeeded".into();
    let lines = vec![
        ("broker", of("delivered")),
        (worker, of("received")),
        (worker, prefix),
        (worker, leaves),
        ("broker", told),
    ];
    // What is not met there did not run.
    lines
        .into_iter()
        .filter(|(_, l)| l["what"] != "prefix" || !how.is_empty())
        .collect()
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
)]
fn a_rebuilt_prefix_has_one_cause() {
    let of = |name: &str, between: Vec<(&'static str, Value)>| {
        let mut lines = vec![("w0", loaded("m:1"))];
        lines.extend(turn("w0", "a", "begun", false, "answered"));
        lines.extend(between);
        lines.extend(turn("w1", "z", "rebuilt", false, "answered"));
        let p = judged(name, json!({}), &lines).prefixes;
        assert_eq!(
            (p.begun, p.rebuilt, p.by.len(), p.by.values().sum::<u64>()),
            (1, 1, 1, 1)
        );
        assert_eq!(
            p.astray,
            Vec::from_iter(
                (p.caused_by(RebuildCause::Astray) > 0).then(|| "z at w1, not w0".to_owned())
            )
        );
        p.by.into_keys().next().expect("one")
    };
    let evicted =
        |function: &str, why: &str| json!({"what": "evicted", "function": function, "why": why});
    let held = json!({"what": "link", "from": "127.0.10.1", "to": "w0", "why": "held", "on": true, "most_us": null});
    assert_eq!(of("gave-up", vec![]), RebuildCause::Astray);
    assert_eq!(
        of("died", vec![("w0", json!({"what": "down"}))]),
        RebuildCause::Died
    );
    assert_eq!(
        of("another-died", vec![("w2", json!({"what": "down"}))]),
        RebuildCause::Astray
    );
    assert_eq!(
        of("was-evicted", vec![("w0", evicted("m:1", "unseen"))]),
        RebuildCause::Died
    );
    assert_eq!(
        of("another-evicted", vec![("w0", evicted("m:2", "unseen"))]),
        RebuildCause::Astray
    );
    assert_eq!(
        of("for-room", vec![("w0", evicted("m:1", "room"))]),
        RebuildCause::Room
    );
    assert_eq!(
        of(
            "unloaded",
            vec![("w0", json!({"what": "unloaded", "function": "m:1"}))]
        ),
        RebuildCause::Unloaded
    );
    let again = [("w0", evicted("m:1", "room")), ("w0", loaded("m:1"))];
    assert_eq!(of("loaded-again", again.to_vec()), RebuildCause::Room);
    assert_eq!(
        of("cut-off", vec![("day", held.clone())]),
        RebuildCause::Cut
    );
    assert_eq!(
        of(
            "cut-off-and-died",
            vec![("day", held), ("w0", json!({"what": "down"}))]
        ),
        RebuildCause::Died
    );
    assert_eq!(
        of("ended", turn("w0", "b", "found", true, "answered")),
        RebuildCause::OutOfTurn
    );
    // Lines of two others that the same router has out there, of another function.
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
    assert_eq!(of("one-other", other("x").to_vec()), RebuildCause::Astray);
    assert_eq!(
        of("two-others", [other("x"), other("y")].concat()),
        RebuildCause::Crowded
    );
    let over = (
        "broker",
        json!({"what": "published", "id": "x", "fate": "succeeded"}),
    );
    assert_eq!(
        of(
            "two-others-one-over",
            [&other("x")[..], &other("y"), std::slice::from_ref(&over)].concat()
        ),
        RebuildCause::Astray
    );
    // The copy has two lanes.
    let one = |id| turn("w0", id, "", false, "").into_iter().take(2);
    assert_eq!(
        of("one-lane-taken", one("x").collect()),
        RebuildCause::Astray
    );
    assert_eq!(
        of("all-lanes-taken", one("x").chain(one("y")).collect()),
        RebuildCause::Busy
    );
    let free = json!({"what": "left", "id": "x", "how": "answered"});
    let freed = one("x")
        .chain(one("y"))
        .chain([("w0", free), over])
        .collect();
    assert_eq!(of("a-lane-was-free-again", freed), RebuildCause::Astray);
    assert_eq!(
        of("refused", turn("w0", "z", "", false, "refused")),
        RebuildCause::Tried
    );
}

#[test]
fn a_turn_should_go_where_the_last_answered_turn_ran() {
    let of = |name: &str, left: &str, moved: &str| {
        let mut lines = vec![("w0", loaded("m:1")), ("w1", loaded("m:1"))];
        lines.extend(turn("w0", "a", "begun", false, left));
        lines.extend(turn("w1", "b", "found", false, moved));
        lines.extend(turn("w2", "z", "rebuilt", false, "answered"));
        let p = judged(name, json!({}), &lines).prefixes;
        (p.caused_by(RebuildCause::OutOfTurn), p.astray)
    };
    assert_eq!(
        of("moved", "answered", "answered"),
        (0, vec!["z at w2, not w1".to_owned()])
    );
    assert_eq!(
        of("moved-unanswered", "answered", "closed"),
        (0, vec!["z at w2, not w0".to_owned()])
    );
    assert_eq!(of("never-answered", "closed", "closed"), (1, vec![]));
    let mut lines = vec![("w0", loaded("m:1"))];
    lines.extend(turn("w0", "a", "begun", false, "answered"));
    let mut after = turn("w1", "z", "rebuilt", false, "answered");
    after
        .iter_mut()
        .for_each(|(_, l)| l["from"] = "127.0.10.2".into());
    lines.extend(after);
    assert_eq!(
        judged("another-router", json!({}), &lines)
            .prefixes
            .caused_by(RebuildCause::Elsewhere),
        1
    );
}

fn loaded(function: &str) -> Value {
    json!({"what": "loaded", "function": function, "stands": true, "lanes": 2})
}

fn gone(what: &str, function: &str, why: &str) -> Value {
    json!({"what": what, "function": function, "why": why})
}

const OLD: &str = "m:1/versions/1";
const NEW: &str = "m:1/versions/2";

/// Four lanes of the old version in the east, two in the west; then the upgrade is ordered.
fn upgraded(name: &str, terms: Value, then: &[(&str, Value)]) -> Verdict {
    let mut lines: Vec<_> = ["w0", "w1", "w2"].map(|w| (w, loaded(OLD))).into();
    lines.push(("day", json!({"what": "upgrade", "models": ["m:1"]})));
    lines.extend_from_slice(then);
    judged(name, terms, &lines)
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
)]
fn an_order_that_takes_lanes_below_the_floor_breaks_it() {
    let half = json!({"floor_part": 0.75});
    let of = |name: &str, then: &[(&str, Value)]| {
        let v = upgraded(name, half.clone(), then);
        (
            v.promises["floor"],
            v.floor_lost,
            v.floors["m:1 east"].lowest,
        )
    };
    let unloads = |w: &'static str| (w, gone("unloaded", OLD, ""));
    assert_eq!(of("none", &[]), (0, 0, 4));
    assert_eq!(of("too-early", &[unloads("w0")]), (1, 0, 2));
    assert_eq!(
        of(
            "in-turn",
            &[
                ("w0", loaded(NEW)),
                unloads("w0"),
                ("w1", loaded(NEW)),
                unloads("w1")
            ]
        ),
        (0, 0, 4)
    );
    // What is loaded elsewhere, or of another model, is no help.
    assert_eq!(
        of("elsewhere", &[("w2", loaded(NEW)), unloads("w0")]),
        (1, 0, 2)
    );
    assert_eq!(
        of("another", &[("w0", loaded("m:2")), unloads("w0")]),
        (1, 0, 2)
    );
    assert_eq!(
        of(
            "failed",
            &[
                (
                    "w0",
                    json!({"what": "loaded", "function": NEW, "stands": false})
                ),
                unloads("w0")
            ]
        ),
        (1, 0, 2)
    );
    assert_eq!(
        of("for-want-of-room", &[("w0", gone("evicted", OLD, "room"))]),
        (1, 0, 2)
    );
    // A fault's doing is no break, but what is taken after it is.
    assert_eq!(
        of("unseen", &[("w0", gone("evicted", OLD, "unseen"))]),
        (0, 1, 2)
    );
    assert_eq!(of("dead", &[("w0", json!({"what": "down"}))]), (0, 1, 2));
    assert_eq!(
        of(
            "dead-and-more",
            &[("w0", json!({"what": "down"})), unloads("w1")]
        ),
        (1, 1, 0)
    );
    let over = ("day", json!({"what": "upgrade-over", "models": ["m:1"]}));
    assert_eq!(of("over", &[over, unloads("w0")]), (0, 0, 4));
    let second = ("day", json!({"what": "upgrade", "models": ["m:1"]}));
    assert_eq!(
        of(
            "second-order",
            &[("w0", loaded(NEW)), second, unloads("w0"), unloads("w1")]
        ),
        (1, 0, 2)
    );
}

#[test]
fn a_loss_that_routers_cannot_know_of_yet_does_not_make_an_order_a_break() {
    let evicted = ("w0", gone("evicted", NEW, "unseen"));
    let then = [
        ("w0", loaded(NEW)),
        evicted,
        ("w1", gone("unloaded", OLD, "")),
    ];
    let of = |name: &str, known_us: i64| {
        let v = upgraded(
            name,
            json!({"floor_part": 1.0, "floor_known_us": known_us}),
            &then,
        );
        (v.promises["floor"], v.floor_lost)
    };
    assert_eq!(of("known-at-once", 0), (1, 0));
    assert_eq!(of("unknown", 1_500_000), (0, 1));
    assert_eq!(of("known", 900_000), (1, 0));
}

#[test]
fn a_floor_given_in_lanes_holds_from_when_it_is_first_reached() {
    let floor =
        |lanes: u32| json!({"floors": [{"region": "east", "model": "m:1", "lanes": lanes}]});
    let of = |name: &str, lanes: u32| {
        let then = [
            ("w0", gone("unloaded", OLD, "")),
            ("w1", gone("unloaded", OLD, "")),
        ];
        upgraded(name, floor(lanes), &then).promises["floor"]
    };
    assert_eq!(
        (of("lanes-6", 6), of("lanes-4", 4), of("lanes-2", 2)),
        (0, 2, 1)
    );
}

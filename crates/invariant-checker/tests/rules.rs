//! The rules on hand-written logs: breaks are told from what a fault kept from being seen.

use std::path::Path;

use cedarpulley_invariant_checker::{Verdict, check};
use serde_json::{Value, json};

fn judged(name: &str, first: Value, second: Value) -> Verdict {
    judged_with(name, first, second, Vec::new())
}

/// With more lines; each is in the log that its `of` names.
fn judged_with(name: &str, first: Value, second: Value, more: Vec<Value>) -> Verdict {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(folder.join("traffic")).expect("a folder");
    let terms = json!({
        "kinds": {"resize": {"effect": "idempotent", "window_us": 0, "objective_us": 800_000}},
        "answer_slack_us": 100_000, "drain_grace_us": 500_000, "cold_part": 0.2, "cold_for_us": 8_000_000,
        "overload_multiple": 4.0, "overload_window_us": 2_000_000, "ration_window_us": 0,
        "ration_few": 1.0, "ration_part": 0.0, "second_copies": false,
    });
    std::fs::write(folder.join("terms.json"), terms.to_string()).expect("written");
    let mut lines = vec![
        json!({"t": 1_000_000, "what": "published", "id": "i1", "type": "resize", "account": "a", "queue": "q", "timeout": 8_000_000}),
        json!({"t": 1_000_100, "what": "delivered", "id": "i1", "to": "127.0.10.1", "queue": "q"}),
        json!({"t": 4_000_000, "what": "published", "id": "i1", "fate": "succeeded", "reason": "worker"}),
    ];
    for (number, dispatch) in [first, second].into_iter().enumerate() {
        let merged = |what: &str, part: &str| {
            let mut line = json!({"what": what, "id": "i1", "from": "127.0.10.1", "dispatch": number.to_string()});
            for (name, value) in dispatch[part].as_object().into_iter().flatten() {
                line[name] = value.clone();
            }
            line
        };
        lines.extend([merged("received", "came"), merged("left", "went")]);
    }
    lines.extend(more);
    write(&folder, &lines);
    check(&folder).expect("a verdict")
}

fn write(folder: &Path, lines: &[Value]) {
    let text: Vec<String> = lines.iter().map(Value::to_string).collect();
    std::fs::write(folder.join("traffic/worker-00.ndjson"), text.join("\n")).expect("written");
}

#[test]
fn two_dispatches_in_flight_at_once_break_rule_2() {
    let second = json!({"came": {"t": 1_500_000}, "went": {"t": 1_600_000, "how": "answered"}});
    let first = json!({"came": {"t": 1_100_000}, "went": {"t": 2_500_000, "how": "answered"}});
    assert_eq!(judged("at-once", first, second.clone()).rules["2"], 1);
    let hung_up = json!({"came": {"t": 1_100_000}, "went": {"t": 1_510_000, "how": "closed"}});
    assert_eq!(judged("one-by-one", hung_up, second).rules["2"], 0);
}

#[test]
fn a_partition_excuses_an_unseen_close_but_not_what_was_in_flight_before_it() {
    // Its router timed it out; the worker behind the cut went on.
    let behind = |since: i64| json!({"came": {"t": 1_100_000}, "went": {"t": 3_000_000, "how": "answered", "unseen_since": since}});
    let second = json!({"came": {"t": 1_500_000}, "went": {"t": 1_600_000, "how": "answered"}});
    assert_eq!(
        judged("hidden", behind(1_200_000), second.clone()).rules["2"],
        0
    );
    assert_eq!(
        judged("before-the-cut", behind(2_400_000), second).rules["2"],
        1
    );
    // A second one that the cut held back may have been sent before the first.
    let long = |at: i64| json!({"came": {"t": at}, "went": {"t": 3_900_000, "how": "answered"}});
    let held = json!({"came": {"t": 2_000_000, "held_since": 1_400_000}, "went": {"t": 2_100_000, "how": "repeat"}});
    assert_eq!(
        judged("held-back", long(1_600_000), held.clone()).rules["2"],
        0
    );
    assert_eq!(judged("out-all-along", long(1_100_000), held).rules["2"], 1);
}

/// Symptom: what left before the answer reaches its worker after it, as a partition held it back.
#[test]
fn a_dispatch_that_a_partition_delayed_was_sent_when_it_began_at_the_earliest() {
    let first = json!({"came": {"t": 1_100_000}, "went": {"t": 1_200_000, "how": "answered"}});
    // The answer leaves at 4 s.
    let late = |since: Value| json!({"came": {"t": 5_000_000, "held_since": since}, "went": {"t": 5_100_000, "how": "repeat"}});
    for (name, since, broken) in [
        ("cut-before", json!(3_000_000), 0),
        ("cut-after", json!(4_900_000), 1),
        ("no-cut", Value::Null, 1),
    ] {
        assert_eq!(
            judged(name, first.clone(), late(since)).rules["1"],
            broken,
            "{name}"
        );
    }
}

const ROUTER: &str = "127.0.10.1";

fn link(t: i64, from: &str, to: &str, on: bool) -> Value {
    json!({"t": t, "what": "link", "from": from, "to": to, "why": "held", "on": on, "most_us": null})
}

fn paused(t: i64, on: bool) -> Value {
    json!({"t": t, "what": "router-paused", "address": ROUTER, "on": on})
}

/// Faults that the cluster logs, as those that an emulator sees; one of another link, or that ended long before, excuses
/// nothing.
#[test]
fn a_held_link_excuses_what_a_partition_excuses() {
    let first = json!({"came": {"t": 1_100_000}, "went": {"t": 3_000_000, "how": "answered"}});
    let second = json!({"came": {"t": 1_500_000}, "went": {"t": 1_600_000, "how": "answered"}});
    let broken = |name: &str, cut: Vec<Value>| {
        judged_with(name, first.clone(), second.clone(), cut).rules["2"]
    };
    assert_eq!(broken("rig-none", Vec::new()), 1);
    assert_eq!(
        broken(
            "rig-hidden",
            vec![link(1_200_000, ROUTER, "worker-00", true)]
        ),
        0
    );
    assert_eq!(
        broken("rig-back", vec![link(1_200_000, "worker-00", ROUTER, true)]),
        1
    );
    assert_eq!(
        broken(
            "rig-other",
            vec![link(1_200_000, ROUTER, "worker-01", true)]
        ),
        1
    );
    let short = vec![
        link(1_200_000, ROUTER, "worker-00", true),
        link(1_300_000, ROUTER, "worker-00", false),
    ];
    assert_eq!(broken("rig-ended", short), 1);
    // After the answer at 4 s.
    let late = json!({"came": {"t": 5_000_000}, "went": {"t": 5_100_000, "how": "repeat"}});
    let after = |name: &str, began: i64, ended: i64| {
        let cut = vec![
            link(began, ROUTER, "worker-00", true),
            link(ended, ROUTER, "worker-00", false),
        ];
        judged_with(name, second.clone(), late.clone(), cut).rules["1"]
    };
    assert_eq!(after("rig-after", 3_000_000, 4_950_000), 0);
    assert_eq!(after("rig-later", 4_200_000, 4_950_000), 1);
    assert_eq!(after("rig-before", 3_000_000, 4_400_000), 1);
}

/// Given up at 9 s, answered at 12 s.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
)]
fn an_answer_may_be_late_only_while_its_router_is_paused_or_partitioned() {
    let told = |name: &str, answer: Vec<Value>, more: Vec<Value>| {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let none = json!({"came": {"t": 1_100_000}, "went": {"t": 1_200_000, "how": "answered"}});
        judged_with(name, none.clone(), none, Vec::new());
        let mut lines = vec![
            json!({"t": 1_000_000, "what": "published", "id": "i1", "type": "resize", "queue": "q", "timeout": 8_000_000}),
            json!({"t": 1_000_100, "what": "delivered", "id": "i1", "to": ROUTER, "queue": "q"}),
        ];
        lines.extend(answer.into_iter().chain(more));
        write(&folder, &lines);
        let v = check(&folder).expect("a verdict");
        (v.rules["1"], v.held_by_rig)
    };
    let answer = json!({"t": 12_000_000, "what": "published", "id": "i1", "from": ROUTER, "fate": "succeeded", "reason": "worker"});
    let judged = |name: &str, more: Vec<Value>| told(name, vec![answer.clone()], more);
    let called = |name: &str, more: Vec<Value>| told(name, Vec::new(), more);
    assert_eq!(judged("late", Vec::new()), (1, 0));
    assert_eq!(
        judged(
            "late-paused",
            vec![paused(7_000_000, true), paused(11_900_000, false)]
        ),
        (0, 1)
    );
    assert_eq!(
        judged(
            "late-after",
            vec![paused(7_000_000, true), paused(8_500_000, false)]
        ),
        (1, 0)
    );
    assert_eq!(
        judged(
            "late-before",
            vec![paused(9_100_000, true), paused(11_900_000, false)]
        ),
        (1, 0)
    );
    for (from, to) in [(ROUTER, "broker"), ("broker", ROUTER)] {
        let cut = vec![
            link(7_000_000, from, to, true),
            link(11_900_000, from, to, false),
        ];
        assert_eq!(judged("late-cut", cut), (0, 1));
    }
    // A caller's, who listened for a second more.
    let lost = |at: i64| json!({"t": at, "what": "lost", "id": "i1", "to": ROUTER});
    assert_eq!(called("lost", vec![lost(10_000_000)]), (1, 0));
    let stood = |until: i64| {
        vec![
            paused(7_000_000, true),
            paused(until, false),
            lost(10_000_000),
        ]
    };
    assert_eq!(called("lost-paused", stood(9_900_000)), (0, 1));
    assert_eq!(called("lost-after", stood(9_500_000)), (1, 0));
    assert_eq!(
        judged(
            "late-elsewhere",
            vec![link(7_000_000, ROUTER, "worker-00", true)]
        ),
        (1, 0)
    );
}

/// Notified at 2 s with a grace of half a second; the dispatch at 4 s breaks the rule, unless the notification came later.
#[test]
fn drain_deadline_starts_when_the_router_is_reachable() {
    let broken = |name: &str, more: Vec<Value>| {
        let once = json!({"came": {"t": 1_100_000}, "went": {"t": 1_200_000, "how": "answered"}});
        let late = json!({"came": {"t": 3_900_000}, "went": {"t": 3_950_000, "how": "answered"}});
        let mut lines = vec![
            json!({"t": 1, "what": "up", "address": "127.0.0.1:1", "cores": 4, "cold": false}),
            json!({"t": 2_000_000, "what": "told", "to": ROUTER, "worker": "127.0.0.1:1", "gone": false, "draining": true}),
        ];
        lines.extend(more);
        judged_with(name, once, late, lines).rules["3"]
    };
    assert_eq!(broken("drain", Vec::new()), 1);
    assert_eq!(
        broken(
            "drain-paused",
            vec![paused(2_200_000, true), paused(3_800_000, false)]
        ),
        0
    );
    assert_eq!(
        broken(
            "drain-earlier",
            vec![paused(2_200_000, true), paused(3_000_000, false)]
        ),
        1
    );
    assert_eq!(
        broken(
            "drain-later",
            vec![paused(2_700_000, true), paused(3_800_000, false)]
        ),
        1
    );
    let cut = |ended: i64| {
        vec![
            link(1_900_000, "list", ROUTER, true),
            link(ended, "list", ROUTER, false),
        ]
    };
    assert_eq!(broken("drain-unheard", cut(3_800_000)), 0);
    assert_eq!(broken("drain-heard", cut(3_000_000)), 1);
}

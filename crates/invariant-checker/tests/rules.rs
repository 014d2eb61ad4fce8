//! Tests the rules with hand-written logs. Guards against violations that are missed, and against false violations
//! where a fault kept the logs from showing when a message was sent or a connection was closed.

use std::path::Path;

use cedarpulley_invariant_checker::{Verdict, check};
use serde_json::{Value, json};

/// Checks the log of one invocation with two dispatches, and returns the verdict.
fn check_dispatches(name: &str, first: Value, second: Value) -> Verdict {
    check_dispatches_with(name, first, second, Vec::new())
}

/// As [`check_dispatches`], with further lines, which are written to the same log as all others. The fields of a
/// dispatch are given as `start`, for its `received` line, and `end`, for its `left` line.
fn check_dispatches_with(name: &str, first: Value, second: Value, more: Vec<Value>) -> Verdict {
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
        lines.extend([merged("received", "start"), merged("left", "end")]);
    }
    lines.extend(more);
    write(&folder, &lines);
    check(&folder).expect("a verdict")
}

/// Writes all lines to the log of worker-00.
fn write(folder: &Path, lines: &[Value]) {
    let text: Vec<String> = lines.iter().map(Value::to_string).collect();
    std::fs::write(folder.join("traffic/worker-00.ndjson"), text.join("\n")).expect("written");
}

#[test]
fn two_dispatches_in_flight_at_once_violate_rule_2() {
    let second = json!({"start": {"t": 1_500_000}, "end": {"t": 1_600_000, "how": "answered"}});
    let first = json!({"start": {"t": 1_100_000}, "end": {"t": 2_500_000, "how": "answered"}});
    assert_eq!(
        check_dispatches("at-once", first, second.clone()).rules["2"],
        1
    );
    let closed = json!({"start": {"t": 1_100_000}, "end": {"t": 1_510_000, "how": "closed"}});
    assert_eq!(check_dispatches("one-by-one", closed, second).rules["2"], 0);
}

#[test]
fn a_partition_excuses_a_hidden_close_but_not_dispatches_in_flight_before_it() {
    // The router timed the first dispatch out, while the worker behind the partition continued to execute it.
    let behind_partition = |since: i64| json!({"start": {"t": 1_100_000}, "end": {"t": 3_000_000, "how": "answered", "unseen_since": since}});
    let second = json!({"start": {"t": 1_500_000}, "end": {"t": 1_600_000, "how": "answered"}});
    assert_eq!(
        check_dispatches("hidden", behind_partition(1_200_000), second.clone()).rules["2"],
        0
    );
    assert_eq!(
        check_dispatches("before-the-cut", behind_partition(2_400_000), second).rules["2"],
        1
    );
    // A second dispatch that the partition delayed may have been sent before the first one.
    let long_dispatch =
        |at: i64| json!({"start": {"t": at}, "end": {"t": 3_900_000, "how": "answered"}});
    let held = json!({"start": {"t": 2_000_000, "held_since": 1_400_000}, "end": {"t": 2_100_000, "how": "repeat"}});
    assert_eq!(
        check_dispatches("held-back", long_dispatch(1_600_000), held.clone()).rules["2"],
        0
    );
    assert_eq!(
        check_dispatches("in-flight-before", long_dispatch(1_100_000), held).rules["2"],
        1
    );
}

/// Guards against a false violation of rule 1: a dispatch that was sent before the answer may be received after the
/// answer, because a partition delayed it.
#[test]
fn a_delayed_dispatch_may_have_been_sent_when_the_partition_began() {
    let first = json!({"start": {"t": 1_100_000}, "end": {"t": 1_200_000, "how": "answered"}});
    // The answer is sent at 4 s.
    let late = |since: Value| json!({"start": {"t": 5_000_000, "held_since": since}, "end": {"t": 5_100_000, "how": "repeat"}});
    for (name, since, expected_violations) in [
        ("cut-before", json!(3_000_000), 0),
        ("cut-after", json!(4_900_000), 1),
        ("no-cut", Value::Null, 1),
    ] {
        assert_eq!(
            check_dispatches(name, first.clone(), late(since)).rules["1"],
            expected_violations,
            "{name}"
        );
    }
}

const ROUTER: &str = "127.0.10.1";

/// A line that a directed link is held, or no longer held.
fn link(t: i64, from: &str, to: &str, on: bool) -> Value {
    json!({"t": t, "what": "link", "from": from, "to": to, "why": "held", "on": on, "most_us": null})
}

/// A line that the router is paused or resumed.
fn paused(t: i64, on: bool) -> Value {
    json!({"t": t, "what": "router-paused", "address": ROUTER, "on": on})
}

/// Faults that the test cluster logs count like those that an emulator records. A fault of another link, or one that
/// ended more than half a second before, excuses nothing.
#[test]
fn a_held_link_is_excused_like_a_partition() {
    let first = json!({"start": {"t": 1_100_000}, "end": {"t": 3_000_000, "how": "answered"}});
    let second = json!({"start": {"t": 1_500_000}, "end": {"t": 1_600_000, "how": "answered"}});
    let violations = |name: &str, link_lines: Vec<Value>| {
        check_dispatches_with(name, first.clone(), second.clone(), link_lines).rules["2"]
    };
    assert_eq!(violations("link-not-held", Vec::new()), 1);
    assert_eq!(
        violations(
            "link-held",
            vec![link(1_200_000, ROUTER, "worker-00", true)]
        ),
        0
    );
    assert_eq!(
        violations(
            "link-reverse",
            vec![link(1_200_000, "worker-00", ROUTER, true)]
        ),
        1
    );
    assert_eq!(
        violations(
            "link-other",
            vec![link(1_200_000, ROUTER, "worker-01", true)]
        ),
        1
    );
    let ended = vec![
        link(1_200_000, ROUTER, "worker-00", true),
        link(1_300_000, ROUTER, "worker-00", false),
    ];
    assert_eq!(violations("link-ended", ended), 1);
    // The second dispatch is received after the answer, which is sent at 4 s.
    let late = json!({"start": {"t": 5_000_000}, "end": {"t": 5_100_000, "how": "repeat"}});
    let violations_after_answer = |name: &str, began: i64, ended: i64| {
        let cut = vec![
            link(began, ROUTER, "worker-00", true),
            link(ended, ROUTER, "worker-00", false),
        ];
        check_dispatches_with(name, second.clone(), late.clone(), cut).rules["1"]
    };
    assert_eq!(
        violations_after_answer("link-held-before-answer", 3_000_000, 4_950_000),
        0
    );
    assert_eq!(
        violations_after_answer("link-held-after-answer", 4_200_000, 4_950_000),
        1
    );
    assert_eq!(
        violations_after_answer("link-ended-long-before", 3_000_000, 4_400_000),
        1
    );
}

/// The timeout of the client ends at 9 s, and the answer is sent at 12 s. Guards against late answers that are excused
/// although their router was able to answer, and against those that are not excused although it was not.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
)]
fn an_answer_may_be_late_only_while_its_router_is_paused_or_partitioned() {
    let check_answer = |name: &str, answer: Vec<Value>, more: Vec<Value>| {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let dispatch =
            json!({"start": {"t": 1_100_000}, "end": {"t": 1_200_000, "how": "answered"}});
        check_dispatches_with(name, dispatch.clone(), dispatch, Vec::new());
        let mut lines = vec![
            json!({"t": 1_000_000, "what": "published", "id": "i1", "type": "resize", "queue": "q", "timeout": 8_000_000}),
            json!({"t": 1_000_100, "what": "delivered", "id": "i1", "to": ROUTER, "queue": "q"}),
        ];
        lines.extend(answer.into_iter().chain(more));
        write(&folder, &lines);
        let verdict = check(&folder).expect("a verdict");
        (verdict.rules["1"], verdict.held_by_rig)
    };
    let answer = json!({"t": 12_000_000, "what": "published", "id": "i1", "from": ROUTER, "fate": "succeeded", "reason": "worker"});
    let check_late = |name: &str, more: Vec<Value>| check_answer(name, vec![answer.clone()], more);
    let check_call = |name: &str, more: Vec<Value>| check_answer(name, Vec::new(), more);
    assert_eq!(check_late("late", Vec::new()), (1, 0));
    assert_eq!(
        check_late(
            "late-paused",
            vec![paused(7_000_000, true), paused(11_900_000, false)]
        ),
        (0, 1)
    );
    assert_eq!(
        check_late(
            "late-after",
            vec![paused(7_000_000, true), paused(8_500_000, false)]
        ),
        (1, 0)
    );
    assert_eq!(
        check_late(
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
        assert_eq!(check_late("late-cut", cut), (0, 1));
    }
    // A KServe call whose client closed the connection one second after its timeout.
    let lost = |at: i64| json!({"t": at, "what": "lost", "id": "i1", "to": ROUTER});
    assert_eq!(check_call("lost", vec![lost(10_000_000)]), (1, 0));
    let paused_until = |until: i64| {
        vec![
            paused(7_000_000, true),
            paused(until, false),
            lost(10_000_000),
        ]
    };
    assert_eq!(check_call("lost-paused", paused_until(9_900_000)), (0, 1));
    assert_eq!(check_call("lost-after", paused_until(9_500_000)), (1, 0));
    assert_eq!(
        check_late(
            "late-elsewhere",
            vec![link(7_000_000, ROUTER, "worker-00", true)]
        ),
        (1, 0)
    );
}

/// The router is notified at 2 s, and the drain grace is half a second. The dispatch at 3.9 s violates the rule unless
/// a fault delayed the notification or restarted the grace.
#[test]
fn drain_deadline_starts_when_the_router_is_reachable() {
    let violations = |name: &str, more: Vec<Value>| {
        let first = json!({"start": {"t": 1_100_000}, "end": {"t": 1_200_000, "how": "answered"}});
        let late = json!({"start": {"t": 3_900_000}, "end": {"t": 3_950_000, "how": "answered"}});
        let mut lines = vec![
            json!({"t": 1, "what": "up", "address": "127.0.0.1:1", "cores": 4, "cold": false}),
            json!({"t": 2_000_000, "what": "told", "to": ROUTER, "worker": "127.0.0.1:1", "gone": false, "draining": true}),
        ];
        lines.extend(more);
        check_dispatches_with(name, first, late, lines).rules["3"]
    };
    assert_eq!(violations("drain", Vec::new()), 1);
    assert_eq!(
        violations(
            "drain-paused",
            vec![paused(2_200_000, true), paused(3_800_000, false)]
        ),
        0
    );
    assert_eq!(
        violations(
            "drain-resumed-early",
            vec![paused(2_200_000, true), paused(3_000_000, false)]
        ),
        1
    );
    assert_eq!(
        violations(
            "drain-paused-late",
            vec![paused(2_700_000, true), paused(3_800_000, false)]
        ),
        1
    );
    let held_until = |ended: i64| {
        vec![
            link(1_900_000, "list", ROUTER, true),
            link(ended, "list", ROUTER, false),
        ]
    };
    assert_eq!(violations("drain-not-received", held_until(3_800_000)), 0);
    assert_eq!(violations("drain-received", held_until(3_000_000)), 1);
}

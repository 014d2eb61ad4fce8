//! The judge on logs written by hand: two dispatches at once are told from what a cut kept from being seen.

use std::path::Path;

use cedarpulley_audit::{Verdict, judge};
use serde_json::{Value, json};

fn judged(name: &str, first: Value, second: Value) -> Verdict {
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
            let mut line =
                json!({"what": what, "id": "i1", "from": "127.0.10.1", "dispatch": number.to_string()});
            for (name, value) in dispatch[part].as_object().into_iter().flatten() {
                line[name] = value.clone();
            }
            line
        };
        lines.extend([merged("received", "came"), merged("left", "went")]);
    }
    let text: Vec<String> = lines.iter().map(Value::to_string).collect();
    std::fs::write(folder.join("traffic/all.ndjson"), text.join("\n")).expect("written");
    judge(&folder).expect("a verdict")
}

#[test]
fn two_dispatches_at_once_are_seen() {
    let second = json!({"came": {"t": 1_500_000}, "went": {"t": 1_600_000, "how": "answered"}});
    let first = json!({"came": {"t": 1_100_000}, "went": {"t": 2_500_000, "how": "answered"}});
    assert_eq!(judged("at-once", first, second.clone()).rules["2"], 1);
    let hung_up = json!({"came": {"t": 1_100_000}, "went": {"t": 1_510_000, "how": "closed"}});
    assert_eq!(judged("one-by-one", hung_up, second).rules["2"], 0);
}

#[test]
fn a_cut_hides_a_hanging_up_but_not_what_was_out_before_it() {
    // Its router timed it out; the worker behind the cut went on.
    let behind = |since: i64| json!({"came": {"t": 1_100_000}, "went": {"t": 3_000_000, "how": "answered", "unseen_since": since}});
    let second = json!({"came": {"t": 1_500_000}, "went": {"t": 1_600_000, "how": "answered"}});
    assert_eq!(judged("hidden", behind(1_200_000), second.clone()).rules["2"], 0);
    assert_eq!(judged("before-the-cut", behind(2_400_000), second).rules["2"], 1);
    // A second one that the cut held back may have been sent before the first.
    let long = |at: i64| json!({"came": {"t": at}, "went": {"t": 3_900_000, "how": "answered"}});
    let held =
        json!({"came": {"t": 2_000_000, "held_since": 1_400_000}, "went": {"t": 2_100_000, "how": "repeat"}});
    assert_eq!(judged("held-back", long(1_600_000), held.clone()).rules["2"], 0);
    assert_eq!(judged("out-all-along", long(1_100_000), held).rules["2"], 1);
}

/// Symptom: what left before the answer reaches its worker after it, as a cut held it back.
#[test]
fn a_dispatch_that_a_cut_held_back_was_sent_when_the_cut_began_at_the_earliest() {
    let first = json!({"came": {"t": 1_100_000}, "went": {"t": 1_200_000, "how": "answered"}});
    // The answer leaves at 4 s.
    let late = |since: Value| json!({"came": {"t": 5_000_000, "held_since": since}, "went": {"t": 5_100_000, "how": "repeat"}});
    for (name, since, broken) in
        [("cut-before", json!(3_000_000), 0), ("cut-after", json!(4_900_000), 1), ("no-cut", Value::Null, 1)]
    {
        assert_eq!(judged(name, first.clone(), late(since)).rules["1"], broken, "{name}");
    }
}

//! Runs complete scenarios with the built program: the invariant checker finds each deliberate violation of a rule, and no
//! violation in an unmodified run. Also checks the handling of invalid settings and files.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cedarpulley");

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn cedarpulley(args: &[&str]) -> Output {
    Command::new(PROGRAM)
        .current_dir(root())
        .args(args)
        .output()
        .expect("the program starts")
}

/// Returns the path of an output of this name.
fn out(name: &str) -> String {
    Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(name)
        .display()
        .to_string()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn last_line(o: &Output) -> String {
    text(&o.stdout)
        .lines()
        .last()
        .unwrap_or_default()
        .to_owned()
}

/// Reads the verdict of the invariant checker from the folder of a run.
fn verdict(folder: &str) -> serde_json::Value {
    let text = std::fs::read_to_string(Path::new(folder).join("audit.json"))
        .expect("a verdict was written");
    serde_json::from_str(&text).expect("JSON")
}

#[test]
fn a_short_scenario_has_no_violation_and_each_tampered_one_is_detected() {
    let kinds = [
        ("", 0),
        ("late", 1),
        ("lost", 1),
        ("double", 1),
        ("repeat", 2),
        ("deaf", 3),
        ("push", 4),
        ("orders", 5),
    ];
    // Only three at a time, so that no scenario is delayed by a lack of processor cores.
    for some in kinds.chunks(3) {
        std::thread::scope(|scope| {
            for &(kind, rule) in some {
                scope.spawn(move || {
                    let folder = out(&format!("day-{kind}"));
                    let mut args = vec!["day", "days/short.toml", "--out", &folder];
                    if !kind.is_empty() {
                        args.extend(["--tamper", kind]);
                    }
                    let o = cedarpulley(&args);
                    let v = verdict(&folder);
                    if kind.is_empty() {
                        assert_eq!(
                            o.status.code(),
                            Some(0),
                            "{}{}",
                            text(&o.stdout),
                            text(&o.stderr)
                        );
                        let n = &v["invocations"];
                        assert_eq!(
                            last_line(&o),
                            format!("audit: {n} invocations, {n} answers, 0 breaks")
                        );
                        assert!(n.as_u64() > Some(500));
                    } else {
                        assert_eq!(o.status.code(), Some(1), "{kind}: {}", text(&o.stdout));
                        assert!(
                            v["rules"][rule.to_string()].as_u64() > Some(0),
                            "{kind}: {}",
                            v["rules"]
                        );
                    }
                    if kind == "lost" {
                        assert!(v["unanswered"].as_u64() > Some(0));
                    }
                    if kind == "double" {
                        assert!(v["double_answers"].as_u64() > Some(0));
                    }
                });
            }
        });
    }
    // A repeated check of a stored run has the same result.
    let again = cedarpulley(&["audit", &out("day-lost")]);
    assert_eq!(again.status.code(), Some(1));
    assert_eq!(cedarpulley(&["audit", &out("day-")]).status.code(), Some(0));
}

#[test]
fn invalid_settings_are_rejected_with_one_line_for_each_error() {
    let file = out("wrong.toml");
    let wrong = r#"
[router]
memory = 3
[rules]
cold_part = 1.5
[[trigger]]
name = "a"
effect = "non-idempotent"
latency_objective_ms = 900
client_timeout_ms = 800
second_copies = true
[[account]]
name = "x"
share = 0.8
[[account]]
name = "y"
share = 0.7
[[amqp]]
broker = "10.0.0.1:5672"
queue = "q"
share_of = "z"
[workers]
watch = "127.0.0.1:8070"
"#;
    std::fs::write(&file, wrong).expect("written");
    let o = cedarpulley(&["check", &file]);
    assert_eq!(o.status.code(), Some(2));
    let said = text(&o.stderr);
    let lines: Vec<&str> = said.lines().collect();
    let expected = [
        (3, "router.memory: is unknown"),
        (5, "rules.cold_part: 1.5 is not within 0 to 1"),
        (
            9,
            "trigger[0].latency_objective_ms: is above the client timeout",
        ),
        (11, "trigger[0].second_copies: what must never run twice"),
        (12, "account: the shares sum to 1.5"),
        (
            19,
            "amqp[0].broker: 10.0.0.1:5672 is not a loopback address",
        ),
        (21, "amqp[0].share_of: there is no account 'z'"),
    ];
    assert_eq!(lines.len(), expected.len(), "{said}");
    for (line, (number, cause)) in lines.iter().zip(expected) {
        assert!(
            line.starts_with(&format!("{file}:{number}: {cause}")),
            "{line}"
        );
    }
    assert_eq!(cedarpulley(&["serve", &file]).status.code(), Some(2));
    std::fs::write(&file, "[router\n").expect("written");
    let o = cedarpulley(&["check", &file]);
    assert_eq!(
        (o.status.code(), text(&o.stderr).lines().count()),
        (Some(2), 1)
    );
}

#[test]
fn invalid_input_exits_with_code_2_and_one_line() {
    for args in [
        ["day", "days/none.toml"],
        ["audit", "days"],
        ["check", "README.md"],
        ["day", "Cargo.toml"],
    ] {
        let o = cedarpulley(&args);
        assert_eq!(
            (o.status.code(), text(&o.stderr).lines().count()),
            (Some(2), 1),
            "{args:?}"
        );
    }
}

#[test]
fn ledgers_are_reported_and_merged_and_invalid_ones_rejected() {
    use cedarpulley_usage_metering::usage::{Usage, UsageByKey, UsageKey, UsageKind};
    use cedarpulley_usage_store::Ledger;
    let folder = PathBuf::from(out("ledgers"));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    for (source, router) in [(1, "one"), (2, "other")] {
        let mut sums = UsageByKey::default();
        let (account, function) = ("amber, inc".into(), "f".into());
        let key = UsageKey {
            hour: 480_000,
            account,
            function,
            kind: UsageKind::Running,
        };
        sums.add(
            key,
            Usage {
                byte_us: 3_000_000_000_000,
                count: source as u64,
            },
        );
        let ledger =
            Ledger::open(&folder.join(format!("{router}.ledger"))).expect("the ledger opens");
        let part = cedarpulley_usage_metering::UsageDelta {
            sums,
            ..Default::default()
        };
        ledger.add(source, router, &part).expect("written");
    }
    let (all, merged) = (
        folder.display().to_string(),
        folder.join("all").display().to_string(),
    );
    let csv = |file: &str| {
        let o = cedarpulley(&["meter", "report", file, "--by", "tenant,hour", "--csv"]);
        assert_eq!(o.status.code(), Some(0), "{}", text(&o.stderr));
        text(&o.stdout)
    };
    let line = "\"amber, inc\",1728000000,6.000000,6000000000000,3";
    assert!(csv(&all).lines().any(|l| l == line), "{}", csv(&all));
    // Merging twice into the same file changes nothing.
    for _ in 0..2 {
        assert_eq!(
            cedarpulley(&["meter", "merge", &all, "--out", &merged])
                .status
                .code(),
            Some(0)
        );
        assert_eq!(csv(&merged), csv(&all));
    }
    std::fs::write(folder.join("bad"), "no ledger").expect("written");
    let bad = folder.join("bad").display().to_string();
    for wrong in [bad.as_str(), "/none"] {
        let o = cedarpulley(&["meter", "report", wrong]);
        assert_eq!(
            (o.status.code(), text(&o.stderr).lines().count()),
            (Some(2), 1),
            "{}",
            text(&o.stderr)
        );
    }
}

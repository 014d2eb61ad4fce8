//! The settings of upgrades: their section, and the operator's orders in a file beside it.

use std::path::Path;

use cedarpulley_gateway::{settings, upgrades};

const PEERS: &str = r#"
[peers]
listen = "127.0.0.1:7101"
group = "g"
name = "r0"
[[peers.member]]
name = "r0"
address = "127.0.0.1:7101"
"#;

fn text(more: &str) -> String {
    format!(
        r#"
[[trigger]]
name = "t"
effect = "idempotent"
latency_objective_ms = 100
client_timeout_ms = 1000
[[kserve]]
listen = "127.0.0.1:7100"
[workers]
watch = "127.0.0.1:7102"
{more}"#
    )
}

fn read(folder: &Path, more: &str) -> Result<settings::RouterSettings, Vec<String>> {
    let file = folder.join("router.toml").display().to_string();
    settings::read(&file, &text(more), false).map_err(|errors| errors.0)
}

fn orders(folder: &Path, text: &str) -> Result<usize, Vec<String>> {
    let file = folder.join("orders.toml");
    std::fs::write(&file, text).expect("written");
    upgrades::read(&file)
        .map(|orders| orders.len())
        .map_err(|errors| errors.0)
}

const GOOD: &str = "[[order]]\nmodel = \"m\"\nto = \"2\"\nserial = 1\ndrain_limit_ms = 9000\n";

#[test]
fn orders_are_accepted_or_rejected_as_a_whole_with_one_line_per_cause() {
    let folder = tempfile::tempdir().expect("a folder");
    let at = folder.path();
    assert_eq!(orders(at, ""), Ok(0));
    assert_eq!(orders(at, GOOD), Ok(1));
    assert_eq!(
        orders(
            at,
            &format!("{GOOD}{}", GOOD.replace("serial = 1", "serial = 2"))
        ),
        Ok(2)
    );
    let wrong = orders(
        at,
        "[[order]]\nmodel = \"m\"\nto = \"2/3\"\nserial = 1\ndrain_limit_ms = 1\n\
         [[order]]\nmodel = \"n\"\nto = \"2\"\nserial = 1\ndrain_limit_ms = 1\nfloor = 2\nfloors = 1\n",
    )
    .expect_err("three causes");
    assert_eq!(wrong.len(), 3, "{wrong:?}");
    for (line, says) in wrong.iter().zip([
        "orders.toml:2: order[0].model",
        ":11: order[1].floor",
        ":12: ",
    ]) {
        assert!(line.contains(says), "{line}");
    }
    let twice = orders(at, &format!("{GOOD}{GOOD}")).expect_err("one serial for two");
    assert!(twice[0].contains("two orders"), "{twice:?}");
    std::fs::remove_file(at.join("orders.toml")).expect("removed");
    assert!(upgrades::read(&at.join("orders.toml")).is_err());
}

#[test]
fn upgrades_are_off_by_default_and_require_a_group_and_readable_orders() {
    let folder = tempfile::tempdir().expect("a folder");
    let at = folder.path();
    let section = "[reconcile]\n[upgrade]\norder = \"orders.toml\"\n";
    let plain = read(at, PEERS).unwrap_or_else(|e| panic!("{e:?}"));
    assert!(plain.upgrade.is_none() && plain.sessions.is_none());
    let no_file = read(at, &format!("{PEERS}{section}"))
        .err()
        .expect("no file");
    assert!(no_file[0].contains("orders.toml"), "{no_file:?}");
    std::fs::write(at.join("orders.toml"), GOOD).expect("written");
    let alone = read(at, section).err().expect("no group");
    assert!(alone[0].contains("[peers]"), "{alone:?}");
    let parts =
        read(at, &format!("{PEERS}{section}lease_ms = 900\n")).unwrap_or_else(|e| panic!("{e:?}"));
    let upgrade = parts.upgrade.expect("upgrades");
    assert_eq!(
        (
            upgrade.orders.len(),
            upgrade.planner_settings.lease,
            upgrade.latency_objectives
        ),
        (1, 900_000, vec![100_000])
    );
    assert!(parts.sessions.is_some());
    let short = read(at, &format!("{PEERS}{section}session_kept_ms = 2000\n"))
        .err()
        .expect("too short");
    assert!(short[0].contains("session_kept_ms"), "{short:?}");
    let unknown = read(at, &format!("{PEERS}{section}lease = 1\n"))
        .err()
        .expect("unknown");
    assert!(unknown[0].contains("lease"), "{unknown:?}");
}

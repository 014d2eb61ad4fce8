//! Tests the settings of upgrades: the section `[upgrade]`, and the operator's orders in a separate file. Guards against
//! orders that are accepted in part, and against upgrades without a group or with an unreadable file of orders.

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

/// A configuration without `[peers]`, followed by further sections.
fn config_text(more: &str) -> String {
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

/// Reads a configuration with these further sections.
fn read(folder: &Path, more: &str) -> Result<settings::RouterSettings, Vec<String>> {
    let file = folder.join("router.toml").display().to_string();
    settings::read(&file, &config_text(more), false).map_err(|errors| errors.0)
}

/// Reads orders from a file with this text; returns their number, or the error lines.
fn orders(folder: &Path, text: &str) -> Result<usize, Vec<String>> {
    let file = folder.join("orders.toml");
    std::fs::write(&file, text).expect("written");
    upgrades::read(&file)
        .map(|orders| orders.len())
        .map_err(|errors| errors.0)
}

/// One valid order.
const VALID_ORDER: &str =
    "[[order]]\nmodel = \"m\"\nto = \"2\"\nserial = 1\ndrain_limit_ms = 9000\n";

#[test]
fn orders_are_accepted_or_rejected_as_a_whole_with_one_line_per_cause() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path();
    assert_eq!(orders(path, ""), Ok(0));
    assert_eq!(orders(path, VALID_ORDER), Ok(1));
    assert_eq!(
        orders(
            path,
            &format!(
                "{VALID_ORDER}{}",
                VALID_ORDER.replace("serial = 1", "serial = 2")
            )
        ),
        Ok(2)
    );
    let invalid = orders(
        path,
        "[[order]]\nmodel = \"m\"\nto = \"2/3\"\nserial = 1\ndrain_limit_ms = 1\n\
         [[order]]\nmodel = \"n\"\nto = \"2\"\nserial = 1\ndrain_limit_ms = 1\nfloor = 2\nfloors = 1\n",
    )
    .expect_err("three causes");
    assert_eq!(invalid.len(), 3, "{invalid:?}");
    for (line, expected) in invalid.iter().zip([
        "orders.toml:2: order[0].model",
        ":11: order[1].floor",
        ":12: ",
    ]) {
        assert!(line.contains(expected), "{line}");
    }
    let duplicate = orders(path, &format!("{VALID_ORDER}{VALID_ORDER}"))
        .expect_err("one serial for two orders");
    assert!(duplicate[0].contains("two orders"), "{duplicate:?}");
    std::fs::remove_file(path.join("orders.toml")).expect("removed");
    assert!(upgrades::read(&path.join("orders.toml")).is_err());
}

#[test]
fn upgrades_are_off_by_default_and_require_a_group_and_readable_orders() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path();
    let section = "[reconcile]\n[upgrade]\norder = \"orders.toml\"\n";
    let without_upgrades = read(path, PEERS).unwrap_or_else(|e| panic!("{e:?}"));
    assert!(without_upgrades.upgrade.is_none() && without_upgrades.sessions.is_none());
    let no_file = read(path, &format!("{PEERS}{section}"))
        .err()
        .expect("no file of orders");
    assert!(no_file[0].contains("orders.toml"), "{no_file:?}");
    std::fs::write(path.join("orders.toml"), VALID_ORDER).expect("written");
    let without_group = read(path, section).err().expect("no group");
    assert!(without_group[0].contains("[peers]"), "{without_group:?}");
    let parts = read(path, &format!("{PEERS}{section}lease_ms = 900\n"))
        .unwrap_or_else(|e| panic!("{e:?}"));
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
    let short_retention = read(path, &format!("{PEERS}{section}session_kept_ms = 2000\n"))
        .err()
        .expect("retention too short");
    assert!(
        short_retention[0].contains("session_kept_ms"),
        "{short_retention:?}"
    );
    let unknown_key = read(path, &format!("{PEERS}{section}lease = 1\n"))
        .err()
        .expect("unknown key");
    assert!(unknown_key[0].contains("lease"), "{unknown_key:?}");
}

//! Tests the parsing of the configuration file.

use cedarpulley_errors::Remedy;
use cedarpulley_platform::config::{StartupConfig, discovery_address_of};

/// A valid configuration file.
const CONFIG_JSON: &str = r#"{"name":"n0","listen":"127.0.0.1:1","seed":"6444882f5c620abb",
    "channel":"127.0.0.1:7070",
    "limits":{"cores":1.0,"memory_mb":64,"sockets":256},"known":{"cursor":0,"cmds":[]},"unknown":[1],
    "settings":{"granularity":1000000,"zones":["east"],"kinds":["std"],
    "orgs":[{"name":"acme","allowancePerS":5}],
    "services":[{"name":"call","aim":400000000,"hardLimit":1000000000,"effect":"retryable","window":null}],
    "familyInfo":{"machineMb":[100,250.5],"mayLoad":true},
    "permissions":{"streamsPerConn":100,"keepalive":15000000000}}}"#;

#[test]
fn configuration_is_parsed_with_the_names_and_units_of_the_platform() {
    let config = StartupConfig::parse(CONFIG_JSON).expect("good");
    assert_eq!(
        (
            config.seed,
            config.limits.sockets,
            config.largest_machine_mb
        ),
        (0x6444_882f_5c62_0abb, 256, 250.5)
    );
    assert_eq!(
        (
            config.worker_connections.max_streams,
            config.worker_connections.keepalive
        ),
        (100, 15_000_000)
    );
    let trigger = &config.settings.triggers[0];
    assert_eq!(
        (trigger.latency_objective, trigger.client_timeout),
        (400_000, 1_000_000)
    );
    assert!(config.settings.loads.load_orders && config.settings.loads.memory_mb == [100.0, 250.5]);
    assert_eq!(config.names.accounts, ["acme"]);
    assert_eq!(
        discovery_address_of(r#"{"channel":"127.0.0.2:9"}"#)
            .expect("good")
            .port(),
        9
    );
}

#[test]
fn invalid_configuration_is_reported_on_one_line_with_its_cause() {
    for (from, to) in [
        ("\"6444882f5c620abb\"", "\"xyz\""),
        ("\"channel\":\"127.0.0.1:7070\"", "\"channel\":\"here\""),
        ("\"known\":{\"cursor\":0,\"cmds\":[]}", "\"known\":3"),
        ("\"retryable\"", "\"odd\""),
        ("\"services\":[", "\"others\":["),
        ("\"sockets\":256", "\"sockets\":0"),
        ("}}}", ""),
    ] {
        let error = StartupConfig::parse(&CONFIG_JSON.replace(from, to))
            .expect_err(to)
            .line();
        assert!(
            !error.starts_with(';') && error.contains("; ") && !error.contains('\n'),
            "{error}"
        );
    }
}

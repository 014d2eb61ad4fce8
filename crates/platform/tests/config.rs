//! The configuration file.

use cedarpulley_errors::Remedy;
use cedarpulley_platform::config::{StartupConfig, discovery_address_of};

const START: &str = r#"{"name":"n0","listen":"127.0.0.1:1","seed":"6444882f5c620abb",
    "channel":"127.0.0.1:7070",
    "limits":{"cores":1.0,"memory_mb":64,"sockets":256},"known":{"cursor":0,"cmds":[]},"unknown":[1],
    "settings":{"granularity":1000000,"zones":["east"],"kinds":["std"],
    "orgs":[{"name":"acme","allowancePerS":5}],
    "services":[{"name":"call","aim":400000000,"hardLimit":1000000000,"effect":"retryable","window":null}],
    "familyInfo":{"machineMb":[100,250.5],"mayLoad":true},
    "permissions":{"streamsPerConn":100,"keepalive":15000000000}}}"#;

#[test]
fn configuration_is_read_in_the_simulators_names_and_units() {
    let start = StartupConfig::parse(START).expect("good");
    assert_eq!(
        (start.seed, start.limits.sockets, start.largest_machine_mb),
        (0x6444_882f_5c62_0abb, 256, 250.5)
    );
    assert_eq!(
        (
            start.worker_connections.max_streams,
            start.worker_connections.keepalive
        ),
        (100, 15_000_000)
    );
    let trigger = &start.settings.triggers[0];
    assert_eq!(
        (trigger.latency_objective, trigger.client_timeout),
        (400_000, 1_000_000)
    );
    assert!(start.settings.loads.load_orders && start.settings.loads.memory_mb == [100.0, 250.5]);
    assert_eq!(start.names.accounts, ["acme"]);
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
        let error = StartupConfig::parse(&START.replace(from, to))
            .expect_err(to)
            .line();
        assert!(
            !error.starts_with(';') && error.contains("; ") && !error.contains('\n'),
            "{error}"
        );
    }
}

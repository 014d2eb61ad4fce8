//! Tests how settings with unusual names and values are read, in pairs and in JSON.

use cedarpulley::interface::{
    Action, Arrival, Endpoint, EndpointListKind, EndpointState, Event, Micros,
};
use cedarpulley_startup::{RawSettings, StartupSettings};
use serde_json::{Value, json};

const SECOND: Micros = 1_000_000;

fn read(settings: &Value) -> StartupSettings {
    let raw = RawSettings::from_json(settings).expect("an object");
    StartupSettings::read(&raw).expect("valid settings")
}

/// The balancer's actions for one worker in service and one invocation of the first trigger type.
fn first_actions(settings: &StartupSettings, client_timeout: Micros) -> Vec<Action> {
    let mut balancer = settings.balancer(1);
    let worker = Endpoint {
        worker: 0,
        fingerprint: 7,
        zone: 0,
        machine_kind: 0,
        cell: 0,
        state: EndpointState::InService,
        weight: 1.0,
        started_at: None,
    };
    let arrival = Arrival {
        invocation: 0,
        trigger: 0,
        account: 0,
        function: 0,
        fingerprint: 9,
        cost_hint: None,
        load_hint: None,
        copy_mb: 0.0,
        lanes: 1,
        client_timeout_in: client_timeout,
        waited: 0,
        repeat: false,
        preferred_worker: None,
    };
    let mut actions = Vec::new();
    balancer.handle(
        0,
        &Event::EndpointList {
            kind: EndpointListKind::Complete,
            endpoints: &[worker],
        },
        &mut actions,
    );
    balancer.handle(1, &Event::Invocation(arrival), &mut actions);
    actions
}

/// Guards against splitting list values at commas: a zone named `hall a, north` would count as two zones, and every
/// zone after it would have a wrong index.
#[test]
fn a_list_value_may_contain_a_comma() {
    let settings = json!({"zones": ["hall a, north", "", "hall b"], "kinds": []});
    let raw = RawSettings::from_json(&settings).expect("an object");
    assert_eq!(
        raw.list("zones").collect::<Vec<_>>(),
        ["hall a, north", "", "hall b"]
    );
    assert_eq!(raw.list("kinds").count() + raw.list("absent").count(), 0);
}

/// In pairs, the values of a list are joined by commas and cannot contain commas themselves.
#[test]
fn lists_in_pairs_are_separated_by_commas() {
    let raw = RawSettings::from_pairs("zones=a,b_c kinds=").expect("pairs");
    assert_eq!(raw.list("zones").collect::<Vec<_>>(), ["a", "b_c"]);
    assert_eq!(raw.list("kinds").count(), 0);
}

/// Guards against an unlimited default objective: the balancer would estimate the work of the trigger type as
/// unlimited, and reject each invocation at once.
#[test]
fn a_trigger_type_without_a_latency_objective_is_dispatched() {
    let service =
        json!({"name": "run", "hardLimit": 2_000_000_000, "effect": "retryable", "aim": null});
    let settings =
        read(&json!({"services": [service], "familyInfo": {"staysLoaded": 10_000_000_000i64}}));
    let actions = first_actions(&settings, 2 * SECOND);
    let is_dispatch = |action: &Action| {
        matches!(
            action,
            Action::Dispatch {
                invocation: 0,
                worker: 0,
                ..
            }
        )
    };
    assert!(actions.iter().any(is_dispatch), "{actions:?}");
    assert_eq!(settings.triggers[0].latency_objective, 2 * SECOND);
}

/// Guards against a default timeout of 0, with which each load order would time out as soon as it is sent.
#[test]
fn a_load_order_defaults_to_the_longest_client_timeout() {
    let service = |limit: i64| json!({"name": "run", "hardLimit": limit, "aim": 300_000_000});
    let services = [service(600_000_000), service(2_000_000_000)];
    let settings = json!({"services": services, "familyInfo": {"mayLoad": true}});
    assert_eq!(read(&settings).loads.order_timeout, 2 * SECOND);
    let named = json!({"services": services, "familyInfo": {"mayLoad": true, "answerWithin": 7_000_000_000i64}});
    assert_eq!(read(&named).loads.order_timeout, 7 * SECOND);
}

/// Guards against reading `-` in JSON as absence: with a tenant called `-`, the router would not start, because
/// the tenant's name would seem to be missing.
#[test]
fn a_hyphen_means_absent_in_pairs_and_is_a_value_in_json() {
    let settings = json!({"orgs": [{"name": "-", "share": null}]});
    let raw = RawSettings::from_json(&settings).expect("an object");
    assert_eq!(raw.text("orgs.0.name"), Some("-"));
    assert_eq!(
        (raw.text("orgs.0.share"), raw.text("orgs.1.name")),
        (None, None)
    );
    // In pairs, a hyphen means that the value is absent.
    assert_eq!(
        RawSettings::from_pairs("orgs.0.name=-")
            .expect("pairs")
            .text("orgs.0.name"),
        None
    );
}

/// Guards against ignoring a list where a single value is expected, as if the setting were absent.
#[test]
fn a_list_where_one_value_is_expected_is_rejected() {
    for aim in [json!([1, 2]), json!([])] {
        let raw = json!({"services": [{"name": "run", "aim": aim}]});
        let raw = RawSettings::from_json(&raw).expect("an object");
        let error = StartupSettings::read(&raw).expect_err("a list is not a time");
        assert!(error.to_string().contains("services.0.aim"), "{error}");
    }
}

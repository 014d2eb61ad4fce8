//! Settings of customers whose names and choices are unlike those of any other.

use cedarpulley::interface::{
    Action, Arrival, Endpoint, EndpointListKind, EndpointState, Event, Micros,
};
use cedarpulley_startup::{RawSettings, StartupSettings};
use serde_json::{Value, json};

const SECOND: Micros = 1_000_000;

fn read(settings: &Value) -> StartupSettings {
    let raw = RawSettings::nested(settings).expect("an object");
    StartupSettings::read(&raw).expect("good settings")
}

/// One worker in service and one request of the first class, whose client waits for so long: what the module does.
fn first_actions(settings: &StartupSettings, client_gives_up_in: Micros) -> Vec<Action> {
    let mut control = settings.balancer(1);
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
        client_timeout_in: client_gives_up_in,
        waited: 0,
        repeat: false,
        preferred_worker: None,
    };
    let mut actions = Vec::new();
    control.handle(
        0,
        &Event::EndpointList {
            kind: EndpointListKind::Complete,
            endpoints: &[worker],
        },
        &mut actions,
    );
    control.handle(1, &Event::Invocation(arrival), &mut actions);
    actions
}

/// Symptom: a zone named `hall a, north` counts as two, and every zone after it has the wrong place in the list.
#[test]
fn a_name_in_a_list_may_hold_a_comma() {
    let settings = json!({"zones": ["hall a, north", "", "hall b"], "kinds": []});
    let raw = RawSettings::nested(&settings).expect("an object");
    assert_eq!(
        raw.list("zones").collect::<Vec<_>>(),
        ["hall a, north", "", "hall b"]
    );
    assert_eq!(raw.list("kinds").count() + raw.list("absent").count(), 0);
}

/// Pairs join the values of a list with commas, and have none within a value.
#[test]
fn pairs_give_a_list_joined_with_commas() {
    let raw = RawSettings::pairs("zones=a,b_c kinds=").expect("pairs");
    assert_eq!(raw.list("zones").collect::<Vec<_>>(), ["a", "b_c"]);
    assert_eq!(raw.list("kinds").count(), 0);
}

/// Symptom: without an aim the module takes the work of a class to be endless and gives up each of its requests at once.
#[test]
fn a_class_without_an_aim_is_served() {
    let service =
        json!({"name": "run", "hardLimit": 2_000_000_000, "effect": "retryable", "aim": null});
    let settings =
        read(&json!({"services": [service], "familyInfo": {"staysLoaded": 10_000_000_000i64}}));
    let actions = first_actions(&settings, 2 * SECOND);
    let sent = |a: &Action| {
        matches!(
            a,
            Action::Dispatch {
                invocation: 0,
                worker: 0,
                ..
            }
        )
    };
    assert!(actions.iter().any(sent), "{actions:?}");
    assert_eq!(settings.triggers[0].latency_objective, 2 * SECOND);
}

/// Symptom: without a time of its own each order to load times out in the moment it is given.
#[test]
fn an_order_without_a_time_of_its_own_is_waited_for() {
    let service = |limit: i64| json!({"name": "run", "hardLimit": limit, "aim": 300_000_000});
    let services = [service(600_000_000), service(2_000_000_000)];
    let settings = json!({"services": services, "familyInfo": {"mayLoad": true}});
    assert_eq!(read(&settings).loads.order_timeout, 2 * SECOND);
    let named = json!({"services": services, "familyInfo": {"mayLoad": true, "answerWithin": 7_000_000_000i64}});
    assert_eq!(read(&named).loads.order_timeout, 7 * SECOND);
}

/// Symptom: a tenant is called `-`, and the router does not start, as its name is missing.
#[test]
fn a_name_may_be_a_lone_hyphen() {
    let settings = json!({"orgs": [{"name": "-", "share": null}]});
    let raw = RawSettings::nested(&settings).expect("an object");
    assert_eq!(raw.text("orgs.0.name"), Some("-"));
    assert_eq!(
        (raw.text("orgs.0.share"), raw.text("orgs.1.name")),
        (None, None)
    );
    // In pairs it stands for what is absent.
    assert_eq!(
        RawSettings::pairs("orgs.0.name=-")
            .expect("pairs")
            .text("orgs.0.name"),
        None
    );
}

/// Symptom: a list where one value belongs is passed over as if nothing were given.
#[test]
fn a_list_where_one_value_belongs_is_refused() {
    for aim in [json!([1, 2]), json!([])] {
        let raw = json!({"services": [{"name": "run", "aim": aim}]});
        let raw = RawSettings::nested(&raw).expect("an object");
        let error = StartupSettings::read(&raw).expect_err("no time");
        assert!(error.to_string().contains("services.0.aim"), "{error}");
    }
}

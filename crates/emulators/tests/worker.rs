//! Tests of an emulated worker over its socket: loaded functions, index, cached prefixes and injected faults.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use cedarpulley_emulators::Host;
use cedarpulley_emulators::store::{self, Store};
use cedarpulley_emulators::worker::{
    FalseReport, IdempotencyStore, InvocationProfile, Worker, WorkerProfile,
};
use serde_json::{Value, json};

/// A worker and the store that it loads from. The store runs until this is dropped.
struct Setup {
    worker: Worker,
    _store: Store,
}

/// Starts a worker with memory for this many copies.
fn setup(copies: f64) -> Setup {
    let host = Host::new(2, None).expect("threads");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let store_profile = store::StoreProfile {
        mb_per_s: 1e6,
        full_rate_fetches: 8,
        max_fetches: 64,
    };
    let store = Store::start(&host, "store", any_port, store_profile).expect("a store");
    let program = InvocationProfile {
        mean_work: Duration::from_millis(1),
        copy_mb: 10.0,
        start_up_time: Duration::ZERO,
        lanes: 2,
        idempotency_window: None,
        prefix_rebuild_work: Duration::from_millis(1),
    };
    let profile = WorkerProfile {
        memory_mb: copies * 10.0,
        ..WorkerProfile::unlimited(4.0)
    };
    let programs = HashMap::from([("chat".to_owned(), program)]);
    let store_address = store.server.address;
    let worker = Worker::start(
        &host,
        "worker",
        any_port,
        1,
        profile,
        store_address,
        programs,
        IdempotencyStore::default(),
    );
    Setup {
        worker: worker.expect("a worker"),
        _store: store,
    }
}

/// A response of the worker.
struct Answer {
    status: u16,
    head: String,
    body: Value,
}

impl Answer {
    fn header(&self, name: &str) -> &str {
        let line = self
            .head
            .lines()
            .find_map(|l| l.strip_prefix(name)?.strip_prefix(": "));
        line.unwrap_or_default()
    }
}

fn post(worker: &Worker, path: &str, headers: &[(&str, &str)], body: &Value) -> Answer {
    let mut stream = TcpStream::connect(worker.address).expect("a worker");
    let body = body.to_string();
    let mut request = format!("POST {path} HTTP/1.1\r\nhost: w\r\nconnection: close\r\n");
    headers
        .iter()
        .for_each(|(name, value)| request += &format!("{name}: {value}\r\n"));
    request += &format!("content-length: {}\r\n\r\n{body}", body.len());
    stream.write_all(request.as_bytes()).expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    let (head, body) = answer.split_once("\r\n\r\n").expect("a whole answer");
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .expect("a status");
    Answer {
        status,
        head: head.to_owned(),
        body: serde_json::from_str(body).unwrap_or_default(),
    }
}

/// Sends an order (`load` or `unload`); returns the status of the response.
fn order(worker: &Worker, function: &str, action: &str, headers: &[(&str, &str)]) -> u16 {
    post(
        worker,
        &format!("/v2/repository/models/{function}/{action}"),
        headers,
        &json!({}),
    )
    .status
}

fn index(worker: &Worker) -> Answer {
    post(worker, "/v2/repository/index", &[], &json!({}))
}

/// Sends an invocation; returns the status and the prefix match of the response.
fn infer(
    worker: &Worker,
    function: &str,
    headers: &[(&str, &str)],
    parameters: &Value,
) -> (u16, String) {
    let mut all = vec![
        ("cedarpulley-trigger-type", "chat"),
        ("cedarpulley-invocation", "i1"),
    ];
    all.extend(headers);
    let body = json!({"inputs": [], "parameters": parameters});
    let answer = post(worker, &format!("/v2/models/{function}/infer"), &all, &body);
    (
        answer.status,
        answer.header("cedarpulley-prefix").to_owned(),
    )
}

fn functions(worker: &Worker) -> Vec<String> {
    worker
        .loaded_functions()
        .into_iter()
        .map(|loaded| loaded.function)
        .collect()
}

/// Checks loads and unloads of two versions, the entries and headers of the index, and the state after a restart.
#[test]
fn versions_load_side_by_side_and_the_index_names_the_order_issuer() {
    let setup = setup(4.0);
    let worker = &setup.worker;
    let ordered_by = [("cedarpulley-router", "r1"), ("cedarpulley-term", "7.0")];
    assert_eq!(order(worker, "chat%3A3/versions/1", "load", &[]), 200);
    assert_eq!(
        order(worker, "chat%3A3/versions/2", "load", &ordered_by),
        200
    );
    assert_eq!(order(worker, "chat%3A4", "load", &ordered_by[..1]), 200);
    let listed = index(worker);
    assert_eq!(
        listed.header("cedarpulley-life"),
        worker.incarnation_id().to_string()
    );
    assert_eq!(
        (
            listed.header("cedarpulley-memory-mb"),
            listed.header("cedarpulley-memory-used-mb")
        ),
        ("40", "30")
    );
    let entries = listed.body.as_array().expect("entries");
    let entry = |n: usize, keys: [&str; 3]| keys.map(|k| entries[n][k].as_str().map(str::to_owned));
    let expected = |name: &str, version: Option<&str>| {
        [Some(name), version, Some("READY")].map(|t| t.map(str::to_owned))
    };
    let keys = ["name", "version", "state"];
    assert_eq!(entry(0, keys), expected("chat:3", Some("1")));
    assert_eq!(entry(1, keys), expected("chat:3", Some("2")));
    assert_eq!(entry(2, keys), expected("chat:4", None));
    let parameters = &entries[1]["parameters"];
    assert_eq!(
        (&parameters["copies"], &parameters["busy"]),
        (&json!(1), &json!(0))
    );
    assert_eq!(
        (&parameters["ordered_by"], &parameters["term"]),
        (&json!("r1"), &json!("7.0"))
    );
    assert_eq!(entries[0]["parameters"].get("ordered_by"), None);

    // A later order replaces the router and the term.
    let other = [("cedarpulley-router", "r2"), ("cedarpulley-term", "8.0")];
    assert_eq!(order(worker, "chat%3A3/versions/2", "load", &other), 200);
    assert_eq!(
        worker.loaded_functions()[1].ordered_by.term.as_deref(),
        Some("8.0")
    );
    assert_eq!(order(worker, "chat%3A3/versions/1", "unload", &other), 200);
    assert_eq!(functions(worker), ["chat:3/versions/2", "chat:4"]);

    // A new process at the same address has no loaded functions.
    let incarnation = worker.incarnation_id();
    worker.crash();
    worker.restart().expect("restarted");
    assert!(functions(worker).is_empty() && worker.incarnation_id() != incarnation);
    assert_eq!(index(worker).body, json!([]));
}

/// Checks for which requests the prefix of a sequence counts as begun, found or rebuilt.
#[test]
fn a_sequence_finds_its_cached_prefix_only_in_the_function_that_ran_it() {
    let setup = setup(4.0);
    let worker = &setup.worker;
    let (old, new) = ("chat%3A1/versions/1", "chat%3A1/versions/2");
    let in_sequence = json!({"sequence_id": "s1"});
    let no_sequence = json!({});
    assert_eq!(
        infer(
            worker,
            old,
            &[],
            &json!({"sequence_id": "s1", "sequence_start": true})
        )
        .1,
        "begun"
    );
    assert_eq!(infer(worker, old, &[], &in_sequence).1, "found");
    // Headers can name the sequence as well.
    let headers = [("cedarpulley-sequence-id", "s1")];
    assert_eq!(infer(worker, old, &headers, &no_sequence).1, "found");
    // The prefix is not cached in another function, and the prefix of another sequence is not found.
    assert_eq!(infer(worker, new, &[], &in_sequence).1, "rebuilt");
    assert_eq!(
        infer(worker, old, &[], &json!({"sequence_id": 7})).1,
        "rebuilt"
    );
    assert_eq!(infer(worker, old, &[], &no_sequence).1, "");
    assert_eq!(worker.loaded_functions()[0].sequences, ["s1", "7"]);
    // The end of a sequence drops its prefix; an eviction drops all prefixes of the function.
    assert_eq!(
        infer(
            worker,
            old,
            &[],
            &json!({"sequence_id": 7, "sequence_end": true})
        )
        .1,
        "found"
    );
    assert_eq!(worker.loaded_functions()[0].sequences, ["s1"]);
    assert!(worker.evict("chat:1/versions/1"));
    assert_eq!(infer(worker, old, &[], &in_sequence).1, "rebuilt");
    assert_eq!(infer(worker, old, &[], &in_sequence).1, "found");
}

/// Checks that lost orders, evictions and a falsified index take effect exactly as injected.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases in order"
)]
fn injected_faults_make_loaded_functions_and_index_differ_from_orders() {
    let setup = setup(4.0);
    let worker = &setup.worker;
    let load = |function: &str| order(worker, function, "load", &[]);
    worker.lose_orders(1, 1);
    assert_eq!((load("chat%3A1"), functions(worker).len()), (200, 0));
    assert_eq!((load("chat%3A1"), functions(worker).len()), (200, 1));
    assert_eq!(
        (
            order(worker, "chat%3A1", "unload", &[]),
            functions(worker).len()
        ),
        (200, 1)
    );
    assert_eq!(
        (
            order(worker, "chat%3A1", "unload", &[]),
            functions(worker).len()
        ),
        (200, 0)
    );
    let _ = ["chat%3A1", "chat%3A2", "chat%3A3", "chat%3A4"].map(load);
    let drawn = worker.evict_idle(3, 2);
    assert_eq!((drawn.len(), functions(worker).len()), (2, 2));
    assert!(drawn.iter().all(|d| !functions(worker).contains(d)) && !worker.evict(&drawn[0]));
    // With memory for four copies, each further load evicts an idle function.
    let _ = ["chat%3A5", "chat%3A6", "chat%3A7"].map(load);
    assert_eq!(functions(worker).len(), 4);

    let index_with = |report: FalseReport| {
        worker.falsify_index(Some(report));
        index(worker).body.as_array().expect("entries").clone()
    };
    assert!(
        index_with(FalseReport {
            dropped: 1.0,
            ..FalseReport::default()
        })
        .is_empty()
    );
    assert_eq!(
        index_with(FalseReport {
            added: 1.0,
            ..FalseReport::default()
        })
        .len(),
        8
    );
    assert_eq!(
        index_with(FalseReport {
            contradicted: 1.0,
            ..FalseReport::default()
        })[1]["state"],
        "UNAVAILABLE"
    );
    assert_eq!(
        index_with(FalseReport {
            miscounted: 1.0,
            ..FalseReport::default()
        })[0]["parameters"]["copies"],
        2
    );
    worker.falsify_index(None);
    assert_eq!(index(worker).body.as_array().map(Vec::len), Some(4));
}

/// Checks that the share of failures of a faulty version is about right and the same when repeated, and that neither
/// another version nor a version without the fault fails.
#[test]
fn a_faulty_version_fails_at_its_share_and_other_versions_do_not() {
    let setup = setup(4.0);
    let worker = &setup.worker;
    worker.set_version_fault("/versions/2", 0.5, 1.0);
    let failures = |version: u32| {
        let ids = (0..40).map(|n| format!("i{n}"));
        let path = format!("/v2/models/chat%3A1/versions/{version}/infer");
        let fails = |id: String| {
            let headers = [
                ("cedarpulley-trigger-type", "chat"),
                ("cedarpulley-invocation", id.as_str()),
            ];
            post(worker, &path, &headers, &json!({})).status == 500
        };
        ids.filter(|id| fails(id.clone())).count()
    };
    let failed = failures(2);
    assert!((10..30).contains(&failed), "{failed} of 40");
    assert_eq!((failures(2), failures(1)), (failed, 0));
    worker.set_version_fault("/versions/2", 0.0, 1.0);
    assert_eq!(failures(2), 0);
}

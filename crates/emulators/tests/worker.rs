//! A worker's loaded functions, its index, cached prefixes and injected faults, over its socket.

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

/// A worker with a store, which runs as long as this lives.
struct Setup {
    worker: Worker,
    _store: Store,
}

fn setup(copies: f64) -> Setup {
    let host = Host::new(2, None).expect("threads");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let nature = store::StoreProfile {
        mb_per_s: 1e6,
        full_rate_fetches: 8,
        max_fetches: 64,
    };
    let store = Store::start(&host, "store", any, nature).expect("a store");
    let program = InvocationProfile {
        mean_work: Duration::from_millis(1),
        copy_mb: 10.0,
        start_up_time: Duration::ZERO,
        lanes: 2,
        idempotency_window: None,
        prefix_rebuild_work: Duration::from_millis(1),
    };
    let nature = WorkerProfile {
        memory_mb: copies * 10.0,
        ..WorkerProfile::unlimited(4.0)
    };
    let programs = HashMap::from([("chat".to_owned(), program)]);
    let store_address = store.server.address;
    let worker = Worker::start(
        &host,
        "worker",
        any,
        1,
        nature,
        store_address,
        programs,
        IdempotencyStore::default(),
    );
    Setup {
        worker: worker.expect("a worker"),
        _store: store,
    }
}

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

fn order(worker: &Worker, function: &str, what: &str, headers: &[(&str, &str)]) -> u16 {
    post(
        worker,
        &format!("/v2/repository/models/{function}/{what}"),
        headers,
        &json!({}),
    )
    .status
}

fn index(worker: &Worker) -> Answer {
    post(worker, "/v2/repository/index", &[], &json!({}))
}

/// Status and prefix match of an invocation, as the answer says them.
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
        .map(|h| h.function)
        .collect()
}

#[test]
fn versions_are_loaded_side_by_side_and_the_index_names_who_ordered_them() {
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

    // A later order's router and term replace them.
    let other = [("cedarpulley-router", "r2"), ("cedarpulley-term", "8.0")];
    assert_eq!(order(worker, "chat%3A3/versions/2", "load", &other), 200);
    assert_eq!(
        worker.loaded_functions()[1].ordered_by.term.as_deref(),
        Some("8.0")
    );
    assert_eq!(order(worker, "chat%3A3/versions/1", "unload", &other), 200);
    assert_eq!(functions(worker), ["chat:3/versions/2", "chat:4"]);

    // A new process at the same address has nothing loaded.
    let incarnation = worker.incarnation_id();
    worker.crash();
    worker.restart().expect("up");
    assert!(functions(worker).is_empty() && worker.incarnation_id() != incarnation);
    assert_eq!(index(worker).body, json!([]));
}

#[test]
fn a_sequence_finds_its_cached_prefix_only_in_the_function_that_ran_it() {
    let setup = setup(4.0);
    let worker = &setup.worker;
    let (old, new) = ("chat%3A1/versions/1", "chat%3A1/versions/2");
    let on = json!({"sequence_id": "s1"});
    let none = json!({});
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
    assert_eq!(infer(worker, old, &[], &on).1, "found");
    // Headers name the sequence as well.
    let headers = [("cedarpulley-sequence-id", "s1")];
    assert_eq!(infer(worker, old, &headers, &none).1, "found");
    // Another function has not cached it; nor is another sequence's found.
    assert_eq!(infer(worker, new, &[], &on).1, "rebuilt");
    assert_eq!(
        infer(worker, old, &[], &json!({"sequence_id": 7})).1,
        "rebuilt"
    );
    assert_eq!(infer(worker, old, &[], &none).1, "");
    assert_eq!(worker.loaded_functions()[0].sequences, ["s1", "7"]);
    // The sequence's end drops it, an eviction drops all.
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
    assert_eq!(infer(worker, old, &[], &on).1, "rebuilt");
    assert_eq!(infer(worker, old, &[], &on).1, "found");
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
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
    // A fifth one takes the place of an idle one.
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

#[test]
fn a_faulty_version_fails_for_its_share_and_the_other_does_not() {
    let setup = setup(4.0);
    let worker = &setup.worker;
    worker.set_version_fault("/versions/2", 0.5, 1.0);
    let failures = |version: u32| {
        let ids = (0..40).map(|n| format!("i{n}"));
        let path = format!("/v2/models/chat%3A1/versions/{version}/infer");
        let of = |id: String| {
            let headers = [
                ("cedarpulley-trigger-type", "chat"),
                ("cedarpulley-invocation", id.as_str()),
            ];
            post(worker, &path, &headers, &json!({})).status == 500
        };
        ids.filter(|id| of(id.clone())).count()
    };
    let failed = failures(2);
    assert!((10..30).contains(&failed), "{failed} of 40");
    assert_eq!((failures(2), failures(1)), (failed, 0));
    worker.set_version_fault("/versions/2", 0.0, 1.0);
    assert_eq!(failures(2), 0);
}

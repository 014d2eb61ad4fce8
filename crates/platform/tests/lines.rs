//! Workers' lines, the table of endings, the command channel and the configuration.

use cedarpulley::interface::{
    DispatchOutcome, EndpointListKind, EndpointState::Draining, EndpointState::Gone,
    LoadOrderResult,
};
use cedarpulley_errors::Remedy;
use cedarpulley_platform::attempt_outcome::{self, AnswerStatus, ExchangeEnd};
use cedarpulley_platform::config::{Names, Start, discovery_address_of};
use cedarpulley_platform::discovery::{Answers, EventBatch, ListUpdate, WorkerListFollower};
use cedarpulley_platform::worker_protocol::{self, AnswerError, AnswerReader};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn read(bytes: &[u8]) -> Result<Vec<worker_protocol::Answer>, AnswerError> {
    let mut reader = AnswerReader::default();
    reader.put(bytes);
    let mut found = Vec::new();
    while let Some(answer) = reader.next(&[])? {
        found.push(answer);
    }
    Ok(found)
}

#[test]
fn worker_messages_are_encoded() {
    let mut out = Vec::new();
    let call = worker_protocol::Call {
        id: "9b1f03aa5c7e2d41",
        trigger: "call",
        function: "7f3a9c21e0b4d655",
        time_left: 1_499_900,
        idempotency_key: Some("5c0f"),
        body: b"a\r\nb",
    };
    worker_protocol::write_call(&mut out, &call);
    worker_protocol::write_cancellation(&mut out, call.id);
    worker_protocol::write_load_order(&mut out, "t1", call.function, 2);
    worker_protocol::write_unload_order(&mut out, call.function);
    worker_protocol::write_probe(&mut out, "t2");
    let text = "FN 9b1f03aa5c7e2d41 kind=call,obj=7f3a9c21e0b4d655,ms=1499,token=5c0f 4\r\na\r\nb\r\n\
                KILL 9b1f03aa5c7e2d41\r\nSPAWN t1 obj=7f3a9c21e0b4d655,n=2\r\n\
                REAP 7f3a9c21e0b4d655\r\nTOP t2\r\n";
    assert_eq!(String::from_utf8_lossy(&out), text);
}

#[test]
fn answers_are_decoded_in_any_order() {
    let found = read(
        b"b ok same=3,gauges=busy:0.61;x1:2 2\r\n\r\n\r\na refused - 0\r\n\r\nt ok n=2 0\r\n\r\n",
    )
    .expect("good");
    assert_eq!(
        found.iter().map(|a| (&*a.id, a.status)).collect::<Vec<_>>(),
        [
            ("b", AnswerStatus::Ok),
            ("a", AnswerStatus::Rejected),
            ("t", AnswerStatus::Ok)
        ]
    );
    assert_eq!(
        (found[0].function_load, &found[0].body[..], found[2].copies),
        (3, &b"\r\n"[..], 2)
    );
}

#[test]
fn malformed_answers_are_errors() {
    for (bytes, error) in [
        (&b"a ok - 0\n\r\n"[..], AnswerError::Line),
        (b"a ok -\r\n", AnswerError::Line),
        (b"a ok - 0 0\r\n", AnswerError::Line),
        (b"a what - 0\r\n", AnswerError::Line),
        (b" ok - 0\r\n", AnswerError::Line),
        (b"\xff\xfe\xfd \r\n", AnswerError::Line),
        (b"a ok - -1\r\n", AnswerError::Length),
        (b"a ok - 3221225472\r\n", AnswerError::Length),
        (b"a ok - \r\n", AnswerError::Length),
        (b"a ok same 0\r\n", AnswerError::Fields),
        (b"a ok same=-1 0\r\n", AnswerError::Fields),
        (b"a ok gauges=x:nan 0\r\n", AnswerError::Fields),
        (b"a ok - 2\r\nabcd", AnswerError::BodyEnd),
        (b"a ok - 0\r\nb ok - 0\r\n", AnswerError::BodyEnd),
    ] {
        assert_eq!(
            read(bytes),
            Err(error),
            "{}",
            String::from_utf8_lossy(bytes)
        );
    }
    assert_eq!(read(&[b'x'; 5_000]), Err(AnswerError::LineTooLong));
    assert_eq!(
        read(&[&[b'x'; 5_000][..], b"\r\n"].concat()),
        Err(AnswerError::LineTooLong)
    );
}

#[test]
fn exchange_ends_map_to_outcomes() {
    use ExchangeEnd::*;
    for (ended, outcome, never_ran) in [
        (
            Answered(AnswerStatus::Ok),
            DispatchOutcome::Succeeded,
            false,
        ),
        (
            Answered(AnswerStatus::NotLoaded),
            DispatchOutcome::NotLoaded,
            true,
        ),
        (
            Answered(AnswerStatus::Rejected),
            DispatchOutcome::Rejected,
            true,
        ),
        (
            Answered(AnswerStatus::Error),
            DispatchOutcome::Errored,
            false,
        ),
        (
            Answered(AnswerStatus::Expired),
            DispatchOutcome::NotSent,
            true,
        ),
        (
            Answered(AnswerStatus::Healthy),
            DispatchOutcome::ConnectionLost,
            false,
        ),
        (
            Answered(AnswerStatus::Unhealthy),
            DispatchOutcome::ConnectionLost,
            false,
        ),
        (ConnectFailed, DispatchOutcome::Unreachable, true),
        (NotSent, DispatchOutcome::NotSent, true),
        (Withheld, DispatchOutcome::NotSent, true),
        (ConnectionLost, DispatchOutcome::ConnectionLost, false),
    ] {
        assert_eq!(
            (
                attempt_outcome::dispatch_outcome(ended),
                attempt_outcome::dispatch_outcome(ended).not_executed()
            ),
            (outcome, never_ran),
            "{ended:?}"
        );
    }
    for (ended, result) in [
        (Answered(AnswerStatus::Ok), LoadOrderResult::Loaded),
        (
            Answered(AnswerStatus::Rejected),
            LoadOrderResult::NoCapacity,
        ),
        (Answered(AnswerStatus::Error), LoadOrderResult::LoadFailed),
        (
            Answered(AnswerStatus::Expired),
            LoadOrderResult::ConnectionLost,
        ),
        (ConnectFailed, LoadOrderResult::Unreachable),
        (ConnectionLost, LoadOrderResult::ConnectionLost),
    ] {
        assert_eq!(
            attempt_outcome::load_order_result(ended),
            result,
            "{ended:?}"
        );
    }
    assert_eq!(
        attempt_outcome::probe_outcome(Answered(AnswerStatus::Healthy)),
        DispatchOutcome::Succeeded
    );
    assert_eq!(
        attempt_outcome::probe_outcome(ConnectionLost),
        DispatchOutcome::ConnectionLost
    );
}

fn names() -> Names {
    let list = |n: &[&str]| n.iter().map(|n| (*n).to_owned()).collect();
    Names {
        zones: list(&["east", "west"]),
        kinds: list(&["std"]),
        ..Names::default()
    }
}

fn batch(text: &str) -> EventBatch {
    serde_json::from_str(text).expect("events")
}

fn event(cursor: u32, full: bool, servers: &[(&str, &str, &str)]) -> String {
    let server = |(id, state, addr): &(&str, &str, &str)| {
        format!(
            r#"{{"id":"{id}","addr":"{addr}","zone":"west","kind":"std","cell":2,
            "state":"{state}","started_ms":7}}"#
        )
    };
    let servers = servers.iter().map(server).collect::<Vec<_>>().join(",");
    format!(r#"{{"cursor":{cursor},"nodes":{{"full":{full},"servers":[{servers}]}}}}"#)
}

fn apply_events(follower: &mut WorkerListFollower, events: &[String]) -> Vec<ListUpdate> {
    let text = format!(r#"{{"cursor":0,"cmds":[{}]}}"#, events.join(","));
    follower
        .batch(&batch(&text), &names(), 3_000, 0)
        .expect("good")
}

#[test]
fn watch_events_are_applied_once_and_in_order() {
    let mut follower = WorkerListFollower::default();
    let updates = apply_events(
        &mut follower,
        &[event(2, true, &[("s-1", "active", "127.0.0.9:5050")])],
    );
    let worker = &updates[0].workers[0];
    assert_eq!(
        (updates.len(), updates[0].mode, &*worker.address),
        (1, EndpointListKind::Complete, "s-1")
    );
    assert_eq!(
        (worker.zone, worker.kind, worker.cell, worker.started),
        (1, 0, 2, Some(4_000))
    );
    let leaving = |n| event(n, false, &[("s-1", "leaving", "127.0.0.9:5050")]);
    let updates = apply_events(&mut follower, &[leaving(2), leaving(3)]);
    assert_eq!(
        (
            updates.len(),
            updates[0].mode,
            updates[0].workers[0].standing
        ),
        (1, EndpointListKind::Changes, Draining)
    );
    assert!(apply_events(&mut follower, &[leaving(2), leaving(3)]).is_empty());
    assert_eq!(follower.repeated_events(), 3);
    assert!(
        String::from_utf8_lossy(&follower.poll_request("x"))
            .starts_with("GET /cmd/next?resume=3&block=")
    );
}

/// Symptom: what was open to a worker that has gone or moved is used for whoever is at its address now.
#[test]
fn workers_are_identified_by_id_and_stale_connections_are_retired() {
    let (mut follower, at, to) = (
        WorkerListFollower::default(),
        "127.0.0.9:5050",
        "127.0.0.8:5050",
    );
    apply_events(
        &mut follower,
        &[event(
            1,
            true,
            &[("s-1", "active", at), ("s-2", "active", to)],
        )],
    );
    let updates = apply_events(
        &mut follower,
        &[event(
            2,
            false,
            &[("s-1", "left", at), ("s-3", "active", at)],
        )],
    );
    assert_eq!(
        (&updates[0].retired, follower.address("s-1")),
        (&vec!["s-1".to_owned()], None)
    );
    assert_eq!(follower.address("s-3"), at.parse().ok());
    let updates = apply_events(
        &mut follower,
        &[event(
            3,
            false,
            &[("s-3", "active", to), ("s-2", "leaving", to)],
        )],
    );
    assert_eq!(
        (&updates[0].retired, follower.address("s-3")),
        (&vec!["s-3".to_owned()], to.parse().ok())
    );
    let updates = apply_events(&mut follower, &[event(4, true, &[("s-3", "active", to)])]);
    assert_eq!(
        (&updates[0].retired, follower.address("s-2")),
        (&vec!["s-2".to_owned()], None)
    );
}

/// Symptom: a worker drained while the channel was away, and its grace began when that was heard.
#[test]
fn drain_announced_while_disconnected_has_no_grace_left() {
    let (mut follower, at) = (WorkerListFollower::default(), "127.0.0.9:5050");
    apply_events(
        &mut follower,
        &[event(
            1,
            true,
            &[("s-1", "active", at), ("s-2", "active", at)],
        )],
    );
    let text = format!(
        r#"{{"cursor":2,"cmds":[{}]}}"#,
        event(2, false, &[("s-1", "leaving", at)])
    );
    let updates = follower
        .batch(&batch(&text), &names(), 0, i64::MAX)
        .expect("good");
    assert_eq!(
        (
            updates[0].workers[0].standing,
            &*updates[0].retired[0],
            follower.address("s-1")
        ),
        (Gone, "s-1", None)
    );
    let updates = apply_events(&mut follower, &[event(3, false, &[("s-2", "leaving", at)])]);
    assert_eq!(
        (updates[0].workers[0].standing, follower.address("s-2")),
        (Draining, at.parse().ok())
    );
}

#[test]
fn unnamed_zones_and_kinds_match_no_named_one() {
    let mut follower = WorkerListFollower::default();
    let odd = |n, id| {
        event(n, true, &[(id, "active", "127.0.0.9:1")])
            .replace("west", id)
            .replace("std", "odd")
    };
    let updates = apply_events(&mut follower, &[odd(1, "a"), odd(2, "b")]);
    let (a, b) = (&updates[0].workers[0], &updates[1].workers[0]);
    assert!(a.zone > 1 && b.zone > 1 && a.zone != b.zone && a.kind == 1);
}

#[test]
fn malformed_batch_changes_nothing() {
    let mut follower = WorkerListFollower::default();
    let odd = batch(
        r#"{"cursor":5,"cmds":[{"cursor":5,"nodes":{"servers":[{"id":"s-1","state":"odd"}]}}]}"#,
    );
    assert!(follower.batch(&odd, &names(), 0, 0).is_err());
    assert_eq!(follower.last_cursor(), 0);
}

#[test]
fn discovery_responses_are_decoded_whole_or_not_at_all() {
    let body = r#"{"cursor":4,"cmds":[]}"#;
    let sized = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let chunked = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
        body.len()
    );
    for text in [sized, chunked] {
        for cut in 0..text.len() {
            let mut answers = Answers::default();
            answers.put(&text.as_bytes()[..cut]);
            assert!(
                answers.whole().expect("good so far").is_none(),
                "cut at {cut}"
            );
            answers.put(&text.as_bytes()[cut..]);
            assert_eq!(answers.whole().expect("good").map(|b| b.cursor), Some(4));
            assert!(answers.whole().expect("nothing left").is_none());
        }
    }
    for text in [
        "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{]}",
        "SSH-2.0-x\r\n",
    ] {
        let mut answers = Answers::default();
        answers.put(text.as_bytes());
        assert!(answers.whole().is_err(), "{text}");
    }
}

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
    let start = Start::read(START).expect("good");
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
        let error = Start::read(&START.replace(from, to)).expect_err(to).line();
        assert!(
            !error.starts_with(';') && error.contains("; ") && !error.contains('\n'),
            "{error}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(19), failure_persistence: None, cases: 300, ..ProptestConfig::default()
    })]

    #[test]
    fn answers_are_decoded_alike_however_the_bytes_are_split(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..30), 1..6),
        cut in 1..40usize,
    ) {
        let mut bytes = Vec::new();
        for (n, body) in bodies.iter().enumerate() {
            bytes.extend_from_slice(format!("id{n} ok same={n} {}\r\n", body.len()).as_bytes());
            bytes.extend_from_slice(body);
            bytes.extend_from_slice(b"\r\n");
        }
        let (mut reader, mut found) = (AnswerReader::default(), Vec::new());
        for piece in bytes.chunks(cut) {
            reader.put(piece);
            while let Some(answer) = reader.next(&[]).expect("good") {
                found.push(answer.body.to_vec());
            }
        }
        prop_assert!(!reader.has_partial_answer());
        prop_assert_eq!(found, bodies);
    }
}

//! Tests requests from clients: well-formed requests are parsed for any split of their bytes, and malformed, oversized
//! and excess requests are rejected. Also tests the encoding of responses.

use bytes::Bytes;
use cedarpulley_platform::client_protocol::*;
use cedarpulley_platform::config::Names;
use cedarpulley_router::FinalOutcome;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A valid function id.
const FUNCTION: &str = "7f3a9c21e0b4d655";

/// Rules with two trigger types, of which the second one requires an idempotency key, and two accounts.
fn rules() -> RequestRules {
    let names = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    RequestRules {
        names: Names {
            triggers: names(&["plain", "keyed"]),
            accounts: names(&["acme", "other"]),
            ..Names::default()
        },
        triggers: vec![
            TriggerRules {
                max_client_timeout: 2_000_000,
                needs_idempotency_key: false,
            },
            TriggerRules {
                max_client_timeout: 4_000_000,
                needs_idempotency_key: true,
            },
        ],
        largest_machine_mb: 8_000.0,
    }
}

/// An encoded call with `extra` header fields. `Content-Length` is added unless `extra` determines the framing.
fn request(id: &str, extra: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "POST /api/v2/{FUNCTION}/call HTTP/1.1\r\nHost: backend.local\r\nX-Class: plain\r\nReq-Id: {id}\r\n\
         Req-Wait-Ms: 1500\r\nReq-Owner: acme\r\n{extra}"
    )
    .into_bytes();
    if !extra.to_ascii_lowercase().contains("length")
        && !extra.to_ascii_lowercase().contains("transfer")
    {
        bytes.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

/// A well-formed request with one field replaced.
fn request_with_field(field: &str, value: &str) -> Vec<u8> {
    let text = String::from_utf8(request("00000000000000aa", "", b"hi")).expect("text");
    let lines = text.split("\r\n").map(|line| match line.split_once(": ") {
        Some((name, _)) if name == field => format!("{field}: {value}"),
        _ => line.to_owned(),
    });
    lines.collect::<Vec<_>>().join("\r\n").into_bytes()
}

/// A queue that has received `bytes`.
fn queue(bytes: &[u8]) -> RequestQueue {
    let mut queue = RequestQueue::default();
    queue.put(0, bytes, &rules());
    queue
}

/// Decodes the first request in `bytes`, which must be complete or malformed.
fn read_first(bytes: &[u8]) -> Result<Request, RequestError> {
    queue(bytes)
        .take()
        .expect("a complete or malformed request")
        .request
}

/// Guards against trimming Unicode spaces from field values: an account whose name ends in one would be mistaken for
/// another account, and all its requests would fail.
#[test]
fn account_names_may_contain_any_text_a_field_can_carry() {
    for name in [
        "Nord & Söhne",
        "a/b:c;d",
        "o'brien (west) #2",
        "~50%=half,half|",
        "-",
        "東京\u{3000}",
        "acme\u{a0}",
    ] {
        let names = Names {
            accounts: vec!["other".to_owned(), name.to_owned()],
            ..rules().names
        };
        let rules = RequestRules { names, ..rules() };
        let mut queue = RequestQueue::default();
        queue.put(0, &request_with_field("Req-Owner", name), &rules);
        let request = queue
            .take()
            .expect("a complete or malformed request")
            .request
            .expect(name);
        let RequestKind::Call(call) = request.kind else {
            panic!("the request is not a call")
        };
        assert_eq!(call.account, 1, "{name}");
    }
}

/// The call in a valid request.
fn call(parsed: Result<Request, RequestError>) -> Call {
    match parsed.expect("a valid request").kind {
        RequestKind::Call(call) => call,
        other => panic!("the request is not a call: {other:?}"),
    }
}

#[test]
fn all_fields_of_a_call_are_parsed() {
    let extra = "Req-Token: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\nReq-Cost: 8.2\r\n\
                 X-Extras: memory_mb:512;lanes:2;load_ms:70.5\r\n";
    let call = call(read_first(&request(
        "9b1f03aa5c7e2d41",
        extra,
        b"\0body\r\n",
    )));
    assert_eq!((&*call.id, &*call.function), ("9b1f03aa5c7e2d41", FUNCTION));
    assert_eq!(
        (call.trigger, call.account, call.client_timeout),
        (0, 0, 1_500_000)
    );
    assert_eq!(
        call.idempotency_key.as_deref(),
        Some("5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
    );
    assert_eq!(
        (call.cost_hint, call.load_hint),
        (Some(8_200), Some(70_500))
    );
    assert_eq!(
        (call.copy_mb, call.lanes, &call.body[..]),
        (512.0, 2, &b"\0body\r\n"[..])
    );
}

#[test]
fn health_request_has_no_body_and_connection_close_is_parsed() {
    let found = read_first(b"GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n").expect("a valid request");
    assert_eq!((found.kind, found.close), (RequestKind::Health, false));
    assert!(
        read_first(&request("00000000000000aa", "Connection: close\r\n", b""))
            .expect("a valid request")
            .close
    );
}

/// Guards against responses whose end a client cannot find, and against rejections that do not state the backoff.
#[test]
fn responses_are_encoded_with_status_retry_after_and_close() {
    assert_eq!(
        [
            FinalOutcome::Succeeded,
            FinalOutcome::Throttled,
            FinalOutcome::Errored
        ]
        .map(status_of),
        [200, STATUS_REJECTED, 500]
    );
    let text = |status, retry_after, body: &'static [u8], close| {
        let mut buffer = Vec::new();
        let body = Bytes::from_static(body);
        write_response(
            &mut buffer,
            &Response {
                status,
                retry_after,
                body,
                close,
            },
        );
        String::from_utf8(buffer).expect("text")
    };
    let rejection = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nSrv-Wait-Ms: 3\r\n";
    assert_eq!(
        text(STATUS_REJECTED, Some(2_001), b"", true),
        format!("{rejection}Connection: close\r\n\r\n")
    );
    assert_eq!(
        text(200, None, b"it", false),
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nit"
    );
}

/// Guards against request smuggling: a request with both a length and a transfer encoding can hide another request in
/// its body.
#[test]
fn requests_with_both_length_fields_are_rejected() {
    for extra in [
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "content-length: 5\r\nTRANSFER-ENCODING: Chunked\r\n",
        "Transfer-Encoding: identity\r\nContent-Length: 5\r\n",
    ] {
        assert_eq!(
            read_first(&request("00000000000000aa", extra, b"0\r\n\r\n")),
            Err(RequestError::InvalidLength),
            "{extra}"
        );
    }
}

#[test]
fn malformed_content_lengths_are_rejected() {
    for length in [
        "-1",
        "+5",
        "0x10",
        "5, 5",
        "5 5",
        "",
        "99999999999999999999999",
        "1e3",
        "nan",
    ] {
        let extra = format!("Content-Length: {length}\r\n");
        assert_eq!(
            read_first(&request("00000000000000aa", &extra, b"hello")),
            Err(RequestError::InvalidLength),
            "{length}"
        );
    }
    let twice = "Content-Length: 5\r\nContent-Length: 5\r\n";
    assert_eq!(
        read_first(&request("00000000000000aa", twice, b"hello")),
        Err(RequestError::InvalidLength)
    );
    let coding = "Transfer-Encoding: gzip, chunked\r\n";
    assert_eq!(
        read_first(&request("00000000000000aa", coding, b"0\r\n\r\n")),
        Err(RequestError::InvalidLength)
    );
}

#[test]
fn body_above_the_limit_is_rejected_by_its_declared_length() {
    for length in [MAX_BODY_BYTES + 1, 60 << 20, usize::MAX] {
        let extra = format!("Content-Length: {length}\r\n");
        assert_eq!(
            read_first(&request("00000000000000aa", &extra, b"")),
            Err(RequestError::BodyTooLong)
        );
    }
    assert_eq!(
        call(read_first(&request(
            "00000000000000aa",
            "",
            &[7; MAX_BODY_BYTES]
        )))
        .body
        .len(),
        MAX_BODY_BYTES
    );
}

#[test]
fn chunked_bodies_are_decoded_within_the_limit() {
    let extra = "Transfer-Encoding: chunked\r\n";
    let body = call(read_first(&request(
        "00000000000000aa",
        extra,
        b"3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\n\r\n",
    )))
    .body;
    assert_eq!(&body[..], b"abc0123456789");
    assert_eq!(
        read_first(&request("00000000000000aa", extra, b"zz\r\nabc\r\n")),
        Err(RequestError::MalformedChunks)
    );
    assert_eq!(
        read_first(&request("00000000000000aa", extra, b"3\r\nabcd\r\n")),
        Err(RequestError::MalformedChunks)
    );
    assert_eq!(
        read_first(&request("00000000000000aa", extra, b"ffffffff\r\n")),
        Err(RequestError::BodyTooLong)
    );
    // With one byte in each chunk, the encoded body is far longer than the body.
    let endless = b"1\r\nx\r\n".repeat(20_000);
    assert_eq!(
        read_first(&request("00000000000000aa", extra, &endless)),
        Err(RequestError::BodyTooLong)
    );
}

#[test]
fn invalid_fields_are_rejected() {
    for (field, values) in [
        ("X-Class", &["", "Plain", "none", "plain,keyed"][..]),
        (
            "Req-Id",
            &[
                "",
                "9b1f",
                "9b1f03aa5c7e2d4",
                "9b1f03aa5c7e2d411",
                "9b1f03aa5c7e2dgg",
                "9b1f 3aa5c7e2d41",
            ],
        ),
        (
            "Req-Wait-Ms",
            &["", "0", "-5", "nan", "inf", "1e99", "2001", "soon"],
        ),
        ("Req-Owner", &["", "ACME", "nobody"]),
    ] {
        for value in values {
            assert_eq!(
                read_first(&request_with_field(field, value)),
                Err(RequestError::InvalidField),
                "{field}: {value}"
            );
        }
    }
    for extra in [
        "Req-Cost: -1\r\n",
        "Req-Cost: NaN\r\n",
        "Req-Cost: 1e300\r\n",
        "X-Extras: lanes:0\r\n",
        "X-Extras: lanes:1.5\r\n",
        "X-Extras: lanes:99999999\r\n",
        "X-Extras: memory_mb:-2\r\n",
        "X-Extras: memory_mb:1e9\r\n",
        "X-Extras: memory_mb\r\n",
        "X-Extras: lanes:1;lanes:2\r\n",
        "Req-Token: a b\r\n",
        "Req-Token: a,b=c\r\n",
        "Req-Token: \r\n",
        "Req-Id: 00000000000000ab\r\n",
        "X-Class: plain\r\n",
    ] {
        assert_eq!(
            read_first(&request("00000000000000aa", extra, b"")),
            Err(RequestError::InvalidField),
            "{extra}"
        );
    }
    // The trigger type `keyed` requires an idempotency key, which identifies repeats.
    assert_eq!(
        read_first(&request_with_field("X-Class", "keyed")),
        Err(RequestError::InvalidField)
    );
}

#[test]
fn unknown_methods_paths_and_endless_heads_are_rejected() {
    let start = |line: &str| read_first(format!("{line} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes());
    assert_eq!(
        start("PUT /api/v2/7f3a9c21e0b4d655/call"),
        Err(RequestError::MethodNotAllowed)
    );
    assert_eq!(
        start("DELETE /-/healthy"),
        Err(RequestError::MethodNotAllowed)
    );
    for path in [
        "/",
        "/api/v2/7f3a9c21e0b4d65/call",
        "/api/v2/../call",
        "/api/v2/7f3a9c21e0b4d655/cal",
        "*",
    ] {
        assert_eq!(
            start(&format!("POST {path}")),
            Err(RequestError::UnknownPath),
            "{path}"
        );
    }
    assert_eq!(
        read_first(b"\x16\x03\x01 hello\r\n\r\n"),
        Err(RequestError::MalformedHead)
    );
    let endless = [
        &b"POST /api/v2/7f3a9c21e0b4d655/call HTTP/1.1\r\nX: "[..],
        &[b'a'; 20_000],
    ]
    .concat();
    assert_eq!(read_first(&endless), Err(RequestError::HeadTooLong));
    let many = format!("GET /-/healthy HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(200));
    assert_eq!(read_first(many.as_bytes()), Err(RequestError::HeadTooLong));
}

/// If the settings define no accounts, a request may leave out the account.
#[test]
fn owner_is_optional_when_the_settings_have_no_accounts() {
    let mut rules = rules();
    rules.names.accounts.clear();
    let bare = String::from_utf8(request("00000000000000aa", "", b"")).expect("text");
    for text in [bare.replace("Req-Owner: acme\r\n", ""), bare] {
        let mut queue = RequestQueue::default();
        queue.put(0, text.as_bytes(), &rules);
        assert_eq!(
            call(
                queue
                    .take()
                    .expect("a complete or malformed request")
                    .request
            )
            .account,
            0
        );
    }
}

/// The timeout of each request counts from the arrival of its last byte. Input after a malformed request is ignored.
#[test]
fn pipelined_requests_keep_their_arrival_times() {
    let (good, rules) = (request("00000000000000aa", "", b"hi"), rules());
    let mut queue = queue(&good[..20]);
    assert!(queue.is_receiving() && !queue.has_request());
    queue.put(30, &good[20..], &rules);
    queue.put(
        70,
        &[&good[..], &request_with_field("X-Class", "none"), &good].concat(),
        &rules,
    );
    let next = |queue: &mut RequestQueue| queue.take().map(|q| (q.request.is_ok(), q.arrived));
    assert_eq!(
        [(); 3].map(|()| next(&mut queue)),
        [Some((true, 30)), Some((true, 70)), Some((false, 70))]
    );
    queue.put(90, &good, &rules);
    assert!(next(&mut queue).is_none() && queue.bytes() == 0 && !queue.is_receiving());
}

/// Guards against unbounded memory and against an undetected disconnection when a client sends many requests ahead of
/// their responses. All input is read; requests above the limits are only counted, and each is rejected in its turn.
#[test]
fn pipelined_requests_beyond_the_limits_are_rejected_without_being_stored() {
    let (short, long) = (
        request("00000000000000aa", "", b"hi"),
        request("00000000000000aa", "", &[7; MAX_BODY_BYTES]),
    );
    for (text, stored) in [(&short, 8), (&long, 2)] {
        let mut queue = RequestQueue::default();
        for _ in 0..20 {
            queue.put(0, text, &rules());
        }
        queue.put(0, &text[..10], &rules());
        assert!(
            queue.bytes() < 2 * MAX_BODY_BYTES + 1_024,
            "{}",
            queue.bytes()
        );
        for n in 0..20 {
            let request = queue.take().expect("one more").request;
            assert_eq!(request.is_ok(), n < stored, "{n}");
            assert!(n < stored || request == Err(RequestError::TooManyPipelined));
        }
        assert!(queue.take().is_none() && queue.is_receiving());
        // Once the queue is empty, requests are stored again.
        queue.put(1, &text[10..], &rules());
        assert!(queue.take().expect("the next").request.is_ok());
    }
    assert_eq!(RequestError::TooManyPipelined.status(), STATUS_REJECTED);
    assert!(
        RequestError::TooManyPipelined.leaves_stream_readable()
            && !RequestError::InvalidLength.leaves_stream_readable()
    );
}

/// Guards against taking the rest of a body for a further request, and a further request for the rest of a body.
#[test]
fn input_behind_a_request_shows_whether_its_length_is_right() {
    let following = |rest: &[u8]| {
        let mut queue = queue(&[&request("00000000000000aa", "", b"hi"), rest].concat());
        assert!(queue.take().expect("complete").request.is_ok());
        queue.following_input(0)
    };
    let next = request("00000000000000ab", "", b"hi");
    assert_eq!(following(b""), FollowingInput::Nothing);
    for end in 1..=next.len() {
        let expected = if end < b"POST /".len() {
            FollowingInput::Undecided
        } else {
            FollowingInput::Request
        };
        assert_eq!(following(&next[..end]), expected, "{end}");
        assert_eq!(following(&[b"\r\n", &next[..end]].concat()), expected);
    }
    let malformed = [
        &b"POST /x HTTP/1.1\r\nX\0: y\r\n\r\n"[..],
        b"GET / HTTP/1.1\r\n\xff",
        b"GET http://x/ HTTP/1.1\r\nExpect: y\r\n\r\n",
    ];
    let long = [b"GET / HTTP/1.1\r\nX: ", &[b'y'; 20_000][..]].concat();
    for text in malformed.into_iter().chain([&long[..]]) {
        assert_eq!(following(text), FollowingInput::Request);
    }
    assert_eq!(following(b"\r\n\n\r\n"), FollowingInput::Undecided);
    for rest in [
        &b"}"[..],
        b"rest",
        b"post /",
        b"POST it",
        b"GETS",
        b" ",
        b"\0",
        b"\r\nrest",
        b"GET / of the list\r\n",
        b"BOOK /7 HTTP/1.1\r\n\r\n",
        b"BOOK /7 HTTP/1.1\r\n",
        &[b'a'; 20_000],
    ] {
        assert_eq!(following(rest), FollowingInput::NotARequest, "{rest:?}");
    }
}

/// Undecided input becomes a request soon or never: a client that is not sending one waits for its answer.
#[test]
fn undecided_input_counts_as_no_request_after_a_while() {
    let mut queue = queue(&[&request("00000000000000aa", "", b"hi")[..], b"P"].concat());
    assert!(queue.take().expect("complete").request.is_ok());
    let until = queue.undecided_until();
    assert_eq!(queue.following_input(until - 1), FollowingInput::Undecided);
    assert_eq!(queue.following_input(until), FollowingInput::NotARequest);
    queue.put(until - 1, b"OST /", &rules());
    assert_eq!(queue.following_input(until), FollowingInput::Request);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(19), failure_persistence: None, cases: 200, ..ProptestConfig::default()
    })]

    #[test]
    fn requests_are_parsed_identically_for_any_split_of_the_bytes(
        bodies in prop::collection::vec((any::<bool>(), prop::collection::vec(any::<u8>(), 0..40)), 1..5),
        cuts in prop::collection::vec(1..50usize, 1..80),
    ) {
        let mut bytes = Vec::new();
        for (n, (chunked, body)) in bodies.iter().enumerate() {
            let id = format!("{n:016x}");
            if !chunked {
                bytes.extend(request(&id, "", body));
                continue;
            }
            let chunk = |c: &[u8]| [format!("{:x}\r\n", c.len()).as_bytes(), c, b"\r\n"].concat();
            let chunks = [body.chunks(7).flat_map(chunk).collect(), b"0\r\n\r\n".to_vec()].concat();
            bytes.extend(request(&id, "Transfer-Encoding: chunked\r\n", &chunks));
        }
        let (mut queue, mut found, mut rest) = (RequestQueue::default(), Vec::new(), &bytes[..]);
        for cut in cuts.into_iter().cycle() {
            let (piece, after) = rest.split_at(cut.min(rest.len()));
            queue.put(0, piece, &rules());
            found.extend(std::iter::from_fn(|| queue.take()).map(|q| call(q.request).body.to_vec()));
            rest = after;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert!(!queue.is_receiving());
        prop_assert_eq!(found, bodies.into_iter().map(|b| b.1).collect::<Vec<_>>());
    }
}

/// Without memory left, whole requests are rejected in their turn, and those stored before are served.
#[test]
fn requests_are_not_stored_without_memory() {
    let first = request("00000000000000aa", "", b"hi");
    let second = request("00000000000000ab", "", b"hi");
    let third = request("00000000000000ac", "", b"hi");
    let mut queue = RequestQueue::default();
    queue.put(0, &first, &rules());
    queue.set_out_of_memory(true);
    queue.put(0, &second, &rules());
    queue.set_out_of_memory(false);
    assert!(queue.take().expect("the first").request.is_ok());
    let rejected = queue.take().expect("the second").request;
    assert_eq!(rejected, Err(RequestError::TooManyPipelined));
    queue.put(0, &third, &rules());
    assert!(queue.take().expect("the third").request.is_ok());
}

/// A request that is rejected for lack of memory frees its buffer and ends the input, but it changes nothing for the request
/// before it, which may be executing.
#[test]
fn a_partial_request_can_be_rejected_behind_a_pending_one() {
    let first = request("00000000000000aa", "", b"hi");
    let mut partial = request("00000000000000ab", "", b"hi");
    partial.truncate(partial.len() - 1);
    let mut queue = RequestQueue::default();
    queue.put(0, &[first, partial].concat(), &rules());
    assert!(queue.take().is_some());
    let before = queue.following_input(0);
    assert!(queue.reject_partial_request());
    assert_eq!((queue.memory(), queue.following_input(0)), (0, before));
    let rejected = queue.take().expect("the partial request").request;
    assert_eq!(rejected, Err(RequestError::NoMemory));
    assert!(!queue.reject_partial_request() && queue.take().is_none());
}

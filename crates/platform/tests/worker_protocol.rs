//! Tests the line protocol between router and workers, and what the end of an exchange proves.

use cedarpulley::interface::{DispatchOutcome, LoadOrderResult};
use cedarpulley_platform::attempt_outcome::{self, AnswerStatus, ExchangeEnd};
use cedarpulley_platform::worker_protocol::{self, AnswerError, AnswerReader};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Decodes all complete answers in `bytes`.
fn read_answers(bytes: &[u8]) -> Result<Vec<worker_protocol::Answer>, AnswerError> {
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
    let mut buffer = Vec::new();
    let call = worker_protocol::Call {
        id: "9b1f03aa5c7e2d41",
        trigger: "call",
        function: "7f3a9c21e0b4d655",
        time_left: 1_499_900,
        idempotency_key: Some("5c0f"),
        body: b"a\r\nb",
    };
    worker_protocol::write_call(&mut buffer, &call);
    worker_protocol::write_cancellation(&mut buffer, call.id);
    worker_protocol::write_load_order(&mut buffer, "t1", call.function, 2);
    worker_protocol::write_unload_order(&mut buffer, call.function);
    worker_protocol::write_probe(&mut buffer, "t2");
    let text = "FN 9b1f03aa5c7e2d41 kind=call,obj=7f3a9c21e0b4d655,ms=1499,token=5c0f 4\r\na\r\nb\r\n\
                KILL 9b1f03aa5c7e2d41\r\nSPAWN t1 obj=7f3a9c21e0b4d655,n=2\r\n\
                REAP 7f3a9c21e0b4d655\r\nTOP t2\r\n";
    assert_eq!(String::from_utf8_lossy(&buffer), text);
}

#[test]
fn answers_are_decoded_in_any_order() {
    let found = read_answers(
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
            read_answers(bytes),
            Err(error),
            "{}",
            String::from_utf8_lossy(bytes)
        );
    }
    assert_eq!(read_answers(&[b'x'; 5_000]), Err(AnswerError::LineTooLong));
    assert_eq!(
        read_answers(&[&[b'x'; 5_000][..], b"\r\n"].concat()),
        Err(AnswerError::LineTooLong)
    );
}

/// Guards against using an answer whose declared length ends right before a CR LF of its body: the client got the
/// beginning of the body as the whole of it.
#[test]
fn an_answer_longer_than_its_length_is_an_error() {
    let good = b"a ok - 3\r\nx;1\r\n";
    for rest in [
        &b"\r\n"[..],
        b"y;2\r\n\r\n",
        b"a ok - -\r\n",
        b"a ok - 0\n\r\n",
        &[b'y'; 5_000],
    ] {
        let mut reader = AnswerReader::default();
        reader.put(&[good, &rest[..1]].concat());
        assert_eq!(reader.next(&[]), Ok(None), "{rest:?}");
        reader.put(&rest[1..]);
        assert_eq!(
            reader.next(&[]),
            Err(AnswerError::LengthMismatch),
            "{rest:?}"
        );
    }
}

/// A further answer may follow in pieces. It is used only once it is complete, the one before it once its line is.
#[test]
fn an_answer_followed_by_the_beginning_of_another_is_used() {
    let mut reader = AnswerReader::default();
    reader.put(b"a ok - 3\r\nx;1\r\nb ok - 4");
    assert_eq!(reader.next(&[]), Ok(None));
    reader.put(b"\r\nbo");
    let first = reader.next(&[]).expect("good").expect("complete");
    assert_eq!((&*first.id, &first.body[..]), ("a", &b"x;1"[..]));
    assert_eq!(reader.next(&[]), Ok(None));
    reader.put(b"dy\r\n");
    let second = reader.next(&[]).expect("good").expect("complete");
    assert_eq!((&*second.id, &second.body[..]), ("b", &b"body"[..]));
    assert!(!reader.has_partial_answer());
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases in order"
)]
fn exchange_ends_map_to_outcomes() {
    use ExchangeEnd::*;
    for (end, outcome, not_executed) in [
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
        (NoConnection, DispatchOutcome::NoConnection, true),
        (NotSent, DispatchOutcome::NotSent, true),
        (Withheld, DispatchOutcome::NotSent, true),
        (ConnectionLost, DispatchOutcome::ConnectionLost, false),
    ] {
        assert_eq!(
            (
                attempt_outcome::dispatch_outcome(end),
                attempt_outcome::dispatch_outcome(end).not_executed()
            ),
            (outcome, not_executed),
            "{end:?}"
        );
    }
    for (end, result) in [
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
        (NoConnection, LoadOrderResult::NotSent),
        (NotSent, LoadOrderResult::NotSent),
        (Withheld, LoadOrderResult::NotSent),
        (ConnectionLost, LoadOrderResult::ConnectionLost),
    ] {
        assert_eq!(attempt_outcome::load_order_result(end), result, "{end:?}");
    }
    for (end, outcome) in [
        (Answered(AnswerStatus::Healthy), DispatchOutcome::Succeeded),
        (Answered(AnswerStatus::Unhealthy), DispatchOutcome::Rejected),
        (ConnectFailed, DispatchOutcome::Unreachable),
        (NoConnection, DispatchOutcome::NotSent),
        (NotSent, DispatchOutcome::NotSent),
        (Withheld, DispatchOutcome::NotSent),
        (ConnectionLost, DispatchOutcome::ConnectionLost),
    ] {
        assert_eq!(attempt_outcome::probe_outcome(end), outcome, "{end:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(19), failure_persistence: None, cases: 300, ..ProptestConfig::default()
    })]

    #[test]
    fn answers_are_decoded_identically_for_any_split_of_the_bytes(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..30), 1..6),
        piece_bytes in 1..40usize,
    ) {
        let mut bytes = Vec::new();
        for (n, body) in bodies.iter().enumerate() {
            bytes.extend_from_slice(format!("id{n} ok same={n} {}\r\n", body.len()).as_bytes());
            bytes.extend_from_slice(body);
            bytes.extend_from_slice(b"\r\n");
        }
        let (mut reader, mut found) = (AnswerReader::default(), Vec::new());
        for piece in bytes.chunks(piece_bytes) {
            reader.put(piece);
            while let Some(answer) = reader.next(&[]).expect("good") {
                found.push(answer.body.to_vec());
            }
        }
        prop_assert!(!reader.has_partial_answer());
        prop_assert_eq!(found, bodies);
    }
}

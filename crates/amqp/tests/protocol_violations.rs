//! Connections to brokers that violate the protocol, lose the channel or stop responding, and invalid trigger
//! messages. Guards against panics on invalid input, against endless waits for a broker that does not reply, and
//! against an answer that is sent without the acknowledgement of its trigger.

use cedarpulley_amqp::connection::Login;
use cedarpulley_amqp::frames::{self, AMQPFrame, FrameReader, write, write_message, write_method};
use cedarpulley_amqp::protocol::basic::{self, AMQPProperties};
use cedarpulley_amqp::protocol::{AMQPClass, channel, connection, tx};
use cedarpulley_amqp::types::{AMQPValue, FieldTable, LongString, ShortString};
use cedarpulley_amqp::{Connection, Event, Message, Role, trigger};
use proptest::prelude::*;

const SECOND: i64 = 1_000_000;

/// A responder that was connected just now.
fn new_connection() -> Connection {
    let login = Login {
        virtual_host: "/".into(),
        user: "u".into(),
        password: "p".into(),
        heartbeat_s: 4,
        name: "test".into(),
        max_body: 1_000,
    };
    Connection::new(
        0,
        Role::Responder {
            queue: "q".into(),
            prefetch: 5,
        },
        login,
    )
}

/// The bytes of a method frame.
fn method(channel: u16, method: AMQPClass) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_method(&mut bytes, channel, method);
    bytes
}

fn connection_method(connection_method: connection::AMQPMethod) -> Vec<u8> {
    method(0, AMQPClass::Connection(connection_method))
}

fn basic_method(basic_method: basic::AMQPMethod) -> Vec<u8> {
    method(1, AMQPClass::Basic(basic_method))
}

/// The method `connection.start`, with the login mechanism PLAIN.
fn start() -> Vec<u8> {
    connection_method(connection::AMQPMethod::Start(connection::Start {
        version_major: 0,
        version_minor: 9,
        server_properties: FieldTable::default(),
        mechanisms: LongString::from("PLAIN AMQPLAIN"),
        locales: LongString::from("en_US"),
    }))
}

/// A connection that has completed the handshake and is consuming.
fn ready() -> (Connection, Vec<Event>) {
    let mut connection = new_connection();
    let mut events = Vec::new();
    let tune = connection::Tune {
        channel_max: 0,
        frame_max: 8192,
        heartbeat: 10,
    };
    let steps = [
        start(),
        connection_method(connection::AMQPMethod::Tune(tune)),
        connection_method(connection::AMQPMethod::OpenOk(connection::OpenOk {})),
        method(
            1,
            AMQPClass::Channel(channel::AMQPMethod::OpenOk(channel::OpenOk {})),
        ),
        method(1, AMQPClass::Tx(tx::AMQPMethod::SelectOk(tx::SelectOk {}))),
        basic_method(basic::AMQPMethod::QosOk(basic::QosOk {})),
        basic_method(basic::AMQPMethod::ConsumeOk(basic::ConsumeOk {
            consumer_tag: ShortString::from("c"),
        })),
    ];
    // Fed byte by byte, because the network may split frames at any point.
    for byte in steps.concat() {
        connection
            .receive(0, &[byte], &mut events)
            .expect("a valid handshake");
    }
    assert_eq!(events, [Event::Ready]);
    connection.output(0);
    (connection, Vec::new())
}

/// The frames of a delivery.
fn delivery(delivery_tag: u64, body: &[u8]) -> Vec<u8> {
    let deliver = basic::AMQPMethod::Deliver(basic::Deliver {
        consumer_tag: ShortString::from("c"),
        delivery_tag,
        redelivered: false,
        exchange: ShortString::from(""),
        routing_key: ShortString::from("q"),
    });
    let mut bytes = Vec::new();
    write_message(
        &mut bytes,
        1,
        deliver,
        AMQPProperties::default(),
        body,
        8192,
    );
    bytes
}

/// Class id and method id of each method frame in `bytes`.
fn method_ids(bytes: &[u8]) -> Vec<(u16, u16)> {
    let mut reader = FrameReader::new(1 << 20);
    reader.feed(bytes);
    let mut ids = Vec::new();
    while let Ok(Some(frame)) = reader.next_frame() {
        if let AMQPFrame::Method(_, method) = frame {
            ids.push((method.get_amqp_class_id(), method.get_amqp_method_id()));
        }
    }
    ids
}

/// Class id and method id of `basic.publish`.
const PUBLISH: (u16, u16) = (60, 40);
/// Class id and method id of `basic.ack`.
const ACK: (u16, u16) = (60, 80);
/// Class id and method id of `tx.commit`.
const COMMIT: (u16, u16) = (90, 20);

#[test]
fn answers_and_acknowledgements_are_sent_in_one_transaction_at_a_time() {
    let (mut connection, mut events) = ready();
    let properties = AMQPProperties::default;
    connection.answer(1, Some(("r", properties(), b"x")));
    connection.answer(2, Some(("r", properties(), b"y")));
    connection.commit(0);
    assert_eq!(
        method_ids(&connection.output(0)),
        [PUBLISH, ACK, PUBLISH, ACK, COMMIT]
    );
    connection.answer(3, None);
    connection.commit(0);
    assert!(
        connection.output(0).is_empty(),
        "a transaction is in flight"
    );
    let ok = method(1, AMQPClass::Tx(tx::AMQPMethod::CommitOk(tx::CommitOk {})));
    connection
        .receive(0, &ok, &mut events)
        .expect("valid frames");
    assert_eq!(events, [Event::Committed(vec![1, 2])]);
    assert_eq!(method_ids(&connection.output(0)), [ACK, COMMIT]);
}

#[test]
fn a_lost_channel_discards_uncommitted_answers_and_reopens() {
    let (mut connection, mut events) = ready();
    connection.answer(1, Some(("r", AMQPProperties::default(), b"x")));
    connection.commit(0);
    connection.answer(2, None);
    let close = channel::Close {
        reply_code: 541,
        reply_text: ShortString::from("no"),
        class_id: 0,
        method_id: 0,
    };
    let mut bytes = method(1, AMQPClass::Channel(channel::AMQPMethod::Close(close)));
    // Frames that were in transit behind the close are ignored.
    bytes.extend(delivery(3, b"late"));
    connection
        .receive(0, &bytes, &mut events)
        .expect("valid frames");
    assert_eq!(
        events,
        [Event::ChannelLost {
            code: 541,
            text: "no".into()
        }]
    );
    // The caller may answer earlier deliveries before it handles the event; these answers are ignored.
    connection.answer(1, Some(("r", AMQPProperties::default(), b"x")));
    connection.reject(2);
    assert_eq!(connection.uncommitted_answers(), 0);
    connection.output(0);
    connection.commit(0);
    assert!(connection.output(0).is_empty());
    connection.reopen(SECOND);
    assert_eq!(method_ids(&connection.output(SECOND)), [(20, 10)]);
}

#[test]
fn a_blocked_broker_is_sent_no_answers_until_unblocked() {
    let (mut connection, mut events) = ready();
    let blocked = connection::Blocked {
        reason: ShortString::from("memory"),
    };
    connection
        .receive(
            0,
            &connection_method(connection::AMQPMethod::Blocked(blocked)),
            &mut events,
        )
        .expect("valid frames");
    connection.answer(1, None);
    connection.commit(0);
    assert!(connection.output(0).is_empty());
    let unblocked = connection::AMQPMethod::Unblocked(connection::Unblocked {});
    connection
        .receive(0, &connection_method(unblocked), &mut events)
        .expect("valid frames");
    assert_eq!(method_ids(&connection.output(0)), [ACK, COMMIT]);
    assert_eq!(events, [Event::Blocked(true), Event::Blocked(false)]);
}

#[test]
fn heartbeats_do_not_extend_the_handshake_timeout() {
    let mut connection = new_connection();
    let mut heartbeat = Vec::new();
    write(&mut heartbeat, &frames::heartbeat());
    for s in 0..4 {
        connection
            .receive(s * SECOND, &heartbeat, &mut Vec::new())
            .expect("allowed");
        assert!(connection.tick(s * SECOND).is_ok());
    }
    assert!(connection.tick(6 * SECOND).is_err());
}

#[test]
fn heartbeats_are_sent_and_a_silent_broker_fails() {
    let (mut connection, _) = ready();
    assert_eq!(
        connection.next_due(),
        2 * SECOND,
        "half of the lower heartbeat interval"
    );
    connection.tick(2 * SECOND).expect("alive");
    assert_eq!(connection.output(2 * SECOND).first(), Some(&8));
    assert!(connection.tick(7 * SECOND).is_ok());
    assert!(connection.tick(8 * SECOND).is_err());
}

#[test]
fn a_commit_without_reply_ends_the_connection() {
    let (mut connection, _) = ready();
    connection.answer(1, None);
    connection.commit(0);
    connection
        .receive(4 * SECOND, &delivery(2, b"x"), &mut Vec::new())
        .expect("valid frames");
    assert!(connection.tick(6 * SECOND).is_err());
}

#[test]
fn oversized_malformed_and_unexpected_frames_are_protocol_errors() {
    let (mut connection, mut events) = ready();
    let oversized_header = [3, 0, 1, 0, 1, 0, 0];
    assert_eq!(
        connection
            .receive(0, &oversized_header, &mut events)
            .expect_err("a payload of 65,536 bytes")
            .code,
        501
    );
    let (mut connection, _) = ready();
    let unknown_method = [1, 0, 1, 0, 0, 0, 4, 0, 60, 0, 200, 0xCE];
    assert_eq!(
        connection
            .receive(0, &unknown_method, &mut events)
            .expect_err("method 60.200")
            .code,
        503
    );
    let (mut connection, _) = ready();
    assert!(
        connection
            .receive(0, b"HTTP/1.1 400 Bad Request\r\n", &mut events)
            .is_err()
    );
    let (mut connection, _) = ready();
    let mut without_frame_end = delivery(1, b"abc");
    let end = without_frame_end.len() - 1;
    without_frame_end[end] = 0;
    assert_eq!(
        connection
            .receive(0, &without_frame_end, &mut events)
            .expect_err("no frame-end byte")
            .code,
        501
    );
    let (mut connection, _) = ready();
    let body = [3, 0, 1, 0, 0, 0, 1, 7, 0xCE];
    assert_eq!(
        connection
            .receive(0, &body, &mut events)
            .expect_err("a body without a method and a header")
            .code,
        505
    );
}

/// Guards against executing a message whose content header states a size that cuts off its body: the rest follows in a
/// body frame of its own, with the message or later.
#[test]
fn a_message_with_a_body_longer_than_its_header_states_is_withdrawn() {
    let rest = [3, 0, 1, 0, 0, 0, 1, b'}', 0xCE];
    for (is_late, body) in [(false, &b"{"[..]), (false, b""), (true, b"{")] {
        let (mut connection, mut events) = ready();
        let mut frames = [delivery(6, b"good"), delivery(7, body)].concat();
        if is_late {
            connection
                .receive(0, &frames, &mut Vec::new())
                .expect("valid frames");
            frames.clear();
        }
        frames.extend_from_slice(&rest);
        let error = connection
            .receive(0, &frames, &mut events)
            .expect_err("a body frame after the body");
        let delivered: Vec<u64> = events
            .iter()
            .filter_map(|event| match event {
                Event::Delivered(message) => Some(message.delivery_tag),
                _ => None,
            })
            .collect();
        assert_eq!(delivered, if is_late { vec![] } else { vec![6] });
        assert!(matches!(
            events.last(),
            Some(Event::Withdrawn { delivery_tag: 7 })
        ));
        assert_eq!(error.code, 501);
    }
}

#[test]
fn an_oversized_body_is_discarded_and_marked() {
    let (mut connection, mut events) = ready();
    connection
        .receive(0, &delivery(1, &vec![0; 50_000]), &mut events)
        .expect("valid frames");
    let Some(Event::Delivered(message)) = events.pop() else {
        panic!("no delivery")
    };
    assert!(message.oversized && message.body.is_empty());
}

fn message(properties: AMQPProperties) -> Message {
    let routing_key = "q".to_owned();
    Message {
        delivery_tag: 1,
        redelivered: false,
        routing_key,
        properties,
        body: Vec::new(),
        oversized: false,
    }
}

fn headers(pairs: &[(&str, AMQPValue)]) -> FieldTable {
    let mut table = FieldTable::default();
    for (name, value) in pairs {
        table.insert(ShortString::from(*name), value.clone());
    }
    table
}

#[test]
fn an_invalid_field_of_a_message_is_named() {
    let text = |s: &str| AMQPValue::LongString(LongString::from(s));
    let with_type = || AMQPProperties::default().with_type(ShortString::from("t"));
    let invalid_field = |properties: AMQPProperties| {
        trigger::parse(&message(properties), 0)
            .expect_err("an invalid message")
            .field
    };
    assert_eq!(invalid_field(AMQPProperties::default()), "type");
    assert_eq!(invalid_field(with_type()), "function");
    assert_eq!(
        invalid_field(with_type().with_headers(headers(&[("function", AMQPValue::Boolean(true))]))),
        "function"
    );
    let function = [("function", text("f"))];
    assert_eq!(
        invalid_field(
            with_type()
                .with_headers(headers(&function))
                .with_expiration(ShortString::from("soon"))
        ),
        "expiration"
    );
    let lanes = [
        ("function", text("f")),
        ("lanes", AMQPValue::LongLongInt(-1)),
    ];
    assert_eq!(
        invalid_field(with_type().with_headers(headers(&lanes))),
        "lanes"
    );
    let function_and_time = [
        ("function", text("f")),
        ("sent-at-us", AMQPValue::LongLongInt(3_000_000)),
    ];
    let properties = with_type()
        .with_headers(headers(&function_and_time))
        .with_expiration(ShortString::from("1500"))
        .with_timestamp(9);
    let parsed = trigger::parse(&message(properties), 5_000_000).expect("a valid message");
    assert_eq!(
        (parsed.waited_us, parsed.client_timeout_us, parsed.identity),
        (2_000_000, Some(1_500_000), None)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: prop::test_runner::RngSeed::Fixed(3),
        failure_persistence: None, ..ProptestConfig::default() })]

    /// Random bytes, split at random points, never cause a panic.
    #[test]
    fn any_bytes_never_panic(parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..80), 0..30)) {
        let (mut connection, mut events) = ready();
        for part in parts {
            if connection.receive(0, &part, &mut events).is_err() { break; }
        }
    }

    /// A valid stream with one changed byte causes an error or other events, but never a panic.
    #[test]
    fn a_changed_byte_never_panics(at in any::<prop::sample::Index>(), value in any::<u8>()) {
        let (mut connection, mut events) = ready();
        let mut bytes = [delivery(1, b"hello"), delivery(2, &[7; 9000]), delivery(3, b"")].concat();
        let at = at.index(bytes.len());
        bytes[at] = value;
        let _ = connection.receive(0, &bytes, &mut events);
        let _ = connection.receive(0, &delivery(4, b"more"), &mut events);
    }

    /// A body of any size is split into frames of the negotiated size and is restored from them.
    #[test]
    fn bodies_round_trip(size in 0..30_000usize) {
        let mut bytes = Vec::new();
        let publish = basic::AMQPMethod::Publish(basic::Publish { exchange: ShortString::from(""),
            routing_key: ShortString::from("q"), mandatory: false, immediate: false });
        let body: Vec<u8> = (0..size).map(|n| n as u8).collect();
        write_message(&mut bytes, 1, publish, AMQPProperties::default(), &body, 4096);
        let mut reader = FrameReader::new(4096);
        reader.feed(&bytes);
        let mut received = Vec::new();
        while let Some(frame) = reader.next_frame().expect("whole frames") {
            if let AMQPFrame::Body(_, part) = frame { received.extend(part); }
        }
        prop_assert_eq!(received, body);
    }
}

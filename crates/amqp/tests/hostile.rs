//! A connection with brokers that violate the protocol, and invalid trigger messages.

use cedarpulley_amqp::connection::Login;
use cedarpulley_amqp::frames::{self, AMQPFrame, FrameReader, write, write_message, write_method};
use cedarpulley_amqp::protocol::basic::{self, AMQPProperties};
use cedarpulley_amqp::protocol::{AMQPClass, channel, connection, tx};
use cedarpulley_amqp::types::{AMQPValue, FieldTable, LongString, ShortString};
use cedarpulley_amqp::{Connection, Event, Message, Role, trigger};
use proptest::prelude::*;

const SECOND: i64 = 1_000_000;

fn new() -> Connection {
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

fn method(channel: u16, m: AMQPClass) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_method(&mut bytes, channel, m);
    bytes
}

fn conn(m: connection::AMQPMethod) -> Vec<u8> {
    method(0, AMQPClass::Connection(m))
}

fn base(m: basic::AMQPMethod) -> Vec<u8> {
    method(1, AMQPClass::Basic(m))
}

fn start() -> Vec<u8> {
    conn(connection::AMQPMethod::Start(connection::Start {
        version_major: 0,
        version_minor: 9,
        server_properties: FieldTable::default(),
        mechanisms: LongString::from("PLAIN AMQPLAIN"),
        locales: LongString::from("en_US"),
    }))
}

/// Consuming, with everything agreed.
fn ready() -> (Connection, Vec<Event>) {
    let mut c = new();
    let mut events = Vec::new();
    let tune = connection::Tune {
        channel_max: 0,
        frame_max: 8192,
        heartbeat: 10,
    };
    let steps = [
        start(),
        conn(connection::AMQPMethod::Tune(tune)),
        conn(connection::AMQPMethod::OpenOk(connection::OpenOk {})),
        method(
            1,
            AMQPClass::Channel(channel::AMQPMethod::OpenOk(channel::OpenOk {})),
        ),
        method(1, AMQPClass::Tx(tx::AMQPMethod::SelectOk(tx::SelectOk {}))),
        base(basic::AMQPMethod::QosOk(basic::QosOk {})),
        base(basic::AMQPMethod::ConsumeOk(basic::ConsumeOk {
            consumer_tag: ShortString::from("c"),
        })),
    ];
    // Byte by byte: frames come in whatever pieces the network makes.
    for byte in steps.concat() {
        c.receive(0, &[byte], &mut events).expect("a good broker");
    }
    assert_eq!(events, [Event::Ready]);
    c.output(0);
    (c, Vec::new())
}

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

/// The methods in some bytes, as class and method.
fn methods(bytes: &[u8]) -> Vec<(u16, u16)> {
    let mut reader = FrameReader::new(1 << 20);
    reader.feed(bytes);
    let mut all = Vec::new();
    while let Ok(Some(frame)) = reader.next_frame() {
        if let AMQPFrame::Method(_, m) = frame {
            all.push((m.get_amqp_class_id(), m.get_amqp_method_id()));
        }
    }
    all
}

const PUBLISH: (u16, u16) = (60, 40);
const ACK: (u16, u16) = (60, 80);
const COMMIT: (u16, u16) = (90, 20);

#[test]
fn answer_and_acknowledgement_go_out_in_one_transaction_at_a_time() {
    let (mut c, mut events) = ready();
    let p = AMQPProperties::default;
    c.answer(1, Some(("r", p(), b"x")));
    c.answer(2, Some(("r", p(), b"y")));
    c.commit(0);
    assert_eq!(methods(&c.output(0)), [PUBLISH, ACK, PUBLISH, ACK, COMMIT]);
    c.answer(3, None);
    c.commit(0);
    assert!(c.output(0).is_empty(), "one is on its way");
    let ok = method(1, AMQPClass::Tx(tx::AMQPMethod::CommitOk(tx::CommitOk {})));
    c.receive(0, &ok, &mut events).expect("a good broker");
    assert_eq!(events, [Event::Committed(vec![1, 2])]);
    assert_eq!(methods(&c.output(0)), [ACK, COMMIT]);
}

#[test]
fn a_lost_channel_voids_what_was_in_flight_and_reopens() {
    let (mut c, mut events) = ready();
    c.answer(1, Some(("r", AMQPProperties::default(), b"x")));
    c.commit(0);
    c.answer(2, None);
    let close = channel::Close {
        reply_code: 541,
        reply_text: ShortString::from("no"),
        class_id: 0,
        method_id: 0,
    };
    let mut bytes = method(1, AMQPClass::Channel(channel::AMQPMethod::Close(close)));
    // What was on its way behind it is let pass.
    bytes.extend(delivery(3, b"late"));
    c.receive(0, &bytes, &mut events).expect("a good broker");
    assert_eq!(
        events,
        [Event::ChannelLost {
            code: 541,
            text: "no".into()
        }]
    );
    // Whoever hears of it only now may still answer what came before.
    c.answer(1, Some(("r", AMQPProperties::default(), b"x")));
    c.reject(2);
    assert_eq!(c.uncommitted_answers(), 0);
    c.output(0);
    c.commit(0);
    assert!(c.output(0).is_empty());
    c.reopen(SECOND);
    assert_eq!(methods(&c.output(SECOND)), [(20, 10)]);
}

#[test]
fn a_blocked_broker_is_sent_no_answers_until_unblocked() {
    let (mut c, mut events) = ready();
    let blocked = connection::Blocked {
        reason: ShortString::from("memory"),
    };
    c.receive(
        0,
        &conn(connection::AMQPMethod::Blocked(blocked)),
        &mut events,
    )
    .expect("good");
    c.answer(1, None);
    c.commit(0);
    assert!(c.output(0).is_empty());
    let unblocked = connection::AMQPMethod::Unblocked(connection::Unblocked {});
    c.receive(0, &conn(unblocked), &mut events).expect("good");
    assert_eq!(methods(&c.output(0)), [ACK, COMMIT]);
    assert_eq!(events, [Event::Blocked(true), Event::Blocked(false)]);
}

#[test]
fn heartbeats_do_not_extend_the_handshake_timeout() {
    let mut c = new();
    let mut beat = Vec::new();
    write(&mut beat, &frames::heartbeat());
    for s in 0..4 {
        c.receive(s * SECOND, &beat, &mut Vec::new())
            .expect("allowed");
        assert!(c.tick(s * SECOND).is_ok());
    }
    assert!(c.tick(6 * SECOND).is_err());
}

#[test]
fn heartbeats_are_sent_and_a_silent_broker_fails() {
    let (mut c, _) = ready();
    assert_eq!(c.next_due(), 2 * SECOND, "half of the lower of both");
    c.tick(2 * SECOND).expect("alive");
    assert_eq!(c.output(2 * SECOND).first(), Some(&8));
    assert!(c.tick(7 * SECOND).is_ok());
    assert!(c.tick(8 * SECOND).is_err());
}

#[test]
fn a_commit_without_reply_ends_the_connection() {
    let (mut c, _) = ready();
    c.answer(1, None);
    c.commit(0);
    c.receive(4 * SECOND, &delivery(2, b"x"), &mut Vec::new())
        .expect("good");
    assert!(c.tick(6 * SECOND).is_err());
}

#[test]
fn oversized_malformed_and_unexpected_frames_are_protocol_errors() {
    let (mut c, mut events) = ready();
    let head = [3, 0, 1, 0, 1, 0, 0];
    assert_eq!(
        c.receive(0, &head, &mut events)
            .expect_err("65,536 bytes")
            .code,
        501
    );
    let (mut c, _) = ready();
    let unknown = [1, 0, 1, 0, 0, 0, 4, 0, 60, 0, 200, 0xCE];
    assert_eq!(
        c.receive(0, &unknown, &mut events)
            .expect_err("method 60.200")
            .code,
        503
    );
    let (mut c, _) = ready();
    assert!(
        c.receive(0, b"HTTP/1.1 400 Bad Request\r\n", &mut events)
            .is_err()
    );
    let (mut c, _) = ready();
    let mut cut = delivery(1, b"abc");
    let end = cut.len() - 1;
    cut[end] = 0;
    assert_eq!(
        c.receive(0, &cut, &mut events)
            .expect_err("no end mark")
            .code,
        501
    );
    let (mut c, _) = ready();
    let body = [3, 0, 1, 0, 0, 0, 1, 7, 0xCE];
    assert_eq!(
        c.receive(0, &body, &mut events)
            .expect_err("a body alone")
            .code,
        505
    );
}

#[test]
fn an_oversized_body_is_discarded_and_marked() {
    let (mut c, mut events) = ready();
    c.receive(0, &delivery(1, &vec![0; 50_000]), &mut events)
        .expect("good");
    let Some(Event::Delivered(m)) = events.pop() else {
        panic!("not delivered")
    };
    assert!(m.oversized && m.body.is_empty());
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
    let typed = || AMQPProperties::default().with_type(ShortString::from("t"));
    let field = |p: AMQPProperties| {
        trigger::parse(&message(p), 0)
            .expect_err("not understood")
            .field
    };
    assert_eq!(field(AMQPProperties::default()), "type");
    assert_eq!(field(typed()), "function");
    assert_eq!(
        field(typed().with_headers(headers(&[("function", AMQPValue::Boolean(true))]))),
        "function"
    );
    let good = [("function", text("f"))];
    assert_eq!(
        field(
            typed()
                .with_headers(headers(&good))
                .with_expiration(ShortString::from("soon"))
        ),
        "expiration"
    );
    let lanes = [
        ("function", text("f")),
        ("lanes", AMQPValue::LongLongInt(-1)),
    ];
    assert_eq!(field(typed().with_headers(headers(&lanes))), "lanes");
    let all = [
        ("function", text("f")),
        ("sent-at-us", AMQPValue::LongLongInt(3_000_000)),
    ];
    let p = typed()
        .with_headers(headers(&all))
        .with_expiration(ShortString::from("1500"))
        .with_timestamp(9);
    let t = trigger::parse(&message(p), 5_000_000).expect("understood");
    assert_eq!(
        (t.waited_us, t.client_timeout_us, t.identity),
        (2_000_000, Some(1_500_000), None)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: prop::test_runner::RngSeed::Fixed(3),
        failure_persistence: None, ..ProptestConfig::default() })]

    /// Bytes of any kind, in any pieces, neither panic nor keep more than a frame.
    #[test]
    fn any_bytes_never_panic(parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..80), 0..30)) {
        let (mut c, mut events) = ready();
        for part in parts {
            if c.receive(0, &part, &mut events).is_err() { break; }
        }
    }

    /// A good stream with one byte changed: an error or other events, never a panic.
    #[test]
    fn a_changed_byte_never_panics(at in any::<prop::sample::Index>(), value in any::<u8>()) {
        let (mut c, mut events) = ready();
        let mut bytes = [delivery(1, b"hello"), delivery(2, &[7; 9000]), delivery(3, b"")].concat();
        let at = at.index(bytes.len());
        bytes[at] = value;
        let _ = c.receive(0, &bytes, &mut events);
        let _ = c.receive(0, &delivery(4, b"more"), &mut events);
    }

    /// A body of any size comes through in frames of the agreed size.
    #[test]
    fn bodies_round_trip(size in 0..30_000usize) {
        let mut bytes = Vec::new();
        let publish = basic::AMQPMethod::Publish(basic::Publish { exchange: ShortString::from(""),
            routing_key: ShortString::from("q"), mandatory: false, immediate: false });
        let body: Vec<u8> = (0..size).map(|n| n as u8).collect();
        write_message(&mut bytes, 1, publish, AMQPProperties::default(), &body, 4096);
        let mut reader = FrameReader::new(4096);
        reader.feed(&bytes);
        let mut got = Vec::new();
        while let Some(frame) = reader.next_frame().expect("whole frames") {
            if let AMQPFrame::Body(_, part) = frame { got.extend(part); }
        }
        prop_assert_eq!(got, body);
    }
}

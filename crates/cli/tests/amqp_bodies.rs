//! Tests the AMQP front of a running router with a scripted broker whose messages violate the protocol.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use cedarpulley_amqp::frames::{write_message, write_method};
use cedarpulley_amqp::protocol::basic::{self, AMQPProperties};
use cedarpulley_amqp::protocol::{AMQPClass, channel, connection, tx};
use cedarpulley_amqp::types::{AMQPValue, FieldTable, LongString, ShortString};

mod running;
use running::{Running, eventually, free_address, start_with};

/// The frames with which a broker lets a client log in and consume. The client takes each once it has sent its request.
fn handshake() -> Vec<u8> {
    let mut bytes = Vec::new();
    let start = connection::AMQPMethod::Start(connection::Start {
        version_major: 0,
        version_minor: 9,
        server_properties: FieldTable::default(),
        mechanisms: LongString::from("PLAIN"),
        locales: LongString::from("en_US"),
    });
    let tune = connection::AMQPMethod::Tune(connection::Tune {
        channel_max: 0,
        frame_max: 8192,
        heartbeat: 60,
    });
    let open = connection::AMQPMethod::OpenOk(connection::OpenOk {});
    for method in [start, tune, open] {
        write_method(&mut bytes, 0, AMQPClass::Connection(method));
    }
    let consume = basic::ConsumeOk {
        consumer_tag: ShortString::from("c"),
    };
    for method in [
        AMQPClass::Channel(channel::AMQPMethod::OpenOk(channel::OpenOk {})),
        AMQPClass::Tx(tx::AMQPMethod::SelectOk(tx::SelectOk {})),
        AMQPClass::Basic(basic::AMQPMethod::QosOk(basic::QosOk {})),
        AMQPClass::Basic(basic::AMQPMethod::ConsumeOk(consume)),
    ] {
        write_method(&mut bytes, 1, method);
    }
    bytes
}

/// The frames of a trigger message whose content header states this body's size.
fn trigger(body: &[u8]) -> Vec<u8> {
    let mut headers = FieldTable::default();
    headers.insert(
        ShortString::from("function"),
        AMQPValue::LongString(LongString::from("f")),
    );
    let properties = AMQPProperties::default()
        .with_type(ShortString::from("patient"))
        .with_correlation_id(ShortString::from("m-1"))
        .with_headers(headers);
    let deliver = basic::AMQPMethod::Deliver(basic::Deliver {
        consumer_tag: ShortString::from("c"),
        delivery_tag: 1,
        redelivered: false,
        exchange: ShortString::from(""),
        routing_key: ShortString::from("q"),
    });
    let mut bytes = Vec::new();
    write_message(&mut bytes, 1, deliver, properties, body, 8192);
    bytes
}

/// A body frame with one byte, on the channel of the consumer.
const REST_OF_BODY: [u8; 9] = [3, 0, 1, 0, 0, 0, 1, b'}', 0xCE];

/// Starts a router that consumes from a scripted broker, and returns the connection on which it has logged in.
fn start(name: &str) -> (Running, TcpStream, TcpListener) {
    let address = free_address();
    let broker = TcpListener::bind(address).expect("a free port");
    let source = format!("[[amqp]]\nbroker = \"{address}\"\nqueue = \"q\"\n");
    let running = start_with(name, Duration::from_secs(30), 64, 1, &source);
    let (mut stream, _) = broker.accept().expect("the router connects");
    stream.write_all(&handshake()).expect("written");
    (running, stream, broker)
}

/// Guards against executing a message that the size in its content header cuts off.
#[test]
fn a_message_longer_than_its_stated_size_is_not_executed() {
    let (r, mut stream, broker) = start("amqp-cut-off");
    let frames = [&trigger(b"{")[..], &REST_OF_BODY].concat();
    stream.write_all(&frames).expect("written");
    // The router connects again after the violation.
    let again = broker.accept().expect("the router connects again");
    assert_eq!(r.received(), 0);
    drop(again);
}

/// As above, but the rest of the body arrives while its beginning is being executed. The work takes longer than the test
/// waits for its cancellation.
#[test]
fn a_rest_of_a_message_that_arrives_late_cancels_the_execution() {
    let (r, mut stream, _broker) = start("amqp-cut-off-late");
    stream.write_all(&trigger(b"{")).expect("written");
    assert!(eventually(|| r.received() == 1), "it is executed");
    stream.write_all(&REST_OF_BODY).expect("written");
    assert!(
        eventually(|| r.logged(r#""what":"left""#) == 1),
        "the worker must see the connection close before the work is done"
    );
}

//! Negotiation when a connection opens: login, frame size and heartbeat interval.

use amq_protocol::protocol::connection;
use amq_protocol::types::{AMQPValue, FieldTable, LongString};

use super::Login;
use super::methods::short;
use crate::ProtocolError;
use crate::frames::MIN_FRAME_MAX;

/// The largest frame size that this client proposes, in bytes; larger messages are split into several frames.
const FRAME_MAX: u32 = 128 * 1024;

/// Builds the reply to the broker's `start`: this client's name, capabilities and login.
pub(super) fn start_ok(
    login: &Login,
    start: &connection::Start,
) -> Result<connection::StartOk, ProtocolError> {
    let mechanisms = String::from_utf8_lossy(start.mechanisms.as_bytes());
    if !mechanisms.split(' ').any(|mechanism| mechanism == "PLAIN") {
        return Err(ProtocolError::PlainNotOffered);
    }
    let text = |text: &str| AMQPValue::LongString(LongString::from(text));
    let mut properties = FieldTable::default();
    properties.insert(short("product"), text("cedarpulley"));
    properties.insert(short("connection_name"), text(&login.name));
    let mut capabilities = FieldTable::default();
    for name in ["connection.blocked", "consumer_cancel_notify"] {
        capabilities.insert(short(name), AMQPValue::Boolean(true));
    }
    properties.insert(short("capabilities"), AMQPValue::FieldTable(capabilities));
    Ok(connection::StartOk {
        client_properties: properties,
        mechanism: short("PLAIN"),
        response: LongString::from(format!("\0{}\0{}", login.user, login.password)),
        locale: short("en_US"),
    })
}

/// The limits that both sides negotiated.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Size limit of a whole frame in bytes.
    pub(super) frame_max: u32,
    /// Heartbeat interval in seconds; 0 if there are no heartbeats.
    pub(super) heartbeat_s: u16,
}

impl Limits {
    /// Returns the lower of both sides' proposals; 0 means that a side proposes no limit.
    pub(super) fn negotiate(tune: &connection::Tune, own_heartbeat_s: u16) -> Self {
        let frame_max = match tune.frame_max {
            0 => FRAME_MAX,
            broker_value => broker_value.clamp(MIN_FRAME_MAX, FRAME_MAX),
        };
        let heartbeat_s = match (tune.heartbeat, own_heartbeat_s) {
            (0, own_value) => own_value,
            (broker_value, 0) => broker_value,
            (broker_value, own_value) => broker_value.min(own_value),
        };
        Limits {
            frame_max,
            heartbeat_s,
        }
    }

    /// Builds the reply to the broker's `tune`.
    pub(super) fn tune_ok(self) -> connection::TuneOk {
        connection::TuneOk {
            channel_max: 1,
            frame_max: self.frame_max,
            heartbeat: self.heartbeat_s,
        }
    }
}

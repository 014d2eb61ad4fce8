//! Parses trigger messages and builds the properties of answers. Fields that have a standard property use it; all
//! others are headers. `docs/operate/amqp-messages.md` lists them for operators. Errors name the invalid field.

use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::types::{AMQPValue, FieldTable, LongString, ShortString};
use cedarpulley_errors::Remedy;

use crate::Message;

/// Header of a trigger message: the function to run.
pub const FUNCTION: &str = "function";
/// Header of a trigger message: when the client sent it, in microseconds since 1970.
pub const SENT_AT_US: &str = "sent-at-us";
/// Header of a trigger message: expected duration of the work, in microseconds.
pub const COST_HINT_US: &str = "cost-hint-us";
/// Header of a trigger message: expected time to load a copy, in microseconds.
pub const LOAD_HINT_US: &str = "load-hint-us";
/// Header of a trigger message: size of a copy, in megabytes.
pub const COPY_MB: &str = "copy-mb";
/// Header of a trigger message: number of invocations that one copy runs at a time.
pub const LANES: &str = "lanes";
/// Header of a trigger message: true if the message is the client's own retry.
pub const CLIENT_RETRY: &str = "repeat";
/// Header of a message whose body has two parts, in both directions: the length of the first part in bytes.
pub const FIRST_PART: &str = "first-part";
/// Header of a trigger message: id of its session. The name is that of KServe v2's sequence extension.
pub const SEQUENCE_ID: &str = "sequence_id";
/// Header of a trigger message: true in the first message of a session.
pub const SEQUENCE_START: &str = "sequence_start";
/// Header of a trigger message: true in the last message of a session.
pub const SEQUENCE_END: &str = "sequence_end";
/// Header of an answer: the final outcome.
pub const OUTCOME: &str = "fate";
/// Header of an answer: the reason for the outcome.
pub const REASON: &str = "reason";
/// Header of an answer: name of the invalid field of the trigger message.
pub const FIELD: &str = "field";
/// Header of an answer: the wait before a retry, in microseconds.
pub const RETRY_AFTER_US: &str = "return-after-us";

/// One day, in microseconds: longer time-outs and hints are rejected, and a longer time since sending is clamped to it.
const MAX_DURATION_US: i64 = 86_400_000_000;
const MAX_LANES: i64 = 10_000;
const MAX_COPY_MB: i64 = 1 << 30;
const MAX_NAME_BYTES: usize = 255;

/// A parsed trigger message.
#[derive(Clone, Debug, PartialEq)]
pub struct TriggerMessage {
    /// Name of the trigger type.
    pub trigger_type: String,
    /// Name of the function to run.
    pub function: String,
    /// Name of the account, if the message has one.
    pub account: Option<String>,
    /// The idempotency key, if the message has one.
    pub idempotency_key: Option<String>,
    /// Identifies the message: equal for all deliveries of this message, and different for every other message if
    /// clients choose unique ids. `None` if the message has neither a message id nor a correlation id.
    pub identity: Option<String>,
    /// Time since the client sent the message, in microseconds: 0 if the client does not state when it sent the
    /// message, and at most a day.
    pub waited_us: i64,
    /// Time after which the client stops waiting, in microseconds.
    pub client_timeout_us: Option<i64>,
    /// Expected duration of the work, in microseconds.
    pub cost_hint_us: Option<i64>,
    /// Expected time to load a copy, in microseconds.
    pub load_hint_us: Option<i64>,
    /// Size of a copy in megabytes; 0 if unknown.
    pub copy_mb: f64,
    /// Number of invocations that one copy runs at a time; at least 1.
    pub lanes: u32,
    /// Whether the client marked the message as its own retry.
    pub client_retry: bool,
    /// Length of the first part of the body in bytes, if the body has two parts.
    pub first_part_length: Option<u32>,
    /// Id of the session, whether the message is its first, and whether it is its last.
    pub session: Option<(String, bool, bool)>,
}

/// An invalid property or header; shown to the client.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {cause}")]
pub struct InvalidField {
    /// Name of the property or header.
    pub field: &'static str,
    /// Why the value is invalid.
    pub cause: String,
}

impl Remedy for InvalidField {
    fn remedy(&self) -> &'static str {
        "change the client to send the field as described in docs/operate/amqp-messages.md"
    }
}

fn invalid(field: &'static str, cause: impl Into<String>) -> InvalidField {
    InvalidField {
        field,
        cause: cause.into(),
    }
}

/// Returns the integer in a value of any of AMQP's integer types, or in a string that contains one.
pub fn whole_number(value: &AMQPValue) -> Option<i64> {
    Some(match value {
        AMQPValue::ShortShortInt(n) => i64::from(*n),
        AMQPValue::ShortShortUInt(n) => i64::from(*n),
        AMQPValue::ShortInt(n) => i64::from(*n),
        AMQPValue::ShortUInt(n) => i64::from(*n),
        AMQPValue::LongInt(n) => i64::from(*n),
        AMQPValue::LongUInt(n) => i64::from(*n),
        AMQPValue::LongLongInt(n) => *n,
        AMQPValue::LongString(text) => std::str::from_utf8(text.as_bytes()).ok()?.parse().ok()?,
        _ => return None,
    })
}

/// Returns the text of a value of one of AMQP's string types, if it is UTF-8.
pub fn text(value: &AMQPValue) -> Option<&str> {
    match value {
        AMQPValue::LongString(text) => std::str::from_utf8(text.as_bytes()).ok(),
        AMQPValue::ShortString(text) => Some(text.as_str()),
        _ => None,
    }
}

/// The headers of a message. A header with a void value counts as absent.
struct Headers<'a>(Option<&'a FieldTable>);

impl<'a> Headers<'a> {
    fn get(&self, name: &str) -> Option<&'a AMQPValue> {
        self.0?
            .inner()
            .get(name)
            .filter(|v| !matches!(v, AMQPValue::Void))
    }

    fn flag(&self, name: &str) -> bool {
        matches!(self.get(name), Some(AMQPValue::Boolean(true)))
    }

    fn function(&self) -> Result<String, InvalidField> {
        match self.get(FUNCTION).map(text) {
            Some(Some(name)) if !name.is_empty() && name.len() <= MAX_NAME_BYTES => {
                Ok(name.to_owned())
            }
            Some(_) => Err(invalid(FUNCTION, "not a text of 1 to 255 bytes")),
            None => Err(invalid(FUNCTION, "no function is named")),
        }
    }

    /// Returns the session's id and the flags of its first and its last message. An empty id, or 0, means no session.
    fn session(&self) -> Result<Option<(String, bool, bool)>, InvalidField> {
        let Some(value) = self.get(SEQUENCE_ID) else {
            return Ok(None);
        };
        let id = match (text(value), whole_number(value)) {
            (Some(text), _) => text.to_owned(),
            (None, Some(0)) => String::new(),
            (None, Some(n)) if n > 0 => n.to_string(),
            _ => return Err(invalid(SEQUENCE_ID, "not a text or a whole number")),
        };
        if id.len() > MAX_NAME_BYTES || id.chars().any(char::is_control) {
            return Err(invalid(SEQUENCE_ID, "not a text of at most 255 bytes"));
        }
        Ok((!id.is_empty()).then(|| (id, self.flag(SEQUENCE_START), self.flag(SEQUENCE_END))))
    }

    /// Returns the value of a header if it is an integer from 0 to `max`.
    fn number(&self, name: &'static str, max: i64) -> Result<Option<i64>, InvalidField> {
        let Some(value) = self.get(name) else {
            return Ok(None);
        };
        match whole_number(value) {
            Some(n) if (0..=max).contains(&n) => Ok(Some(n)),
            Some(n) => Err(invalid(name, format!("{n} is not within 0 to {max}"))),
            None => Err(invalid(name, "not a whole number")),
        }
    }
}

/// Parses a trigger message. `wall_us`: the time by this router's clock, in microseconds since 1970.
pub fn parse(message: &Message, wall_us: i64) -> Result<TriggerMessage, InvalidField> {
    let properties = &message.properties;
    let headers = Headers(properties.headers().as_ref());
    let trigger_type =
        non_empty(properties.kind()).ok_or_else(|| invalid("type", "no trigger type is named"))?;
    let function = headers.function()?;
    let client_timeout_us = client_timeout(properties)?;
    let waited_us = sent_at(properties, &headers)?.map_or(0, |sent_at| {
        wall_us.saturating_sub(sent_at).clamp(0, MAX_DURATION_US)
    });
    let copy_mb = headers.number(COPY_MB, MAX_COPY_MB)?.unwrap_or(0) as f64;
    Ok(TriggerMessage {
        identity: identity(properties, &trigger_type, &function),
        trigger_type,
        function,
        account: non_empty(properties.app_id()),
        idempotency_key: non_empty(properties.message_id()),
        waited_us,
        client_timeout_us,
        cost_hint_us: headers.number(COST_HINT_US, MAX_DURATION_US)?,
        load_hint_us: headers.number(LOAD_HINT_US, MAX_DURATION_US)?,
        copy_mb,
        lanes: headers.number(LANES, MAX_LANES)?.unwrap_or(1).max(1) as u32,
        first_part_length: headers
            .number(FIRST_PART, message.body.len() as i64)?
            .map(|length| length as u32),
        client_retry: headers.flag(CLIENT_RETRY),
        session: headers.session()?,
    })
}

/// Returns the text of a property, or `None` if the property is absent or empty.
fn non_empty(property: &Option<ShortString>) -> Option<String> {
    property
        .as_ref()
        .map(|text| text.as_str().to_owned())
        .filter(|text| !text.is_empty())
}

/// Parses the time after which the client stops waiting, in microseconds.
fn client_timeout(properties: &AMQPProperties) -> Result<Option<i64>, InvalidField> {
    let Some(ms) = non_empty(properties.expiration()) else {
        return Ok(None);
    };
    match ms.parse::<i64>() {
        Ok(ms) if (0..=MAX_DURATION_US / 1000).contains(&ms) => Ok(Some(ms * 1000)),
        _ => Err(invalid(
            "expiration",
            "not a number of milliseconds up to a day",
        )),
    }
}

/// Parses when the client sent the message, in microseconds since 1970.
fn sent_at(properties: &AMQPProperties, headers: &Headers) -> Result<Option<i64>, InvalidField> {
    if let Some(us) = headers.number(SENT_AT_US, i64::MAX)? {
        return Ok(Some(us));
    }
    // The timestamp property has whole seconds; the start of that second is used.
    Ok(properties.timestamp().map(|seconds| {
        i64::try_from(seconds)
            .unwrap_or(i64::MAX)
            .saturating_mul(1_000_000)
    }))
}

/// Builds the identity of a message from its properties. Returns `None` if the message has neither a message id nor a
/// correlation id: it cannot be distinguished from other messages, and only the broker's redelivery flag shows whether
/// it was delivered before.
fn identity(properties: &AMQPProperties, kind: &str, function: &str) -> Option<String> {
    let message_id = non_empty(properties.message_id());
    let correlation_id = non_empty(properties.correlation_id());
    if message_id.is_none() && correlation_id.is_none() {
        return None;
    }
    Some(format!(
        "{}\n{}\n{}\n{kind}\n{function}",
        message_id.unwrap_or_default(),
        correlation_id.unwrap_or_default(),
        non_empty(properties.reply_to()).unwrap_or_default()
    ))
}

/// Builds the properties of the answer to a trigger message with the properties `trigger`.
pub fn answer_properties(
    trigger: &AMQPProperties,
    outcome: &str,
    reason: &str,
    field: Option<&str>,
    retry_after_us: Option<i64>,
    first_part_length: Option<u32>,
) -> AMQPProperties {
    let mut headers = FieldTable::default();
    let mut put = |name: &str, value: &str| {
        headers.insert(
            ShortString::from(name),
            AMQPValue::LongString(LongString::from(value)),
        );
    };
    put(OUTCOME, outcome);
    put(REASON, reason);
    if let Some(field) = field {
        put(FIELD, field);
    }
    if let Some(us) = retry_after_us {
        headers.insert(
            ShortString::from(RETRY_AFTER_US),
            AMQPValue::LongLongInt(us),
        );
    }
    if let Some(n) = first_part_length {
        headers.insert(
            ShortString::from(FIRST_PART),
            AMQPValue::LongLongInt(i64::from(n)),
        );
    }
    let mut properties = AMQPProperties::default().with_headers(headers);
    if let Some(id) = trigger.correlation_id() {
        properties = properties.with_correlation_id(id.clone());
    }
    properties
}

//! What a trigger message means: standard properties first, headers for the rest. `docs/operate/amqp-messages.md` has
//! the table for operators. An invalid field is named in the error.

use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::types::{AMQPValue, FieldTable, LongString, ShortString};
use cedarpulley_errors::Remedy;

use crate::Message;

/// Header of a trigger message: the function to run.
pub const FUNCTION: &str = "function";
/// Header of a trigger message: when the client sent it, in microseconds since 1970.
pub const SENT_AT_US: &str = "sent-at-us";
/// Header of a trigger message: expected work, in microseconds.
pub const COST_HINT_US: &str = "cost-hint-us";
/// Header of a trigger message: expected time to load a copy, in microseconds.
pub const LOAD_HINT_US: &str = "load-hint-us";
/// Header of a trigger message: size of a copy, in megabytes.
pub const COPY_MB: &str = "copy-mb";
/// Header of a trigger message: invocations that one copy runs at a time.
pub const LANES: &str = "lanes";
/// Header of a trigger message: it is the client's own retry.
pub const REPEAT: &str = "repeat";
/// Header of a body with two parts, in both directions: the length of the first in bytes.
pub const FIRST_PART: &str = "first-part";
/// Header of a trigger message: id of its session, named as in KServe v2's sequence extension.
pub const SEQUENCE_ID: &str = "sequence_id";
/// Header of a trigger message: it is the first of its session.
pub const SEQUENCE_START: &str = "sequence_start";
/// Header of a trigger message: it is the last of its session.
pub const SEQUENCE_END: &str = "sequence_end";
/// Header of an answer: the final outcome.
pub const OUTCOME: &str = "fate";
/// Header of an answer: the reason for the outcome.
pub const REASON: &str = "reason";
/// Header of an answer: the field of the trigger message that is invalid.
pub const FIELD: &str = "field";
/// Header of an answer: the wait before a retry, in microseconds.
pub const RETURN_AFTER_US: &str = "return-after-us";

/// A day: longer waits are not accepted, and longer clock differences are cut to this.
const MAX_DURATION_US: i64 = 86_400_000_000;
const MAX_LANES: i64 = 10_000;
const MAX_COPY_MB: i64 = 1 << 30;
const MAX_NAME_BYTES: usize = 255;

/// What a trigger message asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct TriggerMessage {
    /// Name of the trigger type.
    pub trigger_type: String,
    /// Name of the function to run.
    pub function: String,
    /// Name of the account.
    pub account: Option<String>,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// The same for each delivery of this message and for no other, if the message has an id to tell it by.
    pub identity: Option<String>,
    /// Time since the client sent the message; 0 if it does not say when, at most a day.
    pub waited_us: i64,
    /// The client stops waiting after this time.
    pub client_timeout_us: Option<i64>,
    /// Expected work.
    pub cost_hint_us: Option<i64>,
    /// Expected time to load a copy.
    pub load_hint_us: Option<i64>,
    /// Size of a copy in megabytes, 0 if not known.
    pub copy_mb: f64,
    /// Invocations that one copy runs at a time, at least 1.
    pub lanes: u32,
    /// The client marks the message as its own retry.
    pub repeat: bool,
    /// Of a body with two parts: the length of the first in bytes.
    pub first_part: Option<u32>,
    /// Id of the session, and whether the message is its first and its last.
    pub session: Option<(String, bool, bool)>,
}

/// A property or header that cannot be used; shown to the client.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {cause}")]
pub struct InvalidField {
    /// Name of the property or header.
    pub field: &'static str,
    /// What is wrong with its value.
    pub cause: String,
}

impl Remedy for InvalidField {
    fn remedy(&self) -> &'static str {
        "have its client send that field as docs/operate/amqp-messages.md says"
    }
}

fn invalid(field: &'static str, cause: impl Into<String>) -> InvalidField {
    InvalidField {
        field,
        cause: cause.into(),
    }
}

/// A whole number of any of AMQP's integer types, or a text of one.
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

/// A text of either of AMQP's string types, if it is UTF-8.
pub fn text(value: &AMQPValue) -> Option<&str> {
    match value {
        AMQPValue::LongString(text) => std::str::from_utf8(text.as_bytes()).ok(),
        AMQPValue::ShortString(text) => Some(text.as_str()),
        _ => None,
    }
}

/// The headers of a message; a void value counts as absent.
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

    /// An empty id, or 0, means no session.
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

    /// A whole number from 0 to `max`.
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

/// Reads a trigger message. `wall_us`: microseconds since 1970 by this router's clock.
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
        first_part: headers
            .number(FIRST_PART, message.body.len() as i64)?
            .map(|length| length as u32),
        repeat: headers.flag(REPEAT),
        session: headers.session()?,
    })
}

/// An absent property and an empty one mean the same.
fn non_empty(property: &Option<ShortString>) -> Option<String> {
    property
        .as_ref()
        .map(|text| text.as_str().to_owned())
        .filter(|text| !text.is_empty())
}

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

/// When the client sent the message, in microseconds since 1970.
fn sent_at(properties: &AMQPProperties, headers: &Headers) -> Result<Option<i64>, InvalidField> {
    if let Some(us) = headers.number(SENT_AT_US, i64::MAX)? {
        return Ok(Some(us));
    }
    // The timestamp property counts in whole seconds; its earliest moment is taken.
    Ok(properties.timestamp().map(|seconds| {
        i64::try_from(seconds)
            .unwrap_or(i64::MAX)
            .saturating_mul(1_000_000)
    }))
}

/// Absent if the message has neither an id nor a correlation id: it cannot then be told from another, and only the
/// broker's redelivery flag counts.
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

/// The properties of an answer to a message.
pub fn answer_properties(
    to: &AMQPProperties,
    fate: &str,
    reason: &str,
    field: Option<&str>,
    return_after_us: Option<i64>,
    first_part: Option<u32>,
) -> AMQPProperties {
    let mut headers = FieldTable::default();
    let mut put = |name: &str, value: &str| {
        headers.insert(
            ShortString::from(name),
            AMQPValue::LongString(LongString::from(value)),
        );
    };
    put(OUTCOME, fate);
    put(REASON, reason);
    if let Some(field) = field {
        put(FIELD, field);
    }
    if let Some(us) = return_after_us {
        headers.insert(
            ShortString::from(RETURN_AFTER_US),
            AMQPValue::LongLongInt(us),
        );
    }
    if let Some(n) = first_part {
        headers.insert(
            ShortString::from(FIRST_PART),
            AMQPValue::LongLongInt(i64::from(n)),
        );
    }
    let mut properties = AMQPProperties::default().with_headers(headers);
    if let Some(id) = to.correlation_id() {
        properties = properties.with_correlation_id(id.clone());
    }
    properties
}

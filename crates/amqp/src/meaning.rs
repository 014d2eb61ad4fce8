//! What a trigger message means. One table, written out for operators in docs/operate/amqp-messages.md: standard
//! properties first, headers for the rest. What cannot be understood is named by its field.

use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::types::{AMQPValue, FieldTable, LongString, ShortString};
use cedarpulley_errors::Remedy;

use crate::Message;

/// Headers of a trigger message.
pub const FUNCTION: &str = "function";
pub const SENT_AT_US: &str = "sent-at-us";
pub const COST_HINT_US: &str = "cost-hint-us";
pub const LOAD_HINT_US: &str = "load-hint-us";
pub const COPY_MB: &str = "copy-mb";
pub const LANES: &str = "lanes";
pub const REPEAT: &str = "repeat";
/// Of a body with two parts: the length of the first.
pub const FIRST_PART: &str = "first-part";
/// Of a session, as KServe v2's sequence extension names them.
pub const SEQUENCE_ID: &str = "sequence_id";
pub const SEQUENCE_START: &str = "sequence_start";
pub const SEQUENCE_END: &str = "sequence_end";
/// Headers of an answer.
pub const FATE: &str = "fate";
pub const REASON: &str = "reason";
pub const FIELD: &str = "field";
pub const RETURN_AFTER_US: &str = "return-after-us";

/// A day: no client waits longer, and no clock is off by more and still counts.
const LONGEST_US: i64 = 86_400_000_000;
const MOST_LANES: i64 = 10_000;

#[derive(Clone, Debug, PartialEq)]
pub struct Trigger {
    pub kind: String,
    pub function: String,
    pub account: Option<String>,
    pub token: Option<String>,
    /// The same for each delivery of this message and no other, if it bears marks enough to say so.
    pub identity: Option<String>,
    /// Since the client sent it; 0 if it does not say.
    pub waited_us: i64,
    pub client_timeout_us: Option<i64>,
    pub cost_hint_us: Option<i64>,
    pub load_hint_us: Option<i64>,
    pub copy_mb: f64,
    pub lanes: u32,
    pub repeat: bool,
    pub first_part: Option<u32>,
    /// The session that it belongs to, and whether it is its first or its last.
    pub session: Option<(String, bool, bool)>,
}

/// What is wrong with which property or header; for the client to read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {cause}")]
pub struct Misunderstood {
    pub field: &'static str,
    pub cause: String,
}

impl Remedy for Misunderstood {
    fn remedy(&self) -> &'static str {
        "have its client send that field as docs/operate/amqp-messages.md says"
    }
}

fn wrong(field: &'static str, cause: impl Into<String>) -> Misunderstood {
    Misunderstood {
        field,
        cause: cause.into(),
    }
}

pub fn whole_number(value: &AMQPValue) -> Option<i64> {
    Some(match value {
        AMQPValue::ShortShortInt(n) => i64::from(*n),
        AMQPValue::ShortShortUInt(n) => i64::from(*n),
        AMQPValue::ShortInt(n) => i64::from(*n),
        AMQPValue::ShortUInt(n) => i64::from(*n),
        AMQPValue::LongInt(n) => i64::from(*n),
        AMQPValue::LongUInt(n) => i64::from(*n),
        AMQPValue::LongLongInt(n) => *n,
        AMQPValue::LongString(s) => std::str::from_utf8(s.as_bytes()).ok()?.parse().ok()?,
        _ => return None,
    })
}

pub fn text(value: &AMQPValue) -> Option<&str> {
    match value {
        AMQPValue::LongString(s) => std::str::from_utf8(s.as_bytes()).ok(),
        AMQPValue::ShortString(s) => Some(s.as_str()),
        _ => None,
    }
}

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

    /// An empty id, or 0, means none.
    fn session(&self) -> Result<Option<(String, bool, bool)>, Misunderstood> {
        let Some(value) = self.get(SEQUENCE_ID) else {
            return Ok(None);
        };
        let id = match (text(value), whole_number(value)) {
            (Some(text), _) => text.to_owned(),
            (None, Some(0)) => String::new(),
            (None, Some(n)) if n > 0 => n.to_string(),
            _ => return Err(wrong(SEQUENCE_ID, "not a text or a whole number")),
        };
        if id.len() > 255 || id.chars().any(char::is_control) {
            return Err(wrong(SEQUENCE_ID, "not a text of at most 255 bytes"));
        }
        Ok((!id.is_empty()).then(|| (id, self.flag(SEQUENCE_START), self.flag(SEQUENCE_END))))
    }

    fn number(&self, name: &'static str, most: i64) -> Result<Option<i64>, Misunderstood> {
        let Some(value) = self.get(name) else {
            return Ok(None);
        };
        match whole_number(value) {
            Some(n) if (0..=most).contains(&n) => Ok(Some(n)),
            Some(n) => Err(wrong(name, format!("{n} is not within 0 to {most}"))),
            None => Err(wrong(name, "not a whole number")),
        }
    }
}

/// `wall_us`: microseconds since 1970 by this router's clock.
pub fn read(message: &Message, wall_us: i64) -> Result<Trigger, Misunderstood> {
    let p = &message.properties;
    let own = |s: &Option<ShortString>| {
        s.as_ref()
            .map(|s| s.as_str().to_owned())
            .filter(|s| !s.is_empty())
    };
    let headers = Headers(p.headers().as_ref());
    let kind = own(p.kind()).ok_or_else(|| wrong("type", "no trigger type is named"))?;
    let function = match headers.get(FUNCTION).map(text) {
        Some(Some(name)) if !name.is_empty() && name.len() <= 255 => name.to_owned(),
        Some(_) => return Err(wrong(FUNCTION, "not a text of 1 to 255 bytes")),
        None => return Err(wrong(FUNCTION, "no function is named")),
    };
    let client_timeout_us = match own(p.expiration()) {
        None => None,
        Some(ms) => match ms.parse::<i64>() {
            Ok(ms) if (0..=LONGEST_US / 1000).contains(&ms) => Some(ms * 1000),
            _ => {
                return Err(wrong(
                    "expiration",
                    "not a number of milliseconds up to a day",
                ));
            }
        },
    };
    // The timestamp counts in whole seconds: the earliest moment within it is meant.
    let sent = match headers.number(SENT_AT_US, i64::MAX)? {
        Some(us) => Some(us),
        None => p.timestamp().map(|s| {
            i64::try_from(s)
                .unwrap_or(i64::MAX)
                .saturating_mul(1_000_000)
        }),
    };
    let waited_us = sent.map_or(0, |s| wall_us.saturating_sub(s).clamp(0, LONGEST_US));
    let copy_mb = headers.number(COPY_MB, 1 << 30)?.unwrap_or(0) as f64;
    let (token, correlation, reply_to) = (
        own(p.message_id()),
        own(p.correlation_id()),
        own(p.reply_to()),
    );
    // A message without marks cannot be told from another: then only the broker's word counts.
    let identity = (token.is_some() || correlation.is_some()).then(|| {
        let part = |s: &Option<String>| s.clone().unwrap_or_default();
        format!(
            "{}\n{}\n{}\n{kind}\n{function}",
            part(&token),
            part(&correlation),
            part(&reply_to)
        )
    });
    Ok(Trigger {
        kind,
        function,
        account: own(p.app_id()),
        token,
        identity,
        waited_us,
        client_timeout_us,
        cost_hint_us: headers.number(COST_HINT_US, LONGEST_US)?,
        load_hint_us: headers.number(LOAD_HINT_US, LONGEST_US)?,
        copy_mb,
        lanes: headers.number(LANES, MOST_LANES)?.unwrap_or(1).max(1) as u32,
        first_part: headers
            .number(FIRST_PART, message.body.len() as i64)?
            .map(|n| n as u32),
        repeat: headers.flag(REPEAT),
        session: headers.session()?,
    })
}

/// The properties of an answer to a message.
pub fn answer(
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
    put(FATE, fate);
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

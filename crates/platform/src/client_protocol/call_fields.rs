//! Parses the header fields of a call and checks them against the settings.

use std::sync::Arc;

use bytes::Bytes;
use cedarpulley::interface::Micros;

use super::head::{Fields, is_id};
use super::{Call, RequestError, RequestRules, TriggerRules};

/// Longest idempotency key, in characters.
const MAX_KEY_LENGTH: usize = 64;
/// Longest time in a field, in milliseconds: an estimate of more than one hour is not plausible.
const MAX_MILLIS: f64 = 3.6e6;
/// Most lanes in a field: more than a machine could run is not plausible.
const MAX_LANES: f64 = 1024.0;

type Result<T> = std::result::Result<T, RequestError>;

/// Parses a call from the header fields of a request. Its body is empty, because it has not been received yet.
pub(super) fn parse_call(function: &str, fields: &Fields, rules: &RequestRules) -> Result<Call> {
    let id = Some(fields.required("req-id")?)
        .filter(|id| is_id(id))
        .ok_or(RequestError::InvalidField)?;
    let trigger = rules
        .names
        .trigger_index(fields.required("x-class")?)
        .ok_or(RequestError::InvalidField)?;
    let account = parse_account(fields, rules)?;
    let trigger_rules = rules
        .triggers
        .get(trigger as usize)
        .ok_or(RequestError::InvalidField)?;
    let client_timeout = parse_client_timeout(fields, trigger_rules)?;
    let idempotency_key = parse_idempotency_key(fields, trigger_rules)?;
    let cost_hint = fields
        .optional("req-cost")?
        .map(|text| parse_number(text, MAX_MILLIS))
        .transpose()?;
    let hints = Hints::parse(fields.optional("x-extras")?.unwrap_or(""), rules)?;
    Ok(Call {
        id: Arc::from(id),
        function: Arc::from(function),
        trigger,
        account,
        client_timeout,
        idempotency_key: idempotency_key.map(Arc::from),
        cost_hint: cost_hint.map(micros),
        load_hint: hints.load_ms.map(micros),
        copy_mb: hints.memory_mb.unwrap_or(0.0),
        lanes: hints.lanes()?,
        body: Bytes::new(),
    })
}

/// The index of the account that the request names. If the settings define no accounts, the field is optional.
fn parse_account(fields: &Fields, rules: &RequestRules) -> Result<u32> {
    let name = fields.optional("req-owner")?;
    if name.is_none() && !rules.names.accounts.is_empty() {
        return Err(RequestError::InvalidField);
    }
    rules
        .names
        .account_index(name)
        .ok_or(RequestError::InvalidField)
}

fn parse_client_timeout(fields: &Fields, rules: &TriggerRules) -> Result<Micros> {
    let timeout = micros(parse_number(fields.required("req-wait-ms")?, MAX_MILLIS)?);
    if timeout <= 0 || timeout > rules.max_client_timeout {
        return Err(RequestError::InvalidField);
    }
    Ok(timeout)
}

fn parse_idempotency_key<'a>(
    fields: &Fields<'_, 'a>,
    rules: &TriggerRules,
) -> Result<Option<&'a str>> {
    let key = fields.optional("req-token")?;
    let is_valid = |key: &str| {
        (1..=MAX_KEY_LENGTH).contains(&key.len())
            && key.bytes().all(|byte| byte.is_ascii_alphanumeric())
    };
    if key.is_some_and(|key| !is_valid(key)) || rules.needs_idempotency_key && key.is_none() {
        return Err(RequestError::InvalidField);
    }
    Ok(key)
}

/// The hints in the field `X-Extras`: pairs `name:value`, separated by semicolons. Unknown names are ignored.
#[derive(Debug, Default)]
struct Hints {
    memory_mb: Option<f64>,
    lanes: Option<f64>,
    load_ms: Option<f64>,
}

impl Hints {
    fn parse(text: &str, rules: &RequestRules) -> Result<Self> {
        let mut hints = Hints::default();
        for pair in text.split(';').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once(':').ok_or(RequestError::InvalidField)?;
            let (hint, max) = match name {
                "memory_mb" => (&mut hints.memory_mb, rules.largest_machine_mb),
                "lanes" => (&mut hints.lanes, MAX_LANES),
                "load_ms" => (&mut hints.load_ms, MAX_MILLIS),
                _ => continue,
            };
            if hint.replace(parse_number(value, max)?).is_some() {
                return Err(RequestError::InvalidField);
            }
        }
        Ok(hints)
    }

    /// The number of lanes, 1 if there is no hint. It must be a whole number, at least 1.
    fn lanes(&self) -> Result<u32> {
        let lanes = self.lanes.unwrap_or(1.0);
        if lanes < 1.0 || lanes.fract() != 0.0 {
            return Err(RequestError::InvalidField);
        }
        Ok(lanes as u32)
    }
}

/// Converts milliseconds to microseconds.
fn micros(millis: f64) -> Micros {
    (millis * 1e3) as Micros
}

/// Parses a decimal number from 0 to `max`.
fn parse_number(text: &str, max: f64) -> Result<f64> {
    let value: f64 = text.parse().map_err(|_| RequestError::InvalidField)?;
    if value.is_finite() && (0.0..=max).contains(&value) {
        Ok(value)
    } else {
        Err(RequestError::InvalidField)
    }
}

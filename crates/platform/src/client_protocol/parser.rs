//! Cuts whole requests out of the bytes of one connection.

use std::sync::Arc;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use httparse::Status;

use super::{Call, MOST_BODY, MOST_HEAD, Request, RequestError, RequestKind, RequestRules};

/// Fields of a head; the protocol has a dozen.
const MOST_FIELDS: usize = 48;
/// Bytes of a body in chunks: chunks of one byte each would cost more than they carry.
const MOST_CHUNKED: usize = 4 * MOST_BODY;
/// Characters of an idempotency key.
const MOST_TOKEN: usize = 64;
/// Hints beyond an hour of work, and more lanes than a machine has, are no hints.
const LONGEST_MS: f64 = 3.6e6;
const MOST_LANES: f64 = 1024.0;

const CALLS: &str = "/api/v2/";
const CALL: &str = "/call";
const HEALTH: &str = "/-/healthy";

#[derive(Debug, Default)]
enum State {
    #[default]
    Head,
    Sized(Request, usize),
    Chunked {
        request: Request,
        body: Vec<u8>,
        taken: usize,
    },
    Refused(RequestError),
}

/// The bytes of one connection that are not yet a whole request.
#[derive(Debug, Default)]
pub struct Parser {
    bytes: Vec<u8>,
    state: State,
}

impl Parser {
    /// Bytes that came.
    pub fn put(&mut self, bytes: &[u8]) {
        if !matches!(self.state, State::Refused(_)) {
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// A request has begun and is not whole.
    pub fn is_midway(&self) -> bool {
        !self.bytes.is_empty() || !matches!(self.state, State::Head)
    }

    /// Bytes kept.
    pub fn bytes(&self) -> usize {
        let body = if let State::Chunked { body, .. } = &self.state {
            body.len()
        } else {
            0
        };
        self.bytes.len() + body
    }

    /// The next whole request; none yet; or what is wrong, from then on for good.
    pub fn next(&mut self, rules: &RequestRules) -> Result<Option<Request>, RequestError> {
        let found = self.step(rules);
        match &found {
            Err(wrong) => {
                self.state = State::Refused(*wrong);
                self.bytes = Vec::new();
            }
            // Idle connections keep no buffer.
            Ok(Some(_)) if self.bytes.is_empty() => self.bytes = Vec::new(),
            Ok(_) => {}
        }
        found
    }

    fn step(&mut self, rules: &RequestRules) -> Result<Option<Request>, RequestError> {
        loop {
            match std::mem::take(&mut self.state) {
                State::Refused(wrong) => return Err(wrong),
                State::Head => {
                    // Empty lines before a request are let pass.
                    let blank = self
                        .bytes
                        .iter()
                        .take_while(|b| matches!(b, b'\r' | b'\n'))
                        .count();
                    self.bytes.drain(..blank);
                    let Some((state, used)) = head(&self.bytes, rules)? else {
                        return Ok(None);
                    };
                    self.bytes.drain(..used);
                    self.state = state;
                }
                State::Sized(mut request, length) => {
                    if self.bytes.len() < length {
                        self.state = State::Sized(request, length);
                        return Ok(None);
                    }
                    let body = Bytes::copy_from_slice(&self.bytes[..length]);
                    self.bytes.drain(..length);
                    if let RequestKind::Call(call) = &mut request.kind {
                        call.body = body;
                    }
                    return Ok(Some(request));
                }
                State::Chunked {
                    mut request,
                    mut body,
                    mut taken,
                } => match self.chunk(&mut body, &mut taken)? {
                    Some(true) => {
                        if let RequestKind::Call(call) = &mut request.kind {
                            call.body = body.into();
                        }
                        return Ok(Some(request));
                    }
                    Some(false) => {
                        self.state = State::Chunked {
                            request,
                            body,
                            taken,
                        }
                    }
                    None => {
                        self.state = State::Chunked {
                            request,
                            body,
                            taken,
                        };
                        return Ok(None);
                    }
                },
            }
        }
    }

    /// Takes one chunk; true if it was the last one, none if it is not whole yet.
    fn chunk(
        &mut self,
        body: &mut Vec<u8>,
        taken: &mut usize,
    ) -> Result<Option<bool>, RequestError> {
        let parsed = httparse::parse_chunk_size(&self.bytes).map_err(|_| RequestError::Chunks)?;
        let Status::Complete((line, size)) = parsed else {
            return if *taken + self.bytes.len() > MOST_CHUNKED {
                Err(RequestError::BodyTooLong)
            } else {
                Ok(None)
            };
        };
        if size > (MOST_BODY - body.len()) as u64 || *taken + line > MOST_CHUNKED {
            return Err(RequestError::BodyTooLong);
        }
        let size = size as usize;
        let Some(end) = self.bytes.get(line + size..line + size + 2) else {
            return Ok(None);
        };
        // After the last chunk come no further fields.
        if end != b"\r\n" {
            return Err(RequestError::Chunks);
        }
        body.extend_from_slice(&self.bytes[line..line + size]);
        self.bytes.drain(..line + size + 2);
        *taken += line + size + 2;
        Ok(Some(size == 0))
    }
}

/// Understands a head once it is whole: how its body comes, and the bytes that it took.
fn head(bytes: &[u8], rules: &RequestRules) -> Result<Option<(State, usize)>, RequestError> {
    let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    let used = match head.parse(bytes) {
        Ok(Status::Complete(used)) if used <= MOST_HEAD => used,
        Ok(Status::Partial) if bytes.len() <= MOST_HEAD => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(RequestError::HeadTooLong),
        Err(_) => return Err(RequestError::Head),
    };
    let fields = Fields(head.headers);
    let length = |name| fields.once(name).map_err(|_| RequestError::Length);
    let (sized, chunked) = (length("content-length")?, length("transfer-encoding")?);
    let length = match (sized, chunked) {
        (Some(_), Some(_)) => return Err(RequestError::Length),
        (Some(size), None) => Some(digits(size).ok_or(RequestError::Length)?),
        (None, Some(coding))
            if coding.eq_ignore_ascii_case("chunked") && head.version == Some(1) =>
        {
            None
        }
        (None, Some(_)) => return Err(RequestError::Length),
        (None, None) => Some(0),
    };
    if length.is_some_and(|n| n > MOST_BODY as u64) {
        return Err(RequestError::BodyTooLong);
    }
    if fields.once("expect")?.is_some() {
        return Err(RequestError::Expectation);
    }
    let closes = |v: &str| v.split(',').any(|v| v.trim().eq_ignore_ascii_case("close"));
    let keeps = |v: &str| {
        v.split(',')
            .any(|v| v.trim().eq_ignore_ascii_case("keep-alive"))
    };
    let connection = fields.once("connection")?;
    let close =
        connection.is_some_and(closes) || head.version == Some(0) && !connection.is_some_and(keeps);
    let kind = match (head.method.unwrap_or(""), head.path.unwrap_or("")) {
        ("GET", HEALTH) => RequestKind::Health,
        ("POST", path) => {
            let function = path.strip_prefix(CALLS).and_then(|p| p.strip_suffix(CALL));
            let function = function.filter(|f| is_id(f)).ok_or(RequestError::Path)?;
            RequestKind::Call(call(function, &fields, rules)?)
        }
        (_, HEALTH) => return Err(RequestError::Method),
        (_, path) if path.starts_with(CALLS) => return Err(RequestError::Method),
        _ => return Err(RequestError::Path),
    };
    let request = Request { kind, close };
    let state = match length {
        Some(length) => State::Sized(request, length as usize),
        None => State::Chunked {
            request,
            body: Vec::new(),
            taken: 0,
        },
    };
    Ok(Some((state, used)))
}

struct Fields<'a, 'b>(&'a [httparse::Header<'b>]);

impl<'b> Fields<'_, 'b> {
    /// A field of meaning comes once and is text. Around it HTTP allows blanks and tabs; any other space is its own.
    fn once(&self, name: &str) -> Result<Option<&'b str>, RequestError> {
        let mut found = self.0.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
        let Some(field) = found.next() else {
            return Ok(None);
        };
        if found.next().is_some() {
            return Err(RequestError::Field);
        }
        let text = std::str::from_utf8(field.value).map_err(|_| RequestError::Field)?;
        Ok(Some(text.trim_matches([' ', '\t'])))
    }

    fn needed(&self, name: &str) -> Result<&'b str, RequestError> {
        self.once(name)?.ok_or(RequestError::Field)
    }
}

fn call(function: &str, fields: &Fields, rules: &RequestRules) -> Result<Call, RequestError> {
    let id = Some(fields.needed("req-id")?)
        .filter(|id| is_id(id))
        .ok_or(RequestError::Field)?;
    let trigger = rules
        .names
        .trigger(fields.needed("x-class")?)
        .ok_or(RequestError::Field)?;
    let account = account(fields, rules)?;
    let trigger_rules = rules
        .triggers
        .get(trigger as usize)
        .copied()
        .ok_or(RequestError::Field)?;
    let wait = (number(fields.needed("req-wait-ms")?, LONGEST_MS)? * 1e3) as Micros;
    if wait <= 0 || wait > trigger_rules.longest_wait {
        return Err(RequestError::Field);
    }
    let token = fields.once("req-token")?;
    let fit = |t: &str| {
        (1..=MOST_TOKEN).contains(&t.len()) && t.bytes().all(|b| b.is_ascii_alphanumeric())
    };
    if token.is_some_and(|t| !fit(t)) || trigger_rules.needs_token && token.is_none() {
        return Err(RequestError::Field);
    }
    let cost = fields
        .once("req-cost")?
        .map(|v| number(v, LONGEST_MS))
        .transpose()?;
    let (mut copy_mb, mut lanes, mut load) = (None, None, None);
    for pair in fields
        .once("x-extras")?
        .unwrap_or("")
        .split(';')
        .filter(|p| !p.is_empty())
    {
        let (name, value) = pair.split_once(':').ok_or(RequestError::Field)?;
        let (figure, most) = match name {
            "memory_mb" => (&mut copy_mb, rules.largest_mb),
            "lanes" => (&mut lanes, MOST_LANES),
            "load_ms" => (&mut load, LONGEST_MS),
            _ => continue,
        };
        if figure.replace(number(value, most)?).is_some() {
            return Err(RequestError::Field);
        }
    }
    let lanes = lanes.unwrap_or(1.0);
    if lanes < 1.0 || lanes.fract() != 0.0 {
        return Err(RequestError::Field);
    }
    let micros = |ms: f64| (ms * 1e3) as Micros;
    Ok(Call {
        id: Arc::from(id),
        function: Arc::from(function),
        trigger,
        account,
        wait,
        token: token.map(Arc::from),
        cost_hint: cost.map(micros),
        load_hint: load.map(micros),
        copy_mb: copy_mb.unwrap_or(0.0),
        lanes: lanes as u32,
        body: Bytes::new(),
    })
}

/// The account that the request names. Where the settings know no accounts, clients need not name one.
fn account(fields: &Fields, rules: &RequestRules) -> Result<u32, RequestError> {
    let name = fields.once("req-owner")?;
    if name.is_none() && !rules.names.accounts.is_empty() {
        return Err(RequestError::Field);
    }
    rules.names.account(name).ok_or(RequestError::Field)
}

/// 16 hex digits.
fn is_id(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit())
}

fn digits(text: &str) -> Option<u64> {
    (!text.is_empty() && text.bytes().all(|b| b.is_ascii_digit())).then(|| text.parse().ok())?
}

/// A plain decimal figure from 0 up to `most`.
fn number(text: &str, most: f64) -> Result<f64, RequestError> {
    let value: f64 = text.parse().map_err(|_| RequestError::Field)?;
    if value.is_finite() && (0.0..=most).contains(&value) {
        Ok(value)
    } else {
        Err(RequestError::Field)
    }
}

//! Clients' requests out of the bytes of one connection, and the answers to them. [`Ahead::put`] takes what
//! came, [`Ahead::take`] gives one request after the other; [`answer`] writes what goes back, under
//! [`status`].
//!
//! Whatever is not beyond doubt is refused before anything reaches a worker, and its connection closes: where
//! one request ends and the next begins is then no longer sure. Both lengths together may hide a second
//! request.

use std::collections::VecDeque;
use std::io::Write;
use std::sync::Arc;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_router::Fate;
use httparse::Status;

use crate::config::Names;

/// By the protocol.
pub const MOST_BODY: usize = 16 << 10;
/// A head with every field of the protocol takes a few hundred bytes.
const MOST_HEAD: usize = 8 << 10;
const MOST_FIELDS: usize = 48;
/// Chunks of one byte each would cost more than they carry.
const MOST_CHUNKED: usize = 4 * MOST_BODY;
/// What may be sent ahead of an answer before no more is read: the bytes of one more request, and short
/// requests in this number.
pub const MOST_AHEAD: usize = MOST_HEAD + MOST_BODY;
const MOST_REQUESTS: usize = 8;
/// What a refused client still sends is read away up to here: the largest body that is known to be tried, and
/// more.
pub const MOST_READ_AWAY: usize = 80 << 20;
const MOST_TOKEN: usize = 64;
/// Hints beyond an hour of work, and more lanes than a machine has, are no hints.
const LONGEST_MS: f64 = 3.6e6;
const MOST_LANES: f64 = 1024.0;

const CALLS: &str = "/api/v2/";
const CALL: &str = "/call";
const HEALTH: &str = "/-/healthy";

/// What a request may be like here.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    pub names: Names,
    /// By trigger type: the longest a client may wait, and whether it must bear a token.
    pub triggers: Vec<(Micros, bool)>,
    pub largest_mb: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    pub id: Arc<str>,
    pub function: Arc<str>,
    pub trigger: u32,
    pub account: u32,
    pub wait: Micros,
    pub token: Option<Arc<str>>,
    pub cost_hint: Option<Micros>,
    pub load_hint: Option<Micros>,
    pub copy_mb: f64,
    pub lanes: u32,
    pub body: Bytes,
}

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    Health,
    Call(Call),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    pub what: What,
    /// The client keeps the connection for no further request.
    pub close: bool,
}

/// Why a request is not taken; the connection closes after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Wrong {
    Head,
    HeadTooLong,
    Method,
    Path,
    /// Both lengths, or one that is repeated or cannot be read.
    Length,
    BodyTooLong,
    Chunks,
    /// A field of meaning that is repeated, missing or cannot be used.
    Field,
    Expectation,
    /// Its id is that of an open request.
    InUse,
}

impl Wrong {
    pub fn status(self) -> u16 {
        match self {
            Wrong::Head | Wrong::Length | Wrong::Chunks | Wrong::Field => 400,
            Wrong::HeadTooLong => 431,
            Wrong::Method => 405,
            Wrong::Path => 404,
            Wrong::BodyTooLong => 413,
            Wrong::Expectation => 417,
            Wrong::InUse => 409,
        }
    }
}

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
    Refused(Wrong),
}

#[derive(Debug, Default)]
struct Reader {
    bytes: Vec<u8>,
    state: State,
}

impl Reader {
    fn put(&mut self, bytes: &[u8]) {
        if !matches!(self.state, State::Refused(_)) {
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// A request has begun and is not whole.
    fn midway(&self) -> bool {
        !self.bytes.is_empty() || !matches!(self.state, State::Head)
    }

    /// Bytes kept.
    fn kept(&self) -> usize {
        let body = if let State::Chunked { body, .. } = &self.state { body.len() } else { 0 };
        self.bytes.len() + body
    }

    /// The next whole request; none yet; or what is wrong, from then on for good.
    fn next(&mut self, terms: &Terms) -> Result<Option<Request>, Wrong> {
        let found = self.step(terms);
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

    fn step(&mut self, terms: &Terms) -> Result<Option<Request>, Wrong> {
        loop {
            match std::mem::take(&mut self.state) {
                State::Refused(wrong) => return Err(wrong),
                State::Head => {
                    // Empty lines before a request are let pass.
                    let blank = self.bytes.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
                    self.bytes.drain(..blank);
                    let Some((state, used)) = head(&self.bytes, terms)? else { return Ok(None) };
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
                    if let What::Call(call) = &mut request.what {
                        call.body = body;
                    }
                    return Ok(Some(request));
                }
                State::Chunked { mut request, mut body, mut taken } => {
                    match self.chunk(&mut body, &mut taken)? {
                        Some(true) => {
                            if let What::Call(call) = &mut request.what {
                                call.body = body.into();
                            }
                            return Ok(Some(request));
                        }
                        Some(false) => self.state = State::Chunked { request, body, taken },
                        None => {
                            self.state = State::Chunked { request, body, taken };
                            return Ok(None);
                        }
                    }
                }
            }
        }
    }

    /// Takes one chunk; true if it was the last one, none if it is not whole yet.
    fn chunk(&mut self, body: &mut Vec<u8>, taken: &mut usize) -> Result<Option<bool>, Wrong> {
        let parsed = httparse::parse_chunk_size(&self.bytes).map_err(|_| Wrong::Chunks)?;
        let Status::Complete((line, size)) = parsed else {
            return if *taken + self.bytes.len() > MOST_CHUNKED { Err(Wrong::BodyTooLong) } else { Ok(None) };
        };
        if size > (MOST_BODY - body.len()) as u64 || *taken + line > MOST_CHUNKED {
            return Err(Wrong::BodyTooLong);
        }
        let size = size as usize;
        let Some(end) = self.bytes.get(line + size..line + size + 2) else { return Ok(None) };
        // After the last chunk come no further fields.
        if end != b"\r\n" {
            return Err(Wrong::Chunks);
        }
        body.extend_from_slice(&self.bytes[line..line + size]);
        self.bytes.drain(..line + size + 2);
        *taken += line + size + 2;
        Ok(Some(size == 0))
    }
}

/// Requests sent ahead of an answer, each with the time at which its last byte came: what it waits here
/// counts.
#[derive(Debug, Default)]
pub struct Ahead {
    reader: Reader,
    whole: VecDeque<(Result<Request, Wrong>, Micros)>,
    read_at: Micros,
}

impl Ahead {
    pub fn put(&mut self, now: Micros, bytes: &[u8], terms: &Terms) {
        self.reader.put(bytes);
        self.read_at = now;
        self.fill(terms);
    }

    /// Nothing is read beyond what cannot be understood.
    fn fill(&mut self, terms: &Terms) {
        while self.whole.len() < MOST_REQUESTS && self.whole.back().is_none_or(|last| last.0.is_ok()) {
            let Some(next) = self.reader.next(terms).transpose() else { return };
            self.whole.push_back((next, self.read_at));
        }
    }

    pub fn take(&mut self, terms: &Terms) -> Option<(Result<Request, Wrong>, Micros)> {
        let first = self.whole.pop_front()?;
        if first.0.is_ok() {
            self.fill(terms);
        }
        Some(first)
    }

    /// A whole request is here.
    pub fn any(&self) -> bool {
        !self.whole.is_empty()
    }

    /// A request has begun and is not whole.
    pub fn midway(&self) -> bool {
        self.reader.midway()
    }

    /// With as much sent ahead as may be, nothing more is read.
    pub fn full(&self) -> bool {
        self.whole.len() >= MOST_REQUESTS || self.kept() >= MOST_AHEAD
    }

    /// Bytes kept.
    pub fn kept(&self) -> usize {
        let body = |next: &(Result<Request, Wrong>, Micros)| match &next.0 {
            Ok(Request { what: What::Call(call), .. }) => call.body.len(),
            _ => 0,
        };
        self.reader.kept() + self.whole.iter().map(body).sum::<usize>()
    }
}

/// Understands a head once it is whole: how its body comes, and the bytes that it took.
fn head(bytes: &[u8], terms: &Terms) -> Result<Option<(State, usize)>, Wrong> {
    let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    let used = match head.parse(bytes) {
        Ok(Status::Complete(used)) if used <= MOST_HEAD => used,
        Ok(Status::Partial) if bytes.len() <= MOST_HEAD => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Wrong::HeadTooLong),
        Err(_) => return Err(Wrong::Head),
    };
    let fields = Fields(head.headers);
    let length = |name| fields.once(name).map_err(|_| Wrong::Length);
    let (sized, chunked) = (length("content-length")?, length("transfer-encoding")?);
    let length = match (sized, chunked) {
        (Some(_), Some(_)) => return Err(Wrong::Length),
        (Some(size), None) => Some(digits(size).ok_or(Wrong::Length)?),
        (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") && head.version == Some(1) => None,
        (None, Some(_)) => return Err(Wrong::Length),
        (None, None) => Some(0),
    };
    if length.is_some_and(|n| n > MOST_BODY as u64) {
        return Err(Wrong::BodyTooLong);
    }
    if fields.once("expect")?.is_some() {
        return Err(Wrong::Expectation);
    }
    let closes = |v: &str| v.split(',').any(|v| v.trim().eq_ignore_ascii_case("close"));
    let keeps = |v: &str| v.split(',').any(|v| v.trim().eq_ignore_ascii_case("keep-alive"));
    let connection = fields.once("connection")?;
    let close = connection.is_some_and(closes) || head.version == Some(0) && !connection.is_some_and(keeps);
    let what = match (head.method.unwrap_or(""), head.path.unwrap_or("")) {
        ("GET", HEALTH) => What::Health,
        ("POST", path) => {
            let function = path.strip_prefix(CALLS).and_then(|p| p.strip_suffix(CALL));
            let function = function.filter(|f| is_id(f)).ok_or(Wrong::Path)?;
            What::Call(call(function, &fields, terms)?)
        }
        (_, HEALTH) => return Err(Wrong::Method),
        (_, path) if path.starts_with(CALLS) => return Err(Wrong::Method),
        _ => return Err(Wrong::Path),
    };
    let request = Request { what, close };
    let state = match length {
        Some(length) => State::Sized(request, length as usize),
        None => State::Chunked { request, body: Vec::new(), taken: 0 },
    };
    Ok(Some((state, used)))
}

struct Fields<'a, 'b>(&'a [httparse::Header<'b>]);

impl<'b> Fields<'_, 'b> {
    /// A field of meaning comes once and is plain text.
    fn once(&self, name: &str) -> Result<Option<&'b str>, Wrong> {
        let mut found = self.0.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
        let Some(field) = found.next() else { return Ok(None) };
        if found.next().is_some() {
            return Err(Wrong::Field);
        }
        std::str::from_utf8(field.value).map(|v| Some(v.trim())).map_err(|_| Wrong::Field)
    }

    fn needed(&self, name: &str) -> Result<&'b str, Wrong> {
        self.once(name)?.ok_or(Wrong::Field)
    }
}

fn call(function: &str, fields: &Fields, terms: &Terms) -> Result<Call, Wrong> {
    let id = Some(fields.needed("req-id")?).filter(|id| is_id(id)).ok_or(Wrong::Field)?;
    let trigger = terms.names.trigger(fields.needed("x-class")?).ok_or(Wrong::Field)?;
    let account = terms.names.account(Some(fields.needed("req-owner")?)).ok_or(Wrong::Field)?;
    let (longest, tokened) = terms.triggers.get(trigger as usize).copied().ok_or(Wrong::Field)?;
    let wait = (number(fields.needed("req-wait-ms")?, LONGEST_MS)? * 1e3) as Micros;
    if wait <= 0 || wait > longest {
        return Err(Wrong::Field);
    }
    let token = fields.once("req-token")?;
    let fit = |t: &str| (1..=MOST_TOKEN).contains(&t.len()) && t.bytes().all(|b| b.is_ascii_alphanumeric());
    if token.is_some_and(|t| !fit(t)) || tokened && token.is_none() {
        return Err(Wrong::Field);
    }
    let cost = fields.once("req-cost")?.map(|v| number(v, LONGEST_MS)).transpose()?;
    let (mut copy_mb, mut lanes, mut load) = (None, None, None);
    for pair in fields.once("x-extras")?.unwrap_or("").split(';').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once(':').ok_or(Wrong::Field)?;
        let (figure, most) = match name {
            "memory_mb" => (&mut copy_mb, terms.largest_mb),
            "lanes" => (&mut lanes, MOST_LANES),
            "load_ms" => (&mut load, LONGEST_MS),
            _ => continue,
        };
        if figure.replace(number(value, most)?).is_some() {
            return Err(Wrong::Field);
        }
    }
    let lanes = lanes.unwrap_or(1.0);
    if lanes < 1.0 || lanes.fract() != 0.0 {
        return Err(Wrong::Field);
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

/// 16 hex digits.
fn is_id(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit())
}

fn digits(text: &str) -> Option<u64> {
    (!text.is_empty() && text.bytes().all(|b| b.is_ascii_digit())).then(|| text.parse().ok())?
}

/// A plain decimal figure from 0 up to `most`.
fn number(text: &str, most: f64) -> Result<f64, Wrong> {
    let value: f64 = text.parse().map_err(|_| Wrong::Field)?;
    if value.is_finite() && (0.0..=most).contains(&value) { Ok(value) } else { Err(Wrong::Field) }
}

/// A refusal, which says that trying again is harmless.
pub const REFUSED: u16 = 503;

/// Of a final answer.
pub fn status(fate: Fate) -> u16 {
    match fate {
        Fate::Succeeded => 200,
        Fate::Throttled => REFUSED,
        Fate::Errored => 500,
    }
}

/// Of a question whether it serves.
pub fn health(stops: bool) -> u16 {
    if stops { 503 } else { 200 }
}

/// What goes back. Status 200 carries the body as the worker gave it; on a refusal the client is told for how
/// long to stay away.
pub fn answer(out: &mut Vec<u8>, status: u16, return_after: Option<Micros>, body: &[u8], close: bool) {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        413 => "Content Too Large",
        417 => "Expectation Failed",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Internal Server Error",
    };
    // Writing to memory cannot fail.
    let _ = write!(out, "HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n", body.len());
    if let Some(wait) = return_after {
        let _ = write!(out, "Srv-Wait-Ms: {}\r\n", (wait + 999) / 1_000);
    }
    out.extend_from_slice(if close { b"Connection: close\r\n\r\n" } else { b"\r\n" });
    out.extend_from_slice(body);
}

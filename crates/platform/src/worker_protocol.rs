//! The line protocol spoken with workers: [`write_call`], [`write_cancellation`], [`write_load_order`],
//! [`write_unload_order`] and [`write_probe`] encode messages, [`AnswerReader`] decodes answers.
//!
//! An answer that is malformed, has no end of line within its limit or claims a body beyond its limit ends its
//! connection: nothing after it can be trusted, and no memory is allocated for a length that is only claimed.

use std::io::Write;

use bytes::Bytes;
use cedarpulley::interface::{LoadReport, Micros};
use cedarpulley_startup::ReportField;

use crate::attempt_outcome::AnswerStatus;

/// Largest line of an answer, in bytes: an id, a status, a few figures, a length.
const MAX_LINE_BYTES: usize = 1 << 10;
/// Largest body of an answer, in bytes.
const MAX_BODY_BYTES: usize = 256 << 10;
/// Largest answer, in bytes: line, body, and the line end after each.
pub const MAX_ANSWER_BYTES: usize = MAX_LINE_BYTES + MAX_BODY_BYTES + 4;

/// What ends a line, and a body.
const LINE_END: &[u8] = b"\r\n";

/// An invocation, as it is sent to a worker.
pub struct Call<'a> {
    /// The request's id, 16 hex digits.
    pub id: &'a str,
    /// The name of its trigger type.
    pub trigger: &'a str,
    /// The function's id, 16 hex digits.
    pub function: &'a str,
    /// How long the router still waits, in microseconds; sent in whole milliseconds, at least 1.
    pub time_left: Micros,
    /// The idempotency key.
    pub idempotency_key: Option<&'a str>,
    /// The body, forwarded unchanged.
    pub body: &'a [u8],
}

/// Appends formatted text. Writing to memory cannot fail.
fn append(buffer: &mut Vec<u8>, text: std::fmt::Arguments) {
    let _ = buffer.write_fmt(text);
}

/// Appends a request: `FN ID FIELDS LENGTH` and the body.
pub fn write_call(buffer: &mut Vec<u8>, call: &Call) {
    let millis = (call.time_left / 1_000).max(1);
    append(
        buffer,
        format_args!(
            "FN {} kind={},obj={},ms={millis}",
            call.id, call.trigger, call.function
        ),
    );
    if let Some(key) = call.idempotency_key {
        append(buffer, format_args!(",token={key}"));
    }
    append(buffer, format_args!(" {}\r\n", call.body.len()));
    buffer.extend_from_slice(call.body);
    buffer.extend_from_slice(LINE_END);
}

/// Appends the cancellation of a request: `KILL ID`. The worker sends no answer.
pub fn write_cancellation(buffer: &mut Vec<u8>, id: &str) {
    append(buffer, format_args!("KILL {id}\r\n"));
}

/// Appends an order to have `copies` copies of a function loaded: `SPAWN TAG obj=..,n=..`.
pub fn write_load_order(buffer: &mut Vec<u8>, tag: &str, function: &str, copies: u32) {
    append(
        buffer,
        format_args!("SPAWN {tag} obj={function},n={copies}\r\n"),
    );
}

/// Appends an order to unload a function's idle copies: `REAP FUNCTION`. The worker sends no answer.
pub fn write_unload_order(buffer: &mut Vec<u8>, function: &str) {
    append(buffer, format_args!("REAP {function}\r\n"));
}

/// Appends a health check: `TOP TAG`.
pub fn write_probe(buffer: &mut Vec<u8>, tag: &str) {
    append(buffer, format_args!("TOP {tag}\r\n"));
}

/// A complete answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The id of the request, or the tag of the load order or probe.
    pub id: String,
    /// The result.
    pub status: AnswerStatus,
    /// Invocations of the same function that the worker had in flight when this one arrived.
    pub function_load: u32,
    /// Copies of the function that are loaded.
    pub copies: u32,
    /// The load report, where the settings define its values.
    pub report: LoadReport,
    /// The body; empty unless the request succeeded.
    pub body: Bytes,
}

/// Which part of an answer is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerError {
    /// The line: it is not an id, a status, fields and a length, ended by CR LF.
    Line,
    /// The line does not end within its limit.
    LineTooLong,
    /// The fields of the line.
    Fields,
    /// The length of the body is no number, or beyond its limit.
    Length,
    /// The body does not end where its length says.
    BodyEnd,
}

/// Decodes the answers on one connection from the bytes received.
#[derive(Debug, Default)]
pub struct AnswerReader {
    bytes: Vec<u8>,
    /// So many bytes are known to have no end of line among them.
    searched: usize,
}

impl AnswerReader {
    /// Appends bytes that were received.
    pub fn put(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Whether an answer has been received in part.
    pub fn has_partial_answer(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// The next complete answer, if there is one. After an error nothing more can be read from the connection.
    pub fn next(&mut self, fields: &[ReportField]) -> Result<Option<Answer>, AnswerError> {
        let Some(line_length) = self.line_length()? else {
            return Ok(None);
        };
        let line = self.bytes[..line_length]
            .strip_suffix(b"\r")
            .ok_or(AnswerError::Line)?;
        let (mut answer, body_length) = parse_line(line, fields)?;
        let body_start = line_length + 1;
        let body_end = body_start + body_length;
        let answer_end = body_end + LINE_END.len();
        let Some(ending) = self.bytes.get(body_end..answer_end) else {
            return Ok(None);
        };
        if ending != LINE_END {
            return Err(AnswerError::BodyEnd);
        }
        answer.body = Bytes::copy_from_slice(&self.bytes[body_start..body_end]);
        self.discard(answer_end);
        Ok(Some(answer))
    }

    /// Bytes before the next line feed, if it has been received.
    fn line_length(&mut self) -> Result<Option<usize>, AnswerError> {
        let start = self.searched.min(self.bytes.len());
        let line_feed = self.bytes[start..].iter().position(|byte| *byte == b'\n');
        self.searched = line_feed.map_or(self.bytes.len(), |offset| start + offset);
        if self.searched > MAX_LINE_BYTES {
            return Err(AnswerError::LineTooLong);
        }
        Ok(line_feed.map(|_| self.searched))
    }

    /// Removes an answer's bytes. Idle connections keep no buffer.
    fn discard(&mut self, answer_end: usize) {
        self.searched = 0;
        if self.bytes.len() == answer_end {
            self.bytes = Vec::new();
        } else {
            self.bytes.drain(..answer_end);
        }
    }
}

/// An answer without its body, and the length of that body.
fn parse_line(line: &[u8], report: &[ReportField]) -> Result<(Answer, usize), AnswerError> {
    let line = std::str::from_utf8(line).map_err(|_| AnswerError::Line)?;
    let mut words = line.split(' ');
    let (Some(id), Some(status), Some(fields), Some(length), None) = (
        words.next(),
        words.next(),
        words.next(),
        words.next(),
        words.next(),
    ) else {
        return Err(AnswerError::Line);
    };
    let status = AnswerStatus::from_wire(status.as_bytes()).ok_or(AnswerError::Line)?;
    if id.is_empty() {
        return Err(AnswerError::Line);
    }
    let length = parse_count(length)
        .map(|length| length as usize)
        .filter(|length| *length <= MAX_BODY_BYTES)
        .ok_or(AnswerError::Length)?;
    let mut answer = Answer {
        id: id.to_owned(),
        status,
        function_load: 0,
        copies: 0,
        report: LoadReport::default(),
        body: Bytes::new(),
    };
    parse_fields(&mut answer, fields, report)?;
    Ok((answer, length))
}

/// A number of digits and nothing else.
fn parse_count(text: &str) -> Option<u32> {
    text.bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| text.parse().ok())?
}

/// `name=value`, separated by commas; `-` for none. Unknown names are ignored.
fn parse_fields(
    answer: &mut Answer,
    text: &str,
    report: &[ReportField],
) -> Result<(), AnswerError> {
    if text == "-" {
        return Ok(());
    }
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=').ok_or(AnswerError::Fields)?;
        match name {
            "same" => answer.function_load = parse_count(value).ok_or(AnswerError::Fields)?,
            "n" => answer.copies = parse_count(value).ok_or(AnswerError::Fields)?,
            "gauges" => answer.report = parse_report(value, report)?,
            _ => {}
        }
    }
    Ok(())
}

/// `name:value`, separated by semicolons.
fn parse_report(text: &str, fields: &[ReportField]) -> Result<LoadReport, AnswerError> {
    let mut report = LoadReport::default();
    for pair in text.split(';').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once(':').ok_or(AnswerError::Fields)?;
        let value: f64 = value
            .parse()
            .ok()
            .filter(|value: &f64| value.is_finite())
            .ok_or(AnswerError::Fields)?;
        ReportField::set_in_report(&mut report, fields, name, value);
    }
    Ok(report)
}

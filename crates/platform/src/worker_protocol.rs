//! The line protocol between router and workers: [`write_call`], [`write_cancellation`], [`write_load_order`],
//! [`write_unload_order`] and [`write_probe`] encode messages, [`AnswerReader`] decodes answers.
//!
//! A connection is closed after an answer that is malformed, whose line is longer than its limit, or that declares a
//! body longer than its limit: the bytes after it cannot be attributed to answers. No memory is allocated for a
//! declared length before the bytes arrive.
//!
//! A body that is longer than its declared length passes for a shorter one if CR LF stands at that length. Only the bytes
//! behind the answer show this: they are no line of an answer. An answer is therefore decoded only once nothing more has
//! arrived behind it, or the line of a further answer.

use std::io::Write;

use bytes::Bytes;
use cedarpulley::interface::{LoadReport, Micros};
use cedarpulley_startup::ReportField;

use crate::attempt_outcome::AnswerStatus;
use crate::input_buffer::InputBuffer;

/// Longest line of an answer, in bytes: it holds an id, a status, a few numbers and a length.
const MAX_LINE_BYTES: usize = 1 << 10;
/// Longest body of an answer, in bytes.
const MAX_BODY_BYTES: usize = 256 << 10;
/// Longest answer, in bytes: the line, the body, and the two bytes that end each of them.
pub const MAX_ANSWER_BYTES: usize = MAX_LINE_BYTES + MAX_BODY_BYTES + 4;

/// The bytes that end a line and a body.
const LINE_END: &[u8] = b"\r\n";

/// An attempt of an invocation, as it is sent to a worker.
pub struct Call<'a> {
    /// The request's id, 16 hex digits.
    pub id: &'a str,
    /// The name of its trigger type.
    pub trigger: &'a str,
    /// The function's id, 16 hex digits.
    pub function: &'a str,
    /// Time until the router stops waiting for the answer, in microseconds. It is sent in whole milliseconds, and as 1
    /// if it is shorter.
    pub time_left: Micros,
    /// The idempotency key, if the client sent one.
    pub idempotency_key: Option<&'a str>,
    /// The body, forwarded unchanged.
    pub body: &'a [u8],
}

/// Appends formatted text. The result is ignored because writing to a vector cannot fail.
fn append(buffer: &mut Vec<u8>, text: std::fmt::Arguments) {
    let _ = buffer.write_fmt(text);
}

/// Appends a call: the line `FN ID FIELDS LENGTH`, then the body.
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

/// Appends the cancellation of a call: `KILL ID`. The worker sends no answer to it.
pub fn write_cancellation(buffer: &mut Vec<u8>, id: &str) {
    append(buffer, format_args!("KILL {id}\r\n"));
}

/// Appends an order to keep `copies` copies of a function loaded: `SPAWN TAG obj=..,n=..`.
pub fn write_load_order(buffer: &mut Vec<u8>, tag: &str, function: &str, copies: u32) {
    append(
        buffer,
        format_args!("SPAWN {tag} obj={function},n={copies}\r\n"),
    );
}

/// Appends an order to unload the idle copies of a function: `REAP FUNCTION`. The worker sends no answer to it.
pub fn write_unload_order(buffer: &mut Vec<u8>, function: &str) {
    append(buffer, format_args!("REAP {function}\r\n"));
}

/// Appends a health check: `TOP TAG`.
pub fn write_probe(buffer: &mut Vec<u8>, tag: &str) {
    append(buffer, format_args!("TOP {tag}\r\n"));
}

/// A complete answer of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The id of the request, or the tag of the load order or probe.
    pub id: String,
    /// The result.
    pub status: AnswerStatus,
    /// Number of invocations of the same function that the worker had in flight when this one arrived.
    pub function_load: u32,
    /// Number of copies of the function that are loaded.
    pub copies: u32,
    /// The load report: the values of the answer that the settings define.
    pub report: LoadReport,
    /// The body; empty unless the request succeeded.
    pub body: Bytes,
}

/// Which part of an answer is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerError {
    /// The line does not consist of an id, a status, fields and a length, followed by CR LF.
    Line,
    /// The line is longer than its limit.
    LineTooLong,
    /// The fields of the line are malformed.
    Fields,
    /// The length of the body is not a number, or is above the limit.
    Length,
    /// CR LF does not follow the body at its declared length.
    BodyEnd,
    /// Bytes that begin no answer follow the body at its declared length: the body is longer.
    LengthMismatch,
}

/// Decodes answers from the bytes received on one connection.
#[derive(Debug, Default)]
pub struct AnswerReader {
    bytes: InputBuffer,
    /// Number of leading bytes that are known to contain no line feed.
    searched: usize,
}

impl AnswerReader {
    /// Appends bytes that were received.
    pub fn put(&mut self, bytes: &[u8]) {
        self.bytes.put(bytes);
    }

    /// Number of bytes that were received and are not decoded.
    pub fn unprocessed_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Memory of the buffer, in bytes.
    pub fn memory(&self) -> usize {
        self.bytes.memory()
    }

    /// Whether an answer has been received in part.
    pub fn has_partial_answer(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// Removes and returns the next complete answer, if there is one and no part of a line has arrived behind it.
    /// `report_fields` are the values of the load report to decode. After an error, no further answer can be read from
    /// the connection.
    pub fn next(&mut self, report_fields: &[ReportField]) -> Result<Option<Answer>, AnswerError> {
        let Some(line_length) = self.line_length()? else {
            return Ok(None);
        };
        let line = self.bytes[..line_length]
            .strip_suffix(b"\r")
            .ok_or(AnswerError::Line)?;
        let (mut answer, body_length) = parse_line(line, report_fields)?;
        let body_start = line_length + 1;
        let body_end = body_start + body_length;
        let answer_end = body_end + LINE_END.len();
        let Some(ending) = self.bytes.get(body_end..answer_end) else {
            return Ok(None);
        };
        if ending != LINE_END {
            return Err(AnswerError::BodyEnd);
        }
        if !is_whole_answer(&self.bytes[answer_end..], report_fields)? {
            return Ok(None);
        }
        answer.body = Bytes::copy_from_slice(&self.bytes[body_start..body_end]);
        self.discard(answer_end);
        Ok(Some(answer))
    }

    /// Number of bytes before the next line feed, or `None` if it has not been received.
    fn line_length(&mut self) -> Result<Option<usize>, AnswerError> {
        let start = self.searched.min(self.bytes.len());
        let line_feed = self.bytes[start..].iter().position(|byte| *byte == b'\n');
        self.searched = line_feed.map_or(self.bytes.len(), |offset| start + offset);
        if self.searched > MAX_LINE_BYTES {
            return Err(AnswerError::LineTooLong);
        }
        Ok(line_feed.map(|_| self.searched))
    }

    /// Removes the bytes of an answer.
    fn discard(&mut self, answer_end: usize) {
        self.searched = 0;
        self.bytes.consume(answer_end);
    }
}

/// Whether an answer is whole, by the bytes behind it: there are none, or the line of a further answer. Returns false
/// while that line is incomplete, and an error if it is malformed.
fn is_whole_answer(following: &[u8], report_fields: &[ReportField]) -> Result<bool, AnswerError> {
    if following.is_empty() {
        return Ok(true);
    }
    let line_feed = following.iter().position(|byte| *byte == b'\n');
    if line_feed.unwrap_or(following.len()) > MAX_LINE_BYTES {
        return Err(AnswerError::LengthMismatch);
    }
    let Some(line_length) = line_feed else {
        return Ok(false);
    };
    following[..line_length]
        .strip_suffix(b"\r")
        .and_then(|line| parse_line(line, report_fields).ok())
        .map(|_| true)
        .ok_or(AnswerError::LengthMismatch)
}

/// Parses the line of an answer; returns the answer without its body, and the length of the body in bytes.
fn parse_line(line: &[u8], report_fields: &[ReportField]) -> Result<(Answer, usize), AnswerError> {
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
    parse_fields(&mut answer, fields, report_fields)?;
    Ok((answer, length))
}

/// Parses a number that consists of decimal digits only.
fn parse_count(text: &str) -> Option<u32> {
    text.bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| text.parse().ok())?
}

/// Parses the fields of a line: `name=value`, separated by commas, or `-` if there are none. Unknown names are ignored.
fn parse_fields(
    answer: &mut Answer,
    text: &str,
    report_fields: &[ReportField],
) -> Result<(), AnswerError> {
    if text == "-" {
        return Ok(());
    }
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=').ok_or(AnswerError::Fields)?;
        match name {
            "same" => answer.function_load = parse_count(value).ok_or(AnswerError::Fields)?,
            "n" => answer.copies = parse_count(value).ok_or(AnswerError::Fields)?,
            "gauges" => answer.report = parse_report(value, report_fields)?,
            _ => {}
        }
    }
    Ok(())
}

/// Parses a load report: `name:value`, separated by semicolons.
fn parse_report(text: &str, report_fields: &[ReportField]) -> Result<LoadReport, AnswerError> {
    let mut report = LoadReport::default();
    for pair in text.split(';').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once(':').ok_or(AnswerError::Fields)?;
        let value: f64 = value
            .parse()
            .ok()
            .filter(|value: &f64| value.is_finite())
            .ok_or(AnswerError::Fields)?;
        ReportField::set_in_report(&mut report, report_fields, name, value);
    }
    Ok(report)
}

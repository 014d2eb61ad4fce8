//! The lines spoken with workers: [`call`], [`withdraw`], [`load`], [`unload`] and [`probe`] write them,
//! [`AnswerReader`] cuts answers out of the bytes that come.
//!
//! A line that cannot be read, has no end in time or claims more than its bound ends its connection: nothing
//! after it can be trusted, and nothing is allocated for what it claims.

use std::io::Write;

use bytes::Bytes;
use cedarpulley::interface::{LoadReport, Micros};
use cedarpulley_startup::ReportField;

use crate::attempt_outcome::AnswerWord;

/// An answer's line: an id, a word, a few figures, a length.
const MOST_LINE: usize = 1 << 10;
/// Bodies of answers.
const MOST_BODY: usize = 256 << 10;
/// Line, body, and what ends each.
pub const LONGEST_ANSWER: usize = MOST_LINE + MOST_BODY + 4;

/// What a worker is told of an invocation.
pub struct Call<'a> {
    /// The request's id, 16 hex digits.
    pub id: &'a str,
    /// The name of its trigger type.
    pub trigger: &'a str,
    /// 16 hex digits.
    pub function: &'a str,
    /// How long the router waits, in microseconds; told in whole milliseconds, 1 at least.
    pub time_left: Micros,
    /// The idempotency key.
    pub token: Option<&'a str>,
    /// The body, passed on unchanged.
    pub body: &'a [u8],
}

/// Writing to memory cannot fail.
fn put(out: &mut Vec<u8>, text: std::fmt::Arguments) {
    let _ = out.write_fmt(text);
}

/// Writes a request: `FN ID FIELDS LENGTH` and the body.
pub fn call(out: &mut Vec<u8>, c: &Call) {
    let ms = (c.time_left / 1_000).max(1);
    put(
        out,
        format_args!("FN {} kind={},obj={},ms={ms}", c.id, c.trigger, c.function),
    );
    if let Some(token) = c.token {
        put(out, format_args!(",token={token}"));
    }
    put(out, format_args!(" {}\r\n", c.body.len()));
    out.extend_from_slice(c.body);
    out.extend_from_slice(b"\r\n");
}

/// Writes that a request is given up: `KILL ID`. No answer comes.
pub fn withdraw(out: &mut Vec<u8>, id: &str) {
    put(out, format_args!("KILL {id}\r\n"));
}

/// Writes an order to hold copies: `SPAWN TAG obj=..,n=..`.
pub fn load(out: &mut Vec<u8>, tag: &str, function: &str, copies: u32) {
    put(
        out,
        format_args!("SPAWN {tag} obj={function},n={copies}\r\n"),
    );
}

/// Writes that idle copies are to go: `REAP FUNCTION`. No answer comes.
pub fn unload(out: &mut Vec<u8>, function: &str) {
    put(out, format_args!("REAP {function}\r\n"));
}

/// Writes a question how the worker does: `TOP TAG`.
pub fn probe(out: &mut Vec<u8>, tag: &str) {
    put(out, format_args!("TOP {tag}\r\n"));
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Of the request, or the tag of what was ordered or asked.
    pub id: String,
    /// What became of it.
    pub word: AnswerWord,
    /// Invocations of the same function that the worker held when this one came.
    pub crowd: u32,
    /// Loaded copies.
    pub copies: u32,
    /// The load report, where the settings have one.
    pub report: LoadReport,
    /// The body of a good answer.
    pub body: Bytes,
}

/// What cannot be read, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerError {
    /// The words of a line.
    Line,
    /// A line that does not end in time.
    Endless,
    /// The fields of a line.
    Fields,
    /// A length that is no number, or too large.
    Length,
    /// A body that does not end where its length says.
    End,
}

/// The bytes of one connection that are not yet a whole answer.
#[derive(Debug, Default)]
pub struct AnswerReader {
    bytes: Vec<u8>,
    /// Looked through for the end of a line.
    searched: usize,
}

impl AnswerReader {
    /// Bytes that came.
    pub fn put(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// An answer has begun and is not whole.
    pub fn is_midway(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// The next whole answer, if there is one. After an error nothing of the connection can be read any more.
    pub fn next(&mut self, fields: &[ReportField]) -> Result<Option<Answer>, AnswerError> {
        let from = self.searched.min(self.bytes.len());
        let Some(end) = self.bytes[from..]
            .iter()
            .position(|b| *b == b'\n')
            .map(|n| from + n)
        else {
            self.searched = self.bytes.len();
            return if self.bytes.len() > MOST_LINE {
                Err(AnswerError::Endless)
            } else {
                Ok(None)
            };
        };
        self.searched = end;
        if end > MOST_LINE {
            return Err(AnswerError::Endless);
        }
        let line = self.bytes[..end]
            .strip_suffix(b"\r")
            .ok_or(AnswerError::Line)?;
        let line = std::str::from_utf8(line).map_err(|_| AnswerError::Line)?;
        let mut words = line.split(' ');
        let (Some(id), Some(word), Some(told), Some(length), None) = (
            words.next(),
            words.next(),
            words.next(),
            words.next(),
            words.next(),
        ) else {
            return Err(AnswerError::Line);
        };
        let word = AnswerWord::read(word.as_bytes()).ok_or(AnswerError::Line)?;
        if id.is_empty() {
            return Err(AnswerError::Line);
        }
        let length = whole(length)
            .filter(|n| *n as usize <= MOST_BODY)
            .ok_or(AnswerError::Length)? as usize;
        let mut answer = Answer {
            id: id.to_owned(),
            word,
            crowd: 0,
            copies: 0,
            report: LoadReport::default(),
            body: Bytes::new(),
        };
        understand(&mut answer, told, fields)?;
        let after = end + 1;
        let Some(tail) = self.bytes.get(after + length..after + length + 2) else {
            return Ok(None);
        };
        if tail != b"\r\n" {
            return Err(AnswerError::End);
        }
        answer.body = Bytes::copy_from_slice(&self.bytes[after..after + length]);
        self.searched = 0;
        if self.bytes.len() == after + length + 2 {
            // Idle connections keep no buffer.
            self.bytes = Vec::new();
        } else {
            self.bytes.drain(..after + length + 2);
        }
        Ok(Some(answer))
    }
}

/// Digits and nothing else.
fn whole(text: &str) -> Option<u32> {
    text.bytes()
        .all(|b| b.is_ascii_digit())
        .then(|| text.parse().ok())?
}

fn understand(answer: &mut Answer, told: &str, fields: &[ReportField]) -> Result<(), AnswerError> {
    if told == "-" {
        return Ok(());
    }
    for pair in told.split(',') {
        let (name, value) = pair.split_once('=').ok_or(AnswerError::Fields)?;
        match name {
            "same" => answer.crowd = whole(value).ok_or(AnswerError::Fields)?,
            "n" => answer.copies = whole(value).ok_or(AnswerError::Fields)?,
            "gauges" => answer.report = report(value, fields)?,
            _ => {}
        }
    }
    Ok(())
}

/// `name:value`, set apart by `;`.
fn report(text: &str, fields: &[ReportField]) -> Result<LoadReport, AnswerError> {
    let mut report = LoadReport::default();
    for pair in text.split(';').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once(':').ok_or(AnswerError::Fields)?;
        let value: f64 = value
            .parse()
            .ok()
            .filter(|v: &f64| v.is_finite())
            .ok_or(AnswerError::Fields)?;
        ReportField::tell(&mut report, fields, name, value);
    }
    Ok(report)
}

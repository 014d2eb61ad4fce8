//! Reads the fields of one line: values separated by single spaces, where `-` means that an optional value is absent.

use std::str::{FromStr, Split};

use cedarpulley::interface::Micros;
use cedarpulley_startup::micros_from_nanos;

use crate::error::{ProtocolError, Result};

/// The error for a field without a value.
fn missing(name: &'static str) -> ProtocolError {
    ProtocolError::MissingField { what: name }
}

/// The error for a field, or a part of one, that does not parse.
pub fn malformed(name: &'static str, value: &str) -> ProtocolError {
    ProtocolError::MalformedField {
        what: name,
        value: value.to_owned(),
    }
}

/// The fields of one line, in order. Each method reads the next field; the names are used only in errors.
pub struct FieldReader<'a>(Split<'a, char>);

impl<'a> FieldReader<'a> {
    /// Creates a reader of this line, which must not contain its line break.
    pub fn new(line: &'a str) -> Self {
        Self(line.split(' '))
    }

    /// Reads a text that is not empty.
    pub fn text(&mut self, name: &'static str) -> Result<&'a str> {
        match self.0.next() {
            Some(text) if !text.is_empty() => Ok(text),
            _ => Err(missing(name)),
        }
    }

    /// Reads a value that may be absent (`-`).
    pub fn optional<T: FromStr>(&mut self, name: &'static str) -> Result<Option<T>> {
        let text = self.text(name)?;
        if text == "-" {
            return Ok(None);
        }
        text.parse().map(Some).map_err(|_| malformed(name, text))
    }

    /// Reads a value that must not be absent.
    pub fn required<T: FromStr>(&mut self, name: &'static str) -> Result<T> {
        self.optional(name)?.ok_or_else(|| missing(name))
    }

    /// Reads a time, which the protocol gives in nanoseconds, and returns it in microseconds.
    pub fn time(&mut self, name: &'static str) -> Result<Micros> {
        self.required(name).map(micros_from_nanos)
    }

    /// Reads a flag, which is `1` or `0`.
    pub fn flag(&mut self, name: &'static str) -> Result<bool> {
        match self.text(name)? {
            "1" => Ok(true),
            "0" => Ok(false),
            text => Err(malformed(name, text)),
        }
    }

    /// Returns the rest of the line.
    pub fn rest(mut self) -> String {
        let mut text = self.0.next().unwrap_or("").to_owned();
        for part in self.0 {
            text.push(' ');
            text.push_str(part);
        }
        text
    }

    /// Fails if the line has more fields.
    pub fn finish(mut self) -> Result<()> {
        if self.0.next().is_some() {
            Err(ProtocolError::ExtraFields)
        } else {
            Ok(())
        }
    }
}

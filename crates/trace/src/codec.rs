//! Numbers, texts and floats as bytes. Everything that reads is bounded by the bytes there are, and says what is
//! wrong instead of guessing.

use integer_encoding::VarInt;
use thiserror::Error;

/// Why bytes are no record; told with the place of their block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    #[error("it breaks off")]
    Truncated,
    #[error("it has a number or tag of no meaning")]
    UnknownValue,
    #[error("a text is not UTF-8")]
    InvalidUtf8,
    #[error("its checksum is wrong")]
    ChecksumMismatch,
}

#[derive(Debug, Default)]
pub struct Encoder {
    pub bytes: Vec<u8>,
}

impl Encoder {
    pub fn byte(&mut self, b: u8) {
        self.bytes.push(b);
    }

    pub fn unsigned(&mut self, n: u64) {
        let mut buffer = [0; 10];
        let size = n.encode_var(&mut buffer);
        self.bytes.extend_from_slice(&buffer[..size]);
    }

    pub fn signed(&mut self, n: i64) {
        let mut buffer = [0; 10];
        let size = n.encode_var(&mut buffer);
        self.bytes.extend_from_slice(&buffer[..size]);
    }

    /// Round numbers have few bits set at one end: turned about they are short.
    pub fn float(&mut self, x: f64) {
        self.unsigned(x.to_bits().swap_bytes());
    }

    pub fn text(&mut self, text: &str) {
        self.unsigned(text.len() as u64);
        self.bytes.extend_from_slice(text.as_bytes());
    }

    pub fn optional<T>(&mut self, value: Option<T>, put: impl FnOnce(&mut Self, T)) {
        match value {
            None => self.byte(0),
            Some(value) => {
                self.byte(1);
                put(self, value);
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Decoder<'a> {
    bytes: &'a [u8],
}

impl<'a> Decoder<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Decoder { bytes }
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    pub fn remaining(&self) -> usize {
        self.bytes.len()
    }

    pub fn byte(&mut self) -> Result<u8, DecodeError> {
        let (first, rest) = self.bytes.split_first().ok_or(DecodeError::Truncated)?;
        self.bytes = rest;
        Ok(*first)
    }

    pub fn unsigned(&mut self) -> Result<u64, DecodeError> {
        let (n, size) = u64::decode_var(self.bytes).ok_or(DecodeError::Truncated)?;
        self.bytes = &self.bytes[size..];
        Ok(n)
    }

    pub fn signed(&mut self) -> Result<i64, DecodeError> {
        let (n, size) = i64::decode_var(self.bytes).ok_or(DecodeError::Truncated)?;
        self.bytes = &self.bytes[size..];
        Ok(n)
    }

    pub fn u32(&mut self) -> Result<u32, DecodeError> {
        u32::try_from(self.unsigned()?).map_err(|_| DecodeError::UnknownValue)
    }

    pub fn float(&mut self) -> Result<f64, DecodeError> {
        Ok(f64::from_bits(self.unsigned()?.swap_bytes()))
    }

    pub fn flag(&mut self) -> Result<bool, DecodeError> {
        match self.byte()? {
            0 => Ok(false),
            1 => Ok(true),
            _ => Err(DecodeError::UnknownValue),
        }
    }

    pub fn take(&mut self, size: usize) -> Result<&'a [u8], DecodeError> {
        if size > self.bytes.len() {
            return Err(DecodeError::Truncated);
        }
        let (first, rest) = self.bytes.split_at(size);
        self.bytes = rest;
        Ok(first)
    }

    pub fn text(&mut self) -> Result<&'a str, DecodeError> {
        let size = usize::try_from(self.unsigned()?).map_err(|_| DecodeError::Truncated)?;
        std::str::from_utf8(self.take(size)?).map_err(|_| DecodeError::InvalidUtf8)
    }

    pub fn optional<T>(
        &mut self,
        get: impl FnOnce(&mut Self) -> Result<T, DecodeError>,
    ) -> Result<Option<T>, DecodeError> {
        if self.flag()? {
            get(self).map(Some)
        } else {
            Ok(None)
        }
    }

    /// So many, each of at least one byte: a count beyond what is left is a lie.
    pub fn list<T>(
        &mut self,
        mut get: impl FnMut(&mut Self) -> Result<T, DecodeError>,
    ) -> Result<Vec<T>, DecodeError> {
        let count = usize::try_from(self.unsigned()?).map_err(|_| DecodeError::Truncated)?;
        if count > self.bytes.len() {
            return Err(DecodeError::Truncated);
        }
        (0..count).map(|_| get(self)).collect()
    }
}

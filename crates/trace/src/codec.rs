//! Numbers, texts and floats as bytes. Everything that reads is bounded by the bytes there are, and says what is wrong
//! instead of guessing.

use integer_encoding::VarInt;
use thiserror::Error;

/// Why bytes are no record; reported with the offset of their block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes end too early.
    #[error("it breaks off")]
    Truncated,
    /// A number or tag is out of its range.
    #[error("it has a number or tag of no meaning")]
    UnknownValue,
    /// A text is not UTF-8.
    #[error("a text is not UTF-8")]
    InvalidUtf8,
    /// The checksum does not fit the bytes.
    #[error("its checksum is wrong")]
    ChecksumMismatch,
}

/// Writes values to the end of a buffer.
#[derive(Debug, Default)]
pub struct Encoder {
    /// What was written.
    pub bytes: Vec<u8>,
}

impl Encoder {
    /// One byte.
    pub fn byte(&mut self, byte: u8) {
        self.bytes.push(byte);
    }

    /// A LEB128 varint.
    pub fn unsigned(&mut self, value: u64) {
        self.varint(value);
    }

    /// A LEB128 varint after zigzag.
    pub fn signed(&mut self, value: i64) {
        self.varint(value);
    }

    fn varint(&mut self, value: impl VarInt) {
        let mut buffer = [0; 10];
        let size = value.encode_var(&mut buffer);
        self.bytes.extend_from_slice(&buffer[..size]);
    }

    /// The bits of a float with their bytes reversed, as a varint: round numbers have few bits set at one end, and are
    /// short so.
    pub fn float(&mut self, value: f64) {
        self.unsigned(value.to_bits().swap_bytes());
    }

    /// Its length, then UTF-8.
    pub fn text(&mut self, text: &str) {
        self.unsigned(text.len() as u64);
        self.bytes.extend_from_slice(text.as_bytes());
    }

    /// A byte 0, or a byte 1 and the value.
    pub fn optional<T>(&mut self, value: Option<T>, encode: impl FnOnce(&mut Self, T)) {
        match value {
            None => self.byte(0),
            Some(value) => {
                self.byte(1);
                encode(self, value);
            }
        }
    }
}

/// Reads what an [`Encoder`] wrote, from the front.
#[derive(Clone, Copy, Debug)]
pub struct Decoder<'a> {
    bytes: &'a [u8],
}

impl<'a> Decoder<'a> {
    /// Of these bytes.
    pub fn new(bytes: &'a [u8]) -> Self {
        Decoder { bytes }
    }

    /// Whether all was read.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// How many bytes were not read yet.
    pub fn remaining(&self) -> usize {
        self.bytes.len()
    }

    /// One byte.
    pub fn byte(&mut self) -> Result<u8, DecodeError> {
        let (first, rest) = self.bytes.split_first().ok_or(DecodeError::Truncated)?;
        self.bytes = rest;
        Ok(*first)
    }

    /// A LEB128 varint.
    pub fn unsigned(&mut self) -> Result<u64, DecodeError> {
        self.varint()
    }

    /// A LEB128 varint after zigzag.
    pub fn signed(&mut self) -> Result<i64, DecodeError> {
        self.varint()
    }

    fn varint<T: VarInt>(&mut self) -> Result<T, DecodeError> {
        let (value, size) = T::decode_var(self.bytes).ok_or(DecodeError::Truncated)?;
        self.bytes = &self.bytes[size..];
        Ok(value)
    }

    /// A varint below 2^32.
    pub fn u32(&mut self) -> Result<u32, DecodeError> {
        u32::try_from(self.unsigned()?).map_err(|_| DecodeError::UnknownValue)
    }

    /// See [`Encoder::float`].
    pub fn float(&mut self) -> Result<f64, DecodeError> {
        Ok(f64::from_bits(self.unsigned()?.swap_bytes()))
    }

    /// A byte 0 or 1.
    pub fn flag(&mut self) -> Result<bool, DecodeError> {
        match self.byte()? {
            0 => Ok(false),
            1 => Ok(true),
            _ => Err(DecodeError::UnknownValue),
        }
    }

    /// So many bytes.
    pub fn take(&mut self, size: usize) -> Result<&'a [u8], DecodeError> {
        let (first, rest) = self
            .bytes
            .split_at_checked(size)
            .ok_or(DecodeError::Truncated)?;
        self.bytes = rest;
        Ok(first)
    }

    fn size(&mut self) -> Result<usize, DecodeError> {
        usize::try_from(self.unsigned()?).map_err(|_| DecodeError::Truncated)
    }

    /// A length, then UTF-8.
    pub fn text(&mut self) -> Result<&'a str, DecodeError> {
        let size = self.size()?;
        std::str::from_utf8(self.take(size)?).map_err(|_| DecodeError::InvalidUtf8)
    }

    /// A byte 0, or a byte 1 and a value.
    pub fn optional<T>(
        &mut self,
        decode: impl FnOnce(&mut Self) -> Result<T, DecodeError>,
    ) -> Result<Option<T>, DecodeError> {
        if self.flag()? {
            decode(self).map(Some)
        } else {
            Ok(None)
        }
    }

    /// A count, then so many values, each of at least one byte: a count beyond what remains is rejected before anything
    /// is allocated for it.
    pub fn list<T>(
        &mut self,
        mut decode: impl FnMut(&mut Self) -> Result<T, DecodeError>,
    ) -> Result<Vec<T>, DecodeError> {
        let count = self.size()?;
        if count > self.bytes.len() {
            return Err(DecodeError::Truncated);
        }
        (0..count).map(|_| decode(self)).collect()
    }
}

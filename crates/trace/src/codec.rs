//! Encodes numbers, texts and floats as bytes. Decoding never reads beyond the available bytes and reports invalid
//! input as a [`DecodeError`].

use integer_encoding::VarInt;
use thiserror::Error;

/// Why bytes could not be decoded; reported with the offset of their block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes end within a value.
    #[error("the data ends too early")]
    Truncated,
    /// A number or tag is outside its range.
    #[error("a number or tag is outside its range")]
    UnknownValue,
    /// A text is not UTF-8.
    #[error("a text is not UTF-8")]
    InvalidUtf8,
    /// The checksum does not match the bytes.
    #[error("the checksum does not match")]
    ChecksumMismatch,
}

/// Appends values to a buffer.
#[derive(Debug, Default)]
pub struct Encoder {
    /// The bytes written so far.
    pub bytes: Vec<u8>,
}

impl Encoder {
    /// Writes one byte.
    pub fn byte(&mut self, byte: u8) {
        self.bytes.push(byte);
    }

    /// Writes a LEB128 varint.
    pub fn unsigned(&mut self, value: u64) {
        self.varint(value);
    }

    /// Writes a zigzag-encoded LEB128 varint.
    pub fn signed(&mut self, value: i64) {
        self.varint(value);
    }

    fn varint(&mut self, value: impl VarInt) {
        let mut buffer = [0; 10];
        let size = value.encode_var(&mut buffer);
        self.bytes.extend_from_slice(&buffer[..size]);
    }

    /// Writes the bits of a float with their bytes reversed, as a varint. The low mantissa bits of round numbers are
    /// zero, so that the reversed value is small and its varint short.
    pub fn float(&mut self, value: f64) {
        self.unsigned(value.to_bits().swap_bytes());
    }

    /// Writes the length of a text in bytes, then the text as UTF-8.
    pub fn text(&mut self, text: &str) {
        self.unsigned(text.len() as u64);
        self.bytes.extend_from_slice(text.as_bytes());
    }

    /// Writes a byte 0 for an absent value, or a byte 1 followed by the value.
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

/// Reads the values that an [`Encoder`] wrote, in the same order.
#[derive(Clone, Copy, Debug)]
pub struct Decoder<'a> {
    bytes: &'a [u8],
}

impl<'a> Decoder<'a> {
    /// Creates a decoder that reads these bytes.
    pub fn new(bytes: &'a [u8]) -> Self {
        Decoder { bytes }
    }

    /// Whether all bytes have been read.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Number of bytes that have not been read.
    pub fn remaining(&self) -> usize {
        self.bytes.len()
    }

    /// Reads one byte.
    pub fn byte(&mut self) -> Result<u8, DecodeError> {
        let (first, rest) = self.bytes.split_first().ok_or(DecodeError::Truncated)?;
        self.bytes = rest;
        Ok(*first)
    }

    /// Reads a LEB128 varint.
    pub fn unsigned(&mut self) -> Result<u64, DecodeError> {
        self.varint()
    }

    /// Reads a zigzag-encoded LEB128 varint.
    pub fn signed(&mut self) -> Result<i64, DecodeError> {
        self.varint()
    }

    fn varint<T: VarInt>(&mut self) -> Result<T, DecodeError> {
        let (value, size) = T::decode_var(self.bytes).ok_or(DecodeError::Truncated)?;
        self.bytes = &self.bytes[size..];
        Ok(value)
    }

    /// Reads a varint; values of 2^32 and above are an error.
    pub fn u32(&mut self) -> Result<u32, DecodeError> {
        u32::try_from(self.unsigned()?).map_err(|_| DecodeError::UnknownValue)
    }

    /// Reads a float that [`Encoder::float`] wrote.
    pub fn float(&mut self) -> Result<f64, DecodeError> {
        Ok(f64::from_bits(self.unsigned()?.swap_bytes()))
    }

    /// Reads a byte that must be 0 or 1.
    pub fn flag(&mut self) -> Result<bool, DecodeError> {
        match self.byte()? {
            0 => Ok(false),
            1 => Ok(true),
            _ => Err(DecodeError::UnknownValue),
        }
    }

    /// Reads `size` bytes.
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

    /// Reads a length in bytes, then a text in UTF-8.
    pub fn text(&mut self) -> Result<&'a str, DecodeError> {
        let size = self.size()?;
        std::str::from_utf8(self.take(size)?).map_err(|_| DecodeError::InvalidUtf8)
    }

    /// Reads a byte 0 for an absent value, or a byte 1 followed by the value.
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

    /// Reads a count, then that number of values. Each value has at least one byte: a count larger than the number of
    /// remaining bytes is rejected before memory is allocated for the values.
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

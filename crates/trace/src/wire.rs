//! Numbers, texts and floats as bytes. Everything that reads is bounded by the bytes there are, and says what is
//! wrong instead of guessing.

use integer_encoding::VarInt;
use thiserror::Error;

/// Why bytes are no record; told with the place of their block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Bad {
    #[error("it breaks off")]
    Short,
    #[error("it has a number or tag of no meaning")]
    Unknown,
    #[error("a text is not UTF-8")]
    NoText,
    #[error("its checksum is wrong")]
    Sum,
}

#[derive(Debug, Default)]
pub struct Put {
    pub bytes: Vec<u8>,
}

impl Put {
    pub fn byte(&mut self, b: u8) {
        self.bytes.push(b);
    }

    pub fn u(&mut self, n: u64) {
        let mut buffer = [0; 10];
        let size = n.encode_var(&mut buffer);
        self.bytes.extend_from_slice(&buffer[..size]);
    }

    pub fn i(&mut self, n: i64) {
        let mut buffer = [0; 10];
        let size = n.encode_var(&mut buffer);
        self.bytes.extend_from_slice(&buffer[..size]);
    }

    /// Round numbers have few bits set at one end: turned about they are short.
    pub fn f(&mut self, x: f64) {
        self.u(x.to_bits().swap_bytes());
    }

    pub fn text(&mut self, text: &str) {
        self.u(text.len() as u64);
        self.bytes.extend_from_slice(text.as_bytes());
    }

    pub fn maybe<T>(&mut self, value: Option<T>, put: impl FnOnce(&mut Self, T)) {
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
pub struct Get<'a> {
    bytes: &'a [u8],
}

impl<'a> Get<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Get { bytes }
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    pub fn left(&self) -> usize {
        self.bytes.len()
    }

    pub fn byte(&mut self) -> Result<u8, Bad> {
        let (first, rest) = self.bytes.split_first().ok_or(Bad::Short)?;
        self.bytes = rest;
        Ok(*first)
    }

    pub fn u(&mut self) -> Result<u64, Bad> {
        let (n, size) = u64::decode_var(self.bytes).ok_or(Bad::Short)?;
        self.bytes = &self.bytes[size..];
        Ok(n)
    }

    pub fn i(&mut self) -> Result<i64, Bad> {
        let (n, size) = i64::decode_var(self.bytes).ok_or(Bad::Short)?;
        self.bytes = &self.bytes[size..];
        Ok(n)
    }

    pub fn u32(&mut self) -> Result<u32, Bad> {
        u32::try_from(self.u()?).map_err(|_| Bad::Unknown)
    }

    pub fn f(&mut self) -> Result<f64, Bad> {
        Ok(f64::from_bits(self.u()?.swap_bytes()))
    }

    pub fn flag(&mut self) -> Result<bool, Bad> {
        match self.byte()? {
            0 => Ok(false),
            1 => Ok(true),
            _ => Err(Bad::Unknown),
        }
    }

    pub fn take(&mut self, size: usize) -> Result<&'a [u8], Bad> {
        if size > self.bytes.len() {
            return Err(Bad::Short);
        }
        let (first, rest) = self.bytes.split_at(size);
        self.bytes = rest;
        Ok(first)
    }

    pub fn text(&mut self) -> Result<&'a str, Bad> {
        let size = usize::try_from(self.u()?).map_err(|_| Bad::Short)?;
        std::str::from_utf8(self.take(size)?).map_err(|_| Bad::NoText)
    }

    pub fn maybe<T>(
        &mut self,
        get: impl FnOnce(&mut Self) -> Result<T, Bad>,
    ) -> Result<Option<T>, Bad> {
        if self.flag()? {
            get(self).map(Some)
        } else {
            Ok(None)
        }
    }

    /// So many, each of at least one byte: a count beyond what is left is a lie.
    pub fn many<T>(
        &mut self,
        mut get: impl FnMut(&mut Self) -> Result<T, Bad>,
    ) -> Result<Vec<T>, Bad> {
        let count = usize::try_from(self.u()?).map_err(|_| Bad::Short)?;
        if count > self.bytes.len() {
            return Err(Bad::Short);
        }
        (0..count).map(|_| get(self)).collect()
    }
}

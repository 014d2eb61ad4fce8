//! Reads TOML configuration with line numbers and collects all errors, so that an operator sees them all at
//! once: one line for each error, with file, line, key and cause.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// All errors of a file, one complete line each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors(pub Vec<String>);

impl std::fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

/// A parsed file with the positions of its keys, and the errors found so far.
pub struct ConfigDocument<'i> {
    file_name: &'i str,
    text: &'i str,
    errors: RefCell<BTreeSet<(usize, String)>>,
}

impl<'i> ConfigDocument<'i> {
    /// Parses the text; `file_name` is used in messages. A syntax error is the only one returned at once.
    pub fn parse(
        file_name: &'i str,
        text: &'i str,
    ) -> Result<(Self, Spanned<DeTable<'i>>), ConfigErrors> {
        let document = ConfigDocument {
            file_name,
            text,
            errors: RefCell::default(),
        };
        match DeTable::parse(text) {
            Ok(table) => Ok((document, table)),
            Err(error) => {
                let offset = error.span().map_or(0, |span| span.start);
                document.error(offset, "", &error.message().replace('\n', ", "));
                Err(document.into_errors())
            }
        }
    }

    fn line(&self, offset: usize) -> usize {
        self.text
            .as_bytes()
            .iter()
            .take(offset)
            .filter(|&&b| b == b'\n')
            .count()
            + 1
    }

    fn error(&self, offset: usize, key: &str, cause: &str) {
        let line = self.line(offset);
        let key = if key.is_empty() {
            String::new()
        } else {
            format!("{key}: ")
        };
        self.errors
            .borrow_mut()
            .insert((line, format!("{}:{line}: {key}{cause}", self.file_name)));
    }

    /// Returns the errors found so far, in the order of their lines.
    pub fn into_errors(self) -> ConfigErrors {
        ConfigErrors(
            self.errors
                .into_inner()
                .into_iter()
                .map(|(_line, error)| error)
                .collect(),
        )
    }

    /// Returns the value if no error was found, otherwise all errors.
    pub fn finish<T>(self, value: T) -> Result<T, ConfigErrors> {
        if self.errors.borrow().is_empty() {
            Ok(value)
        } else {
            Err(self.into_errors())
        }
    }
}

/// One table of the file. Keys that no reader requested are reported as unknown.
pub struct Section<'a, 'i> {
    document: &'a ConfigDocument<'i>,
    table: Option<&'a DeTable<'i>>,
    path: String,
    offset: usize,
    known_keys: RefCell<BTreeSet<String>>,
}

impl<'a, 'i> Section<'a, 'i> {
    /// The top level of the file.
    pub fn root(document: &'a ConfigDocument<'i>, table: &'a Spanned<DeTable<'i>>) -> Self {
        Section {
            document,
            table: Some(table.get_ref()),
            path: String::new(),
            offset: table.span().start,
            known_keys: RefCell::default(),
        }
    }

    fn key(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    fn find(&self, name: &str) -> Option<(&'a DeValue<'i>, Range<usize>)> {
        self.known_keys.borrow_mut().insert(name.to_owned());
        let (_, value) = self
            .table?
            .iter()
            .find(|(k, _)| k.get_ref().as_ref() == name)?;
        Some((value.get_ref(), value.span()))
    }

    /// Returns whether the section is in the file.
    pub fn is_present(&self) -> bool {
        self.table.is_some()
    }

    /// Returns whether the key is in the section, and marks the key as known.
    pub fn has(&self, name: &str) -> bool {
        self.find(name).is_some()
    }

    /// Reports an error of a key, or of the section if the key is absent.
    pub fn error(&self, name: &str, cause: &str) {
        let offset = self.find(name).map_or(self.offset, |(_, span)| span.start);
        self.document.error(offset, &self.key(name), cause);
    }

    /// The table of this name; an absent table is read as empty.
    pub fn section(&self, name: &str) -> Section<'a, 'i> {
        let (table, offset) = match self.find(name) {
            Some((DeValue::Table(table), span)) => (Some(table), span.start),
            Some((_, span)) => {
                self.document
                    .error(span.start, &self.key(name), "is not a table");
                (None, span.start)
            }
            None => (None, self.offset),
        };
        Section {
            document: self.document,
            table,
            path: self.key(name),
            offset,
            known_keys: RefCell::default(),
        }
    }

    /// The tables of an array of tables; empty if absent.
    pub fn sections(&self, name: &str) -> Vec<Section<'a, 'i>> {
        match self.find(name) {
            Some((DeValue::Array(items), _)) => {
                let mut sections = Vec::new();
                for (n, item) in items.iter().enumerate() {
                    let (path, offset) = (format!("{}[{n}]", self.key(name)), item.span().start);
                    match item.get_ref() {
                        DeValue::Table(table) => sections.push(Section {
                            document: self.document,
                            table: Some(table),
                            path,
                            offset,
                            known_keys: RefCell::default(),
                        }),
                        _ => self.document.error(offset, &path, "is not a table"),
                    }
                }
                sections
            }
            Some((_, span)) => {
                self.document
                    .error(span.start, &self.key(name), "is not a list of tables");
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    /// A string of at most 255 bytes. Without a default the key is required.
    pub fn string(&self, name: &str, default: Option<&str>) -> String {
        match self.find(name) {
            Some((DeValue::String(text), _)) if text.len() <= 255 => text.clone().into_owned(),
            Some(_) => {
                self.error(name, "is not a string of at most 255 bytes");
                String::new()
            }
            None => match default {
                Some(text) => text.to_owned(),
                None => {
                    self.error(name, "is missing");
                    String::new()
                }
            },
        }
    }

    /// A list of strings; empty if absent.
    pub fn strings(&self, name: &str) -> Vec<String> {
        match self.find(name) {
            Some((DeValue::Array(items), _)) => {
                let strings = items
                    .iter()
                    .filter_map(|i| i.get_ref().as_str().map(str::to_owned));
                let strings: Vec<String> = strings.collect();
                if strings.len() < items.len() {
                    self.error(name, "contains a value that is not a string");
                }
                strings
            }
            Some(_) => {
                self.error(name, "is not a list of strings");
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    /// A number within `range`, both ends included. Without a default the key is required.
    pub fn number(&self, name: &str, range: Range<f64>, default: Option<f64>) -> f64 {
        let value = match self.find(name) {
            Some((DeValue::Integer(number), _)) if number.radix() == 10 => {
                number.as_str().parse::<f64>().ok()
            }
            Some((DeValue::Float(number), _)) => number.as_str().parse::<f64>().ok(),
            Some(_) => None,
            None => match default {
                Some(value) => return value,
                None => {
                    self.error(name, "is missing");
                    return range.start;
                }
            },
        };
        match value {
            Some(value) if value >= range.start && value <= range.end => value,
            Some(value) => {
                self.error(
                    name,
                    &format!("{value} is not within {} to {}", range.start, range.end),
                );
                range.start
            }
            None => {
                self.error(name, "is not a number");
                range.start
            }
        }
    }

    /// A whole number within `range`, both ends included. Without a default the key is required.
    pub fn integer(&self, name: &str, range: Range<u64>, default: Option<u64>) -> u64 {
        let value = self.number(
            name,
            range.start as f64..range.end as f64,
            default.map(|value| value as f64),
        );
        if value.fract() != 0.0 {
            self.error(name, "is not a whole number");
        }
        value as u64
    }

    /// A duration, in milliseconds in the file and in microseconds in the result.
    pub fn millis_as_micros(&self, name: &str, range: Range<u64>, default: Option<u64>) -> i64 {
        let range = range.start as f64..range.end as f64;
        (self.number(name, range, default.map(|value| value as f64)) * 1000.0) as i64
    }

    /// True or false. Without a default the key is required.
    pub fn boolean(&self, name: &str, default: Option<bool>) -> bool {
        match (self.find(name), default) {
            (Some((DeValue::Boolean(value), _)), _) => *value,
            (Some(_), _) => {
                self.error(name, "is neither true nor false");
                false
            }
            (None, Some(value)) => value,
            (None, None) => {
                self.error(name, "is missing");
                false
            }
        }
    }

    /// A loopback address with a port; at this stage the program connects to loopback addresses only. On an error,
    /// 127.0.0.1 with port 0.
    pub fn loopback_address(&self, name: &str) -> std::net::SocketAddr {
        let text = self.string(name, None);
        match text.parse::<std::net::SocketAddr>() {
            Ok(address) if address.ip().is_loopback() => return address,
            Ok(_) => self.error(name, &format!("{text} is not a loopback address")),
            Err(_) if text.is_empty() => {}
            Err(_) => self.error(name, &format!("'{text}' is not an address with its port")),
        }
        std::net::SocketAddr::from(([127, 0, 0, 1], 0))
    }

    /// Ends the reading of this section: reports the keys that were not read as unknown.
    pub fn finish(self) {
        self.check_unknown_keys();
    }

    /// Reports the keys that were not read so far as unknown, without consuming the section, so that further errors can
    /// be reported.
    pub fn check_unknown_keys(&self) {
        let known_keys = self.known_keys.borrow();
        for (key, _) in self.table.into_iter().flatten() {
            if !known_keys.contains(key.get_ref().as_ref()) {
                let known: Vec<&str> = known_keys.iter().map(String::as_str).collect();
                let cause = format!(
                    "is unknown in this section; known keys: {}",
                    known.join(", ")
                );
                self.document
                    .error(key.span().start, &self.key(key.get_ref()), &cause);
            }
        }
    }
}

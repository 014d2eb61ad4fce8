//! Reads TOML settings with line numbers and gathers all that is wrong, so that an operator sees everything at
//! once: one line each, naming file, line, key and cause.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// All that is wrong with a file, one finished line each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused(pub Vec<String>);

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

/// Where in the file something stands, and what is wrong so far.
pub struct Sheet<'i> {
    file: &'i str,
    text: &'i str,
    wrong: RefCell<BTreeSet<(usize, String)>>,
}

impl<'i> Sheet<'i> {
    pub fn parse(file: &'i str, text: &'i str) -> Result<(Self, Spanned<DeTable<'i>>), Refused> {
        let sheet = Sheet { file, text, wrong: RefCell::default() };
        match DeTable::parse(text) {
            Ok(table) => Ok((sheet, table)),
            Err(e) => {
                let at = e.span().map_or(0, |s| s.start);
                sheet.wrong(at, "", &e.message().replace('\n', ", "));
                Err(sheet.refused())
            }
        }
    }

    fn line(&self, at: usize) -> usize {
        self.text.as_bytes().iter().take(at).filter(|&&b| b == b'\n').count() + 1
    }

    fn wrong(&self, at: usize, key: &str, cause: &str) {
        let line = self.line(at);
        let key = if key.is_empty() { String::new() } else { format!("{key}: ") };
        self.wrong.borrow_mut().insert((line, format!("{}:{line}: {key}{cause}", self.file)));
    }

    pub fn refused(self) -> Refused {
        Refused(self.wrong.into_inner().into_iter().map(|w| w.1).collect())
    }

    /// The whole, if nothing is wrong.
    pub fn whole<T>(self, parts: T) -> Result<T, Refused> {
        if self.wrong.borrow().is_empty() { Ok(parts) } else { Err(self.refused()) }
    }
}

/// One table of the file; what is not asked for is unknown.
pub struct Section<'a, 'i> {
    sheet: &'a Sheet<'i>,
    table: Option<&'a DeTable<'i>>,
    path: String,
    at: usize,
    asked: RefCell<BTreeSet<String>>,
}

impl<'a, 'i> Section<'a, 'i> {
    pub fn root(sheet: &'a Sheet<'i>, table: &'a Spanned<DeTable<'i>>) -> Self {
        Section {
            sheet,
            table: Some(table.get_ref()),
            path: String::new(),
            at: table.span().start,
            asked: RefCell::default(),
        }
    }

    fn key(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    fn find(&self, name: &str) -> Option<(&'a DeValue<'i>, Range<usize>)> {
        self.asked.borrow_mut().insert(name.to_owned());
        let (_, value) = self.table?.iter().find(|(k, _)| k.get_ref().as_ref() == name)?;
        Some((value.get_ref(), value.span()))
    }

    pub fn is_present(&self) -> bool {
        self.table.is_some()
    }

    pub fn has(&self, name: &str) -> bool {
        self.find(name).is_some()
    }

    /// Says what is wrong with a key, or with the section if the key is not there.
    pub fn wrong(&self, name: &str, cause: &str) {
        let at = self.find(name).map_or(self.at, |(_, span)| span.start);
        self.sheet.wrong(at, &self.key(name), cause);
    }

    pub fn section(&self, name: &str) -> Section<'a, 'i> {
        let (table, at) = match self.find(name) {
            Some((DeValue::Table(table), span)) => (Some(table), span.start),
            Some((_, span)) => {
                self.sheet.wrong(span.start, &self.key(name), "is not a table");
                (None, span.start)
            }
            None => (None, self.at),
        };
        Section { sheet: self.sheet, table, path: self.key(name), at, asked: RefCell::default() }
    }

    /// An array of tables.
    pub fn sections(&self, name: &str) -> Vec<Section<'a, 'i>> {
        match self.find(name) {
            Some((DeValue::Array(items), _)) => {
                let mut sections = Vec::new();
                for (n, item) in items.iter().enumerate() {
                    let (path, at) = (format!("{}[{n}]", self.key(name)), item.span().start);
                    match item.get_ref() {
                        DeValue::Table(table) => sections.push(Section {
                            sheet: self.sheet,
                            table: Some(table),
                            path,
                            at,
                            asked: RefCell::default(),
                        }),
                        _ => self.sheet.wrong(at, &path, "is not a table"),
                    }
                }
                sections
            }
            Some((_, span)) => {
                self.sheet.wrong(span.start, &self.key(name), "is not a list of tables");
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    pub fn text(&self, name: &str, absent: Option<&str>) -> String {
        match self.find(name) {
            Some((DeValue::String(s), _)) if s.len() <= 255 => s.clone().into_owned(),
            Some(_) => {
                self.wrong(name, "is not a text of at most 255 bytes");
                String::new()
            }
            None => match absent {
                Some(text) => text.to_owned(),
                None => {
                    self.wrong(name, "is missing");
                    String::new()
                }
            },
        }
    }

    pub fn texts(&self, name: &str) -> Vec<String> {
        match self.find(name) {
            Some((DeValue::Array(items), _)) => {
                let texts = items.iter().filter_map(|i| i.get_ref().as_str().map(str::to_owned));
                let texts: Vec<String> = texts.collect();
                if texts.len() < items.len() {
                    self.wrong(name, "holds something that is not a text");
                }
                texts
            }
            Some(_) => {
                self.wrong(name, "is not a list of texts");
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    pub fn number(&self, name: &str, within: Range<f64>, absent: Option<f64>) -> f64 {
        let value = match self.find(name) {
            Some((DeValue::Integer(n), _)) if n.radix() == 10 => n.as_str().parse::<f64>().ok(),
            Some((DeValue::Float(x), _)) => x.as_str().parse::<f64>().ok(),
            Some(_) => None,
            None => match absent {
                Some(value) => return value,
                None => {
                    self.wrong(name, "is missing");
                    return within.start;
                }
            },
        };
        match value {
            Some(v) if v >= within.start && v <= within.end => v,
            Some(v) => {
                self.wrong(name, &format!("{v} is not within {} to {}", within.start, within.end));
                within.start
            }
            None => {
                self.wrong(name, "is not a number");
                within.start
            }
        }
    }

    pub fn count(&self, name: &str, within: Range<u64>, absent: Option<u64>) -> u64 {
        let value = self.number(name, within.start as f64..within.end as f64, absent.map(|a| a as f64));
        if value.fract() != 0.0 {
            self.wrong(name, "is not a whole number");
        }
        value as u64
    }

    /// Milliseconds in the file, microseconds here.
    pub fn millis(&self, name: &str, within: Range<u64>, absent: Option<u64>) -> i64 {
        let range = within.start as f64..within.end as f64;
        (self.number(name, range, absent.map(|a| a as f64)) * 1000.0) as i64
    }

    pub fn flag(&self, name: &str, absent: Option<bool>) -> bool {
        match (self.find(name), absent) {
            (Some((DeValue::Boolean(b), _)), _) => *b,
            (Some(_), _) => {
                self.wrong(name, "is neither true nor false");
                false
            }
            (None, Some(b)) => b,
            (None, None) => {
                self.wrong(name, "is missing");
                false
            }
        }
    }

    /// A loopback address with its port. This stage of the program speaks to nothing else.
    pub fn address(&self, name: &str) -> std::net::SocketAddr {
        let text = self.text(name, None);
        match text.parse::<std::net::SocketAddr>() {
            Ok(address) if address.ip().is_loopback() => return address,
            Ok(_) => self.wrong(name, &format!("{text} is not a loopback address")),
            Err(_) if text.is_empty() => {}
            Err(_) => self.wrong(name, &format!("'{text}' is not an address with its port")),
        }
        std::net::SocketAddr::from(([127, 0, 0, 1], 0))
    }

    /// Nothing more is asked of this section: what is left in it is unknown.
    pub fn end(self) {
        self.end_here();
    }

    /// The same, where something may still be found wrong with it.
    pub fn end_here(&self) {
        let asked = self.asked.borrow();
        for (key, _) in self.table.into_iter().flatten() {
            if !asked.contains(key.get_ref().as_ref()) {
                let known: Vec<&str> = asked.iter().map(String::as_str).collect();
                let cause = format!("is unknown here; known are {}", known.join(", "));
                self.sheet.wrong(key.span().start, &self.key(key.get_ref()), &cause);
            }
        }
    }
}

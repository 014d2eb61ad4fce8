//! [`RawSettings`]: settings as given, in pairs of path and value or in nested JSON, before they are converted to
//! types.

use std::borrow::Cow;
use std::collections::HashMap;

use cedarpulley::interface::Micros;
use serde_json::Value;

use crate::error::{Result, SettingsError, wrong_type};

/// Nesting depth of JSON from which settings are rejected; all known settings are nested less deeply.
const MAX_DEPTH: usize = 16;
const NANOS_PER_MICRO: i64 = 1_000;

/// Converts nanoseconds, the unit of times in settings, to whole microseconds, rounded down.
pub fn micros_from_nanos(nanos: i64) -> Micros {
    nanos.div_euclid(NANOS_PER_MICRO)
}

/// Settings as given: each value under its path, such as `services.0.aim`. The length of a list of objects is the value
/// at the path of the list followed by `.count`.
#[derive(Debug, Default)]
pub struct RawSettings<'a> {
    /// The values by path. `None`: the setting is given as absent, which is `-` in pairs and null in JSON.
    values: HashMap<Cow<'a, str>, Option<Cow<'a, str>>>,
    /// Lists of plain values in nested JSON, by path. Their values may contain commas, so they could not be separated
    /// again after being joined with commas as in pairs.
    lists: HashMap<String, Vec<String>>,
}

impl<'a> RawSettings<'a> {
    /// Reads pairs `path=value` that are separated by spaces.
    pub fn from_pairs(text: &'a str) -> Result<Self> {
        let mut values = HashMap::new();
        for part in text.split(' ').filter(|p| !p.is_empty()) {
            let (path, value) = part
                .split_once('=')
                .ok_or_else(|| SettingsError::NotAPair {
                    part: part.to_owned(),
                })?;
            let value = Some(Cow::Borrowed(value)).filter(|value| value != "-");
            values.insert(Cow::Borrowed(path), value);
        }
        Ok(Self {
            values,
            lists: HashMap::new(),
        })
    }

    /// Reads the same settings as nested JSON.
    pub fn from_json(settings: &Value) -> Result<Self> {
        if !settings.is_object() {
            return Err(SettingsError::NotAnObject);
        }
        let mut raw = Self::default();
        raw.flatten(String::new(), settings, 0)?;
        Ok(raw)
    }

    /// Adds the values of a JSON value at `path`, and those of everything nested in it.
    fn flatten(&mut self, path: String, value: &Value, depth: usize) -> Result<()> {
        if depth >= MAX_DEPTH {
            return Err(SettingsError::TooDeep { path });
        }
        let child_path = |name: &str| {
            if path.is_empty() {
                name.to_owned()
            } else {
                format!("{path}.{name}")
            }
        };
        match value {
            Value::Object(fields) => {
                for (name, value) in fields {
                    self.flatten(child_path(name), value, depth + 1)?;
                }
            }
            Value::Array(items) if items.iter().any(|i| i.is_object() || i.is_array()) => {
                self.values.insert(
                    child_path("count").into(),
                    Some(items.len().to_string().into()),
                );
                for (index, item) in items.iter().enumerate() {
                    self.flatten(child_path(&index.to_string()), item, depth + 1)?;
                }
            }
            Value::Array(items) => {
                let items: Vec<String> = items.iter().map(plain_text).collect();
                // A setting that expects a single value reads the joined list, and rejects it.
                self.values
                    .insert(path.clone().into(), Some(items.join(",").into()));
                self.lists.insert(path, items);
            }
            value => {
                let value = Some(value).filter(|value| !value.is_null());
                self.values
                    .insert(path.into(), value.map(|value| plain_text(value).into()));
            }
        }
        Ok(())
    }

    /// The value at a path; `None` if it is absent.
    pub fn text(&self, path: &str) -> Option<&str> {
        self.values.get(path)?.as_deref()
    }

    /// The values of a list of plain values; empty if the list is absent.
    pub fn list(&self, path: &str) -> impl Iterator<Item = &str> {
        let from_json = self.lists.get(path);
        let joined = self.text(path).filter(|_| from_json.is_none());
        let joined = joined
            .into_iter()
            .flat_map(|list| list.split(','))
            .filter(|value| !value.is_empty());
        from_json
            .into_iter()
            .flatten()
            .map(String::as_str)
            .chain(joined)
    }

    /// The finite number at a path, or `default` if it is absent.
    pub fn number(&self, path: &str, default: f64) -> Result<f64> {
        match self.text(path) {
            None => Ok(default),
            Some(value) => match value.parse::<f64>() {
                Ok(number) if number.is_finite() => Ok(number),
                _ => Err(wrong_type(path, value, "a number")),
            },
        }
    }

    /// The time at a path, or `default` if it is absent. Settings have times in whole nanoseconds; the result and
    /// `default` are in microseconds.
    pub fn time(&self, path: &str, default: Micros) -> Result<Micros> {
        match self.text(path) {
            None => Ok(default),
            Some(value) => value
                .parse::<i64>()
                .map(micros_from_nanos)
                .map_err(|_| wrong_type(path, value, "a time in whole nanoseconds")),
        }
    }

    /// The flag at a path, or `default` if it is absent.
    pub fn flag(&self, path: &str, default: bool) -> Result<bool> {
        match self.text(path) {
            None => Ok(default),
            Some("true" | "1") => Ok(true),
            Some("false" | "0") => Ok(false),
            Some(value) => Err(wrong_type(path, value, "true or false")),
        }
    }

    /// The length of a list of objects; 0 if the list is absent. A length above the number of all settings is an error:
    /// it cannot be the length of a list among them.
    pub fn count(&self, list: &str) -> Result<usize> {
        let length = self.number(&format!("{list}.count"), 0.0)?;
        if length < 0.0 || length.fract() != 0.0 || length > self.values.len() as f64 {
            return Err(SettingsError::InvalidCount {
                path: format!("{list}.count"),
                value: length.to_string(),
            });
        }
        Ok(length as usize)
    }
}

/// The text that a plain JSON value has in pairs.
fn plain_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

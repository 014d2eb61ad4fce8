//! Warm prefixes: what earlier invocations of a sequence built up in a copy, found there by the next one, or built
//! again at a cost. [`of`] says which sequence a request belongs to; a copy's [`Prefixes`] say how it is met there.

use std::collections::VecDeque;

use hyper::HeaderMap;
use serde_json::Value;

/// Of one copy; the oldest is dropped for a new one.
const MOST_PREFIXES: usize = 10_000;

pub(super) struct Sequence {
    pub(super) id: String,
    pub(super) start: bool,
    pub(super) end: bool,
}

/// As the headers say it, else as the JSON's `parameters` do; what is neither belongs to none.
pub(super) fn of(headers: &HeaderMap, json: &[u8]) -> Option<Sequence> {
    let text = |name: &str| {
        headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
    };
    if !text("cedarpulley-sequence-id").is_empty() {
        let flag = |name: &str| text(name) == "true";
        return Some(Sequence {
            id: text("cedarpulley-sequence-id").to_owned(),
            start: flag("cedarpulley-sequence-start"),
            end: flag("cedarpulley-sequence-end"),
        });
    }
    // Most requests have none, and are not read for it.
    let named: &[u8] = b"\"sequence_id\"";
    if !json.windows(named.len()).any(|w| w == named) {
        return None;
    }
    let body: Value = serde_json::from_slice(json).ok()?;
    let parameters = &body["parameters"];
    let id = match &parameters["sequence_id"] {
        Value::String(id) => id.clone(),
        Value::Number(n) => n.to_string(),
        _ => return None,
    };
    let flag = |name: &str| parameters[name].as_bool() == Some(true);
    // An empty one, or 0, means none.
    let none = id.is_empty() || id == "0";
    (!none).then(|| Sequence {
        id,
        start: flag("sequence_start"),
        end: flag("sequence_end"),
    })
}

#[derive(Default)]
pub(super) struct Prefixes(VecDeque<String>);

impl Prefixes {
    /// "found", "begun" or "rebuilt".
    pub(super) fn meet(&self, sequence: &Sequence) -> &'static str {
        match (sequence.start, self.0.contains(&sequence.id)) {
            (true, _) => "begun",
            (false, true) => "found",
            (false, false) => "rebuilt",
        }
    }

    /// An invocation of it has run here.
    pub(super) fn ran(&mut self, sequence: &Sequence) {
        self.0.retain(|id| *id != sequence.id);
        if !sequence.end {
            self.0.push_back(sequence.id.clone());
        }
        if self.0.len() > MOST_PREFIXES {
            self.0.pop_front();
        }
    }

    pub(super) fn ids(&self) -> Vec<String> {
        self.0.iter().cloned().collect()
    }
}

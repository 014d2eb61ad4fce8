//! Cached prefixes of sequences (as a KV cache): what earlier invocations of a sequence built up in a loaded function
//! is found there by the next one, or has to be rebuilt at a cost.

use std::collections::VecDeque;

use hyper::HeaderMap;
use serde_json::Value;

/// Prefixes that one loaded function caches; the oldest is dropped for a new one.
const MAX_PREFIXES: usize = 10_000;

/// The sequence that a request belongs to, and whether it starts or ends it.
pub(super) struct Sequence {
    pub(super) id: String,
    pub(super) start: bool,
    pub(super) end: bool,
}

/// Reads a request's sequence from its headers, else from the `parameters` of its JSON body.
pub(super) fn sequence_of(headers: &HeaderMap, json: &[u8]) -> Option<Sequence> {
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
    // Most requests have no sequence; their bodies are not parsed.
    let key: &[u8] = b"\"sequence_id\"";
    if !json.windows(key.len()).any(|w| w == key) {
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
    // An empty id, or 0, means none.
    let none = id.is_empty() || id == "0";
    (!none).then(|| Sequence {
        id,
        start: flag("sequence_start"),
        end: flag("sequence_end"),
    })
}

/// How an invocation meets its sequence's prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PrefixMatch {
    Found,
    Begun,
    Rebuilt,
}

impl PrefixMatch {
    /// As in the `cedarpulley-prefix` header and in the log.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            PrefixMatch::Found => "found",
            PrefixMatch::Begun => "begun",
            PrefixMatch::Rebuilt => "rebuilt",
        }
    }
}

/// Ids of the sequences whose prefixes a loaded function caches, oldest first.
#[derive(Default)]
pub(super) struct PrefixCache(VecDeque<String>);

impl PrefixCache {
    pub(super) fn lookup(&self, sequence: &Sequence) -> PrefixMatch {
        match (sequence.start, self.0.contains(&sequence.id)) {
            (true, _) => PrefixMatch::Begun,
            (false, true) => PrefixMatch::Found,
            (false, false) => PrefixMatch::Rebuilt,
        }
    }

    /// An invocation of the sequence has run here.
    pub(super) fn update(&mut self, sequence: &Sequence) {
        self.0.retain(|id| *id != sequence.id);
        if !sequence.end {
            self.0.push_back(sequence.id.clone());
        }
        if self.0.len() > MAX_PREFIXES {
            self.0.pop_front();
        }
    }

    pub(super) fn ids(&self) -> Vec<String> {
        self.0.iter().cloned().collect()
    }
}

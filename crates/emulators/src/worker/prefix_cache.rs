//! Cached prefixes of sequences, as in a KV cache. Earlier invocations of a sequence leave a prefix in the loaded
//! function. The next invocation finds the prefix there, or has to rebuild it with additional work.

use std::collections::VecDeque;

use hyper::HeaderMap;
use serde_json::Value;

/// Number of prefixes that a loaded function caches; beyond it the oldest prefix is dropped.
const MAX_PREFIXES: usize = 10_000;

/// The sequence of a request, and whether the request starts or ends it.
pub(super) struct Sequence {
    pub(super) id: String,
    pub(super) start: bool,
    pub(super) end: bool,
}

/// Reads the sequence of a request from its headers or, if they have none, from the `parameters` of its JSON body.
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
    // Most requests have no sequence. The search avoids parsing their bodies.
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
    // An empty id or the id 0 means that the request has no sequence.
    let none = id.is_empty() || id == "0";
    (!none).then(|| Sequence {
        id,
        start: flag("sequence_start"),
        end: flag("sequence_end"),
    })
}

/// Whether an invocation finds the prefix of its sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PrefixMatch {
    /// The prefix is cached.
    Found,
    /// The invocation starts the sequence.
    Begun,
    /// The prefix is not cached and has to be rebuilt.
    Rebuilt,
}

impl PrefixMatch {
    /// The value in the `cedarpulley-prefix` header and in the log.
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

    /// Stores the prefix after an invocation of the sequence has run; drops it if the invocation ended the sequence.
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

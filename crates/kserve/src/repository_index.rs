//! The model repository extension's index: which models a worker has loaded, as it answers
//! `POST /v2/repository/index`. Workers that know this router add the number of copies, sessions and more in each
//! entry's `parameters`; of any other worker a loaded model counts as one copy, and its sessions are not known.

use std::collections::BTreeMap;

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
use http::HeaderMap;
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::response_headers::{number, text};
use crate::worker_requests::VERSIONS;

/// Response header: incarnation of the worker's process, any text that no other process of it uses.
pub const INCARNATION: &str = "cedarpulley-life";
/// Response header: memory of the worker in megabytes.
pub const MEMORY_MB: &str = "cedarpulley-memory-mb";

/// Entries beyond are left out, and the index counts as truncated.
#[doc(hidden)]
pub const MAX_ENTRIES: usize = 10_000;
/// A longer list of an entry's sessions counts as not reported.
#[doc(hidden)]
pub const MAX_SEQUENCES: usize = 4_096;
/// Longest name, of a model, a version, a router or a sequence.
const MAX_NAME_BYTES: usize = 512;

/// The models that a worker has loaded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RepositoryIndex {
    /// The incarnation of the worker's process, if reported.
    pub incarnation: Option<u64>,
    /// Memory of the worker in megabytes; 0 if not reported.
    pub memory_mb: f64,
    /// The models.
    pub models: Vec<ModelEntry>,
    /// The worker reported more models than are listed here.
    pub truncated: bool,
}

/// One model of the index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelEntry {
    /// The function, with its version if it has one.
    pub function: String,
    /// Loaded copies; 0: it is not loaded.
    pub copies: u32,
    /// A load is in progress.
    pub loading: bool,
    /// Copies that are running an invocation, if reported.
    pub busy: Option<u32>,
    /// How long its copies have been idle, if reported.
    pub idle: Option<Micros>,
    /// The router that ordered the load, if reported.
    pub ordered_by: Option<String>,
    /// The term of the upgrade plan under which the load was ordered, if reported.
    pub term: Option<String>,
    /// Ids of the sessions that it holds state of, if reported.
    pub sequences: Option<Vec<String>>,
}

/// Why a response is no index.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidIndex {
    /// The worker answered with another status than 200.
    #[error("the worker answered the question for its index with status {0}")]
    Status(u16),
    /// The body is no JSON list of entries.
    #[error("the worker's index is no JSON list of models")]
    Malformed,
    /// The entry at this position, from 0, has no valid name.
    #[error(
        "entry {0} of the worker's index has no name, or one longer than {MAX_NAME_BYTES} bytes"
    )]
    InvalidName(usize),
}

impl Remedy for InvalidIndex {
    fn remedy(&self) -> &'static str {
        match self {
            InvalidIndex::Status(_) => {
                "have the worker serve the model repository extension, or leave [reconcile] out"
            }
            InvalidIndex::Malformed | InvalidIndex::InvalidName(_) => {
                "see that the worker speaks KServe v2 and that nothing between changes its answers"
            }
        }
    }
}

#[derive(Deserialize)]
struct WireEntry {
    #[serde(default)]
    name: String,
    #[serde(default)]
    version: Option<Value>,
    #[serde(default)]
    state: Option<String>,
    #[serde(default)]
    parameters: BTreeMap<String, Value>,
}

/// Reads a worker's response. One invalid entry makes the whole index invalid.
pub fn parse(
    status: u16,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<RepositoryIndex, InvalidIndex> {
    if status != 200 {
        return Err(InvalidIndex::Status(status));
    }
    let mut entries =
        serde_json::from_slice::<Vec<WireEntry>>(body).map_err(|_| InvalidIndex::Malformed)?;
    let truncated = entries.len() > MAX_ENTRIES;
    entries.truncate(MAX_ENTRIES);
    let models = entries
        .into_iter()
        .enumerate()
        .map(|(position, entry)| model(entry).ok_or(InvalidIndex::InvalidName(position)));
    let incarnation = text(headers, INCARNATION)
        .map(|text| text.trim().parse().unwrap_or_else(|_| fingerprint(text)));
    let memory_mb = number(headers, MEMORY_MB).map_or(0.0, f64::from);
    Ok(RepositoryIndex {
        incarnation,
        memory_mb,
        models: models.collect::<Result<_, _>>()?,
        truncated,
    })
}

fn valid_name(value: &Value) -> Option<String> {
    value
        .as_str()
        .filter(|name| !name.is_empty() && name.len() <= MAX_NAME_BYTES)
        .map(str::to_owned)
}

/// Absent if the entry has no valid name.
fn model(entry: WireEntry) -> Option<ModelEntry> {
    if entry.name.is_empty() || entry.name.len() > MAX_NAME_BYTES {
        return None;
    }
    let function = match entry.version.as_ref().and_then(valid_name) {
        Some(version) => format!("{}{VERSIONS}{version}", entry.name),
        None => entry.name,
    };
    let parameter = |key: &str| entry.parameters.get(key);
    let count = |key: &str| {
        parameter(key)
            .and_then(Value::as_u64)
            .map(|count| count.min(u64::from(u32::MAX)) as u32)
    };
    // An entry without a state means that the model is loaded.
    let state = entry.state.as_deref().unwrap_or("READY");
    let copies = if state == "READY" {
        count("copies").unwrap_or(1)
    } else {
        0
    };
    Some(ModelEntry {
        function,
        copies,
        loading: state == "LOADING",
        busy: count("busy"),
        idle: parameter("idle_us").and_then(Value::as_i64),
        ordered_by: parameter("ordered_by").and_then(valid_name),
        term: parameter("term").and_then(valid_name),
        // A list that had to be cut would not say which sessions are not at this worker.
        sequences: parameter("sequences")
            .and_then(Value::as_array)
            .filter(|ids| ids.len() <= MAX_SEQUENCES)
            .map(|ids| ids.iter().filter_map(valid_name).collect()),
    })
}

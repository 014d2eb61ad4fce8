//! Parses the index of the model repository extension: the response of a worker to `POST /v2/repository/index`, which
//! lists the models that it has loaded. Workers that support this router report the number of copies, the sessions and
//! more in each entry's `parameters`. For other workers, a loaded model counts as one copy with unknown sessions.

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

/// Response header: incarnation of the worker's process, a text that is different for each process of the worker.
pub const INCARNATION: &str = "cedarpulley-life";
/// Response header: memory of the worker in megabytes.
pub const MEMORY_MB: &str = "cedarpulley-memory-mb";

/// Largest number of entries that are read; an index with more entries is truncated.
#[doc(hidden)]
pub const MAX_ENTRIES: usize = 10_000;
/// Largest number of sessions per entry; a longer list counts as not reported.
#[doc(hidden)]
pub const MAX_SEQUENCES: usize = 4_096;
/// Longest name of a model, version, router or sequence, in bytes.
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
    /// Whether the worker reported more models than are listed here.
    pub truncated: bool,
}

/// One model of the index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelEntry {
    /// Name of the function, with its version if it has one.
    pub function: String,
    /// Number of loaded copies; 0 if the function is not loaded.
    pub copies: u32,
    /// Whether a load is in progress.
    pub loading: bool,
    /// Number of copies that are running an invocation, if reported.
    pub busy: Option<u32>,
    /// How long the copies have been idle, in microseconds, if reported.
    pub idle: Option<Micros>,
    /// The router that ordered the load, if reported.
    pub ordered_by: Option<String>,
    /// The term of the upgrade plan under which the load was ordered, if reported.
    pub term: Option<String>,
    /// Ids of the sessions whose state the copies hold, if reported.
    pub sequences: Option<Vec<String>>,
}

/// Why a response is not a valid index.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidIndex {
    /// The status of the response is not 200.
    #[error("the worker responded to the index query with status {0}")]
    Status(u16),
    /// The body is not a JSON list of entries.
    #[error("the worker's index is not a JSON list of models")]
    Malformed,
    /// The entry at this position, counted from 0, has no valid name.
    #[error(
        "entry {0} of the worker's index has no name or a name longer than {MAX_NAME_BYTES} bytes"
    )]
    InvalidName(usize),
}

impl Remedy for InvalidIndex {
    fn remedy(&self) -> &'static str {
        match self {
            InvalidIndex::Status(_) => {
                "enable the model repository extension on the worker, or remove [reconcile] from the settings"
            }
            InvalidIndex::Malformed | InvalidIndex::InvalidName(_) => {
                "check that the worker conforms to KServe v2 and that no proxy changes its responses"
            }
        }
    }
}

/// One entry of the response's JSON.
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

/// Parses a worker's response. One invalid entry makes the whole index invalid.
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

/// Converts an entry. Returns `None` if it has no valid name.
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
        // A truncated list would not show which sessions are missing at this worker, so it counts as not reported.
        sequences: parameter("sequences")
            .and_then(Value::as_array)
            .filter(|ids| ids.len() <= MAX_SEQUENCES)
            .map(|ids| ids.iter().filter_map(valid_name).collect()),
    })
}

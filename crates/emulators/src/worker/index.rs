//! The repository index (`POST /v2/repository/index`): which functions a worker has in memory.

use std::sync::Arc;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};

use super::routes::header;
use super::{Worker, WorkerShared};
use crate::http::{Body, full};

/// Separates name and version in a function's name, as in paths.
pub(super) const VERSIONS: &str = "/versions/";
const INCARNATION_HEADER: &str = "cedarpulley-life";
const MEMORY_HEADER: &str = "cedarpulley-memory-mb";
const MEMORY_USED_HEADER: &str = "cedarpulley-memory-used-mb";
const MAX_REQUEST: usize = 64 << 10;

/// Which router gave an order, and in which term, where the order says so.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orderer {
    /// The router's name.
    pub router: Option<String>,
    /// Its leadership term.
    pub term: Option<String>,
}

impl Orderer {
    pub(super) fn of(request: &Request<Incoming>) -> Self {
        let value = |name: &str| Some(header(request, name)).filter(|v| !v.is_empty());
        Orderer {
            router: value("cedarpulley-router"),
            term: value("cedarpulley-term"),
        }
    }
}

/// A function in memory, with its version.
#[derive(Clone, Debug)]
pub struct LoadedFunctionInfo {
    /// `NAME` or `NAME/versions/VERSION`.
    pub function: String,
    /// "READY" or "LOADING".
    pub state: &'static str,
    /// Copies of it in memory.
    pub copies: usize,
    /// Invocations that run on it or wait for it.
    pub busy: usize,
    /// Microseconds since its last use; 0 while it is busy.
    pub idle_us: u64,
    /// Who gave the last order for it.
    pub ordered_by: Orderer,
    /// Sequences whose prefixes it caches.
    pub sequences: Vec<String>,
}

impl LoadedFunctionInfo {
    fn entry(&self) -> Value {
        let (name, version) = match self.function.split_once(VERSIONS) {
            Some((name, version)) => (name, Some(version)),
            None => (self.function.as_str(), None),
        };
        let mut entry = json!({
            "name": name, "state": self.state, "reason": "",
            "parameters": {
                "copies": self.copies, "busy": self.busy, "idle_us": self.idle_us, "sequences": self.sequences,
            },
        });
        if let Some(version) = version {
            entry["version"] = version.into();
        }
        for (key, value) in [
            ("ordered_by", &self.ordered_by.router),
            ("term", &self.ordered_by.term),
        ] {
            if let Some(value) = value {
                entry["parameters"][key] = value.as_str().into();
            }
        }
        entry
    }
}

impl Worker {
    /// The functions it has in memory, sorted by name, read directly and not through its index.
    pub fn loaded_functions(&self) -> Vec<LoadedFunctionInfo> {
        self.shared
            .with_incarnation(|incarnation| incarnation.held())
            .unwrap_or_default()
    }

    /// Id of its present process; 0 while there is none.
    pub fn incarnation_id(&self) -> u64 {
        self.shared
            .with_incarnation(|incarnation| incarnation.id())
            .unwrap_or(0)
    }
}

/// Answers with the index, altered by injected faults.
pub(super) async fn answer(
    worker: Arc<WorkerShared>,
    from: String,
    request: Request<Incoming>,
) -> Response<Body> {
    let body = Limited::new(request.into_body(), MAX_REQUEST)
        .collect()
        .await;
    let Ok(body) = body else {
        return full(StatusCode::BAD_REQUEST, "");
    };
    let query: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    worker.until_responsive().await;
    // All of one moment.
    let snapshot = worker.with_incarnation(|incarnation| {
        (
            incarnation.id(),
            incarnation.memory_used_mb(),
            incarnation.held(),
        )
    });
    let Some((incarnation, memory_used, held)) = snapshot else {
        return full(StatusCode::SERVICE_UNAVAILABLE, "");
    };
    let listed = held
        .iter()
        .filter(|h| query["ready"] != true || h.state == "READY");
    let entries = worker.falsify_index(listed.map(LoadedFunctionInfo::entry).collect());
    worker
        .log
        .write("index", json!({"from": from, "entries": entries.len()}));
    let mut response = full(StatusCode::OK, Value::from(entries).to_string());
    let figures = [
        (INCARNATION_HEADER, incarnation),
        (MEMORY_HEADER, worker.profile.memory_mb as u64),
        (MEMORY_USED_HEADER, memory_used.ceil() as u64),
    ];
    for (name, figure) in figures {
        response
            .headers_mut()
            .insert(name, HeaderValue::from(figure));
    }
    response
}

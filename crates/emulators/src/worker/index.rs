//! The repository index (`POST /v2/repository/index`), which lists the functions that a worker has in memory.

use std::sync::Arc;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};

use super::routes::header;
use super::{Worker, WorkerShared};
use crate::http::{Body, response_with};

/// Separates model name and version in the name of a function, as in paths.
pub(super) const VERSION_SEPARATOR: &str = "/versions/";
const INCARNATION_HEADER: &str = "cedarpulley-life";
const MEMORY_HEADER: &str = "cedarpulley-memory-mb";
const MEMORY_USED_HEADER: &str = "cedarpulley-memory-used-mb";
const MAX_REQUEST_BYTES: usize = 64 << 10;

/// The router that issued an order, and its term, if the order names them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrderIssuer {
    /// Name of the router.
    pub router: Option<String>,
    /// Leadership term of the router.
    pub term: Option<String>,
}

impl OrderIssuer {
    pub(super) fn of(request: &Request<Incoming>) -> Self {
        let value = |name: &str| Some(header(request, name)).filter(|v| !v.is_empty());
        OrderIssuer {
            router: value("cedarpulley-router"),
            term: value("cedarpulley-term"),
        }
    }
}

/// A function in memory; a version of a model is a function.
#[derive(Clone, Debug)]
pub struct LoadedFunctionInfo {
    /// `NAME` or `NAME/versions/VERSION`.
    pub function: String,
    /// "READY" or "LOADING".
    pub state: &'static str,
    /// Number of its copies in memory.
    pub copies: usize,
    /// Number of invocations that run on the function or wait for it.
    pub busy: usize,
    /// Microseconds since the last use; 0 while the function is busy.
    pub idle_us: u64,
    /// The issuer of the last load order for the function that named its issuer.
    pub ordered_by: OrderIssuer,
    /// Ids of the sequences whose prefixes are cached.
    pub sequences: Vec<String>,
}

impl LoadedFunctionInfo {
    fn entry(&self) -> Value {
        let (name, version) = match self.function.split_once(VERSION_SEPARATOR) {
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
    /// The functions in memory, sorted by name. They are read directly, so a falsified index does not affect them.
    pub fn loaded_functions(&self) -> Vec<LoadedFunctionInfo> {
        self.shared
            .with_incarnation(|incarnation| incarnation.loaded_functions())
            .unwrap_or_default()
    }

    /// Id of the current process; 0 after [`Worker::crash`].
    pub fn incarnation_id(&self) -> u64 {
        self.shared
            .with_incarnation(|incarnation| incarnation.id())
            .unwrap_or(0)
    }
}

/// Responds with the index, altered by injected faults.
pub(super) async fn answer(
    worker: Arc<WorkerShared>,
    from: String,
    request: Request<Incoming>,
) -> Response<Body> {
    let body = Limited::new(request.into_body(), MAX_REQUEST_BYTES)
        .collect()
        .await;
    let Ok(body) = body else {
        return response_with(StatusCode::BAD_REQUEST, "");
    };
    let query: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    worker.until_responsive().await;
    // One lock, so that all values belong to the same moment.
    let snapshot = worker.with_incarnation(|incarnation| {
        (
            incarnation.id(),
            incarnation.memory_used_mb(),
            incarnation.loaded_functions(),
        )
    });
    let Some((incarnation, memory_used, functions)) = snapshot else {
        return response_with(StatusCode::SERVICE_UNAVAILABLE, "");
    };
    let listed = functions
        .iter()
        .filter(|function| query["ready"] != true || function.state == "READY");
    let entries = worker.falsify_index(listed.map(LoadedFunctionInfo::entry).collect());
    worker
        .log
        .write("index", json!({"from": from, "entries": entries.len()}));
    let mut response = response_with(StatusCode::OK, Value::from(entries).to_string());
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

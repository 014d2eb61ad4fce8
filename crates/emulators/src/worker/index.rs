//! What a worker holds, as `POST /v2/repository/index` tells it and as tests see it without asking over a socket.

use std::sync::Arc;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};

use super::drift::told;
use super::{Inner, Life, Worker, header};
use crate::http::{Body, full};
use crate::lock;

/// Parts the version from the name in a function's name, as it does in paths.
pub(super) const VERSIONS: &str = "/versions/";
pub(super) const LIFE: &str = "cedarpulley-life";
const MEMORY: &str = "cedarpulley-memory-mb";
const MEMORY_USED: &str = "cedarpulley-memory-used-mb";
const MOST_QUESTION: usize = 64 << 10;

/// By whom an order is, and in which term, where it says so.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orderer {
    pub router: Option<String>,
    pub term: Option<String>,
}

impl Orderer {
    pub(super) fn of(request: &Request<Incoming>) -> Self {
        let said = |name: &str| Some(header(request, name)).filter(|v| !v.is_empty());
        Orderer {
            router: said("cedarpulley-router"),
            term: said("cedarpulley-term"),
        }
    }
}

/// One function with its version, as it is held.
#[derive(Clone, Debug)]
pub struct Held {
    pub function: String,
    /// "READY", "LOADING" or "UNAVAILABLE".
    pub state: &'static str,
    pub copies: usize,
    pub busy: usize,
    pub idle_us: u64,
    pub by: Orderer,
    pub sequences: Vec<String>,
}

impl Held {
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
        for (key, value) in [("ordered_by", &self.by.router), ("term", &self.by.term)] {
            if let Some(value) = value {
                entry["parameters"][key] = value.as_str().into();
            }
        }
        entry
    }
}

impl Worker {
    /// What it holds in truth, by name.
    pub fn held(&self) -> Vec<Held> {
        lock(&self.inner.life)
            .as_ref()
            .map(held)
            .unwrap_or_default()
    }

    /// The number of its present process; 0 while there is none.
    pub fn life(&self) -> u64 {
        lock(&self.inner.life).as_ref().map_or(0, |l| l.number)
    }
}

fn held(life: &Life) -> Vec<Held> {
    let mut all: Vec<Held> = Vec::new();
    for (function, c) in &life.copies {
        all.push(Held {
            function: function.clone(),
            state: match c.stands {
                None => "LOADING",
                Some(true) => "READY",
                Some(false) => "UNAVAILABLE",
            },
            copies: c.copies,
            busy: c.busy,
            idle_us: if c.busy > 0 {
                0
            } else {
                c.used.elapsed().as_micros() as u64
            },
            by: c.by.clone(),
            sequences: c.prefixes.ids(),
        });
    }
    all.sort_by(|a, b| a.function.cmp(&b.function));
    all
}

pub(super) async fn answer(
    it: Arc<Inner>,
    from: String,
    request: Request<Incoming>,
) -> Response<Body> {
    let body = Limited::new(request.into_body(), MOST_QUESTION)
        .collect()
        .await;
    let Ok(body) = body else {
        return full(StatusCode::BAD_REQUEST, "");
    };
    let asked: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    it.while_still().await;
    // All of one moment.
    let moment = lock(&it.life).as_ref().map(|l| {
        (
            l.number,
            l.copies.values().map(|c| c.mb).sum::<f64>(),
            held(l),
        )
    });
    let Some((life, used, held)) = moment else {
        return full(StatusCode::SERVICE_UNAVAILABLE, "");
    };
    let held = held
        .iter()
        .filter(|h| asked["ready"] != true || h.state == "READY");
    let entries = told(&it, held.map(Held::entry).collect());
    it.log
        .write("index", json!({"from": from, "entries": entries.len()}));
    let mut response = full(StatusCode::OK, Value::from(entries).to_string());
    let figures = [
        (LIFE, life),
        (MEMORY, it.nature.memory_mb as u64),
        (MEMORY_USED, used.ceil() as u64),
    ];
    for (name, figure) in figures {
        response
            .headers_mut()
            .insert(name, HeaderValue::from(figure));
    }
    response
}

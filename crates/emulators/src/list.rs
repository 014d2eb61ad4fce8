//! The worker list, published as Kubernetes endpoint slices: a listing and a watch. Changes reach each watcher
//! late, by as much as is set. What was told to whom is logged as it goes out.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};

use crate::http::{Body, Cut, Server, full};
use crate::{Ground, Log, lock};

/// Without changes a watcher hears so often that all is as it was.
const BOOKMARK: Duration = Duration::from_secs(4);
/// Changes that are kept; a watch from before them is told to list anew.
const KEPT: usize = 1000;
/// How often a watch looks for changes.
const LOOK: Duration = Duration::from_millis(5);
const FIRST_VERSION: u64 = 100;

#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u32,
    pub draining: bool,
    pub start: u32,
    pub started_us: i64,
}

struct State {
    version: u64,
    rows: BTreeMap<String, (u64, Row)>,
    /// Version, when it happened, and the line that tells it.
    changes: Vec<(u64, std::time::Instant, &'static str, Value)>,
    late: Duration,
    seen_as: Option<SeenAs>,
}

/// The address by which a watcher is told of a worker.
type SeenAs = Arc<dyn Fn(IpAddr, SocketAddr) -> SocketAddr + Send + Sync>;

pub struct List {
    pub server: Server,
    log: Log,
    state: Arc<Mutex<State>>,
}

fn slice(name: &str, version: u64, row: &Row) -> Value {
    json!({
        "metadata": {
            "name": name, "resourceVersion": version.to_string(),
            "annotations": {
                "cedarpulley/kind": row.kind, "cedarpulley/cell": row.cell.to_string(),
                "cedarpulley/started-at-us": row.started_us.to_string(),
            },
        },
        "addressType": "IPv4",
        "ports": [{"port": row.address.port()}],
        "endpoints": [{
            "addresses": [row.address.ip().to_string()],
            "conditions": {"ready": !row.draining, "serving": true, "terminating": row.draining},
            "zone": row.zone,
            "targetRef": {"uid": format!("{name}-{}", row.start)},
        }],
    })
}

impl List {
    pub fn start(ground: &Ground, name: &str, address: SocketAddr) -> std::io::Result<List> {
        let log = ground.log(name)?;
        let late = Duration::ZERO;
        let state = State {
            version: FIRST_VERSION,
            rows: BTreeMap::new(),
            changes: Vec::new(),
            late,
            seen_as: None,
        };
        let state = Arc::new(Mutex::new(state));
        let (its_state, its_log) = (state.clone(), log.clone());
        let handle = move |from: SocketAddr, request: Request<Incoming>| {
            let (state, log) = (its_state.clone(), its_log.clone());
            async move { answer(state, log, from.ip(), request) }
        };
        let server = Server::start(ground, address, Cut::default(), handle)?;
        Ok(List { server, log, state })
    }

    /// In service, draining or started anew.
    pub fn put(&self, name: &str, row: Row) {
        let mut state = lock(&self.state);
        state.version += 1;
        let version = state.version;
        let object = slice(name, version, &row);
        state.rows.insert(name.to_owned(), (version, row));
        changed(&mut state, "MODIFIED", object);
    }

    pub fn remove(&self, name: &str) {
        let mut state = lock(&self.state);
        let Some((_, row)) = state.rows.remove(name) else {
            return;
        };
        state.version += 1;
        let object = slice(name, state.version, &row);
        changed(&mut state, "DELETED", object);
    }

    /// Watchers hear of changes so much later.
    pub fn late(&self, late: Duration) {
        lock(&self.state).late = late;
    }

    /// Watchers are told of other addresses than the workers' own, which the log keeps naming.
    pub fn seen_as(
        &self,
        address: impl Fn(IpAddr, SocketAddr) -> SocketAddr + Send + Sync + 'static,
    ) {
        lock(&self.state).seen_as = Some(Arc::new(address));
    }

    pub fn flush(&self) {
        self.log.flush();
    }
}

fn changed(state: &mut State, what: &'static str, object: Value) {
    let version = state.version;
    state
        .changes
        .push((version, std::time::Instant::now(), what, object));
    if state.changes.len() > KEPT {
        state.changes.remove(0);
    }
}

fn tell(log: &Log, to: IpAddr, what: &str, object: &Value) {
    let endpoint = &object["endpoints"][0];
    let address = format!(
        "{}:{}",
        endpoint["addresses"][0].as_str().unwrap_or(""),
        object["ports"][0]["port"]
    );
    log.write(
        "told",
        json!({
            "to": to.to_string(), "worker": address, "gone": what == "DELETED",
            "draining": endpoint["conditions"]["terminating"], "uid": endpoint["targetRef"]["uid"],
        }),
    );
}

impl State {
    fn seen(&self, to: IpAddr, mut object: Value) -> Value {
        let Some(seen_as) = &self.seen_as else {
            return object;
        };
        let ip = object["endpoints"][0]["addresses"][0]
            .as_str()
            .and_then(|ip| ip.parse().ok());
        let port = object["ports"][0]["port"].as_u64();
        if let (Some(ip), Some(port)) = (ip, port) {
            let address = seen_as(to, SocketAddr::new(ip, port as u16));
            object["endpoints"][0]["addresses"][0] = address.ip().to_string().into();
            object["ports"][0]["port"] = address.port().into();
        }
        object
    }
}

fn answer(
    state: Arc<Mutex<State>>,
    log: Log,
    to: IpAddr,
    request: Request<Incoming>,
) -> Response<Body> {
    let query = request.uri().query().unwrap_or("").to_owned();
    let seen = query
        .split('&')
        .find_map(|p| p.strip_prefix("resourceVersion=")?.parse::<u64>().ok());
    let locked = lock(&state);
    if !query.contains("watch=1") {
        let items: Vec<Value> = locked
            .rows
            .iter()
            .map(|(n, (v, r))| slice(n, *v, r))
            .collect();
        items.iter().for_each(|i| tell(&log, to, "ADDED", i));
        let all: Vec<String> = locked
            .rows
            .values()
            .map(|(_, r)| r.address.to_string())
            .collect();
        log.write("listed", json!({"to": to.to_string(), "workers": all}));
        let items: Vec<Value> = items.into_iter().map(|i| locked.seen(to, i)).collect();
        let version = locked.version.to_string();
        let list = json!({"kind": "EndpointSliceList", "metadata": {"resourceVersion": version}, "items": items});
        return full(StatusCode::OK, list.to_string());
    }
    let oldest = locked.changes.first().map_or(locked.version + 1, |c| c.0);
    if seen.is_none_or(|s| s + 1 < oldest) {
        return full(StatusCode::GONE, "");
    }
    drop(locked);
    let lines = futures_lite::stream::unfold(seen.unwrap_or(0), move |at| {
        let (state, log) = (state.clone(), log.clone());
        async move {
            let (version, line) = next_line(&state, &log, to, at).await;
            Some((
                Ok::<_, Infallible>(Frame::data(Bytes::from(format!("{line}\n")))),
                version,
            ))
        }
    });
    Response::new(StreamBody::new(lines).boxed())
}

/// The next line for a watcher that has seen all up to a version.
async fn next_line(state: &Mutex<State>, log: &Log, to: IpAddr, at: u64) -> (u64, Value) {
    let quiet = std::time::Instant::now();
    loop {
        {
            let state = lock(state);
            let due = state
                .changes
                .iter()
                .find(|c| c.0 > at && c.1.elapsed() >= state.late);
            if let Some((version, _, what, object)) = due {
                tell(log, to, what, object);
                return (
                    *version,
                    json!({"type": what, "object": state.seen(to, object.clone())}),
                );
            }
            if quiet.elapsed() >= BOOKMARK {
                let object = json!({"metadata": {"resourceVersion": at.to_string()}});
                return (at, json!({"type": "BOOKMARK", "object": object}));
            }
        }
        Timer::after(LOOK).await;
    }
}

//! The worker list, published as Kubernetes endpoint slices: a listing and a watch. Changes reach each watcher with a
//! delay that can be set. What is sent to whom is logged.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_io::Timer;
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};

use crate::http::{Body, Partition, Server, full};
use crate::{Host, Log, lock};

/// Without changes a watcher gets a bookmark this often.
const BOOKMARK_INTERVAL: Duration = Duration::from_secs(4);
/// Changes that are retained; a watch from before them is answered 410 and has to list again.
const MAX_RETAINED_CHANGES: usize = 1000;
/// How often a watch checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const FIRST_VERSION: u64 = 100;

/// One worker as the list publishes it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Where the worker listens.
    pub address: SocketAddr,
    /// The zone it is in.
    pub zone: String,
    /// Its hardware kind.
    pub kind: String,
    /// The cell it belongs to.
    pub cell: u32,
    /// It is to be given no new work.
    pub draining: bool,
    /// How often it has been started; part of its uid.
    pub start: u32,
    /// When its process began, in microseconds of Unix time; 0 if it was there all along.
    pub started_us: i64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchEventType {
    Added,
    Modified,
    Deleted,
}

impl WatchEventType {
    fn as_str(self) -> &'static str {
        match self {
            WatchEventType::Added => "ADDED",
            WatchEventType::Modified => "MODIFIED",
            WatchEventType::Deleted => "DELETED",
        }
    }
}

struct Change {
    version: u64,
    at: Instant,
    event: WatchEventType,
    object: Value,
}

struct PublishedRow {
    version: u64,
    row: EndpointRecord,
}

struct State {
    version: u64,
    rows: BTreeMap<String, PublishedRow>,
    /// Oldest first.
    changes: Vec<Change>,
    delay: Duration,
    address_seen: Option<AddressSeen>,
}

/// The address under which a watcher is to see a worker.
type AddressSeen = Arc<dyn Fn(IpAddr, SocketAddr) -> SocketAddr + Send + Sync>;

/// An emulated worker list.
pub struct EndpointList {
    /// The server that it listens with.
    pub server: Server,
    shared: Shared,
}

/// What the list's handle and its requests share.
#[derive(Clone)]
struct Shared {
    log: Log,
    state: Arc<Mutex<State>>,
}

fn endpoint_slice(name: &str, version: u64, row: &EndpointRecord) -> Value {
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

impl EndpointList {
    /// Starts an empty list.
    ///
    /// # Errors
    /// When its log cannot be created or its address cannot be bound.
    pub fn start(host: &Host, name: &str, address: SocketAddr) -> std::io::Result<EndpointList> {
        let state = State {
            version: FIRST_VERSION,
            rows: BTreeMap::new(),
            changes: Vec::new(),
            delay: Duration::ZERO,
            address_seen: None,
        };
        let shared = Shared {
            log: host.log(name)?,
            state: Arc::new(Mutex::new(state)),
        };
        let serving = shared.clone();
        let handle = move |from: SocketAddr, request: Request<Incoming>| {
            let list = serving.clone();
            async move { list.answer(from.ip(), &request) }
        };
        let server = Server::start(host, address, Partition::default(), handle)?;
        Ok(EndpointList { server, shared })
    }

    /// Publishes a worker, new or changed.
    pub fn publish(&self, name: &str, row: EndpointRecord) {
        let mut state = lock(&self.shared.state);
        state.version += 1;
        let version = state.version;
        let object = endpoint_slice(name, version, &row);
        state
            .rows
            .insert(name.to_owned(), PublishedRow { version, row });
        state.record(WatchEventType::Modified, object);
    }

    /// Withdraws a worker.
    pub fn remove(&self, name: &str) {
        let mut state = lock(&self.shared.state);
        let Some(removed) = state.rows.remove(name) else {
            return;
        };
        state.version += 1;
        let object = endpoint_slice(name, state.version, &removed.row);
        state.record(WatchEventType::Deleted, object);
    }

    /// Watchers get changes with this delay.
    pub fn set_delay(&self, late: Duration) {
        lock(&self.shared.state).delay = late;
    }

    /// Watchers see workers under other addresses than the workers' own, which the log keeps naming.
    pub fn set_addresses_seen(
        &self,
        address: impl Fn(IpAddr, SocketAddr) -> SocketAddr + Send + Sync + 'static,
    ) {
        lock(&self.shared.state).address_seen = Some(Arc::new(address));
    }

    /// Writes buffered log lines out.
    pub fn flush(&self) {
        self.shared.log.flush();
    }
}

impl State {
    fn record(&mut self, event: WatchEventType, object: Value) {
        self.changes.push(Change {
            version: self.version,
            at: Instant::now(),
            event,
            object,
        });
        if self.changes.len() > MAX_RETAINED_CHANGES {
            self.changes.remove(0);
        }
    }

    /// An endpoint slice with the address under which this watcher is to see the worker.
    fn as_seen_by(&self, watcher: IpAddr, mut object: Value) -> Value {
        let Some(address_seen) = &self.address_seen else {
            return object;
        };
        let ip = object["endpoints"][0]["addresses"][0]
            .as_str()
            .and_then(|ip| ip.parse().ok());
        let port = object["ports"][0]["port"].as_u64();
        if let (Some(ip), Some(port)) = (ip, port) {
            let address = address_seen(watcher, SocketAddr::new(ip, port as u16));
            object["endpoints"][0]["addresses"][0] = address.ip().to_string().into();
            object["ports"][0]["port"] = address.port().into();
        }
        object
    }
}

impl Shared {
    /// Logs that a watcher is sent a worker's state.
    fn log_sent(&self, watcher: IpAddr, event: WatchEventType, object: &Value) {
        let endpoint = &object["endpoints"][0];
        let address = format!(
            "{}:{}",
            endpoint["addresses"][0].as_str().unwrap_or(""),
            object["ports"][0]["port"]
        );
        self.log.write(
            "told",
            json!({
                "to": watcher.to_string(), "worker": address, "gone": event == WatchEventType::Deleted,
                "draining": endpoint["conditions"]["terminating"], "uid": endpoint["targetRef"]["uid"],
            }),
        );
    }

    fn answer(&self, watcher: IpAddr, request: &Request<Incoming>) -> Response<Body> {
        let query = request.uri().query().unwrap_or("");
        if !query.contains("watch=1") {
            return self.list(watcher);
        }
        let seen = query
            .split('&')
            .find_map(|p| p.strip_prefix("resourceVersion=")?.parse::<u64>().ok());
        self.watch(watcher, seen)
    }

    fn list(&self, watcher: IpAddr) -> Response<Body> {
        let state = lock(&self.state);
        let items: Vec<Value> = state
            .rows
            .iter()
            .map(|(name, published)| endpoint_slice(name, published.version, &published.row))
            .collect();
        for item in &items {
            self.log_sent(watcher, WatchEventType::Added, item);
        }
        let addresses: Vec<String> = state
            .rows
            .values()
            .map(|published| published.row.address.to_string())
            .collect();
        self.log.write(
            "listed",
            json!({"to": watcher.to_string(), "workers": addresses}),
        );
        let items: Vec<Value> = items
            .into_iter()
            .map(|item| state.as_seen_by(watcher, item))
            .collect();
        let list = json!({
            "kind": "EndpointSliceList",
            "metadata": {"resourceVersion": state.version.to_string()},
            "items": items,
        });
        full(StatusCode::OK, list.to_string())
    }

    /// A stream of the changes after the version that the watcher has seen.
    fn watch(&self, watcher: IpAddr, seen: Option<u64>) -> Response<Body> {
        {
            let state = lock(&self.state);
            let oldest = state
                .changes
                .first()
                .map_or(state.version + 1, |change| change.version);
            if seen.is_none_or(|seen| seen + 1 < oldest) {
                return full(StatusCode::GONE, "");
            }
        }
        let list = self.clone();
        let lines = futures_lite::stream::unfold(seen.unwrap_or(0), move |seen| {
            let list = list.clone();
            async move {
                let (version, line) = list.next_line(watcher, seen).await;
                let line = Frame::data(Bytes::from(format!("{line}\n")));
                Some((Ok::<_, Infallible>(line), version))
            }
        });
        Response::new(StreamBody::new(lines).boxed())
    }

    /// The next watch event, or a bookmark, for a watcher that has seen all up to a version.
    async fn next_line(&self, watcher: IpAddr, seen: u64) -> (u64, Value) {
        let began = Instant::now();
        loop {
            {
                let state = lock(&self.state);
                let due = state
                    .changes
                    .iter()
                    .find(|change| change.version > seen && change.at.elapsed() >= state.delay);
                if let Some(change) = due {
                    self.log_sent(watcher, change.event, &change.object);
                    let object = state.as_seen_by(watcher, change.object.clone());
                    let line = json!({"type": change.event.as_str(), "object": object});
                    return (change.version, line);
                }
                if began.elapsed() >= BOOKMARK_INTERVAL {
                    let object = json!({"metadata": {"resourceVersion": seen.to_string()}});
                    return (seen, json!({"type": "BOOKMARK", "object": object}));
                }
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }
}

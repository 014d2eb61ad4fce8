//! The emulated endpoint list, published as Kubernetes endpoint slices with a list and a watch request. Changes reach
//! watchers after a configurable delay. Everything that is sent to a watcher is logged.

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

use crate::http::{Body, Partition, Server, response_with};
use crate::{Host, Log, lock};

/// Interval at which a watcher receives a bookmark while there are no changes.
const BOOKMARK_INTERVAL: Duration = Duration::from_secs(4);
/// Number of changes that are retained. A watch that starts before them is answered with status 410 (Gone), and the
/// watcher has to list again.
const MAX_RETAINED_CHANGES: usize = 1000;
/// Interval at which a watch checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Resource version of the empty list.
const FIRST_VERSION: u64 = 100;

/// The entry of one worker in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// The address that the worker listens on.
    pub address: SocketAddr,
    /// The zone of the worker.
    pub zone: String,
    /// The hardware kind of the worker.
    pub kind: String,
    /// The cell of the worker.
    pub cell: u32,
    /// The worker is draining and must get no new work.
    pub draining: bool,
    /// How often the worker has been started; part of the published uid.
    pub start: u32,
    /// Start of the worker's process, as Unix time in microseconds; 0 if the worker was never restarted.
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

/// A change of the list, with the event that watchers receive.
struct Change {
    version: u64,
    at: Instant,
    event: WatchEventType,
    object: Value,
}

/// A published entry with the resource version at which it last changed.
struct PublishedRow {
    version: u64,
    row: EndpointRecord,
}

struct State {
    version: u64,
    rows: BTreeMap<String, PublishedRow>,
    /// The retained changes, oldest first.
    changes: Vec<Change>,
    delay: Duration,
    address_seen: Option<AddressSeen>,
}

/// Returns the address at which a watcher sees a worker, given the IP address of the watcher and the worker's own
/// address.
type AddressSeen = Arc<dyn Fn(IpAddr, SocketAddr) -> SocketAddr + Send + Sync>;

/// An emulated endpoint list.
pub struct EndpointList {
    /// The HTTP server of the list.
    pub server: Server,
    shared: Shared,
}

/// State shared by the handle of the list and its requests.
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
    /// Fails if the log cannot be created or the address cannot be bound.
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

    /// Adds a worker to the list or changes its entry.
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

    /// Removes a worker from the list.
    pub fn remove(&self, name: &str) {
        let mut state = lock(&self.shared.state);
        let Some(removed) = state.rows.remove(name) else {
            return;
        };
        state.version += 1;
        let object = endpoint_slice(name, state.version, &removed.row);
        state.record(WatchEventType::Deleted, object);
    }

    /// Sets the delay with which watchers receive changes.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.shared.state).delay = delay;
    }

    /// Publishes other addresses to watchers than the workers' own. The log still contains the workers' own addresses.
    pub fn set_addresses_seen(
        &self,
        address: impl Fn(IpAddr, SocketAddr) -> SocketAddr + Send + Sync + 'static,
    ) {
        lock(&self.shared.state).address_seen = Some(Arc::new(address));
    }

    /// Writes buffered log lines to the log file.
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

    /// Returns the endpoint slice with the address at which this watcher sees the worker.
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
    /// Logs that the state of a worker is sent to a watcher.
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
        response_with(StatusCode::OK, list.to_string())
    }

    /// Streams the changes after the version that the watcher has seen.
    fn watch(&self, watcher: IpAddr, seen: Option<u64>) -> Response<Body> {
        {
            let state = lock(&self.state);
            let oldest = state
                .changes
                .first()
                .map_or(state.version + 1, |change| change.version);
            if seen.is_none_or(|seen| seen + 1 < oldest) {
                return response_with(StatusCode::GONE, "");
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

    /// Returns the next watch event, or a bookmark, for a watcher that has seen all changes up to the version `seen`,
    /// with the version that the watcher has seen afterwards.
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

//! Watches the worker list over HTTP in the form of Kubernetes endpoint slices (a listing, then a watch from
//! its version). `cedarpulley_router::roster` decides what to make of it.

use std::net::SocketAddr;
use std::rc::Rc;

use async_executor::Task;
use async_io::Timer;
use bytes::Bytes;
use cedarpulley::interface::{EndpointState, Micros};
use cedarpulley_net::{connect, duration_from_micros};
use cedarpulley_router::Input;
use cedarpulley_router::backoff::Backoff;
use cedarpulley_router::endpoint_list::{
    EndpointList, EndpointSlice, ListAction, ListedWorker, SliceEntry, WatchEvent,
};
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use serde_json::Value;
use smol_hyper::rt::FuturesIo;

use crate::context::GatewayContext;

const PATH: &str = "/apis/discovery.k8s.io/v1/endpointslices";
const CONNECT_TIMEOUT: Micros = 1_000_000;
/// Time limit for a listing, in microseconds.
const LIST_TIMEOUT: Micros = 5_000_000;
/// A watch that is silent for longer is broken, as the publisher sends bookmarks. In microseconds.
const WATCH_IDLE_TIMEOUT: Micros = 15_000_000;
/// Limits on a line of the watch and on a whole listing.
const MAX_LINE_BYTES: usize = 1 << 20;
const MAX_LISTING_BYTES: usize = 64 << 20;

/// Watches for as long as the router runs. `filter` sees and may change each event; it does so only in tests
/// of the auditor.
pub async fn watch(
    context: Rc<GatewayContext>,
    address: SocketAddr,
    filter: impl Fn(WatchEvent) -> WatchEvent,
) {
    let mut roster = EndpointList::default();
    let mut backoff = Backoff::new(context.seed ^ 0x11_57);
    let mut next = ListAction::RequestListing;
    loop {
        let began = context.clock.now();
        let event = match &next {
            ListAction::Watch(version) => {
                follow_watch(&context, address, *version, &mut roster, &filter).await
            }
            _ => fetch_list(&context, address).await,
        };
        let failed = matches!(event, WatchEvent::WatchEnded { .. });
        next = apply(&context, &mut roster, filter(event)).unwrap_or(ListAction::RequestListing);
        if failed || matches!(next, ListAction::RequestListing) {
            let now = context.clock.now();
            Timer::at(context.clock.instant(now + backoff.next_delay(now - began))).await;
        }
    }
}

/// Reports an event to the core; returns the next step.
fn apply(
    context: &GatewayContext,
    roster: &mut EndpointList,
    event: WatchEvent,
) -> Option<ListAction> {
    let mut next = None;
    for step in roster.handle(context.clock.now(), event) {
        match step {
            ListAction::UpdateRouter {
                kind: mode,
                workers,
            } => context.feed(Input::EndpointList {
                kind: mode,
                workers,
            }),
            step => next = Some(step),
        }
    }
    next
}

/// A response being read; dropping it closes the connection.
struct StreamingResponse {
    status: u16,
    body: Incoming,
    _driver: Task<()>,
}

async fn get(
    context: &GatewayContext,
    address: SocketAddr,
    path: &str,
) -> Option<StreamingResponse> {
    let stream = connect(address, context.local_address, CONNECT_TIMEOUT)
        .await
        .ok()?;
    let (mut sender, connection) = http1::handshake(FuturesIo::new(stream)).await.ok()?;
    let _driver = context.executor.spawn(async move {
        // A failure shows in the body.
        let _ = connection.await;
    });
    let request = Request::get(path)
        .header("host", address.to_string())
        .header("accept", "application/json");
    let asked = sender.send_request(request.body(Empty::<Bytes>::new()).ok()?);
    let timeout = async {
        Timer::after(duration_from_micros(LIST_TIMEOUT)).await;
        None
    };
    let answer = async { asked.await.ok() }.or(timeout).await?;
    Some(StreamingResponse {
        status: answer.status().as_u16(),
        body: answer.into_body(),
        _driver,
    })
}

impl StreamingResponse {
    /// Appends the next part of the body to the buffer. False at the end, on errors and after `limit` without
    /// data.
    async fn read_more(&mut self, buffer: &mut Vec<u8>, limit: Micros) -> bool {
        let timeout = async {
            Timer::after(duration_from_micros(limit)).await;
            None
        };
        match self.body.frame().or(timeout).await {
            Some(Ok(frame)) => {
                buffer.extend_from_slice(frame.data_ref().map_or(&[], |d| d.as_ref()));
                true
            }
            _ => false,
        }
    }
}

async fn fetch_list(context: &GatewayContext, address: SocketAddr) -> WatchEvent {
    let broken = WatchEvent::WatchEnded { too_old: false };
    let Some(mut response) = get(context, address, PATH)
        .await
        .filter(|r| r.status == 200)
    else {
        return broken;
    };
    let mut buffer = Vec::new();
    while buffer.len() < MAX_LISTING_BYTES && response.read_more(&mut buffer, LIST_TIMEOUT).await {}
    // A listing that broke off is not a complete value.
    let Ok(value) = serde_json::from_slice::<Value>(&buffer) else {
        return broken;
    };
    let version = resource_version(&value);
    let items = value["items"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    match version {
        Some(version) => WatchEvent::Listing {
            version,
            slices: items
                .iter()
                .filter_map(|i| parse_slice(context, i))
                .collect(),
        },
        None => broken,
    }
}

async fn follow_watch(
    context: &GatewayContext,
    address: SocketAddr,
    from: u64,
    roster: &mut EndpointList,
    filter: &impl Fn(WatchEvent) -> WatchEvent,
) -> WatchEvent {
    let broken = |too_old| WatchEvent::WatchEnded { too_old };
    let path = format!("{PATH}?watch=1&allowWatchBookmarks=true&resourceVersion={from}");
    let Some(mut response) = get(context, address, &path).await else {
        return broken(false);
    };
    if response.status != 200 {
        return broken(response.status == 410);
    }
    let mut buffer = Vec::new();
    while response.read_more(&mut buffer, WATCH_IDLE_TIMEOUT).await {
        while let Some(end) = buffer.iter().position(|&b| b == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let Ok(value) = serde_json::from_slice::<Value>(&line) else {
                return broken(false);
            };
            let object = &value["object"];
            let event = match value["type"].as_str() {
                Some("ADDED" | "MODIFIED") => parse_slice(context, object).map(WatchEvent::Changed),
                Some("DELETED") => object["metadata"]["name"]
                    .as_str()
                    .zip(resource_version(object))
                    .map(|(name, version)| WatchEvent::Removed {
                        name: name.to_owned(),
                        version,
                    }),
                Some("BOOKMARK") => resource_version(object).map(WatchEvent::Bookmark),
                // A status object; 410: the requested version is no longer kept.
                _ => return broken(object["code"].as_u64() == Some(410)),
            };
            if let Some(event) = event {
                apply(context, roster, filter(event));
            }
        }
        if buffer.len() > MAX_LINE_BYTES {
            return broken(false);
        }
    }
    broken(false)
}

fn resource_version(object: &Value) -> Option<u64> {
    object["metadata"]["resourceVersion"].as_str()?.parse().ok()
}

/// Parses one slice; endpoints that are malformed are left out.
fn parse_slice(context: &GatewayContext, object: &Value) -> Option<EndpointSlice> {
    let name = object["metadata"]["name"].as_str()?.to_owned();
    let version = resource_version(object)?;
    let port = object["ports"].as_array()?.first()?["port"].as_u64()?;
    let annotation = |key: &str| object["metadata"]["annotations"][key].as_str();
    let index = |names: &[String], name: Option<&str>| {
        name.and_then(|n| names.iter().position(|k| k == n))
            .unwrap_or(0) as u32
    };
    // The start by the wall clock, converted to the router's clock.
    let started = annotation("cedarpulley/started-at-us").and_then(|t| t.parse::<Micros>().ok());
    let started = started
        .filter(|&s| s > 0)
        .map(|s| context.clock.now() - (context.clock.wall_time() - s));
    let mut entries = Vec::new();
    for endpoint in object["endpoints"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default()
    {
        let Some(ip) = endpoint["addresses"][0].as_str() else {
            continue;
        };
        let Ok(address) = format!("{ip}:{port}").parse::<SocketAddr>() else {
            continue;
        };
        if !address.ip().is_loopback() {
            continue;
        }
        let conditions = &endpoint["conditions"];
        // An absent condition means ready, by the format's specification.
        let ready = conditions["ready"].as_bool().unwrap_or(true);
        let draining = conditions["terminating"].as_bool().unwrap_or(false) || !ready;
        let worker = ListedWorker {
            address: address.to_string(),
            zone: index(&context.names.zones, endpoint["zone"].as_str()),
            machine_kind: index(&context.names.machine_kinds, annotation("cedarpulley/kind")),
            cell: annotation("cedarpulley/cell")
                .and_then(|c| c.parse().ok())
                .unwrap_or(0),
            state: if draining {
                EndpointState::Draining
            } else {
                EndpointState::InService
            },
            weight: 1.0,
            started_at: started,
        };
        let start_mark = endpoint["targetRef"]["uid"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        entries.push(SliceEntry { worker, start_mark });
    }
    Some(EndpointSlice {
        name,
        version,
        entries,
    })
}

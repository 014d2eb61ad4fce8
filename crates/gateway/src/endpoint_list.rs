//! Watches the endpoint list over HTTP, published as Kubernetes endpoint slices: requests a listing, then a watch from
//! the version of the listing. `cedarpulley_router::endpoint_list` interprets the events.

use std::net::SocketAddr;
use std::rc::Rc;

use async_io::Timer;
use bytes::Bytes;
use cedarpulley::interface::{EndpointState, Micros};
use cedarpulley_net::{FairStream, LoopShare, connect, duration_from_micros};
use cedarpulley_router::Input;
use cedarpulley_router::backoff::Backoff;
use cedarpulley_router::endpoint_list::{
    EndpointList, EndpointListAction, EndpointSlice, ListedWorker, SliceEntry, WatchEvent,
};
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use serde_json::Value;
use smol::Task;
use smol_hyper::rt::FuturesIo;

use crate::context::GatewayContext;
use crate::line_buffer::LineBuffer;
use crate::task_owner::TaskOwner;

/// Path of the endpoint slices at the publisher.
const PATH: &str = "/apis/discovery.k8s.io/v1/endpointslices";
/// Time limit for connecting to the publisher, in microseconds.
const CONNECT_TIMEOUT: Micros = 1_000_000;
/// Time limit for the head of a response, and for each chunk of a listing, in microseconds.
const LIST_TIMEOUT: Micros = 5_000_000;
/// Time without data after which a watch is considered broken, as the publisher regularly sends bookmarks. In
/// microseconds.
const WATCH_IDLE_TIMEOUT: Micros = 15_000_000;
/// Limit on one line of a watch.
const MAX_LINE_BYTES: usize = 1 << 20;
/// Limit on a complete listing.
const MAX_LISTING_BYTES: usize = 64 << 20;

/// Watches the endpoint list until the router stops. `filter` receives each event and may change it; it changes events
/// only when faults are injected.
pub async fn watch(
    context: Rc<GatewayContext>,
    address: SocketAddr,
    filter: impl Fn(WatchEvent) -> WatchEvent,
) {
    let mut endpoint_list = EndpointList::default();
    let mut backoff = Backoff::new(context.seed ^ 0x11_57);
    let mut next = EndpointListAction::RequestListing;
    loop {
        let began = context.clock.now();
        let event = match &next {
            EndpointListAction::Watch(version) => {
                follow_watch(&context, address, *version, &mut endpoint_list, &filter).await
            }
            _ => fetch_list(&context, address).await,
        };
        let failed = matches!(event, WatchEvent::WatchEnded { .. });
        next = apply(&context, &mut endpoint_list, filter(event))
            .unwrap_or(EndpointListAction::RequestListing);
        if failed || matches!(next, EndpointListAction::RequestListing) {
            let now = context.clock.now();
            Timer::at(context.clock.instant(now + backoff.next_delay(now - began))).await;
        }
    }
}

/// Applies an event to the list and reports resulting changes to the core; returns the next step.
fn apply(
    context: &GatewayContext,
    endpoint_list: &mut EndpointList,
    event: WatchEvent,
) -> Option<EndpointListAction> {
    let mut next = None;
    for step in endpoint_list.handle(context.clock.now(), event) {
        match step {
            EndpointListAction::UpdateRouter { kind, workers } => {
                context.feed(Input::EndpointList { kind, workers })
            }
            step => next = Some(step),
        }
    }
    next
}

/// A response whose body is being read; dropping it closes the connection.
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
    let stream = FuturesIo::new(FairStream::new(stream));
    let (mut sender, connection) = http1::handshake(stream).await.ok()?;
    let reading = async move {
        // A failure of the connection is also reported when the body is read.
        let _ = connection.await;
    };
    let _driver = context.executor.spawn(TaskOwner::EndpointList, reading);
    let request = Request::get(path)
        .header("host", address.to_string())
        .header("accept", "application/json");
    let response = sender.send_request(request.body(Empty::<Bytes>::new()).ok()?);
    let timeout = async {
        Timer::after(duration_from_micros(LIST_TIMEOUT)).await;
        None
    };
    let response = async { response.await.ok() }.or(timeout).await?;
    Some(StreamingResponse {
        status: response.status().as_u16(),
        body: response.into_body(),
        _driver,
    })
}

impl StreamingResponse {
    /// Passes the next chunk of the body to `put`. Returns false at the end, on errors, and after `limit` microseconds
    /// without data.
    async fn read_more(&mut self, put: impl FnOnce(&[u8]), limit: Micros) -> bool {
        let timeout = async {
            Timer::after(duration_from_micros(limit)).await;
            None
        };
        match self.body.frame().or(timeout).await {
            Some(Ok(frame)) => {
                put(frame.data_ref().map_or(&[], |data| data.as_ref()));
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
        .filter(|response| response.status == 200)
    else {
        return broken;
    };
    let mut buffer = Vec::new();
    let mut is_open = true;
    while buffer.len() < MAX_LISTING_BYTES && is_open {
        let put = |chunk: &[u8]| buffer.extend_from_slice(chunk);
        is_open = response.read_more(put, LIST_TIMEOUT).await;
    }
    // A truncated listing is not valid JSON.
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
                .filter_map(|item| parse_slice(context, item))
                .collect(),
        },
        None => broken,
    }
}

async fn follow_watch(
    context: &GatewayContext,
    address: SocketAddr,
    from: u64,
    endpoint_list: &mut EndpointList,
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
    let mut lines = LineBuffer::default();
    let mut share = LoopShare::default();
    while response
        .read_more(|chunk| lines.put(chunk), WATCH_IDLE_TIMEOUT)
        .await
    {
        while let Some(line) = lines.next_line() {
            match parse_watch_line(context, line) {
                WatchLine::Event(event) => {
                    apply(context, endpoint_list, filter(event));
                }
                WatchLine::Nothing => {}
                WatchLine::End { too_old } => return broken(too_old),
            }
            share.step().await;
        }
        if lines.len() > MAX_LINE_BYTES {
            return broken(false);
        }
    }
    broken(false)
}

/// A line of a watch.
enum WatchLine {
    /// A change of the list.
    Event(WatchEvent),
    /// A change without effect, or one that cannot be read.
    Nothing,
    /// The watch has ended. `too_old`: the requested version is no longer retained.
    End { too_old: bool },
}

fn parse_watch_line(context: &GatewayContext, line: &[u8]) -> WatchLine {
    let Ok(value) = serde_json::from_slice::<Value>(line) else {
        return WatchLine::End { too_old: false };
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
        // A status object; code 410 means that the requested version is no longer retained.
        _ => {
            let too_old = object["code"].as_u64() == Some(410);
            return WatchLine::End { too_old };
        }
    };
    event.map_or(WatchLine::Nothing, WatchLine::Event)
}

fn resource_version(object: &Value) -> Option<u64> {
    object["metadata"]["resourceVersion"].as_str()?.parse().ok()
}

/// Parses one slice; malformed endpoints are skipped.
fn parse_slice(context: &GatewayContext, object: &Value) -> Option<EndpointSlice> {
    let name = object["metadata"]["name"].as_str()?.to_owned();
    let version = resource_version(object)?;
    let port = object["ports"].as_array()?.first()?["port"].as_u64()?;
    let annotations = SliceAnnotations::parse(context, &object["metadata"]["annotations"]);
    let entries = object["endpoints"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default()
        .iter()
        .filter_map(|endpoint| parse_endpoint(context, endpoint, port, &annotations))
        .collect();
    Some(EndpointSlice {
        name,
        version,
        entries,
    })
}

/// The annotations of a slice, which apply to all its endpoints.
struct SliceAnnotations {
    kind: u32,
    cell: u32,
    /// When the slice's workers started, by the router's clock, in microseconds.
    started_at: Option<Micros>,
}

impl SliceAnnotations {
    fn parse(context: &GatewayContext, annotations: &Value) -> SliceAnnotations {
        // The annotation is in wall-clock time; it is converted to the router's clock.
        let started_at = annotations["cedarpulley/started-at-us"]
            .as_str()
            .and_then(|text| text.parse::<Micros>().ok())
            .filter(|&wall_time| wall_time > 0)
            .map(|wall_time| context.clock.now() - (context.clock.wall_time() - wall_time));
        SliceAnnotations {
            kind: name_index(
                &context.names.machine_kinds,
                annotations["cedarpulley/kind"].as_str(),
            ),
            cell: annotations["cedarpulley/cell"]
                .as_str()
                .and_then(|text| text.parse().ok())
                .unwrap_or(0),
            started_at,
        }
    }
}

/// The index of a configured name; 0 if it is unknown or absent.
fn name_index(names: &[String], name: Option<&str>) -> u32 {
    name.and_then(|name| names.iter().position(|known| known == name))
        .unwrap_or(0) as u32
}

/// Parses one endpoint; returns `None` if it has no loopback address.
fn parse_endpoint(
    context: &GatewayContext,
    endpoint: &Value,
    port: u64,
    annotations: &SliceAnnotations,
) -> Option<SliceEntry> {
    let ip = endpoint["addresses"][0].as_str()?;
    let address = format!("{ip}:{port}").parse::<SocketAddr>().ok()?;
    if !address.ip().is_loopback() {
        return None;
    }
    let conditions = &endpoint["conditions"];
    // The format's specification defines an absent condition as ready.
    let ready = conditions["ready"].as_bool().unwrap_or(true);
    let draining = conditions["terminating"].as_bool().unwrap_or(false) || !ready;
    let worker = ListedWorker {
        address: address.to_string(),
        zone: name_index(&context.names.zones, endpoint["zone"].as_str()),
        machine_kind: annotations.kind,
        cell: annotations.cell,
        state: if draining {
            EndpointState::Draining
        } else {
            EndpointState::InService
        },
        weight: 1.0,
        started_at: annotations.started_at,
    };
    let process_id = endpoint["targetRef"]["uid"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    Some(SliceEntry { worker, process_id })
}

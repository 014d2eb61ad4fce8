//! The worker list, watched over HTTP in the form of Kubernetes endpoint slices (a listing, then a watch from its
//! version on). What to make of it decides `cedarpulley_router::roster`.

use std::net::SocketAddr;
use std::rc::Rc;

use async_executor::Task;
use async_io::Timer;
use bytes::Bytes;
use cedarpulley::interface::{Micros, Standing};
use cedarpulley_net::{connect, micros};
use cedarpulley_router::Input;
use cedarpulley_router::backoff::Backoff;
use cedarpulley_router::roster::{Entry, Listed, News, Roster, Slice, Step};
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use serde_json::Value;
use smol_hyper::rt::FuturesIo;

use crate::context::GatewayContext;

const PATH: &str = "/apis/discovery.k8s.io/v1/endpointslices";
const CONNECT_WITHIN: Micros = 1_000_000;
/// A listing that takes longer is given up.
const LIST_WITHIN: Micros = 5_000_000;
/// A watch is silent for no longer: the publisher sends bookmarks. Then it is taken for broken.
const WATCH_SILENT: Micros = 15_000_000;
/// One line of a watch, and a whole listing, at most.
const MOST_LINE: usize = 1 << 20;
const MOST_LISTING: usize = 64 << 20;

/// `heard`: what of the news is told on; all of it, but in tests of the judge.
pub async fn watch(context: Rc<GatewayContext>, address: SocketAddr, heard: impl Fn(News) -> News) {
    let mut roster = Roster::default();
    let mut backoff = Backoff::new(context.seed ^ 0x11_57);
    let mut next = Step::List;
    loop {
        let began = context.clock.now();
        let news = match &next {
            Step::Watch(version) => follow(&context, address, *version, &mut roster, &heard).await,
            _ => list(&context, address).await,
        };
        let failed = matches!(news, News::Broken { .. });
        next = carry(&context, &mut roster, heard(news)).unwrap_or(Step::List);
        if failed || matches!(next, Step::List) {
            let now = context.clock.now();
            Timer::at(context.clock.instant(now + backoff.after(now - began))).await;
        }
    }
}

/// Tells the core; what is to be asked next.
fn carry(context: &GatewayContext, roster: &mut Roster, news: News) -> Option<Step> {
    let mut next = None;
    for step in roster.news(context.clock.now(), news) {
        match step {
            Step::Tell { mode, workers } => context.feed(Input::List { mode, workers }),
            step => next = Some(step),
        }
    }
    next
}

/// An answer that is being read; dropped, its connection closes.
struct Reading {
    status: u16,
    body: Incoming,
    _driver: Task<()>,
}

async fn open(context: &GatewayContext, address: SocketAddr, path: &str) -> Option<Reading> {
    let stream = connect(address, context.local_address, CONNECT_WITHIN).await.ok()?;
    let (mut sender, connection) = http1::handshake(FuturesIo::new(stream)).await.ok()?;
    let _driver = context.executor.spawn(async move {
        // How it ended shows in the body.
        let _ = connection.await;
    });
    let request = Request::get(path).header("host", address.to_string()).header("accept", "application/json");
    let asked = sender.send_request(request.body(Empty::<Bytes>::new()).ok()?);
    let late = async {
        Timer::after(micros(LIST_WITHIN)).await;
        None
    };
    let answer = async { asked.await.ok() }.or(late).await?;
    Some(Reading { status: answer.status().as_u16(), body: answer.into_body(), _driver })
}

impl Reading {
    /// Reads on; what stands in the buffer grows by what came. False at the end, on errors and after silence.
    async fn more(&mut self, buffer: &mut Vec<u8>, within: Micros) -> bool {
        let late = async {
            Timer::after(micros(within)).await;
            None
        };
        match self.body.frame().or(late).await {
            Some(Ok(frame)) => {
                buffer.extend_from_slice(frame.data_ref().map_or(&[], |d| d.as_ref()));
                true
            }
            _ => false,
        }
    }
}

async fn list(context: &GatewayContext, address: SocketAddr) -> News {
    let broken = News::Broken { too_old: false };
    let Some(mut reading) = open(context, address, PATH).await.filter(|r| r.status == 200) else {
        return broken;
    };
    let mut buffer = Vec::new();
    while buffer.len() < MOST_LISTING && reading.more(&mut buffer, LIST_WITHIN).await {}
    // One that broke off is no whole value.
    let Ok(value) = serde_json::from_slice::<Value>(&buffer) else { return broken };
    let version = version(&value);
    let items = value["items"].as_array().map(Vec::as_slice).unwrap_or_default();
    match version {
        Some(version) => {
            News::Listing { version, slices: items.iter().filter_map(|i| slice(context, i)).collect() }
        }
        None => broken,
    }
}

async fn follow(
    context: &GatewayContext,
    address: SocketAddr,
    from: u64,
    roster: &mut Roster,
    heard: &impl Fn(News) -> News,
) -> News {
    let broken = |too_old| News::Broken { too_old };
    let path = format!("{PATH}?watch=1&allowWatchBookmarks=true&resourceVersion={from}");
    let Some(mut reading) = open(context, address, &path).await else { return broken(false) };
    if reading.status != 200 {
        return broken(reading.status == 410);
    }
    let mut buffer = Vec::new();
    while reading.more(&mut buffer, WATCH_SILENT).await {
        while let Some(end) = buffer.iter().position(|&b| b == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let Ok(value) = serde_json::from_slice::<Value>(&line) else { return broken(false) };
            let object = &value["object"];
            let news = match value["type"].as_str() {
                Some("ADDED" | "MODIFIED") => slice(context, object).map(News::Changed),
                Some("DELETED") => object["metadata"]["name"]
                    .as_str()
                    .zip(version(object))
                    .map(|(name, version)| News::Removed { name: name.to_owned(), version }),
                Some("BOOKMARK") => version(object).map(News::Bookmark),
                // A status object; 410: the version asked for is no longer kept.
                _ => return broken(object["code"].as_u64() == Some(410)),
            };
            if let Some(news) = news {
                carry(context, roster, heard(news));
            }
        }
        if buffer.len() > MOST_LINE {
            return broken(false);
        }
    }
    broken(false)
}

fn version(object: &Value) -> Option<u64> {
    object["metadata"]["resourceVersion"].as_str()?.parse().ok()
}

/// One slice; endpoints that cannot be understood are left out.
fn slice(context: &GatewayContext, object: &Value) -> Option<Slice> {
    let name = object["metadata"]["name"].as_str()?.to_owned();
    let version = version(object)?;
    let port = object["ports"].as_array()?.first()?["port"].as_u64()?;
    let note = |key: &str| object["metadata"]["annotations"][key].as_str();
    let index = |names: &[String], name: Option<&str>| {
        name.and_then(|n| names.iter().position(|k| k == n)).unwrap_or(0) as u32
    };
    // The wall's time of a start, on the router's clock.
    let started = note("cedarpulley/started-at-us").and_then(|t| t.parse::<Micros>().ok());
    let started = started.filter(|&s| s > 0).map(|s| context.clock.now() - (context.clock.wall() - s));
    let mut entries = Vec::new();
    for endpoint in object["endpoints"].as_array().map(Vec::as_slice).unwrap_or_default() {
        let Some(ip) = endpoint["addresses"][0].as_str() else { continue };
        let Ok(address) = format!("{ip}:{port}").parse::<SocketAddr>() else { continue };
        if !address.ip().is_loopback() {
            continue;
        }
        let conditions = &endpoint["conditions"];
        // Absent means ready, as the format has it.
        let ready = conditions["ready"].as_bool().unwrap_or(true);
        let draining = conditions["terminating"].as_bool().unwrap_or(false) || !ready;
        let worker = Listed {
            address: address.to_string(),
            zone: index(&context.names.zones, endpoint["zone"].as_str()),
            kind: index(&context.names.kinds, note("cedarpulley/kind")),
            cell: note("cedarpulley/cell").and_then(|c| c.parse().ok()).unwrap_or(0),
            standing: if draining { Standing::Draining } else { Standing::InService },
            weight: 1.0,
            started,
        };
        let start_mark = endpoint["targetRef"]["uid"].as_str().unwrap_or_default().to_owned();
        entries.push(Entry { worker, start_mark });
    }
    Some(Slice { name, version, entries })
}

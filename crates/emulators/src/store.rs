//! The emulated function store that workers load from. Concurrent fetches share its bandwidth, and fetches above a
//! limit are rejected.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::Timer;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::json;

use crate::http::{Body, Partition, Server, response_with};
use crate::{Host, Log, lock};

/// Length in bytes of the body of each response. The duration of a fetch represents the size of the function, because
/// sending all bytes would only use processor time.
const BODY_BYTES: usize = 1024;
/// Step in which fetches advance: a change of the speed takes effect within this time.
const TIME_STEP: Duration = Duration::from_millis(50);

/// Speed and limits of a store.
#[derive(Clone, Copy, Debug)]
pub struct StoreProfile {
    /// Rate of a single fetch, in MB per second.
    pub mb_per_s: f64,
    /// Number of concurrent fetches that each get the full rate; more fetches share the total rate of this many.
    pub full_rate_fetches: usize,
    /// Concurrent fetches above this number are rejected.
    pub max_fetches: usize,
}

/// An emulated function store.
pub struct Store {
    /// The HTTP server of the store.
    pub server: Server,
    /// Number of fetches that were not rejected.
    pub fetches: Arc<AtomicU64>,
    shared: Arc<Shared>,
}

/// State shared by the handle of the store and its requests.
struct Shared {
    profile: StoreProfile,
    log: Log,
    slowdown: Mutex<f64>,
    concurrent: AtomicUsize,
    fetches: Arc<AtomicU64>,
}

impl Store {
    /// Starts a store.
    ///
    /// # Errors
    /// Fails if the log cannot be created or the address cannot be bound.
    pub fn start(
        host: &Host,
        name: &str,
        address: SocketAddr,
        profile: StoreProfile,
    ) -> std::io::Result<Store> {
        let fetches = Arc::new(AtomicU64::new(0));
        let shared = Arc::new(Shared {
            profile,
            log: host.log(name)?,
            slowdown: Mutex::new(1.0),
            concurrent: AtomicUsize::new(0),
            fetches: fetches.clone(),
        });
        let serving = shared.clone();
        let handle = move |from: SocketAddr, request: Request<Incoming>| {
            let store = serving.clone();
            async move { store.fetch(from.ip(), request).await }
        };
        let server = Server::start(host, address, Partition::default(), handle)?;
        Ok(Store {
            server,
            fetches,
            shared,
        })
    }

    /// Sets the factor by which the duration of fetches is multiplied.
    pub fn set_slowdown(&self, factor: f64) {
        *lock(&self.shared.slowdown) = factor;
    }

    /// Writes buffered log lines to the log file.
    pub fn flush(&self) {
        self.shared.log.flush();
    }
}

impl Shared {
    /// Responds to a fetch of `?mb=SIZE` after the time that fetching this size takes.
    async fn fetch(&self, from: IpAddr, request: Request<Incoming>) -> Response<Body> {
        let concurrent = self.concurrent.fetch_add(1, Ordering::SeqCst) + 1;
        let mb: f64 = request
            .uri()
            .query()
            .and_then(|query| query.strip_prefix("mb=")?.parse().ok())
            .unwrap_or(1.0);
        let rejected = concurrent > self.profile.max_fetches;
        let path = request.uri().path().to_owned();
        self.log.write(
            "fetch",
            json!({"path": path, "from": from.to_string(), "away": rejected}),
        );
        if !rejected {
            self.fetches.fetch_add(1, Ordering::SeqCst);
            let share = (concurrent as f64 / self.profile.full_rate_fetches as f64).max(1.0);
            self.wait_seconds(mb / self.profile.mb_per_s * share).await;
        }
        self.concurrent.fetch_sub(1, Ordering::SeqCst);
        if rejected {
            response_with(StatusCode::SERVICE_UNAVAILABLE, "")
        } else {
            response_with(StatusCode::OK, vec![0u8; BODY_BYTES])
        }
    }

    /// Waits for `left` seconds of fetching at normal speed, in steps, so that a change of the slowdown also affects
    /// fetches in progress.
    async fn wait_seconds(&self, mut left: f64) {
        while left > 0.0 {
            let slowdown = *lock(&self.slowdown);
            let step = (left * slowdown).min(TIME_STEP.as_secs_f64());
            Timer::after(Duration::from_secs_f64(step)).await;
            left -= step / slowdown;
        }
    }
}

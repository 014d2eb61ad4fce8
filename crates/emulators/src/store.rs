//! The function store that workers load from. It slows down under concurrent fetches and rejects those past a limit.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::Timer;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::json;

use crate::http::{Body, Partition, Server, full};
use crate::{Host, Log, lock};

/// The body of each answer: the time stands for the size, as sending all bytes would only use processor time.
const BODY_LENGTH: usize = 1024;
/// A change of its speed takes effect within this time.
const STEP: Duration = Duration::from_millis(50);

/// Speed and limits of a store.
#[derive(Clone, Copy, Debug)]
pub struct StoreProfile {
    /// Rate of a single fetch.
    pub mb_per_s: f64,
    /// More concurrent fetches than this share the rate that these would get.
    pub full_rate_fetches: usize,
    /// Concurrent fetches beyond this are rejected.
    pub max_fetches: usize,
}

/// An emulated store.
pub struct Store {
    /// The server that it listens with.
    pub server: Server,
    /// Fetches that were not rejected.
    pub fetches: Arc<AtomicU64>,
    shared: Arc<Shared>,
}

/// What the store's handle and its requests share.
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
    /// When its log cannot be created or its address cannot be bound.
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

    /// Fetches take this many times as long.
    pub fn set_slowdown(&self, times: f64) {
        *lock(&self.shared.slowdown) = times;
    }

    /// Writes buffered log lines out.
    pub fn flush(&self) {
        self.shared.log.flush();
    }
}

impl Shared {
    /// Answers a fetch of `?mb=SIZE` after the time that it takes.
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
            full(StatusCode::SERVICE_UNAVAILABLE, "")
        } else {
            full(StatusCode::OK, vec![0u8; BODY_LENGTH])
        }
    }

    /// Waits in steps: fetches under way slow down and speed up with the rest.
    async fn wait_seconds(&self, mut left: f64) {
        while left > 0.0 {
            let slowdown = *lock(&self.slowdown);
            let step = (left * slowdown).min(STEP.as_secs_f64());
            Timer::after(Duration::from_secs_f64(step)).await;
            left -= step / slowdown;
        }
    }
}

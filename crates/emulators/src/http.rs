//! A small HTTP/1.1 server on the executor of the emulators. Its sockets can be partitioned from whole zones.

use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_executor::Task;
use async_io::{Async, Timer};
use bytes::Bytes;
use futures_lite::{AsyncRead, AsyncWrite, Future};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use smol_hyper::rt::FuturesIo;

use crate::{Host, lock, unix_time_us, zone_of};

/// Body of a response.
pub type Body = BoxBody<Bytes, Infallible>;

/// Interval at which a partitioned socket checks whether the partition is healed.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Creates a response with this status and body.
pub fn response_with(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(body.into()).boxed());
    *response.status_mut() = status;
    response
}

/// Network partition of a server from whole zones: bytes to and from a partitioned zone are held back until the
/// partition is healed. Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct Partition {
    /// Partitioned zones, one bit each.
    zones: Arc<AtomicU64>,
    history: Arc<Mutex<HashMap<u32, ZonePartition>>>,
}

/// The most recent partition from a zone.
#[derive(Clone, Copy, Debug)]
struct ZonePartition {
    /// Unix time in microseconds.
    began_us: i64,
    /// Absent while the partition lasts.
    healed: Option<Instant>,
}

/// Bytes that a partition held back arrive within this time after its end.
const DELAYED_ARRIVAL: Duration = Duration::from_millis(500);

impl Partition {
    /// Partitions the server from these zones, one bit each, and heals the partitions from all others.
    pub fn set(&self, zones: u64) {
        let before = self.zones.swap(zones, Ordering::SeqCst);
        let mut history = lock(&self.history);
        for zone in (0..u64::BITS).filter(|z| (before ^ zones) & 1 << z != 0) {
            let last = history
                .get(&zone)
                .filter(|p| p.healed.is_none_or(|at| at.elapsed() < DELAYED_ARRIVAL));
            // If bytes that the previous partition held back may not have arrived yet, both count as one partition.
            let began_us = last.map_or_else(unix_time_us, |p| p.began_us);
            let healed = (zones & 1 << zone == 0).then(Instant::now);
            history.insert(zone, ZonePartition { began_us, healed });
        }
    }

    /// If a partition from the zone of this address has just ended: its start, in microseconds of Unix time. Bytes that
    /// arrive now may have been sent at any time since then.
    pub fn held_since(&self, from: IpAddr) -> Option<i64> {
        let last = *lock(&self.history).get(&zone_of(from)?)?;
        last.healed
            .filter(|at| at.elapsed() < DELAYED_ARRIVAL)
            .map(|_| last.began_us)
    }

    /// If a partition from the zone of this address lasts or has just ended: its start, in microseconds of Unix time.
    /// The peer may have closed connections since then without the server having noticed.
    pub fn unseen_since(&self, from: IpAddr) -> Option<i64> {
        let last = *lock(&self.history).get(&zone_of(from)?)?;
        last.healed
            .is_none_or(|at| at.elapsed() < DELAYED_ARRIVAL)
            .then_some(last.began_us)
    }

    fn includes(&self, from: IpAddr) -> bool {
        zone_of(from).is_some_and(|z| self.zones.load(Ordering::SeqCst) & 1 << z.min(63) != 0)
    }
}

/// A socket that neither reads nor writes while the zone of its peer is partitioned.
struct PartitionableStream {
    stream: Async<TcpStream>,
    from: IpAddr,
    partition: Partition,
    recheck: Option<Timer>,
}

impl PartitionableStream {
    fn is_blocked(&mut self, cx: &mut Context) -> bool {
        while self.partition.includes(self.from) {
            let timer = self
                .recheck
                .get_or_insert_with(|| Timer::after(POLL_INTERVAL));
            if Pin::new(timer).poll(cx).is_pending() {
                return true;
            }
            self.recheck = None;
        }
        false
    }
}

impl AsyncRead for PartitionableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_blocked(cx) {
            Poll::Pending
        } else {
            Pin::new(&mut self.stream).poll_read(cx, buf)
        }
    }
}

impl AsyncWrite for PartitionableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_blocked(cx) {
            Poll::Pending
        } else {
            Pin::new(&mut self.stream).poll_write(cx, buf)
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// A server with its connections. Dropping it closes the listener and all connections at once, as when a process
/// crashes.
pub struct Server {
    /// The address that the server listens on.
    pub address: SocketAddr,
    _listener: Task<()>,
    _connections: Arc<Mutex<Vec<Task<()>>>>,
}

impl Server {
    /// Starts a server that passes each request, with the address of the peer, to `handle`.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn start<F, R>(
        host: &Host,
        address: SocketAddr,
        partition: Partition,
        handle: F,
    ) -> io::Result<Server>
    where
        F: Fn(SocketAddr, Request<Incoming>) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let listener = Async::<TcpListener>::bind(address)?;
        let address = listener.get_ref().local_addr()?;
        let connections: Arc<Mutex<Vec<Task<()>>>> = Arc::default();
        let (executor, tasks) = (host.executor.clone(), connections.clone());
        let accept = async move {
            while let Ok((stream, from)) = listener.accept().await {
                let _ = stream.get_ref().set_nodelay(true);
                let (handle, partition) = (handle.clone(), partition.clone());
                let task = executor.spawn(async move {
                    let stream = PartitionableStream {
                        stream,
                        from: from.ip(),
                        partition,
                        recheck: None,
                    };
                    let service = service_fn(|request| {
                        let answer = handle(from, request);
                        async move { Ok::<_, Infallible>(answer.await) }
                    });
                    // An error only concerns the peer, which notices that the connection ends.
                    let _ = http1::Builder::new()
                        .serve_connection(FuturesIo::new(stream), service)
                        .await;
                });
                let mut tasks = lock(&tasks);
                tasks.retain(|t| !t.is_finished());
                tasks.push(task);
            }
        };
        let _listener = host.executor.spawn(accept);
        Ok(Server {
            address,
            _listener,
            _connections: connections,
        })
    }
}

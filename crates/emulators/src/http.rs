//! A small HTTP/1.1 server over the ground's executor, whose sockets can be cut off by zone.

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

use crate::{Ground, lock, wall_us, zone_of};

pub type Body = BoxBody<Bytes, Infallible>;

/// How often a cut socket looks whether the cut is healed.
const LOOK: Duration = Duration::from_millis(10);

pub fn full(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(body.into()).boxed());
    *response.status_mut() = status;
    response
}

/// Zones that are cut off, a bit each: their bytes pass in neither direction.
#[derive(Clone, Debug, Default)]
pub struct Cut(Arc<AtomicU64>, Arc<Mutex<HashMap<u32, Held>>>);

/// A zone's last cut: when it began, on the wall's clock, and when it ended.
#[derive(Clone, Copy, Debug)]
struct Held {
    began: i64,
    healed: Option<Instant>,
}

/// What a cut held back has come through within this time of its end.
const COMES_THROUGH: Duration = Duration::from_millis(500);

impl Cut {
    pub fn set(&self, zones: u64) {
        let before = self.0.swap(zones, Ordering::SeqCst);
        let mut held = lock(&self.1);
        for zone in (0..u64::BITS).filter(|z| (before ^ zones) & 1 << z != 0) {
            let last = held
                .get(&zone)
                .filter(|h| h.healed.is_none_or(|at| at.elapsed() < COMES_THROUGH));
            // What a cut held back may not be through yet when the next one begins.
            let began = last.map_or_else(wall_us, |h| h.began);
            let healed = (zones & 1 << zone == 0).then(Instant::now);
            held.insert(zone, Held { began, healed });
        }
    }

    /// Since when what comes from there now may have been on its way: a cut has just ended.
    pub fn held_since(&self, from: IpAddr) -> Option<i64> {
        let held = *lock(&self.1).get(&zone_of(from)?)?;
        held.healed
            .filter(|at| at.elapsed() < COMES_THROUGH)
            .map(|_| held.began)
    }

    /// Since when it may have hung up unseen: a cut stands, or has just ended.
    pub fn unseen_since(&self, from: IpAddr) -> Option<i64> {
        let held = *lock(&self.1).get(&zone_of(from)?)?;
        held.healed
            .is_none_or(|at| at.elapsed() < COMES_THROUGH)
            .then_some(held.began)
    }

    fn holds(&self, from: IpAddr) -> bool {
        zone_of(from).is_some_and(|z| self.0.load(Ordering::SeqCst) & 1 << z.min(63) != 0)
    }
}

/// A socket that lets nothing pass while its peer's zone is cut off.
struct Gate {
    stream: Async<TcpStream>,
    from: IpAddr,
    cut: Cut,
    look: Option<Timer>,
}

impl Gate {
    fn shut(&mut self, cx: &mut Context) -> bool {
        while self.cut.holds(self.from) {
            let timer = self.look.get_or_insert_with(|| Timer::after(LOOK));
            if Pin::new(timer).poll(cx).is_pending() {
                return true;
            }
            self.look = None;
        }
        false
    }
}

impl AsyncRead for Gate {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.shut(cx) {
            Poll::Pending
        } else {
            Pin::new(&mut self.stream).poll_read(cx, buf)
        }
    }
}

impl AsyncWrite for Gate {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.shut(cx) {
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

/// A server with its connections; dropped, all of it is gone at once, as when a process dies.
pub struct Server {
    pub address: SocketAddr,
    _listener: Task<()>,
    _served: Arc<Mutex<Vec<Task<()>>>>,
}

impl Server {
    pub fn start<F, R>(
        ground: &Ground,
        address: SocketAddr,
        cut: Cut,
        handle: F,
    ) -> io::Result<Server>
    where
        F: Fn(SocketAddr, Request<Incoming>) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let listener = Async::<TcpListener>::bind(address)?;
        let address = listener.get_ref().local_addr()?;
        let served: Arc<Mutex<Vec<Task<()>>>> = Arc::default();
        let (executor, tasks) = (ground.executor.clone(), served.clone());
        let accept = async move {
            while let Ok((stream, from)) = listener.accept().await {
                let _ = stream.get_ref().set_nodelay(true);
                let (handle, cut) = (handle.clone(), cut.clone());
                let task = executor.spawn(async move {
                    let gate = Gate {
                        stream,
                        from: from.ip(),
                        cut,
                        look: None,
                    };
                    let service = service_fn(|request| {
                        let answer = handle(from, request);
                        async move { Ok::<_, Infallible>(answer.await) }
                    });
                    // However it ends, the peer has seen it.
                    let _ = http1::Builder::new()
                        .serve_connection(FuturesIo::new(gate), service)
                        .await;
                });
                let mut tasks = lock(&tasks);
                tasks.retain(|t| !t.is_finished());
                tasks.push(task);
            }
        };
        let _listener = ground.executor.spawn(accept);
        Ok(Server {
            address,
            _listener,
            _served: served,
        })
    }
}

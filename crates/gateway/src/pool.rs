//! Connections to workers. One request at a time on each; calling one back closes its connection. Every ending is
//! read by the table in `cedarpulley_kserve::endings`; the proof that nothing left is the count of bytes that the
//! kernel took.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use async_executor::{LocalExecutor, Task};
use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_kserve::Ended;
use cedarpulley_net::{Clock, Stream, connect, micros};
use cedarpulley_router::Ticket;
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{HeaderMap, Request, StatusCode};
use smol_hyper::rt::FuturesIo;

/// Heads of answers: beyond, a worker sends headers without end.
const MOST_HEAD: usize = 64 * 1024;
const MOST_HEADERS: usize = 100;
/// Orders to load and questions beside the invocations at one worker.
const MOST_ORDERS: usize = 32;

/// How connections to workers are kept.
#[derive(Clone, Copy, Debug)]
pub struct Links {
    /// Own address to connect from.
    pub from: Option<IpAddr>,
    pub connect_within: Micros,
    pub most_connections: usize,
    pub idle_kept: Micros,
    pub most_answer: usize,
}

/// Counts what the kernel took of our bytes.
struct Counted {
    stream: Stream,
    written: Rc<Cell<u64>>,
}

impl AsyncRead for Counted {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = polled {
            self.written.set(self.written.get() + n as u64);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// Dropped, it closes: its driver goes with it, and the socket with the driver.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _driver: Task<()>,
    written: Rc<Cell<u64>>,
}

#[derive(Default)]
struct Link {
    idle: Vec<(Connection, Micros)>,
    used: usize,
    orders: usize,
}

/// A whole answer.
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

pub enum Failed {
    NoConnection,
    NoRoom,
    /// At the last look before its first byte it could not leave any more.
    HeldBack,
    Broke {
        left: bool,
    },
    Garbled,
    TooLarge,
}

/// What the ending table is asked about an exchange for this function.
pub fn ended<'a>(result: &'a Result<Reply, Failed>, function: &'a str) -> Ended<'a> {
    match result {
        Ok(r) => Ended::Answered { status: r.status, headers: &r.headers, body: &r.body, function },
        Err(Failed::NoConnection) => Ended::NoConnection,
        Err(Failed::NoRoom) => Ended::NoRoom,
        Err(Failed::HeldBack) => Ended::Broke { left: false },
        Err(Failed::Broke { left }) => Ended::Broke { left: *left },
        Err(Failed::Garbled) => Ended::Garbled,
        Err(Failed::TooLarge) => Ended::TooLarge,
    }
}

pub struct Pool {
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    links: Links,
    /// By address: the index of a gone worker is given out again.
    workers: RefCell<HashMap<SocketAddr, Link>>,
    out: RefCell<HashMap<Ticket, Task<()>>>,
}

/// A place at a worker, given back however the exchange ends.
struct Place<'a> {
    pool: &'a Pool,
    worker: SocketAddr,
    order: bool,
}

impl<'a> Place<'a> {
    fn take(pool: &'a Pool, worker: SocketAddr, order: bool) -> Option<Self> {
        let mut workers = pool.workers.borrow_mut();
        let link = workers.entry(worker).or_default();
        let (count, most) = match order {
            true => (&mut link.orders, MOST_ORDERS),
            false => (&mut link.used, pool.links.most_connections),
        };
        if *count >= most {
            return None;
        }
        *count += 1;
        Some(Place { pool, worker, order })
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if let Some(link) = self.pool.workers.borrow_mut().get_mut(&self.worker) {
            let count = if self.order { &mut link.orders } else { &mut link.used };
            *count = count.saturating_sub(1);
        }
    }
}

impl Pool {
    pub fn new(executor: Rc<LocalExecutor<'static>>, clock: Clock, links: Links) -> Self {
        Pool { executor, clock, links, workers: RefCell::default(), out: RefCell::default() }
    }

    /// Keeps the task of a dispatch, so that it can be called back.
    pub fn keep(&self, ticket: Ticket, task: Task<()>) {
        self.out.borrow_mut().insert(ticket, task);
    }

    /// The dispatch's task is about to end by itself.
    pub fn finished(&self, ticket: Ticket) {
        if let Some(task) = self.out.borrow_mut().remove(&ticket) {
            task.detach();
        }
    }

    /// Calls a dispatch back: its connection closes.
    pub fn withdraw(&self, ticket: Ticket) {
        // Taken out before it is dropped: dropping it gives its place back.
        let task = self.out.borrow_mut().remove(&ticket);
        drop(task);
    }

    /// Closes connections that have been idle for too long.
    pub fn tidy(&self) {
        let old = self.clock.now() - self.links.idle_kept;
        let mut closed = Vec::new();
        for link in self.workers.borrow_mut().values_mut() {
            closed.extend(link.idle.extract_if(.., |(c, since)| *since < old || c.sender.is_closed()));
        }
        drop(closed);
        let used = |l: &Link| !l.idle.is_empty() || l.used > 0 || l.orders > 0;
        self.workers.borrow_mut().retain(|_, link| used(link));
    }

    async fn open(&self, address: SocketAddr) -> Option<Connection> {
        let stream = connect(address, self.links.from, self.links.connect_within).await.ok()?;
        let written = Rc::new(Cell::new(0));
        let io = FuturesIo::new(Counted { stream, written: written.clone() });
        let mut builder = Builder::new();
        builder.max_buf_size(MOST_HEAD).max_headers(MOST_HEADERS);
        let (sender, connection) = builder.handshake(io).await.ok()?;
        let _driver = self.executor.spawn(async move {
            // How it ended is told to whoever waits on the sender.
            let _ = connection.await;
        });
        Some(Connection { sender, _driver, written })
    }

    /// One request and its whole answer. `leaves` is asked last, right before its first byte: connecting takes time, and a
    /// process may have been stopped meanwhile.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        order: bool,
        leaves: impl Fn() -> bool,
    ) -> Result<Reply, Failed> {
        let _place = Place::take(self, address, order).ok_or(Failed::NoRoom)?;
        let mut connection = match self.idle(address) {
            Some(connection) => connection,
            None => self.open(address).await.ok_or(Failed::NoConnection)?,
        };
        if !leaves() {
            return Err(Failed::HeldBack);
        }
        let before = connection.written.get();
        let answer = connection.sender.send_request(request.map(Full::new)).await;
        let answer = answer.map_err(|e| {
            if connection.written.get() == before {
                Failed::Broke { left: false }
            } else if e.is_parse() {
                Failed::Garbled
            } else {
                Failed::Broke { left: true }
            }
        })?;
        let (head, mut body) = answer.into_parts();
        let most = self.links.most_answer;
        if body.size_hint().lower() > most as u64 {
            return Err(Failed::TooLarge);
        }
        let mut whole: Vec<Bytes> = Vec::new();
        let mut size = 0;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return Err(Failed::Garbled) };
            if let Ok(data) = frame.into_data() {
                size += data.len();
                if size > most {
                    return Err(Failed::TooLarge);
                }
                whole.push(data);
            }
        }
        let body = if whole.len() == 1 { whole.swap_remove(0) } else { Bytes::from(whole.concat()) };
        if connection.sender.ready().await.is_ok()
            && let Some(link) = self.workers.borrow_mut().get_mut(&address)
        {
            link.idle.push((connection, self.clock.now()));
        }
        Ok(Reply { status: head.status, headers: head.headers, body })
    }

    /// The connection used last, as it is the least likely to be closed by now.
    fn idle(&self, worker: SocketAddr) -> Option<Connection> {
        let mut closed = Vec::new();
        let mut workers = self.workers.borrow_mut();
        let link = workers.get_mut(&worker)?;
        let found = loop {
            match link.idle.pop() {
                Some((connection, _)) if connection.sender.is_ready() => break Some(connection),
                Some((connection, _)) => closed.push(connection),
                None => break None,
            }
        };
        drop(workers);
        found
    }

    /// An order, given up after this time.
    pub async fn order(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        within: Micros,
    ) -> Result<Reply, Failed> {
        let late = async {
            async_io::Timer::after(micros(within)).await;
            Err(Failed::Broke { left: true })
        };
        self.exchange(address, request, true, || true).or(late).await
    }
}

//! Connections to workers, with one request at a time on each; cancelling a request closes its connection.
//! Each ending is interpreted by the table in `cedarpulley_kserve::endings`; the number of bytes accepted by
//! the kernel proves whether anything was sent.

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
use cedarpulley_kserve::ExchangeOutcome;
use cedarpulley_net::{Clock, Stream, connect, duration_from_micros};
use cedarpulley_router::Ticket;
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{HeaderMap, Request, StatusCode};
use smol_hyper::rt::FuturesIo;

/// Limits on the head of an answer: beyond, a worker sends headers without end.
const MAX_HEAD_BYTES: usize = 64 * 1024;
const MAX_HEADERS: usize = 100;
/// Concurrent load orders and queries at one worker, beside the invocations.
const MAX_ORDERS: usize = 32;

/// Configuration of the connections; times in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct PoolSettings {
    /// Local address that connections are bound to.
    pub local_address: Option<IpAddr>,
    /// Time limit for connecting.
    pub connect_timeout: Micros,
    /// Concurrent requests at one worker.
    pub max_connections: usize,
    /// Idle connections are closed after this time.
    pub idle_timeout: Micros,
    /// Largest body of an answer.
    pub max_answer_bytes: usize,
}

/// Counts the bytes that the kernel accepted.
struct CountingStream {
    stream: Stream,
    written: Rc<Cell<u64>>,
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(bytes)) = polled {
            self.written.set(self.written.get() + bytes as u64);
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

/// Dropping it drops the driver, which closes the socket.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _driver: Task<()>,
    written: Rc<Cell<u64>>,
}

/// The connections to one worker: idle ones with the time since when, and the slots in use.
#[derive(Default)]
struct WorkerConnections {
    idle: Vec<(Connection, Micros)>,
    requests: usize,
    orders: usize,
}

/// A complete answer.
pub struct Reply {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
}

/// Why there is no complete answer.
pub enum ExchangeError {
    /// The worker did not accept a connection in time.
    NoConnection,
    /// The limit on concurrent requests at the worker is reached.
    NoRoom,
    /// The last check before the first byte found that it may no longer be sent.
    HeldBack,
    /// The connection broke off before the head of an answer, or an order timed out.
    Interrupted {
        /// At least one byte of the request has left.
        sent: bool,
    },
    /// The answer breaks the protocol, or broke off.
    Garbled,
    /// The answer's body is above the limit.
    TooLarge,
}

/// The input of the ending table for an exchange about this function.
pub fn ending_of<'a>(
    result: &'a Result<Reply, ExchangeError>,
    function: &'a str,
) -> ExchangeOutcome<'a> {
    match result {
        Ok(reply) => ExchangeOutcome::Responded {
            status: reply.status,
            headers: &reply.headers,
            body: &reply.body,
            function,
        },
        Err(ExchangeError::NoConnection) => ExchangeOutcome::Unreachable,
        Err(ExchangeError::NoRoom) => ExchangeOutcome::ConnectionLimit,
        Err(ExchangeError::HeldBack) => ExchangeOutcome::ConnectionLost { bytes_sent: false },
        Err(ExchangeError::Interrupted { sent }) => {
            ExchangeOutcome::ConnectionLost { bytes_sent: *sent }
        }
        Err(ExchangeError::Garbled) => ExchangeOutcome::MalformedResponse,
        Err(ExchangeError::TooLarge) => ExchangeOutcome::ResponseTooLarge,
    }
}

/// Connections to all workers, and the tasks of open dispatches.
pub struct Pool {
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    settings: PoolSettings,
    /// By address, as the index of a departed worker is reused.
    workers: RefCell<HashMap<SocketAddr, WorkerConnections>>,
    dispatches: RefCell<HashMap<Ticket, Task<()>>>,
}

/// A slot for one request at a worker, released however the exchange ends.
struct RequestSlot<'a> {
    pool: &'a Pool,
    worker: SocketAddr,
    is_order: bool,
}

impl<'a> RequestSlot<'a> {
    fn acquire(pool: &'a Pool, worker: SocketAddr, is_order: bool) -> Option<Self> {
        let mut workers = pool.workers.borrow_mut();
        let connections = workers.entry(worker).or_default();
        let (count, limit) = match is_order {
            true => (&mut connections.orders, MAX_ORDERS),
            false => (&mut connections.requests, pool.settings.max_connections),
        };
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(RequestSlot {
            pool,
            worker,
            is_order,
        })
    }
}

impl Drop for RequestSlot<'_> {
    fn drop(&mut self) {
        if let Some(connections) = self.pool.workers.borrow_mut().get_mut(&self.worker) {
            let count = if self.is_order {
                &mut connections.orders
            } else {
                &mut connections.requests
            };
            *count = count.saturating_sub(1);
        }
    }
}

impl Pool {
    /// A pool without connections.
    pub fn new(executor: Rc<LocalExecutor<'static>>, clock: Clock, settings: PoolSettings) -> Self {
        Pool {
            executor,
            clock,
            settings,
            workers: RefCell::default(),
            dispatches: RefCell::default(),
        }
    }

    /// Keeps the task of a dispatch, so that it can be cancelled.
    pub fn track(&self, ticket: Ticket, task: Task<()>) {
        self.dispatches.borrow_mut().insert(ticket, task);
    }

    /// The dispatch's task is about to end by itself.
    pub fn finished(&self, ticket: Ticket) {
        if let Some(task) = self.dispatches.borrow_mut().remove(&ticket) {
            task.detach();
        }
    }

    /// Cancels a dispatch: its connection closes.
    pub fn cancel(&self, ticket: Ticket) {
        // Removed before it is dropped, as dropping it releases its slot and borrows the map of workers.
        let task = self.dispatches.borrow_mut().remove(&ticket);
        drop(task);
    }

    /// Closes connections that have been idle for too long.
    pub fn close_idle(&self) {
        let cutoff = self.clock.now() - self.settings.idle_timeout;
        let mut closed = Vec::new();
        for connections in self.workers.borrow_mut().values_mut() {
            closed.extend(connections.idle.extract_if(.., |(connection, since)| {
                *since < cutoff || connection.sender.is_closed()
            }));
        }
        drop(closed);
        let in_use = |connections: &WorkerConnections| {
            !connections.idle.is_empty() || connections.requests > 0 || connections.orders > 0
        };
        self.workers
            .borrow_mut()
            .retain(|_, connections| in_use(connections));
    }

    async fn open(&self, address: SocketAddr) -> Option<Connection> {
        let stream = connect(
            address,
            self.settings.local_address,
            self.settings.connect_timeout,
        )
        .await
        .ok()?;
        let written = Rc::new(Cell::new(0));
        let io = FuturesIo::new(CountingStream {
            stream,
            written: written.clone(),
        });
        let mut builder = Builder::new();
        builder
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADERS);
        let (sender, connection) = builder.handshake(io).await.ok()?;
        let _driver = self.executor.spawn(async move {
            // A failure is reported to whoever waits on the sender.
            let _ = connection.await;
        });
        Some(Connection {
            sender,
            _driver,
            written,
        })
    }

    /// Sends one request and reads its whole answer. `may_send` is checked last, right before the first byte:
    /// connecting takes time, and the process may have been suspended meanwhile.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        is_order: bool,
        may_send: impl Fn() -> bool,
    ) -> Result<Reply, ExchangeError> {
        let _slot = RequestSlot::acquire(self, address, is_order).ok_or(ExchangeError::NoRoom)?;
        let mut connection = match self.take_idle(address) {
            Some(connection) => connection,
            None => self
                .open(address)
                .await
                .ok_or(ExchangeError::NoConnection)?,
        };
        if !may_send() {
            return Err(ExchangeError::HeldBack);
        }
        let written_before = connection.written.get();
        let answer = connection.sender.send_request(request.map(Full::new)).await;
        let answer = answer.map_err(|error| {
            if connection.written.get() == written_before {
                ExchangeError::Interrupted { sent: false }
            } else if error.is_parse() {
                ExchangeError::Garbled
            } else {
                ExchangeError::Interrupted { sent: true }
            }
        })?;
        let (head, body) = answer.into_parts();
        let body = self.read_body(body).await?;
        if connection.sender.ready().await.is_ok()
            && let Some(connections) = self.workers.borrow_mut().get_mut(&address)
        {
            connections.idle.push((connection, self.clock.now()));
        }
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Reads the whole body of an answer, up to the limit.
    async fn read_body(&self, mut body: Incoming) -> Result<Bytes, ExchangeError> {
        let max_bytes = self.settings.max_answer_bytes;
        if body.size_hint().lower() > max_bytes as u64 {
            return Err(ExchangeError::TooLarge);
        }
        let mut chunks: Vec<Bytes> = Vec::new();
        let mut size = 0;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Err(ExchangeError::Garbled);
            };
            if let Ok(data) = frame.into_data() {
                size += data.len();
                if size > max_bytes {
                    return Err(ExchangeError::TooLarge);
                }
                chunks.push(data);
            }
        }
        Ok(if chunks.len() == 1 {
            chunks.swap_remove(0)
        } else {
            Bytes::from(chunks.concat())
        })
    }

    /// The connection used last, as it is the least likely to have been closed.
    fn take_idle(&self, worker: SocketAddr) -> Option<Connection> {
        let mut closed = Vec::new();
        let mut workers = self.workers.borrow_mut();
        let connections = workers.get_mut(&worker)?;
        let found = loop {
            match connections.idle.pop() {
                Some((connection, _)) if connection.sender.is_ready() => break Some(connection),
                Some((connection, _)) => closed.push(connection),
                None => break None,
            }
        };
        drop(workers);
        found
    }

    /// A load order or query, given up after `within` microseconds.
    pub async fn order(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        within: Micros,
    ) -> Result<Reply, ExchangeError> {
        let timeout = async {
            async_io::Timer::after(duration_from_micros(within)).await;
            Err(ExchangeError::Interrupted { sent: true })
        };
        self.exchange(address, request, true, || true)
            .or(timeout)
            .await
    }
}

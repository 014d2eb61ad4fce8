//! Connections to workers, each carrying one request at a time; cancelling a request closes its connection.
//! `cedarpulley_kserve::outcomes` classifies the result of each exchange; the number of bytes accepted by the kernel
//! proves whether anything was sent.
//!
//! An address proves nothing about the process there once the list names another process, or no worker, at it: connections
//! that were opened before take no further request ([`Pool::retire`]).

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_http_framing::ResponseObserver;
use cedarpulley_kserve::ExchangeOutcome;
use cedarpulley_net::{Clock, FairStream, connect, duration_from_micros, is_out_of_resources};
use cedarpulley_router::Ticket;
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{HeaderMap, Request, StatusCode};
use smol::Task;
use smol_hyper::rt::FuturesIo;

use crate::body_buffer::BodyBuffer;
use crate::observed_stream::{ObservedStream, StreamObserver};
use crate::task_owner::{Executor, TaskOwner};

/// Limits on the head of an answer, against a worker that sends headers without end.
const MAX_HEAD_BYTES: usize = 64 * 1024;
const MAX_HEADERS: usize = 100;
/// Limit on concurrent load orders and queries at one worker, in addition to invocations.
const MAX_ORDERS: usize = 32;

/// Configuration of the connections; times in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct PoolSettings {
    /// Local address that connections are bound to.
    pub local_address: Option<IpAddr>,
    /// Time limit for connecting to a worker.
    pub connect_timeout: Micros,
    /// Limit on concurrent invocations at one worker.
    pub max_connections: usize,
    /// Idle connections are closed after this time.
    pub idle_timeout: Micros,
    /// Size limit of an answer's body.
    pub max_answer_bytes: usize,
}

/// What has passed over one connection.
#[derive(Default)]
struct ConnectionTraffic {
    /// Number of bytes accepted by the kernel.
    written: Cell<u64>,
    answers: RefCell<ResponseObserver>,
}

impl StreamObserver for ConnectionTraffic {
    fn received(&self, bytes: &[u8]) {
        self.answers.borrow_mut().put(bytes);
    }

    fn sent(&self, count: usize) {
        self.written.set(self.written.get() + count as u64);
    }
}

/// An open connection. Dropping it drops its driver, which closes the socket.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _driver: Task<()>,
    traffic: Rc<ConnectionTraffic>,
}

/// The connections to one worker: idle connections, each with the time at which it became idle, and the numbers of
/// slots in use.
#[derive(Default)]
struct WorkerConnections {
    idle: Vec<(Connection, Micros)>,
    requests: usize,
    orders: usize,
    /// Number of processes at this address so far that have been replaced or have gone.
    replaced: u64,
}

/// A complete answer.
pub struct Reply {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Complete body of the answer.
    pub body: Bytes,
}

/// Why an exchange produced no complete answer.
pub enum ExchangeError {
    /// The worker did not accept a connection in time.
    Unreachable,
    /// This process has no descriptor left for a connection.
    NoConnection,
    /// The limit on concurrent requests at the worker is reached.
    ConnectionLimit,
    /// The last check before the first byte found that the request may no longer be sent.
    NotSent,
    /// The connection was lost before the head of an answer arrived, or an order timed out.
    Interrupted {
        /// Whether at least one byte of the request was sent.
        sent: bool,
    },
    /// The answer violates the protocol, was truncated, or is longer than its declared length.
    MalformedAnswer,
    /// The answer's body is above the limit.
    TooLarge,
}

/// Converts the result of an exchange about `function` to the input of the classification in
/// `cedarpulley_kserve::outcomes`.
pub fn exchange_outcome<'a>(
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
        Err(ExchangeError::Unreachable) => ExchangeOutcome::Unreachable,
        Err(ExchangeError::NoConnection) => ExchangeOutcome::NoConnection,
        Err(ExchangeError::ConnectionLimit) => ExchangeOutcome::ConnectionLimit,
        Err(ExchangeError::NotSent) => ExchangeOutcome::ConnectionLost { bytes_sent: false },
        Err(ExchangeError::Interrupted { sent }) => {
            ExchangeOutcome::ConnectionLost { bytes_sent: *sent }
        }
        Err(ExchangeError::MalformedAnswer) => ExchangeOutcome::MalformedResponse,
        Err(ExchangeError::TooLarge) => ExchangeOutcome::ResponseTooLarge,
    }
}

/// Connections to all workers, and the tasks of open dispatches.
pub struct Pool {
    executor: Executor,
    clock: Clock,
    settings: PoolSettings,
    /// By address, as the index of a removed worker is reused.
    workers: RefCell<HashMap<SocketAddr, WorkerConnections>>,
    dispatches: RefCell<HashMap<Ticket, Task<()>>>,
}

/// A slot for one request at a worker, released however the exchange ends.
struct RequestSlot<'a> {
    pool: &'a Pool,
    worker: SocketAddr,
    is_order: bool,
    /// [`WorkerConnections::replaced`] when the slot was acquired.
    replaced: u64,
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
            replaced: connections.replaced,
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
    pub fn new(executor: Executor, clock: Clock, settings: PoolSettings) -> Self {
        Pool {
            executor,
            clock,
            settings,
            workers: RefCell::default(),
            dispatches: RefCell::default(),
        }
    }

    /// Stores the task of a dispatch, so that it can be cancelled.
    pub fn track(&self, ticket: Ticket, task: Task<()>) {
        self.dispatches.borrow_mut().insert(ticket, task);
    }

    /// Stops tracking a dispatch whose task is about to end by itself.
    pub fn finished(&self, ticket: Ticket) {
        if let Some(task) = self.dispatches.borrow_mut().remove(&ticket) {
            task.detach();
        }
    }

    /// Cancels a dispatch: its connection closes.
    pub fn cancel(&self, ticket: Ticket) {
        // The task is removed from the map before it is dropped, as dropping it releases its slot, which borrows the
        // map of workers.
        let task = self.dispatches.borrow_mut().remove(&ticket);
        drop(task);
    }

    /// Records that the process at this address has been replaced or has gone: no further request is sent on connections
    /// that are open now.
    pub fn retire(&self, worker: SocketAddr) {
        let mut idle = Vec::new();
        if let Some(connections) = self.workers.borrow_mut().get_mut(&worker) {
            connections.replaced += 1;
            idle.append(&mut connections.idle);
        }
        // Dropped here, as dropping a connection's driver may run code that borrows the map of workers.
        drop(idle);
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

    async fn open(&self, address: SocketAddr) -> Result<Connection, ExchangeError> {
        let stream = connect(
            address,
            self.settings.local_address,
            self.settings.connect_timeout,
        )
        .await
        .map_err(|error| match is_out_of_resources(&error) {
            true => ExchangeError::NoConnection,
            false => ExchangeError::Unreachable,
        })?;
        let traffic = Rc::<ConnectionTraffic>::default();
        let stream = FairStream::new(stream);
        let io = FuturesIo::new(ObservedStream::new(stream, traffic.clone()));
        let mut builder = Builder::new();
        builder
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADERS);
        let handshake = builder.handshake(io).await;
        let (sender, connection) = handshake.map_err(|_| ExchangeError::Unreachable)?;
        let _driver = self.executor.spawn(TaskOwner::Worker(address), async move {
            // A failure is also reported to the caller that waits on the sender.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            _driver,
            traffic,
        })
    }

    /// Sends one request and reads its complete answer. `may_send` is checked immediately before the first byte is
    /// sent: connecting takes time, and the process may have been suspended in the meantime.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        is_order: bool,
        may_send: impl Fn() -> bool,
    ) -> Result<Reply, ExchangeError> {
        let slot =
            RequestSlot::acquire(self, address, is_order).ok_or(ExchangeError::ConnectionLimit)?;
        let mut connection = match self.take_idle(address) {
            Some(connection) => connection,
            None => self.open(address).await?,
        };
        if !may_send() {
            return Err(ExchangeError::NotSent);
        }
        let traffic = connection.traffic.clone();
        traffic.answers.borrow_mut().begin();
        let written_before = traffic.written.get();
        let answer = connection.sender.send_request(request.map(Full::new)).await;
        let answer = answer.map_err(|error| {
            if traffic.written.get() == written_before {
                ExchangeError::Interrupted { sent: false }
            } else if error.is_parse() {
                ExchangeError::MalformedAnswer
            } else {
                ExchangeError::Interrupted { sent: true }
            }
        })?;
        let (head, body) = answer.into_parts();
        let body = self.read_body(body).await?;
        let is_reusable = connection.sender.ready().await.is_ok();
        // By now the connection has looked for the end of the stream, and has read what is behind the answer.
        if traffic.answers.borrow().is_followed() {
            return Err(ExchangeError::MalformedAnswer);
        }
        if is_reusable
            && let Some(connections) = self.workers.borrow_mut().get_mut(&address)
            && connections.replaced == slot.replaced
        {
            connections.idle.push((connection, self.clock.now()));
        }
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Reads the complete body of an answer, up to the size limit.
    async fn read_body(&self, mut body: Incoming) -> Result<Bytes, ExchangeError> {
        let max_bytes = self.settings.max_answer_bytes;
        if body.size_hint().lower() > max_bytes as u64 {
            return Err(ExchangeError::TooLarge);
        }
        let mut buffer = BodyBuffer::default();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Err(ExchangeError::MalformedAnswer);
            };
            if let Ok(data) = frame.into_data() {
                buffer.push(data);
                if buffer.len() > max_bytes {
                    return Err(ExchangeError::TooLarge);
                }
            }
        }
        Ok(buffer.into_bytes())
    }

    /// Takes the idle connection that was used last, as it is the least likely to have been closed.
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

    /// Sends a load order or query with a time limit of `within` microseconds.
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

//! Transport between the members of a group: HTTP/1.1, one POST for everything that waits for a member, with
//! that member's messages for this one in the response. The same listener serves operators `GET /state` and
//! `GET /metrics`.
//!
//! Mechanisms:
//! 1. Two queues for each member, each with a connection of its own: bulk transfer of records never delays a
//!    vote.
//! 2. One POST at a time for each queue; messages that come meanwhile go together into the next.
//! 3. A queue is bounded in bytes. Beyond that, messages that a later comparison makes up for are dropped
//!    first, then any. A member that reads slowly costs only what is meant for it.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::rc::Rc;

use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;
use cedarpulley_net::{Stream, connect, duration_from_micros};
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::message_sending::{SendOptions, Transport};
use crate::peers::Peers;
use crate::rejected_envelopes::RejectionCause;
use crate::send_queue::SendQueue;
pub use crate::send_queue::TransportCounts;
use crate::state_endpoint;

/// Bytes read of one POST or its response.
const MAX_BODY_BYTES: usize = 8 << 20;
const CONNECT_TIMEOUT: Micros = 250_000;
/// A response that takes longer (microseconds) closes the connection: a silent peer would swallow everything
/// sent to it.
const RESPONSE_TIMEOUT: Micros = 1_000_000;
/// Delay after a failed attempt, in microseconds.
const RETRY_DELAY: Micros = 20_000;
const HEADER_TIMEOUT: Micros = 30_000_000;
/// Open connections of members and operators: far fewer are ever needed.
const MAX_CONNECTIONS: usize = 512;
const PATH: &str = "/peer";

/// An open connection to a member.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Drives the connection until this is dropped.
    _driver: Task<()>,
}

/// The queues of all members; [`PeerTransport::run`] sends what is put into them.
pub struct PeerTransport {
    executor: Rc<LocalExecutor<'static>>,
    local_address: Option<IpAddr>,
    addresses: Vec<SocketAddr>,
    /// By member: the queue for messages that something waits for, and the one for bulk transfer.
    queues: Vec<[SendQueue; 2]>,
}

/// The [`Transport`] that puts messages into the queues.
pub struct TransportHandle(pub Rc<PeerTransport>);

impl Transport for TransportHandle {
    fn send(&self, to: MemberIndex, message: Bytes, options: SendOptions) {
        if let Some(queues) = self.0.queues.get(to as usize) {
            queues[usize::from(options.bulk)].enqueue(message, options.recoverable);
        }
    }
}

impl PeerTransport {
    /// `addresses`: by member index; `local_address`: that connections are bound to, if any.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        local_address: Option<IpAddr>,
        addresses: Vec<SocketAddr>,
    ) -> Self {
        let queues = addresses
            .iter()
            .map(|_| [SendQueue::new(), SendQueue::new()])
            .collect();
        PeerTransport {
            executor,
            local_address,
            addresses,
            queues,
        }
    }

    /// The sums over all queues.
    pub fn counts(&self) -> TransportCounts {
        let mut all = TransportCounts::default();
        for counts in self.queues.iter().flatten().map(|queue| queue.counts()) {
            all.posts += counts.posts;
            all.bytes_sent += counts.bytes_sent;
            all.posts_failed += counts.posts_failed;
            all.messages_dropped += counts.messages_dropped;
        }
        all
    }

    /// Starts sending, for as long as the router runs.
    pub fn run(self: &Rc<Self>, peers: &Rc<Peers>, own_index: MemberIndex) {
        for to in (0..self.queues.len() as MemberIndex).filter(|m| *m != own_index) {
            for queue_index in 0..2 {
                self.executor
                    .spawn(self.clone().send_loop(peers.clone(), to, queue_index))
                    .detach();
            }
        }
    }

    async fn send_loop(self: Rc<Self>, peers: Rc<Peers>, to: MemberIndex, queue_index: usize) {
        let queue = &self.queues[to as usize][queue_index];
        let mut connection: Option<Connection> = None;
        loop {
            let messages = queue.take_batch();
            if messages.is_empty() {
                queue.bell.notified().await;
                continue;
            }
            let count = messages.len() as u64;
            if connection.as_ref().is_none_or(|c| !c.sender.is_ready()) {
                connection = self.open_connection(self.addresses[to as usize]).await;
            }
            let response = match &mut connection {
                None => None,
                Some(connection) => {
                    let envelope = peers.envelope(to, messages);
                    let Ok(body) = postcard::to_stdvec(&envelope).map(Bytes::from) else {
                        continue;
                    };
                    queue.count(|counts| {
                        counts.posts += 1;
                        counts.bytes_sent += body.len() as u64;
                    });
                    exchange(&mut connection.sender, self.addresses[to as usize], body).await
                }
            };
            match response {
                Some(response) => self.receive_response(&peers, to, queue, &response),
                None => {
                    connection = None;
                    queue.count(|counts| {
                        counts.posts_failed += 1;
                        counts.messages_dropped += count;
                    });
                    Timer::after(duration_from_micros(RETRY_DELAY)).await;
                }
            }
        }
    }

    /// Processes the envelope in a response; what follows from it goes into the queue of the request.
    fn receive_response(&self, peers: &Peers, to: MemberIndex, queue: &SendQueue, body: &[u8]) {
        let from = Some(self.addresses[to as usize].ip());
        // Rejected envelopes are counted and logged by `Peers`.
        if let Ok(replies) = peers.receive(from, body) {
            for message in replies.messages {
                queue.enqueue(message, false);
            }
        }
    }

    async fn open_connection(&self, address: SocketAddr) -> Option<Connection> {
        let stream = connect(address, self.local_address, CONNECT_TIMEOUT)
            .await
            .ok()?;
        let (sender, connection) = handshake(FuturesIo::new(stream)).await.ok()?;
        let driver = self.executor.spawn(async move {
            // A failure shows in the next POST.
            let _ = connection.await;
        });
        Some(Connection {
            sender,
            _driver: driver,
        })
    }
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    to: SocketAddr,
    body: Bytes,
) -> Option<Bytes> {
    let request = Request::post(PATH)
        .header("host", to.to_string())
        .body(Full::new(body))
        .ok()?;
    let exchanged = async {
        let answer = sender.send_request(request).await.ok()?;
        let ok = answer.status() == StatusCode::OK;
        let body = Limited::new(answer.into_body(), MAX_BODY_BYTES)
            .collect()
            .await
            .ok()?
            .to_bytes();
        sender.ready().await.ok()?;
        ok.then_some(body)
    };
    let timeout = async {
        Timer::after(duration_from_micros(RESPONSE_TIMEOUT)).await;
        None
    };
    exchanged.or(timeout).await
}

fn reply(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    if let Ok(kind) = kind.parse() {
        reply.headers_mut().insert(CONTENT_TYPE, kind);
    }
    reply
}

async fn handle(
    peers: &Peers,
    transport: &PeerTransport,
    from: Option<IpAddr>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    match (request.method(), request.uri().path()) {
        (&Method::POST, PATH) => {
            let body = Limited::new(request.into_body(), MAX_BODY_BYTES)
                .collect()
                .await;
            let Ok(body) = body.map(|b| b.to_bytes()) else {
                return reply(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "text/plain",
                    "larger than members say at once",
                );
            };
            match peers
                .receive(from, &body)
                .map(|answer| postcard::to_stdvec(&answer))
            {
                Ok(Ok(answer)) => reply(StatusCode::OK, "application/octet-stream", answer),
                Ok(Err(_)) => reply(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", ""),
                Err(RejectionCause::Unreadable) => reply(
                    StatusCode::BAD_REQUEST,
                    "text/plain",
                    RejectionCause::Unreadable.to_string(),
                ),
                Err(cause) => reply(StatusCode::FORBIDDEN, "text/plain", cause.to_string()),
            }
        }
        (&Method::GET, "/state") => {
            let state = state_endpoint::state(peers, transport.counts());
            reply(StatusCode::OK, "application/json", state.to_string())
        }
        (&Method::GET, "/metrics") => reply(
            StatusCode::OK,
            "text/plain; version=0.0.4",
            state_endpoint::metrics(peers, transport.counts()),
        ),
        (_, PATH | "/state" | "/metrics") => {
            reply(StatusCode::METHOD_NOT_ALLOWED, "text/plain", "")
        }
        _ => reply(StatusCode::NOT_FOUND, "text/plain", ""),
    }
}

/// Accepts connections of members and operators, for as long as the router runs.
pub async fn accept_connections(
    peers: Rc<Peers>,
    transport: Rc<PeerTransport>,
    listener: Async<TcpListener>,
) {
    let open_connections = Rc::new(Cell::new(0usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Most likely out of file descriptors: wait until some are released.
            Timer::after(duration_from_micros(RETRY_DELAY)).await;
            continue;
        };
        if open_connections.get() >= MAX_CONNECTIONS {
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let _ = stream.get_ref().set_nodelay(true);
        let (peers, serving, open_connections) =
            (peers.clone(), transport.clone(), open_connections.clone());
        let served = async move {
            serve(stream, peers, serving).await;
            open_connections.set(open_connections.get() - 1);
        };
        transport.executor.spawn(served).detach();
    }
}

async fn serve(stream: Stream, peers: Rc<Peers>, transport: Rc<PeerTransport>) {
    let from = stream.get_ref().peer_addr().ok().map(|a| a.ip());
    let service = service_fn(|request| {
        let (peers, transport) = (peers.clone(), transport.clone());
        async move { Ok::<_, Infallible>(handle(&peers, &transport, from, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(SmolTimer::new())
        .header_read_timeout(duration_from_micros(HEADER_TIMEOUT));
    // However the connection ends, the other side notices it by itself.
    let _ = builder
        .serve_connection(FuturesIo::new(stream), service)
        .await;
}

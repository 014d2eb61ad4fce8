//! The port for the members of a group and for operators: takes the POSTs of [`peer_transport`](crate::peer_transport), and
//! serves `GET /state` and `GET /metrics`.

use std::convert::Infallible;
use std::net::{IpAddr, TcpListener};
use std::rc::Rc;

use async_io::{Async, Timer};
use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_net::{FairStream, LoopShare, Stream, duration_from_micros, is_reset};
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::client_connection::ClientConnection;
use crate::open_connections::{Admission, OpenConnections};
use crate::peer_transport::{MAX_BODY_BYTES, PATH, PeerTransport};
use crate::peers::Peers;
use crate::rejected_envelopes::RejectionCause;
use crate::state_endpoint;
use crate::task_owner::TaskOwner;

/// Delay after a failed accept, in microseconds.
const RETRY_DELAY: Micros = 20_000;
/// Time limit for reading the head of a request, in microseconds.
const HEADER_TIMEOUT: Micros = 30_000_000;
/// Limit on the open connections of members and operators; far fewer are needed in operation. A further one takes the place of
/// one without a request in progress.
const MAX_CONNECTIONS: usize = 512;

/// Creates a response. `kind`: its content type.
fn reply(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    if let Ok(kind) = kind.parse() {
        reply.headers_mut().insert(CONTENT_TYPE, kind);
    }
    reply
}

/// Handles a request of a member or an operator.
async fn handle(
    peers: &Peers,
    transport: &PeerTransport,
    from: IpAddr,
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
                .receive(Some(from), &body)
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

/// Accepts connections of members and operators until the router ends.
pub async fn accept_connections(
    peers: Rc<Peers>,
    transport: Rc<PeerTransport>,
    listener: Async<TcpListener>,
) {
    let open_connections = Rc::new(OpenConnections::new(MAX_CONNECTIONS));
    let mut share = LoopShare::default();
    loop {
        share.step().await;
        let Ok((stream, from)) = listener.accept().await else {
            // The process has most likely run out of file descriptors: wait until some are released.
            Timer::after(duration_from_micros(RETRY_DELAY)).await;
            continue;
        };
        if is_reset(stream.get_ref()) {
            continue;
        }
        let _ = stream.get_ref().set_nodelay(true);
        let now = peers.clock().now();
        let client = Rc::new(ClientConnection::opened(now));
        let (number, signals, evicts) =
            match open_connections.connected(now, from.ip(), client.clone()) {
                Admission::Open(number, signals) => (number, signals, false),
                Admission::InPlaceOfAnother(number, signals) => (number, signals, true),
                Admission::Refused => continue,
            };
        let connection = MemberConnection {
            client,
            address: from.ip(),
            peers: peers.clone(),
            transport: transport.clone(),
        };
        let open_connections = open_connections.clone();
        let served = async move {
            let evicted = signals.evict.notified();
            connection.serve(stream).or(evicted).await;
            open_connections.ended(number);
        };
        let owner = TaskOwner::Member(None);
        transport.executor().spawn(owner, served).detach();
        if evicts {
            // The evicted connection closes its descriptor before the next connection is accepted.
            yield_now().await;
        }
    }
}

/// A connection of a member or an operator.
struct MemberConnection {
    client: Rc<ClientConnection>,
    address: IpAddr,
    peers: Rc<Peers>,
    transport: Rc<PeerTransport>,
}

impl MemberConnection {
    /// Serves the requests of the connection until it ends.
    async fn serve(&self, stream: Stream) {
        let service = service_fn(|request| async {
            let _served = self.client.serve(self.peers.clock());
            let handled = handle(&self.peers, &self.transport, self.address, request);
            Ok::<_, Infallible>(handled.await)
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(SmolTimer::new())
            .header_read_timeout(duration_from_micros(HEADER_TIMEOUT));
        // Errors are ignored: the other side detects the end of the connection itself.
        let _ = builder
            .serve_connection(FuturesIo::new(FairStream::new(stream)), service)
            .await;
    }
}

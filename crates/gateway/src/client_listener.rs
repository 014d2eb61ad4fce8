//! Connections of KServe clients: listens, performs TLS handshakes, limits the number of connections, and serves each
//! with the protocol of its listener. Requests are handled in `rest.rs`, `grpc.rs` and `request_handling.rs`.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use async_io::{Async, Timer};
use cedarpulley::interface::Micros;
use cedarpulley_certificates::ClientAccounts;
use cedarpulley_net::{
    FairStream, LoopShare, Notifier, PeerStream, Stream, duration_from_micros, is_reset,
};
use cedarpulley_router::Input;
use cedarpulley_router::concurrency_limit::FrontState;
use futures_lite::future::yield_now;
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use futures_rustls::server::TlsStream;

use crate::client_connection::ClientConnection;
use crate::open_connections::{Admission, ConnectionNumber, OpenConnections};
use crate::request_handling::RequestHandler;
use crate::task_owner::TaskOwner;
use crate::tls::{ServerTls, TlsFiles};
use crate::{grpc, rest};

/// A connection is closed if the client reads nothing for this time while output is waiting. In microseconds.
const WRITE_STALL_TIMEOUT: Micros = 30_000_000;

/// The protocol of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1 with JSON, optionally followed by raw tensors.
    Rest,
    /// KServe v2 over gRPC.
    Grpc,
}

/// Configuration of one listener.
#[derive(Clone, Debug)]
pub struct ListenerSettings {
    /// Name of the front in logs and traces.
    pub name: String,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Protocol of the listener.
    pub protocol: Protocol,
    /// Limit on open connections; a further one takes the place of one without a request in progress.
    pub max_connections: usize,
    /// Limit on concurrent requests of one connection; applies to gRPC only.
    pub max_streams: u32,
    /// Certificate files, if TLS is used.
    pub tls: Option<TlsFiles>,
}

/// A stream that fails with a time-out if the peer accepts no pending output for too long.
pub struct StallGuard<S> {
    stream: S,
    stall_timer: Option<Timer>,
}

impl<S> StallGuard<S> {
    /// Wraps a stream.
    pub fn new(stream: S) -> Self {
        StallGuard {
            stream,
            stall_timer: None,
        }
    }

    fn watch<T>(&mut self, cx: &mut Context, polled: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.stall_timer = None;
            return polled;
        }
        let timer = self
            .stall_timer
            .get_or_insert_with(|| Timer::after(duration_from_micros(WRITE_STALL_TIMEOUT)));
        match Pin::new(timer).poll(cx) {
            Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for StallGuard<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for StallGuard<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.watch(cx, polled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        self.watch(cx, polled)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// One listener and its open connections.
pub struct ClientListener {
    /// Handles the requests of all connections.
    pub handler: Rc<RequestHandler>,
    settings: ListenerSettings,
    tls: Option<Rc<ServerTls>>,
    /// The account that each client certificate is bound to.
    certificate_accounts: Rc<ClientAccounts>,
    connections: OpenConnections,
    /// Number of connections closed after a failed handshake, or with a certificate that is bound to no account.
    refused_handshakes: Cell<u64>,
}

impl ClientListener {
    /// Creates a listener; it accepts connections in [`run`](Self::run).
    pub fn new(
        handler: Rc<RequestHandler>,
        settings: ListenerSettings,
        tls: Option<Rc<ServerTls>>,
        certificate_accounts: Rc<ClientAccounts>,
    ) -> Self {
        ClientListener {
            handler,
            connections: OpenConnections::new(settings.max_connections),
            settings,
            tls,
            certificate_accounts,
            refused_handshakes: Cell::new(0),
        }
    }

    /// Tells open connections to accept no new requests and to complete the open ones. New connections are still
    /// accepted, and the core rejects their requests: if a connection were closed at once, its client could not
    /// tell whether the request was executed.
    pub fn stop(&self) {
        self.connections.stop();
    }

    /// Logs the counts of connections since the router was started.
    pub(crate) fn log_counts(&self) {
        let (evicted, refused) = self.connections.closed_counts();
        tracing::info!(
            front = %self.settings.name,
            evicted,
            refused,
            refused_handshakes = self.refused_handshakes.get(),
            "client connection counts"
        );
    }

    /// Accepts connections until the router stops.
    pub async fn run(self: Rc<Self>, listener: Async<TcpListener>) {
        let context = &self.handler.context;
        context.feed(Input::FrontChanged {
            front: self.handler.front,
            state: FrontState::Up,
        });
        tracing::info!(front = %self.settings.name, address = %self.settings.address, "listening for clients");
        if let Some(tls) = self.tls.clone() {
            let watching = tls.watch(context.clock, self.settings.name.clone());
            let executor = &context.executor;
            executor.spawn(TaskOwner::Housekeeping, watching).detach();
        }
        let mut share = LoopShare::default();
        loop {
            share.step().await;
            let Ok((stream, peer)) = listener.accept().await else {
                // The likely cause is a lack of file descriptors: wait 10 ms for some to be released.
                Timer::after(duration_from_micros(10_000)).await;
                continue;
            };
            if is_reset(stream.get_ref()) {
                continue;
            }
            let _ = stream.get_ref().set_nodelay(true);
            self.open(stream, peer.ip()).await;
        }
    }

    /// Starts the task of an accepted connection, unless it has to be closed.
    async fn open(self: &Rc<Self>, stream: Stream, address: IpAddr) {
        let context = &self.handler.context;
        let now = context.clock.now();
        let client = Rc::new(ClientConnection::opened(now));
        let admission = self.connections.connected(now, address, client.clone());
        let evicts = matches!(admission, Admission::InPlaceOfAnother(..));
        let (Admission::Open(number, signals) | Admission::InPlaceOfAnother(number, signals)) =
            admission
        else {
            return;
        };
        let guard = ConnectionGuard {
            listener: self.clone(),
            number,
        };
        let evict = signals.evict.clone();
        let stream = FairStream::observed(stream, client.read_progress().clone());
        let served = Box::pin(self.clone().serve_stream(client, stream, signals.stop));
        let task = async move {
            let _guard = guard;
            let evicted = async { evict.notified().await };
            served.or(evicted).await;
        };
        let owner = TaskOwner::Client {
            front: self.handler.front,
            connection: number,
        };
        context.executor.spawn(owner, task).detach();
        if evicts {
            // The evicted connection closes its descriptor before the next connection is accepted.
            yield_now().await;
        }
    }

    /// Serves an accepted connection, after a handshake if TLS is used.
    async fn serve_stream(
        self: Rc<Self>,
        client: Rc<ClientConnection>,
        stream: PeerStream,
        stop: Notifier,
    ) {
        // Each future is boxed, so that an idle connection (there may be 10,000) does not take the memory of the
        // largest of them.
        let Some(tls) = self.tls.clone() else {
            return Box::pin(self.serve(client, StallGuard::new(stream), stop)).await;
        };
        let stream = Box::pin(self.handshake(&client, &tls, stream)).await;
        match stream {
            Some(stream) => Box::pin(self.serve(client, StallGuard::new(stream), stop)).await,
            None => self
                .refused_handshakes
                .set(self.refused_handshakes.get() + 1),
        }
    }

    /// Performs the TLS handshake. Returns `None` if it fails, or if the client's certificate has to be bound to an
    /// account and is not.
    async fn handshake(
        &self,
        client: &ClientConnection,
        tls: &ServerTls,
        stream: PeerStream,
    ) -> Option<TlsStream<PeerStream>> {
        let accepted = async { tls.accept(stream).await.ok() };
        let stream = accepted.or(self.handshake_memory_exceeded(client)).await?;
        if tls.requires_client_certificate() && !self.certificate_accounts.is_empty() {
            let (_, session) = stream.get_ref();
            let account = self
                .certificate_accounts
                .account(session.peer_certificates()?.first()?)?;
            client.bind_account(account);
        }
        Some(stream)
    }

    /// Counts what arrives during a handshake; returns `None` once the connection has to be closed for it.
    async fn handshake_memory_exceeded<T>(&self, client: &ClientConnection) -> Option<T> {
        let input = self.handler.resources.input_memory.connection();
        let progress = client.read_progress();
        let counting = async {
            loop {
                input.set(0, usize::try_from(progress.bytes()).unwrap_or(usize::MAX));
                progress.changed().await;
            }
        };
        input.closing().or(counting).await;
        None
    }

    /// Serves the protocol until the connection ends; by then all its open requests have been dropped.
    async fn serve(
        self: Rc<Self>,
        client: Rc<ClientConnection>,
        stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
        stop: Notifier,
    ) {
        match self.settings.protocol {
            Protocol::Rest => {
                Box::pin(rest::serve(self.handler.clone(), client, stream, stop)).await
            }
            Protocol::Grpc => {
                Box::pin(grpc::serve(self.handler.clone(), client, stream, stop)).await
            }
        }
    }
}

/// Counts a connection as open until it is dropped.
struct ConnectionGuard {
    listener: Rc<ClientListener>,
    number: ConnectionNumber,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.listener.connections.ended(self.number);
    }
}

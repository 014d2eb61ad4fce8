//! Connections of clients that call: listening, TLS, how many stand, and which protocol each is handed to. What comes
//! over them is for `rest.rs` and `grpc.rs`, and for what those have in common (`calls.rs`).

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use async_io::{Async, Timer};
use cedarpulley::interface::Micros;
use cedarpulley_certificates::Speakers;
use cedarpulley_net::{Bell, Stream, micros};
use cedarpulley_router::Input;
use cedarpulley_router::admission::FrontState;
use futures_lite::{AsyncRead, AsyncWrite};
use futures_rustls::server::TlsStream;

use crate::calls::{Calls, Line};
use crate::tls::{Files, Inward};
use crate::{grpc, rest};

/// A client that reads nothing for so long while something waits for it has gone, for all that we can tell.
const READ_WITHIN: Micros = 30_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1 with JSON, and raw tensors after it.
    Rest,
    Grpc,
}

/// Where to listen.
#[derive(Clone, Debug)]
pub struct Listen {
    pub name: String,
    pub address: SocketAddr,
    pub protocol: Protocol,
    pub most_connections: usize,
    /// Requests at once on one connection, where the protocol has them.
    pub most_streams: u32,
    pub tls: Option<Files>,
}

/// A connection that fails once nothing of what waits to be written has gone for too long.
pub struct Paced<S> {
    stream: S,
    stuck: Option<Timer>,
}

impl<S> Paced<S> {
    pub fn new(stream: S) -> Self {
        Paced { stream, stuck: None }
    }

    fn watch<T>(&mut self, cx: &mut Context, polled: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.stuck = None;
            return polled;
        }
        let timer = self.stuck.get_or_insert_with(|| Timer::after(micros(READ_WITHIN)));
        match Pin::new(timer).poll(cx) {
            Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Paced<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Paced<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
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

pub struct Listening {
    pub calls: Rc<Calls>,
    listen: Listen,
    tls: Option<Rc<Inward>>,
    /// Whose certificates speak for which account.
    speakers: Rc<Speakers>,
    /// Connections that stand, each with the bell that tells it of a stop.
    stand: RefCell<HashMap<u64, Bell>>,
    /// Connections closed at once for being beyond `most_connections`.
    pub closed: Cell<u64>,
    /// Connections without a handshake, or with a certificate that speaks for no account.
    pub refused: Cell<u64>,
}

impl Listening {
    pub fn new(calls: Rc<Calls>, listen: Listen, tls: Option<Rc<Inward>>, speakers: Rc<Speakers>) -> Self {
        let (stand, closed, refused) = (RefCell::default(), Cell::new(0), Cell::new(0));
        Listening { calls, listen, tls, speakers, stand, closed, refused }
    }

    /// Connections that stand are told that nothing new is taken; what they have open goes on. One that comes later is
    /// answered so by the door: closed at once, it would not know that nothing of it ran.
    pub fn stop(&self) {
        self.stand.borrow().values().for_each(Bell::ring);
    }

    /// Listens until the router ends.
    pub async fn run(self: Rc<Self>, listener: Async<TcpListener>) {
        let context = &self.calls.context;
        context.feed(Input::Front { front: self.calls.ix, state: FrontState::Up });
        tracing::info!(front = %self.listen.name, address = %self.listen.address, "listening");
        if let Some(tls) = self.tls.clone() {
            context.executor.spawn(tls.watch(context.clock, self.listen.name.clone())).detach();
        }
        let mut serial = 0;
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // Out of descriptors, most likely: some will be given back.
                Timer::after(micros(10_000)).await;
                continue;
            };
            if self.stand.borrow().len() >= self.listen.most_connections {
                self.closed.set(self.closed.get() + 1);
                continue;
            }
            let _ = stream.get_ref().set_nodelay(true);
            let (it, stop) = (self.clone(), Bell::default());
            serial += 1;
            let stands = Stands(self.clone(), serial);
            self.stand.borrow_mut().insert(serial, stop.clone());
            let served = context.executor.spawn(async move {
                let _stands = stands;
                let line = Rc::new(Line::default());
                // Each on its own: ten thousand idle ones must not take the largest one's room.
                let Some(tls) = it.tls.clone() else {
                    return Box::pin(it.serve(line, Paced::new(stream), stop)).await;
                };
                let Some(stream) = Box::pin(it.handshake(&line, &tls, stream)).await else {
                    return it.refused.set(it.refused.get() + 1);
                };
                Box::pin(it.serve(line, Paced::new(stream), stop)).await;
            });
            served.detach();
        }
    }

    /// Absent if there was no handshake, or its certificate speaks for none where it has to.
    async fn handshake(&self, line: &Line, tls: &Inward, stream: Stream) -> Option<TlsStream<Stream>> {
        let stream = tls.accept(stream).await.ok()?;
        if tls.asks_clients() && !self.speakers.is_empty() {
            let (_, session) = stream.get_ref();
            let account = self.speakers.account(session.peer_certificates()?.first()?)?;
            line.speaks_for(account);
        }
        Some(stream)
    }

    /// However it ends, its open requests have been dropped by then.
    async fn serve(
        self: Rc<Self>,
        line: Rc<Line>,
        stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
        stop: Bell,
    ) {
        match self.listen.protocol {
            Protocol::Rest => Box::pin(rest::serve(self.calls.clone(), line, stream, stop)).await,
            Protocol::Grpc => Box::pin(grpc::serve(self.calls.clone(), line, stream, stop)).await,
        }
    }
}

/// A connection's place among those that stand.
struct Stands(Rc<Listening>, u64);

impl Drop for Stands {
    fn drop(&mut self) {
        self.0.stand.borrow_mut().remove(&self.1);
    }
}

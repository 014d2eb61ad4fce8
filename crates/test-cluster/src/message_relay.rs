//! The mode of a relay for HTTP/1.1. Requests and responses are forwarded as complete messages, so that messages can be
//! dropped, duplicated or reordered. Connections are kept alive on both sides.
//!
//! Mechanisms:
//! 1. A request that the relay has received is delivered even if its sender has disconnected, like bytes in a network.
//!    Its response is delivered to that sender only.
//! 2. The sender of a dropped message waits until it times out or the link is healed.
//! 3. A reordered request waits until another request has been delivered, but no longer than one second.

use std::future::pending;
use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full, Limited};
use hyper::HeaderMap;
use hyper::body::{Body, Bytes, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{CONNECTION, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol::Task;
use smol::channel::{Sender, bounded};
use smol::lock::Mutex;
use smol_hyper::rt::FuturesIo;

use crate::links::{LinkDirection, LinkFault};
use crate::relay::{Link, reset};

const MAX_BODY_BYTES: usize = 64 << 20;
/// Longest time for which a reordered request waits for a later request.
const REORDER_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of requests in flight on one link; further requests are dropped and logged.
const MAX_IN_FLIGHT: usize = 1000;

type Answer = Response<Full<Bytes>>;

/// A kept-alive connection to the far side.
struct RemoteConnection {
    sender: SendRequest<Full<Bytes>>,
    _driver: Task<()>,
    handle: TcpStream,
    link: Arc<Link>,
}

impl Drop for RemoteConnection {
    fn drop(&mut self) {
        if self.link.is_broken() {
            reset(&self.handle);
        }
    }
}

/// The kept-alive connection to the far side that belongs to one connection of the near side.
type KeptConnection = Arc<Mutex<Option<RemoteConnection>>>;

/// Whether a connection has lost a message, by direction.
#[derive(Default)]
struct Losses {
    outbound: AtomicBool,
    inbound: AtomicBool,
}

/// Guard that counts a message as in flight until it is dropped.
struct InFlightMessage(Arc<Link>);

impl InFlightMessage {
    fn begin(link: &Arc<Link>) -> Option<InFlightMessage> {
        let this = InFlightMessage(link.clone());
        (link.in_flight.fetch_add(1, Ordering::SeqCst) < MAX_IN_FLIGHT).then_some(this)
    }
}

impl Drop for InFlightMessage {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Link {
    /// Waits until connections to the far side are broken by a fault or a reset.
    async fn until_broken(&self) {
        let resets_before = self.resets();
        loop {
            let changed = self.outbound.changed();
            if self.is_broken() || self.resets() != resets_before {
                return;
            }
            changed.await;
        }
    }

    /// Waits for the time that a message takes in this direction; returns false if the message is lost.
    async fn transmit(&self, direction: &LinkDirection, size: usize) -> bool {
        Timer::after(self.delay(direction)).await;
        if let LinkFault::Throttled { bytes_per_s } = direction.fault() {
            Timer::after(Duration::from_secs_f64(
                size as f64 / bytes_per_s.max(1) as f64,
            ))
            .await;
        }
        direction.passes().await
    }

    async fn open_connection(self: &Arc<Self>) -> io::Result<RemoteConnection> {
        let stream = self.connect().await?;
        let handle = stream.get_ref().try_clone()?;
        let (sender, driver) = handshake(FuturesIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let _driver = self.host.executor.spawn(async move {
            // An error is returned to the caller that waits for the sender.
            let _ = driver.await;
        });
        Ok(RemoteConnection {
            sender,
            _driver,
            handle,
            link: self.clone(),
        })
    }

    async fn exchange(
        self: &Arc<Self>,
        kept_connection: &KeptConnection,
        request: Request<Bytes>,
    ) -> io::Result<Answer> {
        let requesting = async {
            let mut kept = kept_connection.lock().await;
            let mut connection = match kept
                .take()
                .filter(|connection| !connection.sender.is_closed())
            {
                Some(connection) => connection,
                None => self.open_connection().await?,
            };
            let answer = connection
                .sender
                .send_request(request.map(Full::new))
                .await
                .map_err(io::Error::other)?;
            let (mut head, body) = answer.into_parts();
            let body = Limited::new(body, MAX_BODY_BYTES)
                .collect()
                .await
                .map_err(io::Error::other)?;
            remove_hop_headers(&mut head.headers);
            if connection.sender.ready().await.is_ok() {
                *kept = Some(connection);
            }
            Ok(Response::from_parts(head, Full::new(body.to_bytes())))
        };
        let broken = async {
            self.until_broken().await;
            Err(io::ErrorKind::ConnectionReset.into())
        };
        broken.or(requesting).await
    }
}

/// Removes the headers that concern only one connection.
fn remove_hop_headers(headers: &mut HeaderMap) {
    headers.remove(CONNECTION);
    headers.remove(TRANSFER_ENCODING);
}

/// Forwards the messages of a connection until it ends.
pub(crate) async fn forward_connection(near: Async<TcpStream>, link: Arc<Link>) {
    let resets_before = link.resets();
    let Ok(handle) = near.get_ref().try_clone() else {
        return;
    };
    let (kept_connection, losses) = (KeptConnection::default(), Arc::new(Losses::default()));
    let service = service_fn(|request| {
        let exchange = Exchange {
            link: link.clone(),
            kept_connection: kept_connection.clone(),
            losses: losses.clone(),
        };
        exchange.forward(request)
    });
    let serving = async {
        // An error only concerns the near side, which notices that the connection ends.
        let _ = http1::Builder::new()
            .serve_connection(FuturesIo::new(near), service)
            .await;
        false
    };
    let broken = async {
        loop {
            let changed = link.outbound.changed();
            let (out_fault, in_fault) = (link.outbound.fault(), link.inbound.fault());
            let has_gap = |lost: &AtomicBool, present: LinkFault| {
                lost.load(Ordering::SeqCst) && !present.loses()
            };
            let reset =
                [out_fault, in_fault].contains(&LinkFault::Reset) || link.resets() != resets_before;
            if reset
                || in_fault == LinkFault::HalfOpen
                || has_gap(&losses.outbound, out_fault)
                || has_gap(&losses.inbound, in_fault)
            {
                return true;
            }
            if out_fault == LinkFault::HalfOpen {
                // The near side is reset when the link is healed.
                losses.outbound.store(true, Ordering::SeqCst);
                kept_connection.lock().await.take();
            }
            changed.await;
        }
    };
    if broken.or(serving).await {
        reset(&handle);
    }
}

/// One request and its response, on a connection that may have lost other messages.
struct Exchange {
    link: Arc<Link>,
    kept_connection: KeptConnection,
    losses: Arc<Losses>,
}

/// Random draws that decide what [`LinkFault::UnreliableMessages`] does to one message. All draws are always made, so
/// that changing one share does not change the draws of the others.
struct MessageDraws {
    drop: f64,
    duplicate: f64,
    reorder: f64,
    drop_answer: f64,
}

impl MessageDraws {
    fn new(link: &Link) -> Self {
        MessageDraws {
            drop: link.draw(),
            duplicate: link.draw(),
            reorder: link.draw(),
            drop_answer: link.draw(),
        }
    }
}

impl Exchange {
    /// Sends a request in a task of its own and waits for its response.
    async fn forward(self, request: Request<Incoming>) -> io::Result<Answer> {
        let (mut head, body) = request.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES)
            .collect()
            .await
            .map_err(io::Error::other)?
            .to_bytes();
        remove_hop_headers(&mut head.headers);
        let (answer_sender, answer) = bounded(1);
        let executor = self.link.host.executor.clone();
        executor
            .spawn(self.transmit(Request::from_parts(head, body), answer_sender))
            .detach();
        match answer.recv().await {
            Ok(answer) => answer,
            // The request or its response was dropped, so the near side never receives a response.
            Err(_) => pending().await,
        }
    }

    async fn transmit(self, request: Request<Bytes>, answer_sender: Sender<io::Result<Answer>>) {
        let link = &self.link;
        let Some(_in_flight) = InFlightMessage::begin(link) else {
            return tracing::error!("a relay drops a request because too many are in flight");
        };
        let draws = MessageDraws::new(link);
        let mut duplicate = None;
        if let LinkFault::UnreliableMessages { drop, twice, after } = link.outbound.fault() {
            if draws.drop < drop {
                return;
            }
            duplicate = (draws.duplicate < twice).then(|| request.clone());
            if draws.reorder < after {
                let arrived = link.message_arrived.listen();
                let timeout = async {
                    Timer::after(REORDER_TIMEOUT).await;
                };
                arrived.or(timeout).await;
            }
        }
        if !link.transmit(&link.outbound, request.body().len()).await {
            return self.losses.outbound.store(true, Ordering::SeqCst);
        }
        let answer = link.exchange(&self.kept_connection, request).await;
        link.message_arrived.notify(usize::MAX);
        if let Some(duplicate) = duplicate {
            let link = link.clone();
            let executor = link.host.executor.clone();
            let second = async move {
                // The response to the duplicate is discarded.
                let _ = link.exchange(&KeptConnection::default(), duplicate).await;
            };
            executor.spawn(second).detach();
        }
        if let (Ok(answer), fault) = (&answer, link.inbound.fault()) {
            if matches!(fault, LinkFault::UnreliableMessages { drop, .. } if draws.drop_answer < drop)
            {
                return;
            }
            let size = answer.body().size_hint().lower() as usize;
            if !link.transmit(&link.inbound, size).await {
                return self.losses.inbound.store(true, Ordering::SeqCst);
            }
        }
        let _ = answer_sender.try_send(answer);
    }
}

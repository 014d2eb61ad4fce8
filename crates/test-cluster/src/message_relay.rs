//! The relay's mode for HTTP/1.1: each request and each answer is carried as a whole, so that whole ones can be
//! dropped, duplicated or reordered. Connections are kept alive on both sides.
//!
//! Mechanisms:
//! 1. A request that has come is in flight by itself: it arrives even if its sender has gone, as bytes in a network
//!    do. Its answer is for its sender alone.
//! 2. What is dropped leaves its sender waiting, until that gives up or the link is healed.
//! 3. A reordered request waits until another one has arrived, but for a bounded time.

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

const MAX_BODY: usize = 64 << 20;
/// A reordered request waits for a later one no longer.
const REORDER_TIMEOUT: Duration = Duration::from_secs(1);
/// Requests in flight at once on one link; beyond, they are dropped and a line is logged.
const MAX_IN_FLIGHT: usize = 1000;

type Answer = Response<Full<Bytes>>;

/// A kept-alive connection onwards.
struct RemotePeer {
    sender: SendRequest<Full<Bytes>>,
    _driver: Task<()>,
    handle: TcpStream,
    link: Arc<Link>,
}

impl Drop for RemotePeer {
    fn drop(&mut self) {
        if self.link.is_broken() {
            reset(&self.handle);
        }
    }
}

/// The kept-alive connection onwards of one near connection.
type KeptPeer = Arc<Mutex<Option<RemotePeer>>>;

/// Whether a connection has lost something, by direction.
#[derive(Default)]
struct Losses {
    outbound: AtomicBool,
    inbound: AtomicBool,
}

/// Counted as in flight while it lives.
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
    /// Waits until no onward connection can stand.
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

    /// Waits as long as a message takes in this direction; false if it is lost.
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

    async fn open_peer(self: &Arc<Self>) -> io::Result<RemotePeer> {
        let stream = self.connect().await?;
        let handle = stream.get_ref().try_clone()?;
        let (sender, driver) = handshake(FuturesIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let _driver = self.host.executor.spawn(async move {
            // Whoever waits on the sender sees how it ended.
            let _ = driver.await;
        });
        Ok(RemotePeer {
            sender,
            _driver,
            handle,
            link: self.clone(),
        })
    }

    async fn exchange(
        self: &Arc<Self>,
        kept_peer: &KeptPeer,
        request: Request<Bytes>,
    ) -> io::Result<Answer> {
        let requesting = async {
            let mut kept = kept_peer.lock().await;
            let mut peer = match kept.take().filter(|peer| !peer.sender.is_closed()) {
                Some(peer) => peer,
                None => self.open_peer().await?,
            };
            let answer = peer
                .sender
                .send_request(request.map(Full::new))
                .await
                .map_err(io::Error::other)?;
            let (mut head, body) = answer.into_parts();
            let body = Limited::new(body, MAX_BODY)
                .collect()
                .await
                .map_err(io::Error::other)?;
            remove_hop_headers(&mut head.headers);
            if peer.sender.ready().await.is_ok() {
                *kept = Some(peer);
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

/// Removes what concerns one connection only.
fn remove_hop_headers(headers: &mut HeaderMap) {
    headers.remove(CONNECTION);
    headers.remove(TRANSFER_ENCODING);
}

/// Carries a connection's messages until it ends.
pub(crate) async fn carry_connection(near: Async<TcpStream>, link: Arc<Link>) {
    let resets_before = link.resets();
    let Ok(handle) = near.get_ref().try_clone() else {
        return;
    };
    let (kept_peer, losses) = (KeptPeer::default(), Arc::new(Losses::default()));
    let service = service_fn(|request| {
        let exchange = Exchange {
            link: link.clone(),
            kept_peer: kept_peer.clone(),
            losses: losses.clone(),
        };
        exchange.carry(request)
    });
    let serving = async {
        // However it ends, the near side has seen it.
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
                // The near side sees it when the link is healed.
                losses.outbound.store(true, Ordering::SeqCst);
                kept_peer.lock().await.take();
            }
            changed.await;
        }
    };
    if broken.or(serving).await {
        reset(&handle);
    }
}

/// One request and its answer, on a connection that may have lost others.
struct Exchange {
    link: Arc<Link>,
    kept_peer: KeptPeer,
    losses: Arc<Losses>,
}

/// What happens to one message by [`Fault::Unruly`]. All is drawn in any case, so that one fault's draws do not move
/// the others'.
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
    /// Puts a request in flight and waits for its answer.
    async fn carry(self, request: Request<Incoming>) -> io::Result<Answer> {
        let (mut head, body) = request.into_parts();
        let body = Limited::new(body, MAX_BODY)
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
            // It or its answer was dropped: what the near side waits for does not come.
            Err(_) => pending().await,
        }
    }

    async fn transmit(self, request: Request<Bytes>, answer_sender: Sender<io::Result<Answer>>) {
        let link = &self.link;
        let Some(_in_flight) = InFlightMessage::begin(link) else {
            return tracing::error!("a relay drops a request: too many are in flight");
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
        let answer = link.exchange(&self.kept_peer, request).await;
        link.message_arrived.notify(usize::MAX);
        if let Some(duplicate) = duplicate {
            let link = link.clone();
            let executor = link.host.executor.clone();
            let second = async move {
                // Its answer is for nobody.
                let _ = link.exchange(&KeptPeer::default(), duplicate).await;
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

//! The relay's form for HTTP/1.1: each request and each answer is carried as a whole, so that whole ones can be
//! dropped, sent twice or sent after later ones. Connections are kept alive on both sides.
//!
//! Mechanisms:
//! 1. A request that has come is on its way by itself: it arrives even if its sender has gone, as bytes in a
//!    network do. Its answer is for its sender alone.
//! 2. What is dropped leaves its sender waiting, until that gives up or the link is healed.
//! 3. One sent after later ones waits until another has passed, but for a bounded time.

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

use crate::links::{Fault, Way};
use crate::relay::{Link, reset};

const MOST_BODY: usize = 64 << 20;
/// One that waits for a later one waits no longer.
const AFTER_WITHIN: Duration = Duration::from_secs(1);
/// Requests on their way at once on one link; beyond, they are dropped and a line is logged.
const MOST_ON_THE_WAY: usize = 1000;

type Answer = Response<Full<Bytes>>;

/// A kept connection onwards.
struct Far {
    sender: SendRequest<Full<Bytes>>,
    _driver: Task<()>,
    handle: TcpStream,
    link: Arc<Link>,
}

impl Drop for Far {
    fn drop(&mut self) {
        if self.link.is_broken() {
            reset(&self.handle);
        }
    }
}

type Onward = Arc<Mutex<Option<Far>>>;
type Lost = Arc<[AtomicBool; 2]>;

/// Counted while it lives.
struct OnTheWay(Arc<Link>);

impl OnTheWay {
    fn enter(link: &Arc<Link>) -> Option<OnTheWay> {
        let this = OnTheWay(link.clone());
        (link.on_the_way.fetch_add(1, Ordering::SeqCst) < MOST_ON_THE_WAY).then_some(this)
    }
}

impl Drop for OnTheWay {
    fn drop(&mut self) {
        self.0.on_the_way.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Link {
    /// No connection onwards stands any more.
    pub fn is_broken(&self) -> bool {
        matches!(self.out.fault(), Fault::Reset | Fault::HalfOpen)
            || self.back.fault() == Fault::Reset
    }

    async fn breaks(&self) {
        let born = self.resets();
        loop {
            let change = self.out.change();
            if self.is_broken() || self.resets() != born {
                return;
            }
            change.await;
        }
    }

    /// False if it is lost on this way.
    async fn passes(&self, way: &Way, size: usize) -> bool {
        Timer::after(self.late(way)).await;
        if let Fault::Throttled { bytes_per_s } = way.fault() {
            Timer::after(Duration::from_secs_f64(
                size as f64 / bytes_per_s.max(1) as f64,
            ))
            .await;
        }
        way.lets().await
    }

    async fn open(self: &Arc<Self>) -> io::Result<Far> {
        let stream = self.connect().await?;
        let handle = stream.get_ref().try_clone()?;
        let (sender, driver) = handshake(FuturesIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let _driver = self.ground.executor.spawn(async move {
            // How it ended is told to whoever waits on the sender.
            let _ = driver.await;
        });
        Ok(Far {
            sender,
            _driver,
            handle,
            link: self.clone(),
        })
    }

    async fn exchange(
        self: &Arc<Self>,
        onward: &Onward,
        request: Request<Bytes>,
    ) -> io::Result<Answer> {
        let asking = async {
            let mut kept = onward.lock().await;
            let mut far = match kept.take().filter(|far| !far.sender.is_closed()) {
                Some(far) => far,
                None => self.open().await?,
            };
            let answer = far
                .sender
                .send_request(request.map(Full::new))
                .await
                .map_err(io::Error::other)?;
            let (mut head, body) = answer.into_parts();
            let body = Limited::new(body, MOST_BODY)
                .collect()
                .await
                .map_err(io::Error::other)?;
            plain(&mut head.headers);
            if far.sender.ready().await.is_ok() {
                *kept = Some(far);
            }
            Ok(Response::from_parts(head, Full::new(body.to_bytes())))
        };
        let broken = async {
            self.breaks().await;
            Err(io::ErrorKind::ConnectionReset.into())
        };
        broken.or(asking).await
    }
}

/// What is said of one connection only.
fn plain(headers: &mut HeaderMap) {
    headers.remove(CONNECTION);
    headers.remove(TRANSFER_ENCODING);
}

pub(crate) async fn connection(near: Async<TcpStream>, link: Arc<Link>) {
    let born = link.resets();
    let Ok(handle) = near.get_ref().try_clone() else {
        return;
    };
    let (onward, lost) = (Onward::default(), Lost::default());
    let service = service_fn(|request| carry(link.clone(), onward.clone(), lost.clone(), request));
    let serving = async {
        // However it ends, the near side has seen it.
        let _ = http1::Builder::new()
            .serve_connection(FuturesIo::new(near), service)
            .await;
        false
    };
    let broken = async {
        loop {
            let change = link.out.change();
            let faults = [link.out.fault(), link.back.fault()];
            let gap = |n: usize| lost[n].load(Ordering::SeqCst) && !faults[n].loses();
            let reset = faults.contains(&Fault::Reset) || link.resets() != born;
            if reset || faults[1] == Fault::HalfOpen || gap(0) || gap(1) {
                return true;
            }
            if faults[0] == Fault::HalfOpen {
                // The near side hears of it when healed.
                lost[0].store(true, Ordering::SeqCst);
                onward.lock().await.take();
            }
            change.await;
        }
    };
    if broken.or(serving).await {
        reset(&handle);
    }
}

async fn carry(
    link: Arc<Link>,
    onward: Onward,
    lost: Lost,
    request: Request<Incoming>,
) -> io::Result<Answer> {
    let (mut head, body) = request.into_parts();
    let body = Limited::new(body, MOST_BODY)
        .collect()
        .await
        .map_err(io::Error::other)?
        .to_bytes();
    plain(&mut head.headers);
    let (tell, told) = bounded(1);
    let executor = link.ground.executor.clone();
    executor
        .spawn(on_its_way(
            link,
            onward,
            lost,
            Request::from_parts(head, body),
            tell,
        ))
        .detach();
    match told.recv().await {
        Ok(answer) => answer,
        // It or its answer was dropped: what the near side waits for does not come.
        Err(_) => pending().await,
    }
}

async fn on_its_way(
    link: Arc<Link>,
    onward: Onward,
    lost: Lost,
    request: Request<Bytes>,
    tell: Sender<io::Result<Answer>>,
) {
    let Some(_counted) = OnTheWay::enter(&link) else {
        return tracing::error!("a relay drops a request: too many are on their way");
    };
    // All drawn in any case, so that one fault's draws do not move the others'.
    let draws = [link.draw(), link.draw(), link.draw(), link.draw()];
    let mut again = None;
    if let Fault::Unruly { drop, twice, after } = link.out.fault() {
        if draws[0] < drop {
            return;
        }
        again = (draws[1] < twice).then(|| request.clone());
        if draws[2] < after {
            let passed = link.passed.listen();
            let late = async {
                Timer::after(AFTER_WITHIN).await;
            };
            passed.or(late).await;
        }
    }
    if !link.passes(&link.out, request.body().len()).await {
        return lost[0].store(true, Ordering::SeqCst);
    }
    let answer = link.exchange(&onward, request).await;
    link.passed.notify(usize::MAX);
    if let Some(again) = again {
        let link = link.clone();
        let executor = link.ground.executor.clone();
        let second = async move {
            // Its answer is for nobody.
            let _ = link.exchange(&Onward::default(), again).await;
        };
        executor.spawn(second).detach();
    }
    if let (Ok(answer), back) = (&answer, link.back.fault()) {
        if matches!(back, Fault::Unruly { drop, .. } if draws[3] < drop) {
            return;
        }
        let size = answer.body().size_hint().lower() as usize;
        if !link.passes(&link.back, size).await {
            return lost[1].store(true, Ordering::SeqCst);
        }
    }
    let _ = tell.try_send(answer);
}

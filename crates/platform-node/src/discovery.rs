//! Follows the discovery channel: polls for the events after the last one, and connects again after a disconnection, a
//! silence or a change of its address.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use async_io::Timer;
use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
use cedarpulley_net::{Notifier, Stream, connect, duration_from_micros};
use cedarpulley_platform::discovery::{
    DiscoveryContact, DiscoveryError, EventBatch, FIRST_POLL_WAIT, LIST_LEASE, ListUpdate,
    MAX_BACKOFF, POLL_WAIT, RESPONSE_MARGIN, ResponseReader, Silence, WorkerListFollower,
};
use cedarpulley_router::backoff::Backoff;
use cedarpulley_startup::Names;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use thiserror::Error;

use crate::node::Node;

/// Bytes of a response that are read at a time.
const READ_SIZE: usize = 4 << 10;

/// The discovery channel's address, and the list of workers as its events have it.
pub(crate) struct Discovery {
    names: Names,
    address: Cell<SocketAddr>,
    moved: Notifier,
    worker_list: RefCell<WorkerListFollower>,
    contact: Cell<DiscoveryContact>,
}

impl Discovery {
    /// `names`: the zones and kinds of workers. `now`: when the router starts.
    pub fn new(
        address: SocketAddr,
        names: Names,
        worker_list: WorkerListFollower,
        now: Micros,
    ) -> Self {
        Discovery {
            names,
            address: Cell::new(address),
            moved: Notifier::default(),
            worker_list: RefCell::new(worker_list),
            contact: Cell::new(DiscoveryContact::new(now)),
        }
    }

    /// Has the channel followed at another address from now on.
    pub fn move_to(&self, address: SocketAddr) {
        self.address.set(address);
        self.moved.notify();
    }

    /// Where a listed worker listens.
    pub fn worker_address(&self, id: &str) -> Option<SocketAddr> {
        self.worker_list.borrow().address(id)
    }

    /// Applies a batch to the list, and returns the updates in it. `wall_at_zero`, `unheard_for`: as for
    /// [`WorkerListFollower`].
    pub fn updates(
        &self,
        batch: &EventBatch,
        wall_at_zero: Micros,
        unheard_for: Micros,
    ) -> Result<Vec<ListUpdate>, DiscoveryError> {
        self.worker_list
            .borrow_mut()
            .apply_batch(batch, &self.names, wall_at_zero, unheard_for)
    }

    /// A response was applied.
    fn heard(&self, now: Micros) {
        let mut contact = self.contact.get();
        if let Some(Silence(silence)) = contact.heard(now) {
            tracing::warn!(unheard_ms = silence / 1_000, "discovery is in reach again");
        }
        self.contact.set(contact);
    }

    /// A poll failed.
    fn failed(&self, now: Micros, error: &ChannelError) {
        let (address, error) = (self.address.get(), error.line());
        tracing::debug!(%address, error, "discovery connection ended");
        let mut contact = self.contact.get();
        if let Some(Silence(silence)) = contact.failed(now) {
            let last_event = self.worker_list.borrow().last_cursor();
            let unheard_ms = silence / 1_000;
            tracing::warn!(%address, error, last_event, unheard_ms, "discovery is out of reach");
        }
        self.contact.set(contact);
    }

    /// Repeated events and workers beyond the limit that were ignored so far.
    pub fn ignored(&self) -> (u64, u64) {
        let list = self.worker_list.borrow();
        (list.repeated_events(), list.ignored_workers())
    }
}

/// Why the channel is connected to again.
#[derive(Debug, Error)]
enum ChannelError {
    #[error("the discovery channel's connection failed")]
    Io(#[from] std::io::Error),
    #[error("the discovery channel gave no answer in time")]
    Timeout,
    #[error("the discovery channel closed its connection")]
    Closed,
    #[error("the discovery channel has fewer events than it had")]
    Behind,
    #[error(transparent)]
    Response(#[from] DiscoveryError),
}

impl Remedy for ChannelError {
    fn remedy(&self) -> &'static str {
        match self {
            ChannelError::Response(error) => error.remedy(),
            ChannelError::Behind => {
                "see whether the channel was restored from an older state; restart the routers if it was"
            }
            _ => "nothing, if it comes now and then; else see that the channel runs and is reached",
        }
    }
}

/// Follows the channel for as long as the router runs. `seed`: for the backoff's jitter.
pub(crate) async fn follow(node: Rc<Node>, seed: u64) {
    let mut backoff = Backoff::with_max_delay(seed, MAX_BACKOFF);
    loop {
        let connected_at = node.clock.now();
        let poll_and_back_off = async {
            if let Err(error) = poll_on_one_connection(&node).await {
                node.discovery.failed(node.clock.now(), &error);
            }
            let pause = backoff.next_delay(node.clock.now() - connected_at);
            Timer::after(duration_from_micros(pause)).await;
        };
        // After a move there is no backoff at the new address.
        node.discovery.moved.notified().or(poll_and_back_off).await;
    }
}

/// Polls on one connection until it fails.
async fn poll_on_one_connection(node: &Rc<Node>) -> Result<(), ChannelError> {
    let address = node.discovery.address.get();
    let mut stream = connect(address, None, POLL_WAIT).await?;
    let mut responses = ResponseReader::default();
    // The events of the first response may have happened while nobody was connected; later ones arrive as they happen.
    let mut unheard_for = Micros::MAX;
    let mut wait = FIRST_POLL_WAIT;
    loop {
        let request = node
            .discovery
            .worker_list
            .borrow()
            .poll_request(&address.to_string(), wait);
        stream.write_all(&request).await?;
        let timeout = async {
            Timer::after(duration_from_micros(POLL_WAIT + RESPONSE_MARGIN)).await;
            Err(ChannelError::Timeout)
        };
        let batch = read_response(&mut stream, &mut responses)
            .or(timeout)
            .await?;
        let arrived = node.arrival_time();
        // Such a server does not know what is announced. What it tells once it has caught up is heard late, as all that a
        // new connection tells first.
        if node.discovery.worker_list.borrow().is_behind(&batch) {
            return Err(ChannelError::Behind);
        }
        node.apply_events(&batch, unheard_for.max(node.lag()))?;
        node.discovery.heard(node.clock.now());
        node.renew_list_lease(arrived + LIST_LEASE);
        unheard_for = 0;
        wait = POLL_WAIT;
    }
}

async fn read_response(
    stream: &mut Stream,
    responses: &mut ResponseReader,
) -> Result<EventBatch, ChannelError> {
    let mut buffer = [0; READ_SIZE];
    loop {
        if let Some(batch) = responses.next_batch()? {
            return Ok(batch);
        }
        let length = stream.read(&mut buffer).await?;
        if length == 0 {
            return Err(ChannelError::Closed);
        }
        responses.put(&buffer[..length]);
    }
}

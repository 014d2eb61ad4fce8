//! Follows the discovery channel: polls for the events after the last one applied, and reconnects after a
//! disconnection, after a poll without a response, and when the address of the channel changes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use async_io::Timer;
use cedarpulley::interface::{DrainLease, Micros};
use cedarpulley_errors::Remedy;
use cedarpulley_net::{FairStream, Notifier, PeerStream, connect, duration_from_micros};
use cedarpulley_platform::discovery::{
    DiscoveryContact, DiscoveryError, DiscoveryLoss, DrainLeaseTracker, EndpointListUpdate,
    EventBatch, FIRST_POLL_WAIT, LIST_LEASE, MAX_BACKOFF, POLL_WAIT, RESPONSE_MARGIN,
    ResponseReader, Silence, WorkerListFollower,
};
use cedarpulley_router::backoff::Backoff;
use cedarpulley_startup::Names;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use thiserror::Error;

use crate::node::Node;

/// Most bytes of a response that one read returns.
const READ_SIZE: usize = 4 << 10;

/// The address of the discovery channel, and the endpoint list according to its events.
pub(crate) struct Discovery {
    names: Names,
    address: Cell<SocketAddr>,
    /// Notified when the address has changed.
    address_changed: Notifier,
    /// When the signal arrived, at the earliest, that changed the address last.
    moved_at: Cell<Micros>,
    worker_list: RefCell<WorkerListFollower>,
    contact: Cell<DiscoveryContact>,
    drain_lease: Cell<DrainLeaseTracker>,
    /// Notified when a poll has ended, with or without a response.
    poll_ended: Notifier,
}

impl Discovery {
    /// `names` are the names of the zones and of the kinds of machines that the events may contain. `now` is the time
    /// at which the router starts, in microseconds of its clock.
    pub fn new(
        address: SocketAddr,
        names: Names,
        worker_list: WorkerListFollower,
        now: Micros,
    ) -> Self {
        Discovery {
            names,
            address: Cell::new(address),
            address_changed: Notifier::default(),
            moved_at: Cell::new(now),
            worker_list: RefCell::new(worker_list),
            contact: Cell::new(DiscoveryContact::new(now)),
            drain_lease: Cell::default(),
            poll_ended: Notifier::default(),
        }
    }

    /// Changes the address at which the channel is followed, because of a signal that arrived at `signalled_at` or later.
    pub fn set_address(&self, address: SocketAddr, signalled_at: Micros) {
        self.address.set(address);
        self.moved_at.set(signalled_at);
        self.address_changed.notify();
    }

    /// The address at which a worker listens; `None` if the worker is not listed.
    pub fn worker_address(&self, id: &str) -> Option<SocketAddr> {
        self.worker_list.borrow().address(id)
    }

    /// Applies a batch of events, and returns the updates of the endpoint list in order. For `wall_at_zero` and
    /// `max_age` see [`WorkerListFollower::apply_batch`].
    pub fn apply_batch(
        &self,
        batch: &EventBatch,
        wall_at_zero: Micros,
        max_age: Micros,
    ) -> Result<Vec<EndpointListUpdate>, DiscoveryError> {
        self.worker_list
            .borrow_mut()
            .apply_batch(batch, &self.names, wall_at_zero, max_age)
    }

    /// Waits until a poll has ended, with or without a response.
    pub async fn poll_ended(&self) {
        self.poll_ended.notified().await;
    }

    /// Time since the last response, or since the start if there was none, in microseconds.
    pub fn unheard(&self, now: Micros) -> Micros {
        self.contact.get().silence(now).0
    }

    /// The lease of the endpoint list for drains.
    pub fn drain_lease(&self) -> DrainLease {
        self.drain_lease.get().lease()
    }

    fn update_drain_lease(&self, update: impl FnOnce(&mut DrainLeaseTracker)) {
        let mut tracker = self.drain_lease.get();
        update(&mut tracker);
        self.drain_lease.set(tracker);
    }

    /// For how long discovery may hold the next poll open at `now`.
    fn next_poll_wait(&self, now: Micros, allows_health_checks: bool) -> Micros {
        if allows_health_checks {
            POLL_WAIT
        } else {
            self.drain_lease.get().next_poll_wait(now)
        }
    }

    /// Records that a response was applied, and logs it if discovery had been reported as unreachable.
    fn record_response(&self, now: Micros) {
        let mut contact = self.contact.get();
        if let Some(Silence(silence)) = contact.record_response(now) {
            tracing::warn!(unheard_ms = silence / 1_000, "discovery is reachable again");
        }
        self.contact.set(contact);
        self.poll_ended.notify();
    }

    /// Records that a poll failed. Logs once that discovery is unreachable when the silence has outlasted the lease of
    /// the endpoint list.
    fn record_failure(&self, now: Micros, error: &ChannelError) {
        let (address, error) = (self.address.get(), error.line());
        tracing::debug!(%address, error, "discovery connection ended");
        let mut contact = self.contact.get();
        if let Some(Silence(silence)) = contact.record_failure(now) {
            let last_event = self.worker_list.borrow().last_cursor();
            let unheard_ms = silence / 1_000;
            tracing::warn!(%address, error, last_event, unheard_ms, "discovery is unreachable");
        }
        self.contact.set(contact);
        self.poll_ended.notify();
    }

    /// The number of repeated events and the number of workers above the limit that have been ignored so far.
    pub fn ignored_counts(&self) -> (u64, u64) {
        let list = self.worker_list.borrow();
        (list.repeated_events(), list.ignored_workers())
    }
}

/// The reason for which the router reconnects to the channel.
#[derive(Debug, Error)]
enum ChannelError {
    #[error("the connection to the discovery channel failed")]
    Io(#[from] std::io::Error),
    #[error("the discovery channel did not respond in time")]
    Timeout,
    #[error("the discovery channel closed the connection")]
    Closed,
    #[error("the discovery channel has fewer events than before")]
    Behind,
    #[error(transparent)]
    Response(#[from] DiscoveryError),
}

impl ChannelError {
    /// How discovery was lost by this error.
    fn loss(&self) -> DiscoveryLoss {
        match self {
            ChannelError::Timeout => DiscoveryLoss::Silent,
            _ => DiscoveryLoss::Broken,
        }
    }
}

impl Remedy for ChannelError {
    fn remedy(&self) -> &'static str {
        match self {
            ChannelError::Response(error) => error.remedy(),
            ChannelError::Behind => {
                "check whether the channel was restored from an older state; if so, restart the routers"
            }
            _ => {
                "nothing if it is occasional; otherwise check that the channel runs and is reachable"
            }
        }
    }
}

/// Follows the channel while the router runs. `seed` determines the random jitter of the backoff.
pub(crate) async fn follow(node: Rc<Node>, seed: u64) {
    let mut backoff = Backoff::with_max_delay(seed, MAX_BACKOFF);
    loop {
        let connected_at = node.clock.now();
        let poll_and_back_off = async {
            if let Err(error) = poll_on_one_connection(&node).await {
                node.discovery.record_failure(node.clock.now(), &error);
                record_loss(&node, error.loss(), node.arrival_time());
            }
            let pause = backoff.next_delay(node.clock.now() - connected_at);
            Timer::after(duration_from_micros(pause)).await;
        };
        let moved = async {
            node.discovery.address_changed.notified().await;
            let moved_at = node.discovery.moved_at.get();
            record_loss(&node, DiscoveryLoss::Moved, moved_at);
        };
        // A change of the address ends a poll or a backoff at once: there is no backoff before the new address is used.
        moved.or(poll_and_back_off).await;
    }
}

/// Records that discovery was lost at `lost_at` or later, and until when the endpoint list can still be relied on.
fn record_loss(node: &Rc<Node>, loss: DiscoveryLoss, lost_at: Micros) {
    let discovery = &node.discovery;
    if !discovery.drain_lease().discovery_lost {
        discovery.update_drain_lease(|tracker| tracker.lost(loss, lost_at));
        node.renew_drain_lease();
    }
}

/// Polls on one connection until it fails.
async fn poll_on_one_connection(node: &Rc<Node>) -> Result<(), ChannelError> {
    let address = node.discovery.address.get();
    let mut stream = FairStream::new(connect(address, None, POLL_WAIT).await?);
    let mut responses = ResponseReader::default();
    // The events in the first response may have any age, as they may have happened while this router was not connected.
    // Later events arrive as they happen.
    let mut max_age = Micros::MAX;
    let mut wait = FIRST_POLL_WAIT;
    loop {
        let request = node
            .discovery
            .worker_list
            .borrow()
            .poll_request(&address.to_string(), wait);
        stream.write_all(&request).await?;
        let now = node.clock.now();
        node.discovery
            .update_drain_lease(|tracker| tracker.poll_sent(now, wait));
        let timeout = async {
            Timer::after(duration_from_micros(POLL_WAIT + RESPONSE_MARGIN)).await;
            Err(ChannelError::Timeout)
        };
        let batch = read_response(&mut stream, &mut responses)
            .or(timeout)
            .await?;
        let arrived = node.arrival_time();
        // A channel that has fewer events than this router has applied lacks announced events, so its response does not
        // renew the lease. The events that it sends after it has caught up may have waited in it. They are read on a
        // new connection, and count as delayed like all events in a first response.
        if node.discovery.worker_list.borrow().is_behind(&batch) {
            return Err(ChannelError::Behind);
        }
        node.apply_events(&batch, max_age.max(node.lag()))?;
        node.discovery.record_response(node.clock.now());
        node.renew_list_lease(arrived + LIST_LEASE);
        node.discovery
            .update_drain_lease(|tracker| tracker.response_applied(arrived));
        node.renew_drain_lease();
        max_age = 0;
        let now = node.clock.now();
        wait = node
            .discovery
            .next_poll_wait(now, node.allows_health_checks());
    }
}

async fn read_response(
    stream: &mut PeerStream,
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

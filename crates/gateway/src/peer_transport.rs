//! Transport between the members of a group over HTTP/1.1. One POST contains the messages that are queued for a member;
//! the response contains that member's replies. [`member_listener`](crate::member_listener) serves the other side.
//!
//! Mechanisms:
//! 1. Each member has two queues, each with its own connection, so that the bulk transfer of records never delays a
//!    vote.
//! 2. Each queue has one POST in transit at a time; messages queued meanwhile are sent together in the next one.
//! 3. The size of a queue is limited. Above the limit, messages whose loss a later comparison of the records repairs are
//!    dropped first, then any others. A member that reads slowly causes the loss of only its own messages.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use async_io::Timer;
use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;
use cedarpulley_net::{FairStream, connect, duration_from_micros};
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode};
use smol::Task;
use smol_hyper::rt::FuturesIo;

use crate::message_sending::{SendOptions, Transport};
use crate::peers::Peers;
use crate::send_queue::SendQueue;
pub use crate::send_queue::TransportCounts;
use crate::task_owner::{Executor, TaskOwner};

/// Longest body of a POST or its response that is read, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 8 << 20;
/// Time limit for opening a connection to a member, in microseconds.
const CONNECT_TIMEOUT: Micros = 250_000;
/// Time limit for the response to a POST, in microseconds, after which the connection is closed. Without it, a
/// silent member would block its queue forever, and all messages for it would be lost.
const RESPONSE_TIMEOUT: Micros = 1_000_000;
/// Delay after a failed POST, in microseconds.
const RETRY_DELAY: Micros = 20_000;
/// Path of the POSTs between members.
pub(crate) const PATH: &str = "/peer";

/// An open connection to a member.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Task that drives the connection; dropping it closes the connection.
    _driver: Task<()>,
}

/// The send queues of all members; [`PeerTransport::run`] sends the messages that are put into them.
pub struct PeerTransport {
    executor: Executor,
    local_address: Option<IpAddr>,
    addresses: Vec<SocketAddr>,
    /// By member index: the queue for urgent messages, and the queue for bulk transfer.
    queues: Vec<[SendQueue; 2]>,
}

/// The implementation of [`Transport`] that puts messages into the queues.
pub struct TransportHandle(pub Rc<PeerTransport>);

impl Transport for TransportHandle {
    fn send(&self, to: MemberIndex, message: Bytes, options: SendOptions) {
        if let Some(queues) = self.0.queues.get(to as usize) {
            queues[usize::from(options.bulk)].enqueue(message, options.recoverable);
        }
    }
}

impl PeerTransport {
    /// Creates the transport. `addresses`: by member index; `local_address`: the address that connections are bound to, if
    /// any.
    pub fn new(
        executor: Executor,
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

    /// The tasks of the router.
    pub(crate) fn executor(&self) -> &Executor {
        &self.executor
    }

    /// The sums of the counts of all queues.
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

    /// Starts the tasks that send the queued messages until the router ends.
    pub fn run(self: &Rc<Self>, peers: &Rc<Peers>, own_index: MemberIndex) {
        for to in (0..self.queues.len() as MemberIndex).filter(|m| *m != own_index) {
            for queue_index in 0..2 {
                let sending = self.clone().send_loop(peers.clone(), to, queue_index);
                let owner = TaskOwner::Member(Some(to));
                self.executor.spawn(owner, sending).detach();
            }
        }
    }

    /// Sends the messages of one queue, one POST at a time.
    async fn send_loop(self: Rc<Self>, peers: Rc<Peers>, to: MemberIndex, queue_index: usize) {
        let queue = &self.queues[to as usize][queue_index];
        let mut connection: Option<Connection> = None;
        loop {
            let messages = queue.take_batch();
            if messages.is_empty() {
                queue.message_added.notified().await;
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

    /// Processes the envelope in a response; the messages that reply to it are put into the queue of the request.
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
        let stream = FuturesIo::new(FairStream::new(stream));
        let (sender, connection) = handshake(stream).await.ok()?;
        let driver = self.executor.spawn(TaskOwner::Member(None), async move {
            // A failure of the connection fails the next POST.
            let _ = connection.await;
        });
        Some(Connection {
            sender,
            _driver: driver,
        })
    }
}

/// Sends one POST; returns the body of its response, absent on failure, timeout or a status other than 200.
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
        let response = sender.send_request(request).await.ok()?;
        let ok = response.status() == StatusCode::OK;
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
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

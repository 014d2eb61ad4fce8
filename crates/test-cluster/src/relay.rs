//! A relay for one link. The near side connects to the relay, which forwards each connection to the far side. The
//! forwarded connection has the source address of the near side, so that the logs of the far side identify the process.
//!
//! A second socket, which never listens, reserves the port, so that the relay can stop listening and always listen
//! again. The module `byte_relay` forwards bytes; [`crate::message_relay`] forwards complete requests and responses.

mod byte_relay;

use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::{Async, Timer};
use cedarpulley_emulators::{Host, lock};
use cedarpulley_net::connect;
use event_listener::Event;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use smol::Task;
use socket2::SockRef;

use crate::links::{LinkDirection, LinkFault, Links};
use crate::message_relay;
use crate::port::Port;
pub use crate::port::ReservedPort;

/// Timeout of connections to the far side, in microseconds. No caller waits longer.
const CONNECT_TIMEOUT_US: i64 = 2_000_000;
/// Time until the next attempt after a failed accept, for example without free file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// What a relay forwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// Bytes of any protocol.
    Bytes,
    /// HTTP/1.1 requests and responses, each as a complete message.
    Messages,
}

/// The link of a relay.
#[derive(Clone, Copy, Debug)]
pub struct RelayConfig<'a> {
    /// What is forwarded.
    pub mode: RelayMode,
    /// Name of the side that connects, as in [`Links`].
    pub near: &'a str,
    /// Name of the side that is connected to, as in [`Links`].
    pub far: &'a str,
    /// Source address of the connections to the far side; absent: chosen by the system.
    pub from: Option<IpAddr>,
    /// The address that the far side listens on.
    pub to: SocketAddr,
    /// Seed of the draws for delays and message faults.
    pub seed: u64,
}

/// A link between two names in [`Links`], shared by its connections.
pub(crate) struct Link {
    pub(crate) host: Host,
    /// The direction from the near side to the far side.
    pub(crate) outbound: LinkDirection,
    /// The direction from the far side to the near side.
    pub(crate) inbound: LinkDirection,
    to: SocketAddr,
    from: Option<IpAddr>,
    random: Mutex<Pcg64Mcg>,
    /// Notified whenever a complete request has been delivered to the far side.
    pub(crate) message_arrived: Event,
    /// Number of complete requests that are received and neither answered nor lost yet.
    pub(crate) in_flight: AtomicUsize,
}

impl Link {
    pub(crate) async fn connect(&self) -> io::Result<Async<TcpStream>> {
        connect(self.to, self.from, CONNECT_TIMEOUT_US).await
    }

    /// Draws a number between 0 and 1 from the generator of the relay.
    pub(crate) fn draw(&self) -> f64 {
        lock(&self.random).random()
    }

    /// Number of resets of both directions. Connections that were opened before the last reset are reset.
    pub(crate) fn resets(&self) -> u64 {
        self.outbound.resets() + self.inbound.resets()
    }

    /// Whether a fault currently breaks all connections to the far side.
    pub(crate) fn is_broken(&self) -> bool {
        matches!(
            self.outbound.fault(),
            LinkFault::Reset | LinkFault::HalfOpen
        ) || self.inbound.fault() == LinkFault::Reset
    }

    /// The delay of data that is sent now.
    pub(crate) fn delay(&self, direction: &LinkDirection) -> Duration {
        match direction.fault() {
            LinkFault::Delayed { by, spread } => by + spread.mul_f64(self.draw()),
            _ => Duration::ZERO,
        }
    }
}

/// Relays connections. Dropping it closes the listener and all connections.
pub struct Relay {
    /// The address that the relay listens on.
    pub address: SocketAddr,
    link: Arc<Link>,
    _accepting: Task<()>,
    _connections: Arc<Mutex<Vec<Task<()>>>>,
}

impl Relay {
    /// Starts a relay on loopback.
    ///
    /// # Errors
    /// Fails if no port can be reserved.
    pub fn start(host: &Host, links: &Links, config: RelayConfig) -> io::Result<Relay> {
        let RelayConfig {
            mode,
            near,
            far,
            from,
            to,
            seed,
        } = config;
        let reserved = ReservedPort::at([127, 0, 0, 1].into())?;
        let address = reserved.address;
        let port = Arc::new(Port::new(reserved));
        links.register(near, far, &port);
        let link = Arc::new(Link {
            host: host.clone(),
            outbound: links.direction(near, far),
            inbound: links.direction(far, near),
            to,
            from,
            random: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
            message_arrived: Event::new(),
            in_flight: AtomicUsize::new(0),
        });
        let connections: Arc<Mutex<Vec<Task<()>>>> = Arc::default();
        let accepting = accept(port, link.clone(), mode, connections.clone());
        Ok(Relay {
            address,
            link,
            _accepting: host.executor.spawn(accepting),
            _connections: connections,
        })
    }

    /// Number of complete requests that are received and neither answered nor lost yet.
    pub fn in_flight(&self) -> usize {
        self.link.in_flight.load(Ordering::SeqCst)
    }
}

/// Accepts connections and forwards each in a task of its own.
async fn accept(
    port: Arc<Port>,
    link: Arc<Link>,
    mode: RelayMode,
    connections: Arc<Mutex<Vec<Task<()>>>>,
) {
    loop {
        let listener = port.listener().await;
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_BACKOFF).await;
            continue;
        };
        let _ = stream.get_ref().set_nodelay(true);
        let forwarded = link.clone();
        let task = link.host.executor.spawn(async move {
            match mode {
                RelayMode::Bytes => byte_relay::forward_connection(stream, &forwarded).await,
                RelayMode::Messages => message_relay::forward_connection(stream, forwarded).await,
            }
        });
        let mut connections = lock(&connections);
        connections.retain(|task| !task.is_finished());
        connections.push(task);
    }
}

/// Makes closing the stream reset the connection from now on.
pub(crate) fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

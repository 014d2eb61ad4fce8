//! A relay for one link from one process to another address. [`Relay::start`] listens; each connection that comes is
//! carried on from the near side's own source address, so that the far side's logs say who it was.
//!
//! The port is reserved by a second socket that never listens, so that refusing and listening again always succeeds.
//! How a connection's bytes are carried: `byte_relay`; whole requests and answers: [`crate::message_relay`].

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

/// Timeout of connections to the far side, in microseconds; as long as any caller here waits.
const CONNECT_TIMEOUT_US: i64 = 2_000_000;
/// After a failed accept (out of descriptors) the next attempt waits.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// What a relay carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// Bytes of any protocol.
    Bytes,
    /// HTTP/1.1 requests and their answers, each as a whole.
    Messages,
}

/// The link that a relay stands on.
#[derive(Clone, Copy, Debug)]
pub struct RelayConfig<'a> {
    /// What is carried.
    pub mode: RelayMode,
    /// Name of the side that connects, as in the table of faults.
    pub near: &'a str,
    /// Name of the side that is connected to.
    pub far: &'a str,
    /// Source address of the onward connections; absent: the system's choice.
    pub from: Option<IpAddr>,
    /// Where the far side listens.
    pub to: SocketAddr,
    /// Of the draws for delays and message faults.
    pub seed: u64,
}

/// A link between two names of the table of faults, shared by its connections.
pub(crate) struct Link {
    pub(crate) host: Host,
    /// The near side's requests.
    pub(crate) outbound: LinkDirection,
    /// What comes back.
    pub(crate) inbound: LinkDirection,
    to: SocketAddr,
    from: Option<IpAddr>,
    random: Mutex<Pcg64Mcg>,
    /// Notified for each whole message that has arrived.
    pub(crate) message_arrived: Event,
    /// Whole messages that have come and have not been answered or lost.
    pub(crate) in_flight: AtomicUsize,
}

impl Link {
    pub(crate) async fn connect(&self) -> io::Result<Async<TcpStream>> {
        connect(self.to, self.from, CONNECT_TIMEOUT_US).await
    }

    /// Within 0 to 1, by the relay's seed.
    pub(crate) fn draw(&self) -> f64 {
        lock(&self.random).random()
    }

    /// Connections that were opened when this count was less have been reset.
    pub(crate) fn resets(&self) -> u64 {
        self.outbound.resets() + self.inbound.resets()
    }

    /// Whether no onward connection can stand at present.
    pub(crate) fn is_broken(&self) -> bool {
        matches!(
            self.outbound.fault(),
            LinkFault::Reset | LinkFault::HalfOpen
        ) || self.inbound.fault() == LinkFault::Reset
    }

    /// How much later something arrives that leaves now.
    pub(crate) fn delay(&self, direction: &LinkDirection) -> Duration {
        match direction.fault() {
            LinkFault::Delayed { by, spread } => by + spread.mul_f64(self.draw()),
            _ => Duration::ZERO,
        }
    }
}

/// Relays connections until it is dropped; then all of them are closed.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    link: Arc<Link>,
    _accepting: Task<()>,
    _connections: Arc<Mutex<Vec<Task<()>>>>,
}

impl Relay {
    /// Starts a relay on loopback.
    ///
    /// # Errors
    /// When no port can be reserved.
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

    /// Whole messages that have come and have not been answered or lost.
    pub fn in_flight(&self) -> usize {
        self.link.in_flight.load(Ordering::SeqCst)
    }
}

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
        let carried = link.clone();
        let task = link.host.executor.spawn(async move {
            match mode {
                RelayMode::Bytes => byte_relay::carry_connection(stream, &carried).await,
                RelayMode::Messages => message_relay::carry_connection(stream, carried).await,
            }
        });
        let mut connections = lock(&connections);
        connections.retain(|task| !task.is_finished());
        connections.push(task);
    }
}

/// Closing the stream from now on resets the connection.
pub(crate) fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

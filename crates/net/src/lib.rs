//! What every process of this product has towards the network and the clock: connecting from an own address,
//! listening, the clocks, a bell that one task rings for another, and an alarm for what is due. It decides nothing.
//!
//! Begin reading at [`connect`] and [`listen`]; then [`Clock`], [`Bell`], [`Alarm`].

use std::cell::Cell;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::{Async, Timer};
use cedarpulley::interface::Micros;
use futures_lite::FutureExt;
use socket2::{Domain, Protocol, Socket, Type};

pub type Stream = Async<TcpStream>;

/// Linux's number for a connection that is on its way.
const IN_PROGRESS: i32 = 115;

pub fn micros(us: Micros) -> Duration {
    Duration::from_micros(us.max(0) as u64)
}

/// The router's clock only advances; the wall's is for what clients say of theirs.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    zero: Instant,
    /// So far the wall's clock is off, in tests only.
    offset: Micros,
}

impl Clock {
    pub fn start() -> Self {
        Clock::off_by(0)
    }

    pub fn off_by(offset: Micros) -> Self {
        Clock {
            zero: Instant::now(),
            offset,
        }
    }

    pub fn now(&self) -> Micros {
        self.zero.elapsed().as_micros() as Micros
    }

    pub fn instant(&self, at: Micros) -> Instant {
        self.zero + micros(at)
    }

    pub fn wall(&self) -> Micros {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as Micros)
            + self.offset
    }
}

/// Connections that wait to be accepted. Symptom: a thousand clients come at once, and those beyond the system's
/// short default try again only a second later.
const BACKLOG: i32 = 4096;

pub fn listen(at: SocketAddr) -> io::Result<Async<TcpListener>> {
    let domain = if at.is_ipv4() {
        Domain::IPV4
    } else {
        Domain::IPV6
    };
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    // A router that restarts takes its address again while old connections fade.
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Async::new(TcpListener::from(socket))
}

pub async fn connect(to: SocketAddr, from: Option<IpAddr>, within: Micros) -> io::Result<Stream> {
    let connecting = async {
        let domain = if to.is_ipv4() {
            Domain::IPV4
        } else {
            Domain::IPV6
        };
        let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        if let Some(from) = from.filter(|f| f.is_ipv4() == to.is_ipv4()) {
            socket.bind(&SocketAddr::new(from, 0).into())?;
        }
        match socket.connect(&to.into()) {
            Ok(()) => {}
            Err(e)
                if e.raw_os_error() == Some(IN_PROGRESS)
                    || e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        let stream = Async::new_nonblocking(TcpStream::from(socket))?;
        stream.writable().await?;
        match stream.get_ref().take_error()? {
            Some(e) => Err(e),
            None => Ok(stream),
        }
    };
    let late = async {
        Timer::after(micros(within)).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    connecting.or(late).await
}

/// A bell: rung any number of times, it is heard once.
#[derive(Clone, Debug)]
pub struct Bell {
    ring: smol::channel::Sender<()>,
    hear: smol::channel::Receiver<()>,
}

impl Default for Bell {
    fn default() -> Self {
        let (ring, hear) = smol::channel::bounded(1);
        Bell { ring, hear }
    }
}

impl Bell {
    pub fn ring(&self) {
        // Full: it has been rung and not yet heard.
        let _ = self.ring.try_send(());
    }

    pub async fn heard(&self) {
        let _ = self.hear.recv().await;
    }
}

/// Goes off when the next thing is due; set to an earlier time, it goes off earlier.
#[derive(Debug)]
pub struct Alarm {
    due: Cell<Micros>,
    moved: Bell,
}

impl Default for Alarm {
    fn default() -> Self {
        Alarm {
            due: Cell::new(Micros::MAX),
            moved: Bell::default(),
        }
    }
}

impl Alarm {
    pub fn set(&self, due: Micros) {
        if due < self.due.get() {
            self.due.set(due);
            self.moved.ring();
        }
    }

    /// Waits until it goes off; it must be set again then.
    pub async fn rings(&self, clock: &Clock) {
        loop {
            let due = self.due.get();
            let wait = async {
                match due {
                    Micros::MAX => std::future::pending().await,
                    due => {
                        Timer::at(clock.instant(due)).await;
                    }
                }
                true
            };
            let moved = async {
                self.moved.heard().await;
                false
            };
            if wait.or(moved).await {
                return self.due.set(Micros::MAX);
            }
        }
    }
}

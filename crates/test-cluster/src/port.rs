//! Reserved TCP ports that can switch between listening and refusing connections.

use std::io;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

use async_io::Async;
use cedarpulley_emulators::lock;
use event_listener::Event;
use socket2::{Domain, Protocol, SockRef, Socket, Type};

/// Largest number of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;

/// Creates a socket that is bound to the address with `SO_REUSEADDR`.
fn bound(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// A port that the system does not assign to another socket until this is dropped. A socket with `SO_REUSEADDR` may
/// listen on it.
#[derive(Debug)]
pub struct ReservedPort {
    /// The reserved address.
    pub address: SocketAddr,
    _socket: Socket,
}

impl ReservedPort {
    /// Reserves a free port of this IP address.
    ///
    /// # Errors
    /// Fails if there is no free port, or the address does not belong to this machine.
    pub fn at(ip: IpAddr) -> io::Result<ReservedPort> {
        let socket = bound(SocketAddr::new(ip, 0))?;
        let address = socket
            .local_addr()?
            .as_socket()
            .ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(ReservedPort {
            address,
            _socket: socket,
        })
    }
}

/// A reserved port that listens for or refuses connections.
pub(crate) struct Port {
    reserved: ReservedPort,
    listener: Mutex<Option<Arc<Async<TcpListener>>>>,
    changed: Event,
}

impl Port {
    /// Creates a port that does not listen until [`Port::set_open`] is called.
    pub(crate) fn new(reserved: ReservedPort) -> Self {
        Port {
            reserved,
            listener: Mutex::default(),
            changed: Event::new(),
        }
    }

    /// Starts or stops listening. The change is effective when this returns, because a listener that is shut down
    /// refuses connections at once.
    pub(crate) fn set_open(&self, open: bool) {
        let mut listener = lock(&self.listener);
        match (open, listener.as_ref()) {
            (false, Some(old)) => {
                if let Err(e) = SockRef::from(old.as_ref()).shutdown(Shutdown::Both) {
                    tracing::error!(cause = %e, "a relay cannot close its listener");
                }
                *listener = None;
            }
            (true, None) => match self.listen() {
                Ok(new) => *listener = Some(Arc::new(new)),
                Err(e) => tracing::error!(cause = %e, "a relay cannot listen on its port"),
            },
            _ => {}
        }
        self.changed.notify(usize::MAX);
    }

    fn listen(&self) -> io::Result<Async<TcpListener>> {
        let socket = bound(self.reserved.address)?;
        socket.listen(LISTEN_BACKLOG)?;
        Async::new(TcpListener::from(socket))
    }

    /// Waits until the port listens and returns the listener.
    pub(crate) async fn listener(&self) -> Arc<Async<TcpListener>> {
        loop {
            let changed = self.changed.listen();
            if let Some(listener) = lock(&self.listener).clone() {
                return listener;
            }
            changed.await;
        }
    }
}

//! TCP ports that are reserved for one owner, and that can listen or refuse at will.

use std::io;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

use async_io::Async;
use cedarpulley_emulators::lock;
use event_listener::Event;
use socket2::{Domain, Protocol, SockRef, Socket, Type};

const BACKLOG: i32 = 1024;

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

/// A port that the system gives to nobody else while this lives; whoever sets `SO_REUSEADDR` may listen on it.
#[derive(Debug)]
pub struct ReservedPort {
    /// The reserved address.
    pub address: SocketAddr,
    _socket: Socket,
}

impl ReservedPort {
    /// Reserves a free port of this address.
    ///
    /// # Errors
    /// When there is none, or the address is not this machine's.
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

/// A reserved port that listens or refuses.
pub(crate) struct Port {
    reserved: ReservedPort,
    listener: Mutex<Option<Arc<Async<TcpListener>>>>,
    changed: Event,
}

impl Port {
    /// It neither listens nor refuses on purpose until [`Port::set_open`].
    pub(crate) fn new(reserved: ReservedPort) -> Self {
        Port {
            reserved,
            listener: Mutex::default(),
            changed: Event::new(),
        }
    }

    /// Listens or refuses; in force when this returns, as a listener that is shut down refuses at once.
    pub(crate) fn set_open(&self, open: bool) {
        let mut listener = lock(&self.listener);
        match (open, listener.as_ref()) {
            (false, Some(old)) => {
                if let Err(e) = SockRef::from(old.as_ref()).shutdown(Shutdown::Both) {
                    tracing::error!(cause = %e, "a relay does not refuse");
                }
                *listener = None;
            }
            (true, None) => match self.listen() {
                Ok(new) => *listener = Some(Arc::new(new)),
                Err(e) => tracing::error!(cause = %e, "a relay does not listen"),
            },
            _ => {}
        }
        self.changed.notify(usize::MAX);
    }

    fn listen(&self) -> io::Result<Async<TcpListener>> {
        let socket = bound(self.reserved.address)?;
        socket.listen(BACKLOG)?;
        Async::new(TcpListener::from(socket))
    }

    /// Waits until it listens.
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

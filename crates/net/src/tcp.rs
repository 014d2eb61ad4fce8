//! TCP connections and listeners.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};

use async_io::{Async, Timer};
use cedarpulley::interface::Micros;
use futures_lite::FutureExt;
use socket2::{Domain, Protocol, SockRef, Socket, Type};

use crate::clock::duration_from_micros;
use crate::loop_share::FairStream;

/// A TCP connection.
pub type Stream = Async<TcpStream>;
/// A TCP connection to a peer that may keep its reader busy: the reader gives way to other tasks.
pub type PeerStream = FairStream<Stream>;

/// `EINPROGRESS` on Linux: a non-blocking connect has been started and is not complete yet.
const EINPROGRESS: i32 = 115;
/// `ENOMEM`, `ENFILE`, `EMFILE` and `ENOBUFS` on Linux: this process or machine has no memory, descriptor or buffer left
/// for a further socket.
const OUT_OF_RESOURCES: [i32; 4] = [12, 23, 24, 105];
/// Most connections that may wait to be accepted. The system's default is short: when a thousand clients connect at
/// once, the connections above it are dropped, and their clients retry only a second later.
const LISTEN_BACKLOG: i32 = 4096;

/// Listens at an address.
pub fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let socket = tcp_socket(address)?;
    // A restarted router must be able to bind its address while its previous connections are still in TIME_WAIT.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Async::new(TcpListener::from(socket))
}

/// Lets no more than one further connection wait to be accepted; those that wait already stay. Further connects are dropped
/// while one waits.
pub fn close_queue(listener: &TcpListener) -> io::Result<()> {
    SockRef::from(listener).listen(0)
}

/// Whether the peer of a connection that was just accepted has reset it: nothing that is sent on it arrives, and nothing of
/// it needs to be served.
pub fn is_reset(stream: &TcpStream) -> bool {
    matches!(stream.take_error(), Ok(Some(_)))
}

/// Connects to `remote`, from the address `local` if there is one of the same address family. After `timeout`
/// microseconds without a connection, the error is [`io::ErrorKind::TimedOut`].
pub async fn connect(
    remote: SocketAddr,
    local: Option<IpAddr>,
    timeout: Micros,
) -> io::Result<Stream> {
    let timed_out = async {
        Timer::after(duration_from_micros(timeout)).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    connect_from(remote, local).or(timed_out).await
}

/// Whether a connection could not be opened for lack of a resource of this process or machine: descriptors, memory or
/// local ports. Such an error tells nothing about the remote side.
pub fn is_out_of_resources(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::AddrNotAvailable
        || error
            .raw_os_error()
            .is_some_and(|code| OUT_OF_RESOURCES.contains(&code))
}

async fn connect_from(remote: SocketAddr, local: Option<IpAddr>) -> io::Result<Stream> {
    let socket = tcp_socket(remote)?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    if let Some(local) = local.filter(|local| local.is_ipv4() == remote.is_ipv4()) {
        socket.bind(&SocketAddr::new(local, 0).into())?;
    }
    match socket.connect(&remote.into()) {
        Ok(()) => {}
        Err(e)
            if e.raw_os_error() == Some(EINPROGRESS) || e.kind() == io::ErrorKind::WouldBlock => {}
        Err(e) => return Err(e),
    }
    let stream = Async::new_nonblocking(TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(e) => Err(e),
        None => Ok(stream),
    }
}

/// Creates a TCP socket for the family of this address.
fn tcp_socket(address: SocketAddr) -> io::Result<Socket> {
    let domain = if address.is_ipv4() {
        Domain::IPV4
    } else {
        Domain::IPV6
    };
    Socket::new(domain, Type::STREAM, Some(Protocol::TCP))
}

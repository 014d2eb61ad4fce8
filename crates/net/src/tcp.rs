//! TCP connections and listeners.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};

use async_io::{Async, Timer};
use cedarpulley::interface::Micros;
use futures_lite::FutureExt;
use socket2::{Domain, Protocol, Socket, Type};

use crate::clock::duration_from_micros;

/// A TCP connection.
pub type Stream = Async<TcpStream>;

/// `EINPROGRESS` on Linux: a non-blocking connect has begun.
const IN_PROGRESS: i32 = 115;
/// Connections that wait to be accepted. Symptom: a thousand clients connect at once, and those beyond the system's
/// short default retry only a second later.
const BACKLOG: i32 = 4096;

/// Listens at an address.
pub fn listen(at: SocketAddr) -> io::Result<Async<TcpListener>> {
    let socket = tcp_socket(at)?;
    // A router that restarts binds its address again while its old connections are still in TIME_WAIT.
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Async::new(TcpListener::from(socket))
}

/// Connects to an address, from the given local one if that is of the same family. After `timeout` the error is
/// [`io::ErrorKind::TimedOut`].
pub async fn connect(to: SocketAddr, from: Option<IpAddr>, timeout: Micros) -> io::Result<Stream> {
    let timed_out = async {
        Timer::after(duration_from_micros(timeout)).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    connect_from(to, from).or(timed_out).await
}

async fn connect_from(to: SocketAddr, from: Option<IpAddr>) -> io::Result<Stream> {
    let socket = tcp_socket(to)?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    if let Some(from) = from.filter(|from| from.is_ipv4() == to.is_ipv4()) {
        socket.bind(&SocketAddr::new(from, 0).into())?;
    }
    match socket.connect(&to.into()) {
        Ok(()) => {}
        Err(e)
            if e.raw_os_error() == Some(IN_PROGRESS) || e.kind() == io::ErrorKind::WouldBlock => {}
        Err(e) => return Err(e),
    }
    let stream = Async::new_nonblocking(TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(e) => Err(e),
        None => Ok(stream),
    }
}

/// A TCP socket of the address's family.
fn tcp_socket(address: SocketAddr) -> io::Result<Socket> {
    let domain = if address.is_ipv4() {
        Domain::IPV4
    } else {
        Domain::IPV6
    };
    Socket::new(domain, Type::STREAM, Some(Protocol::TCP))
}

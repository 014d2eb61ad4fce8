//! A relay for one link from one process to another address. [`Relay::start`] listens; each connection that comes is
//! carried onwards from the near side's own source address, so that the far side's logs tell who it was.
//!
//! Mechanisms:
//! 1. Each direction is a reader, a bounded line of pieces with their due times, and a writer that asks the table
//!    of faults before each piece. A full line stops its reader: TCP's own back pressure tells the sender.
//! 2. Ends travel in line behind the bytes before them, and are held or lost as these are.
//! 3. A connection that lost something is reset when its direction is healed: bytes after a gap would be a fault of
//!    the rig's own making.
//! 4. The port is held by a second socket that never listens, so that refusing and taking again needs no luck.

use std::io;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use cedarpulley_emulators::{Ground, lock};
use cedarpulley_net::connect;
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use smol::Task;
use smol::channel::{Receiver, Sender, bounded};
use socket2::{Domain, Protocol, SockRef, Socket, Type};

use crate::links::{Fault, Links, Way};
use crate::messages;

/// Read at once at most.
const CHUNK: usize = 16 * 1024;
/// Pieces that are on their way in one direction; a megabyte.
const LINE: usize = 64;
/// Onwards, as long as any caller here waits.
pub(crate) const CONNECT_WITHIN: i64 = 2_000_000;
/// A throttled direction writes so often a second.
const SLICES_PER_S: u64 = 20;
const BACKLOG: i32 = 1024;
/// After a failed accept (out of descriptors) the next try waits.
const ACCEPT_AGAIN: Duration = Duration::from_millis(10);

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
pub struct Reserved {
    pub address: SocketAddr,
    _socket: Socket,
}

impl Reserved {
    pub fn at(ip: IpAddr) -> io::Result<Reserved> {
        let socket = bound(SocketAddr::new(ip, 0))?;
        let address = socket
            .local_addr()?
            .as_socket()
            .ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(Reserved {
            address,
            _socket: socket,
        })
    }
}

/// A reserved port that listens or refuses.
pub struct Port {
    reserved: Reserved,
    listener: Mutex<Option<Arc<Async<TcpListener>>>>,
    opened: Event,
}

impl Port {
    /// In force when this returns: a listener that is shut down refuses at once.
    pub(crate) fn open(&self, open: bool) {
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
        self.opened.notify(usize::MAX);
    }

    fn listen(&self) -> io::Result<Async<TcpListener>> {
        let socket = bound(self.reserved.address)?;
        socket.listen(BACKLOG)?;
        Async::new(TcpListener::from(socket))
    }

    async fn listening(&self) -> Arc<Async<TcpListener>> {
        loop {
            let opened = self.opened.listen();
            if let Some(listener) = lock(&self.listener).clone() {
                return listener;
            }
            opened.await;
        }
    }
}

/// What a relay carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    Bytes,
    /// HTTP/1.1 requests and their answers, each as a whole.
    Messages,
}

/// Between two names of the table of faults.
pub(crate) struct Link {
    pub ground: Ground,
    /// The near side's requests, and what comes back.
    pub out: Way,
    pub back: Way,
    to: SocketAddr,
    from: Option<IpAddr>,
    random: Mutex<Pcg64Mcg>,
    /// Rung for each whole message that has got there.
    pub passed: Event,
    /// Whole messages that have come and have not been answered or lost.
    pub on_the_way: AtomicUsize,
}

impl Link {
    pub async fn connect(&self) -> io::Result<Async<TcpStream>> {
        connect(self.to, self.from, CONNECT_WITHIN).await
    }

    /// Within 0 to 1, by the relay's seed.
    pub fn draw(&self) -> f64 {
        lock(&self.random).random()
    }

    /// Whatever stood when this was less has been reset.
    pub fn resets(&self) -> u64 {
        self.out.resets() + self.back.resets()
    }

    /// How much later something arrives that leaves now.
    pub fn late(&self, way: &Way) -> Duration {
        match way.fault() {
            Fault::Late { by, spread } => by + spread.mul_f64(self.draw()),
            _ => Duration::ZERO,
        }
    }
}

/// Takes connections until dropped; then all of them are gone.
pub struct Relay {
    pub address: SocketAddr,
    link: Arc<Link>,
    _accepting: Task<()>,
    _served: Arc<Mutex<Vec<Task<()>>>>,
}

impl Relay {
    /// For the near side's connections to the far one, which listens at `to`.
    #[allow(clippy::too_many_arguments)] // What a link is made of.
    pub fn start(
        ground: &Ground,
        links: &Links,
        form: Form,
        near: &str,
        far: &str,
        from: Option<IpAddr>,
        to: SocketAddr,
        seed: u64,
    ) -> io::Result<Relay> {
        let reserved = Reserved::at([127, 0, 0, 1].into())?;
        let address = reserved.address;
        let port = Arc::new(Port {
            reserved,
            listener: Mutex::default(),
            opened: Event::new(),
        });
        links.register(near, far, &port);
        let (out, back) = (links.way(near, far), links.way(far, near));
        let random = Mutex::new(Pcg64Mcg::seed_from_u64(seed));
        let link = Arc::new(Link {
            ground: ground.clone(),
            out,
            back,
            to,
            from,
            random,
            passed: Event::new(),
            on_the_way: AtomicUsize::new(0),
        });
        let its_link = link.clone();
        let served: Arc<Mutex<Vec<Task<()>>>> = Arc::default();
        let (executor, tasks) = (ground.executor.clone(), served.clone());
        let accepting = async move {
            loop {
                let listener = port.listening().await;
                let Ok((stream, _)) = listener.accept().await else {
                    Timer::after(ACCEPT_AGAIN).await;
                    continue;
                };
                let _ = stream.get_ref().set_nodelay(true);
                let link = link.clone();
                let task = executor.spawn(async move {
                    match form {
                        Form::Bytes => connection(stream, &link).await,
                        Form::Messages => messages::connection(stream, link).await,
                    }
                });
                let mut tasks = lock(&tasks);
                tasks.retain(|t| !t.is_finished());
                tasks.push(task);
            }
        };
        Ok(Relay {
            address,
            link: its_link,
            _accepting: ground.executor.spawn(accepting),
            _served: served,
        })
    }
}

impl Relay {
    /// Whole messages that have come and have not been answered or lost.
    pub fn on_the_way(&self) -> usize {
        self.link.on_the_way.load(Ordering::SeqCst)
    }
}

/// Closing it now tells the other side by a reset.
pub(crate) fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

enum Piece {
    Bytes(Vec<u8>),
    Closed,
    Broken,
}

enum End {
    Closed,
    Reset,
    /// Dead towards the far side, or else the near one.
    HalfOpen {
        far: bool,
    },
}

/// One direction of one connection.
struct Line<'a> {
    link: &'a Link,
    way: &'a Way,
    from: &'a Async<TcpStream>,
    to: &'a Async<TcpStream>,
    lost: AtomicBool,
}

impl Line<'_> {
    /// Never ends: its last piece ends the connection.
    async fn read(&self, pieces: Sender<(Instant, Piece)>) -> Result<((), ()), End> {
        let mut due = Instant::now();
        loop {
            let mut buffer = vec![0; CHUNK];
            let mut from = self.from;
            let piece = match from.read(&mut buffer).await {
                Ok(0) => Piece::Closed,
                Ok(n) => {
                    buffer.truncate(n);
                    Piece::Bytes(buffer)
                }
                Err(_) => Piece::Broken,
            };
            let ends = !matches!(piece, Piece::Bytes(_));
            due = due.max(Instant::now() + self.link.late(self.way));
            if pieces.send((due, piece)).await.is_err() || ends {
                return future::pending().await;
            }
        }
    }

    /// Ok when the end of it has been passed on.
    async fn write(
        &self,
        pieces: Receiver<(Instant, Piece)>,
        back: Sender<(Instant, Piece)>,
    ) -> Result<(), End> {
        let mut gone = false;
        loop {
            let Ok((due, piece)) = pieces.recv().await else {
                return future::pending().await;
            };
            Timer::at(due).await;
            if !self.way.lets().await || self.lost.load(Ordering::SeqCst) {
                self.lost.store(true, Ordering::SeqCst);
                continue;
            }
            match piece {
                Piece::Bytes(bytes) if !gone => {
                    if self.put(&bytes).await.is_err() {
                        gone = true;
                        // Told along the other direction; if that is full, its bytes tell it soon.
                        let _ = back.try_send((Instant::now(), Piece::Broken));
                    }
                }
                Piece::Bytes(_) => {}
                Piece::Closed => {
                    let _ = self.to.get_ref().shutdown(Shutdown::Write);
                    return Ok(());
                }
                Piece::Broken => return Err(End::Reset),
            }
        }
    }

    async fn put(&self, bytes: &[u8]) -> io::Result<()> {
        let (mut to, mut left) = (self.to, bytes);
        while !left.is_empty() {
            let Fault::Throttled { bytes_per_s } = self.way.fault() else {
                return to.write_all(left).await;
            };
            let n = left.len().min((bytes_per_s / SLICES_PER_S).max(1) as usize);
            to.write_all(&left[..n]).await?;
            left = &left[n..];
            Timer::after(Duration::from_secs_f64(
                n as f64 / bytes_per_s.max(1) as f64,
            ))
            .await;
        }
        Ok(())
    }
}

/// Onwards as soon as something gets there; none if the connection is lost instead.
async fn onwards(link: &Link) -> Option<Async<TcpStream>> {
    if link.out.lets().await {
        return if link.is_broken() {
            None
        } else {
            link.connect().await.ok()
        };
    }
    loop {
        let change = link.out.change();
        if !link.out.fault().loses() {
            return None;
        }
        change.await;
    }
}

async fn connection(near: Async<TcpStream>, link: &Link) {
    let born = link.resets();
    let Some(far) = onwards(link).await else {
        return reset(near.get_ref());
    };
    let line = |way, from, to| Line {
        link,
        way,
        from,
        to,
        lost: AtomicBool::new(false),
    };
    let end = {
        let (out, back) = (line(&link.out, &near, &far), line(&link.back, &far, &near));
        let ((out_end, out_read), (back_end, back_read)) = (bounded(LINE), bounded(LINE));
        let reading = future::zip(out.read(out_end.clone()), back.read(back_end.clone()));
        let writing = future::try_zip(
            out.write(out_read, back_end),
            back.write(back_read, out_end),
        );
        let carrying = async {
            match writing.or(async { reading.await.0 }).await {
                Ok(_) => End::Closed,
                Err(end) => end,
            }
        };
        let broken = async {
            loop {
                let change = link.out.change();
                let faults = [link.out.fault(), link.back.fault()];
                let gap = |l: &Line, now: Fault| l.lost.load(Ordering::SeqCst) && !now.loses();
                let reset = faults.contains(&Fault::Reset) || link.resets() != born;
                if reset || gap(&out, faults[0]) || gap(&back, faults[1]) {
                    return End::Reset;
                }
                if faults.contains(&Fault::HalfOpen) {
                    return End::HalfOpen {
                        far: faults[0] == Fault::HalfOpen,
                    };
                }
                change.await;
            }
        };
        broken.or(carrying).await
    };
    let (dead, living, way) = match end {
        End::Closed => return,
        End::Reset => {
            reset(near.get_ref());
            return reset(far.get_ref());
        }
        End::HalfOpen { far: true } => (far, near, &link.out),
        End::HalfOpen { far: false } => (near, far, &link.back),
    };
    reset(dead.get_ref());
    drop(dead);
    // Nobody hears what it says until it is told.
    let unheard = async {
        let (mut stream, mut buffer) = (&living, vec![0; CHUNK]);
        while stream.read(&mut buffer).await.is_ok_and(|n| n > 0) {}
    };
    let told = async {
        loop {
            let change = way.change();
            if way.fault() != Fault::HalfOpen {
                return reset(living.get_ref());
            }
            change.await;
        }
    };
    told.or(unheard).await;
}

//! One connection carried as bytes.
//!
//! Mechanisms:
//! 1. Each direction is a reader, a bounded queue of chunks with their due times, and a writer that consults the table
//!    of faults before each chunk. A full queue stops its reader: TCP's own flow control slows the sender.
//! 2. The end of a stream travels in the queue behind the bytes before it, and is held or lost as they are.
//! 3. A connection that lost something is reset when its direction is healed: bytes after a gap would be a fault that
//!    no network has.

use std::io;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use smol::channel::{Receiver, Sender, bounded};

use super::{Link, reset};
use crate::links::{LinkDirection, LinkFault};

/// Read at once at most.
const CHUNK: usize = 16 * 1024;
/// Chunks in flight in one direction; a megabyte.
const QUEUE_LENGTH: usize = 64;
/// A throttled direction writes this often a second.
const THROTTLED_WRITES_PER_S: u64 = 20;

enum Chunk {
    Bytes(Vec<u8>),
    Closed,
    Broken,
}

struct DueChunk {
    due: Instant,
    chunk: Chunk,
}

/// How a connection ends.
enum ConnectionEnd {
    Closed,
    Reset,
    /// One side sees a reset, the other one nothing until the link is healed.
    HalfOpen(DeadSide),
}

#[derive(Clone, Copy)]
enum DeadSide {
    Near,
    Far,
}

/// One direction of one connection.
struct Direction<'a> {
    link: &'a Link,
    faults: &'a LinkDirection,
    from: &'a Async<TcpStream>,
    to: &'a Async<TcpStream>,
    has_lost: AtomicBool,
}

impl<'a> Direction<'a> {
    fn new(
        link: &'a Link,
        faults: &'a LinkDirection,
        from: &'a Async<TcpStream>,
        to: &'a Async<TcpStream>,
    ) -> Self {
        Direction {
            link,
            faults,
            from,
            to,
            has_lost: AtomicBool::new(false),
        }
    }

    /// Never returns: its last chunk ends the connection.
    async fn read(&self, chunks: Sender<DueChunk>) {
        let mut due = Instant::now();
        loop {
            let mut buffer = vec![0; CHUNK];
            let mut from = self.from;
            let chunk = match from.read(&mut buffer).await {
                Ok(0) => Chunk::Closed,
                Ok(length) => {
                    buffer.truncate(length);
                    Chunk::Bytes(buffer)
                }
                Err(_) => Chunk::Broken,
            };
            let ends = !matches!(chunk, Chunk::Bytes(_));
            due = due.max(Instant::now() + self.link.delay(self.faults));
            if chunks.send(DueChunk { due, chunk }).await.is_err() || ends {
                return future::pending().await;
            }
        }
    }

    /// Ok when the end of the stream has been passed on.
    async fn write(
        &self,
        chunks: Receiver<DueChunk>,
        opposite: Sender<DueChunk>,
    ) -> Result<(), ConnectionEnd> {
        let mut receiver_gone = false;
        loop {
            let Ok(DueChunk { due, chunk }) = chunks.recv().await else {
                return future::pending().await;
            };
            Timer::at(due).await;
            if !self.faults.passes().await || self.has_lost() {
                self.has_lost.store(true, Ordering::SeqCst);
                continue;
            }
            match chunk {
                Chunk::Bytes(bytes) if !receiver_gone => {
                    if self.send(&bytes).await.is_err() {
                        receiver_gone = true;
                        // The sender learns it along the opposite direction; if that is full, its bytes show it soon.
                        let _ = opposite.try_send(DueChunk {
                            due: Instant::now(),
                            chunk: Chunk::Broken,
                        });
                    }
                }
                Chunk::Bytes(_) => {}
                Chunk::Closed => {
                    let _ = self.to.get_ref().shutdown(Shutdown::Write);
                    return Ok(());
                }
                Chunk::Broken => return Err(ConnectionEnd::Reset),
            }
        }
    }

    async fn send(&self, bytes: &[u8]) -> io::Result<()> {
        let (mut to, mut left) = (self.to, bytes);
        while !left.is_empty() {
            let LinkFault::Throttled { bytes_per_s } = self.faults.fault() else {
                return to.write_all(left).await;
            };
            let slice = (bytes_per_s / THROTTLED_WRITES_PER_S).max(1) as usize;
            let length = left.len().min(slice);
            to.write_all(&left[..length]).await?;
            left = &left[length..];
            let seconds = length as f64 / bytes_per_s.max(1) as f64;
            Timer::after(Duration::from_secs_f64(seconds)).await;
        }
        Ok(())
    }

    fn has_lost(&self) -> bool {
        self.has_lost.load(Ordering::SeqCst)
    }

    /// Bytes were lost, and later ones would pass now.
    fn has_gap(&self, present: LinkFault) -> bool {
        self.has_lost() && !present.loses()
    }
}

/// Connects onwards as soon as something gets there; none if the connection is lost instead.
async fn connect_onwards(link: &Link) -> Option<Async<TcpStream>> {
    if link.outbound.passes().await {
        return if link.is_broken() {
            None
        } else {
            link.connect().await.ok()
        };
    }
    loop {
        let changed = link.outbound.changed();
        if !link.outbound.fault().loses() {
            return None;
        }
        changed.await;
    }
}

/// Carries a connection until it ends.
pub(super) async fn carry_connection(near: Async<TcpStream>, link: &Link) {
    let resets_before = link.resets();
    let Some(far) = connect_onwards(link).await else {
        return reset(near.get_ref());
    };
    match carry_both_ways(link, &near, &far, resets_before).await {
        ConnectionEnd::Closed => {}
        ConnectionEnd::Reset => {
            reset(near.get_ref());
            reset(far.get_ref());
        }
        ConnectionEnd::HalfOpen(DeadSide::Far) => {
            drain_half_open(far, near, &link.outbound).await;
        }
        ConnectionEnd::HalfOpen(DeadSide::Near) => {
            drain_half_open(near, far, &link.inbound).await;
        }
    }
}

async fn carry_both_ways(
    link: &Link,
    near: &Async<TcpStream>,
    far: &Async<TcpStream>,
    resets_before: u64,
) -> ConnectionEnd {
    let outbound = Direction::new(link, &link.outbound, near, far);
    let inbound = Direction::new(link, &link.inbound, far, near);
    let (outbound_sender, outbound_chunks) = bounded(QUEUE_LENGTH);
    let (inbound_sender, inbound_chunks) = bounded(QUEUE_LENGTH);
    let reading = future::zip(
        outbound.read(outbound_sender.clone()),
        inbound.read(inbound_sender.clone()),
    );
    let writing = future::try_zip(
        outbound.write(outbound_chunks, inbound_sender),
        inbound.write(inbound_chunks, outbound_sender),
    );
    let carrying = async {
        let ended = writing.or(async {
            reading.await;
            future::pending().await
        });
        match ended.await {
            Ok(_) => ConnectionEnd::Closed,
            Err(end) => end,
        }
    };
    let broken = async {
        loop {
            let changed = link.outbound.changed();
            let (out_fault, in_fault) = (link.outbound.fault(), link.inbound.fault());
            let reset =
                [out_fault, in_fault].contains(&LinkFault::Reset) || link.resets() != resets_before;
            if reset || outbound.has_gap(out_fault) || inbound.has_gap(in_fault) {
                return ConnectionEnd::Reset;
            }
            if out_fault == LinkFault::HalfOpen {
                return ConnectionEnd::HalfOpen(DeadSide::Far);
            }
            if in_fault == LinkFault::HalfOpen {
                return ConnectionEnd::HalfOpen(DeadSide::Near);
            }
            changed.await;
        }
    };
    broken.or(carrying).await
}

/// Resets the dead side at once, and the living one when the direction is healed. Until then nobody hears what the
/// living side sends.
async fn drain_half_open(
    dead: Async<TcpStream>,
    living: Async<TcpStream>,
    direction: &LinkDirection,
) {
    reset(dead.get_ref());
    drop(dead);
    let draining = async {
        let (mut stream, mut buffer) = (&living, vec![0; CHUNK]);
        while stream.read(&mut buffer).await.is_ok_and(|n| n > 0) {}
    };
    let healed = async {
        loop {
            let changed = direction.changed();
            if direction.fault() != LinkFault::HalfOpen {
                return reset(living.get_ref());
            }
            changed.await;
        }
    };
    healed.or(draining).await;
}

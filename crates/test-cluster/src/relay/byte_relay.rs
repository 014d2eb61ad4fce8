//! Forwards one connection as bytes.
//!
//! Mechanisms:
//! 1. Each direction consists of a reader, a bounded queue of chunks with their due times, and a writer that checks the
//!    current fault before each chunk. A full queue stops its reader, so that the flow control of TCP slows the sender.
//! 2. The end of a stream is queued behind the bytes before it, and is held back or lost like them.
//! 3. A connection that lost bytes is reset when its direction is healed, because no real network delivers a TCP stream
//!    with a gap.

use std::io;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use smol::channel::{Receiver, Sender, bounded};

use super::{Link, reset};
use crate::links::{LinkDirection, LinkFault};

/// Largest number of bytes that are read at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Largest number of chunks in flight in one direction; together one MiB.
const MAX_QUEUED_CHUNKS: usize = 64;
/// Number of writes per second in a throttled direction.
const THROTTLED_WRITES_PER_S: u64 = 20;

/// A part of a stream, or its end.
enum Chunk {
    Bytes(Vec<u8>),
    /// The sender has closed its side.
    Closed,
    /// Reading or writing failed.
    Broken,
}

/// A chunk with the time at which it may be written.
struct DueChunk {
    due: Instant,
    chunk: Chunk,
}

/// How a connection ends.
enum ConnectionEnd {
    Closed,
    Reset,
    /// One side sees a reset at once, the other side only when the link is healed.
    HalfOpen(DeadSide),
}

/// The side of a half-open connection that is reset at once.
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

    /// Reads chunks until the stream ends. Never returns, because the writer of the last chunk ends the connection.
    async fn read(&self, chunks: Sender<DueChunk>) {
        let mut due = Instant::now();
        loop {
            let mut buffer = vec![0; CHUNK_BYTES];
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

    /// Writes chunks; returns `Ok` when the end of the stream has been forwarded.
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
                        // The sender is reset through the opposite direction. If its queue is full, the queued bytes
                        // fail to be written soon, which has the same effect.
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

    /// Whether bytes were lost and the current fault lets later bytes pass.
    fn has_gap(&self, present: LinkFault) -> bool {
        self.has_lost() && !present.loses()
    }
}

/// Connects to the far side as soon as the fault lets data pass; returns nothing if the connection is lost instead.
async fn connect_to_far_side(link: &Link) -> Option<Async<TcpStream>> {
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

/// Forwards a connection until it ends.
pub(super) async fn forward_connection(near: Async<TcpStream>, link: &Link) {
    let resets_before = link.resets();
    let Some(far) = connect_to_far_side(link).await else {
        return reset(near.get_ref());
    };
    match forward_both_directions(link, &near, &far, resets_before).await {
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

async fn forward_both_directions(
    link: &Link,
    near: &Async<TcpStream>,
    far: &Async<TcpStream>,
    resets_before: u64,
) -> ConnectionEnd {
    let outbound = Direction::new(link, &link.outbound, near, far);
    let inbound = Direction::new(link, &link.inbound, far, near);
    let (outbound_sender, outbound_chunks) = bounded(MAX_QUEUED_CHUNKS);
    let (inbound_sender, inbound_chunks) = bounded(MAX_QUEUED_CHUNKS);
    let reading = future::zip(
        outbound.read(outbound_sender.clone()),
        inbound.read(inbound_sender.clone()),
    );
    let writing = future::try_zip(
        outbound.write(outbound_chunks, inbound_sender),
        inbound.write(inbound_chunks, outbound_sender),
    );
    let forwarding = async {
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
    broken.or(forwarding).await
}

/// Resets the dead side at once and the other side when the direction is healed. Until then the data that the other
/// side sends is discarded.
async fn drain_half_open(
    dead: Async<TcpStream>,
    alive: Async<TcpStream>,
    direction: &LinkDirection,
) {
    reset(dead.get_ref());
    drop(dead);
    let draining = async {
        let (mut stream, mut buffer) = (&alive, vec![0; CHUNK_BYTES]);
        while stream.read(&mut buffer).await.is_ok_and(|n| n > 0) {}
    };
    let healed = async {
        loop {
            let changed = direction.changed();
            if direction.fault() != LinkFault::HalfOpen {
                return reset(alive.get_ref());
            }
            changed.await;
        }
    };
    healed.or(draining).await;
}

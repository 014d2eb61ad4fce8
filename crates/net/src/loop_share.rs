//! [`LoopShare`] and [`FairStream`]: what one peer may take of the event loop at a time.
//!
//! All peers of a process share one thread. The rule that both types keep: a peer takes at most [`STEPS_PER_TURN`] steps
//! in a row, and begins none after [`TURN_TIME`]; then every other task that is ready runs, whatever the peer sends and
//! however fast. A step is a read, an accepted connection, a request that is answered or a message that is handled; none
//! of them takes longer with the amount that the peer has sent ahead. An operation on a socket that succeeds at once does
//! not give way by itself, so a loop that a peer can keep busy counts its steps with one of these types, or has a limit of
//! its own.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_lite::future::yield_now;
use futures_lite::{AsyncRead, AsyncWrite};

use crate::read_progress::ReadProgress;

/// Most steps of one peer in a row.
pub const STEPS_PER_TURN: u32 = 16;

/// Time after which a peer begins no further step of a turn.
pub const TURN_TIME: Duration = Duration::from_micros(500);

/// Counts the steps of one peer's task.
#[derive(Debug, Default)]
pub struct LoopShare {
    turn: Option<CurrentTurn>,
}

/// The present turn of a peer.
#[derive(Clone, Copy, Debug)]
struct CurrentTurn {
    began: Instant,
    steps: u32,
}

impl LoopShare {
    /// Counts a step. After the last one of a turn, the other tasks run first.
    pub async fn step(&mut self) {
        if !self.take_step() {
            yield_now().await;
        }
    }

    /// Counts a step; returns false if it was the last one of a turn, so that the other tasks have to run now.
    fn take_step(&mut self) -> bool {
        let now = Instant::now();
        let turn = self.turn.get_or_insert(CurrentTurn {
            began: now,
            steps: 0,
        });
        turn.steps += 1;
        let goes_on = turn.steps < STEPS_PER_TURN && now - turn.began < TURN_TIME;
        if !goes_on {
            self.end_turn();
        }
        goes_on
    }

    /// Records that the task has waited, so that the other tasks have run: a new turn begins.
    pub fn waited(&mut self) {
        self.end_turn();
    }

    fn end_turn(&mut self) {
        self.turn = None;
    }
}

/// A stream whose reads and writes are counted as steps, for readers that go on reading while bytes are there.
#[derive(Debug)]
pub struct FairStream<S> {
    stream: S,
    share: LoopShare,
    gives_way: bool,
    progress: Option<Rc<ReadProgress>>,
}

impl<S> FairStream<S> {
    /// Wraps a stream.
    pub fn new(stream: S) -> Self {
        FairStream {
            stream,
            share: LoopShare::default(),
            gives_way: false,
            progress: None,
        }
    }

    /// Wraps a stream whose reads are recorded.
    pub fn observed(stream: S, progress: Rc<ReadProgress>) -> Self {
        FairStream {
            progress: Some(progress),
            ..FairStream::new(stream)
        }
    }

    /// The stream.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    /// Whether the other tasks have to run before the next operation. The task is woken at once if so.
    fn gives_way(&mut self, context: &Context) -> bool {
        if !std::mem::take(&mut self.gives_way) {
            return false;
        }
        context.waker().wake_by_ref();
        true
    }

    /// Counts an operation that has succeeded.
    fn count<T>(&mut self, polled: Poll<T>) -> Poll<T> {
        if polled.is_ready() {
            self.gives_way = !self.share.take_step();
        } else {
            self.share.end_turn();
        }
        polled
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FairStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.gives_way(context) {
            return Poll::Pending;
        }
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Some(progress) = &self.progress {
            match &polled {
                Poll::Ready(read) => progress.read(*read.as_ref().unwrap_or(&0)),
                Poll::Pending => progress.found_nothing(),
            }
        }
        self.count(polled)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FairStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.gives_way(context) {
            return Poll::Pending;
        }
        let polled = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.count(polled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

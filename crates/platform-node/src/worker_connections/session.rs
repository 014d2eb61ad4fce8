//! [`Session`]: the task of a connection to a worker. It establishes the connection, then reads answers until the
//! connection ends.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use cedarpulley::interface::Micros;
use cedarpulley_net::{Stream, connect, is_out_of_resources};
use cedarpulley_platform::attempt_outcome::ExchangeEnd;
use cedarpulley_platform::loop_activity::Activity;
use cedarpulley_platform::worker_protocol::MAX_ANSWER_BYTES;
use futures_lite::FutureExt;
use futures_lite::future::yield_now;

use super::connection::{CloseReason, WorkerConnection};
use super::sending::Sender;
use crate::node::Node;
use crate::read_buffer::{READ_SIZE, ReadResult};

/// Most reads in a row: the number of reads that the longest answer takes. The limit bounds the delay that a worker
/// causes to other connections by sending without a pause.
const MAX_READS: usize = MAX_ANSWER_BYTES.div_ceil(READ_SIZE);

/// Most answers that are processed before other tasks run.
const MAX_ANSWERS: usize = 64;

/// What reading a connection has found.
#[derive(Clone, Copy, Debug, Default)]
struct Reading {
    has_bytes: bool,
    has_ended: bool,
}

/// A connection to a worker, and the node to which it belongs.
#[derive(Clone, Copy)]
pub(super) struct Session<'a> {
    node: &'a Rc<Node>,
    connection: &'a Rc<WorkerConnection>,
}

impl<'a> Session<'a> {
    pub fn new(node: &'a Rc<Node>, connection: &'a Rc<WorkerConnection>) -> Self {
        Session { node, connection }
    }

    /// Establishes and serves the connection, and reports the end of the exchanges that were in flight on it.
    pub async fn run(self, address: SocketAddr, connect_timeout: Micros) {
        let connecting = async {
            let connected = connect(address, None, connect_timeout).await;
            connected.map_err(|error| self.connect_failed(&error))
        };
        let cancelled = async {
            self.connection.end_requested().await;
            Err(ExchangeEnd::Withheld)
        };
        let stream = match connecting.or(cancelled).await {
            Ok(stream) => stream,
            Err(end) => return self.end(end),
        };
        self.connection.established(stream);
        self.node.workers.established(self.connection);
        Sender::new(self.node, self.connection).write();
        self.serve().await;
        self.end(ExchangeEnd::NotSent);
    }

    /// The result of the exchanges on a connection that could not be established. An attempt that this router cancelled
    /// shows nothing about the worker.
    fn connect_failed(self, error: &io::Error) -> ExchangeEnd {
        if is_out_of_resources(error) {
            self.node.workers.out_of_descriptors(self.node);
            ExchangeEnd::NoConnection
        } else if self.connection.is_closed_locally() {
            ExchangeEnd::Withheld
        } else {
            self.node.record_activity(Activity::ConnectFailed);
            ExchangeEnd::ConnectFailed
        }
    }

    /// Ends the connection. `unsent`: the result of the exchanges whose messages were not sent completely.
    fn end(self, unsent: ExchangeEnd) {
        let workers = &self.node.workers;
        workers.connection_ended(self.node, self.connection, unsent);
    }

    /// Writes queued messages and reads answers until the connection ends.
    async fn serve(self) {
        let Some(stream) = self.connection.stream() else {
            return;
        };
        while !self.connection.is_ending() {
            if self.connection.has_answers_left() {
                yield_now().await;
            } else {
                self.connection.wait(&stream).await;
            }
            Sender::new(self.node, self.connection).write();
            if self.connection.is_ending() {
                return;
            }
            let reading = self.read(&stream);
            if reading.has_bytes || self.connection.has_answers_left() {
                self.process_answers();
            }
            if reading.has_ended {
                return self.process_remaining_answers().await;
            }
        }
    }

    /// Processes the answers that are left after the end of the connection.
    async fn process_remaining_answers(self) {
        while self.connection.has_answers_left() && !self.connection.is_ending() {
            yield_now().await;
            self.process_answers();
        }
    }

    /// Reads what has arrived while this request is in flight on the connection. If the connection has ended, its own
    /// task detects and handles that.
    pub fn read_answers_to(self, request_id: &str) {
        let Some(stream) = self.connection.stream() else {
            return;
        };
        for _ in 0..MAX_READS {
            let is_awaited =
                !self.connection.is_ending() && self.connection.has_exchange(request_id);
            if !is_awaited {
                break;
            }
            let reading = self.read(&stream);
            if reading.has_bytes {
                self.process_answers();
            }
            if reading.has_ended || !reading.has_bytes {
                break;
            }
        }
        if self.connection.has_answers_left() {
            self.connection.wake();
        }
    }

    /// Reads without waiting. After a read that filled the buffer, the bytes that did not fit are read, too: they may show
    /// that the last answer is not whole. Nothing is read while more than the longest answer is left to be processed.
    fn read(self, stream: &Stream) -> Reading {
        let mut reading = Reading::default();
        for _ in 0..MAX_READS {
            if self.connection.unprocessed_bytes() > MAX_ANSWER_BYTES {
                break;
            }
            let length = match self.read_once(stream) {
                ReadResult::Bytes(length) => length,
                ReadResult::Nothing => break,
                ReadResult::Ended => {
                    reading.has_ended = true;
                    break;
                }
            };
            reading.has_bytes = true;
            if length < READ_SIZE {
                break;
            }
        }
        reading
    }

    /// Reads once without waiting; returns the number of bytes.
    fn read_once(self, stream: &Stream) -> ReadResult<usize> {
        self.node.read(stream, |bytes| {
            self.connection.add_bytes(bytes);
            bytes.len()
        })
    }

    /// Processes the complete answers, up to [`MAX_ANSWERS`], and records on the connection whether any may be left.
    fn process_answers(self) {
        let workers = &self.node.workers;
        let mut has_answers_left = true;
        for _ in 0..MAX_ANSWERS {
            match self
                .connection
                .next_answer(&workers.protocol().report_fields)
            {
                // A worker cannot have answered a message that was not sent completely.
                Ok(Some(answer)) if self.connection.is_unsent(&answer.id) => {
                    return self.connection.close(CloseReason::AnswerBeforeMessage);
                }
                // An answer with an unknown id is late, repeated or unsolicited, and is ignored by `exchange_ended`.
                Ok(Some(answer)) => {
                    let id = answer.id.clone();
                    let end = ExchangeEnd::Answered(answer.status);
                    workers.exchange_ended(self.node, self.connection, &id, end, Some(answer));
                }
                Ok(None) => {
                    has_answers_left = false;
                    break;
                }
                Err(error) => {
                    tracing::debug!(?error, "malformed answer from a worker");
                    return self.connection.close(CloseReason::MalformedAnswer);
                }
            }
        }
        self.connection.set_answers_left(has_answers_left);
        workers.received(self.node, self.connection);
    }
}

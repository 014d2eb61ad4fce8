//! The socket of one connection: reading, writing and heartbeats.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use cedarpulley_amqp::frames::FrameReader;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use serde_json::json;

use super::Broker;
use super::protocol::{FRAME_MAX, HEARTBEAT_S};
use super::state::ConnectionId;
use crate::lock;

/// The first bytes that an AMQP 0-9-1 client sends.
const PROTOCOL_HEADER: &[u8; 8] = b"AMQP\x00\x00\x09\x01";
const READ_BUFFER_BYTES: usize = 64 * 1024;

impl Broker {
    /// Serves a connection until either side closes it, then removes it.
    pub(super) async fn serve(
        &self,
        id: ConnectionId,
        stream: Async<TcpStream>,
        woken: smol::channel::Receiver<()>,
    ) {
        let reading = self.read(id, &stream);
        let writing = self.write(id, &stream, &woken);
        reading.or(writing).await;
        lock(&self.state).disconnect(id);
        if let Some(task) = lock(&self.connections).remove(&id) {
            task.detach();
        }
    }

    async fn read(&self, id: ConnectionId, mut stream: &Async<TcpStream>) {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut reader = FrameReader::new(FRAME_MAX);
        let mut header = Vec::new();
        while let Ok(length) = stream.read(&mut buffer).await {
            if length == 0 {
                break;
            }
            let mut bytes = &buffer[..length];
            if header.len() < PROTOCOL_HEADER.len() {
                let missing = bytes.len().min(PROTOCOL_HEADER.len() - header.len());
                header.extend_from_slice(&bytes[..missing]);
                bytes = &bytes[missing..];
                if header.len() == PROTOCOL_HEADER.len() {
                    if header != PROTOCOL_HEADER {
                        return;
                    }
                    lock(&self.state).greet(id);
                }
            }
            reader.feed(bytes);
            let handled = lock(&self.state).handle_frames(id, &mut reader);
            if let Err(fault) = handled {
                self.log
                    .write("refused", json!({"peer": id, "why": fault.to_string()}));
                self.log.flush();
                break;
            }
        }
    }

    async fn write(
        &self,
        id: ConnectionId,
        mut stream: &Async<TcpStream>,
        woken: &smol::channel::Receiver<()>,
    ) {
        let mut last_sent = Instant::now();
        loop {
            let (bytes, closing) = match lock(&self.state).connection(id) {
                Some(connection) => (connection.take_output(), connection.closing),
                None => return,
            };
            if !bytes.is_empty() {
                if stream.write_all(&bytes).await.is_err() {
                    return;
                }
                last_sent = Instant::now();
                continue;
            }
            if closing {
                return;
            }
            let heartbeat = async {
                // Deliveries to other connections wake this task too. Counting from the last write ensures that such
                // wake-ups do not postpone the heartbeat.
                Timer::at(last_sent + Duration::from_secs(u64::from(HEARTBEAT_S) / 2)).await;
                if let Some(connection) = lock(&self.state).connection(id) {
                    connection.send_heartbeat();
                }
            };
            async {
                let _ = woken.recv().await;
            }
            .or(heartbeat)
            .await;
        }
    }
}

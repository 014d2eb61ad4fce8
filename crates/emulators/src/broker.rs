//! An emulated broker with the part of AMQP 0-9-1 that routers and clients use: queues on the default exchange,
//! prefetch, redelivery, transactions, time to live, dead letters and `connection.blocked`. Messages are kept in
//! memory.
//!
//! Modules: `connection` reads and writes sockets and sends heartbeats, `protocol` executes the methods that peers
//! send, `state` owns queues and deliveries.

mod connection;
mod protocol;
mod state;

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_executor::Task;
use async_io::{Async, Timer};
use cedarpulley_amqp::protocol::{AMQPClass, channel, connection as connection_class};
use cedarpulley_amqp::types::ShortString;
use serde_json::json;

use self::state::{ConnectionId, State};
use crate::{Host, Log, lock};

/// Name of the queue that rejected messages are moved to.
pub const DEAD_LETTER_QUEUE: &str = "dead-letters";

/// Handle of an emulated broker on loopback; clones refer to the same broker.
#[derive(Clone)]
pub struct Broker {
    host: Host,
    log: Log,
    /// The address that the broker listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    listener: Arc<Mutex<Option<Task<()>>>>,
    connections: Arc<Mutex<HashMap<ConnectionId, Task<()>>>>,
}

/// Converts a text to an AMQP short string; a text that is too long becomes an empty string.
fn short_string(text: &str) -> ShortString {
    ShortString::try_new(text).unwrap_or_default()
}

impl Broker {
    /// Starts a broker without queues.
    ///
    /// # Errors
    /// Fails if the log cannot be created or the address cannot be bound.
    pub fn start(host: &Host, name: &str, address: SocketAddr) -> std::io::Result<Broker> {
        let log = host.log(name)?;
        let mut broker = Broker {
            host: host.clone(),
            log: log.clone(),
            address,
            state: Arc::new(Mutex::new(State::new(log))),
            listener: Arc::default(),
            connections: Arc::default(),
        };
        broker.address = broker.listen()?;
        Ok(broker)
    }

    fn listen(&self) -> std::io::Result<SocketAddr> {
        let listener = Async::<TcpListener>::bind(self.address)?;
        let address = listener.get_ref().local_addr()?;
        let broker = self.clone();
        let task = self.host.executor.spawn(async move {
            while let Ok((stream, from)) = listener.accept().await {
                let (wake, woken) = smol::channel::bounded(1);
                let id = lock(&broker.state).connect(from.ip().to_string(), wake);
                let serving = broker.clone();
                let task = broker.host.executor.spawn(async move {
                    let _ = stream.get_ref().set_nodelay(true);
                    serving.serve(id, stream, woken).await;
                });
                lock(&broker.connections).insert(id, task);
            }
        });
        *lock(&self.listener) = Some(task);
        Ok(address)
    }

    /// Writes buffered log lines to the log file.
    pub fn flush(&self) {
        self.log.flush();
    }

    /// Creates a queue if it does not exist yet.
    pub fn declare(&self, queue: &str) {
        lock(&self.state).declare(queue.to_owned());
    }

    /// Number of messages in a queue that are ready for delivery.
    pub fn ready_messages(&self, queue: &str) -> usize {
        lock(&self.state).ready(queue)
    }

    /// Number of consumers that acknowledge their deliveries.
    pub fn consumers(&self) -> usize {
        lock(&self.state)
            .connections()
            .filter(|(_, c)| c.channel.acknowledges())
            .count()
    }

    /// Number of messages that are delivered and not yet acknowledged, over all consumers.
    pub fn unacked(&self) -> usize {
        lock(&self.state)
            .connections()
            .map(|(_, c)| c.channel.unacked.len())
            .sum()
    }

    /// Closes the transactional channels (those of routers) whose source address `from` selects. Their unacknowledged
    /// messages are redelivered.
    pub fn drop_channels(&self, from: impl Fn(&str) -> bool) {
        let mut state = lock(&self.state);
        let ids: Vec<ConnectionId> = state
            .connections()
            .filter(|(_, c)| c.channel.open && c.channel.transactional && from(&c.from))
            .map(|(id, _)| id)
            .collect();
        for id in ids {
            let Some(connection) = state.connection(id) else {
                continue;
            };
            connection.close_channel(channel::Close {
                reply_code: 541,
                reply_text: short_string("the channel is dropped"),
                class_id: 0,
                method_id: 0,
            });
            state.requeue_unacked(id);
        }
        state.deliver_ready();
    }

    /// Closes the connections whose source address `from` selects, without an AMQP close. Their unacknowledged messages
    /// are redelivered.
    pub fn drop_connections(&self, from: impl Fn(&str) -> bool) {
        let ids: Vec<ConnectionId> = lock(&self.state)
            .connections()
            .filter(|(_, c)| from(&c.from))
            .map(|(id, _)| id)
            .collect();
        for id in ids {
            drop(lock(&self.connections).remove(&id));
            lock(&self.state).disconnect(id);
        }
    }

    /// Closes all connections, stops listening for the duration `downtime`, and listens again with the same queues.
    ///
    /// # Errors
    /// Fails if the address cannot be bound again.
    pub async fn restart(&self, downtime: Duration) -> std::io::Result<()> {
        drop(lock(&self.listener).take());
        self.drop_connections(|_| true);
        Timer::after(downtime).await;
        self.listen().map(|_| ())
    }

    /// Sends `connection.blocked` or `connection.unblocked` to all connections with an open channel.
    pub fn set_blocked(&self, blocked: bool) {
        use connection_class::AMQPMethod as M;
        let mut state = lock(&self.state);
        self.log.write("blocked", json!({"on": blocked}));
        for connection in state.connections_mut().filter(|c| c.channel.open) {
            connection.send_on_connection(AMQPClass::Connection(if blocked {
                M::Blocked(connection_class::Blocked {
                    reason: short_string("low on memory"),
                })
            } else {
                M::Unblocked(connection_class::Unblocked {})
            }));
            connection.wake();
        }
    }

    /// Sends these bytes unchanged to all routers, also if they are not valid AMQP.
    pub fn send_raw(&self, bytes: &[u8]) {
        let mut state = lock(&self.state);
        for connection in state.connections_mut().filter(|c| c.channel.transactional) {
            connection.send_bytes(bytes);
            connection.wake();
        }
    }
}

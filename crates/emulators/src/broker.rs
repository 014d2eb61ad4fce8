//! A broker that speaks AMQP 0-9-1 as far as a router and a client need it: queues on the default exchange,
//! prefetch, redelivery, transactions, time to live, dead letters, `connection.blocked`. Messages are in memory.
//!
//! Modules: `connection` moves bytes and heartbeats, `protocol` carries out what peers send, `state` owns queues and
//! deliveries.

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

/// Queue that rejected messages are moved to.
pub const DEAD: &str = "dead-letters";

/// Handle of an emulated broker on loopback; clones stand for the same one.
#[derive(Clone)]
pub struct Broker {
    host: Host,
    log: Log,
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    listener: Arc<Mutex<Option<Task<()>>>>,
    connections: Arc<Mutex<HashMap<ConnectionId, Task<()>>>>,
}

/// Empty if the text is too long for a short string.
fn short_string(text: &str) -> ShortString {
    ShortString::try_new(text).unwrap_or_default()
}

impl Broker {
    /// Starts a broker without queues.
    ///
    /// # Errors
    /// When its log cannot be created or its address cannot be bound.
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

    /// Writes buffered log lines out.
    pub fn flush(&self) {
        self.log.flush();
    }

    /// Creates a queue unless it exists.
    pub fn declare(&self, queue: &str) {
        lock(&self.state).declare(queue.to_owned());
    }

    /// Messages ready in a queue.
    pub fn ready_messages(&self, queue: &str) -> usize {
        lock(&self.state).ready(queue)
    }

    /// Consumers that acknowledge.
    pub fn consumers(&self) -> usize {
        lock(&self.state)
            .connections()
            .filter(|(_, c)| c.channel.acknowledges())
            .count()
    }

    /// Messages delivered and not yet acknowledged, over all consumers.
    pub fn unacked(&self) -> usize {
        lock(&self.state)
            .connections()
            .map(|(_, c)| c.channel.unacked.len())
            .sum()
    }

    /// Closes the channels of consumers from these addresses; their unacknowledged messages are delivered again.
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

    /// Breaks the connections from these addresses off.
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

    /// Goes away for some time and comes back with its queues.
    ///
    /// # Errors
    /// When its address cannot be bound again.
    pub async fn restart(&self, away: Duration) -> std::io::Result<()> {
        drop(lock(&self.listener).take());
        self.drop_connections(|_| true);
        Timer::after(away).await;
        self.listen().map(|_| ())
    }

    /// Tells connections that publishing is blocked, or no more.
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

    /// Sends bytes to all routers as they are, whatever they mean.
    pub fn send_raw(&self, bytes: &[u8]) {
        let mut state = lock(&self.state);
        for connection in state.connections_mut().filter(|c| c.channel.transactional) {
            connection.send_bytes(bytes);
            connection.wake();
        }
    }
}

//! A broker that speaks AMQP 0-9-1 as far as a router and a client need it: queues on the default exchange,
//! prefetch, redelivery, transactions, time to live, dead letters, `connection.blocked`. Messages are in memory.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_executor::Task;
use async_io::{Async, Timer};
use cedarpulley_amqp::frames::{Reader, write, write_message, write_method};
use cedarpulley_amqp::protocol::basic::{self, AMQPProperties};
use cedarpulley_amqp::protocol::{AMQPClass, channel, connection, queue, tx};
use cedarpulley_amqp::types::{FieldTable, LongString, ShortString};
use cedarpulley_amqp::{Fault, meaning};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use serde_json::json;

use crate::{Ground, Log, lock, wall_us};

const FRAME_MAX: u32 = 128 * 1024;
const HEARTBEAT_S: u16 = 10;
const CHANNEL: u16 = 1;
pub const DEAD: &str = "dead-letters";

struct Stored {
    id: u64,
    properties: AMQPProperties,
    body: Arc<Vec<u8>>,
    redelivered: bool,
    queue: String,
    expires: Option<i64>,
}

#[derive(Default)]
struct Queue {
    ready: VecDeque<Stored>,
    consumers: VecDeque<u64>,
}

enum Op {
    Publish(Box<(String, AMQPProperties, Vec<u8>)>),
    Ack(u64),
    Reject(u64),
}

/// Queue, size and properties once known, and the body so far.
type Incoming = (String, Option<(u64, AMQPProperties)>, Vec<u8>);

#[derive(Default)]
struct Peer {
    from: String,
    out: Vec<u8>,
    bell: Option<smol::channel::Sender<()>>,
    gone: bool,
    open: bool,
    tx: bool,
    prefetch: usize,
    /// Whether it acknowledges nothing, and its consumer's tag.
    consumes: Option<(bool, ShortString)>,
    next_tag: u64,
    unacked: BTreeMap<u64, Stored>,
    ops: Vec<Op>,
    incoming: Option<Incoming>,
}

impl Peer {
    fn method(&mut self, method: AMQPClass) {
        write_method(&mut self.out, CHANNEL, method);
    }
}

struct State {
    queues: HashMap<String, Queue>,
    peers: HashMap<u64, Peer>,
    next: u64,
    frame_max: u32,
}

/// A broker on loopback.
#[derive(Clone)]
pub struct Broker {
    ground: Ground,
    log: Log,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    listener: Arc<Mutex<Option<Task<()>>>>,
    served: Arc<Mutex<HashMap<u64, Task<()>>>>,
}

fn short(s: &str) -> ShortString {
    ShortString::try_new(s).unwrap_or_default()
}

fn id_of(p: &AMQPProperties) -> String {
    let part = |s: &Option<ShortString>| {
        s.as_ref()
            .map(|s| s.as_str().to_owned())
            .unwrap_or_default()
    };
    part(p.correlation_id())
}

impl Broker {
    pub fn start(ground: &Ground, name: &str, address: SocketAddr) -> std::io::Result<Broker> {
        let state = State {
            queues: HashMap::new(),
            peers: HashMap::new(),
            next: 0,
            frame_max: FRAME_MAX,
        };
        let mut broker = Broker {
            ground: ground.clone(),
            log: ground.log(name)?,
            address,
            state: Arc::new(Mutex::new(state)),
            listener: Arc::default(),
            served: Arc::default(),
        };
        broker.address = broker.listen()?;
        Ok(broker)
    }

    fn listen(&self) -> std::io::Result<SocketAddr> {
        let listener = Async::<TcpListener>::bind(self.address)?;
        let address = listener.get_ref().local_addr()?;
        let it = self.clone();
        let task = self.ground.executor.spawn(async move {
            while let Ok((stream, from)) = listener.accept().await {
                let (ring, bell) = smol::channel::bounded(1);
                let id = {
                    let mut state = lock(&it.state);
                    state.next += 1;
                    let id = state.next;
                    let peer = Peer {
                        from: from.ip().to_string(),
                        bell: Some(ring),
                        ..Peer::default()
                    };
                    state.peers.insert(id, peer);
                    id
                };
                let served = it.clone();
                let task = it.ground.executor.spawn(async move {
                    let _ = stream.get_ref().set_nodelay(true);
                    served.serve(id, stream, bell).await;
                });
                lock(&it.served).insert(id, task);
            }
        });
        *lock(&self.listener) = Some(task);
        Ok(address)
    }

    pub fn flush(&self) {
        self.log.flush();
    }

    pub fn declare(&self, queue: &str) {
        lock(&self.state)
            .queues
            .entry(queue.to_owned())
            .or_default();
    }

    /// Messages ready in a queue.
    pub fn waiting(&self, queue: &str) -> usize {
        lock(&self.state)
            .queues
            .get(queue)
            .map_or(0, |q| q.ready.len())
    }

    /// Consumers that acknowledge.
    pub fn consumers(&self) -> usize {
        lock(&self.state)
            .peers
            .values()
            .filter(|p| p.consumes.as_ref().is_some_and(|(no_ack, _)| !no_ack))
            .count()
    }

    pub fn unacked(&self) -> usize {
        lock(&self.state)
            .peers
            .values()
            .map(|p| p.unacked.len())
            .sum()
    }

    /// Closes the channels of consumers from these addresses; what they held is delivered again.
    pub fn drop_channels(&self, from: impl Fn(&str) -> bool) {
        let mut state = lock(&self.state);
        let ids: Vec<u64> = state
            .peers
            .iter()
            .filter(|(_, p)| p.open && p.tx && from(&p.from))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            let Some(peer) = state.peers.get_mut(&id) else {
                continue;
            };
            let text = short("the channel is dropped");
            let close = channel::Close {
                reply_code: 541,
                reply_text: text,
                class_id: 0,
                method_id: 0,
            };
            peer.method(AMQPClass::Channel(channel::AMQPMethod::Close(close)));
            peer.open = false;
            self.requeue(&mut state, id);
        }
        self.pump(&mut state);
    }

    /// Breaks the connections from these addresses off.
    pub fn drop_connections(&self, from: impl Fn(&str) -> bool) {
        let ids: Vec<u64> = lock(&self.state)
            .peers
            .iter()
            .filter(|(_, p)| from(&p.from))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            drop(lock(&self.served).remove(&id));
            self.forget(id);
        }
    }

    /// Goes away for some time and comes back with its queues.
    pub async fn restart(&self, away: Duration) -> std::io::Result<()> {
        drop(lock(&self.listener).take());
        self.drop_connections(|_| true);
        Timer::after(away).await;
        self.listen().map(|_| ())
    }

    pub fn block(&self, blocked: bool) {
        let mut state = lock(&self.state);
        self.log.write("blocked", json!({"on": blocked}));
        for peer in state.peers.values_mut().filter(|p| p.open) {
            let method = match blocked {
                true => connection::AMQPMethod::Blocked(connection::Blocked {
                    reason: short("low on memory"),
                }),
                false => connection::AMQPMethod::Unblocked(connection::Unblocked {}),
            };
            write_method(&mut peer.out, 0, AMQPClass::Connection(method));
            ring(peer);
        }
    }

    /// Sends bytes as they are to all consumers, whatever they mean.
    pub fn send_raw(&self, bytes: &[u8]) {
        for peer in lock(&self.state).peers.values_mut().filter(|p| p.tx) {
            peer.out.extend_from_slice(bytes);
            ring(peer);
        }
    }

    async fn serve(&self, id: u64, stream: Async<TcpStream>, bell: smol::channel::Receiver<()>) {
        let reading = async {
            let mut buffer = vec![0; 64 * 1024];
            let mut reader = Reader::new(FRAME_MAX);
            let mut greeted = Vec::new();
            let mut stream = &stream;
            while let Ok(n) = stream.read(&mut buffer).await {
                if n == 0 {
                    break;
                }
                let mut bytes = &buffer[..n];
                if greeted.len() < 8 {
                    let take = bytes.len().min(8 - greeted.len());
                    greeted.extend_from_slice(&bytes[..take]);
                    bytes = &bytes[take..];
                    if greeted.len() == 8 {
                        if greeted != b"AMQP\x00\x00\x09\x01" {
                            return;
                        }
                        self.greet(id);
                    }
                }
                reader.feed(bytes);
                if let Err(fault) = self.frames(id, &mut reader) {
                    self.log
                        .write("refused", json!({"peer": id, "why": fault.to_string()}));
                    self.log.flush();
                    break;
                }
            }
        };
        let writing = async {
            let mut stream = &stream;
            let mut spoke = std::time::Instant::now();
            loop {
                let (bytes, gone) = match lock(&self.state).peers.get_mut(&id) {
                    Some(p) => (std::mem::take(&mut p.out), p.gone),
                    None => return,
                };
                if !bytes.is_empty() {
                    if stream.write_all(&bytes).await.is_err() {
                        return;
                    }
                    spoke = std::time::Instant::now();
                    continue;
                }
                if gone {
                    return;
                }
                let beat = async {
                    // Others' news ring too; the beat is due all the same.
                    Timer::at(spoke + Duration::from_secs(u64::from(HEARTBEAT_S) / 2)).await;
                    if let Some(p) = lock(&self.state).peers.get_mut(&id) {
                        write(&mut p.out, &cedarpulley_amqp::frames::heartbeat());
                    }
                };
                async {
                    let _ = bell.recv().await;
                }
                .or(beat)
                .await;
            }
        };
        reading.or(writing).await;
        self.forget(id);
        if let Some(task) = lock(&self.served).remove(&id) {
            task.detach();
        }
    }

    fn greet(&self, id: u64) {
        let mut state = lock(&self.state);
        let Some(peer) = state.peers.get_mut(&id) else {
            return;
        };
        let start = connection::Start {
            version_major: 0,
            version_minor: 9,
            server_properties: FieldTable::default(),
            mechanisms: LongString::from("PLAIN"),
            locales: LongString::from("en_US"),
        };
        write_method(
            &mut peer.out,
            0,
            AMQPClass::Connection(connection::AMQPMethod::Start(start)),
        );
        ring(peer);
    }

    fn forget(&self, id: u64) {
        let mut state = lock(&self.state);
        self.requeue(&mut state, id);
        state.peers.remove(&id);
        self.pump(&mut state);
    }

    /// What a peer held goes back to where it was in its queue, marked.
    fn requeue(&self, state: &mut State, id: u64) {
        let Some(peer) = state.peers.get_mut(&id) else {
            return;
        };
        let held = std::mem::take(&mut peer.unacked);
        let from = peer.from.clone();
        (peer.ops, peer.incoming, peer.consumes) = (Vec::new(), None, None);
        for queue in state.queues.values_mut() {
            queue.consumers.retain(|c| *c != id);
        }
        for (_, mut stored) in held.into_iter().rev() {
            self.log.write(
                "requeued",
                json!({"id": id_of(&stored.properties), "from": from}),
            );
            stored.redelivered = true;
            if let Some(queue) = state.queues.get_mut(&stored.queue) {
                let at = queue.ready.partition_point(|s| s.id < stored.id);
                queue.ready.insert(at, stored);
            }
        }
    }

    fn frames(&self, id: u64, reader: &mut Reader) -> Result<(), Fault> {
        let mut state = lock(&self.state);
        while let Some(frame) = reader.next_frame()? {
            use cedarpulley_amqp::frames::AMQPFrame as F;
            match frame {
                F::Method(0, AMQPClass::Connection(method)) => {
                    self.connection(&mut state, id, method)?
                }
                F::Method(CHANNEL, method) => self.channel(&mut state, id, method)?,
                F::Header(CHANNEL, h) => {
                    if let Some((_, header, _)) =
                        state.peers.get_mut(&id).and_then(|p| p.incoming.as_mut())
                    {
                        *header = Some((h.body_size, h.properties));
                    }
                    self.published(&mut state, id);
                }
                F::Body(CHANNEL, part) => {
                    if let Some((_, _, body)) =
                        state.peers.get_mut(&id).and_then(|p| p.incoming.as_mut())
                    {
                        body.extend_from_slice(&part);
                    }
                    self.published(&mut state, id);
                }
                F::Heartbeat => {}
                _ => return Err(Fault::new(505, "an unexpected frame")),
            }
        }
        self.pump(&mut state);
        Ok(())
    }

    fn connection(
        &self,
        state: &mut State,
        id: u64,
        method: connection::AMQPMethod,
    ) -> Result<(), Fault> {
        use connection::AMQPMethod as M;
        let frame_max = state.frame_max;
        let Some(peer) = state.peers.get_mut(&id) else {
            return Ok(());
        };
        let reply = match method {
            M::StartOk(_) => M::Tune(connection::Tune {
                channel_max: 8,
                frame_max,
                heartbeat: HEARTBEAT_S,
            }),
            M::TuneOk(_) => return Ok(()),
            M::Open(_) => M::OpenOk(connection::OpenOk {}),
            M::Close(_) => {
                peer.gone = true;
                M::CloseOk(connection::CloseOk {})
            }
            M::CloseOk(_) => return Err(Fault::new(200, "closed")),
            _ => return Err(Fault::new(503, "not known here")),
        };
        write_method(&mut peer.out, 0, AMQPClass::Connection(reply));
        ring(peer);
        Ok(())
    }

    fn channel(&self, state: &mut State, id: u64, method: AMQPClass) -> Result<(), Fault> {
        use basic::AMQPMethod as B;
        let Some(peer) = state.peers.get_mut(&id) else {
            return Ok(());
        };
        match method {
            AMQPClass::Channel(channel::AMQPMethod::Open(_)) => {
                let from = peer.from.clone();
                let (out, bell) = (std::mem::take(&mut peer.out), peer.bell.take());
                *peer = Peer {
                    from,
                    out,
                    bell,
                    open: true,
                    ..Peer::default()
                };
                peer.method(AMQPClass::Channel(channel::AMQPMethod::OpenOk(
                    channel::OpenOk {},
                )));
            }
            AMQPClass::Channel(channel::AMQPMethod::CloseOk(_)) => {}
            AMQPClass::Channel(channel::AMQPMethod::Close(_)) => {
                peer.method(AMQPClass::Channel(channel::AMQPMethod::CloseOk(
                    channel::CloseOk {},
                )));
                peer.open = false;
                self.requeue(state, id);
            }
            // What was on its way as the channel closed is void.
            _ if !peer.open => {}
            AMQPClass::Tx(tx::AMQPMethod::Select(_)) => {
                peer.tx = true;
                peer.method(AMQPClass::Tx(tx::AMQPMethod::SelectOk(tx::SelectOk {})));
            }
            AMQPClass::Tx(tx::AMQPMethod::Commit(_)) => self.commit(state, id),
            AMQPClass::Basic(B::Qos(qos)) => {
                peer.prefetch = usize::from(qos.prefetch_count);
                peer.method(AMQPClass::Basic(B::QosOk(basic::QosOk {})));
            }
            AMQPClass::Queue(queue::AMQPMethod::Declare(d)) => {
                // One without a name gets one.
                let name = match d.queue.as_str() {
                    "" => format!("replies-of-{id}"),
                    name => name.to_owned(),
                };
                let ok = queue::DeclareOk {
                    queue: short(&name),
                    message_count: 0,
                    consumer_count: 0,
                };
                peer.method(AMQPClass::Queue(queue::AMQPMethod::DeclareOk(ok)));
                state.queues.entry(name).or_default();
            }
            AMQPClass::Basic(B::Consume(c)) => {
                let name = c.queue.as_str().to_owned();
                let Some(queue) = state.queues.get_mut(&name) else {
                    let text = short("no such queue");
                    let close = channel::Close {
                        reply_code: 404,
                        reply_text: text,
                        class_id: 60,
                        method_id: 20,
                    };
                    peer.method(AMQPClass::Channel(channel::AMQPMethod::Close(close)));
                    peer.open = false;
                    return Ok(());
                };
                queue.consumers.push_back(id);
                let consumer_tag = match c.consumer_tag.as_str() {
                    "" => short(&format!("consumer-{id}")),
                    _ => c.consumer_tag,
                };
                peer.consumes = Some((c.no_ack, consumer_tag.clone()));
                peer.method(AMQPClass::Basic(B::ConsumeOk(basic::ConsumeOk {
                    consumer_tag,
                })));
            }
            AMQPClass::Basic(B::Cancel(c)) => {
                peer.consumes = None;
                peer.method(AMQPClass::Basic(B::CancelOk(basic::CancelOk {
                    consumer_tag: c.consumer_tag,
                })));
                state
                    .queues
                    .values_mut()
                    .for_each(|q| q.consumers.retain(|c| *c != id));
            }
            AMQPClass::Basic(B::Publish(p)) => {
                peer.incoming = Some((p.routing_key.as_str().to_owned(), None, Vec::new()));
            }
            AMQPClass::Basic(B::Ack(a)) => peer.ops.push(Op::Ack(a.delivery_tag)),
            AMQPClass::Basic(B::Reject(r)) => peer.ops.push(Op::Reject(r.delivery_tag)),
            _ => return Err(Fault::new(540, "not known here")),
        }
        if let Some(peer) = state.peers.get_mut(&id) {
            ring(peer);
        }
        Ok(())
    }

    fn published(&self, state: &mut State, id: u64) {
        let Some(peer) = state.peers.get_mut(&id) else {
            return;
        };
        let whole = |i: &mut Incoming| {
            i.1.as_ref()
                .is_some_and(|(size, _)| i.2.len() as u64 >= *size)
        };
        let Some((key, Some((_, properties)), body)) = peer.incoming.take_if(whole) else {
            return;
        };
        if peer.tx {
            return peer
                .ops
                .push(Op::Publish(Box::new((key, properties, body))));
        }
        let from = peer.from.clone();
        self.enqueue(state, &from, key, properties, body);
    }

    fn enqueue(
        &self,
        state: &mut State,
        from: &str,
        key: String,
        properties: AMQPProperties,
        body: Vec<u8>,
    ) {
        let text = |s: &Option<ShortString>| {
            s.as_ref()
                .map(|s| s.as_str().to_owned())
                .unwrap_or_default()
        };
        let header = |name: &str| {
            let table = properties.headers().as_ref()?;
            meaning::text(table.inner().get(name)?).map(str::to_owned)
        };
        let timeout = text(properties.expiration())
            .parse::<i64>()
            .ok()
            .map(|ms| ms * 1000);
        self.log.write(
            "published",
            json!({
                "queue": key, "id": id_of(&properties), "from": from, "type": text(properties.kind()),
                "account": text(properties.app_id()), "function": header(meaning::FUNCTION),
                "timeout": timeout, "fate": header(meaning::FATE), "reason": header(meaning::REASON),
                "reply_to": text(properties.reply_to()),
            }),
        );
        state.next += 1;
        let stored = Stored {
            id: state.next,
            expires: timeout.map(|t| wall_us() + t),
            properties,
            body: Arc::new(body),
            redelivered: false,
            queue: key.clone(),
        };
        // Without a queue of that name a message goes nowhere, as on any default exchange.
        if let Some(queue) = state.queues.get_mut(&key) {
            queue.ready.push_back(stored);
        }
    }

    /// All that gathered since the last commit takes effect at once.
    fn commit(&self, state: &mut State, id: u64) {
        let Some(peer) = state.peers.get_mut(&id) else {
            return;
        };
        let (ops, from) = (std::mem::take(&mut peer.ops), peer.from.clone());
        for op in ops {
            match op {
                Op::Publish(message) => self.enqueue(state, &from, message.0, message.1, message.2),
                Op::Ack(tag) => {
                    if let Some(done) = state
                        .peers
                        .get_mut(&id)
                        .and_then(|p| p.unacked.remove(&tag))
                    {
                        self.log.write(
                            "acked",
                            json!({"id": id_of(&done.properties), "from": from}),
                        );
                    }
                }
                Op::Reject(tag) => {
                    if let Some(mut dead) = state
                        .peers
                        .get_mut(&id)
                        .and_then(|p| p.unacked.remove(&tag))
                    {
                        self.log
                            .write("dead", json!({"id": id_of(&dead.properties), "from": from}));
                        dead.queue = DEAD.to_owned();
                        state
                            .queues
                            .entry(DEAD.to_owned())
                            .or_default()
                            .ready
                            .push_back(dead);
                    }
                }
            }
        }
        if let Some(peer) = state.peers.get_mut(&id) {
            peer.method(AMQPClass::Tx(tx::AMQPMethod::CommitOk(tx::CommitOk {})));
        }
    }

    /// Hands out what is ready to consumers with room, in turn.
    fn pump(&self, state: &mut State) {
        let State {
            queues,
            peers,
            frame_max,
            ..
        } = state;
        let now = wall_us();
        for queue in queues.values_mut() {
            let mut full = 0;
            while !queue.ready.is_empty() && full < queue.consumers.len() {
                let Some(id) = queue.consumers.pop_front() else {
                    break;
                };
                queue.consumers.push_back(id);
                let Some(peer) = peers.get_mut(&id) else {
                    break;
                };
                let Some((no_ack, consumer_tag)) = peer.consumes.clone() else {
                    break;
                };
                if !no_ack && peer.prefetch > 0 && peer.unacked.len() >= peer.prefetch {
                    full += 1;
                    continue;
                }
                full = 0;
                let Some(stored) = queue.ready.pop_front() else {
                    break;
                };
                if stored.expires.is_some_and(|e| e <= now) {
                    self.log
                        .write("expired", json!({"id": id_of(&stored.properties)}));
                    continue;
                }
                peer.next_tag += 1;
                let tag = peer.next_tag;
                self.log.write(
                    "delivered",
                    json!({
                        "id": id_of(&stored.properties), "to": peer.from, "queue": stored.queue,
                        "redelivered": stored.redelivered, "fate": null,
                    }),
                );
                let deliver = basic::AMQPMethod::Deliver(basic::Deliver {
                    consumer_tag,
                    delivery_tag: tag,
                    redelivered: stored.redelivered,
                    exchange: short(""),
                    routing_key: short(&stored.queue),
                });
                let properties = stored.properties.clone();
                write_message(
                    &mut peer.out,
                    CHANNEL,
                    deliver,
                    properties,
                    &stored.body,
                    *frame_max,
                );
                if !no_ack {
                    peer.unacked.insert(tag, stored);
                }
            }
        }
        peers.values().for_each(ring);
    }
}

fn ring(peer: &Peer) {
    if let Some(bell) = &peer.bell {
        let _ = bell.try_send(());
    }
}

//! Runs `cedarpulley node` while load orders end within the call that gives them, or fail as fast as the network allows. The
//! router must go on serving its clients. The tests check rules and counts, never times: before the faults were mended, the
//! router answered nobody until the objective of the invocation that waited, which is longer here than the tests wait for
//! an answer.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

mod platform;
use platform::*;

/// A function that no worker has loaded.
const ABSENT: &str = "00000000000000b1";

/// Edits a configuration so that invocations wait for longer than the tests.
fn with_long_objective(config: String) -> String {
    config.replace("\"aim\":8000000000", "\"aim\":50000000000")
}

/// Sends a call on a connection of its own, whose answer is read later.
fn send(world: &World, id: &str, function: &str) -> BufReader<TcpStream> {
    let mut stream = world.connect();
    stream
        .write_all(call(id, "plain", function, "", "part").as_bytes())
        .expect("sent");
    BufReader::new(stream)
}

/// Runs a worker that reads load orders and answers none; records the address at which each order arrived.
fn silent_worker(address: SocketAddr, orders: Arc<Mutex<Vec<SocketAddr>>>) {
    let listener = TcpListener::bind(address).expect("bind");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let orders = orders.clone();
            thread::spawn(move || {
                let mut lines = BufReader::new(stream);
                let mut line = String::new();
                while std::io::BufRead::read_line(&mut lines, &mut line).is_ok_and(|n| n > 0) {
                    if line.starts_with("SPAWN") {
                        orders.lock().expect("orders").push(address);
                    }
                    line.clear();
                }
            });
        }
    });
}

/// Guards against a router that stands still when one response of discovery removes several workers: a load order for the
/// second of them was given while only the first was gone, and ended at once as there was no address.
#[test]
fn a_response_that_removes_several_workers_delays_no_client() {
    let world = World::with(1, with_long_objective);
    let orders = Arc::default();
    let workers = [own(1), own(1)];
    for address in workers {
        silent_worker(address, Arc::clone(&orders));
    }
    world.tell(2, "s-2", workers[0], "active");
    world.tell(3, "s-3", workers[1], "active");
    world.tell(4, "s-1", world.workers, "left");
    let waiting = send(&world, &id(1), ABSENT);
    world.until("a worker is ordered to load", |_| {
        !orders.lock().expect("orders").is_empty()
    });
    let ordered = orders.lock().expect("orders")[0];
    let named = |address| if address == workers[0] { "s-2" } else { "s-3" };
    let other = workers[usize::from(ordered == workers[0])];
    let mut channel = world.channel.lock().expect("channel");
    channel
        .events
        .push(event(5, ordered, named(ordered), "left"));
    channel.events.push(event(6, other, named(other), "left"));
    drop(channel);
    world.until("the router has received both events", |world| {
        world.channel.lock().expect("channel").asked.contains(&6)
    });
    world.turns();
    drop(waiting);
}

/// Guards against clients that wait without an answer, as their connections cannot be accepted, while the operating system
/// lets the process open fewer descriptors than its settings say.
#[test]
fn a_limit_of_the_process_below_the_settings_leaves_room_for_rejections() {
    let descriptors = 64;
    let world = World::with_descriptors(descriptors);
    // Clients get half of the descriptors. Each of these connections is owed an answer.
    let mut kept: Vec<_> = (1..=descriptors / 2)
        .map(|n| send(&world, &id(n), KEPT))
        .collect();
    world.until("the worker executes a call", |world| {
        !world.seen.lock().expect("seen").calls.is_empty()
    });
    for _ in 0..10 {
        let rejection = world.ask("GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n");
        assert_eq!(rejection.expect("an explicit rejection").0, 503);
    }
    (1..=descriptors / 2).for_each(|n| world.free(&id(n)));
    for answers in &mut kept {
        assert_eq!(answer(answers).expect("an answer").0, 200);
    }
    world.turns();
}

/// Guards against a router that stands still while it may open no further connection: a load order that found none free
/// was given again within the same turn.
#[test]
fn a_lack_of_worker_connections_delays_no_client() {
    // One connection to workers is left, which carries one exchange at a time.
    let world = World::with(2, |config| {
        with_long_objective(config)
            .replace("\"sockets\":256", "\"sockets\":40")
            .replace("\"streamsPerConn\":10", "\"streamsPerConn\":1")
    });
    let mut kept = send(&world, &id(1), KEPT);
    world.until("the worker executes the call", |world| {
        world.calls(&id(1)) == 1
    });
    let mut waiting = send(&world, &id(2), ABSENT);
    let mut others: Vec<_> = (3..8).map(|n| send(&world, &id(n), KEPT)).collect();
    for _ in 0..10 {
        world.turns();
    }
    assert_eq!((2..8).map(|n| world.calls(&id(n))).sum::<usize>(), 0);
    (1..8).for_each(|n| world.free(&id(n)));
    assert_eq!(answer(&mut kept).expect("an answer").0, 200);
    assert_eq!(answer(&mut waiting).expect("an answer").0, 200);
    for other in &mut others {
        assert_eq!(answer(other).expect("an answer").0, 200);
    }
    // Each ran once, however often it found no connection.
    assert!((1..8).all(|n| world.calls(&id(n)) == 1));
}

/// A worker that serves its connections until it begins to fail, and then closes every connection at once.
#[derive(Default)]
struct FailingWorker {
    fails: AtomicBool,
    /// Number of connections accepted since it fails.
    closed: AtomicUsize,
    open: Mutex<Vec<TcpStream>>,
}

impl FailingWorker {
    fn start(address: SocketAddr) -> Arc<Self> {
        let worker = Arc::new(FailingWorker::default());
        let listener = TcpListener::bind(address).expect("bind");
        let accepting = Arc::clone(&worker);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accepting.accept(stream);
            }
        });
        worker
    }

    fn accept(&self, stream: TcpStream) {
        if self.fails.load(Ordering::SeqCst) {
            self.closed.fetch_add(1, Ordering::SeqCst);
            return;
        }
        let open = stream.try_clone().expect("clone");
        self.open.lock().expect("open").push(open);
        thread::spawn(|| serve(stream, &Shared::default()));
    }

    fn begin_to_fail(&self) {
        self.fails.store(true, Ordering::SeqCst);
        for stream in self.open.lock().expect("open").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Guards against load orders that are repeated as fast as they fail: a worker that had answered well and then closed every
/// connection at once got them without a pause.
#[test]
fn a_worker_that_closes_every_connection_gets_few_load_orders() {
    let world = World::with(4, with_long_objective);
    let address = own(4);
    let worker = FailingWorker::start(address);
    world.tell(2, "s-2", address, "active");
    world.tell(3, "s-1", world.workers, "left");
    let good = world.ask(&call(&id(1), "plain", GOOD, "", "part"));
    assert_eq!(good.expect("an answer").0, 200);
    worker.begin_to_fail();
    let began = Instant::now();
    let waiting = send(&world, &id(2), ABSENT);
    world.until("the worker is ordered to load three times", |_| {
        worker.closed.load(Ordering::SeqCst) >= 3
    });
    world.turns();
    let closed = worker.closed.load(Ordering::SeqCst);
    let connect_timeouts = began.elapsed().as_millis() as usize / 250;
    assert!(
        closed <= connect_timeouts + 2,
        "{closed} connections in {connect_timeouts} connect timeouts"
    );
    drop(waiting);
}

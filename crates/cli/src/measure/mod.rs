//! What one router adds on the warm path, and what holds it back: a broker, workers that do no work, one router
//! process, an open-loop client, and the same call straight to a worker. All on this machine, none of it logged.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use cedarpulley_emulators::broker::Broker;
use cedarpulley_emulators::store::{self, Store};
use cedarpulley_emulators::worker::{Memory, Nature, Program, Worker};
use cedarpulley_emulators::{Ground, lock};
use cedarpulley_gateway::client_listener::Protocol;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use smol_hyper::rt::FuturesIo;

use cedarpulley_test_cluster::client::{Arrival, Client, Times};
use cedarpulley_test_cluster::verdict::state;

use crate::open_loop::Callers;
use crate::wrong::Wrong;

const WORKERS: usize = 4;
const CLIENTS: usize = 2;
const THREADS: usize = 3;
/// Loads and connections settle in this time; it is not counted.
const WARM_UP: Duration = Duration::from_secs(2);
const STOP_WITHIN: Duration = Duration::from_secs(3);
const DIRECT_CALLS: usize = 3000;
/// Longer than any of them waits here.
const WAITS_MS: u64 = 5_000;
const KEPT_MS: u64 = 6_000;
const BODY: &str =
    r#"{"inputs":[{"name":"x","shape":[4],"datatype":"FP32","data":[0.1,0.2,0.3,0.4]}]}"#;

struct Ended(Child);

impl Drop for Ended {
    /// In good order if it ends by itself soon, as its log then says what it counted.
    fn drop(&mut self) {
        if let Some(pid) = Pid::from_raw(self.0.id() as i32) {
            let _ = kill_process(pid, Signal::TERM);
        }
        let until = Instant::now() + STOP_WITHIN;
        while Instant::now() < until && matches!(self.0.try_wait(), Ok(None)) {
            std::thread::sleep(Duration::from_millis(10));
        }
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub fn histogram() -> Histogram<u64> {
    // Microseconds up to a minute, three digits; these bounds are always valid.
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds")
}

fn quantiles(h: &Histogram<u64>) -> Value {
    let at = |q| h.value_at_quantile(q);
    json!({"count": h.len(), "p50_us": at(0.5), "p90_us": at(0.9), "p99_us": at(0.99), "max_us": h.max()})
}

/// Processor time in microseconds and resident kilobytes of a process.
fn used(pid: u32) -> Option<(u64, u64)> {
    let stat = procfs::process::Process::new(pid as i32)
        .and_then(|p| p.stat())
        .ok()?;
    let ticks = (stat.utime + stat.stime) * 1_000_000 / procfs::ticks_per_second();
    Some((ticks, stat.rss * procfs::page_size() / 1024))
}

/// Bytes and POSTs that all members of a group have sent each other so far.
fn sent(group: &[SocketAddr]) -> (u64, u64) {
    let states = group.iter().filter_map(|at| state(*at).ok());
    let count = |s: &Value, name: &str| s["counts"][name].as_u64().unwrap_or(0);
    states.fold((0, 0), |(bytes, posts), s| {
        (bytes + count(&s, "bytes_sent"), posts + count(&s, "posts"))
    })
}

/// What a group of the router under measure is told; its other members are witnesses, at the addresses after its own.
fn peers(addresses: &[SocketAddr], me: usize) -> String {
    let mut t = format!(
        "[peers]\nlisten = \"{}\"\ngroup = \"measured\"\nname = \"r{me}\"\nkept_ms = {KEPT_MS}\n\n",
        addresses[me]
    );
    for (n, at) in addresses.iter().enumerate() {
        let witness = n > 0;
        t.push_str(&format!(
            "[[peers.member]]\nname = \"r{n}\"\naddress = \"{at}\"\nwitness = {witness}\n\n"
        ));
    }
    t
}

fn settings(
    broker: SocketAddr,
    workers: &[Worker],
    callers: &[(Protocol, SocketAddr)],
    effect: &str,
    front: bool,
) -> String {
    let mut t = format!(
        "[router]\nseed = 1\nanswer_margin_ms = 100\n\n[loads]\nidle_kept_ms = 600000\n\n[dispatch]\n\
         most_connections = 4000\n\n[[trigger]]\nname = \"warm\"\neffect = \"{effect}\"\n\
         latency_objective_ms = {WAITS_MS}\nclient_timeout_ms = {WAITS_MS}\n\n"
    );
    if front {
        t.push_str(&format!(
            "[[amqp]]\nbroker = \"{broker}\"\nqueue = \"triggers\"\n\n"
        ));
    }
    for (way, at) in callers {
        let way = if *way == Protocol::Grpc {
            "grpc"
        } else {
            "rest"
        };
        t.push_str(&format!(
            "[[kserve]]\nlisten = \"{at}\"\nprotocol = \"{way}\"\nmost_streams = 1000\n\n"
        ));
    }
    t.push_str("[workers]\nlist = [\n");
    workers
        .iter()
        .for_each(|w| t.push_str(&format!("  {{ address = \"{}\" }},\n", w.address)));
    t + "]\n"
}

/// What is measured beside the rate.
pub struct What<'a> {
    pub work_ms: f64,
    pub lanes: u32,
    pub trace: bool,
    /// Of all its invocations.
    pub effect: &'a str,
    /// Members of its group; 0: it has none.
    pub peers: usize,
}

/// At this rate for so long; prints one JSON object.
pub fn run(rate: f64, seconds: f64, what: &What, folder: &Path) -> Result<(), Wrong> {
    let What {
        work_ms,
        lanes,
        trace,
        effect,
        peers: members,
    } = *what;
    std::fs::create_dir_all(folder).map_err(Wrong::file(folder))?;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let ground = Ground::new(THREADS, None).map_err(Wrong::Standin)?;
    let broker = Broker::start(&ground, "broker", any).map_err(Wrong::Standin)?;
    broker.declare("triggers");
    let nature = store::Nature {
        mb_per_s: 1e6,
        abreast: 100,
        most: 1000,
    };
    let store = Store::start(&ground, "store", any, nature).map_err(Wrong::Standin)?;
    let mut workers = Vec::new();
    for n in 0..WORKERS {
        let nature = Nature::roomy(1e6);
        let program = Program {
            work: Duration::from_secs_f64(work_ms / 1e3),
            copy_mb: 1.0,
            start_up: Duration::from_millis(1),
            lanes: lanes as usize,
            window: None,
            prefix: Duration::ZERO,
        };
        let programs = HashMap::from([("warm".to_owned(), program)]);
        let (name, memory) = (format!("worker-{n}"), Memory::default());
        let worker = Worker::start(
            &ground,
            &name,
            any,
            1,
            nature,
            store.server.address,
            programs,
            memory,
        );
        workers.push(worker.map_err(Wrong::Standin)?);
    }
    // Ports that are free now.
    let mut callers = Vec::new();
    for way in [Protocol::Rest, Protocol::Grpc] {
        let free = std::net::TcpListener::bind(any).and_then(|l| l.local_addr());
        callers.push((way, free.map_err(Wrong::Router)?));
    }
    let file = folder.join("router.toml");
    let mut text = settings(broker.address, &workers, &callers, effect, true);
    let mut group = Vec::new();
    for _ in 0..members {
        let free = std::net::TcpListener::bind(any).and_then(|l| l.local_addr());
        group.push(free.map_err(Wrong::Router)?);
    }
    let serve = |file: &Path, log: &Path| {
        let log = std::fs::File::create(log).map_err(Wrong::file(log))?;
        let program = std::env::current_exe().map_err(Wrong::Router)?;
        let mut command = Command::new(program);
        command
            .arg("serve")
            .arg(file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        command.spawn().map(Ended).map_err(Wrong::Router)
    };
    let mut witnesses = Vec::new();
    for n in 1..members {
        let file = folder.join(format!("witness-{n}.toml"));
        let text =
            settings(broker.address, &workers, &[], effect, false) + "\n" + &peers(&group, n);
        std::fs::write(&file, text).map_err(Wrong::file(&file))?;
        witnesses.push(serve(&file, &folder.join(format!("witness-{n}.log")))?);
    }
    if members > 0 {
        text = text + "\n" + &peers(&group, 0);
    }
    if trace {
        text.push_str("\n[trace]\nfolder = \"traces\"\n");
    }
    std::fs::write(&file, text).map_err(Wrong::file(&file))?;
    let router = serve(&file, &folder.join("router.log"))?;
    let pid = router.0.id();
    let result = async_io::block_on(async {
        while broker.consumers() == 0 {
            Timer::after(Duration::from_millis(20)).await;
        }
        if members > 0 {
            // Nobody votes before whatever it may have forgotten is over.
            Timer::after(Duration::from_millis(KEPT_MS + KEPT_MS / 4)).await;
        }
        let began = Instant::now();
        let times: Times = Arc::new(Mutex::new((histogram(), began + WARM_UP)));
        let all = ((WARM_UP.as_secs_f64() + seconds) * rate) as usize;
        let mut clients = Vec::new();
        for c in 0..CLIENTS {
            let arrivals = (c..all).step_by(CLIENTS).map(|n| Arrival {
                at: Duration::from_secs_f64(n as f64 / rate),
                id: format!("m{n}"),
                kind: "warm".into(),
                function: format!("warm:{}", n % 8),
                account: String::new(),
                queue: "triggers".into(),
                timeout_ms: WAITS_MS,
                copy_mb: 1.0,
                lanes,
                body: BODY.into(),
                retries: 0,
                calls: false,
                turn: None,
            });
            let client = Client {
                broker: broker.address,
                from: [127, 0, 2, 1 + c as u8].into(),
                replies: format!("replies-{c}"),
                began,
                arrivals: arrivals.collect(),
                times: Some(times.clone()),
                answers: None,
                asks: None,
            };
            clients.push(ground.executor.spawn(client.run()));
        }
        Timer::at(began + WARM_UP).await;
        let others_used = || {
            witnesses
                .iter()
                .filter_map(|w| used(w.0.id()))
                .map(|u| u.0)
                .sum::<u64>()
        };
        let sent_before = sent(&group);
        let others_before = others_used();
        let (before, own) = (used(pid), used(std::process::id()));
        let direct = direct(workers[0].address, seconds).await;
        Timer::at(began + WARM_UP + Duration::from_secs_f64(seconds)).await;
        let (after, waiting) = (used(pid), broker.waiting("triggers"));
        let own = own
            .zip(used(std::process::id()))
            .map_or(0, |(b, a)| a.0 - b.0);
        let others_cpu = others_used() - others_before;
        let sent_after = sent(&group);
        let taken = broker.unacked();
        Timer::after(Duration::from_secs(1)).await;
        let h = lock(&times).0.clone();
        let per = |n: u64| {
            if h.is_empty() {
                0.0
            } else {
                n as f64 / h.len() as f64
            }
        };
        let cpu = before.zip(after).map_or(0, |(b, a)| a.0 - b.0);
        let added = |q| h.value_at_quantile(q) as i64 - direct.value_at_quantile(q) as i64;
        // The callers' fronts in turn, on the same router.
        let mut others = serde_json::Map::new();
        for (way, at) in &callers {
            let all = Arc::new(Callers::new(*way, *at, rate, lanes, BODY, &ground.executor));
            let counted = Instant::now() + WARM_UP;
            let running = ground
                .executor
                .spawn(all.run(WARM_UP + Duration::from_secs_f64(seconds), counted));
            Timer::at(counted).await;
            let before = used(pid);
            Timer::after(Duration::from_secs_f64(seconds)).await;
            let after = used(pid);
            let (h, failed) = running.await;
            let cpu = before.zip(after).map_or(0, |(b, a)| a.0 - b.0);
            let per = if h.is_empty() {
                0.0
            } else {
                cpu as f64 / h.len() as f64
            };
            let added = |q| h.value_at_quantile(q) as i64 - direct.value_at_quantile(q) as i64;
            let figures = json!({
                "through": quantiles(&h), "without_success": failed, "added_p50_us": added(0.5),
                "added_p99_us": added(0.99), "router_cpu_us_per_invocation": per,
            });
            others.insert(format!("{way:?}").to_lowercase(), figures);
        }
        json!({
            "callers": others,
            "rate_per_s": rate, "seconds": seconds, "work_ms": work_ms,
            "answered_per_s": h.len() as f64 / seconds, "left_at_broker": waiting,
            "through": quantiles(&h), "straight": quantiles(&direct),
            "added_p50_us": added(0.5), "added_p99_us": added(0.99),
            "router_cpu_us_per_invocation": per(cpu), "router_cpu_part": cpu as f64 / 1e6 / seconds,
            "standins_cpu_part": own as f64 / 1e6 / seconds, "taken_at_end": taken,
            "effect": effect, "members": members, "witnesses_cpu_us_per_invocation": per(others_cpu),
            "group_bytes_per_invocation": per(sent_after.0.saturating_sub(sent_before.0)),
            "group_posts_per_invocation": per(sent_after.1.saturating_sub(sent_before.1)),
            "router_rss_kb": after.map_or(0, |a| a.1),
        })
    });
    drop(router);
    say!("{}", serde_json::to_string_pretty(&result)?);
    Ok(())
}

/// The same call without a router, one after the other, spread over the time of the run.
async fn direct(address: SocketAddr, seconds: f64) -> Histogram<u64> {
    let mut h = histogram();
    let calls = async {
        let stream = Async::<std::net::TcpStream>::connect(address).await.ok()?;
        stream.get_ref().set_nodelay(true).ok()?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(FuturesIo::new(stream))
                .await
                .ok()?;
        let calling = async {
            let pause = Duration::from_secs_f64(seconds / DIRECT_CALLS as f64 * 0.8);
            for n in 0..DIRECT_CALLS {
                let request = hyper::Request::post("/v2/models/warm:0/infer")
                    .header("host", address.to_string())
                    .header("cedarpulley-trigger-type", "warm")
                    .header("cedarpulley-invocation", format!("d|d{n}"))
                    .body(Full::new(Bytes::from_static(BODY.as_bytes())))
                    .ok()?;
                let began = Instant::now();
                let answer = sender.send_request(request).await.ok()?;
                answer.into_body().collect().await.ok()?;
                h.saturating_record(began.elapsed().as_micros() as u64);
                Timer::after(pause).await;
            }
            Some(())
        };
        let driving = async {
            let _ = connection.await;
            None
        };
        futures_lite::FutureExt::or(calling, driving).await
    };
    let late = async {
        Timer::after(Duration::from_secs_f64(seconds)).await;
        None
    };
    // Cut short, it shows in the count.
    let _ = futures_lite::FutureExt::or(calls, late).await;
    h
}

//! Case: the command channel answers late, and a draining worker is sent new requests after its grace.
mod common;
use common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const WORKERS: usize = 4;
const CLIENTS: usize = 8;
/// By how much each answer of the channel is late.
const CHANNEL_LATE_MS: u64 = 400;
/// The rule: nothing new later than the grace in the settings, grown by 50 ms.
const GRACE_MS: f64 = 500.0;
const SLACK_MS: f64 = 50.0;
const ROUNDS: usize = 6;
/// Time that a worker needs for a request.
const WORK_MS: u64 = 200;
/// A drained worker ends this long after its drain was told: by then it has finished all that may have been sent to it
/// within the grace.
const ENDS_AFTER_MS: u64 = 800;

fn main() {
    let (root, case) = folders();
    let record = Record::create(&case);
    let mut workers = Vec::new();
    // For each worker, the times at which a request came whole.
    let received: Arc<Mutex<Vec<(usize, f64, String)>>> = Arc::default();
    let mut processes = Vec::new();
    let drains: Arc<Vec<AtomicBool>> = Arc::new(
        (0..WORKERS + ROUNDS)
            .map(|_| AtomicBool::new(false))
            .collect(),
    );
    for number in 0..WORKERS + ROUNDS {
        let listener = listen();
        workers.push((format!("s-{number:08x}"), listener.local_addr().unwrap()));
        let (record, received, drains) = (record.clone(), received.clone(), drains.clone());
        let process = WorkerProcess::start(
            listener,
            Arc::new(move |message, answers| match message {
                Message::Call { id, body, .. } => {
                    received
                        .lock()
                        .unwrap()
                        .push((number, record.now(), id.clone()));
                    if drains[number].load(Ordering::Relaxed) {
                        record.line(format!("worker {number} (draining) receives FN id={id}"));
                    }
                    let answers = answers.clone();
                    small_thread(move || {
                        sleep_ms(WORK_MS);
                        answers.send(&id, "ok", "same=0", &body);
                    });
                }
                Message::Probe { tag } => {
                    let word = if drains[number].load(Ordering::Relaxed) {
                        "no"
                    } else {
                        "yes"
                    };
                    answers.send(&tag, word, "gauges=busy:0.2;x1:0;x0:0.2", b"");
                }
                Message::Load { tag, .. } => answers.send(&tag, "ok", "n=1", b""),
                _ => {}
            }),
        );
        processes.push(process);
    }
    let entry_of =
        |number: usize, state: &str| entry(&workers[number].0, workers[number].1, state, 0);
    let first: Vec<String> = (0..WORKERS)
        .map(|number| entry_of(number, "active"))
        .collect();
    let channel = Channel::start(&first);
    let Some(router) = Router::start(
        &root,
        &Settings::default(),
        channel.address,
        &channel.known(),
    ) else {
        finish(&record, None, 2, "the router did not start");
    };
    if trouble() {
        channel.set_delay(Duration::from_millis(CHANNEL_LATE_MS));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(Mutex::new((0u32, 0u32)));
    for n in 0..CLIENTS {
        let (address, stop, served, record) =
            (router.address, stop.clone(), served.clone(), record.clone());
        let function = format!("{:016x}", 0xa000 + n % 4);
        small_thread(move || {
            let mut client = Client::new(address);
            while !stop.load(Ordering::Relaxed) {
                let id = new_id();
                let class = ["estimate", "book-slot"][n % 2];
                let request = Request {
                    id: &id,
                    class,
                    function: &function,
                    wait_ms: 2000,
                    token: None,
                    body: b"x",
                };
                let status = client
                    .call(&request, Duration::from_millis(2600))
                    .map_or(0, |answer| answer.status);
                if status != 200 {
                    record.line(format!("client gets id={id} class={class} status={status}"));
                }
                let mut served = served.lock().unwrap();
                if status == 200 {
                    served.0 += 1
                } else {
                    served.1 += 1
                }
                drop(served);
                sleep_ms(10);
            }
        });
    }
    sleep_ms(4000);
    // In turn, workers drain, and others take their place.
    let mut late = Vec::new();
    for round in 0..ROUNDS {
        channel.change(&[
            entry_of(round, "leaving"),
            entry_of(WORKERS + round, "active"),
        ]);
        let told = record.now();
        drains[round].store(true, Ordering::Relaxed);
        record.line(format!("TOLD worker {round} leaving"));
        sleep_ms(ENDS_AFTER_MS);
        processes[round].end();
        record.line(format!("worker {round} ends"));
        channel.change(&[entry_of(round, "left")]);
        late.push((round, told));
        sleep_ms(2000);
    }
    stop.store(true, Ordering::Relaxed);
    sleep_ms(300);
    let received = received.lock().unwrap();
    let mut broken = 0;
    let mut latest = 0.0f64;
    for (number, told) in &late {
        for (worker, at, id) in received.iter().filter(|(worker, ..)| worker == number) {
            if at - told > GRACE_MS + SLACK_MS {
                broken += 1;
                latest = latest.max(at - told);
                record.line(format!(
                    "BROKEN worker {worker} got id={id} {:.0} ms after it was told",
                    at - told
                ));
            }
        }
    }
    let (ok, other) = *served.lock().unwrap();
    let verdict = format!("{broken} requests after the grace, the latest {latest:.0} ms after the drain was told; {ok} served, {other} not");
    let code = if ok < 200 { 2 } else { i32::from(broken > 0) };
    finish(&record, Some(router), code, &verdict);
}

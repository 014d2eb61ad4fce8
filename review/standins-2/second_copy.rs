//! Case: the second copy of an answer `nothing` is taken for the answer to the next attempt of the same request.
mod common;
use common::*;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const WORKERS: usize = 3;
const REQUESTS: usize = 30;
const FIRST_FUNCTION: usize = 0xa000;
/// One in this many failed loads is told a second time.
const COPY_ONE_IN: usize = 3;
/// How much later the second copy of an answer comes.
const COPY_LATER_MS: u64 = 5;
/// Time that a worker needs for a request.
const WORK_MS: u64 = 100;

#[derive(Default)]
struct Seen {
    /// How often each request began to run, by its id.
    runs: HashMap<String, u32>,
    /// Functions whose first load has failed.
    load_failed: HashMap<String, bool>,
}

fn main() {
    let (root, case) = folders();
    let record = Record::create(&case);
    let with_copies = trouble();
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let mut entries = Vec::new();
    for number in 0..WORKERS {
        let listener = listen();
        let name = format!("s-{number:08x}");
        entries.push(entry(&name, listener.local_addr().unwrap(), "active", 0));
        let (record, seen) = (record.clone(), seen.clone());
        worker(listener, Arc::new(move |message, answers| {
            handle(&name, message, answers, &record, &seen, with_copies)
        }));
    }
    let channel = Channel::start(&entries);
    let Some(router) = Router::start(&root, &Settings::default(), channel.address, &channel.known()) else {
        finish(&record, None, 2, "the router did not start");
    };
    sleep_ms(300);
    let mut client = Client::new(router.address);
    let mut ids = Vec::new();
    for number in 0..REQUESTS {
        let (id, function) = (new_id(), format!("{:016x}", FIRST_FUNCTION + number));
        record.line(format!("client sends id={id} class=book-slot function={function}"));
        let request = Request { id: &id, class: "book-slot", function: &function, wait_ms: 2500, token: None, body: b"slot" };
        let answer = client.call(&request, Duration::from_millis(3200));
        let status = answer.map_or("none".to_owned(), |answer| answer.status.to_string());
        record.line(format!("client gets id={id} status={status}"));
        ids.push(id);
    }
    sleep_ms(300);
    let seen = seen.lock().unwrap();
    let runs = |id: &String| seen.runs.get(id).copied().unwrap_or(0);
    let twice: Vec<&String> = ids.iter().filter(|id| runs(id) > 1).collect();
    for id in &twice {
        record.line(format!("BROKEN id={id} ran {} times", runs(id)));
    }
    let ran = ids.iter().filter(|id| runs(id) > 0).count();
    let verdict = format!("{} of {REQUESTS} book-slot requests ran more than once; {ran} ran", twice.len());
    let code = if ran < REQUESTS / 2 { 2 } else { i32::from(!twice.is_empty()) };
    finish(&record, Some(router), code, &verdict);
}

/// The number of the request that calls this function.
fn number_of(function: &str) -> usize {
    usize::from_str_radix(function, 16).unwrap_or(0) - FIRST_FUNCTION
}

fn handle(name: &str, message: Message, answers: &Answers, record: &Arc<Record>, seen: &Arc<Mutex<Seen>>, with_copies: bool) {
    match message {
        Message::Call { id, fields, body } => {
            let function = fields.get("obj").cloned().unwrap_or_default();
            let first_load_fails = {
                let mut seen = seen.lock().unwrap();
                !std::mem::replace(seen.load_failed.entry(function.clone()).or_default(), true)
            };
            record.line(format!("{name} receives FN id={id} function={function}"));
            let copied = with_copies && number_of(&function) % COPY_ONE_IN == 0;
            if first_load_fails {
                // The load that the request awaited has failed: it never ran.
                answers.send(&id, "nothing", "-", b"");
                record.line(format!("{name} answers id={id} nothing"));
                if copied {
                    let (answers, record, name) = (answers.clone(), record.clone(), name.to_owned());
                    small_thread(move || {
                        sleep_ms(COPY_LATER_MS);
                        answers.send(&id, "nothing", "-", b"");
                        record.line(format!("{name} answers id={id} nothing (second copy)"));
                    });
                }
                return;
            }
            *seen.lock().unwrap().runs.entry(id.clone()).or_default() += 1;
            record.line(format!("{name} runs id={id}"));
            let (answers, record, name) = (answers.clone(), record.clone(), name.to_owned());
            small_thread(move || {
                sleep_ms(WORK_MS);
                answers.send(&id, "ok", "-", &body);
                record.line(format!("{name} answers id={id} ok"));
            });
        }
        Message::Probe { tag } => answers.send(&tag, "yes", "gauges=busy:0.2;x1:0;x0:0.2", b""),
        Message::Load { tag, .. } => answers.send(&tag, "ok", "n=1", b""),
        Message::Kill { id } => record.line(format!("{name} receives KILL id={id}")),
        Message::Unload { .. } => {}
    }
}

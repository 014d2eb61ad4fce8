//! Runs one router until it is told to stop: all on one thread, so that the core's decisions need no locks.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use cedarpulley::interface::{ListMode, Micros, Outcome, Report, WorkerIx};
use cedarpulley_certificates::Speakers;
use cedarpulley_kserve::{endings, reports, requests};
use cedarpulley_router::{FrontIx, Input, Output, Payload, Router};
use cedarpulley_trace::start::{Start, module_digest};
use futures_lite::StreamExt;
use hdrhistogram::Histogram;

use crate::calls::Calls;
use crate::front::Front;
use crate::list;
use crate::meddle::{Meddle, Meddler};
use crate::metering::Metering;
use crate::net::{Alarm, Clock, listen};
use crate::pool::{Pool, ended};
use crate::recorder::Recorder;
use crate::settings::{Names, Parts, WorkerList};
use crate::tls::Inward;

/// How often connections that have been idle too long are looked for.
const TIDY: Duration = Duration::from_secs(5);
/// A quiet router's last block is closed too, or a kill would lose what is minutes old; likewise the ledger.
const LOOK: Duration = Duration::from_secs(1);
/// On stopping: what was taken has this long beyond the longest client timeout.
const STOP_MARGIN: Micros = 2_000_000;
/// A stopping router looks this often whether all is answered.
const STOP_LOOK: Duration = Duration::from_millis(10);

pub struct Gateway {
    pub clock: Clock,
    pub name: String,
    pub seed: u64,
    pub from: Option<IpAddr>,
    pub names: Names,
    pub misunderstood: Cell<u64>,
    /// Whose certificates speak for which account.
    pub(crate) speakers: Speakers,
    pub(crate) meddler: Meddler,
    /// Microseconds from taking to the final answer, and until that was safely out.
    pub(crate) answered: RefCell<Histogram<u64>>,
    pub(crate) safe: RefCell<Histogram<u64>>,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    router: RefCell<Router>,
    recorder: Option<Recorder>,
    metering: Option<Metering>,
    fronts: Vec<Rc<Front>>,
    /// Their indices follow those of `fronts`.
    callers: Vec<Rc<Calls>>,
    pub(crate) pool: Rc<Pool>,
    alarm: Alarm,
}

impl Gateway {
    /// Hands the core what happened and carries out what it wants.
    pub fn feed(self: &Rc<Self>, input: Input) {
        let mut outputs = Vec::new();
        let due = {
            let mut router = self.router.borrow_mut();
            router.handle(self.clock.now(), input, &mut outputs);
            router.next_due().unwrap_or(Micros::MAX)
        };
        self.alarm.set(due);
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        self.meddler.see(self, &output);
        match output {
            Output::Answer { delivery, answer } => {
                tracing::debug!(fate = ?answer.fate, reason = ?answer.reason, "answered");
                match self.fronts.get(delivery.front as usize) {
                    Some(front) => self.meddler.answer(self, front, delivery, answer),
                    None => {
                        if let Some(calls) = self.calls(delivery.front).filter(|_| !self.meddler.loses()) {
                            calls.answer(delivery, answer);
                        }
                    }
                }
            }
            Output::Entry { delivery, entry } => {
                if let Some(calls) = self.calls(delivery.front) {
                    calls.entry(entry);
                }
            }
            Output::Discard(delivery) => {
                if let Some(front) = self.fronts.get(delivery.front as usize) {
                    front.discard(delivery);
                }
            }
            Output::Grant { front, most } => match self.fronts.get(front as usize) {
                Some(front) => front.grant(most),
                None => {
                    if let Some(calls) = self.calls(front) {
                        calls.grant(most);
                    }
                }
            },
            Output::Send { ticket, worker, function, trigger, account, call } => {
                let it = self.clone();
                let task = self.executor.spawn(async move {
                    let names = &it.names;
                    let marks = requests::Marks {
                        invocation: call.mark.as_deref(),
                        dispatch: ticket.dispatch,
                        token: call.token.as_deref(),
                        trigger: names.triggers.get(trigger as usize).map_or("", String::as_str),
                        account: names.accounts.get(account as usize).map(String::as_str),
                        time_left: call.time_left,
                    };
                    let result = match it.address(worker) {
                        Some(address) => {
                            let (host, body) = (address.to_string(), call.body);
                            let request = requests::infer(&host, &function, marks, body.bytes, body.first);
                            it.pool.exchange(address, request, false).await
                        }
                        None => Err(crate::pool::Failed::NoConnection),
                    };
                    let read = endings::infer(&ended(&result, &function));
                    let held = result.as_ref().ok().and_then(|r| reports::held(&r.headers));
                    let body = match result {
                        Ok(reply) if read.outcome == Outcome::Succeeded => {
                            let json = endings::json_length(&reply.headers, &reply.body);
                            let first = json.filter(|n| *n < reply.body.len()).map(|n| n as u32);
                            Payload { bytes: reply.body, first }
                        }
                        _ => Payload::default(),
                    };
                    tracing::debug!(inv = ticket.inv, dispatch = ticket.dispatch, worker, outcome = ?read.outcome, "ended");
                    it.pool.finished(ticket);
                    it.feed(Input::DispatchEnded {
                        ticket,
                        outcome: read.outcome,
                        note: read.note,
                        crowd: read.crowd,
                        report: read.report,
                        held,
                        body,
                    });
                });
                self.pool.keep(ticket, task);
            }
            Output::Withdraw(ticket) => self.pool.withdraw(ticket),
            Output::Order { ticket, function, account, copies, within } => {
                let (it, worker) = (self.clone(), ticket.worker);
                let order = async move {
                    let Some(address) = it.address(worker) else { return };
                    let host = address.to_string();
                    let request = match copies {
                        0 => requests::ready(&host, &function),
                        n => {
                            let account = it.names.accounts.get(account as usize).map(String::as_str);
                            requests::load(&host, &function, n, account)
                        }
                    };
                    let result = it.pool.order(address, request, within).await;
                    let held = result.as_ref().ok().and_then(|r| reports::held(&r.headers));
                    let (result, copies) = endings::order(&ended(&result, &function));
                    it.feed(Input::OrderEnded { ticket, result, copies, held });
                };
                self.executor.spawn(order).detach();
            }
            Output::Unload { worker, function } => {
                let it = self.clone();
                let order = async move {
                    let Some(address) = it.address(worker) else { return };
                    let request = requests::unload(&address.to_string(), &function);
                    // No answer is waited for by anyone; it only has to get there.
                    let _ = it.pool.order(address, request, STOP_MARGIN).await;
                };
                self.executor.spawn(order).detach();
            }
            Output::Probe { worker } => {
                let it = self.clone();
                let probe = async move {
                    let began = it.clock.now();
                    let (outcome, report) = match it.address(worker) {
                        Some(address) => {
                            let request = requests::live(&address.to_string());
                            let result = it.pool.order(address, request, STOP_MARGIN).await;
                            endings::probe(&ended(&result, ""))
                        }
                        None => (Outcome::Unreachable, Report::default()),
                    };
                    let took = it.clock.now() - began;
                    it.feed(Input::Probed { worker, outcome, took, report });
                };
                self.executor.spawn(probe).detach();
            }
            // The watch asks again by itself, with spread-out waits.
            Output::AskList => {}
        }
    }

    fn calls(&self, front: FrontIx) -> Option<&Rc<Calls>> {
        self.callers.get((front as usize).checked_sub(self.fronts.len())?)
    }

    /// Of answers that callers have not taken yet, on all fronts.
    pub(crate) fn unread_bytes(&self) -> u64 {
        self.callers.iter().map(|c| c.unread_bytes()).sum()
    }

    pub(crate) fn functions(&self) -> Vec<String> {
        self.router.borrow().functions().map(str::to_owned).collect()
    }

    pub(crate) fn address(&self, worker: WorkerIx) -> Option<SocketAddr> {
        // Not kept by index: that of a gone worker is given out again.
        self.router.borrow().worker_name(worker)?.parse().ok()
    }

    async fn timers(self: Rc<Self>) {
        loop {
            self.alarm.rings(&self.clock).await;
            self.feed(Input::Tick);
        }
    }

    /// Takes nothing new, answers what was taken, acknowledges, leaves.
    async fn stop(self: &Rc<Self>, longest: Micros) -> bool {
        tracing::info!("stopping: nothing new is taken");
        self.feed(Input::Stop);
        self.callers.iter().for_each(|c| c.stop());
        let until = self.clock.now() + longest + STOP_MARGIN;
        let fronts =
            || self.fronts.iter().all(|f| f.is_drained()) && self.callers.iter().all(|r| r.is_drained());
        let empty = || self.router.borrow().open() == 0 && fronts();
        while !empty() && self.clock.now() < until {
            Timer::after(STOP_LOOK).await;
        }
        let clean = empty();
        self.fronts.iter().for_each(|f| f.close(self.clock.now()));
        Timer::after(STOP_LOOK * 5).await;
        let router = self.router.borrow();
        for (name, times) in [("answered", &self.answered), ("safe", &self.safe)] {
            let t = times.borrow();
            let (p50_us, p99_us) = (t.value_at_quantile(0.5), t.value_at_quantile(0.99));
            tracing::info!(p50_us, p99_us, max_us = t.max(), "time until {name}");
        }
        if let Some(recorder) = &self.recorder {
            let ended = recorder.close();
            tracing::info!(ended, lost_records = recorder.lost(), "the trace was closed");
        }
        if let Some(metering) = &self.metering {
            let written = metering.close(self.clock.now());
            tracing::info!(written, "the ledger was closed");
        }
        tracing::info!(clean, counts = ?router.counts, misunderstood = self.misunderstood.get(), "stopped");
        clean
    }
}

/// From a microsecond to ten minutes, three digits; such bounds are always valid.
fn times() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid bounds")
}

/// Runs one router until a signal to end. True if all that was taken has been answered.
pub fn run(name: &str, parts: Parts, meddle: Option<Meddle>) -> std::io::Result<bool> {
    let Parts {
        seed,
        birth,
        names,
        terms,
        sources,
        listens,
        list,
        links,
        most_body,
        speakers,
        keep,
        meter,
        digest,
        clock_offset,
    } = parts;
    let clock = Clock::off_by(clock_offset);
    let executor = Rc::new(LocalExecutor::new());
    // Without a seed of its own each start draws differently.
    let seed = seed.unwrap_or_else(|| clock.wall() as u64 ^ u64::from(std::process::id()) << 40);
    let longest = birth.triggers.iter().map(|t| t.client_timeout).max().unwrap_or(0);
    let start = Start {
        router: name.to_owned(),
        module: module_digest(),
        settings: digest,
        file: 0,
        wall_at_zero: clock.wall() - clock.now(),
        triggers_named: names.triggers.clone(),
        accounts_named: names.accounts.clone(),
        fronts_named: sources
            .iter()
            .map(|s| s.name.clone())
            .chain(listens.iter().map(|l| l.name.clone()))
            .collect(),
        seed,
        birth: birth.clone(),
    };
    let recorder = match keep {
        Some(keep) => Some(Recorder::begin(keep, name, start)?),
        None => None,
    };
    let control = birth.control(seed);
    let mut listeners = Vec::new();
    for front in &listens {
        listeners.push(listen(front.address)?);
    }
    let first = sources.len();
    let mut callers = Vec::new();
    for (n, listen) in listens.into_iter().enumerate() {
        let tls = match &listen.tls {
            None => None,
            Some(files) => {
                Some(Inward::open(files.clone(), clock.wall()).map_err(|e| std::io::Error::other(e.cause))?)
            }
        };
        callers.push(Rc::new(Calls::new((first + n) as u32, listen, most_body, tls)));
    }
    let fronts = sources.into_iter().enumerate();
    let mut router = Router::new(control, birth.triggers, terms);
    if let Some(recorder) = &recorder {
        router.watched_by(Box::new(recorder.clone()));
    }
    let metering = match meter {
        Some(folder) => {
            // Random beyond what any two lives share.
            let source = uuid::Uuid::new_v4().as_u128();
            let wall_at_zero = clock.wall() - clock.now();
            Some(Metering::begin(folder, name, source, names.accounts.clone(), wall_at_zero)?)
        }
        None => None,
    };
    if let Some(metering) = &metering {
        router.watched_by(Box::new(metering.clone()));
    }
    let gateway = Rc::new(Gateway {
        clock,
        name: name.to_owned(),
        seed,
        from: links.from,
        names,
        misunderstood: Cell::new(0),
        speakers,
        meddler: Meddler::new(meddle),
        answered: RefCell::new(times()),
        safe: RefCell::new(times()),
        executor: executor.clone(),
        router: RefCell::new(router),
        recorder,
        metering,
        fronts: fronts.map(|(ix, s)| Rc::new(Front::new(ix as u32, s, most_body))).collect(),
        callers,
        pool: Rc::new(Pool::new(executor.clone(), clock, links)),
        alarm: Alarm::default(),
    });
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    async_io::block_on(executor.run(async {
        executor.spawn(gateway.clone().timers()).detach();
        match list {
            WorkerList::Fixed(workers) => gateway.feed(Input::List { mode: ListMode::Complete, workers }),
            WorkerList::Watched(address) => executor.spawn(list::watch(gateway.clone(), address)).detach(),
        }
        for front in &gateway.fronts {
            executor.spawn(front.clone().run(gateway.clone())).detach();
        }
        for (calls, listener) in gateway.callers.iter().zip(listeners) {
            executor.spawn(calls.clone().run(gateway.clone(), listener)).detach();
        }
        let pool = gateway.pool.clone();
        let tidy = async move {
            loop {
                Timer::after(TIDY).await;
                pool.tidy();
            }
        };
        executor.spawn(tidy).detach();
        let it = gateway.clone();
        let look = async move {
            loop {
                Timer::after(LOOK).await;
                let now = it.clock.now();
                it.recorder.iter().for_each(|r| r.look(now));
                it.metering.iter().for_each(|m| m.look(now));
            }
        };
        executor.spawn(look).detach();
        tracing::info!(router = name, "running");
        signals.next().await;
        Ok(gateway.stop(longest).await)
    }))
}

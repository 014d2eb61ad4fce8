//! Runs one router until it is told to stop: all on one thread, so that the core's decisions need no locks.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use cedarpulley::interface::{ListMode, Micros, Outcome, Report, WorkerIx};
use cedarpulley_errors::Remedy;
use cedarpulley_kserve::{endings, reports, requests, serving};
use cedarpulley_net::{Alarm, Clock, listen};
use cedarpulley_reconcile::{Claims, Entry, Observation};
use cedarpulley_router::{FrontIx, Input, Output, Payload, Router};
use cedarpulley_trace::start::{Start, module_digest};
use cedarpulley_upgrade::{Held, WorkerSeen};
use futures_lite::StreamExt;
use thiserror::Error;

use crate::calls::{Calls, Hall};
use crate::context::GatewayContext;
use crate::front::{Front, Times};
use crate::gate::Gate;
use crate::list;
use crate::listen::{Listen, Listening};
use crate::meddle::{Meddle, Meddler};
use crate::metering::Metering;
use crate::peer_group::{PeerGroup, PeerGroupError, PeerGroupResources};
use crate::pool::{Failed, Pool, ended};
use crate::reconciling::Reconciling;
use crate::recorder::Recorder;
use crate::settings::{Parts, WorkerList};
use crate::tls::Inward;
use crate::upgrading::Upgrading;

/// How often connections that have been idle too long are looked for.
const TIDY: Duration = Duration::from_secs(5);
/// A quiet router's last block is closed too, or a kill would lose what is minutes old; likewise the ledger.
const LOOK: Duration = Duration::from_secs(1);
/// On stopping: what was taken has this long beyond the longest client timeout.
const STOP_MARGIN: Micros = 2_000_000;
/// A stopping router looks this often whether all is answered.
const STOP_LOOK: Duration = Duration::from_millis(10);

struct Gateway {
    context: Rc<GatewayContext>,
    router: Rc<RefCell<Router>>,
    meddler: Rc<Meddler>,
    times: Rc<Times>,
    recorder: Option<Recorder>,
    metering: Option<Metering>,
    fronts: Vec<Rc<Front>>,
    /// Their indices follow those of `fronts`.
    listenings: Vec<Rc<Listening>>,
    pool: Rc<Pool>,
    peer_group: Option<PeerGroup>,
    upgrading: Option<Rc<Upgrading>>,
    gate: Option<Rc<Gate>>,
    reconciling: Option<Rc<Reconciling>>,
    alarm: Alarm,
}

/// What plans answer for, and which of these functions are of a version that a plan has taken out of service. While one
/// is under way it alone decides: where it is over here, copies elsewhere may still be what its floor rests on.
fn claims(upgrading: &Upgrading, functions: &[Arc<str>]) -> Claims {
    let over = |f: &&Arc<str>| {
        let (model, version) = serving::model(f);
        upgrading.over(model, version) && !upgrading.tends(f)
    };
    let claims = upgrading.claims();
    Claims {
        terms: claims.iter().filter_map(|c| c.term.clone()).collect(),
        retired: functions.iter().filter(over).cloned().collect(),
        functions: claims.into_iter().map(|c| c.function).collect(),
    }
}

/// What a worker said last, for whoever plans; where it stands and what its copies are like is not known here.
fn holds(worker: &Arc<str>, seen_at: Micros, memory_mb: f64, said: &Observation) -> WorkerSeen {
    let held = |e: &Entry| Held {
        function: e.function.clone(),
        copies: e.copies,
        lanes: e.copies,
        busy: e.busy.unwrap_or(0),
        loading: e.loading,
        sessions: e.sequences.as_ref().map_or(0, |ids| ids.len() as u32),
        copy_mb: 0,
    };
    WorkerSeen {
        name: worker.clone(),
        region: Arc::from(""),
        takes_new: false,
        seen_at,
        memory_mb: memory_mb as u32,
        used_mb: 0,
        holds: said.entries.iter().map(held).collect(),
    }
}

fn address(router: &RefCell<Router>, worker: WorkerIx) -> Option<SocketAddr> {
    // Not kept by index: that of a gone worker is given out again.
    router.borrow().worker_name(worker)?.parse().ok()
}

impl Gateway {
    /// Hands the core what happened and carries out what it wants.
    fn feed(self: &Rc<Self>, input: Input) {
        let input = match &self.gate {
            None => input,
            Some(gate) => match gate.passes(input) {
                Some(input) => input,
                None => return,
            },
        };
        self.past_the_gate(input);
    }

    fn past_the_gate(self: &Rc<Self>, input: Input) {
        let mut outputs = Vec::new();
        let listed = match (&self.reconciling, &input) {
            (Some(_), Input::List { mode, workers }) => Some((*mode, workers.clone())),
            _ => None,
        };
        let due = {
            let mut router = self.router.borrow_mut();
            router.handle(self.context.clock.now(), input, &mut outputs);
            router.next_due().unwrap_or(Micros::MAX)
        };
        self.alarm.set(due);
        for output in outputs {
            self.carry_out(output);
        }
        if let Some(gate) = &self.gate {
            gate.settle();
        }
        if let (Some(reconciling), Some((mode, workers))) = (&self.reconciling, listed) {
            reconciling.listed(mode, &workers);
        }
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        self.meddler.see(&output);
        match output {
            Output::Answer { delivery, answer } => {
                tracing::debug!(fate = ?answer.fate, reason = ?answer.reason, "answered");
                match self.fronts.get(delivery.front as usize) {
                    Some(front) => self.meddler.answer(front, delivery, answer),
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
                let task = self.context.executor.spawn(async move {
                    let names = &it.context.names;
                    let marks = requests::Marks {
                        invocation: call.mark.as_deref(),
                        dispatch: ticket.dispatch,
                        token: call.token.as_deref(),
                        trigger: names.triggers.get(trigger as usize).map_or("", String::as_str),
                        account: names.accounts.get(account as usize).map(String::as_str),
                        time_left: call.time_left,
                        session: call.session.as_ref().map(|s| (&*s.id, s.start, s.end)),
                    };
                    let result = match it.address(worker) {
                        Some(address) => {
                            let (host, body) = (address.to_string(), call.body);
                            let request = requests::infer(&host, &function, marks, body.bytes, body.first);
                            let now = || it.context.clock.now();
                            let leaves = || it.router.borrow().may_leave(now(), ticket);
                            it.pool.exchange(address, request, false, leaves).await
                        }
                        None => Err(Failed::NoConnection),
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
            Output::Order { ticket, function, account, copies, within, term } => {
                let (it, worker) = (self.clone(), ticket.worker);
                let order = async move {
                    let Some(address) = it.address(worker) else { return };
                    let host = address.to_string();
                    let request = match copies {
                        0 => requests::ready(&host, &function),
                        n => {
                            let account = it.context.names.accounts.get(account as usize).map(String::as_str);
                            let by = it.orderer(term.as_deref());
                            requests::load(&host, &function, n, account, by)
                        }
                    };
                    let result = it.pool.order(address, request, within).await;
                    let held = result.as_ref().ok().and_then(|r| reports::held(&r.headers));
                    let (result, copies) = endings::order(&ended(&result, &function));
                    it.feed(Input::OrderEnded { ticket, result, copies, held });
                };
                self.context.executor.spawn(order).detach();
            }
            Output::Unload { worker, function, term } => {
                let it = self.clone();
                let order = async move {
                    let Some(address) = it.address(worker) else { return };
                    let by = it.orderer(term.as_deref());
                    let request = requests::unload(&address.to_string(), &function, by);
                    // No answer is waited for by anyone; it only has to get there.
                    let _ = it.pool.order(address, request, STOP_MARGIN).await;
                };
                self.context.executor.spawn(order).detach();
            }
            Output::Probe { worker } => {
                let it = self.clone();
                let probe = async move {
                    let began = it.context.clock.now();
                    let (outcome, report) = match it.address(worker) {
                        Some(address) => {
                            let request = requests::live(&address.to_string());
                            let result = it.pool.order(address, request, STOP_MARGIN).await;
                            endings::probe(&ended(&result, ""))
                        }
                        None => (Outcome::Unreachable, Report::default()),
                    };
                    let took = it.context.clock.now() - began;
                    it.feed(Input::Probed { worker, outcome, took, report });
                };
                self.context.executor.spawn(probe).detach();
            }
            // The watch asks again by itself, with spread-out waits.
            Output::AskList => {}
            Output::Group(ask) => {
                if let Some(peer_group) = &self.peer_group {
                    peer_group.request(ask);
                }
            }
        }
    }

    /// As workers are told, where they are to tell routers apart.
    fn orderer<'a>(&'a self, term: Option<&'a str>) -> requests::Orderer<'a> {
        requests::Orderer { router: self.peer_group.as_ref().map(PeerGroup::name), term }
    }

    fn calls(&self, front: FrontIx) -> Option<&Rc<Calls>> {
        Some(&self.listenings.get((front as usize).checked_sub(self.fronts.len())?)?.calls)
    }

    fn address(&self, worker: WorkerIx) -> Option<SocketAddr> {
        address(&self.router, worker)
    }

    async fn timers(self: Rc<Self>) {
        loop {
            self.alarm.rings(&self.context.clock).await;
            self.feed(Input::Tick);
        }
    }

    /// Takes nothing new, answers what was taken, acknowledges, leaves.
    async fn stop(self: &Rc<Self>, longest: Micros) -> bool {
        tracing::info!("stopping: nothing new is taken");
        self.feed(Input::Stop);
        self.listenings.iter().for_each(|l| l.stop());
        let until = self.context.clock.now() + longest + STOP_MARGIN;
        let fronts = || {
            self.fronts.iter().all(|f| f.is_drained()) && self.listenings.iter().all(|l| l.calls.is_drained())
        };
        let gate = || self.gate.as_ref().is_none_or(|g| g.is_empty());
        let empty = || self.router.borrow().open() == 0 && gate() && fronts();
        while !empty() && self.context.clock.now() < until {
            // Symptom: told to stop while a connection to the broker came up, it consumed all the same and never left
            // in good order.
            self.fronts.iter().for_each(|f| f.grant(0));
            Timer::after(STOP_LOOK).await;
        }
        let clean = empty();
        self.fronts.iter().for_each(|f| f.close(self.context.clock.now()));
        Timer::after(STOP_LOOK * 5).await;
        let router = self.router.borrow();
        for (name, times) in [("answered", &self.times.answered), ("safe", &self.times.safe)] {
            let t = times.borrow();
            let (p50_us, p99_us) = (t.value_at_quantile(0.5), t.value_at_quantile(0.99));
            tracing::info!(p50_us, p99_us, max_us = t.max(), "time until {name}");
        }
        if let Some(recorder) = &self.recorder {
            let ended = recorder.close();
            tracing::info!(ended, lost_records = recorder.lost(), "the trace was closed");
        }
        if let Some(metering) = &self.metering {
            let written = metering.close(self.context.clock.now());
            tracing::info!(written, "the ledger was closed");
        }
        self.reconciling.iter().for_each(|r| r.close());
        tracing::info!(clean, counts = ?router.counts, misunderstood = self.context.malformed_inputs.get(), "stopped");
        clean
    }
}

/// Why a router does not start.
#[derive(Debug, Error)]
pub enum Unstarted {
    #[error("{0}")]
    System(#[from] std::io::Error),
    #[error(transparent)]
    Group(#[from] PeerGroupError),
}

impl Remedy for Unstarted {
    fn remedy(&self) -> &'static str {
        match self {
            Unstarted::System(_) => "see that its addresses are free and its folders can be written to",
            Unstarted::Group(failed) => failed.remedy(),
        }
    }
}

/// Runs one router until a signal to end. True if all that was taken has been answered.
pub fn run(name: &str, parts: Parts, meddle: Option<Meddle>) -> Result<bool, Unstarted> {
    let Parts {
        seed,
        settings,
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
        peers,
        upgrade,
        reconcile,
        sessions,
    } = parts;
    let clock = Clock::off_by(clock_offset);
    let executor = Rc::new(LocalExecutor::new());
    // Without a seed of its own each start draws differently.
    let seed = seed.unwrap_or_else(|| clock.wall() as u64 ^ u64::from(std::process::id()) << 40);
    let longest = settings.triggers.iter().map(|t| t.client_timeout).max().unwrap_or(0);
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
        startup: settings.clone(),
    };
    let recorder = match keep {
        Some(keep) => Some(Recorder::begin(keep, name, start)?),
        None => None,
    };
    let disabled_guard = meddle.and_then(Meddle::guard);
    let group_resources = match peers {
        Some(peers) => Some(PeerGroupResources::acquire(peers, &clock, disabled_guard)?),
        None => None,
    };
    let control = settings.control(seed);
    let (idle_kept, kinds_mb) = (settings.loads.idle_kept, settings.loads.memory_mb.clone());
    let mut listeners = Vec::new();
    for front in &listens {
        listeners.push(listen(front.address)?);
    }
    let mut doors = Vec::new();
    for listen in listens {
        let tls = match &listen.tls {
            None => None,
            Some(files) => {
                Some(Inward::open(files.clone(), clock.wall()).map_err(|e| std::io::Error::other(e.cause))?)
            }
        };
        doors.push((listen, tls));
    }
    let mut router = Router::new(control, settings.triggers, terms);
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
    let router = Rc::new(RefCell::new(router));
    let pool = Rc::new(Pool::new(executor.clone(), clock, links));
    let (times, speakers) = (Rc::new(Times::default()), Rc::new(speakers));
    let gateway = Rc::new_cyclic(|gateway: &Weak<Gateway>| {
        let (gateway, past) = (gateway.clone(), gateway.clone());
        let context = Rc::new(GatewayContext {
            clock,
            executor: executor.clone(),
            name: name.to_owned(),
            seed,
            local_address: links.from,
            names,
            tracks_sessions: sessions.is_some() || reconcile.is_some(),
            malformed_inputs: Cell::new(0),
            // Found for as long as anything runs: it is held until the executor has ended.
            core_input: Box::new(move |input| {
                if let Some(gateway) = gateway.upgrade() {
                    gateway.feed(input);
                }
            }),
        });
        let (known, places) = (router.clone(), router.clone());
        let hall = Rc::new(Hall {
            unread_bytes: Cell::new(0),
            functions: Box::new(move || known.borrow().functions().map(str::to_owned).collect()),
        });
        let places = Rc::new(move |worker| address(&places, worker));
        let first = sources.len();
        let fronts = sources.into_iter().enumerate();
        let fronts = fronts
            .map(|(ix, s)| Rc::new(Front::new(ix as u32, s, most_body, context.clone(), times.clone())));
        let listening = |(n, (listen, tls)): (usize, (Listen, Option<Rc<Inward>>))| {
            let ix = (first + n) as u32;
            let calls = Calls::new(ix, context.clone(), hall.clone(), most_body, listen.most_streams);
            Rc::new(Listening::new(Rc::new(calls), listen, tls, speakers.clone()))
        };
        let peer_group = group_resources.map(|group_resources| PeerGroup::new(&context, group_resources));
        let shared = peer_group.as_ref().map(PeerGroup::shared_state);
        let upgrading = shared
            .clone()
            .zip(upgrade)
            .map(|(shared, ordered)| Upgrading::new(context.clone(), shared, ordered));
        let gate = sessions.map(|terms| {
            let core = Box::new(move |input| {
                if let Some(gateway) = past.upgrade() {
                    gateway.past_the_gate(input);
                }
            });
            Gate::new(context.clone(), terms, shared.clone(), upgrading.clone(), core)
        });
        if let Some(gate) = &gate {
            router.borrow_mut().watched_by(gate.watch());
        }
        let reconciling = reconcile.map(|terms| {
            let (context, pool) = (context.clone(), pool.clone());
            Reconciling::new(context, pool, shared.clone(), terms, idle_kept, kinds_mb)
        });
        if let Some(reconciling) = &reconciling {
            router.borrow_mut().watched_by(reconciling.watch());
            if let Some(shared) = &shared {
                let shown = reconciling.clone();
                shared.add_state_provider("reconcile", move || shown.shown());
            }
            if let Some(upgrading) = &upgrading {
                let (seen, it) = (reconciling.clone(), upgrading.clone());
                upgrading.held(Box::new(move || seen.observed(holds)));
                reconciling.claimed_by(Box::new(move |functions| claims(&it, functions)));
                let it = upgrading.clone();
                // Nor is what a plan took out of service brought back.
                let over = move |f: &str| {
                    let (model, version) = serving::model(f);
                    it.tends(f) || it.over(model, version)
                };
                reconciling.tended_by(Box::new(over));
            }
            if let Some(gate) = &gate {
                let (id, worker) = (reconciling.clone(), reconciling.clone());
                gate.names_workers(Box::new(move |w| id.id_of(w)), Box::new(move |id| worker.worker_of(id)));
                let used = reconciling.clone();
                gate.knows_uses(Box::new(move |worker, function| used.used_lately(worker, function)));
                let gate = gate.clone();
                reconciling.lets_go(Box::new(move |worker, of, ids| gate.prefix_lost(worker, of, ids)));
            }
        }
        if let (Some(shared), Some(upgrading), Some(gate)) = (&shared, &upgrading, &gate) {
            let (upgrading, gate) = (upgrading.clone(), gate.clone());
            shared.add_state_provider("upgrade", move || upgrading.shown(gate.shown()));
        }
        Gateway {
            router,
            meddler: Rc::new(Meddler::new(meddle, context.clone(), pool.clone(), places)),
            times: times.clone(),
            recorder,
            metering,
            fronts: fronts.collect(),
            listenings: doors.into_iter().enumerate().map(listening).collect(),
            pool,
            peer_group,
            upgrading,
            gate,
            reconciling,
            alarm: Alarm::default(),
            context: context.clone(),
        }
    });
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    async_io::block_on(executor.run(async {
        executor.spawn(gateway.clone().timers()).detach();
        match list {
            WorkerList::Fixed(workers) => gateway.feed(Input::List { mode: ListMode::Complete, workers }),
            WorkerList::Watched(address) => {
                let meddler = gateway.meddler.clone();
                let reconciling = gateway.reconciling.clone();
                let heard = move |news| {
                    let news = meddler.news(news);
                    reconciling.iter().for_each(|r| r.heard(&news));
                    news
                };
                executor.spawn(list::watch(gateway.context.clone(), address, heard)).detach();
            }
        }
        for front in &gateway.fronts {
            executor.spawn(front.clone().run()).detach();
        }
        for (listening, listener) in gateway.listenings.iter().zip(listeners) {
            executor.spawn(listening.clone().run(listener)).detach();
        }
        let pool = gateway.pool.clone();
        let tidy = async move {
            loop {
                Timer::after(TIDY).await;
                pool.tidy();
            }
        };
        executor.spawn(tidy).detach();
        gateway.peer_group.iter().for_each(|peer_group| peer_group.run(&gateway.context));
        gateway.gate.iter().for_each(|gate| executor.spawn(gate.clone().run()).detach());
        if let Some(upgrading) = &gateway.upgrading {
            executor.spawn(upgrading.clone().run()).detach();
            executor.spawn(upgrading.clone().rereads()).detach();
        }
        gateway.reconciling.iter().for_each(|r| r.run());
        executor.spawn(gateway.meddler.clone().spoils(gateway.reconciling.clone())).detach();
        let it = gateway.clone();
        let look = async move {
            loop {
                Timer::after(LOOK).await;
                let now = it.context.clock.now();
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

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

use crate::admission::Admission;
use crate::amqp_front::{AmqpFront, AnswerTimes};
use crate::client_listener::{ClientListener, ListenerSettings};
use crate::context::GatewayContext;
use crate::fault_injection::{FaultInjector, InjectedFault};
use crate::metering::Metering;
use crate::peer_group::{PeerGroup, PeerGroupError, PeerGroupResources};
use crate::pool::{ExchangeError, Pool, ending_of};
use crate::reconciliation::Reconciliation;
use crate::request_handling::{HandlerResources, RequestHandler};
use crate::settings::{RouterSettings, WorkerList};
use crate::tls::ServerTls;
use crate::trace_recorder::TraceRecorder;
use crate::upgrades::Upgrades;
use crate::worker_list;

/// How often idle connections are checked.
const CLOSE_IDLE_INTERVAL: Duration = Duration::from_secs(5);
/// How often blocks and sums that are old are written, though nothing more comes: otherwise a kill would lose
/// what is minutes old.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);
/// On shutdown: how long open requests have beyond the longest client timeout, in microseconds.
const STOP_MARGIN: Micros = 2_000_000;
/// How often a router that shuts down checks whether everything is answered.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// All parts of a running router.
struct Gateway {
    context: Rc<GatewayContext>,
    router: Rc<RefCell<Router>>,
    fault_injector: Rc<FaultInjector>,
    times: Rc<AnswerTimes>,
    trace_recorder: Option<TraceRecorder>,
    metering: Option<Metering>,
    fronts: Vec<Rc<AmqpFront>>,
    /// Their front indices follow those of `fronts`.
    client_listeners: Vec<Rc<ClientListener>>,
    pool: Rc<Pool>,
    peer_group: Option<PeerGroup>,
    upgrades: Option<Rc<Upgrades>>,
    admission: Option<Rc<Admission>>,
    reconciliation: Option<Rc<Reconciliation>>,
    alarm: Alarm,
}

/// What upgrade plans claim, and which of these functions are of a version that a plan has retired. While a
/// plan is in progress it alone decides: a version retired here may still be needed elsewhere to keep the
/// plan's minimum of copies.
fn claims(upgrades: &Upgrades, functions: &[Arc<str>]) -> Claims {
    let retired = |f: &&Arc<str>| {
        let (model, version) = serving::model(f);
        upgrades.is_retired(model, version) && !upgrades.manages(f)
    };
    let claims = upgrades.claims();
    Claims {
        terms: claims.iter().filter_map(|c| c.term.clone()).collect(),
        retired: functions.iter().filter(retired).cloned().collect(),
        functions: claims.into_iter().map(|c| c.function).collect(),
    }
}

/// A worker's last report in the planner's form; the worker's region and state and the copies' sizes are not
/// known here.
fn to_worker_seen(worker: &Arc<str>, seen_at: Micros, memory_mb: f64, said: &Observation) -> WorkerSeen {
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
    // Not cached by index, as the index of a departed worker is reused.
    router.borrow().worker_name(worker)?.parse().ok()
}

impl Gateway {
    /// Hands an event to the core, through the admission if there is one, and carries out the outputs.
    fn feed(self: &Rc<Self>, input: Input) {
        let input = match &self.admission {
            None => input,
            Some(admission) => match admission.filter(input) {
                Some(input) => input,
                None => return,
            },
        };
        self.feed_core(input);
    }

    fn feed_core(self: &Rc<Self>, input: Input) {
        let mut outputs = Vec::new();
        let listed = match (&self.reconciliation, &input) {
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
        if let Some(admission) = &self.admission {
            admission.process_completed();
        }
        if let (Some(reconciliation), Some((mode, workers))) = (&self.reconciliation, listed) {
            reconciliation.list_applied(mode, &workers);
        }
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        self.fault_injector.observe(&output);
        match output {
            Output::Answer { delivery, answer } => {
                tracing::debug!(fate = ?answer.fate, reason = ?answer.reason, "answered");
                match self.fronts.get(delivery.front as usize) {
                    Some(front) => self.fault_injector.answer(front, delivery, answer),
                    None => {
                        if let Some(handler) =
                            self.handler(delivery.front).filter(|_| !self.fault_injector.loses_answer())
                        {
                            handler.deliver(delivery, answer);
                        }
                    }
                }
            }
            Output::Entry { delivery, entry } => {
                if let Some(handler) = self.handler(delivery.front) {
                    handler.set_decision(entry);
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
                    if let Some(handler) = self.handler(front) {
                        handler.grant(most);
                    }
                }
            },
            Output::Send { ticket, worker, function, trigger, account, call } => {
                let this = self.clone();
                let task = self.context.executor.spawn(async move {
                    let names = &this.context.names;
                    let marks = requests::Marks {
                        invocation: call.mark.as_deref(),
                        dispatch: ticket.dispatch,
                        token: call.token.as_deref(),
                        trigger: names.triggers.get(trigger as usize).map_or("", String::as_str),
                        account: names.accounts.get(account as usize).map(String::as_str),
                        time_left: call.time_left,
                        session: call.session.as_ref().map(|s| (&*s.id, s.start, s.end)),
                    };
                    let result = match this.address(worker) {
                        Some(address) => {
                            let (host, body) = (address.to_string(), call.body);
                            let request = requests::infer(&host, &function, marks, body.bytes, body.first);
                            let now = || this.context.clock.now();
                            let may_send = || this.router.borrow().may_leave(now(), ticket);
                            this.pool.exchange(address, request, false, may_send).await
                        }
                        None => Err(ExchangeError::NoConnection),
                    };
                    let read = endings::infer(&ending_of(&result, &function));
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
                    this.pool.finished(ticket);
                    this.feed(Input::DispatchEnded {
                        ticket,
                        outcome: read.outcome,
                        note: read.note,
                        crowd: read.crowd,
                        report: read.report,
                        held,
                        body,
                    });
                });
                self.pool.track(ticket, task);
            }
            Output::Withdraw(ticket) => self.pool.cancel(ticket),
            Output::Order { ticket, function, account, copies, within, term } => {
                let (this, worker) = (self.clone(), ticket.worker);
                let order = async move {
                    let Some(address) = this.address(worker) else { return };
                    let host = address.to_string();
                    let request = match copies {
                        0 => requests::ready(&host, &function),
                        n => {
                            let account =
                                this.context.names.accounts.get(account as usize).map(String::as_str);
                            let by = this.orderer(term.as_deref());
                            requests::load(&host, &function, n, account, by)
                        }
                    };
                    let result = this.pool.order(address, request, within).await;
                    let held = result.as_ref().ok().and_then(|r| reports::held(&r.headers));
                    let (result, copies) = endings::order(&ending_of(&result, &function));
                    this.feed(Input::OrderEnded { ticket, result, copies, held });
                };
                self.context.executor.spawn(order).detach();
            }
            Output::Unload { worker, function, term } => {
                let this = self.clone();
                let order = async move {
                    let Some(address) = this.address(worker) else { return };
                    let by = this.orderer(term.as_deref());
                    let request = requests::unload(&address.to_string(), &function, by);
                    // No one waits for the answer; the order only has to arrive.
                    let _ = this.pool.order(address, request, STOP_MARGIN).await;
                };
                self.context.executor.spawn(order).detach();
            }
            Output::Probe { worker } => {
                let this = self.clone();
                let probe = async move {
                    let began = this.context.clock.now();
                    let (outcome, report) = match this.address(worker) {
                        Some(address) => {
                            let request = requests::live(&address.to_string());
                            let result = this.pool.order(address, request, STOP_MARGIN).await;
                            endings::probe(&ending_of(&result, ""))
                        }
                        None => (Outcome::Unreachable, Report::default()),
                    };
                    let took = this.context.clock.now() - began;
                    this.feed(Input::Probed { worker, outcome, took, report });
                };
                self.context.executor.spawn(probe).detach();
            }
            // The watch retries by itself, with spread-out delays.
            Output::AskList => {}
            Output::Group(ask) => {
                if let Some(peer_group) = &self.peer_group {
                    peer_group.request(ask);
                }
            }
        }
    }

    /// What load orders tell workers of their origin, if routers are to be told apart.
    fn orderer<'a>(&'a self, term: Option<&'a str>) -> requests::Orderer<'a> {
        requests::Orderer { router: self.peer_group.as_ref().map(PeerGroup::name), term }
    }

    fn handler(&self, front: FrontIx) -> Option<&Rc<RequestHandler>> {
        Some(&self.client_listeners.get((front as usize).checked_sub(self.fronts.len())?)?.handler)
    }

    fn address(&self, worker: WorkerIx) -> Option<SocketAddr> {
        address(&self.router, worker)
    }

    async fn run_timers(self: Rc<Self>) {
        loop {
            self.alarm.rings(&self.context.clock).await;
            self.feed(Input::Tick);
        }
    }

    /// Takes nothing new, answers what was taken, acknowledges, and ends.
    async fn stop(self: &Rc<Self>, longest: Micros) -> bool {
        tracing::info!("stopping: nothing new is taken");
        self.feed(Input::Stop);
        self.client_listeners.iter().for_each(|l| l.stop());
        let until = self.context.clock.now() + longest + STOP_MARGIN;
        let fronts = || {
            self.fronts.iter().all(|f| f.is_drained())
                && self.client_listeners.iter().all(|l| l.handler.is_drained())
        };
        let admission = || self.admission.as_ref().is_none_or(|a| a.is_empty());
        let empty = || self.router.borrow().open() == 0 && admission() && fronts();
        while !empty() && self.context.clock.now() < until {
            // Repeated, as a connection to the broker that came up during the shutdown would otherwise
            // consume and never close in good order.
            self.fronts.iter().for_each(|f| f.grant(0));
            Timer::after(STOP_POLL_INTERVAL).await;
        }
        let clean = empty();
        self.fronts.iter().for_each(|f| f.close(self.context.clock.now()));
        Timer::after(STOP_POLL_INTERVAL * 5).await;
        let router = self.router.borrow();
        for (name, times) in [("answered", &self.times.answered), ("safe", &self.times.committed)] {
            let t = times.borrow();
            let (p50_us, p99_us) = (t.value_at_quantile(0.5), t.value_at_quantile(0.99));
            tracing::info!(p50_us, p99_us, max_us = t.max(), "time until {name}");
        }
        if let Some(trace_recorder) = &self.trace_recorder {
            let ended = trace_recorder.close();
            tracing::info!(ended, lost_records = trace_recorder.lost_records(), "the trace was closed");
        }
        if let Some(metering) = &self.metering {
            let written = metering.close(self.context.clock.now());
            tracing::info!(written, "the ledger was closed");
        }
        self.reconciliation.iter().for_each(|r| r.log_counts());
        tracing::info!(clean, counts = ?router.counts, misunderstood = self.context.malformed_inputs.get(), "stopped");
        clean
    }
}

/// Why a router does not start.
#[derive(Debug, Error)]
pub enum StartError {
    #[error("{0}")]
    System(#[from] std::io::Error),
    #[error(transparent)]
    Group(#[from] PeerGroupError),
}

impl Remedy for StartError {
    fn remedy(&self) -> &'static str {
        match self {
            StartError::System(_) => "see that its addresses are free and its folders can be written to",
            StartError::Group(failed) => failed.remedy(),
        }
    }
}

/// Runs one router until a signal to end. True if everything taken was answered.
pub fn run(name: &str, settings: RouterSettings, fault: Option<InjectedFault>) -> Result<bool, StartError> {
    let RouterSettings {
        seed,
        startup,
        names,
        core_terms,
        amqp_sources,
        listeners: listener_settings,
        workers,
        pool: pool_settings,
        max_body_bytes,
        certificate_accounts,
        trace,
        ledger_folder,
        digest,
        clock_offset,
        peers,
        upgrade,
        reconcile,
        sessions,
    } = settings;
    let clock = Clock::off_by(clock_offset);
    let executor = Rc::new(LocalExecutor::new());
    // Without a configured seed each start draws differently.
    let seed = seed.unwrap_or_else(|| clock.wall() as u64 ^ u64::from(std::process::id()) << 40);
    let longest = startup.triggers.iter().map(|t| t.client_timeout).max().unwrap_or(0);
    let start = Start {
        router: name.to_owned(),
        module: module_digest(),
        settings: digest,
        file: 0,
        wall_at_zero: clock.wall() - clock.now(),
        triggers_named: names.triggers.clone(),
        accounts_named: names.accounts.clone(),
        fronts_named: amqp_sources
            .iter()
            .map(|s| s.name.clone())
            .chain(listener_settings.iter().map(|l| l.name.clone()))
            .collect(),
        seed,
        startup: startup.clone(),
    };
    let trace_recorder = match trace {
        Some(trace) => Some(TraceRecorder::begin(trace, name, start)?),
        None => None,
    };
    let disabled_guard = fault.and_then(InjectedFault::guard);
    let group_resources = match peers {
        Some(peers) => Some(PeerGroupResources::acquire(peers, &clock, disabled_guard)?),
        None => None,
    };
    let control = startup.control(seed);
    let (idle_kept, kinds_mb) = (startup.loads.idle_kept, startup.loads.memory_mb.clone());
    let mut listeners = Vec::new();
    for front in &listener_settings {
        listeners.push(listen(front.address)?);
    }
    let mut bound_listeners = Vec::new();
    for listen in listener_settings {
        let tls = match &listen.tls {
            None => None,
            Some(files) => Some(
                ServerTls::open(files.clone(), clock.wall()).map_err(|e| std::io::Error::other(e.cause))?,
            ),
        };
        bound_listeners.push((listen, tls));
    }
    let mut router = Router::new(control, startup.triggers, core_terms);
    if let Some(trace_recorder) = &trace_recorder {
        router.watched_by(Box::new(trace_recorder.clone()));
    }
    let metering = match ledger_folder {
        Some(folder) => {
            // Unique among processes with all but certainty.
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
    let pool = Rc::new(Pool::new(executor.clone(), clock, pool_settings));
    let (times, certificate_accounts) = (Rc::new(AnswerTimes::default()), Rc::new(certificate_accounts));
    let gateway = Rc::new_cyclic(|gateway: &Weak<Gateway>| {
        let (gateway, past) = (gateway.clone(), gateway.clone());
        let context = Rc::new(GatewayContext {
            clock,
            executor: executor.clone(),
            name: name.to_owned(),
            seed,
            local_address: pool_settings.local_address,
            names,
            tracks_sessions: sessions.is_some() || reconcile.is_some(),
            malformed_inputs: Cell::new(0),
            // The gateway is held until the executor has ended, so that it is found for as long as anything
            // runs.
            core_input: Box::new(move |input| {
                if let Some(gateway) = gateway.upgrade() {
                    gateway.feed(input);
                }
            }),
        });
        let (known, places) = (router.clone(), router.clone());
        let resources = Rc::new(HandlerResources {
            unread_bytes: Cell::new(0),
            functions: Box::new(move || known.borrow().functions().map(str::to_owned).collect()),
        });
        let places = Rc::new(move |worker| address(&places, worker));
        let first = amqp_sources.len();
        let fronts = amqp_sources.into_iter().enumerate();
        let fronts = fronts.map(|(ix, s)| {
            Rc::new(AmqpFront::new(ix as u32, s, max_body_bytes, context.clone(), times.clone()))
        });
        let client_listener = |(n, (listen, tls)): (usize, (ListenerSettings, Option<Rc<ServerTls>>))| {
            let ix = (first + n) as u32;
            let handler = RequestHandler::new(
                ix,
                context.clone(),
                resources.clone(),
                max_body_bytes,
                listen.max_streams,
            );
            Rc::new(ClientListener::new(Rc::new(handler), listen, tls, certificate_accounts.clone()))
        };
        let peer_group = group_resources.map(|group_resources| PeerGroup::new(&context, group_resources));
        let shared = peer_group.as_ref().map(PeerGroup::shared_state);
        let upgrades = shared
            .clone()
            .zip(upgrade)
            .map(|(shared, ordered)| Upgrades::new(context.clone(), shared, ordered));
        let admission = sessions.map(|terms| {
            let core = Box::new(move |input| {
                if let Some(gateway) = past.upgrade() {
                    gateway.feed_core(input);
                }
            });
            Admission::new(context.clone(), terms, shared.clone(), upgrades.clone(), core)
        });
        if let Some(admission) = &admission {
            router.borrow_mut().watched_by(admission.observer());
        }
        let reconciliation = reconcile.map(|terms| {
            let (context, pool) = (context.clone(), pool.clone());
            Reconciliation::new(context, pool, shared.clone(), terms, idle_kept, kinds_mb)
        });
        if let Some(reconciliation) = &reconciliation {
            router.borrow_mut().watched_by(reconciliation.watch());
            if let Some(shared) = &shared {
                let source = reconciliation.clone();
                shared.add_state_provider("reconcile", move || source.state());
            }
            if let Some(upgrades) = &upgrades {
                let (seen, this) = (reconciliation.clone(), upgrades.clone());
                upgrades.set_holdings_source(Box::new(move || seen.observed(to_worker_seen)));
                reconciliation.set_claims_provider(Box::new(move |functions| claims(&this, functions)));
                let this = upgrades.clone();
                // Nor is a copy that a plan has retired loaded again.
                let retired_or_managed = move |f: &str| {
                    let (model, version) = serving::model(f);
                    this.manages(f) || this.is_retired(model, version)
                };
                reconciliation.set_plan_check(Box::new(retired_or_managed));
            }
            if let Some(admission) = &admission {
                let (id, worker) = (reconciliation.clone(), reconciliation.clone());
                admission
                    .set_worker_ids(Box::new(move |w| id.id_of(w)), Box::new(move |id| worker.worker_of(id)));
                let used = reconciliation.clone();
                admission.set_recent_use_check(Box::new(move |worker, function| {
                    used.used_lately(worker, function)
                }));
                let admission = admission.clone();
                reconciliation
                    .on_prefix_lost(Box::new(move |worker, of, ids| admission.prefix_lost(worker, of, ids)));
            }
        }
        if let (Some(shared), Some(upgrades), Some(admission)) = (&shared, &upgrades, &admission) {
            let (upgrades, admission) = (upgrades.clone(), admission.clone());
            shared.add_state_provider("upgrade", move || upgrades.state(admission.state()));
        }
        Gateway {
            router,
            fault_injector: Rc::new(FaultInjector::new(fault, context.clone(), pool.clone(), places)),
            times: times.clone(),
            trace_recorder,
            metering,
            fronts: fronts.collect(),
            client_listeners: bound_listeners.into_iter().enumerate().map(client_listener).collect(),
            pool,
            peer_group,
            upgrades,
            admission,
            reconciliation,
            alarm: Alarm::default(),
            context: context.clone(),
        }
    });
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    async_io::block_on(executor.run(async {
        executor.spawn(gateway.clone().run_timers()).detach();
        match workers {
            WorkerList::Fixed(workers) => gateway.feed(Input::List { mode: ListMode::Complete, workers }),
            WorkerList::Watched(address) => {
                let fault_injector = gateway.fault_injector.clone();
                let reconciliation = gateway.reconciliation.clone();
                let filter = move |event| {
                    let event = fault_injector.filter_list_event(event);
                    reconciliation.iter().for_each(|r| r.observe_list_event(&event));
                    event
                };
                executor.spawn(worker_list::watch(gateway.context.clone(), address, filter)).detach();
            }
        }
        for front in &gateway.fronts {
            executor.spawn(front.clone().run()).detach();
        }
        for (client_listener, listener) in gateway.client_listeners.iter().zip(listeners) {
            executor.spawn(client_listener.clone().run(listener)).detach();
        }
        let pool = gateway.pool.clone();
        let close_idle = async move {
            loop {
                Timer::after(CLOSE_IDLE_INTERVAL).await;
                pool.close_idle();
            }
        };
        executor.spawn(close_idle).detach();
        gateway.peer_group.iter().for_each(|peer_group| peer_group.run(&gateway.context));
        gateway.admission.iter().for_each(|admission| executor.spawn(admission.clone().run()).detach());
        if let Some(upgrades) = &gateway.upgrades {
            executor.spawn(upgrades.clone().run()).detach();
            executor.spawn(upgrades.clone().reload_on_sighup()).detach();
        }
        gateway.reconciliation.iter().for_each(|r| r.run());
        executor
            .spawn(gateway.fault_injector.clone().corrupt_beliefs(gateway.reconciliation.clone()))
            .detach();
        let this = gateway.clone();
        let flush = async move {
            loop {
                Timer::after(FLUSH_INTERVAL).await;
                let now = this.context.clock.now();
                this.trace_recorder.iter().for_each(|r| r.flush_old(now));
                this.metering.iter().for_each(|m| m.flush_due(now));
            }
        };
        executor.spawn(flush).detach();
        tracing::info!(router = name, "running");
        signals.next().await;
        Ok(gateway.stop(longest).await)
    }))
}

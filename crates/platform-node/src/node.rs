//! [`run`]: one router until it is told to stop, all on one thread.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use cedarpulley::interface::{Effect, ListMode, Micros, Standing, TriggerType, WorkerIx};
use cedarpulley_birth::ReportField;
use cedarpulley_gateway::net::{Bell, Clock, listen};
use cedarpulley_platform::berths::Berths;
use cedarpulley_platform::channel::{Follower, Named, News};
use cedarpulley_platform::clients;
use cedarpulley_platform::config::{Names, Start, channel_of};
use cedarpulley_platform::doorkeeper::{Doorkeeper, descriptors};
use cedarpulley_router::roster::Listed;
use cedarpulley_router::{Input, Output, Router, Terms};
use futures_lite::{FutureExt, StreamExt};

use crate::channel;
use crate::front::Front;
use crate::links::Links;

/// How often connections whose time is over are looked for.
const SWEEP: Duration = Duration::from_millis(50);
/// Bytes of bodies held at once: a part of the memory allowed.
const BODIES_PART: f64 = 8.0;
/// After the order to stop, requests that crossed it are taken for so long, by the protocol.
const STILL_TAKES: Micros = 700_000;
/// A router that stops looks this often whether all is answered, and leaves this long after the last answer, so that
/// it is out.
const STOP_LOOK: Duration = Duration::from_millis(10);
const STOP_MARGIN: Micros = 500_000;

pub struct Node {
    pub(crate) clock: Clock,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    router: RefCell<Router>,
    inputs: RefCell<VecDeque<Input>>,
    feeding: Cell<bool>,
    due: Cell<Micros>,
    timer: Bell,
    pub(crate) front: Front,
    pub(crate) links: Links,
    pub(crate) names: Names,
    pub(crate) fields: Vec<ReportField>,
    pub(crate) crowds: bool,
    /// By the worker's id: a new worker may have the address of one that has gone.
    addresses: RefCell<HashMap<String, SocketAddr>>,
    pub(crate) channel: Cell<SocketAddr>,
    pub(crate) channel_moved: Bell,
    pub(crate) follower: RefCell<Follower>,
    /// When the order to stop came.
    stopping: Cell<Option<Micros>>,
}

impl Node {
    /// Hands the core what happened and carries out what it wants. What happens meanwhile waits its turn.
    pub(crate) fn feed(self: &Rc<Self>, input: Input) {
        self.inputs.borrow_mut().push_back(input);
        if self.feeding.replace(true) {
            return;
        }
        let mut outputs = Vec::new();
        loop {
            let Some(input) = self.inputs.borrow_mut().pop_front() else { break };
            let due = {
                let mut router = self.router.borrow_mut();
                router.handle(self.clock.now(), input, &mut outputs);
                router.next_due().unwrap_or(Micros::MAX)
            };
            if due < self.due.get() {
                self.due.set(due);
                self.timer.ring();
            }
            for output in outputs.drain(..) {
                self.carry_out(output);
            }
        }
        self.feeding.set(false);
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        match output {
            Output::Answer { delivery, answer } => self.front.answer(self, delivery, &answer),
            Output::Send { ticket, worker, function, trigger, call, .. } => {
                self.links.call(self, ticket, worker, &function, trigger, &call);
            }
            Output::Withdraw(ticket) => self.links.withdraw(self, ticket),
            Output::Order { ticket, function, copies, within, .. } => {
                self.links.order(self, ticket, &function, copies, within);
            }
            Output::Unload { worker, function } => self.links.unload(self, worker, &function),
            Output::Probe { worker } => self.links.probe(self, worker),
            // The channel is followed all the time; nothing here knocks, and no front is granted anything.
            Output::AskList | Output::Entry { .. } | Output::Discard(_) | Output::Grant { .. } => {}
        }
    }

    pub(crate) fn may_leave(&self, ticket: cedarpulley_router::Ticket) -> bool {
        self.router.borrow().may_leave(self.clock.now(), ticket)
    }

    pub(crate) fn address(&self, worker: WorkerIx) -> Option<SocketAddr> {
        let router = self.router.borrow();
        self.addresses.borrow().get(router.worker_name(worker)?).copied()
    }

    /// News of the list, in the core's terms.
    pub(crate) fn tell(self: &Rc<Self>, news: News) {
        let wall_at_zero = self.clock.wall() - self.clock.now();
        let listed = |w: &Named| Listed {
            address: w.id.clone(),
            zone: w.zone,
            kind: w.kind,
            cell: w.cell,
            standing: w.standing,
            weight: w.weight,
            started: w.started.map(|s| s - wall_at_zero),
        };
        // Before the core hears of them: it may send at once.
        for worker in &news.workers {
            let Some(address) = worker.address.filter(|_| worker.standing != Standing::Gone) else {
                continue;
            };
            let before = self.addresses.borrow_mut().insert(worker.id.clone(), address);
            if before.is_some_and(|b| b != address) {
                self.retire(&worker.id);
            }
        }
        let named = |id: &String| news.workers.iter().any(|w| w.id == *id && w.standing != Standing::Gone);
        let gone: Vec<String> = match news.mode {
            ListMode::Changes => {
                let gone = news.workers.iter().filter(|w| w.standing == Standing::Gone);
                gone.map(|w| w.id.clone()).collect()
            }
            _ => self.addresses.borrow().keys().filter(|id| !named(id)).cloned().collect(),
        };
        for id in &gone {
            self.retire(id);
            self.addresses.borrow_mut().remove(id);
        }
        let workers = news.workers.iter().map(listed).collect();
        self.feed(Input::List { mode: news.mode, workers });
    }

    /// What is open to this worker takes nothing more.
    fn retire(&self, id: &str) {
        if let Some(worker) = self.router.borrow().worker_ix(id) {
            self.links.retire(worker);
        }
    }

    /// New requests are no longer taken: they crossed the order to stop by more than the protocol allows.
    pub(crate) fn refuses(&self) -> bool {
        self.stopping.get().is_some_and(|since| self.clock.now() - since > STILL_TAKES)
    }

    pub(crate) fn stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    async fn timers(self: Rc<Self>) {
        loop {
            let due = self.due.get();
            let wait = async {
                match due {
                    Micros::MAX => std::future::pending().await,
                    due => {
                        Timer::at(self.clock.instant(due)).await;
                    }
                }
                true
            };
            let rung = async {
                self.timer.heard().await;
                false
            };
            if wait.or(rung).await {
                self.due.set(Micros::MAX);
                self.feed(Input::Tick);
            }
        }
    }

    async fn sweep(self: Rc<Self>) {
        loop {
            Timer::after(SWEEP).await;
            self.front.sweep(&self);
            self.links.sweep(&self);
        }
    }

    /// Goes on serving for a while, then answers what was taken, and leaves.
    async fn stop(self: &Rc<Self>, longest: Micros) {
        let since = self.clock.now();
        self.stopping.set(Some(since));
        tracing::info!("stopping");
        let until = since + STILL_TAKES + longest + STOP_MARGIN;
        loop {
            Timer::after(STOP_LOOK).await;
            let open = self.router.borrow().open() > 0 || self.front.owes();
            if self.clock.now() > until || self.refuses() && !open {
                break;
            }
        }
        tracing::info!(counts = ?self.router.borrow().counts, refused = ?self.front.refused(), "stopped");
    }
}

fn told(name: &str) -> Result<String, String> {
    std::env::var(name).map_err(|_| format!("{name} is not set"))
}

/// Runs one router until it is told to stop. An error is one line with the cause.
pub fn run() -> Result<(), String> {
    // Before anything else: a signal that comes while the router starts must not end it.
    let mut signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(|e| format!("signals: {e}"))?;
    let path = PathBuf::from(told("BALANCER_CONFIG")?);
    let at = told("BALANCER_LISTEN")?;
    let address: SocketAddr = at.parse().map_err(|_| format!("BALANCER_LISTEN '{at}' is not an address"))?;
    let read = || std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()));
    let start = Start::read(&read()?).map_err(|e| format!("{}: {e:#}", path.display()))?;
    let Start { seed, limits, channel, known, birth, names, links, largest_mb } = start;
    let clock = Clock::start();
    let executor = Rc::new(LocalExecutor::new());
    let longest = birth.triggers.iter().map(|t| t.client_timeout).max().unwrap_or(0);
    let terms = Terms {
        answer_margin: birth.fleet.granularity,
        clock_margin: 0,
        memory_bytes: (limits.memory_mb * f64::from(1 << 20) / BODIES_PART) as u64,
        front_weights: vec![1.0],
        account_shares: birth.accounts.iter().map(|a| a.share).collect(),
        order_answered_within: birth.loads.order_answered_within,
        module_alone: true,
        drain_grace: birth.rules.drain_grace,
    };
    let tokened = |t: &TriggerType| matches!(t.effect, Effect::Tokened { .. });
    let asked = clients::Terms {
        names: names.clone(),
        triggers: birth
            .triggers
            .iter()
            .map(|t| (t.client_timeout + birth.rules.answer_slack, tokened(t)))
            .collect(),
        largest_mb,
    };
    let (callers, conns) = descriptors(limits.sockets);
    let berths = Berths::new(conns, links.streams, links.idle_kept, links.connect_within);
    let node = Rc::new(Node {
        clock,
        executor: executor.clone(),
        router: RefCell::new(Router::new(birth.control(seed), birth.triggers.clone(), terms)),
        inputs: RefCell::default(),
        feeding: Cell::new(false),
        due: Cell::new(Micros::MAX),
        timer: Bell::default(),
        front: Front::new(asked, Doorkeeper::new(callers)),
        links: Links::new(berths, links.connect_within),
        names,
        fields: birth.fields.clone(),
        crowds: birth.loads.crowds,
        addresses: RefCell::default(),
        channel: Cell::new(channel),
        channel_moved: Bell::default(),
        follower: RefCell::default(),
        stopping: Cell::new(None),
    });
    let news = node.follower.borrow_mut().batch(&known, &node.names);
    for news in news.map_err(|e| format!("{}: known: {e:#}", path.display()))? {
        node.tell(news);
    }
    let listener = listen(address).map_err(|e| format!("BALANCER_LISTEN {address}: {e}"))?;
    async_io::block_on(executor.run(async {
        executor.spawn(node.clone().timers()).detach();
        executor.spawn(node.clone().sweep()).detach();
        executor.spawn(channel::follow(node.clone())).detach();
        executor.spawn(crate::front::accept(node.clone(), listener)).detach();
        tracing::info!(%address, "running");
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Hup) => {
                    match read().and_then(|text| channel_of(&text).map_err(|e| format!("{e:#}"))) {
                        Ok(channel) => {
                            tracing::info!(%channel, "the configuration was read again");
                            node.channel.set(channel);
                            node.channel_moved.ring();
                        }
                        // The old one stays in force.
                        Err(why) => tracing::warn!(why, "the configuration could not be read again"),
                    }
                }
                _ => break,
            }
        }
        node.stop(longest).await;
    }));
    Ok(())
}

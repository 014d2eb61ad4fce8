//! [`run`]: one router until it is told to stop, all on one thread.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use cedarpulley::interface::{Effect, Micros, TriggerType, WorkerIx};
use cedarpulley_birth::{Names, ReportField};
use cedarpulley_errors::Remedy;
use cedarpulley_net::{Alarm, Bell, Clock, Stream, listen};
use cedarpulley_platform::berths::Berths;
use cedarpulley_platform::bounds::Bounds;
use cedarpulley_platform::channel::{Batch, Follower, News, Unread};
use cedarpulley_platform::clients;
use cedarpulley_platform::config::{Start, Unfit, channel_of};
use cedarpulley_platform::doorkeeper::Doorkeeper;
use cedarpulley_platform::stopping::Stopping;
use cedarpulley_router::{Input, OrderTicket, Output, Router, Terms, Ticket};
use futures_lite::StreamExt;
use thiserror::Error;

use crate::channel;
use crate::front::{self, Front};
use crate::links::Links;

/// How often connections whose time is over are looked for.
const SWEEP: Duration = Duration::from_millis(50);
/// A router that stops looks this often whether it may leave.
const STOP_LOOK: Duration = Duration::from_millis(10);
/// One piece read at a time: several short requests or answers, a long one in a few.
pub(crate) const PIECE: usize = 16 << 10;

pub struct Node {
    pub(crate) clock: Clock,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    router: RefCell<Router>,
    inputs: RefCell<VecDeque<Input>>,
    feeding: Cell<bool>,
    alarm: Alarm,
    pub(crate) front: Front,
    pub(crate) links: Links,
    pub(crate) names: Names,
    pub(crate) fields: Vec<ReportField>,
    pub(crate) crowds: bool,
    pub(crate) channel: Cell<SocketAddr>,
    pub(crate) channel_moved: Bell,
    pub(crate) follower: RefCell<Follower>,
    pub(crate) stopping: RefCell<Stopping>,
    /// All connections read into it, one after the other.
    piece: RefCell<Vec<u8>>,
}

/// What a connection had to read.
pub(crate) enum Had<T> {
    Bytes(T),
    Nothing,
    Ended,
}

impl Node {
    /// Hands the core what happened and carries out what it wants. What happens meanwhile waits its turn.
    pub(crate) fn feed(self: &Rc<Self>, input: Input) {
        // Answers to others are carried out before this returns: a book left open here would be opened twice.
        debug_assert!(self.front.is_shut() && self.links.is_shut(), "fed with a book open");
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
            self.alarm.set(due);
            for output in outputs.drain(..) {
                self.carry_out(output);
            }
        }
        self.feeding.set(false);
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        match output {
            Output::Answer { delivery, answer } => self.front.answer(self, delivery, answer),
            Output::Send { ticket, worker, function, trigger, call, .. } => {
                self.links.call(self, ticket, worker, function, trigger, call);
            }
            Output::Withdraw(ticket) => self.links.withdraw(self, ticket),
            Output::Order { ticket, function, copies, within, .. } => {
                self.links.order(self, ticket, &function, copies, within);
            }
            Output::Unload { worker, function, .. } => self.links.unload(self, worker, &function),
            Output::Probe { worker } => self.links.probe(self, worker),
            // The channel is followed all the time; nothing here knocks, no front is granted anything, and routers of
            // the platform share nothing.
            Output::AskList
            | Output::Entry { .. }
            | Output::Discard(_)
            | Output::Grant { .. }
            | Output::Group(_) => {}
        }
    }

    pub(crate) fn may_leave(&self, ticket: Ticket) -> bool {
        self.router.borrow().may_leave(self.clock.now(), ticket)
    }

    pub(crate) fn order_may_leave(&self, ticket: OrderTicket) -> bool {
        self.router.borrow().order_may_leave(self.clock.now(), ticket)
    }

    pub(crate) fn address(&self, worker: WorkerIx) -> Option<SocketAddr> {
        self.follower.borrow().address(self.router.borrow().worker_name(worker)?)
    }

    /// What the channel tells. `late`: it was not heard right before.
    pub(crate) fn follow(self: &Rc<Self>, batch: &Batch, late: bool) -> Result<(), Unread> {
        let wall_at_zero = self.clock.wall() - self.clock.now();
        let news = self.follower.borrow_mut().batch(batch, &self.names, wall_at_zero, late)?;
        news.into_iter().for_each(|news| self.tell(news));
        Ok(())
    }

    fn tell(self: &Rc<Self>, news: News) {
        for id in &news.retired {
            if let Some(worker) = self.router.borrow().worker_ix(id) {
                self.links.retire(worker);
            }
        }
        self.feed(Input::List { mode: news.mode, workers: news.workers });
    }

    /// Reads once from a connection that is ready.
    pub(crate) fn read<T>(&self, stream: &Stream, take: impl FnOnce(&[u8]) -> T) -> Had<T> {
        let mut piece = self.piece.borrow_mut();
        match stream.get_ref().read(&mut piece) {
            Ok(0) => Had::Ended,
            Ok(n) => Had::Bytes(take(&piece[..n])),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Had::Nothing,
            Err(_) => Had::Ended,
        }
    }

    async fn timers(self: Rc<Self>) {
        loop {
            self.alarm.rings(&self.clock).await;
            self.feed(Input::Tick);
        }
    }

    async fn sweep(self: Rc<Self>) {
        loop {
            Timer::after(SWEEP).await;
            self.front.sweep(&self);
            self.links.sweep(&self);
        }
    }

    /// Until whoever stops it may let it go.
    async fn stop(self: &Rc<Self>) {
        self.stopping.borrow_mut().told(self.clock.now());
        tracing::info!("stopping");
        loop {
            Timer::after(STOP_LOOK).await;
            let open = self.router.borrow().open() > 0 || self.front.owes();
            if self.stopping.borrow_mut().leaves(self.clock.now(), open) {
                break;
            }
        }
        let (router, follower) = (self.router.borrow(), self.follower.borrow());
        let list = (follower.repeated, follower.left_out);
        tracing::info!(counts = ?router.counts, clients = ?self.front.counts(), "stopped");
        tracing::info!(full_links = self.links.full(), ?list, "stopped");
    }
}

/// Why no router runs.
#[derive(Debug, Error)]
pub enum Unstarted {
    #[error("signals cannot be heard")]
    Signals(#[source] io::Error),
    #[error("{name} is not set")]
    Untold { name: &'static str },
    #[error("BALANCER_LISTEN '{at}' is not an address")]
    Address { at: String },
    #[error("BALANCER_LISTEN {address}: it cannot be listened at")]
    Listen { address: SocketAddr, source: io::Error },
    #[error("{path}: it cannot be read")]
    File { path: String, source: io::Error },
    #[error("{path}")]
    Config { path: String, source: Unfit },
    #[error("{path}: known")]
    Known { path: String, source: Unread },
}

impl Remedy for Unstarted {
    fn remedy(&self) -> &'static str {
        match self {
            Unstarted::Signals(_) => "see that the system has descriptors left",
            Unstarted::Untold { .. } => {
                "set BALANCER_CONFIG to the configuration's file, BALANCER_LISTEN to IP:PORT"
            }
            Unstarted::Address { .. } => "set BALANCER_LISTEN to an IP address and a port",
            Unstarted::Listen { .. } => {
                "set BALANCER_LISTEN to an address of this machine that nobody else has"
            }
            Unstarted::File { .. } => "see that BALANCER_CONFIG names a file that may be read",
            Unstarted::Config { source, .. } => source.remedy(),
            Unstarted::Known { source, .. } => source.remedy(),
        }
    }
}

fn told(name: &'static str) -> Result<String, Unstarted> {
    std::env::var(name).map_err(|_| Unstarted::Untold { name })
}

/// Runs one router until it is told to stop.
pub fn run() -> Result<(), Unstarted> {
    // Before anything else: a signal that comes while the router starts must not end it.
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let mut signals = signals.map_err(Unstarted::Signals)?;
    let path = PathBuf::from(told("BALANCER_CONFIG")?);
    let at = told("BALANCER_LISTEN")?;
    let address: SocketAddr = at.parse().map_err(|_| Unstarted::Address { at })?;
    let named = || path.display().to_string();
    let read = || std::fs::read_to_string(&path).map_err(|source| Unstarted::File { path: named(), source });
    let unfit = |source| Unstarted::Config { path: named(), source };
    let start = Start::read(&read()?).map_err(unfit)?;
    let Start { seed, limits, channel, known, birth, fields, names, links, largest_mb } = start;
    let clock = Clock::start();
    let executor = Rc::new(LocalExecutor::new());
    let longest = birth.triggers.iter().map(|t| t.client_timeout).max().unwrap_or(0);
    let bounds = Bounds::of(limits);
    let terms = Terms {
        answer_margin: birth.fleet.granularity,
        clock_margin: 0,
        memory_bytes: bounds.body_bytes,
        front_weights: vec![1.0],
        account_shares: birth.accounts.iter().map(|a| a.share).collect(),
        order_answered_within: birth.loads.order_answered_within,
        module_alone: true,
        sharing: None,
        drain_grace: birth.rules.drain_grace,
    };
    let tokened = |t: &TriggerType| matches!(t.effect, Effect::Tokened { .. });
    let asked = |t: &TriggerType| (t.client_timeout + birth.rules.answer_slack, tokened(t));
    let asked = birth.triggers.iter().map(asked).collect();
    let asked = clients::Terms { names: names.clone(), triggers: asked, largest_mb };
    let berths = Berths::new(bounds.workers, links.streams, links.idle_kept, links.connect_within);
    let node = Rc::new(Node {
        clock,
        executor: executor.clone(),
        router: RefCell::new(Router::new(birth.control(seed), birth.triggers.clone(), terms)),
        inputs: RefCell::default(),
        feeding: Cell::new(false),
        alarm: Alarm::default(),
        front: Front::new(asked, Doorkeeper::new(bounds.clients)),
        links: Links::new(berths, links.connect_within),
        names,
        fields,
        crowds: birth.loads.crowds,
        channel: Cell::new(channel),
        channel_moved: Bell::default(),
        follower: RefCell::default(),
        stopping: RefCell::new(Stopping::new(longest)),
        piece: RefCell::new(vec![0; PIECE]),
    });
    node.follow(&known, true).map_err(|source| Unstarted::Known { path: named(), source })?;
    let listener = listen(address).map_err(|source| Unstarted::Listen { address, source })?;
    let read_again = || match read().and_then(|text| channel_of(&text).map_err(unfit)) {
        Ok(channel) => {
            tracing::info!(%channel, "the configuration was read again");
            node.channel.set(channel);
            node.channel_moved.ring();
        }
        // The old one stays in force.
        Err(why) => tracing::warn!(why = why.line(), "the configuration could not be read again"),
    };
    async_io::block_on(executor.run(async {
        executor.spawn(node.clone().timers()).detach();
        executor.spawn(node.clone().sweep()).detach();
        executor.spawn(channel::follow(node.clone(), seed)).detach();
        executor.spawn(front::accept(node.clone(), listener)).detach();
        tracing::info!(%address, "running");
        while let Some(Ok(Signal::Hup)) = signals.next().await {
            read_again();
        }
        node.stop().await;
    }));
    Ok(())
}

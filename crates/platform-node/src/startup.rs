//! [`run`]: starts one router from its environment, and runs it until it is told to stop, all on one thread.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use async_signal::{Signal, Signals};
use cedarpulley::interface::{Effect, TriggerType};
use cedarpulley_errors::Remedy;
use cedarpulley_net::{Alarm, Bell, Clock, listen};
use cedarpulley_platform::client_protocol::{RequestRules, TriggerRules};
use cedarpulley_platform::config::{ConfigError, Start, discovery_address_of};
use cedarpulley_platform::connection_limiter::ConnectionLimiter;
use cedarpulley_platform::connection_pool::ConnectionPool;
use cedarpulley_platform::discovery::{DiscoveryError, EventBatch, WorkerListFollower};
use cedarpulley_platform::event_loop_lag::EventLoopLag;
use cedarpulley_platform::graceful_shutdown::GracefulShutdown;
use cedarpulley_platform::resource_limits::ResourceLimits;
use cedarpulley_router::{Router, Terms};
use cedarpulley_startup::StartupSettings;
use thiserror::Error;

use crate::client_connections::{self, ClientConnections};
use crate::node::{Node, PIECE, SWEEP_PERIOD};
use crate::worker_connections::WorkerConnections;
use crate::{discovery, shutdown, signals};

/// Why no router runs.
#[derive(Debug, Error)]
pub enum StartError {
    #[error("signals cannot be heard")]
    Signals(#[source] io::Error),
    #[error("{name} is not set")]
    NotSet { name: &'static str },
    #[error("BALANCER_LISTEN '{at}' is not an address")]
    Address { at: String },
    #[error("BALANCER_LISTEN {address}: it cannot be listened at")]
    Listen {
        address: SocketAddr,
        source: io::Error,
    },
    #[error("{path}: it cannot be read")]
    File { path: String, source: io::Error },
    #[error("{path}")]
    Config { path: String, source: ConfigError },
    #[error("{path}: known")]
    Known {
        path: String,
        source: DiscoveryError,
    },
}

impl Remedy for StartError {
    fn remedy(&self) -> &'static str {
        match self {
            StartError::Signals(_) => "see that the system has descriptors left",
            StartError::NotSet { .. } => {
                "set BALANCER_CONFIG to the configuration's file, BALANCER_LISTEN to IP:PORT"
            }
            StartError::Address { .. } => "set BALANCER_LISTEN to an IP address and a port",
            StartError::Listen { .. } => {
                "set BALANCER_LISTEN to an address of this machine that nobody else has"
            }
            StartError::File { .. } => "see that BALANCER_CONFIG names a file that may be read",
            StartError::Config { source, .. } => source.remedy(),
            StartError::Known { source, .. } => source.remedy(),
        }
    }
}

type Result<T> = std::result::Result<T, StartError>;

fn variable(name: &'static str) -> Result<String> {
    std::env::var(name).map_err(|_| StartError::NotSet { name })
}

/// The configuration's file; it may be replaced while the router runs.
pub struct ConfigFile {
    path: PathBuf,
}

impl ConfigFile {
    fn name(&self) -> String {
        self.path.display().to_string()
    }

    fn text(&self) -> Result<String> {
        std::fs::read_to_string(&self.path).map_err(|source| StartError::File {
            path: self.name(),
            source,
        })
    }

    fn error(&self, source: ConfigError) -> StartError {
        StartError::Config {
            path: self.name(),
            source,
        }
    }

    fn read(&self) -> Result<Start> {
        Start::read(&self.text()?).map_err(|source| self.error(source))
    }

    /// The discovery channel's address, as the file has it now.
    pub fn discovery_address(&self) -> Result<SocketAddr> {
        discovery_address_of(&self.text()?).map_err(|source| self.error(source))
    }
}

/// Runs one router until it is told to stop.
pub fn run() -> Result<()> {
    // Before anything else: a signal that comes while the router starts must not end it.
    let signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(StartError::Signals)?;
    let file = ConfigFile {
        path: PathBuf::from(variable("BALANCER_CONFIG")?),
    };
    let at = variable("BALANCER_LISTEN")?;
    let address: SocketAddr = at.parse().map_err(|_| StartError::Address { at })?;
    let start = file.read()?;
    let (seed, known) = (start.seed, start.known.clone());
    let node = new_node(start);
    follow_known(&node, &known, &file)?;
    let listener = listen(address).map_err(|source| StartError::Listen { address, source })?;
    async_io::block_on(node.executor.clone().run(serve(
        node,
        Rc::new(listener),
        signals,
        file,
        seed,
    )));
    Ok(())
}

fn follow_known(node: &Rc<Node>, known: &EventBatch, file: &ConfigFile) -> Result<()> {
    // What the configuration knew may have been told long ago.
    let unheard_for = cedarpulley::interface::Micros::MAX;
    node.follow(known, unheard_for)
        .map_err(|source| StartError::Known {
            path: file.name(),
            source,
        })
}

async fn serve(
    node: Rc<Node>,
    listener: Rc<Async<TcpListener>>,
    signals: Signals,
    file: ConfigFile,
    seed: u64,
) {
    let executor = node.executor.clone();
    let stop = Bell::default();
    node.caught_up();
    executor.spawn(node.clone().timers()).detach();
    executor.spawn(node.clone().sweep()).detach();
    executor
        .spawn(discovery::follow(node.clone(), seed))
        .detach();
    executor
        .spawn(client_connections::accept_clients(
            node.clone(),
            listener.clone(),
        ))
        .detach();
    executor
        .spawn(signals::listen(node.clone(), signals, file, stop.clone()))
        .detach();
    tracing::info!("running");
    stop.heard().await;
    shutdown::shut_down(&node, &listener).await;
    node.log_counts();
}

fn router_terms(settings: &StartupSettings, limits: ResourceLimits) -> Terms {
    Terms {
        answer_margin: settings.fleet.granularity,
        clock_margin: 0,
        memory_bytes: limits.body_bytes,
        front_weights: vec![1.0],
        account_shares: settings
            .accounts
            .iter()
            .map(|account| account.share)
            .collect(),
        order_answered_within: settings.loads.order_timeout,
        module_alone: true,
        sharing: None,
        drain_grace: settings.rules.drain_grace,
    }
}

fn trigger_rules(trigger: &TriggerType, settings: &StartupSettings) -> TriggerRules {
    TriggerRules {
        longest_wait: trigger.client_timeout + settings.rules.answer_slack,
        needs_token: matches!(trigger.effect, Effect::IdempotentByKey { .. }),
    }
}

fn new_node(start: Start) -> Rc<Node> {
    let settings = start.settings;
    let limits = ResourceLimits::of(start.limits);
    let longest_deadline = settings
        .triggers
        .iter()
        .map(|t| t.client_timeout)
        .max()
        .unwrap_or(0);
    let rules = RequestRules {
        names: start.names.clone(),
        triggers: settings
            .triggers
            .iter()
            .map(|t| trigger_rules(t, &settings))
            .collect(),
        largest_mb: start.largest_mb,
    };
    let links = start.links;
    let pool = ConnectionPool::new(
        limits.workers,
        links.streams,
        links.idle_kept,
        links.connect_within,
    );
    let router = Router::new(
        settings.balancer(start.seed),
        settings.triggers.clone(),
        router_terms(&settings, limits),
    );
    let clock = Clock::start();
    let sweep_period = SWEEP_PERIOD.as_micros() as cedarpulley::interface::Micros;
    Rc::new(Node {
        clock,
        executor: Rc::new(LocalExecutor::new()),
        router: RefCell::new(router),
        inputs: RefCell::new(VecDeque::new()),
        feeding: Cell::new(false),
        alarm: Alarm::default(),
        clients: ClientConnections::new(rules, ConnectionLimiter::new(limits.clients)),
        workers: WorkerConnections::new(pool, links.connect_within),
        names: start.names,
        fields: start.fields,
        crowds: settings.loads.reports_function_load,
        discovery_address: Cell::new(start.channel),
        discovery_moved: Bell::default(),
        worker_list: RefCell::new(WorkerListFollower::new(settings.rules.drain_grace)),
        shutdown: RefCell::new(GracefulShutdown::new(longest_deadline)),
        event_loop_lag: Cell::new(EventLoopLag::new(sweep_period, clock.now())),
        piece: RefCell::new(vec![0; PIECE]),
    })
}

//! [`run`]: starts one router from its environment, and runs it until it is told to stop, all on one thread.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;

use async_io::Async;
use async_signal::{Signal, Signals};
use cedarpulley::interface::{Effect, Micros, TriggerType};
use cedarpulley_errors::Remedy;
use cedarpulley_net::{Clock, Notifier, listen};
use cedarpulley_platform::client_protocol::{RequestRules, TriggerRules};
use cedarpulley_platform::config::{ConfigError, StartupConfig};
use cedarpulley_platform::connection_limiter::ConnectionLimiter;
use cedarpulley_platform::connection_pool::ConnectionPool;
use cedarpulley_platform::discovery::{DiscoveryError, WorkerListFollower};
use cedarpulley_platform::graceful_shutdown::GracefulShutdown;
use cedarpulley_platform::resource_limits::ResourceLimits;
use cedarpulley_router::{CoreSettings, Router};
use cedarpulley_startup::StartupSettings;
use thiserror::Error;

use crate::client_connections::{ClientConnections, accept_clients};
use crate::config_file::ConfigFile;
use crate::discovery::{self, Discovery};
use crate::node::{Node, NodeParts};
use crate::shutdown;
use crate::signals::handle_signals;
use crate::worker_connections::{WorkerConnections, WorkerProtocol};

/// Why no router runs.
#[derive(Debug, Error)]
pub enum StartError {
    /// The process cannot handle signals.
    #[error("signals cannot be heard")]
    Signals(#[source] io::Error),
    /// An environment variable is missing.
    #[error("{name} is not set")]
    NotSet {
        /// The variable.
        name: &'static str,
    },
    /// The address to listen at is malformed.
    #[error("BALANCER_LISTEN '{at}' is not an address")]
    Address {
        /// The text given.
        at: String,
    },
    /// The address cannot be listened at.
    #[error("BALANCER_LISTEN {address}: it cannot be listened at")]
    Listen {
        /// The address given.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The configuration file cannot be read.
    #[error("{path}: it cannot be read")]
    File {
        /// The file's path.
        path: String,
        /// The system's error.
        source: io::Error,
    },
    /// The configuration is invalid.
    #[error("{path}")]
    Config {
        /// The file's path.
        path: String,
        /// What is invalid.
        source: ConfigError,
    },
    /// The events of discovery in the configuration are invalid.
    #[error("{path}: known")]
    InitialEvents {
        /// The file's path.
        path: String,
        /// What is invalid.
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
            StartError::InitialEvents { source, .. } => source.remedy(),
        }
    }
}

type Result<T> = std::result::Result<T, StartError>;

/// Runs one router until it is told to stop.
pub fn run() -> Result<()> {
    // Before anything else: a signal that arrives while the router starts must not end the process.
    let signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(StartError::Signals)?;
    let file = ConfigFile::new(PathBuf::from(variable("BALANCER_CONFIG")?));
    let address = listen_address()?;
    let start = file.read()?;
    let (seed, initial_events) = (start.seed, start.initial_events.clone());
    let clock = Clock::start();
    let node = Rc::new(Node::new(clock, node_parts(start, clock.now())));
    // The events in the configuration may be of any age.
    node.apply_events(&initial_events, Micros::MAX)
        .map_err(|source| file.invalid_events(source))?;
    // They may be out of date: the lease begins with discovery's first answer.
    node.renew_list_lease(clock.now());
    let listener = listen(address).map_err(|source| StartError::Listen { address, source })?;
    node.block_on(serve(node.clone(), Rc::new(listener), signals, file, seed));
    Ok(())
}

fn variable(name: &'static str) -> Result<String> {
    std::env::var(name).map_err(|_| StartError::NotSet { name })
}

fn listen_address() -> Result<SocketAddr> {
    let at = variable("BALANCER_LISTEN")?;
    at.parse().map_err(|_| StartError::Address { at })
}

async fn serve(
    node: Rc<Node>,
    listener: Rc<Async<TcpListener>>,
    signals: Signals,
    file: ConfigFile,
    seed: u64,
) {
    let stop = Notifier::default();
    node.reset_lag();
    node.spawn(node.clone().run_timers());
    node.spawn(node.clone().run_sweeps());
    node.spawn(discovery::follow(node.clone(), seed));
    node.spawn(accept_clients(node.clone(), listener.clone()));
    node.spawn(handle_signals(node.clone(), signals, file, stop.clone()));
    tracing::info!("running");
    stop.notified().await;
    shutdown::shut_down(&node, &listener).await;
    node.log_counts();
}

fn node_parts(start: StartupConfig, now: Micros) -> NodeParts {
    let settings = &start.settings;
    let limits = ResourceLimits::of(start.limits);
    let connections = start.worker_connections;
    let pool = ConnectionPool::new(
        limits.workers,
        connections.max_streams,
        connections.keepalive,
        connections.connect_timeout,
    );
    let protocol = WorkerProtocol {
        trigger_names: start.names.triggers.clone(),
        report_fields: start.report_fields.clone(),
        reports_function_load: settings.loads.reports_function_load,
        connect_timeout: connections.connect_timeout,
        health_checks: settings.limits.probes,
    };
    let worker_list = WorkerListFollower::new(settings.rules.drain_grace);
    NodeParts {
        router: Router::new(
            settings.balancer(start.seed),
            settings.triggers.clone(),
            router_settings(settings, limits),
        ),
        clients: ClientConnections::new(
            request_rules(&start),
            ConnectionLimiter::new(limits.clients),
        ),
        workers: WorkerConnections::new(protocol, pool),
        shutdown: GracefulShutdown::new(longest_deadline(settings)),
        discovery: Discovery::new(start.discovery_address, start.names, worker_list, now),
    }
}

fn router_settings(settings: &StartupSettings, limits: ResourceLimits) -> CoreSettings {
    CoreSettings {
        answer_margin: settings.fleet.granularity,
        clock_margin: 0,
        memory_bytes: limits.body_bytes,
        front_weights: vec![1.0],
        account_shares: settings
            .accounts
            .iter()
            .map(|account| account.share)
            .collect(),
        order_timeout: settings.loads.order_timeout,
        balancer_only: true,
        replication: None,
        drain_grace: settings.rules.drain_grace,
    }
}

fn request_rules(start: &StartupConfig) -> RequestRules {
    let settings = &start.settings;
    let triggers = settings.triggers.iter();
    RequestRules {
        names: start.names.clone(),
        triggers: triggers
            .map(|trigger| trigger_rules(trigger, settings))
            .collect(),
        largest_machine_mb: start.largest_machine_mb,
    }
}

fn trigger_rules(trigger: &TriggerType, settings: &StartupSettings) -> TriggerRules {
    TriggerRules {
        max_client_timeout: trigger.client_timeout + settings.rules.answer_slack,
        needs_idempotency_key: matches!(trigger.effect, Effect::IdempotentByKey { .. }),
    }
}

fn longest_deadline(settings: &StartupSettings) -> Micros {
    let triggers = settings.triggers.iter();
    triggers
        .map(|trigger| trigger.client_timeout)
        .max()
        .unwrap_or(0)
}

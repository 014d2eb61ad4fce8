//! [`run`]: starts a router with the settings that its environment variables name, and runs it on one thread until a
//! signal stops it.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use async_signal::{Signal, Signals};
use cedarpulley::interface::{Effect, Micros, StateLimits, TriggerType};
use cedarpulley_errors::Remedy;
use cedarpulley_net::{Clock, Notifier, listen};
use cedarpulley_platform::client_protocol::{RequestRules, TriggerRules};
use cedarpulley_platform::config::{ConfigError, StartupConfig};
use cedarpulley_platform::connection_limiter::ConnectionLimiter;
use cedarpulley_platform::connection_pool::ConnectionPool;
use cedarpulley_platform::discovery::{DiscoveryError, WorkerListFollower};
use cedarpulley_platform::graceful_shutdown::GracefulShutdown;
use cedarpulley_platform::loop_activity::TaskOwner;
use cedarpulley_platform::memory_share::MemoryShare;
use cedarpulley_platform::request_ids::RequestIds;
use cedarpulley_platform::resource_limits::ResourceLimits;
use cedarpulley_router::{CoreSettings, Router};
use cedarpulley_startup::StartupSettings;
use futures_lite::FutureExt;
use rustix::process::{Resource, getrlimit};
use thiserror::Error;

use crate::client_connections::{ClientConnections, ClientListener, ClientMemory};
use crate::config_file::ConfigFile;
use crate::discovery::{self, Discovery};
use crate::node::{Node, NodeParts};
use crate::shutdown;
use crate::signals::handle_signals;
use crate::worker_connections::{WorkerConnections, WorkerProtocol};

/// Longest time for which clients wait at the start for the first poll of discovery.
const MAX_FIRST_POLL_TIME: Duration = Duration::from_millis(500);

/// The reason for which a router cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The process cannot install its signal handlers.
    #[error("signal handlers cannot be installed")]
    Signals(#[source] io::Error),
    /// An environment variable is missing.
    #[error("{name} is not set")]
    NotSet {
        /// The variable's name.
        name: &'static str,
    },
    /// `BALANCER_LISTEN` is not an IP address with a port.
    #[error("BALANCER_LISTEN '{at}' is not an IP address with a port")]
    Address {
        /// The variable's value.
        at: String,
    },
    /// The router cannot listen at the address.
    #[error("BALANCER_LISTEN {address}: cannot listen at this address")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The configuration file cannot be read.
    #[error("{path}: cannot read the file")]
    File {
        /// The file's path.
        path: String,
        /// The error of the operating system.
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
    /// The initial discovery events in the configuration (`known`) are invalid.
    #[error("{path}: invalid events in 'known'")]
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
            StartError::Signals(_) => "check that the process can open more file descriptors",
            StartError::NotSet { .. } => {
                "set BALANCER_CONFIG to the path of the configuration file, BALANCER_LISTEN to IP:PORT"
            }
            StartError::Address { .. } => "set BALANCER_LISTEN to an IP address and a port",
            StartError::Listen { .. } => {
                "set BALANCER_LISTEN to an address of this machine that no other process uses"
            }
            StartError::File { .. } => "check that BALANCER_CONFIG is the path of a readable file",
            StartError::Config { source, .. } => source.remedy(),
            StartError::InitialEvents { source, .. } => source.remedy(),
        }
    }
}

type Result<T> = std::result::Result<T, StartError>;

/// Starts a router, and runs it until its graceful shutdown, which SIGTERM or SIGINT starts, is complete.
pub fn run() -> Result<()> {
    // The handlers are installed first: a signal that arrives while the router starts must not end the process.
    let signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(StartError::Signals)?;
    let file = ConfigFile::new(PathBuf::from(env_variable("BALANCER_CONFIG")?));
    let address = listen_address()?;
    let config = file.read()?;
    let (seed, initial_events) = (config.seed, config.initial_events.clone());
    let clock = Clock::start();
    let node = Rc::new(Node::new(clock, node_parts(config, clock.now())));
    // The initial events may have happened at any time in the past.
    node.apply_events(&initial_events, Micros::MAX)
        .map_err(|source| file.initial_events_error(source))?;
    // The list from the initial events may be out of date, so its lease ends now; the first response of discovery
    // renews it.
    node.renew_list_lease(clock.now());
    node.renew_drain_lease();
    let listener = listen(address).map_err(|source| StartError::Listen { address, source })?;
    let listener = Rc::new(ClientListener::new(listener));
    node.block_on(serve(node.clone(), listener, signals, file, seed));
    Ok(())
}

fn env_variable(name: &'static str) -> Result<String> {
    std::env::var(name).map_err(|_| StartError::NotSet { name })
}

fn listen_address() -> Result<SocketAddr> {
    let at = env_variable("BALANCER_LISTEN")?;
    at.parse().map_err(|_| StartError::Address { at })
}

/// Runs all tasks of the router, and returns when its shutdown is complete.
async fn serve(
    node: Rc<Node>,
    listener: Rc<ClientListener>,
    signals: Signals,
    file: ConfigFile,
    seed: u64,
) {
    let stop = Notifier::default();
    node.reset_lag();
    node.spawn(TaskOwner::Core, node.clone().run_timers());
    node.spawn(TaskOwner::Core, node.clone().run_left_inputs());
    node.spawn(TaskOwner::Sweeping, node.clone().run_sweeps());
    node.spawn(TaskOwner::Discovery, discovery::follow(node.clone(), seed));
    let accepting = accept_clients(node.clone(), listener.clone());
    node.spawn(TaskOwner::Accepting, accepting);
    let handling_signals = handle_signals(node.clone(), signals, file, stop.clone());
    node.spawn(TaskOwner::Signals, handling_signals);
    tracing::info!("running");
    stop.notified().await;
    shutdown::shut_down(&node, &listener).await;
    node.log_counts();
}

/// Accepts clients. Where health checks are not allowed, all new work is refused until discovery has been heard, so
/// clients wait in the listen queue until the first poll has ended.
async fn accept_clients(node: Rc<Node>, listener: Rc<ClientListener>) {
    if !node.allows_health_checks() {
        let limit = async {
            Timer::after(MAX_FIRST_POLL_TIME).await;
        };
        node.discovery.poll_ended().or(limit).await;
    }
    node.log_refusals();
    listener.accept_clients(node).await;
}

fn node_parts(config: StartupConfig, now: Micros) -> NodeParts {
    let limits = ResourceLimits::of(config.limits, process_descriptors(config.limits.sockets));
    let settings = StartupSettings {
        state: StateLimits {
            function_bytes: Some(limits.function_bytes),
        },
        ..config.settings.clone()
    };
    let connections = config.worker_connections;
    let pool = ConnectionPool::new(
        limits.workers,
        connections.max_streams,
        connections.keepalive,
        connections.connect_timeout,
    );
    let protocol = WorkerProtocol {
        trigger_names: config.names.triggers.clone(),
        report_fields: config.report_fields.clone(),
        reports_function_load: settings.loads.reports_function_load,
        connect_timeout: connections.connect_timeout,
        allows_cancellation: settings.limits.cancellation,
    };
    let worker_list = WorkerListFollower::new(settings.rules.drain_grace, limits.listed_workers);
    NodeParts {
        router: Router::new(
            settings.balancer(config.seed),
            settings.triggers.clone(),
            router_settings(&settings, limits),
        ),
        clients: ClientConnections::new(
            request_rules(&config),
            ConnectionLimiter::new(limits.clients),
            ClientMemory::new(limits.buffer_bytes),
            RequestIds::new(limits.id_bytes, longest_client_timeout(&settings)),
        ),
        workers: WorkerConnections::new(protocol, pool, MemoryShare::new(limits.buffer_bytes)),
        shutdown: GracefulShutdown::new(longest_client_timeout(&settings)),
        discovery: Discovery::new(config.discovery_address, config.names, worker_list, now),
    }
}

/// The most descriptors that the operating system lets this process open; `None` if it sets no limit. Logs a limit that
/// is below the configured number.
fn process_descriptors(configured: u64) -> Option<u64> {
    let allowed = getrlimit(Resource::Nofile).current?;
    if allowed < configured {
        tracing::warn!(
            allowed,
            configured,
            "the process may open fewer descriptors than limits.sockets says"
        );
    }
    Some(allowed)
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

fn request_rules(config: &StartupConfig) -> RequestRules {
    let settings = &config.settings;
    let triggers = settings.triggers.iter();
    RequestRules {
        names: config.names.clone(),
        triggers: triggers
            .map(|trigger| trigger_rules(trigger, settings))
            .collect(),
        largest_machine_mb: config.largest_machine_mb,
    }
}

fn trigger_rules(trigger: &TriggerType, settings: &StartupSettings) -> TriggerRules {
    TriggerRules {
        max_client_timeout: trigger.client_timeout + settings.rules.answer_slack,
        needs_idempotency_key: matches!(trigger.effect, Effect::IdempotentByKey { .. }),
    }
}

/// The longest client timeout of all trigger types, in microseconds.
fn longest_client_timeout(settings: &StartupSettings) -> Micros {
    let triggers = settings.triggers.iter();
    triggers
        .map(|trigger| trigger.client_timeout)
        .max()
        .unwrap_or(0)
}

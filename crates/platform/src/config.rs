//! The configuration file of a router, in JSON. [`StartupConfig`] is parsed from its text. When the file is replaced
//! while the router runs, [`discovery_address_of`] reads the only value that may change then.

use std::net::SocketAddr;

use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
pub use cedarpulley_startup::Names;
use cedarpulley_startup::{RawSettings, ReportField, SettingsError, StartupSettings};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::discovery::EventBatch;

/// Why a configuration file is not accepted, at startup or when it replaces an earlier one.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file is not valid JSON, or a part is missing or has the wrong type.
    #[error("the configuration is not valid JSON of the expected form")]
    Malformed(#[from] serde_json::Error),
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The address of the discovery service is malformed.
    #[error("channel '{channel}' is not an IP address with a port")]
    DiscoveryAddress {
        /// The address given, under the key `channel`.
        channel: String,
    },
    /// The settings define no trigger type; the list `services` holds them.
    #[error("the settings name no services")]
    NoTriggers,
    /// A trigger type or an account has no name.
    #[error("setting {path} is missing")]
    MissingName {
        /// The path of the missing setting.
        path: String,
    },
    /// A resource limit is zero, negative or not a number.
    #[error("limits.{which} must be above 0")]
    LimitNotPositive {
        /// The key of the limit.
        which: &'static str,
    },
    /// The seed is malformed.
    #[error("seed {seed} is neither hex digits nor a whole number")]
    Seed {
        /// The value given as the seed.
        seed: Value,
    },
}

impl Remedy for ConfigError {
    fn remedy(&self) -> &'static str {
        match self {
            ConfigError::Malformed(_) => {
                "write seed, limits, channel, known and settings as docs/operate/platform.md describes them"
            }
            ConfigError::Settings(error) => error.remedy(),
            ConfigError::DiscoveryAddress { .. } => "give the channel as an IP address and a port",
            ConfigError::NoTriggers | ConfigError::MissingName { .. } => {
                "give each service and org its name in the settings"
            }
            ConfigError::LimitNotPositive { .. } => {
                "set limits.memory_mb and limits.sockets above 0"
            }
            ConfigError::Seed { .. } => {
                "give the seed as up to 16 hex digits in quotes, or as a whole number"
            }
        }
    }
}

type Result<T> = std::result::Result<T, ConfigError>;

/// The JSON structure of the file. Other keys are ignored.
#[derive(Debug, Deserialize)]
struct File {
    seed: Value,
    limits: Limits,
    #[serde(rename = "channel")]
    discovery_address: String,
    #[serde(rename = "known")]
    initial_events: EventBatch,
    settings: Value,
}

/// The resources that the platform allows one router process.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Number of file descriptors.
    pub sockets: u64,
}

/// The settings of connections to workers.
#[derive(Clone, Copy, Debug)]
pub struct WorkerConnectionSettings {
    /// Most concurrent exchanges on one connection.
    pub max_streams: usize,
    /// Time after which workers close an idle connection, in microseconds.
    pub keepalive: Micros,
    /// Time after which a connection that is not established counts as failed, in microseconds.
    pub connect_timeout: Micros,
}

/// A valid configuration.
#[derive(Debug)]
pub struct StartupConfig {
    /// Seed of the random number generator; each start of a router has another one.
    pub seed: u64,
    /// The resources that the process may use.
    pub limits: Limits,
    /// The address at which the discovery service listens.
    pub discovery_address: SocketAddr,
    /// The watch events that discovery had published when the router was started.
    pub initial_events: EventBatch,
    /// The settings of the balancer.
    pub settings: StartupSettings,
    /// The values in load reports of workers.
    pub report_fields: Vec<ReportField>,
    /// Names of trigger types, accounts, zones and kinds of machine, as they are on the wire.
    pub names: Names,
    /// The settings of connections to workers.
    pub worker_connections: WorkerConnectionSettings,
    /// Memory of the largest machine, in megabytes: a larger copy of a function fits on no worker. It is `f64::MAX` if
    /// the settings give no memory sizes.
    pub largest_machine_mb: f64,
}

/// Concurrent exchanges on a connection to a worker if the settings do not give their number.
const DEFAULT_MAX_STREAMS: f64 = 1.0;
/// Time after which workers close an idle connection if the settings do not give it, in microseconds.
const DEFAULT_KEEPALIVE: Micros = 15_000_000;
/// Time within which a connection must be established if the settings do not give it, in microseconds.
const DEFAULT_CONNECT_TIMEOUT: Micros = 250_000;

impl StartupConfig {
    /// Parses the text of a configuration file.
    pub fn parse(text: &str) -> Result<Self> {
        let file: File = serde_json::from_str(text)?;
        let discovery_address = parse_address(file.discovery_address)?;
        let raw = RawSettings::from_json(&file.settings)?;
        let settings = StartupSettings::read(&raw)?;
        if settings.triggers.is_empty() {
            return Err(ConfigError::NoTriggers);
        }
        check_limits(&file.limits)?;
        let names = Names {
            triggers: names_in(&raw, "services", settings.triggers.len())?,
            accounts: names_in(&raw, "orgs", settings.accounts.len())?,
            zones: raw.list("zones").map(str::to_owned).collect(),
            machine_kinds: raw.list("kinds").map(str::to_owned).collect(),
        };
        let worker_connections = WorkerConnectionSettings::read(&raw, &settings)?;
        Ok(StartupConfig {
            seed: parse_seed(&file.seed)?,
            limits: file.limits,
            discovery_address,
            initial_events: file.initial_events,
            largest_machine_mb: largest_machine_mb(&settings),
            settings,
            report_fields: ReportField::from_settings(&raw),
            names,
            worker_connections,
        })
    }
}

impl WorkerConnectionSettings {
    fn read(raw: &RawSettings, settings: &StartupSettings) -> Result<Self> {
        let max_streams = raw.number("permissions.streamsPerConn", DEFAULT_MAX_STREAMS)?;
        Ok(WorkerConnectionSettings {
            max_streams: max_streams.max(1.0) as usize,
            keepalive: raw.time("permissions.keepalive", DEFAULT_KEEPALIVE)?,
            connect_timeout: match settings.limits.connect_timeout {
                0 => DEFAULT_CONNECT_TIMEOUT,
                timeout => timeout,
            },
        })
    }
}

fn largest_machine_mb(settings: &StartupSettings) -> f64 {
    let machines = settings.loads.memory_mb.iter().copied();
    let largest = machines.fold(0.0, f64::max);
    if largest > 0.0 { largest } else { f64::MAX }
}

/// The names of the first `count` objects in the settings list `list`.
fn names_in(raw: &RawSettings, list: &str, count: usize) -> Result<Vec<String>> {
    let name = |index: usize| {
        let path = format!("{list}.{index}.name");
        raw.text(&path)
            .map(str::to_owned)
            .ok_or(ConfigError::MissingName { path })
    };
    (0..count).map(name).collect()
}

fn check_limits(limits: &Limits) -> Result<()> {
    let given = [
        ("sockets", limits.sockets as f64),
        ("memory_mb", limits.memory_mb),
    ];
    let not_positive = |(_, value): &(&str, f64)| value.is_nan() || *value <= 0.0;
    match given.into_iter().find(not_positive) {
        Some((which, _)) => Err(ConfigError::LimitNotPositive { which }),
        None => Ok(()),
    }
}

/// Pause before a replaced file that could not be read is read again, in microseconds: it may still be being written.
/// With [`MAX_RELOADS`] reads in all, the retries last about as long as discovery stays at its old address.
pub const RELOAD_INTERVAL: Micros = 100_000;
/// Number of times that a replaced file is read before the router ignores it; see [`RELOAD_INTERVAL`].
pub const MAX_RELOADS: u32 = 20;

/// The address of the discovery service in the text of a file that replaced an earlier one.
pub fn discovery_address_of(text: &str) -> Result<SocketAddr> {
    #[derive(Deserialize)]
    struct Replaced {
        #[serde(rename = "channel")]
        discovery_address: String,
    }
    let file: Replaced = serde_json::from_str(text)?;
    parse_address(file.discovery_address)
}

fn parse_address(channel: String) -> Result<SocketAddr> {
    channel
        .parse()
        .map_err(|_| ConfigError::DiscoveryAddress { channel })
}

/// Parses a seed: a string of hex digits or a whole number.
fn parse_seed(value: &Value) -> Result<u64> {
    let seed = match value {
        Value::String(text) => u64::from_str_radix(text, 16).ok(),
        Value::Number(number) => number.as_u64(),
        _ => None,
    };
    seed.ok_or_else(|| ConfigError::Seed {
        seed: value.clone(),
    })
}

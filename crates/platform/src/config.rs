//! The configuration file of a router, as JSON: [`StartupConfig`] is made of its text, and [`discovery_address_of`] reads from a
//! replaced file what may change while the router runs.

use std::net::SocketAddr;

use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
pub use cedarpulley_startup::Names;
use cedarpulley_startup::{RawSettings, ReportField, SettingsError, StartupSettings};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::discovery::EventBatch;

/// Why no router starts with a configuration, or a replaced one is not applied.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// It is no JSON, or a part is missing.
    #[error("the configuration is not as the platform has it")]
    Malformed(#[from] serde_json::Error),
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The address of discovery is malformed.
    #[error("channel '{channel}' is no address")]
    DiscoveryAddress {
        /// The address given, under the key `channel`.
        channel: String,
    },
    /// There is no trigger type.
    #[error("the settings name no services")]
    NoTriggers,
    /// A name is missing.
    #[error("setting {path} is missing")]
    MissingName {
        /// The setting where it belongs.
        path: String,
    },
    /// A limit leaves no room for anything.
    #[error("limits.{which} is not above 0")]
    LimitNotPositive {
        /// The limit's key.
        which: &'static str,
    },
    /// The seed is malformed.
    #[error("seed {seed} is neither hex digits nor a whole number")]
    Seed {
        /// The seed given.
        seed: Value,
    },
}

impl Remedy for ConfigError {
    fn remedy(&self) -> &'static str {
        match self {
            ConfigError::Malformed(_) => {
                "give seed, limits, channel, known and settings as docs/operate/platform.md has them"
            }
            ConfigError::Settings(error) => error.remedy(),
            ConfigError::DiscoveryAddress { .. } => "give the channel as an IP address and a port",
            ConfigError::NoTriggers | ConfigError::MissingName { .. } => {
                "give each service and org its name in the settings"
            }
            ConfigError::LimitNotPositive { .. } => "give the router some memory and some sockets",
            ConfigError::Seed { .. } => {
                "give the seed as up to 16 hex digits in quotes, or as a whole number"
            }
        }
    }
}

type Result<T> = std::result::Result<T, ConfigError>;

/// The file as it is written.
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

/// What the platform allows one process.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// File descriptors.
    pub sockets: u64,
}

/// What the settings say about connections to workers.
#[derive(Clone, Copy, Debug)]
pub struct WorkerConnectionSettings {
    /// Exchanges at once on one connection.
    pub max_streams: usize,
    /// For how long workers keep an idle connection, in microseconds.
    pub keepalive: Micros,
    /// Within which a connection is established or counts as failed, in microseconds.
    pub connect_timeout: Micros,
}

/// A valid configuration.
#[derive(Debug)]
pub struct StartupConfig {
    /// For random numbers; new with each start.
    pub seed: u64,
    /// What the process may use.
    pub limits: Limits,
    /// Where discovery listens.
    pub discovery_address: SocketAddr,
    /// Discovery's events up to the start.
    pub initial_events: EventBatch,
    /// What the policy module starts with.
    pub settings: StartupSettings,
    /// The values in load reports.
    pub report_fields: Vec<ReportField>,
    /// Names on the wire.
    pub names: Names,
    /// Of connections to workers.
    pub worker_connections: WorkerConnectionSettings,
    /// Memory of the largest machine, in megabytes: a copy of a function that is larger fits on no worker. Unbounded if
    /// the settings do not say.
    pub largest_machine_mb: f64,
}

/// Streams of a connection to a worker, where the settings leave them out.
const DEFAULT_MAX_STREAMS: f64 = 1.0;
/// For how long workers keep an idle connection, where the settings leave it out, in microseconds.
const DEFAULT_KEEPALIVE: Micros = 15_000_000;
/// Within which a connection is established, where the settings leave it out, in microseconds.
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

/// The names in a list of objects.
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

/// A replaced file that cannot be read, perhaps because it is still being written, is read again so much later, in
/// microseconds, and [`MAX_RELOADS`] times in all: for about as long as discovery goes on at its old address.
pub const RELOAD_PAUSE: Micros = 100_000;
/// How often a replaced file is read before it is given up; see [`RELOAD_PAUSE`].
pub const MAX_RELOADS: u32 = 20;

/// The address of discovery in a file that has replaced the first one.
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

/// Hex digits, or a plain number.
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

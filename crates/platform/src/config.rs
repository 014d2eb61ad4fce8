//! What a router is told at its start, as JSON. Call [`Start::read`] with the file's text; [`discovery_address_of`]
//! reads from a replaced file what may change while the router runs.

use std::net::SocketAddr;

use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
pub use cedarpulley_startup::Names;
use cedarpulley_startup::{RawSettings, ReportField, SettingsError, StartupSettings};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::discovery::EventBatch;

/// Why no router starts with a configuration, or a replaced one is not taken.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// It is no JSON, or a part is missing.
    #[error("the configuration is not as the platform has it")]
    Form(#[from] serde_json::Error),
    /// The settings are wrong.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The address of discovery cannot be read.
    #[error("channel '{channel}' is no address")]
    Channel {
        /// What stands there.
        channel: String,
    },
    /// There is no trigger type.
    #[error("the settings name no services")]
    NoServices,
    /// A name is missing.
    #[error("setting {path} is missing")]
    Missing {
        /// Where it belongs.
        path: String,
    },
    /// A limit leaves no room for anything.
    #[error("limits.{which} is not above 0")]
    NoRoom {
        /// Which limit.
        which: &'static str,
    },
    /// The seed cannot be read.
    #[error("seed {seed} is neither hex digits nor a whole number")]
    Seed {
        /// What stands there.
        seed: Value,
    },
}

impl Remedy for ConfigError {
    fn remedy(&self) -> &'static str {
        match self {
            ConfigError::Form(_) => {
                "give seed, limits, channel, known and settings as docs/operate/platform.md has them"
            }
            ConfigError::Settings(error) => error.remedy(),
            ConfigError::Channel { .. } => "give the channel as an IP address and a port",
            ConfigError::NoServices | ConfigError::Missing { .. } => {
                "give each service and org its name in the settings"
            }
            ConfigError::NoRoom { .. } => "give the router some memory and some sockets",
            ConfigError::Seed { .. } => {
                "give the seed as up to 16 hex digits in quotes, or as a whole number"
            }
        }
    }
}

type Result<T> = std::result::Result<T, ConfigError>;

#[derive(Debug, Deserialize)]
struct File {
    seed: Value,
    limits: Limits,
    channel: String,
    known: EventBatch,
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

/// What the settings say of connections to workers.
#[derive(Clone, Copy, Debug)]
pub struct Links {
    /// Exchanges at once on one connection.
    pub streams: usize,
    /// For how long workers keep an idle connection.
    pub idle_kept: Micros,
    /// A connection comes up within this time or not at all.
    pub connect_within: Micros,
}

/// A configuration, read and found fit.
#[derive(Debug)]
pub struct Start {
    /// For random numbers; new with each start.
    pub seed: u64,
    /// What the process may use.
    pub limits: Limits,
    /// Where discovery listens.
    pub channel: SocketAddr,
    /// Discovery's events up to the start.
    pub known: EventBatch,
    /// What the policy module starts with.
    pub settings: StartupSettings,
    /// The values in load reports.
    pub fields: Vec<ReportField>,
    /// Names on the sockets.
    pub names: Names,
    /// Of connections to workers.
    pub links: Links,
    /// A copy larger than the largest machine is asked of no worker.
    pub largest_mb: f64,
}

/// A count of streams or a time that the settings leave out.
const STREAMS: f64 = 1.0;
const IDLE_KEPT: Micros = 15_000_000;
const CONNECT_WITHIN: Micros = 250_000;

impl Start {
    /// Reads the configuration's text.
    pub fn read(text: &str) -> Result<Self> {
        let file: File = serde_json::from_str(text)?;
        let channel = address(file.channel)?;
        let raw = RawSettings::nested(&file.settings)?;
        let settings = StartupSettings::read(&raw)?;
        if settings.triggers.is_empty() {
            return Err(ConfigError::NoServices);
        }
        check_room(&file.limits)?;
        let names = Names {
            triggers: names(&raw, "services", settings.triggers.len())?,
            accounts: names(&raw, "orgs", settings.accounts.len())?,
            zones: raw.list("zones").map(str::to_owned).collect(),
            kinds: raw.list("kinds").map(str::to_owned).collect(),
        };
        let links = Links {
            streams: raw.number("permissions.streamsPerConn", STREAMS)?.max(1.0) as usize,
            idle_kept: raw.time("permissions.keepalive", IDLE_KEPT)?,
            connect_within: match settings.limits.connect_timeout {
                0 => CONNECT_WITHIN,
                within => within,
            },
        };
        let largest_mb = settings.loads.memory_mb.iter().copied().fold(0.0, f64::max);
        Ok(Start {
            seed: seed(&file.seed)?,
            limits: file.limits,
            channel,
            known: file.known,
            settings,
            fields: ReportField::named(&raw),
            names,
            links,
            largest_mb: if largest_mb > 0.0 {
                largest_mb
            } else {
                f64::MAX
            },
        })
    }
}

/// The names in a list of objects.
fn names(raw: &RawSettings, list: &str, count: usize) -> Result<Vec<String>> {
    let name = |i: usize| {
        let path = format!("{list}.{i}.name");
        raw.text(&path)
            .map(str::to_owned)
            .ok_or(ConfigError::Missing { path })
    };
    (0..count).map(name).collect()
}

fn check_room(limits: &Limits) -> Result<()> {
    let given = [
        ("sockets", limits.sockets as f64),
        ("memory_mb", limits.memory_mb),
    ];
    match given.into_iter().find(|(_, n)| n.is_nan() || *n <= 0.0) {
        Some((which, _)) => Err(ConfigError::NoRoom { which }),
        None => Ok(()),
    }
}

/// A replaced file that cannot be read, perhaps because it is still being written, is read again this much later, in
/// microseconds, and this many times in all: for about as long as discovery goes on at its old address.
pub const RELOAD_PAUSE: Micros = 100_000;
/// See [`RELOAD_PAUSE`].
pub const MOST_RELOADS: u32 = 20;

/// The discovery channel's address in a file that has replaced the first one.
pub fn discovery_address_of(text: &str) -> Result<SocketAddr> {
    #[derive(Deserialize)]
    struct Replaced {
        channel: String,
    }
    let file: Replaced = serde_json::from_str(text)?;
    address(file.channel)
}

fn address(channel: String) -> Result<SocketAddr> {
    channel
        .parse()
        .map_err(|_| ConfigError::Channel { channel })
}

/// Hex digits, or a plain number.
fn seed(value: &Value) -> Result<u64> {
    let seed = match value {
        Value::String(text) => u64::from_str_radix(text, 16).ok(),
        Value::Number(n) => n.as_u64(),
        _ => None,
    };
    seed.ok_or_else(|| ConfigError::Seed {
        seed: value.clone(),
    })
}

//! What a router is told at its start, as JSON. Call [`Start::read`] with the file's text; [`channel_of`]
//! reads from a replaced file what may change while the router runs.

use std::net::SocketAddr;

use cedarpulley::interface::Micros;
pub use cedarpulley_birth::Names;
use cedarpulley_birth::{Birth, Refused, ReportField, Sheet};
use cedarpulley_errors::Remedy;
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::channel::Batch;

/// Why no router starts with a configuration, or a replaced one is not taken.
#[derive(Debug, Error)]
pub enum Unfit {
    #[error("the configuration is not as the platform has it")]
    Form(#[from] serde_json::Error),
    #[error(transparent)]
    Settings(#[from] Refused),
    #[error("channel '{channel}' is no address")]
    Channel { channel: String },
    #[error("the settings name no services")]
    NoServices,
    #[error("setting {path} is missing")]
    Missing { path: String },
    #[error("limits.{which} is not above 0")]
    NoRoom { which: &'static str },
    #[error("seed {seed} is neither hex digits nor a whole number")]
    Seed { seed: Value },
}

impl Remedy for Unfit {
    fn remedy(&self) -> &'static str {
        match self {
            Unfit::Form(_) => {
                "give seed, limits, channel, known and settings as docs/operate/platform.md has them"
            }
            Unfit::Settings(refused) => refused.remedy(),
            Unfit::Channel { .. } => "give the channel as an IP address and a port",
            Unfit::NoServices | Unfit::Missing { .. } => "give each service and org its name in the settings",
            Unfit::NoRoom { .. } => "give the router some memory and some sockets",
            Unfit::Seed { .. } => "give the seed as up to 16 hex digits in quotes, or as a whole number",
        }
    }
}

type Result<T> = std::result::Result<T, Unfit>;

#[derive(Debug, Deserialize)]
struct File {
    seed: Value,
    limits: Limits,
    channel: String,
    known: Batch,
    settings: Value,
}

#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    pub memory_mb: f64,
    pub sockets: u64,
}

/// What the settings say of connections to workers.
#[derive(Clone, Copy, Debug)]
pub struct Links {
    pub streams: usize,
    pub idle_kept: Micros,
    pub connect_within: Micros,
}

#[derive(Debug)]
pub struct Start {
    pub seed: u64,
    pub limits: Limits,
    pub channel: SocketAddr,
    pub known: Batch,
    pub birth: Birth,
    /// The values in load reports.
    pub fields: Vec<ReportField>,
    pub names: Names,
    pub links: Links,
    /// A copy larger than the largest machine is asked of no worker.
    pub largest_mb: f64,
}

/// A count of streams or a time that the settings leave out.
const STREAMS: f64 = 1.0;
const IDLE_KEPT: Micros = 15_000_000;
const CONNECT_WITHIN: Micros = 250_000;

impl Start {
    pub fn read(text: &str) -> Result<Self> {
        let file: File = serde_json::from_str(text)?;
        let channel = address(file.channel)?;
        let sheet = Sheet::nested(&file.settings)?;
        let birth = Birth::read(&sheet)?;
        if birth.triggers.is_empty() {
            return Err(Unfit::NoServices);
        }
        let named = |list: &str, n: usize| -> Result<Vec<String>> {
            (0..n)
                .map(|i| {
                    let path = format!("{list}.{i}.name");
                    sheet.text(&path).map(str::to_owned).ok_or(Unfit::Missing { path })
                })
                .collect()
        };
        let names = Names {
            triggers: named("services", birth.triggers.len())?,
            accounts: named("orgs", birth.accounts.len())?,
            zones: sheet.list("zones").map(str::to_owned).collect(),
            kinds: sheet.list("kinds").map(str::to_owned).collect(),
        };
        let links = Links {
            streams: sheet.number("permissions.streamsPerConn", STREAMS)?.max(1.0) as usize,
            idle_kept: sheet.time("permissions.keepalive", IDLE_KEPT)?,
            connect_within: match birth.limits.connect_within {
                0 => CONNECT_WITHIN,
                within => within,
            },
        };
        let limits = [("sockets", file.limits.sockets as f64), ("memory_mb", file.limits.memory_mb)];
        if let Some((which, _)) = limits.into_iter().find(|(_, n)| n.is_nan() || *n <= 0.0) {
            return Err(Unfit::NoRoom { which });
        }
        let largest_mb = birth.loads.memory_mb.iter().copied().fold(0.0, f64::max);
        Ok(Start {
            seed: seed(&file.seed)?,
            limits: file.limits,
            channel,
            known: file.known,
            birth,
            fields: ReportField::named(&sheet),
            names,
            links,
            largest_mb: if largest_mb > 0.0 { largest_mb } else { f64::MAX },
        })
    }
}

/// The command channel's address in a file that has replaced the first one.
pub fn channel_of(text: &str) -> Result<SocketAddr> {
    #[derive(Deserialize)]
    struct Replaced {
        channel: String,
    }
    let file: Replaced = serde_json::from_str(text)?;
    address(file.channel)
}

fn address(channel: String) -> Result<SocketAddr> {
    channel.parse().map_err(|_| Unfit::Channel { channel })
}

/// Hex digits, or a plain number.
fn seed(value: &Value) -> Result<u64> {
    let seed = match value {
        Value::String(text) => u64::from_str_radix(text, 16).ok(),
        Value::Number(n) => n.as_u64(),
        _ => None,
    };
    seed.ok_or_else(|| Unfit::Seed { seed: value.clone() })
}

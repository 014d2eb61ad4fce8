//! What a router is told at its start, as JSON. Call [`Start::read`] with the file's text; [`channel_of`]
//! reads from a replaced file what may change while the router runs.

use std::net::SocketAddr;

use anyhow::{Context, Result, ensure};
use cedarpulley::interface::Micros;
pub use cedarpulley_birth::Names;
use cedarpulley_birth::{Birth, ReportField, Sheet};
use serde::Deserialize;
use serde_json::Value;

use crate::channel::Batch;

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
        let file: File = serde_json::from_str(text).context("the configuration")?;
        let channel = file.channel.parse().with_context(|| format!("channel '{}'", file.channel))?;
        let sheet = Sheet::nested(&file.settings)?;
        let birth = Birth::read(&sheet)?;
        ensure!(!birth.triggers.is_empty(), "the settings name no services");
        let named = |list: &str, n: usize| -> Result<Vec<String>> {
            (0..n)
                .map(|i| {
                    let path = format!("{list}.{i}.name");
                    sheet.text(&path).map(str::to_owned).with_context(|| format!("setting {path} is missing"))
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
        ensure!(file.limits.sockets > 0, "limits.sockets is 0");
        ensure!(file.limits.memory_mb > 0.0, "limits.memory_mb is not above 0");
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
    let file: Replaced = serde_json::from_str(text).context("the configuration")?;
    file.channel.parse().with_context(|| format!("channel '{}'", file.channel))
}

/// Hex digits, or a plain number.
fn seed(value: &Value) -> Result<u64> {
    match value {
        Value::String(text) => {
            u64::from_str_radix(text, 16).with_context(|| format!("seed '{text}' is not 16 hex digits"))
        }
        Value::Number(n) => n.as_u64().with_context(|| format!("seed {n} is not a whole number")),
        _ => anyhow::bail!("the seed is neither text nor a number"),
    }
}

//! Watch events as they are on the wire, in JSON. Parse errors contain the names of these types, and operators know
//! those messages. In this file the types therefore keep the names that the platform's documentation uses; the parent
//! module exports them under the usual terms.

use serde::Deserialize;

/// One response from discovery: the events after the number that the poll gave.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EventBatch {
    /// The number of the last event.
    pub cursor: u64,
    /// The events, in ascending order of their numbers.
    #[serde(default, rename = "cmds")]
    pub events: Vec<Command>,
}

/// One event.
#[derive(Clone, Debug, Deserialize)]
pub struct Command {
    /// The number of the event. Numbers begin with 1 at each start of a router.
    pub cursor: u64,
    /// The change of the endpoint list, if the event has one.
    #[serde(rename = "nodes")]
    pub worker_list: Option<Nodes>,
}

/// A change of the endpoint list, or the complete list.
#[derive(Clone, Debug, Deserialize)]
pub struct Nodes {
    /// Whether this is the complete list, so that every worker that it does not contain is gone.
    #[serde(default, rename = "full")]
    pub is_complete: bool,
    /// The workers of the complete list, or those that have changed.
    #[serde(default, rename = "servers")]
    pub workers: Vec<Server>,
}

/// One worker of the endpoint list.
#[derive(Clone, Debug, Deserialize)]
pub struct Server {
    /// The id of the worker. Ids are never reused.
    pub id: String,
    /// IP address and port; may be empty for a worker that is gone.
    #[serde(default, rename = "addr")]
    pub address: String,
    /// The name of its zone.
    #[serde(default)]
    pub zone: String,
    /// The name of the kind of machine that the worker runs on.
    #[serde(default)]
    pub kind: String,
    /// The number of its cell: a deduplication scope, in which workers share a record of idempotency keys.
    #[serde(default)]
    pub cell: u32,
    /// `active`, `leaving` or `left`.
    pub state: String,
    /// Its share of the work relative to other workers, if the settings use weights.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// The Unix time at which the worker started, in milliseconds, if it joined after the start of the platform; 0
    /// otherwise.
    #[serde(default)]
    pub started_ms: i64,
}

fn default_weight() -> f64 {
    1.0
}

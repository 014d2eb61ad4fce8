//! Watch events in the form they have on the wire, as JSON. Parse errors name these types, and operators know those
//! messages: so the types keep the names of the platform's pages here, and have the usual ones outside this file.

use serde::Deserialize;

/// One response of discovery: what has happened since the event that the poll named.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EventBatch {
    /// The number of the last event.
    pub cursor: u64,
    /// The events, by rising numbers.
    #[serde(default, rename = "cmds")]
    pub events: Vec<Command>,
}

/// One event.
#[derive(Clone, Debug, Deserialize)]
pub struct Command {
    /// Its number; numbering starts from 1 at each start of a router.
    pub cursor: u64,
    /// How it changes the list of workers, if it does.
    #[serde(rename = "nodes")]
    pub worker_list: Option<Nodes>,
}

/// A change of the list of workers, or the complete list.
#[derive(Clone, Debug, Deserialize)]
pub struct Nodes {
    /// It is the complete list: whichever worker is not named is gone.
    #[serde(default, rename = "full")]
    pub is_complete: bool,
    /// The workers that are listed or have changed.
    #[serde(default, rename = "servers")]
    pub workers: Vec<Server>,
}

/// One worker.
#[derive(Clone, Debug, Deserialize)]
pub struct Server {
    /// Its id, which no other worker ever has.
    pub id: String,
    /// IP address and port; may be empty for one that has gone.
    #[serde(default, rename = "addr")]
    pub address: String,
    /// The name of its zone.
    #[serde(default)]
    pub zone: String,
    /// The name of its kind of machine.
    #[serde(default)]
    pub kind: String,
    /// The number of its cell, a group of workers that discard repeated requests together.
    #[serde(default)]
    pub cell: u32,
    /// `active`, `leaving` or `left`.
    pub state: String,
    /// Its share of the work, where the settings use weights.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// When it started, in Unix milliseconds, if it joined late; 0 otherwise.
    #[serde(default)]
    pub started_ms: i64,
}

fn default_weight() -> f64 {
    1.0
}

//! The discovery channel: numbered events that change the list of workers. Call [`WorkerListFollower::batch`] with what
//! the configuration knew and with each answer; it gives the updates to be told, each event once and in order.
//! [`WorkerListFollower::ask`] makes the next question, [`Answers`] cuts answers out of the bytes that come.
//!
//! 1. An event whose number is not above the last one taken changes nothing.
//! 2. What cannot be read voids its answer: nothing of it is taken, and the same question is asked again.
//! 3. A worker is known by its id. A new one may have the address of one that has gone, or one may move: what is open to
//!    the old one must not be used for the new.
//! 4. A drain that may have been told a while ago, because the channel was not heard meanwhile or this process was not
//!    running, has no grace left: the grace counts from the telling, not from the hearing.

mod answers;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::{EndpointListKind, EndpointState, Micros};
use cedarpulley_errors::Remedy;
use cedarpulley_router::roster::Listed;
use serde::Deserialize;
use thiserror::Error;

use crate::config::Names;

pub use answers::Answers;
use answers::MOST_ANSWER;

/// Asked for this wait, of the 5 s that the protocol allows: a channel that has stopped but stays open is
/// noticed so much later, and this much beyond, as an answer takes its way.
pub const ASKED_WAIT: Micros = 1_000_000;
/// An answer takes its way: so much later than the wait that was asked for it counts as missing.
pub const ANSWER_LATE: Micros = 500_000;
/// Longest pause before it is connected to again: what it tells must be known within two seconds of a break.
pub const LONGEST_PAUSE: Micros = 320_000;
/// A drain heard this part of its grace late has none left: the policy module and the last look before sending use up
/// all but this part.
const LATE_PART: Micros = 4;
/// Workers that are kept account of; what is named beyond is left out and counted.
const MOST_WORKERS: usize = 20_000;

/// Why nothing is taken of an answer, or of what the configuration knew.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// A state that the protocol does not have.
    #[error("state '{state}' of worker '{id}' is unknown")]
    State {
        /// The worker.
        id: String,
        /// What stands there.
        state: String,
    },
    /// An address that cannot be read.
    #[error("address '{address}' of worker '{id}' cannot be read")]
    Address {
        /// The worker.
        id: String,
        /// What stands there.
        address: String,
    },
    /// The head of an answer.
    #[error("the head of an answer cannot be read")]
    Head(#[source] httparse::Error),
    /// A head beyond its bound.
    #[error("the head of an answer has no end")]
    EndlessHead,
    /// Another status than 200.
    #[error("an answer of status {status}")]
    Status {
        /// The status.
        status: u16,
    },
    /// A length that is no number.
    #[error("the content-length of an answer cannot be read")]
    Length,
    /// Neither a length nor chunks.
    #[error("an answer without a length")]
    NoLength,
    /// An answer beyond its bound.
    #[error("an answer of {size} bytes, more than {MOST_ANSWER}")]
    Large {
        /// Its size, in bytes.
        size: usize,
    },
    /// An answer in chunks beyond its bound.
    #[error("an answer in chunks goes beyond {MOST_ANSWER} bytes")]
    Endless,
    /// A chunk without a size or an end.
    #[error("a chunk of an answer cannot be read")]
    Chunk,
    /// The events of an answer.
    #[error("the events of an answer cannot be read")]
    Events(#[source] serde_json::Error),
}

impl Remedy for DiscoveryError {
    fn remedy(&self) -> &'static str {
        match self {
            DiscoveryError::State { .. } | DiscoveryError::Address { .. } => {
                "have the list of workers say it as the platform has it"
            }
            DiscoveryError::Large { .. } | DiscoveryError::Endless => {
                "have the channel tell fewer workers at once"
            }
            _ => "see what listens at the channel's address",
        }
    }
}

type Result<T> = std::result::Result<T, DiscoveryError>;

/// One answer of the channel: what has happened since the event that was asked about.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EventBatch {
    /// The number of the last event.
    pub cursor: u64,
    /// The events, by rising numbers.
    #[serde(default)]
    pub cmds: Vec<Command>,
}

/// One event.
#[derive(Clone, Debug, Deserialize)]
pub struct Command {
    /// Its number; numbering starts from 1 at each start of a router.
    pub cursor: u64,
    /// What it changes of the list of workers, if it is about them.
    pub nodes: Option<Nodes>,
}

/// A change of the list of workers, or the whole list.
#[derive(Clone, Debug, Deserialize)]
pub struct Nodes {
    /// It is the whole list: whoever is not named is gone.
    #[serde(default)]
    pub full: bool,
    /// The workers it is about.
    #[serde(default)]
    pub servers: Vec<Server>,
}

/// A worker, as the channel tells of it.
#[derive(Clone, Debug, Deserialize)]
pub struct Server {
    /// Its name, which no other worker ever has.
    pub id: String,
    /// IP address and port; may be empty for one that has gone.
    #[serde(default)]
    pub addr: String,
    /// The name of its zone.
    #[serde(default)]
    pub zone: String,
    /// The name of its kind of machine.
    #[serde(default)]
    pub kind: String,
    /// The number of its cell, a group of workers that drop repeats together.
    #[serde(default)]
    pub cell: u32,
    /// `active`, `leaving` or `left`.
    pub state: String,
    /// Its part of the work, where the settings use weights.
    #[serde(default = "one")]
    pub weight: f64,
    /// The Unix millisecond of a late start, or 0.
    #[serde(default)]
    pub started_ms: i64,
}

fn one() -> f64 {
    1.0
}

/// A change of the list of workers, in the terms of the router.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// Whether the whole list or changes of it.
    pub mode: EndpointListKind,
    /// By their ids.
    pub workers: Vec<Listed>,
    /// Gone or moved: what is open to them takes nothing more.
    pub retired: Vec<String>,
}

/// Follows the list of workers from event to event.
#[derive(Debug, Default)]
pub struct WorkerListFollower {
    last: u64,
    addresses: BTreeMap<String, SocketAddr>,
    drain_grace: Micros,
    /// Events that had been taken before.
    pub repeated: u64,
    /// Workers beyond the bound.
    pub left_out: u64,
}

impl WorkerListFollower {
    /// `drain_grace`: for how long after the telling a draining worker may get new requests, in microseconds.
    pub fn new(drain_grace: Micros) -> Self {
        WorkerListFollower {
            drain_grace,
            ..WorkerListFollower::default()
        }
    }

    /// The question for what came after the last event.
    pub fn ask(&self, host: &str) -> Vec<u8> {
        let (last, wait) = (self.last, ASKED_WAIT / 1_000);
        format!("GET /cmd/next?resume={last}&block={wait} HTTP/1.1\r\nHost: {host}\r\n\r\n")
            .into_bytes()
    }

    /// The number of the last event taken.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Where a listed worker is.
    pub fn address(&self, id: &str) -> Option<SocketAddr> {
        self.addresses.get(id).copied()
    }

    /// The updates in a batch, in order; all of them or, where it cannot be read, nothing. `wall_at_zero`: the Unix
    /// time at which the router's clock began, in microseconds. `unheard_for`: what the batch tells may have been in the
    /// channel for this long before it was read.
    pub fn batch(
        &mut self,
        batch: &EventBatch,
        names: &Names,
        wall_at_zero: Micros,
        unheard_for: Micros,
    ) -> Result<Vec<ListUpdate>> {
        let late = unheard_for > self.drain_grace / LATE_PART;
        let (mut understood, mut last, mut repeated) = (Vec::new(), self.last, 0);
        for command in &batch.cmds {
            if command.cursor <= last {
                repeated += 1;
                continue;
            }
            last = command.cursor;
            if let Some(nodes) = &command.nodes {
                let workers = nodes
                    .servers
                    .iter()
                    .map(|s| named(s, names, wall_at_zero, late))
                    .collect::<Result<Vec<_>>>()?;
                understood.push((
                    if nodes.full {
                        EndpointListKind::Complete
                    } else {
                        EndpointListKind::Changes
                    },
                    workers,
                ));
            }
        }
        self.last = last.max(batch.cursor);
        self.repeated += repeated;
        Ok(understood
            .into_iter()
            .map(|(mode, workers)| self.follow(mode, workers))
            .collect())
    }

    fn follow(
        &mut self,
        mode: EndpointListKind,
        named: Vec<(Listed, Option<SocketAddr>)>,
    ) -> ListUpdate {
        let mut retired = Vec::new();
        if mode == EndpointListKind::Complete {
            let named = |id: &String| named.iter().any(|(w, _)| w.address == *id);
            retired.extend(
                self.addresses
                    .extract_if(.., |id, _| !named(id))
                    .map(|(id, _)| id),
            );
        }
        let mut workers = Vec::new();
        for (worker, address) in named {
            let before = match address.filter(|_| worker.standing != EndpointState::Gone) {
                None => self.addresses.remove(&worker.address),
                Some(_)
                    if self.addresses.len() >= MOST_WORKERS
                        && !self.addresses.contains_key(&worker.address) =>
                {
                    self.left_out += 1;
                    continue;
                }
                Some(address) => self
                    .addresses
                    .insert(worker.address.clone(), address)
                    .filter(|b| *b != address),
            };
            if before.is_some() {
                retired.push(worker.address.clone());
            }
            workers.push(worker);
        }
        ListUpdate {
            mode,
            workers,
            retired,
        }
    }
}

fn named(
    server: &Server,
    names: &Names,
    wall_at_zero: Micros,
    late: bool,
) -> Result<(Listed, Option<SocketAddr>)> {
    let place = |list: &[String], name: &str| list.iter().position(|n| n == name).map(|n| n as u32);
    let standing = match server.state.as_str() {
        "active" => EndpointState::InService,
        "leaving" if !late => EndpointState::Draining,
        "leaving" | "left" => EndpointState::Gone,
        other => {
            return Err(DiscoveryError::State {
                id: server.id.clone(),
                state: other.to_owned(),
            });
        }
    };
    let address = server.addr.parse().ok();
    if address.is_none() && standing != EndpointState::Gone {
        return Err(DiscoveryError::Address {
            id: server.id.clone(),
            address: server.addr.clone(),
        });
    }
    // A zone that the settings do not name is like no other; a kind is one kind more.
    let unknown = || fingerprint(&server.zone) as u32 | 1 << 31;
    let started = Some(server.started_ms)
        .filter(|&ms| ms > 0)
        .map(|ms| ms.saturating_mul(1_000));
    let worker = Listed {
        address: server.id.clone(),
        zone: place(&names.zones, &server.zone).unwrap_or_else(unknown),
        kind: place(&names.kinds, &server.kind).unwrap_or(names.kinds.len() as u32),
        cell: server.cell,
        standing,
        weight: server.weight,
        started: started.map(|s| s.saturating_sub(wall_at_zero)),
    };
    Ok((worker, address))
}

//! The command channel: numbered events that change the list of workers. Call [`Follower::batch`] with what
//! the configuration knew and with each answer; it gives the news to be told, each event once and in order.
//! [`Follower::ask`] makes the next question, [`Answers`] cuts answers out of the bytes that come.
//!
//! Mechanisms:
//! 1. An event whose number is not above the last one taken changes nothing.
//! 2. What cannot be read voids its answer: nothing of it is taken, and the same question is asked again.
//! 3. A worker is known by its id. Symptom: a new one has the address of one that has gone, or one moves;
//!    what is open to the old one must not be used for the new.
//! 4. What may have been told a while ago, as the channel was not heard meanwhile, has no grace left. Symptom: a
//!    worker drains while the channel is away, and its grace is counted from when that is heard at last.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::{ListMode, Micros, Standing};
use cedarpulley_errors::Remedy;
use cedarpulley_router::roster::Listed;
use serde::Deserialize;
use thiserror::Error;

use crate::config::Names;

/// Asked for this wait, of the 5 s that the protocol allows: a channel that has stopped but stays open is
/// noticed so much later, and this much beyond, as an answer takes its way.
pub const ASKED_WAIT: Micros = 1_000_000;
pub const ANSWER_LATE: Micros = 500_000;
/// Longest pause before it is connected to again: what it tells must be known within two seconds of a break.
pub const LONGEST_PAUSE: Micros = 320_000;
/// Workers that are kept account of; what is named beyond is left out and counted.
const MOST_WORKERS: usize = 20_000;
/// An answer names some thousands of workers at most.
const MOST_ANSWER: usize = 4 << 20;
/// Heads of answers: a few short fields.
const MOST_HEAD: usize = 8 << 10;
const MOST_HEADERS: usize = 32;

/// Why nothing is taken of an answer, or of what the configuration knew.
#[derive(Debug, Error)]
pub enum Unread {
    #[error("state '{state}' of worker '{id}' is unknown")]
    State { id: String, state: String },
    #[error("address '{address}' of worker '{id}' cannot be read")]
    Address { id: String, address: String },
    #[error("the head of an answer cannot be read")]
    Head(#[source] httparse::Error),
    #[error("the head of an answer has no end")]
    EndlessHead,
    #[error("an answer of status {status}")]
    Status { status: u16 },
    #[error("the content-length of an answer cannot be read")]
    Length,
    #[error("an answer without a length")]
    NoLength,
    #[error("an answer of {size} bytes, more than {MOST_ANSWER}")]
    Large { size: usize },
    #[error("an answer in chunks goes beyond {MOST_ANSWER} bytes")]
    Endless,
    #[error("a chunk of an answer cannot be read")]
    Chunk,
    #[error("the events of an answer cannot be read")]
    Events(#[source] serde_json::Error),
}

impl Remedy for Unread {
    fn remedy(&self) -> &'static str {
        match self {
            Unread::State { .. } | Unread::Address { .. } => {
                "have the list of workers say it as the platform has it"
            }
            Unread::Large { .. } | Unread::Endless => "have the channel tell fewer workers at once",
            _ => "see what listens at the channel's address",
        }
    }
}

type Result<T> = std::result::Result<T, Unread>;

#[derive(Clone, Debug, Default, Deserialize)]
pub struct Batch {
    pub cursor: u64,
    #[serde(default)]
    pub cmds: Vec<Command>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Command {
    pub cursor: u64,
    pub nodes: Option<Nodes>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Nodes {
    #[serde(default)]
    pub full: bool,
    #[serde(default)]
    pub servers: Vec<Server>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Server {
    pub id: String,
    #[serde(default)]
    pub addr: String,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub kind: String,
    #[serde(default)]
    pub cell: u32,
    pub state: String,
    #[serde(default = "one")]
    pub weight: f64,
    #[serde(default)]
    pub started_ms: i64,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Debug, PartialEq)]
pub struct News {
    pub mode: ListMode,
    /// By their ids.
    pub workers: Vec<Listed>,
    /// Gone or moved: what is open to them takes nothing more.
    pub retired: Vec<String>,
}

#[derive(Debug, Default)]
pub struct Follower {
    last: u64,
    addresses: BTreeMap<String, SocketAddr>,
    /// Events that had been taken before, and workers beyond the bound.
    pub repeated: u64,
    pub left_out: u64,
}

impl Follower {
    /// The question for what came after the last event.
    pub fn ask(&self, host: &str) -> Vec<u8> {
        let (last, wait) = (self.last, ASKED_WAIT / 1_000);
        format!("GET /cmd/next?resume={last}&block={wait} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
    }

    pub fn last(&self) -> u64 {
        self.last
    }

    /// Where a listed worker is.
    pub fn address(&self, id: &str) -> Option<SocketAddr> {
        self.addresses.get(id).copied()
    }

    /// The news in a batch, in order; all of it or, where it cannot be read, nothing. `wall_at_zero`: the
    /// wall's time when the router's clock began. `late`: the channel was not heard right before, so what it tells
    /// may have stood there for a while.
    pub fn batch(
        &mut self,
        batch: &Batch,
        names: &Names,
        wall_at_zero: Micros,
        late: bool,
    ) -> Result<Vec<News>> {
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
                understood.push((if nodes.full { ListMode::Complete } else { ListMode::Changes }, workers));
            }
        }
        self.last = last.max(batch.cursor);
        self.repeated += repeated;
        Ok(understood.into_iter().map(|(mode, workers)| self.follow(mode, workers)).collect())
    }

    fn follow(&mut self, mode: ListMode, named: Vec<(Listed, Option<SocketAddr>)>) -> News {
        let mut retired = Vec::new();
        if mode == ListMode::Complete {
            let named = |id: &String| named.iter().any(|(w, _)| w.address == *id);
            retired.extend(self.addresses.extract_if(.., |id, _| !named(id)).map(|(id, _)| id));
        }
        let mut workers = Vec::new();
        for (worker, address) in named {
            let before = match address.filter(|_| worker.standing != Standing::Gone) {
                None => self.addresses.remove(&worker.address),
                Some(_)
                    if self.addresses.len() >= MOST_WORKERS
                        && !self.addresses.contains_key(&worker.address) =>
                {
                    self.left_out += 1;
                    continue;
                }
                Some(address) => {
                    self.addresses.insert(worker.address.clone(), address).filter(|b| *b != address)
                }
            };
            if before.is_some() {
                retired.push(worker.address.clone());
            }
            workers.push(worker);
        }
        News { mode, workers, retired }
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
        "active" => Standing::InService,
        "leaving" if !late => Standing::Draining,
        "leaving" | "left" => Standing::Gone,
        other => return Err(Unread::State { id: server.id.clone(), state: other.to_owned() }),
    };
    let address = server.addr.parse().ok();
    if address.is_none() && standing != Standing::Gone {
        return Err(Unread::Address { id: server.id.clone(), address: server.addr.clone() });
    }
    // A zone that the settings do not name is like no other; a kind is one kind more.
    let unknown = || fingerprint(&server.zone) as u32 | 1 << 31;
    let started = Some(server.started_ms).filter(|&ms| ms > 0).map(|ms| ms.saturating_mul(1_000));
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

/// Cuts whole answers out of the bytes of one connection. Whatever cannot be read ends that connection.
#[derive(Debug, Default)]
pub struct Answers {
    bytes: Vec<u8>,
}

impl Answers {
    pub fn put(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    pub fn whole(&mut self) -> Result<Option<Batch>> {
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let length = match head.parse(&self.bytes).map_err(Unread::Head)? {
            httparse::Status::Partial if self.bytes.len() > MOST_HEAD => return Err(Unread::EndlessHead),
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(n) => n,
        };
        if head.code != Some(200) {
            return Err(Unread::Status { status: head.code.unwrap_or(0) });
        }
        let field = |name: &str| head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        let body = match (field("content-length"), field("transfer-encoding")) {
            (Some(size), None) => {
                let size = std::str::from_utf8(size.value).ok().and_then(|text| text.trim().parse().ok());
                let size: usize = size.ok_or(Unread::Length)?;
                if size > MOST_ANSWER {
                    return Err(Unread::Large { size });
                }
                match self.bytes.get(length..length + size) {
                    None => return Ok(None),
                    Some(body) => (body.to_vec(), length + size),
                }
            }
            (None, Some(_)) => match unchunked(&self.bytes[length..])? {
                None if self.bytes.len() > MOST_ANSWER => return Err(Unread::Endless),
                None => return Ok(None),
                Some((body, used)) => (body, length + used),
            },
            _ => return Err(Unread::NoLength),
        };
        let (body, used) = body;
        self.bytes.drain(..used);
        self.bytes.shrink_to(MOST_HEAD);
        Ok(Some(serde_json::from_slice(&body).map_err(Unread::Events)?))
    }
}

/// A whole chunked body and the bytes it took.
fn unchunked(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let parsed = httparse::parse_chunk_size(&bytes[at..]).map_err(|_| Unread::Chunk)?;
        let httparse::Status::Complete((head, size)) = parsed else { return Ok(None) };
        if size > (MOST_ANSWER - body.len()) as u64 {
            return Err(Unread::Endless);
        }
        let (from, size) = (at + head, size as usize);
        let Some(end) = bytes.get(from + size..from + size + 2) else { return Ok(None) };
        if end != b"\r\n" {
            return Err(Unread::Chunk);
        }
        body.extend_from_slice(&bytes[from..from + size]);
        at = from + size + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
    }
}

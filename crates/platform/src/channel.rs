//! The command channel: numbered events that change the list of workers. Call [`Follower::batch`] with what the
//! configuration knew and with each answer; it gives the lists to be told, each event once and in order.
//! [`Follower::ask`] makes the next question, [`Answers`] cuts answers out of the bytes that come.
//!
//! Mechanisms:
//! 1. An event whose number is not above the last one taken changes nothing.
//! 2. What cannot be read voids its answer: nothing of it is taken, and the same question is asked again.

use anyhow::{Context, Result, bail, ensure};
use cedarpulley::interface::{ListMode, Micros, Standing};
use serde::Deserialize;

use crate::config::Names;

/// Asked for this wait, of the 5 s that the protocol allows: a channel that has stopped but stays open is noticed so
/// much later.
pub const ASKED_WAIT: Micros = 1_000_000;
/// An answer names some thousands of workers at most.
const MOST_ANSWER: usize = 4 << 20;
/// Heads of answers: a few short fields.
const MOST_HEAD: usize = 8 << 10;
const MOST_HEADERS: usize = 32;

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

/// One worker as an event names it, in the router's terms.
#[derive(Clone, Debug, PartialEq)]
pub struct Named {
    pub id: String,
    pub address: Option<std::net::SocketAddr>,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub standing: Standing,
    pub weight: f64,
    /// On the wall's clock.
    pub started: Option<Micros>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct News {
    pub mode: ListMode,
    pub workers: Vec<Named>,
}

#[derive(Debug, Default)]
pub struct Follower {
    last: u64,
    /// Events that had been taken before.
    pub repeated: u64,
}

impl Follower {
    /// The question for what came after the last event.
    pub fn ask(&self, host: &str) -> Vec<u8> {
        format!(
            "GET /cmd/next?resume={}&block={} HTTP/1.1\r\nHost: {host}\r\n\r\n",
            self.last,
            ASKED_WAIT / 1_000
        )
        .into_bytes()
    }

    pub fn last(&self) -> u64 {
        self.last
    }

    /// The news in a batch, in order; all of it or, where it cannot be read, nothing.
    pub fn batch(&mut self, batch: &Batch, names: &Names) -> Result<Vec<News>> {
        let mut news = Vec::new();
        let (mut last, mut repeated) = (self.last, 0);
        for command in &batch.cmds {
            if command.cursor <= last {
                repeated += 1;
                continue;
            }
            last = command.cursor;
            if let Some(nodes) = &command.nodes {
                let workers = nodes.servers.iter().map(|s| named(s, names)).collect::<Result<_>>()?;
                let mode = if nodes.full { ListMode::Complete } else { ListMode::Changes };
                news.push(News { mode, workers });
            }
        }
        self.last = last.max(batch.cursor);
        self.repeated += repeated;
        Ok(news)
    }
}

fn named(server: &Server, names: &Names) -> Result<Named> {
    let place = |list: &[String], name: &str| list.iter().position(|n| n == name).unwrap_or(0) as u32;
    let standing = match server.state.as_str() {
        "active" => Standing::InService,
        "leaving" => Standing::Draining,
        "left" => Standing::Gone,
        other => bail!("state '{other}' of worker '{}' is unknown", server.id),
    };
    let address = server.addr.parse().ok();
    ensure!(
        address.is_some() || standing == Standing::Gone,
        "address '{}' of worker '{}' cannot be read",
        server.addr,
        server.id
    );
    Ok(Named {
        id: server.id.clone(),
        address,
        zone: place(&names.zones, &server.zone),
        kind: place(&names.kinds, &server.kind),
        cell: server.cell,
        standing,
        weight: server.weight,
        started: Some(server.started_ms).filter(|&ms| ms > 0).map(|ms| ms.saturating_mul(1_000)),
    })
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
        let length = match head.parse(&self.bytes).context("the head of an answer")? {
            httparse::Status::Partial => {
                ensure!(self.bytes.len() <= MOST_HEAD, "the head of an answer has no end");
                return Ok(None);
            }
            httparse::Status::Complete(n) => n,
        };
        ensure!(head.code == Some(200), "answer {}", head.code.unwrap_or(0));
        let field = |name: &str| head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        let body = match (field("content-length"), field("transfer-encoding")) {
            (Some(size), None) => {
                let size: usize =
                    std::str::from_utf8(size.value)?.trim().parse().context("content-length")?;
                ensure!(size <= MOST_ANSWER, "an answer of {size} bytes");
                match self.bytes.get(length..length + size) {
                    None => return Ok(None),
                    Some(body) => (body.to_vec(), length + size),
                }
            }
            (None, Some(_)) => match unchunked(&self.bytes[length..])? {
                None => {
                    ensure!(self.bytes.len() <= MOST_ANSWER, "an answer without end");
                    return Ok(None);
                }
                Some((body, used)) => (body, length + used),
            },
            _ => bail!("an answer without a length"),
        };
        let (body, used) = body;
        self.bytes.drain(..used);
        self.bytes.shrink_to(MOST_HEAD);
        Ok(Some(serde_json::from_slice(&body).context("the events of an answer")?))
    }
}

/// A whole chunked body and the bytes it took.
fn unchunked(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let parsed =
            httparse::parse_chunk_size(&bytes[at..]).map_err(|_| anyhow::anyhow!("a chunk's size"))?;
        let httparse::Status::Complete((head, size)) = parsed else { return Ok(None) };
        ensure!(size <= (MOST_ANSWER - body.len()) as u64, "an answer of too many chunks");
        let (from, size) = (at + head, size as usize);
        let Some(end) = bytes.get(from + size..from + size + 2) else { return Ok(None) };
        ensure!(end == b"\r\n", "a chunk without end");
        body.extend_from_slice(&bytes[from..from + size]);
        at = from + size + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
    }
}

//! Records rejected envelopes by the member that the sender claims to be; senders that cannot be identified share one
//! entry. This module does no I/O: its caller passes each rejection with its time, and logs it if told to.
//!
//! Mechanisms:
//! 1. Each combination of process and cause is logged once: members of another build are rejected many times a second,
//!    and must appear in the log without filling it.
//! 2. Two processes with the name of one member share an entry. A different process or cause is logged only
//!    [`LOG_INTERVAL`] after the last log line of the entry.
//! 3. Once an envelope of a member is accepted, the member is no longer shown as rejected.

use std::net::IpAddr;

use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
use cedarpulley_membership::MemberIndex;
use serde_json::{Value, json};

/// Why an envelope was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectionCause {
    /// The sender uses another version of the protocol.
    #[error("a member speaks another version")]
    Version,
    /// The sender belongs to another group, or has other members configured.
    #[error("a member of another group, or with other members listed")]
    Group,
    /// The envelope is for another member, or its sender is not a member.
    #[error("it is for another member, or from none")]
    Member,
    /// The envelope cannot be decoded.
    #[error("it cannot be read")]
    Unreadable,
}

impl Remedy for RejectionCause {
    fn remedy(&self) -> &'static str {
        match self {
            RejectionCause::Version => "run one build in all routers of the group",
            RejectionCause::Group => "give all routers of the group the same [[peers.member]] list",
            RejectionCause::Member => {
                "see that each member's address in the settings leads to that member"
            }
            RejectionCause::Unreadable => "see what else connects to peers.listen",
        }
    }
}

/// Minimum time between two log lines of one entry, in microseconds. Two processes with the name of one member both
/// appear in the log, and do not fill it.
pub const LOG_INTERVAL: Micros = 10_000_000;

/// A rejected envelope, as far as it could be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why it was rejected.
    pub cause: RejectionCause,
    /// Version of the protocol that it states, if that can be decoded.
    pub version: Option<u16>,
    /// Its sender, if known: the member that it claims to be, and the nonce of its process.
    pub from: Option<(MemberIndex, u64)>,
    /// Address from which it was received.
    pub address: Option<IpAddr>,
}

/// An entry: the last rejection, and what was logged.
struct RejectionRecord {
    last: Rejection,
    /// Time of the last rejection, in microseconds.
    at: Micros,
    /// Number of rejections.
    times: u64,
    /// Whether no envelope of the member has been accepted since.
    is_active: bool,
    /// Cause and process of the last log line.
    logged: (RejectionCause, u64),
    /// Time of the last log line, in microseconds.
    logged_at: Micros,
}

/// The rejections of each member, and of all senders that cannot be identified.
pub struct RejectedEnvelopes {
    /// By member; the last entry is for all senders that cannot be identified.
    records: Vec<Option<RejectionRecord>>,
}

impl RejectedEnvelopes {
    /// Creates an empty record. `members`: number of members of the group.
    pub fn new(members: usize) -> Self {
        RejectedEnvelopes {
            records: (0..=members).map(|_| None).collect(),
        }
    }

    /// Index of the entry for a sender.
    fn index(&self, from: Option<(MemberIndex, u64)>) -> usize {
        let others = self.records.len() - 1;
        from.map_or(others, |(m, _)| (m as usize).min(others))
    }

    /// Records a rejection at `now` (microseconds); returns whether the caller should log it.
    pub fn record(&mut self, now: Micros, last: Rejection) -> bool {
        let (index, logged) = (
            self.index(last.from),
            (last.cause, last.from.map_or(0, |f| f.1)),
        );
        let record = &mut self.records[index];
        let (should_log, times) = match record {
            None => (true, 0),
            Some(previous) => (
                previous.logged != logged && now - previous.logged_at >= LOG_INTERVAL,
                previous.times,
            ),
        };
        let (logged, logged_at) = match record {
            Some(previous) if !should_log => (previous.logged, previous.logged_at),
            _ => (logged, now),
        };
        *record = Some(RejectionRecord {
            last,
            at: now,
            times: times + 1,
            is_active: true,
            logged,
            logged_at,
        });
        should_log
    }

    /// Records that an envelope of this member was accepted.
    pub fn accepted(&mut self, from: MemberIndex) {
        if let Some(Some(record)) = self.records.get_mut(from as usize) {
            record.is_active = false;
        }
    }

    /// For the state endpoint: the rejections of a member or, if `member` is absent, of all senders that cannot be
    /// identified; null if there are none.
    pub fn state(&self, now: Micros, member: Option<MemberIndex>) -> Value {
        let record = &self.records[self.index(member.map(|m| (m, 0)))];
        let Some(record) = record.as_ref().filter(|record| record.is_active) else {
            return Value::Null;
        };
        let last = &record.last;
        json!({
            "why": last.cause.to_string(), "do": last.cause.remedy(), "version": last.version,
            "address": last.address, "times": record.times, "us_ago": now - record.at,
        })
    }
}

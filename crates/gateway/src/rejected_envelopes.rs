//! Keeps track of rejected envelopes, by the member that the sender claims to be; senders that cannot be
//! identified share one entry. Free of I/O: a rejection goes in with its time, and whether to log it comes out.
//!
//! Mechanisms:
//! 1. Each process and cause is logged once: members of an earlier build are rejected many times a second, and
//!    must be named in the log without filling it.
//! 2. Two processes under one name share an entry; a different one is logged only `LOG_INTERVAL` after the
//!    last log line.
//! 3. Once an envelope of the member is accepted, it is no longer shown as rejected.

use std::net::IpAddr;

use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
use cedarpulley_membership::MemberIndex;
use serde_json::{Value, json};

/// Why an envelope was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectionCause {
    /// The sender speaks another version of the protocol.
    #[error("a member speaks another version")]
    Version,
    /// The sender is of another group, or has other members configured.
    #[error("a member of another group, or with other members listed")]
    Group,
    /// It is for another member, or its sender is not a member.
    #[error("it is for another member, or from none")]
    Member,
    /// It cannot be decoded.
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

/// Minimum time between log lines of two processes that share an entry, in microseconds: an operator sees
/// both, and the log is not filled.
pub const LOG_INTERVAL: Micros = 10_000_000;

/// What is known of a rejected envelope.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The cause.
    pub cause: RejectionCause,
    /// Wire version that it states, if any.
    pub version: Option<u16>,
    /// Its sender, if known: the member that it claims to be, and its process.
    pub from: Option<(MemberIndex, u64)>,
    /// Address that it came from.
    pub address: Option<IpAddr>,
}

/// The last rejection of one entry.
struct RejectionRecord {
    last: Rejection,
    at: Micros,
    times: u64,
    /// No envelope of it has been accepted since.
    is_active: bool,
    /// Cause and process that were logged last.
    logged: (RejectionCause, u64),
    logged_at: Micros,
}

/// The rejections of each member, and of all senders that cannot be identified.
pub struct RejectedEnvelopes {
    /// By member; the last entry is for all senders that cannot be identified.
    records: Vec<Option<RejectionRecord>>,
}

impl RejectedEnvelopes {
    /// `members`: how many the group has.
    pub fn new(members: usize) -> Self {
        RejectedEnvelopes {
            records: (0..=members).map(|_| None).collect(),
        }
    }

    fn index(&self, from: Option<(MemberIndex, u64)>) -> usize {
        let others = self.records.len() - 1;
        from.map_or(others, |(m, _)| (m as usize).min(others))
    }

    /// Records a rejection at `now` (microseconds); true if it is to be logged.
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

    /// An envelope of this member was accepted.
    pub fn accepted(&mut self, from: MemberIndex) {
        if let Some(Some(record)) = self.records.get_mut(from as usize) {
            record.is_active = false;
        }
    }

    /// For the state endpoint: the rejections of a member or, without one, of all unidentified senders; null
    /// where nobody is rejected.
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

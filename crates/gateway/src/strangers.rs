//! Whoever speaks to this router's group and was refused, by the member that it says it is and, in one place, all that
//! say nothing that can be known. Free of I/O: a refusal goes in with its time, whether the log is to say it comes out.
//!
//! Mechanisms:
//! 1. Each process and cause is said once. Symptom: members of an earlier build were refused many times a second, each
//!    refusal was counted, and no log named them.
//! 2. Two processes under one name take turns in one place: something else is said [`SAID_EVERY`] after the last.
//! 3. Who is taken afterwards is shown as refused no longer.

use std::net::IpAddr;

use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
use cedarpulley_membership::MemberIx;
use serde_json::{Value, json};

/// Why an envelope was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Strange {
    #[error("a member speaks another version")]
    Version,
    #[error("a member of another group, or with other members listed")]
    Group,
    #[error("it is for another member, or from none")]
    Member,
    #[error("it cannot be read")]
    Unreadable,
}

impl Remedy for Strange {
    fn remedy(&self) -> &'static str {
        match self {
            Strange::Version => "run one build in all routers of the group",
            Strange::Group => "give all routers of the group the same [[peers.member]] list",
            Strange::Member => "see that each member's address in the settings leads to that member",
            Strange::Unreadable => "see what else connects to peers.listen",
        }
    }
}

/// So long between two that share a place: an operator reads both, and no log is filled.
const SAID_EVERY: Micros = 10_000_000;

/// What is known of an envelope that was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    pub why: Strange,
    /// Of the wire, as it says; none if it says nothing.
    pub version: Option<u16>,
    /// Its sender, if it can be known: the member that it says it is, and its process.
    pub from: Option<(MemberIx, u64)>,
    pub address: Option<IpAddr>,
}

struct Place {
    last: Refused,
    at: Micros,
    times: u64,
    /// Nothing of it was taken since.
    stands: bool,
    said: (Strange, u64),
    said_at: Micros,
}

pub struct Strangers {
    /// By member, then the one of all others.
    places: Vec<Option<Place>>,
}

impl Strangers {
    pub fn new(members: usize) -> Self {
        Strangers { places: (0..=members).map(|_| None).collect() }
    }

    fn at(&self, from: Option<(MemberIx, u64)>) -> usize {
        let others = self.places.len() - 1;
        from.map_or(others, |(m, _)| (m as usize).min(others))
    }

    /// True if it is to be said.
    pub fn refused(&mut self, now: Micros, last: Refused) -> bool {
        let (at, said) = (self.at(last.from), (last.why, last.from.map_or(0, |f| f.1)));
        let place = &mut self.places[at];
        let (is_new, times) = match place {
            None => (true, 0),
            Some(p) => (p.said != said && now - p.said_at >= SAID_EVERY, p.times),
        };
        let (said, said_at) = match place {
            Some(p) if !is_new => (p.said, p.said_at),
            _ => (said, now),
        };
        *place = Some(Place { last, at: now, times: times + 1, stands: true, said, said_at });
        is_new
    }

    pub fn taken(&mut self, from: MemberIx) {
        if let Some(Some(place)) = self.places.get_mut(from as usize) {
            place.stands = false;
        }
    }

    /// Of a member, or with none of all others; null where nobody is refused.
    pub fn shown(&self, now: Micros, member: Option<MemberIx>) -> Value {
        let place = &self.places[self.at(member.map(|m| (m, 0)))];
        place.as_ref().filter(|p| p.stands).map_or(Value::Null, |p| {
            json!({
                "why": p.last.why.to_string(), "do": p.last.why.remedy(), "version": p.last.version,
                "address": p.last.address, "times": p.times, "us_ago": now - p.at,
            })
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_process_and_cause_is_said_once_and_two_under_one_name_do_not_fill_a_log() {
        let mut strangers = Strangers::new(3);
        let of = |why, process| Refused { why, version: Some(1), from: Some((1, process)), address: None };
        let mut said = |now, why, process| strangers.refused(now, of(why, process));
        assert!(said(0, Strange::Version, 7));
        // Once, however long it goes on.
        assert!((1..1000).all(|n| !said(n * SAID_EVERY, Strange::Version, 7)));
        assert!(said(1000 * SAID_EVERY, Strange::Version, 8));
        assert!((1..1000).all(|n| !said(1000 * SAID_EVERY + n, Strange::Version, 7 + n as u64 % 2)));
        assert!(said(1001 * SAID_EVERY, Strange::Group, 8));
        assert_eq!(
            (strangers.shown(0, Some(1))["times"].as_u64(), strangers.shown(0, Some(2))),
            (Some(2001), Value::Null)
        );
        strangers.taken(1);
        assert_eq!(strangers.shown(0, Some(1)), Value::Null);
    }
}

//! Which envelopes a router accepts, the members' clocks that envelopes carry, and counts of both.

use std::net::IpAddr;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
use cedarpulley_membership::{Incarnation, MemberIndex};
use cedarpulley_replica as replica;
use serde::Serialize;
use serde_json::Value;

use crate::peer_messages::Envelope;
use crate::rejected_envelopes::{RejectedEnvelopes, Rejection, RejectionCause};

/// Assumed transit time of a member's message while nothing bounds it: long before any router began. In
/// microseconds.
const UNKNOWN_TRANSIT: Micros = Micros::MAX / 4;

/// Envelopes received and those rejected, by cause. The names are those of the state endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EnvelopeCounts {
    /// All that were received, rejected ones included.
    pub envelopes: u64,
    /// Rejected: of another protocol version.
    pub other_version: u64,
    /// Rejected: of another group, or of one with other members configured.
    pub other_group: u64,
    /// Rejected: for another member, or from none.
    pub other_member: u64,
    /// Rejected as they could not be decoded; and single messages that could not.
    pub unreadable: u64,
    /// Answers stored by another member that could not be decoded here.
    pub unreadable_answers: u64,
}

/// A member of a group as the receiver of envelopes.
pub(crate) struct EnvelopeReceiver {
    /// Fingerprint of its group.
    pub(crate) group: u64,
    pub(crate) own_index: MemberIndex,
    /// Members in its group.
    pub(crate) members: usize,
}

impl EnvelopeReceiver {
    /// Decodes an envelope that is of this group and for this member.
    fn decode(&self, bytes: &[u8]) -> Result<Envelope, Rejection> {
        let unidentified = Rejection {
            cause: RejectionCause::Unreadable,
            version: None,
            from: None,
            address: None,
        };
        // All versions have the version in front, whatever follows it.
        let Ok((version, _)) = postcard::take_from_bytes::<u16>(bytes) else {
            return Err(unidentified);
        };
        let envelope = postcard::from_bytes::<Envelope>(bytes).ok();
        let from = envelope
            .as_ref()
            .filter(|e| e.group == self.group)
            .filter(|e| e.from != self.own_index && (e.from as usize) < self.members)
            .map(|e| (e.from, e.process.nonce));
        let cause = match &envelope {
            _ if version != replica::VERSION => RejectionCause::Version,
            None => RejectionCause::Unreadable,
            Some(e) if e.group != self.group => RejectionCause::Group,
            Some(e) if e.to != self.own_index || from.is_none() => RejectionCause::Member,
            Some(_) => return envelope.ok_or(unidentified),
        };
        Err(Rejection {
            cause,
            version: Some(version),
            from,
            address: None,
        })
    }
}

/// Another member's clock as last received.
#[derive(Clone, Copy, Default)]
struct PeerClock {
    /// In microseconds.
    reading: Micros,
    /// The process that it belongs to.
    nonce: u64,
}

/// Accepts and makes the envelopes of one router.
pub(crate) struct EnvelopeExchange {
    receiver: EnvelopeReceiver,
    /// Of this process.
    nonce: u64,
    /// By member.
    clocks: Vec<PeerClock>,
    counts: EnvelopeCounts,
    rejected: RejectedEnvelopes,
}

impl EnvelopeExchange {
    /// `nonce`: unique for this process.
    pub(crate) fn new(receiver: EnvelopeReceiver, nonce: u64) -> Self {
        EnvelopeExchange {
            clocks: vec![PeerClock::default(); receiver.members],
            rejected: RejectedEnvelopes::new(receiver.members),
            receiver,
            nonce,
            counts: EnvelopeCounts::default(),
        }
    }

    /// Decodes an envelope received from `address`, with the longest time that it can have been under way
    /// (microseconds). One of another version, group or receiver is counted, logged and rejected.
    pub(crate) fn accept<'a>(
        &mut self,
        now: Micros,
        address: Option<IpAddr>,
        bytes: &[u8],
        name_of: impl Fn(MemberIndex) -> &'a str,
    ) -> Result<(Envelope, Micros), RejectionCause> {
        self.counts.envelopes += 1;
        let envelope = match self.receiver.decode(bytes) {
            Ok(envelope) => envelope,
            Err(rejection) => {
                self.record_rejection(
                    now,
                    Rejection {
                        address,
                        ..rejection
                    },
                    name_of,
                );
                return Err(rejection.cause);
            }
        };
        self.rejected.accepted(envelope.from);
        self.clocks[envelope.from as usize] = PeerClock {
            reading: envelope.clock,
            nonce: envelope.process.nonce,
        };
        let transit = if envelope.echo_of == self.nonce {
            (now - envelope.echo).max(0)
        } else {
            UNKNOWN_TRANSIT
        };
        Ok((envelope, transit))
    }

    fn record_rejection<'a>(
        &mut self,
        now: Micros,
        rejection: Rejection,
        name_of: impl Fn(MemberIndex) -> &'a str,
    ) {
        *match rejection.cause {
            RejectionCause::Version => &mut self.counts.other_version,
            RejectionCause::Group => &mut self.counts.other_group,
            RejectionCause::Member => &mut self.counts.other_member,
            RejectionCause::Unreadable => &mut self.counts.unreadable,
        } += 1;
        if self.rejected.record(now, rejection) {
            let member = rejection.from.map(|(member, _)| name_of(member));
            let (version, address) = (rejection.version, rejection.address.map(|a| a.to_string()));
            let cause = rejection.cause.line();
            tracing::warn!(member, version, address, cause, "group: envelope rejected");
        }
    }

    /// An envelope with these encoded messages for a member. `process`: this one.
    pub(crate) fn envelope(
        &self,
        now: Micros,
        to: MemberIndex,
        process: Incarnation,
        messages: Vec<Bytes>,
    ) -> Envelope {
        let clock = self.clocks.get(to as usize).copied().unwrap_or_default();
        Envelope {
            version: replica::VERSION,
            group: self.receiver.group,
            from: self.receiver.own_index,
            to,
            process,
            clock: now,
            echo: clock.reading,
            echo_of: clock.nonce,
            messages,
        }
    }

    pub(crate) fn count_unreadable_message(&mut self) {
        self.counts.unreadable += 1;
    }

    pub(crate) fn count_unreadable_answer(&mut self) {
        self.counts.unreadable_answers += 1;
    }

    pub(crate) fn counts(&self) -> &EnvelopeCounts {
        &self.counts
    }

    /// Rejected envelopes in the name of this member or, without one, of all senders that cannot be identified.
    pub(crate) fn rejections(&self, now: Micros, member: Option<MemberIndex>) -> Value {
        self.rejected.state(now, member)
    }
}

//! Creates envelopes, and accepts or rejects received ones. It counts both, and follows the members' clocks that
//! envelopes contain.

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

/// Assumed upper bound of the transit time of a member's message, in microseconds, if its envelope does not return a
/// clock reading of this process. The message then counts as sent long before any router started.
const UNKNOWN_TRANSIT: Micros = Micros::MAX / 4;

/// Counts of received envelopes, and of rejected ones by cause. The field names appear in the state endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EnvelopeCounts {
    /// All received envelopes, including rejected ones.
    pub envelopes: u64,
    /// Rejected: the envelope has another protocol version.
    pub other_version: u64,
    /// Rejected: the sender belongs to another group, or to one with other members configured.
    pub other_group: u64,
    /// Rejected: the envelope is for another member, or its sender is not a member.
    pub other_member: u64,
    /// Envelopes rejected because they could not be decoded, and single messages that could not be decoded.
    pub unreadable: u64,
    /// Answers that another member stored and this router could not decode.
    pub unreadable_answers: u64,
}

/// Identifies this member as the receiver of envelopes.
pub(crate) struct EnvelopeReceiver {
    /// Fingerprint of the group.
    pub(crate) group: u64,
    /// Index of this member.
    pub(crate) own_index: MemberIndex,
    /// Number of members of the group.
    pub(crate) members: usize,
}

impl EnvelopeReceiver {
    /// Decodes an envelope; rejects it unless it has this protocol version, comes from another member of this group and
    /// is for this member.
    fn decode(&self, bytes: &[u8]) -> Result<Envelope, Rejection> {
        let unidentified = Rejection {
            cause: RejectionCause::Unreadable,
            version: None,
            from: None,
            address: None,
        };
        // Every version of the protocol encodes its version first.
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

/// The clock of another member, as last received.
#[derive(Clone, Copy, Default)]
struct PeerClock {
    /// The reading in microseconds.
    reading: Micros,
    /// Nonce of the process whose clock it is.
    nonce: u64,
}

/// Creates and accepts the envelopes of one router.
pub(crate) struct EnvelopeExchange {
    receiver: EnvelopeReceiver,
    /// Nonce of this process.
    nonce: u64,
    /// Last received clock of each member, by member index.
    clocks: Vec<PeerClock>,
    counts: EnvelopeCounts,
    rejected: RejectedEnvelopes,
}

impl EnvelopeExchange {
    /// Creates the exchange of a process. `nonce`: unique for this process.
    pub(crate) fn new(receiver: EnvelopeReceiver, nonce: u64) -> Self {
        EnvelopeExchange {
            clocks: vec![PeerClock::default(); receiver.members],
            rejected: RejectedEnvelopes::new(receiver.members),
            receiver,
            nonce,
            counts: EnvelopeCounts::default(),
        }
    }

    /// Decodes an envelope received from `address`; returns it with an upper bound of its transit time in microseconds.
    /// An envelope of another version, group or receiver is counted, logged and rejected.
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

    /// Counts a rejection, and logs it if it is due to be logged.
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

    /// Creates an envelope with these encoded messages for a member. `process`: incarnation of this process.
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

    /// Counts a message in an accepted envelope that could not be decoded.
    pub(crate) fn count_unreadable_message(&mut self) {
        self.counts.unreadable += 1;
    }

    /// Counts a stored answer of another member that could not be decoded.
    pub(crate) fn count_unreadable_answer(&mut self) {
        self.counts.unreadable_answers += 1;
    }

    /// The counts so far.
    pub(crate) fn counts(&self) -> &EnvelopeCounts {
        &self.counts
    }

    /// For the state endpoint: the rejected envelopes that name this member as their sender or, if `member` is absent,
    /// those of all senders that cannot be identified.
    pub(crate) fn rejections(&self, now: Micros, member: Option<MemberIndex>) -> Value {
        self.rejected.state(now, member)
    }
}

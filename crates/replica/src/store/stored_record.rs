//! A record as a member stores it, and its copy that is sent to other members and persisted.

use cedarpulley::interface::Micros;
use serde::{Deserialize, Serialize};

use crate::record::{Invocation, Record};

/// Identifies a record by the process that created it and by its position among the records of that process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Origin {
    /// The nonce of the process.
    pub nonce: u64,
    /// A number that increases with each record of the process.
    pub serial: u64,
}

/// A record as a member stores it. Its times are times of this member's clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredRecord {
    /// The record.
    pub record: Record,
    /// The process that created the record; for an invocation, the process of its owner.
    pub origin: Origin,
    /// When the record is removed.
    pub expires_at: Micros,
    /// When the first dispatch was sent, if any was sent.
    pub first_dispatch: Option<Micros>,
    /// Until this time, a member that does not have this record has never had it, and new dispatches may be sent. A
    /// takeover does not extend this time.
    pub proof_until: Option<Micros>,
}

/// A copy of a record, to be sent to other members or persisted. Its times are relative to the time at which the copy
/// was made, in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordCopy {
    /// The record.
    pub record: Record,
    /// The process that created the record; for an invocation, the process of its owner.
    pub origin: Origin,
    /// The time until the record expires.
    pub expires_in: Micros,
    /// The time since the first dispatch was sent.
    pub first_dispatch_ago: Option<Micros>,
    /// The time until the absence of the record is no longer a proof; negative afterwards.
    pub proof_expires_in: Option<Micros>,
}

/// The earlier of two times. If only one time is given, that time.
fn earlier(a: Option<Micros>, b: Option<Micros>) -> Option<Micros> {
    a.zip(b).map(|(a, b)| a.min(b)).or(a).or(b)
}

impl StoredRecord {
    /// A record without a dispatch, whose absence at other members proves nothing.
    pub fn new(record: Record, origin: Origin, expires_at: Micros) -> Self {
        StoredRecord {
            record,
            origin,
            expires_at,
            first_dispatch: None,
            proof_until: None,
        }
    }

    /// A copy for other members or the disk.
    pub fn to_copy(&self, now: Micros) -> RecordCopy {
        RecordCopy {
            record: self.record.clone(),
            origin: self.origin,
            expires_in: self.expires_at.saturating_sub(now),
            first_dispatch_ago: self.first_dispatch.map(|first| now.saturating_sub(first)),
            proof_expires_in: self.proof_until.map(|until| until.saturating_sub(now)),
        }
    }

    /// Converts a copy to times of this member's clock. `transit`: an upper bound of the time that the copy was in
    /// transit.
    pub(super) fn from_copy(now: Micros, copy: &RecordCopy, transit: Micros) -> Self {
        let after = |left: Micros| now.saturating_add(left.saturating_sub(transit));
        let before = |ago: Micros| now.saturating_sub(ago.saturating_add(transit));
        StoredRecord {
            record: copy.record.clone(),
            origin: copy.origin,
            expires_at: after(copy.expires_in),
            first_dispatch: copy.first_dispatch_ago.map(before),
            proof_until: copy.proof_expires_in.map(after),
        }
    }

    /// Merges another member's record into this one, and returns whether the content of this one has changed.
    pub(super) fn merge(&mut self, theirs: &StoredRecord) -> bool {
        let owner = self.record.owner();
        let changed = self.record.merge(&theirs.record);
        self.first_dispatch = earlier(self.first_dispatch, theirs.first_dispatch);
        self.proof_until = earlier(self.proof_until, theirs.proof_until);
        if self.record.owner() != owner {
            (self.origin, self.expires_at) = (theirs.origin, theirs.expires_at);
        } else if theirs.record.owner() == owner {
            self.expires_at = self.expires_at.max(theirs.expires_at);
        }
        changed
    }

    /// Whether this is the record of a choice.
    pub(super) fn is_choice(&self) -> bool {
        matches!(self.record, Record::Choice(_))
    }

    /// Whether two different answers are known.
    pub(super) fn has_conflict(&self) -> bool {
        matches!(
            self.record,
            Record::Invocation(Invocation {
                has_conflict: true,
                ..
            })
        )
    }
}

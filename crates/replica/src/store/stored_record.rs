//! One record as a member stores it, and the copy of it that is sent and persisted.

use cedarpulley::interface::Micros;
use serde::{Deserialize, Serialize};

use crate::record::{Invocation, Record};

/// Identifies a record by its process and its place in the order in which that process made its records.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Origin {
    /// The process.
    pub nonce: u64,
    /// Grows with each record of the process.
    pub serial: u64,
}

/// A record as a member stores it; its times are of this member's clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredRecord {
    /// The record.
    pub record: Record,
    /// Who made it; for an invocation, who owns it.
    pub origin: Origin,
    /// When it is removed.
    pub expires_at: Micros,
    /// When the first dispatch was sent, where one was.
    pub first_dispatch: Option<Micros>,
    /// Until then, a member without this record never had it, and new dispatches may be sent. A takeover does not
    /// extend this time.
    pub proof_until: Option<Micros>,
}

/// A copy of a record, sent to other members or persisted; its times are relative to the time of the copy.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordCopy {
    /// The record.
    pub record: Record,
    /// Who made it; for an invocation, who owns it.
    pub origin: Origin,
    /// The time until it expires.
    pub expires_in: Micros,
    /// The time since the first dispatch was sent.
    pub first_dispatch_ago: Option<Micros>,
    /// The time until the absence of the record is no longer a proof; negative afterwards.
    pub proof_expires_in: Option<Micros>,
}

fn earlier(a: Option<Micros>, b: Option<Micros>) -> Option<Micros> {
    a.zip(b).map(|(a, b)| a.min(b)).or(a).or(b)
}

impl StoredRecord {
    /// A record of which nothing was dispatched and nothing is proven.
    pub fn new(record: Record, origin: Origin, expires_at: Micros) -> Self {
        StoredRecord {
            record,
            origin,
            expires_at,
            first_dispatch: None,
            proof_until: None,
        }
    }

    /// A copy for other members or for the disk.
    pub fn to_copy(&self, now: Micros) -> RecordCopy {
        RecordCopy {
            record: self.record.clone(),
            origin: self.origin,
            expires_in: self.expires_at.saturating_sub(now),
            first_dispatch_ago: self.first_dispatch.map(|first| now.saturating_sub(first)),
            proof_expires_in: self.proof_until.map(|until| until.saturating_sub(now)),
        }
    }

    /// `transit`: an upper bound of the time that the copy was under way.
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

    /// True if the record has changed.
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

    /// Two different answers are known.
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

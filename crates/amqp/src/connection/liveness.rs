//! The clocks of a connection: heartbeats in both directions, and the time-outs of handshakes and commits.

use super::Micros;
use crate::ProtocolError;

/// The peer is dead after so many heartbeat intervals without a byte, as the specification has it.
const DEAD_AFTER_INTERVALS: Micros = 2;
/// From the first byte to consuming. Bounds brokers that send bytes but make no progress.
const HANDSHAKE_TIMEOUT: Micros = 5_000_000;
/// The longest wait for the reply to a commit.
const COMMIT_TIMEOUT: Micros = 5_000_000;

/// The replies that the peer owes in the connection's present state.
#[derive(Clone, Copy, Debug)]
pub(super) struct Awaited {
    /// The connection or its channel is being opened or closed.
    pub(super) handshake: bool,
    /// A commit in flight has to be confirmed; not so while the broker is blocked.
    pub(super) commit: bool,
}

/// When what happened last on a connection.
#[derive(Debug)]
pub(super) struct Liveness {
    /// Heartbeat interval; 0: no heartbeats.
    heartbeat: Micros,
    handshake_since: Micros,
    commit_since: Option<Micros>,
    received_at: Micros,
    sent_at: Micros,
}

impl Liveness {
    pub(super) fn new(now: Micros) -> Self {
        Liveness {
            heartbeat: 0,
            handshake_since: now,
            commit_since: None,
            received_at: now,
            sent_at: now,
        }
    }

    pub(super) fn set_heartbeat(&mut self, interval: Micros) {
        self.heartbeat = interval;
    }

    pub(super) fn on_received(&mut self, now: Micros) {
        self.received_at = now;
    }

    pub(super) fn on_sent(&mut self, now: Micros) {
        self.sent_at = now;
    }

    pub(super) fn on_handshake_started(&mut self, now: Micros) {
        self.handshake_since = now;
    }

    pub(super) fn on_commit_sent(&mut self, now: Micros) {
        self.commit_since = Some(now);
    }

    /// The commit in flight was confirmed, or its channel is lost.
    pub(super) fn on_commit_ended(&mut self) {
        self.commit_since = None;
    }

    /// The broker was blocked until now: its time to confirm a commit begins anew.
    pub(super) fn on_unblocked(&mut self, now: Micros) {
        self.commit_since = self.commit_since.map(|_| now);
    }

    /// Fails if the peer is silent or does not reply in time.
    pub(super) fn check(&self, now: Micros, awaited: Awaited) -> Result<(), ProtocolError> {
        if awaited.handshake && now - self.handshake_since >= HANDSHAKE_TIMEOUT {
            return Err(ProtocolError::HandshakeTimeout);
        }
        if awaited.commit
            && self
                .commit_since
                .is_some_and(|since| now - since >= COMMIT_TIMEOUT)
        {
            return Err(ProtocolError::CommitTimeout);
        }
        if self.heartbeat > 0 && now - self.received_at >= DEAD_AFTER_INTERVALS * self.heartbeat {
            return Err(ProtocolError::HeartbeatTimeout);
        }
        Ok(())
    }

    /// Whether a heartbeat has to be sent.
    pub(super) fn is_heartbeat_due(&self, now: Micros) -> bool {
        self.heartbeat > 0 && now - self.sent_at >= self.heartbeat / 2
    }

    /// When [`Self::check`] or [`Self::is_heartbeat_due`] may next have another result.
    pub(super) fn next_due(&self, awaited: Awaited) -> Micros {
        let handshake = if awaited.handshake {
            self.handshake_since + HANDSHAKE_TIMEOUT
        } else {
            Micros::MAX
        };
        let commit = match self.commit_since {
            Some(since) if awaited.commit => since + COMMIT_TIMEOUT,
            _ => Micros::MAX,
        };
        let heartbeat = match self.heartbeat {
            0 => Micros::MAX,
            interval => (self.sent_at + interval / 2)
                .min(self.received_at + DEAD_AFTER_INTERVALS * interval),
        };
        handshake.min(heartbeat).min(commit)
    }
}

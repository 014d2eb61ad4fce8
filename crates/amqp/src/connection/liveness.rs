//! Timers of a connection: heartbeats in both directions, and the time-outs of handshakes and commits.

use super::Micros;
use crate::ProtocolError;

/// Number of heartbeat intervals without a byte after which the peer is considered dead, as the specification requires.
const DEAD_AFTER_INTERVALS: Micros = 2;
/// Time limit for opening or closing the connection or its channel, in microseconds. Also limits brokers that send
/// bytes but make no progress.
const HANDSHAKE_TIMEOUT: Micros = 5_000_000;
/// Time limit for the reply to a commit, in microseconds.
const COMMIT_TIMEOUT: Micros = 5_000_000;

/// The replies that the peer owes in the connection's current state.
#[derive(Clone, Copy, Debug)]
pub(super) struct Awaited {
    /// Whether the connection or its channel is being opened or closed.
    pub(super) handshake: bool,
    /// Whether a commit in flight has to be confirmed in time; false while the broker is blocked.
    pub(super) commit: bool,
}

/// The times of the last events on a connection, in microseconds.
#[derive(Debug)]
pub(super) struct Liveness {
    /// Heartbeat interval in microseconds; 0 if there are no heartbeats.
    heartbeat_interval: Micros,
    /// When opening or closing started last.
    handshake_started_at: Micros,
    /// When the time-out of the commit in flight started, if there is one.
    commit_started_at: Option<Micros>,
    received_at: Micros,
    sent_at: Micros,
}

impl Liveness {
    pub(super) fn new(now: Micros) -> Self {
        Liveness {
            heartbeat_interval: 0,
            handshake_started_at: now,
            commit_started_at: None,
            received_at: now,
            sent_at: now,
        }
    }

    pub(super) fn set_heartbeat(&mut self, interval: Micros) {
        self.heartbeat_interval = interval;
    }

    pub(super) fn on_received(&mut self, now: Micros) {
        self.received_at = now;
    }

    pub(super) fn on_sent(&mut self, now: Micros) {
        self.sent_at = now;
    }

    pub(super) fn on_handshake_started(&mut self, now: Micros) {
        self.handshake_started_at = now;
    }

    pub(super) fn on_commit_sent(&mut self, now: Micros) {
        self.commit_started_at = Some(now);
    }

    /// The commit in flight was confirmed, or its channel was lost.
    pub(super) fn on_commit_ended(&mut self) {
        self.commit_started_at = None;
    }

    /// The broker is no longer blocked: the time-out of a commit in flight starts again.
    pub(super) fn on_unblocked(&mut self, now: Micros) {
        self.commit_started_at = self.commit_started_at.map(|_| now);
    }

    /// Fails if the peer has been silent for too long or owes a reply for too long.
    pub(super) fn check(&self, now: Micros, awaited: Awaited) -> Result<(), ProtocolError> {
        if awaited.handshake && now - self.handshake_started_at >= HANDSHAKE_TIMEOUT {
            return Err(ProtocolError::HandshakeTimeout);
        }
        if awaited.commit
            && self
                .commit_started_at
                .is_some_and(|started_at| now - started_at >= COMMIT_TIMEOUT)
        {
            return Err(ProtocolError::CommitTimeout);
        }
        if self.heartbeat_interval > 0
            && now - self.received_at >= DEAD_AFTER_INTERVALS * self.heartbeat_interval
        {
            return Err(ProtocolError::HeartbeatTimeout);
        }
        Ok(())
    }

    /// Whether a heartbeat has to be sent now.
    pub(super) fn is_heartbeat_due(&self, now: Micros) -> bool {
        self.heartbeat_interval > 0 && now - self.sent_at >= self.heartbeat_interval / 2
    }

    /// Returns the earliest time at which [`Self::check`] or [`Self::is_heartbeat_due`] may return another result.
    pub(super) fn next_due(&self, awaited: Awaited) -> Micros {
        let handshake = if awaited.handshake {
            self.handshake_started_at + HANDSHAKE_TIMEOUT
        } else {
            Micros::MAX
        };
        let commit = match self.commit_started_at {
            Some(started_at) if awaited.commit => started_at + COMMIT_TIMEOUT,
            _ => Micros::MAX,
        };
        let heartbeat = match self.heartbeat_interval {
            0 => Micros::MAX,
            interval => (self.sent_at + interval / 2)
                .min(self.received_at + DEAD_AFTER_INTERVALS * interval),
        };
        handshake.min(heartbeat).min(commit)
    }
}

//! Harness for a group of replicas in virtual time: the replicas, a network whose messages can be delayed or dropped,
//! and the recorded outputs.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::collections::BTreeMap;

use bytes::Bytes;
use cedarpulley_membership::{Group, Member, MemberIndex};
use cedarpulley_replica::{
    Durability, Input, Key, Message, NoMajorityReason, Outcome, Output, OwnershipDecision,
    RecordCopy, Replica, ReplicaSettings, SafetyCheck,
};

/// Microseconds in a millisecond.
pub const MILLISECOND: i64 = 1_000;
/// Time in microseconds for which records of invocations are retained.
pub const RETENTION: i64 = 6_000 * MILLISECOND;

/// Settings with one safety check disabled, or none, and a timeout for majorities in microseconds.
pub fn settings(disabled_check: Option<SafetyCheck>, majority_timeout: i64) -> ReplicaSettings {
    ReplicaSettings {
        disabled_check,
        ..ReplicaSettings::with_defaults(RETENTION, majority_timeout, 1)
    }
}

/// A group of `size` members of equal weight in two regions, as configured at the member `own_index`.
pub fn group(size: usize, own_index: usize) -> Group {
    let member = |i: usize| Member {
        name: format!("r{i}"),
        region: ["east", "west"][i % 2].to_owned(),
        weight: 1,
        witness: false,
    };
    Group::new(
        "g",
        (0..size).map(member).collect(),
        &format!("r{own_index}"),
    )
    .expect("a valid group")
}

/// A group of replicas in virtual time; vectors are indexed by member.
pub struct ReplicaGroup {
    /// Virtual time in microseconds.
    pub now: i64,
    /// The safety check that is disabled at all replicas.
    pub disabled_check: Option<SafetyCheck>,
    /// The replicas; none for a member that has crashed.
    pub replicas: Vec<Option<Replica>>,
    /// The nonce of each member's latest process.
    pub nonces: Vec<u64>,
    /// Messages in transit: sender, receiver, nonce of the sending process, time of sending and the message.
    pub in_transit: Vec<(MemberIndex, MemberIndex, u64, i64, Message)>,
    /// Ownership decisions that each replica returned.
    pub decisions: Vec<BTreeMap<Key, Vec<OwnershipDecision>>>,
    /// Answer to each requested dispatch permission, by dispatch.
    pub permissions: Vec<BTreeMap<u64, Result<bool, NoMajorityReason>>>,
    /// Outcomes of the proposals of each replica.
    pub outcomes: Vec<BTreeMap<Key, Vec<Outcome>>>,
    /// The last number given to a process (as its nonce) or to a dispatch.
    pub last_id: u64,
    /// Time in microseconds after which a replica stops waiting for a majority.
    pub majority_timeout: i64,
    /// Drift of each member's clock in thousandths; positive if the clock is fast.
    pub clock_drift: Vec<i64>,
    /// Time at which the drift started.
    pub drift_since: i64,
    /// Whether the replicas persist choices before they vote. Only choices are retained long enough on disk.
    pub is_persistent: bool,
    /// The batch that each member is writing to its disk.
    pub pending_batches: Vec<Option<PendingBatch>>,
    /// The records on each member's disk.
    pub disks: Vec<BTreeMap<Key, RecordCopy>>,
}

/// A batch of changed records with its serial number; a record of `None` was removed.
pub type PendingBatch = (u64, Vec<(Key, Option<RecordCopy>)>);

impl ReplicaGroup {
    /// A group whose members have all completed recovery.
    pub fn new(n: usize, disabled_check: Option<SafetyCheck>) -> ReplicaGroup {
        ReplicaGroup::with_majority_timeout(n, disabled_check, 800 * MILLISECOND)
    }

    /// As [`ReplicaGroup::new`], with another timeout for majorities in microseconds.
    pub fn with_majority_timeout(
        n: usize,
        disabled_check: Option<SafetyCheck>,
        majority_timeout: i64,
    ) -> ReplicaGroup {
        let mut w = ReplicaGroup::build(n, disabled_check, majority_timeout, false);
        w.advance(2 * RETENTION);
        w.in_transit.clear();
        w
    }

    /// A group whose members have just started and are still recovering.
    pub fn recovering(n: usize, disabled_check: Option<SafetyCheck>) -> ReplicaGroup {
        ReplicaGroup::build(n, disabled_check, 800 * MILLISECOND, false)
    }

    /// A group whose members have all completed recovery and persist choices before they vote.
    pub fn persistent(n: usize, disabled_check: Option<SafetyCheck>) -> ReplicaGroup {
        let mut w = ReplicaGroup::build(n, disabled_check, 800 * MILLISECOND, true);
        w.advance(2 * RETENTION);
        w.in_transit.clear();
        w
    }

    fn build(
        n: usize,
        disabled_check: Option<SafetyCheck>,
        majority_timeout: i64,
        is_persistent: bool,
    ) -> ReplicaGroup {
        let mut w = ReplicaGroup {
            now: 0,
            disabled_check,
            replicas: (0..n).map(|_| None).collect(),
            nonces: vec![0; n],
            in_transit: Vec::new(),
            decisions: vec![BTreeMap::new(); n],
            permissions: vec![BTreeMap::new(); n],
            outcomes: vec![BTreeMap::new(); n],
            last_id: 0,
            majority_timeout,
            clock_drift: vec![0; n],
            drift_since: 0,
            is_persistent,
            pending_batches: vec![None; n],
            disks: vec![BTreeMap::new(); n],
        };
        (0..n).for_each(|r| w.start(r, None));
        w
    }

    /// Starts a new process of a member with the records restored from its store; `None` if the store is lost.
    pub fn start(&mut self, r: usize, records: Option<Vec<(Key, RecordCopy)>>) {
        let n = self.replicas.len();
        self.last_id += 1;
        self.nonces[r] = self.last_id;
        let settings = ReplicaSettings {
            is_persistent: self.is_persistent,
            ..settings(self.disabled_check, self.majority_timeout)
        };
        let group = group(n, r);
        self.replicas[r] = Some(Replica::new(
            self.now,
            group,
            settings,
            self.last_id,
            records,
        ));
        (self.decisions[r], self.permissions[r]) = (BTreeMap::new(), BTreeMap::new());
        for m in 0..n {
            self.report_member(r, m, self.replicas[m].is_some());
            self.report_member(m, r, true);
        }
    }

    /// Stops a member's process and returns the records that it had.
    pub fn crash(&mut self, r: usize) -> Vec<(Key, RecordCopy)> {
        let records = self.stored_records(r);
        self.replicas[r] = None;
        records
    }

    /// Starts to write the changed records of a member to its disk, unless a batch is being written.
    pub fn start_batch(&mut self, r: usize) {
        let now = self.local_time(r);
        let Some(replica) = self.replicas[r]
            .as_mut()
            .filter(|_| self.pending_batches[r].is_none())
        else {
            return;
        };
        self.pending_batches[r] = Some(replica.changes(now));
    }

    /// Completes the batch that a member is writing to its disk, if any.
    pub fn commit_batch(&mut self, r: usize) {
        let Some((serial, changes)) = self.pending_batches[r].take() else {
            return;
        };
        for (key, shared) in changes {
            match shared {
                Some(shared) => self.disks[r].insert(key, shared),
                None => self.disks[r].remove(&key),
            };
        }
        self.handle(r, Input::Persisted { serial });
    }

    /// Restarts a member after a power cut: only the records on its disk are restored.
    pub fn restart_from_disk(&mut self, r: usize) {
        (self.replicas[r], self.pending_batches[r]) = (None, None);
        let records = self.disks[r]
            .iter()
            .map(|(key, shared)| (key.clone(), shared.clone()))
            .collect();
        self.start(r, Some(records));
    }

    /// Copies of all records of a member.
    pub fn stored_records(&self, r: usize) -> Vec<(Key, RecordCopy)> {
        self.replica(r)
            .records()
            .map(|(k, s)| (k.clone(), s.to_copy(self.now)))
            .collect()
    }

    /// The present time by a member's own clock.
    pub fn local_time(&self, r: usize) -> i64 {
        self.local_time_at(r, self.now)
    }

    /// The time by a member's own clock at the virtual time `now`.
    pub fn local_time_at(&self, r: usize, now: i64) -> i64 {
        now + (now - self.drift_since) * self.clock_drift[r] / 1_000
    }

    /// A running replica.
    pub fn replica(&self, r: usize) -> &Replica {
        self.replicas[r].as_ref().expect("the replica is running")
    }

    /// Reports to `r` whether the present process of `m` is alive.
    pub fn report_member(&mut self, r: usize, m: usize, alive: bool) {
        let (member, nonce) = (m as MemberIndex, self.nonces[m]);
        self.handle(
            r,
            Input::MemberChanged {
                member,
                nonce,
                alive,
            },
        );
    }

    /// Passes an input to a replica and records its outputs.
    pub fn handle(&mut self, r: usize, input: Input) {
        let now = self.local_time(r);
        let Some(replica) = self.replicas[r].as_mut() else {
            return;
        };
        let mut out = Vec::new();
        replica.handle(now, input, &mut out);
        for output in out {
            match output {
                Output::Send { to, message } => {
                    self.in_transit
                        .push((r as MemberIndex, to, self.nonces[r], self.now, message));
                }
                Output::Decision { key, decision } => {
                    self.decisions[r].entry(key).or_default().push(decision)
                }
                Output::DispatchPermission {
                    dispatch,
                    permission,
                    ..
                } => {
                    self.permissions[r].insert(dispatch, permission);
                }
                Output::ProposalEnded { key, outcome } => {
                    self.outcomes[r].entry(key).or_default().push(outcome)
                }
                Output::RecordChanged(_) | Output::Recovered => {}
            }
        }
    }

    /// A member receives a message of another member's present process that was in transit for this time, in microseconds.
    pub fn receive(&mut self, to: usize, from: MemberIndex, transit: i64, message: Message) {
        let nonce = self.nonces[from as usize];
        let input = Input::MessageReceived {
            from,
            nonce,
            transit,
            message,
        };
        self.handle(to, input);
    }

    /// Delivers the messages in transit that match, and the messages sent in response if they match.
    pub fn deliver(&mut self, selects: impl Fn(MemberIndex, MemberIndex, &Message) -> bool) {
        while let Some(n) = self
            .in_transit
            .iter()
            .position(|(f, t, _, _, m)| selects(*f, *t, m))
        {
            let (from, to, nonce, sent, message) = self.in_transit.remove(n);
            let transit = self.now - sent;
            self.handle(
                to as usize,
                Input::MessageReceived {
                    from,
                    nonce,
                    transit,
                    message,
                },
            );
        }
    }

    /// Advances the time in steps of 10 ms and delivers all messages.
    pub fn advance(&mut self, time: i64) {
        self.advance_delivering(time, |_, _, _| true);
    }

    /// Advances the time in steps of 10 ms and delivers the messages that match; all others are lost.
    pub fn advance_delivering(
        &mut self,
        time: i64,
        selects: impl Fn(MemberIndex, MemberIndex, &Message) -> bool,
    ) {
        let until = self.now + time;
        while self.now < until {
            self.now = (self.now + 10 * MILLISECOND).min(until);
            (0..self.replicas.len()).for_each(|r| self.handle(r, Input::Tick));
            self.deliver(&selects);
            // Messages that were not delivered are lost.
            self.in_transit.clear();
        }
    }

    /// Announces an invocation to a replica; returns its latest decision on the invocation.
    pub fn announce(
        &mut self,
        r: usize,
        key: &str,
        redelivered: bool,
    ) -> Option<OwnershipDecision> {
        self.handle(
            r,
            Input::Announce {
                key: key.into(),
                durability: Durability::Majority,
                redelivered,
            },
        );
        self.last_decision(r, key)
    }

    /// The latest decision of a replica on an invocation.
    pub fn last_decision(&self, r: usize, key: &str) -> Option<OwnershipDecision> {
        self.decisions[r].get(key).and_then(|v| v.last()).cloned()
    }

    /// Requests permission for a dispatch; returns the number of the dispatch.
    pub fn request_dispatch(&mut self, r: usize, key: &str) -> u64 {
        self.last_id += 1;
        let dispatch = self.last_id;
        self.handle(
            r,
            Input::RequestDispatch {
                key: key.into(),
                dispatch,
                deduplication_scope: 0,
                without_majority: false,
            },
        );
        dispatch
    }

    /// Whether a dispatch was permitted.
    pub fn is_permitted(&self, r: usize, dispatch: u64) -> bool {
        self.permissions[r]
            .get(&dispatch)
            .is_some_and(|permission| permission.is_ok())
    }

    /// Reports the end of a dispatch.
    pub fn dispatch_ended(&mut self, r: usize, key: &str, dispatch: u64, may_have_run: bool) {
        self.handle(
            r,
            Input::DispatchEnded {
                key: key.into(),
                dispatch,
                may_have_run,
            },
        );
    }

    /// Reports the answer to an invocation.
    pub fn answered(&mut self, r: usize, key: &str, answer: &'static str) {
        self.handle(
            r,
            Input::Answered {
                key: key.into(),
                answer: Bytes::from_static(answer.as_bytes()),
            },
        );
    }
}

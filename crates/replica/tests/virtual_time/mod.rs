//! Scenarios of a group of replicas in virtual time, with a one-way latency of 250 us, that measure the cost of
//! replication. Each scenario checks its own outcome: `tests/sharing_cost.rs` runs them at small sizes, and
//! `benches/sharing_cost.rs` measures them.
#![allow(dead_code, reason = "each target uses only some of the items")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use cedarpulley_membership::{self as membership, Incarnation, MemberIndex, Membership};
use cedarpulley_replica::{
    Durability, Input, Key, Message, Output, RecordCopy, RecoveryState, Replica, ReplicaSettings,
};

use crate::common::{MILLISECOND, group};

/// One-way latency of a link in microseconds.
const LINK_LATENCY: i64 = 250;
/// Microseconds in a second.
const SECOND: i64 = 1_000 * MILLISECOND;
/// Time in microseconds for which records are retained.
const RETENTION: i64 = 600 * SECOND;

/// Length of an encoded message in bytes.
fn bytes(message: &impl serde::Serialize) -> u64 {
    postcard::to_stdvec(message).map_or(0, |b| b.len() as u64)
}

/// A message between members, of either kind.
enum PeerMessage {
    Replica(Message),
    Membership(membership::Message),
}

/// One group in virtual time.
struct SimulatedGroup {
    /// Virtual time in microseconds.
    now: i64,
    replicas: Vec<Replica>,
    members: Vec<Membership>,
    /// Time of arrival and serial number of each message in transit.
    arrivals: BinaryHeap<Reverse<(i64, u64)>>,
    /// Sender, receiver and content of each message in transit, by serial number.
    messages: std::collections::HashMap<u64, (MemberIndex, MemberIndex, PeerMessage)>,
    serial: u64,
    /// Bytes sent by all members.
    bytes: u64,
    /// Permitted dispatches: member, key and dispatch.
    permitted_dispatches: Vec<(usize, Key, u64)>,
}

impl SimulatedGroup {
    fn new(n: usize, seed: u64) -> SimulatedGroup {
        let mut sim = SimulatedGroup {
            now: 0,
            replicas: Vec::new(),
            members: Vec::new(),
            arrivals: BinaryHeap::new(),
            messages: Default::default(),
            serial: 0,
            bytes: 0,
            permitted_dispatches: Vec::new(),
        };
        for r in 0..n {
            sim.replicas.push(Replica::new(
                0,
                group(n, r),
                settings(seed + r as u64),
                r as u64 + 1,
                Some(Vec::new()),
            ));
            let settings = membership::FailureDetectorSettings {
                probe_interval: 250 * MILLISECOND,
                answer_timeout: 100 * MILLISECOND,
                suspicion_timeout: 1_500 * MILLISECOND,
                seed: seed + r as u64,
            };
            sim.members
                .push(Membership::new(0, group(n, r), settings, r as u64 + 1, 0));
        }
        for r in 0..n {
            sim.connect(r);
        }
        sim
    }

    /// Reports to `r` that all members are alive, and to all members that `r` is.
    fn connect(&mut self, r: usize) {
        for m in 0..self.replicas.len() {
            let nonce = self.members[m].own_incarnation().nonce;
            self.handle(
                r,
                Input::MemberChanged {
                    member: m as MemberIndex,
                    nonce,
                    alive: true,
                },
            );
            let nonce = self.members[r].own_incarnation().nonce;
            self.handle(
                m,
                Input::MemberChanged {
                    member: r as MemberIndex,
                    nonce,
                    alive: true,
                },
            );
        }
    }

    fn send(&mut self, from: usize, to: MemberIndex, message: PeerMessage) {
        self.serial += 1;
        self.arrivals
            .push(Reverse((self.now + LINK_LATENCY, self.serial)));
        self.messages
            .insert(self.serial, (from as MemberIndex, to, message));
    }

    /// Passes an input to the replica of a member and sends its messages.
    fn handle(&mut self, r: usize, input: Input) {
        let mut out = Vec::new();
        self.replicas[r].handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Send { to, message } => {
                    self.bytes += bytes(&message);
                    self.send(r, to, PeerMessage::Replica(message));
                }
                Output::DispatchPermission {
                    key,
                    dispatch,
                    permission: Ok(_),
                } => self.permitted_dispatches.push((r, key, dispatch)),
                _ => {}
            }
        }
    }

    /// Passes an input to the failure detector of a member and sends its messages.
    fn feed_membership(&mut self, r: usize, input: membership::Input) {
        let mut out = Vec::new();
        self.members[r].handle(self.now, input, &mut out);
        for output in out {
            if let membership::Output::Send { to, message } = output {
                self.bytes += bytes(&message);
                self.send(r, to, PeerMessage::Membership(message));
            }
        }
    }

    /// Handles the next event if it is due by `until`; otherwise advances the time to `until` and returns false.
    fn step(&mut self, until: i64) -> bool {
        let due = |r: usize| {
            self.replicas[r]
                .next_due()
                .min(self.members[r].next_due())
                .max(self.now)
        };
        let (at, r) = (0..self.replicas.len())
            .map(|r| (due(r), r))
            .min()
            .expect("a group has members");
        match self.arrivals.peek().map(|w| w.0) {
            Some((arrives, serial)) if arrives <= at && arrives <= until => {
                self.arrivals.pop();
                self.now = arrives;
                let Some((from, to, message)) = self.messages.remove(&serial) else {
                    return true;
                };
                let incarnation = self.members[from as usize].own_incarnation();
                let Incarnation { nonce, .. } = incarnation;
                match message {
                    PeerMessage::Replica(message) => {
                        self.handle(
                            to as usize,
                            Input::MessageReceived {
                                from,
                                nonce,
                                transit: LINK_LATENCY,
                                message,
                            },
                        );
                    }
                    PeerMessage::Membership(message) => {
                        self.feed_membership(
                            to as usize,
                            membership::Input::Received {
                                from,
                                incarnation,
                                message,
                            },
                        );
                    }
                }
                true
            }
            _ if at <= until => {
                self.now = at;
                self.feed_membership(r, membership::Input::Tick);
                self.handle(r, Input::Tick);
                true
            }
            _ => {
                self.now = until;
                false
            }
        }
    }

    /// Advances the time and handles all events that are due.
    fn advance(&mut self, time: i64) {
        let until = self.now + time;
        while self.step(until) {}
    }
}

fn settings(seed: u64) -> ReplicaSettings {
    ReplicaSettings::with_defaults(RETENTION, 500 * MILLISECOND, seed)
}

/// Cost of a restart of a member until it can vote.
pub struct CatchUp {
    /// Virtual time in milliseconds until the member can vote.
    pub waited_ms: f64,
    /// Processor time of all members in milliseconds.
    pub work_ms: f64,
    /// Megabytes sent by all members.
    pub sent_mb: f64,
}

/// Restarts a member that lacks the last `lacking` of `all` records; each record has an answer of `answer` bytes. If
/// `with_store` is true, the member restores the other records from its store; otherwise it lacks them as well.
pub fn catch_up(all: u64, lacking: u64, with_store: bool, answer: usize) -> CatchUp {
    let mut sim = SimulatedGroup::new(3, 1);
    sim.advance(2 * SECOND);
    assert!(sim.replicas.iter().all(|r| r.can_vote()));
    let take = |n: u64| Input::Announce {
        key: format!("i\norder-{n:08}").into(),
        durability: Durability::Majority,
        redelivered: false,
    };
    let (mut stored, mut first_lacking): (Vec<(Key, RecordCopy)>, u64) = (Vec::new(), 0);
    for n in 0..all {
        if n == all - lacking {
            sim.advance(SECOND);
            stored = sim.replicas[2]
                .records()
                .map(|(k, s)| (k.clone(), s.to_copy(sim.now)))
                .collect();
            first_lacking = n;
        }
        sim.handle(0, take(n));
        let key: Key = format!("i\norder-{n:08}").into();
        if answer > 0 {
            let answer = bytes::Bytes::from(vec![7; answer]);
            sim.handle(
                0,
                Input::Answered {
                    key: key.clone(),
                    answer,
                },
            );
            sim.handle(0, Input::Abandoned { key });
        } else {
            sim.handle(0, Input::DeliveryFinal { key });
        }
        // Lets the members exchange messages in between, as they do between the routers' own events.
        if n % 1_000 == 999 {
            sim.advance(10 * MILLISECOND);
        }
    }
    sim.advance(SECOND);
    assert!(first_lacking == all - lacking && sim.replicas[1].records().count() as u64 == all);
    let nonce = 99;
    let restored = with_store.then_some(stored);
    sim.replicas[2] = Replica::new(sim.now, group(3, 2), settings(3), nonce, restored);
    sim.members[2] = Membership::new(sim.now, group(3, 2), *RESTARTED_MEMBER_SETTINGS, nonce, 1);
    let (started, at, before) = (Instant::now(), sim.now, sim.bytes);
    sim.connect(2);
    while sim.replicas[2].recovery_state() != RecoveryState::Complete {
        sim.step(i64::MAX);
    }
    assert_eq!(sim.replicas[2].records().count() as u64, all);
    CatchUp {
        waited_ms: (sim.now - at) as f64 / 1e3,
        work_ms: started.elapsed().as_secs_f64() * 1e3,
        sent_mb: (sim.bytes - before) as f64 / 1e6,
    }
}

/// Settings of the failure detector of the restarted member.
const RESTARTED_MEMBER_SETTINGS: &membership::FailureDetectorSettings =
    &membership::FailureDetectorSettings {
        probe_interval: 250 * MILLISECOND,
        answer_timeout: 100 * MILLISECOND,
        suspicion_timeout: 1_500 * MILLISECOND,
        seed: 9,
    };

/// Bytes that a router sends per second, on average, if each router accepts `per_second` non-idempotent invocations per
/// second.
pub fn bytes_sent(members: usize, groups: usize, per_second: i64) -> f64 {
    const SECONDS: i64 = 10;
    let mut sent = 0;
    for g in 0..groups {
        let mut sim = SimulatedGroup::new(members, g as u64 * 100);
        sim.advance(2 * SECOND);
        let before = sim.bytes;
        let mut serial = 1_000_000;
        for tick in 0..SECONDS * per_second {
            for r in 0..members {
                serial += 1;
                let key: Key = format!("i\norder-{serial:08}").into();
                sim.handle(
                    r,
                    Input::Announce {
                        key: key.clone(),
                        durability: Durability::Majority,
                        redelivered: false,
                    },
                );
                sim.handle(
                    r,
                    Input::RequestDispatch {
                        key,
                        dispatch: serial,
                        deduplication_scope: 0,
                        without_majority: false,
                    },
                );
            }
            sim.advance(SECOND / per_second / 2);
            for (r, key, dispatch) in std::mem::take(&mut sim.permitted_dispatches) {
                let answer = bytes::Bytes::from_static(b"done");
                sim.handle(
                    r,
                    Input::DispatchEnded {
                        key: key.clone(),
                        dispatch,
                        may_have_run: true,
                    },
                );
                sim.handle(
                    r,
                    Input::Answered {
                        key: key.clone(),
                        answer,
                    },
                );
                sim.handle(r, Input::DeliveryFinal { key });
            }
            sim.advance(SECOND / per_second - SECOND / per_second / 2);
            let _ = tick;
        }
        sent += sim.bytes - before;
    }
    sent as f64 / (members * groups) as f64 / SECONDS as f64
}

/// Processor time in microseconds that one invocation costs all three members while `open` invocations are open at its
/// owner; the minimum of ten rounds.
pub fn work_beside_open(open: u64) -> f64 {
    const INVOCATIONS_PER_ROUND: u64 = 200;
    let mut sim = SimulatedGroup::new(3, 7);
    sim.advance(2 * SECOND);
    let key = |n: u64| -> Key { format!("i\norder-{n:08}").into() };
    let start_invocation = |sim: &mut SimulatedGroup, n: u64| {
        sim.handle(
            0,
            Input::Announce {
                key: key(n),
                durability: Durability::Majority,
                redelivered: false,
            },
        );
        sim.handle(
            0,
            Input::RequestDispatch {
                key: key(n),
                dispatch: n,
                deduplication_scope: 0,
                without_majority: false,
            },
        );
    };
    for n in 0..open {
        start_invocation(&mut sim, n);
        sim.advance(MILLISECOND / 10);
    }
    sim.advance(100 * MILLISECOND);
    assert_eq!(sim.permitted_dispatches.len() as u64, open);
    sim.permitted_dispatches.clear();
    let mut least = f64::MAX;
    for round in 0..10 {
        let started = Instant::now();
        for n in 0..INVOCATIONS_PER_ROUND {
            let n = open + round * INVOCATIONS_PER_ROUND + n;
            start_invocation(&mut sim, n);
            sim.advance(MILLISECOND);
            sim.handle(
                0,
                Input::DispatchEnded {
                    key: key(n),
                    dispatch: n,
                    may_have_run: true,
                },
            );
            sim.handle(
                0,
                Input::Answered {
                    key: key(n),
                    answer: bytes::Bytes::from_static(b"done"),
                },
            );
            sim.handle(0, Input::DeliveryFinal { key: key(n) });
            sim.advance(MILLISECOND);
        }
        assert_eq!(sim.permitted_dispatches.len() as u64, INVOCATIONS_PER_ROUND);
        sim.permitted_dispatches.clear();
        least = least.min(started.elapsed().as_secs_f64() * 1e6 / INVOCATIONS_PER_ROUND as f64);
    }
    least
}

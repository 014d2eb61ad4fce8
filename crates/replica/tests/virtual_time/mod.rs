//! A group of replicas in virtual time, with a one-way latency of 250 us, and the cost of replication. Each scenario
//! checks its own outcome: `tests/sharing_cost.rs` runs them small, `benches/sharing_cost.rs` measures.
#![allow(dead_code)] // Each target uses its part.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use cedarpulley_membership::{self as membership, Incarnation, MemberIndex, Membership};
use cedarpulley_replica::{
    Durability, Input, Key, Message, Output, RecordCopy, RecoveryState, Replica, ReplicaSettings,
};

use crate::common::{MS, group};

const LINK: i64 = 250;
const S: i64 = 1_000 * MS;
const KEPT: i64 = 600 * S;

fn bytes(what: &impl serde::Serialize) -> u64 {
    postcard::to_stdvec(what).map_or(0, |b| b.len() as u64)
}

enum Letter {
    Replica(Message),
    Membership(membership::Message),
}

/// One group in virtual time.
struct Net {
    now: i64,
    replicas: Vec<Replica>,
    members: Vec<Membership>,
    way: BinaryHeap<Reverse<(i64, u64)>>,
    letters: std::collections::HashMap<u64, (MemberIndex, MemberIndex, Letter)>,
    serial: u64,
    /// Sent, by all.
    bytes: u64,
    leaves: Vec<(usize, Key, u64)>,
}

impl Net {
    fn new(n: usize, seed: u64) -> Net {
        let mut net = Net {
            now: 0,
            replicas: Vec::new(),
            members: Vec::new(),
            way: BinaryHeap::new(),
            letters: Default::default(),
            serial: 0,
            bytes: 0,
            leaves: Vec::new(),
        };
        for r in 0..n {
            net.replicas.push(Replica::new(
                0,
                group(n, r),
                terms(seed + r as u64),
                r as u64 + 1,
                Some(Vec::new()),
            ));
            let terms = membership::FailureDetectorSettings {
                probe_interval: 250 * MS,
                answer_timeout: 100 * MS,
                suspicion_timeout: 1_500 * MS,
                seed: seed + r as u64,
            };
            net.members
                .push(Membership::new(0, group(n, r), terms, r as u64 + 1, 0));
        }
        for r in 0..n {
            net.sees(r);
        }
        net
    }

    fn sees(&mut self, r: usize) {
        for m in 0..self.replicas.len() {
            let nonce = self.members[m].own_incarnation().nonce;
            self.feed(
                r,
                Input::MemberChanged {
                    member: m as MemberIndex,
                    nonce,
                    alive: true,
                },
            );
            let nonce = self.members[r].own_incarnation().nonce;
            self.feed(
                m,
                Input::MemberChanged {
                    member: r as MemberIndex,
                    nonce,
                    alive: true,
                },
            );
        }
    }

    fn send(&mut self, from: usize, to: MemberIndex, letter: Letter) {
        self.serial += 1;
        self.way.push(Reverse((self.now + LINK, self.serial)));
        self.letters
            .insert(self.serial, (from as MemberIndex, to, letter));
    }

    fn feed(&mut self, r: usize, input: Input) {
        let mut out = Vec::new();
        self.replicas[r].handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Send { to, message } => {
                    self.bytes += bytes(&message);
                    self.send(r, to, Letter::Replica(message));
                }
                Output::DispatchPermission {
                    key,
                    dispatch,
                    permission: Ok(_),
                } => self.leaves.push((r, key, dispatch)),
                _ => {}
            }
        }
    }

    fn member(&mut self, r: usize, input: membership::Input) {
        let mut out = Vec::new();
        self.members[r].handle(self.now, input, &mut out);
        for output in out {
            if let membership::Output::Send { to, message } = output {
                self.bytes += bytes(&message);
                self.send(r, to, Letter::Membership(message));
            }
        }
    }

    /// The next thing that is due before this time.
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
            .expect("members");
        match self.way.peek().map(|w| w.0) {
            Some((arrives, serial)) if arrives <= at && arrives <= until => {
                self.way.pop();
                self.now = arrives;
                let Some((from, to, letter)) = self.letters.remove(&serial) else {
                    return true;
                };
                let incarnation = self.members[from as usize].own_incarnation();
                let Incarnation { nonce, .. } = incarnation;
                match letter {
                    Letter::Replica(message) => {
                        self.feed(
                            to as usize,
                            Input::MessageReceived {
                                from,
                                nonce,
                                transit: LINK,
                                message,
                            },
                        );
                    }
                    Letter::Membership(message) => {
                        self.member(
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
                self.member(r, membership::Input::Tick);
                self.feed(r, Input::Tick);
                true
            }
            _ => {
                self.now = until;
                false
            }
        }
    }

    fn pass(&mut self, time: i64) {
        let until = self.now + time;
        while self.step(until) {}
    }
}

fn terms(seed: u64) -> ReplicaSettings {
    ReplicaSettings::with_defaults(KEPT, 500 * MS, seed)
}

/// What it took a member that started anew until it voted.
pub struct CatchUp {
    /// In virtual time.
    pub waited_ms: f64,
    /// Processor time of all members.
    pub work_ms: f64,
    pub sent_mb: f64,
}

/// A member starts anew and lacks the last `lacking` of `all` records, of which each has an answer of `answer` bytes.
/// `folder`: it has kept the others; without one it lacks them, too.
pub fn catch_up(all: u64, lacking: u64, folder: bool, answer: usize) -> CatchUp {
    let mut net = Net::new(3, 1);
    net.pass(2 * S);
    assert!(net.replicas.iter().all(|r| r.can_vote()));
    let take = |n: u64| Input::Take {
        key: format!("i\norder-{n:08}").into(),
        durability: Durability::Majority,
        redelivered: false,
    };
    let (mut held, mut cut): (Vec<(Key, RecordCopy)>, u64) = (Vec::new(), 0);
    for n in 0..all {
        if n == all - lacking {
            net.pass(S);
            held = net.replicas[2]
                .records()
                .map(|(k, s)| (k.clone(), s.to_copy(net.now)))
                .collect();
            cut = n;
        }
        net.feed(0, take(n));
        let key: Key = format!("i\norder-{n:08}").into();
        if answer > 0 {
            let answer = bytes::Bytes::from(vec![7; answer]);
            net.feed(
                0,
                Input::Answered {
                    key: key.clone(),
                    answer,
                },
            );
            net.feed(0, Input::Dropped { key });
        } else {
            net.feed(0, Input::Closed { key });
        }
        // As the routers' own work goes between.
        if n % 1_000 == 999 {
            net.pass(10 * MS);
        }
    }
    net.pass(S);
    assert!(cut == all - lacking && net.replicas[1].records().count() as u64 == all);
    let nonce = 99;
    let folder = folder.then_some(held);
    net.replicas[2] = Replica::new(net.now, group(3, 2), terms(3), nonce, folder);
    net.members[2] = Membership::new(net.now, group(3, 2), *TERMS, nonce, 1);
    let (began, at, before) = (Instant::now(), net.now, net.bytes);
    net.sees(2);
    while net.replicas[2].recovery_state() != RecoveryState::Complete {
        net.step(i64::MAX);
    }
    assert_eq!(net.replicas[2].records().count() as u64, all);
    CatchUp {
        waited_ms: (net.now - at) as f64 / 1e3,
        work_ms: began.elapsed().as_secs_f64() * 1e3,
        sent_mb: (net.bytes - before) as f64 / 1e6,
    }
}

const TERMS: &membership::FailureDetectorSettings = &membership::FailureDetectorSettings {
    probe_interval: 250 * MS,
    answer_timeout: 100 * MS,
    suspicion_timeout: 1_500 * MS,
    seed: 9,
};

/// Bytes that a router sends a second, with `a_second` non-idempotent invocations at each.
pub fn bytes_sent(members: usize, groups: usize, a_second: i64) -> f64 {
    const SECONDS: i64 = 10;
    let mut sent = 0;
    for g in 0..groups {
        let mut net = Net::new(members, g as u64 * 100);
        net.pass(2 * S);
        let before = net.bytes;
        let mut serial = 1_000_000;
        for tick in 0..SECONDS * a_second {
            for r in 0..members {
                serial += 1;
                let key: Key = format!("i\norder-{serial:08}").into();
                net.feed(
                    r,
                    Input::Take {
                        key: key.clone(),
                        durability: Durability::Majority,
                        redelivered: false,
                    },
                );
                net.feed(
                    r,
                    Input::RequestDispatch {
                        key,
                        dispatch: serial,
                        deduplication_scope: 0,
                        without_majority: false,
                    },
                );
            }
            net.pass(S / a_second / 2);
            for (r, key, dispatch) in std::mem::take(&mut net.leaves) {
                let answer = bytes::Bytes::from_static(b"done");
                net.feed(
                    r,
                    Input::DispatchEnded {
                        key: key.clone(),
                        dispatch,
                        may_have_run: true,
                    },
                );
                net.feed(
                    r,
                    Input::Answered {
                        key: key.clone(),
                        answer,
                    },
                );
                net.feed(r, Input::Closed { key });
            }
            net.pass(S / a_second - S / a_second / 2);
            let _ = tick;
        }
        sent += net.bytes - before;
    }
    sent as f64 / (members * groups) as f64 / SECONDS as f64
}

/// Microseconds of work that one invocation costs all three members, while `open` are open at its owner; the least of
/// some rounds.
pub fn work_beside_open(open: u64) -> f64 {
    const EACH: u64 = 200;
    let mut net = Net::new(3, 7);
    net.pass(2 * S);
    let key = |n: u64| -> Key { format!("i\norder-{n:08}").into() };
    let begin = |net: &mut Net, n: u64| {
        net.feed(
            0,
            Input::Take {
                key: key(n),
                durability: Durability::Majority,
                redelivered: false,
            },
        );
        net.feed(
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
        begin(&mut net, n);
        net.pass(MS / 10);
    }
    net.pass(100 * MS);
    assert_eq!(net.leaves.len() as u64, open);
    net.leaves.clear();
    let mut least = f64::MAX;
    for round in 0..10 {
        let began = Instant::now();
        for n in 0..EACH {
            let n = open + round * EACH + n;
            begin(&mut net, n);
            net.pass(MS);
            net.feed(
                0,
                Input::DispatchEnded {
                    key: key(n),
                    dispatch: n,
                    may_have_run: true,
                },
            );
            net.feed(
                0,
                Input::Answered {
                    key: key(n),
                    answer: bytes::Bytes::from_static(b"done"),
                },
            );
            net.feed(0, Input::Closed { key: key(n) });
            net.pass(MS);
        }
        assert_eq!(net.leaves.len() as u64, EACH);
        net.leaves.clear();
        least = least.min(began.elapsed().as_secs_f64() * 1e6 / EACH as f64);
    }
    least
}

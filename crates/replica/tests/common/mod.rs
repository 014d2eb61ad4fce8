//! A group in virtual time: replicas, a network whose messages can be held back, and the outputs.

#![allow(dead_code, reason = "each test file uses its part")]

use std::collections::BTreeMap;

use bytes::Bytes;
use cedarpulley_membership::{Group, Member, MemberIndex};
use cedarpulley_replica::{
    Durability, Input, Key, Message, NoMajorityReason, Outcome, Output, OwnershipDecision,
    RecordCopy, Replica, ReplicaSettings, SafetyCheck,
};

pub const MS: i64 = 1_000;
pub const KEPT: i64 = 6_000 * MS;

pub fn terms(disabled_check: Option<SafetyCheck>, patience: i64) -> ReplicaSettings {
    ReplicaSettings {
        disabled_check,
        ..ReplicaSettings::with_defaults(KEPT, patience, 1)
    }
}

pub fn group(n: usize, me: usize) -> Group {
    let member = |i: usize| Member {
        name: format!("r{i}"),
        region: ["east", "west"][i % 2].to_owned(),
        weight: 1,
        witness: false,
    };
    Group::new("g", (0..n).map(member).collect(), &format!("r{me}")).expect("a group")
}

pub struct World {
    pub now: i64,
    pub without: Option<SafetyCheck>,
    pub replicas: Vec<Option<Replica>>,
    pub nonces: Vec<u64>,
    /// From whom, to whom, of which process, when it was sent.
    pub net: Vec<(MemberIndex, MemberIndex, u64, i64, Message)>,
    pub verdicts: Vec<BTreeMap<Key, Vec<OwnershipDecision>>>,
    pub leaves: Vec<BTreeMap<u64, Result<bool, NoMajorityReason>>>,
    pub decided: Vec<BTreeMap<Key, Vec<Outcome>>>,
    pub last: u64,
    /// How long a majority is waited for.
    pub patience: i64,
    /// By how many thousandths each one's clock is fast, and since when.
    pub rates: Vec<i64>,
    pub since: i64,
    /// Each has a folder: what is on its way there, and what is there. Choices alone are kept there for long enough.
    pub written: bool,
    pub takings: Vec<Option<Taking>>,
    pub disks: Vec<BTreeMap<Key, RecordCopy>>,
}

pub type Taking = (u64, Vec<(Key, Option<RecordCopy>)>);

impl World {
    /// All of them remember, as after a long time.
    pub fn new(n: usize, without: Option<SafetyCheck>) -> World {
        World::patient(n, without, 800 * MS)
    }

    pub fn patient(n: usize, without: Option<SafetyCheck>, patience: i64) -> World {
        let mut w = World::made(n, without, patience, false);
        w.pass(2 * KEPT);
        w.net.clear();
        w
    }

    pub fn fresh(n: usize, without: Option<SafetyCheck>) -> World {
        World::made(n, without, 800 * MS, false)
    }

    /// All of them remember, and have folders.
    pub fn written(n: usize, without: Option<SafetyCheck>) -> World {
        let mut w = World::made(n, without, 800 * MS, true);
        w.pass(2 * KEPT);
        w.net.clear();
        w
    }

    fn made(n: usize, without: Option<SafetyCheck>, patience: i64, written: bool) -> World {
        let mut w = World {
            now: 0,
            without,
            replicas: (0..n).map(|_| None).collect(),
            nonces: vec![0; n],
            net: Vec::new(),
            verdicts: vec![BTreeMap::new(); n],
            leaves: vec![BTreeMap::new(); n],
            decided: vec![BTreeMap::new(); n],
            last: 0,
            patience,
            rates: vec![0; n],
            since: 0,
            written,
            takings: vec![None; n],
            disks: vec![BTreeMap::new(); n],
        };
        (0..n).for_each(|r| w.start(r, None));
        w
    }

    pub fn start(&mut self, r: usize, folder: Option<Vec<(Key, RecordCopy)>>) {
        let n = self.replicas.len();
        self.last += 1;
        self.nonces[r] = self.last;
        let terms = ReplicaSettings {
            is_persistent: self.written,
            ..terms(self.without, self.patience)
        };
        let group = group(n, r);
        self.replicas[r] = Some(Replica::new(self.now, group, terms, self.last, folder));
        (self.verdicts[r], self.leaves[r]) = (BTreeMap::new(), BTreeMap::new());
        for m in 0..n {
            self.sees(r, m, self.replicas[m].is_some());
            self.sees(m, r, true);
        }
    }

    pub fn crash(&mut self, r: usize) -> Vec<(Key, RecordCopy)> {
        let folder = self.folder(r);
        self.replicas[r] = None;
        folder
    }

    /// What has changed is on its way to the disk, if nothing is.
    pub fn takes(&mut self, r: usize) {
        let now = self.clock(r);
        let Some(it) = self.replicas[r]
            .as_mut()
            .filter(|_| self.takings[r].is_none())
        else {
            return;
        };
        self.takings[r] = Some(it.changes(now));
    }

    pub fn commits(&mut self, r: usize) {
        let Some((serial, changes)) = self.takings[r].take() else {
            return;
        };
        for (key, shared) in changes {
            match shared {
                Some(shared) => self.disks[r].insert(key, shared),
                None => self.disks[r].remove(&key),
            };
        }
        self.feed(r, Input::Persisted { serial });
    }

    /// It dies and starts from what is on its disk.
    pub fn loses_power(&mut self, r: usize) {
        (self.replicas[r], self.takings[r]) = (None, None);
        let folder = self.disks[r]
            .iter()
            .map(|(key, shared)| (key.clone(), shared.clone()))
            .collect();
        self.start(r, Some(folder));
    }

    pub fn folder(&self, r: usize) -> Vec<(Key, RecordCopy)> {
        self.at(r)
            .records()
            .map(|(k, s)| (k.clone(), s.to_copy(self.now)))
            .collect()
    }

    /// What a member's own clock says.
    pub fn clock(&self, r: usize) -> i64 {
        self.clock_at(r, self.now)
    }

    pub fn clock_at(&self, r: usize, now: i64) -> i64 {
        now + (now - self.since) * self.rates[r] / 1_000
    }

    pub fn at(&self, r: usize) -> &Replica {
        self.replicas[r].as_ref().expect("it runs")
    }

    pub fn sees(&mut self, r: usize, m: usize, alive: bool) {
        let (member, nonce) = (m as MemberIndex, self.nonces[m]);
        self.feed(
            r,
            Input::MemberChanged {
                member,
                nonce,
                alive,
            },
        );
    }

    pub fn feed(&mut self, r: usize, input: Input) {
        let now = self.clock(r);
        let Some(it) = self.replicas[r].as_mut() else {
            return;
        };
        let mut out = Vec::new();
        it.handle(now, input, &mut out);
        for output in out {
            match output {
                Output::Send { to, message } => {
                    self.net
                        .push((r as MemberIndex, to, self.nonces[r], self.now, message));
                }
                Output::Decision { key, decision } => {
                    self.verdicts[r].entry(key).or_default().push(decision)
                }
                Output::DispatchPermission {
                    dispatch,
                    permission,
                    ..
                } => {
                    self.leaves[r].insert(dispatch, permission);
                }
                Output::ProposalEnded { key, outcome } => {
                    self.decided[r].entry(key).or_default().push(outcome)
                }
                Output::RecordChanged(_) | Output::Recovered => {}
            }
        }
    }

    /// Delivers what is on the way and fits, and what follows from it.
    pub fn deliver(&mut self, fits: impl Fn(MemberIndex, MemberIndex, &Message) -> bool) {
        while let Some(n) = self.net.iter().position(|(f, t, _, _, m)| fits(*f, *t, m)) {
            let (from, to, nonce, sent, message) = self.net.remove(n);
            let transit = self.now - sent;
            self.feed(
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

    /// Time passes, in steps, and everything is delivered.
    pub fn pass(&mut self, time: i64) {
        self.pass_where(time, |_, _, _| true);
    }

    pub fn pass_where(
        &mut self,
        time: i64,
        fits: impl Fn(MemberIndex, MemberIndex, &Message) -> bool,
    ) {
        let until = self.now + time;
        while self.now < until {
            self.now = (self.now + 10 * MS).min(until);
            (0..self.replicas.len()).for_each(|r| self.feed(r, Input::Tick));
            self.deliver(&fits);
            // What is cut off is lost.
            self.net.clear();
        }
    }

    pub fn take(&mut self, r: usize, key: &str, redelivered: bool) -> Option<OwnershipDecision> {
        self.feed(
            r,
            Input::Take {
                key: key.into(),
                durability: Durability::Majority,
                redelivered,
            },
        );
        self.verdict(r, key)
    }

    pub fn verdict(&self, r: usize, key: &str) -> Option<OwnershipDecision> {
        self.verdicts[r].get(key).and_then(|v| v.last()).cloned()
    }

    pub fn intend(&mut self, r: usize, key: &str) -> u64 {
        self.last += 1;
        let dispatch = self.last;
        self.feed(
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

    pub fn left(&self, r: usize, sending: u64) -> bool {
        self.leaves[r].get(&sending).is_some_and(|l| l.is_ok())
    }

    pub fn ended(&mut self, r: usize, key: &str, dispatch: u64, may_have_run: bool) {
        self.feed(
            r,
            Input::DispatchEnded {
                key: key.into(),
                dispatch,
                may_have_run,
            },
        );
    }

    pub fn answered(&mut self, r: usize, key: &str, answer: &'static str) {
        self.feed(
            r,
            Input::Answered {
                key: key.into(),
                answer: Bytes::from_static(answer.as_bytes()),
            },
        );
    }
}

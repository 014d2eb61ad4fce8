//! Sessions over the very state machines that a group runs: messages lost, doubled and out of order, members that stop,
//! start anew with and without their memory, and plans that say different things at different routers.

#[path = "../../replica/tests/common/mod.rs"]
mod common;

use std::collections::BTreeMap;

use bytes::Bytes;
use cedarpulley_replica::{Input as Shared, Outcome, SafetyCheck};
use cedarpulley_upgrade::Name;
use cedarpulley_upgrade::sessions::{
    Input, Output, RejectionReason, SessionPlacement, SessionSettings, Sessions,
};
use common::{MS, World};
use proptest::prelude::*;

/// Long beside what a majority takes, short beside a case.
const KEPT: i64 = 16_000 * MS;

fn terms() -> SessionSettings {
    SessionSettings {
        retention: KEPT,
        majority_timeout: 1_000 * MS,
        max_sessions: 8,
        max_waiting: 64,
    }
}

struct Routers {
    world: World,
    sessions: Vec<Sessions>,
    tickets: u64,
    /// Of each ticket, its session and what became of it.
    of: BTreeMap<u64, Name>,
    refused: Vec<(u64, RejectionReason)>,
    /// Of each session, when it went to which version.
    went: BTreeMap<Name, Vec<(i64, Name)>>,
    chosen: usize,
}

impl Routers {
    fn new(n: usize, without: Option<SafetyCheck>) -> Routers {
        Routers {
            world: World::new(n, without),
            sessions: (0..n).map(|_| Sessions::new(terms())).collect(),
            tickets: 0,
            of: BTreeMap::new(),
            refused: Vec::new(),
            went: BTreeMap::new(),
            chosen: 0,
        }
    }

    fn feed(&mut self, r: usize, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.sessions[r].handle(self.world.now, input, &mut out);
        for o in &out {
            match o {
                Output::RequestBinding {
                    key,
                    version,
                    retention: kept,
                } => {
                    self.chosen += 1;
                    let value = Bytes::copy_from_slice(version.as_bytes());
                    self.world.feed(
                        r,
                        Shared::Choose {
                            key: key.clone(),
                            value,
                            retention: *kept,
                        },
                    );
                }
                Output::Forward {
                    ticket, version, ..
                } => {
                    let version = version.clone().expect("a version");
                    self.went
                        .entry(self.of[ticket].clone())
                        .or_default()
                        .push((self.world.now, version));
                }
                Output::Reject {
                    ticket,
                    reason: why,
                } => self.refused.push((*ticket, *why)),
                Output::PublishPlacement { .. } => {}
            }
        }
        self.hear();
        out
    }

    /// What majorities have said meanwhile.
    fn hear(&mut self) {
        for r in 0..self.sessions.len() {
            for (key, said) in std::mem::take(&mut self.world.decided[r]) {
                for outcome in said {
                    let version = match outcome {
                        Outcome::Chosen(v) => {
                            Some(Name::from(std::str::from_utf8(&v).expect("a text")))
                        }
                        _ => None,
                    };
                    self.feed(
                        r,
                        Input::Decided {
                            key: key.clone(),
                            version,
                        },
                    );
                }
            }
        }
    }

    fn arrives(&mut self, r: usize, session: &str, proposes: &str) -> Vec<Output> {
        self.tickets += 1;
        let (ticket, session) = (self.tickets, Name::from(session));
        self.of.insert(ticket, session.clone());
        let proposes = Some(Name::from(proposes));
        self.feed(
            r,
            Input::Arrived {
                ticket,
                model: "m".into(),
                session,
                proposes,
                placed: None,
            },
        )
    }

    fn pass(&mut self, time: i64) {
        let until = self.world.now + time;
        while self.world.now < until {
            let step = (until - self.world.now).min(500 * MS);
            self.world.pass(step);
            (0..self.sessions.len()).for_each(|r| {
                self.feed(r, Input::Tick);
            });
        }
    }

    /// One version for as long as the session is one: another only after a time in which nobody could use the first.
    fn one_version_each(&self) -> Result<(), String> {
        for (session, went) in &self.went {
            let mut went = went.clone();
            went.sort();
            for pair in went.windows(2) {
                if pair[0].1 != pair[1].1 && pair[1].0 - pair[0].0 < KEPT / 8 {
                    return Err(format!("{session}: {went:?}"));
                }
            }
        }
        Ok(())
    }
}

#[derive(Clone, Debug)]
enum Op {
    Arrives(usize, u8, bool),
    /// The message on its way that is meant arrives, is lost, or arrives and is still on its way.
    Delivers(usize),
    Loses(usize),
    Doubles(usize),
    Waits(u8),
    Dies(usize, bool),
    /// One takes another for dead, or no longer.
    Sees(usize, usize, bool),
    Settles,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => (0..3usize, 0..2u8, any::<bool>()).prop_map(|(r, s, v)| Op::Arrives(r, s, v)),
        12 => (0..64usize).prop_map(Op::Delivers),
        3 => (0..64usize).prop_map(Op::Loses),
        3 => (0..64usize).prop_map(Op::Doubles),
        2 => (1..60u8).prop_map(Op::Waits),
        1 => (0..3usize, any::<bool>()).prop_map(|(r, f)| Op::Dies(r, f)),
        1 => (0..3usize, 0..3usize, any::<bool>()).prop_map(|(r, m, a)| Op::Sees(r, m, a)),
        1 => Just(Op::Settles),
    ]
}

fn play(ops: &[Op], without: Option<SafetyCheck>) -> Result<(), String> {
    let mut it = Routers::new(3, without);
    for op in ops {
        let on_way = it.world.net.len().max(1);
        let one = |n: usize| n % on_way;
        match *op {
            Op::Arrives(r, s, new) => {
                it.arrives(r, ["s", "t"][s as usize], if new { "2" } else { "1" });
            }
            Op::Delivers(n) | Op::Doubles(n) if it.world.net.len() > one(n) => {
                let (from, to, nonce, sent, message) = match op {
                    Op::Doubles(_) => it.world.net[one(n)].clone(),
                    _ => it.world.net.remove(one(n)),
                };
                let transit = it.world.now - sent;
                it.world.feed(
                    to as usize,
                    Shared::MessageReceived {
                        from,
                        nonce,
                        transit,
                        message,
                    },
                );
            }
            Op::Loses(n) if it.world.net.len() > one(n) => {
                it.world.net.remove(one(n));
            }
            Op::Delivers(_) | Op::Doubles(_) | Op::Loses(_) => {}
            Op::Waits(tenths) => {
                it.world.now += i64::from(tenths) * 100 * MS;
                (0..3).for_each(|r| it.world.feed(r, Shared::Tick));
                (0..3).for_each(|r| {
                    it.feed(r, Input::Tick);
                });
            }
            Op::Dies(r, keeps) => {
                let folder = it.world.crash(r);
                it.world.start(r, keeps.then_some(folder));
                it.sessions[r] = Sessions::new(terms());
            }
            Op::Sees(r, m, alive) if r != m => it.world.sees(r, m, alive),
            Op::Sees(..) => {}
            Op::Settles => {
                (0..9).for_each(|n| it.world.sees(n / 3, n % 3, true));
                it.pass(1_000 * MS);
            }
        }
        it.hear();
        it.one_version_each()?;
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn no_interleaving_binds_a_session_to_two_versions(ops in proptest::collection::vec(op(), 1..120)) {
        prop_assert_eq!(play(&ops, None), Ok(()));
    }
}

/// A case that the property above drew, shrunk to fewer operations. It fails at 29.5 s of virtual time with both versions
/// for session "t"; the cause is not traced.
#[test]
fn a_recorded_interleaving_binds_no_session_to_two_versions() {
    let ops = [
        Op::Arrives(0, 0, false),
        Op::Arrives(0, 0, false),
        Op::Arrives(0, 0, false),
        Op::Delivers(0),
        Op::Arrives(0, 0, false),
        Op::Arrives(0, 0, false),
        Op::Arrives(0, 0, false),
        Op::Settles,
        Op::Delivers(0),
        Op::Arrives(0, 0, false),
        Op::Arrives(1, 1, true),
        Op::Arrives(1, 1, false),
        Op::Delivers(0),
        Op::Delivers(30),
        Op::Arrives(0, 0, false),
        Op::Arrives(0, 0, false),
        Op::Delivers(0),
        Op::Delivers(0),
        Op::Delivers(1),
        Op::Arrives(0, 0, false),
        Op::Waits(45),
        Op::Delivers(0),
        Op::Arrives(0, 0, false),
        Op::Waits(56),
        Op::Arrives(2, 1, false),
        Op::Arrives(0, 0, false),
        Op::Waits(59),
        Op::Arrives(0, 1, false),
        Op::Arrives(1, 1, false),
        Op::Arrives(0, 0, false),
        Op::Arrives(0, 0, false),
        Op::Dies(2, true),
        Op::Settles,
    ];
    assert_eq!(play(&ops, None), Ok(()));
}

/// The property is seen to fail where whoever decides next does not keep what was decided.
#[test]
fn without_the_safety_check_a_session_gets_two_versions() {
    let mut ops = vec![
        Op::Arrives(0, 0, false),
        Op::Settles,
        Op::Arrives(1, 0, true),
        Op::Settles,
    ];
    assert_eq!(play(&ops, None), Ok(()));
    assert!(play(&ops, Some(SafetyCheck::AdoptAcceptedValue)).is_err());
    // Nor does a router that forgot help itself.
    ops.insert(2, Op::Dies(1, false));
    assert_eq!(play(&ops, None), Ok(()));
}

#[test]
fn a_binding_is_cached_and_renewed_in_time() {
    let mut it = Routers::new(3, None);
    it.arrives(0, "s", "1");
    it.pass(100 * MS);
    for _ in 0..20 {
        assert!(matches!(
            it.arrives(0, "s", "2")[..],
            [Output::Forward { .. }]
        ));
    }
    assert_eq!((it.chosen, it.went["s"].len()), (1, 21));
    // For three times as long as a record is kept, each use goes on at once, and nobody else changes it meanwhile.
    for n in 0..48 {
        it.pass(1_000 * MS);
        let out = it.arrives(0, "s", "2");
        assert!(
            out.iter().any(|o| matches!(o, Output::Forward { .. })),
            "{n}: {out:?}"
        );
    }
    assert!((2..10).contains(&it.chosen), "{}", it.chosen);
    it.arrives(2, "s", "2");
    it.pass(100 * MS);
    assert!(it.went["s"].iter().all(|w| &*w.1 == "1"), "{:?}", it.went);
}

#[test]
fn without_a_majority_cached_bindings_serve_and_other_sessions_are_rejected() {
    let mut it = Routers::new(3, None);
    it.arrives(0, "s", "1");
    it.pass(100 * MS);
    (1..3).for_each(|m| {
        it.world.crash(m);
        it.world.sees(0, m, false);
    });
    assert!(matches!(
        it.arrives(0, "s", "2")[..],
        [Output::Forward { .. }]
    ));
    it.arrives(0, "t", "2");
    assert_eq!(it.refused, [(3, RejectionReason::NoMajority)]);
    // What is known is used for less than a majority would keep it.
    it.world.now += KEPT - KEPT / 8;
    it.arrives(0, "s", "2");
    assert_eq!(it.refused.last(), Some(&(4, RejectionReason::NoMajority)));
}

#[test]
fn waiting_invocations_are_bounded_in_number_and_time() {
    let mut s = Sessions::new(SessionSettings {
        max_waiting: 2,
        ..terms()
    });
    let arrives = |s: &mut Sessions, ticket| {
        let mut out = Vec::new();
        let session = Name::from(format!("s{ticket}"));
        let input = Input::Arrived {
            ticket,
            model: "m".into(),
            session,
            proposes: Some("1".into()),
            placed: None,
        };
        s.handle(0, input, &mut out);
        out
    };
    assert!((0..2).all(|t| matches!(arrives(&mut s, t)[..], [Output::RequestBinding { .. }])));
    assert_eq!(
        arrives(&mut s, 2),
        [Output::Reject {
            ticket: 2,
            reason: RejectionReason::Full
        }]
    );
    let mut out = Vec::new();
    s.handle(1, Input::Left { ticket: 0 }, &mut out);
    assert_eq!(
        (s.waiting_count(), s.next_due()),
        (1, terms().majority_timeout)
    );
    s.handle(s.next_due(), Input::Tick, &mut out);
    assert_eq!(
        out,
        [Output::Reject {
            ticket: 1,
            reason: RejectionReason::NoMajority
        }]
    );
    assert_eq!(s.next_due(), i64::MAX);
}

#[test]
fn the_sessions_used_longest_ago_are_evicted_at_capacity() {
    let mut it = Routers::new(1, None);
    for n in 0..20 {
        it.arrives(0, &format!("s{n}"), "1");
        it.pass(MS);
    }
    assert_eq!(
        (
            it.sessions[0].bound_versions().count(),
            it.sessions[0].counts.sessions_forgotten
        ),
        (8, 12)
    );
    assert!(it.went.len() == 20 && it.refused.is_empty());
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
)]
fn the_worker_that_answered_last_is_preferred_until_it_is_lost() {
    let prefers = |s: &mut Sessions, placed| {
        let mut out = Vec::new();
        let (model, session) = ("m".into(), "s".into());
        s.handle(
            9,
            Input::Arrived {
                ticket: 1,
                model,
                session,
                proposes: None,
                placed,
            },
            &mut out,
        );
        match out.as_slice() {
            [
                Output::Forward {
                    preferred_worker: prefers,
                    ..
                },
            ] => prefers.clone(),
            other => panic!("{other:?}"),
        }
    };
    let answered = |s: &mut Sessions, worker: &str, ends| {
        let mut out = Vec::new();
        let (model, session) = ("m".into(), "s".into());
        s.handle(
            9,
            Input::Answered {
                model,
                session,
                worker: worker.into(),
                ends,
            },
            &mut out,
        );
        out.len()
    };
    let mut s = Sessions::new(terms());
    assert_eq!(prefers(&mut s, None), None);
    // Others hear of it only when it changes.
    assert_eq!(
        (answered(&mut s, "a", false), answered(&mut s, "a", false)),
        (1, 0)
    );
    assert_eq!(prefers(&mut s, None), Some("a".into()));
    let later = |number, worker: &str| {
        Some(SessionPlacement {
            number,
            worker: worker.into(),
        })
    };
    assert_eq!(prefers(&mut s, later(1, "b")), Some("a".into()));
    assert_eq!(prefers(&mut s, later(7, "b")), Some("b".into()));
    s.handle(
        9,
        Input::Lost {
            model: "m".into(),
            session: "s".into(),
            worker: "a".into(),
        },
        &mut Vec::new(),
    );
    assert_eq!(prefers(&mut s, None), Some("b".into()));
    s.handle(
        9,
        Input::Lost {
            model: "m".into(),
            session: "s".into(),
            worker: "b".into(),
        },
        &mut Vec::new(),
    );
    assert_eq!(prefers(&mut s, later(7, "b")), None);
    answered(&mut s, "c", false);
    s.handle(9, Input::Gone { worker: "c".into() }, &mut Vec::new());
    assert_eq!(prefers(&mut s, None), None);
    answered(&mut s, "c", false);
    answered(&mut s, "c", true);
    assert_eq!(prefers(&mut s, None), None);
}

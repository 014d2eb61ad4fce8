//! Sessions on top of the state machines that a group runs. Messages are lost, duplicated and reordered, members crash
//! and restart with or without their stored state, and routers propose different versions for one session.

#[path = "../../replica/tests/common/mod.rs"]
mod common;

use std::collections::BTreeMap;

use bytes::Bytes;
use cedarpulley_replica::{Input as Shared, Outcome, SafetyCheck};
use cedarpulley_upgrade::Name;
use cedarpulley_upgrade::sessions::{
    Input, Output, RejectionReason, SessionPlacement, SessionSettings, Sessions,
};
use common::{MILLISECOND, ReplicaGroup};
use proptest::prelude::*;

/// Retention of bindings, in microseconds: long compared with a decision of a majority, short compared with a test
/// case.
const RETENTION: i64 = 16_000 * MILLISECOND;

/// Settings with small limits.
fn session_settings() -> SessionSettings {
    SessionSettings {
        retention: RETENTION,
        majority_timeout: 1_000 * MILLISECOND,
        max_sessions: 8,
        max_waiting: 64,
    }
}

/// Routers with their sessions and the group that decides on bindings.
struct Routers {
    group: ReplicaGroup,
    /// The sessions of each router.
    sessions: Vec<Sessions>,
    /// Number of tickets given out.
    tickets: u64,
    /// The session of each ticket.
    session_of_ticket: BTreeMap<u64, Name>,
    /// The tickets that were rejected.
    rejected: Vec<(u64, RejectionReason)>,
    /// For each session, the time and version of each forwarded invocation.
    forwarded: BTreeMap<Name, Vec<(i64, Name)>>,
    /// Number of bindings requested from the group.
    binding_requests: usize,
}

impl Routers {
    fn new(n: usize, without: Option<SafetyCheck>) -> Routers {
        Routers {
            group: ReplicaGroup::new(n, without),
            sessions: (0..n).map(|_| Sessions::new(session_settings())).collect(),
            tickets: 0,
            session_of_ticket: BTreeMap::new(),
            rejected: Vec::new(),
            forwarded: BTreeMap::new(),
            binding_requests: 0,
        }
    }

    /// Passes an input to the sessions of router `r` and carries out the outputs.
    fn handle(&mut self, r: usize, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.sessions[r].handle(self.group.now, input, &mut out);
        for output in &out {
            match output {
                Output::RequestBinding {
                    key,
                    version,
                    retention,
                } => {
                    self.binding_requests += 1;
                    let value = Bytes::copy_from_slice(version.as_bytes());
                    self.group.handle(
                        r,
                        Shared::Choose {
                            key: key.clone(),
                            value,
                            retention: *retention,
                        },
                    );
                }
                Output::Forward {
                    ticket, version, ..
                } => {
                    let version = version.clone().expect("a bound session has a version");
                    self.forwarded
                        .entry(self.session_of_ticket[ticket].clone())
                        .or_default()
                        .push((self.group.now, version));
                }
                Output::Reject { ticket, reason } => self.rejected.push((*ticket, *reason)),
                Output::PublishPlacement { .. } => {}
            }
        }
        self.deliver_decisions();
        out
    }

    /// Passes the group's new decisions to the sessions of all routers.
    fn deliver_decisions(&mut self) {
        for r in 0..self.sessions.len() {
            for (key, outcomes) in std::mem::take(&mut self.group.outcomes[r]) {
                for outcome in outcomes {
                    let version = match outcome {
                        Outcome::Chosen(v) => Some(Name::from(
                            std::str::from_utf8(&v).expect("versions are UTF-8"),
                        )),
                        _ => None,
                    };
                    self.handle(
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

    /// An invocation of a session arrives at router `r`, which proposes a version.
    fn arrives(&mut self, r: usize, session: &str, proposed_version: &str) -> Vec<Output> {
        self.tickets += 1;
        let (ticket, session) = (self.tickets, Name::from(session));
        self.session_of_ticket.insert(ticket, session.clone());
        let proposed_version = Some(Name::from(proposed_version));
        self.handle(
            r,
            Input::Arrived {
                ticket,
                model: "m".into(),
                session,
                proposed_version,
                published_placement: None,
            },
        )
    }

    /// Advances the time, with ticks for all members and routers.
    fn advance(&mut self, duration: i64) {
        let until = self.group.now + duration;
        while self.group.now < until {
            let step = (until - self.group.now).min(500 * MILLISECOND);
            self.group.advance(step);
            (0..self.sessions.len()).for_each(|r| {
                self.handle(r, Input::Tick);
            });
        }
    }

    /// Checks that each session has one version. It may get another version only after a time in which no router can
    /// use the first one.
    fn check_one_version_per_session(&self) -> Result<(), String> {
        for (session, forwarded) in &self.forwarded {
            let mut forwarded = forwarded.clone();
            forwarded.sort();
            for pair in forwarded.windows(2) {
                if pair[0].1 != pair[1].1 && pair[1].0 - pair[0].0 < RETENTION / 8 {
                    return Err(format!("{session}: {forwarded:?}"));
                }
            }
        }
        Ok(())
    }
}

/// An operation of a test case. A message is chosen by its number modulo the number of messages in transit.
#[derive(Clone, Debug)]
enum Op {
    /// An invocation arrives: router, session, and whether the new version is proposed.
    Arrives(usize, u8, bool),
    /// A message is delivered.
    Delivers(usize),
    /// A message is lost.
    Loses(usize),
    /// A message is delivered and stays in transit.
    Doubles(usize),
    /// The time advances, by tenths of a second.
    Waits(u8),
    /// A router and its member crash and restart, with the stored state if true.
    Dies(usize, bool),
    /// The first member considers the second one alive or dead.
    Sees(usize, usize, bool),
    /// All members consider each other alive and a second passes.
    Settles,
}

fn any_op() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => (0..3usize, 0..2u8, any::<bool>()).prop_map(|(r, s, new)| Op::Arrives(r, s, new)),
        12 => (0..64usize).prop_map(Op::Delivers),
        3 => (0..64usize).prop_map(Op::Loses),
        3 => (0..64usize).prop_map(Op::Doubles),
        2 => (1..60u8).prop_map(Op::Waits),
        1 => (0..3usize, any::<bool>()).prop_map(|(r, keeps_state)| Op::Dies(r, keeps_state)),
        1 => (0..3usize, 0..3usize, any::<bool>()).prop_map(|(r, m, alive)| Op::Sees(r, m, alive)),
        1 => Just(Op::Settles),
    ]
}

/// Runs the operations on three routers, `without` a safety check if given, and checks the versions after each one.
fn play(ops: &[Op], without: Option<SafetyCheck>) -> Result<(), String> {
    let mut routers = Routers::new(3, without);
    for op in ops {
        let in_transit = routers.group.in_transit.len().max(1);
        let message_index = |n: usize| n % in_transit;
        match *op {
            Op::Arrives(r, s, new) => {
                routers.arrives(r, ["s", "t"][s as usize], if new { "2" } else { "1" });
            }
            Op::Delivers(n) | Op::Doubles(n)
                if routers.group.in_transit.len() > message_index(n) =>
            {
                let (from, to, nonce, sent, message) = match op {
                    Op::Doubles(_) => routers.group.in_transit[message_index(n)].clone(),
                    _ => routers.group.in_transit.remove(message_index(n)),
                };
                let transit = routers.group.now - sent;
                routers.group.handle(
                    to as usize,
                    Shared::MessageReceived {
                        from,
                        nonce,
                        transit,
                        message,
                    },
                );
            }
            Op::Loses(n) if routers.group.in_transit.len() > message_index(n) => {
                routers.group.in_transit.remove(message_index(n));
            }
            Op::Delivers(_) | Op::Doubles(_) | Op::Loses(_) => {}
            Op::Waits(tenths) => {
                routers.group.now += i64::from(tenths) * 100 * MILLISECOND;
                (0..3).for_each(|r| routers.group.handle(r, Shared::Tick));
                (0..3).for_each(|r| {
                    routers.handle(r, Input::Tick);
                });
            }
            Op::Dies(r, keeps_state) => {
                let folder = routers.group.crash(r);
                routers.group.start(r, keeps_state.then_some(folder));
                routers.sessions[r] = Sessions::new(session_settings());
            }
            Op::Sees(r, m, alive) if r != m => routers.group.report_member(r, m, alive),
            Op::Sees(..) => {}
            Op::Settles => {
                (0..9).for_each(|n| routers.group.report_member(n / 3, n % 3, true));
                routers.advance(1_000 * MILLISECOND);
            }
        }
        routers.deliver_decisions();
        routers.check_one_version_per_session()?;
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn no_interleaving_binds_a_session_to_two_versions(ops in proptest::collection::vec(any_op(), 1..120)) {
        prop_assert_eq!(play(&ops, None), Ok(()));
    }
}

/// A case that the property above drew: a proposer's record expires before those of other members, and its next ballot
/// must not be one that it has used.
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

/// A case that the property above drew: all members lose their stores one after the other, while a router still uses
/// the version that the first two of them have forgotten.
#[test]
fn members_that_lost_their_stores_do_not_rebind_a_session_in_use() {
    let ops = [
        Op::Arrives(0, 0, false),
        Op::Arrives(2, 0, false),
        Op::Settles,
        Op::Dies(1, false),
        Op::Dies(0, false),
        Op::Waits(7),
        Op::Waits(37),
        Op::Waits(24),
        Op::Arrives(2, 0, false),
        Op::Arrives(0, 0, true),
        Op::Dies(2, false),
        Op::Settles,
    ];
    assert_eq!(play(&ops, None), Ok(()));
    assert!(play(&ops, Some(SafetyCheck::ChoicesOutliveRecovery)).is_err());
}

/// A case that the property above drew: a value that has expired at a majority is still stored at one member and comes
/// back after another value was chosen.
#[test]
fn an_expired_binding_does_not_replace_a_later_one() {
    let ops = expired_at_a_majority();
    assert_eq!(play(&ops, None), Ok(()));
    assert!(play(&ops, Some(SafetyCheck::PromiseOutlivesRecord)).is_err());
}

fn expired_at_a_majority() -> [Op; 17] {
    [
        Op::Arrives(1, 1, true),
        Op::Settles,
        Op::Waits(31),
        Op::Waits(14),
        Op::Waits(34),
        Op::Arrives(1, 1, false),
        Op::Waits(14),
        Op::Dies(1, true),
        Op::Waits(58),
        Op::Arrives(0, 1, false),
        Op::Arrives(0, 0, false),
        Op::Arrives(0, 0, false),
        Op::Arrives(0, 0, false),
        Op::Settles,
        Op::Arrives(0, 0, false),
        Op::Arrives(1, 1, false),
        Op::Settles,
    ]
}

/// Shows that the property can fail: without this safety check, a later ballot does not adopt the value that an earlier
/// one may have decided.
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
    // A router that has lost its stored state does not get a second version either.
    ops.insert(2, Op::Dies(1, false));
    assert_eq!(play(&ops, None), Ok(()));
}

#[test]
fn a_binding_is_cached_and_renewed_in_time() {
    let mut routers = Routers::new(3, None);
    routers.arrives(0, "s", "1");
    routers.advance(100 * MILLISECOND);
    for _ in 0..20 {
        assert!(matches!(
            routers.arrives(0, "s", "2")[..],
            [Output::Forward { .. }]
        ));
    }
    assert_eq!(
        (routers.binding_requests, routers.forwarded["s"].len()),
        (1, 21)
    );
    // For three times the retention, each invocation is forwarded at once, and no other router changes the binding.
    for n in 0..48 {
        routers.advance(1_000 * MILLISECOND);
        let out = routers.arrives(0, "s", "2");
        assert!(
            out.iter()
                .any(|output| matches!(output, Output::Forward { .. })),
            "{n}: {out:?}"
        );
    }
    assert!(
        (2..10).contains(&routers.binding_requests),
        "{}",
        routers.binding_requests
    );
    routers.arrives(2, "s", "2");
    routers.advance(100 * MILLISECOND);
    assert!(
        routers.forwarded["s"].iter().all(|entry| &*entry.1 == "1"),
        "{:?}",
        routers.forwarded
    );
}

#[test]
fn without_a_majority_cached_bindings_serve_and_other_sessions_are_rejected() {
    let mut routers = Routers::new(3, None);
    routers.arrives(0, "s", "1");
    routers.advance(100 * MILLISECOND);
    (1..3).for_each(|m| {
        routers.group.crash(m);
        routers.group.report_member(0, m, false);
    });
    assert!(matches!(
        routers.arrives(0, "s", "2")[..],
        [Output::Forward { .. }]
    ));
    routers.arrives(0, "t", "2");
    assert_eq!(routers.rejected, [(3, RejectionReason::NoMajority)]);
    // The cached binding is used for a shorter time than a majority retains its record.
    routers.group.now += RETENTION - RETENTION / 8;
    routers.arrives(0, "s", "2");
    assert_eq!(
        routers.rejected.last(),
        Some(&(4, RejectionReason::NoMajority))
    );
}

#[test]
fn waiting_invocations_are_bounded_in_number_and_time() {
    let mut s = Sessions::new(SessionSettings {
        max_waiting: 2,
        ..session_settings()
    });
    let arrive = |s: &mut Sessions, ticket| {
        let mut out = Vec::new();
        let session = Name::from(format!("s{ticket}"));
        let input = Input::Arrived {
            ticket,
            model: "m".into(),
            session,
            proposed_version: Some("1".into()),
            published_placement: None,
        };
        s.handle(0, input, &mut out);
        out
    };
    assert!((0..2).all(|t| matches!(arrive(&mut s, t)[..], [Output::RequestBinding { .. }])));
    assert_eq!(
        arrive(&mut s, 2),
        [Output::Reject {
            ticket: 2,
            reason: RejectionReason::Full
        }]
    );
    let mut out = Vec::new();
    s.handle(1, Input::Dropped { ticket: 0 }, &mut out);
    assert_eq!(
        (s.waiting_count(), s.next_due()),
        (1, session_settings().majority_timeout)
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
    let mut routers = Routers::new(1, None);
    for n in 0..20 {
        routers.arrives(0, &format!("s{n}"), "1");
        routers.advance(MILLISECOND);
    }
    assert_eq!(
        (
            routers.sessions[0].bound_versions().count(),
            routers.sessions[0].counts.sessions_forgotten
        ),
        (8, 12)
    );
    assert!(routers.forwarded.len() == 20 && routers.rejected.is_empty());
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases in order"
)]
fn the_worker_that_answered_last_is_preferred_until_it_is_lost() {
    let preferred_worker = |s: &mut Sessions, published_placement| {
        let mut out = Vec::new();
        let (model, session) = ("m".into(), "s".into());
        s.handle(
            9,
            Input::Arrived {
                ticket: 1,
                model,
                session,
                proposed_version: None,
                published_placement,
            },
            &mut out,
        );
        match out.as_slice() {
            [
                Output::Forward {
                    preferred_worker, ..
                },
            ] => preferred_worker.clone(),
            other => panic!("{other:?}"),
        }
    };
    let answered = |s: &mut Sessions, worker: &str, ends_session| {
        let mut out = Vec::new();
        let (model, session) = ("m".into(), "s".into());
        s.handle(
            9,
            Input::Answered {
                model,
                session,
                worker: worker.into(),
                ends_session,
            },
            &mut out,
        );
        out.len()
    };
    let mut s = Sessions::new(session_settings());
    assert_eq!(preferred_worker(&mut s, None), None);
    // Other routers are notified only when the worker changes.
    assert_eq!(
        (answered(&mut s, "a", false), answered(&mut s, "a", false)),
        (1, 0)
    );
    assert_eq!(preferred_worker(&mut s, None), Some("a".into()));
    let placement = |number, worker: &str| {
        Some(SessionPlacement {
            number,
            worker: worker.into(),
        })
    };
    assert_eq!(
        preferred_worker(&mut s, placement(1, "b")),
        Some("a".into())
    );
    assert_eq!(
        preferred_worker(&mut s, placement(7, "b")),
        Some("b".into())
    );
    s.handle(
        9,
        Input::PrefixLost {
            model: "m".into(),
            session: "s".into(),
            worker: "a".into(),
        },
        &mut Vec::new(),
    );
    assert_eq!(preferred_worker(&mut s, None), Some("b".into()));
    s.handle(
        9,
        Input::PrefixLost {
            model: "m".into(),
            session: "s".into(),
            worker: "b".into(),
        },
        &mut Vec::new(),
    );
    assert_eq!(preferred_worker(&mut s, placement(7, "b")), None);
    answered(&mut s, "c", false);
    s.handle(9, Input::WorkerGone { worker: "c".into() }, &mut Vec::new());
    assert_eq!(preferred_worker(&mut s, None), None);
    answered(&mut s, "c", false);
    answered(&mut s, "c", true);
    assert_eq!(preferred_worker(&mut s, None), None);
}

//! Single cases, each as short as it can be; those of guards are played without the guard as well.

mod common;

use bytes::Bytes;
use cedarpulley_replica::{
    Durability, IndeterminateReason, Input, Message, NoMajorityReason, Outcome, OwnershipDecision,
    Record, RecoveryState, ReplicaSettings, SafetyCheck,
};
use common::{KEPT, MS, World, group, terms};

const GO: OwnershipDecision = OwnershipDecision::Dispatch {
    first_dispatch_ago: None,
};

#[test]
fn a_dispatch_needs_a_majority_and_the_next_router_waits_for_it() {
    let mut w = World::new(3, None);
    assert_eq!(w.take(0, "x", false), Some(GO));
    let s = w.intend(0, "x");
    assert!(!w.left(0, s));
    w.deliver(|_, to, _| to != 2);
    assert!(w.left(0, s));
    // Its channel is lost; the message comes to another one, which waits for its end and answers alike.
    assert_eq!(w.take(2, "x", true), None);
    w.deliver(|_, _, _| true);
    assert_eq!(w.verdict(2, "x"), Some(OwnershipDecision::Wait));
    w.ended(0, "x", s, true);
    w.answered(0, "x", "done");
    w.pass(20 * MS);
    assert_eq!(
        w.verdict(2, "x"),
        Some(OwnershipDecision::Answer(Bytes::from_static(b"done")))
    );
    // A third delivery is answered at once.
    assert_eq!(
        w.take(1, "x", true),
        Some(OwnershipDecision::Answer(Bytes::from_static(b"done")))
    );
}

#[test]
fn a_takeover_dispatches_what_was_never_sent_and_not_what_may_have_run() {
    let mut w = World::new(3, None);
    for (key, ends, want) in [
        ("never", Some(false), GO),
        (
            "ran",
            Some(true),
            OwnershipDecision::Indeterminate(IndeterminateReason::DispatchIndeterminate),
        ),
    ] {
        w.take(0, key, false);
        let s = w.intend(0, key);
        w.deliver(|_, _, _| true);
        if let Some(may_have_run) = ends {
            w.ended(0, key, s, may_have_run);
        }
        w.feed(0, Input::Dropped { key: key.into() });
        w.pass(10 * MS);
        w.take(1, key, true);
        w.deliver(|_, _, _| true);
        assert_eq!(w.verdict(1, key), Some(want), "{key}");
    }
    // Held in a queue only, by one that is gone: nobody holds an intent, and somebody says that it was taken.
    w.take(0, "queued", false);
    w.pass(10 * MS);
    w.crash(0);
    w.take(1, "queued", true);
    w.deliver(|_, _, _| true);
    assert_eq!(w.verdict(1, "queued"), Some(GO));
    let s = w.intend(1, "queued");
    w.deliver(|_, _, _| true);
    assert!(w.left(1, s));
}

#[test]
fn a_permitted_dispatch_of_a_gone_owner_is_indeterminate() {
    let mut w = World::new(3, None);
    w.take(0, "x", false);
    w.intend(0, "x");
    w.deliver(|_, _, _| true);
    w.crash(0);
    w.take(1, "x", true);
    w.deliver(|_, _, _| true);
    // Not known to be gone yet, it is waited for.
    assert_eq!(w.verdict(1, "x"), Some(OwnershipDecision::Wait));
    w.sees(1, 0, false);
    assert_eq!(
        w.verdict(1, "x"),
        Some(OwnershipDecision::Indeterminate(
            IndeterminateReason::OwnerGone
        ))
    );
}

#[test]
fn without_a_majority_only_dispatches_allowed_alone_are_sent() {
    let mut w = World::new(3, None);
    w.take(0, "x", false);
    let s = w.intend(0, "x");
    w.pass_where(1_000 * MS, |_, _, _| false);
    assert_eq!(w.leaves[0][&s], Err(NoMajorityReason::TimedOut));
    w.take(0, "y", false);
    w.last += 1;
    let s = w.last;
    w.feed(
        0,
        Input::RequestDispatch {
            key: "y".into(),
            dispatch: s,
            deduplication_scope: 0,
            without_majority: true,
        },
    );
    w.pass_where(1_000 * MS, |_, _, _| false);
    assert_eq!(w.leaves[0][&s], Ok(true));
    // Known to be alone, it is told at once; and one that has just started does not take it either.
    w.sees(0, 1, false);
    w.sees(0, 2, false);
    assert_eq!(
        w.take(0, "z", false),
        Some(OwnershipDecision::NoMajority(NoMajorityReason::Unreachable))
    );
    let mut w = World::fresh(3, None);
    assert_eq!(
        w.take(0, "z", false),
        Some(OwnershipDecision::NoMajority(NoMajorityReason::Recovering))
    );
    // Tokened ones that need no copy are taken all the same.
    w.feed(
        0,
        Input::Take {
            key: "t".into(),
            durability: Durability::Local,
            redelivered: false,
        },
    );
    assert_eq!(w.verdict(0, "t"), Some(GO));
}

#[test]
fn the_first_dispatch_of_an_idempotency_key_is_known_at_every_router() {
    let mut w = World::new(3, None);
    let take = |w: &mut World, r| {
        w.feed(
            r,
            Input::Take {
                key: "t".into(),
                durability: Durability::Local,
                redelivered: false,
            },
        );
        w.verdict(r, "t")
    };
    assert_eq!(take(&mut w, 0), Some(GO));
    w.feed(
        0,
        Input::Dispatched {
            key: "t".into(),
            dispatch: 7,
            deduplication_scope: 0,
        },
    );
    w.pass(300 * MS);
    w.feed(
        1,
        Input::Dispatched {
            key: "t".into(),
            dispatch: 8,
            deduplication_scope: 0,
        },
    );
    w.pass(200 * MS);
    let Some(OwnershipDecision::Dispatch {
        first_dispatch_ago: Some(ago),
    }) = take(&mut w, 2)
    else {
        panic!("it may have run")
    };
    assert!((500 * MS..520 * MS).contains(&ago), "{ago}");
    w.answered(0, "t", "done");
    w.pass(10 * MS);
    assert_eq!(
        take(&mut w, 2),
        Some(OwnershipDecision::Answer(Bytes::from_static(b"done")))
    );
}

#[test]
fn conflicting_answers_are_reported_and_not_dispatched_again() {
    let mut w = World::new(3, None);
    w.take(0, "x", false);
    let s = w.intend(0, "x");
    w.deliver(|_, _, _| true);
    w.ended(0, "x", s, true);
    // Behind a cut each gives its own.
    w.answered(0, "x", "one");
    w.answered(1, "x", "other");
    w.pass(20 * MS);
    assert!(w.at(0).conflicts() == 1 && w.at(2).conflicts() == 1);
    w.take(2, "x", true);
    w.deliver(|_, _, _| true);
    assert_eq!(
        w.verdict(2, "x"),
        Some(OwnershipDecision::Indeterminate(
            IndeterminateReason::ConflictingAnswers
        ))
    );
}

/// Five members: a promise of an earlier process of the third must not count beside a later one of the fourth.
#[test]
fn votes_of_two_processes_of_one_member_do_not_add_up() {
    let play = |without| {
        let mut w = World::patient(5, without, KEPT);
        w.take(0, "x", false);
        w.deliver(|_, _, _| true);
        w.pass(10 * MS);
        let s = w.intend(0, "x");
        // Another one fences; only the third has heard of it so far, and then loses its memory.
        w.take(1, "x", true);
        w.deliver(|from, to, m| matches!(m, Message::Fence { .. }) && to == 2 && from == 1);
        w.deliver(|from, to, m| matches!(m, Message::Fenced { .. }) && (from, to) == (2, 1));
        w.crash(2);
        let (net, old) = (std::mem::take(&mut w.net), w.nonces[2]);
        w.start(2, None);
        w.sees(1, 2, true);
        w.sees(2, 1, false);
        // It compares with those that have not heard of the fence, and remembers enough.
        w.pass_where(350 * MS, |from, to, m| match m {
            Message::CompareDigests { .. } | Message::FetchRecords { .. } => from == 2 && to != 1,
            Message::DifferingGroups { .. } | Message::FetchedRecords { .. } => {
                to == 2 && from != 1
            }
            _ => false,
        });
        w.sees(2, 1, true);
        assert_eq!(w.at(2).recovery_state(), RecoveryState::Complete);
        assert_ne!(old, w.nonces[2]);
        w.net = net;
        // The intent is held by the new process and one more; the fence is promised by that one after.
        w.deliver(|from, to, m| {
            matches!(m, Message::StoreIntent { .. }) && from == 0 && (to == 2 || to == 4)
        });
        w.deliver(|from, _, m| {
            matches!(m, Message::IntentStored { .. }) && (from == 2 || from == 4)
        });
        let one = w.left(0, s);
        w.deliver(|from, to, m| matches!(m, Message::Fence { .. }) && (from, to) == (1, 3));
        w.deliver(|from, _, m| matches!(m, Message::Fenced { .. }) && from == 3);
        if w.verdict(1, "x") != Some(GO) {
            return (one, false);
        }
        let s = w.intend(1, "x");
        w.deliver(|from, to, _| from != 0 && to != 0 && from != 4 && to != 4);
        (one, w.left(1, s))
    };
    let (one, other) = play(None);
    assert!(!(one && other), "{one} {other}");
    assert_eq!(play(Some(SafetyCheck::AgreeingVoters)), (true, true));
}

#[test]
fn an_invocation_nobody_is_known_to_have_taken_is_not_dispatched_again() {
    let play = |without| {
        let mut w = World::new(3, without);
        w.take(0, "x", false);
        let s = w.intend(0, "x");
        w.deliver(|_, _, _| true);
        assert!(w.left(0, s));
        // It has run; its router is stopped, and all that is known of it is over before it comes again.
        w.pass_where(KEPT + 10 * MS, |from, to, _| from != 0 && to != 0);
        w.take(1, "x", true);
        w.deliver(|from, to, _| from != 0 && to != 0);
        w.verdict(1, "x")
    };
    assert_eq!(
        play(None),
        Some(OwnershipDecision::Indeterminate(
            IndeterminateReason::Unknown
        ))
    );
    assert_eq!(play(Some(SafetyCheck::KnownToBeTaken)), Some(GO));
}

#[test]
fn after_a_restart_of_all_members_a_missing_intent_proves_nothing() {
    let play = |without| {
        let mut w = World::new(3, without);
        w.take(0, "x", false);
        w.pass(10 * MS);
        // Folders are written from time to time: these do not know of the intent.
        let folders: Vec<_> = (0..3).map(|r| w.folder(r)).collect();
        let s = w.intend(0, "x");
        w.deliver(|_, _, _| true);
        assert!(w.left(0, s));
        (0..3).for_each(|r| {
            w.crash(r);
        });
        w.net.clear();
        for (r, folder) in folders.into_iter().enumerate() {
            w.start(r, Some(folder));
        }
        w.pass(500 * MS);
        assert!((0..3).all(|r| w.at(r).recovery_state() == RecoveryState::Complete));
        w.take(1, "x", true);
        w.deliver(|_, _, _| true);
        w.verdict(1, "x")
    };
    assert_eq!(
        play(None),
        Some(OwnershipDecision::Indeterminate(
            IndeterminateReason::StateLost
        ))
    );
    assert_eq!(play(Some(SafetyCheck::DoubtAfterRestarts)), Some(GO));
}

#[test]
fn a_chosen_value_stands_against_later_proposals() {
    let play = |without| {
        let mut w = World::new(3, without);
        let choose = |w: &mut World, r: usize, value: &'static str| {
            let value = Bytes::from_static(value.as_bytes());
            w.feed(
                r,
                Input::Choose {
                    key: "s".into(),
                    value,
                    retention: KEPT,
                },
            );
            w.deliver(|_, _, _| true);
            w.decided[r].get("s").and_then(|d| d.last()).cloned()
        };
        assert_eq!(
            choose(&mut w, 0, "v1"),
            Some(Outcome::Chosen(Bytes::from_static(b"v1")))
        );
        choose(&mut w, 1, "v2")
    };
    assert_eq!(play(None), Some(Outcome::Chosen(Bytes::from_static(b"v1"))));
    assert_eq!(
        play(Some(SafetyCheck::AdoptAcceptedValue)),
        Some(Outcome::Chosen(Bytes::from_static(b"v2")))
    );
}

#[test]
fn a_leader_continues_from_the_last_value_and_an_older_term_cannot_write() {
    let mut w = World::new(3, None);
    let lead = |w: &mut World, r: usize| {
        w.feed(
            r,
            Input::Lead {
                key: "plan".into(),
                retention: KEPT,
            },
        );
        w.deliver(|_, _, _| true);
        match w.decided[r].get("plan").and_then(|d| d.last()).cloned() {
            Some(Outcome::Leads { ballot, last }) => (ballot, last),
            other => panic!("{other:?}"),
        }
    };
    let write = |w: &mut World, r: usize, ballot, step: &'static str| {
        let value = Bytes::from_static(step.as_bytes());
        w.feed(
            r,
            Input::Write {
                key: "plan".into(),
                ballot,
                value,
                retention: KEPT,
            },
        );
        w.deliver(|_, _, _| true);
        w.decided[r]["plan"].last().cloned()
    };
    let (first, last) = lead(&mut w, 0);
    assert_eq!(last, None);
    assert_eq!(
        write(&mut w, 0, first, "1"),
        Some(Outcome::Written { ballot: first })
    );
    assert_eq!(
        write(&mut w, 0, first, "2"),
        Some(Outcome::Written { ballot: first })
    );
    let (second, last) = lead(&mut w, 2);
    assert!(second > first && last == Some(Bytes::from_static(b"2")));
    assert_eq!(write(&mut w, 0, first, "3"), Some(Outcome::Overtaken));
    assert_eq!(
        write(&mut w, 2, second, "3"),
        Some(Outcome::Written { ballot: second })
    );
}

#[test]
fn a_restarted_member_votes_once_it_has_caught_up() {
    let mut w = World::new(3, None);
    let note = |w: &mut World, r: usize, n: u64| {
        let (key, value) = (format!("n{n}").into(), Bytes::from(n.to_string()));
        w.feed(
            r,
            Input::PublishNote {
                key,
                version: (1, n),
                value,
                retention: 10 * KEPT,
            },
        );
    };
    (0..3_000).for_each(|n| note(&mut w, 0, n));
    w.pass(100 * MS);
    let folder = w.crash(2);
    (3_000..3_100).for_each(|n| note(&mut w, 1, n));
    w.pass(100 * MS);
    // With its folder, a few pieces; without, a snapshot.
    w.start(2, Some(folder));
    w.pass(600 * MS);
    assert_eq!(
        (w.at(2).recovery_state(), w.at(2).records().count()),
        (RecoveryState::Complete, 3_100)
    );
    assert!(
        w.at(2).counts.snapshots == 0 && w.at(2).counts.records_fetched < 1_000,
        "{:?}",
        w.at(2).counts
    );
    w.crash(2);
    w.start(2, None);
    w.pass(900 * MS);
    assert_eq!(
        (w.at(2).recovery_state(), w.at(2).records().count()),
        (RecoveryState::Complete, 3_100)
    );
    assert_eq!(w.at(2).counts.snapshots, 1);
    // All without memory: only time helps.
    (0..3).for_each(|r| {
        w.crash(r);
    });
    (0..3).for_each(|r| w.start(r, None));
    w.pass(KEPT / 2);
    assert!((0..3).all(|r| w.at(r).recovery_state() == RecoveryState::Empty));
    w.pass(KEPT);
    assert!((0..3).all(|r| w.at(r).recovery_state() == RecoveryState::Complete));
}

#[test]
fn expired_records_are_not_accepted_again_from_an_absent_member() {
    let mut w = World::new(3, None);
    w.take(0, "x", false);
    w.pass(20 * MS);
    let folder = w.crash(2);
    w.pass(KEPT);
    assert!(w.at(0).records().next().is_none());
    // Its clock says that no time has passed.
    w.start(2, Some(folder));
    assert_eq!(w.at(2).records().count(), 1);
    w.pass(3_000 * MS);
    assert!(w.at(0).records().next().is_none() && w.at(1).records().next().is_none());
    let offered = w.at(0).counts.expired_records_received + w.at(1).counts.expired_records_received;
    assert!(offered > 0, "it was offered and refused");
}

#[test]
fn a_full_store_rejects_new_records_with_its_reason() {
    let mut w = World::new(3, None);
    let few = ReplicaSettings {
        max_records: 2,
        ..terms(None, 800 * MS)
    };
    w.replicas[1] = Some(cedarpulley_replica::Replica::new(
        w.now,
        group(3, 1),
        few,
        99,
        None,
    ));
    w.nonces[1] = 99;
    (0..3).for_each(|m| w.sees(1, m, true));
    w.sees(0, 1, true);
    w.sees(2, 1, true);
    w.pass(500 * MS);
    for key in ["a", "b", "c"] {
        w.take(1, key, false);
    }
    assert_eq!(
        w.verdict(1, "c"),
        Some(OwnershipDecision::NoMajority(NoMajorityReason::StoreFull))
    );
    // The others go on without its vote.
    w.take(0, "d", false);
    let s = w.intend(0, "d");
    w.deliver(|_, _, _| true);
    assert!(w.left(0, s));
    let held = |r: usize| {
        w.at(r)
            .records()
            .filter(|(_, s)| matches!(s.record, Record::Invocation(_)))
            .count()
    };
    assert_eq!(held(1), 2);
}

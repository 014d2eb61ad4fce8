//! Short scenarios of a group in virtual time. Scenarios for a safety check are also run with the check disabled, to
//! show that the fault then occurs.

mod common;

use bytes::Bytes;
use cedarpulley_replica::{
    Durability, IndeterminateReason, Input, Message, NoMajorityReason, Outcome, OwnershipDecision,
    Record, RecoveryState, ReplicaSettings, SafetyCheck,
};
use common::{MILLISECOND, RETENTION, ReplicaGroup, group, settings};

/// Dispatch is allowed, and no earlier dispatch is known.
const FIRST_DISPATCH: OwnershipDecision = OwnershipDecision::Dispatch {
    first_dispatch_ago: None,
};

#[test]
fn a_dispatch_needs_a_majority_and_the_next_router_waits_for_it() {
    let mut w = ReplicaGroup::new(3, None);
    assert_eq!(w.announce(0, "x", false), Some(FIRST_DISPATCH));
    let dispatch = w.request_dispatch(0, "x");
    assert!(!w.is_permitted(0, dispatch));
    w.deliver(|_, to, _| to != 2);
    assert!(w.is_permitted(0, dispatch));
    // Router 0 loses its channel. The message is redelivered to router 2, which waits for the dispatch to end and then
    // returns the same answer.
    assert_eq!(w.announce(2, "x", true), None);
    w.deliver(|_, _, _| true);
    assert_eq!(w.last_decision(2, "x"), Some(OwnershipDecision::Wait));
    w.dispatch_ended(0, "x", dispatch, true);
    w.answered(0, "x", "done");
    w.advance(20 * MILLISECOND);
    assert_eq!(
        w.last_decision(2, "x"),
        Some(OwnershipDecision::Answer(Bytes::from_static(b"done")))
    );
    // A third delivery is answered at once.
    assert_eq!(
        w.announce(1, "x", true),
        Some(OwnershipDecision::Answer(Bytes::from_static(b"done")))
    );
}

#[test]
fn a_takeover_dispatches_what_was_never_sent_and_not_what_may_have_run() {
    let mut w = ReplicaGroup::new(3, None);
    for (key, ended, want) in [
        ("never", Some(false), FIRST_DISPATCH),
        (
            "ran",
            Some(true),
            OwnershipDecision::Indeterminate(IndeterminateReason::DispatchIndeterminate),
        ),
    ] {
        w.announce(0, key, false);
        let dispatch = w.request_dispatch(0, key);
        w.deliver(|_, _, _| true);
        if let Some(may_have_run) = ended {
            w.dispatch_ended(0, key, dispatch, may_have_run);
        }
        w.handle(0, Input::Abandoned { key: key.into() });
        w.advance(10 * MILLISECOND);
        w.announce(1, key, true);
        w.deliver(|_, _, _| true);
        assert_eq!(w.last_decision(1, key), Some(want), "{key}");
    }
    // The invocation was only queued at a router that crashed: no member has an intent, and at least one member knows
    // that the invocation was accepted.
    w.announce(0, "queued", false);
    w.advance(10 * MILLISECOND);
    w.crash(0);
    w.announce(1, "queued", true);
    w.deliver(|_, _, _| true);
    assert_eq!(w.last_decision(1, "queued"), Some(FIRST_DISPATCH));
    let dispatch = w.request_dispatch(1, "queued");
    w.deliver(|_, _, _| true);
    assert!(w.is_permitted(1, dispatch));
}

#[test]
fn a_permitted_dispatch_of_a_gone_owner_is_indeterminate() {
    let mut w = ReplicaGroup::new(3, None);
    w.announce(0, "x", false);
    w.request_dispatch(0, "x");
    w.deliver(|_, _, _| true);
    w.crash(0);
    w.announce(1, "x", true);
    w.deliver(|_, _, _| true);
    // As long as the owner is not known to have crashed, the takeover waits for it.
    assert_eq!(w.last_decision(1, "x"), Some(OwnershipDecision::Wait));
    w.report_member(1, 0, false);
    assert_eq!(
        w.last_decision(1, "x"),
        Some(OwnershipDecision::Indeterminate(
            IndeterminateReason::OwnerGone
        ))
    );
}

#[test]
fn without_a_majority_only_dispatches_allowed_alone_are_sent() {
    let mut w = ReplicaGroup::new(3, None);
    w.announce(0, "x", false);
    let dispatch = w.request_dispatch(0, "x");
    w.advance_delivering(1_000 * MILLISECOND, |_, _, _| false);
    assert_eq!(w.permissions[0][&dispatch], Err(NoMajorityReason::TimedOut));
    w.announce(0, "y", false);
    w.last_id += 1;
    let dispatch = w.last_id;
    w.handle(
        0,
        Input::RequestDispatch {
            key: "y".into(),
            dispatch,
            deduplication_scope: 0,
            without_majority: true,
        },
    );
    w.advance_delivering(1_000 * MILLISECOND, |_, _, _| false);
    assert_eq!(w.permissions[0][&dispatch], Ok(true));
    // A router that is known to be alone is denied a majority at once, and so is a router that has just started.
    w.report_member(0, 1, false);
    w.report_member(0, 2, false);
    assert_eq!(
        w.announce(0, "z", false),
        Some(OwnershipDecision::NoMajority(NoMajorityReason::Unreachable))
    );
    let mut w = ReplicaGroup::recovering(3, None);
    assert_eq!(
        w.announce(0, "z", false),
        Some(OwnershipDecision::NoMajority(NoMajorityReason::Recovering))
    );
    // Invocations that need only a local record are accepted all the same.
    w.handle(
        0,
        Input::Announce {
            key: "t".into(),
            durability: Durability::Local,
            redelivered: false,
        },
    );
    assert_eq!(w.last_decision(0, "t"), Some(FIRST_DISPATCH));
}

#[test]
fn the_first_dispatch_of_an_idempotency_key_is_known_at_every_router() {
    let mut w = ReplicaGroup::new(3, None);
    let take = |w: &mut ReplicaGroup, r| {
        w.handle(
            r,
            Input::Announce {
                key: "t".into(),
                durability: Durability::Local,
                redelivered: false,
            },
        );
        w.last_decision(r, "t")
    };
    assert_eq!(take(&mut w, 0), Some(FIRST_DISPATCH));
    w.handle(
        0,
        Input::Dispatched {
            key: "t".into(),
            dispatch: 7,
            deduplication_scope: 0,
        },
    );
    w.advance(300 * MILLISECOND);
    w.handle(
        1,
        Input::Dispatched {
            key: "t".into(),
            dispatch: 8,
            deduplication_scope: 0,
        },
    );
    w.advance(200 * MILLISECOND);
    let Some(OwnershipDecision::Dispatch {
        first_dispatch_ago: Some(ago),
    }) = take(&mut w, 2)
    else {
        panic!("the first dispatch is not known")
    };
    assert!(
        (500 * MILLISECOND..520 * MILLISECOND).contains(&ago),
        "{ago}"
    );
    w.answered(0, "t", "done");
    w.advance(10 * MILLISECOND);
    assert_eq!(
        take(&mut w, 2),
        Some(OwnershipDecision::Answer(Bytes::from_static(b"done")))
    );
}

#[test]
fn conflicting_answers_are_reported_and_not_dispatched_again() {
    let mut w = ReplicaGroup::new(3, None);
    w.announce(0, "x", false);
    let dispatch = w.request_dispatch(0, "x");
    w.deliver(|_, _, _| true);
    w.dispatch_ended(0, "x", dispatch, true);
    // On the two sides of a partition, each router reports its own answer.
    w.answered(0, "x", "one");
    w.answered(1, "x", "other");
    w.advance(20 * MILLISECOND);
    assert!(w.replica(0).conflicts() == 1 && w.replica(2).conflicts() == 1);
    w.announce(2, "x", true);
    w.deliver(|_, _, _| true);
    assert_eq!(
        w.last_decision(2, "x"),
        Some(OwnershipDecision::Indeterminate(
            IndeterminateReason::ConflictingAnswers
        ))
    );
}

/// Guards against a quorum of five members in which the promise of an earlier process of member 2 counts together with
/// a later promise of member 3.
#[test]
fn votes_of_two_processes_of_one_member_do_not_add_up() {
    let play = |disabled_check| {
        let mut w = ReplicaGroup::with_majority_timeout(5, disabled_check, RETENTION);
        w.announce(0, "x", false);
        w.deliver(|_, _, _| true);
        w.advance(10 * MILLISECOND);
        let dispatch = w.request_dispatch(0, "x");
        // Router 1 fences the invocation. Only member 2 has received the fence, and then restarts without its state.
        w.announce(1, "x", true);
        w.deliver(|from, to, m| matches!(m, Message::Fence { .. }) && to == 2 && from == 1);
        w.deliver(|from, to, m| matches!(m, Message::Fenced { .. }) && (from, to) == (2, 1));
        w.crash(2);
        let (in_transit, old) = (std::mem::take(&mut w.in_transit), w.nonces[2]);
        w.start(2, None);
        w.report_member(1, 2, true);
        w.report_member(2, 1, false);
        // Member 2 compares records with members that have not received the fence, and completes recovery.
        w.advance_delivering(350 * MILLISECOND, |from, to, m| match m {
            Message::CompareDigests { .. } | Message::FetchRecords { .. } => from == 2 && to != 1,
            Message::DifferingGroups { .. } | Message::FetchedRecords { .. } => {
                to == 2 && from != 1
            }
            _ => false,
        });
        w.report_member(2, 1, true);
        assert_eq!(w.replica(2).recovery_state(), RecoveryState::Complete);
        assert_ne!(old, w.nonces[2]);
        w.in_transit = in_transit;
        // The new process of member 2 and member 4 store the intent. Member 3 then promises the fence.
        w.deliver(|from, to, m| {
            matches!(m, Message::StoreIntent { .. }) && from == 0 && (to == 2 || to == 4)
        });
        w.deliver(|from, _, m| {
            matches!(m, Message::IntentStored { .. }) && (from == 2 || from == 4)
        });
        let first = w.is_permitted(0, dispatch);
        w.deliver(|from, to, m| matches!(m, Message::Fence { .. }) && (from, to) == (1, 3));
        w.deliver(|from, _, m| matches!(m, Message::Fenced { .. }) && from == 3);
        if w.last_decision(1, "x") != Some(FIRST_DISPATCH) {
            return (first, false);
        }
        let dispatch = w.request_dispatch(1, "x");
        w.deliver(|from, to, _| from != 0 && to != 0 && from != 4 && to != 4);
        (first, w.is_permitted(1, dispatch))
    };
    let (first, second) = play(None);
    assert!(!(first && second), "{first} {second}");
    assert_eq!(play(Some(SafetyCheck::AgreeingVoters)), (true, true));
}

#[test]
fn an_invocation_without_a_known_owner_is_not_dispatched_again() {
    let play = |disabled_check| {
        let mut w = ReplicaGroup::new(3, disabled_check);
        w.announce(0, "x", false);
        let dispatch = w.request_dispatch(0, "x");
        w.deliver(|_, _, _| true);
        assert!(w.is_permitted(0, dispatch));
        // The invocation has run and its router is stopped. All records of it expire before it is redelivered.
        w.advance_delivering(RETENTION + 10 * MILLISECOND, |from, to, _| {
            from != 0 && to != 0
        });
        w.announce(1, "x", true);
        w.deliver(|from, to, _| from != 0 && to != 0);
        w.last_decision(1, "x")
    };
    assert_eq!(
        play(None),
        Some(OwnershipDecision::Indeterminate(
            IndeterminateReason::Unknown
        ))
    );
    assert_eq!(
        play(Some(SafetyCheck::UnknownIsNotDispatched)),
        Some(FIRST_DISPATCH)
    );
}

#[test]
fn after_a_restart_of_all_members_a_missing_intent_proves_nothing() {
    let play = |disabled_check| {
        let mut w = ReplicaGroup::new(3, disabled_check);
        w.announce(0, "x", false);
        w.advance(10 * MILLISECOND);
        // Stores are written periodically: these copies were written before the intent.
        let stores: Vec<_> = (0..3).map(|r| w.stored_records(r)).collect();
        let dispatch = w.request_dispatch(0, "x");
        w.deliver(|_, _, _| true);
        assert!(w.is_permitted(0, dispatch));
        (0..3).for_each(|r| {
            w.crash(r);
        });
        w.in_transit.clear();
        for (r, records) in stores.into_iter().enumerate() {
            w.start(r, Some(records));
        }
        w.advance(500 * MILLISECOND);
        assert!((0..3).all(|r| w.replica(r).recovery_state() == RecoveryState::Complete));
        w.announce(1, "x", true);
        w.deliver(|_, _, _| true);
        w.last_decision(1, "x")
    };
    assert_eq!(
        play(None),
        Some(OwnershipDecision::Indeterminate(
            IndeterminateReason::StateLost
        ))
    );
    assert_eq!(
        play(Some(SafetyCheck::IntentsMayBeLostAfterRestarts)),
        Some(FIRST_DISPATCH)
    );
}

#[test]
fn a_chosen_value_is_not_replaced_by_later_proposals() {
    let play = |disabled_check| {
        let mut w = ReplicaGroup::new(3, disabled_check);
        let choose = |w: &mut ReplicaGroup, r: usize, value: &'static str| {
            let value = Bytes::from_static(value.as_bytes());
            w.handle(
                r,
                Input::Choose {
                    key: "s".into(),
                    value,
                    retention: RETENTION,
                },
            );
            w.deliver(|_, _, _| true);
            w.outcomes[r].get("s").and_then(|d| d.last()).cloned()
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
    let mut w = ReplicaGroup::new(3, None);
    let lead = |w: &mut ReplicaGroup, r: usize| {
        w.handle(
            r,
            Input::RequestLeadership {
                key: "plan".into(),
                retention: RETENTION,
            },
        );
        w.deliver(|_, _, _| true);
        match w.outcomes[r].get("plan").and_then(|d| d.last()).cloned() {
            Some(Outcome::Leads { ballot, last }) => (ballot, last),
            other => panic!("{other:?}"),
        }
    };
    let write = |w: &mut ReplicaGroup, r: usize, ballot, step: &'static str| {
        let value = Bytes::from_static(step.as_bytes());
        w.handle(
            r,
            Input::Write {
                key: "plan".into(),
                ballot,
                value,
                retention: RETENTION,
            },
        );
        w.deliver(|_, _, _| true);
        w.outcomes[r]["plan"].last().cloned()
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
    let mut w = ReplicaGroup::new(3, None);
    let note = |w: &mut ReplicaGroup, r: usize, n: u64| {
        let (key, value) = (format!("n{n}").into(), Bytes::from(n.to_string()));
        w.handle(
            r,
            Input::PublishNote {
                key,
                version: (1, n),
                value,
                retention: 10 * RETENTION,
            },
        );
    };
    (0..3_000).for_each(|n| note(&mut w, 0, n));
    w.advance(100 * MILLISECOND);
    let records = w.crash(2);
    (3_000..3_100).for_each(|n| note(&mut w, 1, n));
    w.advance(100 * MILLISECOND);
    // With its store, the member fetches only some leaves; without it, a snapshot.
    w.start(2, Some(records));
    w.advance(600 * MILLISECOND);
    assert_eq!(
        (
            w.replica(2).recovery_state(),
            w.replica(2).records().count()
        ),
        (RecoveryState::Complete, 3_100)
    );
    assert!(
        w.replica(2).counts.snapshots == 0 && w.replica(2).counts.records_fetched < 1_000,
        "{:?}",
        w.replica(2).counts
    );
    w.crash(2);
    w.start(2, None);
    w.advance(900 * MILLISECOND);
    assert_eq!(
        (
            w.replica(2).recovery_state(),
            w.replica(2).records().count()
        ),
        (RecoveryState::Complete, 3_100)
    );
    assert_eq!(w.replica(2).counts.snapshots, 1);
    // All members have lost their records: they recover only once the retention time has passed.
    (0..3).for_each(|r| {
        w.crash(r);
    });
    (0..3).for_each(|r| w.start(r, None));
    w.advance(RETENTION / 2);
    assert!((0..3).all(|r| w.replica(r).recovery_state() == RecoveryState::Empty));
    w.advance(RETENTION);
    assert!((0..3).all(|r| w.replica(r).recovery_state() == RecoveryState::Complete));
}

#[test]
fn expired_records_are_not_accepted_again_from_an_absent_member() {
    let mut w = ReplicaGroup::new(3, None);
    w.announce(0, "x", false);
    w.advance(20 * MILLISECOND);
    let records = w.crash(2);
    w.advance(RETENTION);
    assert!(w.replica(0).records().next().is_none());
    // The restored records did not age while the member was down.
    w.start(2, Some(records));
    assert_eq!(w.replica(2).records().count(), 1);
    w.advance(3_000 * MILLISECOND);
    assert!(w.replica(0).records().next().is_none() && w.replica(1).records().next().is_none());
    let offered =
        w.replica(0).counts.expired_records_received + w.replica(1).counts.expired_records_received;
    assert!(offered > 0, "the expired record was offered and rejected");
}

#[test]
fn a_full_store_rejects_new_records_with_its_reason() {
    let mut w = ReplicaGroup::new(3, None);
    let small_store = ReplicaSettings {
        max_records: 2,
        ..settings(None, 800 * MILLISECOND)
    };
    w.replicas[1] = Some(cedarpulley_replica::Replica::new(
        w.now,
        group(3, 1),
        small_store,
        99,
        None,
    ));
    w.nonces[1] = 99;
    (0..3).for_each(|m| w.report_member(1, m, true));
    w.report_member(0, 1, true);
    w.report_member(2, 1, true);
    w.advance(500 * MILLISECOND);
    for key in ["a", "b", "c"] {
        w.announce(1, key, false);
    }
    assert_eq!(
        w.last_decision(1, "c"),
        Some(OwnershipDecision::NoMajority(NoMajorityReason::StoreFull))
    );
    // The other members continue without its vote.
    w.announce(0, "d", false);
    let dispatch = w.request_dispatch(0, "d");
    w.deliver(|_, _, _| true);
    assert!(w.is_permitted(0, dispatch));
    let held = |r: usize| {
        w.replica(r)
            .records()
            .filter(|(_, s)| matches!(s.record, Record::Invocation(_)))
            .count()
    };
    assert_eq!(held(1), 2);
}

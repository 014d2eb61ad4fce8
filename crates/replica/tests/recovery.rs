//! Guards against wrong conclusions by a member that was absent, full, partitioned or slow. Each test covers a fault
//! that the code once had.

mod common;

use bytes::Bytes;
use cedarpulley_membership::MemberIndex;
use cedarpulley_replica::wire::RejectionReason;
use cedarpulley_replica::{
    Ballot, IndeterminateReason, Input, Message, OwnershipDecision, RecoveryState, Replica,
    ReplicaSettings, SafetyCheck,
};
use common::{MILLISECOND, RETENTION, ReplicaGroup, group, settings};

/// Dispatch is allowed, and no earlier dispatch is known.
const FIRST_DISPATCH: OwnershipDecision = OwnershipDecision::Dispatch {
    first_dispatch_ago: None,
};

fn note(w: &mut ReplicaGroup, r: usize, n: u64) {
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
}

/// Delivers the first matching message with the given transit time in microseconds; all others remain in transit.
fn deliver_late(
    w: &mut ReplicaGroup,
    to: usize,
    transit: i64,
    selects: impl Fn(MemberIndex, &Message) -> bool,
) {
    let fitting = |sent: &(MemberIndex, MemberIndex, u64, i64, Message)| {
        sent.1 == to as u16 && selects(sent.0, &sent.4)
    };
    let Some(n) = w.in_transit.iter().position(fitting) else {
        panic!("no matching message is in transit")
    };
    let (from, _, nonce, _, message) = w.in_transit.remove(n);
    w.handle(
        to,
        Input::MessageReceived {
            from,
            nonce,
            transit,
            message,
        },
    );
}

#[test]
fn a_duplicated_batch_does_not_replace_the_next_one() {
    let mut w = ReplicaGroup::new(3, None);
    (0..3_000).for_each(|n| note(&mut w, 0, n));
    w.in_transit.clear();
    w.crash(2);
    w.start(2, None);
    // The second batch is lost and the first one arrives twice. Only one of the other two members has any of the
    // records.
    let (mut first, mut lost) = (None, false);
    while w.replica(2).recovery_state() != RecoveryState::Complete && w.now < 4 * RETENTION {
        w.now += 10 * MILLISECOND;
        (0..3).for_each(|r| w.handle(r, Input::Tick));
        while !w.in_transit.is_empty() {
            let (from, to, nonce, _, mut message) = w.in_transit.remove(0);
            if from != 2 && to != 2 || matches!(message, Message::Update { .. }) {
                continue;
            }
            if let Message::FetchedRecords { .. } = message {
                match &first {
                    None => first = Some(message.clone()),
                    Some(first_batch) if !lost => (message, lost) = (first_batch.clone(), true),
                    Some(_) => {}
                }
            }
            w.handle(
                to as usize,
                Input::MessageReceived {
                    from,
                    nonce,
                    transit: 0,
                    message,
                },
            );
        }
    }
    assert!(lost);
    assert_eq!(
        (
            w.replica(2).recovery_state(),
            w.replica(2).records().count()
        ),
        (RecoveryState::Complete, 3_000)
    );
}

#[test]
fn a_member_whose_store_was_full_does_not_complete_recovery() {
    let mut w = ReplicaGroup::new(3, None);
    for key in ["a", "b", "c"] {
        w.announce(0, key, false);
    }
    w.advance(20 * MILLISECOND);
    w.crash(2);
    let small_store = ReplicaSettings {
        max_records: 2,
        ..settings(None, 800 * MILLISECOND)
    };
    w.replicas[2] = Some(Replica::new(w.now, group(3, 2), small_store, 99, None));
    w.nonces[2] = 99;
    (0..3).for_each(|m| w.report_member(2, m, true));
    (0..2).for_each(|r| w.report_member(r, 2, true));
    w.advance(1_000 * MILLISECOND);
    assert_eq!(
        (
            w.replica(2).recovery_state(),
            w.replica(2).records().count()
        ),
        (RecoveryState::Empty, 2)
    );
    w.advance(2 * RETENTION);
    assert_eq!(w.replica(2).recovery_state(), RecoveryState::Complete);
}

/// Members 0 and 1 store an intent, while member 2 knows only that the invocation was accepted. Then member 0 crashes.
/// Returns whether the dispatch was permitted.
fn dispatch_at_two_members(w: &mut ReplicaGroup, transit: i64) -> bool {
    let dispatch = w.request_dispatch(0, "x");
    w.in_transit.retain(|(_, to, ..)| *to == 1);
    deliver_late(w, 1, transit, |_, m| {
        matches!(m, Message::StoreIntent { .. })
    });
    w.deliver(|from, to, _| from == 1 && to == 0);
    let permitted = w.is_permitted(0, dispatch);
    w.crash(0);
    w.in_transit.clear();
    permitted
}

/// The invocation is redelivered to member 2, which received no messages for the time `after`. Returns its decision.
fn redeliver_to_third(w: &mut ReplicaGroup, after: i64) -> Option<OwnershipDecision> {
    w.advance_delivering(after, |_, _, _| false);
    w.report_member(2, 0, false);
    w.announce(2, "x", true);
    w.deliver(|from, to, _| (from, to) != (0, 0));
    w.advance(300 * MILLISECOND);
    w.last_decision(2, "x")
}

#[test]
fn a_promise_whose_record_has_expired_is_requested_again() {
    let mut w = ReplicaGroup::new(3, None);
    w.announce(0, "x", false);
    w.advance(10 * MILLISECOND);
    // A later record of the same process was in transit for so long that it expires before the first record.
    w.announce(0, "y", false);
    w.now += 2 * MILLISECOND;
    w.handle(0, Input::Tick);
    deliver_late(&mut w, 2, RETENTION * 2 / 3, |_, m| {
        matches!(m, Message::Update { .. })
    });
    assert!(dispatch_at_two_members(&mut w, 0));
    let decision = redeliver_to_third(&mut w, RETENTION / 2);
    assert_eq!(
        decision,
        Some(OwnershipDecision::Indeterminate(
            IndeterminateReason::OwnerGone
        ))
    );
}

#[test]
fn an_intent_that_arrives_too_late_gets_no_vote() {
    let play = |disabled_check| {
        let mut w = ReplicaGroup::new(3, disabled_check);
        w.announce(0, "x", false);
        w.advance_delivering(10 * MILLISECOND, |_, to, _| to == 2);
        let permitted = dispatch_at_two_members(&mut w, RETENTION * 2 / 3);
        (permitted, redeliver_to_third(&mut w, RETENTION / 2))
    };
    assert!(!play(None).0);
    assert_eq!(
        play(Some(SafetyCheck::RejectLateRequests)),
        (true, Some(FIRST_DISPATCH))
    );
}

#[test]
fn near_its_expiry_a_record_neither_proves_nor_permits_anything() {
    let play = |disabled_check| {
        let mut w = ReplicaGroup::new(3, disabled_check);
        w.announce(0, "x", false);
        w.advance_delivering(10 * MILLISECOND, |_, to, _| to == 2);
        assert!(dispatch_at_two_members(&mut w, RETENTION / 20));
        redeliver_to_third(&mut w, RETENTION - RETENTION / 40)
    };
    assert_eq!(
        play(None),
        Some(OwnershipDecision::Indeterminate(
            IndeterminateReason::Unknown
        ))
    );
    assert_eq!(
        play(Some(SafetyCheck::RejectLateRequests)),
        Some(FIRST_DISPATCH)
    );
    let mut w = ReplicaGroup::new(3, None);
    w.announce(0, "x", false);
    w.advance_delivering(RETENTION - 100 * MILLISECOND, |_, _, _| false);
    let dispatch = w.request_dispatch(0, "x");
    w.deliver(|_, _, _| true);
    assert!(!w.is_permitted(0, dispatch));
}

#[test]
fn a_request_that_arrives_too_late_is_sent_again_at_once() {
    let mut w = ReplicaGroup::new(3, None);
    w.announce(0, "x", false);
    let dispatch = w.request_dispatch(0, "x");
    deliver_late(&mut w, 1, RETENTION / 2, |_, m| {
        matches!(m, Message::StoreIntent { .. })
    });
    w.deliver(|from, to, _| from + to == 1);
    assert!(w.is_permitted(0, dispatch));
    w.handle(0, Input::Abandoned { key: "x".into() });
    w.advance(10 * MILLISECOND);
    w.announce(2, "x", true);
    deliver_late(&mut w, 1, RETENTION / 2, |_, m| {
        matches!(m, Message::Fence { .. })
    });
    w.deliver(|from, to, _| from + to == 3);
    assert_eq!(w.last_decision(2, "x"), Some(OwnershipDecision::Wait));
}

/// Guards against a leader that takes a full store or an expired request for a later term, and so for a lost one.
#[test]
fn a_rejected_acceptance_names_its_reason() {
    let mut w = ReplicaGroup::new(3, None);
    let small_store = ReplicaSettings {
        max_records: 1,
        ..settings(None, 800 * MILLISECOND)
    };
    w.replicas[2] = Some(Replica::new(w.now, group(3, 2), small_store, 99, None));
    w.nonces[2] = 99;
    (0..3).for_each(|m| w.report_member(2, m, true));
    (0..2).for_each(|r| w.report_member(r, 2, true));
    note(&mut w, 0, 1);
    w.advance(1_000 * MILLISECOND);
    assert!(w.replica(2).can_vote_on_choices() && w.replica(2).records().count() == 1);
    let ballot = Ballot {
        number: 2,
        member: 0,
        nonce: w.nonces[0],
    };
    let mut reason_of = |key: &str, lifetime: i64| {
        let message = Message::Accept {
            key: key.into(),
            ballot,
            value: Bytes::from_static(b"1"),
            lifetime,
        };
        w.in_transit.clear();
        w.receive(2, 0, 0, message);
        w.in_transit.iter().find_map(|sent| match &sent.4 {
            Message::Nack { reason, .. } => Some(*reason),
            _ => None,
        })
    };
    assert_eq!(
        reason_of("u\nm", RETENTION),
        Some(RejectionReason::StoreFull)
    );
    assert_eq!(reason_of("u\nm", 0), Some(RejectionReason::Expired));
}

/// Guards against a promise of an earlier takeover, long expired at its member, that counts for the next takeover of the
/// same key by the same process.
#[test]
fn a_promise_that_arrives_after_its_record_has_expired_is_no_vote_for_the_next_takeover() {
    let mut w = ReplicaGroup::new(3, None);
    w.announce(1, "x", true);
    w.deliver(|from, to, m| (from, to) == (1, 2) && matches!(m, Message::Fence { .. }));
    let is_promise = |m: &Message| matches!(m, Message::Fenced { .. });
    let late = w.in_transit.iter().find(|sent| is_promise(&sent.4));
    let promise = late.cloned().expect("member 2 has promised").4;
    w.advance_delivering(3 * RETENTION, |_, _, _| false);
    assert!((1..3).all(|r| w.replica(r).record("x").is_none()));
    let decided = w.decisions[1]["x"].len();
    w.announce(1, "x", true);
    w.receive(1, 2, 3 * RETENTION, promise);
    assert_eq!(
        w.decisions[1]["x"].len(),
        decided,
        "{:?}",
        w.decisions[1]["x"]
    );
}

#[test]
fn a_long_lived_record_is_learned_after_a_later_invocation_has_expired() {
    let mut w = ReplicaGroup::new(3, None);
    note(&mut w, 0, 1);
    w.advance_delivering(10 * MILLISECOND, |_, _, _| false);
    w.announce(0, "x", false);
    w.advance_delivering(20 * MILLISECOND, |_, _, m| {
        !matches!(m, Message::CompareDigests { .. })
    });
    assert!(w.replica(2).copy(w.now, "x").is_some() && w.replica(2).copy(w.now, "n1").is_none());
    w.advance_delivering(2 * RETENTION, |_, _, _| false);
    w.advance(5_000 * MILLISECOND);
    assert!((1..3).all(|r| w.replica(r).copy(w.now, "n1").is_some()));
}

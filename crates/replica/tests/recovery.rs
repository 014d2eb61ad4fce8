//! What a member that was absent, full, partitioned or slow must not take for a proof. Each case is a fault that the
//! code once had.

mod common;

use bytes::Bytes;
use cedarpulley_membership::MemberIndex;
use cedarpulley_replica::{
    IndeterminateReason, Input, Message, OwnershipDecision, RecoveryState, Replica,
    ReplicaSettings, SafetyCheck,
};
use common::{KEPT, MS, World, group, terms};

const GO: OwnershipDecision = OwnershipDecision::Dispatch {
    first_dispatch_ago: None,
};

fn note(w: &mut World, r: usize, n: u64) {
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
}

/// Delivers the first that fits, as one that was under way for so long.
fn late(w: &mut World, to: usize, transit: i64, fits: impl Fn(MemberIndex, &Message) -> bool) {
    let fitting = |sent: &(MemberIndex, MemberIndex, u64, i64, Message)| {
        sent.1 == to as u16 && fits(sent.0, &sent.4)
    };
    let Some(n) = w.net.iter().position(fitting) else {
        panic!("it is on its way")
    };
    let (from, _, nonce, _, message) = w.net.remove(n);
    w.feed(
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
fn a_duplicated_batch_does_not_stand_for_the_next_one() {
    let mut w = World::new(3, None);
    (0..3_000).for_each(|n| note(&mut w, 0, n));
    w.net.clear();
    w.crash(2);
    w.start(2, None);
    // The second piece is lost, and the first comes twice. Only one of the other two has any of it.
    let (mut first, mut lost) = (None, false);
    while w.at(2).recovery_state() != RecoveryState::Complete && w.now < 4 * KEPT {
        w.now += 10 * MS;
        (0..3).for_each(|r| w.feed(r, Input::Tick));
        while !w.net.is_empty() {
            let (from, to, nonce, _, mut message) = w.net.remove(0);
            if from != 2 && to != 2 || matches!(message, Message::Update { .. }) {
                continue;
            }
            if let Message::FetchedRecords { .. } = message {
                match &first {
                    None => first = Some(message.clone()),
                    Some(again) if !lost => (message, lost) = (again.clone(), true),
                    Some(_) => {}
                }
            }
            w.feed(
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
        (w.at(2).recovery_state(), w.at(2).records().count()),
        (RecoveryState::Complete, 3_000)
    );
}

#[test]
fn a_member_whose_store_was_full_does_not_complete_recovery() {
    let mut w = World::new(3, None);
    for key in ["a", "b", "c"] {
        w.take(0, key, false);
    }
    w.pass(20 * MS);
    w.crash(2);
    let few = ReplicaSettings {
        max_records: 2,
        ..terms(None, 800 * MS)
    };
    w.replicas[2] = Some(Replica::new(w.now, group(3, 2), few, 99, None));
    w.nonces[2] = 99;
    (0..3).for_each(|m| w.sees(2, m, true));
    (0..2).for_each(|r| w.sees(r, 2, true));
    w.pass(1_000 * MS);
    assert_eq!(
        (w.at(2).recovery_state(), w.at(2).records().count()),
        (RecoveryState::Empty, 2)
    );
    w.pass(2 * KEPT);
    assert_eq!(w.at(2).recovery_state(), RecoveryState::Complete);
}

/// The first two agree on an intent; the third knows only that it was taken. Then the first is gone.
fn sent_beside(w: &mut World, transit: i64) -> bool {
    let s = w.intend(0, "x");
    w.net.retain(|(_, to, ..)| *to == 1);
    late(w, 1, transit, |_, m| {
        matches!(m, Message::StoreIntent { .. })
    });
    w.deliver(|from, to, _| from == 1 && to == 0);
    let left = w.left(0, s);
    w.crash(0);
    w.net.clear();
    left
}

/// It comes again at the third, which had heard of nobody meanwhile.
fn comes_again(w: &mut World, after: i64) -> Option<OwnershipDecision> {
    w.pass_where(after, |_, _, _| false);
    w.sees(2, 0, false);
    w.take(2, "x", true);
    w.deliver(|from, to, _| (from, to) != (0, 0));
    w.pass(300 * MS);
    w.verdict(2, "x")
}

#[test]
fn a_promise_whose_record_has_expired_is_requested_again() {
    let mut w = World::new(3, None);
    w.take(0, "x", false);
    w.pass(10 * MS);
    // A later record of the same process was so long under way that it is forgotten before the first.
    w.take(0, "y", false);
    w.now += 2 * MS;
    w.feed(0, Input::Tick);
    late(&mut w, 2, KEPT * 2 / 3, |_, m| {
        matches!(m, Message::Update { .. })
    });
    assert!(sent_beside(&mut w, 0));
    let verdict = comes_again(&mut w, KEPT / 2);
    assert_eq!(
        verdict,
        Some(OwnershipDecision::Indeterminate(
            IndeterminateReason::OwnerGone
        ))
    );
}

#[test]
fn an_intent_that_arrives_too_late_gets_no_vote() {
    let play = |without| {
        let mut w = World::new(3, without);
        w.take(0, "x", false);
        w.pass_where(10 * MS, |_, to, _| to == 2);
        let left = sent_beside(&mut w, KEPT * 2 / 3);
        (left, comes_again(&mut w, KEPT / 2))
    };
    assert!(!play(None).0);
    assert_eq!(play(Some(SafetyCheck::NotTooLate)), (true, Some(GO)));
}

#[test]
fn near_its_expiry_a_record_neither_proves_nor_permits_anything() {
    let play = |without| {
        let mut w = World::new(3, without);
        w.take(0, "x", false);
        w.pass_where(10 * MS, |_, to, _| to == 2);
        assert!(sent_beside(&mut w, KEPT / 20));
        comes_again(&mut w, KEPT - KEPT / 40)
    };
    assert_eq!(
        play(None),
        Some(OwnershipDecision::Indeterminate(
            IndeterminateReason::Unknown
        ))
    );
    assert_eq!(play(Some(SafetyCheck::NotTooLate)), Some(GO));
    let mut w = World::new(3, None);
    w.take(0, "x", false);
    w.pass_where(KEPT - 100 * MS, |_, _, _| false);
    let s = w.intend(0, "x");
    w.deliver(|_, _, _| true);
    assert!(!w.left(0, s));
}

#[test]
fn a_member_that_was_asked_too_late_is_asked_again_at_once() {
    let mut w = World::new(3, None);
    w.take(0, "x", false);
    let s = w.intend(0, "x");
    late(&mut w, 1, KEPT / 2, |_, m| {
        matches!(m, Message::StoreIntent { .. })
    });
    w.deliver(|from, to, _| from + to == 1);
    assert!(w.left(0, s));
    w.feed(0, Input::Dropped { key: "x".into() });
    w.pass(10 * MS);
    w.take(2, "x", true);
    late(&mut w, 1, KEPT / 2, |_, m| {
        matches!(m, Message::Fence { .. })
    });
    w.deliver(|from, to, _| from + to == 3);
    assert_eq!(w.verdict(2, "x"), Some(OwnershipDecision::Wait));
}

#[test]
fn a_long_lived_record_is_learned_after_a_later_invocation_has_expired() {
    let mut w = World::new(3, None);
    note(&mut w, 0, 1);
    w.pass_where(10 * MS, |_, _, _| false);
    w.take(0, "x", false);
    w.pass_where(20 * MS, |_, _, m| {
        !matches!(m, Message::CompareDigests { .. })
    });
    assert!(w.at(2).copy(w.now, "x").is_some() && w.at(2).copy(w.now, "n1").is_none());
    w.pass_where(2 * KEPT, |_, _, _| false);
    w.pass(5_000 * MS);
    assert!((1..3).all(|r| w.at(r).copy(w.now, "n1").is_some()));
}

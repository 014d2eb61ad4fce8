//! Tests of the registry of final answers.

use std::sync::Arc;

use cedarpulley::interface::Micros;
use cedarpulley_router::answer_registry::AnswerRegistry;
use cedarpulley_router::{Answer, AnswerReason, Delivery, FinalOutcome, Payload};

const SECOND: Micros = 1_000_000;

fn delivery(front: u32, tag: u64) -> Delivery {
    Delivery {
        front,
        incarnation: 1,
        tag,
    }
}

#[test]
fn registered_answer_never_changes() {
    let mut registry = AnswerRegistry::default();
    let slot = registry.open(Some(Arc::from("a")), delivery(0, 1), 5, SECOND);
    let first = Answer::without_body(FinalOutcome::Succeeded, AnswerReason::Worker);
    assert_eq!(registry.give(slot, &first), [delivery(0, 1)]);
    assert!(
        registry
            .give(
                slot,
                &Answer::without_body(FinalOutcome::Errored, AnswerReason::Overdue)
            )
            .is_empty()
    );
    assert_eq!(registry.answer(slot), Some(&first));
    assert!(registry.delivered(delivery(0, 1)).is_none() && registry.is_empty());
}

/// Guards against records of the group that keep an answer which was delivered, because the first of two deliveries of
/// one invocation took the key with it.
#[test]
fn the_last_delivered_answer_returns_the_group_key() {
    let mut registry = AnswerRegistry::default();
    let slot = registry.open(Some(Arc::from("a")), delivery(0, 1), 5, SECOND);
    registry.share(slot, Arc::from("i\na"));
    assert!(registry.join(slot, delivery(0, 2)));
    let answer = Answer::without_body(FinalOutcome::Succeeded, AnswerReason::Worker);
    assert_eq!(registry.give(slot, &answer).len(), 2);
    assert_eq!(registry.delivered(delivery(0, 1)), None);
    assert_eq!(registry.delivered(delivery(0, 2)).as_deref(), Some("i\na"));
    assert!(registry.is_empty());
}

/// Guards against records that are never removed: the message's own delivery is lost, and then the one that joined it
/// is overdue.
#[test]
fn a_record_expires_after_its_last_joined_delivery_was_overdue() {
    let mut registry = AnswerRegistry::default();
    let slot = registry.open(Some(Arc::from("a")), delivery(0, 1), 5, SECOND);
    assert!(registry.join(slot, delivery(1, 2)));
    assert!(registry.front_lost(0).open.is_empty());
    assert_eq!(registry.joined_answer_overdue(delivery(1, 2)).open, [5]);
    registry.expire(SECOND);
    assert!(registry.is_empty());
}

#[test]
fn records_without_waiters_are_bounded_and_forgotten_ones_are_named() {
    let mut registry = AnswerRegistry::bounded(2, usize::MAX);
    for n in 0..4 {
        registry.open(
            Some(Arc::from(format!("{n}"))),
            delivery(0, n),
            n as u32,
            SECOND * n as Micros,
        );
    }
    let lost = registry.front_lost(0);
    assert_eq!((lost.open.len(), lost.evicted), (4, vec![0, 1]));
    assert_eq!((registry.len(), registry.evicted), (2, 2));
    registry.expire(SECOND * 2);
    assert_eq!(registry.len(), 1);
}

/// Guards against answers that no delivery waits for and whose bodies together take more memory than there is: only their
/// number was bounded.
#[test]
fn answers_without_a_delivery_stay_within_their_memory() {
    const MAX_BYTES: usize = 64 << 10;
    let mut registry = AnswerRegistry::within_memory(MAX_BYTES);
    let answer = Answer {
        body: Payload::from(bytes::Bytes::from(vec![0; 10 << 10])),
        ..Answer::without_body(FinalOutcome::Succeeded, AnswerReason::Worker)
    };
    for n in 0..20 {
        let identity = Arc::from(format!("{n}"));
        let expires_at = SECOND + n as Micros;
        let slot = registry.open(Some(identity), delivery(0, n), n as u32, expires_at);
        if n % 2 == 0 {
            registry.give(slot, &answer);
            registry.front_lost(0);
        } else {
            registry.front_lost(0);
            registry.give(slot, &answer);
        }
        assert!(registry.size().bytes <= MAX_BYTES);
    }
    assert_eq!((registry.size().entries, registry.len()), (6, 6));
    registry.expire(2 * SECOND);
    assert_eq!(registry.size().bytes, 0);
}

//! The core where only the decision module decides, and the last check before a dispatch is sent.

use bytes::Bytes;
use cedarpulley::interface::*;
use cedarpulley_router::*;

mod world;
use world::*;

/// Symptom: a retry with the same token is given an answer that no worker made for it.
#[test]
fn balancer_only_router_does_not_join_retries_with_the_same_idempotency_key() {
    let mut w = World::alone(2);
    let first = IncomingInvocation {
        identity: None,
        ..w.message("t", TOKENED, 0, 1)
    };
    let retry = IncomingInvocation {
        identity: None,
        ..w.message("t", TOKENED, 0, 2)
    };
    w.feed(Input::MessageArrived(first));
    let sent = w.sent();
    w.feed(Input::MessageArrived(retry.clone()));
    assert!(w.answers().is_empty());
    w.end(sent[0], DispatchOutcome::Succeeded);
    assert_eq!(
        w.answers(),
        [(1, FinalOutcome::Succeeded, AnswerReason::Worker)]
    );
    // And one after the answer is given nothing from memory.
    let late = IncomingInvocation {
        delivery: Delivery {
            tag: 3,
            ..retry.delivery
        },
        ..retry
    };
    w.feed(Input::MessageArrived(late));
    assert!(w.answers().is_empty());
    assert_eq!(
        (
            w.router.counts.joined_by_idempotency_key,
            w.router.counts.answered_from_cache
        ),
        (0, 0)
    );
}

/// Symptom: an account floods, and the core holds it back though the module would not.
#[test]
fn balancer_only_router_does_not_cap_a_flooding_account() {
    let mut w = World::alone(2);
    for tag in 0..3_000 {
        let message = IncomingInvocation {
            identity: None,
            idempotency_key: None,
            ..w.message("f", IDEMPOTENT, 0, tag)
        };
        w.feed(Input::MessageArrived(message));
        assert!(w.answers().iter().all(|a| a.2 != AnswerReason::Share));
        if let Some(ticket) = w.sent().first().copied().filter(|_| tag % 2 == 0) {
            w.end(ticket, DispatchOutcome::Errored);
        }
    }
}

/// Symptom: connecting takes time, and the dispatch leaves for a worker past its grace, or for nobody.
#[test]
fn dispatch_is_not_sent_once_its_worker_or_client_is_gone() {
    let mut w = World::alone(1);
    w.take("a", NON_IDEMPOTENT, 0, 1);
    let ticket = w.sent()[0];
    assert!(w.router.may_send(w.now, ticket));
    w.list(&[("127.0.0.1:9000", EndpointState::Draining)]);
    assert!(w.router.may_send(w.now + 999 * MS, ticket));
    assert!(!w.router.may_send(w.now + SECOND, ticket));
    assert!(!w.router.may_send(w.now + TIMEOUT, ticket));
    w.feed(Input::ClientLeft(Delivery {
        front: 0,
        incarnation: 0,
        tag: 1,
    }));
    assert!(!w.router.may_send(w.now, ticket));
}

/// Workers drop repeats only within a window from the first sending. The last look before the first byte sees that it is
/// over, however long the connection took.
#[test]
fn retry_is_not_sent_after_its_deduplication_window() {
    for (trigger, outcome, still_leaves) in [
        (TOKENED, DispatchOutcome::ConnectionLost, false),
        (TOKENED, DispatchOutcome::Unreachable, true),
        (IDEMPOTENT, DispatchOutcome::ConnectionLost, true),
    ] {
        let mut w = World::alone(2);
        w.take("a", trigger, 0, 1);
        let first = w.sent()[0];
        let began = w.now;
        w.pass(MS);
        w.end(first, outcome);
        let again = w.sent()[0];
        assert!(w.router.may_send(w.now, again) && w.router.may_send(began + WINDOW - 1, again));
        assert_eq!(
            w.router.may_send(began + WINDOW, again),
            still_leaves,
            "{outcome:?}"
        );
    }
}

/// Bodies beyond the bound are refused, whoever chooses.
#[test]
fn balancer_only_router_still_bounds_memory() {
    let mut w = World::alone(1);
    let body = Bytes::from(vec![0; 2 << 20]).into();
    let large = IncomingInvocation {
        body,
        ..w.message("l", IDEMPOTENT, 0, 1)
    };
    w.feed(Input::MessageArrived(large));
    assert_eq!(
        w.answers(),
        [(1, FinalOutcome::Throttled, AnswerReason::Size)]
    );
}

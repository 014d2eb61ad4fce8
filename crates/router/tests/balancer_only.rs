//! Tests of a router core in which only the balancer decides, and of the last check before a dispatch is sent.

use bytes::Bytes;
use cedarpulley::interface::*;
use cedarpulley_router::endpoint_list::ListedWorker;
use cedarpulley_router::*;

mod harness;
use harness::*;

/// Guards against a retry that is answered with the answer to an earlier invocation with the same idempotency key,
/// although no worker gave that answer to the retry.
#[test]
fn balancer_only_router_does_not_join_retries_with_the_same_idempotency_key() {
    let mut router = RouterHarness::balancer_only(2);
    let first = IncomingInvocation {
        identity: None,
        ..router.message("t", IDEMPOTENT_BY_KEY, 0, 1)
    };
    let retry = IncomingInvocation {
        identity: None,
        ..router.message("t", IDEMPOTENT_BY_KEY, 0, 2)
    };
    router.handle(Input::MessageArrived(first));
    let sent = router.sent_tickets();
    router.handle(Input::MessageArrived(retry.clone()));
    assert!(router.answers().is_empty());
    router.end_dispatch(sent[0], DispatchOutcome::Succeeded);
    assert_eq!(
        router.answers(),
        [(1, FinalOutcome::Succeeded, AnswerReason::Worker)]
    );
    // A retry after the answer does not get the answer from a cache.
    let late = IncomingInvocation {
        delivery: Delivery {
            tag: 3,
            ..retry.delivery
        },
        ..retry
    };
    router.handle(Input::MessageArrived(late));
    assert!(router.answers().is_empty());
    assert_eq!(
        (
            router.core.counts.joined_by_idempotency_key,
            router.core.counts.answered_from_cache
        ),
        (0, 0)
    );
}

/// Guards against a core that rejects the invocations of a flooding account although the balancer would not.
#[test]
fn balancer_only_router_does_not_cap_a_flooding_account() {
    let mut router = RouterHarness::balancer_only(2);
    for tag in 0..3_000 {
        let message = IncomingInvocation {
            identity: None,
            idempotency_key: None,
            ..router.message("f", IDEMPOTENT, 0, tag)
        };
        router.handle(Input::MessageArrived(message));
        assert!(router.answers().iter().all(|a| a.2 != AnswerReason::Share));
        if let Some(ticket) = router
            .sent_tickets()
            .first()
            .copied()
            .filter(|_| tag % 2 == 0)
        {
            router.end_dispatch(ticket, DispatchOutcome::Errored);
        }
    }
}

/// Guards against a dispatch that is sent after its worker's drain grace has ended or its client has left, because
/// connecting to the worker took time.
#[test]
fn dispatch_is_not_sent_once_its_worker_or_client_is_gone() {
    let mut router = RouterHarness::balancer_only(1);
    router.receive("a", NON_IDEMPOTENT, 0, 1);
    let ticket = router.sent_tickets()[0];
    assert!(router.core.may_send(router.now, ticket));
    router.update_endpoints(&[("127.0.0.1:9000", EndpointState::Draining)]);
    assert!(router.core.may_send(router.now + 999 * MILLISECOND, ticket));
    assert!(!router.core.may_send(router.now + SECOND, ticket));
    assert!(!router.core.may_send(router.now + CLIENT_TIMEOUT, ticket));
    router.handle(Input::ClientLeft(Delivery {
        front: 0,
        incarnation: 0,
        tag: 1,
    }));
    assert!(!router.core.may_send(router.now, ticket));
}

/// Guards against a retry that is sent after the deduplication window. The window begins with the first sending, and
/// workers drop repeats only within it. However long connecting took, the check right before the first byte is sent
/// must detect that the window has ended.
#[test]
fn retry_is_not_sent_after_its_deduplication_window() {
    for (trigger, outcome, may_still_be_sent) in [
        (IDEMPOTENT_BY_KEY, DispatchOutcome::ConnectionLost, false),
        (IDEMPOTENT_BY_KEY, DispatchOutcome::Unreachable, true),
        (IDEMPOTENT, DispatchOutcome::ConnectionLost, true),
    ] {
        let mut router = RouterHarness::balancer_only(2);
        router.receive("a", trigger, 0, 1);
        let first = router.sent_tickets()[0];
        let first_sent_at = router.now;
        router.advance(MILLISECOND);
        router.end_dispatch(first, outcome);
        let retry = router.sent_tickets()[0];
        assert!(
            router.core.may_send(router.now, retry)
                && router
                    .core
                    .may_send(first_sent_at + DEDUPLICATION_WINDOW - 1, retry)
        );
        assert_eq!(
            router
                .core
                .may_send(first_sent_at + DEDUPLICATION_WINDOW, retry),
            may_still_be_sent,
            "{outcome:?}"
        );
    }
}

/// Bodies above the memory limit are rejected, even if only the balancer decides.
#[test]
fn balancer_only_router_still_bounds_memory() {
    let mut router = RouterHarness::balancer_only(1);
    let body = Bytes::from(vec![0; 2 << 20]).into();
    let large = IncomingInvocation {
        body,
        ..router.message("l", IDEMPOTENT, 0, 1)
    };
    router.handle(Input::MessageArrived(large));
    assert_eq!(
        router.answers(),
        [(1, FinalOutcome::Throttled, AnswerReason::Size)]
    );
}

/// Guards against an attempt that reaches another zone or cell than the one for which it was decided, as connecting took
/// longer than the endpoint list stayed valid, or as the list changed meanwhile.
#[test]
fn an_attempt_is_sent_only_while_the_scope_of_its_worker_is_as_it_was_decided() {
    for scope in [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ] {
        for moves in [false, true] {
            let mut router = RouterHarness::with_key_scope(1, scope);
            let until = router.now + SECOND;
            router.handle(Input::EndpointListLease { until });
            let message = router.message("k", IDEMPOTENT_BY_KEY, 0, 1);
            router.handle(Input::MessageArrived(message));
            let ticket = router.sent_tickets()[0];
            assert!(router.core.may_send(router.now, ticket));
            if moves {
                let worker = listed_worker("127.0.0.1:9000", EndpointState::InService);
                router.handle(Input::EndpointList {
                    kind: EndpointListKind::Changes,
                    workers: vec![ListedWorker {
                        zone: 1,
                        cell: 1,
                        ..worker
                    }],
                });
            } else {
                router.advance(SECOND);
            }
            let may_send = router.core.may_send(router.now, ticket);
            assert_eq!(may_send, scope == DeduplicationScope::All, "{scope:?}");
        }
    }
}

/// Guards against a queue of timers that grows with each request of a client whose requests end at once, for as long as its
/// client timeout.
#[test]
fn timers_of_finished_requests_do_not_fill_the_memory() {
    let mut router = RouterHarness::balancer_only(2);
    for tag in 0..5_000 {
        let message = IncomingInvocation {
            identity: None,
            ..router.message("f", IDEMPOTENT, 0, tag)
        };
        let delivery = message.delivery;
        router.handle(Input::MessageArrived(message));
        router.handle(Input::ClientLeft(delivery));
        for ticket in router.sent_tickets() {
            router.end_dispatch(ticket, DispatchOutcome::Cancelled);
        }
    }
    let sizes = router.core.table_sizes();
    let timers = sizes.0.iter().find(|table| table.name == "router timers");
    let timers = timers.expect("a table of timers");
    assert!(timers.entries < 2_000, "{timers:?}");
}

/// Guards against open requests with empty bodies that take more memory than there is: only their bodies counted.
#[test]
fn requests_without_bodies_count_against_the_memory() {
    let mut router = RouterHarness::balancer_only(2);
    let mut rejected = 0;
    for tag in 0..2_000 {
        let message = IncomingInvocation {
            identity: None,
            body: Payload::default(),
            ..router.message("e", IDEMPOTENT, 0, tag)
        };
        router.handle(Input::MessageArrived(message));
        rejected += router.answers().len();
        assert!(router.core.unfinished() <= 1_024);
    }
    assert!(rejected > 0);
}

/// Guards against attempts and load orders that wait for a connection and leave after the drain grace that follows the drain
/// lease, where health checks are not allowed.
#[test]
fn what_waits_for_a_connection_is_withheld_once_any_drain_grace_may_be_over() {
    let mut router = RouterHarness::balancer_only(2);
    let until = router.now + SECOND;
    let lease = DrainLease {
        until,
        discovery_lost: true,
    };
    router.handle(Input::DrainLease(lease));
    router.receive("w", NON_IDEMPOTENT, 0, 1);
    let waiting = router.sent_tickets()[0];
    let last = until + SECOND - 1;
    assert!(router.core.may_send(last, waiting));
    assert!(!router.core.may_send(last + 1, waiting));
    router.advance(2 * SECOND);
    router.end_dispatch(waiting, DispatchOutcome::NotSent);
    let refused = (1, FinalOutcome::Throttled, AnswerReason::DrainsUnknown);
    assert_eq!(router.answers(), [refused]);
    assert_eq!(
        router.core.counts.answers_for(AnswerReason::DrainsUnknown),
        1
    );
    assert!(router.core.refuses_new_work(router.now));
    let lease = DrainLease {
        until: router.now + SECOND,
        discovery_lost: false,
    };
    router.handle(Input::DrainLease(lease));
    router.receive("x", NON_IDEMPOTENT, 0, 2);
    assert_eq!(router.sent_tickets().len(), 1);
}

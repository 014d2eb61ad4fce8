//! Tests of the core's requests to its group of routers and of its reactions to the replies. The tests take the part of
//! the group.

mod harness;

use cedarpulley::interface::*;
use cedarpulley_router::concurrency_limit::FrontState;
use cedarpulley_router::replication::{
    Durability, Key, PermissionRefusal, ReplicationDecision, ReplicationEvent, ReplicationRequest,
};
use cedarpulley_router::*;
use harness::*;

/// No trigger type may run without a majority of the group.
const MAJORITY_REQUIRED: [bool; 3] = [false; 3];

/// The key of the invocation that the request is about.
fn key(request: &ReplicationRequest) -> Key {
    match request {
        ReplicationRequest::Announce { key, .. }
        | ReplicationRequest::RequestPermission { key, .. }
        | ReplicationRequest::AttemptSent { key, .. }
        | ReplicationRequest::AttemptEnded { key, .. }
        | ReplicationRequest::Answered { key, .. }
        | ReplicationRequest::AnswerDelivered { key }
        | ReplicationRequest::Abandoned { key } => key.clone(),
    }
}

/// Delivers a non-idempotent message, and lets the group decide that it runs here. Returns its key and the attempt for
/// which the core requests permission.
fn receive_and_request_permission(router: &mut RouterHarness, id: &str, tag: u64) -> (Key, u64) {
    router.receive(id, NON_IDEMPOTENT, 1, tag);
    let requests = router.replication_requests();
    assert!(
        matches!(
            &requests[..],
            [ReplicationRequest::Announce {
                durability: Durability::MajorityStored,
                redelivered: false,
                ..
            }]
        ),
        "{requests:?}"
    );
    let key = key(&requests[0]);
    router.handle_replication_event(ReplicationEvent::Decision {
        key: key.clone(),
        decision: ReplicationDecision::RunHere {
            first_attempt_ago: None,
        },
    });
    assert!(
        router.sent_tickets().is_empty(),
        "the attempt has no permission yet"
    );
    let Some(ReplicationRequest::RequestPermission { attempt, .. }) =
        router.replication_requests().pop()
    else {
        panic!("{:?}", router.outputs)
    };
    (key, attempt)
}

#[test]
fn attempt_is_sent_with_permission_and_its_end_is_replicated() {
    let mut router = RouterHarness::in_group(2, MAJORITY_REQUIRED);
    let (key, attempt) = receive_and_request_permission(&mut router, "a", 1);
    router.handle_replication_event(ReplicationEvent::Permission {
        attempt,
        result: Ok(false),
    });
    let ticket = router.sent_tickets()[0];
    assert!(router.core.may_send(router.now, ticket));
    // If the process was paused in between, the permission has expired.
    assert!(!router.core.may_send(router.now + 2 * SECOND, ticket));
    router.end_dispatch(ticket, DispatchOutcome::Succeeded);
    assert_eq!(
        router.answers(),
        [(1, FinalOutcome::Succeeded, AnswerReason::Worker)]
    );
    let requests = router.replication_requests();
    assert_eq!(
        requests[0],
        ReplicationRequest::AttemptEnded {
            key: key.clone(),
            attempt,
            may_have_run: true
        }
    );
    assert!(
        matches!(&requests[1], ReplicationRequest::Answered { answer, .. } if answer.outcome == FinalOutcome::Succeeded)
    );
    router.handle(Input::AnswerDelivered(Delivery {
        front: 0,
        incarnation: 1,
        tag: 1,
    }));
    assert_eq!(
        router.replication_requests(),
        [ReplicationRequest::AnswerDelivered { key }]
    );
    assert_eq!(router.core.unfinished(), 0);
}

#[test]
fn idempotent_invocations_are_not_replicated_and_keyed_ones_with_a_short_window_need_permission() {
    let mut router = RouterHarness::in_group(2, MAJORITY_REQUIRED);
    router.receive("a", IDEMPOTENT, 1, 1);
    assert!(router.replication_requests().is_empty() && router.sent_tickets().len() == 1);
    // The workers' deduplication window of 8 s is shorter than the client timeout of 10 s, so an attempt needs permission:
    // a majority of the group must have stored it first.
    router.receive("b", IDEMPOTENT_BY_KEY, 1, 2);
    assert!(matches!(
        &router.replication_requests()[..],
        [ReplicationRequest::Announce {
            durability: Durability::MajorityStored,
            ..
        }]
    ));
}

#[test]
fn without_a_majority_it_is_rejected_or_runs_unreplicated_as_configured() {
    let mut router = RouterHarness::in_group(2, MAJORITY_REQUIRED);
    let (_, attempt) = receive_and_request_permission(&mut router, "a", 1);
    router.handle_replication_event(ReplicationEvent::Permission {
        attempt,
        result: Err(PermissionRefusal::NoMajority),
    });
    assert_eq!(
        router.answers(),
        [(1, FinalOutcome::Throttled, AnswerReason::NoMajority)]
    );
    assert!(
        router.sent_tickets().is_empty()
            && router
                .replication_requests()
                .iter()
                .any(|request| matches!(request, ReplicationRequest::Abandoned { .. }))
    );
    let mut router = RouterHarness::in_group(2, [false, false, true]);
    router.receive("a", NON_IDEMPOTENT, 1, 1);
    let invocation_key = key(&router.replication_requests()[0]);
    router.handle_replication_event(ReplicationEvent::Decision {
        key: invocation_key,
        decision: ReplicationDecision::NoMajority,
    });
    let ticket = router.sent_tickets()[0];
    assert!(
        router
            .replication_requests()
            .iter()
            .any(|request| matches!(request, ReplicationRequest::AttemptSent { .. }))
    );
    router.end_dispatch(ticket, DispatchOutcome::Succeeded);
    assert_eq!(
        router.answers(),
        [(1, FinalOutcome::Succeeded, AnswerReason::Alone)]
    );
    // A redelivered message is not dispatched without a majority of the group.
    router.redeliver("b", NON_IDEMPOTENT, 1, 2, SECOND);
    let invocation_key = key(&router.replication_requests()[0]);
    router.handle_replication_event(ReplicationEvent::Decision {
        key: invocation_key,
        decision: ReplicationDecision::NoMajority,
    });
    assert_eq!(
        router.answers(),
        [(2, FinalOutcome::Errored, AnswerReason::NoMajority)]
    );
}

#[test]
fn invocation_in_flight_at_another_router_is_awaited_and_answered_alike() {
    let mut router = RouterHarness::in_group(2, MAJORITY_REQUIRED);
    let answer = Answer {
        body: bytes::Bytes::from_static(b"x").into(),
        ..Answer::without_body(FinalOutcome::Succeeded, AnswerReason::Worker)
    };
    let cases = [
        (
            ReplicationDecision::Answer(answer),
            FinalOutcome::Succeeded,
            AnswerReason::Worker,
        ),
        (
            ReplicationDecision::MayHaveRun,
            FinalOutcome::Errored,
            AnswerReason::MayHaveRun,
        ),
    ];
    for (tag, (decision, outcome, reason)) in (1..).zip(cases) {
        router.redeliver(&tag.to_string(), NON_IDEMPOTENT, 1, tag, 100 * MILLISECOND);
        let key = key(&router.replication_requests()[0]);
        router.handle_replication_event(ReplicationEvent::Decision {
            key: key.clone(),
            decision: ReplicationDecision::AwaitPeer,
        });
        assert!(router.answers().is_empty() && router.sent_tickets().is_empty());
        router.handle_replication_event(ReplicationEvent::Decision { key, decision });
        assert_eq!(router.answers(), [(tag, outcome, reason)]);
    }
    // The group sends no further decision: the client gets an error before it gives up, which leaves open whether the
    // invocation ran.
    router.redeliver("late", NON_IDEMPOTENT, 1, 9, 100 * MILLISECOND);
    let key = key(&router.replication_requests()[0]);
    router.handle_replication_event(ReplicationEvent::Decision {
        key,
        decision: ReplicationDecision::AwaitPeer,
    });
    router.advance(CLIENT_TIMEOUT);
    assert_eq!(
        router.answers(),
        [(9, FinalOutcome::Errored, AnswerReason::Overdue)]
    );
    for tag in [1, 2, 9] {
        router.handle(Input::AnswerDelivered(Delivery {
            front: 0,
            incarnation: 1,
            tag,
        }));
        assert!(matches!(
            &router.replication_requests()[..],
            [ReplicationRequest::AnswerDelivered { .. }]
        ));
    }
    assert_eq!(router.core.unfinished(), 0);
}

#[test]
fn invocation_lost_to_another_router_before_sending_is_withdrawn_from_the_balancer() {
    let mut router = RouterHarness::in_group(2, MAJORITY_REQUIRED);
    let (key, attempt) = receive_and_request_permission(&mut router, "a", 1);
    router.handle_replication_event(ReplicationEvent::Permission {
        attempt,
        result: Err(PermissionRefusal::Elsewhere),
    });
    assert!(router.sent_tickets().is_empty() && router.answers().is_empty());
    router.advance(SECOND);
    assert!(router.sent_tickets().is_empty() && router.replication_requests().is_empty());
    // The other router never sent the attempt, so the invocation may run here after all.
    router.handle_replication_event(ReplicationEvent::Decision {
        key,
        decision: ReplicationDecision::RunHere {
            first_attempt_ago: None,
        },
    });
    let Some(ReplicationRequest::RequestPermission { attempt, .. }) =
        router.replication_requests().pop()
    else {
        panic!("{:?}", router.outputs)
    };
    router.handle_replication_event(ReplicationEvent::Permission {
        attempt,
        result: Ok(false),
    });
    let ticket = router.sent_tickets()[0];
    router.end_dispatch(ticket, DispatchOutcome::Succeeded);
    assert_eq!(
        router.answers(),
        [(1, FinalOutcome::Succeeded, AnswerReason::Worker)]
    );
}

#[test]
fn channel_lost_while_permission_is_requested_releases_the_message() {
    let mut router = RouterHarness::in_group(2, MAJORITY_REQUIRED);
    let (key, attempt) = receive_and_request_permission(&mut router, "a", 1);
    router.set_front_state(FrontState::Down);
    let requests = router.replication_requests();
    assert!(
        requests.contains(&ReplicationRequest::AttemptEnded {
            key: key.clone(),
            attempt,
            may_have_run: false
        }),
        "{requests:?}"
    );
    assert!(requests.contains(&ReplicationRequest::Abandoned { key }));
    // A permission that arrives later has no effect.
    router.handle_replication_event(ReplicationEvent::Permission {
        attempt,
        result: Ok(false),
    });
    assert!(router.sent_tickets().is_empty());
    assert_eq!(router.core.unfinished(), 0);
}

/// Guards against repeating the old answer that the invocation did not run: while the message was not delivered to this
/// router, another router may have run it, and only the group knows that.
#[test]
fn redelivered_message_that_was_rejected_is_announced_again() {
    let mut router = RouterHarness::in_group(2, MAJORITY_REQUIRED);
    let (_, attempt) = receive_and_request_permission(&mut router, "a", 1);
    router.handle_replication_event(ReplicationEvent::Permission {
        attempt,
        result: Err(PermissionRefusal::NoMajority),
    });
    assert_eq!(
        router.answers(),
        [(1, FinalOutcome::Throttled, AnswerReason::NoMajority)]
    );
    router.set_front_state(FrontState::Down);
    router.set_front_state(FrontState::Up);
    router.redeliver("a", NON_IDEMPOTENT, 2, 1, 100 * MILLISECOND);
    assert!(router.answers().is_empty(), "{:?}", router.outputs);
    let requests = router.replication_requests();
    assert!(
        matches!(
            &requests[..],
            [ReplicationRequest::Announce {
                durability: Durability::MajorityStored,
                redelivered: true,
                ..
            }]
        ),
        "{requests:?}"
    );
    router.handle_replication_event(ReplicationEvent::Decision {
        key: key(&requests[0]),
        decision: ReplicationDecision::MayHaveRun,
    });
    assert_eq!(
        router.answers(),
        [(1, FinalOutcome::Errored, AnswerReason::MayHaveRun)]
    );
}

#[test]
fn invocation_orphaned_while_in_flight_is_not_reported_as_not_run() {
    let mut router = RouterHarness::in_group(2, MAJORITY_REQUIRED);
    let (_, attempt) = receive_and_request_permission(&mut router, "a", 1);
    router.handle_replication_event(ReplicationEvent::Permission {
        attempt,
        result: Ok(false),
    });
    let ticket = router.sent_tickets()[0];
    router.set_front_state(FrontState::Down);
    router.set_front_state(FrontState::Up);
    router.redeliver("a", NON_IDEMPOTENT, 2, 1, 100 * MILLISECOND);
    assert!(router.answers().is_empty() && router.replication_requests().is_empty());
    // The dispatch never ran, but the group may have reported that to another router, which may run the invocation.
    router.end_dispatch(ticket, DispatchOutcome::NotSent);
    router.advance(CLIENT_TIMEOUT);
    let answers = router.answers();
    assert_eq!(
        answers,
        [(1, FinalOutcome::Errored, AnswerReason::MayHaveRun)]
    );
}

#[test]
fn timeout_while_permission_is_requested_is_reported_as_not_run() {
    let mut router = RouterHarness::in_group(2, MAJORITY_REQUIRED);
    receive_and_request_permission(&mut router, "a", 1);
    router.advance(CLIENT_TIMEOUT);
    let answers = router.answers();
    assert_eq!(answers.len(), 1);
    assert_eq!(
        (answers[0].0, answers[0].1),
        (1, FinalOutcome::Throttled),
        "{answers:?}"
    );
    assert!(
        !router
            .outputs
            .iter()
            .any(|output| matches!(output, Output::Cancel(_)))
    );
}

#[test]
fn deduplication_window_of_a_retry_from_another_router_starts_at_its_first_attempt() {
    let mut router = RouterHarness::in_group(2, MAJORITY_REQUIRED);
    for (tag, ago, is_within_window) in [(1, 7 * SECOND, true), (2, 9 * SECOND, false)] {
        router.receive(&tag.to_string(), IDEMPOTENT_BY_KEY, 1, tag);
        let key = key(&router.replication_requests()[0]);
        router.handle_replication_event(ReplicationEvent::Decision {
            key,
            decision: ReplicationDecision::RunHere {
                first_attempt_ago: Some(ago),
            },
        });
        let requests_permission = router
            .replication_requests()
            .iter()
            .any(|request| matches!(request, ReplicationRequest::RequestPermission { .. }));
        assert_eq!(requests_permission, is_within_window);
        assert_eq!(
            router.answers().is_empty(),
            is_within_window,
            "{:?}",
            router.answers()
        );
    }
}

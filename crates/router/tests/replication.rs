//! What the core asks of its group and does with what that says; the group itself is played here.

mod world;

use cedarpulley::interface::*;
use cedarpulley_router::concurrency_limit::FrontState;
use cedarpulley_router::replication::{
    Durability, Key, PermissionRefusal, ReplicationDecision, ReplicationEvent, ReplicationRequest,
};
use cedarpulley_router::*;
use world::*;

const REFUSING: [bool; 3] = [false; 3];

fn key(ask: &ReplicationRequest) -> Key {
    match ask {
        ReplicationRequest::Announce { key, .. }
        | ReplicationRequest::RequestPermission { key, .. }
        | ReplicationRequest::AttemptSent { key, .. }
        | ReplicationRequest::AttemptEnded { key, .. }
        | ReplicationRequest::Answered { key, .. }
        | ReplicationRequest::AnswerDelivered { key }
        | ReplicationRequest::Abandoned { key } => key.clone(),
    }
}

/// Taken, and the group lets it go; the sending that asks for leave.
fn goes(w: &mut World, id: &str, tag: u64) -> (Key, u64) {
    w.take(id, NON_IDEMPOTENT, 1, tag);
    let asked = w.asked();
    assert!(
        matches!(
            &asked[..],
            [ReplicationRequest::Announce {
                durability: Durability::MajorityStored,
                redelivered: false,
                ..
            }]
        ),
        "{asked:?}"
    );
    let key = key(&asked[0]);
    w.told(ReplicationEvent::Decision {
        key: key.clone(),
        decision: ReplicationDecision::RunHere {
            first_attempt_ago: None,
        },
    });
    assert!(w.sent().is_empty(), "it has no leave yet");
    let Some(ReplicationRequest::RequestPermission { attempt, .. }) = w.asked().pop() else {
        panic!("{:?}", w.out)
    };
    (key, attempt)
}

#[test]
fn attempt_is_sent_with_permission_and_its_end_is_replicated() {
    let mut w = World::shared(2, REFUSING);
    let (key, attempt) = goes(&mut w, "a", 1);
    w.told(ReplicationEvent::Permission {
        attempt,
        result: Ok(false),
    });
    let ticket = w.sent()[0];
    assert!(w.router.may_send(w.now, ticket));
    // Stopped and woken: the leave is too old.
    assert!(!w.router.may_send(w.now + 2 * SECOND, ticket));
    w.end(ticket, DispatchOutcome::Succeeded);
    assert_eq!(
        w.answers(),
        [(1, FinalOutcome::Succeeded, AnswerReason::Worker)]
    );
    let asked = w.asked();
    assert_eq!(
        asked[0],
        ReplicationRequest::AttemptEnded {
            key: key.clone(),
            attempt,
            may_have_run: true
        }
    );
    assert!(
        matches!(&asked[1], ReplicationRequest::Answered { answer, .. } if answer.outcome == FinalOutcome::Succeeded)
    );
    w.feed(Input::AnswerDelivered(Delivery {
        front: 0,
        incarnation: 1,
        tag: 1,
    }));
    assert_eq!(w.asked(), [ReplicationRequest::AnswerDelivered { key }]);
    assert_eq!(w.router.unfinished(), 0);
}

#[test]
fn idempotent_invocations_are_not_replicated_and_keyed_ones_need_no_permission() {
    let mut w = World::shared(2, REFUSING);
    w.take("a", IDEMPOTENT, 1, 1);
    assert!(w.asked().is_empty() && w.sent().len() == 1);
    // The workers' window of 8 s does not cover the client's 10 s: leave is needed.
    w.take("b", TOKENED, 1, 2);
    assert!(matches!(
        &w.asked()[..],
        [ReplicationRequest::Announce {
            durability: Durability::MajorityStored,
            ..
        }]
    ));
}

#[test]
fn without_a_majority_it_is_rejected_or_runs_unreplicated_as_configured() {
    let mut w = World::shared(2, REFUSING);
    let (_, attempt) = goes(&mut w, "a", 1);
    w.told(ReplicationEvent::Permission {
        attempt,
        result: Err(PermissionRefusal::NoMajority),
    });
    assert_eq!(
        w.answers(),
        [(1, FinalOutcome::Throttled, AnswerReason::NoMajority)]
    );
    assert!(
        w.sent().is_empty()
            && w.asked()
                .iter()
                .any(|a| matches!(a, ReplicationRequest::Abandoned { .. }))
    );
    let mut w = World::shared(2, [false, false, true]);
    w.take("a", NON_IDEMPOTENT, 1, 1);
    let k = key(&w.asked()[0]);
    w.told(ReplicationEvent::Decision {
        key: k,
        decision: ReplicationDecision::NoMajority,
    });
    let ticket = w.sent()[0];
    assert!(
        w.asked()
            .iter()
            .any(|a| matches!(a, ReplicationRequest::AttemptSent { .. }))
    );
    w.end(ticket, DispatchOutcome::Succeeded);
    assert_eq!(
        w.answers(),
        [(1, FinalOutcome::Succeeded, AnswerReason::Alone)]
    );
    // One that came again goes nowhere without the group.
    w.again("b", NON_IDEMPOTENT, 1, 2, SECOND);
    let k = key(&w.asked()[0]);
    w.told(ReplicationEvent::Decision {
        key: k,
        decision: ReplicationDecision::NoMajority,
    });
    assert_eq!(
        w.answers(),
        [(2, FinalOutcome::Errored, AnswerReason::NoMajority)]
    );
}

#[test]
fn invocation_in_flight_at_another_router_is_awaited_and_answered_alike() {
    let mut w = World::shared(2, REFUSING);
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
    for (tag, (decision, fate, reason)) in (1..).zip(cases) {
        w.again(&tag.to_string(), NON_IDEMPOTENT, 1, tag, 100 * MS);
        let key = key(&w.asked()[0]);
        w.told(ReplicationEvent::Decision {
            key: key.clone(),
            decision: ReplicationDecision::AwaitPeer,
        });
        assert!(w.answers().is_empty() && w.sent().is_empty());
        w.told(ReplicationEvent::Decision { key, decision });
        assert_eq!(w.answers(), [(tag, fate, reason)]);
    }
    // Nobody says more of it: its client is told before it gives up, and no promise is made.
    w.again("late", NON_IDEMPOTENT, 1, 9, 100 * MS);
    let key = key(&w.asked()[0]);
    w.told(ReplicationEvent::Decision {
        key,
        decision: ReplicationDecision::AwaitPeer,
    });
    w.pass(TIMEOUT);
    assert_eq!(
        w.answers(),
        [(9, FinalOutcome::Errored, AnswerReason::Overdue)]
    );
    for tag in [1, 2, 9] {
        w.feed(Input::AnswerDelivered(Delivery {
            front: 0,
            incarnation: 1,
            tag,
        }));
        assert!(matches!(
            &w.asked()[..],
            [ReplicationRequest::AnswerDelivered { .. }]
        ));
    }
    assert_eq!(w.router.unfinished(), 0);
}

#[test]
fn invocation_lost_to_another_router_before_sending_is_withdrawn_from_the_balancer() {
    let mut w = World::shared(2, REFUSING);
    let (key, attempt) = goes(&mut w, "a", 1);
    w.told(ReplicationEvent::Permission {
        attempt,
        result: Err(PermissionRefusal::Elsewhere),
    });
    assert!(w.sent().is_empty() && w.answers().is_empty());
    w.pass(SECOND);
    assert!(w.sent().is_empty() && w.asked().is_empty());
    // The other one never sent it: here it may go after all.
    w.told(ReplicationEvent::Decision {
        key,
        decision: ReplicationDecision::RunHere {
            first_attempt_ago: None,
        },
    });
    let Some(ReplicationRequest::RequestPermission { attempt, .. }) = w.asked().pop() else {
        panic!("{:?}", w.out)
    };
    w.told(ReplicationEvent::Permission {
        attempt,
        result: Ok(false),
    });
    let ticket = w.sent()[0];
    w.end(ticket, DispatchOutcome::Succeeded);
    assert_eq!(
        w.answers(),
        [(1, FinalOutcome::Succeeded, AnswerReason::Worker)]
    );
}

#[test]
fn channel_lost_while_permission_is_requested_releases_the_message() {
    let mut w = World::shared(2, REFUSING);
    let (key, attempt) = goes(&mut w, "a", 1);
    w.front(FrontState::Down);
    let asked = w.asked();
    assert!(
        asked.contains(&ReplicationRequest::AttemptEnded {
            key: key.clone(),
            attempt,
            may_have_run: false
        }),
        "{asked:?}"
    );
    assert!(asked.contains(&ReplicationRequest::Abandoned { key }));
    // A permission that comes after is of no use.
    w.told(ReplicationEvent::Permission {
        attempt,
        result: Ok(false),
    });
    assert!(w.sent().is_empty());
    assert_eq!(w.router.unfinished(), 0);
}

/// Away from here, another router may have run it: that it did not is the group's to say.
#[test]
fn redelivered_message_that_was_rejected_is_announced_again() {
    let mut w = World::shared(2, REFUSING);
    let (_, attempt) = goes(&mut w, "a", 1);
    w.told(ReplicationEvent::Permission {
        attempt,
        result: Err(PermissionRefusal::NoMajority),
    });
    assert_eq!(
        w.answers(),
        [(1, FinalOutcome::Throttled, AnswerReason::NoMajority)]
    );
    w.front(FrontState::Down);
    w.front(FrontState::Up);
    w.again("a", NON_IDEMPOTENT, 2, 1, 100 * MS);
    assert!(w.answers().is_empty(), "{:?}", w.out);
    let asked = w.asked();
    assert!(
        matches!(
            &asked[..],
            [ReplicationRequest::Announce {
                durability: Durability::MajorityStored,
                redelivered: true,
                ..
            }]
        ),
        "{asked:?}"
    );
    w.told(ReplicationEvent::Decision {
        key: key(&asked[0]),
        decision: ReplicationDecision::MayHaveRun,
    });
    assert_eq!(
        w.answers(),
        [(1, FinalOutcome::Errored, AnswerReason::MayHaveRun)]
    );
}

#[test]
fn invocation_orphaned_while_in_flight_is_not_reported_as_not_run() {
    let mut w = World::shared(2, REFUSING);
    let (_, attempt) = goes(&mut w, "a", 1);
    w.told(ReplicationEvent::Permission {
        attempt,
        result: Ok(false),
    });
    let ticket = w.sent()[0];
    w.front(FrontState::Down);
    w.front(FrontState::Up);
    w.again("a", NON_IDEMPOTENT, 2, 1, 100 * MS);
    assert!(w.answers().is_empty() && w.asked().is_empty());
    // Its dispatch never ran, and another router may have been told so.
    w.end(ticket, DispatchOutcome::NotSent);
    w.pass(TIMEOUT);
    let answers = w.answers();
    assert_eq!(
        answers,
        [(1, FinalOutcome::Errored, AnswerReason::MayHaveRun)]
    );
}

#[test]
fn timeout_while_permission_is_requested_is_reported_as_not_run() {
    let mut w = World::shared(2, REFUSING);
    goes(&mut w, "a", 1);
    w.pass(TIMEOUT);
    let answers = w.answers();
    assert_eq!(answers.len(), 1);
    assert_eq!(
        (answers[0].0, answers[0].1),
        (1, FinalOutcome::Throttled),
        "{answers:?}"
    );
    assert!(!w.out.iter().any(|o| matches!(o, Output::Cancel(_))));
}

#[test]
fn deduplication_window_of_a_retry_from_another_router_starts_at_its_first_attempt() {
    let mut w = World::shared(2, REFUSING);
    for (tag, ago, sends) in [(1, 7 * SECOND, true), (2, 9 * SECOND, false)] {
        w.take(&tag.to_string(), TOKENED, 1, tag);
        let key = key(&w.asked()[0]);
        w.told(ReplicationEvent::Decision {
            key,
            decision: ReplicationDecision::RunHere {
                first_attempt_ago: Some(ago),
            },
        });
        let asks = w
            .asked()
            .iter()
            .any(|a| matches!(a, ReplicationRequest::RequestPermission { .. }));
        assert_eq!(asks, sends);
        assert_eq!(w.answers().is_empty(), sends, "{:?}", w.answers());
    }
}

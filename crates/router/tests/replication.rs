//! What the core asks of its group and does with what that says; the group itself is played here.

mod world;

use cedarpulley::interface::*;
use cedarpulley_router::concurrency_limit::FrontState;
use cedarpulley_router::replication::{Ask, Key, Need, Refusal, Told, Verdict};
use cedarpulley_router::*;
use world::*;

const REFUSING: [bool; 3] = [false; 3];

fn key(ask: &Ask) -> Key {
    match ask {
        Ask::Take { key, .. }
        | Ask::Leave { key, .. }
        | Ask::Left { key, .. }
        | Ask::Ended { key, .. }
        | Ask::Answered { key, .. }
        | Ask::Closed { key }
        | Ask::Dropped { key } => key.clone(),
    }
}

/// Taken, and the group lets it go; the sending that asks for leave.
fn goes(w: &mut World, id: &str, tag: u64) -> (Key, u64) {
    w.take(id, NON_IDEMPOTENT, 1, tag);
    let asked = w.asked();
    assert!(
        matches!(
            &asked[..],
            [Ask::Take {
                need: Need::Held,
                redelivered: false,
                ..
            }]
        ),
        "{asked:?}"
    );
    let key = key(&asked[0]);
    w.told(Told::Verdict {
        key: key.clone(),
        verdict: Verdict::Go { first_ago: None },
    });
    assert!(w.sent().is_empty(), "it has no leave yet");
    let Some(Ask::Leave { sending, .. }) = w.asked().pop() else {
        panic!("{:?}", w.out)
    };
    (key, sending)
}

#[test]
fn attempt_is_sent_with_permission_and_its_end_is_replicated() {
    let mut w = World::shared(2, REFUSING);
    let (key, sending) = goes(&mut w, "a", 1);
    w.told(Told::Leave {
        sending,
        left: Ok(false),
    });
    let ticket = w.sent()[0];
    assert!(w.router.may_leave(w.now, ticket));
    // Stopped and woken: the leave is too old.
    assert!(!w.router.may_leave(w.now + 2 * SECOND, ticket));
    w.end(ticket, DispatchOutcome::Succeeded);
    assert_eq!(w.answers(), [(1, Fate::Succeeded, Reason::Worker)]);
    let asked = w.asked();
    assert_eq!(
        asked[0],
        Ask::Ended {
            key: key.clone(),
            sending,
            may_have_run: true
        }
    );
    assert!(matches!(&asked[1], Ask::Answered { answer, .. } if answer.fate == Fate::Succeeded));
    w.feed(Input::Safe(Delivery {
        front: 0,
        life: 1,
        tag: 1,
    }));
    assert_eq!(w.asked(), [Ask::Closed { key }]);
    assert_eq!(w.router.open(), 0);
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
        [Ask::Take {
            need: Need::Held,
            ..
        }]
    ));
}

#[test]
fn without_a_majority_it_is_rejected_or_runs_unreplicated_as_configured() {
    let mut w = World::shared(2, REFUSING);
    let (_, sending) = goes(&mut w, "a", 1);
    w.told(Told::Leave {
        sending,
        left: Err(Refusal::NoMajority),
    });
    assert_eq!(w.answers(), [(1, Fate::Throttled, Reason::NoMajority)]);
    assert!(w.sent().is_empty() && w.asked().iter().any(|a| matches!(a, Ask::Dropped { .. })));
    let mut w = World::shared(2, [false, false, true]);
    w.take("a", NON_IDEMPOTENT, 1, 1);
    let k = key(&w.asked()[0]);
    w.told(Told::Verdict {
        key: k,
        verdict: Verdict::NoMajority,
    });
    let ticket = w.sent()[0];
    assert!(w.asked().iter().any(|a| matches!(a, Ask::Left { .. })));
    w.end(ticket, DispatchOutcome::Succeeded);
    assert_eq!(w.answers(), [(1, Fate::Succeeded, Reason::Alone)]);
    // One that came again goes nowhere without the group.
    w.again("b", NON_IDEMPOTENT, 1, 2, SECOND);
    let k = key(&w.asked()[0]);
    w.told(Told::Verdict {
        key: k,
        verdict: Verdict::NoMajority,
    });
    assert_eq!(w.answers(), [(2, Fate::Errored, Reason::NoMajority)]);
}

#[test]
fn invocation_in_flight_at_another_router_is_awaited_and_answered_alike() {
    let mut w = World::shared(2, REFUSING);
    let answer = Answer {
        body: bytes::Bytes::from_static(b"x").into(),
        ..Answer::bare(Fate::Succeeded, Reason::Worker)
    };
    let cases = [
        (Verdict::Answer(answer), Fate::Succeeded, Reason::Worker),
        (Verdict::MayHaveRun, Fate::Errored, Reason::MayHaveRun),
    ];
    for (tag, (verdict, fate, reason)) in (1..).zip(cases) {
        w.again(&tag.to_string(), NON_IDEMPOTENT, 1, tag, 100 * MS);
        let key = key(&w.asked()[0]);
        w.told(Told::Verdict {
            key: key.clone(),
            verdict: Verdict::Waits,
        });
        assert!(w.answers().is_empty() && w.sent().is_empty());
        w.told(Told::Verdict { key, verdict });
        assert_eq!(w.answers(), [(tag, fate, reason)]);
    }
    // Nobody says more of it: its client is told before it gives up, and no promise is made.
    w.again("late", NON_IDEMPOTENT, 1, 9, 100 * MS);
    let key = key(&w.asked()[0]);
    w.told(Told::Verdict {
        key,
        verdict: Verdict::Waits,
    });
    w.pass(TIMEOUT);
    assert_eq!(w.answers(), [(9, Fate::Errored, Reason::Overdue)]);
    for tag in [1, 2, 9] {
        w.feed(Input::Safe(Delivery {
            front: 0,
            life: 1,
            tag,
        }));
        assert!(matches!(&w.asked()[..], [Ask::Closed { .. }]));
    }
    assert_eq!(w.router.open(), 0);
}

#[test]
fn invocation_lost_to_another_router_before_sending_is_withdrawn_from_the_balancer() {
    let mut w = World::shared(2, REFUSING);
    let (key, sending) = goes(&mut w, "a", 1);
    w.told(Told::Leave {
        sending,
        left: Err(Refusal::Elsewhere),
    });
    assert!(w.sent().is_empty() && w.answers().is_empty());
    w.pass(SECOND);
    assert!(w.sent().is_empty() && w.asked().is_empty());
    // The other one never sent it: here it may go after all.
    w.told(Told::Verdict {
        key,
        verdict: Verdict::Go { first_ago: None },
    });
    let Some(Ask::Leave { sending, .. }) = w.asked().pop() else {
        panic!("{:?}", w.out)
    };
    w.told(Told::Leave {
        sending,
        left: Ok(false),
    });
    let ticket = w.sent()[0];
    w.end(ticket, DispatchOutcome::Succeeded);
    assert_eq!(w.answers(), [(1, Fate::Succeeded, Reason::Worker)]);
}

#[test]
fn channel_lost_while_permission_is_requested_releases_the_message() {
    let mut w = World::shared(2, REFUSING);
    let (key, sending) = goes(&mut w, "a", 1);
    w.front(FrontState::Down);
    let asked = w.asked();
    assert!(
        asked.contains(&Ask::Ended {
            key: key.clone(),
            sending,
            may_have_run: false
        }),
        "{asked:?}"
    );
    assert!(asked.contains(&Ask::Dropped { key }));
    // A permission that comes after is of no use.
    w.told(Told::Leave {
        sending,
        left: Ok(false),
    });
    assert!(w.sent().is_empty());
    assert_eq!(w.router.open(), 0);
}

/// Away from here, another router may have run it: that it did not is the group's to say.
#[test]
fn redelivered_message_that_was_rejected_is_announced_again() {
    let mut w = World::shared(2, REFUSING);
    let (_, sending) = goes(&mut w, "a", 1);
    w.told(Told::Leave {
        sending,
        left: Err(Refusal::NoMajority),
    });
    assert_eq!(w.answers(), [(1, Fate::Throttled, Reason::NoMajority)]);
    w.front(FrontState::Down);
    w.front(FrontState::Up);
    w.again("a", NON_IDEMPOTENT, 2, 1, 100 * MS);
    assert!(w.answers().is_empty(), "{:?}", w.out);
    let asked = w.asked();
    assert!(
        matches!(
            &asked[..],
            [Ask::Take {
                need: Need::Held,
                redelivered: true,
                ..
            }]
        ),
        "{asked:?}"
    );
    w.told(Told::Verdict {
        key: key(&asked[0]),
        verdict: Verdict::MayHaveRun,
    });
    assert_eq!(w.answers(), [(1, Fate::Errored, Reason::MayHaveRun)]);
}

#[test]
fn invocation_orphaned_while_in_flight_is_not_reported_as_not_run() {
    let mut w = World::shared(2, REFUSING);
    let (_, sending) = goes(&mut w, "a", 1);
    w.told(Told::Leave {
        sending,
        left: Ok(false),
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
    assert_eq!(answers, [(1, Fate::Errored, Reason::MayHaveRun)]);
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
        (1, Fate::Throttled),
        "{answers:?}"
    );
    assert!(!w.out.iter().any(|o| matches!(o, Output::Withdraw(_))));
}

#[test]
fn deduplication_window_of_a_retry_from_another_router_starts_at_its_first_attempt() {
    let mut w = World::shared(2, REFUSING);
    for (tag, ago, sends) in [(1, 7 * SECOND, true), (2, 9 * SECOND, false)] {
        w.take(&tag.to_string(), TOKENED, 1, tag);
        let key = key(&w.asked()[0]);
        w.told(Told::Verdict {
            key,
            verdict: Verdict::Go {
                first_ago: Some(ago),
            },
        });
        let asks = w.asked().iter().any(|a| matches!(a, Ask::Leave { .. }));
        assert_eq!(asks, sends);
        assert_eq!(w.answers().is_empty(), sends, "{:?}", w.answers());
    }
}

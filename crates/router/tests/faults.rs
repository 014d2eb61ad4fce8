//! The hard cases of one router: each provokes the failure that some line of the core answers.

mod world;

use cedarpulley::interface::*;
use cedarpulley_router::concurrency_limit::FrontState;
use cedarpulley_router::*;
use proptest::prelude::*;
use world::*;

#[test]
fn answered_message_leaves_no_state() {
    let mut w = World::new(2);
    w.take("a", NON_IDEMPOTENT, 1, 1);
    let sent = w.sent();
    assert_eq!(sent.len(), 1);
    w.end(sent[0], DispatchOutcome::Succeeded);
    assert_eq!(
        w.answers(),
        [(1, FinalOutcome::Succeeded, AnswerReason::Worker)]
    );
    w.feed(Input::AnswerDelivered(Delivery {
        front: 0,
        incarnation: 1,
        tag: 1,
    }));
    assert_eq!((w.router.unfinished(), w.router.body_bytes()), (0, 0));
}

/// The channel drops with the answer on its way: when the message comes again, the same answer, no dispatch.
#[test]
fn answer_lost_with_its_channel_is_repeated() {
    let mut w = World::new(2);
    w.take("a", NON_IDEMPOTENT, 1, 1);
    let ticket = w.sent()[0];
    w.end(ticket, DispatchOutcome::Succeeded);
    w.front(FrontState::Down);
    w.front(FrontState::Up);
    w.again("a", NON_IDEMPOTENT, 2, 7, SECOND);
    assert_eq!(
        w.answers(),
        [(7, FinalOutcome::Succeeded, AnswerReason::Worker)]
    );
    assert!(w.sent().is_empty());
    assert_eq!(w.router.counts.answers.values().sum::<u64>(), 1);
}

/// The channel drops with the dispatch out, and the message comes back here: it joins what is out.
#[test]
fn redelivered_message_joins_its_attempt_in_flight() {
    let mut w = World::new(2);
    w.take("a", NON_IDEMPOTENT, 1, 1);
    let ticket = w.sent()[0];
    w.front(FrontState::Down);
    assert!(!w.out.iter().any(|o| matches!(o, Output::Cancel(_))));
    w.front(FrontState::Up);
    w.again("a", NON_IDEMPOTENT, 2, 3, 100 * MS);
    assert!(w.sent().is_empty() && w.answers().is_empty());
    w.end(ticket, DispatchOutcome::Succeeded);
    assert_eq!(
        w.answers(),
        [(3, FinalOutcome::Succeeded, AnswerReason::Worker)]
    );
}

/// It ended while no channel stood: as it may have run, it is not dispatched again.
#[test]
fn message_whose_attempt_failed_while_orphaned_is_refused_on_redelivery() {
    let mut w = World::new(2);
    w.take("a", NON_IDEMPOTENT, 1, 1);
    let ticket = w.sent()[0];
    w.front(FrontState::Down);
    w.end(ticket, DispatchOutcome::ConnectionLost);
    assert!(w.answers().is_empty() && w.sent().is_empty());
    w.front(FrontState::Up);
    w.again("a", NON_IDEMPOTENT, 2, 2, SECOND);
    assert_eq!(
        w.answers(),
        [(2, FinalOutcome::Errored, AnswerReason::MayHaveRun)]
    );
}

/// No worker, so it never left; after the drop our own record proves it, and it may go.
#[test]
fn message_that_was_never_sent_may_run_on_redelivery() {
    let mut w = World::new(0);
    w.take("a", NON_IDEMPOTENT, 1, 1);
    assert!(w.sent().is_empty());
    w.front(FrontState::Down);
    w.front(FrontState::Up);
    let workers = World::new(1);
    drop(workers);
    w.feed(Input::EndpointList {
        kind: EndpointListKind::Complete,
        workers: vec![listed("127.0.0.1:9000", EndpointState::InService)],
    });
    assert!(w.sent().is_empty(), "nobody holds it now");
    w.again("a", NON_IDEMPOTENT, 2, 2, SECOND);
    assert_eq!(w.sent().len(), 1);
}

/// An orphan whose dispatch never ran is not dispatched anew: whoever has the message now may do that.
#[test]
fn orphaned_message_is_not_dispatched() {
    let mut w = World::new(2);
    w.take("a", IDEMPOTENT, 1, 1);
    let ticket = w.sent()[0];
    w.front(FrontState::Down);
    w.end(ticket, DispatchOutcome::Unreachable);
    assert!(w.sent().is_empty());
    w.pass(TIMEOUT);
    assert!(w.sent().is_empty() && w.answers().is_empty());
    assert_eq!(w.router.unfinished(), 0);
}

/// At another router, or after a kill, there is no record.
#[test]
fn redelivered_message_without_a_record_is_treated_by_its_effect() {
    let mut w = World::new(2);
    w.again("a", NON_IDEMPOTENT, 1, 1, SECOND);
    assert_eq!(
        w.answers(),
        [(1, FinalOutcome::Errored, AnswerReason::MayHaveRun)]
    );
    w.again("b", IDEMPOTENT, 1, 2, SECOND);
    assert_eq!(w.sent().len(), 1);
    w.again("c", TOKENED, 1, 3, WINDOW - 100 * MS);
    assert_eq!(w.sent().len(), 1, "at 7.9 s the workers still know it");
    w.again("d", TOKENED, 1, 4, WINDOW + 100 * MS);
    assert_eq!(
        (w.sent().len(), w.answers()),
        (
            0,
            vec![(4, FinalOutcome::Errored, AnswerReason::MayHaveRun)]
        )
    );
}

/// Taken inside the window and held past it: it must not leave any more, and no one may call it harmless.
#[test]
fn queued_invocation_is_not_dispatched_after_its_deduplication_window() {
    let mut w = World::new(0);
    w.again("a", TOKENED, 1, 1, WINDOW - 300 * MS);
    w.pass(SECOND);
    assert_eq!(
        w.answers(),
        [(1, FinalOutcome::Errored, AnswerReason::MayHaveRun)]
    );
    assert!(w.sent().is_empty());
}

#[test]
fn message_past_its_client_timeout_is_answered_at_once() {
    let mut w = World::new(2);
    let old = IncomingInvocation {
        waited: TIMEOUT,
        ..w.message("a", IDEMPOTENT, 1, 1)
    };
    w.feed(Input::MessageArrived(old));
    assert_eq!(
        (w.sent().len(), w.answers()),
        (0, vec![(1, FinalOutcome::Throttled, AnswerReason::Expired)])
    );
    let old = IncomingInvocation {
        redelivered: true,
        waited: TIMEOUT,
        ..w.message("b", TOKENED, 1, 2)
    };
    w.feed(Input::MessageArrived(old));
    assert_eq!(
        w.answers()[0].1,
        FinalOutcome::Errored,
        "it may have run elsewhere"
    );
}

/// The same message published twice: one invocation, one answer; the copy only goes out of the way.
#[test]
fn message_published_twice_is_one_invocation() {
    let mut w = World::new(2);
    w.take("a", NON_IDEMPOTENT, 1, 1);
    let ticket = w.sent()[0];
    w.take("a", NON_IDEMPOTENT, 1, 2);
    assert!(
        w.sent().is_empty()
            && w.out.contains(&Output::Discard(Delivery {
                front: 0,
                incarnation: 1,
                tag: 2
            }))
    );
    w.end(ticket, DispatchOutcome::Succeeded);
    assert_eq!(
        w.answers(),
        [(1, FinalOutcome::Succeeded, AnswerReason::Worker)]
    );
}

/// A worker answers after the time was over: the answer given stands, and no second one follows.
#[test]
fn late_end_of_a_dispatch_changes_nothing() {
    let mut w = World::new(1);
    w.take("a", NON_IDEMPOTENT, 1, 1);
    let ticket = w.sent()[0];
    w.pass(TIMEOUT);
    assert_eq!(
        w.answers(),
        [(1, FinalOutcome::Errored, AnswerReason::GivenUp)]
    );
    assert!(w.out.contains(&Output::Cancel(ticket)));
    w.end(ticket, DispatchOutcome::Succeeded);
    assert!(w.out.is_empty());
    assert_eq!(w.router.counts.too_late, 1);
}

#[test]
fn clock_that_stalls_or_jumps_loses_no_answer() {
    let mut w = World::new(1);
    for tag in 0..10 {
        w.take(&format!("a{tag}"), NON_IDEMPOTENT, 1, tag);
    }
    let before = w.now;
    w.now -= 5 * SECOND;
    w.feed(Input::Tick);
    assert!(w.answers().is_empty());
    w.now = before + TIMEOUT + 10 * SECOND;
    w.feed(Input::Tick);
    let answered = w.answers();
    assert_eq!(answered.len(), 10);
    assert!(answered.iter().all(|a| a.1 == FinalOutcome::Errored));
}

/// Two thousand at once: each gets one answer, and what has no room for its body is told so at once.
#[test]
fn every_message_of_a_flood_is_answered_within_bounded_memory() {
    let mut w = World::new(2);
    let mut answered = std::collections::BTreeMap::new();
    let mut out = Vec::new();
    for tag in 0..2_000 {
        let mut message = w.message(&format!("a{tag}"), (tag % 3) as u32, 1, tag);
        message.body = bytes::Bytes::from(vec![0; 1_000]).into();
        w.feed(Input::MessageArrived(message));
        assert!(w.router.body_bytes() <= 1 << 20);
        out.append(&mut w.out);
    }
    for _ in 0..200 {
        w.out = out;
        w.answers()
            .into_iter()
            .for_each(|(tag, ..)| *answered.entry(tag).or_insert(0) += 1);
        let sent = w.sent();
        out = Vec::new();
        for ticket in sent {
            w.end(
                ticket,
                if ticket.invocation % 5 == 0 {
                    DispatchOutcome::Rejected
                } else {
                    DispatchOutcome::Succeeded
                },
            );
            out.append(&mut w.out);
        }
        w.pass(100 * MS);
        out.append(&mut w.out);
    }
    assert_eq!(answered.len(), 2_000);
    assert!(answered.values().all(|n| *n == 1));
}

#[derive(Clone, Debug)]
enum Step {
    Take(u8, u8),
    End(u8, u8),
    Drop,
    Pass(u16),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..40u8, 0..3u8).prop_map(|(id, kind)| Step::Take(id, kind)),
        5 => (any::<u8>(), 0..6u8).prop_map(|(which, how)| Step::End(which, how)),
        1 => Just(Step::Drop),
        2 => (1..3000u16).prop_map(Step::Pass),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: prop::test_runner::RngSeed::Fixed(5),
        failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever happens: a delivery that was not lost gets one answer at most and, in the end, exactly one; what
    /// must never run twice is sent at most once unless the first surely never ran.
    #[test]
    fn each_delivery_gets_one_answer_and_no_effect_happens_twice(steps in steps()) {
        let mut w = World::new(3);
        let (mut life, mut tag) = (1, 0);
        // What the broker holds: by message its kind, when it was sent, and the delivery that is out.
        let mut held: std::collections::BTreeMap<u8, (u32, Micros, Option<u64>)> = Default::default();
        let mut kinds = std::collections::BTreeMap::new();
        let mut out: Vec<Ticket> = Vec::new();
        // By the dispatch's invocation identity: may one of its dispatches have run?
        let mut ran: std::collections::BTreeMap<String, u32> = Default::default();
        let mut answered: std::collections::BTreeMap<u64, u32> = Default::default();
        let mut owner: std::collections::BTreeMap<Ticket, String> = Default::default();
        macro_rules! look {
            () => {
                for o in w.out.clone() {
                    match o {
                        Output::Answer { delivery, answer } => {
                            *answered.entry(delivery.tag).or_insert(0) += 1;
                            let id = held.iter().find(|(_, h)| h.2 == Some(delivery.tag)).map(|h| *h.0);
                            prop_assert!(delivery.incarnation != life || id.is_some(), "answered what is not out");
                            if let Some(id) = id {
                                let name = format!("m{id}");
                                let throttled = answer.outcome == FinalOutcome::Throttled && held[&id].0 == NON_IDEMPOTENT;
                                prop_assert!(!throttled || ran.get(&name).is_none_or(|n| *n == 0));
                                held.remove(&id);
                                w.router.handle(w.now, Input::AnswerDelivered(delivery), &mut Vec::new());
                            }
                        }
                        Output::Send { ticket, call, trigger, .. } => {
                            let name = call.name.as_deref().unwrap_or_default().to_owned();
                            let n = ran.entry(name.clone()).or_insert(0);
                            prop_assert!(trigger != NON_IDEMPOTENT || *n == 0, "{name} sent again");
                            *n += 1;
                            owner.insert(ticket, name);
                            out.push(ticket);
                        }
                        Output::Cancel(ticket) => out.retain(|t| *t != ticket),
                        _ => {}
                    }
                }
            };
        }
        for step in steps {
            match step {
                Step::Take(id, kind) => {
                    let kind = *kinds.entry(id).or_insert(u32::from(kind));
                    if let Some(h) = held.get(&id) && h.2.is_some() { continue; }
                    tag += 1;
                    let name = format!("m{id}");
                    match held.get_mut(&id) {
                        Some(h) => {
                            h.2 = Some(tag);
                            let waited = w.now - h.1;
                            w.again(&name, kind, life, tag, waited);
                        }
                        // Sent anew by its client, as another message of the same name: a new identity.
                        None if ran.contains_key(&name) => continue,
                        None => {
                            held.insert(id, (kind, w.now, Some(tag)));
                            w.take(&name, kind, life, tag);
                        }
                    }
                }
                Step::End(which, how) => {
                    if out.is_empty() { continue; }
                    let ticket = out.swap_remove(which as usize % out.len());
                    let how = [DispatchOutcome::Succeeded, DispatchOutcome::Errored, DispatchOutcome::Rejected, DispatchOutcome::Unreachable,
                        DispatchOutcome::ConnectionLost, DispatchOutcome::NotSent][how as usize];
                    if how.not_executed() && let Some(n) = ran.get_mut(&owner[&ticket]) { *n -= 1; }
                    w.end(ticket, how);
                }
                Step::Drop => {
                    w.front(FrontState::Down);
                    look!();
                    life += 1;
                    held.values_mut().for_each(|h| h.2 = None);
                    w.front(FrontState::Up);
                }
                Step::Pass(ms) => w.pass(Micros::from(ms) * MS),
            }
            look!();
        }
        w.pass(2 * TIMEOUT);
        look!();
        prop_assert!(held.values().all(|h| h.2.is_none()), "not answered: {held:?}");
        prop_assert!(answered.values().all(|n| *n == 1));
        prop_assert_eq!(w.router.unfinished(), 0);
    }
}

fn sent_by(w: &World, life: u32, tag: u64, id: &str, trigger: u32) -> IncomingInvocation {
    // Another message with the same token.
    IncomingInvocation {
        identity: Some(format!("{id}-{tag}").into()),
        ..w.message(id, trigger, life, tag)
    }
}

/// The same token while the first is out: one dispatch, the same answer to both.
#[test]
fn client_retry_joins_the_open_invocation() {
    let mut w = World::new(2);
    for kind in [IDEMPOTENT, TOKENED, NON_IDEMPOTENT] {
        let id = format!("t{kind}");
        let first = sent_by(&w, 1, 10, &id, kind);
        w.feed(Input::MessageArrived(first));
        let ticket = w.sent()[0];
        let second = sent_by(&w, 1, 11, &id, kind);
        w.feed(Input::MessageArrived(second));
        assert!(w.sent().is_empty() && w.answers().is_empty());
        w.end(ticket, DispatchOutcome::Succeeded);
        let both = [
            (10, FinalOutcome::Succeeded, AnswerReason::Worker),
            (11, FinalOutcome::Succeeded, AnswerReason::Worker),
        ];
        assert_eq!(w.answers(), both);
        for tag in [10, 11] {
            w.feed(Input::AnswerDelivered(Delivery {
                front: 0,
                incarnation: 1,
                tag,
            }));
        }
        assert_eq!(w.router.unfinished(), 0);
    }
}

/// After the answer a tokened one is answered alike within the window; a success of another effect is not kept.
#[test]
fn retry_after_the_answer_gets_it_from_the_cache_within_the_window() {
    let mut w = World::new(2);
    let first = sent_by(&w, 1, 1, "a", TOKENED);
    w.feed(Input::MessageArrived(first));
    let ticket = w.sent()[0];
    w.end(ticket, DispatchOutcome::Succeeded);
    w.feed(Input::AnswerDelivered(Delivery {
        front: 0,
        incarnation: 1,
        tag: 1,
    }));
    w.pass(WINDOW - SECOND);
    let again = sent_by(&w, 1, 2, "a", TOKENED);
    w.feed(Input::MessageArrived(again));
    assert_eq!(
        (w.sent().len(), w.answers()),
        (0, vec![(2, FinalOutcome::Succeeded, AnswerReason::Worker)])
    );
    w.pass(2 * SECOND);
    let again = sent_by(&w, 1, 3, "a", TOKENED);
    w.feed(Input::MessageArrived(again));
    assert_eq!(w.sent().len(), 1);
    // Another account, trigger type or function is another token.
    let other = IncomingInvocation {
        function: "g".into(),
        ..sent_by(&w, 1, 4, "a", TOKENED)
    };
    w.feed(Input::MessageArrived(other));
    assert_eq!(w.sent().len(), 1);
}

/// The first client vanishes while its retry waits: the dispatch goes on for the retry. Then that one goes too.
#[test]
fn invocation_is_not_cancelled_while_one_of_its_deliveries_waits() {
    let mut w = World::new(2);
    let first = sent_by(&w, 1, 1, "a", NON_IDEMPOTENT);
    w.feed(Input::MessageArrived(first));
    let ticket = w.sent()[0];
    let second = sent_by(&w, 1, 2, "a", NON_IDEMPOTENT);
    w.feed(Input::MessageArrived(second));
    w.feed(Input::ClientLeft(Delivery {
        front: 0,
        incarnation: 1,
        tag: 1,
    }));
    assert!(w.out.iter().all(|o| !matches!(o, Output::Cancel(_))));
    w.feed(Input::ClientLeft(Delivery {
        front: 0,
        incarnation: 1,
        tag: 2,
    }));
    assert!(w.out.contains(&Output::Cancel(ticket)));
    assert_eq!(w.router.unfinished(), 0);
}

/// A retry with less time than the first is not left waiting beyond it, and gets no second answer.
#[test]
fn joined_retry_is_answered_by_its_own_deadline() {
    let mut w = World::new(2);
    let first = sent_by(&w, 1, 1, "a", NON_IDEMPOTENT);
    w.feed(Input::MessageArrived(first));
    let ticket = w.sent()[0];
    let hasty = IncomingInvocation {
        client_timeout: SECOND,
        ..sent_by(&w, 1, 2, "a", NON_IDEMPOTENT)
    };
    w.feed(Input::MessageArrived(hasty));
    w.pass(SECOND);
    assert_eq!(
        w.answers(),
        [(2, FinalOutcome::Errored, AnswerReason::Overdue)]
    );
    w.end(ticket, DispatchOutcome::Succeeded);
    assert_eq!(
        w.answers(),
        [(1, FinalOutcome::Succeeded, AnswerReason::Worker)]
    );
}

/// The channel of the first drops while a retry from elsewhere waits; the first comes again: one dispatch, two answers.
#[test]
fn redelivered_message_rejoins_beside_a_client_retry() {
    let mut w = World::new(2);
    let first = IncomingInvocation {
        identity: Some("m".into()),
        ..w.message("a", NON_IDEMPOTENT, 1, 1)
    };
    w.feed(Input::MessageArrived(first.clone()));
    let ticket = w.sent()[0];
    let elsewhere = Delivery {
        front: 1,
        incarnation: 1,
        tag: 2,
    };
    let retry = IncomingInvocation {
        delivery: elsewhere,
        ..sent_by(&w, 1, 2, "a", NON_IDEMPOTENT)
    };
    w.feed(Input::MessageArrived(retry));
    w.front(FrontState::Down);
    w.front(FrontState::Up);
    let again = IncomingInvocation {
        redelivered: true,
        delivery: Delivery {
            front: 0,
            incarnation: 2,
            tag: 1,
        },
        ..first
    };
    w.feed(Input::MessageArrived(again));
    assert!(w.out.is_empty(), "neither sent nor put out of the way");
    w.end(ticket, DispatchOutcome::Succeeded);
    assert_eq!(w.answers().len(), 2);
}

/// Symptom: the first of a function here is of a session that is warm at a worker, and goes to another one.
#[test]
fn session_stays_at_its_worker_when_the_function_is_new_to_the_router() {
    for warm in 0..6 {
        let mut w = World::ordering(6);
        let preferred_worker = Some(format!("127.0.0.1:{}", 9000 + warm).into());
        let first = IncomingInvocation {
            preferred_worker,
            ..w.message("a", IDEMPOTENT, 0, 1)
        };
        w.feed(Input::MessageArrived(first.clone()));
        let went = |w: &World| {
            let send = |o: &Output| {
                if let Output::Send { worker, .. } = o {
                    Some(*worker)
                } else {
                    None
                }
            };
            w.out.iter().filter_map(send).collect::<Vec<_>>()
        };
        assert_eq!(went(&w), [warm], "{:?}", w.out);
        // Nothing is ordered for it, and nothing is thought to be under way.
        assert!(
            !w.out.iter().any(|o| matches!(o, Output::Order { .. })),
            "{:?}",
            w.out
        );
        assert_eq!(w.router.counts.orders, 0);
        // What is of no session goes there, too, rather than load one more.
        w.take("b", IDEMPOTENT, 0, 2);
        assert_eq!(went(&w), [warm]);
    }
}

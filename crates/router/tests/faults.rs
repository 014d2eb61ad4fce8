//! Tests of a single router under faults: lost channels, redelivered messages, late results, retries by clients, clock
//! jumps and floods.

mod harness;

use cedarpulley::interface::*;
use cedarpulley_router::concurrency_limit::FrontState;
use cedarpulley_router::*;
use harness::*;
use proptest::prelude::*;

#[test]
fn answered_message_leaves_no_state() {
    let mut router = RouterHarness::new(2);
    router.receive("a", NON_IDEMPOTENT, 1, 1);
    let sent = router.sent_tickets();
    assert_eq!(sent.len(), 1);
    router.end_dispatch(sent[0], DispatchOutcome::Succeeded);
    assert_eq!(
        router.answers(),
        [(1, FinalOutcome::Succeeded, AnswerReason::Worker)]
    );
    router.handle(Input::AnswerDelivered(Delivery {
        front: 0,
        incarnation: 1,
        tag: 1,
    }));
    assert_eq!((router.core.unfinished(), router.core.body_bytes()), (0, 0));
}

/// Guards against a second dispatch after the channel was lost while the answer was on its way. The redelivered message
/// must get the same answer.
#[test]
fn answer_lost_with_its_channel_is_repeated() {
    let mut router = RouterHarness::new(2);
    router.receive("a", NON_IDEMPOTENT, 1, 1);
    let ticket = router.sent_tickets()[0];
    router.end_dispatch(ticket, DispatchOutcome::Succeeded);
    router.set_front_state(FrontState::Down);
    router.set_front_state(FrontState::Up);
    router.redeliver("a", NON_IDEMPOTENT, 2, 7, SECOND);
    assert_eq!(
        router.answers(),
        [(7, FinalOutcome::Succeeded, AnswerReason::Worker)]
    );
    assert!(router.sent_tickets().is_empty());
    assert_eq!(router.core.counts.answers.values().sum::<u64>(), 1);
}

/// Guards against a second dispatch after the channel was lost while an attempt is in flight. The redelivered message must
/// wait for that attempt.
#[test]
fn redelivered_message_joins_its_attempt_in_flight() {
    let mut router = RouterHarness::new(2);
    router.receive("a", NON_IDEMPOTENT, 1, 1);
    let ticket = router.sent_tickets()[0];
    router.set_front_state(FrontState::Down);
    assert!(
        !router
            .outputs
            .iter()
            .any(|output| matches!(output, Output::Cancel(_)))
    );
    router.set_front_state(FrontState::Up);
    router.redeliver("a", NON_IDEMPOTENT, 2, 3, 100 * MILLISECOND);
    assert!(router.sent_tickets().is_empty() && router.answers().is_empty());
    router.end_dispatch(ticket, DispatchOutcome::Succeeded);
    assert_eq!(
        router.answers(),
        [(3, FinalOutcome::Succeeded, AnswerReason::Worker)]
    );
}

/// Guards against a second dispatch of an invocation that may have run: its attempt failed while the channel was lost.
#[test]
fn message_whose_attempt_failed_while_orphaned_is_refused_on_redelivery() {
    let mut router = RouterHarness::new(2);
    router.receive("a", NON_IDEMPOTENT, 1, 1);
    let ticket = router.sent_tickets()[0];
    router.set_front_state(FrontState::Down);
    router.end_dispatch(ticket, DispatchOutcome::ConnectionLost);
    assert!(router.answers().is_empty() && router.sent_tickets().is_empty());
    router.set_front_state(FrontState::Up);
    router.redeliver("a", NON_IDEMPOTENT, 2, 2, SECOND);
    assert_eq!(
        router.answers(),
        [(2, FinalOutcome::Errored, AnswerReason::MayHaveRun)]
    );
}

/// A message that could not be dispatched for lack of workers may run when it is delivered again after a lost channel:
/// the record of this router proves that it never ran.
#[test]
fn message_that_was_never_sent_may_run_on_redelivery() {
    let mut router = RouterHarness::new(0);
    router.receive("a", NON_IDEMPOTENT, 1, 1);
    assert!(router.sent_tickets().is_empty());
    router.set_front_state(FrontState::Down);
    router.set_front_state(FrontState::Up);
    let workers = RouterHarness::new(1);
    drop(workers);
    router.handle(Input::EndpointList {
        kind: EndpointListKind::Complete,
        workers: vec![listed_worker("127.0.0.1:9000", EndpointState::InService)],
    });
    assert!(
        router.sent_tickets().is_empty(),
        "no delivery waits for it now"
    );
    router.redeliver("a", NON_IDEMPOTENT, 2, 2, SECOND);
    assert_eq!(router.sent_tickets().len(), 1);
}

/// Guards against dispatching an orphaned invocation again after its dispatch failed without running: the router that
/// receives the message next may dispatch it.
#[test]
fn orphaned_message_is_not_dispatched() {
    let mut router = RouterHarness::new(2);
    router.receive("a", IDEMPOTENT, 1, 1);
    let ticket = router.sent_tickets()[0];
    router.set_front_state(FrontState::Down);
    router.end_dispatch(ticket, DispatchOutcome::Unreachable);
    assert!(router.sent_tickets().is_empty());
    router.advance(CLIENT_TIMEOUT);
    assert!(router.sent_tickets().is_empty() && router.answers().is_empty());
    assert_eq!(router.core.unfinished(), 0);
}

/// A router has no record of a message that was delivered to another router before, or to a process that was killed.
#[test]
fn redelivered_message_without_a_record_is_treated_by_its_effect() {
    let mut router = RouterHarness::new(2);
    router.redeliver("a", NON_IDEMPOTENT, 1, 1, SECOND);
    assert_eq!(
        router.answers(),
        [(1, FinalOutcome::Errored, AnswerReason::MayHaveRun)]
    );
    router.redeliver("b", IDEMPOTENT, 1, 2, SECOND);
    assert_eq!(router.sent_tickets().len(), 1);
    router.redeliver(
        "c",
        IDEMPOTENT_BY_KEY,
        1,
        3,
        DEDUPLICATION_WINDOW - 100 * MILLISECOND,
    );
    assert_eq!(
        router.sent_tickets().len(),
        1,
        "7.9 s after the client sent it, the workers still drop repeats"
    );
    router.redeliver(
        "d",
        IDEMPOTENT_BY_KEY,
        1,
        4,
        DEDUPLICATION_WINDOW + 100 * MILLISECOND,
    );
    assert_eq!(
        (router.sent_tickets().len(), router.answers()),
        (
            0,
            vec![(4, FinalOutcome::Errored, AnswerReason::MayHaveRun)]
        )
    );
}

/// Guards against a dispatch after the deduplication window: the message was accepted within the window but stays queued
/// until after it. The answer must not say that the invocation did not run.
#[test]
fn queued_invocation_is_not_dispatched_after_its_deduplication_window() {
    let mut router = RouterHarness::new(0);
    router.redeliver(
        "a",
        IDEMPOTENT_BY_KEY,
        1,
        1,
        DEDUPLICATION_WINDOW - 300 * MILLISECOND,
    );
    router.advance(SECOND);
    assert_eq!(
        router.answers(),
        [(1, FinalOutcome::Errored, AnswerReason::MayHaveRun)]
    );
    assert!(router.sent_tickets().is_empty());
}

#[test]
fn message_past_its_client_timeout_is_answered_at_once() {
    let mut router = RouterHarness::new(2);
    let expired = IncomingInvocation {
        waited: CLIENT_TIMEOUT,
        ..router.message("a", IDEMPOTENT, 1, 1)
    };
    router.handle(Input::MessageArrived(expired));
    assert_eq!(
        (router.sent_tickets().len(), router.answers()),
        (0, vec![(1, FinalOutcome::Throttled, AnswerReason::Expired)])
    );
    let expired = IncomingInvocation {
        redelivered: true,
        waited: CLIENT_TIMEOUT,
        ..router.message("b", IDEMPOTENT_BY_KEY, 1, 2)
    };
    router.handle(Input::MessageArrived(expired));
    assert_eq!(
        router.answers()[0].1,
        FinalOutcome::Errored,
        "it may have run at another router"
    );
}

/// A message that was published twice is one invocation with one answer; its second delivery is discarded.
#[test]
fn message_published_twice_is_one_invocation() {
    let mut router = RouterHarness::new(2);
    router.receive("a", NON_IDEMPOTENT, 1, 1);
    let ticket = router.sent_tickets()[0];
    router.receive("a", NON_IDEMPOTENT, 1, 2);
    assert!(
        router.sent_tickets().is_empty()
            && router.outputs.contains(&Output::Discard(Delivery {
                front: 0,
                incarnation: 1,
                tag: 2
            }))
    );
    router.end_dispatch(ticket, DispatchOutcome::Succeeded);
    assert_eq!(
        router.answers(),
        [(1, FinalOutcome::Succeeded, AnswerReason::Worker)]
    );
}

/// Guards against a second answer when a worker answers after the client timeout: the answer already given is final.
#[test]
fn late_end_of_a_dispatch_changes_nothing() {
    let mut router = RouterHarness::new(1);
    router.receive("a", NON_IDEMPOTENT, 1, 1);
    let ticket = router.sent_tickets()[0];
    router.advance(CLIENT_TIMEOUT);
    assert_eq!(
        router.answers(),
        [(1, FinalOutcome::Errored, AnswerReason::GivenUp)]
    );
    assert!(router.outputs.contains(&Output::Cancel(ticket)));
    router.end_dispatch(ticket, DispatchOutcome::Succeeded);
    assert!(router.outputs.is_empty());
    assert_eq!(router.core.counts.too_late, 1);
}

#[test]
fn clock_that_stalls_or_jumps_loses_no_answer() {
    let mut router = RouterHarness::new(1);
    for tag in 0..10 {
        router.receive(&format!("a{tag}"), NON_IDEMPOTENT, 1, tag);
    }
    let before = router.now;
    router.now -= 5 * SECOND;
    router.handle(Input::Tick);
    assert!(router.answers().is_empty());
    router.now = before + CLIENT_TIMEOUT + 10 * SECOND;
    router.handle(Input::Tick);
    let answered = router.answers();
    assert_eq!(answered.len(), 10);
    assert!(answered.iter().all(|a| a.1 == FinalOutcome::Errored));
}

/// Each of two thousand messages that arrive at once gets exactly one answer, and the memory for bodies stays within its
/// limit. A message whose body does not fit is rejected at once.
#[test]
fn every_message_of_a_flood_is_answered_within_bounded_memory() {
    let mut router = RouterHarness::new(2);
    let mut answered = std::collections::BTreeMap::new();
    let mut outputs = Vec::new();
    for tag in 0..2_000 {
        let mut message = router.message(&format!("a{tag}"), (tag % 3) as u32, 1, tag);
        message.body = bytes::Bytes::from(vec![0; 1_000]).into();
        router.handle(Input::MessageArrived(message));
        assert!(router.core.body_bytes() <= 1 << 20);
        outputs.append(&mut router.outputs);
    }
    for _ in 0..200 {
        router.outputs = outputs;
        router
            .answers()
            .into_iter()
            .for_each(|(tag, ..)| *answered.entry(tag).or_insert(0) += 1);
        let sent = router.sent_tickets();
        outputs = Vec::new();
        for ticket in sent {
            router.end_dispatch(
                ticket,
                if ticket.invocation % 5 == 0 {
                    DispatchOutcome::Rejected
                } else {
                    DispatchOutcome::Succeeded
                },
            );
            outputs.append(&mut router.outputs);
        }
        router.advance(100 * MILLISECOND);
        outputs.append(&mut router.outputs);
    }
    assert_eq!(answered.len(), 2_000);
    assert!(answered.values().all(|n| *n == 1));
}

/// One step of a generated scenario.
#[derive(Clone, Debug)]
enum Step {
    /// Deliver a message, unless a delivery of it is waiting: number of the message, trigger type.
    Take(u8, u8),
    /// End a dispatch in flight: which one, outcome.
    End(u8, u8),
    /// Lose the front's channel and restore it.
    Drop,
    /// Advance the clock by this many milliseconds.
    Pass(u16),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..40u8, 0..3u8).prop_map(|(id, trigger)| Step::Take(id, trigger)),
        5 => (any::<u8>(), 0..6u8).prop_map(|(which, how)| Step::End(which, how)),
        1 => Just(Step::Drop),
        2 => (1..3000u16).prop_map(Step::Pass),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: prop::test_runner::RngSeed::Fixed(5),
        failure_persistence: None, ..ProptestConfig::default() })]

    /// In any sequence of steps, a delivery whose channel was not lost gets exactly one answer in the end. A non-idempotent
    /// invocation is only sent again, or answered as throttled, if its earlier dispatches certainly did not run.
    #[test]
    fn each_delivery_gets_one_answer_and_no_effect_happens_twice(steps in steps()) {
        let mut router = RouterHarness::new(3);
        let (mut incarnation, mut tag) = (1, 0);
        // The messages that the broker holds, by number: trigger type, time of sending, and tag of the delivery that waits
        // for an answer, if any.
        let mut held: std::collections::BTreeMap<u8, (u32, Micros, Option<u64>)> = Default::default();
        let mut trigger_by_message = std::collections::BTreeMap::new();
        let mut in_flight: Vec<Ticket> = Vec::new();
        // By name of the invocation: the number of its dispatches that may have run.
        let mut possible_runs: std::collections::BTreeMap<String, u32> = Default::default();
        let mut answered: std::collections::BTreeMap<u64, u32> = Default::default();
        let mut name_by_ticket: std::collections::BTreeMap<Ticket, String> = Default::default();
        macro_rules! check_outputs {
            () => {
                for output in router.outputs.clone() {
                    match output {
                        Output::Answer { delivery, answer } => {
                            *answered.entry(delivery.tag).or_insert(0) += 1;
                            let id = held.iter().find(|(_, h)| h.2 == Some(delivery.tag)).map(|h| *h.0);
                            prop_assert!(delivery.incarnation != incarnation || id.is_some(), "answered a delivery that does not wait");
                            if let Some(id) = id {
                                let name = format!("m{id}");
                                let throttled = answer.outcome == FinalOutcome::Throttled && held[&id].0 == NON_IDEMPOTENT;
                                prop_assert!(!throttled || possible_runs.get(&name).is_none_or(|n| *n == 0));
                                held.remove(&id);
                                router.core.handle(router.now, Input::AnswerDelivered(delivery), &mut Vec::new());
                            }
                        }
                        Output::Send { ticket, request, trigger, .. } => {
                            let name = request.name.as_deref().unwrap_or_default().to_owned();
                            let n = possible_runs.entry(name.clone()).or_insert(0);
                            prop_assert!(trigger != NON_IDEMPOTENT || *n == 0, "{name} sent again");
                            *n += 1;
                            name_by_ticket.insert(ticket, name);
                            in_flight.push(ticket);
                        }
                        Output::Cancel(ticket) => in_flight.retain(|t| *t != ticket),
                        _ => {}
                    }
                }
            };
        }
        for step in steps {
            match step {
                Step::Take(id, trigger) => {
                    let trigger = *trigger_by_message.entry(id).or_insert(u32::from(trigger));
                    if let Some(h) = held.get(&id) && h.2.is_some() { continue; }
                    tag += 1;
                    let name = format!("m{id}");
                    match held.get_mut(&id) {
                        Some(h) => {
                            h.2 = Some(tag);
                            let waited = router.now - h.1;
                            router.redeliver(&name, trigger, incarnation, tag, waited);
                        }
                        // The client would have to send it again as a new message with another identity.
                        None if possible_runs.contains_key(&name) => continue,
                        None => {
                            held.insert(id, (trigger, router.now, Some(tag)));
                            router.receive(&name, trigger, incarnation, tag);
                        }
                    }
                }
                Step::End(which, how) => {
                    if in_flight.is_empty() { continue; }
                    let ticket = in_flight.swap_remove(which as usize % in_flight.len());
                    let how = [DispatchOutcome::Succeeded, DispatchOutcome::Errored, DispatchOutcome::Rejected, DispatchOutcome::Unreachable,
                        DispatchOutcome::ConnectionLost, DispatchOutcome::NotSent][how as usize];
                    if how.not_executed() && let Some(n) = possible_runs.get_mut(&name_by_ticket[&ticket]) { *n -= 1; }
                    router.end_dispatch(ticket, how);
                }
                Step::Drop => {
                    router.set_front_state(FrontState::Down);
                    check_outputs!();
                    incarnation += 1;
                    held.values_mut().for_each(|h| h.2 = None);
                    router.set_front_state(FrontState::Up);
                }
                Step::Pass(ms) => router.advance(Micros::from(ms) * MILLISECOND),
            }
            check_outputs!();
        }
        router.advance(2 * CLIENT_TIMEOUT);
        check_outputs!();
        prop_assert!(held.values().all(|h| h.2.is_none()), "not answered: {held:?}");
        prop_assert!(answered.values().all(|n| *n == 1));
        prop_assert_eq!(router.core.unfinished(), 0);
    }
}

/// A message whose name and idempotency key are `id`, and whose identity differs from that of all others with this key.
fn message_with_key(
    router: &RouterHarness,
    incarnation: u32,
    tag: u64,
    id: &str,
    trigger: u32,
) -> IncomingInvocation {
    IncomingInvocation {
        identity: Some(format!("{id}-{tag}").into()),
        ..router.message(id, trigger, incarnation, tag)
    }
}

/// A retry with the same idempotency key while the first invocation is open causes no second dispatch, and both get the
/// same answer.
#[test]
fn client_retry_joins_the_open_invocation() {
    let mut router = RouterHarness::new(2);
    for trigger in [IDEMPOTENT, IDEMPOTENT_BY_KEY, NON_IDEMPOTENT] {
        let id = format!("t{trigger}");
        let first = message_with_key(&router, 1, 10, &id, trigger);
        router.handle(Input::MessageArrived(first));
        let ticket = router.sent_tickets()[0];
        let second = message_with_key(&router, 1, 11, &id, trigger);
        router.handle(Input::MessageArrived(second));
        assert!(router.sent_tickets().is_empty() && router.answers().is_empty());
        router.end_dispatch(ticket, DispatchOutcome::Succeeded);
        let both = [
            (10, FinalOutcome::Succeeded, AnswerReason::Worker),
            (11, FinalOutcome::Succeeded, AnswerReason::Worker),
        ];
        assert_eq!(router.answers(), both);
        for tag in [10, 11] {
            router.handle(Input::AnswerDelivered(Delivery {
                front: 0,
                incarnation: 1,
                tag,
            }));
        }
        assert_eq!(router.core.unfinished(), 0);
    }
}

/// After the answer, a retry of an invocation that is idempotent by key gets the same answer from the cache within the
/// deduplication window, and runs again after the window.
#[test]
fn retry_after_the_answer_gets_it_from_the_cache_within_the_window() {
    let mut router = RouterHarness::new(2);
    let first = message_with_key(&router, 1, 1, "a", IDEMPOTENT_BY_KEY);
    router.handle(Input::MessageArrived(first));
    let ticket = router.sent_tickets()[0];
    router.end_dispatch(ticket, DispatchOutcome::Succeeded);
    router.handle(Input::AnswerDelivered(Delivery {
        front: 0,
        incarnation: 1,
        tag: 1,
    }));
    router.advance(DEDUPLICATION_WINDOW - SECOND);
    let again = message_with_key(&router, 1, 2, "a", IDEMPOTENT_BY_KEY);
    router.handle(Input::MessageArrived(again));
    assert_eq!(
        (router.sent_tickets().len(), router.answers()),
        (0, vec![(2, FinalOutcome::Succeeded, AnswerReason::Worker)])
    );
    router.advance(2 * SECOND);
    let again = message_with_key(&router, 1, 3, "a", IDEMPOTENT_BY_KEY);
    router.handle(Input::MessageArrived(again));
    assert_eq!(router.sent_tickets().len(), 1);
    // A key is valid for one account, trigger type and function: for another function it is a new key.
    let other = IncomingInvocation {
        function: "g".into(),
        ..message_with_key(&router, 1, 4, "a", IDEMPOTENT_BY_KEY)
    };
    router.handle(Input::MessageArrived(other));
    assert_eq!(router.sent_tickets().len(), 1);
}

/// When the first client leaves while a retry waits, the dispatch continues for the retry. It is cancelled once the retry's
/// client has left, too.
#[test]
fn invocation_is_not_cancelled_while_one_of_its_deliveries_waits() {
    let mut router = RouterHarness::new(2);
    let first = message_with_key(&router, 1, 1, "a", NON_IDEMPOTENT);
    router.handle(Input::MessageArrived(first));
    let ticket = router.sent_tickets()[0];
    let second = message_with_key(&router, 1, 2, "a", NON_IDEMPOTENT);
    router.handle(Input::MessageArrived(second));
    router.handle(Input::ClientLeft(Delivery {
        front: 0,
        incarnation: 1,
        tag: 1,
    }));
    assert!(
        router
            .outputs
            .iter()
            .all(|output| !matches!(output, Output::Cancel(_)))
    );
    router.handle(Input::ClientLeft(Delivery {
        front: 0,
        incarnation: 1,
        tag: 2,
    }));
    assert!(router.outputs.contains(&Output::Cancel(ticket)));
    assert_eq!(router.core.unfinished(), 0);
}

/// A joined retry with a shorter client timeout than the first invocation is answered within its own timeout, and gets no
/// second answer.
#[test]
fn joined_retry_is_answered_by_its_own_deadline() {
    let mut router = RouterHarness::new(2);
    let first = message_with_key(&router, 1, 1, "a", NON_IDEMPOTENT);
    router.handle(Input::MessageArrived(first));
    let ticket = router.sent_tickets()[0];
    let shorter_retry = IncomingInvocation {
        client_timeout: SECOND,
        ..message_with_key(&router, 1, 2, "a", NON_IDEMPOTENT)
    };
    router.handle(Input::MessageArrived(shorter_retry));
    router.advance(SECOND);
    assert_eq!(
        router.answers(),
        [(2, FinalOutcome::Errored, AnswerReason::Overdue)]
    );
    router.end_dispatch(ticket, DispatchOutcome::Succeeded);
    assert_eq!(
        router.answers(),
        [(1, FinalOutcome::Succeeded, AnswerReason::Worker)]
    );
}

/// The channel of the first message is lost while a retry from another front waits. When the first message is redelivered,
/// there is one dispatch, and both deliveries are answered.
#[test]
fn redelivered_message_rejoins_beside_a_client_retry() {
    let mut router = RouterHarness::new(2);
    let first = IncomingInvocation {
        identity: Some("m".into()),
        ..router.message("a", NON_IDEMPOTENT, 1, 1)
    };
    router.handle(Input::MessageArrived(first.clone()));
    let ticket = router.sent_tickets()[0];
    let elsewhere = Delivery {
        front: 1,
        incarnation: 1,
        tag: 2,
    };
    let retry = IncomingInvocation {
        delivery: elsewhere,
        ..message_with_key(&router, 1, 2, "a", NON_IDEMPOTENT)
    };
    router.handle(Input::MessageArrived(retry));
    router.set_front_state(FrontState::Down);
    router.set_front_state(FrontState::Up);
    let again = IncomingInvocation {
        redelivered: true,
        delivery: Delivery {
            front: 0,
            incarnation: 2,
            tag: 1,
        },
        ..first
    };
    router.handle(Input::MessageArrived(again));
    assert!(
        router.outputs.is_empty(),
        "neither dispatched nor discarded"
    );
    router.end_dispatch(ticket, DispatchOutcome::Succeeded);
    assert_eq!(router.answers().len(), 2);
}

/// Guards against a session that moves to another worker when the first invocation of its function at this router belongs
/// to a session with a warm copy.
#[test]
fn session_stays_at_its_worker_when_the_function_is_new_to_the_router() {
    for warm in 0..6 {
        let mut router = RouterHarness::with_load_orders(6);
        let preferred_worker = Some(format!("127.0.0.1:{}", 9000 + warm).into());
        let first = IncomingInvocation {
            preferred_worker,
            ..router.message("a", IDEMPOTENT, 0, 1)
        };
        router.handle(Input::MessageArrived(first.clone()));
        let workers_sent_to = |router: &RouterHarness| {
            let send = |output: &Output| {
                if let Output::Send { worker, .. } = output {
                    Some(*worker)
                } else {
                    None
                }
            };
            router.outputs.iter().filter_map(send).collect::<Vec<_>>()
        };
        assert_eq!(workers_sent_to(&router), [warm], "{:?}", router.outputs);
        // No load is ordered for it, and no order is counted.
        assert!(
            !router
                .outputs
                .iter()
                .any(|output| matches!(output, Output::LoadOrder { .. })),
            "{:?}",
            router.outputs
        );
        assert_eq!(router.core.counts.orders, 0);
        // An invocation without a session uses the same copy instead of loading another one.
        router.receive("b", IDEMPOTENT, 0, 2);
        assert_eq!(workers_sent_to(&router), [warm]);
    }
}

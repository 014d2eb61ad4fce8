//! The small decision modules, each alone.

use std::sync::Arc;

use cedarpulley::interface::{EndpointListKind, EndpointState, Micros, TriggerType};
use cedarpulley_router::admission_control::{
    self, AdmissionControl, Entry as Let, Knock, Occupancy, PartyOccupancy, Short,
};
use cedarpulley_router::answer_registry::AnswerRegistry;
use cedarpulley_router::concurrency_limit::{
    ConcurrencyLimiter, EndedInvocation, FrontState, LoadSignal,
};
use cedarpulley_router::endpoint_list::{Entry, News, Roster, Slice, Step};
use cedarpulley_router::fair_share::{CrowdingSignal, FairShare};
use cedarpulley_router::queueing_delay::QueueingDelay;
use cedarpulley_router::{Answer, Delivery, Fate, Reason};

mod world;

const SECOND: Micros = 1_000_000;

fn worker(port: u16, standing: EndpointState, mark: &str) -> Entry {
    let worker = world::listed(&format!("127.0.0.1:{port}"), standing);
    Entry {
        worker,
        start_mark: mark.into(),
    }
}

fn slice(name: &str, version: u64, entries: Vec<Entry>) -> Slice {
    Slice {
        name: name.into(),
        version,
        entries,
    }
}

fn listing(version: u64, slices: Vec<Slice>) -> News {
    News::Listing { version, slices }
}

fn told(steps: &[Step]) -> Vec<(EndpointListKind, Vec<(String, EndpointState)>)> {
    let tell = |s: &Step| match s {
        Step::Tell { mode, workers } => Some((
            *mode,
            workers
                .iter()
                .map(|w| (w.address.clone(), w.standing))
                .collect(),
        )),
        _ => None,
    };
    steps.iter().filter_map(tell).collect()
}

use EndpointState::{Draining, Gone, InService};

#[test]
fn worker_in_two_slices_has_the_state_of_the_newest() {
    let mut list = Roster::default();
    let a = slice("a", 5, vec![worker(1, InService, "x")]);
    let b = slice("b", 7, vec![worker(1, Draining, "x")]);
    let steps = list.news(0, listing(7, vec![a, b]));
    assert_eq!(
        told(&steps),
        [(
            EndpointListKind::Complete,
            vec![("127.0.0.1:1".into(), Draining)]
        )]
    );
    assert_eq!(steps[1], Step::Watch(7));
    // Equally new: the most cautious.
    let a = slice("a", 9, vec![worker(1, Draining, "x")]);
    let b = slice("b", 9, vec![worker(1, InService, "x")]);
    let steps = list.news(0, listing(9, vec![a, b]));
    assert_eq!(told(&steps)[0].1[0].1, Draining);
}

#[test]
fn empty_endpoint_list_is_accepted() {
    let mut list = Roster::default();
    list.news(
        0,
        listing(5, vec![slice("a", 5, vec![worker(1, InService, "x")])]),
    );
    assert_eq!(
        told(&list.news(0, listing(6, vec![]))),
        [(EndpointListKind::Complete, vec![])]
    );
}

#[test]
fn repeated_or_older_watch_events_change_nothing() {
    let mut list = Roster::default();
    list.news(
        0,
        listing(5, vec![slice("a", 5, vec![worker(1, InService, "x")])]),
    );
    let drains = News::Changed(slice("a", 8, vec![worker(1, Draining, "x")]));
    assert_eq!(told(&list.news(0, drains.clone()))[0].1[0].1, Draining);
    assert!(list.news(0, drains).is_empty());
    assert!(
        list.news(
            0,
            News::Changed(slice("a", 6, vec![worker(1, InService, "x")]))
        )
        .is_empty()
    );
    assert!(
        list.news(
            0,
            News::Removed {
                name: "a".into(),
                version: 7
            }
        )
        .is_empty()
    );
    // A lagging publisher lists an old state: asked again, and believed only when it insists.
    let old = || listing(4, vec![slice("a", 4, vec![worker(1, InService, "x")])]);
    assert_eq!(list.news(0, old()), [Step::List]);
    assert_eq!(list.news(0, old()), [Step::List]);
    assert_eq!(told(&list.news(0, old()))[0].0, EndpointListKind::Complete);
    assert_eq!(list.stale, 5);
}

#[test]
fn worker_restart_is_detected_by_its_start_mark() {
    let mut list = Roster::default();
    list.news(
        0,
        listing(5, vec![slice("a", 5, vec![worker(1, InService, "x")])]),
    );
    let mut again = worker(1, InService, "y");
    again.worker.started = Some(-100 * SECOND);
    let steps = list.news(9 * SECOND, News::Changed(slice("a", 6, vec![again])));
    assert!(
        matches!(&steps[0], Step::Tell { workers, .. } if workers[0].started == Some(9 * SECOND))
    );
}

#[test]
fn ended_watch_resumes_or_relists_when_too_old() {
    let mut list = Roster::default();
    assert_eq!(list.news(0, News::Broken { too_old: false })[1], Step::List);
    list.news(
        0,
        listing(5, vec![slice("a", 5, vec![worker(1, InService, "x")])]),
    );
    list.news(0, News::Bookmark(40));
    assert_eq!(
        list.news(0, News::Broken { too_old: false })[1],
        Step::Watch(40)
    );
    assert_eq!(list.news(0, News::Broken { too_old: true })[1], Step::List);
    let gone = list.news(
        0,
        News::Removed {
            name: "a".into(),
            version: 41,
        },
    );
    assert_eq!(
        told(&gone),
        [(
            EndpointListKind::Changes,
            vec![("127.0.0.1:1".into(), Gone)]
        )]
    );
}

fn delivery(front: u32, tag: u64) -> Delivery {
    Delivery {
        front,
        life: 1,
        tag,
    }
}

#[test]
fn registered_answer_never_changes() {
    let mut registry = AnswerRegistry::default();
    let claim = registry.open(Some(Arc::from("a")), delivery(0, 1), 5, SECOND);
    let first = Answer::bare(Fate::Succeeded, Reason::Worker);
    assert_eq!(registry.give(claim, &first), [delivery(0, 1)]);
    assert!(
        registry
            .give(claim, &Answer::bare(Fate::Errored, Reason::Overdue))
            .is_empty()
    );
    assert_eq!(registry.answer(claim), Some(&first));
    assert!(registry.delivered(delivery(0, 1)).is_none() && registry.is_empty());
}

#[test]
fn records_without_waiters_are_bounded_and_forgotten_ones_are_named() {
    let mut registry = AnswerRegistry::bounded(2);
    for n in 0..4 {
        registry.open(
            Some(Arc::from(format!("{n}"))),
            delivery(0, n),
            n as u32,
            SECOND * n as Micros,
        );
    }
    let lost = registry.front_lost(0);
    assert_eq!((lost.open.len(), lost.forgotten), (4, vec![0, 1]));
    assert_eq!((registry.len(), registry.forgotten), (2, 2));
    registry.expire(SECOND * 2);
    assert_eq!(registry.len(), 1);
}

fn grants(limiter: &mut ConcurrencyLimiter) -> Vec<u32> {
    let mut g = vec![u32::MAX; 2];
    limiter.changed_grants(|f, n| g[f as usize] = n);
    g
}

fn take(limiter: &mut ConcurrencyLimiter, front: u32, bytes: usize) -> bool {
    limiter.admitted(0, front, 0);
    limiter.reserve_body(bytes).is_ok()
}

fn answered(
    limiter: &mut ConcurrencyLimiter,
    now: Micros,
    front: u32,
    n: usize,
    signal: LoadSignal,
) {
    for _ in 0..n {
        limiter.departed(front, 0);
        limiter.ended(
            now,
            EndedInvocation {
                front,
                account: 0,
                body_bytes: 100,
                took: 100_000,
                queued: 0,
                latency_objective: SECOND,
                signal,
            },
        );
        assert!(take(limiter, front, 100));
    }
}

#[test]
fn limit_follows_answers_on_time() {
    let mut limiter = ConcurrencyLimiter::new(&[1.0, 1.0], &[], 1 << 20);
    limiter.front_changed(0, FrontState::Up);
    (0..256).for_each(|_| assert!(take(&mut limiter, 0, 100)));
    let first = limiter.limit();
    answered(&mut limiter, SECOND, 0, 30, LoadSignal::OnTime);
    let grown = limiter.limit();
    assert!(grown > first);
    // Late answers count once in the usual time of one.
    answered(&mut limiter, 2 * SECOND, 0, 30, LoadSignal::Late);
    assert!(limiter.limit() < grown && limiter.limit() > grown * 0.6);
    (3..40).for_each(|s| answered(&mut limiter, s * SECOND, 0, 5, LoadSignal::Late));
    assert!(limiter.limit() <= 32.0);
    // What says nothing of load leaves it as it is.
    let low = limiter.limit();
    answered(&mut limiter, 50 * SECOND, 0, 50, LoadSignal::Neutral);
    assert_eq!(limiter.limit(), low);
}

#[test]
fn fronts_share_the_limit_by_weight_and_lend_unused_capacity() {
    let mut limiter = ConcurrencyLimiter::new(&[3.0, 1.0], &[], 1 << 20);
    limiter.front_changed(0, FrontState::Up);
    limiter.front_changed(1, FrontState::Up);
    (0..300).for_each(|_| assert!(take(&mut limiter, 0, 1) && take(&mut limiter, 1, 1)));
    let both = grants(&mut limiter);
    assert_eq!(both, [192, 64]);
    (0..300).for_each(|_| limiter.departed(0, 0));
    let lent = grants(&mut limiter);
    assert!(lent[1] > 200, "{lent:?}");
    // One that cannot answer takes next to nothing; on stopping nothing is taken.
    limiter.front_changed(1, FrontState::Blocked);
    assert_eq!(grants(&mut limiter)[1], 1);
    limiter.stop();
    assert_eq!(grants(&mut limiter), [0, 0]);
}

#[test]
fn bodies_beyond_the_memory_limit_are_rejected() {
    let mut limiter = ConcurrencyLimiter::new(&[1.0, 1.0], &[], 1_000);
    limiter.front_changed(0, FrontState::Up);
    assert!(take(&mut limiter, 0, 600) && !take(&mut limiter, 0, 600));
    assert_eq!(limiter.body_bytes(), 600);
    assert!(grants(&mut limiter)[0] <= 12, "no more than still fit");
}

#[test]
fn flooding_party_is_capped_for_the_one_that_suffers() {
    let mut shares = FairShare::new(&[2.0, 1.0]);
    let limit = 100.0;
    (0..90).for_each(|_| shares.admitted(0, 0));
    (0..5).for_each(|_| shares.admitted(0, 1));
    (0..20 * 90).for_each(|n| shares.arrived(n * SECOND / 90, 0));
    let caps = |shares: &FairShare| (shares.cap(0, limit), shares.cap(1, limit));
    // Its own trouble caps nobody, nor does lateness by one's own work, nor one who feels no crowding itself.
    shares.ended(0, 1, limit, 1, CrowdingSignal::Crowded);
    shares.ended(0, 1, limit, 1, CrowdingSignal::Neutral);
    assert_eq!(caps(&shares), (limit, limit));
    (0..4).for_each(|_| shares.ended(0, 0, limit, 1, CrowdingSignal::Crowded));
    assert_eq!(caps(&shares), (limit, limit));
    shares.ended(0, 1, limit, 1, CrowdingSignal::Crowded);
    assert_eq!(caps(&shares), (72.0, limit));
    // One burst is one sign.
    shares.ended(1, 1, limit, 1, CrowdingSignal::Crowded);
    assert_eq!(caps(&shares), (72.0, limit));
    (1..20).for_each(|n| shares.ended(n * SECOND, 1, limit, 1, CrowdingSignal::Crowded));
    assert_eq!(
        shares.cap(0, limit),
        10.0,
        "as much, for its weight, as the one that suffers"
    );
    // It comes back with timely answers, and at last is free.
    (0..6000).for_each(|_| shares.ended(20 * SECOND, 0, limit, 1, CrowdingSignal::OnTime));
    assert_eq!(caps(&shares), (limit, limit));
}

/// Symptom: one front's function fails for ever, and the other is strangled for it.
#[test]
fn party_on_time_is_not_capped() {
    let mut shares = FairShare::new(&[1.0, 1.0]);
    (0..50).for_each(|_| shares.admitted(0, 0));
    shares.admitted(0, 1);
    for n in 0..200 {
        shares.ended(n * SECOND, 0, 100.0, 1, CrowdingSignal::OnTime);
        shares.ended(n * SECOND, 1, 100.0, 1, CrowdingSignal::Crowded);
    }
    assert_eq!(shares.cap(0, 100.0), 100.0);
}

/// Symptom: a flood is given up at once and fills no lane, yet uses up what all are allowed.
#[test]
fn flooding_party_is_paced_by_its_own_successes() {
    let mut shares = FairShare::new(&[1.0, 1.0]);
    let ms = SECOND / 1000;
    let (mut entered, mut turned) = (0, 0);
    for n in 0..4_000_i64 {
        let now = n * ms;
        // The one comes 500 times a second, of which 100 succeed; the other 20 times.
        shares.arrived(now, 0);
        if shares.lacks_credit(now, 0) {
            turned += 1;
        } else {
            shares.admitted(now, 0);
            shares.departed(0);
            entered += 1;
            let signal = if entered % 5 == 0 {
                CrowdingSignal::OnTime
            } else {
                CrowdingSignal::Crowded
            };
            shares.ended(now, 0, 100.0, ms, signal);
        }
        if n % 50 == 0 {
            shares.arrived(now, 1);
            assert!(
                !shares.lacks_credit(now, 1),
                "who comes seldom waits for nothing"
            );
            shares.admitted(now, 1);
            shares.departed(1);
            let signal = if n < 2_000 && n % 200 == 0 {
                CrowdingSignal::Crowded
            } else {
                CrowdingSignal::OnTime
            };
            shares.ended(now, 1, 100.0, ms, signal);
        }
    }
    // With a fifth of successes, what each lets in fades to the few of each second.
    assert!(
        turned > 3_000 && entered > 20,
        "{entered} entered, {turned} did not"
    );
    // Nobody has suffered for two seconds: all is free again.
    assert!(!shares.lacks_credit(4_100 * ms, 0));
}

/// Symptom: in a cold start all come alike and wait for loads, and one pays for it.
#[test]
fn party_that_arrives_no_more_often_is_capped_only_for_much_more_in_flight() {
    let mut shares = FairShare::new(&[1.0, 1.0]);
    (0..40).for_each(|n| shares.arrived(n, n as usize % 2));
    (0..9).for_each(|_| shares.admitted(0, 0));
    (0..5).for_each(|_| shares.admitted(0, 1));
    (0..8).for_each(|_| shares.ended(40, 0, 100.0, 1, CrowdingSignal::NearlyCrowded));
    shares.ended(40, 1, 100.0, 1, CrowdingSignal::NearlyCrowded);
    assert_eq!(
        (shares.cap(0, 100.0), shares.lacks_credit(40, 0)),
        (100.0, false)
    );
    (0..3).for_each(|_| shares.admitted(0, 0));
    shares.ended(41, 1, 100.0, 1, CrowdingSignal::NearlyCrowded);
    assert_eq!(
        shares.cap(0, 100.0),
        10.0,
        "twelve are more than twice five"
    );
}

/// Symptom: a flood that is held to its pace has little out, suffers, and makes the quiet one pay.
#[test]
fn paced_party_causes_no_cap_on_others() {
    let mut shares = FairShare::new(&[1.0, 1.0]);
    (0..40).for_each(|n| shares.arrived(n, 0));
    (0..8).for_each(|_| shares.ended(40, 0, 100.0, 1, CrowdingSignal::Crowded));
    (0..20).for_each(|_| shares.admitted(0, 1));
    (0..8).for_each(|_| shares.ended(40, 1, 100.0, 1, CrowdingSignal::Crowded));
    (0..20).for_each(|_| shares.admitted(41, 0));
    assert!(shares.lacks_credit(41, 0), "it is held");
    (0..20).for_each(|_| shares.departed(0));
    shares.ended(42, 0, 100.0, 1, CrowdingSignal::Crowded);
    assert_eq!(shares.cap(1, 100.0), 100.0);
}

/// What succeeds enters as it came, though somebody else suffers.
#[test]
fn successful_party_is_not_slowed_by_pacing() {
    let mut shares = FairShare::new(&[1.0, 1.0]);
    let (ms, mut turned) = (SECOND / 1000, 0);
    (0..8).for_each(|_| shares.ended(0, 0, 100.0, ms, CrowdingSignal::Crowded));
    for n in 0..3_000_i64 {
        let now = n * 2 * ms;
        shares.arrived(now, 0);
        if shares.lacks_credit(now, 0) {
            turned += 1;
        } else {
            shares.admitted(now, 0);
            shares.departed(0);
            shares.ended(now, 0, 100.0, ms, CrowdingSignal::OnTime);
        }
        if n % 100 == 0 {
            shares.arrived(now, 1);
            shares.ended(now, 1, 100.0, ms, CrowdingSignal::Crowded);
        }
    }
    assert!(turned < 300, "{turned}");
}

fn request_at(in_flight: u32) -> (Knock, Occupancy) {
    let request = Knock {
        trigger: 0,
        account: 0,
        waited: 0,
        bytes: 10,
        here: 0,
        unread: 0,
        left: 0,
        left_ago: 0,
        connections: 1,
        unread_bytes: 0,
    };
    let party = PartyOccupancy {
        in_flight,
        cap: 100.0,
        lacks_credit: false,
    };
    let occupancy = Occupancy {
        limit: 100.0,
        in_flight,
        front: party,
        account: party,
        free_bytes: 1000,
        usual: 100_000,
        stopping: false,
    };
    (request, occupancy)
}

fn rejection(entry: Let) -> Option<Short> {
    match entry {
        Let::Enter => None,
        Let::TurnedAway { why, come_back } => {
            assert!((100_000..=10_000_000).contains(&come_back), "{come_back}");
            Some(why)
        }
    }
}

#[test]
fn each_admission_bound_has_its_rejection_reason() {
    let mut control = AdmissionControl::default();
    let mut ask = |request: Knock, occupancy: Occupancy| {
        rejection(control.decide(0, &request, 1.0, &occupancy))
    };
    let (request, occupancy) = request_at(60);
    assert_eq!(ask(request, occupancy), None);
    assert_eq!(
        ask(
            request,
            Occupancy {
                stopping: true,
                ..occupancy
            }
        ),
        Some(Short::Stopping)
    );
    assert_eq!(
        ask(
            request,
            Occupancy {
                free_bytes: 9,
                ..occupancy
            }
        ),
        Some(Short::Memory)
    );
    assert_eq!(
        ask(
            Knock {
                unread_bytes: 991,
                ..request
            },
            occupancy
        ),
        Some(Short::Memory)
    );
    assert_eq!(
        ask(
            request,
            Occupancy {
                in_flight: 100,
                ..occupancy
            }
        ),
        Some(Short::All)
    );
    assert_eq!(
        ask(
            request,
            Occupancy {
                front: PartyOccupancy {
                    in_flight: 50,
                    cap: 50.0,
                    lacks_credit: false,
                },
                ..occupancy
            }
        ),
        Some(Short::Front)
    );
    assert_eq!(
        ask(
            request,
            Occupancy {
                account: PartyOccupancy {
                    in_flight: 50,
                    cap: 50.0,
                    lacks_credit: false,
                },
                ..occupancy
            }
        ),
        Some(Short::Account)
    );
    assert_eq!(
        ask(
            request,
            Occupancy {
                front: PartyOccupancy {
                    lacks_credit: true,
                    ..occupancy.front
                },
                ..occupancy
            }
        ),
        Some(Short::Front)
    );
    assert_eq!(
        ask(
            request,
            Occupancy {
                account: PartyOccupancy {
                    lacks_credit: true,
                    ..occupancy.account
                },
                ..occupancy
            }
        ),
        Some(Short::Account)
    );
    // Half of all is used: of 10 connections each may have 20; one that reads nothing gets nothing.
    let many = Knock {
        connections: 10,
        here: 20,
        ..request
    };
    assert_eq!(ask(many, occupancy), Some(Short::Connection));
    assert_eq!(
        ask(
            many,
            Occupancy {
                in_flight: 40,
                ..occupancy
            }
        ),
        None
    );
    assert_eq!(
        ask(
            Knock {
                unread: 32,
                ..request
            },
            occupancy
        ),
        Some(Short::Connection)
    );
    assert_eq!(
        ask(
            Knock {
                left: 24,
                ..request
            },
            occupancy
        ),
        Some(Short::Connection)
    );
    assert_eq!(
        ask(
            Knock {
                left: 24,
                left_ago: SECOND,
                ..request
            },
            occupancy
        ),
        None
    );
    assert_eq!(
        ask(
            Knock {
                left: 23,
                ..request
            },
            occupancy
        ),
        None
    );
}

#[test]
fn requests_worth_less_or_late_are_rejected_first() {
    let mut control = AdmissionControl::default();
    let dear = TriggerType {
        billed_value: 5.0,
        ..world::triggers()[0]
    };
    let cheap = world::triggers()[0];
    let (request, occupancy) = request_at(80);
    let worth = |t: &TriggerType, waited| admission_control::worth(t, waited, 0);
    (0..100).for_each(|n| {
        control.decide(
            0,
            &request,
            worth(if n % 2 == 0 { &dear } else { &cheap }, 0),
            &request_at(10).1,
        );
    });
    assert_eq!(
        rejection(control.decide(0, &request, worth(&dear, 0), &occupancy)),
        None
    );
    assert_eq!(
        rejection(control.decide(0, &request, worth(&cheap, 0), &request_at(90).1)),
        Some(Short::Worth)
    );
    // The dear one that comes too late earns a tenth: less than the cheap one in time.
    assert_eq!(
        rejection(control.decide(0, &request, worth(&dear, SECOND), &request_at(90).1)),
        Some(Short::Worth)
    );
    assert_eq!(
        rejection(control.decide(0, &request, worth(&dear, 0), &request_at(99).1)),
        None
    );
}

#[test]
fn retry_after_grows_with_rejections_and_is_spread() {
    let mut control = AdmissionControl::default();
    let (request, occupancy) = request_at(100);
    (0..20).for_each(|_| control.answered(0));
    let advice = |control: &mut AdmissionControl, n: usize| {
        (0..n)
            .filter_map(|_| match control.decide(1, &request, 1.0, &occupancy) {
                Let::TurnedAway { come_back, .. } => Some(come_back),
                Let::Enter => None,
            })
            .collect::<Vec<_>>()
    };
    let few = advice(&mut control, 10);
    let many = advice(&mut control, 100);
    let mean = |of: &[Micros]| of.iter().sum::<Micros>() / of.len() as Micros;
    assert!(mean(&many[90..]) > 3 * mean(&few), "{few:?} {many:?}");
    assert!(many.iter().collect::<std::collections::HashSet<_>>().len() > 50);
}

/// Symptom: a slow store makes all wait, and whoever has more out is capped for it.
#[test]
fn wait_for_a_load_is_distinguished_from_wait_for_a_lane() {
    let mut delay = QueueingDelay::default();
    assert!(!delay.waited_for_load(1, 0), "nothing was ordered");
    delay.load_ended(5, 1);
    assert!(!delay.waited_for_load(1, 0), "nothing of it was out");
    delay.load_ordered(1);
    delay.load_ordered(1);
    delay.load_ended(10, 1);
    assert!(
        delay.waited_for_load(1, 20) && !delay.waited_for_load(2, 0),
        "another is still out, of this function"
    );
    delay.load_ended(30, 1);
    assert!(delay.waited_for_load(1, 30) && !delay.waited_for_load(1, 31));
    // A copy stood while it waited: more copies were on order, but lanes were short.
    delay.warm_copy_found(25, 1);
    assert!(delay.waited_for_load(1, 26) && !delay.waited_for_load(1, 25));
    delay.forget(1);
    assert!(!delay.waited_for_load(1, 0));
}

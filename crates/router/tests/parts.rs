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
fn a_worker_named_twice_counts_as_the_newest_slice_says() {
    let mut r = Roster::default();
    let a = slice("a", 5, vec![worker(1, InService, "x")]);
    let b = slice("b", 7, vec![worker(1, Draining, "x")]);
    let steps = r.news(0, listing(7, vec![a, b]));
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
    let steps = r.news(0, listing(9, vec![a, b]));
    assert_eq!(told(&steps)[0].1[0].1, Draining);
}

#[test]
fn an_empty_list_is_believed() {
    let mut r = Roster::default();
    r.news(
        0,
        listing(5, vec![slice("a", 5, vec![worker(1, InService, "x")])]),
    );
    assert_eq!(
        told(&r.news(0, listing(6, vec![]))),
        [(EndpointListKind::Complete, vec![])]
    );
}

#[test]
fn what_repeats_or_goes_back_in_time_changes_nothing() {
    let mut r = Roster::default();
    r.news(
        0,
        listing(5, vec![slice("a", 5, vec![worker(1, InService, "x")])]),
    );
    let drains = News::Changed(slice("a", 8, vec![worker(1, Draining, "x")]));
    assert_eq!(told(&r.news(0, drains.clone()))[0].1[0].1, Draining);
    assert!(r.news(0, drains).is_empty());
    assert!(
        r.news(
            0,
            News::Changed(slice("a", 6, vec![worker(1, InService, "x")]))
        )
        .is_empty()
    );
    assert!(
        r.news(
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
    assert_eq!(r.news(0, old()), [Step::List]);
    assert_eq!(r.news(0, old()), [Step::List]);
    assert_eq!(told(&r.news(0, old()))[0].0, EndpointListKind::Complete);
    assert_eq!(r.stale, 5);
}

#[test]
fn a_restart_is_seen_by_its_mark_whatever_the_clock_says() {
    let mut r = Roster::default();
    r.news(
        0,
        listing(5, vec![slice("a", 5, vec![worker(1, InService, "x")])]),
    );
    let mut again = worker(1, InService, "y");
    again.worker.started = Some(-100 * SECOND);
    let steps = r.news(9 * SECOND, News::Changed(slice("a", 6, vec![again])));
    assert!(
        matches!(&steps[0], Step::Tell { workers, .. } if workers[0].started == Some(9 * SECOND))
    );
}

#[test]
fn a_broken_watch_goes_on_from_where_it_was_and_lists_anew_when_too_old() {
    let mut r = Roster::default();
    assert_eq!(r.news(0, News::Broken { too_old: false })[1], Step::List);
    r.news(
        0,
        listing(5, vec![slice("a", 5, vec![worker(1, InService, "x")])]),
    );
    r.news(0, News::Bookmark(40));
    assert_eq!(
        r.news(0, News::Broken { too_old: false })[1],
        Step::Watch(40)
    );
    assert_eq!(r.news(0, News::Broken { too_old: true })[1], Step::List);
    let gone = r.news(
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
fn a_given_answer_never_changes() {
    let mut c = AnswerRegistry::default();
    let claim = c.open(Some(Arc::from("a")), delivery(0, 1), 5, SECOND);
    let first = Answer::bare(Fate::Succeeded, Reason::Worker);
    assert_eq!(c.give(claim, &first), [delivery(0, 1)]);
    assert!(
        c.give(claim, &Answer::bare(Fate::Errored, Reason::Overdue))
            .is_empty()
    );
    assert_eq!(c.answer(claim), Some(&first));
    assert!(c.delivered(delivery(0, 1)).is_none() && c.is_empty());
}

#[test]
fn claims_without_holder_are_bounded_and_name_what_was_forgotten() {
    let mut c = AnswerRegistry::bounded(2);
    for n in 0..4 {
        c.open(
            Some(Arc::from(format!("{n}"))),
            delivery(0, n),
            n as u32,
            SECOND * n as Micros,
        );
    }
    let lost = c.front_lost(0);
    assert_eq!((lost.open.len(), lost.forgotten), (4, vec![0, 1]));
    assert_eq!((c.len(), c.forgotten), (2, 2));
    c.expire(SECOND * 2);
    assert_eq!(c.len(), 1);
}

fn grants(a: &mut ConcurrencyLimiter) -> Vec<u32> {
    let mut g = vec![u32::MAX; 2];
    a.changed_grants(|f, n| g[f as usize] = n);
    g
}

fn take(a: &mut ConcurrencyLimiter, front: u32, bytes: usize) -> bool {
    a.admitted(0, front, 0);
    a.reserve_body(bytes).is_ok()
}

fn answered(a: &mut ConcurrencyLimiter, now: Micros, front: u32, n: usize, signal: LoadSignal) {
    for _ in 0..n {
        a.departed(front, 0);
        a.ended(
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
        assert!(take(a, front, 100));
    }
}

#[test]
fn the_limit_follows_what_is_answered_in_time() {
    let mut a = ConcurrencyLimiter::new(&[1.0, 1.0], &[], 1 << 20);
    a.front_changed(0, FrontState::Up);
    (0..256).for_each(|_| assert!(take(&mut a, 0, 100)));
    let first = a.limit();
    answered(&mut a, SECOND, 0, 30, LoadSignal::OnTime);
    let grown = a.limit();
    assert!(grown > first);
    // Late answers count once in the usual time of one.
    answered(&mut a, 2 * SECOND, 0, 30, LoadSignal::Late);
    assert!(a.limit() < grown && a.limit() > grown * 0.6);
    (3..40).for_each(|s| answered(&mut a, s * SECOND, 0, 5, LoadSignal::Late));
    assert!(a.limit() <= 32.0);
    // What says nothing of load leaves it as it is.
    let low = a.limit();
    answered(&mut a, 50 * SECOND, 0, 50, LoadSignal::Neutral);
    assert_eq!(a.limit(), low);
}

#[test]
fn fronts_share_by_weight_and_lend_what_they_do_not_use() {
    let mut a = ConcurrencyLimiter::new(&[3.0, 1.0], &[], 1 << 20);
    a.front_changed(0, FrontState::Up);
    a.front_changed(1, FrontState::Up);
    (0..300).for_each(|_| assert!(take(&mut a, 0, 1) && take(&mut a, 1, 1)));
    let both = grants(&mut a);
    assert_eq!(both, [192, 64]);
    (0..300).for_each(|_| a.departed(0, 0));
    let lent = grants(&mut a);
    assert!(lent[1] > 200, "{lent:?}");
    // One that cannot answer takes next to nothing; on stopping nothing is taken.
    a.front_changed(1, FrontState::Blocked);
    assert_eq!(grants(&mut a)[1], 1);
    a.stop();
    assert_eq!(grants(&mut a), [0, 0]);
}

#[test]
fn bodies_beyond_memory_are_not_taken() {
    let mut a = ConcurrencyLimiter::new(&[1.0, 1.0], &[], 1_000);
    a.front_changed(0, FrontState::Up);
    assert!(take(&mut a, 0, 600) && !take(&mut a, 0, 600));
    assert_eq!(a.body_bytes(), 600);
    assert!(grants(&mut a)[0] <= 12, "no more than still fit");
}

#[test]
fn who_floods_pays_for_who_suffers() {
    let mut s = FairShare::new(&[2.0, 1.0]);
    let limit = 100.0;
    (0..90).for_each(|_| s.admitted(0, 0));
    (0..5).for_each(|_| s.admitted(0, 1));
    (0..20 * 90).for_each(|n| s.arrived(n * SECOND / 90, 0));
    let caps = |s: &FairShare| (s.cap(0, limit), s.cap(1, limit));
    // Its own trouble caps nobody, nor does lateness by one's own work, nor one who feels no crowding itself.
    s.ended(0, 1, limit, 1, CrowdingSignal::Crowded);
    s.ended(0, 1, limit, 1, CrowdingSignal::Neutral);
    assert_eq!(caps(&s), (limit, limit));
    (0..4).for_each(|_| s.ended(0, 0, limit, 1, CrowdingSignal::Crowded));
    assert_eq!(caps(&s), (limit, limit));
    s.ended(0, 1, limit, 1, CrowdingSignal::Crowded);
    assert_eq!(caps(&s), (72.0, limit));
    // One burst is one sign.
    s.ended(1, 1, limit, 1, CrowdingSignal::Crowded);
    assert_eq!(caps(&s), (72.0, limit));
    (1..20).for_each(|n| s.ended(n * SECOND, 1, limit, 1, CrowdingSignal::Crowded));
    assert_eq!(
        s.cap(0, limit),
        10.0,
        "as much, for its weight, as the one that suffers"
    );
    // It comes back with timely answers, and at last is free.
    (0..6000).for_each(|_| s.ended(20 * SECOND, 0, limit, 1, CrowdingSignal::OnTime));
    assert_eq!(caps(&s), (limit, limit));
}

/// Symptom: one front's function fails for ever, and the other is strangled for it.
#[test]
fn who_is_in_time_pays_nothing() {
    let mut s = FairShare::new(&[1.0, 1.0]);
    (0..50).for_each(|_| s.admitted(0, 0));
    s.admitted(0, 1);
    for n in 0..200 {
        s.ended(n * SECOND, 0, 100.0, 1, CrowdingSignal::OnTime);
        s.ended(n * SECOND, 1, 100.0, 1, CrowdingSignal::Crowded);
    }
    assert_eq!(s.cap(0, 100.0), 100.0);
}

/// Symptom: a flood is given up at once and fills no lane, yet uses up what all are allowed.
#[test]
fn a_flood_is_held_to_the_pace_of_its_own_successes() {
    let mut s = FairShare::new(&[1.0, 1.0]);
    let ms = SECOND / 1000;
    let (mut entered, mut turned) = (0, 0);
    for n in 0..4_000_i64 {
        let now = n * ms;
        // The one comes 500 times a second, of which 100 succeed; the other 20 times.
        s.arrived(now, 0);
        if s.lacks_credit(now, 0) {
            turned += 1;
        } else {
            s.admitted(now, 0);
            s.departed(0);
            entered += 1;
            let signal = if entered % 5 == 0 {
                CrowdingSignal::OnTime
            } else {
                CrowdingSignal::Crowded
            };
            s.ended(now, 0, 100.0, ms, signal);
        }
        if n % 50 == 0 {
            s.arrived(now, 1);
            assert!(
                !s.lacks_credit(now, 1),
                "who comes seldom waits for nothing"
            );
            s.admitted(now, 1);
            s.departed(1);
            let signal = if n < 2_000 && n % 200 == 0 {
                CrowdingSignal::Crowded
            } else {
                CrowdingSignal::OnTime
            };
            s.ended(now, 1, 100.0, ms, signal);
        }
    }
    // With a fifth of successes, what each lets in fades to the few of each second.
    assert!(
        turned > 3_000 && entered > 20,
        "{entered} entered, {turned} did not"
    );
    // Nobody has suffered for two seconds: all is free again.
    assert!(!s.lacks_credit(4_100 * ms, 0));
}

/// Symptom: in a cold start all come alike and wait for loads, and one pays for it.
#[test]
fn who_comes_no_more_often_pays_only_for_much_more_out() {
    let mut s = FairShare::new(&[1.0, 1.0]);
    (0..40).for_each(|n| s.arrived(n, n as usize % 2));
    (0..9).for_each(|_| s.admitted(0, 0));
    (0..5).for_each(|_| s.admitted(0, 1));
    (0..8).for_each(|_| s.ended(40, 0, 100.0, 1, CrowdingSignal::NearlyCrowded));
    s.ended(40, 1, 100.0, 1, CrowdingSignal::NearlyCrowded);
    assert_eq!((s.cap(0, 100.0), s.lacks_credit(40, 0)), (100.0, false));
    (0..3).for_each(|_| s.admitted(0, 0));
    s.ended(41, 1, 100.0, 1, CrowdingSignal::NearlyCrowded);
    assert_eq!(s.cap(0, 100.0), 10.0, "twelve are more than twice five");
}

/// Symptom: a flood that is held to its pace has little out, suffers, and makes the quiet one pay.
#[test]
fn who_is_held_to_its_pace_charges_nobody() {
    let mut s = FairShare::new(&[1.0, 1.0]);
    (0..40).for_each(|n| s.arrived(n, 0));
    (0..8).for_each(|_| s.ended(40, 0, 100.0, 1, CrowdingSignal::Crowded));
    (0..20).for_each(|_| s.admitted(0, 1));
    (0..8).for_each(|_| s.ended(40, 1, 100.0, 1, CrowdingSignal::Crowded));
    (0..20).for_each(|_| s.admitted(41, 0));
    assert!(s.lacks_credit(41, 0), "it is held");
    (0..20).for_each(|_| s.departed(0));
    s.ended(42, 0, 100.0, 1, CrowdingSignal::Crowded);
    assert_eq!(s.cap(1, 100.0), 100.0);
}

/// What succeeds enters as it came, though somebody else suffers.
#[test]
fn who_succeeds_at_its_pace_is_not_held_up() {
    let mut s = FairShare::new(&[1.0, 1.0]);
    let (ms, mut turned) = (SECOND / 1000, 0);
    (0..8).for_each(|_| s.ended(0, 0, 100.0, ms, CrowdingSignal::Crowded));
    for n in 0..3_000_i64 {
        let now = n * 2 * ms;
        s.arrived(now, 0);
        if s.lacks_credit(now, 0) {
            turned += 1;
        } else {
            s.admitted(now, 0);
            s.departed(0);
            s.ended(now, 0, 100.0, ms, CrowdingSignal::OnTime);
        }
        if n % 100 == 0 {
            s.arrived(now, 1);
            s.ended(now, 1, 100.0, ms, CrowdingSignal::Crowded);
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

fn turned(entry: Let) -> Option<Short> {
    match entry {
        Let::Enter => None,
        Let::TurnedAway { why, come_back } => {
            assert!((100_000..=10_000_000).contains(&come_back), "{come_back}");
            Some(why)
        }
    }
}

#[test]
fn each_bound_of_the_door_has_its_cause() {
    let mut d = AdmissionControl::default();
    let mut ask =
        |request: Knock, occupancy: Occupancy| turned(d.decide(0, &request, 1.0, &occupancy));
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
fn the_cheaper_and_the_lost_are_turned_away_first() {
    let mut d = AdmissionControl::default();
    let dear = TriggerType {
        billed_value: 5.0,
        ..world::triggers()[0]
    };
    let cheap = world::triggers()[0];
    let (request, occupancy) = request_at(80);
    let worth = |t: &TriggerType, waited| admission_control::worth(t, waited, 0);
    (0..100).for_each(|n| {
        d.decide(
            0,
            &request,
            worth(if n % 2 == 0 { &dear } else { &cheap }, 0),
            &request_at(10).1,
        );
    });
    assert_eq!(
        turned(d.decide(0, &request, worth(&dear, 0), &occupancy)),
        None
    );
    assert_eq!(
        turned(d.decide(0, &request, worth(&cheap, 0), &request_at(90).1)),
        Some(Short::Worth)
    );
    // The dear one that comes too late earns a tenth: less than the cheap one in time.
    assert_eq!(
        turned(d.decide(0, &request, worth(&dear, SECOND), &request_at(90).1)),
        Some(Short::Worth)
    );
    assert_eq!(
        turned(d.decide(0, &request, worth(&dear, 0), &request_at(99).1)),
        None
    );
}

#[test]
fn advice_grows_with_those_turned_away_and_is_spread() {
    let mut d = AdmissionControl::default();
    let (request, occupancy) = request_at(100);
    (0..20).for_each(|_| d.answered(0));
    let advice = |d: &mut AdmissionControl, n: usize| {
        (0..n)
            .filter_map(|_| match d.decide(1, &request, 1.0, &occupancy) {
                Let::TurnedAway { come_back, .. } => Some(come_back),
                Let::Enter => None,
            })
            .collect::<Vec<_>>()
    };
    let few = advice(&mut d, 10);
    let many = advice(&mut d, 100);
    let mean = |of: &[Micros]| of.iter().sum::<Micros>() / of.len() as Micros;
    assert!(mean(&many[90..]) > 3 * mean(&few), "{few:?} {many:?}");
    assert!(many.iter().collect::<std::collections::HashSet<_>>().len() > 50);
}

/// Symptom: a slow store makes all wait, and whoever has more out is capped for it.
#[test]
fn a_wait_for_a_load_is_told_from_a_wait_for_a_lane() {
    let mut w = QueueingDelay::default();
    assert!(!w.waited_for_load(1, 0), "nothing was ordered");
    w.load_ended(5, 1);
    assert!(!w.waited_for_load(1, 0), "nothing of it was out");
    w.load_ordered(1);
    w.load_ordered(1);
    w.load_ended(10, 1);
    assert!(
        w.waited_for_load(1, 20) && !w.waited_for_load(2, 0),
        "another is still out, of this function"
    );
    w.load_ended(30, 1);
    assert!(w.waited_for_load(1, 30) && !w.waited_for_load(1, 31));
    // A copy stood while it waited: more copies were on order, but lanes were short.
    w.warm_copy_found(25, 1);
    assert!(w.waited_for_load(1, 26) && !w.waited_for_load(1, 25));
    w.forget(1);
    assert!(!w.waited_for_load(1, 0));
}

//! Tests of the shares of the limit that parties may use when one of them floods the router.

use cedarpulley::interface::Micros;
use cedarpulley_router::fair_share::{CrowdingSignal, FairShare};

const SECOND: Micros = 1_000_000;

#[test]
fn flooding_party_is_capped_for_the_one_that_suffers() {
    let mut shares = FairShare::new(&[2.0, 1.0]);
    let limit = 100.0;
    (0..90).for_each(|_| shares.admitted(0, 0));
    (0..5).for_each(|_| shares.admitted(0, 1));
    (0..20 * 90).for_each(|n| shares.arrived(n * SECOND / 90, 0));
    let caps = |shares: &FairShare| (shares.cap(0, limit), shares.cap(1, limit));
    // No party is capped because of its own crowding, because of an invocation that gives no signal, or while it is not
    // crowded itself.
    shares.ended(0, 1, limit, 1, CrowdingSignal::Crowded);
    shares.ended(0, 1, limit, 1, CrowdingSignal::Neutral);
    assert_eq!(caps(&shares), (limit, limit));
    (0..4).for_each(|_| shares.ended(0, 0, limit, 1, CrowdingSignal::Crowded));
    assert_eq!(caps(&shares), (limit, limit));
    shares.ended(0, 1, limit, 1, CrowdingSignal::Crowded);
    assert_eq!(caps(&shares), (72.0, limit));
    // The answers to one burst count as one signal.
    shares.ended(1, 1, limit, 1, CrowdingSignal::Crowded);
    assert_eq!(caps(&shares), (72.0, limit));
    (1..20).for_each(|n| shares.ended(n * SECOND, 1, limit, 1, CrowdingSignal::Crowded));
    assert_eq!(
        shares.cap(0, limit),
        10.0,
        "as many, relative to its weight, as the crowded-out party"
    );
    // The cap rises with timely answers and is removed in the end.
    (0..6000).for_each(|_| shares.ended(20 * SECOND, 0, limit, 1, CrowdingSignal::OnTime));
    assert_eq!(caps(&shares), (limit, limit));
}

/// Guards against a cap on a front whose answers are on time, while the function of another front always fails.
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

/// Guards against a flood whose invocations are rejected at once: they occupy no lane, but use up the quota that all
/// parties share.
#[test]
fn flooding_party_is_paced_by_its_own_successes() {
    let mut shares = FairShare::new(&[1.0, 1.0]);
    let millisecond = SECOND / 1000;
    let (mut admitted, mut refused) = (0, 0);
    for n in 0..4_000_i64 {
        let now = n * millisecond;
        // Party 0 floods: its invocations arrive 1000 times per second, and a fifth of the admitted ones succeeds. Those of
        // party 1 arrive 20 times per second.
        shares.arrived(now, 0);
        if shares.lacks_credit(now, 0) {
            refused += 1;
        } else {
            shares.admitted(now, 0);
            shares.departed(0);
            admitted += 1;
            let signal = if admitted % 5 == 0 {
                CrowdingSignal::OnTime
            } else {
                CrowdingSignal::Crowded
            };
            shares.ended(now, 0, 100.0, millisecond, signal);
        }
        if n % 50 == 0 {
            shares.arrived(now, 1);
            assert!(
                !shares.lacks_credit(now, 1),
                "a party whose invocations arrive rarely is not paced"
            );
            shares.admitted(now, 1);
            shares.departed(1);
            let signal = if n < 2_000 && n % 200 == 0 {
                CrowdingSignal::Crowded
            } else {
                CrowdingSignal::OnTime
            };
            shares.ended(now, 1, 100.0, millisecond, signal);
        }
    }
    // If only a fifth succeeds, the credit for successes decreases until only the credit per second is left.
    assert!(
        refused > 3_000 && admitted > 20,
        "{admitted} admitted, {refused} refused"
    );
    // No other party was crowded out for two seconds, so the pacing has ended.
    assert!(!shares.lacks_credit(4_100 * millisecond, 0));
}

/// Guards against a cap on one of several equally busy parties: after a cold start, the invocations of all of them wait for
/// loads.
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
        "twelve in flight are more than twice five"
    );
}

/// Guards against a cap caused by a paced party: a flooding party that is paced has few invocations in flight and is
/// crowded out, which would restrict the other party.
#[test]
fn paced_party_causes_no_cap_on_others() {
    let mut shares = FairShare::new(&[1.0, 1.0]);
    (0..40).for_each(|n| shares.arrived(n, 0));
    (0..8).for_each(|_| shares.ended(40, 0, 100.0, 1, CrowdingSignal::Crowded));
    (0..20).for_each(|_| shares.admitted(0, 1));
    (0..8).for_each(|_| shares.ended(40, 1, 100.0, 1, CrowdingSignal::Crowded));
    (0..20).for_each(|_| shares.admitted(41, 0));
    assert!(shares.lacks_credit(41, 0), "it is paced");
    (0..20).for_each(|_| shares.departed(0));
    shares.ended(42, 0, 100.0, 1, CrowdingSignal::Crowded);
    assert_eq!(shares.cap(1, 100.0), 100.0);
}

/// A paced party whose invocations all succeed is hardly slowed down, even while another party is crowded out.
#[test]
fn successful_party_is_not_slowed_by_pacing() {
    let mut shares = FairShare::new(&[1.0, 1.0]);
    let (millisecond, mut refused) = (SECOND / 1000, 0);
    (0..8).for_each(|_| shares.ended(0, 0, 100.0, millisecond, CrowdingSignal::Crowded));
    for n in 0..3_000_i64 {
        let now = n * 2 * millisecond;
        shares.arrived(now, 0);
        if shares.lacks_credit(now, 0) {
            refused += 1;
        } else {
            shares.admitted(now, 0);
            shares.departed(0);
            shares.ended(now, 0, 100.0, millisecond, CrowdingSignal::OnTime);
        }
        if n % 100 == 0 {
            shares.arrived(now, 1);
            shares.ended(now, 1, 100.0, millisecond, CrowdingSignal::Crowded);
        }
    }
    assert!(refused < 300, "{refused} refused");
}

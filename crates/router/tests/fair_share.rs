//! The parts of the limit that parties may use when one of them floods.

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

//! Tests which member polls a worker, at which interval, and within which rate limit.

use std::sync::Arc;

use cedarpulley_reconcile::polling::{PollInterval, PollResult, PollerRank, RateLimit};

fn members(n: usize) -> Vec<Arc<str>> {
    (0..n).map(|m| Arc::from(format!("r{m}"))).collect()
}

/// Guards against workers that no member or several members poll, against an uneven distribution, and against a
/// departing member that changes the poller of workers that it did not poll.
#[test]
fn one_member_polls_each_worker_and_a_departure_moves_only_its_workers() {
    let all = members(9);
    let first = |id: &str, of: &[Arc<str>]| {
        of.iter()
            .position(|m| PollerRank::of(id, m, of).is_first())
            .expect("one member is first")
    };
    let mut polled_workers = [0; 9];
    for w in 0..900 {
        let id = format!("w{w}");
        let mut ranks: Vec<u32> = all
            .iter()
            .map(|m| PollerRank::of(&id, m, &all).position())
            .collect();
        let poller = first(&id, &all);
        polled_workers[poller] += 1;
        ranks.sort();
        assert_eq!(ranks, (0..9).collect::<Vec<u32>>());
        let remaining: Vec<Arc<str>> = all.iter().filter(|m| &***m != "r4").cloned().collect();
        let new_poller = &remaining[first(&id, &remaining)];
        assert!(
            poller == 4 || *new_poller == all[poller],
            "only the workers that r4 polled move"
        );
    }
    assert!(
        polled_workers.iter().all(|n| (60..150).contains(n)),
        "{polled_workers:?}"
    );
}

/// Guards against an interval that does not adapt to the poll results, and against a bucket that exceeds its rate.
#[test]
fn the_interval_follows_the_results_and_the_rate_limit_refills() {
    let mut interval = PollInterval::new(800);
    let results = [
        PollResult::Clean,
        PollResult::Clean,
        PollResult::Clean,
        PollResult::Drifted,
        PollResult::Clean,
        PollResult::Changed,
        PollResult::Unresponsive,
    ];
    assert_eq!(
        results.map(|w| interval.next_interval(w)),
        [1600, 3200, 3200, 100, 200, 800, 3200]
    );
    let mut limit = RateLimit::new(0, 4.0);
    assert_eq!((0..9).filter(|_| limit.try_take(0)).count(), 4);
    assert_eq!(limit.next_token_at(), 250_000);
    assert!(!limit.try_take(200_000) && limit.try_take(250_000) && !limit.try_take(250_000));
    assert_eq!((0..9).filter(|_| limit.try_take(90_000_000)).count(), 4);
}

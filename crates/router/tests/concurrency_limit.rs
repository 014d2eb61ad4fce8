//! The limit on invocations in flight, and its division among fronts.

use cedarpulley::interface::Micros;
use cedarpulley_router::concurrency_limit::{
    ConcurrencyLimiter, EndedInvocation, FrontState, LoadSignal,
};

const SECOND: Micros = 1_000_000;

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

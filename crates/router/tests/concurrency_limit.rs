//! Tests of the limit on invocations in flight and its division among fronts.

use cedarpulley::interface::Micros;
use cedarpulley_router::concurrency_limit::{
    ConcurrencyLimiter, EndedInvocation, FrontState, LoadSignal,
};

const SECOND: Micros = 1_000_000;

/// The changed grants of two fronts; `u32::MAX` for a front whose grant did not change.
fn grants(limiter: &mut ConcurrencyLimiter) -> Vec<u32> {
    let mut grants = vec![u32::MAX; 2];
    limiter.changed_grants(|front, grant| grants[front as usize] = grant);
    grants
}

/// Admits an invocation; returns whether there is memory for its body.
fn admit(limiter: &mut ConcurrencyLimiter, front: u32, bytes: usize) -> bool {
    limiter.admitted(0, front, 0);
    limiter.reserve_body(bytes).is_ok()
}

/// Ends `count` invocations with this signal and admits a new one in place of each.
fn replace_ended(
    limiter: &mut ConcurrencyLimiter,
    now: Micros,
    front: u32,
    count: usize,
    signal: LoadSignal,
) {
    for _ in 0..count {
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
        assert!(admit(limiter, front, 100));
    }
}

#[test]
fn limit_follows_answers_on_time() {
    let mut limiter = ConcurrencyLimiter::new(&[1.0, 1.0], &[], 1 << 20);
    limiter.front_changed(0, FrontState::Up);
    (0..256).for_each(|_| assert!(admit(&mut limiter, 0, 100)));
    let first = limiter.limit();
    replace_ended(&mut limiter, SECOND, 0, 30, LoadSignal::OnTime);
    let grown = limiter.limit();
    assert!(grown > first);
    // The limit is reduced only once in the average latency of an answer.
    replace_ended(&mut limiter, 2 * SECOND, 0, 30, LoadSignal::Late);
    assert!(limiter.limit() < grown && limiter.limit() > grown * 0.6);
    (3..40).for_each(|s| replace_ended(&mut limiter, s * SECOND, 0, 5, LoadSignal::Late));
    assert!(limiter.limit() <= 32.0);
    // Invocations that give no signal leave the limit unchanged.
    let low = limiter.limit();
    replace_ended(&mut limiter, 50 * SECOND, 0, 50, LoadSignal::Neutral);
    assert_eq!(limiter.limit(), low);
}

#[test]
fn fronts_share_the_limit_by_weight_and_lend_unused_capacity() {
    let mut limiter = ConcurrencyLimiter::new(&[3.0, 1.0], &[], 1 << 20);
    limiter.front_changed(0, FrontState::Up);
    limiter.front_changed(1, FrontState::Up);
    (0..300).for_each(|_| assert!(admit(&mut limiter, 0, 1) && admit(&mut limiter, 1, 1)));
    let both = grants(&mut limiter);
    assert_eq!(both, [192, 64]);
    (0..300).for_each(|_| limiter.departed(0, 0));
    let lent = grants(&mut limiter);
    assert!(lent[1] > 200, "{lent:?}");
    // A front that cannot send answers is granted one invocation; during a shutdown nothing is granted.
    limiter.front_changed(1, FrontState::Blocked);
    assert_eq!(grants(&mut limiter)[1], 1);
    limiter.stop();
    assert_eq!(grants(&mut limiter), [0, 0]);
}

#[test]
fn bodies_beyond_the_memory_limit_are_rejected() {
    let mut limiter = ConcurrencyLimiter::new(&[1.0, 1.0], &[], 1_000);
    limiter.front_changed(0, FrontState::Up);
    assert!(admit(&mut limiter, 0, 600) && !admit(&mut limiter, 0, 600));
    assert_eq!(limiter.body_bytes(), 600);
    assert!(
        grants(&mut limiter)[0] <= 12,
        "no more is granted than fits into memory"
    );
}

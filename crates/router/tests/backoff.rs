//! Tests of the delays between attempts to reconnect.

use cedarpulley::interface::Micros;
use cedarpulley_router::backoff::Backoff;

// The private constants of the module, in microseconds.
const INITIAL_DELAY: Micros = 100_000;
const MAX_DELAY: Micros = 5_000_000;
const MIN_STABLE_DURATION: Micros = 2_000_000;

#[test]
fn delays_grow_are_randomised_and_are_reset_by_a_success() {
    let mut backoff = Backoff::new(1);
    let delays: Vec<Micros> = (0..10).map(|_| backoff.next_delay(0)).collect();
    assert!(
        delays[0] <= INITIAL_DELAY
            && delays
                .iter()
                .all(|delay| (INITIAL_DELAY / 2..=MAX_DELAY).contains(delay))
    );
    assert!(delays[9] >= MAX_DELAY / 2);
    assert!(backoff.next_delay(MIN_STABLE_DURATION) <= INITIAL_DELAY);
    assert!(backoff.next_delay(0) <= 2 * INITIAL_DELAY);
    let mut short = Backoff::with_max_delay(1, 3 * INITIAL_DELAY);
    assert!((0..10).all(|_| short.next_delay(0) <= 3 * INITIAL_DELAY));
    assert_ne!(Backoff::new(2).next_delay(0), delays[0]);
}

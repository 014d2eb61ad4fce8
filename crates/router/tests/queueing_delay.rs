//! Tests of the distinction between waiting for a load and waiting for a lane.

use cedarpulley_router::queueing_delay::QueueingDelay;

/// Guards against a cap on a party whose invocations are late only because loads are slow: with a slow model store all
/// parties wait, and the party with more invocations in flight would be capped.
#[test]
fn wait_for_a_load_is_distinguished_from_wait_for_a_lane() {
    let mut delay = QueueingDelay::default();
    assert!(!delay.waited_for_load(1, 0), "no load was ordered");
    delay.load_ended(5, 1);
    assert!(
        !delay.waited_for_load(1, 0),
        "no load order of the function was in flight"
    );
    delay.load_ordered(1);
    delay.load_ordered(1);
    delay.load_ended(10, 1);
    assert!(
        delay.waited_for_load(1, 20) && !delay.waited_for_load(2, 0),
        "another load order of this function is still in flight"
    );
    delay.load_ended(30, 1);
    assert!(delay.waited_for_load(1, 30) && !delay.waited_for_load(1, 31));
    // A warm copy was found while the invocation waited: more copies were being loaded, but lanes were short.
    delay.warm_copy_found(25, 1);
    assert!(delay.waited_for_load(1, 26) && !delay.waited_for_load(1, 25));
    delay.forget(1);
    assert!(!delay.waited_for_load(1, 0));
}

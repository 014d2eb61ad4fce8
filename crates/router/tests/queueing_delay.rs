//! What a queued invocation waited for.

use cedarpulley_router::queueing_delay::QueueingDelay;

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

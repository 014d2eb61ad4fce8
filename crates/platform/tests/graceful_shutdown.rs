//! Tests which requests a router accepts after the signal to stop, and when it exits.

use cedarpulley_platform::graceful_shutdown::GracefulShutdown;

/// Microseconds in a millisecond.
const MILLISECOND: i64 = 1_000;
/// Microseconds in a second.
const SECOND: i64 = 1_000_000;

#[test]
fn graceful_shutdown_accepts_requests_for_a_while_and_exits_when_all_are_answered() {
    let mut shutdown = GracefulShutdown::new(2 * SECOND);
    assert!(
        !shutdown.has_begun()
            && shutdown.accepts(90 * SECOND)
            && !shutdown.may_exit(90 * SECOND, false)
    );
    shutdown.begin(SECOND);
    shutdown.begin(5 * SECOND);
    assert!(
        shutdown.has_begun()
            && shutdown.accepts(1_700 * MILLISECOND)
            && !shutdown.accepts(1_701 * MILLISECOND)
    );
    assert!(
        !shutdown.may_exit(1_700 * MILLISECOND, false)
            && shutdown.may_exit(1_701 * MILLISECOND, false)
    );
    // The process waits for unfinished requests, but only for a limited time.
    assert!(
        !shutdown.may_exit(4_200 * MILLISECOND, true)
            && shutdown.may_exit(4_201 * MILLISECOND, true)
    );
}

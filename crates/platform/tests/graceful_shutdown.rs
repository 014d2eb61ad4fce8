//! What a router still accepts after the signal to stop, and when it exits.

use cedarpulley_platform::graceful_shutdown::GracefulShutdown;

const MS: i64 = 1_000;
const SECOND: i64 = 1_000_000;

#[test]
fn graceful_shutdown_accepts_crossing_requests_and_exits_when_all_are_answered() {
    let mut shutdown = GracefulShutdown::new(2 * SECOND);
    assert!(
        !shutdown.begun()
            && shutdown.accepts(90 * SECOND)
            && !shutdown.may_exit(90 * SECOND, false)
    );
    shutdown.begin(SECOND);
    shutdown.begin(5 * SECOND);
    assert!(shutdown.begun() && shutdown.accepts(1_700 * MS) && !shutdown.accepts(1_701 * MS));
    assert!(!shutdown.may_exit(1_700 * MS, false) && shutdown.may_exit(1_701 * MS, false));
    // It waits for unfinished requests, but only for a limited time.
    assert!(!shutdown.may_exit(4_200 * MS, true) && shutdown.may_exit(4_201 * MS, true));
}

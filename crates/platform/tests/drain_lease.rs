//! Tests of the lease for drains: until when the endpoint list holds every drain that counts as announced.

use cedarpulley::interface::{DrainLease, Micros};
use cedarpulley_platform::discovery::{
    DiscoveryLoss, DrainLeaseTracker, FIRST_POLL_WAIT, POLL_WAIT,
};

const SECOND: Micros = 1_000_000;
const MILLISECOND: Micros = 1_000;

fn lease(until: Micros, discovery_lost: bool) -> DrainLease {
    DrainLease {
        until,
        discovery_lost,
    }
}

/// The state after a response at 10 s and the next poll, which asked for a wait of one second.
fn with_open_poll() -> DrainLeaseTracker {
    let mut tracker = DrainLeaseTracker::default();
    tracker.poll_sent(9 * SECOND, MILLISECOND);
    tracker.response_applied(10 * SECOND);
    assert_eq!(tracker.lease(), lease(12 * SECOND, false));
    tracker.poll_sent(10 * SECOND, SECOND);
    tracker
}

/// Guards against a refusal within the time in which the protocol lets the list be relied on, against relying on it any
/// longer, and against a lease that grows with each failed poll of an outage.
#[test]
fn the_lease_ends_when_announcements_count_as_received() {
    use DiscoveryLoss::{Broken, Moved, Silent};
    let lost_at = 10 * SECOND + 700 * MILLISECOND;
    for (loss, lost_at, until) in [
        (Broken, lost_at, lost_at + 2 * SECOND),
        // A break that is noticed late may have been a silence before.
        (Broken, 12 * SECOND, 13 * SECOND),
        (Silent, 11_500 * MILLISECOND, 13 * SECOND),
        (Moved, lost_at, lost_at + 4 * SECOND),
    ] {
        let mut tracker = with_open_poll();
        tracker.lost(loss, lost_at);
        assert_eq!(tracker.lease(), lease(until, true), "{loss:?}");
        for further_loss in [Broken, Silent, Moved] {
            tracker.poll_sent(14 * SECOND, MILLISECOND);
            tracker.lost(further_loss, 15 * SECOND);
            assert_eq!(tracker.lease(), lease(until, true), "{further_loss:?}");
        }
        tracker.response_applied(20 * SECOND);
        assert_eq!(tracker.lease(), lease(22 * SECOND, false));
    }
}

/// Guards against a list of any age that is relied on at the start, before discovery has been heard.
#[test]
fn a_router_that_has_not_heard_of_discovery_has_no_lease() {
    let mut tracker = DrainLeaseTracker::default();
    tracker.poll_sent(0, MILLISECOND);
    tracker.lost(DiscoveryLoss::Silent, SECOND);
    assert_eq!(tracker.lease(), lease(Micros::MIN, true));
}

/// Guards against refusals for the whole wait of a poll after the process stood still.
#[test]
fn a_response_that_is_read_late_is_followed_by_a_poll_without_a_wait() {
    let tracker = with_open_poll();
    assert_eq!(tracker.next_poll_wait(12 * SECOND - 1), POLL_WAIT);
    assert_eq!(tracker.next_poll_wait(12 * SECOND), FIRST_POLL_WAIT);
}

//! Tests of the lease for drains: until when the endpoint list holds every drain that counts as announced.

use cedarpulley::interface::Micros;
use cedarpulley_platform::discovery::{DiscoveryLoss, DrainLease, FIRST_POLL_WAIT, POLL_WAIT};

const SECOND: Micros = 1_000_000;
const MILLISECOND: Micros = 1_000;

/// A lease whose connection answered at 10 s and was sent the next poll then, with a wait of one second.
fn with_open_poll() -> DrainLease {
    let mut lease = DrainLease::default();
    lease.poll_sent(9 * SECOND, MILLISECOND);
    lease.response_applied(10 * SECOND);
    assert_eq!((lease.until(), lease.is_lost()), (12 * SECOND, false));
    lease.poll_sent(10 * SECOND, SECOND);
    lease
}

/// Guards against a refusal within the time in which the protocol lets the list be relied on, and against relying on it
/// any longer.
#[test]
fn the_lease_ends_when_announcements_count_as_received() {
    let broken_at = 10 * SECOND + 700 * MILLISECOND;
    for (loss, lost_at, until) in [
        (DiscoveryLoss::Broken, broken_at, broken_at + 2 * SECOND),
        // A break that is noticed late may have been a silence before.
        (DiscoveryLoss::Broken, 12 * SECOND, 13 * SECOND),
        (DiscoveryLoss::Silent, 11_500 * MILLISECOND, 13 * SECOND),
        (DiscoveryLoss::Moved, broken_at, broken_at + 4 * SECOND),
    ] {
        let mut lease = with_open_poll();
        lease.lost(loss, lost_at);
        assert_eq!((lease.until(), lease.is_lost()), (until, true), "{loss:?}");
    }
}

/// Guards against a lease that grows with each failed poll of an outage.
#[test]
fn further_losses_in_an_outage_do_not_extend_the_lease() {
    let mut lease = with_open_poll();
    lease.lost(DiscoveryLoss::Broken, 10 * SECOND);
    for loss in [
        DiscoveryLoss::Broken,
        DiscoveryLoss::Silent,
        DiscoveryLoss::Moved,
    ] {
        lease.poll_sent(11 * SECOND, MILLISECOND);
        lease.lost(loss, 11 * SECOND);
        assert_eq!(lease.until(), 12 * SECOND, "{loss:?}");
    }
    lease.response_applied(20 * SECOND);
    assert_eq!((lease.until(), lease.is_lost()), (22 * SECOND, false));
}

/// Guards against a list of any age that is relied on at the start, before discovery has been heard.
#[test]
fn a_router_that_has_not_heard_of_discovery_has_no_lease() {
    let mut lease = DrainLease::default();
    lease.poll_sent(0, MILLISECOND);
    lease.lost(DiscoveryLoss::Silent, SECOND);
    assert_eq!((lease.until(), lease.is_lost()), (Micros::MIN, true));
}

/// Guards against refusals for the whole wait of a poll after the process stood still.
#[test]
fn a_response_that_is_read_late_is_followed_by_a_poll_without_a_wait() {
    let lease = with_open_poll();
    assert_eq!(lease.next_poll_wait(12 * SECOND - 1), POLL_WAIT);
    assert_eq!(lease.next_poll_wait(12 * SECOND), FIRST_POLL_WAIT);
}

//! Runs the scenarios that `benches/sharing_cost.rs` measures, at sizes that are small enough for a test. Guards
//! against scenarios that no longer reach their expected outcome, and against traffic that grows with the number of
//! groups.

mod common;
mod virtual_time;

use virtual_time::{bytes_sent, catch_up, work_beside_open};

#[test]
fn a_restarted_member_catches_up_with_all_records() {
    const RECORDS: u64 = 10_000;
    for answer in [0, 200] {
        for (lacking, with_store) in [(1, true), (100, true), (1_000, true), (RECORDS, false)] {
            catch_up(RECORDS, lacking, with_store, answer);
        }
    }
}

#[test]
fn a_new_invocation_is_dispatched_beside_many_open_ones() {
    for open in [0, 100, 1_000] {
        work_beside_open(open);
    }
}

/// A second group of three members adds no traffic for the members of the first group.
#[test]
fn traffic_of_a_router_does_not_grow_with_the_fleet() {
    let (one_group, two_groups) = (bytes_sent(3, 1, 10), bytes_sent(3, 2, 10));
    assert!(
        one_group > 0.0 && (two_groups / one_group - 1.0).abs() < 0.01,
        "{one_group} and {two_groups}"
    );
}

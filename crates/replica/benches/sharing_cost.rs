//! Measures the cost of replication in virtual time and prints the figures for `docs/measurements.md`.
//!
//! `cargo bench -p cedarpulley-replica --bench sharing_cost [catch_up|bytes_sent|open]` runs one measurement, or all of
//! them if none is named.

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/virtual_time/mod.rs"]
mod virtual_time;

use virtual_time::{CatchUp, bytes_sent, catch_up, work_beside_open};

/// Prints the cost of a restart with different numbers of missing records.
fn print_catch_up() {
    const RECORDS: u64 = 100_000;
    for answer in [0, 200] {
        for (lacking, with_store) in [
            (1, true),
            (100, true),
            (1_000, true),
            (10_000, true),
            (RECORDS, false),
        ] {
            let CatchUp {
                waited_ms,
                work_ms,
                sent_mb,
            } = catch_up(RECORDS, lacking, with_store, answer);
            println!(
                "{RECORDS} records with {answer} bytes of answer, {lacking} lacking: {waited_ms:.0} ms of virtual time, \
                 {work_ms:.0} ms of work, {sent_mb:.2} MB"
            );
        }
    }
}

/// Prints the traffic of a router by the size of the fleet and of the groups.
fn print_bytes_sent() {
    for (members, fleets) in [(3, [30, 90, 300]), (5, [30, 90, 300])] {
        for routers in fleets {
            for per_second in [1, 10] {
                let each = bytes_sent(members, routers / members, per_second);
                println!(
                    "{routers} routers in groups of {members}, {per_second}/s each: {each:.0} bytes a router a second"
                );
            }
        }
    }
    for members in [3, 5, 9, 15] {
        let (idle, busy) = (bytes_sent(members, 1, 1), bytes_sent(members, 1, 11));
        println!(
            "groups of {members}: {:.0} bytes an invocation",
            (busy - idle) / 10.0
        );
    }
}

/// Prints the processor time of one invocation by the number of open invocations.
fn print_work_beside_open() {
    for open in [0, 100, 1_000, 10_000] {
        println!(
            "{open} open: {:.0} us of all members' work an invocation",
            work_beside_open(open)
        );
    }
}

fn main() {
    let measurements: [(&str, fn()); 3] = [
        ("catch_up", print_catch_up),
        ("bytes_sent", print_bytes_sent),
        ("open", print_work_beside_open),
    ];
    // `cargo bench` passes additional options, which are ignored.
    let named = std::env::args().skip(1).find(|a| !a.starts_with("--"));
    for (name, print) in measurements {
        if named.as_deref().is_none_or(|n| n == name) {
            print();
        }
    }
}

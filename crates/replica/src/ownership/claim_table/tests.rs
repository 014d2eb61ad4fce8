//! Tests of the index of due times with random events. Claims change in many places; a change that bypasses the index
//! would leave a due time that is missing or wrong, and a request would be resent or abandoned at the wrong time.

use cedarpulley_membership::{Group, Member};

use cedarpulley::interface::Micros;

use crate::ownership::Durability;
use crate::store::Key;
use crate::{Input, Replica, ReplicaSettings, hashed};

/// After every event the index must return the same next due time as a scan of all claims.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases in order"
)]
fn next_due_time_is_the_earliest_of_all_claims() {
    let member = |n: usize| Member {
        name: format!("r{n}"),
        region: String::new(),
        weight: 1,
        witness: false,
    };
    let group = Group::new("g", (0..3).map(member).collect(), "r0").expect("a group");
    let retention = 20_000_000;
    let mut replica = Replica::new(
        0,
        group,
        ReplicaSettings::with_defaults(retention, 500_000, 1),
        7,
        None,
    );
    // At this time the member votes, because everything that it may have lost has expired.
    let (mut now, mut outputs) = (2 * retention, Vec::new());
    replica.handle(now, Input::Tick, &mut outputs);
    let (mut with_due_time, mut without_due_time) = (0, 0);
    for n in 0..20_000u64 {
        let draw = hashed(n);
        let (key, dispatch) = (Key::from(format!("k{}", draw % 40)), draw >> 8 & 3);
        let redelivered = draw >> 16 & 1 == 1;
        let input = match draw >> 32 & 15 {
            0..4 => Input::Announce {
                key,
                durability: Durability::Majority,
                redelivered,
            },
            4..8 => Input::RequestDispatch {
                key,
                dispatch,
                deduplication_scope: 0,
                without_majority: redelivered,
            },
            8 => Input::DispatchEnded {
                key,
                dispatch,
                may_have_run: redelivered,
            },
            9 => Input::Abandoned { key },
            10 => Input::DeliveryFinal { key },
            11 => Input::MemberChanged {
                member: 1,
                nonce: 8,
                alive: redelivered,
            },
            12 => Input::MemberChanged {
                member: 2,
                nonce: 9,
                alive: true,
            },
            _ => Input::Tick,
        };
        now += (draw >> 20 & 0xffff) as Micros / 4;
        replica.handle(now, input, &mut outputs);
        let earliest = replica
            .claims()
            .map(|(_, c)| c.due())
            .min()
            .unwrap_or(Micros::MAX);
        assert_eq!(replica.ownership().next_due(), earliest, "after event {n}");
        with_due_time += u64::from(earliest < Micros::MAX);
        without_due_time += u64::from(earliest == Micros::MAX);
    }
    assert!(
        with_due_time > 1_000 && without_due_time > 0,
        "{with_due_time} events with a due time, {without_due_time} without"
    );
}

//! Choices that expire, on members with disks: messages are lost, duplicated and reordered, power is cut, disks are lost.
//! Guards against two values of one key that are in use at the same time. `random_faults.rs` plays choices that outlive
//! each run.

mod common;

use bytes::Bytes;
use cedarpulley_replica::{Input, Outcome, SafetyCheck};
use common::{MILLISECOND, RETENTION, ReplicaGroup};
use proptest::prelude::*;

const CHOICE: &str = "s\nchoice";
/// Retention of the choice in microseconds: longer than that of invocations, and shorter than a test case.
const CHOICE_RETENTION: i64 = 16_000 * MILLISECOND;
/// For how long after its request a proposer uses a chosen value, in microseconds.
const USE_PERIOD: i64 = CHOICE_RETENTION - CHOICE_RETENTION / 8;

/// An operation of a test case. A message is chosen by its number modulo the number of messages in transit.
#[derive(Clone, Debug)]
enum Op {
    /// A member proposes one of two values.
    Proposes(usize, bool),
    /// A message is delivered; it stays in transit if true.
    Delivers(usize, bool),
    /// A message is lost.
    Loses(usize),
    /// The time advances, by tenths of a second.
    Waits(u8),
    /// A member writes its changes to its disk.
    Writes(usize),
    /// A member restarts with what is on its disk, or without its disk if true.
    Restarts(usize, bool),
    /// All members consider each other alive, and all messages and disk writes succeed for a second.
    Settles,
}

fn any_op() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => (0..3usize, any::<bool>()).prop_map(|(r, value)| Op::Proposes(r, value)),
        12 => (0..64usize, any::<bool>()).prop_map(|(n, stays)| Op::Delivers(n, stays)),
        3 => (0..64usize).prop_map(Op::Loses),
        6 => (1..60u8).prop_map(Op::Waits),
        8 => (0..3usize).prop_map(Op::Writes),
        1 => (0..3usize, any::<bool>()).prop_map(|(r, is_lost)| Op::Restarts(r, is_lost)),
        2 => Just(Op::Settles),
    ]
}

/// A value in use at one proposer.
struct ValueInUse {
    value: Bytes,
    proposer: usize,
    from: i64,
    until: i64,
}

/// A group, and the values that its members use.
struct Run {
    group: ReplicaGroup,
    /// When each member's present proposal was requested.
    requested_at: [Option<i64>; 3],
    uses: Vec<ValueInUse>,
}

impl Run {
    fn new(without: Option<SafetyCheck>) -> Run {
        let mut group = ReplicaGroup::persistent(3, without);
        (0..3).for_each(|r| write(&mut group, r));
        Run {
            group,
            requested_at: [None; 3],
            uses: Vec::new(),
        }
    }

    fn execute(&mut self, op: &Op) {
        let group = &mut self.group;
        let in_transit = group.in_transit.len();
        match *op {
            Op::Proposes(r, value) => self.propose(r, value),
            Op::Delivers(..) | Op::Loses(_) if in_transit == 0 => {}
            Op::Delivers(n, stays) => deliver(group, n % in_transit, stays),
            Op::Loses(n) => drop(group.in_transit.remove(n % in_transit)),
            Op::Waits(tenths) => {
                group.now += i64::from(tenths) * 100 * MILLISECOND;
                (0..3).for_each(|r| group.handle(r, Input::Tick));
            }
            Op::Writes(r) => write(group, r),
            Op::Restarts(r, is_lost) => self.restart(r, is_lost),
            Op::Settles => {
                (0..9).for_each(|n| group.report_member(n / 3, n % 3, true));
                for _ in 0..20 {
                    group.advance(50 * MILLISECOND);
                    (0..3).for_each(|r| write(group, r));
                }
            }
        }
        self.record_outcomes();
    }

    fn propose(&mut self, r: usize, value: bool) {
        if self.requested_at[r].is_some() {
            return;
        }
        self.requested_at[r] = Some(self.group.now);
        let value = if value { "2" } else { "1" };
        let input = Input::Choose {
            key: CHOICE.into(),
            value: Bytes::from_static(value.as_bytes()),
            retention: CHOICE_RETENTION,
        };
        self.group.handle(r, input);
    }

    /// Ends the process of a member, and with it the use of a value there.
    fn restart(&mut self, r: usize, is_lost: bool) {
        let now = self.group.now;
        let uses = self.uses.iter_mut().filter(|one| one.proposer == r);
        uses.for_each(|one| one.until = one.until.min(now));
        self.requested_at[r] = None;
        self.group.outcomes[r].clear();
        match is_lost {
            true => {
                self.group.disks[r].clear();
                self.group.pending_batches[r] = None;
                self.group.crash(r);
                self.group.start(r, None);
            }
            false => self.group.restart_from_disk(r),
        }
    }

    fn record_outcomes(&mut self) {
        for r in 0..3 {
            for outcome in self.group.outcomes[r].remove(CHOICE).into_iter().flatten() {
                let requested_at = self.requested_at[r].take();
                if let (Outcome::Chosen(value), Some(requested_at)) = (outcome, requested_at) {
                    self.uses.push(ValueInUse {
                        value,
                        proposer: r,
                        from: self.group.now,
                        until: requested_at + USE_PERIOD,
                    });
                }
            }
        }
    }

    /// Checks that no two values are in use at the same time.
    fn check(&self) -> Result<(), String> {
        for (n, a) in self.uses.iter().enumerate() {
            for b in &self.uses[n + 1..] {
                let overlaps = a.from.max(b.from) < a.until.min(b.until);
                if a.value != b.value && overlaps {
                    return Err(format!("two values from {} and {}", a.from, b.from));
                }
            }
        }
        Ok(())
    }
}

fn write(group: &mut ReplicaGroup, r: usize) {
    group.commit_batch(r);
    group.start_batch(r);
    group.commit_batch(r);
}

fn deliver(group: &mut ReplicaGroup, n: usize, stays: bool) {
    let (from, to, nonce, sent, message) = match stays {
        true => group.in_transit[n].clone(),
        false => group.in_transit.remove(n),
    };
    let transit = group.now - sent;
    let input = Input::MessageReceived {
        from,
        nonce,
        transit,
        message,
    };
    group.handle(to as usize, input);
}

/// Runs the operations, `without` a safety check if given.
fn play(ops: &[Op], without: Option<SafetyCheck>) -> Result<(), String> {
    let mut run = Run::new(without);
    for op in ops {
        run.execute(op);
        run.check()?;
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn no_two_values_of_a_key_are_in_use_at_the_same_time(ops in proptest::collection::vec(any_op(), 1..120)) {
        prop_assert_eq!(play(&ops, None), Ok(()));
    }
}

/// Two members lose their disks and choose another value after the retention of invocations, while the third one is cut
/// off and uses the first value.
fn choose_without_disks(without: Option<SafetyCheck>) -> Result<(), String> {
    let mut run = Run::new(without);
    run.execute(&Op::Proposes(2, false));
    run.execute(&Op::Settles);
    run.execute(&Op::Restarts(0, true));
    run.execute(&Op::Restarts(1, true));
    for at in [0, RETENTION + RETENTION / 4] {
        run.group.now += at;
        run.execute(&Op::Waits(1));
        run.execute(&Op::Proposes(0, true));
        for _ in 0..20 {
            (0..2).for_each(|r| write(&mut run.group, r));
            let is_connected = |from, to| from != 2 && to != 2;
            run.group
                .advance_delivering(50 * MILLISECOND, |from, to, _| is_connected(from, to));
        }
        run.record_outcomes();
    }
    run.check()
}

#[test]
fn members_that_choose_too_early_after_a_lost_disk_are_detected() {
    assert_eq!(choose_without_disks(None), Ok(()));
    assert!(choose_without_disks(Some(SafetyCheck::ChoicesOutliveRecovery)).is_err());
}

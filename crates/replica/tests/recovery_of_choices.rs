//! Recovery of votes on choices, which are retained for longer than invocations. Guards against members that lost their
//! stores and choose a second value while a router still uses the first one.

mod common;

use bytes::Bytes;
use cedarpulley_replica::{Input, Key, NoMajorityReason, Outcome, RecordCopy, RecoveryState};
use common::{MILLISECOND, RETENTION, ReplicaGroup};

const CHOICE: &str = "s\nchoice";
/// Retention of the choice, in microseconds: much longer than that of invocations.
const CHOICE_RETENTION: i64 = 100 * RETENTION;

fn chosen(value: &'static str) -> Option<Outcome> {
    Some(Outcome::Chosen(Bytes::from_static(value.as_bytes())))
}

/// A member proposes a value for the choice; the outcome after a time in which all messages are delivered.
fn choose(w: &mut ReplicaGroup, r: usize, value: &'static str) -> Option<Outcome> {
    let input = Input::Choose {
        key: CHOICE.into(),
        value: Bytes::from_static(value.as_bytes()),
        retention: CHOICE_RETENTION,
    };
    w.handle(r, input);
    w.advance(100 * MILLISECOND);
    let outcomes = w.outcomes[r].get(CHOICE);
    outcomes.and_then(|outcomes| outcomes.last().cloned())
}

/// A group whose members 0 and 1 have chosen a value, lost their stores and recovered by time, while member 2 was down.
/// Returns the records of member 2, too.
fn two_members_without_stores() -> (ReplicaGroup, Vec<(Key, RecordCopy)>) {
    let mut w = ReplicaGroup::new(3, None);
    assert_eq!(choose(&mut w, 0, "1"), chosen("1"));
    let records = w.crash(2);
    for r in 0..2 {
        w.crash(r);
        w.start(r, None);
        w.report_member(r, 2, false);
    }
    w.advance(2 * RETENTION);
    (w, records)
}

#[test]
fn members_that_lost_their_stores_choose_nothing_while_another_may_remember() {
    let (mut w, records) = two_members_without_stores();
    for r in 0..2 {
        assert!(w.replica(r).can_vote() && !w.replica(r).can_vote_on_choices());
        assert_eq!(w.replica(r).members_unreached_by_recovery(), [2]);
    }
    let refused = Some(Outcome::NoMajority(NoMajorityReason::Recovering));
    assert_eq!(choose(&mut w, 1, "2"), refused);
    // Member 2 returns with its store and the chosen value.
    w.start(2, Some(records));
    w.advance(5_000 * MILLISECOND);
    assert_eq!(choose(&mut w, 1, "2"), chosen("1"));
}

#[test]
fn a_member_that_crashes_again_before_it_has_recovered_does_not_count_as_one_that_kept_its_store() {
    let mut w = ReplicaGroup::persistent(3, None);
    let write_all = |w: &mut ReplicaGroup| {
        (0..3).for_each(|r| w.start_batch(r));
        (0..3).for_each(|r| w.commit_batch(r));
    };
    w.disks[2].clear();
    w.crash(2);
    w.start(2, None);
    write_all(&mut w);
    w.restart_from_disk(2);
    assert_eq!(w.replica(2).recovery_state(), RecoveryState::Empty);
    w.advance(1_000 * MILLISECOND);
    assert_eq!(w.replica(2).recovery_state(), RecoveryState::Complete);
    write_all(&mut w);
    w.restart_from_disk(2);
    assert_eq!(w.replica(2).recovery_state(), RecoveryState::Restored);
}

#[test]
fn members_without_stores_choose_again_once_all_have_said_so() {
    let (mut w, _) = two_members_without_stores();
    w.start(2, None);
    // An invocation that an earlier process of member 2 dispatched may still run.
    w.advance(RETENTION / 2);
    assert!((0..3).all(|r| !w.replica(r).can_vote_on_choices()));
    w.advance(RETENTION);
    assert!((0..3).all(|r| w.replica(r).can_vote_on_choices()));
    assert_eq!(choose(&mut w, 1, "2"), chosen("2"));
}

#[test]
fn a_member_that_does_not_remember_choices_is_no_proof_for_another_one() {
    let (mut w, _) = two_members_without_stores();
    w.start(2, None);
    w.report_member(2, 0, false);
    w.advance_delivering(1_000 * MILLISECOND, |from, to, _| from != 0 && to != 0);
    // Member 1 votes on invocations, but tells member 2 that it started without records.
    assert_eq!(w.replica(1).recovery_state(), RecoveryState::Complete);
    assert_eq!(w.replica(2).recovery_state(), RecoveryState::Empty);
    assert_eq!(w.replica(2).members_unreached_by_recovery(), [0]);
}

//! Choices whose records expire. Guards against a member that forgets a promise together with the record, and then
//! votes for a ballot below one that other members have accepted.

mod common;

use bytes::Bytes;
use cedarpulley_replica::{Ballot, Input, Key, Message, Outcome, Record, RecordCopy, SafetyCheck};
use common::{MILLISECOND, RETENTION, ReplicaGroup};

const CHOICE: &str = "s\nchoice";

fn choice_input(value: &'static str) -> Input {
    Input::Choose {
        key: CHOICE.into(),
        value: Bytes::from_static(value.as_bytes()),
        retention: RETENTION,
    }
}

/// A member proposes a value for the choice; the outcome after a time in which all messages are delivered.
fn choose(w: &mut ReplicaGroup, r: usize, value: &'static str) -> Option<Outcome> {
    w.handle(r, choice_input(value));
    w.advance(100 * MILLISECOND);
    let outcomes = w.outcomes[r].get(CHOICE);
    outcomes.and_then(|outcomes| outcomes.last().cloned())
}

/// The highest ballot that a member has promised under the choice.
fn promised(w: &ReplicaGroup, r: usize) -> Ballot {
    match w.replica(r).record(CHOICE) {
        Some(Record::Choice(choice)) => choice.promised,
        _ => panic!("the choice is stored"),
    }
}

/// Whether member 2 promises this ballot to member 0.
fn is_promised(w: &mut ReplicaGroup, ballot: Ballot) -> bool {
    let message = Message::Prepare {
        key: CHOICE.into(),
        ballot,
        lifetime: RETENTION,
    };
    w.in_transit.clear();
    w.receive(2, 0, 0, message);
    w.in_transit
        .iter()
        .any(|(_, _, _, _, message)| matches!(message, Message::Promise { .. }))
}

/// Three members of which each has proposed once, and the ballot of the second proposal.
fn group_with_three_ballots(without: Option<SafetyCheck>) -> (ReplicaGroup, Ballot) {
    let mut w = ReplicaGroup::new(3, without);
    choose(&mut w, 0, "1");
    choose(&mut w, 1, "2");
    let second = promised(&w, 1);
    let third = choose(&mut w, 2, "3");
    assert_eq!(third, Some(Outcome::Chosen(Bytes::from_static(b"1"))));
    assert!(promised(&w, 2) > second);
    (w, second)
}

#[test]
fn a_member_keeps_its_promise_after_the_record_has_expired() {
    let play = |without| {
        let (mut w, second) = group_with_three_ballots(without);
        w.advance(2 * RETENTION);
        assert!(w.replica(2).record(CHOICE).is_none());
        is_promised(&mut w, second)
    };
    assert!(!play(None));
    assert!(play(Some(SafetyCheck::PromiseOutlivesRecord)));
}

#[test]
fn a_restarted_member_keeps_a_promise_whose_record_expired_before_the_crash() {
    let (mut w, second) = group_with_three_ballots(None);
    w.advance(2 * RETENTION);
    let records = w.crash(2);
    w.start(2, Some(records));
    w.advance(500 * MILLISECOND);
    assert!(w.replica(2).can_vote());
    assert!(!is_promised(&mut w, second));
}

#[test]
fn a_restarted_member_keeps_a_promise_whose_record_expired_while_it_was_down() {
    let (mut w, second) = group_with_three_ballots(None);
    let expired = |(key, copy): (Key, RecordCopy)| {
        (
            key,
            RecordCopy {
                expires_in: -1,
                ..copy
            },
        )
    };
    let records: Vec<(Key, RecordCopy)> = w.crash(2).into_iter().map(expired).collect();
    w.start(2, Some(records));
    w.advance_delivering(2 * RETENTION, |_, _, _| false);
    assert!(w.replica(2).can_vote() && w.replica(2).record(CHOICE).is_none());
    assert!(!is_promised(&mut w, second));
}

#[test]
fn a_choice_that_expired_while_its_member_was_down_is_removed_from_the_disk() {
    let mut w = ReplicaGroup::persistent(3, None);
    w.handle(0, choice_input("1"));
    for _ in 0..4 {
        (0..3).for_each(|r| w.start_batch(r));
        (0..3).for_each(|r| w.commit_batch(r));
        w.advance(50 * MILLISECOND);
    }
    let on_disk = w.disks[2].get_mut(CHOICE).expect("the choice is on disk");
    on_disk.expires_in = -1;
    w.restart_from_disk(2);
    w.start_batch(2);
    w.commit_batch(2);
    let keys: Vec<&str> = w.disks[2].keys().map(|key| &**key).collect();
    assert!(!keys.contains(&CHOICE) && keys.len() == 1, "{keys:?}");
}

#[test]
fn a_record_that_is_learned_anew_carries_the_promise_of_the_expired_one() {
    let (mut w, second) = group_with_three_ballots(None);
    let old = w
        .replica(0)
        .copy(w.now, CHOICE)
        .expect("the choice is stored");
    w.advance(2 * RETENTION);
    let Record::Choice(mut choice) = old.record.clone() else {
        panic!("a choice")
    };
    choice.promised = Ballot::default();
    let message = Message::Update {
        key: CHOICE.into(),
        record: RecordCopy {
            record: Record::Choice(choice),
            ..old
        },
    };
    w.receive(2, 0, 0, message);
    assert!(promised(&w, 2) > second);
    assert!(!is_promised(&mut w, second));
}

#[test]
fn a_proposer_below_the_floor_of_the_others_gets_a_majority_with_a_higher_ballot() {
    let mut w = ReplicaGroup::new(3, None);
    // Members 1 and 2 choose a value that expires, while member 0 is cut off.
    for r in [1, 2, 1] {
        w.report_member(r, 0, false);
        w.handle(r, choice_input("1"));
        w.advance_delivering(100 * MILLISECOND, |from, to, _| from != 0 && to != 0);
    }
    let floor = promised(&w, 1);
    w.advance_delivering(2 * RETENTION, |from, to, _| from != 0 && to != 0);
    let outcome = choose(&mut w, 0, "4");
    assert_eq!(outcome, Some(Outcome::Chosen(Bytes::from_static(b"4"))));
    assert!(promised(&w, 0) > floor);
}

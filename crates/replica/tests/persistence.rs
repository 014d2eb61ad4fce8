//! Choices survive a crash of all processes of a group, because a vote is sent only once the state that backs it is on
//! the member's disk. The simulated disks write late, lose what was not yet written, or hang.

mod common;

use std::collections::BTreeMap;

use bytes::Bytes;
use cedarpulley_replica::{Ballot, Input, Key, Message, Outcome, RecoveryState, SafetyCheck};
use common::{MILLISECOND, RETENTION, ReplicaGroup};

/// Retention time of choices in microseconds; longer than any run.
const LONG_RETENTION: i64 = 1_000 * RETENTION;

fn choose(w: &mut ReplicaGroup, r: usize, key: &str, value: u64) {
    let value = Bytes::from(format!("{value:08}"));
    w.handle(
        r,
        Input::Choose {
            key: key.into(),
            value,
            retention: LONG_RETENTION,
        },
    );
}

fn chosen(w: &ReplicaGroup, r: usize, key: &str) -> Option<Bytes> {
    w.outcomes[r].get(key)?.iter().rev().find_map(|o| match o {
        Outcome::Chosen(value) => Some(value.clone()),
        _ => None,
    })
}

/// Writes all changed records of a member to its disk.
fn write_all(w: &mut ReplicaGroup, r: usize) {
    w.start_batch(r);
    w.commit_batch(r);
}

#[test]
fn votes_of_others_and_of_the_proposer_wait_for_the_disk() {
    let mut w = ReplicaGroup::persistent(3, None);
    choose(&mut w, 0, "s", 1);
    w.deliver(|_, _, _| true);
    assert!((0..3).all(|r| w.replica(r).awaits_batch()) && w.replica(1).counts.votes_deferred == 1);
    // The proposer's own vote is no majority; with the vote of one more member it is.
    write_all(&mut w, 0);
    w.start_batch(1);
    w.deliver(|_, _, _| true);
    assert!(!w.replica(1).awaits_batch(), "the batch is being written");
    w.commit_batch(1);
    // The ballot is promised; the acceptances wait for the disks again.
    w.deliver(|_, _, _| true);
    write_all(&mut w, 1);
    w.deliver(|_, _, _| true);
    assert_eq!(chosen(&w, 0, "s"), None);
    write_all(&mut w, 0);
    assert_eq!(chosen(&w, 0, "s"), Some(Bytes::from("00000001")));
    // A vote whose state is already on disk is sent at once.
    w.in_transit.clear();
    choose(&mut w, 2, "s", 2);
    for _ in 0..4 {
        (0..3).for_each(|r| write_all(&mut w, r));
        w.deliver(|_, _, _| true);
    }
    assert_eq!(chosen(&w, 2, "s"), Some(Bytes::from("00000001")));
}

#[test]
fn a_hanging_disk_defers_a_bounded_number_of_votes_and_no_invocations() {
    let mut w = ReplicaGroup::persistent(3, None);
    (0..5_000).for_each(|n| choose(&mut w, 0, &format!("s{n}"), 1));
    w.deliver(|_, to, _| to == 1);
    let counts = w.replica(1).counts;
    assert_eq!(
        (counts.votes_deferred, counts.votes_dropped),
        (5_000, 5_000 - 4_096)
    );
    // A repeated request is not deferred a second time.
    let last = Message::Prepare {
        key: "s4999".into(),
        ballot: ballot(&w, "s4999"),
        lifetime: LONG_RETENTION,
    };
    w.handle(
        1,
        Input::MessageReceived {
            from: 0,
            nonce: w.nonces[0],
            transit: 0,
            message: last,
        },
    );
    assert_eq!(w.replica(1).counts.votes_deferred, 5_000);
    w.announce(0, "x", false);
    let dispatch = w.request_dispatch(0, "x");
    w.deliver(|_, to, _| to != 2);
    assert!(w.is_permitted(0, dispatch));
    w.advance_delivering(1_000 * MILLISECOND, |_, _, _| false);
    assert!(matches!(
        w.outcomes[0]["s4999"][..],
        [Outcome::NoMajority(_)]
    ));
    // The disk works again: a proposal whose votes were not dropped is repeated and decided.
    choose(&mut w, 0, "s4999", 1);
    for _ in 0..4 {
        (0..3).for_each(|r| write_all(&mut w, r));
        w.deliver(|_, _, _| true);
    }
    assert!(chosen(&w, 0, "s4999").is_some());
}

fn ballot(w: &ReplicaGroup, key: &str) -> Ballot {
    match w.replica(0).record(key) {
        Some(cedarpulley_replica::Record::Choice(c)) => c.promised,
        _ => panic!("no ballot is promised"),
    }
}

#[test]
fn a_late_acceptance_is_not_counted_for_the_next_value() {
    let mut w = ReplicaGroup::new(3, None);
    w.handle(
        0,
        Input::RequestLeadership {
            key: "plan".into(),
            retention: LONG_RETENTION,
        },
    );
    w.deliver(|_, _, _| true);
    let ballot = ballot(&w, "plan");
    let write = |w: &mut ReplicaGroup, value| {
        w.handle(
            0,
            Input::Write {
                key: "plan".into(),
                ballot,
                value: Bytes::from_static(value),
                retention: LONG_RETENTION,
            },
        );
    };
    write(&mut w, b"1");
    w.deliver(|_, to, _| to == 1);
    write(&mut w, b"2");
    // No other member has accepted the second value.
    w.deliver(|from, to, m| (from, to) == (1, 0) && matches!(m, Message::Accepted { .. }));
    assert!(!w.outcomes[0]["plan"].contains(&Outcome::Written { ballot }));
    w.deliver(|_, _, _| true);
    assert!(w.outcomes[0]["plan"].contains(&Outcome::Written { ballot }));
}

/// The outcomes so far, checked for consistency.
struct Outcomes {
    /// The value chosen for each key.
    chosen: BTreeMap<Key, Bytes>,
    /// The last value that was written under each ballot.
    written: BTreeMap<Ballot, Bytes>,
    /// The last value whose write was requested under each ballot.
    requested: BTreeMap<Ballot, Bytes>,
    /// The ballot under which each member leads.
    leads: Vec<Option<Ballot>>,
}

impl Outcomes {
    /// Takes the outcomes from all members; an error describes a contradiction.
    fn record_outcomes(&mut self, w: &mut ReplicaGroup) -> Result<(), String> {
        for r in 0..w.replicas.len() {
            for (key, outcome) in std::mem::take(&mut w.outcomes[r])
                .into_iter()
                .flat_map(|(k, o)| o.into_iter().map(move |o| (k.clone(), o)))
            {
                match outcome {
                    Outcome::Chosen(value) => {
                        let first = self
                            .chosen
                            .entry(key.clone())
                            .or_insert_with(|| value.clone());
                        if *first != value {
                            return Err(format!("two different values were chosen for {key}"));
                        }
                    }
                    Outcome::Leads { ballot, last } => {
                        let before = self.written.range(..ballot).next_back();
                        if before.is_some_and(|(_, value)| last.as_ref() < Some(value)) {
                            return Err(format!(
                                "{ballot:?} continues from {last:?}, not {before:?}"
                            ));
                        }
                        self.leads[r] = Some(ballot);
                    }
                    Outcome::Written { ballot } => {
                        self.written.insert(ballot, self.requested[&ballot].clone());
                    }
                    Outcome::Overtaken => self.leads[r] = None,
                    Outcome::NoMajority(_) => {}
                }
            }
        }
        Ok(())
    }
}

/// Runs a random scenario from a seed: proposals and leadership terms, disks that write at random times, lost and
/// reordered messages, and power cuts of all members at once. Returns how many keys have a chosen value and how many
/// ballots have a written one.
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, in the order of its steps"
)]
fn play(disabled_check: Option<SafetyCheck>, seed: u64) -> Result<(usize, usize), String> {
    let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut draw = move |bound: usize| {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (random >> 33) as usize % bound
    };
    let n = 3 + draw(3);
    let mut w = ReplicaGroup::persistent(n, disabled_check);
    let (chosen, written, requested) = Default::default();
    let mut outcomes = Outcomes {
        chosen,
        written,
        requested,
        leads: vec![None; n],
    };
    let mut values = 0;
    for _ in 0..400 {
        let r = draw(n);
        match draw(20) {
            0..3 => {
                values += 1;
                choose(&mut w, r, &format!("s{}", draw(4)), values);
            }
            3 => w.handle(
                r,
                Input::RequestLeadership {
                    key: "plan".into(),
                    retention: LONG_RETENTION,
                },
            ),
            4..6 => {
                if let Some(ballot) = outcomes.leads[r] {
                    values += 1;
                    let value = Bytes::from(format!("{values:08}"));
                    outcomes.requested.insert(ballot, value.clone());
                    w.handle(
                        r,
                        Input::Write {
                            key: "plan".into(),
                            ballot,
                            value,
                            retention: LONG_RETENTION,
                        },
                    );
                }
            }
            6..9 => (0..n)
                .filter(|_| draw(2) > 0)
                .for_each(|r| w.start_batch(r)),
            9..12 => (0..n)
                .filter(|_| draw(2) > 0)
                .for_each(|r| w.commit_batch(r)),
            12..17 => {
                for _ in 0..w.in_transit.len() {
                    let (from, to, nonce, _, message) =
                        w.in_transit.swap_remove(draw(w.in_transit.len()));
                    if draw(10) > 0 {
                        w.handle(
                            to as usize,
                            Input::MessageReceived {
                                from,
                                nonce,
                                transit: 0,
                                message,
                            },
                        );
                    }
                }
            }
            17 | 18 => {
                w.now += 50 * MILLISECOND;
                (0..n).for_each(|r| w.handle(r, Input::Tick));
            }
            _ if draw(4) > 0 => {}
            // Power cut of all members at once: no member receives a message of a process from before the cut.
            _ => {
                w.in_transit.clear();
                w.replicas.iter_mut().for_each(|replica| *replica = None);
                (0..n).for_each(|r| w.restart_from_disk(r));
                outcomes.leads = vec![None; n];
                let all = |w: &ReplicaGroup| {
                    (0..n).all(|r| w.replica(r).recovery_state() == RecoveryState::Complete)
                };
                for _ in 0..200 {
                    w.advance(10 * MILLISECOND);
                    if all(&w) {
                        break;
                    }
                }
                assert!(all(&w), "a member did not complete recovery");
            }
        }
        outcomes.record_outcomes(&mut w)?;
    }
    Ok((outcomes.chosen.len(), outcomes.written.len()))
}

#[test]
fn no_value_is_chosen_twice_over_power_cuts_of_all_members() {
    let runs = std::env::var("RUNS")
        .ok()
        .and_then(|r| r.parse().ok())
        .unwrap_or(300);
    let (mut chosen, mut written) = (0, 0);
    for seed in 0..runs {
        let (c, w) = play(None, seed).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        (chosen, written) = (chosen + c, written + w);
    }
    println!("{runs} runs: {chosen} values chosen, {written} terms with a write");
    assert!(chosen > 0 && written > 0);
    let found = (0..runs)
        .filter_map(|seed| play(Some(SafetyCheck::PersistBeforeVote), seed).err())
        .collect::<Vec<_>>();
    println!(
        "with the safety check disabled: {} of {runs} runs fail, first {:?}",
        found.len(),
        found.first()
    );
    assert!(
        !found.is_empty(),
        "no run fails with the safety check disabled"
    );
}

//! Choices outlive a crash of all processes of a group: a vote is sent once the member's disk has what the vote
//! promises. Disks here write late, lose what they had not written yet, or hang.

mod common;

use std::collections::BTreeMap;

use bytes::Bytes;
use cedarpulley_replica::{Ballot, Input, Key, Message, Outcome, RecoveryState, SafetyCheck};
use common::{KEPT, MS, World};

const LONG: i64 = 1_000 * KEPT;

fn choose(w: &mut World, r: usize, key: &str, value: u64) {
    let value = Bytes::from(format!("{value:08}"));
    w.feed(
        r,
        Input::Choose {
            key: key.into(),
            value,
            retention: LONG,
        },
    );
}

fn chosen(w: &World, r: usize, key: &str) -> Option<Bytes> {
    w.decided[r].get(key)?.iter().rev().find_map(|o| match o {
        Outcome::Chosen(value) => Some(value.clone()),
        _ => None,
    })
}

fn writes(w: &mut World, r: usize) {
    w.takes(r);
    w.commits(r);
}

#[test]
fn a_vote_waits_for_the_disk_and_so_does_the_proposers_own() {
    let mut w = World::written(3, None);
    choose(&mut w, 0, "s", 1);
    w.deliver(|_, _, _| true);
    assert!((0..3).all(|r| w.at(r).awaits_batch()) && w.at(1).counts.votes_deferred == 1);
    // Its own alone is none, and another one's beside it is a majority.
    writes(&mut w, 0);
    w.takes(1);
    w.deliver(|_, _, _| true);
    assert!(!w.at(1).awaits_batch(), "it is on its way");
    w.commits(1);
    // Promised; the acceptances wait again.
    w.deliver(|_, _, _| true);
    writes(&mut w, 1);
    w.deliver(|_, _, _| true);
    assert_eq!(chosen(&w, 0, "s"), None);
    writes(&mut w, 0);
    assert_eq!(chosen(&w, 0, "s"), Some(Bytes::from("00000001")));
    // What is on disk already waits for nothing.
    w.net.clear();
    choose(&mut w, 2, "s", 2);
    for _ in 0..4 {
        (0..3).for_each(|r| writes(&mut w, r));
        w.deliver(|_, _, _| true);
    }
    assert_eq!(chosen(&w, 2, "s"), Some(Bytes::from("00000001")));
}

#[test]
fn a_hanging_disk_defers_a_bounded_number_of_votes_and_no_invocations() {
    let mut w = World::written(3, None);
    (0..5_000).for_each(|n| choose(&mut w, 0, &format!("s{n}"), 1));
    w.deliver(|_, to, _| to == 1);
    let counts = w.at(1).counts;
    assert_eq!(
        (counts.votes_deferred, counts.votes_dropped),
        (5_000, 5_000 - 4_096)
    );
    // The same question again takes nobody's room.
    let last = Message::Prepare {
        key: "s4999".into(),
        ballot: ballot(&w, "s4999"),
        lifetime: LONG,
    };
    w.feed(
        1,
        Input::MessageReceived {
            from: 0,
            nonce: w.nonces[0],
            transit: 0,
            message: last,
        },
    );
    assert_eq!(w.at(1).counts.votes_deferred, 5_000);
    w.take(0, "x", false);
    let s = w.intend(0, "x");
    w.deliver(|_, to, _| to != 2);
    assert!(w.left(0, s));
    w.pass_where(1_000 * MS, |_, _, _| false);
    assert!(matches!(
        w.decided[0]["s4999"][..],
        [Outcome::NoMajority(_)]
    ));
    // It goes on: those that were not dropped are asked again, and decided.
    choose(&mut w, 0, "s4999", 1);
    for _ in 0..4 {
        (0..3).for_each(|r| writes(&mut w, r));
        w.deliver(|_, _, _| true);
    }
    assert!(chosen(&w, 0, "s4999").is_some());
}

fn ballot(w: &World, key: &str) -> Ballot {
    match w.at(0).record(key) {
        Some(cedarpulley_replica::Record::Choice(c)) => c.promised,
        _ => panic!("it is promised"),
    }
}

#[test]
fn a_late_acceptance_is_not_counted_for_the_next_value() {
    let mut w = World::new(3, None);
    w.feed(
        0,
        Input::Lead {
            key: "plan".into(),
            retention: LONG,
        },
    );
    w.deliver(|_, _, _| true);
    let ballot = ballot(&w, "plan");
    let write = |w: &mut World, value| {
        w.feed(
            0,
            Input::Write {
                key: "plan".into(),
                ballot,
                value: Bytes::from_static(value),
                retention: LONG,
            },
        );
    };
    write(&mut w, b"1");
    w.deliver(|_, to, _| to == 1);
    write(&mut w, b"2");
    // Nobody else has the second.
    w.deliver(|from, to, m| (from, to) == (1, 0) && matches!(m, Message::Accepted { .. }));
    assert!(!w.decided[0]["plan"].contains(&Outcome::Written { ballot }));
    w.deliver(|_, _, _| true);
    assert!(w.decided[0]["plan"].contains(&Outcome::Written { ballot }));
}

struct Seen {
    chosen: BTreeMap<Key, Bytes>,
    written: BTreeMap<Ballot, Bytes>,
    asked: BTreeMap<Ballot, Bytes>,
    leads: Vec<Option<Ballot>>,
}

impl Seen {
    fn look(&mut self, w: &mut World) -> Result<(), String> {
        for r in 0..w.replicas.len() {
            for (key, outcome) in std::mem::take(&mut w.decided[r])
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
                            return Err(format!("two choices of {key}"));
                        }
                    }
                    Outcome::Leads { ballot, last } => {
                        let before = self.written.range(..ballot).next_back();
                        if before.is_some_and(|(_, value)| last.as_ref() < Some(value)) {
                            return Err(format!(
                                "{ballot:?} goes on from {last:?}, not {before:?}"
                            ));
                        }
                        self.leads[r] = Some(ballot);
                    }
                    Outcome::Written { ballot } => {
                        self.written.insert(ballot, self.asked[&ballot].clone());
                    }
                    Outcome::Overtaken => self.leads[r] = None,
                    Outcome::NoMajority(_) => {}
                }
            }
        }
        Ok(())
    }
}

/// A seeded run: choices and terms, disks that write at random times, messages lost and reordered, and power cuts of all
/// members at once. Returns how many values were chosen and written.
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
)]
fn play(without: Option<SafetyCheck>, seed: u64) -> Result<(usize, usize), String> {
    let mut dice = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut draw = move |most: usize| {
        dice = dice
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (dice >> 33) as usize % most
    };
    let n = 3 + draw(3);
    let mut w = World::written(n, without);
    let (chosen, written, asked) = Default::default();
    let mut seen = Seen {
        chosen,
        written,
        asked,
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
            3 => w.feed(
                r,
                Input::Lead {
                    key: "plan".into(),
                    retention: LONG,
                },
            ),
            4..6 => {
                if let Some(ballot) = seen.leads[r] {
                    values += 1;
                    let value = Bytes::from(format!("{values:08}"));
                    seen.asked.insert(ballot, value.clone());
                    w.feed(
                        r,
                        Input::Write {
                            key: "plan".into(),
                            ballot,
                            value,
                            retention: LONG,
                        },
                    );
                }
            }
            6..9 => (0..n).filter(|_| draw(2) > 0).for_each(|r| w.takes(r)),
            9..12 => (0..n).filter(|_| draw(2) > 0).for_each(|r| w.commits(r)),
            12..17 => {
                for _ in 0..w.net.len() {
                    let (from, to, nonce, _, message) = w.net.swap_remove(draw(w.net.len()));
                    if draw(10) > 0 {
                        w.feed(
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
                w.now += 50 * MS;
                (0..n).for_each(|r| w.feed(r, Input::Tick));
            }
            _ if draw(4) > 0 => {}
            // At once: nobody hears of another that has not died.
            _ => {
                w.net.clear();
                w.replicas.iter_mut().for_each(|it| *it = None);
                (0..n).for_each(|r| w.loses_power(r));
                seen.leads = vec![None; n];
                let all =
                    |w: &World| (0..n).all(|r| w.at(r).recovery_state() == RecoveryState::Complete);
                for _ in 0..200 {
                    w.pass(10 * MS);
                    if all(&w) {
                        break;
                    }
                }
                assert!(all(&w), "all compare with each other");
            }
        }
        seen.look(&mut w)?;
    }
    Ok((seen.chosen.len(), seen.written.len()))
}

#[test]
fn no_value_is_chosen_twice_over_power_cuts_of_all_members() {
    let runs = std::env::var("RUNS")
        .ok()
        .and_then(|r| r.parse().ok())
        .unwrap_or(300);
    let (mut chosen, mut written) = (0, 0);
    for seed in 0..runs {
        let (c, w) = play(None, seed).unwrap_or_else(|why| panic!("seed {seed}: {why}"));
        (chosen, written) = (chosen + c, written + w);
    }
    println!("{runs} runs: {chosen} chosen, {written} terms written");
    assert!(chosen > 0 && written > 0);
    let found = (0..runs)
        .filter_map(|seed| play(Some(SafetyCheck::PersistBeforeVote), seed).err())
        .collect::<Vec<_>>();
    println!(
        "without the guard: {} of {runs}, {:?}",
        found.len(),
        found.first()
    );
    assert!(
        !found.is_empty(),
        "votes that do not wait for the folder are found"
    );
}

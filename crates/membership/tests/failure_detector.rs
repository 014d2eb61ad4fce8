//! Groups of failure detectors in virtual time, over links that lose, delay, duplicate or block messages. The tests
//! guard against members that remain wrongly dead or alive in the tables of others after crashes, restarts, suspended
//! processes and link faults.

use std::collections::BTreeMap;

use cedarpulley_membership::{
    FailureDetectorSettings, Group, Incarnation, Input, Member, MemberIndex, MemberState,
    Membership, Message, Output,
};
use proptest::prelude::*;

/// Microseconds in a millisecond.
const MILLISECOND: i64 = 1_000;
/// Microseconds in a second.
const SECOND: i64 = 1_000_000;

/// A message on a link.
struct InFlightMessage {
    from: MemberIndex,
    to: MemberIndex,
    process: Incarnation,
    message: Message,
}

struct Simulation {
    now: i64,
    members: Vec<Option<Membership>>,
    /// Time until which each member is suspended: it handles nothing, and messages to it wait.
    suspended_until: Vec<i64>,
    /// By time of arrival and serial number.
    in_flight: BTreeMap<(i64, u64), InFlightMessage>,
    serial: u64,
    random: u64,
    loss_per_mille: u64,
    /// Blocked links, each as sender and receiver; the opposite direction is not blocked.
    cut_links: Vec<(u16, u16)>,
    sent: u64,
    starts: u64,
}

fn group(size: usize, own_index: usize) -> Group {
    let member = |i: usize| Member {
        name: format!("r{i:02}"),
        region: ["east", "west"][i % 2].to_owned(),
        weight: 1,
        witness: false,
    };
    Group::new(
        "g",
        (0..size).map(member).collect(),
        &format!("r{own_index:02}"),
    )
    .expect("a valid group")
}

impl Simulation {
    fn new(n: usize, seed: u64) -> Simulation {
        let mut simulation = Simulation {
            now: 0,
            members: (0..n).map(|_| None).collect(),
            suspended_until: vec![0; n],
            in_flight: BTreeMap::new(),
            serial: 0,
            random: seed | 1,
            loss_per_mille: 0,
            cut_links: Vec::new(),
            sent: 0,
            starts: 0,
        };
        (0..n).for_each(|m| simulation.start(m));
        simulation
    }

    fn start(&mut self, m: usize) {
        self.starts += 1;
        let settings = FailureDetectorSettings {
            probe_interval: 200 * MILLISECOND,
            answer_timeout: 60 * MILLISECOND,
            suspicion_timeout: 800 * MILLISECOND,
            seed: self.starts,
        };
        // The store is lost: the incarnation number restarts from the beginning.
        self.members[m] = Some(Membership::new(
            self.now,
            group(self.members.len(), m),
            settings,
            self.starts,
            0,
        ));
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below
    }

    fn feed(&mut self, m: usize, input: Input) {
        let mut out = Vec::new();
        let Some(member) = self.members[m].as_mut() else {
            return;
        };
        member.handle(self.now, input, &mut out);
        let process = member.own_incarnation();
        for output in out {
            let Output::Send { to, message } = output else {
                continue;
            };
            self.sent += 1;
            if self.draw(1000) < self.loss_per_mille || self.cut_links.contains(&(m as u16, to)) {
                continue;
            }
            for _ in 0..1 + u64::from(self.draw(1000) < self.loss_per_mille / 4) {
                let at = self.now + MILLISECOND + self.draw(15 * MILLISECOND as u64) as i64;
                self.serial += 1;
                let in_flight = InFlightMessage {
                    from: m as u16,
                    to,
                    process,
                    message: message.clone(),
                };
                self.in_flight.insert((at, self.serial), in_flight);
            }
        }
    }

    fn run(&mut self, time: i64) {
        let until = self.now + time;
        loop {
            let due = (0..self.members.len())
                .filter_map(|m| {
                    Some((
                        self.members[m]
                            .as_ref()?
                            .next_due()
                            .max(self.suspended_until[m]),
                        m,
                    ))
                })
                .min();
            let next = self.in_flight.first_key_value().map(|(k, _)| k.0);
            let at = due.map_or(i64::MAX, |d| d.0).min(next.unwrap_or(i64::MAX));
            if at > until {
                break;
            }
            self.now = self.now.max(at);
            if next == Some(at) {
                let (_, arrived) = self.in_flight.pop_first().expect("a message is in flight");
                let resumes_at = self.suspended_until[arrived.to as usize];
                if resumes_at > self.now {
                    self.serial += 1;
                    self.in_flight.insert((resumes_at, self.serial), arrived);
                } else {
                    let InFlightMessage {
                        from,
                        to,
                        process,
                        message,
                    } = arrived;
                    let input = Input::Received {
                        from,
                        incarnation: process,
                        message,
                    };
                    self.feed(to as usize, input);
                }
            } else if let Some((_, m)) = due {
                self.feed(m, Input::Tick);
            }
        }
        self.now = until;
    }

    fn state(&self, at: usize, of: usize) -> MemberState {
        self.members[at]
            .as_ref()
            .expect("the member is running")
            .status(of as u16)
            .state
    }

    /// Whether every running member considers all running members alive, each in its present incarnation, and all
    /// others dead.
    fn all_agree(&self) -> bool {
        let up: Vec<usize> = (0..self.members.len())
            .filter(|m| self.members[*m].is_some())
            .collect();
        up.iter().all(|&a| {
            (0..self.members.len()).all(|b| match &self.members[b] {
                Some(member) => {
                    let known = self.members[a]
                        .as_ref()
                        .expect("the member is running")
                        .status(b as u16);
                    known.state == MemberState::Alive
                        && known.incarnation == member.own_incarnation()
                }
                None => self.state(a, b) == MemberState::Dead,
            })
        })
    }
}

#[test]
fn a_crash_and_a_restart_without_a_store_are_detected() {
    let mut simulation = Simulation::new(5, 7);
    simulation.run(3 * SECOND);
    assert!(simulation.all_agree());
    simulation.members[2] = None;
    simulation.run(6 * SECOND);
    assert!(simulation.all_agree());
    simulation.start(2);
    simulation.run(3 * SECOND);
    assert!(simulation.all_agree());
    // The earlier process had the same incarnation number, so the new process raised its own.
    assert!(
        simulation.members[2]
            .as_ref()
            .expect("the member is running")
            .own_incarnation()
            .number
            > 1
    );
}

#[test]
fn one_bad_link_makes_no_member_dead() {
    let mut simulation = Simulation::new(4, 3);
    simulation.run(2 * SECOND);
    simulation.cut_links = vec![(0, 1), (1, 0), (2, 1)];
    simulation.run(20 * SECOND);
    assert!((0..4).all(|a| (0..4).all(|b| simulation.state(a, b) != MemberState::Dead)));
    // Member 1 is unreachable in one direction only: it receives messages from all others, and none of its own arrive.
    simulation.cut_links = vec![(1, 0), (1, 2), (1, 3)];
    simulation.run(6 * SECOND);
    assert!(
        [0, 2, 3]
            .iter()
            .all(|a| simulation.state(*a, 1) == MemberState::Dead)
    );
    simulation.cut_links.clear();
    simulation.run(4 * SECOND);
    assert!(simulation.all_agree());
}

#[test]
fn a_resumed_process_declares_nobody_dead() {
    let mut simulation = Simulation::new(3, 5);
    simulation.run(2 * SECOND);
    simulation.suspended_until[0] = simulation.now + 60 * SECOND;
    simulation.run(30 * SECOND);
    assert!(
        simulation.state(1, 0) == MemberState::Dead && simulation.state(2, 0) == MemberState::Dead
    );
    simulation.run(31 * SECOND);
    assert!(simulation.all_agree());
    let counts = simulation.members[0]
        .as_ref()
        .expect("the member is running")
        .counts;
    assert!(counts.resumptions > 0 && counts.deaths == 0, "{counts:?}");
}

#[test]
fn message_rate_per_member_does_not_grow_with_the_group() {
    let per_member = |n: usize| {
        let mut simulation = Simulation::new(n, 1);
        simulation.run(5 * SECOND);
        let before = simulation.sent;
        simulation.run(20 * SECOND);
        (simulation.sent - before) as f64 / n as f64
    };
    let (small, large) = (per_member(3), per_member(30));
    assert!(large < small * 1.2, "{small} {large}");
}

#[test]
fn members_of_which_nothing_was_ever_received_are_declared_dead_and_never_count_as_alive() {
    let mut simulation = Simulation::new(3, 9);
    (simulation.members[0], simulation.members[2]) = (None, None);
    for _ in 0..100 {
        simulation.run(100 * MILLISECOND);
        let member = simulation.members[1].as_ref().expect("it is running");
        assert!(!member.is_alive(0) && !member.is_alive(2));
    }
    assert!(simulation.all_agree());
}

#[test]
fn members_that_start_late_are_alive_at_once_without_a_refutation() {
    let mut simulation = Simulation::new(3, 9);
    (simulation.members[1], simulation.members[2]) = (None, None);
    simulation.run(10 * SECOND);
    assert_eq!(simulation.state(0, 1), MemberState::Dead);
    simulation.start(1);
    simulation.start(2);
    simulation.run(SECOND);
    assert!(simulation.all_agree());
    for member in simulation.members.iter().flatten() {
        assert_eq!(member.own_incarnation().number, 1);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, ..ProptestConfig::default() })]

    #[test]
    fn all_members_agree_once_any_faults_are_over(
        n in 3usize..9,
        seed in 1u64..u64::MAX,
        faults in prop::collection::vec((0u8..6, 0usize..9, 0usize..9, 1i64..4_000), 1..12),
    ) {
        let mut simulation = Simulation::new(n, seed);
        simulation.run(SECOND);
        for (fault, a, b, ms) in faults {
            let (a, b) = (a % n, b % n);
            match fault {
                0 => simulation.members[a] = None,
                1 if simulation.members[a].is_none() => simulation.start(a),
                2 => simulation.suspended_until[a] = simulation.now + ms * MILLISECOND,
                3 => simulation.cut_links.push((a as u16, b as u16)),
                4 => simulation.cut_links.clear(),
                _ => simulation.loss_per_mille = (ms as u64) % 400,
            }
            simulation.run(ms * MILLISECOND);
        }
        (simulation.loss_per_mille, simulation.cut_links) = (0, Vec::new());
        simulation.run(20 * SECOND);
        prop_assert!(simulation.all_agree());
    }
}

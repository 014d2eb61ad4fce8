//! Groups of members in virtual time, over links that lose, delay, double and cut.

use std::collections::BTreeMap;

use cedarpulley_membership::{
    Believed, Group, Input, Member, Membership, Message, Output, Process, Standing, Terms, Unfit,
};
use proptest::prelude::*;

const MS: i64 = 1_000;
const SECOND: i64 = 1_000_000;

struct World {
    now: i64,
    members: Vec<Option<Membership>>,
    /// Stopped until then: nothing is handled, what comes waits.
    stopped: Vec<i64>,
    on_the_way: BTreeMap<(i64, u64), (u16, u16, Process, Message)>,
    serial: u64,
    random: u64,
    /// Part of the messages that is lost, of a thousand; directed links that are cut.
    lost: u64,
    cut: Vec<(u16, u16)>,
    sent: u64,
    starts: u64,
}

fn group(n: usize, me: usize) -> Group {
    let member = |i: usize| Member {
        name: format!("r{i:02}"),
        region: ["east", "west"][i % 2].to_owned(),
        weight: 1,
        witness: false,
    };
    Group::new("g", (0..n).map(member).collect(), &format!("r{me:02}")).expect("a group")
}

impl World {
    fn new(n: usize, seed: u64) -> World {
        let mut w = World {
            now: 0,
            members: (0..n).map(|_| None).collect(),
            stopped: vec![0; n],
            on_the_way: BTreeMap::new(),
            serial: 0,
            random: seed | 1,
            lost: 0,
            cut: Vec::new(),
            sent: 0,
            starts: 0,
        };
        (0..n).for_each(|m| w.start(m));
        w
    }

    fn start(&mut self, m: usize) {
        self.starts += 1;
        let terms = Terms {
            probe_every: 200 * MS,
            answer_within: 60 * MS,
            suspected_for: 800 * MS,
            seed: self.starts,
        };
        // A lost folder: the turn begins anew.
        self.members[m] = Some(Membership::new(
            self.now,
            group(self.members.len(), m),
            terms,
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
        let process = member.me();
        for output in out {
            let Output::Send { to, message } = output else {
                continue;
            };
            self.sent += 1;
            if self.draw(1000) < self.lost || self.cut.contains(&(m as u16, to)) {
                continue;
            }
            for _ in 0..1 + u64::from(self.draw(1000) < self.lost / 4) {
                let at = self.now + MS + self.draw(15 * MS as u64) as i64;
                self.serial += 1;
                self.on_the_way
                    .insert((at, self.serial), (m as u16, to, process, message.clone()));
            }
        }
    }

    fn run(&mut self, time: i64) {
        let until = self.now + time;
        loop {
            let due = (0..self.members.len())
                .filter_map(|m| {
                    Some((self.members[m].as_ref()?.next_due().max(self.stopped[m]), m))
                })
                .min();
            let next = self.on_the_way.first_key_value().map(|(k, _)| k.0);
            let at = due.map_or(i64::MAX, |d| d.0).min(next.unwrap_or(i64::MAX));
            if at > until {
                break;
            }
            self.now = self.now.max(at);
            if next == Some(at) {
                let (_, (from, to, process, message)) = self.on_the_way.pop_first().expect("there");
                if self.stopped[to as usize] > self.now {
                    self.serial += 1;
                    let later = (self.stopped[to as usize], self.serial);
                    self.on_the_way.insert(later, (from, to, process, message));
                } else {
                    self.feed(
                        to as usize,
                        Input::Heard {
                            from,
                            process,
                            message,
                        },
                    );
                }
            } else if let Some((_, m)) = due {
                self.feed(m, Input::Tick);
            }
        }
        self.now = until;
    }

    fn standing(&self, at: usize, of: usize) -> Standing {
        self.members[at]
            .as_ref()
            .expect("it runs")
            .known(of as u16)
            .standing
    }

    /// All that run hold all that run for alive, each in its process of now, and the others for dead.
    fn agreed(&self) -> bool {
        let up: Vec<usize> = (0..self.members.len())
            .filter(|m| self.members[*m].is_some())
            .collect();
        up.iter().all(|&a| {
            (0..self.members.len()).all(|b| match &self.members[b] {
                Some(it) => {
                    let known = self.members[a].as_ref().expect("up").known(b as u16);
                    known.standing == Standing::Alive && known.process == it.me()
                }
                None => self.standing(a, b) == Standing::Dead,
            })
        })
    }
}

#[test]
fn a_crash_is_seen_and_a_return_without_memory_too() {
    let mut w = World::new(5, 7);
    w.run(3 * SECOND);
    assert!(w.agreed());
    w.members[2] = None;
    w.run(6 * SECOND);
    assert!(w.agreed());
    w.start(2);
    w.run(3 * SECOND);
    assert!(w.agreed());
    // Its earlier process had the same turn; the new one took the next.
    assert!(w.members[2].as_ref().expect("up").me().turn > 1);
}

#[test]
fn one_bad_link_takes_nobody_for_dead() {
    let mut w = World::new(4, 3);
    w.run(2 * SECOND);
    w.cut = vec![(0, 1), (1, 0), (2, 1)];
    w.run(20 * SECOND);
    assert!((0..4).all(|a| (0..4).all(|b| w.standing(a, b) != Standing::Dead)));
    // Cut from all, in one direction only, it hears everybody and nobody hears it.
    w.cut = vec![(1, 0), (1, 2), (1, 3)];
    w.run(6 * SECOND);
    assert!(
        [0, 2, 3]
            .iter()
            .all(|a| w.standing(*a, 1) == Standing::Dead)
    );
    w.cut.clear();
    w.run(4 * SECOND);
    assert!(w.agreed());
}

#[test]
fn one_that_was_stopped_does_not_hold_its_sleep_against_the_others() {
    let mut w = World::new(3, 5);
    w.run(2 * SECOND);
    w.stopped[0] = w.now + 60 * SECOND;
    w.run(30 * SECOND);
    assert!(w.standing(1, 0) == Standing::Dead && w.standing(2, 0) == Standing::Dead);
    w.run(31 * SECOND);
    assert!(w.agreed());
    let counts = w.members[0].as_ref().expect("up").counts;
    assert!(counts.woken > 0 && counts.deaths == 0, "{counts:?}");
}

#[test]
fn a_quiet_group_sends_no_more_for_each_member_with_its_size() {
    let per_member = |n: usize| {
        let mut w = World::new(n, 1);
        w.run(5 * SECOND);
        let before = w.sent;
        w.run(20 * SECOND);
        (w.sent - before) as f64 / n as f64
    };
    let (small, large) = (per_member(3), per_member(30));
    assert!(large < small * 1.2, "{small} {large}");
}

#[test]
fn what_flaps_is_believed_once_it_is_quiet() {
    let mut b = Believed::new(0, 2, SECOND);
    let mut now = 0;
    assert!(!b.see(now, |m| m == 0));
    now += SECOND;
    assert!(b.see(now, |m| m == 0) && b.alive() == [0] && b.version() == 2);
    // A link that flaps each second for a minute moves it at most once.
    let mut changes = 0;
    for n in 0..60 {
        now += SECOND;
        changes += u32::from(b.see(now, |m| m == 0 || n % 2 == 0));
    }
    assert!(changes <= 1, "{changes}");
    now += 64 * SECOND;
    b.see(now, |_| true);
    now += 64 * SECOND;
    b.see(now, |_| true);
    assert_eq!((b.alive(), b.next_due()), (vec![0, 1], i64::MAX));
}

#[test]
fn an_unfit_group_is_refused_with_what_to_do() {
    let member = |name: &str, weight| Member {
        name: name.to_owned(),
        region: String::new(),
        weight,
        witness: false,
    };
    let of = |members, me| Group::new("g", members, me).expect_err("unfit");
    assert_eq!(of(vec![], "a"), Unfit::Empty);
    assert_eq!(
        of(vec![member("a", 1), member("a", 1)], "a"),
        Unfit::Twice("a".into())
    );
    assert_eq!(of(vec![member("a", 1)], "b"), Unfit::Stranger("b".into()));
    assert_eq!(of(vec![member("a", 0)], "a"), Unfit::Weightless);
    let many = (0..65).map(|n| member(&n.to_string(), 1)).collect();
    assert_eq!(of(many, "1"), Unfit::Large(65));
    assert!(!Unfit::Empty.remedy().is_empty());
    // The order in the file does not matter, what is in it does.
    let mark = |members| Group::new("g", members, "a").expect("fit").mark;
    let (one, other) = (
        vec![member("a", 1), member("b", 1)],
        vec![member("b", 1), member("a", 1)],
    );
    assert_eq!(mark(one.clone()), mark(other));
    assert_ne!(mark(one), mark(vec![member("a", 1), member("b", 2)]));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, ..ProptestConfig::default() })]

    /// Whatever happened, once it is over all agree again.
    #[test]
    fn all_agree_after_any_troubles(
        n in 3usize..9,
        seed in 1u64..u64::MAX,
        troubles in prop::collection::vec((0u8..6, 0usize..9, 0usize..9, 1i64..4_000), 1..12),
    ) {
        let mut w = World::new(n, seed);
        w.run(SECOND);
        for (what, a, b, ms) in troubles {
            let (a, b) = (a % n, b % n);
            match what {
                0 => w.members[a] = None,
                1 if w.members[a].is_none() => w.start(a),
                2 => w.stopped[a] = w.now + ms * MS,
                3 => w.cut.push((a as u16, b as u16)),
                4 => w.cut.clear(),
                _ => w.lost = (ms as u64) % 400,
            }
            w.run(ms * MS);
        }
        (w.lost, w.cut) = (0, Vec::new());
        w.run(20 * SECOND);
        prop_assert!(w.agreed());
    }
}

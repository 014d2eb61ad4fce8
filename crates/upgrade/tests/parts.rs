//! Orders that are refused, records, and the comparison of two versions.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use cedarpulley::interface::Micros;
use cedarpulley_upgrade::orders::all;
use cedarpulley_upgrade::version_comparison::{Verdict, VersionComparison};
use cedarpulley_upgrade::*;
use proptest::prelude::*;

fn asked() -> Asked {
    Asked {
        model: "m".into(),
        from: "1".into(),
        to: "2".into(),
        serial: 7,
        canary: 1,
        canary_part: 0.05,
        floor: 0.8,
        drain_limit_ms: 1000,
        copy_mb: 0,
        withdrawn: false,
    }
}

#[test]
fn an_unfit_order_is_refused_with_its_reason() {
    let one = |change: fn(&mut Asked)| {
        let mut a = asked();
        change(&mut a);
        all(vec![a]).map(|o| o.len())
    };
    assert_eq!(one(|_| ()), Ok(1));
    assert_eq!(one(|a| a.from.clear()), Ok(1));
    assert_eq!(one(|a| a.model.clear()), Err(OrderError::ModelName(7)));
    assert_eq!(
        one(|a| a.to = "2/3".into()),
        Err(OrderError::VersionName(7))
    );
    assert_eq!(one(|a| a.to.clear()), Err(OrderError::VersionName(7)));
    assert_eq!(one(|a| a.to = "1".into()), Err(OrderError::SameVersion(7)));
    assert_eq!(one(|a| a.canary = 0), Err(OrderError::CanaryCount(7)));
    assert_eq!(one(|a| a.floor = f64::NAN), Err(OrderError::Share(7)));
    assert_eq!(
        one(|a| a.drain_limit_ms = u64::MAX),
        Err(OrderError::DrainLimit(7))
    );
    assert_eq!(
        all(vec![asked(), asked()]),
        Err(OrderError::DuplicateSerial("m".into(), 7))
    );
    assert_eq!(all(vec![asked(); 257]), Err(OrderError::TooManyOrders));
}

fn plan(step: u64) -> Plan {
    let order = Order::try_from(asked()).expect("fit");
    let region = |name: &str, new_share| Region {
        name: name.into(),
        base_lanes: 4,
        new_share,
        stage: Stage::Loading,
        drain_limit_passed: false,
        routing_step: step,
    };
    let (phase, regions) = (Phase::Rolling, vec![region("a", 300), region("b", 0)]);
    Plan {
        step,
        proposed_by: Ballot::default(),
        order,
        phase,
        regions,
        queued: Vec::new(),
        reason: String::new(),
        settled: false,
    }
}

#[test]
fn records_are_read_back_and_later_steps_are_greater() {
    for step in [1, 255, 256, 1 << 40] {
        assert_eq!(Plan::decode(&plan(step).encode()), Some(plan(step)));
        assert!(plan(step).encode() < plan(step + 1).encode());
    }
    let mut foreign = plan(3).encode().to_vec();
    foreign[7] = 4;
    assert_eq!(Plan::decode(&foreign), None);
}

#[test]
fn what_begins_goes_by_the_part_and_sessions_go_to_what_stays_twice_as_often() {
    let goes = |p: &Plan, session| {
        (0..1000)
            .filter(|d| &**p.version_for("a", *d, session) == "2")
            .count()
    };
    let mut p = plan(1);
    assert_eq!((goes(&p, false), goes(&p, true)), (300, 600));
    p.phase = Phase::Back;
    // Going back, the old ones are what stays: 700, and so all sessions.
    assert_eq!((goes(&p, false), goes(&p, true)), (300, 0));
    assert_eq!(&**p.version_for("b", 0, false), "1");
    assert_eq!(&**p.version_for("elsewhere", 0, false), "1");
    p.phase = Phase::Done;
    assert_eq!(&**p.version_for("elsewhere", 999, false), "2");
}

/// One router that leads alone, as far as its first canary; the time.
fn leads(planner: &mut Planner) -> Micros {
    let (mut now, mut inputs) = (0, Vec::new());
    inputs.push(Input::Members {
        me: 0,
        alive: vec![true],
        regions: vec!["a".into()],
    });
    inputs.push(Input::Orders(vec![Order::try_from(asked()).expect("fit")]));
    loop {
        now += 200_000;
        inputs.push(Input::Workers(vec![worker(now)]));
        let goes_by = planner.goes_by("m");
        inputs.push(Input::Counted {
            member: 0,
            model: "m".into(),
            goes_by,
            counts: Vec::new(),
        });
        let mut out = Vec::new();
        inputs
            .drain(..)
            .for_each(|i| planner.handle(now, i, &mut out));
        for output in out {
            let ballot = Ballot {
                number: 1,
                ..Ballot::default()
            };
            match output {
                Output::Lead { key } => {
                    inputs.push(Input::Decided {
                        key,
                        outcome: Outcome::Leads { ballot, last: None },
                    });
                }
                Output::Write { key, .. } => {
                    inputs.push(Input::Decided {
                        key,
                        outcome: Outcome::Written { ballot },
                    });
                }
                Output::Want { .. } => return now,
                _ => {}
            }
        }
        assert!(now < 60_000_000, "{:?}", planner.shown());
    }
}

fn worker(now: Micros) -> WorkerSeen {
    let held = Held {
        function: function("m", "1"),
        copies: 1,
        lanes: 2,
        busy: 0,
        loading: false,
        sessions: 0,
        copy_mb: 10,
    };
    let (name, region) = ("w".into(), "a".into());
    WorkerSeen {
        name,
        region,
        takes_new: true,
        seen_at: now,
        memory_mb: 100,
        used_mb: 10,
        holds: vec![held],
    }
}

#[test]
fn a_leader_past_its_lease_orders_nothing_before_a_step_is_agreed_anew() {
    let orders = |out: &[Output]| {
        out.iter()
            .any(|o| matches!(o, Output::Want { .. } | Output::Unwant { .. }))
    };
    let mut planner = Planner::new(Terms::default());
    let now = leads(&mut planner) + Terms::default().lease;
    let mut out = Vec::new();
    planner.handle(now, Input::Workers(vec![worker(now)]), &mut out);
    assert!(
        !orders(&out) && matches!(out[..], [Output::Write { .. }]),
        "{out:?}"
    );
    let (key, ballot) = (
        plan_key("m"),
        Ballot {
            number: 1,
            ..Ballot::default()
        },
    );
    planner.handle(
        now,
        Input::Decided {
            key,
            outcome: Outcome::Written { ballot },
        },
        &mut out,
    );
    assert!(orders(&out), "{out:?}");
}

proptest! {
    #[test]
    fn no_bytes_are_taken_for_a_plan_with_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Plan::decode(&bytes);
        let mut planner = Planner::new(Terms::default());
        let heard = Input::PlanHeard { model: "m".into(), ballot: Ballot::default(), bytes: bytes.into() };
        planner.handle(0, heard, &mut Vec::new());
    }
}

fn happens(of: (u64, u64), rate: f64) -> u64 {
    let draw = BuildHasherDefault::<DefaultHasher>::default().hash_one(of) % 1_000_000;
    u64::from((draw as f64) < rate * 1e6)
}

/// A member's counts grow by `ended` each time; (old, new) rates of errors by trigger type.
fn plays(seed: u64, rounds: u64, types: &[(u64, u64, f64, f64)]) -> VersionComparison {
    let (mut comparison, mut counts) = (VersionComparison::default(), Vec::new());
    for (t, _) in types.iter().enumerate() {
        for v in ["1", "2"] {
            let (version, trigger) = (v.into(), format!("t{t}").into());
            counts.push(Count {
                version,
                trigger,
                ..Count::default()
            });
        }
    }
    comparison.record(0, counts.clone(), "1", "2");
    let mut draws = 0;
    for _ in 0..rounds {
        for (t, (was, is, old, new)) in types.iter().enumerate() {
            for (side, n, rate) in [(0, was, old), (1, is, new)] {
                let c = &mut counts[t * 2 + side];
                for _ in 0..*n {
                    draws += 1;
                    c.ended += 1;
                    c.errored += happens((seed, draws), *rate);
                }
            }
        }
        comparison.record(0, counts.clone(), "1", "2");
    }
    comparison
}

#[test]
fn chance_alone_does_not_stop_a_plan_and_a_clear_difference_does() {
    // Looked at after each of 600 rounds, 60 plans with one of ten canaries.
    let stopped = (0..60).filter(|seed| {
        (1..30)
            .any(|n| plays(*seed, n * 20, &[(20, 2, 0.05, 0.05)]).verdict() == Verdict::MoreErrors)
    });
    assert_eq!(stopped.count(), 0);
    let found = (0..60)
        .filter(|seed| plays(*seed, 200, &[(20, 2, 0.02, 0.2)]).verdict() == Verdict::MoreErrors);
    assert!(found.count() >= 59);
    // Too few, or too small a difference to matter.
    assert_eq!(
        plays(1, 5, &[(20, 2, 0.0, 1.0)]).verdict(),
        Verdict::TooFewSamples
    );
    assert_ne!(
        plays(1, 20_000, &[(20, 20, 0.01, 0.015)]).verdict(),
        Verdict::MoreErrors
    );
}

#[test]
fn versions_are_compared_within_one_trigger_type_only() {
    // The new version gets mostly the trigger type that errs often with both.
    for seed in 0..20 {
        let comparison = plays(seed, 300, &[(20, 2, 0.01, 0.01), (2, 20, 0.3, 0.3)]);
        assert_ne!(comparison.verdict(), Verdict::MoreErrors);
    }
}

#[test]
fn a_member_that_began_anew_counts_from_nothing() {
    let mut comparison = VersionComparison::default();
    let count = |v: &str, ended, errored| Count {
        version: v.into(),
        trigger: "t".into(),
        ended,
        errored,
        late: 0,
    };
    comparison.record(
        0,
        vec![count("1", 1000, 900), count("2", 1000, 0)],
        "1",
        "2",
    );
    comparison.record(0, vec![count("1", 50, 0), count("2", 50, 0)], "1", "2");
    assert_eq!(
        (comparison.verdict(), comparison.compared()),
        (Verdict::Equivalent, 50)
    );
}

#[test]
fn what_was_seen_counts_for_longer_where_workers_are_asked_seldom() {
    let usual = Terms::default();
    assert_eq!(usual.clone().beside(2_000_000, 60_000_000), usual);
    let seldom = usual.clone().beside(40_000_000, 8_000_000);
    assert_eq!(
        (
            seldom.observation_lifetime,
            seldom.quiet_period,
            seldom.renewal_interval
        ),
        (60_000_000, 90_000_000, 2_000_000)
    );
}

/// Takes up a plan of somebody else at 0; `heard`: members that go by whatever it goes by.
struct Resumes {
    planner: Planner,
    heard: u16,
    old: Held,
}

impl Resumes {
    fn new(phase: Phase, stage: Stage, part: u16) -> Resumes {
        let mut plan = plan(9);
        (plan.phase, plan.regions[0].stage, plan.regions[0].new_share) = (phase, stage, part);
        plan.order.drain_limit = 600_000_000;
        plan.regions.truncate(1);
        let old = worker(0).holds.remove(0);
        let mut it = Resumes {
            planner: Planner::new(Terms::default()),
            heard: 2,
            old,
        };
        let members = Input::Members {
            me: 0,
            alive: vec![true; 2],
            regions: vec!["a".into(); 2],
        };
        it.planner.handle(0, members, &mut Vec::new());
        let heard = Input::PlanHeard {
            model: "m".into(),
            ballot: Ballot::default(),
            bytes: plan.encode(),
        };
        it.planner.handle(0, heard, &mut Vec::new());
        it.look(0);
        let (ballot, last) = (
            Ballot {
                number: 2,
                ..Ballot::default()
            },
            Some(plan.encode()),
        );
        let outcome = Outcome::Leads { ballot, last };
        it.planner.handle(
            0,
            Input::Decided {
                key: plan_key("m"),
                outcome,
            },
            &mut Vec::new(),
        );
        it.planner.handle(0, it.written(), &mut Vec::new());
        it
    }

    fn written(&self) -> Input {
        let outcome = Outcome::Written {
            ballot: Ballot {
                number: 2,
                ..Ballot::default()
            },
        };
        Input::Decided {
            key: plan_key("m"),
            outcome,
        }
    }

    /// One look at everything; what was ordered, and the last step written.
    fn look(&mut self, now: Micros) -> (usize, Option<Plan>) {
        let (mut out, goes_by) = (Vec::new(), self.planner.goes_by("m"));
        let w = WorkerSeen {
            holds: vec![self.old.clone()],
            ..worker(now)
        };
        self.planner.handle(now, Input::Workers(vec![w]), &mut out);
        for member in 0..self.heard {
            let counted = Input::Counted {
                member,
                model: "m".into(),
                goes_by,
                counts: Vec::new(),
            };
            self.planner.handle(now, counted, &mut out);
        }
        let (mut orders, mut step) = (0, None);
        for o in &out {
            match o {
                Output::Want { .. } | Output::Unwant { .. } => orders += 1,
                Output::Write { value, .. } => {
                    step = Plan::decode(value);
                    self.planner.handle(now, self.written(), &mut Vec::new());
                }
                _ => {}
            }
        }
        (orders, step)
    }
}

#[test]
fn a_new_leader_waits_for_the_lease_and_the_orders_of_the_one_before() {
    let mut it = Resumes::new(Phase::Rolling, Stage::Loading, 0);
    let t = Terms::default();
    let acts = t.lease + t.lease / 10 + t.order_delivery_timeout;
    for now in (0..acts).step_by(200_000) {
        assert_eq!(it.look(now).0, 0, "at {now}");
    }
    assert!(
        (acts..acts + 3_000_000)
            .step_by(200_000)
            .any(|now| it.look(now).0 > 0)
    );
}

#[test]
fn copies_that_drain_go_after_a_quiet_time_only() {
    let mut it = Resumes::new(Phase::Rolling, Stage::Draining, 1000);
    it.old.sessions = 1;
    let unloads = |it: &Resumes| it.planner.shown()[0].regions[0].old_lanes == 0;
    let (mut now, quiet) = (0, Terms::default().quiet_period);
    while now < 12_000_000 {
        now += 200_000;
        it.look(now);
    }
    it.old.sessions = 0;
    let since = now;
    while now < since + 60_000_000 && !unloads(&it) {
        now += 200_000;
        it.look(now);
        assert!(!unloads(&it) || now - since >= quiet, "at {now}");
    }
    assert!(unloads(&it));
}

#[test]
fn a_plan_is_settled_only_when_every_router_knows_that_it_is_over() {
    let mut it = Resumes::new(Phase::Done, Stage::Done, 1000);
    it.heard = 1;
    for now in (0..30_000_000).step_by(200_000) {
        assert!(it.look(now).1.is_none_or(|p| !p.settled));
    }
    assert!(
        it.planner.wants_binding("m", true),
        "sessions that begin are bound meanwhile"
    );
    it.heard = 2;
    (30_000_000..32_000_000)
        .step_by(200_000)
        .for_each(|now| drop(it.look(now)));
    assert!(!it.planner.wants_binding("m", true) && it.planner.wants_binding("m", false));
}

#[test]
fn sessions_are_over_once_no_region_keeps_copies_for_them() {
    let mut planner = Planner::new(Terms::default());
    let mut handle = |input| planner.handle(0, input, &mut Vec::new());
    let regions = vec![Name::from("a"), Name::from("b")];
    handle(Input::Members {
        me: 0,
        alive: vec![true; 2],
        regions,
    });
    let mut plan = plan(3);
    (plan.regions[0].stage, plan.regions[0].drain_limit_passed) = (Stage::Draining, true);
    handle(Input::PlanHeard {
        model: "m".into(),
        ballot: plan.proposed_by,
        bytes: plan.encode(),
    });
    let mut later = plan.clone();
    (later.step, later.regions[0].stage) = (4, Stage::Done);
    (later.regions[1].stage, later.regions[1].drain_limit_passed) = (Stage::Draining, true);
    assert!(
        planner.over("m", "1") && !planner.sessions_over("m", "1"),
        "region b keeps its copies"
    );
    planner.handle(
        0,
        Input::PlanHeard {
            model: "m".into(),
            ballot: later.proposed_by,
            bytes: later.encode(),
        },
        &mut Vec::new(),
    );
    assert!(planner.sessions_over("m", "1"));
    assert!(!planner.sessions_over("m", "2") && !planner.sessions_over("other", "1"));
}

//! One router's planner: leadership, leases, quiet times, settled plans.

mod plans;

use cedarpulley::interface::Micros;
use cedarpulley_upgrade::*;
use plans::{order_line, plan};
use proptest::prelude::*;

/// One router that leads alone, as far as its first canary; the time.
fn leads(planner: &mut Planner) -> Micros {
    let (mut now, mut inputs) = (0, Vec::new());
    inputs.push(Input::Members {
        own_index: 0,
        alive: vec![true],
        regions: vec!["a".into()],
    });
    inputs.push(Input::Orders(vec![
        Order::try_from(order_line()).expect("fit"),
    ]));
    loop {
        now += 200_000;
        inputs.push(Input::Workers(vec![worker(now)]));
        let rule = planner.routing_rule("m");
        inputs.push(Input::MemberReported {
            member: 0,
            model: "m".into(),
            rule,
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
                Output::RequestLeadership { key } => {
                    inputs.push(Input::Decided {
                        key,
                        outcome: Outcome::Leads { ballot, last: None },
                    });
                }
                Output::Propose { key, .. } => {
                    inputs.push(Input::Decided {
                        key,
                        outcome: Outcome::Written { ballot },
                    });
                }
                Output::LoadCopy { .. } => return now,
                _ => {}
            }
        }
        assert!(now < 60_000_000, "{:?}", planner.status());
    }
}

fn worker(now: Micros) -> ObservedWorker {
    let held = FunctionCopies {
        function: function_name("m", "1"),
        copies: 1,
        lanes: 2,
        busy_lanes: 0,
        loading: false,
        sessions: 0,
        copy_mb: 10,
    };
    let (name, region) = ("w".into(), "a".into());
    ObservedWorker {
        name,
        region,
        accepts_copies: true,
        observed_at: now,
        memory_mb: 100,
        used_mb: 10,
        copies: vec![held],
    }
}

#[test]
fn a_leader_past_its_lease_requests_nothing_before_a_step_is_agreed_again() {
    let orders = |out: &[Output]| {
        out.iter()
            .any(|o| matches!(o, Output::LoadCopy { .. } | Output::UnloadCopies { .. }))
    };
    let mut planner = Planner::new(PlannerSettings::default());
    let now = leads(&mut planner) + PlannerSettings::default().lease;
    let mut out = Vec::new();
    planner.handle(now, Input::Workers(vec![worker(now)]), &mut out);
    assert!(
        !orders(&out) && matches!(out[..], [Output::Propose { .. }]),
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
    fn decoding_arbitrary_bytes_as_a_plan_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Plan::decode(&bytes);
        let mut planner = Planner::new(PlannerSettings::default());
        let heard = Input::PlanReceived { model: "m".into(), ballot: Ballot::default(), bytes: bytes.into() };
        planner.handle(0, heard, &mut Vec::new());
    }
}

#[test]
fn observations_live_longer_where_workers_are_polled_seldom() {
    let usual = PlannerSettings::default();
    assert_eq!(usual.clone().adjusted_to(2_000_000, 60_000_000), usual);
    let seldom = usual.clone().adjusted_to(40_000_000, 8_000_000);
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
    old: FunctionCopies,
}

impl Resumes {
    fn new(phase: Phase, stage: Stage, part: u16) -> Resumes {
        let mut plan = plan(9);
        (plan.phase, plan.regions[0].stage, plan.regions[0].new_share) = (phase, stage, part);
        plan.order.drain_limit = 600_000_000;
        plan.regions.truncate(1);
        let old = worker(0).copies.remove(0);
        let mut it = Resumes {
            planner: Planner::new(PlannerSettings::default()),
            heard: 2,
            old,
        };
        let members = Input::Members {
            own_index: 0,
            alive: vec![true; 2],
            regions: vec!["a".into(); 2],
        };
        it.planner.handle(0, members, &mut Vec::new());
        let heard = Input::PlanReceived {
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
        let (mut out, rule) = (Vec::new(), self.planner.routing_rule("m"));
        let w = ObservedWorker {
            copies: vec![self.old.clone()],
            ..worker(now)
        };
        self.planner.handle(now, Input::Workers(vec![w]), &mut out);
        for member in 0..self.heard {
            let counted = Input::MemberReported {
                member,
                model: "m".into(),
                rule,
                counts: Vec::new(),
            };
            self.planner.handle(now, counted, &mut out);
        }
        let (mut orders, mut step) = (0, None);
        for o in &out {
            match o {
                Output::LoadCopy { .. } | Output::UnloadCopies { .. } => orders += 1,
                Output::Propose { value, .. } => {
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
fn a_new_leader_waits_for_the_lease_and_the_requests_of_the_earlier_one() {
    let mut it = Resumes::new(Phase::Rolling, Stage::Loading, 0);
    let t = PlannerSettings::default();
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
fn draining_copies_are_unloaded_after_the_quiet_period_only() {
    let mut it = Resumes::new(Phase::Rolling, Stage::Draining, 1000);
    it.old.sessions = 1;
    let unloads = |it: &Resumes| it.planner.status()[0].regions[0].old_lanes == 0;
    let (mut now, quiet) = (0, PlannerSettings::default().quiet_period);
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
        it.planner.needs_binding("m", true),
        "sessions that begin are bound meanwhile"
    );
    it.heard = 2;
    (30_000_000..32_000_000)
        .step_by(200_000)
        .for_each(|now| drop(it.look(now)));
    assert!(!it.planner.needs_binding("m", true) && it.planner.needs_binding("m", false));
}

#[test]
fn sessions_end_once_no_region_retains_copies_for_them() {
    let mut planner = Planner::new(PlannerSettings::default());
    let mut handle = |input| planner.handle(0, input, &mut Vec::new());
    let regions = vec![Name::from("a"), Name::from("b")];
    handle(Input::Members {
        own_index: 0,
        alive: vec![true; 2],
        regions,
    });
    let mut plan = plan(3);
    (plan.regions[0].stage, plan.regions[0].drain_limit_passed) = (Stage::Draining, true);
    handle(Input::PlanReceived {
        model: "m".into(),
        ballot: plan.proposed_by,
        bytes: plan.encode(),
    });
    let mut later = plan.clone();
    (later.step, later.regions[0].stage) = (4, Stage::Done);
    (later.regions[1].stage, later.regions[1].drain_limit_passed) = (Stage::Draining, true);
    assert!(
        planner.copies_evicted("m", "1") && !planner.sessions_ended("m", "1"),
        "region b keeps its copies"
    );
    planner.handle(
        0,
        Input::PlanReceived {
            model: "m".into(),
            ballot: later.proposed_by,
            bytes: later.encode(),
        },
        &mut Vec::new(),
    );
    assert!(planner.sessions_ended("m", "1"));
    assert!(!planner.sessions_ended("m", "2") && !planner.sessions_ended("other", "1"));
}

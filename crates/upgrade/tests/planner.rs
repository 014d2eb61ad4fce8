//! The planner of one router: leadership, leases, quiet periods, settled plans.

mod plans;

use cedarpulley::interface::Micros;
use cedarpulley_upgrade::*;
use plans::{order_line, plan};
use proptest::prelude::*;

/// Lets a planner lead as the only member until it loads its first canary. Returns the time.
fn lead_until_first_canary(planner: &mut Planner) -> Micros {
    let (mut now, mut inputs) = (0, Vec::new());
    inputs.push(Input::Members {
        own_index: 0,
        alive: vec![true],
        regions: vec!["a".into()],
    });
    inputs.push(Input::Orders(vec![
        Order::try_from(order_line()).expect("the order is valid"),
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
            .for_each(|input| planner.handle(now, input, &mut out));
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

/// A worker with a warm copy of the old version, observed at `now`.
fn worker(now: Micros) -> ObservedWorker {
    let copies = FunctionCopies {
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
        copies: vec![copies],
    }
}

#[test]
fn a_leader_past_its_lease_requests_nothing_before_a_step_is_agreed_again() {
    let has_copy_requests = |out: &[Output]| {
        out.iter().any(|output| {
            matches!(
                output,
                Output::LoadCopy { .. } | Output::UnloadCopies { .. }
            )
        })
    };
    let mut planner = Planner::new(PlannerSettings::default());
    let now = lead_until_first_canary(&mut planner) + PlannerSettings::default().lease;
    let mut out = Vec::new();
    planner.handle(now, Input::Workers(vec![worker(now)]), &mut out);
    assert!(
        !has_copy_requests(&out) && matches!(out[..], [Output::Propose { .. }]),
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
    assert!(has_copy_requests(&out), "{out:?}");
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_as_a_plan_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Plan::decode(&bytes);
        let mut planner = Planner::new(PlannerSettings::default());
        let received = Input::PlanReceived { model: "m".into(), ballot: Ballot::default(), bytes: bytes.into() };
        planner.handle(0, received, &mut Vec::new());
    }
}

#[test]
fn observations_live_longer_where_workers_are_polled_seldom() {
    let default = PlannerSettings::default();
    assert_eq!(default.clone().adjusted_to(2_000_000, 60_000_000), default);
    let adjusted = default.clone().adjusted_to(40_000_000, 8_000_000);
    assert_eq!(
        (
            adjusted.observation_lifetime,
            adjusted.quiet_period,
            adjusted.renewal_interval
        ),
        (60_000_000, 90_000_000, 2_000_000)
    );
}

/// A router that takes over the plan of another leader at time 0.
struct Takeover {
    planner: Planner,
    /// Number of members that report the same routing rule as this router.
    up_to_date_members: u16,
    /// The copies of the old version at the only worker.
    old_copies: FunctionCopies,
}

impl Takeover {
    fn new(phase: Phase, stage: Stage, new_share: u16) -> Takeover {
        let mut plan = plan(9);
        (plan.phase, plan.regions[0].stage, plan.regions[0].new_share) = (phase, stage, new_share);
        plan.order.drain_limit = 600_000_000;
        plan.regions.truncate(1);
        let old_copies = worker(0).copies.remove(0);
        let mut takeover = Takeover {
            planner: Planner::new(PlannerSettings::default()),
            up_to_date_members: 2,
            old_copies,
        };
        let members = Input::Members {
            own_index: 0,
            alive: vec![true; 2],
            regions: vec!["a".into(); 2],
        };
        takeover.planner.handle(0, members, &mut Vec::new());
        let received = Input::PlanReceived {
            model: "m".into(),
            ballot: Ballot::default(),
            bytes: plan.encode(),
        };
        takeover.planner.handle(0, received, &mut Vec::new());
        takeover.observe(0);
        let (ballot, last) = (
            Ballot {
                number: 2,
                ..Ballot::default()
            },
            Some(plan.encode()),
        );
        let outcome = Outcome::Leads { ballot, last };
        takeover.planner.handle(
            0,
            Input::Decided {
                key: plan_key("m"),
                outcome,
            },
            &mut Vec::new(),
        );
        takeover
            .planner
            .handle(0, takeover.written(), &mut Vec::new());
        takeover
    }

    /// The answer that a majority has accepted the proposed value.
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

    /// Passes an observation of the worker and the reports of the members to the planner. Returns the number of load
    /// and unload requests, and the last step proposed, which is then accepted.
    fn observe(&mut self, now: Micros) -> (usize, Option<Plan>) {
        let (mut out, rule) = (Vec::new(), self.planner.routing_rule("m"));
        let w = ObservedWorker {
            copies: vec![self.old_copies.clone()],
            ..worker(now)
        };
        self.planner.handle(now, Input::Workers(vec![w]), &mut out);
        for member in 0..self.up_to_date_members {
            let report = Input::MemberReported {
                member,
                model: "m".into(),
                rule,
                counts: Vec::new(),
            };
            self.planner.handle(now, report, &mut out);
        }
        let (mut copy_requests, mut step) = (0, None);
        for output in &out {
            match output {
                Output::LoadCopy { .. } | Output::UnloadCopies { .. } => copy_requests += 1,
                Output::Propose { value, .. } => {
                    step = Plan::decode(value);
                    self.planner.handle(now, self.written(), &mut Vec::new());
                }
                _ => {}
            }
        }
        (copy_requests, step)
    }
}

#[test]
fn a_new_leader_waits_for_the_lease_and_the_requests_of_the_earlier_one() {
    let mut takeover = Takeover::new(Phase::Rolling, Stage::Loading, 0);
    let settings = PlannerSettings::default();
    let may_act_from = settings.lease + settings.lease / 10 + settings.order_delivery_timeout;
    for now in (0..may_act_from).step_by(200_000) {
        assert_eq!(takeover.observe(now).0, 0, "at {now}");
    }
    assert!(
        (may_act_from..may_act_from + 3_000_000)
            .step_by(200_000)
            .any(|now| takeover.observe(now).0 > 0)
    );
}

#[test]
fn draining_copies_are_unloaded_after_the_quiet_period_only() {
    let mut takeover = Takeover::new(Phase::Rolling, Stage::Draining, 1000);
    takeover.old_copies.sessions = 1;
    let is_unloading = |takeover: &Takeover| takeover.planner.status()[0].regions[0].old_lanes == 0;
    let (mut now, quiet_period) = (0, PlannerSettings::default().quiet_period);
    while now < 12_000_000 {
        now += 200_000;
        takeover.observe(now);
    }
    takeover.old_copies.sessions = 0;
    let idle_since = now;
    while now < idle_since + 60_000_000 && !is_unloading(&takeover) {
        now += 200_000;
        takeover.observe(now);
        assert!(
            !is_unloading(&takeover) || now - idle_since >= quiet_period,
            "at {now}"
        );
    }
    assert!(is_unloading(&takeover));
}

#[test]
fn a_plan_is_settled_only_when_every_router_knows_that_it_is_over() {
    let mut takeover = Takeover::new(Phase::Done, Stage::Done, 1000);
    takeover.up_to_date_members = 1;
    for now in (0..30_000_000).step_by(200_000) {
        assert!(takeover.observe(now).1.is_none_or(|p| !p.settled));
    }
    assert!(
        takeover.planner.needs_binding("m", true),
        "sessions that begin before the plan is settled need a binding"
    );
    takeover.up_to_date_members = 2;
    (30_000_000..32_000_000)
        .step_by(200_000)
        .for_each(|now| drop(takeover.observe(now)));
    assert!(
        !takeover.planner.needs_binding("m", true) && takeover.planner.needs_binding("m", false)
    );
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
        "region b still retains its copies"
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

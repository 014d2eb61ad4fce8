//! Groups of routers that are partitioned and healed, for the tests in `tests/group.rs` and the measurement in
//! `benches/convergence.rs`.
#![allow(dead_code, reason = "each target uses only some of the items")]

use std::cell::Cell;
use std::time::Instant;

use cedarpulley_test_cluster::cluster::Cluster;
use cedarpulley_test_cluster::links::LinkFault;
use cedarpulley_test_cluster::scenario::Scenario;
use cedarpulley_test_cluster::script::Script;
use cedarpulley_test_cluster::until;
use serde_json::Value;

use crate::fleets::*;

/// Client timeout in milliseconds. The group retains records for about as long, and a member without records votes only
/// after that time.
pub const WAITS_MS: u64 = 5_000;
/// The router whose invocations the tests observe, except where another router has a safety check disabled.
pub const OWNER: usize = 1;

/// Retention time of records in milliseconds, for clients that wait `waits_ms`. In the last eighth of it records prove
/// nothing any more and no new dispatch is permitted, so it is a seventh longer than the clients wait.
pub fn kept(waits_ms: u64) -> i64 {
    (waits_ms + waits_ms / 7 + 1) as i64
}

/// A scenario with a group of this many routers; `change` adapts it to a test.
pub fn shared(routers: u32, change: impl FnOnce(&mut Scenario)) -> Scenario {
    day(|d| {
        once(d);
        (d.routers, d.peers) = (routers, true);
        waits(d, WAITS_MS);
        // Longer than any step that a test holds back.
        d.settings
            .peers
            .insert("copied_within_ms".into(), 3_000.into());
        change(d);
    })
}

/// A counter from the state that a router reports of its group; 0 while the router does not respond.
pub fn count(f: &Cluster, n: usize, name: &str) -> u64 {
    f.state(n)
        .map_or(0, |s| s["counts"][name].as_u64().unwrap_or(0))
}

/// All routers except one.
pub fn others(f: &Cluster, one: usize) -> Vec<usize> {
    (0..f.routers.len()).filter(|n| *n != one).collect()
}

/// Sets a fault on the links from one router to others, in this direction only.
pub fn towards(f: &Cluster, from: usize, to: &[usize], fault: LinkFault) {
    to.iter()
        .for_each(|m| f.links.set(&f.router_name(from), &f.router_name(*m), fault));
}

/// Sets the client timeout of all types, with a latency objective one second before it, and the retention time of records
/// that fits. An invocation that is late is not abandoned before the client timeout.
pub fn waits(d: &mut Scenario, ms: u64) {
    d.triggers
        .iter_mut()
        .for_each(|t| (t.client_timeout_ms, t.latency_objective_ms) = (ms, ms - 1000));
    d.settings.peers.insert("kept_ms".into(), kept(ms).into());
}

/// Whether a run shows that the fault of a test came about.
pub type Shown = fn(&Played) -> bool;

/// When a partition ends, in milliseconds from the start; it begins at 1000 ms.
pub const CUT_MS: u64 = 1000 + LONG_MS;
/// Some clients were told that the router had no majority.
pub const LACKING: Shown = |p| p.verdict.by_reason.contains_key("no-majority");

/// Sets a fault on the links between [`OWNER`] and all other routers, in both directions.
pub fn both_ways(f: &Cluster, fault: LinkFault) {
    let all = others(f, OWNER);
    towards(f, OWNER, &all, fault);
    all.iter().for_each(|m| towards(f, *m, &[OWNER], fault));
}

/// How long the group takes to recover after the end of a partition, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Healed {
    /// Until all routers consider all members alive.
    pub alive: f64,
    /// Until the stable view of all routers has all members alive, which is the view that they act upon.
    pub believed: f64,
    /// Until each router that was cut off has an intent stored by a majority again.
    pub holds: f64,
}

/// Waits until the partition is noticed, heals it, and measures how long the group takes to recover.
pub fn heals(f: &Cluster, cut_off: &[usize]) -> Healed {
    let all = f.routers.len();
    let holds_one_for_dead = |n: &usize| {
        let state = f.state(*n).unwrap_or_default();
        state["members"]
            .as_array()
            .is_some_and(|members| members.iter().any(|m| m["standing"] == "dead"))
    };
    assert!(
        until(PATIENCE, || cut_off.iter().all(holds_one_for_dead)),
        "the cut came about"
    );
    let before: Vec<u64> = cut_off.iter().map(|n| count(f, *n, "held")).collect();
    let began = Instant::now();
    f.links.heal();
    let (mut healed, mut seen) = (Healed::default(), [false; 3]);
    let whole = until(PATIENCE, || {
        let Some(states) = (0..all).map(|n| f.state(n)).collect::<Option<Vec<Value>>>() else {
            return false;
        };
        let at = began.elapsed().as_secs_f64() * 1e3;
        let of_all = |holds: &dyn Fn(&Value) -> bool| {
            states.iter().all(|s| {
                s["members"]
                    .as_array()
                    .is_some_and(|m| m.len() == all && m.iter().all(holds))
            })
        };
        let holds =
            |(n, before): (&usize, &u64)| states[*n]["counts"]["held"].as_u64() > Some(*before);
        let now = [
            of_all(&|m| m["standing"] == "alive"),
            of_all(&|m| m["believed_alive"] == true),
            cut_off.iter().zip(&before).all(holds),
        ];
        for (n, place) in [&mut healed.alive, &mut healed.believed, &mut healed.holds]
            .into_iter()
            .enumerate()
        {
            if now[n] && !seen[n] {
                (*place, seen[n]) = (at, true);
            }
        }
        seen.iter().all(|s| *s)
    });
    assert!(
        whole,
        "alive, believed, holding again: {seen:?}, {healed:?}"
    );
    healed
}

/// A partition that separates some routers from the rest of their group.
#[derive(Clone, Copy, Debug)]
pub struct CutOff {
    /// Size of the group.
    pub routers: u32,
    /// The routers that are cut off.
    pub cut_off: &'static [usize],
    /// Whether everything else in their region is cut off with them.
    pub region: bool,
}

pub const ONE_OF_THREE: CutOff = CutOff {
    routers: 3,
    cut_off: &[OWNER],
    region: false,
};
pub const REGION_OF_THREE: CutOff = CutOff {
    routers: 3,
    cut_off: &[OWNER],
    region: true,
};
pub const ONE_OF_FIVE: CutOff = CutOff {
    routers: 5,
    cut_off: &[OWNER],
    region: false,
};
pub const REGION_OF_FIVE: CutOff = CutOff {
    routers: 5,
    cut_off: &[1, 3],
    region: true,
};

impl CutOff {
    /// Runs the partition under traffic, checks the rules, and returns the recovery times.
    pub fn plays(self, seed: u64) -> Healed {
        let day = shared(self.routers, |d| {
            (d.seed, d.seconds, d.rate_per_s) = (seed, 12.0, 60.0)
        });
        let healed = Cell::new(Healed::default());
        let cut = |f: &Cluster| {
            if self.region {
                f.set_region_fault("west", LinkFault::Lost)
            } else {
                both_ways(f, LinkFault::Lost)
            }
        };
        let script = Script::new(seed)
            .at(1000, cut)
            .at(CUT_MS, |f| healed.set(heals(f, self.cut_off)));
        let played = play(&day, None, script, PATIENCE);
        played.holds();
        assert!(
            LACKING(&played),
            "the cut was felt: {}",
            played.verdict.table()
        );
        healed.get()
    }
}

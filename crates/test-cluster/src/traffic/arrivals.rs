//! The arrivals of a scenario, drawn with its seed.
//!
//! The base load, the choice of fronts, the sessions and the floods have separate random generators. Removing one of
//! them from a scenario does not change the draws of the others.

use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use rand_pcg::Pcg64Mcg;

use crate::amqp_client::{Arrival, Turn};
use crate::cluster::queue;
use crate::scenario::{FaultKind, Front, Scenario, ScenarioFault};

/// Combined with the seed of the scenario; distinguishes the generator of fronts from the others.
const FRONT_GENERATOR: u64 = 0xca11;
/// Likewise for floods.
const FLOOD_GENERATOR: u64 = 0xf100d << 8;
/// Likewise for sessions.
const SESSION_GENERATOR: u64 = 0x5e55_1011;

/// Lowest number of the functions of a scan, and the count of such numbers.
const SCANNED_FUNCTIONS: u64 = 1_000_000;
const REQUEST_BODY: &str =
    r#"{"inputs":[{"name":"drawing","shape":[4],"datatype":"FP32","data":[0.1,0.2,0.3,0.4]}]}"#;

/// All invocations of a scenario, in the order in which they are due.
pub fn arrivals(scenario: &Scenario) -> Vec<Arrival> {
    let mut all = base_load(scenario);
    if scenario.triggers.iter().any(|t| t.sessions > 0.0) {
        all = with_sessions(scenario, all);
    }
    let base = all.clone();
    for (number, fault) in scenario.faults.iter().enumerate() {
        if fault.what == FaultKind::Flood {
            add_flood(scenario, number, fault, &base, &mut all);
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// Id of the invocation with this number.
fn invocation_id(number: usize) -> String {
    format!("i{number:06}")
}

/// Draws an index with probabilities in proportion to the weights.
fn draw_weighted(random: &mut Pcg64Mcg, weights: &[f64]) -> Option<usize> {
    let mut left = random.random::<f64>() * weights.iter().sum::<f64>();
    weights.iter().position(|weight| {
        left -= weight;
        left <= 0.0
    })
}

/// The fault of this kind that is active at this time, in seconds.
fn fault_at(scenario: &Scenario, what: FaultKind, at: f64) -> Option<&ScenarioFault> {
    scenario
        .faults
        .iter()
        .find(|t| t.what == what && (t.at_s..t.at_s + t.for_s).contains(&at))
}

/// Draws the arrivals without sessions and floods.
fn base_load(scenario: &Scenario) -> Vec<Arrival> {
    let mut random = Pcg64Mcg::seed_from_u64(scenario.seed);
    let mut fronts = Pcg64Mcg::seed_from_u64(scenario.seed ^ FRONT_GENERATOR);
    let mut all = Vec::new();
    let mut at = 0.0;
    let body: Arc<str> = REQUEST_BODY.into();
    let trigger_shares: Vec<f64> = scenario.triggers.iter().map(|t| t.part).collect();
    let account_shares: Vec<f64> = scenario.accounts.iter().map(|a| a.part).collect();
    loop {
        let fault = |what: FaultKind| fault_at(scenario, what, at);
        let rate = scenario.rate_per_s * fault(FaultKind::TrafficShift).map_or(1.0, |t| t.size);
        let Ok(gap) = Exp::new(rate) else { break };
        let (hot, scan) = (fault(FaultKind::HotFunction), fault(FaultKind::Scan));
        let retries = fault(FaultKind::RetryAbuse).map_or(0, |t| t.size as u32);
        let trigger = &scenario.triggers[draw_weighted(&mut random, &trigger_shares).unwrap_or(0)];
        let account = &scenario.accounts[draw_weighted(&mut random, &account_shares).unwrap_or(0)];
        let rank = Zipf::new(f64::from(trigger.functions), trigger.skew)
            .map_or(1.0, |zipf| zipf.sample(&mut random)) as u64;
        let draw: f64 = random.random();
        let function_number = match (hot, scan) {
            (Some(hot), _) if draw < hot.part => 1,
            (_, Some(scan)) if draw < scan.part => {
                SCANNED_FUNCTIONS + random.next_u64() % SCANNED_FUNCTIONS
            }
            _ => rank,
        };
        at += gap.sample(&mut random);
        if at >= scenario.seconds {
            break;
        }
        all.push(Arrival {
            at: Duration::from_secs_f64(at),
            id: invocation_id(all.len()),
            trigger_type: trigger.name.clone(),
            function: format!("{}:{function_number}", trigger.name),
            account: account.name.clone(),
            over_kserve: fronts.random::<f64>() < scenario.kserve_part,
            queue: queue(&account.name),
            timeout_ms: trigger.client_timeout_ms,
            copy_mb: trigger.copy_mb,
            lanes: trigger.lanes,
            body: body.clone(),
            retries,
            turn: None,
        });
    }
    all
}

/// Adds the arrivals of a flood. Each copies a random arrival of the base load with another front and, if the flood has
/// one, another account.
fn add_flood(
    scenario: &Scenario,
    number: usize,
    flood: &ScenarioFault,
    base: &[Arrival],
    all: &mut Vec<Arrival>,
) {
    let mut random = Pcg64Mcg::seed_from_u64(scenario.seed ^ FLOOD_GENERATOR ^ number as u64);
    let over_kserve = flood.front == Some(Front::Kserve);
    let front_share = if over_kserve {
        scenario.kserve_part
    } else {
        1.0 - scenario.kserve_part
    };
    // The usual share of the front is part of the base load.
    let Ok(gap) = Exp::new(scenario.rate_per_s * front_share * (flood.size - 1.0)) else {
        return;
    };
    let mut at = flood.at_s;
    loop {
        at += gap.sample(&mut random);
        if at >= (flood.at_s + flood.for_s).min(scenario.seconds) {
            break;
        }
        let template = base[random.random_range(0..base.len())].clone();
        let account = flood.account.clone().unwrap_or(template.account);
        all.push(Arrival {
            at: Duration::from_secs_f64(at),
            id: invocation_id(all.len()),
            queue: queue(&account),
            account,
            over_kserve,
            turn: None,
            ..template
        });
    }
}

/// Replaces part of the arrivals by sessions. The share `sessions` of a trigger type's arrivals is selected. On average
/// one in `turns` selected arrivals starts a session; the others are dropped in favor of the further turns of sessions,
/// so that the rate stays about the same. Scenarios without sessions do not call this function.
fn with_sessions(scenario: &Scenario, singles: Vec<Arrival>) -> Vec<Arrival> {
    let mut random = Pcg64Mcg::seed_from_u64(scenario.seed ^ SESSION_GENERATOR);
    let (mut all, mut begun) = (Vec::new(), 0);
    for first in singles {
        let trigger = scenario
            .triggers
            .iter()
            .find(|t| t.name == first.trigger_type);
        let Some(trigger) = trigger.filter(|t| random.random::<f64>() < t.sessions) else {
            all.push(first);
            continue;
        };
        if random.random_range(0..trigger.turns) > 0 {
            continue;
        }
        begun += 1;
        let (session, turns) = (
            format!("s{begun:05}"),
            random.random_range(1..2 * trigger.turns),
        );
        let mut at = first.at;
        for turn in 0..turns {
            // The scenario may end before the session ends.
            if at.as_secs_f64() >= scenario.seconds {
                break;
            }
            let turn = Turn {
                session: session.clone(),
                start: turn == 0,
                end: turn + 1 == turns,
            };
            all.push(Arrival {
                at,
                turn: Some(turn),
                ..first.clone()
            });
            at += Duration::from_millis(trigger.pause_ms).mul_f64(random.random_range(0.5..1.5));
        }
    }
    all.sort_by_key(|a| a.at);
    for (number, arrival) in all.iter_mut().enumerate() {
        arrival.id = invocation_id(number);
    }
    all
}

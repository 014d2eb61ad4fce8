//! The faults of a run, drawn by seed, each at its time.

use std::time::Duration;

use crate::draws::Draws;
use crate::platform::Outage;

/// How long faults begin for.
pub const FAULTS_FOR: Duration = Duration::from_secs(14);

/// Something that is done to the routers or their surroundings.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Discovery is lost for a while.
    Outage { how: Outage, lasts: Duration },
    /// A worker drains, and is gone for the list after a while; later it is in service again.
    Drain {
        worker: usize,
        gone_after: Duration,
        away: Duration,
    },
    /// New configurations in a row: each moves discovery to another address.
    Reloads { count: u64, apart: Duration },
    /// A planned restart: the kill comes at the earliest.
    Restart { router: usize },
    /// A kill without notice, and a new start.
    Kill { router: usize },
    /// A router does not run for a while.
    Halt { router: usize, lasts: Duration },
    /// Many connections at once that send nothing, or half a request.
    Crowd { router: usize, connections: u64 },
}

/// How many routers and workers there are.
pub struct Size {
    pub routers: u64,
    pub workers: u64,
}

/// The faults of a run in the order of their times.
pub fn draw(seed: u64, size: &Size) -> Vec<(Duration, Fault)> {
    let mut draws = Draws::new(seed);
    let mut faults = vec![(draws.millis(500, 3_000), long_outage(&mut draws))];
    let has_crowd = draws.one_in(3);
    for _ in 0..8 + draws.below(6) {
        let at = draws.millis(200, FAULTS_FOR.as_millis() as u64);
        faults.push((at, one(&mut draws, size)));
    }
    if has_crowd {
        let at = draws.millis(1_000, FAULTS_FOR.as_millis() as u64);
        let router = draws.below(size.routers) as usize;
        let connections = 100 + draws.below(200);
        faults.push((
            at,
            Fault::Crowd {
                router,
                connections,
            },
        ));
    }
    faults.sort_by_key(|(at, _)| *at);
    faults
}

/// Longer than the time after which what it would tell counts as told.
fn long_outage(draws: &mut Draws) -> Fault {
    Fault::Outage {
        how: outage(draws),
        lasts: draws.millis(9_000, 12_000),
    }
}

fn outage(draws: &mut Draws) -> Outage {
    let all = [
        Outage::Silent,
        Outage::Closes,
        Outage::Garbled,
        Outage::Behind,
    ];
    all[draws.below(all.len() as u64) as usize]
}

fn one(draws: &mut Draws, size: &Size) -> Fault {
    let router = draws.below(size.routers) as usize;
    match draws.below(10) {
        0..4 => Fault::Drain {
            worker: draws.below(size.workers) as usize,
            gone_after: draws.millis(500, 4_000),
            away: draws.millis(500, 3_000),
        },
        4 => Fault::Outage {
            how: outage(draws),
            lasts: draws.millis(300, 4_000),
        },
        5 => Fault::Reloads {
            count: 1 + draws.below(3),
            apart: draws.millis(20, 400),
        },
        6 | 7 => Fault::Restart { router },
        8 => Fault::Kill { router },
        _ => Fault::Halt {
            router,
            lasts: draws.millis(50, 600),
        },
    }
}

//! Until when new work may be sent to a worker.

mod world;

use cedarpulley::interface::{Endpoint, EndpointListKind, EndpointState, WorkerIndex};
use cedarpulley_router::drain_gate::DrainGate;
use world::{MS, SECOND};

fn endpoint(worker: WorkerIndex, state: EndpointState) -> Endpoint {
    Endpoint {
        worker,
        fingerprint: 1,
        zone: 0,
        machine_kind: 0,
        cell: 0,
        state,
        weight: 1.0,
        started_at: None,
    }
}

#[test]
fn drain_grace_counts_from_the_first_report() {
    let mut gate = DrainGate::new(500 * MS);
    assert!(!gate.accepts(0, 0));
    gate.update(
        0,
        EndpointListKind::Complete,
        &[endpoint(0, EndpointState::InService)],
    );
    gate.update(
        SECOND,
        EndpointListKind::Changes,
        &[endpoint(0, EndpointState::Draining)],
    );
    gate.update(
        SECOND + 300 * MS,
        EndpointListKind::Changes,
        &[endpoint(0, EndpointState::Draining)],
    );
    gate.update(
        SECOND + 400 * MS,
        EndpointListKind::Complete,
        &[endpoint(0, EndpointState::Draining)],
    );
    assert!(gate.accepts(SECOND + 499 * MS, 0) && !gate.accepts(SECOND + 500 * MS, 0));
    gate.update(3 * SECOND, EndpointListKind::Failed, &[]);
    gate.update(
        3 * SECOND,
        EndpointListKind::Changes,
        &[endpoint(0, EndpointState::InService)],
    );
    assert!(gate.accepts(9 * SECOND, 0));
    gate.forget(0);
    assert!(!gate.accepts(9 * SECOND, 0));
    // One first heard of as it drains was told so now.
    gate.update(
        10 * SECOND,
        EndpointListKind::Changes,
        &[endpoint(0, EndpointState::Draining)],
    );
    assert!(gate.accepts(10 * SECOND + 499 * MS, 0) && !gate.accepts(11 * SECOND, 0));
}

#[test]
fn removed_worker_accepts_no_dispatch_within_its_drain_grace() {
    let mut gate = DrainGate::new(500 * MS);
    gate.update(
        0,
        EndpointListKind::Complete,
        &[
            endpoint(0, EndpointState::InService),
            endpoint(1, EndpointState::Draining),
        ],
    );
    assert!(gate.accepts(MS, 0) && gate.accepts(MS, 1));
    gate.update(
        MS,
        EndpointListKind::Changes,
        &[
            endpoint(0, EndpointState::Gone),
            endpoint(1, EndpointState::Gone),
        ],
    );
    assert!(!gate.accepts(MS, 0) && !gate.accepts(MS, 1));
}

/// Discovery outage: a dispatch that was decided in time waits for its connection while the list's lease ends.
#[test]
fn list_without_a_lease_holds_back_what_no_health_check_covers() {
    let mut gate = DrainGate::new(500 * MS);
    let listed = [0, 1].map(|worker| endpoint(worker, EndpointState::InService));
    gate.update(0, EndpointListKind::Complete, &listed);
    assert!(gate.accepts(60 * SECOND, 0), "no lease is kept here");
    gate.renew_lease(SECOND);
    assert!(gate.accepts(1_499 * MS, 0) && !gate.accepts(1_500 * MS, 0));
    gate.passed_health_check(0, 2 * SECOND);
    assert!(gate.accepts(2_499 * MS, 0) && !gate.accepts(2_500 * MS, 0));
    assert!(!gate.accepts(2_100 * MS, 1), "checks count for one worker");
    gate.renew_lease(9 * SECOND);
    assert!(gate.accepts(9 * SECOND, 1));
    gate.update(
        9 * SECOND,
        EndpointListKind::Changes,
        &[endpoint(0, EndpointState::Gone)],
    );
    gate.passed_health_check(0, 9 * SECOND);
    assert!(
        !gate.accepts(9 * SECOND, 0),
        "it has gone, whatever it says"
    );
    gate.forget(1);
    assert!(!gate.accepts(9 * SECOND, 1));
}

/// A whole list is sent again after a gap, and a worker is missing: it may have gone long ago, and what still waits for a
/// connection to it must not leave within a grace that counts from the hearing.
#[test]
fn worker_missing_from_a_complete_list_accepts_no_dispatch() {
    let mut gate = DrainGate::new(500 * MS);
    gate.update(
        0,
        EndpointListKind::Complete,
        &[
            endpoint(0, EndpointState::InService),
            endpoint(1, EndpointState::Draining),
        ],
    );
    assert!(gate.accepts(MS, 0) && gate.accepts(MS, 1));
    gate.update(
        MS,
        EndpointListKind::Complete,
        &[endpoint(2, EndpointState::InService)],
    );
    assert!(!gate.accepts(MS, 0) && !gate.accepts(MS, 1) && gate.accepts(MS, 2));
}

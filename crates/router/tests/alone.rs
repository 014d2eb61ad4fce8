//! The core where nothing beside the module chooses, the last look before a dispatch leaves, and workers'
//! indices.

use bytes::Bytes;
use cedarpulley::interface::*;
use cedarpulley_router::drain_gate::DrainGate;
use cedarpulley_router::worker_index_allocator::WorkerIndexAllocator;
use cedarpulley_router::*;

mod world;
use world::*;

fn entry(worker: WorkerIndex, standing: EndpointState) -> Endpoint {
    Endpoint {
        worker,
        fingerprint: 1,
        zone: 0,
        machine_kind: 0,
        cell: 0,
        state: standing,
        weight: 1.0,
        started_at: None,
    }
}

/// Symptom: a retry with the same token is given an answer that no worker made for it.
#[test]
fn balancer_only_router_does_not_join_retries_with_the_same_idempotency_key() {
    let mut w = World::alone(2);
    let first = Taken {
        identity: None,
        ..w.message("t", TOKENED, 0, 1)
    };
    let retry = Taken {
        identity: None,
        ..w.message("t", TOKENED, 0, 2)
    };
    w.feed(Input::Taken(first));
    let sent = w.sent();
    w.feed(Input::Taken(retry.clone()));
    assert!(w.answers().is_empty());
    w.end(sent[0], DispatchOutcome::Succeeded);
    assert_eq!(w.answers(), [(1, Fate::Succeeded, Reason::Worker)]);
    // And one after the answer is given nothing from memory.
    let late = Taken {
        delivery: Delivery {
            tag: 3,
            ..retry.delivery
        },
        ..retry
    };
    w.feed(Input::Taken(late));
    assert!(w.answers().is_empty());
    assert_eq!(
        (w.router.counts.joined_by_token, w.router.counts.remembered),
        (0, 0)
    );
}

/// Symptom: an account floods, and the core holds it back though the module would not.
#[test]
fn balancer_only_router_does_not_cap_a_flooding_account() {
    let mut w = World::alone(2);
    for tag in 0..3_000 {
        let message = Taken {
            identity: None,
            token: None,
            ..w.message("f", IDEMPOTENT, 0, tag)
        };
        w.feed(Input::Taken(message));
        assert!(w.answers().iter().all(|a| a.2 != Reason::Share));
        if let Some(ticket) = w.sent().first().copied().filter(|_| tag % 2 == 0) {
            w.end(ticket, DispatchOutcome::Errored);
        }
    }
}

/// Symptom: connecting takes time, and the dispatch leaves for a worker past its grace, or for nobody.
#[test]
fn dispatch_is_not_sent_once_its_worker_or_client_is_gone() {
    let mut w = World::alone(1);
    w.take("a", NON_IDEMPOTENT, 0, 1);
    let ticket = w.sent()[0];
    assert!(w.router.may_leave(w.now, ticket));
    w.list(&[("127.0.0.1:9000", EndpointState::Draining)]);
    assert!(w.router.may_leave(w.now + 999 * MS, ticket));
    assert!(!w.router.may_leave(w.now + SECOND, ticket));
    assert!(!w.router.may_leave(w.now + TIMEOUT, ticket));
    w.feed(Input::Departed(Delivery {
        front: 0,
        life: 0,
        tag: 1,
    }));
    assert!(!w.router.may_leave(w.now, ticket));
}

#[test]
fn drain_grace_counts_from_the_first_report() {
    let mut gate = DrainGate::new(500 * MS);
    assert!(!gate.accepts(0, 0));
    gate.update(
        0,
        EndpointListKind::Complete,
        &[entry(0, EndpointState::InService)],
    );
    gate.update(
        SECOND,
        EndpointListKind::Changes,
        &[entry(0, EndpointState::Draining)],
    );
    gate.update(
        SECOND + 300 * MS,
        EndpointListKind::Changes,
        &[entry(0, EndpointState::Draining)],
    );
    gate.update(
        SECOND + 400 * MS,
        EndpointListKind::Complete,
        &[entry(0, EndpointState::Draining)],
    );
    assert!(gate.accepts(SECOND + 499 * MS, 0) && !gate.accepts(SECOND + 500 * MS, 0));
    gate.update(3 * SECOND, EndpointListKind::Failed, &[]);
    gate.update(
        3 * SECOND,
        EndpointListKind::Changes,
        &[entry(0, EndpointState::InService)],
    );
    assert!(gate.accepts(9 * SECOND, 0));
    gate.forget(0);
    assert!(!gate.accepts(9 * SECOND, 0));
    // One first heard of as it drains was told so now.
    gate.update(
        10 * SECOND,
        EndpointListKind::Changes,
        &[entry(0, EndpointState::Draining)],
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
            entry(0, EndpointState::InService),
            entry(1, EndpointState::Draining),
        ],
    );
    assert!(gate.accepts(MS, 0) && gate.accepts(MS, 1));
    gate.update(
        MS,
        EndpointListKind::Changes,
        &[entry(0, EndpointState::Gone), entry(1, EndpointState::Gone)],
    );
    assert!(!gate.accepts(MS, 0) && !gate.accepts(MS, 1));
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
            entry(0, EndpointState::InService),
            entry(1, EndpointState::Draining),
        ],
    );
    assert!(gate.accepts(MS, 0) && gate.accepts(MS, 1));
    gate.update(
        MS,
        EndpointListKind::Complete,
        &[entry(2, EndpointState::InService)],
    );
    assert!(!gate.accepts(MS, 0) && !gate.accepts(MS, 1) && gate.accepts(MS, 2));
}

/// Workers drop repeats only within a window from the first sending. The last look before the first byte sees that it is
/// over, however long the connection took.
#[test]
fn retry_is_not_sent_after_its_deduplication_window() {
    for (trigger, outcome, still_leaves) in [
        (TOKENED, DispatchOutcome::ConnectionLost, false),
        (TOKENED, DispatchOutcome::Unreachable, true),
        (IDEMPOTENT, DispatchOutcome::ConnectionLost, true),
    ] {
        let mut w = World::alone(2);
        w.take("a", trigger, 0, 1);
        let first = w.sent()[0];
        let began = w.now;
        w.pass(MS);
        w.end(first, outcome);
        let again = w.sent()[0];
        assert!(w.router.may_leave(w.now, again) && w.router.may_leave(began + WINDOW - 1, again));
        assert_eq!(
            w.router.may_leave(began + WINDOW, again),
            still_leaves,
            "{outcome:?}"
        );
    }
}

/// Symptom: over a long day new workers take the place of old ones, and all that is kept by worker grows for
/// ever.
#[test]
fn index_of_a_removed_worker_is_reused_once_unreferenced() {
    let mut w = World::alone(1);
    w.take("a", IDEMPOTENT, 0, 1);
    let (ticket, old) = (w.sent()[0], w.router.worker_ix("127.0.0.1:9000"));
    w.list(&[
        ("127.0.0.1:9000", EndpointState::Gone),
        ("s-1", EndpointState::InService),
    ]);
    // A dispatch is still out there.
    assert_eq!(w.router.worker_ix("127.0.0.1:9000"), old);
    assert_ne!(w.router.worker_ix("s-1"), old);
    w.end(ticket, DispatchOutcome::Succeeded);
    assert_eq!(w.router.worker_ix("127.0.0.1:9000"), None);
    for n in 2..500 {
        let (was, is) = (format!("s-{}", n - 1), format!("s-{n}"));
        w.list(&[(&is, EndpointState::InService), (&was, EndpointState::Gone)]);
        assert!(w.router.worker_ix(&is).expect("listed") < 3);
        w.take(&is, IDEMPOTENT, 0, n);
        let ticket = w.sent()[0];
        w.end(ticket, DispatchOutcome::Succeeded);
    }
}

#[test]
fn complete_list_releases_indices_of_workers_it_does_not_name() {
    let mut indices = WorkerIndexAllocator::default();
    indices.update(
        EndpointListKind::Complete,
        &[
            entry(0, EndpointState::InService),
            entry(1, EndpointState::InService),
        ],
    );
    indices.reserve(1);
    indices.reserve(1);
    indices.update(EndpointListKind::Complete, &[]);
    assert_eq!(indices.take_released(), [0]);
    indices.unreserve(1);
    assert!(indices.take_released().is_empty());
    indices.unreserve(1);
    assert_eq!(indices.take_released(), [1]);
    // Told again that it is gone, under an index that was free: freed again, once.
    indices.update(EndpointListKind::Changes, &[entry(1, EndpointState::Gone)]);
    assert_eq!(indices.take_released(), [1]);
    indices.update(EndpointListKind::Failed, &[]);
    assert!(indices.take_released().is_empty());
}

/// Bodies beyond the bound are refused, whoever chooses.
#[test]
fn balancer_only_router_still_bounds_memory() {
    let mut w = World::alone(1);
    let body = Bytes::from(vec![0; 2 << 20]).into();
    let large = Taken {
        body,
        ..w.message("l", IDEMPOTENT, 0, 1)
    };
    w.feed(Input::Taken(large));
    assert_eq!(w.answers(), [(1, Fate::Throttled, Reason::Size)]);
}

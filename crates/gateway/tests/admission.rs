//! What the admission tells the core of a session's worker before it forwards an invocation of the session.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use cedarpulley::interface::{CopyStatus, DispatchOutcome, Micros};
use cedarpulley_gateway::admission::Admission;
use cedarpulley_gateway::context::GatewayContext;
use cedarpulley_net::Clock;
use cedarpulley_router::observer::{UsageSource, WorkerUsage};
use cedarpulley_router::{Delivery, IncomingInvocation, Input, Session};
use cedarpulley_startup::Names;
use cedarpulley_upgrade::sessions::SessionSettings;

const WORKER: &str = "127.0.0.1:9000";

fn turn(tag: u64) -> IncomingInvocation {
    IncomingInvocation {
        delivery: Delivery {
            front: 0,
            incarnation: 0,
            tag,
        },
        identity: None,
        name: None,
        redelivered: false,
        client_retry: false,
        trigger: 0,
        account: 0,
        function: "f".into(),
        idempotency_key: None,
        waited: 0,
        client_timeout: 1_000_000,
        cost_hint: None,
        load_hint: None,
        copy_mb: 1.0,
        lanes: 1,
        session: Some(Session {
            id: "s".into(),
            is_first: false,
            is_last: false,
        }),
        requested_function: None,
        preferred_worker: None,
        predetermined_answer: None,
        body: Default::default(),
    }
}

/// Guards against sessions leaving their warm worker: a function's homes move, and the module forgets all
/// that it believed of it.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
)]
fn recently_used_copy_is_reported_to_the_core_before_each_turn() {
    let passed: Rc<RefCell<Vec<Input>>> = Rc::default();
    let context = Rc::new(GatewayContext {
        clock: Clock::start(),
        executor: Rc::default(),
        name: "r0".into(),
        seed: 1,
        local_address: None,
        names: Names {
            triggers: vec!["t".into()],
            accounts: vec![],
            zones: vec![],
            machine_kinds: vec![],
        },
        tracks_sessions: true,
        malformed_inputs: Cell::new(0),
        core_input: Box::new(|_| {}),
    });
    let minute: Micros = 60_000_000;
    let terms = SessionSettings {
        retention: 10 * minute,
        majority_timeout: minute,
        max_sessions: 10,
        max_waiting: 10,
    };
    let core = passed.clone();
    let admission = Admission::new(
        context,
        terms,
        None,
        None,
        Box::new(move |input| core.borrow_mut().push(input)),
    );
    let stands = Rc::new(Cell::new(true));
    let used = stands.clone();
    admission.set_recent_use_check(Box::new(move |worker, function| {
        used.get() && worker == WORKER && function == "f"
    }));
    // Whether the copy is reported to the core, and which worker the invocation prefers.
    let filter_turn = |tag| {
        assert!(admission.filter(Input::MessageArrived(turn(tag))).is_none());
        let passed = std::mem::take(&mut *passed.borrow_mut());
        let held = passed.iter().any(
            |i| matches!(i, Input::CopiesReported { worker, copies: 1, .. } if **worker == *WORKER),
        );
        let Some(Input::MessageArrived(taken)) = passed.into_iter().last() else {
            panic!("it goes on")
        };
        (held, taken.preferred_worker)
    };
    assert_eq!(filter_turn(1), (false, None));
    let by = UsageSource::Dispatch(DispatchOutcome::Succeeded, CopyStatus::Warm);
    admission.observer().used(
        0,
        WorkerUsage {
            worker: 0,
            worker_name: WORKER,
            function: "f",
            session: Some("s"),
            ends_session: false,
            trigger: 0,
            account: 0,
            source: by,
            took: 1,
            copy_mb: 1.0,
            lanes: 1,
            memory_held: None,
        },
    );
    admission.process_completed();
    assert_eq!(
        (filter_turn(2), filter_turn(3)),
        ((true, Some(WORKER.into())), (true, Some(WORKER.into())))
    );
    // The copy is not known to be in use any more: nothing is reported.
    stands.set(false);
    assert_eq!(filter_turn(4), (false, Some(WORKER.into())));
}

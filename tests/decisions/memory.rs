//! The memory for what callers name and workers answer, and the rankings of workers that follow the endpoint list.

use cedarpulley::interface::*;
use proptest::prelude::*;

use crate::helpers::{answer, sent};
use crate::script::*;

/// Memory for the functions in these tests, in bytes.
const FUNCTION_BYTES: u64 = 64 << 10;
const WORKERS: u32 = 100;

fn bounded_script() -> Script {
    let mut script = Script::new(1, PLAIN, WORKERS);
    let limits = StateLimits {
        function_bytes: Some(FUNCTION_BYTES),
    };
    script.balancer = std::mem::take(&mut script.balancer).with_state_limits(limits);
    let entries: Vec<_> = (0..WORKERS)
        .map(|worker| entry(worker, EndpointState::InService, None))
        .collect();
    script.send_list(EndpointListKind::Complete, &entries);
    script
}

/// Memory of all functions, their copies and their rankings, in bytes.
fn function_bytes(script: &Script) -> u64 {
    let sizes = script.balancer.table_sizes();
    let of_functions = ["balancer functions", "balancer rankings"];
    let counted = sizes
        .0
        .iter()
        .filter(|table| of_functions.contains(&table.name));
    counted.map(|table| table.bytes as u64).sum()
}

fn released(actions: &[Action]) -> Vec<FunctionIndex> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::ReleaseFunction { function } => Some(*function),
            _ => None,
        })
        .collect()
}

/// Guards against a router that exceeds its memory while callers name ever new functions, known to workers or not.
#[test]
fn functions_that_callers_name_stay_within_their_memory() {
    for outcome in [DispatchOutcome::Errored, DispatchOutcome::Succeeded] {
        let mut script = bounded_script();
        for function in 0..1_000 {
            assert!(script.balancer.has_room_for_function());
            let (invocation, actions) = script.arrive(0, function, 1, 200 * MS);
            assert!(!released(&actions).contains(&function));
            let mut dispatch = 0;
            while script.is_in_flight(invocation) {
                script.end(invocation, dispatch, outcome, CopyStatus::Warm);
                dispatch += 1;
            }
            script.client_leaves(invocation);
            assert!(function_bytes(&script) <= FUNCTION_BYTES);
        }
    }
}

/// Guards against a router that exceeds its memory as workers report copies of functions that are all in use.
#[test]
fn copies_of_functions_in_use_stay_within_their_memory() {
    let mut script = bounded_script();
    for function in 0..20 {
        script.arrive(0, function, 1, 2 * SECOND);
        for worker in 0..WORKERS {
            script.handle(&Event::CopiesReported {
                worker,
                function,
                copies: 1,
            });
            assert!(function_bytes(&script) <= FUNCTION_BYTES);
        }
    }
}

/// Guards against new functions that are turned away while functions that nobody calls any more fill the memory.
#[test]
fn a_new_function_takes_the_place_of_the_one_unused_for_longest() {
    let mut script = bounded_script();
    let mut first_released = None;
    for function in 0..100 {
        assert!(script.balancer.has_room_for_function());
        let (invocation, mut actions) = script.arrive(0, function, 1, 2 * SECOND);
        actions.extend(answer(&mut script, invocation, MS));
        first_released = first_released.or(released(&actions).first().copied());
    }
    assert_eq!(first_released, Some(0));
    assert!(script.balancer.knows_function(99));
}

/// The worker to which an invocation of function 0 goes when no copy is expected anywhere.
fn load_target(script: &mut Script) -> Option<WorkerIndex> {
    script.now += 2 * IDLE_RETENTION;
    let (invocation, actions) = script.arrive(0, 0, 1, 2 * SECOND);
    let target = sent(&actions).first().copied();
    if target.is_some() {
        answer(script, invocation, MS);
    }
    script.client_leaves(invocation);
    target
}

proptest! {
    /// Guards against a ranking that differs from the one of a router that has just received the same list.
    #[test]
    fn a_ranking_follows_the_changes_of_the_list(
        steps in prop::collection::vec((0..12u32, any::<bool>(), any::<bool>()), 1..60),
    ) {
        let mut script = Script::new(1, PLAIN, 12);
        let mut states = [EndpointState::InService; 12];
        for (worker, in_service, is_used) in steps {
            let state = if in_service { EndpointState::InService } else { EndpointState::Gone };
            states[worker as usize] = state;
            script.send_list(EndpointListKind::Changes, &[entry(worker, state, None)]);
            if !is_used {
                continue;
            }
            let mut fresh = Script::new(1, PLAIN, 0);
            let listed: Vec<_> = states.iter().zip(0..).map(|(state, worker)| entry(worker, *state, None)).collect();
            fresh.send_list(EndpointListKind::Complete, &listed);
            prop_assert_eq!(load_target(&mut script), load_target(&mut fresh));
        }
    }
}

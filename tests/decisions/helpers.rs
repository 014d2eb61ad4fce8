//! Steps that several tests share.

use crate::script::*;
use cedarpulley::interface::*;

pub fn sent(actions: &[Action]) -> Vec<WorkerIndex> {
    let to = |a: &Action| match a {
        Action::Dispatch { worker, .. } => Some(*worker),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

pub fn ordered(actions: &[Action]) -> Vec<WorkerIndex> {
    let to = |a: &Action| match a {
        Action::LoadOrder {
            worker,
            copies: 1..,
            ..
        } => Some(*worker),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

/// Workers load on orders alone.
pub const ORDERED: Site = Site {
    orders: true,
    loads_when_absent: false,
    ..PLAIN
};

/// Has one worker loaded with the function, and returns which.
pub fn warm_up(script: &mut Script, function: FunctionIndex, lanes: u32) -> WorkerIndex {
    let (invocation, actions) = script.arrive(0, function, lanes, 2 * SECOND);
    let warm_worker = sent(&actions)[0];
    script.pass(600 * MS);
    script.end(
        invocation,
        0,
        DispatchOutcome::Succeeded,
        CopyStatus::LoadStarted,
    );
    warm_worker
}

/// Answers the invocation's first dispatch after the time given.
pub fn answer(script: &mut Script, invocation: InvocationIndex, after: Micros) -> Vec<Action> {
    script.pass(after);
    script.end(invocation, 0, DispatchOutcome::Succeeded, CopyStatus::Warm)
}

//! Helper functions that several tests share.

use crate::script::*;
use cedarpulley::interface::*;

/// The workers to which these actions dispatch invocations.
pub fn sent(actions: &[Action]) -> Vec<WorkerIndex> {
    let to = |a: &Action| match a {
        Action::Dispatch { worker, .. } => Some(*worker),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

/// The workers from which these actions order copies.
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

/// A site where workers load functions only when ordered to.
pub const LOADS_ONLY_ON_ORDER: Site = Site {
    orders: true,
    loads_when_absent: false,
    ..PLAIN
};

/// Runs one invocation of the function, so that one worker has a loaded copy, and returns that worker.
pub fn warm_up(script: &mut Script, function: FunctionIndex, lanes: u32) -> WorkerIndex {
    let (invocation, actions) = script.arrive(0, function, lanes, 2 * SECOND);
    let warm_worker = sent(&actions)[0];
    script.advance(600 * MS);
    script.end(
        invocation,
        0,
        DispatchOutcome::Succeeded,
        CopyStatus::LoadStarted,
    );
    warm_worker
}

/// Ends the invocation's first dispatch with success after the given time.
pub fn answer(script: &mut Script, invocation: InvocationIndex, after: Micros) -> Vec<Action> {
    script.advance(after);
    script.end(invocation, 0, DispatchOutcome::Succeeded, CopyStatus::Warm)
}

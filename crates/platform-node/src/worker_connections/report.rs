//! Reports the results of exchanges with workers to the core.

use std::rc::Rc;

use cedarpulley::interface::{CopyStatus, DispatchOutcome, LoadReport};
use cedarpulley_platform::attempt_outcome::{self, ExchangeEnd};
use cedarpulley_platform::worker_protocol::Answer;
use cedarpulley_router::{Input, Payload, Ticket};

use super::connection::Purpose;
use crate::node::Node;

/// Reports the end of an exchange. `answer`: the worker's answer, if one arrived.
pub(super) fn report_end(
    node: &Rc<Node>,
    purpose: Purpose,
    end: ExchangeEnd,
    answer: Option<Answer>,
) {
    let report = answer
        .as_ref()
        .map_or(LoadReport::default(), |answer| answer.report);
    let input = match purpose {
        Purpose::Attempt(ticket) => attempt_ended(node, ticket, end, answer, report),
        Purpose::LoadOrder(ticket) => Input::OrderEnded {
            ticket,
            result: attempt_outcome::load_order_result(end),
            copies: answer.map_or(0, |answer| answer.copies),
            memory_held: None,
        },
        Purpose::Probe { worker, started } => {
            let outcome = attempt_outcome::probe_outcome(end);
            let workers = &node.workers;
            workers
                .readiness
                .check_ended(node.worker_name(worker), outcome);
            Input::ProbeEnded {
                worker,
                outcome,
                took: node.clock.now() - started,
                report,
            }
        }
    };
    node.feed(input);
}

/// The input that reports the end of an attempt. The load of the function is reported only if the settings say that
/// workers report it, and only for an attempt that succeeded or was rejected.
fn attempt_ended(
    node: &Node,
    ticket: Ticket,
    end: ExchangeEnd,
    answer: Option<Answer>,
    report: LoadReport,
) -> Input {
    let outcome = attempt_outcome::dispatch_outcome(end);
    let has_function_load = node.workers.protocol().reports_function_load
        && matches!(
            outcome,
            DispatchOutcome::Succeeded | DispatchOutcome::Rejected
        );
    let function_load = answer
        .as_ref()
        .filter(|_| has_function_load)
        .map(|answer| answer.function_load);
    let body = answer
        .filter(|_| outcome == DispatchOutcome::Succeeded)
        .map(|answer| Payload::from(answer.body));
    Input::DispatchEnded {
        ticket,
        outcome,
        copy_status: CopyStatus::Unreported,
        function_load,
        report,
        memory_held: None,
        body: body.unwrap_or_default(),
    }
}

//! Submits invocations to the balancer.

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::{Arrival, Event, FunctionInfo, InvocationIndex, WorkerIndex};

use super::{Output, Router};

impl Router {
    /// Submits the invocation to the balancer.
    pub(super) fn submit_to_balancer(&mut self, index: InvocationIndex, out: &mut Vec<Output>) {
        let Some(invocation) = self.invocations.get_mut(index) else {
            return;
        };
        invocation.set_known_to_balancer(true);
        self.observers
            .accepted(self.now, index, &invocation.request);
        let Some(arrival) = self.arrival(index) else {
            return;
        };
        if self.functions.mark_known_to_balancer(arrival.function)
            && let Some(worker) = arrival.preferred_worker
        {
            self.introduce_warm_function(worker, &arrival, out);
        }
        self.decide(&Event::Invocation(arrival), out);
        let queued = self
            .invocations
            .get(index)
            .is_some_and(|invocation| invocation.is_open() && invocation.attempts().is_empty());
        self.counts.queued += u64::from(queued);
        self.release(index, out);
    }

    /// Builds the description of the invocation that the balancer receives.
    fn arrival(&self, index: InvocationIndex) -> Option<Arrival> {
        let request = &self.invocations.get(index)?.request;
        Some(Arrival {
            invocation: index,
            trigger: request.trigger,
            account: request.account,
            function: request.function_index,
            fingerprint: fingerprint(&request.function),
            cost_hint: request.cost_hint,
            load_hint: request.load_hint,
            copy_mb: request.copy_mb,
            lanes: request.lanes,
            client_timeout_in: request.answer_due_at - self.now,
            waited: request.waited + self.now - request.accepted_at,
            repeat: request.client_retry,
            preferred_worker: request
                .preferred_worker
                .as_deref()
                .and_then(|name| self.workers.find(name)),
        })
    }

    /// Makes a function known to the balancer as loaded at a worker. This is done when the first invocation of a
    /// function at this router belongs to a session whose state that worker holds. The balancer ignores reports on
    /// functions that it does not know, and would otherwise send the invocation to another worker. The function is
    /// introduced through a request for a copy at that worker. The load order that the balancer then returns is not
    /// sent, as another router has just reported that the copy is loaded.
    fn introduce_warm_function(
        &mut self,
        worker: WorkerIndex,
        arrival: &Arrival,
        out: &mut Vec<Output>,
    ) {
        let function = FunctionInfo {
            function: arrival.function,
            fingerprint: arrival.fingerprint,
            trigger: arrival.trigger,
            lanes: arrival.lanes,
        };
        let mut wanted = Vec::new();
        self.decide(&Event::CopyWanted { worker, function }, &mut wanted);
        for output in wanted {
            match output {
                Output::LoadOrder { ticket, .. } => self.skip_order(ticket, out),
                other => out.push(other),
            }
        }
        // If the balancer returned no load order, it does not yet know that the copy is loaded.
        self.decide(
            &Event::CopiesReported {
                worker,
                function: arrival.function,
                copies: 1,
            },
            out,
        );
    }
}

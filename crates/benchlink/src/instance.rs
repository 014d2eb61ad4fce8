//! A hosted balancer with the benchmark's ids of its invocations, functions and workers.

use cedarpulley::Balancer;
use cedarpulley::ids::{Interner, fingerprint};
use cedarpulley::interface::*;
use cedarpulley_startup::{RawSettings, ReportField, StartupSettings};

use crate::codec::{self, ExternalIds};
use crate::error::{ProtocolError, Result};

/// The state of an invocation that determines whether its id is still needed.
#[derive(Clone, Copy, Default)]
struct InvocationState {
    /// Whether the invocation has its final answer or its client has left.
    ended: bool,
    dispatches_in_flight: u32,
}

/// The ids of invocations. An id is kept until its invocation has ended and has no dispatch in flight.
#[derive(Default)]
struct InvocationIds {
    ids: Interner<String>,
    /// By index.
    states: Vec<InvocationState>,
}

impl InvocationIds {
    /// Assigns an index to a new invocation.
    fn insert(&mut self, id: &str) -> InvocationIndex {
        let index = self.ids.intern(id);
        if self.states.len() <= index as usize {
            self.states
                .resize(index as usize + 1, InvocationState::default());
        }
        self.states[index as usize] = InvocationState::default();
        index
    }

    /// The state of the invocation with this index.
    fn state(&mut self, index: InvocationIndex) -> &mut InvocationState {
        &mut self.states[index as usize]
    }

    /// Releases the index if the invocation has ended and has no dispatch in flight.
    fn release_if_unused(&mut self, index: InvocationIndex) {
        let state = self.states[index as usize];
        if state.ended && state.dispatches_in_flight == 0 {
            self.ids.release(index);
        }
    }
}

/// A hosted balancer.
pub struct Instance {
    /// The benchmark's id of the instance.
    router: u32,
    balancer: Balancer,
    report_fields: Vec<ReportField>,
    reports_function_load: bool,
    trigger_count: u32,
    invocations: InvocationIds,
    functions: Interner<String>,
    workers: Interner<String>,
}

impl Instance {
    /// Starts a balancer with the settings in `settings`, a text of `name=value` pairs.
    pub fn start(router: u32, seed: u64, settings: &str) -> Result<Self> {
        let raw = RawSettings::from_pairs(settings)?;
        let settings = StartupSettings::read(&raw)?;
        Ok(Instance {
            router,
            balancer: settings.balancer(seed),
            report_fields: ReportField::from_settings(&raw),
            reports_function_load: settings.loads.reports_function_load,
            trigger_count: settings.triggers.len() as u32,
            invocations: InvocationIds::default(),
            functions: Interner::default(),
            workers: Interner::default(),
        })
    }

    /// Hands an event to the balancer and appends its actions to `reply`.
    pub fn handle(&mut self, now: Micros, event: &Event, reply: &mut Vec<u8>) -> Result<()> {
        let mut actions = Vec::new();
        self.balancer.handle(now, event, &mut actions);
        let event_invocation = self.track_event(event);
        for action in &actions {
            codec::write_action(reply, self.router, action, self)?;
            match *action {
                Action::Dispatch { invocation, .. } => {
                    self.invocations.state(invocation).dispatches_in_flight += 1;
                }
                Action::Reject { invocation, .. } | Action::Fail { invocation } => {
                    self.invocations.state(invocation).ended = true;
                }
                _ => {}
            }
        }
        // Indices are released only after all actions are written, as a later action may refer to the same index.
        for action in &actions {
            match *action {
                Action::Reject { invocation, .. } | Action::Fail { invocation } => {
                    self.invocations.release_if_unused(invocation);
                }
                Action::ReleaseFunction { function } => self.functions.release(function),
                _ => {}
            }
        }
        if let Some(invocation) = event_invocation {
            self.invocations.release_if_unused(invocation);
        }
        Ok(())
    }

    /// Updates the state of the invocation that the event concerns, and returns its index.
    fn track_event(&mut self, event: &Event) -> Option<InvocationIndex> {
        match *event {
            Event::Invocation(Arrival { invocation, .. }) => Some(invocation),
            Event::ClientLeft { invocation } => {
                self.invocations.state(invocation).ended = true;
                Some(invocation)
            }
            Event::DispatchEnded(DispatchEnded {
                invocation,
                answered,
                ..
            }) => {
                let state = self.invocations.state(invocation);
                state.dispatches_in_flight = state.dispatches_in_flight.saturating_sub(1);
                state.ended |= answered;
                Some(invocation)
            }
            _ => None,
        }
    }

    /// Returns the index of a worker that has been in an endpoint list.
    pub fn known_worker(&self, id: &str) -> Result<WorkerIndex> {
        self.workers
            .find(id)
            .ok_or_else(|| ProtocolError::UnknownWorker { id: id.to_owned() })
    }

    /// Returns the index of a worker in an endpoint list, which is assigned if need be, and the fingerprint of its id.
    pub fn list_worker(&mut self, id: &str) -> (WorkerIndex, u64) {
        (self.workers.intern(id), fingerprint(id))
    }

    /// Returns the index of an invocation whose id has not been released.
    pub fn find_invocation(&self, id: &str) -> Option<InvocationIndex> {
        self.invocations.ids.find(id)
    }

    /// Assigns an index to a new invocation, whose id must not be in use.
    pub fn new_invocation(&mut self, id: &str) -> Result<InvocationIndex> {
        if self.find_invocation(id).is_some() {
            return Err(ProtocolError::InvocationIdInUse { id: id.to_owned() });
        }
        Ok(self.invocations.insert(id))
    }

    /// Returns the index of a function that the balancer has not released.
    pub fn find_function(&self, name: &str) -> Option<FunctionIndex> {
        self.functions.find(name)
    }

    /// Returns the index of a function, which is assigned if need be, and the fingerprint of its name.
    pub fn intern_function(&mut self, name: &str) -> (FunctionIndex, u64) {
        (self.functions.intern(name), fingerprint(name))
    }

    /// Number of trigger types in the settings.
    pub fn trigger_count(&self) -> u32 {
        self.trigger_count
    }

    /// Names of the fields in load reports.
    pub fn report_fields(&self) -> &[ReportField] {
        &self.report_fields
    }

    /// Whether the field `remark` contains the load of the function.
    pub fn reports_function_load(&self) -> bool {
        self.reports_function_load
    }
}

impl ExternalIds for Instance {
    fn invocation_id(&self, index: InvocationIndex) -> Result<&str> {
        self.invocations
            .ids
            .id(index)
            .map(String::as_str)
            .ok_or(ProtocolError::UnknownIndex { what: "invocation" })
    }

    fn function_id(&self, index: FunctionIndex) -> Result<&str> {
        self.functions
            .id(index)
            .map(String::as_str)
            .ok_or(ProtocolError::UnknownIndex { what: "function" })
    }

    fn worker_id(&self, index: WorkerIndex) -> Result<&str> {
        self.workers
            .id(index)
            .map(String::as_str)
            .ok_or(ProtocolError::UnknownIndex { what: "worker" })
    }
}

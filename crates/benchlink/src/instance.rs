//! One hosted balancer, and the ids that the benchmark uses for its invocations, functions and workers.

use cedarpulley::Balancer;
use cedarpulley::ids::{Interner, fingerprint};
use cedarpulley::interface::*;
use cedarpulley_startup::{RawSettings, ReportField, StartupSettings};

use crate::codec::{self, ExternalIds};
use crate::error::{ProtocolError, Result};

/// What still needs the id of an invocation.
#[derive(Clone, Copy, Default)]
struct InvocationState {
    ended: bool,
    dispatches_in_flight: u32,
}

/// Ids of invocations, each until its invocation has ended and no dispatch of it is in flight.
#[derive(Default)]
struct InvocationIds {
    ids: Interner<String>,
    /// By index.
    states: Vec<InvocationState>,
}

impl InvocationIds {
    fn insert(&mut self, id: &str) -> InvocationIndex {
        let index = self.ids.intern(id);
        if self.states.len() <= index as usize {
            self.states
                .resize(index as usize + 1, InvocationState::default());
        }
        self.states[index as usize] = InvocationState::default();
        index
    }

    fn state(&mut self, index: InvocationIndex) -> &mut InvocationState {
        &mut self.states[index as usize]
    }

    fn release_if_unused(&mut self, index: InvocationIndex) {
        let state = self.states[index as usize];
        if state.ended && state.dispatches_in_flight == 0 {
            self.ids.release(index);
        }
    }
}

/// A balancer under the id `router`.
pub struct Instance {
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
    /// Starts a balancer with the settings in this text.
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

    /// Hands an event to the balancer and writes its actions.
    pub fn handle(&mut self, now: Micros, event: &Event, reply: &mut Vec<u8>) -> Result<()> {
        let mut actions = Vec::new();
        self.balancer.handle(now, event, &mut actions);
        let concerned = self.note_event(event);
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
        // Only once every action is written: a later one may name the same index.
        for action in &actions {
            match *action {
                Action::Reject { invocation, .. } | Action::Fail { invocation } => {
                    self.invocations.release_if_unused(invocation);
                }
                Action::ReleaseFunction { function } => self.functions.release(function),
                _ => {}
            }
        }
        if let Some(invocation) = concerned {
            self.invocations.release_if_unused(invocation);
        }
        Ok(())
    }

    /// Follows the state of the invocation that the event concerns, and gives its index.
    fn note_event(&mut self, event: &Event) -> Option<InvocationIndex> {
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

    /// A worker that was on a list.
    pub fn known_worker(&self, id: &str) -> Result<WorkerIndex> {
        self.workers
            .find(id)
            .ok_or_else(|| ProtocolError::UnknownWorker { id: id.to_owned() })
    }

    /// A worker on a list, with the fingerprint of its id.
    pub fn list_worker(&mut self, id: &str) -> (WorkerIndex, u64) {
        (self.workers.intern(id), fingerprint(id))
    }

    /// An invocation that still has its id.
    pub fn find_invocation(&self, id: &str) -> Option<InvocationIndex> {
        self.invocations.ids.find(id)
    }

    /// Gives a new invocation its index; its id must not be in use.
    pub fn new_invocation(&mut self, id: &str) -> Result<InvocationIndex> {
        if self.find_invocation(id).is_some() {
            return Err(ProtocolError::InvocationIdInUse { id: id.to_owned() });
        }
        Ok(self.invocations.insert(id))
    }

    /// A function that the balancer has not released.
    pub fn find_function(&self, name: &str) -> Option<FunctionIndex> {
        self.functions.find(name)
    }

    /// A function's index, which is new if need be, and the fingerprint of its name.
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

    /// Whether remarks contain the load of a function.
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

//! Which records belong to a cut: by time, and then by function, account, worker or invocation. Free of I/O: records
//! go in, in order, and [`RecordSelector::belongs`] says which belong. Invocation indices are assigned again, so
//! invocations that belong are followed.

use std::collections::{HashMap, HashSet};

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::{Action, Arrival, Event, InvocationIndex, Micros};

use crate::records::{NameKind, Record, RecordedEvent};
use crate::start::Source;

/// What belongs to the cut; an absent criterion accepts all.
#[derive(Clone, Debug, Default)]
pub struct SelectionCriteria {
    /// Wall clock in microseconds.
    pub from: Option<Micros>,
    /// Wall clock in microseconds, exclusive.
    pub until: Option<Micros>,
    /// Name of the function.
    pub function: Option<String>,
    /// Name of the account.
    pub account: Option<String>,
    /// Address of the worker.
    pub worker: Option<String>,
    /// Correlation id that a client gave its invocation.
    pub correlation_id: Option<String>,
}

impl SelectionCriteria {
    /// Whether only a span of time is asked for.
    pub fn only_time(&self) -> bool {
        !self.by_invocation()
    }

    fn by_invocation(&self) -> bool {
        self.function.is_some()
            || self.account.is_some()
            || self.worker.is_some()
            || self.correlation_id.is_some()
    }
}

/// Selects the records of one source, read from its first wanted block on.
pub struct RecordSelector<'a> {
    wanted: &'a SelectionCriteria,
    /// Hash of the wanted correlation id.
    key: Option<u64>,
    account: Option<u32>,
    names: HashMap<(NameKind, u32), String>,
    /// Open invocations with the wanted correlation id.
    with_key: HashSet<InvocationIndex>,
    /// Open invocations that belong.
    belonging: HashSet<InvocationIndex>,
}

impl<'a> RecordSelector<'a> {
    /// Absent if nothing of this source can belong.
    pub fn new(wanted: &'a SelectionCriteria, source: &Source) -> Option<Self> {
        let account = match &wanted.account {
            None => None,
            Some(name) => Some(source.start.account_names.iter().position(|n| n == name)? as u32),
        };
        Some(RecordSelector {
            wanted,
            key: wanted.correlation_id.as_deref().map(fingerprint),
            account,
            names: HashMap::new(),
            with_key: HashSet::new(),
            belonging: HashSet::new(),
        })
    }

    /// The wanted span in the source's router time.
    pub fn span(&self, source: &Source) -> (Micros, Micros) {
        let router_time = |wall: Micros| wall.saturating_sub(source.wall(0));
        (
            self.wanted.from.map_or(Micros::MIN, router_time),
            self.wanted.until.map_or(Micros::MAX, router_time),
        )
    }

    /// The present name of an index.
    pub fn name(&self, kind: NameKind, index: u32) -> Option<&str> {
        self.names.get(&(kind, index)).map(String::as_str)
    }

    fn is_wanted_worker(&self, index: u32) -> bool {
        self.wanted
            .worker
            .as_deref()
            .is_some_and(|worker| self.name(NameKind::Worker, index) == Some(worker))
    }

    /// Whether the next record belongs. A name record never does by itself: names are remembered here, for the records
    /// that use them.
    pub fn belongs(&mut self, at: Micros, span: (Micros, Micros), record: &Record) -> bool {
        if let Record::Name { kind, index, name } = record {
            self.names.insert((*kind, *index), name.clone());
            return false;
        }
        let inside = at >= span.0 && at < span.1;
        if !self.wanted.by_invocation() {
            return inside;
        }
        // Followed outside of the span too: what began before it may end within.
        let belongs = match record {
            Record::Name { .. } => false,
            Record::Gap { .. } => true,
            Record::Rejected { account, .. }
            | Record::Answered {
                invocation: None,
                account,
                ..
            } => self.is_wanted_unseen(*account),
            Record::Accepted {
                invocation,
                correlation_hash,
                ..
            } => self.accepted(*invocation, *correlation_hash),
            Record::Answered {
                invocation: Some(invocation),
                ..
            } => self.belonging.contains(invocation),
            Record::Decided { event, actions } => self.decided(event, actions),
        };
        belongs && inside
    }

    /// Of an invocation that never reached the decision module only the account is known.
    fn is_wanted_unseen(&self, account: u32) -> bool {
        self.account == Some(account) && self.wanted.function.is_none() && self.key.is_none()
    }

    fn accepted(&mut self, invocation: InvocationIndex, key: Option<u64>) -> bool {
        self.belonging.remove(&invocation);
        self.with_key.remove(&invocation);
        let wanted = self.key.is_some() && key == self.key;
        if wanted {
            self.with_key.insert(invocation);
        }
        wanted
    }

    fn decided(&mut self, event: &RecordedEvent, actions: &[Action]) -> bool {
        let mut belongs = self.event_belongs(event);
        for action in actions {
            belongs |= self.action_belongs(action);
        }
        belongs
    }

    fn event_belongs(&mut self, event: &RecordedEvent) -> bool {
        match event {
            RecordedEvent::List { endpoints, .. } => endpoints
                .iter()
                .any(|endpoint| self.is_wanted_worker(endpoint.worker)),
            RecordedEvent::Other(Event::Invocation(arrival)) => {
                self.arrived(arrival);
                self.belonging.contains(&arrival.invocation)
            }
            RecordedEvent::Other(
                Event::ProbeEnded { worker, .. }
                | Event::OrderEnded { worker, .. }
                | Event::CopyWanted { worker, .. }
                | Event::CopiesReported { worker, .. },
            ) => self.is_wanted_worker(*worker),
            RecordedEvent::Other(Event::DispatchEnded(ended)) => {
                self.is_wanted_worker(ended.worker) || self.belonging.contains(&ended.invocation)
            }
            RecordedEvent::Other(
                Event::ClientLeft { invocation } | Event::AnswerStarted { invocation, .. },
            ) => self.belonging.contains(invocation),
            // A list is never among the others.
            RecordedEvent::Other(
                Event::Timer { .. } | Event::EndpointListLease { .. } | Event::EndpointList { .. },
            ) => false,
        }
    }

    /// By worker alone an invocation belongs from its dispatch there on.
    fn arrived(&mut self, arrival: &Arrival) {
        let function = self.wanted.function.as_deref();
        if function.is_none() && self.account.is_none() && self.key.is_none() {
            return;
        }
        let fits = function
            .is_none_or(|name| self.name(NameKind::Function, arrival.function) == Some(name))
            && self
                .account
                .is_none_or(|account| account == arrival.account)
            && (self.key.is_none() || self.with_key.contains(&arrival.invocation));
        if fits {
            self.belonging.insert(arrival.invocation);
        }
    }

    fn action_belongs(&mut self, action: &Action) -> bool {
        match *action {
            Action::Dispatch {
                invocation, worker, ..
            } => {
                if self.is_wanted_worker(worker) {
                    self.belonging.insert(invocation);
                }
                self.belonging.contains(&invocation)
            }
            Action::Cancel { invocation, .. }
            | Action::Reject { invocation, .. }
            | Action::Fail { invocation } => self.belonging.contains(&invocation),
            Action::LoadOrder { worker, .. }
            | Action::Unload { worker, .. }
            | Action::Probe { worker } => self.is_wanted_worker(worker),
            Action::Timer { .. }
            | Action::RequestEndpointList { .. }
            | Action::ReleaseFunction { .. } => false,
        }
    }
}

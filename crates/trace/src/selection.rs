//! Selects the records that belong to a cut: by time, and by function, account, worker or correlation id. Does no I/O:
//! [`RecordSelector::belongs`] decides for each record, in order. Invocation indices are reused, so the selector tracks
//! which open invocations belong.

use std::collections::{HashMap, HashSet};

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::{Action, Arrival, Event, InvocationIndex, Micros};

use crate::records::{NameKind, Record, RecordedEvent};
use crate::start::Source;

/// The criteria of a cut; an absent criterion accepts all records.
#[derive(Clone, Debug, Default)]
pub struct SelectionCriteria {
    /// Beginning of the span: wall clock in microseconds since 1970, inclusive.
    pub from: Option<Micros>,
    /// End of the span: wall clock in microseconds since 1970, exclusive.
    pub until: Option<Micros>,
    /// Name of the function.
    pub function: Option<String>,
    /// Name of the account.
    pub account: Option<String>,
    /// Address of the worker.
    pub worker: Option<String>,
    /// Correlation id that the client assigned to the invocation.
    pub correlation_id: Option<String>,
}

impl SelectionCriteria {
    /// Whether time is the only criterion.
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

/// Selects the records of one source, which are passed in order from the first wanted block on.
pub struct RecordSelector<'a> {
    wanted: &'a SelectionCriteria,
    /// Hash of the wanted correlation id.
    correlation_hash: Option<u64>,
    /// Index of the wanted account.
    account: Option<u32>,
    /// Current names by kind and index.
    names: HashMap<(NameKind, u32), String>,
    /// Open invocations with the wanted correlation id.
    with_correlation_id: HashSet<InvocationIndex>,
    /// Open invocations that belong to the cut.
    selected: HashSet<InvocationIndex>,
}

impl<'a> RecordSelector<'a> {
    /// Creates the selector of a source; absent if no record of it can belong, as it does not have the wanted account.
    pub fn new(wanted: &'a SelectionCriteria, source: &Source) -> Option<Self> {
        let account = match &wanted.account {
            None => None,
            Some(name) => Some(source.start.account_names.iter().position(|n| n == name)? as u32),
        };
        Some(RecordSelector {
            wanted,
            correlation_hash: wanted.correlation_id.as_deref().map(fingerprint),
            account,
            names: HashMap::new(),
            with_correlation_id: HashSet::new(),
            selected: HashSet::new(),
        })
    }

    /// The wanted span in the router time of the source.
    pub fn span(&self, source: &Source) -> (Micros, Micros) {
        let router_time = |wall: Micros| wall.saturating_sub(source.wall(0));
        (
            self.wanted.from.map_or(Micros::MIN, router_time),
            self.wanted.until.map_or(Micros::MAX, router_time),
        )
    }

    /// The current name of an index.
    pub fn name(&self, kind: NameKind, index: u32) -> Option<&str> {
        self.names.get(&(kind, index)).map(String::as_str)
    }

    fn is_wanted_worker(&self, index: u32) -> bool {
        self.wanted
            .worker
            .as_deref()
            .is_some_and(|worker| self.name(NameKind::Worker, index) == Some(worker))
    }

    /// Whether the next record belongs to the cut. Name records never do: the names are kept here for the records that
    /// use them.
    pub fn belongs(&mut self, at: Micros, span: (Micros, Micros), record: &Record) -> bool {
        if let Record::Name { kind, index, name } = record {
            self.names.insert((*kind, *index), name.clone());
            return false;
        }
        let inside = at >= span.0 && at < span.1;
        if !self.wanted.by_invocation() {
            return inside;
        }
        // Invocations are tracked outside the span too, since an invocation that began before it may end within it.
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
            } => self.selected.contains(invocation),
            Record::Decided { event, actions } => self.decided(event, actions),
        };
        belongs && inside
    }

    /// Whether the record of an invocation that never reached the balancer belongs: only its account is known.
    fn is_wanted_unseen(&self, account: u32) -> bool {
        self.account == Some(account)
            && self.wanted.function.is_none()
            && self.correlation_hash.is_none()
    }

    fn accepted(&mut self, invocation: InvocationIndex, correlation_hash: Option<u64>) -> bool {
        self.selected.remove(&invocation);
        self.with_correlation_id.remove(&invocation);
        let wanted = self.correlation_hash.is_some() && correlation_hash == self.correlation_hash;
        if wanted {
            self.with_correlation_id.insert(invocation);
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
                self.selected.contains(&arrival.invocation)
            }
            RecordedEvent::Other(
                Event::ProbeEnded { worker, .. }
                | Event::OrderEnded { worker, .. }
                | Event::CopyWanted { worker, .. }
                | Event::CopiesReported { worker, .. },
            ) => self.is_wanted_worker(*worker),
            RecordedEvent::Other(Event::DispatchEnded(ended)) => {
                self.is_wanted_worker(ended.worker) || self.selected.contains(&ended.invocation)
            }
            RecordedEvent::Other(
                Event::ClientLeft { invocation } | Event::AnswerStarted { invocation, .. },
            ) => self.selected.contains(invocation),
            // Endpoint lists are recorded as `RecordedEvent::List`.
            RecordedEvent::Other(
                Event::Timer { .. }
                | Event::EndpointListLease { .. }
                | Event::DrainLease(_)
                | Event::EndpointList { .. },
            ) => false,
        }
    }

    /// Tracks a new invocation. If the worker is the only criterion, an invocation belongs from its dispatch to that
    /// worker on.
    fn arrived(&mut self, arrival: &Arrival) {
        let function = self.wanted.function.as_deref();
        if function.is_none() && self.account.is_none() && self.correlation_hash.is_none() {
            return;
        }
        let fits = function
            .is_none_or(|name| self.name(NameKind::Function, arrival.function) == Some(name))
            && self
                .account
                .is_none_or(|account| account == arrival.account)
            && (self.correlation_hash.is_none()
                || self.with_correlation_id.contains(&arrival.invocation));
        if fits {
            self.selected.insert(arrival.invocation);
        }
    }

    fn action_belongs(&mut self, action: &Action) -> bool {
        match *action {
            Action::Dispatch {
                invocation, worker, ..
            } => {
                if self.is_wanted_worker(worker) {
                    self.selected.insert(invocation);
                }
                self.selected.contains(&invocation)
            }
            Action::Cancel { invocation, .. }
            | Action::Reject { invocation, .. }
            | Action::Fail { invocation } => self.selected.contains(&invocation),
            Action::LoadOrder { worker, .. }
            | Action::Unload { worker, .. }
            | Action::Probe { worker } => self.is_wanted_worker(worker),
            Action::Timer { .. }
            | Action::RequestEndpointList { .. }
            | Action::ReleaseFunction { .. } => false,
        }
    }
}

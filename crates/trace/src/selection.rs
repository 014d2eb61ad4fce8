//! Which records belong to a cut: by time, and then by function, account, worker or invocation. Free of I/O: records
//! go in, in order, and those that belong come out. Indices are given out again, so what belongs is followed.

use std::collections::{HashMap, HashSet};

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::{Action, Event, InvocationIndex, Micros};

use crate::records::{Record, RecordedEvent, Space};
use crate::start::Source;

/// What is wanted; an absent one asks for all.
#[derive(Clone, Debug, Default)]
pub struct Wanted {
    /// Wall's microseconds.
    pub from: Option<Micros>,
    pub until: Option<Micros>,
    pub function: Option<String>,
    pub account: Option<String>,
    pub worker: Option<String>,
    pub mark: Option<String>,
}

impl Wanted {
    /// Nothing else than a span is asked for.
    pub fn only_time(&self) -> bool {
        !self.by_invocation()
    }

    fn by_invocation(&self) -> bool {
        self.function.is_some()
            || self.account.is_some()
            || self.worker.is_some()
            || self.mark.is_some()
    }
}

/// For one file, read from its first wanted block on.
pub struct RecordSelector<'a> {
    wanted: &'a Wanted,
    mark: Option<u64>,
    account: Option<u32>,
    names: HashMap<(Space, u32), String>,
    /// Whose mark was the one asked for; and those that belong while they are out.
    marked: HashSet<InvocationIndex>,
    belongs: HashSet<InvocationIndex>,
}

impl<'a> RecordSelector<'a> {
    /// Absent if nothing of this file can belong.
    pub fn new(wanted: &'a Wanted, source: &Source) -> Option<Self> {
        let account = match &wanted.account {
            None => None,
            Some(name) => Some(source.start.accounts_named.iter().position(|n| n == name)? as u32),
        };
        Some(RecordSelector {
            wanted,
            mark: wanted.mark.as_deref().map(fingerprint),
            account,
            names: HashMap::new(),
            marked: HashSet::new(),
            belongs: HashSet::new(),
        })
    }

    /// The span in the file's own time.
    pub fn span(&self, source: &Source) -> (Micros, Micros) {
        let own = |wall: Micros| wall.saturating_sub(source.wall(0));
        (
            self.wanted.from.map_or(Micros::MIN, own),
            self.wanted.until.map_or(Micros::MAX, own),
        )
    }

    pub fn name(&self, space: Space, ix: u32) -> Option<&str> {
        self.names.get(&(space, ix)).map(String::as_str)
    }

    fn is_worker(&self, ix: u32) -> bool {
        self.wanted
            .worker
            .as_deref()
            .is_some_and(|w| self.name(Space::Worker, ix) == Some(w))
    }

    /// Names are kept here and told with what uses them: a name alone never belongs.
    pub fn belongs(&mut self, at: Micros, span: (Micros, Micros), record: &Record) -> bool {
        if let Record::Name {
            kind: space,
            index: ix,
            name: text,
        } = record
        {
            self.names.insert((*space, *ix), text.clone());
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
            Record::TurnedAway { account, .. } => {
                self.account == Some(*account)
                    && self.wanted.function.is_none()
                    && self.mark.is_none()
            }
            Record::Taken { inv, mark, .. } => {
                self.belongs.remove(inv);
                self.marked.remove(inv);
                if self.mark.is_some() && *mark == self.mark {
                    self.marked.insert(*inv);
                }
                self.marked.contains(inv)
            }
            Record::Answered { inv: Some(inv), .. } => self.belongs.contains(inv),
            Record::Answered {
                inv: None, account, ..
            } => {
                self.account == Some(*account)
                    && self.wanted.function.is_none()
                    && self.mark.is_none()
            }
            Record::Decided {
                event: happened,
                actions,
            } => self.decided(happened, actions),
        };
        belongs && inside
    }

    fn decided(&mut self, happened: &RecordedEvent, actions: &[Action]) -> bool {
        let mut any = false;
        match happened {
            RecordedEvent::List {
                endpoints: entries, ..
            } => any |= entries.iter().any(|e| self.is_worker(e.worker)),
            RecordedEvent::Other(Event::Invocation(a)) => {
                let function = self.wanted.function.as_deref();
                let fits = function
                    .is_none_or(|f| self.name(Space::Function, a.function) == Some(f))
                    && self.account.is_none_or(|own| own == a.account)
                    && (self.mark.is_none() || self.marked.contains(&a.invocation));
                // By worker alone an invocation belongs from its dispatch there on.
                let only_worker =
                    function.is_none() && self.account.is_none() && self.mark.is_none();
                if fits && !only_worker {
                    self.belongs.insert(a.invocation);
                }
            }
            RecordedEvent::Other(
                Event::ProbeEnded { worker, .. }
                | Event::OrderEnded { worker, .. }
                | Event::CopyWanted { worker, .. }
                | Event::CopiesReported { worker, .. },
            ) => {
                any |= self.is_worker(*worker);
            }
            RecordedEvent::Other(Event::DispatchEnded(e)) => {
                any |= self.is_worker(e.worker) || self.belongs.contains(&e.invocation);
            }
            RecordedEvent::Other(
                Event::ClientLeft { invocation: inv }
                | Event::AnswerStarted {
                    invocation: inv, ..
                },
            ) => {
                any |= self.belongs.contains(inv);
            }
            // A list is never among the others.
            RecordedEvent::Other(Event::Timer { .. } | Event::EndpointList { .. }) => {}
        }
        if let RecordedEvent::Other(Event::Invocation(a)) = happened {
            any |= self.belongs.contains(&a.invocation);
        }
        for action in actions {
            match action {
                Action::Dispatch {
                    invocation: inv,
                    worker,
                    ..
                } => {
                    if self.is_worker(*worker) {
                        self.belongs.insert(*inv);
                    }
                    any |= self.belongs.contains(inv);
                }
                Action::Cancel {
                    invocation: inv, ..
                }
                | Action::Reject {
                    invocation: inv, ..
                }
                | Action::Fail { invocation: inv } => {
                    any |= self.belongs.contains(inv);
                }
                Action::LoadOrder { worker, .. }
                | Action::Unload { worker, .. }
                | Action::Probe { worker } => {
                    any |= self.is_worker(*worker);
                }
                _ => {}
            }
        }
        any
    }
}

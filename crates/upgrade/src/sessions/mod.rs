//! Keeps the version to which each session is bound and the worker that has cached its prefix. [`Sessions::handle`]
//! takes each event; [`Sessions::next_due`] returns when [`Input::Tick`] is due.
//!
//! Mechanisms:
//! 1. Before the first dispatch from here, a majority chooses the version to which a session is bound. It chooses only
//!    once. Its answer is cached.
//! 2. The majority retains its record for a time after the last request, and the record is renewed while the session is
//!    in use. The cached answer is valid for a slightly shorter time, so that it expires here before the record expires
//!    at the other members.
//! 3. Invocations that wait for a majority are bounded in number and time.
//! 4. The worker that answered a session last is preferred. The other routers are notified when it changes.

mod events;
mod table;

use std::collections::BTreeSet;

use cedarpulley::interface::Micros;

use crate::Name;
pub use events::{Counts, Input, Output, RejectionReason, SessionPlacement, SessionSettings};
use table::{Binding, SessionTable, WaitingInvocation};

/// Over the time of the retention, the clocks of two members may drift apart by up to the retention divided by this
/// number.
const CLOCK_DRIFT_DIVISOR: Micros = 8;
/// Precedes model and session in the key of a binding's record.
pub const BINDING_PREFIX: &str = "s\n";
/// Precedes model and session in the key of a placement's note.
const PLACEMENT_PREFIX: &str = "p\n";

/// The key of the binding's record that a majority stores. Names of sessions do not contain the separator.
pub fn binding_key(model: &str, session: &str) -> Name {
    Name::from([BINDING_PREFIX, model, "\n", session].concat())
}

/// The key of the note by which other routers are notified of a placement.
pub fn placement_key(model: &str, session: &str) -> Name {
    Name::from([PLACEMENT_PREFIX, model, "\n", session].concat())
}

/// An invocation that has arrived.
struct Arrival {
    ticket: u64,
    key: Name,
    proposed_version: Option<Name>,
    published_placement: Option<SessionPlacement>,
}

/// The sessions of one router.
#[derive(Clone, Debug)]
pub struct Sessions {
    settings: SessionSettings,
    sessions: SessionTable,
    /// Deadline and ticket of each waiting invocation, and the key of its session.
    deadlines: BTreeSet<(Micros, u64, Name)>,
    /// Counters, for `GET /state`.
    pub counts: Counts,
}

impl Sessions {
    /// A table without any session.
    pub fn new(settings: SessionSettings) -> Sessions {
        Sessions {
            settings,
            sessions: SessionTable::default(),
            deadlines: BTreeSet::new(),
            counts: Counts::default(),
        }
    }

    /// Handles an event and does what is due; `now` is in microseconds.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Arrived {
                ticket,
                model,
                session,
                proposed_version,
                published_placement,
            } => {
                let arrival = Arrival {
                    ticket,
                    key: binding_key(&model, &session),
                    proposed_version,
                    published_placement,
                };
                self.arrived(now, arrival, out);
            }
            Input::Dropped { ticket } => self.dropped(ticket),
            Input::Decided { key, version } => self.decided(&key, version, out),
            Input::Answered {
                model,
                session,
                worker,
                ends_session,
            } => {
                let worker = if ends_session {
                    Name::default()
                } else {
                    worker
                };
                self.place(now, &model, &session, worker, out);
            }
            Input::PrefixLost {
                model,
                session,
                worker,
            } => {
                let known = self.sessions.get(&binding_key(&model, &session));
                if known.is_some_and(|session| session.placement.worker == worker) {
                    self.place(now, &model, &session, Name::default(), out);
                }
            }
            Input::WorkerGone { worker } => self.forget_worker(&worker),
            Input::Tick => {}
        }
        self.reject_overdue(now, out);
        self.sessions.expire(now, self.settings.retention);
    }

    /// When [`Input::Tick`] is due, in microseconds; the maximum if it is not needed.
    pub fn next_due(&self) -> Micros {
        self.deadlines.first().map_or(Micros::MAX, |first| first.0)
    }

    /// Number of invocations that wait for a majority.
    pub fn waiting_count(&self) -> usize {
        self.deadlines.len()
    }

    /// The versions of all bindings known here.
    pub fn bound_versions(&self) -> impl Iterator<Item = &Name> {
        self.sessions
            .values()
            .filter_map(|session| session.binding.as_ref().map(|binding| &binding.version))
    }

    fn arrived(&mut self, now: Micros, arrival: Arrival, out: &mut Vec<Output>) {
        let settings = self.settings;
        let is_full = self.deadlines.len() >= settings.max_waiting;
        self.counts.sessions_forgotten +=
            self.sessions.make_room(&arrival.key, settings.max_sessions);
        let session = self.sessions.touch(now, &arrival.key);
        let current = session.placement.number;
        if let Some(placement) = arrival
            .published_placement
            .filter(|placement| placement.number > current)
        {
            (session.placement, session.placed_by_other) = (placement, true);
        }
        let ticket = arrival.ticket;
        let Some(proposed_version) = arrival.proposed_version else {
            return out.push(session.forward(ticket, None));
        };
        let valid = session
            .binding
            .clone()
            .filter(|binding| now < binding.valid_until);
        if valid.is_none() && is_full {
            self.counts.sessions_refused_full += 1;
            return out.push(Output::Reject {
                ticket,
                reason: RejectionReason::Full,
            });
        }
        // A binding in use is renewed once less than half of the retention is left.
        let needs_request = valid
            .as_ref()
            .is_none_or(|binding| binding.valid_until - now < settings.retention / 2);
        if needs_request && let Some(version) = session.request_binding(now, proposed_version) {
            out.push(Output::RequestBinding {
                key: arrival.key.clone(),
                version,
                retention: settings.retention,
            });
        }
        if let Some(binding) = valid {
            return out.push(session.forward(ticket, Some(binding.version)));
        }
        let deadline = now.saturating_add(settings.majority_timeout);
        session.waiting.push(WaitingInvocation { ticket, deadline });
        self.deadlines.insert((deadline, ticket, arrival.key));
    }

    /// Clears a worker that is gone from all placements. Other routers may still publish it; the endpoint list then
    /// does not contain it.
    fn forget_worker(&mut self, worker: &Name) {
        for session in self.sessions.values_mut() {
            if session.placement.worker == *worker {
                session.placement.worker = Name::default();
            }
        }
    }

    fn dropped(&mut self, ticket: u64) {
        let mut deadlines = self.deadlines.iter();
        let Some(entry) = deadlines.find(|entry| entry.1 == ticket).cloned() else {
            return;
        };
        self.deadlines.remove(&entry);
        if let Some(session) = self.sessions.get_mut(&entry.2) {
            session.stop_waiting(ticket);
        }
    }

    fn decided(&mut self, key: &Name, version: Option<Name>, out: &mut Vec<Output>) {
        let Some(session) = self.sessions.get_mut(key) else {
            return;
        };
        // The session was not requested from here or was evicted since, so it is not known when the record was created.
        let Some(requested_at) = session.requested_at.take() else {
            return;
        };
        session.request_again = false;
        let waiting = std::mem::take(&mut session.waiting);
        for invocation in &waiting {
            let entry = (invocation.deadline, invocation.ticket, key.clone());
            self.deadlines.remove(&entry);
        }
        let Some(version) = version else {
            self.counts.sessions_without_majority += waiting.len() as u64;
            return out.extend(waiting.into_iter().map(|invocation| Output::Reject {
                ticket: invocation.ticket,
                reason: RejectionReason::NoMajority,
            }));
        };
        match &session.binding {
            None => self.counts.sessions_bound += 1,
            Some(known) if known.version == version => self.counts.sessions_renewed += 1,
            Some(_) => self.counts.sessions_rebound += 1,
        }
        // Whatever its clocks, a majority retains the record for at least this time after the request.
        let retention = self.settings.retention;
        session.binding = Some(Binding {
            version: version.clone(),
            valid_until: requested_at.saturating_add(retention - retention / CLOCK_DRIFT_DIVISOR),
        });
        let preferred_worker = session.preferred_worker();
        let placed_by_other_router = session.take_placed_by_other();
        out.extend(waiting.into_iter().map(|invocation| Output::Forward {
            ticket: invocation.ticket,
            version: Some(version.clone()),
            preferred_worker: preferred_worker.clone(),
            placed_by_other_router,
        }));
    }

    /// The session's prefix is now cached at this worker; an empty name means at none.
    fn place(
        &mut self,
        now: Micros,
        model: &str,
        session: &str,
        worker: Name,
        out: &mut Vec<Output>,
    ) {
        let binding_key = binding_key(model, session);
        let capacity = self.settings.max_sessions;
        self.counts.sessions_forgotten += self.sessions.make_room(&binding_key, capacity);
        let known = self.sessions.touch(now, &binding_key);
        if known.placement.worker == worker {
            return;
        }
        known.placement = SessionPlacement {
            number: known.placement.number + 1,
            worker,
        };
        self.counts.sessions_moved += 1;
        out.push(Output::PublishPlacement {
            key: placement_key(model, session),
            placement: known.placement.clone(),
            retention: self.settings.retention,
        });
    }

    /// Rejects invocations past their deadline. Without this, invocations that wait for a majority's answer would never
    /// be answered if the answer is lost in transit.
    fn reject_overdue(&mut self, now: Micros, out: &mut Vec<Output>) {
        while let Some((deadline, ticket, key)) = self.deadlines.first().cloned()
            && deadline <= now
        {
            self.deadlines.pop_first();
            if let Some(session) = self.sessions.get_mut(&key) {
                session.stop_waiting(ticket);
                session.request_again = true;
            }
            self.counts.sessions_without_majority += 1;
            out.push(Output::Reject {
                ticket,
                reason: RejectionReason::NoMajority,
            });
        }
    }
}

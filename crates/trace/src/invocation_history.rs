//! Describes the history of one invocation in a few lines. The invocation is identified by the correlation id that its
//! client assigned.

use std::collections::HashMap;

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::{Action, Event, InvocationIndex, Micros};

use crate::records::{NameKind, Record, RecordedEvent};
use crate::start::Source;

/// Finds the records of one correlation id among the records of one source, which are passed in order.
pub struct InvocationHistory {
    /// Hash of the correlation id.
    correlation_hash: u64,
    /// Index of the invocation while it is open; indices are reused.
    invocation: Option<InvocationIndex>,
    workers: HashMap<u32, String>,
    functions: HashMap<u32, String>,
    /// The history so far; each line begins with the wall clock in seconds since 1970.
    pub lines: Vec<String>,
}

impl InvocationHistory {
    /// Creates an empty history of this correlation id.
    pub fn new(correlation_id: &str) -> Self {
        InvocationHistory {
            correlation_hash: fingerprint(correlation_id),
            invocation: None,
            workers: HashMap::new(),
            functions: HashMap::new(),
            lines: Vec::new(),
        }
    }

    /// Adds a line with the wall clock and the name of the router.
    fn line(&mut self, source: &Source, at: Micros, text: &str) {
        let wall = source.wall(at);
        let (seconds, micros) = (wall.div_euclid(1_000_000), wall.rem_euclid(1_000_000));
        self.lines.push(format!(
            "{seconds}.{micros:06} {}: {text}",
            source.start.router
        ));
    }

    /// Adds the next record, with its router time.
    pub fn record(&mut self, source: &Source, at: Micros, record: &Record) {
        match record {
            Record::Name { kind, index, name } => {
                let names = match kind {
                    NameKind::Worker => &mut self.workers,
                    NameKind::Function => &mut self.functions,
                };
                names.insert(*index, name.clone());
            }
            Record::Accepted {
                invocation,
                front,
                correlation_hash: Some(correlation_hash),
                redelivered,
            } if *correlation_hash == self.correlation_hash => {
                self.invocation = Some(*invocation);
                let front = source.start.front_names.get(*front as usize);
                let front = front.map_or("?", String::as_str);
                let again = if *redelivered {
                    ", delivered again"
                } else {
                    ""
                };
                self.line(source, at, &format!("taken from {front}{again}"));
            }
            // The index is reused for another invocation.
            Record::Accepted { invocation, .. } if self.invocation == Some(*invocation) => {
                self.invocation = None
            }
            Record::Answered {
                invocation: Some(invocation),
                outcome,
                reason,
                took,
                ..
            } if self.invocation == Some(*invocation) => {
                let millis = *took as f64 / 1e3;
                let text = format!("answered: {outcome:?}, {reason:?}, after {millis:.1} ms");
                self.line(source, at, &text);
            }
            Record::Decided { event, actions } => {
                if let Some(followed) = self.invocation {
                    self.decided(followed, source, at, event, actions);
                }
            }
            Record::Gap { records, .. } if self.invocation.is_some() => {
                self.line(source, at, &format!("{records} records are missing here"));
            }
            _ => {}
        }
    }

    fn decided(
        &mut self,
        followed: InvocationIndex,
        source: &Source,
        at: Micros,
        event: &RecordedEvent,
        actions: &[Action],
    ) {
        let mut lines = Vec::new();
        lines.extend(self.event_line(followed, source, event));
        lines.extend(actions.iter().filter_map(|a| self.action_line(followed, a)));
        let arrived = matches!(event, RecordedEvent::Other(Event::Invocation(arrival)) if arrival.invocation == followed);
        if arrived && !crate::records::is_settled(followed, actions) {
            lines.push("held".into());
        }
        for text in lines {
            self.line(source, at, &text);
        }
    }

    fn worker(&self, index: u32) -> String {
        let name = self.workers.get(&index).cloned();
        name.unwrap_or_else(|| index.to_string())
    }

    fn event_line(
        &self,
        followed: InvocationIndex,
        source: &Source,
        event: &RecordedEvent,
    ) -> Option<String> {
        let RecordedEvent::Other(event) = event else {
            return None;
        };
        match event {
            Event::Invocation(arrival) if arrival.invocation == followed => {
                let function = self.functions.get(&arrival.function);
                let trigger = source.start.trigger_names.get(arrival.trigger as usize);
                Some(format!(
                    "{} for {}, gives up in {:.0} ms",
                    trigger.map_or("?", String::as_str),
                    function.map_or("?", String::as_str),
                    arrival.client_timeout_in as f64 / 1e3
                ))
            }
            Event::DispatchEnded(ended) if ended.invocation == followed => Some(format!(
                "dispatch {} to {}: {:?} after {:.1} ms",
                ended.dispatch,
                self.worker(ended.worker),
                ended.outcome,
                ended.took as f64 / 1e3
            )),
            Event::ClientLeft { invocation } if *invocation == followed => {
                Some("its client left".into())
            }
            _ => None,
        }
    }

    fn action_line(&self, followed: InvocationIndex, action: &Action) -> Option<String> {
        match *action {
            Action::Dispatch {
                invocation, worker, ..
            } if invocation == followed => Some(format!("dispatched to {}", self.worker(worker))),
            Action::Cancel {
                invocation,
                dispatch,
            } if invocation == followed => Some(format!("dispatch {dispatch} called back")),
            Action::Reject { invocation, .. } if invocation == followed => {
                Some("given up, harmlessly".into())
            }
            Action::Fail { invocation } if invocation == followed => {
                Some("given up with an error".into())
            }
            _ => None,
        }
    }
}

//! The life of one invocation in a few lines, by the mark that its client gave it.

use std::collections::HashMap;

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::{Action, Event, InvocationIndex, Micros};

use crate::records::{Record, RecordedEvent, Space};
use crate::start::Source;

/// Follows marks through the records of one file, in order.
pub struct Follow {
    mark: u64,
    /// Its index while it is out: indices are given out again.
    inv: Option<InvocationIndex>,
    workers: HashMap<u32, String>,
    functions: HashMap<u32, String>,
    pub lines: Vec<String>,
}

impl Follow {
    pub fn new(mark: &str) -> Self {
        Follow {
            mark: fingerprint(mark),
            inv: None,
            workers: HashMap::new(),
            functions: HashMap::new(),
            lines: Vec::new(),
        }
    }

    fn line(&mut self, source: &Source, at: Micros, text: String) {
        let wall = source.wall(at);
        let (s, us) = (wall.div_euclid(1_000_000), wall.rem_euclid(1_000_000));
        self.lines
            .push(format!("{s}.{us:06} {}: {text}", source.start.router));
    }

    pub fn record(&mut self, source: &Source, at: Micros, record: &Record) {
        match record {
            Record::Name {
                kind: space,
                index: ix,
                name: text,
            } => {
                let names = if *space == Space::Worker {
                    &mut self.workers
                } else {
                    &mut self.functions
                };
                names.insert(*ix, text.clone());
            }
            Record::Taken {
                inv,
                front,
                mark: Some(mark),
                redelivered,
            } if *mark == self.mark => {
                self.inv = Some(*inv);
                let front = source
                    .start
                    .fronts_named
                    .get(*front as usize)
                    .map_or("?", String::as_str);
                let again = if *redelivered {
                    ", delivered again"
                } else {
                    ""
                };
                self.line(source, at, format!("taken from {front}{again}"));
            }
            // Its index went to another.
            Record::Taken { inv, .. } if self.inv == Some(*inv) => self.inv = None,
            Record::Answered {
                inv: Some(inv),
                fate,
                reason,
                took,
                ..
            } if self.inv == Some(*inv) => {
                self.line(
                    source,
                    at,
                    format!(
                        "answered: {fate:?}, {reason:?}, after {:.1} ms",
                        *took as f64 / 1e3
                    ),
                );
            }
            Record::Decided {
                event: happened,
                actions,
            } => self.decided(source, at, happened, actions),
            Record::Gap { records, .. } if self.inv.is_some() => {
                self.line(source, at, format!("{records} records are missing here"));
            }
            _ => {}
        }
    }

    fn decided(
        &mut self,
        source: &Source,
        at: Micros,
        happened: &RecordedEvent,
        actions: &[Action],
    ) {
        let Some(own) = self.inv else { return };
        let worker = |ix: &u32| {
            self.workers
                .get(ix)
                .cloned()
                .unwrap_or_else(|| ix.to_string())
        };
        let mut texts = Vec::new();
        match happened {
            RecordedEvent::Other(Event::Invocation(a)) if a.invocation == own => {
                let function = self.functions.get(&a.function).map_or("?", String::as_str);
                let kind = source
                    .start
                    .triggers_named
                    .get(a.trigger as usize)
                    .map_or("?", String::as_str);
                texts.push(format!(
                    "{kind} for {function}, gives up in {:.0} ms",
                    a.client_timeout_in as f64 / 1e3
                ));
            }
            RecordedEvent::Other(Event::DispatchEnded(e)) if e.invocation == own => {
                let (name, took) = (worker(&e.worker), e.took as f64 / 1e3);
                texts.push(format!(
                    "dispatch {} to {name}: {:?} after {took:.1} ms",
                    e.dispatch, e.outcome
                ));
            }
            RecordedEvent::Other(Event::ClientLeft { invocation: inv }) if *inv == own => {
                texts.push("its client left".into())
            }
            _ => {}
        }
        let mut acted = false;
        for action in actions {
            match action {
                Action::Dispatch {
                    invocation: inv,
                    worker: w,
                    ..
                } if *inv == own => {
                    acted = true;
                    texts.push(format!("dispatched to {}", worker(w)));
                }
                Action::Cancel {
                    invocation: inv,
                    dispatch,
                } if *inv == own => {
                    texts.push(format!("dispatch {dispatch} called back"));
                }
                Action::Reject {
                    invocation: inv, ..
                } if *inv == own => {
                    acted = true;
                    texts.push("given up, harmlessly".into());
                }
                Action::Fail { invocation: inv } if *inv == own => {
                    acted = true;
                    texts.push("given up with an error".into());
                }
                _ => {}
            }
        }
        if matches!(happened, RecordedEvent::Other(Event::Invocation(a)) if a.invocation == own)
            && !acted
        {
            texts.push("held".into());
        }
        for text in texts {
            self.line(source, at, text);
        }
    }
}

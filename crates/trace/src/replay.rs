//! Feeds recorded events to the balancer of this build: [`replay`] stops at the first decision that differs, [`redo`]
//! continues to the end and writes the decisions of this build.

mod redo;

use std::io::{Read, Seek};

use cedarpulley::Balancer;
use cedarpulley::interface::{Action, Micros};

use crate::Error;
use crate::action_codec::encode_action;
use crate::blocks::for_each_named_index;
use crate::codec::Encoder;
use crate::reader::{BlockRead, Reader};
use crate::records::{Record, RecordedEvent};
use crate::start::{Provenance, Source, module_digest};
pub use redo::redo;

/// Number of preceding related decisions that are reported with the first difference.
const REPORTED_BEFORE: usize = 5;
/// Largest number of recent decisions that are searched for related ones; when it is reached, the older half is
/// dropped.
const MAX_RECENT: usize = 4096;

/// The first decision that differs.
#[derive(Debug)]
pub struct Difference {
    /// Number of the decision, from 1.
    pub decision: u64,
    /// Router time of the decision.
    pub at: Micros,
    /// The event.
    pub event: RecordedEvent,
    /// The actions in the trace.
    pub recorded: Vec<Action>,
    /// The actions of the balancer of this build.
    pub replayed: Vec<Action>,
    /// The last decisions before it about the same workers or functions, as text.
    pub before: Vec<String>,
}

/// The result of a replay.
#[derive(Debug, Default)]
pub struct ReplayResult {
    /// Number of decisions replayed.
    pub decisions: u64,
    /// Time from the first decision to the last, in microseconds.
    pub span: Micros,
    /// Whether the trace was recorded by the same balancer source code as that of this build.
    pub same_module: bool,
    /// The first difference; absent if no decision differs.
    pub difference: Option<Difference>,
    /// Why the replay stopped before the end of the files; absent if it did not.
    pub stopped: Option<String>,
}

/// A recorded decision: its router time, the event and the actions.
pub type Decided = (Micros, RecordedEvent, Vec<Action>);

/// Whether two lists of actions have the same encoding.
pub fn same_encoding(some: &[Action], others: &[Action]) -> bool {
    let bytes = |actions: &[Action]| {
        let mut out = Encoder::default();
        actions.iter().for_each(|a| encode_action(&mut out, a));
        out.bytes
    };
    bytes(some) == bytes(others)
}

/// A step of a replay.
#[derive(Debug)]
pub enum ReplayStep {
    /// A block begins. Each block contains the names that its records use.
    Block,
    /// A recorded decision, replayed.
    Decided {
        /// Router time.
        at: Micros,
        /// The event.
        event: RecordedEvent,
        /// The actions in the trace.
        recorded: Vec<Action>,
        /// The actions of the balancer of this build, which received the same events from the beginning.
        replayed: Vec<Action>,
    },
    /// A record that is not a decision of the balancer.
    Other {
        /// Router time.
        at: Micros,
        /// The record.
        record: Record,
    },
}

/// The source of a file that is replayed.
fn source<R: Read + Seek>(reader: &Reader<R>) -> &Source {
    &reader.sources[reader.only_source.unwrap_or(0) as usize]
}

/// Whether a replay continues.
#[derive(PartialEq, Eq)]
enum Progress {
    Continue,
    Stop,
}

/// A replay in progress.
struct Driver<F> {
    balancer: Balancer,
    result: ReplayResult,
    first_decision: Option<Micros>,
    /// Called with each step; returns whether to continue.
    each: F,
}

impl<F: FnMut(ReplayStep) -> Result<bool, Error>> Driver<F> {
    /// Records why the replay stops.
    fn stop(&mut self, why: String) -> Progress {
        self.result.stopped = Some(why);
        Progress::Stop
    }

    fn step(&mut self, step: ReplayStep) -> Result<Progress, Error> {
        Ok(if (self.each)(step)? {
            Progress::Continue
        } else {
            Progress::Stop
        })
    }

    /// Replays the next file of the series.
    fn file<R: Read + Seek>(
        &mut self,
        number: usize,
        reader: &mut Reader<R>,
    ) -> Result<Progress, Error> {
        if source(reader).start.file_number != number as u64 {
            return Ok(self.stop(format!("file {number} of the row is missing")));
        }
        while let Some(found) = reader.next()? {
            let progress = match found {
                BlockRead::Block { records, .. } => self.block(records)?,
                BlockRead::Damaged { offset, cause } => {
                    let why = format!("file {number} is damaged at byte {offset}: {cause}");
                    self.stop(why)
                }
            };
            if progress == Progress::Stop {
                return Ok(Progress::Stop);
            }
        }
        Ok(Progress::Continue)
    }

    fn block(&mut self, records: Vec<(Micros, Record)>) -> Result<Progress, Error> {
        if self.step(ReplayStep::Block)? == Progress::Stop {
            return Ok(Progress::Stop);
        }
        for (at, record) in records {
            let step = match record {
                Record::Decided { event, actions } => self.decide(at, event, actions),
                Record::Gap { records, .. } => {
                    return Ok(self.stop(format!("{records} records were lost at {at} us")));
                }
                record => ReplayStep::Other { at, record },
            };
            if self.step(step)? == Progress::Stop {
                return Ok(Progress::Stop);
            }
        }
        Ok(Progress::Continue)
    }

    fn decide(&mut self, at: Micros, event: RecordedEvent, recorded: Vec<Action>) -> ReplayStep {
        let mut replayed = Vec::new();
        self.balancer.handle(at, &event.event(), &mut replayed);
        self.result.decisions += 1;
        self.result.span = at - *self.first_decision.get_or_insert(at);
        ReplayStep::Decided {
            at,
            event,
            recorded,
            replayed,
        }
    }
}

/// Replays the files of one router incarnation in order, beginning with its first file. Of a file with several sources,
/// only [`Reader::only_source`] is replayed. `each` is called with each step and returns whether to continue. After a
/// first difference, the state of the balancer reflects its own actions, while the events report the results of the
/// recorded ones: later differences may be consequences of the first.
pub fn replay_steps<R: Read + Seek>(
    files: &mut [Reader<R>],
    each: impl FnMut(ReplayStep) -> Result<bool, Error>,
) -> Result<ReplayResult, Error> {
    let Some(first) = files.first().map(source) else {
        return Err(Error::NoFile);
    };
    if !matches!(first.provenance, Provenance::Original | Provenance::Redone) {
        let why = format!(
            "it is {:?}, and only what is whole can be replayed",
            first.provenance
        );
        return Ok(ReplayResult {
            stopped: Some(why.to_lowercase()),
            ..ReplayResult::default()
        });
    }
    if first.start.file_number != 0 {
        return Err(Error::NotFirstFile {
            file: first.start.file_number,
        });
    }
    let mut driver = Driver {
        balancer: first.start.balancer(),
        result: ReplayResult {
            same_module: first.start.module_digest == module_digest(),
            ..ReplayResult::default()
        },
        first_decision: None,
        each,
    };
    for (number, reader) in files.iter_mut().enumerate() {
        if driver.file(number, reader)? == Progress::Stop {
            break;
        }
    }
    Ok(driver.result)
}

/// Reads the decisions of a file in order.
pub struct DecisionReader<R> {
    reader: Reader<R>,
    records: std::vec::IntoIter<(Micros, Record)>,
}

impl<R: Read + Seek> DecisionReader<R> {
    /// Creates a decision reader that begins at the position of `reader`.
    pub fn new(reader: Reader<R>) -> Self {
        DecisionReader {
            reader,
            records: Vec::new().into_iter(),
        }
    }

    /// The next decision; absent at the end of the file.
    ///
    /// # Errors
    /// Fails when the file cannot be read, and at the first damaged block.
    #[expect(
        clippy::should_implement_trait,
        reason = "read errors are returned apart from the decisions, which an iterator cannot do"
    )]
    pub fn next(&mut self) -> Result<Option<Decided>, Error> {
        loop {
            for (at, record) in self.records.by_ref() {
                if let Record::Decided { event, actions } = record {
                    return Ok(Some((at, event, actions)));
                }
            }
            match self.reader.next()? {
                None => return Ok(None),
                Some(BlockRead::Block { records, .. }) => self.records = records.into_iter(),
                Some(BlockRead::Damaged { offset, cause }) => {
                    return Err(Error::Damaged { offset, cause });
                }
            }
        }
    }
}

/// Replays the files of one router incarnation up to the first decision that differs.
pub fn replay<R: Read + Seek>(files: &mut [Reader<R>]) -> Result<ReplayResult, Error> {
    let mut recent: Vec<Decided> = Vec::new();
    let (mut difference, mut decision) = (None, 0);
    let result = replay_steps(files, |step| {
        let ReplayStep::Decided {
            at,
            event,
            recorded,
            replayed,
        } = step
        else {
            return Ok(true);
        };
        decision += 1;
        if !same_encoding(&replayed, &recorded) {
            let before = related(&recent, &event, &recorded, &replayed);
            difference = Some(Difference {
                decision,
                at,
                event,
                recorded,
                replayed,
                before,
            });
            return Ok(false);
        }
        if recent.len() >= MAX_RECENT {
            recent.drain(..MAX_RECENT / 2);
        }
        recent.push((at, event, recorded));
        Ok(true)
    })?;
    Ok(ReplayResult {
        difference,
        ..result
    })
}

/// Recent decisions about the same workers or functions, as text, oldest first.
fn related(
    recent: &[Decided],
    event: &RecordedEvent,
    recorded: &[Action],
    replayed: &[Action],
) -> Vec<String> {
    let mut concerned = Vec::new();
    for_each_named_index(event, recorded, |kind, index| concerned.push((kind, index)));
    for_each_named_index(event, replayed, |kind, index| concerned.push((kind, index)));
    let touches = |event: &RecordedEvent, actions: &[Action]| {
        let mut any = false;
        for_each_named_index(event, actions, |kind, index| {
            any |= concerned.contains(&(kind, index));
        });
        any
    };
    let mut found: Vec<String> = recent
        .iter()
        .rev()
        .filter(|(_, event, actions)| touches(event, actions))
        .take(REPORTED_BEFORE)
        .map(|(at, event, actions)| format!("{at} us: {} -> {actions:?}", describe_event(event)))
        .collect();
    found.reverse();
    found
}

/// Describes an event in a line; an endpoint list by its kind and size.
pub fn describe_event(event: &RecordedEvent) -> String {
    match event {
        RecordedEvent::List { kind, endpoints } => format!("List {kind:?} of {}", endpoints.len()),
        RecordedEvent::Other(event) => format!("{event:?}"),
    }
}

//! Feeds recorded events to this build's decision module: [`replay`] stops at the first decision that differs, [`redo`]
//! goes through to the end and writes what this build's module decides.

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

/// Related decisions before the first that differs that are reported with it.
const REPORTED_BEFORE: usize = 5;
/// DecisionReader among which related ones are looked for: at this many the older half is forgotten.
const MAX_RECENT: usize = 4096;

/// The first decision that differs.
#[derive(Debug)]
pub struct Difference {
    /// Its number, from 1.
    pub decision: u64,
    /// Router time.
    pub at: Micros,
    /// The event.
    pub event: RecordedEvent,
    /// The actions in the trace.
    pub recorded: Vec<Action>,
    /// The actions of this build's module.
    pub replayed: Vec<Action>,
    /// DecisionReader just before about the same workers or functions, as text.
    pub before: Vec<String>,
}

/// What a replay found.
#[derive(Debug, Default)]
pub struct ReplayResult {
    /// DecisionReader replayed.
    pub decisions: u64,
    /// Router time from the first decision to the last.
    pub span: Micros,
    /// Recorded by the decision module of this build.
    pub same_module: bool,
    /// Absent if none differs.
    pub difference: Option<Difference>,
    /// Why it went no further, if not to the end.
    pub stopped: Option<String>,
}

/// Router time, the event, and the recorded actions.
pub type Decided = (Micros, RecordedEvent, Vec<Action>);

/// Whether two lists of actions are written as the same bytes.
pub fn alike(some: &[Action], others: &[Action]) -> bool {
    let bytes = |actions: &[Action]| {
        let mut out = Encoder::default();
        actions.iter().for_each(|a| encode_action(&mut out, a));
        out.bytes
    };
    bytes(some) == bytes(others)
}

/// What a series of files contains, in order.
#[derive(Debug)]
pub enum ReplayStep {
    /// A block begins here; blocks stand alone, with the names that they use.
    Block,
    /// A recorded decision, replayed.
    Decided {
        /// Router time.
        at: Micros,
        /// The event.
        event: RecordedEvent,
        /// The actions in the trace.
        recorded: Vec<Action>,
        /// The actions of this build's module, from the same events all along.
        replayed: Vec<Action>,
    },
    /// A record that the decision module has no part in.
    Other {
        /// Router time.
        at: Micros,
        /// The record.
        record: Record,
    },
}

/// The one source of a file that is read.
fn source<R: Read + Seek>(reader: &Reader<R>) -> &Source {
    &reader.sources[reader.only_source.unwrap_or(0) as usize]
}

/// Whether a replay goes on.
#[derive(PartialEq, Eq)]
enum Progress {
    GoOn,
    Stop,
}

/// A replay under way.
struct Driver<F> {
    balancer: Balancer,
    result: ReplayResult,
    first_decision: Option<Micros>,
    /// Takes each step, and says whether to go on.
    each: F,
}

impl<F: FnMut(ReplayStep) -> Result<bool, Error>> Driver<F> {
    fn stop(&mut self, why: String) -> Progress {
        self.result.stopped = Some(why);
        Progress::Stop
    }

    fn step(&mut self, step: ReplayStep) -> Result<Progress, Error> {
        Ok(if (self.each)(step)? {
            Progress::GoOn
        } else {
            Progress::Stop
        })
    }

    /// The next file of the series.
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
        Ok(Progress::GoOn)
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
        Ok(Progress::GoOn)
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

/// Replays the files of one router incarnation, from its first on, in order; of a file with several sources, the one
/// that is `only` read. `each` says whether to go on. After a first difference the module goes on believing what it
/// asked for itself, while events tell of what was done: what differs later may follow from that alone.
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

/// Reads the decisions of a file, one after the other.
pub struct DecisionReader<R> {
    reader: Reader<R>,
    records: std::vec::IntoIter<(Micros, Record)>,
}

impl<R: Read + Seek> DecisionReader<R> {
    /// From the reader's position on.
    pub fn new(reader: Reader<R>) -> Self {
        DecisionReader {
            reader,
            records: Vec::new().into_iter(),
        }
    }

    /// The next decision; absent at the end.
    ///
    /// # Errors
    /// When the file cannot be read, and at the first damaged block.
    #[expect(
        clippy::should_implement_trait,
        reason = "reading fails with an error of its own, which an iterator's item would hide"
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

/// Stops at the first decision that differs.
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
        if !alike(&replayed, &recorded) {
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

/// An event in a line; an endpoint list by its size.
pub fn describe_event(event: &RecordedEvent) -> String {
    match event {
        RecordedEvent::List { kind, endpoints } => format!("List {kind:?} of {}", endpoints.len()),
        RecordedEvent::Other(event) => format!("{event:?}"),
    }
}

//! Drives the module anew with what was recorded: [`replay`] stops at the first decision that differs, [`redo`] goes
//! through to the end and keeps what this build's module decides.

use std::collections::HashMap;
use std::io::{Read, Seek, Write};

use cedarpulley::interface::{Action, Micros};

use crate::Error;
use crate::blocks::{Gather, for_each_named_index};
use crate::codec::Encoder;
use crate::event_codec::encode_action;
use crate::reader::{Found, Reader};
use crate::records::{Record, RecordedEvent};
use crate::start::{Extent, Source, module_digest};
use crate::writer::Sheet;

/// How many decisions before the first that differs are told with it.
const BEFORE: usize = 5;

#[derive(Debug)]
pub struct Difference {
    pub decision: u64,
    pub at: Micros,
    pub happened: RecordedEvent,
    pub recorded: Vec<Action>,
    pub replayed: Vec<Action>,
    /// What came just before about the same workers, functions or invocations, as text.
    pub before: Vec<String>,
}

#[derive(Debug, Default)]
pub struct ReplayResult {
    pub decisions: u64,
    pub span: Micros,
    /// Recorded by the module of this build.
    pub same_module: bool,
    pub difference: Option<Difference>,
    /// Why it went no further, if not to the end.
    pub stopped: Option<String>,
}

/// When, what happened, and what was asked for.
pub type Decided = (Micros, RecordedEvent, Vec<Action>);

/// By their bytes: two that are written alike are alike.
pub fn alike(some: &[Action], others: &[Action]) -> bool {
    let bytes = |actions: &[Action]| {
        let mut p = Encoder::default();
        actions.iter().for_each(|a| encode_action(&mut p, a));
        p.bytes
    };
    bytes(some) == bytes(others)
}

/// What a row holds, in order.
#[derive(Debug)]
pub enum Step {
    /// A block begins here; blocks stand alone, with the names that they use.
    Block,
    Decided {
        at: Micros,
        happened: RecordedEvent,
        recorded: Vec<Action>,
        /// By this build's module, from the same events all along.
        replayed: Vec<Action>,
    },
    /// Neither told to the module nor decided by it.
    Beside { at: Micros, record: Record },
}

/// The one source of a file that is read.
fn source<R: Read + Seek>(reader: &Reader<R>) -> &Source {
    &reader.sources[reader.only.unwrap_or(0) as usize]
}

/// Files of one row, from its first on, in order; of a file with several sources, the one that is `only` read. `each`
/// says whether to go on. After a first difference the module goes on believing what it asked for itself, while
/// events tell of what was done: what differs later may follow from that alone.
pub fn drive<R: Read + Seek>(
    row: &mut [Reader<R>],
    mut each: impl FnMut(Step) -> Result<bool, Error>,
) -> Result<ReplayResult, Error> {
    let mut out = ReplayResult::default();
    let Some(first) = row.first() else {
        return Err(Error::NoFile);
    };
    let first = source(first).clone();
    if !matches!(first.extent, Extent::Whole | Extent::Redone) {
        let cause = format!(
            "it is {:?}, and only what is whole can be replayed",
            first.extent
        );
        out.stopped = Some(cause.to_lowercase());
        return Ok(out);
    }
    if first.start.file != 0 {
        return Err(Error::NotFirst {
            file: first.start.file,
        });
    }
    let mut control = first.start.balancer();
    out.same_module = first.start.module == module_digest();
    let mut began: Option<Micros> = None;
    for (n, reader) in row.iter_mut().enumerate() {
        if source(reader).start.file != n as u64 {
            out.stopped = Some(format!("file {n} of the row is missing"));
            return Ok(out);
        }
        while let Some(found) = reader.next()? {
            let records = match found {
                Found::Block { records, .. } => records,
                Found::Damaged { offset, cause } => {
                    out.stopped = Some(format!("file {n} is damaged at byte {offset}: {cause}"));
                    return Ok(out);
                }
            };
            if !each(Step::Block)? {
                return Ok(out);
            }
            for (at, record) in records {
                let step = match record {
                    Record::Decided {
                        event: happened,
                        actions,
                    } => {
                        let mut replayed = Vec::new();
                        control.handle(at, &happened.event(), &mut replayed);
                        out.decisions += 1;
                        out.span = at - *began.get_or_insert(at);
                        Step::Decided {
                            at,
                            happened,
                            recorded: actions,
                            replayed,
                        }
                    }
                    Record::Gap { records, .. } => {
                        out.stopped = Some(format!("{records} records were lost at {at} us"));
                        return Ok(out);
                    }
                    record => Step::Beside { at, record },
                };
                if !each(step)? {
                    return Ok(out);
                }
            }
        }
    }
    Ok(out)
}

/// The decisions of a file, one after the other.
pub struct Decisions<R> {
    reader: Reader<R>,
    records: std::vec::IntoIter<(Micros, Record)>,
}

impl<R: Read + Seek> Decisions<R> {
    pub fn new(reader: Reader<R>) -> Self {
        Decisions {
            reader,
            records: Vec::new().into_iter(),
        }
    }

    #[allow(clippy::should_implement_trait)] // An error of the disk is no decision.
    pub fn next(&mut self) -> Result<Option<Decided>, Error> {
        loop {
            for (at, record) in self.records.by_ref() {
                if let Record::Decided {
                    event: happened,
                    actions,
                } = record
                {
                    return Ok(Some((at, happened, actions)));
                }
            }
            match self.reader.next()? {
                None => return Ok(None),
                Some(Found::Block { records, .. }) => self.records = records.into_iter(),
                Some(Found::Damaged { offset, cause }) => {
                    return Err(Error::Damaged { offset, cause });
                }
            }
        }
    }
}

/// Stops at the first decision that differs.
pub fn replay<R: Read + Seek>(row: &mut [Reader<R>]) -> Result<ReplayResult, Error> {
    let mut recent: Vec<Decided> = Vec::new();
    let (mut difference, mut decision) = (None, 0);
    let mut out = drive(row, |step| {
        let Step::Decided {
            at,
            happened,
            recorded,
            replayed,
        } = step
        else {
            return Ok(true);
        };
        decision += 1;
        if !alike(&replayed, &recorded) {
            let before = related(&recent, &happened, &recorded, &replayed);
            difference = Some(Difference {
                decision,
                at,
                happened,
                recorded,
                replayed,
                before,
            });
            return Ok(false);
        }
        if recent.len() >= 4096 {
            recent.drain(..2048);
        }
        recent.push((at, happened, recorded));
        Ok(true)
    })?;
    out.difference = difference;
    Ok(out)
}

/// The same row in one file, with what this build's module decides in place of what was decided.
pub fn redo<R: Read + Seek, W: Write>(
    row: &mut [Reader<R>],
    out: W,
) -> Result<ReplayResult, Error> {
    let Some(first) = row.first() else {
        return Err(Error::NoFile);
    };
    let mut of = source(first).clone();
    (of.extent, of.start.module) = (Extent::Redone, module_digest());
    let mut sheet = Sheet::begin(out, &[of])?;
    let (mut gather, mut names) = (Gather::default(), HashMap::new());
    let done = drive(row, |step| {
        match step {
            Step::Block if gather.is_empty() => {}
            Step::Block => {
                sheet.block(0, &gather.close())?;
            }
            Step::Beside { at, record } => {
                if let Record::Name {
                    kind: space,
                    index: ix,
                    name: text,
                } = &record
                {
                    names.insert((*space, *ix), text.clone());
                }
                gather.record(at, &record);
            }
            Step::Decided {
                at,
                happened,
                replayed,
                ..
            } => {
                for_each_named_index(&happened, &replayed, |space, ix| {
                    if let Some(name) = names.get(&(space, ix)) {
                        gather.name(at, space, ix, name);
                    }
                });
                gather.record(
                    at,
                    &Record::Decided {
                        event: happened,
                        actions: replayed,
                    },
                );
            }
        }
        Ok(true)
    })?;
    if !gather.is_empty() {
        sheet.block(0, &gather.close())?;
    }
    sheet.end()?;
    Ok(done)
}

fn related(
    recent: &[Decided],
    happened: &RecordedEvent,
    recorded: &[Action],
    replayed: &[Action],
) -> Vec<String> {
    let mut concerned = Vec::new();
    for_each_named_index(happened, recorded, |s, ix| concerned.push((s, ix)));
    for_each_named_index(happened, replayed, |s, ix| concerned.push((s, ix)));
    let touches = |h: &RecordedEvent, actions: &[Action]| {
        let mut any = false;
        for_each_named_index(h, actions, |s, ix| any |= concerned.contains(&(s, ix)));
        any
    };
    let mut found: Vec<String> = recent
        .iter()
        .rev()
        .filter(|(_, h, actions)| touches(h, actions))
        .take(BEFORE)
        .map(|(at, h, actions)| format!("{at} us: {} -> {actions:?}", told(h)))
        .collect();
    found.reverse();
    found
}

/// In a few words; a list of workers by its size.
pub fn told(happened: &RecordedEvent) -> String {
    match happened {
        RecordedEvent::List {
            kind: mode,
            endpoints: entries,
        } => format!("List {mode:?} of {}", entries.len()),
        RecordedEvent::Other(event) => format!("{event:?}"),
    }
}

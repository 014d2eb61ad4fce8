//! Drives the module anew with what was recorded, and stops at the first decision that differs.

use std::io::{Read, Seek};

use cedarpulley::interface::{Action, Micros};

use crate::blocks::uses;
use crate::reader::{Found, NoTrace, Reader};
use crate::records::{Happened, Record, put_action};
use crate::start::{Extent, module_digest};
use crate::wire::Put;

/// How many decisions before the first that differs are told with it.
const BEFORE: usize = 5;

#[derive(Debug)]
pub struct Difference {
    pub decision: u64,
    pub at: Micros,
    pub happened: Happened,
    pub recorded: Vec<Action>,
    pub replayed: Vec<Action>,
    /// What came just before about the same workers, functions or invocations, as text.
    pub before: Vec<String>,
}

#[derive(Debug, Default)]
pub struct Replayed {
    pub decisions: u64,
    pub span: Micros,
    /// Recorded by the module of this build.
    pub same_module: bool,
    pub difference: Option<Difference>,
    /// Why it went no further, if not to the end.
    pub stopped: Option<String>,
}

type Decided = (Micros, Happened, Vec<Action>);

fn bytes(actions: &[Action]) -> Vec<u8> {
    let mut p = Put::default();
    actions.iter().for_each(|a| put_action(&mut p, a));
    p.bytes
}

/// Files of one row, from its first on, in order; of a file with several sources, the one that is `only` read.
pub fn replay<R: Read + Seek>(row: &mut [Reader<R>]) -> Result<Replayed, NoTrace> {
    let mut out = Replayed::default();
    let Some(first) = row.first() else { return Err(NoTrace("no file is given".into())) };
    let source = |r: &Reader<R>| r.sources[r.only.unwrap_or(0) as usize].clone();
    let first = source(first);
    if first.extent != Extent::Whole {
        let cause = format!("it is {:?}, and only what is whole can be replayed", first.extent);
        out.stopped = Some(cause.to_lowercase());
        return Ok(out);
    }
    if first.start.file != 0 {
        let number = first.start.file;
        return Err(NoTrace(format!("is file {number} of its row: a replay begins with file 0")));
    }
    let mut control = first.start.control();
    out.same_module = first.start.module == module_digest();
    let mut began: Option<Micros> = None;
    let mut recent: Vec<Decided> = Vec::new();
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
            for (at, record) in records {
                let (happened, recorded) = match record {
                    Record::Decided { happened, actions } => (happened, actions),
                    Record::Gap { records, .. } => {
                        out.stopped = Some(format!("{records} records were lost at {at} us"));
                        return Ok(out);
                    }
                    _ => continue,
                };
                let mut replayed = Vec::new();
                control.decide(at, &happened.event(), &mut replayed);
                out.decisions += 1;
                out.span = at - *began.get_or_insert(at);
                // By their bytes: two that are written alike are alike.
                if bytes(&replayed) != bytes(&recorded) {
                    let before = related(&recent, &happened, &recorded, &replayed);
                    let decision = out.decisions;
                    out.difference = Some(Difference { decision, at, happened, recorded, replayed, before });
                    return Ok(out);
                }
                if recent.len() >= 4096 {
                    recent.drain(..2048);
                }
                recent.push((at, happened, recorded));
            }
        }
    }
    Ok(out)
}

fn related(recent: &[Decided], happened: &Happened, recorded: &[Action], replayed: &[Action]) -> Vec<String> {
    let mut concerned = Vec::new();
    uses(happened, recorded, |s, ix| concerned.push((s, ix)));
    uses(happened, replayed, |s, ix| concerned.push((s, ix)));
    let touches = |h: &Happened, actions: &[Action]| {
        let mut any = false;
        uses(h, actions, |s, ix| any |= concerned.contains(&(s, ix)));
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
pub fn told(happened: &Happened) -> String {
    match happened {
        Happened::List { mode, entries } => format!("List {mode:?} of {}", entries.len()),
        Happened::Other(event) => format!("{event:?}"),
    }
}

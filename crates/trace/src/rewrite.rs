//! Files made of other files, block by block: cut and strip. One block of input and one of output are in memory.

use std::io::{Read, Seek, Write};

use crate::Error;
use crate::blocks::{Gather, for_each_named_index};
use crate::reader::{Found, Reader};
use crate::records::Record;
use crate::selection::{RecordSelector, Wanted};
use crate::start::{Extent, Source};
use crate::strip::Strip;
use crate::writer::Sheet;

/// What came of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rewritten {
    pub blocks_read: u64,
    pub damaged: u64,
    pub records: u64,
}

/// Only what is wanted. By time alone, blocks outside of the span are not read.
pub fn cut<R: Read + Seek, W: Write>(
    reader: &mut Reader<R>,
    wanted: &Wanted,
    out: W,
) -> Result<Rewritten, Error> {
    let sources: Vec<Source> = reader
        .sources
        .iter()
        .map(|s| Source {
            extent: Extent::Cut,
            ..s.clone()
        })
        .collect();
    let mut sheet = Sheet::begin(out, &sources)?;
    let mut selects: Vec<Option<RecordSelector>> = sources
        .iter()
        .map(|s| RecordSelector::new(wanted, s))
        .collect();
    let spans: Vec<_> = sources
        .iter()
        .zip(&selects)
        .map(|(s, w)| w.as_ref().map_or((0, 0), |w| w.span(s)))
        .collect();
    let mut done = Rewritten::default();
    let mut failed = None;
    // What was taken before the span may end within: followed from the file's beginning, unless only time is asked.
    let by_time = wanted.only_time();
    let reach = |source: u32| {
        let (from, until) = spans[source as usize];
        if by_time {
            (from, until)
        } else {
            (i64::MIN, until)
        }
    };
    let read = reader.within(reach, |found| {
        let Found::Block { place, records } = found else {
            done.damaged += 1;
            return;
        };
        let source = place.source as usize;
        let Some(select) = &mut selects[source] else {
            return;
        };
        let mut gather = Gather::default();
        for (at, record) in records {
            if !select.belongs(at, spans[source], &record) {
                continue;
            }
            if let Record::Decided {
                event: happened,
                actions,
            } = &record
            {
                for_each_named_index(happened, actions, |space, ix| {
                    if let Some(name) = select.name(space, ix) {
                        gather.name(at, space, ix, name);
                    }
                });
            }
            gather.record(at, &record);
            done.records += 1;
        }
        if !gather.is_empty()
            && failed.is_none()
            && let Err(e) = sheet.block(place.source, &gather.close())
        {
            failed = Some(e);
        }
    })?;
    done.blocks_read = read;
    match failed {
        Some(e) => Err(e.into()),
        None => {
            sheet.end()?;
            Ok(done)
        }
    }
}

/// All of it, under pseudonyms; then every block is looked through for what must not be in it.
pub fn strip<R: Read + Seek, W: Write>(
    reader: &mut Reader<R>,
    strip: &mut Strip,
    out: W,
) -> Result<Rewritten, Error> {
    let sources: Vec<Source> = reader.sources.iter().map(|s| strip.source(s)).collect();
    let mut sheet = Sheet::begin(out, &sources)?;
    let mut done = Rewritten::default();
    reader.rewind();
    while let Some(found) = reader.next()? {
        let Found::Block { place, records } = found else {
            done.damaged += 1;
            continue;
        };
        done.blocks_read += 1;
        let mut gather = Gather::default();
        for (at, record) in records {
            gather.record(at, &strip.record(record));
            done.records += 1;
        }
        let raw = gather.close();
        if let Some(original) = strip.left_in(&raw.bytes) {
            return Err(Error::Left {
                original: original.to_owned(),
            });
        }
        sheet.block(place.source, &raw)?;
    }
    sheet.end()?;
    Ok(done)
}

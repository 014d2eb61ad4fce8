//! Writes a file from another one, block by block: cut and strip. One block of input and one of output are in memory.

use std::io::{self, Read, Seek, Write};

use cedarpulley::interface::Micros;

use crate::Error;
use crate::blocks::{BlockBuilder, UnpackedBlock, for_each_named_index};
use crate::reader::{BlockRead, Reader};
use crate::records::Record;
use crate::selection::{RecordSelector, SelectionCriteria};
use crate::start::{Provenance, Source};
use crate::strip::Pseudonymizer;
use crate::writer::TraceFileWriter;

/// Counts of blocks read and records written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rewritten {
    /// Blocks read; a cut by time alone does not read blocks outside the span if the file has an index.
    pub blocks_read: u64,
    /// Damaged blocks; they are left out.
    pub damaged: u64,
    /// Records written.
    pub records: u64,
}

/// State of one source during a cut.
struct CutSource<'a> {
    /// Absent if no record of the source can belong to the cut.
    selector: Option<RecordSelector<'a>>,
    /// The wanted span in the router time of the source.
    span: (Micros, Micros),
}

impl<'a> CutSource<'a> {
    fn new(wanted: &'a SelectionCriteria, source: &Source) -> Self {
        let selector = RecordSelector::new(wanted, source);
        CutSource {
            span: selector.as_ref().map_or((0, 0), |s| s.span(source)),
            selector,
        }
    }

    /// Returns a block with the records that belong to the cut and the names that they use, and the number of records
    /// that belong.
    fn select(&mut self, records: Vec<(Micros, Record)>) -> (BlockBuilder, u64) {
        let (mut block, mut selected) = (BlockBuilder::default(), 0);
        let Some(selector) = &mut self.selector else {
            return (block, selected);
        };
        for (at, record) in records {
            if !selector.belongs(at, self.span, &record) {
                continue;
            }
            if let Record::Decided { event, actions } = &record {
                for_each_named_index(event, actions, |kind, index| {
                    if let Some(name) = selector.name(kind, index) {
                        block.name(at, kind, index, name);
                    }
                });
            }
            block.record(at, &record);
            selected += 1;
        }
        (block, selected)
    }
}

/// Writes only the wanted records. If only a span of time is wanted, the index is used to read only blocks within it.
///
/// # Errors
/// Fails when reading or writing fails; damaged blocks are counted.
pub fn cut<R: Read + Seek, W: Write>(
    reader: &mut Reader<R>,
    wanted: &SelectionCriteria,
    out: W,
) -> Result<Rewritten, Error> {
    let cut = |source: &Source| Source {
        provenance: Provenance::Cut,
        ..source.clone()
    };
    let sources: Vec<Source> = reader.sources.iter().map(cut).collect();
    let mut file = TraceFileWriter::begin(out, &sources)?;
    let mut cut_sources: Vec<CutSource> = sources
        .iter()
        .map(|source| CutSource::new(wanted, source))
        .collect();
    // An invocation that was accepted before the span may end within it: unless the cut is by time alone, invocations
    // are followed from the beginning of the file.
    let spans: Vec<(Micros, Micros)> = cut_sources
        .iter()
        .map(|source| match wanted.only_time() {
            true => source.span,
            false => (Micros::MIN, source.span.1),
        })
        .collect();
    let mut result = Rewritten::default();
    let mut written: io::Result<()> = Ok(());
    let blocks_read = reader.within(
        |source| spans[source as usize],
        |found| {
            let BlockRead::Block { location, records } = found else {
                result.damaged += 1;
                return;
            };
            let (mut block, selected) = cut_sources[location.source as usize].select(records);
            result.records += selected;
            if !block.is_empty() && written.is_ok() {
                written = file
                    .write_block(location.source, &block.close())
                    .map(|_| ());
            }
        },
    )?;
    written?;
    file.finish()?;
    Ok(Rewritten {
        blocks_read,
        ..result
    })
}

/// Writes all records with pseudonyms. Every block is searched for original names before it is written.
///
/// # Errors
/// Fails when reading or writing fails, and when a block still contains an original name.
pub fn strip<R: Read + Seek, W: Write>(
    reader: &mut Reader<R>,
    strip: &mut Pseudonymizer,
    out: W,
) -> Result<Rewritten, Error> {
    let sources: Vec<Source> = reader.sources.iter().map(|s| strip.source(s)).collect();
    let mut file = TraceFileWriter::begin(out, &sources)?;
    let mut result = Rewritten::default();
    reader.rewind();
    while let Some(found) = reader.next()? {
        let BlockRead::Block { location, records } = found else {
            result.damaged += 1;
            continue;
        };
        result.blocks_read += 1;
        result.records += records.len() as u64;
        file.write_block(location.source, &strip_block(strip, records)?)?;
    }
    file.finish()?;
    Ok(result)
}

fn strip_block(
    strip: &mut Pseudonymizer,
    records: Vec<(Micros, Record)>,
) -> Result<UnpackedBlock, Error> {
    let mut block = BlockBuilder::default();
    for (at, record) in records {
        block.record(at, &strip.record(record));
    }
    let block = block.close();
    match strip.left_in(&block.bytes) {
        Some(original) => Err(Error::OriginalLeft {
            original: original.to_owned(),
        }),
        None => Ok(block),
    }
}

//! Writes the decisions of a replay to a trace file.

use std::collections::HashMap;
use std::io::{Read, Seek, Write};

use cedarpulley::interface::{Action, Micros};

use super::{ReplayResult, ReplayStep, replay_steps, source};
use crate::Error;
use crate::blocks::{BlockBuilder, for_each_named_index};
use crate::reader::Reader;
use crate::records::{NameKind, Record, RecordedEvent};
use crate::start::{Provenance, module_digest};
use crate::writer::TraceFileWriter;

/// The file that the replayed decisions are written to.
struct RedoneFile<W: Write> {
    file: TraceFileWriter<W>,
    block: BlockBuilder,
    /// Names that the replayed files contain.
    names: HashMap<(NameKind, u32), String>,
}

impl<W: Write> RedoneFile<W> {
    fn end_block(&mut self) -> Result<(), Error> {
        if !self.block.is_empty() {
            self.file.write_block(0, &self.block.close())?;
        }
        Ok(())
    }

    /// Copies a record that is not a decision.
    fn copy_record(&mut self, at: Micros, record: &Record) {
        if let Record::Name { kind, index, name } = record {
            self.names.insert((*kind, *index), name.clone());
        }
        self.block.record(at, record);
    }

    /// Writes a decision, and before it the names of its indices: the actions of this build may use other indices than
    /// the recorded actions.
    fn decided(&mut self, at: Micros, event: RecordedEvent, actions: Vec<Action>) {
        for_each_named_index(&event, &actions, |kind, index| {
            if let Some(name) = self.names.get(&(kind, index)) {
                self.block.name(at, kind, index, name);
            }
        });
        self.block.record(at, &Record::Decided { event, actions });
    }
}

/// Writes the series as one file, with the decisions of this build in place of the recorded ones.
pub fn redo<R: Read + Seek, W: Write>(
    files: &mut [Reader<R>],
    out: W,
) -> Result<ReplayResult, Error> {
    let Some(first) = files.first() else {
        return Err(Error::NoFile);
    };
    let mut redone_source = source(first).clone();
    (redone_source.provenance, redone_source.start.module_digest) =
        (Provenance::Redone, module_digest());
    let mut redone = RedoneFile {
        file: TraceFileWriter::begin(out, &[redone_source])?,
        block: BlockBuilder::default(),
        names: HashMap::new(),
    };
    let result = replay_steps(files, |step| {
        match step {
            ReplayStep::Block => redone.end_block()?,
            ReplayStep::Other { at, record } => redone.copy_record(at, &record),
            ReplayStep::Decided {
                at,
                event,
                replayed,
                ..
            } => redone.decided(at, event, replayed),
        }
        Ok(true)
    })?;
    redone.end_block()?;
    redone.file.finish()?;
    Ok(result)
}

//! Writes a router's trace files: compresses blocks, ends files with their index, keeps the files within their budget.
//! Runs on a thread of its own, behind a bounded queue of blocks; what the queue has no room for becomes a gap.

use std::fs::File;
use std::io;
use std::sync::mpsc::Receiver;

use cedarpulley::interface::Micros;

use crate::blocks::{BlockBuilder, UnpackedBlock};
pub use crate::file_series::{FileSeries, NameLock, trace_files};
pub use crate::file_writer::TraceFileWriter;
use crate::records::Record;
use crate::retention::{AfterWrite, Retention, RetentionLimits};
use crate::start::StartRecord;

/// A message to the writer.
#[derive(Debug)]
pub enum WriterMessage {
    /// The router's time of sending it, and the block.
    Block(Micros, UnpackedBlock),
    /// End the file in good order.
    End,
}

/// Writes until [`WriterMessage::End`], or until the sender is gone. Each failure is reported once through `complain`.
pub fn run_writer(
    series: FileSeries,
    start: StartRecord,
    bounds: RetentionLimits,
    notes: Receiver<WriterMessage>,
    complain: impl Fn(&str),
) {
    let mut writer = SeriesWriter {
        series,
        start,
        number: 0,
        retention: Retention::new(bounds),
        file: None,
        lost: None,
    };
    for note in notes {
        let WriterMessage::Block(now, block) = note else {
            break;
        };
        writer.block(now, &block, &complain);
    }
    writer.end_file(&complain);
}

/// Records that could not be written since the last block that was.
#[derive(Clone, Copy)]
struct LostRecords {
    records: u64,
    from: Micros,
    until: Micros,
}

/// The writer's state.
struct SeriesWriter {
    series: FileSeries,
    /// Start record of the next file.
    start: StartRecord,
    /// Number in the name of the next file.
    number: u64,
    retention: Retention,
    /// The present file; absent before the first block, and after a file ended or failed.
    file: Option<TraceFileWriter<File>>,
    lost: Option<LostRecords>,
}

impl SeriesWriter {
    fn block(&mut self, now: Micros, block: &UnpackedBlock, complain: &impl Fn(&str)) {
        if !self.retention.may_write(now) {
            self.lose(block);
            return;
        }
        match self.write(now, block) {
            Ok(AfterWrite::KeepFile) => {}
            Ok(AfterWrite::EndFile) => self.end_file(complain),
            Err(e) => {
                complain(&format!("the trace stops for a while: {e}"));
                // What was written stays; a new file begins when the disk takes it.
                self.file = None;
                self.lose(block);
                self.retention.failed(now);
            }
        }
    }

    fn write(&mut self, now: Micros, block: &UnpackedBlock) -> io::Result<AfterWrite> {
        let mut file = match self.file.take() {
            Some(file) => file,
            None => self.begin_file(now)?,
        };
        let mut bytes = 0;
        if let Some(LostRecords {
            records,
            from,
            until,
        }) = self.lost
        {
            let mut gap = BlockBuilder::default();
            gap.record(
                from,
                &Record::Gap {
                    records,
                    from,
                    until,
                },
            );
            bytes += file.write_block(0, &gap.close())?;
            self.lost = None;
        }
        bytes += file.write_block(0, block)?;
        self.file = Some(file);
        Ok(self.retention.wrote(now, bytes))
    }

    /// Makes room, and begins the next file.
    fn begin_file(&mut self, now: Micros) -> io::Result<TraceFileWriter<File>> {
        let path = self.series.file(self.number);
        let earlier = self.series.earlier(self.number)?;
        let sizes: Vec<u64> = earlier.iter().map(|(_, size)| *size).collect();
        for (old, _) in &earlier[..self.retention.files_to_delete(&sizes)] {
            std::fs::remove_file(old)?;
        }
        // Symptom: the disk takes a name and no bytes; the name is used up, and would be refused for ever.
        self.number += 1;
        let begun = TraceFileWriter::begin(File::create_new(&path)?, &[self.start.clone().into()]);
        if begun.is_err() {
            let _ = std::fs::remove_file(&path);
        }
        let file = begun?;
        self.start.file_number += 1;
        self.retention.began(now);
        Ok(file)
    }

    fn lose(&mut self, block: &UnpackedBlock) {
        let lost = self.lost.get_or_insert(LostRecords {
            records: 0,
            from: block.first,
            until: block.last,
        });
        lost.records += u64::from(block.records);
        lost.until = block.last;
    }

    /// Ends the present file, if there is one.
    fn end_file(&mut self, complain: &impl Fn(&str)) {
        // The only place that waits for the disk: a power cut loses at most what the present file had not written back.
        let ended = self
            .file
            .take()
            .map(|file| file.finish().and_then(|file| file.sync_data()));
        if let Some(Err(e)) = ended {
            complain(&format!("the trace's file was not ended: {e}"));
        }
    }
}

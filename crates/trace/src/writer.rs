//! Writes the trace files of a router: compresses blocks, ends files with their index, and keeps the files within their
//! budget. Runs on its own thread behind a bounded queue of blocks; blocks that do not fit into the queue become a gap.

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
    /// The router time at which the block was sent, and the block.
    Block(Micros, UnpackedBlock),
    /// Complete the current file and stop.
    End,
}

/// Writes blocks until [`WriterMessage::End`] is received or the sender is dropped. Each failure is reported once
/// through `report_failure`.
pub fn run_writer(
    series: FileSeries,
    start: StartRecord,
    limits: RetentionLimits,
    messages: Receiver<WriterMessage>,
    report_failure: impl Fn(&str),
) {
    let mut writer = SeriesWriter {
        series,
        start,
        number: 0,
        retention: Retention::new(limits),
        file: None,
        lost: None,
    };
    for message in messages {
        let WriterMessage::Block(now, block) = message else {
            break;
        };
        writer.block(now, &block, &report_failure);
    }
    writer.end_file(&report_failure);
}

/// Records that could not be written since the last written block.
#[derive(Clone, Copy)]
struct LostRecords {
    records: u64,
    from: Micros,
    until: Micros,
}

/// State of the writer.
struct SeriesWriter {
    series: FileSeries,
    /// Start record of the next file.
    start: StartRecord,
    /// Number in the file name of the next file.
    number: u64,
    retention: Retention,
    /// The current file; absent before the first block, and after a file ended or a write failed.
    file: Option<TraceFileWriter<File>>,
    lost: Option<LostRecords>,
}

impl SeriesWriter {
    fn block(&mut self, now: Micros, block: &UnpackedBlock, report_failure: &impl Fn(&str)) {
        if !self.retention.may_write(now) {
            self.record_loss(block);
            return;
        }
        match self.write(now, block) {
            Ok(AfterWrite::KeepFile) => {}
            Ok(AfterWrite::EndFile) => self.end_file(report_failure),
            Err(e) => {
                report_failure(&format!("writing the trace is paused: {e}"));
                // The written part of the file stays. A new file is begun after the backoff.
                self.file = None;
                self.record_loss(block);
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

    /// Deletes old files to make room, and begins the next file.
    fn begin_file(&mut self, now: Micros) -> io::Result<TraceFileWriter<File>> {
        let path = self.series.file(self.number);
        let earlier = self.series.earlier(self.number)?;
        let sizes: Vec<u64> = earlier.iter().map(|(_, size)| *size).collect();
        for (old, _) in &earlier[..self.retention.files_to_delete(&sizes)] {
            std::fs::remove_file(old)?;
        }
        // Without this, a disk that creates a file but cannot store its bytes would stop the trace for good: the file
        // name would be in use, and every further attempt to create it would fail.
        self.number += 1;
        let begun = TraceFileWriter::begin(File::create_new(&path)?, &[self.start.clone().into()]);
        if begun.is_err() {
            let _ = std::fs::remove_file(&path);
        }
        let file = begun?;
        self.start.file_number += 1;
        self.retention.file_begun(now);
        Ok(file)
    }

    fn record_loss(&mut self, block: &UnpackedBlock) {
        let lost = self.lost.get_or_insert(LostRecords {
            records: 0,
            from: block.first,
            until: block.last,
        });
        lost.records += u64::from(block.records);
        lost.until = block.last;
    }

    /// Completes the current file, if there is one.
    fn end_file(&mut self, report_failure: &impl Fn(&str)) {
        // The only place that waits until the disk has stored the data: a power failure loses at most the part of the
        // current file that was not written back yet.
        let ended = self
            .file
            .take()
            .map(|file| file.finish().and_then(|file| file.sync_data()));
        if let Some(Err(e)) = ended {
            report_failure(&format!("the trace file could not be completed: {e}"));
        }
    }
}

//! Writes a row of trace files: packs blocks, ends files with their index, keeps the row within its budget. Runs on a
//! thread of its own, behind a bounded queue of blocks; what the queue has no room for becomes a gap.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::Receiver;

use cedarpulley::interface::Micros;

use crate::Error;
use crate::block_index::{BlockIndexBuilder, BlockLocation};
use crate::blocks::{BLOCK_HEADER_BYTES, BlockHeader, FILE_MAGIC, FOOTER_MAGIC, FORMAT, Raw};
use crate::retention::{Bounds, Retention, Step};
use crate::start::{Source, Start};
use crate::start_codec::encode_sources;

/// Packs a fiftieth smaller than the fastest at a cost that was not told apart; more effort gained next to nothing.
const EFFORT: i32 = 3;

/// Writes one file to anything that takes bytes.
#[derive(Debug)]
pub struct Sheet<W: Write> {
    out: W,
    offset: u64,
    places: BlockIndexBuilder,
}

impl<W: Write> Sheet<W> {
    pub fn begin(mut out: W, sources: &[Source]) -> io::Result<Self> {
        let body = encode_sources(sources);
        let mut head = FILE_MAGIC.to_vec();
        head.extend(FORMAT.to_le_bytes());
        head.extend(0u16.to_le_bytes());
        head.extend((body.len() as u32).to_le_bytes());
        head.extend(&body);
        head.extend(crc32c::crc32c(&head).to_le_bytes());
        out.write_all(&head)?;
        Ok(Sheet {
            out,
            offset: head.len() as u64,
            places: BlockIndexBuilder::default(),
        })
    }

    /// In one write: a cut falls within it, or before or after.
    pub fn block(&mut self, source: u32, raw: &Raw) -> io::Result<u64> {
        let packed = zstd::bulk::compress(&raw.bytes, EFFORT)?;
        self.packed(&BlockHeader::new(raw, source, &packed), &packed)
    }

    /// One that is packed already.
    pub fn packed(&mut self, head: &BlockHeader, packed: &[u8]) -> io::Result<u64> {
        let mut bytes = Vec::with_capacity(BLOCK_HEADER_BYTES + packed.len());
        bytes.extend(head.encode());
        bytes.extend(packed);
        self.out.write_all(&bytes)?;
        let BlockHeader {
            first,
            last,
            records,
            source,
            ..
        } = *head;
        self.places.push(BlockLocation {
            offset: self.offset,
            first,
            last,
            records,
            source,
        });
        self.offset += bytes.len() as u64;
        Ok(bytes.len() as u64)
    }

    pub fn bytes(&self) -> u64 {
        self.offset
    }

    /// Index and footer.
    pub fn end(mut self) -> io::Result<W> {
        self.places.write(&mut self.out)?;
        let mut footer = self.offset.to_le_bytes().to_vec();
        footer.extend(crc32c::crc32c(&footer).to_le_bytes());
        footer.extend(FOOTER_MAGIC);
        self.out.write_all(&footer)?;
        self.out.flush()?;
        Ok(self.out)
    }
}

/// Files of a row: `NAME-RUN-NUMBER.trace`; numbers may be missing, where a file could not be begun; `RUN` tells one life of a router from the next.
#[derive(Clone, Debug)]
pub struct Row {
    pub folder: PathBuf,
    pub name: String,
    /// Wall's milliseconds at the start, so that rows sort by age.
    pub run: u64,
}

impl Row {
    pub fn file(&self, number: u64) -> PathBuf {
        self.folder
            .join(format!("{}-{:013}-{number:05}.trace", self.name, self.run))
    }

    /// Files of this router, of this life and earlier ones, oldest first.
    pub fn earlier(&self, but: u64) -> io::Result<Vec<(PathBuf, u64)>> {
        let own = self.file(but);
        let mut files = Vec::new();
        for entry in std::fs::read_dir(&self.folder)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            let rest = name
                .strip_prefix(&self.name)
                .and_then(|r| r.strip_prefix('-'));
            let numbers = rest.and_then(|r| r.strip_suffix(".trace"));
            let mine = numbers.is_some_and(|n| n.bytes().all(|b| b.is_ascii_digit() || b == b'-'));
            if mine && entry.path() != own {
                files.push((entry.path(), entry.metadata()?.len()));
            }
        }
        files.sort();
        Ok(files)
    }
}

/// A name that this writer has for itself in its folder, for as long as this is kept; a process that dies gives it back.
#[derive(Debug)]
pub struct Own {
    pub name: String,
    _lock: File,
}

/// Writers of one name that may stand in one folder.
const MOST_OF_A_NAME: u32 = 16;

impl Own {
    /// Symptom: two routers have the same name and place, and each makes room by removing what the other writes.
    pub fn take(folder: &Path, name: &str) -> Result<Own, Error> {
        for n in 1..=MOST_OF_A_NAME {
            let own = if n == 1 {
                name.to_owned()
            } else {
                format!("{name}_{n}")
            };
            let lock = File::options()
                .create(true)
                .append(true)
                .open(folder.join(format!("{own}.lock")))?;
            match lock.try_lock() {
                Ok(()) => {
                    return Ok(Own {
                        name: own,
                        _lock: lock,
                    });
                }
                Err(std::fs::TryLockError::WouldBlock) => {}
                Err(std::fs::TryLockError::Error(e)) => return Err(e.into()),
            }
        }
        Err(Error::Taken {
            name: name.to_owned(),
            most: MOST_OF_A_NAME,
        })
    }
}

/// What is told to the writer.
#[derive(Debug)]
pub enum Note {
    /// The router's time of sending it, and the block.
    Block(Micros, Raw),
    /// End the file in good order.
    End,
}

/// Writes until it is told to end, or whoever sends is gone. Failures are told through `complain`, each once.
pub fn run(
    row: Row,
    mut start: Start,
    bounds: Bounds,
    notes: Receiver<Note>,
    complain: impl Fn(&str),
) {
    let mut keeping = Retention::new(bounds);
    let mut sheet: Option<Sheet<File>> = None;
    let mut lost: Option<(u64, Micros, Micros)> = None;
    let mut number = 0;
    for note in notes {
        let (now, raw) = match note {
            Note::Block(now, raw) => (now, raw),
            Note::End => break,
        };
        if !keeping.may_write(now) {
            lose(&mut lost, &raw);
            continue;
        }
        let wrote = write(
            &row,
            &mut start,
            &mut number,
            &mut keeping,
            &mut sheet,
            &mut lost,
            now,
            &raw,
        );
        match wrote {
            Ok(Step::GoOn) => {}
            Ok(Step::Next) => {
                if let Some(Err(e)) = sheet.take().map(finish) {
                    complain(&format!("the trace's file was not ended: {e}"));
                }
            }
            Err(e) => {
                complain(&format!("the trace stops for a while: {e}"));
                // What was written stands; a new file begins when the disk takes it.
                sheet = None;
                lose(&mut lost, &raw);
                keeping.failed(now);
            }
        }
    }
    if let Some(Err(e)) = sheet.map(finish) {
        complain(&format!("the trace's file was not ended: {e}"));
    }
}

fn lose(lost: &mut Option<(u64, Micros, Micros)>, raw: &Raw) {
    let (records, from, _) = lost.unwrap_or((0, raw.first, raw.last));
    *lost = Some((records + u64::from(raw.records), from, raw.last));
}

fn finish(sheet: Sheet<File>) -> io::Result<()> {
    // The only place that waits for the disk: a power cut loses at most what the present file had not written back.
    sheet.end()?.sync_data()
}

#[allow(clippy::too_many_arguments)] // The writer's whole state, and the block.
fn write(
    row: &Row,
    start: &mut Start,
    number: &mut u64,
    keeping: &mut Retention,
    sheet: &mut Option<Sheet<File>>,
    lost: &mut Option<(u64, Micros, Micros)>,
    now: Micros,
    raw: &Raw,
) -> io::Result<Step> {
    if sheet.is_none() {
        let path = row.file(*number);
        let earlier = row.earlier(*number)?;
        let sizes: Vec<u64> = earlier.iter().map(|(_, size)| *size).collect();
        for (old, _) in &earlier[..keeping.looked(&sizes)] {
            std::fs::remove_file(old)?;
        }
        // Symptom: the disk takes a name and no bytes; the name is spent, and would be refused for ever.
        *number += 1;
        let begun = Sheet::begin(File::create_new(&path)?, &[start.clone().into()]);
        if begun.is_err() {
            let _ = std::fs::remove_file(&path);
        }
        *sheet = Some(begun?);
        start.file += 1;
        keeping.began(now);
    }
    let Some(open) = sheet.as_mut() else {
        return Ok(Step::GoOn);
    };
    let mut bytes = 0;
    if let Some((records, from, until)) = *lost {
        let mut gather = crate::blocks::Gather::default();
        gather.record(
            from,
            &crate::records::Record::Gap {
                records,
                from,
                until,
            },
        );
        bytes += open.block(0, &gather.close())?;
        *lost = None;
    }
    bytes += open.block(0, raw)?;
    Ok(keeping.wrote(now, bytes))
}

/// All files of a folder that look like traces, in the order of their names.
pub fn traces(folder: &Path) -> io::Result<Vec<PathBuf>> {
    let mut all: Vec<PathBuf> = std::fs::read_dir(folder)?
        .filter_map(|e| e.ok().map(|e| e.path()))
        .filter(|p| p.extension().is_some_and(|e| e == "trace"))
        .collect();
    all.sort();
    Ok(all)
}

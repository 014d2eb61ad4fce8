//! Reads trace files: finds them in folders, visits their records, and groups the files of one incarnation of a router.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};

use cedarpulley_trace::reader::{BlockRead, Reader};
use cedarpulley_trace::records::Record;
use cedarpulley_trace::start::Source;
use cedarpulley_trace::writer::trace_files;

use crate::error::CliError;

/// A reader of a trace file on disk.
pub type FileReader = Reader<BufReader<File>>;

/// The files as given, with each folder replaced by the trace files in it.
pub fn expand_folders(paths: &[PathBuf]) -> Result<Vec<PathBuf>, CliError> {
    let mut files = Vec::new();
    for path in paths {
        match path.is_dir() {
            true => files.extend(trace_files(path).map_err(CliError::file(path))?),
            false => files.push(path.clone()),
        }
    }
    if files.is_empty() {
        Err(CliError::NoInputFile { what: "trace file" })
    } else {
        Ok(files)
    }
}

/// Opens a trace file and reads its header.
pub fn open(file: &Path) -> Result<FileReader, CliError> {
    let input = File::open(file).map_err(CliError::file(file))?;
    Reader::open(BufReader::new(input)).map_err(CliError::trace(file.display()))
}

/// One record, and the incarnation of a router that wrote it.
pub struct RecordInFile<'a> {
    /// Index of `source` in the file.
    pub source_index: u32,
    /// The incarnation that wrote the record.
    pub source: &'a Source,
    /// Time by the source's clock, in microseconds.
    pub at: i64,
    /// The record itself.
    pub record: &'a Record,
}

/// A trace file that is read once, from its first record to its last.
pub struct TraceFile<'a> {
    path: &'a Path,
    reader: FileReader,
}

impl<'a> TraceFile<'a> {
    /// Opens the file and reads its header.
    pub fn open(path: &'a Path) -> Result<Self, CliError> {
        let reader = open(path)?;
        Ok(TraceFile { path, reader })
    }

    /// The incarnations of routers that wrote into the file.
    pub fn sources(&self) -> &[Source] {
        &self.reader.sources
    }

    /// Calls `visit` with every readable record in file order; returns the number of damaged blocks.
    pub fn for_each_record(
        &mut self,
        mut visit: impl FnMut(RecordInFile),
    ) -> Result<u64, CliError> {
        let sources = self.reader.sources.clone();
        let mut damaged_blocks = 0;
        while let Some(found) = self
            .reader
            .next()
            .map_err(CliError::trace(self.path.display()))?
        {
            match found {
                BlockRead::Block { records, location } => {
                    let source = &sources[location.source as usize];
                    for (at, record) in &records {
                        visit(RecordInFile {
                            source_index: location.source,
                            source,
                            at: *at,
                            record,
                        });
                    }
                }
                BlockRead::Damaged { .. } => damaged_blocks += 1,
            }
        }
        Ok(damaged_blocks)
    }
}

/// All files of one incarnation of a router, in the order in which it wrote them.
pub struct IncarnationFiles {
    /// Name of the router.
    pub router: String,
    /// Wall time at the zero of the incarnation's own clock, in microseconds since 1970.
    pub wall_at_zero: i64,
    /// A reader for each file.
    pub readers: Vec<FileReader>,
}

/// Groups the files by router and incarnation. Files in different folders belong to different incarnations, even with
/// the same router name and start time.
pub fn by_incarnation(files: &[PathBuf]) -> Result<Vec<IncarnationFiles>, CliError> {
    let mut incarnations: BTreeMap<(PathBuf, String, i64), Vec<(u64, FileReader)>> =
        BTreeMap::new();
    for file in files {
        for source in 0..open(file)?.sources.len() {
            let mut reader = open(file)?;
            reader.only_source = Some(source as u32);
            let start = &reader.sources[source].start;
            let folder = file.parent().map(Path::to_owned).unwrap_or_default();
            let key = (folder, start.router.clone(), start.wall_at_zero);
            incarnations
                .entry(key)
                .or_default()
                .push((start.file_number, reader));
        }
    }
    let in_file_order = |((_, router, wall_at_zero), mut numbered): (_, Vec<(u64, FileReader)>)| {
        numbered.sort_by_key(|(file_number, _)| *file_number);
        IncarnationFiles {
            router,
            wall_at_zero,
            readers: numbered.into_iter().map(|(_, reader)| reader).collect(),
        }
    };
    Ok(incarnations.into_iter().map(in_file_order).collect())
}

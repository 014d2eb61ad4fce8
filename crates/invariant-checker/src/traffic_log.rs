//! Reads the logs that the emulators and the test cluster write: files of JSON lines, one event a line.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde_json::Value;

use crate::CheckError;

/// One line of a log, which records one event.
pub(crate) struct LogLine {
    /// Unix time in microseconds.
    pub(crate) at: i64,
    /// Kind of the event.
    pub(crate) event: String,
    /// Name of the log, which is the name of the emulator that wrote it.
    pub(crate) source: String,
    fields: Value,
}

impl LogLine {
    /// Returns the value of a text field; empty if the field is absent.
    pub(crate) fn text(&self, name: &str) -> &str {
        self.fields[name].as_str().unwrap_or("")
    }

    /// Returns the value of an integer field, if it is present.
    pub(crate) fn number(&self, name: &str) -> Option<i64> {
        self.fields[name].as_i64()
    }

    /// Returns the value of a numeric field; 0 if the field is absent.
    pub(crate) fn float(&self, name: &str) -> f64 {
        self.fields[name].as_f64().unwrap_or(0.0)
    }

    /// Returns the value of a boolean field; false if the field is absent.
    pub(crate) fn flag(&self, name: &str) -> bool {
        self.fields[name].as_bool().unwrap_or(false)
    }

    /// Returns the elements of a field that is a list of texts; empty if the field is absent.
    pub(crate) fn texts(&self, name: &str) -> Vec<&str> {
        self.fields[name]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(Value::as_str)
            .collect()
    }

    /// Returns the correlation id of the invocation. The id of a dispatch is longer and contains it as the second
    /// part, separated by `|`.
    pub(crate) fn invocation_id(&self) -> &str {
        let id = self.text("id");
        id.split('|').nth(1).unwrap_or(id)
    }

    /// Whether the broker or a KServe client delivers an invocation to a router. Answers are recorded as `delivered`
    /// too, from queues whose names begin with `replies`.
    pub(crate) fn is_delivery_to_router(&self) -> bool {
        self.event == "delivered" && !self.text("queue").starts_with("replies")
    }
}

fn unreadable(path: &Path) -> impl FnOnce(std::io::Error) -> CheckError {
    let file = path.display().to_string();
    move |source| CheckError::Unreadable { file, source }
}

/// Reads all lines of all logs in a folder, ordered by time. A log may end in an incomplete line, which is skipped.
pub(crate) fn read(folder: &Path) -> Result<Vec<LogLine>, CheckError> {
    let mut files: Vec<PathBuf> = std::fs::read_dir(folder)
        .map_err(unreadable(folder))?
        .flatten()
        .map(|entry| entry.path())
        .collect();
    files.sort();
    let mut lines = Vec::new();
    for path in files
        .iter()
        .filter(|path| path.extension().is_some_and(|e| e == "ndjson"))
    {
        read_log(path, &mut lines)?;
    }
    if lines.is_empty() {
        return Err(CheckError::NoTraffic {
            folder: folder.display().to_string(),
        });
    }
    lines.sort_by_key(|line| line.at);
    Ok(lines)
}

fn read_log(path: &Path, lines: &mut Vec<LogLine>) -> Result<(), CheckError> {
    let source_name = path
        .file_stem()
        .map(|s| s.to_string_lossy().into_owned())
        .unwrap_or_default();
    let file = || path.display().to_string();
    let texts: Vec<String> = BufReader::new(File::open(path).map_err(unreadable(path))?)
        .lines()
        .map_while(Result::ok)
        .collect();
    for (line, text) in (1..).zip(&texts) {
        let fields = match serde_json::from_str::<Value>(text) {
            Ok(fields) => fields,
            Err(_) if line == texts.len() => continue,
            Err(source) => {
                return Err(CheckError::MalformedLine {
                    file: file(),
                    line,
                    source,
                });
            }
        };
        lines.push(LogLine {
            at: fields["t"]
                .as_i64()
                .ok_or_else(|| CheckError::MissingTime { file: file(), line })?,
            event: fields["what"].as_str().unwrap_or("").to_owned(),
            source: source_name.clone(),
            fields,
        });
    }
    Ok(())
}

//! The lines of the logs.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

use serde_json::Value;

use crate::Unjudged;

pub struct Line {
    pub t: i64,
    pub what: String,
    /// The stand-in that wrote it.
    pub of: String,
    fields: Value,
}

impl Line {
    pub fn text(&self, name: &str) -> &str {
        self.fields[name].as_str().unwrap_or("")
    }

    pub fn number(&self, name: &str) -> Option<i64> {
        self.fields[name].as_i64()
    }

    pub fn real(&self, name: &str) -> f64 {
        self.fields[name].as_f64().unwrap_or(0.0)
    }

    pub fn flag(&self, name: &str) -> bool {
        self.fields[name].as_bool().unwrap_or(false)
    }

    pub fn texts(&self, name: &str) -> Vec<&str> {
        self.fields[name]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(Value::as_str)
            .collect()
    }
}

/// All lines of all logs in the order of their times. A last line that was cut off is left out.
pub fn read(folder: &Path) -> Result<Vec<Line>, Unjudged> {
    let unread = |at: &Path| {
        let file = at.display().to_string();
        move |source| Unjudged::Unread { file, source }
    };
    let mut lines = Vec::new();
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .map_err(unread(folder))?
        .flatten()
        .map(|f| f.path())
        .collect();
    files.sort();
    for path in files
        .into_iter()
        .filter(|p| p.extension().is_some_and(|e| e == "ndjson"))
    {
        let of = path
            .file_stem()
            .map(|s| s.to_string_lossy().into_owned())
            .unwrap_or_default();
        let texts: Vec<String> = BufReader::new(File::open(&path).map_err(unread(&path))?)
            .lines()
            .map_while(Result::ok)
            .collect();
        let file = || path.display().to_string();
        for (line, text) in (1..).zip(&texts) {
            match serde_json::from_str::<Value>(text) {
                Ok(fields) => {
                    let t = fields["t"]
                        .as_i64()
                        .ok_or_else(|| Unjudged::NoTime { file: file(), line })?;
                    let what = fields["what"].as_str().unwrap_or("").to_owned();
                    lines.push(Line {
                        t,
                        what,
                        of: of.clone(),
                        fields,
                    });
                }
                Err(_) if line == texts.len() => {}
                Err(source) => {
                    return Err(Unjudged::NoLine {
                        file: file(),
                        line,
                        source,
                    });
                }
            }
        }
    }
    if lines.is_empty() {
        return Err(Unjudged::NoTraffic {
            folder: folder.display().to_string(),
        });
    }
    lines.sort_by_key(|l| l.t);
    Ok(lines)
}

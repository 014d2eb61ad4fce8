//! `cedarpulley trace ...`: from files alone, what happened and what was decided.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};

use cedarpulley_trace::reader::{Ended, Found, Reader};
use cedarpulley_trace::replay::{replay, told};
use cedarpulley_trace::show::Follow;
use cedarpulley_trace::summary::Counter;
use cedarpulley_trace::writer::traces;
use clap::Subcommand;
use serde_json::json;

use crate::Plain;

#[derive(Subcommand)]
pub enum Trace {
    /// Reads each file whole and tells what is damaged or cut; exit 1 if anything is.
    Verify { files: Vec<PathBuf> },
    /// Counts by fate, trigger type, account and worker, times, the worst ten seconds.
    Summary {
        files: Vec<PathBuf>,
        #[arg(long)]
        json: bool,
    },
    /// The life of the invocation that bears this mark (correlation id, request id).
    Show { mark: String, files: Vec<PathBuf> },
    /// Drives this build's module with what was recorded; exit 1 at the first decision that differs.
    Replay {
        /// Files of whole rows, from file 0 on; several rows are replayed one after the other.
        files: Vec<PathBuf>,
    },
}

type Opened = Reader<BufReader<File>>;

/// Files as given; a folder stands for all traces in it.
fn all(files: &[PathBuf]) -> Plain<Vec<PathBuf>> {
    let mut found = Vec::new();
    for file in files {
        match file.is_dir() {
            true => found.extend(traces(file).map_err(|e| format!("{}: {e}", file.display()))?),
            false => found.push(file.clone()),
        }
    }
    if found.is_empty() { Err("no trace file is given".into()) } else { Ok(found) }
}

fn open(file: &Path) -> Plain<Opened> {
    let wrong = |why: &dyn std::fmt::Display| format!("{}: {why}", file.display());
    let input = File::open(file).map_err(|e| wrong(&e))?;
    Reader::open(BufReader::new(input)).map_err(|e| wrong(&e))
}

pub fn run(what: Trace) -> Plain<bool> {
    match what {
        Trace::Verify { files } => verify(&all(&files)?),
        Trace::Summary { files, json } => summary(&all(&files)?, json),
        Trace::Show { mark, files } => show(&mark, &all(&files)?),
        Trace::Replay { files } => replayed(&all(&files)?),
    }
}

fn verify(files: &[PathBuf]) -> Plain<bool> {
    let mut good = true;
    for file in files {
        let wrong = |why: &dyn std::fmt::Display| format!("{}: {why}", file.display());
        let mut reader = match open(file) {
            Ok(reader) => reader,
            Err(why) => {
                println!("{why}");
                good = false;
                continue;
            }
        };
        let (mut blocks, mut records, mut lost) = (0, 0, 0);
        while let Some(found) = reader.next().map_err(|e| wrong(&e))? {
            match found {
                Found::Block { records: all, .. } => {
                    blocks += 1;
                    records += all.len();
                }
                Found::Damaged { offset, cause } => {
                    lost += 1;
                    println!("{}: damaged at byte {offset}: {cause}", file.display());
                }
            }
        }
        let ended = match &reader.ended {
            Some(Ended::Cut { offset }) => format!("cut after byte {offset}"),
            _ => "ended well".to_owned(),
        };
        good &= lost == 0 && reader.ended == Some(Ended::Well);
        println!("{}: {blocks} blocks, {records} records, {lost} damaged, {ended}", file.display());
    }
    Ok(good)
}

fn summary(files: &[PathBuf], json: bool) -> Plain<bool> {
    let mut counter = Counter::default();
    for file in files {
        let mut reader = open(file)?;
        let start = reader.start.clone();
        counter.file(&start);
        while let Some(found) = reader.next().map_err(|e| format!("{}: {e}", file.display()))? {
            match found {
                Found::Block { records, .. } => {
                    records.iter().for_each(|(at, record)| counter.record(&start, *at, record));
                }
                Found::Damaged { .. } => counter.damaged(),
            }
        }
    }
    let summary = counter.finish();
    match json {
        true => println!("{}", serde_json::to_string_pretty(&summary).map_err(|e| e.to_string())?),
        false => print!("{}", summary.table()),
    }
    Ok(true)
}

fn show(mark: &str, files: &[PathBuf]) -> Plain<bool> {
    let mut lines = Vec::new();
    for file in files {
        let mut reader = open(file)?;
        let start = reader.start.clone();
        let mut follow = Follow::new(mark);
        while let Some(found) = reader.next().map_err(|e| format!("{}: {e}", file.display()))? {
            if let Found::Block { records, .. } = found {
                records.iter().for_each(|(at, record)| follow.record(&start, *at, record));
            }
        }
        lines.append(&mut follow.lines);
    }
    lines.sort();
    lines.iter().for_each(|l| println!("{l}"));
    if lines.is_empty() { Err(format!("'{mark}' is in none of the files")) } else { Ok(true) }
}

fn replayed(files: &[PathBuf]) -> Plain<bool> {
    // One row for each life of a router.
    let mut rows: BTreeMap<(String, i64), Vec<Opened>> = BTreeMap::new();
    for file in files {
        let reader = open(file)?;
        let key = (reader.start.router.clone(), reader.start.wall_at_zero);
        rows.entry(key).or_default().push(reader);
    }
    let mut same = true;
    for ((router, _), mut row) in rows {
        row.sort_by_key(|r| r.start.file);
        let result = replay(&mut row).map_err(|e| format!("{router}: {e}"))?;
        let seconds = result.span as f64 / 1e6;
        let module = if result.same_module { "the same module" } else { "another module" };
        match &result.difference {
            None => println!(
                "{router}: {} decisions over {seconds:.1} s, none differs; {module}",
                result.decisions
            ),
            Some(d) => {
                same = false;
                println!("{router}: decision {} at {} us differs; {module}", d.decision, d.at);
                println!("  told:     {}", told(&d.happened));
                println!("  recorded: {:?}", d.recorded);
                println!("  replayed: {:?}", d.replayed);
                d.before.iter().for_each(|b| println!("  before:   {b}"));
            }
        }
        if let Some(why) = &result.stopped {
            println!("{}", json!({"router": router, "stopped": why}));
        }
    }
    Ok(same)
}

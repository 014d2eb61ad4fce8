//! `cedarpulley trace ...`: from files alone, what happened and what was decided.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};

use cedarpulley_trace::explain::Explain;
use cedarpulley_trace::merge::{Offsets, merge};
use cedarpulley_trace::reader::{Ended, Found, NoTrace, Reader};
use cedarpulley_trace::replay::{replay, told};
use cedarpulley_trace::rewrite::{self, Rewritten};
use cedarpulley_trace::rules::Rules;
use cedarpulley_trace::select::Wanted;
use cedarpulley_trace::show::Follow;
use cedarpulley_trace::strip::Strip;
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
    /// One file of many, with the offsets of their clocks estimated from the worker list.
    Merge {
        files: Vec<PathBuf>,
        #[arg(long)]
        out: PathBuf,
        /// Takes all clocks as they are.
        #[arg(long)]
        as_is: bool,
    },
    /// A part of a file. By time alone, other blocks are not read.
    Cut {
        file: PathBuf,
        #[arg(long)]
        out: PathBuf,
        /// Seconds since 1970, by the file's (first) wall clock.
        #[arg(long)]
        from: Option<f64>,
        #[arg(long)]
        until: Option<f64>,
        #[arg(long)]
        function: Option<String>,
        #[arg(long)]
        account: Option<String>,
        /// Its address.
        #[arg(long)]
        worker: Option<String>,
        /// The mark that its client gave it.
        #[arg(long)]
        invocation: Option<String>,
    },
    /// The same under pseudonyms, to be given away.
    Strip {
        file: PathBuf,
        #[arg(long)]
        out: PathBuf,
        /// A file with a secret: the same secret gives the same pseudonyms.
        #[arg(long)]
        key: PathBuf,
    },
    /// What cost most, dearest first: for each lost or late invocation the one cause.
    Explain {
        files: Vec<PathBuf>,
        /// Seconds since 1970.
        #[arg(long)]
        from: Option<f64>,
        #[arg(long)]
        until: Option<f64>,
        #[arg(long)]
        json: bool,
    },
    /// Judges the rules from the core's decisions; what follows on the sockets `audit` judges. Exit 1 on a break.
    Rules {
        files: Vec<PathBuf>,
        #[arg(long)]
        json: bool,
    },
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
        Trace::Explain { files, from, until, json } => {
            let micros = |s: f64| (s * 1e6) as i64;
            let span = (from.map_or(i64::MIN, micros), until.map_or(i64::MAX, micros));
            explained(&all(&files)?, span, json)
        }
        Trace::Rules { files, json } => judged(&all(&files)?, json),
        Trace::Merge { files, out, as_is } => merged(&all(&files)?, &out, as_is),
        Trace::Cut { file, out, from, until, function, account, worker, invocation } => {
            let micros = |s: f64| (s * 1e6) as i64;
            let (from, until) = (from.map(micros), until.map(micros));
            let wanted = Wanted { from, until, function, account, worker, mark: invocation };
            rewritten(&file, &out, |reader, to| rewrite::cut(reader, &wanted, to))
        }
        Trace::Strip { file, out, key } => {
            let secret = std::fs::read(&key).map_err(|e| format!("{}: {e}", key.display()))?;
            if secret.len() < LEAST_SECRET {
                return Err(format!("{}: a secret has at least {LEAST_SECRET} bytes", key.display()));
            }
            let mut strip = Strip::new(&secret);
            rewritten(&file, &out, |reader, to| rewrite::strip(reader, &mut strip, to))
        }
        Trace::Replay { files } => replayed(&all(&files)?),
    }
}

fn explained(files: &[PathBuf], span: (i64, i64), json: bool) -> Plain<bool> {
    let mut explain = Explain::default();
    let mut base = 0;
    for file in files {
        let mut reader = open(file)?;
        let sources = reader.sources.clone();
        while let Some(found) = reader.next().map_err(|e| format!("{}: {e}", file.display()))? {
            if let Found::Block { records, place } = found {
                let source = &sources[place.source as usize];
                records.iter().for_each(|(at, x)| explain.record(base + place.source, source, span, *at, x));
            }
        }
        base += sources.len() as u32;
    }
    let ranked = explain.ranked();
    if json {
        say!("{}", serde_json::to_string_pretty(&ranked).map_err(|e| e.to_string())?);
        return Ok(true);
    }
    say!("{:<52} {:>9} {:>7} {:>7}  span (wall, s)", "cause", "cost", "lost", "late");
    for r in ranked {
        let (from, until) = (r.from_us / 1_000_000, r.until_us / 1_000_000);
        let cause = format!("{:?}", r.cause);
        say!("{cause:<52} {:>9.1} {:>7} {:>7}  {from} to {until}", r.cost, r.lost, r.late);
    }
    Ok(true)
}

fn judged(files: &[PathBuf], json: bool) -> Plain<bool> {
    let (mut rules, mut all) = (Rules::default(), HashMap::new());
    for file in files {
        let mut reader = open(file)?;
        let (base, sources) = (all.len() as u32, reader.sources.clone());
        while let Some(found) = reader.next().map_err(|e| format!("{}: {e}", file.display()))? {
            if let Found::Block { records, place } = found {
                let source = &sources[place.source as usize];
                records.iter().for_each(|(at, x)| rules.record(base + place.source, source, *at, x));
            }
        }
        all.extend((base..).zip(sources));
    }
    let judged = rules.finish(&all);
    let broken: u64 = judged.rules.values().sum();
    if json {
        say!("{}", serde_json::to_string_pretty(&judged).map_err(|e| e.to_string())?);
    } else {
        judged.breaks.iter().for_each(|b| say!("{b}"));
        let (n, open) = (judged.invocations, judged.unseen);
        say!(
            "{n} invocations, {broken} breaks of rules 1, 2, 3 and 5; {open} still open where their trace ends"
        );
        say!("not seen here: rule 4, and what became of answers and dispatches on the sockets (see audit)");
    }
    Ok(broken == 0)
}

/// Shorter ones are found by trying.
const LEAST_SECRET: usize = 16;

/// Written beside its name and put there when it is whole.
fn make<T>(out: &Path, write: impl FnOnce(&mut BufWriter<File>) -> Plain<T>) -> Plain<T> {
    let wrong = |e: std::io::Error| format!("{}: {e}", out.display());
    let beside = out.with_extension("part");
    let mut to = BufWriter::new(File::create(&beside).map_err(wrong)?);
    let done = write(&mut to).and_then(|done| to.flush().map(|()| done).map_err(wrong));
    match done {
        Ok(done) => std::fs::rename(&beside, out).map(|()| done).map_err(wrong),
        Err(why) => {
            let _ = std::fs::remove_file(&beside);
            Err(why)
        }
    }
}

fn rewritten(
    file: &Path,
    out: &Path,
    how: impl FnOnce(&mut Opened, &mut BufWriter<File>) -> Result<Rewritten, NoTrace>,
) -> Plain<bool> {
    let mut reader = open(file)?;
    let done = make(out, |to| how(&mut reader, to).map_err(|e| format!("{}: {e}", file.display())))?;
    say!("{} records of {} blocks read, {} damaged", done.records, done.blocks_read, done.damaged);
    Ok(done.damaged == 0)
}

fn merged(files: &[PathBuf], out: &Path, as_is: bool) -> Plain<bool> {
    let mut readers = Vec::new();
    for file in files {
        readers.push(open(file)?);
    }
    let mut ahead = vec![0; readers.len()];
    if !as_is {
        let mut offsets = Offsets::default();
        for (reader, file) in readers.iter_mut().zip(files) {
            offsets.file(reader).map_err(|e| format!("{}: {e}", file.display()))?;
        }
        for ((file, found), ahead) in files.iter().zip(offsets.estimate()).zip(&mut ahead) {
            match found {
                Some((by, changes)) => {
                    *ahead = by;
                    say!("{}: {:.1} ms ahead, by {changes} changes", file.display(), by as f64 / 1e3);
                }
                None => say!("{}: offset unknown, taken as it is", file.display()),
            }
        }
    }
    let damaged = make(out, |to| merge(&mut readers, &ahead, to).map_err(|e| e.to_string()))?;
    if damaged > 0 {
        say!("{damaged} damaged blocks were left out");
    }
    Ok(damaged == 0)
}

fn verify(files: &[PathBuf]) -> Plain<bool> {
    let mut good = true;
    for file in files {
        let wrong = |why: &dyn std::fmt::Display| format!("{}: {why}", file.display());
        let mut reader = match open(file) {
            Ok(reader) => reader,
            Err(why) => {
                say!("{why}");
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
                    say!("{}: damaged at byte {offset}: {cause}", file.display());
                }
            }
        }
        let ended = match &reader.ended {
            Some(Ended::Cut { offset }) => format!("cut after byte {offset}"),
            _ => "ended well".to_owned(),
        };
        good &= lost == 0 && reader.ended == Some(Ended::Well);
        say!("{}: {blocks} blocks, {records} records, {lost} damaged, {ended}", file.display());
    }
    Ok(good)
}

fn summary(files: &[PathBuf], json: bool) -> Plain<bool> {
    let mut counter = Counter::default();
    for file in files {
        let mut reader = open(file)?;
        let sources = reader.sources.clone();
        counter.file(&sources);
        while let Some(found) = reader.next().map_err(|e| format!("{}: {e}", file.display()))? {
            match found {
                Found::Block { records, place } => {
                    let source = &sources[place.source as usize];
                    records.iter().for_each(|(at, x)| counter.record(place.source, source, *at, x));
                }
                Found::Damaged { .. } => counter.damaged(),
            }
        }
    }
    let summary = counter.finish();
    match json {
        true => say!("{}", serde_json::to_string_pretty(&summary).map_err(|e| e.to_string())?),
        false => say!("{}", summary.table().trim_end()),
    }
    Ok(true)
}

fn show(mark: &str, files: &[PathBuf]) -> Plain<bool> {
    let mut lines = Vec::new();
    for file in files {
        let mut reader = open(file)?;
        let sources = reader.sources.clone();
        let mut follows: Vec<Follow> = sources.iter().map(|_| Follow::new(mark)).collect();
        while let Some(found) = reader.next().map_err(|e| format!("{}: {e}", file.display()))? {
            if let Found::Block { records, place } = found {
                let (follow, source) = (&mut follows[place.source as usize], &sources[place.source as usize]);
                records.iter().for_each(|(at, record)| follow.record(source, *at, record));
            }
        }
        follows.iter_mut().for_each(|f| lines.append(&mut f.lines));
    }
    lines.sort();
    lines.iter().for_each(|l| say!("{l}"));
    if lines.is_empty() { Err(format!("'{mark}' is in none of the files")) } else { Ok(true) }
}

fn replayed(files: &[PathBuf]) -> Plain<bool> {
    // One row for each life of a router.
    let mut rows: BTreeMap<(String, i64), Vec<(u64, Opened)>> = BTreeMap::new();
    for file in files {
        for source in 0..open(file)?.sources.len() {
            let mut reader = open(file)?;
            reader.only = Some(source as u32);
            let start = &reader.sources[source].start;
            let key = (start.router.clone(), start.wall_at_zero);
            rows.entry(key).or_default().push((start.file, reader));
        }
    }
    let mut same = true;
    for ((router, _), mut row) in rows {
        row.sort_by_key(|(file, _)| *file);
        let mut row: Vec<Opened> = row.into_iter().map(|(_, reader)| reader).collect();
        let result = replay(&mut row).map_err(|e| format!("{router}: {e}"))?;
        let seconds = result.span as f64 / 1e6;
        let module = if result.same_module { "the same module" } else { "another module" };
        match &result.difference {
            None => {
                say!("{router}: {} decisions over {seconds:.1} s, none differs; {module}", result.decisions)
            }
            Some(d) => {
                same = false;
                say!("{router}: decision {} at {} us differs; {module}", d.decision, d.at);
                say!("  told:     {}", told(&d.happened));
                say!("  recorded: {:?}", d.recorded);
                say!("  replayed: {:?}", d.replayed);
                d.before.iter().for_each(|b| say!("  before:   {b}"));
            }
        }
        if let Some(why) = &result.stopped {
            say!("{}", json!({"router": router, "stopped": why}));
        }
    }
    Ok(same)
}

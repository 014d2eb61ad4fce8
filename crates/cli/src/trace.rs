//! `cedarpulley trace ...`: from files alone, what happened and what was decided.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};

use cedarpulley_errors::Remedy;
use cedarpulley_trace::compare::{Comparison, ComparisonResult, DifferenceKind};
use cedarpulley_trace::explain::CauseRanker;
use cedarpulley_trace::invocation_history::InvocationHistory;
use cedarpulley_trace::merge::{Offsets, merge};
use cedarpulley_trace::reader::{BlockRead, FileEnd, Reader};
use cedarpulley_trace::records::Record;
use cedarpulley_trace::replay::{
    DecisionReader, ReplayStep, describe_event, redo, replay, replay_steps,
};
use cedarpulley_trace::rewrite::{self, Rewritten};
use cedarpulley_trace::rule_check::RuleChecker;
use cedarpulley_trace::selection::SelectionCriteria;
use cedarpulley_trace::start::Source;
use cedarpulley_trace::strip::Pseudonymizer;
use cedarpulley_trace::summary::{SummaryBuilder, WORST_SPAN_SECONDS};
use cedarpulley_trace::timeline::Timeline;
use cedarpulley_trace::writer::trace_files;
use cedarpulley_trace::{Error, chart};
use clap::Subcommand;
use serde_json::json;

use crate::wrong::Wrong;

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
    /// Fates, times and decisions over time, as an SVG.
    Chart {
        files: Vec<PathBuf>,
        #[arg(long)]
        out: PathBuf,
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
        /// Goes through to the end and counts all that differs, by kind.
        #[arg(long)]
        all: bool,
        /// Compares with what this other build's module decides, not with what was recorded.
        #[arg(long)]
        against: Option<PathBuf>,
        #[arg(long)]
        json: bool,
    },
    /// Writes rows anew, a file each, with this build's decisions in place of what was decided.
    Redo {
        files: Vec<PathBuf>,
        #[arg(long)]
        out: PathBuf,
    },
}

type Opened = Reader<BufReader<File>>;

/// Files as given; a folder stands for all traces in it.
fn all(files: &[PathBuf]) -> Result<Vec<PathBuf>, Wrong> {
    let mut found = Vec::new();
    for file in files {
        match file.is_dir() {
            true => found.extend(trace_files(file).map_err(Wrong::file(file))?),
            false => found.push(file.clone()),
        }
    }
    if found.is_empty() {
        Err(Wrong::NoFile { what: "trace file" })
    } else {
        Ok(found)
    }
}

fn open(file: &Path) -> Result<Opened, Wrong> {
    let input = File::open(file).map_err(Wrong::file(file))?;
    Reader::open(BufReader::new(input)).map_err(Wrong::trace(file.display()))
}

pub fn run(what: Trace) -> Result<bool, Wrong> {
    match what {
        Trace::Verify { files } => verify(&all(&files)?),
        Trace::Summary { files, json } => summary(&all(&files)?, json),
        Trace::Chart { files, out } => chart(&all(&files)?, &out),
        Trace::Show { mark, files } => show(&mark, &all(&files)?),
        Trace::Explain {
            files,
            from,
            until,
            json,
        } => {
            let micros = |s: f64| (s * 1e6) as i64;
            let span = (
                from.map_or(i64::MIN, micros),
                until.map_or(i64::MAX, micros),
            );
            explained(&all(&files)?, span, json)
        }
        Trace::Rules { files, json } => judged(&all(&files)?, json),
        Trace::Merge { files, out, as_is } => merged(&all(&files)?, &out, as_is),
        Trace::Cut {
            file,
            out,
            from,
            until,
            function,
            account,
            worker,
            invocation,
        } => {
            let micros = |s: f64| (s * 1e6) as i64;
            let (from, until) = (from.map(micros), until.map(micros));
            let wanted = SelectionCriteria {
                from,
                until,
                function,
                account,
                worker,
                correlation_id: invocation,
            };
            rewritten(&file, &out, |reader, to| rewrite::cut(reader, &wanted, to))
        }
        Trace::Strip { file, out, key } => {
            let secret = std::fs::read(&key).map_err(Wrong::file(&key))?;
            if secret.len() < LEAST_SECRET {
                let (file, size) = (key.display().to_string(), secret.len());
                return Err(Wrong::ShortSecret {
                    file,
                    size,
                    least: LEAST_SECRET,
                });
            }
            let mut strip = Pseudonymizer::new(&secret);
            rewritten(&file, &out, |reader, to| {
                rewrite::strip(reader, &mut strip, to)
            })
        }
        Trace::Replay {
            files,
            all: false,
            against: None,
            ..
        } => replayed(&all(&files)?),
        Trace::Replay {
            files,
            against,
            json,
            ..
        } => compared(&all(&files)?, against.as_deref(), json),
        Trace::Redo { files, out } => redone(&all(&files)?, &out),
    }
}

fn explained(files: &[PathBuf], span: (i64, i64), json: bool) -> Result<bool, Wrong> {
    let mut explain = CauseRanker::default();
    let mut base = 0;
    for file in files {
        let mut reader = open(file)?;
        let sources = reader.sources.clone();
        while let Some(found) = reader.next().map_err(Wrong::trace(file.display()))? {
            if let BlockRead::Block {
                records,
                location: place,
            } = found
            {
                let source = &sources[place.source as usize];
                records
                    .iter()
                    .for_each(|(at, x)| explain.record(base + place.source, source, span, *at, x));
            }
        }
        base += sources.len() as u32;
    }
    let ranked = explain.ranked();
    if json {
        say!("{}", serde_json::to_string_pretty(&ranked)?);
        return Ok(true);
    }
    say!(
        "{:<52} {:>9} {:>7} {:>7}  span (wall, s)",
        "cause",
        "cost",
        "lost",
        "late"
    );
    for r in ranked {
        let (from, until) = (r.from_us / 1_000_000, r.until_us / 1_000_000);
        let cause = format!("{:?}", r.cause);
        say!(
            "{cause:<52} {:>9.1} {:>7} {:>7}  {from} to {until}",
            r.cost,
            r.lost,
            r.late
        );
    }
    Ok(true)
}

fn judged(files: &[PathBuf], json: bool) -> Result<bool, Wrong> {
    let (mut rules, mut all) = (RuleChecker::default(), HashMap::new());
    for file in files {
        let mut reader = open(file)?;
        let (base, sources) = (all.len() as u32, reader.sources.clone());
        while let Some(found) = reader.next().map_err(Wrong::trace(file.display()))? {
            if let BlockRead::Block {
                records,
                location: place,
            } = found
            {
                let source = &sources[place.source as usize];
                records
                    .iter()
                    .for_each(|(at, x)| rules.record(base + place.source, source, *at, x));
            }
        }
        all.extend((base..).zip(sources));
    }
    let judged = rules.finish(&all);
    let broken: u64 = judged.violations_by_rule.values().sum();
    if json {
        say!("{}", serde_json::to_string_pretty(&judged)?);
    } else {
        judged.violations.iter().for_each(|b| say!("{b}"));
        let (n, open) = (judged.invocations, judged.unseen);
        say!(
            "{n} invocations, {broken} breaks of rules 1, 2, 3 and 5; {open} still open where their trace ends"
        );
        say!(
            "not seen here: rule 4, and what became of answers and dispatches on the sockets (see audit)"
        );
    }
    Ok(broken == 0)
}

/// Shorter ones are found by trying.
const LEAST_SECRET: usize = 16;

/// Written beside its name and put there when it is whole.
fn make<T>(
    out: &Path,
    write: impl FnOnce(&mut BufWriter<File>) -> Result<T, Wrong>,
) -> Result<T, Wrong> {
    let beside = out.with_extension("part");
    let mut to = BufWriter::new(File::create(&beside).map_err(Wrong::file(out))?);
    let done = write(&mut to).and_then(|done| to.flush().map(|()| done).map_err(Wrong::file(out)));
    match done {
        Ok(done) => std::fs::rename(&beside, out)
            .map(|()| done)
            .map_err(Wrong::file(out)),
        Err(why) => {
            let _ = std::fs::remove_file(&beside);
            Err(why)
        }
    }
}

fn rewritten(
    file: &Path,
    out: &Path,
    how: impl FnOnce(&mut Opened, &mut BufWriter<File>) -> Result<Rewritten, Error>,
) -> Result<bool, Wrong> {
    let mut reader = open(file)?;
    let done = make(out, |to| {
        how(&mut reader, to).map_err(Wrong::trace(file.display()))
    })?;
    say!(
        "{} records of {} blocks read, {} damaged",
        done.records,
        done.blocks_read,
        done.damaged
    );
    Ok(done.damaged == 0)
}

fn merged(files: &[PathBuf], out: &Path, as_is: bool) -> Result<bool, Wrong> {
    let mut readers = Vec::new();
    for file in files {
        readers.push(open(file)?);
    }
    let mut ahead = vec![0; readers.len()];
    if !as_is {
        let mut offsets = Offsets::default();
        for (reader, file) in readers.iter_mut().zip(files) {
            offsets.file(reader).map_err(Wrong::trace(file.display()))?;
        }
        for ((file, found), ahead) in files.iter().zip(offsets.estimate()).zip(&mut ahead) {
            match found {
                Some((by, changes)) => {
                    *ahead = by;
                    say!(
                        "{}: {:.1} ms ahead, by {changes} changes",
                        file.display(),
                        by as f64 / 1e3
                    );
                }
                None => say!("{}: offset unknown, taken as it is", file.display()),
            }
        }
    }
    let damaged = make(out, |to| {
        merge(&mut readers, &ahead, to).map_err(Wrong::trace(out.display()))
    })?;
    if damaged > 0 {
        say!("{damaged} damaged blocks were left out");
    }
    Ok(damaged == 0)
}

fn verify(files: &[PathBuf]) -> Result<bool, Wrong> {
    let mut good = true;
    for file in files {
        let mut reader = match open(file) {
            Ok(reader) => reader,
            Err(why) => {
                say!("{}", why.causes());
                good = false;
                continue;
            }
        };
        let (mut blocks, mut records, mut lost) = (0, 0, 0);
        while let Some(found) = reader.next().map_err(Wrong::trace(file.display()))? {
            match found {
                BlockRead::Block { records: all, .. } => {
                    blocks += 1;
                    records += all.len();
                }
                BlockRead::Damaged { offset, cause } => {
                    lost += 1;
                    say!("{}: damaged at byte {offset}: {cause}", file.display());
                }
            }
        }
        let ended = match &reader.ended {
            Some(FileEnd::Truncated { offset }) => format!("cut after byte {offset}"),
            _ => "ended well".to_owned(),
        };
        good &= lost == 0 && reader.ended == Some(FileEnd::Complete);
        say!(
            "{}: {blocks} blocks, {records} records, {lost} damaged, {ended}",
            file.display()
        );
    }
    Ok(good)
}

/// Every record of every file, with its source.
fn each(
    files: &[PathBuf],
    counter: &mut SummaryBuilder,
    mut also: impl FnMut(&Source, i64, &Record),
) -> Result<(), Wrong> {
    for file in files {
        let mut reader = open(file)?;
        let sources = reader.sources.clone();
        counter.begin_file(&sources);
        while let Some(found) = reader.next().map_err(Wrong::trace(file.display()))? {
            match found {
                BlockRead::Block {
                    records,
                    location: place,
                } => {
                    let source = &sources[place.source as usize];
                    for (at, record) in &records {
                        counter.record(place.source, source, *at, record);
                        also(source, *at, record);
                    }
                }
                BlockRead::Damaged { .. } => counter.damaged_block(),
            }
        }
    }
    Ok(())
}

fn summary(files: &[PathBuf], json: bool) -> Result<bool, Wrong> {
    let mut counter = SummaryBuilder::default();
    each(files, &mut counter, |_, _, _| {})?;
    let summary = counter.finish();
    match json {
        true => say!("{}", serde_json::to_string_pretty(&summary)?),
        false => say!("{}", summary.table().trim_end()),
    }
    Ok(true)
}

fn chart(files: &[PathBuf], out: &Path) -> Result<bool, Wrong> {
    let (mut counter, mut course) = (SummaryBuilder::default(), Timeline::default());
    each(files, &mut counter, |source, at, record| {
        course.record(source, at, record)
    })?;
    let summary = counter.finish();
    let routers = if summary.routers == 1 {
        "router life"
    } else {
        "router lives"
    };
    let title = format!(
        "{} invocations, {} {routers}",
        summary.invocations, summary.routers
    );
    let worst = summary
        .worst
        .map(|(s, _)| (s * 1_000_000, (s + WORST_SPAN_SECONDS) * 1_000_000));
    let svg = chart::svg(&course, &title, worst).map_err(Wrong::trace(out.display()))?;
    make(out, |to| {
        to.write_all(svg.as_bytes()).map_err(Wrong::file(out))
    })?;
    say!("{}", out.display());
    Ok(true)
}

fn show(mark: &str, files: &[PathBuf]) -> Result<bool, Wrong> {
    let mut lines = Vec::new();
    for file in files {
        let mut reader = open(file)?;
        let sources = reader.sources.clone();
        let mut follows: Vec<InvocationHistory> = sources
            .iter()
            .map(|_| InvocationHistory::new(mark))
            .collect();
        while let Some(found) = reader.next().map_err(Wrong::trace(file.display()))? {
            if let BlockRead::Block {
                records,
                location: place,
            } = found
            {
                let (follow, source) = (
                    &mut follows[place.source as usize],
                    &sources[place.source as usize],
                );
                records
                    .iter()
                    .for_each(|(at, record)| follow.record(source, *at, record));
            }
        }
        follows.iter_mut().for_each(|f| lines.append(&mut f.lines));
    }
    lines.sort();
    lines.iter().for_each(|l| say!("{l}"));
    if lines.is_empty() {
        Err(Wrong::NoMark {
            mark: mark.to_owned(),
        })
    } else {
        Ok(true)
    }
}

/// A router's life, whose files are a row.
struct Life {
    router: String,
    wall_at_zero: i64,
    row: Vec<Opened>,
}

/// Of one router, name and start alike may stand in two folders: then they are two.
fn lives(files: &[PathBuf]) -> Result<Vec<Life>, Wrong> {
    let mut rows: BTreeMap<(PathBuf, String, i64), Vec<(u64, Opened)>> = BTreeMap::new();
    for file in files {
        for source in 0..open(file)?.sources.len() {
            let mut reader = open(file)?;
            reader.only_source = Some(source as u32);
            let start = &reader.sources[source].start;
            let folder = file.parent().map(Path::to_owned).unwrap_or_default();
            let key = (folder, start.router.clone(), start.wall_at_zero);
            rows.entry(key)
                .or_default()
                .push((start.file_number, reader));
        }
    }
    let life = |((_, router, wall_at_zero), mut row): (_, Vec<(u64, Opened)>)| {
        row.sort_by_key(|(file, _)| *file);
        Life {
            router,
            wall_at_zero,
            row: row.into_iter().map(|(_, reader)| reader).collect(),
        }
    };
    Ok(rows.into_iter().map(life).collect())
}

fn redone(files: &[PathBuf], out: &Path) -> Result<bool, Wrong> {
    std::fs::create_dir_all(out).map_err(Wrong::file(out))?;
    for (n, mut life) in lives(files)?.into_iter().enumerate() {
        let file = out.join(format!("{n:05}.trace"));
        let done = make(&file, |to| {
            redo(&mut life.row, to).map_err(Wrong::trace(&life.router))
        })?;
        let stopped = done
            .stopped
            .map(|why| format!("; stopped: {why}"))
            .unwrap_or_default();
        say!(
            "{}: {} decisions, in {}{stopped}",
            life.router,
            done.decisions,
            file.display()
        );
    }
    Ok(true)
}

/// What another build's module decides about the same events, a file for each life.
fn asked(other: &Path, files: &[PathBuf], into: &Path) -> Result<(), Wrong> {
    let mut command = std::process::Command::new(other);
    command
        .args(["trace", "redo", "--out"])
        .arg(into)
        .args(files);
    let done = command.output().map_err(Wrong::file(other))?;
    if done.status.success() {
        return Ok(());
    }
    let said = String::from_utf8_lossy(&done.stderr);
    let said = said.lines().next().unwrap_or("it said nothing").to_owned();
    Err(Wrong::NotRedone {
        program: other.display().to_string(),
        said,
    })
}

fn compared(files: &[PathBuf], against: Option<&Path>, json: bool) -> Result<bool, Wrong> {
    let beside = std::env::temp_dir().join(format!("cedarpulley-redone-{}", std::process::id()));
    let asked = against.map_or(Ok(()), |other| asked(other, files, &beside));
    let compared = asked.and_then(|()| compare(files, against.map(|_| beside.as_path())));
    if against.is_some() {
        let _ = std::fs::remove_dir_all(&beside);
    }
    let c = compared?;
    if json {
        say!("{}", serde_json::to_string_pretty(&c)?);
        return Ok(c.differing == 0);
    }
    say!("{:<44} {:>16} {:>10}", "kind", "first in a life", "later");
    for (kind, n) in &c.by_kind {
        let kind = match kind {
            DifferenceKind::OtherDecision(was, is) => format!("{was:?} before, now {is:?}"),
            other => format!("{other:?}"),
        };
        say!("{kind:<44} {:>16} {:>10}", n.first, n.later);
    }
    say!(
        "{} of {} lives differ, {} of {} decisions; {} decisions are exact, up to the first difference of each life",
        c.incarnations_differing,
        c.incarnations,
        c.differing,
        c.decisions,
        c.decisions_exact
    );
    Ok(c.differing == 0)
}

/// With what was recorded, or with what another build has left in this folder.
fn compare(files: &[PathBuf], other: Option<&Path>) -> Result<ComparisonResult, Wrong> {
    let mut compare = Comparison::default();
    for (n, mut life) in lives(files)?.into_iter().enumerate() {
        compare.begin_incarnation();
        let mut theirs = match other {
            Some(folder) => Some(DecisionReader::new(open(
                &folder.join(format!("{n:05}.trace")),
            )?)),
            None => None,
        };
        let done = replay_steps(&mut life.row, |step| {
            let ReplayStep::Decided {
                at,
                event: happened,
                recorded,
                replayed,
            } = step
            else {
                return Ok(true);
            };
            let Some(theirs) = &mut theirs else {
                compare.decision(&recorded, &replayed);
                return Ok(true);
            };
            let Some((their_at, their_event, their_actions)) = theirs.next()? else {
                return Err(Error::OtherBuild {
                    how: "went less far",
                });
            };
            if their_at != at || describe_event(&their_event) != describe_event(&happened) {
                return Err(Error::OtherBuild {
                    how: "was not told the same",
                });
            }
            compare.decision(&their_actions, &replayed);
            Ok(true)
        });
        let done = done.map_err(Wrong::trace(&life.router))?;
        if let Some(why) = &done.stopped {
            say!(
                "{}",
                json!({"router": life.router, "wall_at_zero": life.wall_at_zero, "stopped": why})
            );
        }
    }
    Ok(compare.finish())
}

fn replayed(files: &[PathBuf]) -> Result<bool, Wrong> {
    let mut same = true;
    for Life {
        router, mut row, ..
    } in lives(files)?
    {
        let result = replay(&mut row).map_err(Wrong::trace(&router))?;
        let seconds = result.span as f64 / 1e6;
        let module = if result.same_module {
            "the same module"
        } else {
            "another module"
        };
        match &result.difference {
            None => {
                say!(
                    "{router}: {} decisions over {seconds:.1} s, none differs; {module}",
                    result.decisions
                )
            }
            Some(d) => {
                same = false;
                say!(
                    "{router}: decision {} at {} us differs; {module}",
                    d.decision,
                    d.at
                );
                say!("  told:     {}", describe_event(&d.event));
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

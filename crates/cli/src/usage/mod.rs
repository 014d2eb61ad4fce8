//! `cedarpulley meter ...`: memory-seconds from ledgers.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use cedarpulley_usage_metering::{Book, Key, Kind, Sum, Sums};
use cedarpulley_usage_store::{Failed, Ledger};
use clap::{Subcommand, ValueEnum};
use serde_json::{Value, json};

use crate::wrong::Wrong;

#[derive(Subcommand)]
pub enum Meter {
    /// Memory-seconds (MB-s), by tenant and kind unless told otherwise.
    Report {
        /// Ledgers of any number of routers; a folder stands for all in it.
        files: Vec<PathBuf>,
        #[arg(long, value_enum, value_delimiter = ',', default_value = "tenant,kind")]
        by: Vec<By>,
        #[arg(long)]
        json: bool,
        #[arg(long)]
        csv: bool,
    },
    /// One ledger of many; the same one twice, or in another order, makes no difference.
    Merge {
        files: Vec<PathBuf>,
        #[arg(long)]
        out: PathBuf,
    },
    /// Compares a day's ledgers with what its stand-in workers say they held; exit 1 beyond one percent.
    Reconcile {
        folder: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum By {
    Tenant,
    Function,
    Hour,
    Kind,
}

/// What was metered and what was held may differ by so much.
const MOST_APART: f64 = 0.01;
/// What nobody reported, of all.
const MOST_UNCERTAIN: f64 = 0.01;

pub fn run(what: Meter) -> Result<bool, Wrong> {
    match what {
        Meter::Report {
            files,
            by,
            json,
            csv,
        } => report(&all(&files)?, &by, json, csv),
        Meter::Merge { files, out } => merge(&all(&files)?, &out),
        Meter::Reconcile { folder, json } => reconcile(&folder, json),
    }
}

fn all(files: &[PathBuf]) -> Result<Vec<PathBuf>, Wrong> {
    let mut found = Vec::new();
    for file in files {
        if !file.is_dir() {
            found.push(file.clone());
            continue;
        }
        let entries = std::fs::read_dir(file).map_err(Wrong::file(file))?;
        let ledgers = entries.flatten().map(|e| e.path());
        let mut ledgers: Vec<_> = ledgers
            .filter(|p| p.extension().is_some_and(|e| e == "ledger"))
            .collect();
        ledgers.sort();
        found.extend(ledgers);
    }
    if found.is_empty() {
        Err(Wrong::NoFile { what: "ledger" })
    } else {
        Ok(found)
    }
}

fn ledger(file: &Path) -> impl FnOnce(Failed) -> Wrong {
    move |source| Wrong::Ledger {
        file: file.display().to_string(),
        source,
    }
}

fn book(files: &[PathBuf]) -> Result<Book, Wrong> {
    let mut book = Book::default();
    for file in files {
        // A ledger that is not there would be begun.
        if !file.is_file() {
            return Err(Wrong::Absent {
                file: file.display().to_string(),
            });
        }
        book.join(
            Ledger::open(file)
                .and_then(|l| l.book())
                .map_err(ledger(file))?,
        );
    }
    Ok(book)
}

fn report(files: &[PathBuf], by: &[By], json: bool, csv: bool) -> Result<bool, Wrong> {
    let sums = book(files)?.sums();
    let column = |by: By, key: &Key| match by {
        By::Tenant => key.account.to_string(),
        By::Function => key.function.to_string(),
        By::Hour => (i64::from(key.hour) * 3600).to_string(),
        By::Kind => key.kind.name().to_owned(),
    };
    let rows = sums.by(|key| by.iter().map(|b| column(*b, key)).collect::<Vec<_>>());
    let names: Vec<&str> = by
        .iter()
        .map(|b| match b {
            By::Tenant => "tenant",
            By::Function => "function",
            By::Hour => "hour",
            By::Kind => "kind",
        })
        .collect();
    let total = sums.total();
    if json {
        let rows: Vec<Value> = rows
            .iter()
            .map(|(row, sum)| line(&names, row, sum))
            .collect();
        let all = json!({"rows": rows, "total": line(&[], &[], &total)});
        say!("{}", serde_json::to_string_pretty(&all)?);
    } else if csv {
        let mut table = csv::Writer::from_writer(Vec::new());
        table.write_record(
            names
                .iter()
                .chain(&["mb_seconds", "byte_microseconds", "count"]),
        )?;
        for (row, sum) in &rows {
            let figures = [
                format!("{:.6}", sum.mb_seconds()),
                sum.byte_us.to_string(),
                sum.count.to_string(),
            ];
            table.write_record(row.iter().chain(&figures))?;
        }
        say!(
            "{}",
            String::from_utf8_lossy(&table.into_inner().unwrap_or_default()).trim_end()
        );
    } else {
        let wide = |r: &[String]| r.iter().map(|c| format!("{c:<20}")).collect::<String>();
        let head: Vec<String> = names.iter().map(|n| n.to_string()).collect();
        say!("{}{:>16} {:>10}", wide(&head), "MB-s", "count");
        rows.iter()
            .for_each(|(r, s)| say!("{}{:>16.3} {:>10}", wide(r), s.mb_seconds(), s.count));
        say!("{:.3} MB-s in all", total.mb_seconds());
    }
    Ok(true)
}

fn line(names: &[&str], row: &[String], sum: &Sum) -> Value {
    let mut line: serde_json::Map<String, Value> = names
        .iter()
        .zip(row)
        .map(|(n, v)| ((*n).to_owned(), json!(v)))
        .collect();
    // Beyond what a float keeps to the last digit: as text.
    line.insert("byte_microseconds".into(), json!(sum.byte_us.to_string()));
    line.insert("mb_seconds".into(), json!(sum.mb_seconds()));
    line.insert("count".into(), json!(sum.count));
    Value::Object(line)
}

fn merge(files: &[PathBuf], out: &Path) -> Result<bool, Wrong> {
    let book = book(files)?;
    Ledger::open(out)
        .and_then(|l| l.join(&book))
        .map_err(ledger(out))?;
    say!(
        "{} lives of routers in {}",
        book.measured.len(),
        out.display()
    );
    Ok(true)
}

/// Byte-microseconds by account and kind.
type ByTenant = BTreeMap<(String, Kind), u128>;

/// As the workers' logs have it; and how much of it their answers at once did not tell.
fn held(folder: &Path) -> Result<(ByTenant, u128), Wrong> {
    let (mut held, mut untold) = (ByTenant::new(), 0);
    for entry in std::fs::read_dir(folder).map_err(Wrong::file(folder))? {
        let path = entry.map_err(Wrong::file(folder))?.path();
        let file = File::open(&path).map_err(Wrong::file(&path))?;
        for text in BufReader::new(file).lines().map_while(Result::ok) {
            let Ok(line) = serde_json::from_str::<Value>(&text) else {
                continue;
            };
            if line["what"] != "held" {
                continue;
            }
            let bytes = u128::from(line["bytes"].as_u64().unwrap_or(0));
            let kinds = [
                ("running", Kind::Running),
                ("loading", Kind::Loading),
                ("idle", Kind::Idle),
            ];
            for (name, kind) in kinds {
                let byte_us = bytes * u128::from(line[name].as_u64().unwrap_or(0));
                if line["reported"] != true {
                    untold += byte_us;
                }
                if byte_us > 0 {
                    let account = line["account"].as_str().unwrap_or("").to_owned();
                    *held.entry((account, kind)).or_default() += byte_us;
                }
            }
        }
    }
    Ok((held, untold))
}

fn reconcile(folder: &Path, json: bool) -> Result<bool, Wrong> {
    let sums: Sums = book(&all(&[folder.join("meter")])?)?.sums();
    let (held, untold) = held(&folder.join("traffic"))?;
    let metered = sums.by(|k| (k.account.to_string(), k.kind));
    let mut rows = Vec::new();
    let mut good = true;
    let keys = [Kind::Running, Kind::Loading, Kind::Idle];
    let mut all: Vec<_> = metered
        .keys()
        .filter(|k| keys.contains(&k.1))
        .chain(held.keys())
        .cloned()
        .collect();
    all.sort();
    all.dedup();
    for key in all {
        let metered = metered.get(&key).copied().unwrap_or_default().mb_seconds();
        let held = held.get(&key).copied().unwrap_or_default() as f64 / 1e12;
        let apart = (metered - held) / held.max(metered).max(1e-9);
        good &= apart.abs() <= MOST_APART;
        rows.push((key, metered, held, apart));
    }
    let uncertain = metered.iter().filter(|(k, _)| k.1 == Kind::Uncertain);
    let uncertain = uncertain.fold(0.0, |all, (_, sum)| all + sum.mb_seconds());
    let total: f64 = rows.iter().map(|r| r.2).sum();
    let untold = untold as f64 / 1e12;
    rows.sort_by(|a, b| b.3.abs().total_cmp(&a.3.abs()));
    if json {
        let rows: Vec<Value> = rows
            .iter()
            .map(|((tenant, kind), m, h, a)| json!({"tenant": tenant, "kind": kind, "metered": m, "held": h, "apart": a}))
            .collect();
        let all = json!({"rows": rows, "uncertain": uncertain, "untold": untold, "held": total});
        say!("{}", serde_json::to_string_pretty(&all)?);
        return Ok(good);
    }
    say!(
        "{:<16} {:<10} {:>14} {:>14} {:>8}",
        "tenant",
        "kind",
        "metered MB-s",
        "held MB-s",
        "apart"
    );
    for ((tenant, kind), metered, held, apart) in rows {
        let tenant = if tenant.is_empty() { "(none)" } else { &tenant };
        say!(
            "{tenant:<16} {:<10} {metered:>14.3} {held:>14.3} {:>7.2}%",
            kind.name(),
            apart * 100.0
        );
    }
    let much = if uncertain > MOST_UNCERTAIN * total {
        ", above the aim of 1%"
    } else {
        ""
    };
    say!(
        "uncertain {uncertain:.3} MB-s, {:.2}% of what was held{much}; told late or never {untold:.3} MB-s",
        100.0 * uncertain / total.max(1e-9)
    );
    Ok(good)
}

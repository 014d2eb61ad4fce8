//! The rows in the tables of a ledger file, and a complete file that an earlier build wrote. Guards against a change
//! of the file format: every build must read the earlier file, and must write the same rows.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use cedarpulley_usage_metering::report::{SourceUsage, UsageReport};
use cedarpulley_usage_metering::{Usage, UsageDelta, UsageKey, UsageKind};
use cedarpulley_usage_store::{FORMAT, Ledger};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};

/// A complete ledger file that an earlier build wrote.
const FILE: &[u8] = include_bytes!("fixtures/r7.ledger");
/// The expected rows of that file, one per line.
const ROWS: &str = include_str!("fixtures/rows.txt");

const ABOUT: TableDefinition<&str, u64> = TableDefinition::new("about");
const SOURCES: TableDefinition<u128, (u64, &str)> = TableDefinition::new("sources");
type SumRow<'a> = (u128, u32, &'a str, &'a str, u8);
const SUMS: TableDefinition<SumRow, (u128, u64)> = TableDefinition::new("sums");
type ReadingRow<'a> = (u64, u32, &'a str, &'a str, u8);
const READINGS: TableDefinition<ReadingRow, u128> = TableDefinition::new("readings");

const LARGE: u128 = 0x0102_0304_0506_0708_090A_0B0C_0D0E_0F10;
const KINDS: [UsageKind; 7] = [
    UsageKind::Running,
    UsageKind::Loading,
    UsageKind::Idle,
    UsageKind::Uncertain,
    UsageKind::Shared,
    UsageKind::Nothing,
    UsageKind::Settled,
];

/// An empty folder for one test.
fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn key(hour: u32, kind: UsageKind) -> UsageKey {
    UsageKey {
        hour,
        account: "amber".into(),
        function: "resize".into(),
        kind,
    }
}

/// A sum of each kind, and readings of the kinds that workers report.
fn delta(hour: u32) -> UsageDelta {
    let mut delta = UsageDelta::default();
    for (kind, n) in KINDS.into_iter().zip(1..) {
        let byte_us = LARGE + u128::from(n);
        delta.sums.add(key(hour, kind), Usage { byte_us, count: n });
    }
    for (kind, n) in KINDS.into_iter().zip(1..).take(3) {
        delta.readings.record(90 + n, key(hour, kind), LARGE * 2);
    }
    delta
}

/// Writes the ledger whose rows are [`ROWS`].
fn write(file: &Path) {
    let ledger = Ledger::open(file).expect("the file opens");
    assert_eq!(ledger.add(7, "r7", &delta(500_000)).expect("written"), 1);
    assert_eq!(ledger.add(7, "r7", &delta(500_001)).expect("written"), 2);
    assert_eq!(
        ledger.add(LARGE, "r8", &delta(500_000)).expect("written"),
        1
    );
}

/// The report of the ledger whose rows are [`ROWS`].
fn expected_report() -> UsageReport {
    let mut report = UsageReport::default();
    let source_usage = |number, router: &str, hours: &[u32]| {
        let mut usage = SourceUsage {
            number,
            router: router.to_owned(),
            ..SourceUsage::default()
        };
        for hour in hours {
            usage.sums.add_all(&delta(*hour).sums);
        }
        usage
    };
    report.by_source = BTreeMap::from([
        (7, source_usage(2, "r7", &[500_000, 500_001])),
        (LARGE, source_usage(1, "r8", &[500_000])),
    ]);
    report.readings.merge(&delta(500_000).readings);
    report.readings.merge(&delta(500_001).readings);
    report
}

/// All rows of a file, one per line. They are read with the table definitions of this test, not with those of the
/// package.
fn rows(file: &Path) -> String {
    let database = Database::open(file).expect("the file opens");
    let snapshot = database.begin_read().expect("a snapshot");
    let mut lines = Vec::new();
    for row in snapshot
        .open_table(ABOUT)
        .expect("about")
        .iter()
        .expect("rows")
    {
        let (name, value) = row.expect("a row");
        lines.push(format!("about {} {}\n", name.value(), value.value()));
    }
    let sources = snapshot.open_table(SOURCES).expect("sources");
    for row in sources.iter().expect("rows") {
        let (source, value) = row.expect("a row");
        lines.push(format!("sources {} {:?}\n", source.value(), value.value()));
    }
    for row in snapshot
        .open_table(SUMS)
        .expect("sums")
        .iter()
        .expect("rows")
    {
        let (row, sum) = row.expect("a row");
        lines.push(format!("sums {:?} {:?}\n", row.value(), sum.value()));
    }
    let readings = snapshot.open_table(READINGS).expect("readings");
    for row in readings.iter().expect("rows") {
        let (row, total) = row.expect("a row");
        lines.push(format!("readings {:?} {}\n", row.value(), total.value()));
    }
    lines.concat()
}

/// Writes a copy of the file of the earlier build.
fn earlier_file(folder: &Path) -> PathBuf {
    let file = folder.join("r7.ledger");
    std::fs::write(&file, FILE).expect("written");
    file
}

#[test]
fn a_ledger_keeps_the_rows_of_its_tables() {
    let file = folder("rows").join("r7.ledger");
    write(&file);
    assert_eq!((FORMAT, rows(&file).as_str()), (1, ROWS));
}

#[test]
fn a_file_of_the_first_format_is_read_with_all_its_rows() {
    let file = earlier_file(&folder("pinned"));
    assert_eq!(rows(&file), ROWS);
    let ledger = Ledger::open(&file).expect("the file opens");
    assert_eq!(ledger.report().expect("read"), expected_report());
}

#[test]
fn adding_to_a_file_of_the_first_format_updates_the_same_rows() {
    let file = earlier_file(&folder("added"));
    let ledger = Ledger::open(&file).expect("the file opens");
    assert_eq!(ledger.add(7, "r7", &delta(500_000)).expect("written"), 3);
    drop(ledger);
    let (before, after) = (ROWS.lines().count(), rows(&file).lines().count());
    assert_eq!(before, after);
}

#[test]
fn kinds_keep_their_names_and_numbers() {
    let names = UsageKind::ALL.map(UsageKind::name).join(" ");
    assert_eq!(
        names,
        "running loading idle uncertain shared nothing settled"
    );
    assert_eq!(UsageKind::ALL, KINDS);
}

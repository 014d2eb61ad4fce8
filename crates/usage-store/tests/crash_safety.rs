//! A ledger whose writer is killed 200 times, and ledger files that are damaged, in use, or merged. Guards against
//! the loss of acknowledged usage, against partial writes, and against a damaged file that is read as valid or causes
//! a panic.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;

use cedarpulley_usage_metering::UsageDelta;
use cedarpulley_usage_metering::usage::{Usage, UsageKey, UsageKind};
use cedarpulley_usage_store::{Ledger, StoreError, WriteSchedule};
use rand::{Rng, SeedableRng};

/// Environment variable with the ledger file for [`writes_until_killed`].
const LEDGER_FILE_VARIABLE: &str = "CEDARPULLEY_TEST_LEDGER";

/// An empty folder for one test.
fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// The usage of write number `n`, counted from 0.
fn delta(n: u64) -> UsageDelta {
    let mut delta = UsageDelta::default();
    let key = UsageKey {
        hour: 7,
        account: "a".into(),
        function: "g".into(),
        kind: UsageKind::Loading,
    };
    delta.readings.record(5, key, u128::from(n + 1));
    for kind in [UsageKind::Running, UsageKind::Idle] {
        let function = format!("f{}", n % 50).into();
        delta.sums.add(
            UsageKey {
                hour: 7,
                account: "a".into(),
                function,
                kind,
            },
            Usage {
                byte_us: 1_000,
                count: 1,
            },
        );
    }
    delta
}

/// The process that is killed: writes to the file in the environment variable, and prints the number of each
/// acknowledged write. Does nothing if the variable is not set.
#[test]
fn writes_until_killed() {
    let Some(file) = std::env::var_os(LEDGER_FILE_VARIABLE) else {
        return;
    };
    let ledger = Ledger::open(Path::new(&file)).expect("the ledger opens");
    for n in 0..100_000 {
        let number = ledger.add(1, "r", &delta(n)).expect("written");
        println!("acknowledged {number}");
    }
}

#[test]
fn all_acknowledged_writes_survive_200_kills() {
    let file = folder("killed").join("meter.ledger");
    let test_binary = std::env::current_exe().expect("a path");
    let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(5);
    let mut last_number = 0;
    for _ in 0..200 {
        let mut child = Command::new(&test_binary)
            .args(["--exact", "writes_until_killed", "--nocapture"])
            .env(LEDGER_FILE_VARIABLE, &file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("started");
        let lines = BufReader::new(child.stdout.take().expect("piped"))
            .lines()
            .map_while(Result::ok);
        let mut acknowledged =
            lines.filter_map(|line| line.split("acknowledged ").nth(1)?.parse::<u64>().ok());
        // Waits for 0 to 3 acknowledged writes and up to 3 ms more, so that the kill comes during a write, however
        // slow the disk is.
        let first = (0..random.next_u64() % 4)
            .filter_map(|_| acknowledged.next())
            .last();
        std::thread::sleep(Duration::from_micros(random.next_u64() % 3_000));
        child.kill().expect("killed");
        let last_acknowledged = acknowledged.last().or(first);
        child.wait().expect("the process has ended");
        let report = Ledger::open(&file)
            .expect("the ledger opens")
            .report()
            .expect("read");
        // The process was killed before its first write.
        let Some(source_usage) = report.by_source.get(&1) else {
            continue;
        };
        assert!(
            source_usage.number >= last_acknowledged.unwrap_or(last_number).max(last_number),
            "write {} after {last_acknowledged:?} and {last_number}",
            source_usage.number
        );
        // Only complete writes: both kinds have the same sums, which match the number of writes.
        let by_kind = source_usage.sums.group_by(|key| key.kind);
        assert_eq!(
            by_kind[&UsageKind::Running],
            Usage {
                byte_us: u128::from(source_usage.number) * 1_000,
                count: source_usage.number
            }
        );
        assert_eq!(by_kind[&UsageKind::Running], by_kind[&UsageKind::Idle]);
        // The largest reading is that of the process with the most writes.
        assert!(
            report
                .readings
                .0
                .values()
                .all(|total| *total >= 1 && *total <= u128::from(source_usage.number))
        );
        last_number = source_usage.number;
    }
    assert!(last_number > 100, "{last_number} writes by 200 processes");
}

#[test]
fn a_damaged_file_is_rejected_or_intact_and_never_panics() {
    let folder = folder("damaged");
    let file = folder.join("meter.ledger");
    let ledger = Ledger::open(&file).expect("the ledger opens");
    (0..20).for_each(|n| {
        ledger.add(1, "r", &delta(n)).expect("written");
    });
    let original_report = ledger.report().expect("read");
    drop(ledger);
    let bytes = std::fs::read(&file).expect("read");
    let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(6);
    let mut rejected = 0;
    for n in 0..60 {
        let mut damaged = bytes.clone();
        let position = random.next_u64() as usize % damaged.len();
        if n % 2 == 0 {
            damaged.truncate(position)
        } else {
            damaged[position] ^= 0x10
        }
        let damaged_file = folder.join(format!("{n}.ledger"));
        std::fs::write(&damaged_file, &damaged).expect("written");
        let read = std::panic::catch_unwind(|| {
            Ledger::open(&damaged_file).and_then(|ledger| ledger.report())
        });
        match read {
            Ok(Ok(report)) => assert!(report == original_report, "{n}: a different report"),
            Ok(Err(_)) => rejected += 1,
            Err(_) => panic!("{n}: a panic after damage at byte {position}"),
        }
    }
    assert!(rejected > 10, "{rejected}");
}

#[test]
fn ledgers_merge_in_any_order() {
    let folder = folder("joined");
    let reports: Vec<_> = (0..12u128)
        .map(|source| {
            let ledger =
                Ledger::open(&folder.join(format!("{source}.ledger"))).expect("the ledger opens");
            (0..=source as u64).for_each(|n| {
                ledger
                    .add(source, &format!("r{source}"), &delta(n))
                    .expect("written");
            });
            ledger.report().expect("read")
        })
        .collect();
    let merged = |name: &str, order: &mut dyn Iterator<Item = usize>| {
        let ledger = Ledger::open(&folder.join(name)).expect("the ledger opens");
        order.for_each(|n| ledger.merge(&reports[n]).expect("merged"));
        ledger.report().expect("read")
    };
    let in_order = merged("forth", &mut (0..12));
    assert_eq!(in_order, merged("back", &mut (0..12).rev().chain(0..12)));
    assert_eq!(in_order.sums().total().count, 2 * (1..=12).sum::<u64>());
}

#[test]
fn writes_back_off_after_failures_and_one_ledger_may_be_renamed() {
    let mut schedule = WriteSchedule::default();
    assert!(schedule.is_due(0));
    schedule.on_written(0);
    assert!(!schedule.is_due(999_999) && schedule.is_due(1_000_000));
    let mut now = 1_000_000;
    for wait_s in [1, 2, 4, 8] {
        schedule.on_failed(now);
        assert!(
            !schedule.is_due(now + wait_s * 1_000_000 - 1)
                && schedule.is_due(now + wait_s * 1_000_000)
        );
        now += wait_s * 1_000_000;
    }
    assert_eq!(
        (
            schedule.failures,
            schedule.may_rename_ledger(),
            schedule.may_rename_ledger()
        ),
        (4, true, false)
    );
}

#[test]
fn a_ledger_in_use_or_inaccessible_is_an_error() {
    let file = folder("twice").join("meter.ledger");
    let _open_ledger = Ledger::open(&file).expect("the ledger opens");
    // A ledger that another process has open is not damaged, and must not be renamed.
    assert!(matches!(Ledger::open(&file), Err(StoreError::InUse)));
    assert!(matches!(
        Ledger::open(Path::new("/proc/none/meter.ledger")),
        Err(StoreError::Unwritten(_))
    ));
}

//! Tests metering with a ledger that cannot be written, or that is unreadable: no metered usage is lost, and recording
//! usage does not wait for the disk.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use cedarpulley::interface::{CopyStatus, DispatchOutcome, Micros};
use cedarpulley_gateway::metering::Metering;
use cedarpulley_router::observer::{RouterObserver, UsageSource, WorkerUsage};
use cedarpulley_usage_metering::{MemoryTotals, Usage, UsageKind};
use cedarpulley_usage_store::Ledger;

/// A second in microseconds.
const SECOND: Micros = 1_000_000;

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("the folder is created");
    folder
}

fn begin(folder: &Path) -> Metering {
    Metering::begin(folder.to_owned(), "r", 7, vec!["amber".into()], 0).expect("metering starts")
}

/// Records one use for each number in `times`, each of 30 byte-microseconds.
fn record_uses(metering: &Metering, times: std::ops::Range<u128>) {
    let source = UsageSource::Dispatch(DispatchOutcome::Succeeded, CopyStatus::Warm);
    for n in times {
        let memory_held = Some(MemoryTotals {
            incarnation: 9,
            running: 30 * (n + 1),
            loading: 0,
            idle: 0,
        });
        let used = WorkerUsage {
            worker: 0,
            worker_name: "w",
            function: "f",
            session: None,
            ends_session: false,
            trigger: 0,
            account: 0,
            source,
            took: 9,
            copy_mb: 1.0,
            lanes: 1,
            memory_held,
        };
        metering.clone().used(0, used);
    }
}

/// Flushes at intervals of 400 s of simulated time until the condition `until` holds.
fn flush_until(metering: &Metering, from: Micros, until: impl Fn() -> bool) {
    let (began, mut now) = (Instant::now(), from);
    while !until() {
        metering.flush_due(now);
        now += 400 * SECOND;
        assert!(
            began.elapsed() < Duration::from_secs(20),
            "the condition was not reached within 20 s"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn ledger_sum(file: &Path) -> Usage {
    let report = Ledger::open(file)
        .expect("the ledger opens")
        .report()
        .expect("the ledger is readable");
    report
        .sums()
        .group_by(|k| k.kind)
        .remove(&UsageKind::Running)
        .unwrap_or_default()
}

/// Usage that is recorded while the ledger cannot be written has to be kept, and written once that is possible.
#[test]
fn usage_metered_during_a_disk_failure_is_written_later() {
    let folder = folder("disk-fails");
    let file = folder.join("r.ledger");
    // A folder at the path of the ledger makes every write fail.
    std::fs::create_dir(&file).expect("the folder is created");
    let metering = begin(&folder);
    record_uses(&metering, 0..3);
    (0..5).for_each(|n| {
        metering.flush_due(n * 400 * SECOND);
        std::thread::sleep(Duration::from_millis(20));
    });
    record_uses(&metering, 3..5);
    assert!(
        !metering.close(3_000 * SECOND),
        "the ledger could not be written"
    );
    std::fs::remove_dir(&file).expect("the folder is removed");
    flush_until(&metering, 40_000 * SECOND, || file.is_file());
    // `close` waits for the ledger's thread; until then the file may exist but still be empty.
    assert!(metering.close(80_000_000 * SECOND), "all usage is written");
    assert_eq!(
        ledger_sum(&file),
        Usage {
            byte_us: 5 * 30,
            count: 5
        }
    );
}

/// An unreadable ledger has to be renamed, and the usage written to a new one.
#[test]
fn unreadable_ledger_is_renamed() {
    let folder = folder("unreadable");
    let file = folder.join("r.ledger");
    std::fs::write(&file, vec![7; 4096]).expect("the file is written");
    let metering = begin(&folder);
    record_uses(&metering, 0..4);
    let is_renamed = || {
        std::fs::read_dir(&folder)
            .expect("the folder is readable")
            .count()
            > 1
    };
    flush_until(&metering, 0, is_renamed);
    flush_until(&metering, 40_000_000 * SECOND, || file.is_file());
    assert!(metering.close(80_000_000 * SECOND));
    assert_eq!(
        ledger_sum(&file),
        Usage {
            byte_us: 120,
            count: 4
        }
    );
}

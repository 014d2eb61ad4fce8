//! A ledger whose disk fails, or that cannot be read: nothing metered is lost, and nothing waits.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use cedarpulley::interface::{CopyStatus, DispatchOutcome, Micros};
use cedarpulley_gateway::metering::Metering;
use cedarpulley_router::observer::{RouterObserver, UsageSource, WorkerUsage};
use cedarpulley_usage_metering::{MemoryTotals, Usage, UsageKind};
use cedarpulley_usage_store::Ledger;

const SECOND: Micros = 1_000_000;

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn begin(folder: &Path) -> Metering {
    Metering::begin(folder.to_owned(), "r", 7, vec!["amber".into()], 0).expect("begun")
}

/// Records one use for each of `times`, each of 30 byte-microseconds.
fn record_uses(metering: &Metering, times: std::ops::Range<u128>) {
    let by = UsageSource::Dispatch(DispatchOutcome::Succeeded, CopyStatus::Warm);
    for n in times {
        let held = Some(MemoryTotals {
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
            source: by,
            took: 9,
            copy_mb: 1.0,
            lanes: 1,
            memory_held: held,
        };
        metering.clone().used(0, used);
    }
}

/// Flushes with long intervals between until the writing thread has reported.
fn flush_until(metering: &Metering, from: Micros, until: impl Fn() -> bool) {
    let (began, mut now) = (Instant::now(), from);
    while !until() {
        metering.flush_due(now);
        now += 400 * SECOND;
        assert!(
            began.elapsed() < Duration::from_secs(20),
            "nothing came of it"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn ledger_sum(file: &Path) -> Usage {
    let book = Ledger::open(file)
        .expect("it opens")
        .report()
        .expect("read");
    book.sums()
        .group_by(|k| k.kind)
        .remove(&UsageKind::Running)
        .unwrap_or_default()
}

#[test]
fn usage_metered_during_a_disk_failure_is_written_later() {
    let folder = folder("disk-fails");
    let file = folder.join("r.ledger");
    // No file can be made where a folder is.
    std::fs::create_dir(&file).expect("a folder in its place");
    let metering = begin(&folder);
    record_uses(&metering, 0..3);
    (0..5).for_each(|n| {
        metering.flush_due(n * 400 * SECOND);
        std::thread::sleep(Duration::from_millis(20));
    });
    record_uses(&metering, 3..5);
    assert!(!metering.close(3_000 * SECOND), "it could not be written");
    std::fs::remove_dir(&file).expect("gone");
    flush_until(&metering, 40_000 * SECOND, || file.is_file());
    // Closing waits for the thread that writes; the file alone may still be empty.
    assert!(metering.close(80_000_000 * SECOND), "written in the end");
    assert_eq!(
        ledger_sum(&file),
        Usage {
            byte_us: 5 * 30,
            count: 5
        }
    );
}

#[test]
fn unreadable_ledger_is_set_aside() {
    let folder = folder("unreadable");
    let file = folder.join("r.ledger");
    std::fs::write(&file, vec![7; 4096]).expect("written");
    let metering = begin(&folder);
    record_uses(&metering, 0..4);
    let aside = || std::fs::read_dir(&folder).expect("read").count() > 1;
    flush_until(&metering, 0, aside);
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

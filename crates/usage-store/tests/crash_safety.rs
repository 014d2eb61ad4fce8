//! A ledger whose writer is killed 200 times; files that are damaged, in use, or merged.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;

use cedarpulley_usage_metering::UsageDelta;
use cedarpulley_usage_metering::usage::{Usage, UsageKey, UsageKind};
use cedarpulley_usage_store::{Ledger, StoreError, WriteSchedule};
use rand::{Rng, SeedableRng};

const FILE: &str = "CEDARPULLEY_TEST_LEDGER";

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn one(n: u64) -> UsageDelta {
    let mut part = UsageDelta::default();
    let key = UsageKey {
        hour: 7,
        account: "a".into(),
        function: "g".into(),
        kind: UsageKind::Loading,
    };
    part.readings.record(5, key, u128::from(n + 1));
    for kind in [UsageKind::Running, UsageKind::Idle] {
        let function = format!("f{}", n % 50).into();
        part.sums.add(
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
    part
}

/// Does something only with its file set, as the process to be killed: prints each number that was acknowledged.
#[test]
fn writes_until_killed() {
    let Some(file) = std::env::var_os(FILE) else {
        return;
    };
    let ledger = Ledger::open(Path::new(&file)).expect("it opens");
    for n in 0..100_000 {
        let number = ledger.add(1, "r", &one(n)).expect("written");
        println!("acknowledged {number}");
    }
}

#[test]
fn all_acknowledged_writes_survive_200_kills() {
    let file = folder("killed").join("meter.ledger");
    let me = std::env::current_exe().expect("a path");
    let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(5);
    let mut last = 0;
    for _ in 0..200 {
        let mut child = Command::new(&me)
            .args(["--exact", "writes_until_killed", "--nocapture"])
            .env(FILE, &file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("started");
        let said = BufReader::new(child.stdout.take().expect("piped"))
            .lines()
            .map_while(Result::ok);
        let mut told = said.filter_map(|l| l.split("acknowledged ").nth(1)?.parse::<u64>().ok());
        // After so many writings, or before the first, and a moment: so it dies within one, however slow the disk.
        let first = (0..random.next_u64() % 4)
            .filter_map(|_| told.next())
            .last();
        std::thread::sleep(Duration::from_micros(random.next_u64() % 3_000));
        child.kill().expect("killed");
        let told = told.last().or(first);
        child.wait().expect("gone");
        let book = Ledger::open(&file)
            .expect("it opens")
            .report()
            .expect("read");
        // Nothing was begun, if it was killed before the file was.
        let Some(m) = book.by_source.get(&1) else {
            continue;
        };
        assert!(
            m.number >= told.unwrap_or(last).max(last),
            "{} after {told:?} and {last}",
            m.number
        );
        // Whole writings only: both kinds alike, and as many as the number says.
        let by = m.sums.group_by(|k| k.kind);
        assert_eq!(
            by[&UsageKind::Running],
            Usage {
                byte_us: u128::from(m.number) * 1_000,
                count: m.number
            }
        );
        assert_eq!(by[&UsageKind::Running], by[&UsageKind::Idle]);
        // The largest reading of a life: the one of its longest writer.
        assert!(
            book.readings
                .0
                .values()
                .all(|total| *total >= 1 && *total <= u128::from(m.number))
        );
        last = m.number;
    }
    assert!(last > 100, "{last} writings in 200 lives");
}

#[test]
fn a_damaged_file_is_rejected_or_intact_and_never_panics() {
    let at = folder("damaged");
    let file = at.join("meter.ledger");
    let ledger = Ledger::open(&file).expect("it opens");
    (0..20).for_each(|n| {
        ledger.add(1, "r", &one(n)).expect("written");
    });
    let whole = ledger.report().expect("read");
    drop(ledger);
    let bytes = std::fs::read(&file).expect("read");
    let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(6);
    let mut refused = 0;
    for n in 0..60 {
        let mut damaged = bytes.clone();
        let place = random.next_u64() as usize % damaged.len();
        if n % 2 == 0 {
            damaged.truncate(place)
        } else {
            damaged[place] ^= 0x10
        }
        let other = at.join(format!("{n}.ledger"));
        std::fs::write(&other, &damaged).expect("written");
        let read = std::panic::catch_unwind(|| Ledger::open(&other).and_then(|l| l.report()));
        match read {
            Ok(Ok(book)) => assert!(book == whole, "{n}: another book"),
            Ok(Err(_)) => refused += 1,
            Err(_) => panic!("{n}: a panic at {place}"),
        }
    }
    assert!(refused > 10, "{refused}");
}

#[test]
fn ledgers_merge_in_any_order() {
    let at = folder("joined");
    let books: Vec<_> = (0..12u128)
        .map(|source| {
            let ledger = Ledger::open(&at.join(format!("{source}.ledger"))).expect("it opens");
            (0..=source as u64).for_each(|n| {
                ledger
                    .add(source, &format!("r{source}"), &one(n))
                    .expect("written");
            });
            ledger.report().expect("read")
        })
        .collect();
    let joined = |name: &str, order: &mut dyn Iterator<Item = usize>| {
        let ledger = Ledger::open(&at.join(name)).expect("it opens");
        order.for_each(|n| ledger.merge(&books[n]).expect("joined"));
        ledger.report().expect("read")
    };
    let forth = joined("forth", &mut (0..12));
    assert_eq!(forth, joined("back", &mut (0..12).rev().chain(0..12)));
    assert_eq!(forth.sums().total().count, 2 * (1..=12).sum::<u64>());
}

#[test]
fn writes_back_off_after_failures_and_one_file_is_set_aside() {
    let mut w = WriteSchedule::default();
    assert!(w.is_due(0));
    w.on_written(0);
    assert!(!w.is_due(999_999) && w.is_due(1_000_000));
    let mut now = 1_000_000;
    for wait in [1, 2, 4, 8] {
        w.on_failed(now);
        assert!(!w.is_due(now + wait * 1_000_000 - 1) && w.is_due(now + wait * 1_000_000));
        now += wait * 1_000_000;
    }
    assert_eq!(
        (w.failures, w.may_set_aside(), w.may_set_aside()),
        (4, true, false)
    );
}

#[test]
fn a_ledger_in_use_or_out_of_reach_is_an_error() {
    let file = folder("twice").join("meter.ledger");
    let _one = Ledger::open(&file).expect("it opens");
    // Another's is not damaged, and must not be set aside.
    assert!(matches!(Ledger::open(&file), Err(StoreError::InUse)));
    assert!(matches!(
        Ledger::open(Path::new("/proc/none/meter.ledger")),
        Err(StoreError::Unwritten(_))
    ));
}

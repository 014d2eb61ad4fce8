//! Guards against trace files that cannot be read after the router was killed: a writer process is killed a hundred
//! times at different moments, and the files must contain whole blocks only, in order and without missing records.

mod sample_trace;

use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::mpsc::sync_channel;
use std::time::Duration;

use cedarpulley::interface::Event;
use cedarpulley_trace::blocks::BlockBuilder;
use cedarpulley_trace::reader::{BlockRead, FileEnd, Reader};
use cedarpulley_trace::records::{Record, RecordedEvent};
use cedarpulley_trace::retention::RetentionLimits;
use cedarpulley_trace::writer::{FileSeries, WriterMessage, run_writer, trace_files};

/// Environment variable with the folder of the process that will be killed.
const FOLDER_VARIABLE: &str = "CEDARPULLEY_TEST_TRACE_FOLDER";

/// Runs only if the folder is set, as the process that will be killed; it ends after 50,000 blocks if it is not killed.
#[test]
fn child_process_writes_until_killed() {
    let Some(folder) = std::env::var_os(FOLDER_VARIABLE) else {
        return;
    };
    let series = FileSeries {
        folder: PathBuf::from(folder),
        name: "r".into(),
        started_at_ms: 1,
    };
    let limits = RetentionLimits {
        file_bytes: 20_000,
        file_age: i64::MAX,
        budget_bytes: u64::MAX,
    };
    let (messages, received) = sync_channel(4);
    let writer = std::thread::spawn(move || {
        run_writer(series, sample_trace::start(), limits, received, |failure| {
            panic!("{failure}")
        })
    });
    for block in 0..50_000_u64 {
        let (mut builder, now) = (BlockBuilder::default(), block as i64 * 100);
        for n in 0..100 {
            // The tokens are the numbers of the records. The delays are pseudo-random, so that the block does not
            // compress to almost nothing.
            let token = block * 100 + n;
            let event = RecordedEvent::Other(Event::Timer { token });
            let after = (token.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 20) as i64;
            let actions = vec![cedarpulley::interface::Action::Timer { token, after }];
            builder.record(now + n as i64, &Record::Decided { event, actions });
        }
        messages
            .send(WriterMessage::Block(now, builder.close()))
            .expect("the writer is running");
    }
    drop(messages);
    writer.join().expect("the writer ends");
}

/// Checks the files of a killed writer; returns the numbers of records and files.
fn check_files(folder: &Path) -> (u64, usize) {
    let files = trace_files(folder).expect("a folder");
    let (mut next, last) = (0, files.len().saturating_sub(1));
    for (n, file) in files.iter().enumerate() {
        let input = BufReader::new(File::open(file).expect("a file"));
        let Ok(mut reader) = Reader::open(input) else {
            // The writer was killed before the header was complete.
            assert_eq!(n, last, "{}", file.display());
            break;
        };
        while let Some(found) = reader.next().expect("read") {
            let BlockRead::Block { records, .. } = found else {
                panic!("{}: {found:?}", file.display())
            };
            for (_, record) in records {
                let Record::Decided {
                    event: RecordedEvent::Other(Event::Timer { token }),
                    ..
                } = record
                else {
                    panic!("{record:?}")
                };
                assert_eq!(token, next, "{}", file.display());
                next += 1;
            }
        }
        assert!(
            n == last || reader.ended == Some(FileEnd::Complete),
            "{}",
            file.display()
        );
    }
    (next, files.len())
}

#[test]
fn a_writer_killed_at_any_moment_leaves_only_whole_blocks() {
    let test_binary = std::env::current_exe().expect("a path");
    let (mut runs_with_records, mut files) = (0, 0);
    for n in 0..100_u64 {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("killed-{n}"));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let mut child = Command::new(&test_binary)
            .args(["--exact", "child_process_writes_until_killed"])
            .env(FOLDER_VARIABLE, &folder)
            .stdout(Stdio::null())
            .spawn()
            .expect("started");
        // The delays, from a fixed formula, range from before the first byte to after many files.
        std::thread::sleep(Duration::from_micros(
            2_000 + n.wrapping_mul(0x9E37_79B9) % 60_000,
        ));
        child.kill().expect("killed");
        child.wait().expect("ended");
        let (records, file_count) = check_files(&folder);
        runs_with_records += usize::from(records > 0);
        files += file_count;
        std::fs::remove_dir_all(&folder).expect("removed");
    }
    // Also on a slow disk, enough runs must have written records for the test to be meaningful.
    assert!(
        runs_with_records > 10 && files > 20,
        "{runs_with_records} of a hundred runs wrote records, in {files} files"
    );
}

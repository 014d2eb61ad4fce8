//! A writer that is killed outright, a hundred times: what is left is read without damage, in order, without a hole.

mod small;

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

/// Set for the process that is going to be killed.
const FOLDER: &str = "CEDARPULLEY_TEST_TRACE_FOLDER";

/// Only with its folder set, as the process to be killed; it ends by itself, should nobody kill it.
#[test]
fn child_process_writes_until_killed() {
    let Some(folder) = std::env::var_os(FOLDER) else {
        return;
    };
    let row = FileSeries {
        folder: PathBuf::from(folder),
        name: "r".into(),
        started_at_ms: 1,
    };
    let bounds = RetentionLimits {
        file_bytes: 20_000,
        file_age: i64::MAX,
        budget_bytes: u64::MAX,
    };
    let (notes, received) = sync_channel(4);
    let writer = std::thread::spawn(move || {
        run_writer(row, small::start(), bounds, received, |why| panic!("{why}"))
    });
    for block in 0..50_000_u64 {
        let (mut g, now) = (BlockBuilder::default(), block as i64 * 100);
        for n in 0..100 {
            // Tokens in order, as the records' numbers; spread so that they do not pack to nothing.
            let token = block * 100 + n;
            let event = RecordedEvent::Other(Event::Timer { token });
            let after = (token.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 20) as i64;
            let actions = vec![cedarpulley::interface::Action::Timer { token, after }];
            g.record(now + n as i64, &Record::Decided { event, actions });
        }
        notes
            .send(WriterMessage::Block(now, g.close()))
            .expect("the writer stands");
    }
    drop(notes);
    writer.join().expect("it ends");
}

fn left(folder: &Path) -> (u64, usize) {
    let files = trace_files(folder).expect("a folder");
    let (mut next, last) = (0, files.len().saturating_sub(1));
    for (n, file) in files.iter().enumerate() {
        let input = BufReader::new(File::open(file).expect("a file"));
        let Ok(mut reader) = Reader::open(input) else {
            // Killed before its head was whole.
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
    let me = std::env::current_exe().expect("a path");
    let (mut some, mut files) = (0, 0);
    for n in 0..100_u64 {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("killed-{n}"));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let mut child = Command::new(&me)
            .args(["--exact", "child_process_writes_until_killed"])
            .env(FOLDER, &folder)
            .stdout(Stdio::null())
            .spawn()
            .expect("started");
        // From before its first byte to many files on, by a fixed seed.
        std::thread::sleep(Duration::from_micros(
            2_000 + n.wrapping_mul(0x9E37_79B9) % 60_000,
        ));
        child.kill().expect("killed");
        child.wait().expect("gone");
        let (records, of) = left(&folder);
        some += usize::from(records > 0);
        files += of;
        std::fs::remove_dir_all(&folder).expect("removed");
    }
    // On the slowest disk too: enough to have been worth the trying.
    assert!(
        some > 10 && files > 20,
        "{some} of a hundred had anything, in {files} files"
    );
}

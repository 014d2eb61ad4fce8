//! What a router keeps of its group's state over a restart: a file on redb, written behind. Of invocations it makes a
//! return cheap and proves nothing. Votes on choices rest on it: they wait until what they stand for is on disk.
//!
//! Mechanisms:
//! 1. Changes are gathered and written together, one writing at a time on a thread of their own, which says up to which
//!    serial all is on disk. On a disk that is slow or full a writing is tried until it succeeds; the folder grows old
//!    and votes on choices wait, and nothing else does.
//! 2. A file that is damaged, of another format, or of another member or group is told apart and set aside under another
//!    name; the router begins without, and the others have what it lacks.
//! 3. Times are kept by the wall's clock; what is over by it is left out, and an invocation that reaches beyond what is
//!    ever kept of these.

use std::cell::Cell;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::Duration;

use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
use cedarpulley_replica::{Key, Record, Shared};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use thiserror::Error;

use crate::fellows::Kept;

const FILE: &str = "group.redb";
/// Raised with every change of a record's bytes, which a test below holds; files of another one are set aside.
/// Symptom: it stayed at 1 when records got one more time with version 2 of the wire, and a file of the build before
/// was called damaged, or read by the earlier build as what it was not.
const FORMAT: u64 = 2;
const ABOUT: TableDefinition<&str, u64> = TableDefinition::new("about");
/// By key: until when it is kept, on the wall's clock, and the record.
const RECORDS: TableDefinition<&str, (i64, &[u8])> = TableDefinition::new("records");
/// Files set aside of one kind, before the last of them is written over.
const MOST_ASIDE: u32 = 8;

#[derive(Debug, Error)]
pub enum Failed {
    #[error("the group's folder {folder}: {source}")]
    Folder { folder: String, source: std::io::Error },
    #[error("the group's file {file} is open in another process")]
    InUse { file: String },
    #[error("the group's file {file} cannot be begun: {source}")]
    Unbegun { file: String, source: Box<redb::Error> },
}

impl Remedy for Failed {
    fn remedy(&self) -> &'static str {
        match self {
            Failed::Folder { .. } => "see that the folder named by peers.state can be made and written to",
            Failed::InUse { .. } => "give each router a folder of its own, or end the other process",
            Failed::Unbegun { .. } => "make room on the disk, or take peers.state out of the settings",
        }
    }
}

/// Why a file was set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Aside {
    Damaged,
    EarlierFormat,
    LaterFormat,
    /// Of another member, or of a group with other members.
    Foreign,
}

impl Aside {
    fn word(self) -> &'static str {
        match self {
            Aside::Damaged => "damaged",
            Aside::EarlierFormat => "earlier-format",
            Aside::LaterFormat => "later-format",
            Aside::Foreign => "foreign",
        }
    }
}

/// Records as they are now, or that they are gone.
type Changes = Vec<(Key, Option<Shared>)>;

/// One writing: this process's turn, and when it is by the wall's clock.
struct Writing {
    turn: u64,
    serial: u64,
    wall: Micros,
    records: Changes,
}

pub struct Folder {
    writings: SyncSender<Writing>,
    /// Serials of the last writing, and of the last on disk.
    sent: Cell<u64>,
    kept: Arc<AtomicU64>,
    written: smol::channel::Receiver<()>,
}

fn tables(database: &Database, mark: u64) -> Result<(), redb::Error> {
    let write = database.begin_write()?;
    write.open_table(RECORDS)?;
    {
        let mut about = write.open_table(ABOUT)?;
        about.insert("format", FORMAT)?;
        about.insert("group", mark)?;
    }
    write.commit()?;
    Ok(())
}

/// What the file holds, or why it is of no use here.
fn read(database: &Database, mark: u64, wall: Micros, kept: Micros) -> Result<Kept, Aside> {
    let damaged = |_: redb::Error| Aside::Damaged;
    let begun = database.begin_read().map_err(|e| damaged(e.into()))?;
    let about = begun.open_table(ABOUT).map_err(|e| damaged(e.into()))?;
    let figure = |name: &str| Ok(about.get(name).map_err(|e| damaged(e.into()))?.map(|v| v.value()));
    match figure("format")? {
        None => return Err(Aside::Damaged),
        Some(format) if format < FORMAT => return Err(Aside::EarlierFormat),
        Some(format) if format > FORMAT => return Err(Aside::LaterFormat),
        Some(_) => {}
    }
    if figure("group")? != Some(mark) {
        return Err(Aside::Foreign);
    }
    let turn = figure("turn")?.unwrap_or(0);
    let mut records = Vec::new();
    let table = begun.open_table(RECORDS).map_err(|e| damaged(e.into()))?;
    for row in table.iter().map_err(|e| damaged(e.into()))? {
        let (key, value) = row.map_err(|e| damaged(e.into()))?;
        let (until, bytes) = value.value();
        let mut shared: Shared = postcard::from_bytes(bytes).map_err(|_| Aside::Damaged)?;
        let left = until - wall;
        // Symptom: sessions and plans, kept for longer than any invocation, were left out at each start.
        let lasts = !matches!(shared.record, Record::Effect(_));
        if left > 0 && (left <= kept || lasts) {
            // Symptom: a token's first sending seemed as young as it was when this router ended, and its retry was sent
            // to workers that had forgotten it.
            let since = shared.left.saturating_sub(left).max(0);
            shared.left = left;
            shared.first_ago = shared.first_ago.map(|ago| ago.saturating_add(since));
            shared.proves_left = shared.proves_left.map(|left| left.saturating_sub(since));
            records.push((Key::from(key.value()), shared));
        }
    }
    Ok(Kept { turn, records })
}

fn aside(file: &Path, why: Aside) -> std::io::Result<PathBuf> {
    let name = |n| file.with_extension(format!("{}-{n}", why.word()));
    let to = (1..MOST_ASIDE).map(name).find(|p| !p.exists()).unwrap_or_else(|| name(MOST_ASIDE));
    std::fs::rename(file, &to)?;
    Ok(to)
}

impl Folder {
    /// Opens it, or begins one. `mark`: of this member and its group; `kept`: no invocation is kept for longer.
    pub fn open(
        folder: &Path,
        mark: u64,
        wall: Micros,
        kept: Micros,
    ) -> Result<(Folder, Option<Kept>), Failed> {
        let told = |source| Failed::Folder { folder: folder.display().to_string(), source };
        std::fs::create_dir_all(folder).map_err(told)?;
        let file = folder.join(FILE);
        let named = || file.display().to_string();
        let unbegun = |e: redb::Error| Failed::Unbegun { file: named(), source: Box::new(e) };
        let opened = match file.exists() {
            false => None,
            true => match Database::open(&file) {
                Ok(database) => match read(&database, mark, wall, kept) {
                    Ok(held) => Some((database, held)),
                    Err(why) => {
                        drop(database);
                        let to = aside(&file, why).map_err(told)?;
                        tracing::warn!(why = why.word(), to = %to.display(), "the group's file was set aside");
                        None
                    }
                },
                Err(redb::DatabaseError::DatabaseAlreadyOpen) => return Err(Failed::InUse { file: named() }),
                Err(e) => {
                    let to = aside(&file, Aside::Damaged).map_err(told)?;
                    tracing::warn!(cause = %e, to = %to.display(), "the group's file was set aside as damaged");
                    None
                }
            },
        };
        let (database, held) = match opened {
            Some((database, held)) => (database, Some(held)),
            None => {
                // Symptom: a kill in the middle leaves a file that is none.
                let beside = file.with_extension("new");
                let _ = std::fs::remove_file(&beside);
                let database = Database::create(&beside).map_err(|e| unbegun(e.into()))?;
                tables(&database, mark).map_err(unbegun)?;
                drop(database);
                std::fs::rename(&beside, &file).map_err(told)?;
                (Database::open(&file).map_err(|e| unbegun(e.into()))?, None)
            }
        };
        let (writings, waiting) = sync_channel(1);
        let (tells, written) = smol::channel::bounded(1);
        let kept = Arc::new(AtomicU64::new(0));
        let on_disk = kept.clone();
        let run = move || {
            write(&file, database, &waiting, |serial| {
                on_disk.store(serial, Ordering::Release);
                // One that is full says so already.
                let _ = tells.try_send(());
            })
        };
        std::thread::Builder::new().name("group".into()).spawn(run).map_err(told)?;
        Ok((Folder { writings, sent: Cell::new(0), kept, written }, held))
    }

    /// All up to this serial is on disk.
    pub fn kept(&self) -> u64 {
        self.kept.load(Ordering::Acquire)
    }

    /// Nothing is on its way to the disk.
    pub fn is_idle(&self) -> bool {
        self.kept() == self.sent.get()
    }

    /// Until one writing more is on disk, since this was last waited for; for ever if nothing is written any more.
    pub async fn has_written(&self) {
        if self.written.recv().await.is_err() {
            std::future::pending().await
        }
    }

    /// Writes what has changed, if it is idle. `serial`: of these changes, above that of all before.
    pub fn put(&self, turn: u64, serial: u64, wall: Micros, records: Changes) {
        if !records.is_empty() {
            // If its thread is gone, it never becomes idle again, and says of nothing more that it is kept.
            let _ = self.writings.try_send(Writing { turn, serial, wall, records });
            self.sent.set(serial);
        }
    }
}

/// After a failed writing, so long until the next.
const PAUSE: Duration = Duration::from_millis(500);

fn write(file: &Path, database: Database, waiting: &Receiver<Writing>, tells: impl Fn(u64)) {
    let mut open = Some(database);
    while let Ok(writing) = waiting.recv() {
        let mut failing = false;
        // Symptom: the disk was full for a moment, and nothing was written any more: after one failure redb refuses
        // everything until the file is opened again.
        let mut tried = || -> Result<(), redb::Error> {
            let database = open.take().map_or_else(|| Database::open(file), Ok)?;
            one(&database, &writing)?;
            open = Some(database);
            Ok(())
        };
        while let Err(e) = tried() {
            // The router goes on, its folder grows old, and it is tried again.
            if !std::mem::replace(&mut failing, true) {
                tracing::warn!(cause = %e, "the group's file cannot be written");
            }
            // Nothing comes while this one is on its way: it waits, or hears that the router ends.
            if let Err(RecvTimeoutError::Disconnected) = waiting.recv_timeout(PAUSE) {
                return;
            }
        }
        tells(writing.serial);
    }
}

fn one(database: &Database, writing: &Writing) -> Result<(), redb::Error> {
    let write = database.begin_write()?;
    {
        write.open_table(ABOUT)?.insert("turn", writing.turn)?;
        let mut records = write.open_table(RECORDS)?;
        for (key, shared) in &writing.records {
            match shared {
                None => {
                    records.remove(&**key)?;
                }
                Some(shared) => {
                    let Ok(bytes) = postcard::to_stdvec(shared) else { continue };
                    records.insert(&**key, (writing.wall.saturating_add(shared.left), bytes.as_slice()))?;
                }
            }
        }
    }
    write.commit()?;
    Ok(())
}

#[cfg(test)]
mod tests {
    use bytes::Bytes;
    use cedarpulley_replica::record::Choice;
    use cedarpulley_replica::{Answered, Effect, Sending, Sent};

    use super::*;

    const RECORD: [u8; 26] = [0, 0, 0, 0, 0, 1, 1, 1, 5, 6, 7, 2, 8, 1, 0, 1, 57, 0, 0, 0, 0, 2, 1, 4, 1, 6];

    /// Fails when a record's bytes change: raise [`FORMAT`], then write down the new ones.
    #[test]
    fn a_records_bytes_are_those_of_the_format() {
        let mut effect = Effect { taken: true, doubtful: true, ..Effect::default() };
        effect.sendings.insert((5, 6), Sending { member: 7, state: Sent::MayHaveRun, place: 8 });
        effect.answer = Some(Answered::Kept(Bytes::from_static(b"9")));
        let shared = Shared {
            record: Record::Effect(effect),
            origin: Default::default(),
            left: 1,
            first_ago: Some(2),
            proves_left: Some(3),
        };
        let bytes = postcard::to_stdvec(&shared).expect("encoded");
        assert_eq!((FORMAT, &bytes[..]), (2, &RECORD[..]));
    }

    #[test]
    fn a_file_of_another_format_is_set_aside_by_its_name() {
        for (format, name) in [(FORMAT - 1, "group.earlier-format-1"), (FORMAT + 1, "group.later-format-1")] {
            let folder = tempfile::tempdir().expect("a folder");
            let database = Database::create(folder.path().join(FILE)).expect("begun");
            tables(&database, 1).expect("written");
            let write = database.begin_write().expect("begun");
            write.open_table(ABOUT).expect("opened").insert("format", format).expect("written");
            write.commit().expect("written");
            drop(database);
            let (_, kept) = Folder::open(folder.path(), 1, 0, 1).expect("opened");
            assert!(kept.is_none() && folder.path().join(name).exists(), "{name}");
        }
    }

    #[test]
    fn what_was_kept_has_grown_older_by_the_time_that_nobody_ran() {
        const S: Micros = 1_000_000;
        let folder = tempfile::tempdir().expect("a folder");
        let record = Record::Effect(Effect { taken: true, ..Effect::default() });
        let shared = Shared {
            record,
            origin: Default::default(),
            left: 50 * S,
            first_ago: Some(S),
            proves_left: Some(30 * S),
        };
        // Choices are kept for longer than any invocation.
        let record = Record::Choice(Choice::default());
        let choice = Shared { record, left: 600 * S, first_ago: None, proves_left: None, ..shared.clone() };
        let (kept, _) = Folder::open(folder.path(), 1, 0, 60 * S).expect("opened");
        kept.put(1, 1, 1_000 * S, vec![(Key::from("t"), Some(shared)), (Key::from("c"), Some(choice))]);
        smol::block_on(kept.has_written());
        assert!(kept.is_idle() && kept.kept() == 1);
        // The thread that writes holds the file until all is written.
        drop(kept);
        let held = loop {
            match Folder::open(folder.path(), 1, 1_020 * S, 60 * S) {
                Err(Failed::InUse { .. }) => std::thread::yield_now(),
                opened => break opened.expect("opened").1.expect("it was kept"),
            }
        };
        let [(_, choice), (_, at)] = &held.records[..] else { panic!("both records") };
        assert_eq!(choice.left, 600 * S - 20 * S);
        assert_eq!((at.left, at.first_ago, at.proves_left), (30 * S, Some(21 * S), Some(10 * S)));
    }
}

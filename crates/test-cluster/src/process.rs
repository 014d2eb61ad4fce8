//! One router as a process: started from a settings file, its log kept in a file, killed, paused, restarted with its
//! state kept, removed or older, with a full disk. Dropped, it is killed by its pid: no process outlives the rig.
//!
//! Mechanisms:
//! 1. It is started through a shell that ignores SIGXFSZ, which `exec` keeps: a write beyond the file size limit
//!    then fails as on a full disk instead of ending the process. The limit can be set and lifted while it runs.
//! 2. Its log goes through a pipe and a thread of the rig, so that a full disk is that of its state alone.

use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};

const SHELL: &str = r#"trap "" XFSZ; exec "$0" "$@""#;
const LOOK: Duration = Duration::from_millis(10);
/// A process is stopped by its signal within this time, or something is wrong with the machine.
const STOPPED_WITHIN: Duration = Duration::from_secs(20);

/// What a router finds of its own at its start.
#[derive(Clone, Copy, Debug)]
pub enum State<'a> {
    Kept,
    Removed,
    /// An older copy, made by [`Process::copy_state`].
    Older(&'a Path),
}

pub struct Process {
    program: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    /// Its state folder; there need be none.
    pub state: PathBuf,
    child: Option<Child>,
    paused: bool,
}

impl Process {
    /// Not running yet. `args` come after `serve`.
    pub fn new(program: &Path, settings: &Path, state: &Path, args: &[String]) -> Process {
        let mut all = vec!["serve".to_owned(), settings.display().to_string()];
        all.extend_from_slice(args);
        let log = settings.with_extension("log");
        Process {
            program: program.into(),
            args: all,
            log,
            state: state.into(),
            child: None,
            paused: false,
        }
    }

    pub fn is_up(&self) -> bool {
        self.child.is_some()
    }

    pub fn pid(&self) -> Option<Pid> {
        Pid::from_raw(self.child.as_ref()?.id() as i32)
    }

    /// If it is not running.
    pub fn start(&mut self, state: State) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        if !matches!(state, State::Kept) && self.state.exists() {
            std::fs::remove_dir_all(&self.state)?;
        }
        if let State::Older(copy) = state {
            copy_folder(copy, &self.state)?;
        }
        let mut log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", SHELL])
            .arg(&self.program)
            .args(&self.args);
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let said = child.stderr.take();
        self.child = Some(child);
        self.paused = false;
        if let Some(mut said) = said {
            // Ends with the process.
            std::thread::Builder::new()
                .name("router-log".into())
                .spawn(move || io::copy(&mut said, &mut log))?;
        }
        Ok(())
    }

    /// What its state folder holds now, for [`State::Older`].
    pub fn copy_state(&self, to: &Path) -> io::Result<()> {
        if to.exists() {
            std::fs::remove_dir_all(to)?;
        }
        copy_folder(&self.state, to)
    }

    /// Outright; gone for good when this returns.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Told to end in good order.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Told to read its orders again.
    pub fn hang_up(&self) -> io::Result<()> {
        self.signal(Signal::HUP)
    }

    /// Stands still when this returns.
    pub fn pause(&mut self) -> io::Result<()> {
        self.signal(Signal::STOP)?;
        self.paused = true;
        let until = Instant::now() + STOPPED_WITHIN;
        while !self.stands_still() {
            if Instant::now() > until {
                return Err(io::ErrorKind::TimedOut.into());
            }
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    pub fn go_on(&mut self) -> io::Result<()> {
        self.paused = false;
        self.signal(Signal::CONT)
    }

    pub fn is_paused(&self) -> bool {
        self.paused
    }

    fn stands_still(&self) -> bool {
        let Some(child) = &self.child else {
            return true;
        };
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
        stat.rsplit_once(") ")
            .is_some_and(|(_, rest)| rest.starts_with('T'))
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        match self.pid() {
            Some(pid) => Ok(kill_process(pid, signal)?),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }

    /// None while it runs, and if it never did.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// Until it has ended by itself.
    pub fn wait(&mut self, within: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + within;
        loop {
            match self.ended() {
                None if Instant::now() < until => std::thread::sleep(LOOK),
                ended => return ended,
            }
        }
    }

    /// No file of its own grows beyond so many bytes: its disk is full. None: there is room again.
    pub fn limit_files(&self, bytes: Option<u64>) -> io::Result<()> {
        let pid = self.pid().ok_or(io::ErrorKind::NotFound)?;
        let maximum = rustix::process::getrlimit(Resource::Fsize).maximum;
        prlimit(
            Some(pid),
            Resource::Fsize,
            Rlimit {
                current: bytes.or(maximum),
                maximum,
            },
        )?;
        Ok(())
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// One that is not there is copied as an empty one.
fn copy_folder(from: &Path, to: &Path) -> io::Result<()> {
    std::fs::create_dir_all(to)?;
    if !from.exists() {
        return Ok(());
    }
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        let there = to.join(entry.file_name());
        match entry.file_type()?.is_dir() {
            true => copy_folder(&entry.path(), &there)?,
            false => std::fs::copy(entry.path(), there).map(|_| ())?,
        }
    }
    Ok(())
}

//! One router as a process: started from a settings file, its log kept in a file, killed, paused, restarted with its
//! state kept, removed or older, with a full disk. Dropped, it is killed by its pid: no process outlives the cluster.
//!
//! Mechanisms:
//! 1. It is started through a shell that ignores SIGXFSZ, which `exec` keeps: a write beyond the file size limit
//!    then fails as on a full disk instead of ending the process. The limit can be set and lifted while it runs.
//! 2. Its log goes through a pipe and a thread of this process, so that only its state's disk is full.

use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};

const SHELL: &str = r#"trap "" XFSZ; exec "$0" "$@""#;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// A process is stopped by its signal within this time, or something is wrong with the machine.
const PAUSE_TIMEOUT: Duration = Duration::from_secs(20);

/// The persisted state that a router finds at its start.
#[derive(Clone, Copy, Debug)]
pub enum StateAtStart<'a> {
    /// As it left it.
    Kept,
    /// None.
    Removed,
    /// An older copy, made by [`RouterProcess::copy_state`].
    Older(&'a Path),
}

/// A router's process, running or not.
pub struct RouterProcess {
    program: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    /// Its state folder, which need not exist.
    pub state: PathBuf,
    child: Option<Child>,
    paused: bool,
}

impl RouterProcess {
    /// Not running yet. `args` come after `serve`.
    pub fn new(program: &Path, settings: &Path, state: &Path, args: &[String]) -> RouterProcess {
        let mut all = vec!["serve".to_owned(), settings.display().to_string()];
        all.extend_from_slice(args);
        let log = settings.with_extension("log");
        RouterProcess {
            program: program.into(),
            args: all,
            log,
            state: state.into(),
            child: None,
            paused: false,
        }
    }

    /// Whether it has been started and not been seen to end.
    pub fn is_up(&self) -> bool {
        self.child.is_some()
    }

    /// Its process id while it runs.
    pub fn pid(&self) -> Option<Pid> {
        Pid::from_raw(self.child.as_ref()?.id() as i32)
    }

    /// Starts it unless it is running.
    ///
    /// # Errors
    /// When its state cannot be replaced or the program cannot be started.
    pub fn start(&mut self, state: StateAtStart) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        if !matches!(state, StateAtStart::Kept) && self.state.exists() {
            std::fs::remove_dir_all(&self.state)?;
        }
        if let StateAtStart::Older(copy) = state {
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
        let log_pipe = child.stderr.take();
        self.child = Some(child);
        self.paused = false;
        if let Some(mut log_pipe) = log_pipe {
            // Ends with the process.
            std::thread::Builder::new()
                .name("router-log".into())
                .spawn(move || io::copy(&mut log_pipe, &mut log))?;
        }
        Ok(())
    }

    /// Copies its state folder as it is now, for [`StateAtStart::Older`].
    ///
    /// # Errors
    /// When a file cannot be read or written.
    pub fn copy_state(&self, to: &Path) -> io::Result<()> {
        if to.exists() {
            std::fs::remove_dir_all(to)?;
        }
        copy_folder(&self.state, to)
    }

    /// Kills it; it has ended when this returns.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks it to shut down gracefully.
    ///
    /// # Errors
    /// When it does not run.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Asks it to read its orders again.
    ///
    /// # Errors
    /// When it does not run.
    pub fn hang_up(&self) -> io::Result<()> {
        self.signal(Signal::HUP)
    }

    /// Stops it; it stands still when this returns.
    ///
    /// # Errors
    /// When it does not run, or does not stop in time.
    pub fn pause(&mut self) -> io::Result<()> {
        self.signal(Signal::STOP)?;
        self.paused = true;
        let deadline = Instant::now() + PAUSE_TIMEOUT;
        while !self.is_stopped() {
            if Instant::now() > deadline {
                return Err(io::ErrorKind::TimedOut.into());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Continues it after a pause.
    ///
    /// # Errors
    /// When it does not run.
    pub fn resume(&mut self) -> io::Result<()> {
        self.paused = false;
        self.signal(Signal::CONT)
    }

    /// Whether it was paused and not resumed.
    pub fn is_paused(&self) -> bool {
        self.paused
    }

    fn is_stopped(&self) -> bool {
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

    /// How it ended; none while it runs, and if it never did.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// Waits until it ends by itself; none if it does not within this time.
    pub fn wait(&mut self, within: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + within;
        loop {
            match self.ended() {
                None if Instant::now() < deadline => std::thread::sleep(POLL_INTERVAL),
                ended => return ended,
            }
        }
    }

    /// Lets none of its files grow beyond this many bytes, as on a full disk; none lifts the limit.
    ///
    /// # Errors
    /// When it does not run, or the limit cannot be set.
    pub fn limit_file_size(&self, bytes: Option<u64>) -> io::Result<()> {
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

    /// What it has logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A folder that does not exist is copied as an empty one.
fn copy_folder(from: &Path, to: &Path) -> io::Result<()> {
    std::fs::create_dir_all(to)?;
    if !from.exists() {
        return Ok(());
    }
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        let target = to.join(entry.file_name());
        if entry.file_type()?.is_dir() {
            copy_folder(&entry.path(), &target)?;
        } else {
            std::fs::copy(entry.path(), target)?;
        }
    }
    Ok(())
}

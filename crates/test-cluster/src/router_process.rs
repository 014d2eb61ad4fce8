//! The process of one router. It is started from a settings file, and its log is written to a file. It can be killed,
//! paused, restarted with its state kept, removed or replaced by an older copy, and run with a simulated full disk.
//! Dropping it kills the process by its pid, so that no process outlives the cluster.
//!
//! Mechanisms:
//! 1. The process is started through a shell that ignores SIGXFSZ, and `exec` keeps that. A write beyond the file size
//!    limit then fails, as on a full disk, instead of ending the process. The limit can be set and lifted at run time.
//! 2. The log is copied by a pipe and a thread of this process, so that the file size limit affects only the state of
//!    the router.

use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};

/// Shell command that ignores SIGXFSZ and then replaces itself with the program and its arguments.
const SHELL_COMMAND: &str = r#"trap "" XFSZ; exec "$0" "$@""#;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time within which SIGSTOP has to stop a process; a longer time indicates a problem of the machine.
const PAUSE_TIMEOUT: Duration = Duration::from_secs(20);

/// The persisted state that a router finds at its start.
#[derive(Clone, Copy, Debug)]
pub enum StateAtStart<'a> {
    /// The state that the router left.
    Kept,
    /// No state.
    Removed,
    /// An older copy, made by [`RouterProcess::copy_state`].
    Older(&'a Path),
}

/// The process of a router, running or not.
pub struct RouterProcess {
    program: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    /// The state folder of the router, which does not have to exist.
    pub state: PathBuf,
    child: Option<Child>,
    paused: bool,
}

impl RouterProcess {
    /// Creates a router that is not running yet. `args` are passed after `serve` and the settings file.
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

    /// Whether the process has been started and its end has not been observed.
    pub fn is_up(&self) -> bool {
        self.child.is_some()
    }

    /// Id of the process; absent while it is not running.
    pub fn pid(&self) -> Option<Pid> {
        Pid::from_raw(self.child.as_ref()?.id() as i32)
    }

    /// Starts the process if it is not running.
    ///
    /// # Errors
    /// Fails if the state cannot be replaced or the program cannot be started.
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
            .args(["-c", SHELL_COMMAND])
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
            // The thread ends when the process closes the pipe.
            std::thread::Builder::new()
                .name("router-log".into())
                .spawn(move || io::copy(&mut log_pipe, &mut log))?;
        }
        Ok(())
    }

    /// Copies the current state folder, for [`StateAtStart::Older`].
    ///
    /// # Errors
    /// Fails if a file cannot be read or written.
    pub fn copy_state(&self, to: &Path) -> io::Result<()> {
        if to.exists() {
            std::fs::remove_dir_all(to)?;
        }
        copy_folder(&self.state, to)
    }

    /// Kills the process; it has ended when this returns.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Requests a graceful shutdown with SIGTERM.
    ///
    /// # Errors
    /// Fails if the process is not running.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Requests with SIGHUP that the router reads the upgrade orders again.
    ///
    /// # Errors
    /// Fails if the process is not running.
    pub fn request_reload(&self) -> io::Result<()> {
        self.signal(Signal::HUP)
    }

    /// Pauses the process with SIGSTOP; it is stopped when this returns.
    ///
    /// # Errors
    /// Fails if the process is not running or does not stop in time.
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

    /// Resumes the process after a pause with SIGCONT.
    ///
    /// # Errors
    /// Fails if the process is not running.
    pub fn resume(&mut self) -> io::Result<()> {
        self.paused = false;
        self.signal(Signal::CONT)
    }

    /// Whether the process was paused and not resumed.
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

    /// Returns the exit status when the process has ended; absent while it is running, was never started, or its end
    /// was observed before.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// Waits until the process ends; returns nothing if it does not end within this time.
    pub fn wait(&mut self, within: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + within;
        loop {
            match self.ended() {
                None if Instant::now() < deadline => std::thread::sleep(POLL_INTERVAL),
                ended => return ended,
            }
        }
    }

    /// Limits the size in bytes of the files that the process writes, which simulates a full disk; `None` lifts the
    /// limit.
    ///
    /// # Errors
    /// Fails if the process is not running, or the limit cannot be set.
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

    /// The log of the router so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Copies a folder recursively. A folder that does not exist is copied as an empty folder.
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

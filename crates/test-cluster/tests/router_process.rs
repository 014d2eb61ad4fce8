//! Tests of pausing, killing and restarting the process of a router. A small script takes the place of the router.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cedarpulley_test_cluster::router_process::{RouterProcess, StateAtStart};
use cedarpulley_test_cluster::until;

/// Timeout of waits; only a failing test waits this long.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Appends lines to a file in its state folder until it receives SIGTERM. It logs `full` when a write fails.
const SCRIPT: &str = r#"#!/bin/sh
trap 'exit 3' TERM
mkdir -p "${2%.toml}-state"
while :; do echo line >> "${2%.toml}-state/lines" || echo full >&2; sleep 0.02; done
"#;

struct Setup {
    folder: tempfile::TempDir,
    process: RouterProcess,
}

fn setup() -> Setup {
    let folder = tempfile::tempdir().expect("a folder");
    let program = folder.path().join("program");
    std::fs::write(&program, SCRIPT).expect("written");
    std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o755)).expect("set");
    let (settings, state) = (folder.path().join("r.toml"), folder.path().join("r-state"));
    let process = RouterProcess::new(&program, &settings, &state, &[]);
    Setup { folder, process }
}

/// Size of the file that the script writes, in bytes.
fn size(state: &Path) -> u64 {
    std::fs::metadata(state.join("lines")).map_or(0, |m| m.len())
}

impl Setup {
    /// Whether the script writes to its state folder.
    fn grows(&self) -> bool {
        let before = size(&self.process.state);
        until(TEST_TIMEOUT, || size(&self.process.state) > before)
    }

    /// Folder for a copy of the state.
    fn older_copy(&self) -> PathBuf {
        self.folder.path().join("older")
    }
}

#[test]
fn a_router_is_paused_resumed_killed_and_shut_down() {
    let mut setup = setup();
    setup.process.start(StateAtStart::Kept).expect("started");
    assert!(setup.grows());
    setup.process.pause().expect("paused");
    let (size_when_paused, pid) = (
        size(&setup.process.state),
        setup.process.pid().expect("the process is running"),
    );
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(size(&setup.process.state), size_when_paused);
    setup.process.resume().expect("resumed");
    assert!(setup.grows());
    setup.process.kill();
    assert!(
        !setup.process.is_up() && !Path::new(&format!("/proc/{}", pid.as_raw_nonzero())).exists()
    );
    setup.process.start(StateAtStart::Kept).expect("started");
    assert!(setup.grows());
    setup.process.terminate().expect("signalled");
    let status = setup.process.wait(TEST_TIMEOUT).expect("the process ends");
    assert_eq!(status.code(), Some(3), "the process handled SIGTERM itself");
    // A paused process is killed when its handle is dropped.
    setup.process.start(StateAtStart::Kept).expect("started");
    assert!(setup.grows());
    setup.process.pause().expect("paused");
    let pid = setup
        .process
        .pid()
        .expect("the process is running")
        .as_raw_nonzero();
    drop(setup);
    assert!(!Path::new(&format!("/proc/{pid}")).exists());
}

#[test]
fn a_router_starts_with_its_state_kept_removed_or_older() {
    let mut setup = setup();
    setup.process.start(StateAtStart::Kept).expect("started");
    assert!(setup.grows());
    setup
        .process
        .copy_state(&setup.older_copy())
        .expect("copied");
    let older = size(&setup.older_copy());
    assert!(older > 0 && until(TEST_TIMEOUT, || size(&setup.process.state) > older));
    setup.process.kill();
    let last = size(&setup.process.state);
    std::fs::write(setup.process.state.join("newer"), "x").expect("written");
    for (state, least, most) in [
        (StateAtStart::Kept, last, u64::MAX),
        (StateAtStart::Older(&setup.older_copy()), older, last),
        (StateAtStart::Removed, 0, older),
    ] {
        // A program that exits without writing, so that the state cannot change before it is checked.
        let mut process = RouterProcess::new(
            Path::new("/bin/true"),
            &setup.folder.path().join("t.toml"),
            &setup.process.state,
            &[],
        );
        process.start(state).expect("started");
        process.wait(TEST_TIMEOUT);
        let size = size(&setup.process.state);
        assert!(size >= least && size < most, "{state:?}: {size}");
        assert_eq!(
            setup.process.state.join("newer").exists(),
            matches!(state, StateAtStart::Kept)
        );
    }
}

#[test]
fn a_full_disk_stops_writes_to_the_state_but_not_to_the_log() {
    let mut setup = setup();
    setup.process.start(StateAtStart::Kept).expect("started");
    assert!(setup.grows());
    setup.process.limit_file_size(Some(1)).expect("set");
    assert!(
        until(TEST_TIMEOUT, || setup.process.log().contains("full")),
        "the log contains the failed write"
    );
    let full = size(&setup.process.state);
    assert!(setup.process.is_up() && setup.process.ended().is_none());
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(size(&setup.process.state), full);
    setup.process.limit_file_size(None).expect("lifted");
    assert!(setup.grows());
}

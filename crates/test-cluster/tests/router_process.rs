//! A router's process is paused, killed and restarted, with a small script in the router's place.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cedarpulley_test_cluster::router_process::{RouterProcess, StateAtStart};
use cedarpulley_test_cluster::until;

const PATIENCE: Duration = Duration::from_secs(20);

/// Writes lines into its state until it is told to end.
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

fn size(state: &Path) -> u64 {
    std::fs::metadata(state.join("lines")).map_or(0, |m| m.len())
}

impl Setup {
    fn grows(&self) -> bool {
        let before = size(&self.process.state);
        until(PATIENCE, || size(&self.process.state) > before)
    }

    fn older(&self) -> PathBuf {
        self.folder.path().join("older")
    }
}

#[test]
fn a_router_is_paused_resumed_killed_and_shut_down() {
    let mut s = setup();
    s.process.start(StateAtStart::Kept).expect("started");
    assert!(s.grows());
    s.process.pause().expect("paused");
    let (still, pid) = (size(&s.process.state), s.process.pid().expect("it runs"));
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(size(&s.process.state), still);
    s.process.resume().expect("goes on");
    assert!(s.grows());
    s.process.kill();
    assert!(!s.process.is_up() && !Path::new(&format!("/proc/{}", pid.as_raw_nonzero())).exists());
    s.process.start(StateAtStart::Kept).expect("started");
    assert!(s.grows());
    s.process.terminate().expect("told");
    let status = s.process.wait(PATIENCE).expect("it ends");
    assert_eq!(status.code(), Some(3), "by itself");
    // A paused one is killed with the cluster.
    s.process.start(StateAtStart::Kept).expect("started");
    assert!(s.grows());
    s.process.pause().expect("paused");
    let pid = s.process.pid().expect("it runs").as_raw_nonzero();
    drop(s);
    assert!(!Path::new(&format!("/proc/{pid}")).exists());
}

#[test]
fn a_router_starts_with_its_state_kept_removed_or_older() {
    let mut s = setup();
    s.process.start(StateAtStart::Kept).expect("started");
    assert!(s.grows());
    s.process.copy_state(&s.older()).expect("copied");
    let older = size(&s.older());
    assert!(older > 0 && until(PATIENCE, || size(&s.process.state) > older));
    s.process.kill();
    let last = size(&s.process.state);
    std::fs::write(s.process.state.join("newer"), "x").expect("written");
    for (state, least, most) in [
        (StateAtStart::Kept, last, u64::MAX),
        (StateAtStart::Older(&s.older()), older, last),
        (StateAtStart::Removed, 0, older),
    ] {
        // Without a program that could write before it is looked at.
        let mut process = RouterProcess::new(
            Path::new("/bin/true"),
            &s.folder.path().join("t.toml"),
            &s.process.state,
            &[],
        );
        process.start(state).expect("started");
        process.wait(PATIENCE);
        let size = size(&s.process.state);
        assert!(size >= least && size < most, "{state:?}: {size}");
        assert_eq!(
            s.process.state.join("newer").exists(),
            matches!(state, StateAtStart::Kept)
        );
    }
}

#[test]
fn a_full_disk_stops_writes_to_the_state_but_not_to_the_log() {
    let mut s = setup();
    s.process.start(StateAtStart::Kept).expect("started");
    assert!(s.grows());
    s.process.limit_file_size(Some(1)).expect("set");
    assert!(
        until(PATIENCE, || s.process.log().contains("full")),
        "it is told"
    );
    let full = size(&s.process.state);
    assert!(s.process.is_up() && s.process.ended().is_none());
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(size(&s.process.state), full);
    s.process.limit_file_size(None).expect("lifted");
    assert!(s.grows());
}

//! Guards the test support: it must start what it says, notice what ends, and leave nothing behind.
//! The programs are symbolic links to the example `probe`.

use std::os::unix::fs::symlink;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use googletest::prelude::*;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use tempfile::TempDir;
use zinniahinge_fleet::FleetBuilder;
use zinniahinge_fleet::FleetError;
use zinniahinge_fleet::ProgramKind;
use zinniahinge_fleet::default_program_dir;

const LIMIT: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(700);

const KINDS: [ProgramKind; 6] = [
    ProgramKind::Kv,
    ProgramKind::HostList,
    ProgramKind::Engine,
    ProgramKind::Service,
    ProgramKind::Control,
    ProgramKind::Entry,
];

fn programs() -> TempDir {
    let dir = TempDir::new().expect("folder");
    let probe: PathBuf = default_program_dir()
        .expect("folder")
        .join("examples/probe");
    for kind in KINDS {
        symlink(&probe, dir.path().join(kind.program())).expect("link");
    }
    dir
}

fn builder(dir: &Path) -> FleetBuilder {
    FleetBuilder::new().with_program_dir(dir)
}

/// True if the process exists, also as a zombie.
fn exists(id: u32) -> bool {
    kill(Pid::from_raw(id as i32), None).is_ok()
}

/// Guards against missing processes, shared ports, wrong flags, and processes left after a drop.
#[tokio::test]
async fn a_fleet_starts_with_all_flags_and_leaves_nothing_behind() {
    let dir = programs();
    let fleet = builder(dir.path())
        .with_hosts(3)
        .with_engines(2)
        .with_services(1)
        .with_places("r", &["p", "q"])
        .with_arguments(ProgramKind::Engine, &["--slots", "4"]);
    let mut fleet = fleet.start().expect("started");
    fleet.wait_ready(LIMIT).await.expect("ready");
    let counts = KINDS.map(|kind| fleet.processes(kind).count());
    assert_that!(counts, eq([1, 1, 2, 1, 3, 3]));
    let kv = fleet.process("kv").expect("known").spec().address;
    let control = fleet.process("control-2").expect("known");
    let (control_address, log) = (control.spec().address, control.log());
    let flags = "--host host-2 --place q --region r --peer-keys";
    assert_that!(log, contains_substring(flags));
    assert_that!(log, contains_substring(format!("--kv http://{kv}")));
    let log = fleet.process("entry-2").expect("known").log();
    assert_that!(
        log,
        contains_substring(format!("--control {control_address}"))
    );
    let log = fleet.process("engine-2").expect("known").log();
    assert_that!(log, contains_substring("--slots 4"));
    let unknown = fleet.process("entry-9").map(|process| process.id());
    assert_that!(unknown, err(pat!(FleetError::UnknownName { .. })));
    fleet
        .process("entry-1")
        .expect("known")
        .pause()
        .expect("paused");
    let running = KINDS.map(|kind| fleet.processes(kind).map(|process| process.id()).collect());
    let running: Vec<u32> = running.into_iter().flat_map(|ids: Vec<u32>| ids).collect();
    let folder = fleet.folder().to_owned();
    assert_that!(running, each(predicate(|id: &u32| exists(*id))));
    drop(fleet);
    assert_that!(running, each(not(predicate(|id: &u32| exists(*id)))));
    assert_that!(folder.exists(), eq(false));
}

/// Guards against signals that do not act, and against a paused process taken for a ready one.
#[tokio::test]
async fn processes_are_paused_resumed_stopped_and_restarted() {
    let dir = programs();
    let mut fleet = builder(dir.path()).start().expect("started");
    fleet.wait_ready(LIMIT).await.expect("ready");
    let control = fleet.process("control-1").expect("known");
    control.pause().expect("paused");
    assert_that!(
        control.wait_ready(SHORT).await,
        err(pat!(FleetError::Late { .. }))
    );
    assert_that!(
        control.wait_exit(SHORT).await,
        err(pat!(FleetError::Late { .. }))
    );
    control.resume().expect("resumed");
    control.wait_ready(LIMIT).await.expect("ready");
    control.terminate().expect("sent");
    let status = control.wait_exit(LIMIT).await.expect("ended");
    assert_that!(status.success(), eq(false));
    assert_that!(control.terminate(), err(pat!(FleetError::Ended { .. })));
    control.restart().expect("started");
    control.wait_ready(LIMIT).await.expect("ready");
    assert_that!(control.log().matches("started with").count(), eq(2));
    control.kill().expect("killed");
    control.kill().expect("killed twice");
    let status = control.exit_status().expect("known");
    assert_that!(status, some(anything()));
}

struct StartCase {
    guards: &'static str,
    flag: &'static str,
    error: &'static str,
}

/// Guards against a wait that hides why a process is not ready.
#[tokio::test]
async fn a_process_that_does_not_become_ready_is_named_with_its_log() {
    let dir = programs();
    let cases = [
        StartCase {
            guards: "an ended process waited for until the limit",
            flag: "--fail",
            error: "control-1 has ended",
        },
        StartCase {
            guards: "an open port taken for readiness",
            flag: "--not-ready",
            error: "control-1 is not ready",
        },
    ];
    for case in cases {
        let fleet = builder(dir.path()).with_arguments(ProgramKind::Control, &[case.flag]);
        let mut fleet = fleet.start().expect("started");
        let error = fleet
            .wait_ready(SHORT)
            .await
            .expect_err(case.guards)
            .to_string();
        assert_that!(
            error,
            contains_substring(case.error),
            "guards against: {}",
            case.guards
        );
        assert_that!(error, contains_substring("started with"), "{}", case.guards);
    }
    let missing = builder(&dir.path().join("none")).start();
    assert_that!(missing.map(drop), err(pat!(FleetError::Start { .. })));
}

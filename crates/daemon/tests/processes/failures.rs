//! Failures of daemons, the store, workers and minions, injected under load.

use crate::cell::{Cell, SHARDS_COUNT};
use ospreywing_standin::faults::{MinionFaults, PlatformFaults, WorkerFaults};
use rustix::process::Signal;
use std::time::Duration;

const DAEMONS_COUNT: usize = 3;

fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

#[test]
fn daemon_killed_and_replaced() {
    let mut cell = Cell::new(DAEMONS_COUNT);
    let drive = cell.drive("kill");
    pause(2000);
    cell.daemons[1].kill();
    cell.wait_for("its shards are owned again", |cell| {
        let reports = [0, 2].map(|daemon| cell.report(daemon));
        let owned = reports.iter().flatten().map(|report| report.shards.len());
        owned.sum::<usize>() == SHARDS_COUNT
    });
    let replacement = cell.start_daemon(1, false);
    // The load generator continues to call the old address, which refuses connections.
    let old = std::mem::replace(&mut cell.daemons[1], replacement);
    let report = cell.wait_for_drive(drive);
    drop(old);
    cell.assert_clean(&report);
}

#[test]
fn daemon_suspended_past_takeover_and_resumed() {
    let cell = Cell::new(DAEMONS_COUNT);
    let drive = cell.drive("freeze");
    pause(2000);
    cell.daemons[0].signal(Signal::STOP);
    cell.wait_for("its shards are owned by others", |cell| {
        let reports = [1, 2].map(|daemon| cell.report(daemon));
        let owned = reports.iter().flatten().map(|report| report.shards.len());
        owned.sum::<usize>() == SHARDS_COUNT
    });
    pause(1000);
    cell.daemons[0].signal(Signal::CONT);
    let report = cell.wait_for_drive(drive);
    cell.assert_clean(&report);
    cell.wait_until_ready(DAEMONS_COUNT);
}

#[test]
fn planned_stop_finishes_open_requests() {
    let mut cell = Cell::new(DAEMONS_COUNT);
    let drive = cell.drive("stop");
    pause(2000);
    cell.daemons[2].signal(Signal::TERM);
    assert!(
        cell.daemons[2].wait_for_success(),
        "it leaves with exit code 0"
    );
    let report = cell.wait_for_drive(drive);
    cell.assert_clean(&report);
    assert_eq!(report.requests_unknown, 0, "requests cut off");
}

#[test]
fn store_down_then_dropping_answers() {
    let cell = Cell::new(DAEMONS_COUNT);
    let drive = cell.drive("store");
    pause(2000);
    let mut faults = PlatformFaults {
        is_down: true,
        ..PlatformFaults::default()
    };
    cell.set_faults(&cell.platform_addr, &faults);
    cell.wait_for("the daemons go on without the store", |cell| {
        let reports = (0..DAEMONS_COUNT).filter_map(|daemon| cell.report(daemon));
        let going_on = reports.filter(|r| r.is_ready && r.freshness == "store_down");
        going_on.count() == DAEMONS_COUNT
    });
    faults.is_down = false;
    faults.lose_answers_permille = 200;
    faults.slow_ms = 30;
    cell.set_faults(&cell.platform_addr, &faults);
    pause(4000);
    cell.set_faults(&cell.platform_addr, &PlatformFaults::default());
    let report = cell.wait_for_drive(drive);
    cell.assert_clean(&report);
    cell.wait_until_ready(DAEMONS_COUNT);
}

#[test]
fn store_down_for_one_daemon_only() {
    let cell = Cell::new(DAEMONS_COUNT);
    let drive = cell.drive("apart");
    pause(1000);
    let port = cell.other_platform_addr.rsplit(':').next();
    let port = port.and_then(|port| port.parse().ok()).expect("a port");
    let faults = PlatformFaults {
        down_ports: vec![port],
        ..PlatformFaults::default()
    };
    cell.set_faults(&cell.platform_addr, &faults);
    cell.wait_for("it knows the table by its peers", |cell| {
        let report = cell.report(DAEMONS_COUNT - 1);
        report.is_some_and(|report| report.freshness == "peer" && report.is_ready)
    });
    pause(2000);
    cell.set_faults(&cell.platform_addr, &PlatformFaults::default());
    let report = cell.wait_for_drive(drive);
    cell.assert_clean(&report);
    cell.wait_until_ready(DAEMONS_COUNT);
}

#[test]
fn workers_restarted_and_partitioned() {
    let cell = Cell::new(DAEMONS_COUNT);
    let drive = cell.drive("workers");
    pause(3000);
    let faults = WorkerFaults {
        restart: vec!["w001".to_owned(), "w005".to_owned()],
        cut_off: vec!["w002".to_owned()],
    };
    cell.set_worker_faults(&faults);
    pause(4000);
    cell.set_worker_faults(&WorkerFaults::default());
    let report = cell.wait_for_drive(drive);
    cell.assert_clean(&report);
}

#[test]
fn minions_slow_and_dropping_answers() {
    let cell = Cell::new(DAEMONS_COUNT);
    let drive = cell.drive("minions");
    pause(2000);
    let faults = MinionFaults {
        slow_ms: 200,
        lose_answers_permille: 50,
    };
    cell.set_minion_faults(&faults);
    pause(4000);
    cell.set_minion_faults(&MinionFaults::default());
    let report = cell.wait_for_drive(drive);
    let judged = cell.judge();
    assert_eq!(judged.unsafe_run_twice, 0);
    assert_eq!(judged.overcommits, 0);
    assert!(report.requests_done > 0);
}

//! Tests of the clocks of a process.

#[cfg(feature = "simulation")]
use ospreywing_types::Duration;

#[cfg(feature = "simulation")]
#[test]
fn now_after_suspend() {
    let before = ospreywing_clock::now();
    let wall_before_ms = ospreywing_clock::wall_ms();
    ospreywing_clock::simulation::suspend(Duration::from_s(30));
    assert!(ospreywing_clock::now().since(before) >= Duration::from_s(30));
    assert!(ospreywing_clock::wall_ms() >= wall_before_ms + 30_000);
}

#[test]
fn now_counts_boot_time() {
    let boot_ms = || {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        time.tv_sec as u64 * 1000 + time.tv_nsec as u64 / 1_000_000
    };
    let before_ms = boot_ms();
    let now_ms = ospreywing_clock::now().as_ms();
    let after_ms = boot_ms();
    assert!((before_ms..=after_ms).contains(&now_ms));
}

#[cfg(feature = "simulation")]
#[test]
fn now_while_stopped() {
    ospreywing_clock::simulation::stop();
    let before = ospreywing_clock::now();
    std::thread::sleep(std::time::Duration::from_millis(5));
    assert_eq!(ospreywing_clock::now(), before);
    ospreywing_clock::simulation::suspend(Duration::from_s(30));
    assert_eq!(ospreywing_clock::now(), before + Duration::from_s(30));
}

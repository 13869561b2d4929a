//! Whether a leader has room for large jobs.

use ospreywing_control::job_room::{JobRoom, SMALL_JOB_BYTES};
use ospreywing_scheduler::{JobId, JobSpec, StepSpec};
use ospreywing_types::Instant;

const LIMIT_BYTES: usize = 1000;
const NOW: Instant = Instant::from_ms(1000);

fn unknown(_: JobId) -> bool {
    false
}

#[test]
fn reserve_counts_reservations_and_active() {
    let mut room = JobRoom::new(LIMIT_BYTES);
    assert!(room.reserve(NOW, JobId::new(1), 400, 300, unknown));
    assert!(!room.reserve(NOW, JobId::new(2), 400, 300, unknown));
    assert!(room.reserve(NOW, JobId::new(2), 300, 300, unknown));
}

#[test]
fn reserve_again_counts_once() {
    let mut room = JobRoom::new(LIMIT_BYTES);
    for _ in 0..3 {
        assert!(room.reserve(NOW, JobId::new(1), 600, 300, unknown));
    }
}

#[test]
fn reserve_known_is_free() {
    let mut room = JobRoom::new(LIMIT_BYTES);
    assert!(room.reserve(NOW, JobId::new(1), 600, 300, unknown));
    let is_known = |job| job == JobId::new(1);
    assert!(room.reserve(NOW, JobId::new(1), 600, 900, is_known));
    assert!(room.reserve(NOW, JobId::new(2), 100, 900, is_known));
}

#[test]
fn reserve_after_timeout() {
    let mut room = JobRoom::new(LIMIT_BYTES);
    assert!(room.reserve(NOW, JobId::new(1), 900, 0, unknown));
    let before = Instant::from_ms(5999);
    assert!(!room.reserve(before, JobId::new(2), 900, 0, unknown));
    let after = Instant::from_ms(6000);
    assert!(room.reserve(after, JobId::new(2), 900, 0, unknown));
}

#[test]
fn reserve_larger_than_limit_alone() {
    let mut room = JobRoom::new(LIMIT_BYTES);
    assert!(!room.reserve(NOW, JobId::new(1), 2000, 1, unknown));
    assert!(room.reserve(NOW, JobId::new(1), 2000, 0, unknown));
    assert!(!room.reserve(NOW, JobId::new(2), 1, 0, unknown));
}

#[test]
fn memory_bytes_largest_known_job_is_small() {
    let step = StepSpec {
        tasks_count: 300,
        ..StepSpec::default()
    };
    let job = JobSpec {
        payload: "x".repeat(4000),
        steps: vec![step; 4],
        schedule: None,
    };
    assert!(job.memory_bytes() <= SMALL_JOB_BYTES);
}

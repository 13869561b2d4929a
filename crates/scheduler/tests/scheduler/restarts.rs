//! Workers that start again under the id that they had.
//!
//! What users saw: tasks that had ended well ran a second time half a second later; other
//! jobs never went on, though most of the workers' room was free.
//!
//! The order of events: a worker without runs crashes and is back within a second under its
//! id. Nobody asks it meanwhile, since nothing runs there. A task starts there and ends well,
//! as number 1 of the new life. The leader has heard of some ends of the life before, takes
//! number 1 for one of those, and passes it over. Its next look tells the worker to forget
//! the ends of the life before: either that covers number 1, and the task seems to have
//! vanished and starts again, or the worker does not heed it, lists the end on and on, and
//! the task counts as running until the worker crashes the next time.
//!
//! The evidence: each story has runs on a worker that had started again 0.8 to 2.4 s before.
//! Tasks that stood still went on within two seconds of their worker's next crash, 12 to
//! 50 s later. No worker was ever taken for gone.

use crate::support::world::{Faults, World};
use crate::support::{job, step};
use ospreywing_scheduler::{JobId, Phase, StepSpec};
use rstest::rstest;

/// Long enough for a job, and for a worker to be back.
const WHILE_MS: u64 = 4_000;
const OUTCOME_LIMIT_MS: u64 = 20_000;

/// Returns a world of workers that tell their start, on which some work has been done.
fn world_at_work(seed: u64, workers_count: usize) -> World {
    let mut world = World::new(seed, workers_count, Faults::default(), None);
    world.tell_life_starts(false);
    for number in 1..=3 {
        world.submit(job(number, vec![step(2 * workers_count as u32)]));
        world.run_for(WHILE_MS);
    }
    world
}

fn gang(tasks_count: u32) -> StepSpec {
    StepSpec {
        is_gang: true,
        ..step(tasks_count)
    }
}

/// The task is started twice, which the rules of the world find.
#[rstest]
#[case::tasks(step(2))]
#[case::gang(gang(2))]
fn take_end_next_life_forgets_ends(#[case] spec: StepSpec, #[values(1, 2, 3)] seed: u64) {
    let mut world = world_at_work(seed, 1);
    world.restart(0);
    world.run_for(WHILE_MS);
    world.submit(job(9, vec![spec]));
    world.run_until_done(OUTCOME_LIMIT_MS);
    assert_eq!(world.phase(JobId::new(9)), Some(Phase::Complete));
}

/// The job waits for ever for the members of its last run.
#[rstest]
#[case::tasks(step(2))]
#[case::gang(gang(2))]
fn take_end_next_life_lists_ends_on(#[case] spec: StepSpec, #[values(1, 2, 3)] seed: u64) {
    let mut world = world_at_work(seed, 1);
    world.workers[0].ignores_foreign_acks = true;
    world.restart(0);
    world.run_for(WHILE_MS);
    world.submit(job(9, vec![spec]));
    world.run_until_done(OUTCOME_LIMIT_MS);
    assert_eq!(world.phase(JobId::new(9)), Some(Phase::Complete));
}

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

use crate::support::bench::{end, workers, Bench};
use crate::support::world::{Faults, World};
use crate::support::{first_task, job, placed_at_life, placed_state, step};
use ospreywing_scheduler::{
    Action, EndKind, EndedRun, Event, HoldReply, JobId, JobState, LifeStart, Phase, Recovered,
    StartReply, StepSpec, TaskKey, WorkerKey,
};
use ospreywing_types::Duration;
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

/// Has a worker answer a look as the life with this start, without runs.
fn answer_as(bench: &mut Bench, key: WorkerKey, life_start_ms: u64, ended: Vec<EndedRun>) {
    let sent_at = bench.now;
    bench.now = bench.now + Duration::from_ms(20);
    let reply = HoldReply::Listed {
        life_start: Some(LifeStart::from_ms(life_start_ms)),
        clock_ms: bench.now.as_ms(),
        running: Vec::new(),
        ended,
    };
    bench.tell(Event::HoldAnswered {
        worker: key,
        sent_at,
        reply,
    });
}

/// A start that nobody answered may be carried out after its run was given up. The life that
/// knew of the stop refuses it; the next one has to be told too.
#[test]
fn begin_next_life_refuses_open_start() {
    let workers = workers(1);
    let mut bench = Bench::new(Recovered::default(), &workers);
    let first = bench.scheduler.worker_key("w0").expect("a worker");
    answer_as(&mut bench, first, 1, Vec::new());
    bench.submit(1, vec![step(1)]);
    bench.commit_all();
    let (_, task, run) = bench.starts()[0];
    // Each repeat of it is lost too.
    for _ in 0..3 {
        bench.tell(Event::StartAnswered {
            worker: first,
            task,
            run,
            reply: StartReply::Unanswered,
        });
    }
    assert_eq!(bench.stops(), [(first, task, run)]);
    bench.cancel(1);
    answer_as(&mut bench, first, 1, Vec::new());
    bench.actions.clear();
    answer_as(&mut bench, first, 2, Vec::new());
    let next = bench.scheduler.worker_key("w0").expect("a worker");
    assert_ne!(next, first);
    assert_eq!(bench.stops(), [(next, task, run)]);
}

/// Ends of one life don't count as heard of because an earlier one has listed as many, and
/// are not acknowledged to the wrong one.
#[test]
fn begin_next_life_acknowledges_nothing_of_before() {
    let workers = workers(1);
    let mut bench = Bench::new(Recovered::default(), &workers);
    let first = bench.scheduler.worker_key("w0").expect("a worker");
    answer_as(
        &mut bench,
        first,
        1,
        vec![end(7, stray_task(), 1, EndKind::Done)],
    );
    answer_as(&mut bench, first, 2, Vec::new());
    let next = bench.scheduler.worker_key("w0").expect("a worker");
    bench.list_restarted(&workers[0], 2);
    bench.submit(1, vec![step(1)]);
    bench.commit_all();
    let start = bench.starts()[0];
    assert_eq!(start.0, next);
    bench.started(start);
    answer_as(&mut bench, next, 2, vec![end(1, start.1, 1, EndKind::Done)]);
    bench.commit_all();
    let phase = bench.scheduler.job(JobId::new(1)).map(|job| job.phase);
    assert_eq!(phase, Some(Phase::Complete));
    let told = bench.actions.iter().filter_map(|action| match action {
        Action::Hold { to, last_seen, .. } if to.worker == next => Some(*last_seen),
        _ => None,
    });
    assert!(
        told.max() <= Some(1),
        "an end of the life before is acknowledged"
    );
}

/// An entry that names another life takes the worker out of use until the worker itself has
/// answered: its room may be another, and the entry may be one of an earlier life.
#[rstest]
#[case::it_is_the_later(2)]
#[case::it_was_written_late(1)]
fn take_entry_of_other_life(#[case] answering: u64) {
    let workers = workers(1);
    let mut bench = Bench::new(Recovered::default(), &workers);
    let first = bench.scheduler.worker_key("w0").expect("a worker");
    answer_as(&mut bench, first, 1, Vec::new());
    bench.list_restarted(&workers[0], 2);
    bench.submit(1, vec![step(1)]);
    bench.commit_all();
    assert_eq!(bench.starts(), [], "nothing starts there meanwhile");
    let asked = |action: &Action| matches!(action, Action::Hold { to, .. } if to.worker == first);
    assert!(bench.actions.iter().any(asked), "it is asked at once");
    answer_as(&mut bench, first, answering, Vec::new());
    bench.commit_all();
    let is_used = !bench.starts().is_empty();
    assert_eq!(is_used, answering == 2);
    // The life that answers writes its entry again some time.
    bench.list_restarted(&workers[0], answering);
    bench.commit_all();
    let key = bench.scheduler.worker_key("w0").expect("a worker");
    answer_as(&mut bench, key, answering, Vec::new());
    bench.commit_all();
    assert!(is_used || !bench.starts().is_empty());
}

fn stray_task() -> TaskKey {
    first_task(JobId::new(99))
}

/// Whom a task was given to is on record with the life that was meant. The next leader, which
/// has met another life only, still learns that the worker crashed under the task.
#[rstest]
#[case::same_life(1, 0)]
#[case::next_life(2, 1)]
fn record_lost_lives_after_takeover(#[case] answering: u64, #[case] crashes_count: usize) {
    let (id, record) = job(1, vec![step(1)]);
    let bytes = placed_at_life("w0", 1, 1).to_bytes();
    let state = JobState::from_bytes(&bytes).expect("it was written here");
    let recovered = Recovered {
        jobs: vec![(id, record)],
        states: vec![(id, state)],
        ..Recovered::default()
    };
    let workers = workers(1);
    let mut bench = Bench::after_evicted_leader(recovered);
    bench.list_restarted(&workers[0], answering);
    let key = bench.scheduler.worker_key("w0").expect("a worker");
    answer_as(&mut bench, key, answering, Vec::new());
    let states = bench.commit_all();
    let state = states.last().expect("the task is placed anew");
    assert_eq!(state.crashes.len(), crashes_count);
}

/// What a silent worker had is on record until it answers. The same life has only been cut
/// off; another one says that the crash is certain.
#[rstest]
#[case::same_life(1, &[])]
#[case::next_life(2, &[true])]
fn retract_silence_after_takeover(#[case] answering: u64, #[case] confirmed: &[bool]) {
    let (id, record) = job(1, vec![step(1)]);
    let recovered = Recovered {
        jobs: vec![(id, record)],
        states: vec![(id, placed_at_life("w0", 1, 1))],
        ..Recovered::default()
    };
    let workers = workers(1);
    let mut bench = Bench::after_evicted_leader(recovered);
    bench.list_restarted(&workers[0], answering);
    let key = bench.scheduler.worker_key("w0").expect("a worker");
    // Until every lease of an earlier leader is over.
    for _ in 0..10 {
        bench.be_silent(key);
    }
    bench.commit_all();
    answer_as(&mut bench, key, answering, Vec::new());
    let states = bench.commit_all();
    let state = states.last().expect("the task is placed anew");
    let found = state.crashes.iter().map(|crash| crash.is_confirmed);
    assert_eq!(found.collect::<Vec<bool>>(), confirmed);
}

/// Where workers tell no starts, progress is written as nodes of the version before read it.
#[rstest]
#[case::no_start(placed_state("w0", 1), 1)]
#[case::start(placed_at_life("w0", 7, 1), 6)]
fn job_state_stored_form(#[case] state: JobState, #[case] form: u8) {
    let bytes = state.to_bytes();
    assert_eq!(bytes.first(), Some(&form));
    assert_eq!(JobState::from_bytes(&bytes), Ok(state));
}

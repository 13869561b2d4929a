//! Single cases, most of them regression tests for failures seen in test deployments.

use crate::support::harness::{end, failed, workers, Harness};
use crate::support::simulation::{Faults, Simulation};
use crate::support::{self, advice, deferrable_job, job, step};
use ospreywing_scheduler::{
    Action, AdvicePolicy, ChangeKind, EndKind, EndedRun, Event, JobId, JobRecord, JobState, Phase,
    Recovered, StepSpec, TaskStatus, LANES_COUNT,
};
use ospreywing_types::{Duration, Resources};
use rstest::rstest;

/// A worker lists the ends that an earlier leader recorded but did not acknowledge again to the
/// next leader, which once counted the same failure a second time.
#[test]
fn handle_end_listed_again_to_next_leader() {
    let (id, record) = job(1, vec![step(1)]);
    let mut state = JobState::default();
    let mut recovered = Recovered {
        jobs: vec![(id, record)],
        ..Recovered::default()
    };
    for _leader in 0..4 {
        let mut harness = Harness::new(recovered.clone(), &workers(1));
        let worker = harness.scheduler.worker_key("w0").unwrap();
        if state == JobState::default() {
            harness.commit_all();
            let start = harness.starts()[0];
            harness.answer_started(start);
            harness.answer_poll(worker, vec![failed(1, start.1, start.2)]);
        } else {
            let task = ospreywing_scheduler::StepKey {
                job: id,
                round: 0,
                step: 0,
            };
            harness.answer_poll(worker, vec![failed(1, task.task(0), 1)]);
        }
        if let Some(last) = harness.commit_all().pop() {
            state = last;
        }
        assert_eq!(state.phase, Phase::Active);
        assert_eq!(state.rounds[0].steps[0].tasks[0].failed_runs, vec![1]);
        // The next leader takes over before the second run was sent.
        state.rounds[0].steps[0].tasks[0].status = TaskStatus::Waiting;
        recovered.states = vec![(id, state.clone())];
    }
}

/// Every retry of a poll once granted a new lease, so that the runs of an unresponsive worker
/// were never released.
#[test]
fn send_due_polls_unresponsive_worker() {
    let mut harness = Harness::new(Recovered::default(), &workers(2));
    harness.submit(1, vec![step(1)]);
    harness.commit_all();
    let first = harness.starts()[0];
    harness.answer_started(first);
    harness.leave_poll_unanswered(first.0);
    harness.actions.clear();
    for _ in 0..4 {
        harness.leave_poll_unanswered(first.0);
    }
    let granted = harness.actions.iter().any(|action| {
        matches!(action, Action::Hold { to, until_ms: Some(_), .. } if to.worker == first.0)
    });
    assert!(!granted, "an unresponsive worker is granted no lease");
    for _ in 0..6 {
        harness.leave_poll_unanswered(first.0);
    }
    harness.commit_all();
    let again = harness.starts();
    let (worker, task, run) = again[0];
    assert_eq!((task, run), (first.1, 2));
    assert_ne!(worker, first.0);
}

/// The runs of an unresponsive worker are not released while its lease may hold.
#[test]
fn release_expired_runs_lease_may_hold() {
    let mut harness = Harness::new(Recovered::default(), &workers(2));
    harness.submit(1, vec![step(1)]);
    harness.commit_all();
    let first = harness.starts()[0];
    harness.answer_started(first);
    for _ in 0..3 {
        harness.leave_poll_unanswered(first.0);
    }
    harness.commit_all();
    assert_eq!(harness.starts(), vec![]);
}

/// The share of suitable workers was once learned from workers known to be suitable, so that a
/// gang queried two unknown workers at a time.
#[test]
fn find_capacity_for_gang_few_suitable_workers() {
    let mut simulation = Simulation::new(3, 16, Faults::default(), Some(advice()));
    simulation.suitable_one_in = 4;
    for number in 1..=6 {
        let gang = StepSpec {
            is_gang: true,
            ..step(6)
        };
        simulation.submit(job(number, vec![gang]));
    }
    simulation.run_until_done(40_000);
}

/// A gang once waited for its suitable workers, which other gangs kept busy, without querying
/// the workers that were free.
#[test]
fn find_capacity_for_gang_suitable_workers_busy() {
    let policy = AdvicePolicy {
        decision_ms: 1.0,
        per_worker_ms: 10.0,
        validity: Duration::from_ms(1500),
    };
    let mut harness = Harness::with_advice(Recovered::default(), &workers(10), Some(policy));
    harness.handle(Event::NodesListed(vec!["n1".into()]));
    let gang = StepSpec {
        is_gang: true,
        ..step(2)
    };
    for number in 1..=3 {
        harness.submit(number, vec![gang.clone()]);
    }
    let first = harness.answer_advice_requests(&["w0", "w1", "w9"]);
    assert_eq!(
        first,
        vec![8, 4, 4],
        "each request names a part of the workers, a larger one while adviser nodes are idle"
    );
    harness.commit_all();
    assert_eq!(
        harness.starts().len(),
        4,
        "two gangs fill their suitable workers"
    );
    // After each request the gang waits a while before it queries further workers.
    for _ in 0..20 {
        harness.answer_advice_requests(&["w0", "w1", "w9"]);
        harness.commit_all();
    }
    assert_eq!(harness.starts().len(), 2, "the third starts on another");
}

/// Tasks with time to spare once took, bit by bit, the capacity that gangs needed all at once.
#[test]
fn yields_to_gangs_with_time_to_spare() {
    let mut harness = Harness::with_advice(Recovered::default(), &workers(3), Some(advice()));
    harness.handle(Event::NodesListed(vec!["n1".into()]));
    let gang = StepSpec {
        is_gang: true,
        ..step(4)
    };
    let deferrable = StepSpec {
        estimate_ms: 10_000,
        ..step(1)
    };
    let suitable = [["w0", "w1"], ["w2", "w2"], ["w0", "w1"]];
    for (steps, suitable) in [gang.clone(), step(1), gang].into_iter().zip(suitable) {
        harness.submit(harness.now.as_ms(), vec![steps]);
        harness.answer_advice_requests(&suitable);
        harness.commit_all();
    }
    assert_eq!(harness.starts().len(), 5, "the second gang waits");
    harness.submit(9, vec![deferrable]);
    harness.commit_all();
    assert_eq!(harness.answer_advice_requests(&["w0", "w1", "w2"]), vec![]);
    // Its objective is 21 s: it needs 10 s and keeps 4 s in reserve.
    harness.now = harness.now + Duration::from_ms(8_000);
    harness.commit_all();
    assert_eq!(harness.answer_advice_requests(&["w0", "w1", "w2"]).len(), 1);
    harness.commit_all();
    assert_eq!(harness.starts().len(), 1);
}

/// Fills two workers with four tasks of the job, all at this progress, then submits a gang of
/// two that needs capacity there.
fn gang_before_full_workers((id, record): (JobId, JobRecord), progress_percent: u32) -> Harness {
    let mut harness = Harness::with_advice(Recovered::default(), &workers(2), Some(advice()));
    harness.handle(Event::NodesListed(vec!["n1".into()]));
    harness.submit_job((id, record));
    harness.answer_advice_requests(&["w0", "w1"]);
    harness.commit_all();
    let starts = harness.starts();
    assert_eq!(starts.len(), 4);
    for start in &starts {
        harness.answer_started(*start);
    }
    harness.answer_polls_with_progress(&starts, progress_percent);
    let gang = StepSpec {
        is_gang: true,
        ..step(2)
    };
    harness.submit(99, vec![gang]);
    harness.answer_advice_requests(&["w0", "w1"]);
    harness.commit_all();
    harness
}

/// Gangs once started too late although less urgent work held their capacity, which could have
/// resumed later from its checkpoints.
#[test]
fn plan_preemption_of_checkpointed_work() {
    let mut harness = gang_before_full_workers(deferrable_job(1, 4), 50);
    let stops = harness.stops();
    assert_eq!(stops.len(), 2, "as many as the gang needs");
    assert_eq!(harness.starts(), vec![], "the capacity is not free yet");
    harness.answer_advice_requests(&["w0", "w1"]);
    harness.commit_all();
    assert_eq!(
        harness.starts(),
        vec![],
        "not free with the tickets there either"
    );
    for (number, (worker, task, run)) in (1..).zip(stops.iter().copied()) {
        let checkpoint = Some("half".to_owned());
        let end = EndedRun {
            checkpoint,
            ..end(number, task, run, EndKind::Stopped)
        };
        harness.answer_poll(worker, vec![end]);
    }
    harness.commit_all();
    let starts = harness.starts();
    assert_eq!(starts.len(), 2);
    assert!(starts
        .iter()
        .all(|(_, task, _)| task.step.job == JobId::new(99)));
    assert_eq!(harness.stops(), vec![], "nothing else is stopped");
}

/// A run is not preempted if it would lose much work, is as urgent as the gang, has no time to
/// spare or is nearly done.
#[rstest]
#[case::saves_nothing(|record: &mut JobRecord| record.spec.steps[0].saves_progress = false, 50)]
#[case::nearly_done(|_: &mut JobRecord| (), 80)]
#[case::as_urgent(|record: &mut JobRecord| record.queue = support::QUEUE.to_owned(), 0)]
#[case::no_time(|record: &mut JobRecord| record.spec.steps[0].estimate_ms = 1000, 0)]
#[case::perpetual(|record: &mut JobRecord| record.spec.steps[0].is_perpetual = true, 0)]
fn plan_preemption_nothing_to_stop(
    #[case] change: fn(&mut JobRecord),
    #[case] progress_percent: u32,
) {
    let (id, mut record) = deferrable_job(1, 4);
    change(&mut record);
    let mut harness = gang_before_full_workers((id, record), progress_percent);
    assert_eq!(harness.stops(), vec![]);
}

/// Work that saves no checkpoints is preempted if it has barely begun.
#[test]
fn plan_preemption_barely_begun() {
    let (id, mut record) = deferrable_job(1, 4);
    record.spec.steps[0].saves_progress = false;
    let mut harness = gang_before_full_workers((id, record), 10);
    assert_eq!(harness.stops().len(), 2);
}

/// Gangs behind those that wait for capacity were once not considered, though workers suitable
/// for them were free.
#[test]
fn find_capacity_for_gang_behind_waiting_gangs() {
    let mut harness = Harness::with_advice(Recovered::default(), &workers(24), Some(advice()));
    // Enough nodes that no request waits for another.
    let nodes = (0..60).map(|number| format!("n{number}").into());
    harness.handle(Event::NodesListed(nodes.collect()));
    let gang = |tasks_count| StepSpec {
        is_gang: true,
        ..step(tasks_count)
    };
    // More than all suitable workers hold.
    for number in 1..=20 {
        harness.submit(number, vec![gang(20)]);
        harness.answer_advice_requests(&["w0", "w1"]);
    }
    harness.submit(21, vec![gang(2)]);
    for _ in 0..4 {
        harness.answer_advice_requests(&["w2", "w3"]);
        harness.commit_all();
    }
    let starts = harness.starts();
    assert_eq!(starts.len(), 2);
    assert!(starts
        .iter()
        .all(|(_, task, _)| task.step.job == JobId::new(21)));
}

/// After an outage many steps once named the same three workers, those with the most free
/// capacity, in request after request, most of which found no capacity left.
#[test]
fn choose_workers_to_query_beside_open_requests() {
    let mut harness = Harness::with_advice(Recovered::default(), &workers(12), Some(advice()));
    let nodes = (0..6).map(|number| format!("n{number}").into());
    harness.handle(Event::NodesListed(nodes.collect()));
    for number in 1..=6 {
        harness.submit(number, vec![step(2)]);
    }
    let mut first_named = Vec::new();
    for action in &harness.actions {
        if let Action::Advise { workers, .. } = action {
            first_named.push(workers[0].id.clone());
        }
    }
    first_named.sort();
    first_named.dedup();
    assert_eq!(
        first_named.len(),
        6,
        "each request begins with another worker"
    );
    harness.answer_advice_requests(&["w0", "w1", "w2", "w3", "w4", "w5"]);
    harness.commit_all();
    assert_eq!(harness.starts().len(), 12, "no step needs another request");
    // The capacity that the requests counted on is free again for later ones.
    harness.submit(7, vec![step(2)]);
    assert!(!harness.answer_advice_requests(&["w11"]).is_empty());
}

/// A filler is evicted for a task that serves users, and none is placed alongside one.
#[test]
fn evict_fillers_serving_task_comes() {
    let mut harness = Harness::new(Recovered::default(), &workers(1));
    let filler = StepSpec {
        is_filler: true,
        is_perpetual: true,
        ..step(1)
    };
    let serving = StepSpec {
        target_ms: 200,
        is_perpetual: true,
        ..step(1)
    };
    harness.submit(1, vec![filler.clone()]);
    harness.commit_all();
    let first = harness.starts()[0];
    harness.answer_started(first);
    harness.submit(2, vec![serving]);
    harness.commit_all();
    assert_eq!(harness.starts().len(), 1, "the serving task starts at once");
    assert_eq!(harness.stops(), vec![first], "the filler is stopped");
    harness.answer_poll(first.0, vec![end(1, first.1, first.2, EndKind::Stopped)]);
    harness.submit(3, vec![filler]);
    harness.commit_all();
    assert_eq!(harness.starts(), vec![], "no filler is placed alongside it");
}

/// A gang whose suitable workers other gangs had taken once waited 2.5 s before it queried
/// workers that had been free all the time.
#[test]
fn query_free_workers_completes_gang() {
    let policy = AdvicePolicy {
        decision_ms: 1.0,
        per_worker_ms: 10.0,
        validity: Duration::from_ms(1500),
    };
    let mut harness = Harness::with_advice(Recovered::default(), &workers(24), Some(policy));
    let nodes = (0..6).map(|number| format!("n{number}").into());
    harness.handle(Event::NodesListed(nodes.collect()));
    let gang = StepSpec {
        is_gang: true,
        ..step(2)
    };
    for number in 1..=3 {
        harness.submit(number, vec![gang.clone()]);
    }
    let suitable = ["w0", "w1", "w9"];
    assert_eq!(harness.answer_advice_requests(&suitable), vec![8, 8, 8]);
    harness.commit_all();
    assert_eq!(
        harness.starts().len(),
        4,
        "two gangs fill their suitable workers"
    );
    let began_at = harness.now;
    for _ in 0..20 {
        harness.now = harness.now + Duration::from_ms(20);
        harness.answer_advice_requests(&suitable);
        harness.handle(Event::Tick);
    }
    harness.commit_all();
    assert_eq!(harness.starts().len(), 2, "the third starts on another");
    assert!(harness.now.since(began_at) < Duration::from_ms(1500));
}

/// With a store that took 0.24 s for an answer, three concurrent commits were once too few, and
/// jobs waited for seconds.
#[test]
fn flush_commits_slow_store() {
    let mut harness = Harness::new(Recovered::default(), &workers(60));
    let mut jobs = Vec::new();
    let mut lanes = Vec::new();
    for number in 1..=12 {
        harness.submit(number, vec![step(2)]);
        harness.now = harness.now + Duration::from_ms(30);
        harness.handle(Event::Tick);
        // A state that changes again waits for its commit in flight.
        harness.handle(Event::CancelAccepted {
            job: JobId::new(number),
        });
    }
    for action in &harness.actions {
        if let Action::Commit { lane, changes } = action {
            lanes.push(*lane);
            jobs.extend(changes.iter().map(|change| change.job));
        }
    }
    assert_eq!(lanes, (0..LANES_COUNT).collect::<Vec<u32>>());
    let committed_count = jobs.len();
    jobs.sort();
    jobs.dedup();
    assert_eq!(jobs.len(), committed_count, "no job is in flight twice");
}

/// An outcome that was in flight was once written a second time.
#[test]
fn queue_outcomes_outcome_in_flight() {
    let mut harness = Harness::new(Recovered::default(), &workers(1));
    // No task of it is placed, so that only the outcome is to be written.
    let huge = StepSpec {
        demand: Resources::new(64_000, 1000, 0),
        ..step(1)
    };
    harness.submit(1, vec![huge]);
    let job = JobId::new(1);
    harness.handle(Event::CancelAccepted { job });
    let mut outcomes_count = 0;
    for _ in 0..20 {
        // The store takes 300 ms for each answer.
        let mut lanes = Vec::new();
        for _ in 0..10 {
            harness.now = harness.now + Duration::from_ms(30);
            harness.handle(Event::Tick);
            for action in harness.actions.drain(..) {
                if let Action::Commit { lane, changes } = action {
                    lanes.push(lane);
                    let outcomes = changes.iter();
                    outcomes_count += outcomes
                        .filter(|change| matches!(change.kind, ChangeKind::Outcome(_)))
                        .count();
                }
            }
        }
        for lane in lanes {
            harness.handle(Event::Committed { lane });
        }
    }
    assert_eq!(outcomes_count, 1);
    let view = harness.scheduler.job(job).map(|view| view.phase);
    assert_eq!(view, Some(Phase::Canceled));
}

/// A task that fits no worker doesn't block others.
#[test]
fn place_impossible_demand() {
    let mut simulation = Simulation::new(5, 3, Faults::default(), None);
    let huge = StepSpec {
        demand: Resources::new(64_000, 1000, 0),
        ..step(1)
    };
    let (id, record) = job(1, vec![huge]);
    simulation.submit((id, record));
    simulation.submit(job(2, vec![step(3)]));
    simulation.run_for(8_000);
    assert_eq!(
        simulation.phase(ospreywing_scheduler::JobId::new(2)),
        Some(Phase::Complete)
    );
    simulation.cancel(id);
    simulation.run_until_done(5_000);
}

#[rstest]
#[case::before_start(0)]
#[case::while_running(300)]
fn cancel_job_stops_its_runs(#[case] after_ms: u64) {
    let mut simulation = Simulation::new(9, 3, Faults::default(), None);
    let (id, record) = job(1, vec![step(4)]);
    simulation.submit((id, record));
    simulation.run_for(after_ms);
    simulation.cancel(id);
    simulation.run_for(1_000);
    assert_eq!(simulation.phase(id), Some(Phase::Canceled));
    assert!(simulation
        .workers
        .iter()
        .all(|worker| worker.runs.is_empty()));
}

/// A worker that once listed a run of an unknown job must still be polled and given work.
/// Polling was suspected to stop there.
#[test]
fn handle_running_unknown_job() {
    let mut harness = Harness::new(Recovered::default(), &workers(1));
    let worker = harness.scheduler.worker_key("w0").unwrap();
    let unknown = job(77, Vec::new()).0;
    let unknown = ospreywing_scheduler::StepKey {
        job: unknown,
        round: 0,
        step: 0,
    };
    harness.commit_all();
    harness.actions.clear();
    harness.answer_poll_running(worker, unknown.task(0));
    harness.commit_all();
    let is_polled = harness
        .actions
        .iter()
        .any(|action| matches!(action, Action::Hold { to, .. } if to.worker == worker));
    assert!(
        is_polled,
        "the worker is polled until the unknown run is gone"
    );
}

/// The advice for a step's other tasks stays valid when one of them ends.
#[test]
fn after_end_one_of_many_tasks() {
    let mut simulation = Simulation::new(2, 6, Faults::default(), Some(advice()));
    simulation.submit(job(1, vec![step(40)]));
    simulation.run_until_done(60_000);
    // One request per wave of tasks, not one per task.
    assert!(
        simulation.advice_requests_count < 20,
        "{} advice requests",
        simulation.advice_requests_count
    );
}

/// A job whose task always fails is reported as failed after its attempts, and not started
/// again.
#[test]
fn end_job_attempts_used_up() {
    let faults = Faults {
        failing_run: 1000,
        ..Faults::default()
    };
    let mut simulation = Simulation::new(1, 3, faults, None);
    let (id, record) = job(1, vec![step(1)]);
    simulation.submit((id, record));
    simulation.run_until_done(20_000);
    assert_eq!(simulation.phase(id), Some(Phase::Failed));
    assert_eq!(
        simulation.rules.starts_count,
        support::ATTEMPTS_COUNT as usize
    );
}

/// A worker that does not list a recorded run under the new fence can no longer begin it: the
/// task starts again at once, with a higher run number.
#[test]
fn release_unlisted_start_not_sent() {
    let (id, record) = job(1, vec![step(1)]);
    let mut harness = Harness::new(Recovered::default(), &workers(1));
    harness.submit(1, vec![step(1)]);
    let state = harness.commit_all().pop().expect("a recorded start");
    let recovered = Recovered {
        jobs: vec![(id, record)],
        states: vec![(id, state)],
        ..Recovered::default()
    };
    let mut next = Harness::new(recovered, &workers(1));
    next.commit_all();
    let starts = next.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].2, 2);
}

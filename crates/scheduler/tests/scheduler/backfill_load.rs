//! Loads of one customer that are bounded by its limit: short jobs alongside gangs.

use crate::support::simulation::{Faults, Simulation};
use crate::support::{
    advice, configuration_with, customer, first_task, job_of, step, with_other_service,
    LOW_PRIORITY_QUEUE, OTHER_QUEUE,
};
use ospreywing_scheduler::{AdvicePolicy, JobId, JobRecord, StepSpec};
use ospreywing_types::Resources;
use rstest::rstest;

const SEEDS_COUNT: u64 = 4;
const ESTIMATE_MS: u64 = 900;

/// A job, and when it was submitted.
struct SubmittedJob {
    id: JobId,
    at_ms: u64,
}

/// A simulation with one customer, and the jobs that it submitted.
struct Scenario {
    simulation: Simulation,
    shorts: Vec<SubmittedJob>,
    gangs: Vec<SubmittedJob>,
}

impl Scenario {
    fn new(
        seed: u64,
        workers_count: usize,
        limit_tasks_count: u32,
        policy: Option<AdvicePolicy>,
    ) -> Self {
        let mut simulation = Simulation::new(seed, workers_count, Faults::default(), policy);
        simulation.run_durations_ms = 600..1_200;
        let customers = vec![customer("one", limit_tasks_count, 1000.0)];
        let configuration = configuration_with(2, policy, customers);
        simulation.configure(with_other_service(configuration));
        Self {
            simulation,
            shorts: Vec::new(),
            gangs: Vec::new(),
        }
    }

    fn submit(&mut self, queue: Option<&str>, spec: StepSpec) {
        let number = (self.shorts.len() + self.gangs.len()) as u64 + 1;
        let is_gang = spec.is_gang;
        let (id, mut record): (JobId, JobRecord) = job_of("one", number, vec![spec]);
        if let Some(queue) = queue {
            record.queue = queue.to_owned();
        }
        record.accepted_ms = self.simulation.now_ms;
        let list = if is_gang {
            &mut self.gangs
        } else {
            &mut self.shorts
        };
        list.push(SubmittedJob {
            id,
            at_ms: self.simulation.now_ms,
        });
        self.simulation.submit((id, record));
    }

    /// Returns how long each of the jobs waited for its first start, sorted.
    fn waits_ms(&self, submitted: &[SubmittedJob]) -> Vec<u64> {
        let started = &self.simulation.rules.first_started_ms;
        let mut waits_ms: Vec<u64> = submitted
            .iter()
            .map(|submitted| {
                let at_ms = started.get(&first_task(submitted.id));
                at_ms.map_or(u64::MAX, |at_ms| at_ms - submitted.at_ms)
            })
            .collect();
        waits_ms.sort_unstable();
        waits_ms
    }
}

/// Returns the 95th percentile of sorted waits.
fn percentile_95(waits_ms: &[u64]) -> u64 {
    waits_ms[waits_ms.len() * 95 / 100]
}

fn gang(tasks_count: u32) -> StepSpec {
    StepSpec {
        is_gang: true,
        estimate_ms: ESTIMATE_MS,
        ..step(tasks_count)
    }
}

fn short(cores_milli: u32) -> StepSpec {
    StepSpec {
        demand: Resources::new(cores_milli, 500, 0),
        estimate_ms: ESTIMATE_MS,
        ..step(1)
    }
}

/// The tasks that the customer of the stream may have running.
const STREAM_LIMIT_COUNT: u32 = 12;
const STREAM_MS: u64 = 12_000;
/// A gang of nearly all of them is submitted at this time.
const STREAM_GANG_COUNT: u32 = 11;
const STREAM_GANG_AT_MS: u64 = 3_000;
/// How soon the gang must start: one second until it holds others back, two seconds for which
/// it may do so, and the time of a start.
const STREAM_GANG_BOUND_MS: u64 = 3_200;
/// The platform's bound on how long a short job may wait meanwhile.
const STREAM_SHORT_BOUND_MS: u64 = 3_000;

/// Runs a steady stream of short jobs, which keeps about half of the limit in use, and a gang
/// that needs nearly all of it. A new leader may take over at this time after the gang was
/// submitted.
fn run_stream(seed: u64, takeover_after_ms: Option<u64>) -> Scenario {
    let mut scenario = Scenario::new(seed, 16, STREAM_LIMIT_COUNT, None);
    for at_ms in (0..STREAM_MS).step_by(50) {
        if at_ms % 150 == 0 {
            scenario.submit(None, short(2000));
        }
        if at_ms == STREAM_GANG_AT_MS {
            scenario.submit(Some(LOW_PRIORITY_QUEUE), gang(STREAM_GANG_COUNT));
        }
        if takeover_after_ms.is_some_and(|after_ms| at_ms == STREAM_GANG_AT_MS + after_ms) {
            scenario.simulation.elect();
        }
        scenario.simulation.run_for(50);
    }
    scenario.simulation.run_for(STREAM_SHORT_BOUND_MS);
    scenario
}

/// A gang that needs more than half of the limit starts, and no short job waits longer than
/// allowed. A new leader measures the waits from the start of its term.
#[rstest]
#[case::one_leader(None)]
#[case::takeover_before_it_holds(Some(600))]
#[case::takeover_while_it_holds(Some(1_300))]
fn place_large_gang_beside_stream(#[case] takeover_after_ms: Option<u64>) {
    for seed in 0..SEEDS_COUNT {
        let scenario = run_stream(seed, takeover_after_ms);
        let gang_ms = scenario.waits_ms(&scenario.gangs)[0];
        let shorts_ms = scenario.waits_ms(&scenario.shorts).last().copied();
        println!("seed {seed}: the gang {gang_ms} ms, shorts up to {shorts_ms:?} ms");
        let bound_ms = STREAM_GANG_BOUND_MS + takeover_after_ms.unwrap_or(0);
        assert!(gang_ms <= bound_ms, "the gang waits too long");
        assert!(
            shorts_ms <= Some(STREAM_SHORT_BOUND_MS),
            "a short job waits too long"
        );
    }
}

/// The usual load of the burst's customer: a short job in each period, and a gang of up to half
/// of the limit at another service.
const BURST_SHORT_PERIOD_MS: u64 = 1_000;
const BURST_GANG_PERIOD_MS: u64 = 5_000;
const BURST_WORKERS_COUNT: usize = 48;
const BURST_LIMIT_COUNT: u32 = 32;
const BURST_GANG_COUNTS: [u32; 4] = [16, 4, 8, 4];
const BURST_MS: u64 = 16_000;
/// How long a short job may wait for its first start: its objective, which is twice its duration
/// and a second, without its duration.
const BURST_SHORT_BOUND_MS: u64 = 1_000 + ESTIMATE_MS;
/// The same for a gang: two seconds until it precedes more urgent work, the longest run that it
/// waits for, and two seconds for advice and capacity.
const BURST_GANG_BOUND_MS: u64 = 2_000 + 1_200 + 2_000;

fn run_burst(seed: u64, factor: u64, policy: Option<AdvicePolicy>) -> Scenario {
    let mut scenario = Scenario::new(seed, BURST_WORKERS_COUNT, BURST_LIMIT_COUNT, policy);
    scenario.simulation.suitable_one_in = 1;
    scenario.simulation.split_services();
    for at_ms in (0..BURST_MS).step_by(50) {
        if at_ms % BURST_SHORT_PERIOD_MS == 0 {
            for _ in 0..factor {
                scenario.submit(None, short(1000));
            }
        }
        if at_ms % BURST_GANG_PERIOD_MS == 0 {
            for number in 0..factor as usize {
                let members_count = BURST_GANG_COUNTS[number % BURST_GANG_COUNTS.len()];
                scenario.submit(Some(OTHER_QUEUE), gang(members_count));
            }
        }
        scenario.simulation.run_for(50);
    }
    scenario.simulation.run_for(BURST_GANG_BOUND_MS);
    scenario
}

/// Neither the short jobs of one service nor the gangs of another exhaust the customer's limit,
/// which suffices for the average load but not for a whole burst at once.
#[rstest]
fn place_shorts_beside_burst_of_gangs(
    #[values(2, 5, 10)] factor: u64,
    #[values(false, true)] has_advice: bool,
) {
    let policy = has_advice.then(advice);
    for seed in 0..SEEDS_COUNT {
        let scenario = run_burst(seed, factor, policy);
        let shorts_ms = percentile_95(&scenario.waits_ms(&scenario.shorts));
        let gangs_ms = percentile_95(&scenario.waits_ms(&scenario.gangs));
        println!("seed {seed}: shorts {shorts_ms} ms, gangs {gangs_ms} ms");
        assert!(
            shorts_ms <= BURST_SHORT_BOUND_MS,
            "short jobs wait too long"
        );
        assert!(gangs_ms <= BURST_GANG_BOUND_MS, "gangs wait too long");
    }
}

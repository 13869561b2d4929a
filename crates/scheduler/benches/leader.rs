//! Measures the cost of a leader's decisions per run, without I/O.
//!
//! The scheduler is driven by workers, a store and an adviser that answer at set times. The
//! benchmark measures the CPU time of the scheduler's code (the least of three
//! repetitions), its allocations and the bytes of its commits. Run it with `cargo bench -p
//! ospreywing-scheduler`; the results are published in docs/design/scale.md.

use ospreywing_scheduler::{
    Action, AdvicePolicy, AdviceReply, ChangeKind, Configuration, EndKind, EndedRun, Endpoint,
    Event, HoldReply, JobId, JobRecord, JobSpec, Queue, Recovered, RunningRun, Scheduler,
    SchedulerConfig, ServicePolicy, StartOrder, StartReply, StepSpec, StopReply, TaskKey, Ticket,
    WorkerFacts, WorkerKey,
};
use ospreywing_types::{Duration, Instant, Resources};
use rustix::time::{clock_gettime, ClockId};
use std::alloc::{GlobalAlloc, Layout, System};
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

const QUEUE: &str = "render";
const SERVICE: &str = "gallery";
/// The length of the load after the warm-up.
const LOAD_MS: u64 = 10_000;
/// The time before the measurement begins.
const WARM_UP_MS: u64 = 3_000;
const TICK_MS: u64 = 20;
const COMMIT_MS: u64 = 8;
const CALL_MS: u64 = 4;
const RUN_MS: u64 = 800;
const TASKS_PER_JOB_COUNT: u32 = 4;
const REPETITIONS_COUNT: usize = 3;
const LEASE_LIMIT: Duration = Duration::from_ms(10_000);
/// One worker in this many is suitable for a job.
const SUITABLE_ONE_IN: u64 = 2;

/// Counts allocations; the benchmark has a single thread.
struct CountingAllocator;

static ALLOCATIONS_COUNT: AtomicU64 = AtomicU64::new(0);

// SAFETY: every call is passed on unchanged to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS_COUNT.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        // SAFETY: `pointer` was returned by `alloc` above for this layout.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// A worker that carries out all starts, with runs of equal duration.
#[derive(Default)]
struct Worker {
    running: BTreeMap<TaskKey, (u32, u64)>,
    ended: Vec<EndedRun>,
    ends_count: u64,
}

impl Worker {
    fn end_due_runs(&mut self, now_ms: u64) {
        let due = self.running.iter().filter(|(_, run)| run.1 <= now_ms);
        for task in due.map(|(task, _)| *task).collect::<Vec<TaskKey>>() {
            let (run, _) = self
                .running
                .remove(&task)
                .expect("a run that was just seen");
            self.ends_count += 1;
            self.ended.push(EndedRun {
                number: self.ends_count,
                task,
                run,
                kind: EndKind::Done,
                checkpoint: None,
            });
        }
    }

    /// Returns when a poll is answered that may wait at the worker for an end.
    fn answers_at_ms(&self, now_ms: u64, wait: Duration) -> u64 {
        let until_ms = now_ms + wait.as_ms();
        if !self.ended.is_empty() {
            return now_ms;
        }
        let next_ms = self.running.values().map(|run| run.1).min();
        next_ms.map_or(until_ms, |next_ms| next_ms.clamp(now_ms, until_ms))
    }
}

/// The cost of a load.
#[derive(Clone, Copy, Default)]
struct Cost {
    processor_time_ns: u64,
    runs_count: u64,
    allocations_count: u64,
    committed_bytes: u64,
    calls_count: u64,
}

/// A leader, with simulated workers, store and adviser.
struct Cell {
    scheduler: Scheduler,
    now_ms: u64,
    due: BTreeMap<(u64, u64), Due>,
    posted_count: u64,
    workers: HashMap<WorkerKey, Worker>,
    actions: Vec<Action>,
    cost: Cost,
}

/// Something that is due at a set time.
enum Due {
    Event(Box<Event>),
    Poll { to: Endpoint, sent_at: Instant },
}

impl Cell {
    fn new(workers_count: usize, advice: Option<AdvicePolicy>) -> Self {
        let config = SchedulerConfig::new(7, LEASE_LIMIT);
        let now_ms = 50_000;
        let now = Instant::from_ms(now_ms);
        let recovered = Recovered::default();
        let mut cell = Self {
            scheduler: Scheduler::new(config, configuration(advice), now, recovered),
            now_ms,
            due: BTreeMap::new(),
            posted_count: 0,
            workers: HashMap::new(),
            actions: Vec::new(),
            cost: Cost::default(),
        };
        let nodes = (0..20).map(|number| Arc::from(format!("n{number}")));
        cell.handle(Event::NodesListed(nodes.collect()));
        let listed = (0..workers_count).map(worker_facts).collect();
        cell.handle(Event::WorkersListed(listed));
        cell
    }

    fn handle(&mut self, event: Event) {
        let now = Instant::from_ms(self.now_ms);
        let allocated = ALLOCATIONS_COUNT.load(Ordering::Relaxed);
        let start_ns = processor_time_ns();
        self.scheduler.handle(now, event, &mut self.actions);
        self.scheduler.run_due_work(now, &mut self.actions);
        self.cost.processor_time_ns += processor_time_ns() - start_ns;
        self.cost.allocations_count += ALLOCATIONS_COUNT.load(Ordering::Relaxed) - allocated;
        for action in core::mem::take(&mut self.actions) {
            self.perform(action);
        }
    }

    fn post(&mut self, at_ms: u64, due: Due) {
        self.posted_count += 1;
        self.due.insert((at_ms, self.posted_count), due);
    }

    fn handle_after(&mut self, after_ms: u64, event: Event) {
        self.post(self.now_ms + after_ms, Due::Event(Box::new(event)));
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Commit { lane, changes } => {
                let bytes = changes.iter().map(|change| match &change.kind {
                    ChangeKind::Progress(bytes) | ChangeKind::Outcome(bytes) => bytes.len(),
                    ChangeKind::Forget => 0,
                });
                self.cost.committed_bytes += bytes.sum::<usize>() as u64;
                self.handle_after(COMMIT_MS, Event::Committed { lane });
            }
            Action::Start { to, order } => self.start(&to, &order),
            Action::Stop { to, task, run } => {
                let (worker, reply) = (to.worker, StopReply::Stopping);
                self.handle_after(
                    CALL_MS,
                    Event::StopAnswered {
                        worker,
                        task,
                        run,
                        reply,
                    },
                );
            }
            Action::Hold {
                to,
                last_seen,
                wait,
                ..
            } => {
                self.cost.calls_count += 1;
                let now_ms = self.now_ms;
                let worker = self.workers.entry(to.worker).or_default();
                worker.ended.retain(|end| end.number > last_seen);
                let at_ms = worker.answers_at_ms(now_ms, wait) + CALL_MS;
                let sent_at = Instant::from_ms(now_ms);
                self.post(at_ms, Due::Poll { to, sent_at });
            }
            Action::Advise {
                step,
                workers,
                expected,
                ..
            } => {
                self.cost.calls_count += 1;
                let suitable = workers.iter().filter(|to| is_suitable(to.worker, step.job));
                let tickets = suitable.map(|to| Ticket {
                    worker: to.id.clone(),
                    text: Arc::from("ticket"),
                });
                let reply = AdviceReply::Answered {
                    tickets: tickets.collect(),
                    validity: Duration::from_ms(2500),
                };
                let queried = workers.iter().map(|to| to.worker).collect();
                let event = Event::AdviceAnswered {
                    step,
                    queried,
                    reply,
                };
                self.handle_after(expected.as_ms(), event);
            }
            Action::Log(_) | Action::StepDown => {}
        }
    }

    fn start(&mut self, to: &Endpoint, order: &StartOrder) {
        self.cost.calls_count += 1;
        self.cost.runs_count += 1;
        let ends_at_ms = self.now_ms + CALL_MS + RUN_MS;
        let worker = self.workers.entry(to.worker).or_default();
        worker.running.insert(order.task, (order.run, ends_at_ms));
        let event = Event::StartAnswered {
            worker: to.worker,
            task: order.task,
            run: order.run,
            reply: StartReply::Started,
        };
        self.handle_after(CALL_MS, event);
    }

    fn poll(&mut self, to: &Endpoint, sent_at: Instant) {
        let now_ms = self.now_ms;
        let worker = self.workers.entry(to.worker).or_default();
        worker.end_due_runs(now_ms);
        let running = worker.running.iter().map(|(task, run)| RunningRun {
            task: *task,
            run: run.0,
            checkpoint: None,
            progress_percent: 50,
            usage_figure: 0,
        });
        let reply = HoldReply::Listed {
            incarnation: None,
            clock_ms: now_ms,
            running: running.collect(),
            ended: worker.ended.clone(),
        };
        self.handle(Event::HoldAnswered {
            worker: to.worker,
            sent_at,
            reply,
        });
    }

    fn run_until(&mut self, until_ms: u64) {
        while let Some(entry) = self.due.first_entry() {
            let at_ms = entry.key().0;
            if at_ms > until_ms {
                break;
            }
            let due = entry.remove();
            self.now_ms = self.now_ms.max(at_ms);
            match due {
                Due::Event(event) => self.handle(*event),
                Due::Poll { to, sent_at } => self.poll(&to, sent_at),
            }
        }
        self.now_ms = until_ms;
    }
}

/// Returns the CPU time of this thread, which does not depend on other load.
fn processor_time_ns() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

fn is_suitable(worker: WorkerKey, job: JobId) -> bool {
    (u64::from(worker.as_u32()) + job.number()).is_multiple_of(SUITABLE_ONE_IN)
}

fn configuration(advice: Option<AdvicePolicy>) -> Configuration {
    let queue = Queue {
        name: QUEUE.to_owned(),
        service: SERVICE.to_owned(),
        priority: 0,
        attempts_limit_count: 3,
        stretch: 2.0,
        objective_ms: 1000,
        advice,
    };
    Configuration {
        version: 1,
        queues: [(QUEUE.to_owned(), queue)].into(),
        services: vec![ServicePolicy {
            name: SERVICE.to_owned(),
        }],
        ..Configuration::default()
    }
}

fn worker_facts(number: usize) -> WorkerFacts {
    WorkerFacts {
        id: Arc::from(format!("i-{number:06}")),
        incarnation: None,
        address: Arc::from(format!("10.0.{}.{}:80", number / 250, number % 250)),
        service: Arc::from(SERVICE),
        machine: None,
        data_centre: Arc::from(""),
        rack: Some(Arc::from(format!("r{}", number / 20))),
        labels: Vec::new(),
        capacity: Resources::new(64_000, 256_000, 0),
        is_draining: false,
        departs_at_clock_ms: None,
    }
}

fn job_record() -> Box<JobRecord> {
    let step = StepSpec {
        tasks_count: TASKS_PER_JOB_COUNT,
        demand: Resources::new(16_000, 2_000, 0),
        estimate_ms: RUN_MS,
        ..StepSpec::default()
    };
    Box::new(JobRecord {
        queue: QUEUE.to_owned(),
        service: SERVICE.to_owned(),
        accepted_ms: 0,
        spec: JobSpec {
            payload: "work".to_owned(),
            steps: vec![step],
            schedule: None,
        },
        customer: None,
        policy: None,
    })
}

fn run_load(workers_count: usize, starts_per_s: u64, advice: Option<AdvicePolicy>) -> Cost {
    let mut cell = Cell::new(workers_count, advice);
    let began_ms = cell.now_ms;
    let mut jobs_count = 0;
    let mut warm_up = Cost::default();
    for ticks_count in 0..(WARM_UP_MS + LOAD_MS) / TICK_MS {
        let at_ms = began_ms + ticks_count * TICK_MS;
        cell.run_until(at_ms);
        cell.handle(Event::Tick);
        let due_count = (at_ms - began_ms) * starts_per_s / 1000 / u64::from(TASKS_PER_JOB_COUNT);
        while jobs_count < due_count {
            jobs_count += 1;
            let (job, record) = (JobId::new(jobs_count), job_record());
            cell.handle(Event::JobAccepted { job, record });
        }
        if at_ms - began_ms < WARM_UP_MS {
            warm_up = cell.cost;
        }
    }
    let all = cell.cost;
    Cost {
        processor_time_ns: all.processor_time_ns - warm_up.processor_time_ns,
        runs_count: all.runs_count - warm_up.runs_count,
        allocations_count: all.allocations_count - warm_up.allocations_count,
        committed_bytes: all.committed_bytes - warm_up.committed_bytes,
        calls_count: all.calls_count - warm_up.calls_count,
    }
}

fn main() {
    let advice = AdvicePolicy {
        decision_ms: 5.6,
        per_worker_ms: 0.08,
        validity: Duration::from_ms(2500),
    };
    println!("| workers | starts/s | advice | us/run | allocations/run | committed bytes/run | calls/run |");
    println!("|---|---|---|---|---|---|---|");
    for workers_count in [1_100, 3_000] {
        for starts_per_s in [100, 250, 500] {
            for (name, policy) in [("no", None), ("yes", Some(advice))] {
                let costs =
                    (0..REPETITIONS_COUNT).map(|_| run_load(workers_count, starts_per_s, policy));
                let cost = costs
                    .min_by_key(|cost| cost.processor_time_ns)
                    .unwrap_or_default();
                let each = |sum: u64| sum as f64 / cost.runs_count.max(1) as f64;
                println!(
                    "| {workers_count} | {starts_per_s} | {name} | {:.1} | {:.1} | {:.0} | {:.2} |",
                    each(cost.processor_time_ns) / 1000.0,
                    each(cost.allocations_count),
                    each(cost.committed_bytes),
                    each(cost.calls_count),
                );
            }
        }
    }
}

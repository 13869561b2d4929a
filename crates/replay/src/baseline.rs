//! The baseline policy: first fit in order of arrival, without shares, priorities or caps. A
//! task that fits on no worker blocks all tasks behind it.

use crate::measurements::Measurements;
use crate::report::ReplayReport;
use crate::trace::{TaskArrival, Trace, TraceStep};
use ospreywing_types::{Name, Resources};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

struct Worker {
    resources: Resources,
    free: Resources,
    incarnation: u64,
    is_up: bool,
    running: BTreeMap<u64, QueuedTask>,
}

#[derive(Clone)]
struct QueuedTask {
    arrival: TaskArrival,
    at_ms: u64,
    has_started: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TaskEnd {
    at_ms: u64,
    worker: Name,
    incarnation: u64,
    run_id: u64,
}

struct FirstFit {
    workers: BTreeMap<Name, Worker>,
    queue: VecDeque<QueuedTask>,
    ends: BinaryHeap<Reverse<TaskEnd>>,
    measurements: Measurements,
    report: ReplayReport,
    now_ms: u64,
    next_run_id: u64,
    ended_count: u64,
}

/// Replays `trace` with first fit in arrival order and returns the measurements.
pub fn replay_first_fit(trace: &Trace) -> ReplayReport {
    let mut replayer = FirstFit {
        workers: BTreeMap::new(),
        queue: VecDeque::new(),
        ends: BinaryHeap::new(),
        measurements: Measurements::new(),
        report: ReplayReport::default(),
        now_ms: 0,
        next_run_id: 0,
        ended_count: 0,
    };
    for event in &trace.events {
        replayer.run_until(event.at_ms);
        replayer.handle_step(&event.step);
        replayer.place();
    }
    while let Some(at_ms) = replayer.ends.peek().map(|end| end.0.at_ms) {
        replayer.run_until(at_ms);
    }
    replayer.report.lost = replayer.report.tasks - replayer.ended_count;
    replayer.measurements.fill_report(&mut replayer.report);
    replayer.report
}

impl FirstFit {
    fn run_until(&mut self, until_ms: u64) {
        while self.ends.peek().is_some_and(|end| end.0.at_ms <= until_ms) {
            let Some(Reverse(end)) = self.ends.pop() else {
                break;
            };
            self.advance(end.at_ms);
            self.end_task(&end);
            self.place();
        }
        self.advance(until_ms);
    }

    fn advance(&mut self, at_ms: u64) {
        self.measurements.advance(at_ms);
        self.now_ms = self.now_ms.max(at_ms);
    }

    fn end_task(&mut self, end: &TaskEnd) {
        let Some(worker) = self.workers.get_mut(&end.worker) else {
            return;
        };
        if worker.incarnation != end.incarnation {
            return;
        }
        if let Some(task) = worker.running.remove(&end.run_id) {
            let need = task.arrival.resources;
            worker.free += need;
            self.measurements.remove_used(&need);
            self.measurements.remove_demand(&need);
            self.ended_count += 1;
        }
    }

    fn handle_step(&mut self, step: &TraceStep) {
        match step {
            TraceStep::Worker {
                name, resources, ..
            } => {
                let worker = Worker {
                    resources: *resources,
                    free: *resources,
                    incarnation: 0,
                    is_up: true,
                    running: BTreeMap::new(),
                };
                self.workers.insert(name.clone(), worker);
                self.measurements.add_worker(resources);
            }
            TraceStep::Task(arrival) => {
                self.report.tasks += 1;
                self.measurements.add_demand(&arrival.resources);
                self.queue.push_back(QueuedTask {
                    arrival: arrival.clone(),
                    at_ms: self.now_ms,
                    has_started: false,
                });
            }
            TraceStep::Lost(name) => self.lose_worker(name),
            TraceStep::Back(name) => self.restore_worker(name),
        }
    }

    fn lose_worker(&mut self, name: &Name) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.is_up = false;
        worker.incarnation += 1;
        let running = core::mem::take(&mut worker.running);
        let resources = worker.resources;
        self.measurements.remove_worker(&resources);
        for task in running.into_values() {
            self.measurements.remove_used(&task.arrival.resources);
            self.report.restarted += 1;
            self.queue.push_front(task);
        }
    }

    fn restore_worker(&mut self, name: &Name) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.is_up = true;
            worker.free = worker.resources;
            let resources = worker.resources;
            self.measurements.add_worker(&resources);
        }
    }

    fn place(&mut self) {
        while let Some(first) = self.queue.front() {
            let need = first.arrival.resources;
            let began = std::time::Instant::now();
            let fits = |worker: &&mut Worker| worker.is_up && need.fits_in(&worker.free);
            let mut workers = self.workers.iter_mut();
            let found = workers.find(|(_, worker)| fits(worker));
            let elapsed = began.elapsed();
            let Some((name, worker)) = found else { return };
            let Some(mut task) = self.queue.pop_front() else {
                return;
            };
            self.measurements.record_decisions(elapsed, 1);
            self.next_run_id += 1;
            worker.free -= need;
            self.measurements.add_used(&need);
            if !task.has_started {
                task.has_started = true;
                let waited_ms = self.now_ms - task.at_ms;
                self.measurements.record_wait(&task.arrival.row, waited_ms);
            }
            self.ends.push(Reverse(TaskEnd {
                at_ms: self.now_ms + task.arrival.duration_ms,
                worker: name.clone(),
                incarnation: worker.incarnation,
                run_id: self.next_run_id,
            }));
            worker.running.insert(self.next_run_id, task);
        }
    }
}

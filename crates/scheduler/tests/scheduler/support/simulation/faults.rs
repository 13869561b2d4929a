//! Faults: when they are drawn, and their effects.

use super::{Message, Simulation, LEADER_LEASE_MS};
use crate::support::step;
use crate::support::worker::FakeWorker;
use ospreywing_scheduler::{Event, TaskKey};
use rand::Rng;
use std::collections::HashMap;

/// How long a worker is listed after its incarnation is over, alongside its machine's next one.
const LISTED_AFTER_END_MS: core::ops::Range<u64> = 500..9_000;
/// How long a draining worker stays.
const DRAIN_MS: core::ops::Range<u64> = 2_000..5_000;
/// How long the store is degraded.
const STORE_DEGRADED_MS: core::ops::Range<u64> = 1_000..6_000;
/// How often a degraded store recovers with a new leader, in thousandths, in simulations with
/// takeovers.
const DEGRADATION_ENDS_TERM_PER_MILLE: u32 = 500;
/// How soon after the start of such a term a worker is partitioned, and for how long.
const EARLY_PARTITION_AFTER_MS: core::ops::Range<u64> = 20..800;
const EARLY_PARTITION_MS: core::ops::Range<u64> = 3_000..9_000;
/// How long a worker that a task has crashed is down: some leases expire before it is back.
const CRASH_DOWNTIME_MS: core::ops::Range<u64> = 2_000..8_000;
/// How long a worker's capacity stays reduced, and the delay after which its entry follows.
const RESIZED_MS: core::ops::Range<u64> = 1_000..9_000;
const ENTRY_DELAY_MS: core::ops::Range<u64> = 100..1_500;
/// How long a worker is down that starts again under its id, the start that it then reports,
/// and what its clock then shows when the simulation's is at 0: less or more than before.
const RESTART_DOWNTIME_MS: core::ops::Range<u64> = 20..3_000;
const WALL_MS: core::ops::Range<u64> = 1_000_000..9_000_000;
const CLOCK_BASE_MS: core::ops::Range<u64> = 0..60_000;
/// How long a leader is paused. If longer than its lease, another leader is elected.
const PAUSE_MS: core::ops::Range<u64> = 200..4_000;

/// The range of customers' limits, in tasks of [`step`]; the largest gang fits the lowest.
const LIMIT_TASKS_COUNT: core::ops::Range<u32> = 4..14;

impl Simulation {
    /// Crashes these workers at once; replacements start after a while.
    pub fn crash_workers(&mut self, workers: &[usize]) {
        for &worker in workers {
            if let Some(listed_ms) = self.end_incarnation(worker) {
                self.post(listed_ms, Message::ListWorkers);
                let downtime_ms = self.rng.random_range(CRASH_DOWNTIME_MS);
                self.post(downtime_ms, Message::StartReplacement { worker });
            }
        }
    }

    pub(super) fn inject_faults(&mut self) {
        if self.now_ms < self.last_faults_at_ms + 100 {
            return;
        }
        self.last_faults_at_ms = self.now_ms;
        let index = self.rng.random_range(0..self.workers.len());
        if self.draw_fault(self.faults.crash) {
            self.replace_worker(index);
        }
        if self.draw_fault(self.faults.partition) {
            let duration_ms = self.rng.random_range(500..9_000);
            self.partition(index, duration_ms);
        }
        if self.draw_fault(self.faults.takeover) {
            self.elect();
        }
        if self.draw_fault(self.faults.degraded_store) && !self.is_store_degraded {
            self.is_store_degraded = true;
            self.send_to_leaders(Event::StoreDegraded(true));
            let duration_ms = self.rng.random_range(STORE_DEGRADED_MS);
            self.post(duration_ms, Message::EndStoreDegradation);
        }
        if self.faults.lost_history > 0 && self.draw_fault(self.faults.lost_history) {
            self.lose_history();
        }
        if self.faults.pause > 0 && self.draw_fault(self.faults.pause) {
            self.pause_leader();
        }
        if self.faults.stale_entry > 0 && self.draw_fault(self.faults.stale_entry) {
            self.relist_ended_worker();
        }
        if self.faults.resize > 0 && self.draw_fault(self.faults.resize) {
            self.shrink_at_random();
        }
        if self.faults.restart > 0 && self.draw_fault(self.faults.restart) {
            let index = self.rng.random_range(0..self.workers.len());
            self.restart(index);
        }
        if self.faults.limit > 0 && self.draw_fault(self.faults.limit) {
            self.change_limits();
        }
        if self.faults.queue > 0 && self.draw_fault(self.faults.queue) {
            self.toggle_queues();
        }
        if self.faults.cordon > 0 && self.draw_fault(self.faults.cordon) {
            self.toggle_cordon();
        }
        let index = self.rng.random_range(0..self.workers.len());
        if self.draw_fault(self.faults.drain) && self.workers[index].is_alive {
            self.workers[index].is_draining = true;
            self.list_workers();
            let duration_ms = self.rng.random_range(DRAIN_MS);
            self.post(duration_ms, Message::ReplaceWorker { worker: index });
        }
    }

    /// Draws a new limit for each customer.
    fn change_limits(&mut self) {
        let mut configuration = self.configuration.clone();
        configuration.version += self.rng.random_range(1..5);
        // Sorted by name, so that a seed always gives the same limits.
        let mut customers: Vec<_> = configuration.customers.values_mut().collect();
        customers.sort_by(|one, other| one.name.cmp(&other.name));
        for customer in customers {
            let tasks_count = self.rng.random_range(LIMIT_TASKS_COUNT);
            customer.limit = step(1).demand.times(tasks_count);
        }
        self.configure(configuration);
    }

    /// Removes all queues, or adds them again.
    fn toggle_queues(&mut self) {
        let mut configuration = self.configuration.clone();
        configuration.version += 1;
        configuration.queues = if configuration.queues.is_empty() {
            self.accepting_configuration.queues.clone()
        } else {
            HashMap::new()
        };
        self.configure(configuration);
    }

    /// Cordons the data centre of a random worker, or lifts its cordon.
    fn toggle_cordon(&mut self) {
        let index = self.rng.random_range(0..self.workers.len());
        let data_centre = self.workers[index].data_centre.clone();
        self.cordon_rule.toggle(self.now_ms, data_centre);
        self.send_to_leaders(Event::CordonsListed(self.cordon_rule.data_centres()));
    }

    /// Lists a worker again whose incarnation was over before.
    fn relist_ended_worker(&mut self) {
        let index = self.rng.random_range(0..self.workers.len());
        if self.workers[index].is_alive {
            return;
        }
        let listed_ms = self.rng.random_range(LISTED_AFTER_END_MS);
        self.workers[index].listed_until_ms = self.now_ms + listed_ms;
        self.list_workers();
        self.post(listed_ms, Message::ListWorkers);
    }

    /// Pauses the leader for a while; its clock keeps running.
    fn pause_leader(&mut self) {
        let duration_ms = self.rng.random_range(PAUSE_MS);
        let Some(leader) = self.leaders.last_mut().filter(|l| !l.is_paused) else {
            return;
        };
        leader.is_paused = true;
        let term = leader.fence;
        self.post(duration_ms, Message::ResumeLeader { term });
        if duration_ms >= LEADER_LEASE_MS {
            self.elect();
        }
    }

    /// Has a leader handle in one batch the events that arrived while it was paused.
    pub(super) fn resume_leader(&mut self, term: u64) {
        let Some(leader) = self.leaders.iter_mut().find(|l| l.fence == term) else {
            return;
        };
        leader.is_paused = false;
        let events = core::mem::take(&mut leader.backlog);
        self.send_batch_to_leader(term, events);
    }

    fn shrink_at_random(&mut self) {
        let worker = self.rng.random_range(0..self.workers.len());
        let duration_ms = self.rng.random_range(RESIZED_MS);
        let per_mille = self.rng.random_range(0..1000);
        self.resize(worker, per_mille);
        let per_mille = 1000;
        self.post(duration_ms, Message::Resize { worker, per_mille });
    }

    pub(super) fn end_store_degradation(&mut self) {
        self.is_store_degraded = false;
        if self.faults.takeover > 0 && self.draw_fault(DEGRADATION_ENDS_TERM_PER_MILLE) {
            self.elect();
            if self.faults.partition > 0 {
                let worker = self.rng.random_range(0..self.workers.len());
                let duration_ms = self.rng.random_range(EARLY_PARTITION_MS);
                let after_ms = self.rng.random_range(EARLY_PARTITION_AFTER_MS);
                self.post(
                    after_ms,
                    Message::Partition {
                        worker,
                        duration_ms,
                    },
                );
            }
        }
        self.send_to_leaders(Event::StoreDegraded(false));
    }

    /// Partitions a worker from the leaders for a while.
    pub(super) fn partition(&mut self, index: usize, duration_ms: u64) {
        self.workers[index].is_partitioned = true;
        self.post(duration_ms, Message::Heal { worker: index });
    }

    /// Ends a worker's incarnation and starts its machine's next one under a new id.
    pub(super) fn replace_worker(&mut self, index: usize) {
        if let Some(listed_ms) = self.end_incarnation(index) {
            self.start_replacement(index);
            self.post(listed_ms, Message::ListWorkers);
        }
    }

    /// Crashes a worker and starts it again under its id after a while.
    pub fn restart(&mut self, index: usize) {
        if let Some(listed_ms) = self.end_incarnation(index) {
            self.post(listed_ms, Message::ListWorkers);
            let downtime_ms = self.rng.random_range(RESTART_DOWNTIME_MS);
            self.post(downtime_ms, Message::StartNextIncarnation { worker: index });
        }
    }

    /// Starts the next incarnation of a worker that crashed, under its id. The wall clock,
    /// which gives the start that it reports, may have been set back or ahead meanwhile.
    pub(super) fn start_next_incarnation(&mut self, index: usize) {
        let wall_ms = self.rng.random_range(WALL_MS);
        let clock_base_ms = self.rng.random_range(CLOCK_BASE_MS);
        self.workers[index].restart(wall_ms, clock_base_ms);
        let worker = &self.workers[index];
        self.trace
            .print_incarnation(self.now_ms, worker, "starts its next incarnation");
        let after_ms = self.rng.random_range(ENTRY_DELAY_MS);
        self.post(after_ms, Message::WriteEntry { worker: index });
    }

    pub(super) fn write_entry(&mut self, index: usize) {
        self.workers[index].write_entry();
        self.list_workers();
    }

    /// Crashes a worker by a task that started there; the worker is back after a while.
    pub(super) fn crash_by_task(&mut self, index: usize, task: TaskKey) {
        let runs = self.workers[index].runs.keys();
        let others = runs.filter(|other| other.step.job != task.step.job);
        self.other_runs_lost_count += others.count();
        if let Some(listed_ms) = self.end_incarnation(index) {
            self.rules.record_worker_crash(task);
            self.post(listed_ms, Message::ListWorkers);
            let downtime_ms = self.rng.random_range(CRASH_DOWNTIME_MS);
            let back = match self.keeps_ids {
                true => Message::StartNextIncarnation { worker: index },
                false => Message::StartReplacement { worker: index },
            };
            self.post(downtime_ms, back);
        }
    }

    /// Ends a worker's incarnation; returns for how long it is still listed.
    fn end_incarnation(&mut self, index: usize) -> Option<u64> {
        if !core::mem::replace(&mut self.workers[index].is_alive, false) {
            return None;
        }
        self.rules.record_worker_loss(&self.workers[index]);
        let worker = &self.workers[index];
        self.trace.print_incarnation(self.now_ms, worker, "is lost");
        let listed_ms = self.rng.random_range(LISTED_AFTER_END_MS);
        self.workers[index].listed_until_ms = self.now_ms + listed_ms;
        Some(listed_ms)
    }

    /// Changes a worker's capacity; its entry follows after a delay.
    pub(super) fn resize(&mut self, index: usize, per_mille: u32) {
        let now_ms = self.now_ms;
        self.workers[index].resize(now_ms, per_mille);
        let after_ms = self.rng.random_range(ENTRY_DELAY_MS);
        self.post(after_ms, Message::ListWorkers);
    }

    /// Starts the next incarnation of the machine of a worker that is gone, under an id that
    /// sorts before or after the previous one.
    pub(super) fn start_replacement(&mut self, index: usize) {
        let (id, address) = (&self.workers[index].id, self.workers[index].address.clone());
        let rack = self.workers[index].rack.clone();
        let data_centre = self.workers[index].data_centre.clone();
        // Both characters have codes that are multiples of 12, so that a worker that is
        // suitable for a job remains so.
        let fresh = match self.rng.random() {
            true => format!("${id}"),
            false => format!("{id}<"),
        };
        let mut next = FakeWorker::new(&fresh, 990);
        next.address = address;
        next.data_centre = data_centre;
        next.rack = rack;
        next.set_capacity(self.workers[index].full_capacity);
        next.ignores_foreign_acks = self.workers[index].ignores_foreign_acks;
        if self.workers[index].incarnation.is_some() {
            next.set_incarnation_start(self.rng.random_range(WALL_MS));
        }
        self.workers.push(next);
        self.list_workers();
    }
}

//! A fake worker that runs every start it receives and records what ran.

use ospreywing_types::worker::{Ended, Report};
use ospreywing_types::{AttemptId, Instant, Resources, TaskEnd};
use std::collections::BTreeMap;

/// A running attempt.
#[derive(Clone, Debug)]
pub struct Running {
    pub attempt: AttemptId,
    pub resources: Resources,
    pub lease_until: Instant,
}

/// A fake worker.
pub struct BoxFake {
    pub incarnation: u64,
    pub capacity: Resources,
    pub running: Vec<Running>,
    pub ended: BTreeMap<AttemptId, TaskEnd>,
    pub is_frozen: bool,
    pub is_dead: bool,
    /// Every attempt that was ever started on this worker.
    pub started: Vec<AttemptId>,
    pub finished: Vec<AttemptId>,
}

impl BoxFake {
    pub fn new(incarnation: u64, capacity: Resources) -> Self {
        Self {
            incarnation,
            capacity,
            running: Vec::new(),
            ended: BTreeMap::new(),
            is_frozen: false,
            is_dead: false,
            started: Vec::new(),
            finished: Vec::new(),
        }
    }

    pub fn is_awake(&self) -> bool {
        !self.is_frozen && !self.is_dead
    }

    /// Starts an attempt without any check.
    pub fn start(&mut self, running: Running) {
        self.started.push(running.attempt);
        self.running.push(running);
    }

    /// Ends the attempts with an expired lease and returns them.
    pub fn expire_leases(&mut self, now: Instant) -> Vec<Ended> {
        let (expired, kept) = self
            .running
            .drain(..)
            .partition(|running| running.lease_until <= now);
        self.running = kept;
        let expired: Vec<Running> = expired;
        expired
            .into_iter()
            .map(|running| self.record_end(running.attempt, TaskEnd::LeaseLapsed))
            .collect()
    }

    fn record_end(&mut self, attempt: AttemptId, end: TaskEnd) -> Ended {
        self.ended.insert(attempt, end.clone());
        Ended { attempt, end }
    }

    pub fn finish(&mut self, index: usize, is_good: bool) -> Option<Ended> {
        if self.running.is_empty() {
            return None;
        }
        let running = self.running.remove(index % self.running.len());
        let end = if is_good {
            self.finished.push(running.attempt);
            TaskEnd::Finished("result".to_owned())
        } else {
            TaskEnd::Failed("fault".to_owned())
        };
        Some(self.record_end(running.attempt, end))
    }

    pub fn stop(&mut self, attempt: AttemptId) -> Option<Ended> {
        let index = self.running.iter().position(|r| r.attempt == attempt)?;
        self.running.remove(index);
        Some(self.record_end(attempt, TaskEnd::Stopped))
    }

    pub fn renew(&mut self, attempts: &[AttemptId], until: Instant) {
        for running in &mut self.running {
            if attempts.contains(&running.attempt) {
                running.lease_until = until;
            }
        }
    }

    /// Starts a new incarnation without any attempt of the old one.
    pub fn restart(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.running.clear();
        self.ended.clear();
        self.is_frozen = false;
    }

    pub fn report(&self) -> Report {
        let ended = self.ended.iter().map(|(&attempt, end)| Ended {
            attempt,
            end: end.clone(),
        });
        Report {
            incarnation: self.incarnation,
            running: self.running.iter().map(|r| r.attempt).collect(),
            ended: ended.collect(),
        }
    }

    /// Iterates over the attempts that run at `now`; an attempt with an expired
    /// lease does not count, even on a frozen box, which has not ended it yet.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Running> {
        let runs = self.running.iter().filter(|_| !self.is_dead);
        runs.filter(move |running| running.lease_until > now)
    }
}

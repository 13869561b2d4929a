//! The command `report delays`: reports the delays of jobs by queue, from the logs of the
//! nodes.
//!
//! The time from a job's acceptance until it is shown as complete is split into consecutive
//! parts that add up to the total. A job is late if that time exceeds its objective, which
//! the leader computes from the estimates of the client.

use crate::input::read_text;
use crate::print::{columns, print, Format};
use crate::CliError;
use clap::ArgMatches;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The parts of a job's total time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Delays {
    /// From acceptance until the leader received the job.
    pub handing_over_ms: u64,
    /// Steps waited for a response of the adviser.
    pub advice_ms: u64,
    /// Steps waited for free capacity or for their turn.
    pub room_ms: u64,
    /// Starts waited for their commit to the store.
    pub record_ms: u64,
    /// Tasks were sent to their workers, ran, or had ended without the leader knowing yet.
    pub running_ms: u64,
    /// The outcome waited for its commit to the store.
    pub outcome_ms: u64,
}

impl Delays {
    /// Returns the sum of all parts.
    pub const fn total_ms(&self) -> u64 {
        self.handing_over_ms
            + self.advice_ms
            + self.room_ms
            + self.record_ms
            + self.running_ms
            + self.outcome_ms
    }

    fn add(&mut self, other: &Self) {
        self.handing_over_ms += other.handing_over_ms;
        self.advice_ms += other.advice_ms;
        self.room_ms += other.room_ms;
        self.record_ms += other.record_ms;
        self.running_ms += other.running_ms;
        self.outcome_ms += other.outcome_ms;
    }

    const fn divided_by(&self, count: u64) -> Self {
        Self {
            handing_over_ms: self.handing_over_ms / count,
            advice_ms: self.advice_ms / count,
            room_ms: self.room_ms / count,
            record_ms: self.record_ms / count,
            running_ms: self.running_ms / count,
            outcome_ms: self.outcome_ms / count,
        }
    }
}

/// The delays of the jobs of one queue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct QueueDelays {
    /// The name of the queue.
    pub queue: String,
    /// Jobs that were shown as complete within their objective.
    pub in_time_count: u64,
    /// Jobs that were shown as complete after their objective.
    pub late_count: u64,
    /// Jobs without a line in the logs that shows them as complete.
    pub open_count: u64,
    /// Runs that did not end successfully.
    pub lost_runs_count: u64,
    /// The mean parts of the jobs that were shown as complete.
    pub mean: Delays,
    /// The mean parts of the late jobs.
    pub mean_late: Delays,
}

/// The fields of a log line that the report needs.
#[derive(Deserialize)]
struct LogLine {
    msg: String,
    wall_ms: u64,
    #[serde(default)]
    job: String,
    #[serde(default)]
    task: String,
    #[serde(default)]
    queue: String,
    #[serde(default)]
    reason: String,
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    figure: u64,
}

/// Wall-clock times of the events of one step; 0 if the event is not in the logs.
#[derive(Clone, Copy, Debug, Default)]
struct StepTimes {
    placed_ms: u64,
    sent_ms: u64,
    ended_ms: u64,
}

/// Wall-clock times of the events of one job.
#[derive(Debug, Default)]
struct JobTimes {
    queue: String,
    objective_ms: u64,
    accepted_ms: Option<u64>,
    received_ms: Option<u64>,
    shown_ms: Option<u64>,
    /// Start and end of each call to the adviser.
    advice_calls: Vec<(u64, u64)>,
    advice_requested_ms: Option<u64>,
    steps: BTreeMap<String, StepTimes>,
    lost_runs_count: u64,
}

impl JobTimes {
    fn record_line(&mut self, line: &LogLine) {
        let at_ms = line.wall_ms;
        match line.msg.as_str() {
            "job answered" if line.outcome == "accepted" => {
                self.accepted_ms.get_or_insert(at_ms);
            }
            "job taken" => {
                self.received_ms.get_or_insert(at_ms);
                self.queue.clone_from(&line.queue);
                self.objective_ms = line.figure;
            }
            "advice asked" => self.advice_requested_ms = Some(at_ms),
            "advice answered" => {
                if let Some(advice_requested_ms) = self.advice_requested_ms.take() {
                    self.advice_calls.push((advice_requested_ms, at_ms));
                }
            }
            "placed" => self.step(&line.task).placed_ms = at_ms,
            "start sent" => self.step(&line.task).sent_ms = at_ms,
            "run ended" => {
                self.step(&line.task).ended_ms = at_ms;
                self.lost_runs_count += u64::from(line.reason != "done");
            }
            "job ended" if line.reason == "shown" => {
                self.shown_ms.get_or_insert(at_ms);
            }
            _ => {}
        }
    }

    /// Returns the times of the step that `task` belongs to, and adds the step if needed.
    fn step(&mut self, task: &str) -> &mut StepTimes {
        let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
        self.steps.entry(step.to_owned()).or_default()
    }

    /// Returns how long calls to the adviser were open between `from_ms` and `until_ms`.
    fn advice_calls_ms(&self, from_ms: u64, until_ms: u64) -> u64 {
        let overlaps = self
            .advice_calls
            .iter()
            .map(|(advice_requested_ms, answered_ms)| {
                let start_ms = (*advice_requested_ms).max(from_ms);
                (*answered_ms).min(until_ms).saturating_sub(start_ms)
            });
        overlaps.sum::<u64>().min(until_ms - from_ms)
    }

    /// Returns the parts of the job's time, or `None` if it was not shown as complete.
    fn delays(&self) -> Option<Delays> {
        let accepted_ms = self.accepted_ms.or(self.received_ms)?;
        let shown_ms = self.shown_ms?;
        let mut delays = Delays::default();
        let mut at_ms = accepted_ms;
        let mut advance = |to_ms: u64| {
            // The wall clocks of two nodes may differ slightly.
            let to_ms = to_ms.clamp(at_ms, shown_ms.max(at_ms));
            let from_ms = core::mem::replace(&mut at_ms, to_ms);
            (from_ms, to_ms)
        };
        let (from_ms, to_ms) = advance(self.received_ms.unwrap_or(accepted_ms));
        delays.handing_over_ms = to_ms - from_ms;
        let mut steps: Vec<&StepTimes> = self.steps.values().collect();
        steps.sort_by_key(|step| step.ended_ms);
        for step in steps {
            let (from_ms, to_ms) = advance(step.placed_ms);
            let advice_ms = self.advice_calls_ms(from_ms, to_ms);
            delays.advice_ms += advice_ms;
            delays.room_ms += to_ms - from_ms - advice_ms;
            let (from_ms, to_ms) = advance(step.sent_ms);
            delays.record_ms += to_ms - from_ms;
            let (from_ms, to_ms) = advance(step.ended_ms);
            delays.running_ms += to_ms - from_ms;
        }
        let (from_ms, to_ms) = advance(shown_ms);
        delays.outcome_ms = to_ms - from_ms;
        Some(delays)
    }
}

/// Computes the delays of all jobs in `logs`, by queue. Lines that can't be parsed are
/// skipped.
pub fn delays_by_queue<'a>(logs: impl IntoIterator<Item = &'a str>) -> Vec<QueueDelays> {
    let mut lines: Vec<LogLine> = logs
        .into_iter()
        .flat_map(str::lines)
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect();
    lines.sort_by_key(|line| line.wall_ms);
    let mut jobs: BTreeMap<String, JobTimes> = BTreeMap::new();
    for line in &lines {
        let id = if line.job.is_empty() {
            line.task.split('.').next().unwrap_or_default()
        } else {
            &line.job
        };
        if !id.is_empty() {
            jobs.entry(id.to_owned()).or_default().record_line(line);
        }
    }
    let mut queues: BTreeMap<&str, QueueDelays> = BTreeMap::new();
    // A job that was cancelled before a leader received it has no queue.
    for job in jobs.values().filter(|job| !job.queue.is_empty()) {
        add_job(queues.entry(&job.queue).or_default(), job);
    }
    queues.into_values().map(with_means).collect()
}

fn add_job(queue: &mut QueueDelays, job: &JobTimes) {
    queue.queue.clone_from(&job.queue);
    queue.lost_runs_count += job.lost_runs_count;
    let Some(delays) = job.delays() else {
        queue.open_count += 1;
        return;
    };
    queue.mean.add(&delays);
    if delays.total_ms() > job.objective_ms {
        queue.late_count += 1;
        queue.mean_late.add(&delays);
    } else {
        queue.in_time_count += 1;
    }
}

fn with_means(mut queue: QueueDelays) -> QueueDelays {
    let shown_count = queue.in_time_count + queue.late_count;
    queue.mean = queue.mean.divided_by(shown_count.max(1));
    queue.mean_late = queue.mean_late.divided_by(queue.late_count.max(1));
    queue
}

fn table_line(name: String, jobs_count: u64, delays: &Delays) -> Vec<String> {
    let numbers = [
        jobs_count,
        delays.total_ms(),
        delays.handing_over_ms,
        delays.advice_ms,
        delays.room_ms,
        delays.record_ms,
        delays.running_ms,
        delays.outcome_ms,
    ];
    let cells = numbers.iter().map(u64::to_string);
    core::iter::once(name).chain(cells).collect()
}

fn to_text(queues: &[QueueDelays]) -> String {
    let heading = [
        "queue",
        "jobs",
        "ms",
        "handing over",
        "advice",
        "room",
        "record",
        "running",
        "outcome",
    ];
    let mut lines = Vec::new();
    for queue in queues {
        let shown_count = queue.in_time_count + queue.late_count;
        lines.push(table_line(queue.queue.clone(), shown_count, &queue.mean));
        let late = format!("  late of these ({} open)", queue.open_count);
        lines.push(table_line(late, queue.late_count, &queue.mean_late));
    }
    columns(&heading, &lines)
}

/// Runs `report delays`: prints the delays of all jobs in the logs.
pub(crate) fn run(format: Format, matches: &ArgMatches) -> Result<(), CliError> {
    let paths = matches.get_many::<String>("log").into_iter().flatten();
    let logs: Result<Vec<String>, CliError> = paths.map(|path| read_text(path)).collect();
    let queues = delays_by_queue(logs?.iter().map(String::as_str));
    print(format, &queues, || to_text(&queues));
    Ok(())
}

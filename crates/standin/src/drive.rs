//! Load driver: sends the requests and tasks of both deployments to all daemons and
//! checks every answer.

use crate::minion::MinionReply;
use hdrhistogram::Histogram;
use http::Method;
use ospreywing_http::{Answer, Call, HttpClient, HttpError};
use ospreywing_types::api::{Refusal, SubmitTask, OUTCOME, REQUEST_KEY};
use ospreywing_types::peer::TaskStatus;
use ospreywing_types::{Key, Name, Resources, TaskPhase, TaskSpec};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The configuration of the load driver.
#[derive(Clone, Debug)]
pub struct DriveConfig {
    /// `IP:port` of the daemons.
    pub daemons: Vec<String>,
    /// How long requests and tasks are sent.
    pub duration: Duration,
    /// Requests per second.
    pub rate_per_s: u32,
    /// The number of tasks, submitted evenly over the duration.
    pub tasks_count: u32,
    /// How long a task may take to finish after its submission.
    pub finish_timeout: Duration,
    /// The interval of status polls for each task.
    pub status_interval: Duration,
    /// The seed of the random numbers.
    pub seed: u64,
    /// Part of every key, so that separate runs of the driver don't share keys.
    pub run_name: String,
}

/// The outcomes of the requests and tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DriveReport {
    /// Tasks that a daemon acknowledged as recorded.
    pub tasks_submitted: u64,
    /// Tasks that finished with the expected result.
    pub tasks_finished: u64,
    /// Tasks that were never accepted.
    pub tasks_refused: u64,
    /// Tasks that are unsafe to repeat and whose end is unknown.
    pub tasks_unknown: u64,
    /// Requests sent.
    pub requests_sent: u64,
    /// Requests with the correct and complete answer.
    pub requests_done: u64,
    /// Requests with an answer that doesn't match the request.
    pub requests_wrong: u64,
    /// Requests that got no final answer before the timeout.
    pub requests_not_run: u64,
    /// Requests whose outcome the daemon doesn't know.
    pub requests_unknown: u64,
    /// Answers without success that were retried, for requests and tasks.
    pub refusals: u64,
    /// Latency of requests, retries included, in milliseconds.
    pub request_ms: Quantiles,
    /// Latency of task acknowledgements, retries included, in milliseconds.
    pub submit_ms: Quantiles,
}

/// Quantiles of a duration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The maximum.
    pub max: f64,
}

/// A service row that requests are sent to.
struct ServiceRow {
    name: &'static str,
    is_repeatable: bool,
    work_ms: std::ops::Range<u64>,
}

/// A batch row that tasks are submitted to.
struct BatchRow {
    name: &'static str,
    resources: Resources,
    work_ms: std::ops::Range<u64>,
}

const SERVICE_ROWS: [ServiceRow; 2] = [
    ServiceRow {
        name: "seat-check",
        is_repeatable: false,
        work_ms: 5..30,
    },
    ServiceRow {
        name: "thumbnail",
        is_repeatable: true,
        work_ms: 5..40,
    },
];

const BATCH_ROWS: [BatchRow; 4] = [
    BatchRow {
        name: "season-plan",
        resources: Resources::new(8000, 16384, 0),
        work_ms: 1000..4000,
    },
    BatchRow {
        name: "weekly-reshuffle",
        resources: Resources::new(2000, 4096, 0),
        work_ms: 300..1500,
    },
    BatchRow {
        name: "album-render",
        resources: Resources::new(4000, 16384, 1),
        work_ms: 500..3000,
    },
    BatchRow {
        name: "guest-bundle",
        resources: Resources::new(1000, 2048, 0),
        work_ms: 200..1000,
    },
];

/// A caller gives up on a request after this time, over all its calls.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const CALL_TIMEOUT: Duration = Duration::from_secs(12);
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(40);
const RETRY_DELAY: Duration = Duration::from_millis(200);

#[derive(Default)]
struct Tally {
    report: DriveReport,
    request_us: Option<Histogram<u64>>,
    submit_us: Option<Histogram<u64>>,
}

#[derive(Clone)]
struct Caller {
    drive: Arc<DriveConfig>,
    http: HttpClient,
    tally: Arc<Mutex<Tally>>,
}

const IDLE_CONNECTIONS_LIMIT: usize = 64;

/// Sends the load and returns the outcomes.
pub async fn run(drive: DriveConfig) -> DriveReport {
    let caller = Caller {
        http: HttpClient::new(IDLE_CONNECTIONS_LIMIT),
        tally: Arc::new(Mutex::new(Tally::default())),
        drive: Arc::new(drive),
    };
    let requests = tokio::spawn(caller.clone().send_requests());
    let tasks = tokio::spawn(caller.clone().send_tasks());
    let _ = requests.await;
    let _ = tasks.await;
    caller.report()
}

impl Caller {
    fn update_tally(&self, change: impl FnOnce(&mut Tally)) {
        change(&mut self.tally.lock().unwrap_or_else(|e| e.into_inner()));
    }

    fn report(&self) -> DriveReport {
        let tally = self.tally.lock().unwrap_or_else(|e| e.into_inner());
        let mut report = tally.report.clone();
        report.request_ms = quantiles(tally.request_us.as_ref());
        report.submit_ms = quantiles(tally.submit_us.as_ref());
        report
    }

    async fn send_requests(self) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.drive.seed);
        let count = u64::from(self.drive.rate_per_s) * self.drive.duration.as_secs();
        let interval = Duration::from_secs(1) / self.drive.rate_per_s.max(1);
        let mut ticks = tokio::time::interval(interval);
        let mut pending = Vec::new();
        for number in 0..count {
            ticks.tick().await;
            let row = &SERVICE_ROWS[number as usize % SERVICE_ROWS.len()];
            let ms = rng.random_range(row.work_ms.clone());
            let caller = self.clone();
            pending.push(tokio::spawn(async move {
                caller.request(row, number, ms).await;
            }));
        }
        for request in pending {
            let _ = request.await;
        }
    }

    fn daemon(&self, number: u64) -> &str {
        &self.drive.daemons[number as usize % self.drive.daemons.len()]
    }

    /// Sends a request, with the same key on each retry, until a final answer or the
    /// timeout.
    async fn request(&self, row: &ServiceRow, number: u64, ms: u64) {
        let safety = if row.is_repeatable {
            "repeatable"
        } else {
            "unsafe"
        };
        let key = format!("{safety}-{}-{number}", self.drive.run_name);
        let body = format!("{ms} payload-{key}");
        let started_at = Instant::now();
        self.update_tally(|tally| tally.report.requests_sent += 1);
        for attempt in 0.. {
            if started_at.elapsed() >= REQUEST_TIMEOUT {
                self.update_tally(|tally| tally.report.requests_not_run += 1);
                return;
            }
            let path = format!("/v1/call/{}", row.name);
            let call = Call::new(
                Method::POST,
                self.daemon(number + attempt),
                &path,
                CALL_TIMEOUT,
            )
            .with_header(REQUEST_KEY, &key)
            .with_body(body.clone());
            match self.http.call(call).await {
                Ok(answer) if outcome(&answer) == "done" => {
                    self.record_answer(&answer, &key, row, started_at);
                    return;
                }
                Ok(answer) if outcome(&answer) == "not_run" => {
                    self.update_tally(|tally| tally.report.refusals += 1);
                    tokio::time::sleep(retry_after(&answer)).await;
                }
                Ok(_) => {
                    self.update_tally(|tally| tally.report.requests_unknown += 1);
                    return;
                }
                // The daemon is unreachable: retry at the next one, with the same key.
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    fn record_answer(&self, answer: &Answer, key: &str, row: &ServiceRow, started_at: Instant) {
        let reply: Result<MinionReply, HttpError> = answer.json();
        let is_own = reply.is_ok_and(|reply| {
            let is_key = reply.key == key || row.is_repeatable && reply.key.is_empty();
            is_key && reply.row == row.name && reply.text == format!("payload-{key}")
        });
        let took_us = started_at.elapsed().as_micros() as u64;
        self.update_tally(|tally| {
            if is_own {
                tally.report.requests_done += 1;
                record(&mut tally.request_us, took_us);
            } else {
                tally.report.requests_wrong += 1;
            }
        });
    }

    async fn send_tasks(self) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.drive.seed + 1);
        let interval = self.drive.duration / self.drive.tasks_count.max(1);
        let mut pending = Vec::new();
        for number in 0..self.drive.tasks_count {
            let row = &BATCH_ROWS[number as usize % BATCH_ROWS.len()];
            let ms = rng.random_range(row.work_ms.clone());
            let caller = self.clone();
            pending.push(tokio::spawn(async move {
                caller.task(row, u64::from(number), ms).await;
            }));
            tokio::time::sleep(interval).await;
        }
        for task in pending {
            let _ = task.await;
        }
    }

    /// Submits a task and polls its status until it ends or the timeout is reached.
    async fn task(&self, row: &BatchRow, number: u64, ms: u64) {
        let key = format!("task-{}-{number}", self.drive.run_name);
        if !self.submit(row, &key, number, ms).await {
            self.update_tally(|tally| tally.report.tasks_refused += 1);
            return;
        }
        self.update_tally(|tally| tally.report.tasks_submitted += 1);
        let deadline = Instant::now() + self.drive.finish_timeout;
        let mut attempt = number;
        while Instant::now() < deadline {
            tokio::time::sleep(self.drive.status_interval).await;
            attempt += 1;
            let Some(status) = self.status(&key, attempt).await else {
                continue;
            };
            match status.phase {
                TaskPhase::Finished if status.result == Some(format!("result-{key}")) => {
                    self.update_tally(|tally| tally.report.tasks_finished += 1);
                    return;
                }
                TaskPhase::Unknown => {
                    self.update_tally(|tally| tally.report.tasks_unknown += 1);
                    return;
                }
                _ => {}
            }
        }
    }

    async fn submit(&self, row: &BatchRow, key: &str, number: u64, ms: u64) -> bool {
        let (Ok(key), Ok(row_name)) = (Key::new(key), Name::new(row.name)) else {
            return false;
        };
        let task = SubmitTask {
            row: row_name,
            spec: TaskSpec {
                resources: row.resources,
                command: format!("work {ms} result-{key}"),
            },
            key,
        };
        let started_at = Instant::now();
        for attempt in 0.. {
            if started_at.elapsed() >= SUBMIT_TIMEOUT {
                return false;
            }
            let daemon = self.daemon(number + attempt);
            let call = Call::new(Method::POST, daemon, "/v1/tasks", CALL_TIMEOUT).with_json(&task);
            let Ok(call) = call else { return false };
            match self.http.call(call).await {
                Ok(answer) if outcome(&answer) == "done" => {
                    let took_us = started_at.elapsed().as_micros() as u64;
                    self.update_tally(|tally| record(&mut tally.submit_us, took_us));
                    return true;
                }
                Ok(answer) => {
                    self.update_tally(|tally| tally.report.refusals += 1);
                    tokio::time::sleep(retry_after(&answer)).await;
                }
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
        false
    }

    async fn status(&self, key: &str, attempt: u64) -> Option<TaskStatus> {
        let path = format!("/v1/tasks/{key}");
        let call = Call::new(Method::GET, self.daemon(attempt), &path, CALL_TIMEOUT);
        self.http.call(call).await.ok()?.json().ok()
    }
}

fn outcome(answer: &Answer) -> &str {
    answer.header(OUTCOME).unwrap_or_default()
}

fn retry_after(answer: &Answer) -> Duration {
    let refusal: Result<Refusal, HttpError> = answer.json();
    let ms = refusal.ok().and_then(|refusal| refusal.retry_after_ms);
    ms.map_or(RETRY_DELAY, Duration::from_millis)
}

const SIGNIFICANT_DIGITS: u8 = 3;
/// Longer durations are recorded as this value, ten minutes.
const MAX_RECORDED_US: u64 = 600_000_000;

fn record(histogram: &mut Option<Histogram<u64>>, value_us: u64) {
    if histogram.is_none() {
        *histogram = Histogram::new_with_max(MAX_RECORDED_US, SIGNIFICANT_DIGITS).ok();
    }
    if let Some(histogram) = histogram {
        histogram.saturating_record(value_us);
    }
}

fn quantiles(histogram: Option<&Histogram<u64>>) -> Quantiles {
    let Some(histogram) = histogram else {
        return Quantiles::default();
    };
    let ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    Quantiles {
        p50: ms(0.5),
        p99: ms(0.99),
        max: histogram.max() as f64 / 1000.0,
    }
}

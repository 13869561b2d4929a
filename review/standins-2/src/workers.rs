//! Minions by the users' pages. The job's `spec` is the time that each task works, in
//! milliseconds; after the word `fail`, its runs end `failed` then. After `gang` and a number it
//! is a gang of so many members, in a queue with advice.

use crate::record::Record;
use http::StatusCode;
use ospreywing_soak::adviser;
use ospreywing_soak::server::{never_respond, response, serve, FakeRequest, FakeResponse};
use ospreywing_soak::store::Store;
use ospreywing_soak::work::StepName;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// `gangWaitMs`.
const GANG_WAIT_MS: u64 = 3000;
/// `maxHoldMs` and `stopGraceMs`.
const HOLD_LIMIT_MS: u64 = 6000;
const STOP_MS: u64 = 100;
/// Work of this length stands for a task that lasts.
const LASTING_WORK_MS: u64 = 1_000_000;
/// The rough figure of the `cpu` that a run uses.
const USED_CPU: u64 = 500;
/// The most ends in one answer.
const ENDS_LIMIT_COUNT: usize = 500;
/// The workers in a rack, as on the users' sheet.
const RACK_COUNT: usize = 8;
/// The service of all minions but the other ones.
pub const SERVICE: &str = "roster";
/// A service that none of the queues uses.
pub const OTHER_SERVICE: &str = "posting";

/// How many minions there are.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fleet {
    /// Those of kind `a`.
    pub usual_count: usize,
    /// Those of kind `b`.
    pub scarce_count: usize,
    /// Those of the other service.
    pub other_count: usize,
}

impl Fleet {
    /// Returns minions of kind `a` alone.
    pub fn usual(usual_count: usize) -> Self {
        Self {
            usual_count,
            ..Self::default()
        }
    }

    const fn count(&self) -> usize {
        self.usual_count + self.scarce_count + self.other_count
    }
}

struct Run {
    number: u64,
    /// When it ends on the minion's clock; `None` for a member of a gang that waits.
    ends_at_ms: Option<u64>,
    began_ms: u64,
    work: Work,
    is_stopped: bool,
}

impl Run {
    /// Returns how much of the work is done, in percent; a task that lasts is at work at 100.
    fn percent(&self, now_ms: u64) -> u64 {
        let lasts = self.work.fails || self.work.work_ms >= LASTING_WORK_MS;
        match self.ends_at_ms {
            None => 0,
            Some(_) if lasts => 100,
            Some(at_ms) => {
                let left_ms = at_ms.saturating_sub(now_ms);
                100 - (left_ms * 100 / self.work.work_ms.max(1)).min(100)
            }
        }
    }
}

/// What a task does.
#[derive(Clone, Copy, Debug)]
struct Work {
    work_ms: u64,
    fails: bool,
    /// The members of its gang; 0 if it is none.
    members_count: usize,
}

impl Work {
    fn parse(text: &str) -> Option<Self> {
        let words: Vec<&str> = text.split(' ').collect();
        let (fails, members, work) = match words.as_slice() {
            ["fail", work] => (true, "0", work),
            ["gang", members, work] => (false, *members, work),
            [work] => (false, "0", work),
            _ => return None,
        };
        Some(Self {
            work_ms: work.parse().ok()?,
            fails,
            members_count: members.parse().ok()?,
        })
    }
}

/// Returns the step of a task, as on the wire.
fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

struct Life {
    id: String,
    born_at: Instant,
    fence: u64,
    until_ms: u64,
    runs: BTreeMap<String, Run>,
    tombstones: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends_count: u64,
}

struct Slot {
    address: SocketAddr,
    lives_count: u64,
    life: Option<Life>,
}

/// A run as the minions saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// When it began, in milliseconds on the record's clock.
    pub at_ms: u64,
    /// The task, as on the wire.
    pub task: String,
    /// The minion's index.
    pub worker: usize,
    /// How it ended; `None` while it works.
    pub how: Option<&'static str>,
}

#[derive(Default)]
struct Inner {
    slots: Vec<Slot>,
    seen: Vec<Seen>,
    /// The steps and runs of which a task has ended `done`.
    done_gangs: BTreeSet<(String, u64)>,
}

/// The minions.
#[derive(Clone)]
pub struct Workers {
    fleet: Fleet,
    inner: Arc<Mutex<Inner>>,
    store: Store,
    record: Record,
}

impl Life {
    fn now_ms(&self) -> u64 {
        1000 + self.born_at.elapsed().as_millis() as u64
    }

    fn end(&mut self, task: &str, how: &'static str) -> Option<u64> {
        let run = self.runs.remove(task)?;
        let tombstone = self.tombstones.entry(task.to_owned()).or_default();
        *tombstone = run.number.max(*tombstone);
        self.ends_count += 1;
        self.ended
            .push((self.ends_count, task.to_owned(), run.number, how));
        Some(run.number)
    }

    /// Returns the tasks whose runs end now, and how.
    fn due(&self) -> Vec<(String, &'static str)> {
        let now_ms = self.now_ms();
        let how = |run: &Run| match run {
            _ if now_ms >= self.until_ms => Some("lapsed"),
            run if run.ends_at_ms.is_none() => {
                (now_ms >= run.began_ms + GANG_WAIT_MS).then_some("alone")
            }
            run if run.ends_at_ms.is_some_and(|at_ms| now_ms < at_ms) => None,
            run if run.is_stopped => Some("stopped"),
            run if run.work.fails => Some("failed"),
            _ => Some("done"),
        };
        let due = self.runs.iter();
        due.filter_map(|(task, run)| Some((task.clone(), how(run)?)))
            .collect()
    }
}

impl Workers {
    /// Starts minions and lists them in the store.
    pub async fn start(fleet: Fleet, store: &Store, record: &Record) -> Self {
        let workers = Self {
            fleet,
            inner: Arc::default(),
            store: store.clone(),
            record: record.clone(),
        };
        for index in 0..fleet.count() {
            let served = workers.clone();
            let handle = move |request| {
                let workers = served.clone();
                async move { workers.handle(index, request).await }
            };
            let address = serve(handle).await;
            workers.lock().slots.push(Slot {
                address,
                lives_count: 0,
                life: None,
            });
            workers.begin_life(index);
        }
        let swept = workers.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(10)).await;
                swept.sweep();
            }
        });
        workers
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a life with a new id at the minion's address.
    pub fn begin_life(&self, index: usize) {
        let (id, address) = {
            let mut inner = self.lock();
            let slot = &mut inner.slots[index];
            slot.lives_count += 1;
            let id = format!("m{index:02}-{}", slot.lives_count);
            slot.life = Some(Life {
                id: id.clone(),
                born_at: Instant::now(),
                fence: 0,
                until_ms: 0,
                runs: BTreeMap::new(),
                tombstones: BTreeMap::new(),
                ended: Vec::new(),
                ends_count: 0,
            });
            (id, slot.address)
        };
        let zone = ["colombo-a", "colombo-b", "negombo"][index % 3];
        let Fleet {
            usual_count,
            scarce_count,
            ..
        } = self.fleet;
        let (service, kind) = match index {
            index if index < usual_count => (SERVICE, "a"),
            index if index < usual_count + scarce_count => (SERVICE, "b"),
            _ => (OTHER_SERVICE, "a"),
        };
        let entry = json!({
            "service": service, "address": address.to_string(), "zone": zone, "version": "v1",
            "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": 1,
            "machine": format!("h{index:02}"),
            "capacity": { "cpu": 64000, "memMb": 131_072, "gpu": 0 },
            "labels": [kind, format!("r{}", index / RACK_COUNT)],
        });
        self.store.write(&format!("servers/{id}"), &entry);
    }

    /// Returns the runs in progress.
    pub fn runs_count(&self) -> usize {
        let inner = self.lock();
        let lives = inner.slots.iter().filter_map(|slot| slot.life.as_ref());
        lives.map(|life| life.runs.len()).sum()
    }

    /// Returns the runs of a job.
    pub fn seen(&self, job: &str) -> Vec<Seen> {
        let inner = self.lock();
        let seen = inner.seen.iter();
        seen.filter(|seen| seen.task.starts_with(job))
            .cloned()
            .collect()
    }

    fn sweep(&self) {
        let mut inner = self.lock();
        for index in 0..inner.slots.len() {
            self.sweep_slot(&mut inner, index);
        }
        self.sweep_gangs(&mut inner);
    }

    /// Lets gangs whose members are all there begin, and ends those that have lost one.
    fn sweep_gangs(&self, inner: &mut Inner) {
        let mut gangs: BTreeMap<(String, u64), Vec<(usize, String)>> = BTreeMap::new();
        for (index, slot) in inner.slots.iter().enumerate() {
            let runs = slot.life.iter().flat_map(|life| &life.runs);
            for (task, run) in runs.filter(|(_, run)| run.work.members_count > 0) {
                let gang = gangs.entry((step_of(task).to_owned(), run.number));
                gang.or_default().push((index, task.clone()));
            }
        }
        for ((step, number), members) in gangs {
            let mut is_begun = false;
            let mut is_whole = false;
            for (index, task) in &members {
                let run = inner.slots[*index].life.as_mut().and_then(|life| {
                    let now_ms = life.now_ms();
                    Some((now_ms, life.runs.get_mut(task)?))
                });
                let Some((now_ms, run)) = run else { continue };
                is_whole = members.len() == run.work.members_count;
                if is_whole && run.ends_at_ms.is_none() {
                    run.ends_at_ms = Some(now_ms + run.work.work_ms);
                }
                is_begun |= run.ends_at_ms.is_some();
            }
            if is_whole || !is_begun {
                continue;
            }
            let is_done = inner.done_gangs.contains(&(step, number));
            let how = if is_done { "done" } else { "broken" };
            for (index, task) in members {
                if let Some(life) = inner.slots[index].life.as_mut() {
                    let run = life.end(&task, how).unwrap_or_default();
                    let id = &life.id;
                    self.record
                        .line(&format!("minion {id} ended {task} run {run}: {how}"));
                    set_how(&mut inner.seen, &task, index, how);
                }
            }
        }
    }

    fn sweep_slot(&self, inner: &mut Inner, index: usize) {
        let Some(life) = inner.slots[index].life.as_mut() else {
            return;
        };
        for (task, how) in life.due() {
            let run = life.end(&task, how).unwrap_or_default();
            self.record
                .line(&format!("minion {} ended {task} run {run}: {how}", life.id));
            set_how(&mut inner.seen, &task, index, how);
        }
    }

    async fn handle(&self, index: usize, request: FakeRequest) -> FakeResponse {
        let first = self.execute(index, &request, true);
        let is_held = request.path == "/v1/hold" && request.body["waitMs"].is_u64();
        let is_ok = first
            .as_ref()
            .is_some_and(|answer| answer.status == StatusCode::OK);
        if !(is_held && is_ok) {
            return match first {
                Some(answer) => answer,
                None => never_respond().await,
            };
        }
        let wait = Duration::from_millis(request.body["waitMs"].as_u64().unwrap_or(0).min(2000));
        let until = Instant::now() + wait;
        loop {
            let answer = self.execute(index, &request, false);
            let Some(answer) = answer else {
                return never_respond().await;
            };
            let has_end = answer.body["ended"]
                .as_array()
                .is_some_and(|rows| !rows.is_empty());
            if has_end || Instant::now() >= until || answer.status != StatusCode::OK {
                return answer;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Carries out an order; `is_arrival` tells whether the order has just come.
    fn execute(
        &self,
        index: usize,
        request: &FakeRequest,
        is_arrival: bool,
    ) -> Option<FakeResponse> {
        let mut inner = self.lock();
        self.sweep_slot(&mut inner, index);
        let Inner { slots, seen, .. } = &mut *inner;
        let life = slots[index].life.as_mut()?;
        if request.expected_instance != life.id {
            return Some(response(StatusCode::MISDIRECTED_REQUEST, json!({})));
        }
        let body = &request.body;
        let fence = body["fence"].as_u64().unwrap_or_default();
        let now_ms = life.now_ms();
        let refuse = |reason: &str| {
            let body = json!({ "clockMs": now_ms, "reason": reason });
            Some(response(StatusCode::CONFLICT, body))
        };
        if fence < life.fence {
            return refuse("fence");
        }
        life.fence = fence;
        if let (true, Some(until_ms)) = (is_arrival, body["untilMs"].as_u64()) {
            life.until_ms = life.until_ms.max(until_ms.min(now_ms + HOLD_LIMIT_MS));
        }
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let number = body["run"].as_u64().unwrap_or_default();
        match request.path.as_str() {
            "/v1/run-start" => {
                let work = Work::parse(body["spec"].as_str().unwrap_or_default());
                let Some(work) = work else {
                    let body = json!({ "clockMs": now_ms });
                    return Some(response(StatusCode::BAD_REQUEST, body));
                };
                let there = life.runs.get(&task).map(|run| run.number);
                if there == Some(number) {
                    return Some(response(StatusCode::OK, json!({ "clockMs": now_ms })));
                }
                let tombstone = life.tombstones.get(&task).copied().unwrap_or_default();
                if there.is_some() || number <= tombstone {
                    return refuse("old");
                }
                if now_ms >= life.until_ms {
                    return refuse("late");
                }
                let is_gang = work.members_count > 0;
                let step = StepName::parse(step_of(&task));
                let ticket = step.map(|step| adviser::ticket(&step, &life.id));
                if is_gang && body["ticket"].as_str() != ticket.as_deref() {
                    return refuse("ticket");
                }
                let run = Run {
                    number,
                    ends_at_ms: (!is_gang).then_some(now_ms + work.work_ms),
                    began_ms: now_ms,
                    work,
                    is_stopped: false,
                };
                life.runs.insert(task.clone(), run);
                self.record
                    .line(&format!("minion {} began {task} run {number}", life.id));
                seen.push(Seen {
                    at_ms: self.record.now_ms(),
                    task,
                    worker: index,
                    how: None,
                });
                Some(response(StatusCode::OK, json!({ "clockMs": now_ms })))
            }
            "/v1/run-stop" => {
                self.record.line(&format!(
                    "minion {} told to stop {task} run {number}",
                    life.id
                ));
                match life.runs.get_mut(&task) {
                    Some(run) if run.number <= number && !run.is_stopped => {
                        run.is_stopped = true;
                        run.ends_at_ms = Some(now_ms + STOP_MS);
                    }
                    Some(_) => {}
                    None => {
                        let tombstone = life.tombstones.entry(task).or_default();
                        *tombstone = number.max(*tombstone);
                    }
                }
                Some(response(StatusCode::OK, json!({ "clockMs": now_ms })))
            }
            "/v1/hold" => {
                let last_seen = body["lastSeen"].as_u64().unwrap_or_default();
                if is_arrival {
                    life.ended.retain(|(number, ..)| *number > last_seen);
                }
                let running = life.runs.iter().map(|(task, run)| {
                    json!([task, run.number, "", run.percent(now_ms), USED_CPU])
                });
                let running: Vec<Value> = running.collect();
                let ended = life.ended.iter().take(ENDS_LIMIT_COUNT);
                let ended = ended.map(|(n, task, run, how)| json!([n, task, run, how, ""]));
                let ended: Vec<Value> = ended.collect();
                let body = json!({ "clockMs": now_ms, "running": running, "ended": ended });
                Some(response(StatusCode::OK, body))
            }
            _ => Some(response(StatusCode::NOT_FOUND, json!({}))),
        }
    }
}

/// Sets how the run of a task at a minion ended.
fn set_how(seen: &mut [Seen], task: &str, worker: usize, how: &'static str) {
    let mut latest = seen.iter_mut().rev();
    let found = latest.find(|seen| seen.task == task && seen.worker == worker);
    if let Some(found) = found.filter(|found| found.how.is_none()) {
        found.how = Some(how);
    }
}

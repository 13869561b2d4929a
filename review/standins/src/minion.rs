//! A minion, by PROTOCOL.md ("Running tasks", "Service discovery"): each incarnation has an id
//! of its own, runs tasks under leases and keeps its entry in the store.

use crate::record::Record;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use ospreywing_soak::store::Store;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{watch, Notify};

/// `maxHoldMs`, `stopGraceMs` and `heartbeatMs` of the settings.
const MAX_HOLD_MS: u64 = 6000;
const STOP_MS: u64 = 100;
const HEARTBEAT: Duration = Duration::from_millis(1500);
const SWEEP: Duration = Duration::from_millis(5);
/// The service of all minions.
pub const SERVICE: &str = "render";

/// What became of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// The minion began it.
    Began,
    /// It ended, and how the minion lists that.
    Ended(&'static str),
    /// The system has taken note of its end, with `lastSeen`.
    Noted(&'static str),
    /// The minion crashed.
    Lost,
}

/// Something that a minion did.
#[derive(Clone, Debug)]
pub struct Event {
    /// When, in milliseconds of the record.
    pub at_ms: u64,
    /// The task, as ID.K.STEP.INDEX.
    pub task: String,
    /// The run.
    pub run: u64,
    /// What.
    pub what: What,
}

/// What all minions did, in order.
#[derive(Clone)]
pub struct History {
    events: Arc<Mutex<Vec<Event>>>,
    record: Record,
}

impl History {
    /// Creates an empty history, whose events are also written to the record.
    pub fn new(record: Record) -> Self {
        let events = Arc::default();
        Self { events, record }
    }

    /// Returns the events of a job so far.
    pub fn of_job(&self, job: &str) -> Vec<Event> {
        let events = self.events.lock().expect("no writer panics");
        let own = events.iter().filter(|event| event.task.starts_with(job));
        own.cloned().collect()
    }

    fn push(&self, minion: &str, task: &str, run: u64, what: What) {
        let at_ms = self.record.now_ms();
        self.record
            .line(&format!("minion {minion}: {task} run {run} {what:?}"));
        let task = task.to_owned();
        let mut events = self.events.lock().expect("no writer panics");
        events.push(Event {
            at_ms,
            task,
            run,
            what,
        });
    }
}

struct Run {
    number: u64,
    began_ms: u64,
    work_ms: u64,
    fails: bool,
    stop_at_ms: Option<u64>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

struct State {
    id: String,
    born: Instant,
    fence: u64,
    until_ms: u64,
    runs: BTreeMap<String, Run>,
    /// The highest run of a task that was stopped or has ended.
    closed: BTreeMap<String, u64>,
    ended: Vec<End>,
    ends_count: u64,
    history: History,
}

impl State {
    fn clock_ms(&self) -> u64 {
        100_000 + self.born.elapsed().as_millis() as u64
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = run.number.max(*closed);
        self.history
            .push(&self.id, task, run.number, What::Ended(how));
        self.ends_count += 1;
        self.ended.push(End {
            number: self.ends_count,
            task: task.to_owned(),
            run: run.number,
            how,
        });
    }

    /// Ends the runs that are due to end; returns whether there were any.
    fn sweep(&mut self) -> bool {
        let now_ms = self.clock_ms();
        let is_lapsed = now_ms >= self.until_ms;
        let due = self.runs.iter().filter_map(|(task, run)| {
            let is_over = now_ms >= run.began_ms + run.work_ms;
            let how = match run.stop_at_ms {
                _ if is_lapsed => "lapsed",
                Some(at_ms) if now_ms >= at_ms => "stopped",
                _ if is_over && run.fails => "failed",
                _ if is_over => "done",
                _ => return None,
            };
            Some((task.clone(), how))
        });
        let due: Vec<(String, &'static str)> = due.collect();
        for (task, how) in &due {
            self.end(task, how);
        }
        !due.is_empty()
    }

    fn lists(&self) -> Value {
        let now_ms = self.clock_ms();
        let running = self.runs.iter().map(|(task, run)| {
            let percent = (now_ms - run.began_ms).min(run.work_ms) * 100 / run.work_ms.max(1);
            json!([task, run.number, "", percent, 0])
        });
        let ended = self.ended.iter().take(500);
        let ended = ended.map(|end| json!([end.number, end.task, end.run, end.how, ""]));
        json!({
            "clockMs": now_ms,
            "running": running.collect::<Vec<_>>(),
            "ended": ended.collect::<Vec<_>>(),
        })
    }

    fn refuse(&self, reason: &str) -> (u16, Value) {
        (409, json!({ "clockMs": self.clock_ms(), "reason": reason }))
    }

    /// Handles an order; `None` for a poll, whose answer may have to wait.
    fn handle(&mut self, path: &str, body: &Value) -> Option<(u16, Value)> {
        let fence = body["fence"].as_u64().unwrap_or_default();
        if fence < self.fence {
            return Some(self.refuse("fence"));
        }
        self.fence = fence;
        self.sweep();
        let now_ms = self.clock_ms();
        if let Some(until_ms) = body["untilMs"].as_u64() {
            self.until_ms = self.until_ms.max(until_ms.min(now_ms + MAX_HOLD_MS));
        }
        let task = body["task"].as_str().unwrap_or_default();
        let run = body["run"].as_u64().unwrap_or_default();
        match path {
            "/v1/run-start" => Some(self.start(task, run, body)),
            "/v1/run-stop" => {
                if let Some(known) = self.runs.get_mut(task).filter(|it| it.number <= run) {
                    known.stop_at_ms = known.stop_at_ms.or(Some(now_ms + STOP_MS));
                }
                let closed = self.closed.entry(task.to_owned()).or_default();
                *closed = run.max(*closed);
                Some((200, json!({ "clockMs": now_ms })))
            }
            "/v1/hold" => {
                let seen = body["lastSeen"].as_u64().unwrap_or_default();
                let noted = self.ended.iter().filter(|end| end.number <= seen);
                for end in noted {
                    self.history
                        .push(&self.id, &end.task, end.run, What::Noted(end.how));
                }
                self.ended.retain(|end| end.number > seen);
                None
            }
            _ => Some((404, json!({}))),
        }
    }

    fn start(&mut self, task: &str, number: u64, body: &Value) -> (u16, Value) {
        let now_ms = self.clock_ms();
        if self.runs.get(task).is_some_and(|run| run.number == number) {
            return (200, json!({ "clockMs": now_ms }));
        }
        let is_old = self.closed.get(task).is_some_and(|run| number <= *run);
        if is_old || self.runs.contains_key(task) {
            return self.refuse("old");
        }
        if body["untilMs"].as_u64().unwrap_or_default() <= now_ms {
            return self.refuse("late");
        }
        let spec: Value =
            serde_json::from_str(body["spec"].as_str().unwrap_or_default()).unwrap_or_default();
        let run = Run {
            number,
            began_ms: now_ms,
            work_ms: spec["work"].as_u64().unwrap_or(1000),
            fails: spec["fails"] == json!(true),
            stop_at_ms: None,
        };
        self.runs.insert(task.to_owned(), run);
        self.history.push(&self.id, task, number, What::Began);
        (200, json!({ "clockMs": now_ms }))
    }
}

/// One incarnation while it lives.
struct Life {
    state: Arc<Mutex<State>>,
    is_over: watch::Sender<bool>,
    key: String,
}

/// A minion's machine, on which one incarnation follows another at the same address.
pub struct Minion {
    name: String,
    address: SocketAddr,
    rack: String,
    capacity: (u32, u32),
    store: Store,
    record: Record,
    history: History,
    lives_count: u32,
    life: Option<Life>,
}

impl Minion {
    /// Creates a machine at an address, without a running minion.
    pub fn new(
        name: &str,
        address: SocketAddr,
        rack: &str,
        capacity: (u32, u32),
        store: &Store,
        history: &History,
    ) -> Self {
        Self {
            name: name.to_owned(),
            address,
            rack: rack.to_owned(),
            capacity,
            store: store.clone(),
            record: history.record.clone(),
            history: history.clone(),
            lives_count: 0,
            life: None,
        }
    }

    /// Returns whether an incarnation lives.
    pub const fn is_up(&self) -> bool {
        self.life.is_some()
    }

    /// Starts the next incarnation, with a new id.
    pub async fn start(&mut self) {
        self.lives_count += 1;
        let id = format!("{}-{}", self.name, self.lives_count);
        let listener = bind(self.address).await;
        let state = Arc::new(Mutex::new(State {
            id: id.clone(),
            born: Instant::now(),
            fence: 0,
            until_ms: 0,
            runs: BTreeMap::new(),
            closed: BTreeMap::new(),
            ended: Vec::new(),
            ends_count: 0,
            history: self.history.clone(),
        }));
        let (is_over, over) = watch::channel(false);
        let ended = Arc::new(Notify::new());
        tokio::spawn(serve(listener, state.clone(), ended.clone(), over.clone()));
        tokio::spawn(sweep(state.clone(), ended, over.clone()));
        let key = format!("servers/{id}");
        let entry = json!({
            "service": SERVICE, "address": self.address.to_string(), "zone": "a",
            "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": 1,
            "capacity": { "cpu": self.capacity.0, "memMb": self.capacity.1, "gpu": 0 },
            "labels": ["a", self.rack],
        });
        self.record.line(&format!("minion {id} starts"));
        tokio::spawn(keep_entry(self.store.clone(), key.clone(), entry, over));
        self.life = Some(Life {
            state,
            is_over,
            key,
        });
    }

    /// Crashes the incarnation: all that runs there is lost, and its connections break. Its
    /// entry goes after three heartbeats of silence.
    pub fn crash(&mut self) {
        let Some(life) = self.life.take() else {
            return;
        };
        let mut state = life.state.lock().expect("no handler panics");
        self.record.line(&format!("minion {} crashes", state.id));
        let id = state.id.clone();
        for (task, run) in core::mem::take(&mut state.runs) {
            self.history.push(&id, &task, run.number, What::Lost);
        }
        drop(state);
        let _ = life.is_over.send(true);
        let (store, key) = (self.store.clone(), life.key);
        tokio::spawn(async move {
            tokio::time::sleep(HEARTBEAT * 3).await;
            store.remove(&key);
        });
    }
}

async fn bind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            // The listener of the incarnation before is still being closed.
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn keep_entry(store: Store, key: String, mut entry: Value, mut over: watch::Receiver<bool>) {
    loop {
        store.write(&key, &entry);
        entry["seq"] = json!(entry["seq"].as_u64().unwrap_or_default() + 1);
        tokio::select! {
            () = tokio::time::sleep(HEARTBEAT) => {}
            _ = over.wait_for(|over| *over) => return,
        }
    }
}

async fn sweep(state: Arc<Mutex<State>>, ended: Arc<Notify>, over: watch::Receiver<bool>) {
    while !*over.borrow() {
        if state.lock().expect("no handler panics").sweep() {
            ended.notify_waiters();
        }
        tokio::time::sleep(SWEEP).await;
    }
}

async fn serve(
    listener: TcpListener,
    state: Arc<Mutex<State>>,
    ended: Arc<Notify>,
    over: watch::Receiver<bool>,
) {
    let mut stop = over.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|over| *over) => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        let (state, ended, mut over) = (state.clone(), ended.clone(), over.clone());
        tokio::spawn(async move {
            let service = service_fn(|request| respond(request, state.clone(), ended.clone()));
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = served => {}
                _ = over.wait_for(|over| *over) => {}
            }
        });
    }
}

async fn respond(
    request: Request<Incoming>,
    state: Arc<Mutex<State>>,
    ended: Arc<Notify>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes());
    let body: Value = serde_json::from_slice(&body.unwrap_or_default()).unwrap_or_default();
    let expected = parts.headers.get("ospreywing-expect-instance");
    let (status, answer) = {
        let mut state = state.lock().expect("no handler panics");
        if expected.is_some_and(|expected| expected.as_bytes() != state.id.as_bytes()) {
            (421, json!({ "clockMs": state.clock_ms() }))
        } else {
            state
                .handle(parts.uri.path(), &body)
                .unwrap_or((0, json!({})))
        }
    };
    let (status, answer) = if status == 0 {
        (200, poll(&state, &ended, &body).await)
    } else {
        (status, answer)
    };
    let mut response = Response::new(Full::new(Bytes::from(answer.to_string())));
    *response.status_mut() = StatusCode::from_u16(status).expect("the status is valid");
    Ok(response)
}

/// Answers a poll, which waits for an end up to `waitMs`.
async fn poll(state: &Mutex<State>, ended: &Notify, body: &Value) -> Value {
    let wait_ms = body["waitMs"].as_u64().unwrap_or_default().min(2000);
    let until = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let notified = ended.notified();
        let mut notified = std::pin::pin!(notified);
        notified.as_mut().enable();
        {
            let state = state.lock().expect("no handler panics");
            if !state.ended.is_empty() || Instant::now() >= until {
                return state.lists();
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        let _ = tokio::time::timeout(left, notified).await;
    }
}

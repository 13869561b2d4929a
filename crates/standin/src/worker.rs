//! Workers: they run attempts under leases and report their ends.
//!
//! The command `work MS TEXT` takes `MS` milliseconds and returns `TEXT` as its
//! result; `fail MS TEXT` fails with `TEXT` after `MS` milliseconds; `serve` runs
//! until it is stopped or its lease expires. Other commands fail at once.

use crate::boxes::Announcement;

use crate::faults::WorkerFaults;
use crate::record::{Run, WorkerRecord};
use crate::web::{json, json_body, text};
use http::Method;
use jsonrpsee::server::{RpcModule, Server, ServerConfig};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::SubscriptionMessage;
use ospreywing_clock as clock;
use ospreywing_http::{Call, HttpClient};
use ospreywing_types::worker::{self, Ended, Renew, Report, Start, Stop};
use ospreywing_types::{AttemptId, BoxFacts, BoxKind, BoxState, Name, Resources, TaskEnd};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::broadcast;
use xitca_web::handler::handler_service;
use xitca_web::http::{StatusCode, WebResponse};
use xitca_web::route::{get, post};
use xitca_web::{App, HttpServer, WebContext};

/// A running attempt.
#[derive(Clone, Debug)]
struct Running {
    resources: Resources,
    lease_until_ms: u64,
    /// When and how the attempt ends by itself, in milliseconds; `None` for `serve`.
    planned_end: Option<(u64, TaskEnd)>,
    /// The index of the run in the record.
    run_index: usize,
}

struct State {
    name: Name,
    capacity: Resources,
    incarnation: u64,
    running: BTreeMap<AttemptId, Running>,
    ended: BTreeMap<AttemptId, TaskEnd>,
    is_cut_off: bool,
    record: Arc<Mutex<WorkerRecord>>,
    ends: broadcast::Sender<Ended>,
}

type Shared = Arc<Mutex<State>>;

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(|e| e.into_inner())
}

const TICK_INTERVAL: Duration = Duration::from_millis(5);
const ENDS_QUEUE_LIMIT: usize = 4096;
const CUT_OFF_DELAY: Duration = Duration::from_secs(3600);

impl State {
    fn start(&mut self, start: Start) {
        let now = clock::now().as_ms();
        let used = self.running.values().map(|running| running.resources);
        let after = used.fold(start.resources, |sum, need| sum + need);
        let mut record = lock(&self.record);
        record.overcommits_count += u64::from(!after.fits_in(&self.capacity));
        let run_index = record.runs.len();
        record.runs.push(Run {
            attempt: start.attempt,
            worker: self.name.to_string(),
            resources: start.resources,
            began_at_ms: now,
            ended_at_ms: None,
            is_finished: false,
        });
        drop(record);
        let running = Running {
            resources: start.resources,
            lease_until_ms: now + start.lease_ms,
            planned_end: planned_end(&start.command, now),
            run_index,
        };
        // Duplicates are not rejected: a second start of an attempt runs it again.
        self.running.insert(start.attempt, running);
    }

    fn end(&mut self, attempt: AttemptId, at_ms: u64, end: TaskEnd) {
        let Some(running) = self.running.remove(&attempt) else {
            return;
        };
        if let Some(run) = lock(&self.record).runs.get_mut(running.run_index) {
            run.ended_at_ms = Some(at_ms);
            run.is_finished = matches!(end, TaskEnd::Finished(_));
        }
        self.ended.insert(attempt, end.clone());
        // Fails if there is no subscriber.
        let _ = self.ends.send(Ended { attempt, end });
    }

    /// Ends attempts whose lease has expired or whose work is done, whichever is first.
    fn tick(&mut self) {
        let now = clock::now().as_ms();
        let due = |running: &Running| -> Option<(u64, TaskEnd)> {
            let expiry = (running.lease_until_ms, TaskEnd::LeaseLapsed);
            let planned_end = running
                .planned_end
                .clone()
                .unwrap_or_else(|| expiry.clone());
            let first = if planned_end.0 <= expiry.0 {
                planned_end
            } else {
                expiry
            };
            (first.0 <= now).then_some(first)
        };
        let ends = self.running.iter();
        let ends: Vec<(AttemptId, u64, TaskEnd)> = ends
            .filter_map(|(&attempt, running)| due(running).map(|(at, end)| (attempt, at, end)))
            .collect();
        for (attempt, at_ms, end) in ends {
            self.end(attempt, at_ms, end);
        }
    }

    /// Simulates a restart: loses all attempts and starts a new incarnation.
    fn restart(&mut self) {
        let attempts: Vec<AttemptId> = self.running.keys().copied().collect();
        for attempt in attempts {
            self.end(attempt, clock::now().as_ms(), TaskEnd::WorkerLost);
        }
        self.ended.clear();
        self.incarnation = rand::random::<u64>() >> 1;
    }

    fn report(&self) -> Report {
        let ended = self.ended.iter().map(|(&attempt, end)| Ended {
            attempt,
            end: end.clone(),
        });
        Report {
            incarnation: self.incarnation,
            running: self.running.keys().copied().collect(),
            ended: ended.collect(),
        }
    }
}

/// Parses a command and returns when and how it ends; an unknown one fails at once.
fn planned_end(command: &str, now: u64) -> Option<(u64, TaskEnd)> {
    let mut words = command.splitn(3, ' ');
    let verb = words.next().unwrap_or_default();
    let ms = words.next().and_then(|ms| ms.parse::<u64>().ok());
    let text = words.next().unwrap_or_default().to_owned();
    match (verb, ms) {
        ("serve", _) => None,
        ("work", Some(ms)) => Some((now + ms, TaskEnd::Finished(text))),
        ("fail", Some(ms)) => Some((now + ms, TaskEnd::Failed(text))),
        _ => Some((now, TaskEnd::Failed(format!("no such command: {command}")))),
    }
}

fn rpc_module(shared: Shared) -> RpcModule<Shared> {
    let mut module = RpcModule::new(shared);
    let registered = [
        module
            .register_async_method(worker::REPORT, |_, shared, _| async move {
                delay_if_cut_off(&shared).await;
                Ok::<_, ErrorObjectOwned>(lock(&shared).report())
            })
            .is_ok(),
        module
            .register_async_method(worker::START, |params, shared, _| async move {
                let start: Start = params.one()?;
                delay_if_cut_off(&shared).await;
                lock(&shared).start(start);
                Ok::<_, ErrorObjectOwned>(())
            })
            .is_ok(),
        module
            .register_async_method(worker::RENEW, |params, shared, _| async move {
                let renew: Renew = params.one()?;
                delay_if_cut_off(&shared).await;
                renew_leases(&shared, &renew);
                Ok::<_, ErrorObjectOwned>(())
            })
            .is_ok(),
        module
            .register_async_method(worker::STOP, |params, shared, _| async move {
                let stop: Stop = params.one()?;
                delay_if_cut_off(&shared).await;
                lock(&shared).end(stop.attempt, clock::now().as_ms(), TaskEnd::Stopped);
                Ok::<_, ErrorObjectOwned>(())
            })
            .is_ok(),
        module
            .register_subscription(
                worker::SUBSCRIBE_ENDS,
                worker::ENDS,
                worker::UNSUBSCRIBE_ENDS,
                |_, pending, shared, _| async move {
                    let mut ends = lock(&shared).ends.subscribe();
                    let Ok(sink) = pending.accept().await else {
                        return;
                    };
                    loop {
                        tokio::select! {
                            ended = ends.recv() => {
                                let Ok(ended) = ended else { return };
                                delay_if_cut_off(&shared).await;
                                let raw = serde_json::value::to_raw_value(&ended);
                                let Ok(raw) = raw else { return };
                                let message = SubscriptionMessage::from(raw);
                                if sink.send(message).await.is_err() {
                                    return;
                                }
                            }
                            () = sink.closed() => return,
                        }
                    }
                },
            )
            .is_ok(),
    ];
    debug_assert!(registered.iter().all(|&is_ok| is_ok));
    module
}

/// Counts a call, and delays it if the worker is cut off.
async fn delay_if_cut_off(shared: &Shared) {
    let is_cut_off = {
        let state = lock(shared);
        lock(&state.record).calls_count += 1;
        state.is_cut_off
    };
    if is_cut_off {
        tokio::time::sleep(CUT_OFF_DELAY).await;
    }
}

fn renew_leases(shared: &Shared, renew: &Renew) {
    let mut state = lock(shared);
    // End expired attempts first: a late renewal must not revive them.
    state.tick();
    let until_ms = clock::now().as_ms() + renew.lease_ms;
    for attempt in &renew.attempts {
        if let Some(running) = state.running.get_mut(attempt) {
            running.lease_until_ms = until_ms;
        }
    }
    for attempt in &renew.forget {
        state.ended.remove(attempt);
    }
}

/// The configuration of a process that hosts workers.
#[derive(Clone, Debug)]
pub struct WorkerHost {
    /// The prefix of the workers' names; a number follows.
    pub prefix: String,
    /// The number of workers.
    pub count: u32,
    /// The capacity of each worker.
    pub capacity: Resources,
    /// The number of workers with accelerators; the others have none.
    pub accelerated_count: u32,
    /// The number of workers per rack.
    pub rack_size: u32,
    /// The data centres that the racks are distributed over.
    pub data_centres: Vec<Name>,
    /// `IP:port` of the platform.
    pub platform_addr: String,
}

/// Runs workers until the process ends. `listener` serves the admin endpoint.
///
/// # Errors
///
/// Returns an error if a socket can't be opened.
pub async fn run(host: WorkerHost, listener: TcpListener) -> std::io::Result<()> {
    let record = Arc::new(Mutex::new(WorkerRecord::default()));
    let mut workers = Vec::new();
    let mut boxes = Vec::new();
    for index in 0..host.count {
        let (shared, addr) = start_worker(&host, index, &record).await?;
        boxes.push(box_facts(&host, index, addr));
        workers.push(shared);
    }
    let admin = Admin { workers, record };
    let tick_workers = admin.workers.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            tick_workers.iter().for_each(|shared| lock(shared).tick());
        }
    });
    serve_admin(admin, listener)?;
    announce_periodically(&host.platform_addr, boxes).await;
    Ok(())
}

/// Starts the server of the admin endpoint on separate threads.
fn serve_admin(admin: Admin, listener: TcpListener) -> std::io::Result<()> {
    let app = App::new()
        .with_state(admin)
        .at("/admin/record", get(handler_service(show_record)))
        .at("/admin/faults", post(handler_service(set_faults)));
    let server = HttpServer::serve(app.finish())
        .worker_threads(1)
        .disable_signal()
        .listen(listener)?
        .run();
    std::thread::spawn(move || server.wait());
    Ok(())
}

async fn start_worker(
    host: &WorkerHost,
    index: u32,
    record: &Arc<Mutex<WorkerRecord>>,
) -> std::io::Result<(Shared, SocketAddr)> {
    let (ends, _) = broadcast::channel(ENDS_QUEUE_LIMIT);
    let shared = Arc::new(Mutex::new(State {
        name: name(host, index),
        capacity: capacity(host, index),
        incarnation: rand::random::<u64>() >> 1,
        running: BTreeMap::new(),
        ended: BTreeMap::new(),
        is_cut_off: false,
        record: Arc::clone(record),
        ends,
    }));
    let config = ServerConfig::builder()
        .ws_only()
        .set_tcp_no_delay(true)
        .build();
    let server = Server::builder().set_config(config);
    let server = server.build("127.0.0.1:0").await?;
    let addr = server.local_addr()?;
    let handle = server.start(rpc_module(Arc::clone(&shared)));
    tokio::spawn(handle.stopped());
    Ok((shared, addr))
}

fn name(host: &WorkerHost, index: u32) -> Name {
    let name = Name::new(&format!("{}{index:03}", host.prefix));
    name.expect("the prefix is checked by the command line")
}

fn capacity(host: &WorkerHost, index: u32) -> Resources {
    let mut capacity = host.capacity;
    if index >= host.accelerated_count {
        capacity.accelerators_count = 0;
    }
    capacity
}

fn box_facts(host: &WorkerHost, index: u32, addr: SocketAddr) -> BoxFacts {
    let rack_number = index / host.rack_size;
    let data_centre = &host.data_centres[rack_number as usize % host.data_centres.len()];
    let rack = Name::new(&format!("{}rack{rack_number}", host.prefix));
    BoxFacts {
        name: name(host, index),
        kind: BoxKind::Worker,
        state: BoxState::Live,
        addr: addr.to_string(),
        data_centre: data_centre.clone(),
        rack: rack.expect("the prefix is checked by the command line"),
        resources: capacity(host, index),
        serves: Vec::new(),
    }
}

/// Announces boxes to the platform every second until the process ends.
pub async fn announce_periodically(platform_addr: &str, boxes: Vec<BoxFacts>) {
    let http = HttpClient::new(1);
    let limit = Duration::from_secs(2);
    let announcement = Announcement { boxes };
    loop {
        let call = Call::new(Method::POST, platform_addr, "/admin/announce", limit);
        if let Ok(call) = call.with_json(&announcement) {
            // A lost announcement is covered by the next one.
            let _ = http.call(call).await;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

#[derive(Clone)]
struct Admin {
    workers: Vec<Shared>,
    record: Arc<Mutex<WorkerRecord>>,
}

async fn show_record(ctx: &WebContext<'_, Admin>) -> WebResponse {
    let record = lock(&ctx.state().record).clone();
    json(StatusCode::OK, &record)
}

async fn set_faults(ctx: &WebContext<'_, Admin>) -> WebResponse {
    let faults: WorkerFaults = match json_body(ctx).await {
        Ok(faults) => faults,
        Err(error) => return text(StatusCode::BAD_REQUEST, &error),
    };
    for shared in &ctx.state().workers {
        let mut state = lock(shared);
        let name = state.name.to_string();
        if faults.restart.contains(&name) {
            state.restart();
        }
        state.is_cut_off = faults.cut_off.contains(&name);
    }
    text(StatusCode::OK, "ok")
}

//! Minions: they answer requests and have eight slots each.
//!
//! `POST /run/ROW` with the body `MS TEXT` takes `MS` milliseconds and returns the
//! key, the row and the text. All minions of a host share one server, which
//! distinguishes them by the port in the `Host` header.

use crate::faults::MinionFaults;
use crate::record::{KeyRuns, MinionRecord};
use crate::web::{body, json, json_body, path, text};
use crate::worker::announce_periodically;
use ospreywing_types::api::REQUEST_KEY;
use ospreywing_types::{BoxFacts, BoxKind, BoxState, Name, Resources};
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use xitca_web::handler::handler_service;
use xitca_web::http::header::HOST;
use xitca_web::http::{StatusCode, WebResponse};
use xitca_web::route::{get, post};
use xitca_web::{App, HttpServer, WebContext};

/// The number of slots of a minion, as specified. Requests beyond it still run and
/// are counted as overcommits.
pub const SLOTS_COUNT: u64 = 8;

/// A minion's reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionReply {
    /// The request's key, or empty if it had none.
    pub key: String,
    /// The row.
    pub row: String,
    /// The text of the request.
    pub text: String,
}

/// The configuration of a process that hosts minions.
#[derive(Clone, Debug)]
pub struct MinionHost {
    /// The prefix of the minions' names; a number follows.
    pub prefix: String,
    /// The number of minions.
    pub count: u32,
    /// The workload rows that the minions serve.
    pub serves: Vec<Name>,
    /// The data centres that the minions are distributed over.
    pub data_centres: Vec<Name>,
    /// `IP:port` of the platform.
    pub platform_addr: String,
}

#[derive(Default)]
struct State {
    keys: BTreeMap<String, u64>,
    busy_slots: BTreeMap<String, u64>,
    record: MinionRecord,
    faults: MinionFaults,
}

/// The state of all minions, shared by the HTTP handlers.
#[derive(Clone, Default)]
struct Minions {
    state: Arc<Mutex<State>>,
}

impl Minions {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

type Context<'r> = WebContext<'r, Minions>;

/// Runs minions until the process ends. `listener` serves the admin endpoint.
///
/// # Errors
///
/// Returns an error if a socket can't be opened.
pub async fn run(host: MinionHost, listener: TcpListener) -> std::io::Result<()> {
    let boxes = serve(&host, listener)?;
    announce_periodically(&host.platform_addr, boxes).await;
    Ok(())
}

/// Starts the minions' server on separate threads and returns the minions' boxes.
fn serve(host: &MinionHost, listener: TcpListener) -> std::io::Result<Vec<BoxFacts>> {
    let app = App::new()
        .with_state(Minions::default())
        .at("/run/{name}", post(handler_service(run_request)))
        .at("/admin/record", get(handler_service(show_record)))
        .at("/admin/faults", post(handler_service(set_faults)));
    let mut server = HttpServer::serve(app.finish())
        .worker_threads(1)
        .disable_signal()
        .listen(listener)?;
    let mut boxes = Vec::new();
    for index in 0..host.count {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        boxes.push(box_facts(host, index, listener.local_addr()?.to_string()));
        server = server.listen(listener)?;
    }
    let server = server.run();
    std::thread::spawn(move || server.wait());
    Ok(boxes)
}

fn box_facts(host: &MinionHost, index: u32, addr: String) -> BoxFacts {
    let name = Name::new(&format!("{}{index:03}", host.prefix));
    let rack = Name::new(&format!("{}rack{}", host.prefix, index / 8));
    let data_centre = &host.data_centres[index as usize % host.data_centres.len()];
    BoxFacts {
        name: name.expect("the prefix is checked by the command line"),
        kind: BoxKind::Minion,
        state: BoxState::Live,
        addr,
        data_centre: data_centre.clone(),
        rack: rack.expect("the prefix is checked by the command line"),
        resources: Resources::ZERO,
        serves: host.serves.clone(),
    }
}

fn header(ctx: &Context<'_>, name: &str) -> String {
    let value = ctx.req().headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}

/// Frees a slot when dropped: when the work ends, even if the caller has
/// disconnected.
struct SlotGuard {
    minions: Minions,
    host: String,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let mut state = self.minions.lock();
        if let Some(busy_slots) = state.busy_slots.get_mut(&self.host) {
            *busy_slots -= 1;
        }
    }
}

fn occupy_slot(minions: &Minions, host: &str, key: &str) -> SlotGuard {
    let mut state = minions.lock();
    let busy_slots = state.busy_slots.entry(host.to_owned()).or_default();
    *busy_slots += 1;
    let busy_slots = *busy_slots;
    state.record.runs_count += 1;
    state.record.overcommits_count += u64::from(busy_slots > SLOTS_COUNT);
    state.record.peak_slots_count = state.record.peak_slots_count.max(busy_slots);
    if !key.is_empty() {
        *state.keys.entry(key.to_owned()).or_default() += 1;
    }
    SlotGuard {
        minions: minions.clone(),
        host: host.to_owned(),
    }
}

async fn run_request(ctx: &Context<'_>) -> WebResponse {
    let row = path(ctx).await;
    let Some(body) = body(ctx).await else {
        return text(StatusCode::PAYLOAD_TOO_LARGE, "body: too large");
    };
    let body = String::from_utf8_lossy(&body).into_owned();
    let (ms, rest) = body.split_once(' ').unwrap_or((&body, ""));
    let Ok(ms) = ms.parse::<u64>() else {
        return text(StatusCode::BAD_REQUEST, "body: must be MS TEXT");
    };
    let key = header(ctx, REQUEST_KEY);
    let host = header(ctx, HOST.as_str());
    let minions = ctx.state().clone();
    let (slow_ms, permille) = {
        let state = minions.lock();
        (state.faults.slow_ms, state.faults.lose_answers_permille)
    };
    let slot = occupy_slot(&minions, &host, &key);
    // A separate task, so that the work continues if the connection breaks.
    let work = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(ms + slow_ms)).await;
        drop(slot);
    });
    let _ = work.await;
    if rand::rng().random_range(0..1000) < permille {
        return text(StatusCode::BAD_GATEWAY, "lost");
    }
    let reply = MinionReply {
        key,
        row,
        text: rest.to_owned(),
    };
    json(StatusCode::OK, &reply)
}

async fn show_record(ctx: &Context<'_>) -> WebResponse {
    let state = ctx.state().lock();
    let mut record = state.record.clone();
    let keys = state.keys.iter();
    record.keys = keys
        .map(|(key, &runs_count)| KeyRuns {
            key: key.clone(),
            runs_count,
        })
        .collect();
    json(StatusCode::OK, &record)
}

async fn set_faults(ctx: &Context<'_>) -> WebResponse {
    match json_body(ctx).await {
        Ok(faults) => {
            ctx.state().lock().faults = faults;
            text(StatusCode::OK, "ok")
        }
        Err(error) => text(StatusCode::BAD_REQUEST, &error),
    }
}

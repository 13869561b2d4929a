//! The platform: an HTTP server with the store and the box list.

use crate::boxes::{Announcement, BoxList};

use crate::faults::PlatformFaults;
use crate::kv::{Kv, VALUE_LIMIT_BYTES};
use crate::rate::RateLimit;
use crate::web::{json, json_body, path, text};
use ospreywing_clock as clock;
use ospreywing_store::wire::{
    self, ErrorReply, Header, Int64, LeaseGrantRequest, LeaseReply, LeaseRequest, RangeRequest,
    Streamed, TxnRequest,
};
use ospreywing_types::{stable_hash, Name};
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use xitca_web::handler::handler_service;
use xitca_web::http::header::{HeaderValue, ETAG, HOST, IF_NONE_MATCH};
use xitca_web::http::{StatusCode, WebResponse};
use xitca_web::route::{get, post};
use xitca_web::{App, HttpServer, WebContext};

/// The rate limits and the box list's delay.
#[derive(Clone, Copy, Debug)]
pub struct PlatformLimits {
    /// Writes per second.
    pub writes_per_s: u64,
    /// Reads per second.
    pub reads_per_s: u64,
    /// How long a box stays listed after its last announcement, in milliseconds.
    pub box_lag_ms: u64,
}

/// Call counters of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Calls per path.
    pub calls: BTreeMap<String, u64>,
    /// Writes that passed the rate limit.
    pub writes_count: u64,
    /// Reads that passed the rate limit.
    pub reads_count: u64,
    /// Calls rejected by the rate limits.
    pub limited_count: u64,
    /// Bytes received and sent in bodies.
    pub bytes: u64,
    /// The maximum number of writes in one second.
    pub peak_writes_per_s: u64,
    /// The maximum number of reads in one second.
    pub peak_reads_per_s: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct SecondCounts {
    number: u64,
    writes_count: u64,
    reads_count: u64,
}

struct State {
    kv: Kv,
    boxes: BoxList,
    faults: PlatformFaults,
    writes: RateLimit,
    reads: RateLimit,
    counts: PlatformCounts,
    current_second: SecondCounts,
}

/// The platform's state, shared by the HTTP handlers.
#[derive(Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
}

/// How long a store that is down delays its answer "unavailable" to a call.
const DOWN_DELAY: Duration = Duration::from_secs(10);

impl Platform {
    /// Creates an empty platform.
    pub fn new(limits: PlatformLimits) -> Self {
        let state = State {
            kv: Kv::new(),
            boxes: BoxList::new(limits.box_lag_ms),
            faults: PlatformFaults::default(),
            writes: RateLimit::new(limits.writes_per_s),
            reads: RateLimit::new(limits.reads_per_s),
            counts: PlatformCounts::default(),
            current_second: SecondCounts::default(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl State {
    /// Counts a call and returns whether the rate limit permits it.
    fn admit(&mut self, path: &str, is_write: bool) -> bool {
        let now = clock::now().as_ms();
        *self.counts.calls.entry(path.to_owned()).or_default() += 1;
        let limit = if is_write {
            &mut self.writes
        } else {
            &mut self.reads
        };
        if !limit.try_take(now) {
            self.counts.limited_count += 1;
            return false;
        }
        self.record_call(now / 1000, is_write);
        true
    }

    fn record_call(&mut self, current_second: u64, is_write: bool) {
        if self.current_second.number != current_second {
            self.current_second = SecondCounts {
                number: current_second,
                ..SecondCounts::default()
            };
        }
        self.counts.writes_count += u64::from(is_write);
        self.counts.reads_count += u64::from(!is_write);
        self.current_second.writes_count += u64::from(is_write);
        self.current_second.reads_count += u64::from(!is_write);
        let counts = &mut self.counts;
        counts.peak_writes_per_s = counts
            .peak_writes_per_s
            .max(self.current_second.writes_count);
        counts.peak_reads_per_s = counts.peak_reads_per_s.max(self.current_second.reads_count);
    }
}

type Context<'r> = WebContext<'r, Platform>;

/// Serves the platform on all listeners until the process ends.
///
/// # Errors
///
/// Returns an error if the server can't use a listener.
pub fn serve(listeners: Vec<TcpListener>, platform: Platform) -> std::io::Result<()> {
    let app = App::new()
        .with_state(platform)
        .at(wire::RANGE, post(handler_service(range)))
        .at(wire::TXN, post(handler_service(txn)))
        .at(wire::LEASE_GRANT, post(handler_service(grant)))
        .at(wire::LEASE_KEEPALIVE, post(handler_service(keep_alive)))
        .at(wire::LEASE_REVOKE, post(handler_service(revoke)))
        .at("/boxes", get(handler_service(boxes)))
        .at("/admin/announce", post(handler_service(announce)))
        .at("/admin/leave/{name}", post(handler_service(leave)))
        .at("/admin/faults", post(handler_service(set_faults)))
        .at("/admin/counts", get(handler_service(counts)));
    let mut server = HttpServer::serve(app.finish()).worker_threads(1);
    for listener in listeners {
        server = server.listen(listener)?;
    }
    server.run().wait()
}

fn port_of(ctx: &Context<'_>) -> Option<u16> {
    let host = ctx.req().headers().get(HOST)?.to_str().ok()?;
    host.rsplit_once(':')?.1.parse().ok()
}

/// Delays a call according to the faults. Returns false if the store is down.
async fn apply_faults(ctx: &Context<'_>) -> bool {
    let port = port_of(ctx);
    let (is_down, slow_ms) = {
        let state = ctx.state().lock();
        let faults = &state.faults;
        let is_port_down = port.is_some_and(|port| faults.down_ports.contains(&port));
        (faults.is_down || is_port_down, faults.slow_ms)
    };
    if is_down {
        tokio::time::sleep(DOWN_DELAY).await;
        return false;
    }
    if slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    }
    true
}

fn unavailable() -> WebResponse {
    let error = ErrorReply {
        code: 14,
        message: "unavailable".to_owned(),
    };
    json(StatusCode::SERVICE_UNAVAILABLE, &error)
}

fn limited() -> WebResponse {
    let error = ErrorReply {
        code: wire::CODE_RESOURCE_EXHAUSTED,
        message: "too many requests".to_owned(),
    };
    json(StatusCode::TOO_MANY_REQUESTS, &error)
}

fn invalid(message: String) -> WebResponse {
    json(StatusCode::BAD_REQUEST, &ErrorReply { code: 3, message })
}

/// Handles a call to the store, subject to the faults and rate limits.
async fn handle_call<Q, A>(
    ctx: &Context<'_>,
    path: &str,
    is_write: impl FnOnce(&Q) -> bool,
    apply: impl FnOnce(&mut State, &Q) -> A,
) -> WebResponse
where
    Q: for<'de> Deserialize<'de>,
    A: Serialize,
{
    let request: Q = match json_body(ctx).await {
        Ok(request) => request,
        Err(error) => return invalid(error),
    };
    if !apply_faults(ctx).await {
        return unavailable();
    }
    let is_write = is_write(&request);
    let (reply, is_lost) = {
        let mut state = ctx.state().lock();
        if !state.admit(path, is_write) {
            return limited();
        }
        state.kv.expire_leases(clock::now().as_ms());
        let reply = apply(&mut state, &request);
        let permille = state.faults.lose_answers_permille;
        let is_lost = is_write && rand::rng().random_range(0..1000) < permille;
        (reply, is_lost)
    };
    if is_lost {
        return unavailable();
    }
    json(StatusCode::OK, &reply)
}

async fn range(ctx: &Context<'_>) -> WebResponse {
    let apply = |state: &mut State, request: &RangeRequest| state.kv.range(request);
    handle_call(ctx, wire::RANGE, |_| false, apply).await
}

async fn txn(ctx: &Context<'_>) -> WebResponse {
    let apply = |state: &mut State, request: &TxnRequest| {
        let puts = request
            .success
            .iter()
            .filter_map(|op| op.request_put.as_ref());
        let is_too_large = puts
            .into_iter()
            .any(|put| put.value.0.len() > VALUE_LIMIT_BYTES);
        if is_too_large {
            // A value over the limit is the caller's error: write nothing and report that
            // the transaction did not succeed.
            return wire::TxnReply::default();
        }
        state.kv.txn(request)
    };
    handle_call(ctx, wire::TXN, Kv::is_write, apply).await
}

async fn grant(ctx: &Context<'_>) -> WebResponse {
    let apply = |state: &mut State, request: &LeaseGrantRequest| LeaseReply {
        id: Int64(state.kv.grant(request.ttl.as_u64(), clock::now().as_ms())),
        ttl: request.ttl,
    };
    handle_call(ctx, wire::LEASE_GRANT, |_| true, apply).await
}

async fn keep_alive(ctx: &Context<'_>) -> WebResponse {
    let apply = |state: &mut State, request: &LeaseRequest| Streamed {
        result: LeaseReply {
            id: request.id,
            ttl: Int64::from(state.kv.keep_alive(request.id.0, clock::now().as_ms())),
        },
    };
    handle_call(ctx, wire::LEASE_KEEPALIVE, |_| true, apply).await
}

async fn revoke(ctx: &Context<'_>) -> WebResponse {
    let apply = |state: &mut State, request: &LeaseRequest| {
        state.kv.revoke(request.id.0);
        Header::default()
    };
    handle_call(ctx, wire::LEASE_REVOKE, |_| true, apply).await
}

/// Returns the box list as JSON, with the entries of other programs.
fn box_list(state: &State) -> String {
    let listed = state.boxes.list(clock::now().as_ms());
    let own = listed.iter().map(serde_json::to_string);
    let own = own.map(Result::unwrap_or_default);
    let entries: Vec<String> = own.chain(state.faults.foreign_boxes.clone()).collect();
    format!("[{}]", entries.join(","))
}

async fn boxes(ctx: &Context<'_>) -> WebResponse {
    let list = box_list(&ctx.state().lock());
    let tag = format!("\"{:016x}\"", stable_hash(&list));
    let known_tag = ctx.req().headers().get(IF_NONE_MATCH);
    if known_tag.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
        let mut response = WebResponse::new(String::new().into());
        *response.status_mut() = StatusCode::NOT_MODIFIED;
        return response;
    }
    let mut response = text(StatusCode::OK, &list);
    if let Ok(value) = HeaderValue::from_str(&tag) {
        response.headers_mut().insert(ETAG, value);
    }
    response
}

async fn announce(ctx: &Context<'_>) -> WebResponse {
    match json_body::<_, Announcement>(ctx).await {
        Ok(announcement) => {
            let mut state = ctx.state().lock();
            state.boxes.announce(announcement, clock::now().as_ms());
            text(StatusCode::OK, "ok")
        }
        Err(error) => invalid(error),
    }
}

async fn leave(ctx: &Context<'_>) -> WebResponse {
    match Name::new(&path(ctx).await) {
        Ok(name) => {
            ctx.state().lock().boxes.mark_leaving(name);
            text(StatusCode::OK, "ok")
        }
        Err(error) => invalid(error.to_string()),
    }
}

async fn set_faults(ctx: &Context<'_>) -> WebResponse {
    match json_body::<_, PlatformFaults>(ctx).await {
        Ok(faults) => {
            let mut state = ctx.state().lock();
            state
                .boxes
                .set_frozen(faults.is_box_list_frozen, clock::now().as_ms());
            state.faults = faults;
            text(StatusCode::OK, "ok")
        }
        Err(error) => invalid(error),
    }
}

async fn counts(ctx: &Context<'_>) -> WebResponse {
    let counts = ctx.state().lock().counts.clone();
    json(StatusCode::OK, &counts)
}

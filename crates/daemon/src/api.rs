//! The HTTP API for callers and operators.

use crate::body_memory::{BodyMemory, HeldBody};
use crate::engine::{EngineHandle, RequestReply};
use crate::metrics::{self, StoreCounts};
use crate::minions::MinionAnswer;
use crate::table_edit::{EditError, TableEdits};
use ospreywing_node::{Answer, Event};
use ospreywing_routing::GiveUp;
use ospreywing_table::Row;
use ospreywing_types::api::{Refusal, SubmitTask, OUTCOME, REQUEST_KEY};
use ospreywing_types::peer::{Query, QueryReply, Submit, SubmitReply, TaskStatus};
use ospreywing_types::{Duration, Key, Name, Outcome};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;
use slog::{warn, Logger};
use std::net::TcpListener;
use std::sync::Arc;
use tokio::runtime::Handle;
use xitca_web::body::{BodyExt, RequestBody};
use xitca_web::handler::body::Body;
use xitca_web::handler::handler_service;
use xitca_web::handler::params::Params;
use xitca_web::http::header::{HeaderName, HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use xitca_web::http::{StatusCode, WebResponse};
use xitca_web::route::{get, post};
use xitca_web::{App, HttpServer, WebContext};

/// The maximum size of a request body.
const BODY_LIMIT_BYTES: usize = 1024 * 1024;
/// The maximum size of a rejected body that is read and discarded; reading stops beyond it.
const BODY_DISCARD_LIMIT_BYTES: usize = 8 * BODY_LIMIT_BYTES;
/// The timeout for receiving a request body.
const BODY_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);
/// The retry delay returned to callers whose body had no room.
const BODY_RETRY_AFTER: Duration = Duration::from_s(1);
/// One log line tells of so many refused bodies.
const BODIES_REFUSED_PER_LINE: u64 = 1000;
/// Maximum number of tasks in a list.
const LIST_LIMIT_COUNT: usize = 1000;
/// How long an idle connection is kept open.
const KEEP_ALIVE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);
/// The timeout for receiving a request head.
const HEAD_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// The state shared by the handlers.
#[derive(Clone)]
pub struct Api {
    /// Sends events and queries to the engine.
    pub engine: EngineHandle,
    /// Reads and edits the table.
    pub edits: TableEdits,
    /// The numbers of store calls, for the metrics.
    pub counts: Arc<StoreCounts>,
    /// The memory of request bodies.
    pub bodies: BodyMemory,
    /// The log.
    pub log: Logger,
    /// The runtime on which store calls run.
    pub runtime: Handle,
}

type Context<'r> = WebContext<'r, Api>;

/// Stops the HTTP server.
pub type Stop = Box<dyn Fn() + Send>;

/// Starts the HTTP server on `threads_count` threads of its own.
///
/// # Errors
///
/// Returns an error if the listener can't be used.
pub fn start(listener: TcpListener, api: Api, threads_count: usize) -> std::io::Result<Stop> {
    let app = App::new()
        .with_state(api)
        .at("/live", get(handler_service(live)))
        .at("/ready", get(handler_service(ready)))
        .at("/metrics", get(handler_service(metrics_text)))
        .at("/v1/status", get(handler_service(status)))
        .at("/v1/burn", get(handler_service(burn)))
        .at("/v1/boxes", get(handler_service(boxes)))
        .at(
            "/v1/tasks",
            post(handler_service(submit)).get(handler_service(list_tasks)),
        )
        .at(
            "/v1/tasks/{name}",
            get(handler_service(show_task)).delete(handler_service(cancel)),
        )
        .at("/v1/call/{name}", post(handler_service(call)))
        .at("/v1/table", get(handler_service(table)))
        .at(
            "/v1/table/rows/{name}",
            get(handler_service(show_row))
                .put(handler_service(put_row))
                .delete(handler_service(delete_row)),
        )
        .at("/v1/table/history/{name}", get(handler_service(history)));
    let mut server = HttpServer::serve(app.finish())
        .worker_threads(threads_count)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .request_head_timeout(HEAD_TIMEOUT)
        .disable_signal()
        .listen(listener)?
        .run();
    let handle = server.handle()?;
    std::thread::spawn(move || server.wait());
    Ok(Box::new(move || handle.stop(true)))
}

/// The parameter of a path.
#[derive(Deserialize)]
struct Path {
    name: String,
}

async fn path(ctx: &Context<'_>) -> String {
    let path = ctx.extract::<Params<Path>>().await;
    path.map(|Params(path)| path.name).unwrap_or_default()
}

fn parse_name(field: &str, text: &str) -> Result<Name, Rejection> {
    Name::new(text).map_err(|error| Rejection::bad_request(format!("{field}: {text:?} {error}")))
}

fn parse_key(field: &str, text: &str) -> Result<Key, Rejection> {
    Key::new(text).map_err(|error| Rejection::bad_request(format!("{field}: {text:?} {error}")))
}

/// Reads the body. If it is too large, continues to read and discard it up to
/// [`BODY_DISCARD_LIMIT_BYTES`], because a caller that is still sending would not see the
/// response.
async fn body(ctx: &Context<'_>) -> Result<HeldBody, Rejection> {
    let reading = tokio::time::timeout(BODY_TIMEOUT, read_body(ctx)).await;
    reading.unwrap_or_else(|_| {
        let ms = BODY_TIMEOUT.as_millis();
        let reason = format!("body: did not come within {ms} ms");
        Err(Rejection::new(StatusCode::REQUEST_TIMEOUT, reason, None))
    })
}

async fn read_body(ctx: &Context<'_>) -> Result<HeldBody, Rejection> {
    let unreadable = |_| Rejection::bad_request("body: unreadable".to_owned());
    let Body(stream) = ctx
        .extract::<Body<RequestBody>>()
        .await
        .map_err(unreadable)?;
    let mut stream = core::pin::pin!(stream);
    let mut body = ctx.state().bodies.new_body();
    let mut size_bytes = 0;
    while let Some(chunk) = stream.as_mut().data().await {
        let chunk = chunk.map_err(|_| Rejection::bad_request("body: broken off".to_owned()))?;
        size_bytes += chunk.len();
        if size_bytes <= BODY_LIMIT_BYTES {
            if !body.append(chunk.as_ref()) {
                return Err(no_room_for_body(ctx));
            }
        } else if size_bytes > BODY_DISCARD_LIMIT_BYTES {
            break;
        }
    }
    if size_bytes > BODY_LIMIT_BYTES {
        let reason = format!("body: more than {BODY_LIMIT_BYTES} bytes");
        return Err(Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, reason, None));
    }
    Ok(body)
}

async fn json_body<T: DeserializeOwned>(ctx: &Context<'_>) -> Result<T, Rejection> {
    let body = body(ctx).await?;
    serde_json::from_slice(body.bytes())
        .map_err(|error| Rejection::bad_request(format!("body: {error}")))
}

/// Returns the rejection of a body that there is no memory for, and logs it now and then.
fn no_room_for_body(ctx: &Context<'_>) -> Rejection {
    let state = ctx.state();
    let refused_count = state.bodies.refused_count();
    if refused_count % BODIES_REFUSED_PER_LINE == 1 {
        warn!(state.log, "bodies refused"; "reason" => "memory", "count" => refused_count);
    }
    let reason = "body: too many long bodies at once".to_owned();
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Rejection::new(status, reason, Some(BODY_RETRY_AFTER))
}

/// A rejected request: the status and body of the response.
struct Rejection {
    status: StatusCode,
    refusal: Refusal,
}

impl Rejection {
    fn bad_request(reason: String) -> Self {
        Self::new(StatusCode::BAD_REQUEST, reason, None)
    }

    fn new(status: StatusCode, reason: String, retry_after: Option<Duration>) -> Self {
        Self {
            status,
            refusal: Refusal {
                outcome: Outcome::NotRun,
                reason,
                retry_after_ms: retry_after.map(Duration::as_ms),
            },
        }
    }

    fn stopping() -> Self {
        let reason = "the daemon is stopping".to_owned();
        Self::new(
            StatusCode::SERVICE_UNAVAILABLE,
            reason,
            Some(STOPPING_RETRY_AFTER),
        )
    }

    fn response(&self) -> WebResponse {
        let retry_after = self.refusal.retry_after_ms.map(Duration::from_ms);
        let response = json(self.status, &self.refusal);
        with_outcome(response, self.refusal.outcome, retry_after)
    }
}

/// The retry delay returned to callers while the daemon is stopping.
const STOPPING_RETRY_AFTER: Duration = Duration::from_s(1);

fn json(status: StatusCode, value: &impl Serialize) -> WebResponse {
    let body = serde_json::to_string(value).unwrap_or_default();
    respond(status, "application/json", body.into_bytes())
}

fn respond(status: StatusCode, content_type: &str, body: Vec<u8>) -> WebResponse {
    let mut response = WebResponse::new(body.into());
    *response.status_mut() = status;
    if let Ok(value) = HeaderValue::from_str(content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response
}

fn with_outcome(
    mut response: WebResponse,
    outcome: Outcome,
    retry_after: Option<Duration>,
) -> WebResponse {
    let name = HeaderName::from_static(OUTCOME);
    let value = HeaderValue::from_static(outcome.as_str());
    response.headers_mut().insert(name, value);
    if let Some(retry_after) = retry_after {
        let value = HeaderValue::from(retry_after.as_retry_after_s());
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

fn into_response(result: Result<WebResponse, Rejection>) -> WebResponse {
    result.unwrap_or_else(|rejection| rejection.response())
}

async fn live(_: &Context<'_>) -> WebResponse {
    respond(StatusCode::OK, "text/plain", b"live\n".to_vec())
}

async fn ready(ctx: &Context<'_>) -> WebResponse {
    let is_ready = ctx
        .state()
        .engine
        .query_node(|node, _| node.is_ready())
        .await;
    if is_ready == Ok(true) {
        respond(StatusCode::OK, "text/plain", b"ready\n".to_vec())
    } else {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        respond(status, "text/plain", b"not ready\n".to_vec())
    }
}

async fn metrics_text(ctx: &Context<'_>) -> WebResponse {
    let state = ctx.state();
    let report = state.engine.query_node(|node, now| node.report(now)).await;
    match report {
        Ok(report) => {
            let text = metrics::text(&report, &state.counts, &state.bodies);
            respond(StatusCode::OK, "text/plain", text.into_bytes())
        }
        Err(_) => Rejection::stopping().response(),
    }
}

/// Responds with the result of `query` as JSON.
async fn query_json<T: Serialize + Send + 'static>(
    ctx: &Context<'_>,
    query: impl FnOnce(&mut ospreywing_node::Node, ospreywing_types::Instant) -> T + Send + 'static,
) -> WebResponse {
    match ctx.state().engine.query_node(query).await {
        Ok(value) => json(StatusCode::OK, &value),
        Err(_) => Rejection::stopping().response(),
    }
}

async fn status(ctx: &Context<'_>) -> WebResponse {
    query_json(ctx, |node, now| node.report(now)).await
}

async fn burn(ctx: &Context<'_>) -> WebResponse {
    query_json(ctx, |node, now| node.burn(now)).await
}

async fn boxes(ctx: &Context<'_>) -> WebResponse {
    query_json(ctx, |node, now| node.box_reports(now)).await
}

async fn table(ctx: &Context<'_>) -> WebResponse {
    query_json(ctx, |node, _| (*node.table()).clone()).await
}

async fn list_tasks(ctx: &Context<'_>) -> WebResponse {
    query_json(ctx, |node, _| node.tasks(LIST_LIMIT_COUNT)).await
}

async fn submit(ctx: &Context<'_>) -> WebResponse {
    into_response(try_submit(ctx).await)
}

async fn try_submit(ctx: &Context<'_>) -> Result<WebResponse, Rejection> {
    let task: SubmitTask = json_body(ctx).await?;
    let submit = Submit {
        key: task.key,
        row: task.row,
        spec: task.spec,
    };
    let answer = ctx.state().engine.call(|token| Event::Submit {
        token,
        submit,
        is_forwarded: false,
    });
    submit_response(answer.await.ok())
}

async fn cancel(ctx: &Context<'_>) -> WebResponse {
    into_response(try_cancel(ctx).await)
}

async fn try_cancel(ctx: &Context<'_>) -> Result<WebResponse, Rejection> {
    let query = Query {
        key: parse_key("key", &path(ctx).await)?,
    };
    let answer = ctx.state().engine.call(|token| Event::Cancel {
        token,
        query,
        is_forwarded: false,
    });
    submit_response(answer.await.ok())
}

fn submit_response(answer: Option<Answer>) -> Result<WebResponse, Rejection> {
    match answer {
        Some(Answer::Submit(SubmitReply::Accepted(status))) => Ok(task_response(&status)),
        Some(Answer::Submit(SubmitReply::Refused {
            reason,
            retry_after_ms,
        })) => {
            let status = match retry_after_ms {
                Some(_) => StatusCode::SERVICE_UNAVAILABLE,
                None => StatusCode::UNPROCESSABLE_ENTITY,
            };
            let retry_after = retry_after_ms.map(Duration::from_ms);
            Err(Rejection::new(status, reason, retry_after))
        }
        Some(Answer::Submit(SubmitReply::Unknown)) => Err(Rejection {
            status: StatusCode::GATEWAY_TIMEOUT,
            refusal: Refusal {
                outcome: Outcome::Unknown,
                reason: "whether the task is on record is unknown; ask again with its key"
                    .to_owned(),
                retry_after_ms: Some(UNKNOWN_RETRY_AFTER.as_ms()),
            },
        }),
        _ => Err(Rejection::stopping()),
    }
}

/// The retry delay returned to callers if an outcome is unknown or temporarily unavailable.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_s(2);

fn task_response(status: &TaskStatus) -> WebResponse {
    with_outcome(json(StatusCode::OK, status), Outcome::Done, None)
}

async fn show_task(ctx: &Context<'_>) -> WebResponse {
    into_response(try_show_task(ctx).await)
}

async fn try_show_task(ctx: &Context<'_>) -> Result<WebResponse, Rejection> {
    let query = Query {
        key: parse_key("key", &path(ctx).await)?,
    };
    let answer = ctx.state().engine.call(|token| Event::Query {
        token,
        query,
        is_forwarded: false,
    });
    match answer.await {
        Ok(Answer::Query(QueryReply::Found(status))) => Ok(task_response(&status)),
        Ok(Answer::Query(QueryReply::Absent)) => {
            let reason = "key: no task of this key is on record".to_owned();
            Err(Rejection::new(StatusCode::NOT_FOUND, reason, None))
        }
        Ok(Answer::Query(QueryReply::NotOwner)) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let reason = "the key's shard is changing hands".to_owned();
            Err(Rejection::new(status, reason, Some(UNKNOWN_RETRY_AFTER)))
        }
        Ok(_) | Err(_) => Err(Rejection::stopping()),
    }
}

async fn call(ctx: &Context<'_>) -> WebResponse {
    into_response(try_call(ctx).await)
}

async fn try_call(ctx: &Context<'_>) -> Result<WebResponse, Rejection> {
    let row = parse_name("row", &path(ctx).await)?;
    let key = header(ctx, REQUEST_KEY)?;
    let key = match key {
        Some(text) => Some(parse_key(REQUEST_KEY, &text)?),
        None => None,
    };
    let mut body = body(ctx).await?;
    let bytes = body.take();
    match ctx.state().engine.request(row, key, bytes).await {
        Ok(RequestReply::Answer(answer)) => Ok(answer_response(answer)),
        Ok(RequestReply::GiveUp(give_up)) => Err(rejection_from_give_up(give_up)),
        Err(_) => Err(Rejection::stopping()),
    }
}

fn header(ctx: &Context<'_>, name: &str) -> Result<Option<String>, Rejection> {
    let Some(value) = ctx.req().headers().get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) => Ok(Some(text.to_owned())),
        Err(_) => Err(Rejection::bad_request(format!("{name}: is not text"))),
    }
}

fn answer_response(answer: MinionAnswer) -> WebResponse {
    let status = StatusCode::from_u16(answer.status.as_u16()).unwrap_or(StatusCode::OK);
    let content_type = answer.content_type.as_deref();
    let content_type = content_type.unwrap_or("application/octet-stream");
    with_outcome(
        respond(status, content_type, answer.body),
        Outcome::Done,
        None,
    )
}

fn rejection_from_give_up(give_up: GiveUp) -> Rejection {
    let status = match (give_up.outcome, give_up.retry_after) {
        (Outcome::NotRun, Some(_)) => StatusCode::SERVICE_UNAVAILABLE,
        (Outcome::NotRun, None) => StatusCode::UNPROCESSABLE_ENTITY,
        (Outcome::Unknown | Outcome::Done, _) => StatusCode::GATEWAY_TIMEOUT,
    };
    Rejection {
        status,
        refusal: Refusal {
            outcome: give_up.outcome,
            reason: give_up.reason,
            retry_after_ms: give_up.retry_after.map(Duration::as_ms),
        },
    }
}

async fn show_row(ctx: &Context<'_>) -> WebResponse {
    into_response(try_show_row(ctx).await)
}

async fn try_show_row(ctx: &Context<'_>) -> Result<WebResponse, Rejection> {
    let name = parse_name("row", &path(ctx).await)?;
    let edits = ctx.state().edits.clone();
    let read = on_runtime(ctx, async move { edits.read(&name).await }).await?;
    match read {
        Ok(row) => Ok(json(StatusCode::OK, &row)),
        Err(error) => Ok(edit_error_response(&error)),
    }
}

async fn history(ctx: &Context<'_>) -> WebResponse {
    into_response(try_history(ctx).await)
}

async fn try_history(ctx: &Context<'_>) -> Result<WebResponse, Rejection> {
    let name = parse_name("row", &path(ctx).await)?;
    let edits = ctx.state().edits.clone();
    let read = on_runtime(ctx, async move { edits.history(&name).await }).await?;
    match read {
        Ok(entries) => Ok(json(StatusCode::OK, &entries)),
        Err(error) => Ok(edit_error_response(&error)),
    }
}

async fn put_row(ctx: &Context<'_>) -> WebResponse {
    into_response(try_put_row(ctx).await)
}

async fn try_put_row(ctx: &Context<'_>) -> Result<WebResponse, Rejection> {
    let row: Row = json_body(ctx).await?;
    edit(ctx, Some(row)).await
}

async fn delete_row(ctx: &Context<'_>) -> WebResponse {
    into_response(edit(ctx, None).await)
}

/// The header with the revision at which the operator read the row.
const IF_MATCH: &str = "if-match";
/// The query string that makes an edit not wait until all daemons use it.
const NO_WAIT: &str = "wait=no";

async fn edit(ctx: &Context<'_>, row: Option<Row>) -> Result<WebResponse, Rejection> {
    let name = parse_name("row", &path(ctx).await)?;
    if row.as_ref().is_some_and(|row| row.name != name) {
        let reason = format!("body.name: must be {name:?}, as in the path");
        return Err(Rejection::bad_request(reason));
    }
    let text = header(ctx, IF_MATCH)?;
    let revision = text.as_deref().map(str::parse::<u64>);
    let Some(Ok(revision)) = revision else {
        let reason = "if-match: must be the row's revision, 0 for a new row".to_owned();
        return Err(Rejection::bad_request(reason));
    };
    let wait_for_all = ctx.req().uri().query() != Some(NO_WAIT);
    let edits = ctx.state().edits.clone();
    let edit = async move { edits.edit(&name, row, revision, wait_for_all).await };
    match on_runtime(ctx, edit).await? {
        Ok(accepted) => Ok(json(StatusCode::OK, &accepted)),
        Err(error) => Ok(edit_error_response(&error)),
    }
}

/// Runs a store call on the runtime that owns the store's connections.
async fn on_runtime<T: Send + 'static>(
    ctx: &Context<'_>,
    work: impl core::future::Future<Output = T> + Send + 'static,
) -> Result<T, Rejection> {
    let done = ctx.state().runtime.spawn(work).await;
    done.map_err(|_| Rejection::stopping())
}

/// The body of the response to a failed edit.
#[derive(Serialize)]
struct EditRefusal<'a> {
    reason: String,
    /// The current row, if it has changed since the operator read it.
    newer: Option<&'a crate::table_edit::VersionedRow>,
    /// The differences from the current row to the rejected one.
    changes: &'a [ospreywing_table::CellChange],
}

fn edit_error_response(error: &EditError) -> WebResponse {
    let status = match error {
        EditError::Invalid(_) => StatusCode::UNPROCESSABLE_ENTITY,
        EditError::Conflict { .. } => StatusCode::CONFLICT,
        EditError::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
        EditError::Unknown => StatusCode::GATEWAY_TIMEOUT,
    };
    let (newer, changes): (_, &[ospreywing_table::CellChange]) = match error {
        EditError::Conflict { newer, changes } => (Some(newer.as_ref()), changes),
        _ => (None, &[]),
    };
    let refusal = EditRefusal {
        reason: error.to_string(),
        newer,
        changes,
    };
    let outcome = match error {
        EditError::Unknown => Outcome::Unknown,
        _ => Outcome::NotRun,
    };
    let retry_after = match error {
        EditError::Unavailable(_) | EditError::Unknown => Some(UNKNOWN_RETRY_AFTER),
        EditError::Invalid(_) | EditError::Conflict { .. } => None,
    };
    with_outcome(json(status, &refusal), outcome, retry_after)
}

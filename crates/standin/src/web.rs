//! Helpers for the stand-ins' HTTP handlers.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use xitca_web::handler::body::Limit;
use xitca_web::handler::params::Params;
use xitca_web::http::header::{HeaderValue, CONTENT_TYPE};
use xitca_web::http::{StatusCode, WebResponse};
use xitca_web::WebContext;

/// The maximum size of a request body; a transaction may hold a value of one MiB.
pub const BODY_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// The variable part of a path.
#[derive(Deserialize)]
struct Path {
    name: String,
}

/// Returns the variable part of the path.
pub async fn path<C>(ctx: &WebContext<'_, C>) -> String {
    let path = ctx.extract::<Params<Path>>().await;
    path.map(|Params(path)| path.name).unwrap_or_default()
}

/// Reads the body; returns `None` if it is too large.
pub async fn body<C>(ctx: &WebContext<'_, C>) -> Option<Vec<u8>> {
    let body = ctx.extract::<(Vec<u8>, Limit<BODY_LIMIT_BYTES>)>().await;
    body.ok().map(|(body, _)| body)
}

/// Reads the body as JSON.
///
/// # Errors
///
/// Returns an error if the body is too large or isn't valid JSON for `T`.
pub async fn json_body<C, T: DeserializeOwned>(ctx: &WebContext<'_, C>) -> Result<T, String> {
    let body = body(ctx).await.ok_or("body: too large")?;
    serde_json::from_slice(&body).map_err(|error| format!("body: {error}"))
}

/// Returns a JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> WebResponse {
    let body = serde_json::to_string(value).unwrap_or_default();
    let mut response = WebResponse::new(body.into());
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Returns a response with a status and a line of text.
pub fn text(status: StatusCode, text: &str) -> WebResponse {
    let mut response = WebResponse::new(format!("{text}\n").into());
    *response.status_mut() = status;
    response
}

//! A client of the system.

use crate::record::Record;
use http::Method;
use ospreywing_http::{Call, HttpClient};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// The host of all queues.
pub const HOST: &str = "roster.example";
/// The path prefix of the usual queue, of priority 1.
pub const PREFIX: &str = "/plan/";
/// The path prefix of the urgent queue, of priority 0.
pub const URGENT_PREFIX: &str = "/urgent/";
/// The path prefix of a queue of priority 0 with advice.
pub const ADVISED_PREFIX: &str = "/advised/";
/// A client's deadline.
const DEADLINE: Duration = Duration::from_millis(3000);
/// The pause between two attempts, and the attempts after the first.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
const RETRIES_COUNT: usize = 4;

/// A client.
#[derive(Clone)]
pub struct Client {
    http: HttpClient,
    record: Record,
}

impl Client {
    /// Creates a client.
    pub fn new(record: &Record) -> Self {
        Self {
            http: HttpClient::new(4),
            record: record.clone(),
        }
    }

    /// Makes one call; returns the status and the body, or `None` without an answer.
    pub async fn call(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Option<(u16, Value)> {
        let sent = format!("client {method} {path} to {to}");
        let call = Call::new(method, &to.to_string(), path, DEADLINE).with_header("host", HOST);
        let call = match body {
            Some(body) => call.with_json(body).ok()?,
            None => call,
        };
        let answer = self.http.call(call).await;
        match answer {
            Ok(answer) => {
                let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
                let status = answer.status.as_u16();
                self.record.line(&format!("{sent}: {status} {body}"));
                Some((status, body))
            }
            Err(error) => {
                self.record.line(&format!("{sent}: no answer ({error})"));
                None
            }
        }
    }

    /// Hands a job in, again under the same id if it is not accepted, at the nodes in turn.
    /// Returns whether it was accepted.
    pub async fn submit(&self, nodes: &[SocketAddr], id: &str, body: &Value) -> bool {
        self.submit_to(nodes, PREFIX, id, body).await
    }

    /// Hands a job in to a queue, as [`Self::submit`] does.
    pub async fn submit_to(
        &self,
        nodes: &[SocketAddr],
        prefix: &str,
        id: &str,
        body: &Value,
    ) -> bool {
        for attempt in 0..=RETRIES_COUNT {
            let to = nodes[attempt % nodes.len()];
            let answer = self
                .call(to, Method::POST, &format!("{prefix}{id}"), Some(body))
                .await;
            if answer.is_some_and(|(status, _)| status / 100 == 2) {
                return true;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        false
    }

    /// Asks the nodes in turn for a job's state, once each; returns the first one told.
    pub async fn state(&self, nodes: &[SocketAddr], id: &str) -> Option<String> {
        for to in nodes {
            let answer = self
                .call(*to, Method::GET, &format!("{PREFIX}{id}"), None)
                .await;
            let Some((status, body)) = answer else {
                continue;
            };
            if status == 410 {
                return Some("410".to_owned());
            }
            if let Some(state) = body["state"].as_str() {
                return Some(state.to_owned());
            }
        }
        None
    }
}

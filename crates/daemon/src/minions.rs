//! Calls to minions: `POST /run/ROW`.

use crate::engine::{EngineHandle, Message};
use http::{Method, StatusCode};
use ospreywing_http::{Answer, Call, HttpClient};
use ospreywing_node::Event;
use ospreywing_routing::Request;
use ospreywing_types::{api, Duration, Key, Name};

/// A minion's complete response.
#[derive(Clone, Debug)]
pub struct MinionAnswer {
    /// The status code.
    pub status: StatusCode,
    /// The content type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

impl MinionAnswer {
    fn new(answer: &Answer) -> Self {
        Self {
            status: answer.status,
            content_type: answer.header("content-type").map(str::to_owned),
            body: answer.body.to_vec(),
        }
    }
}

/// Sends requests to minions.
#[derive(Clone)]
pub struct Minions {
    http: HttpClient,
    engine: EngineHandle,
}

/// Idle connections kept to each minion; well below an eighth of its 64 connections.
const IDLE_CONNECTIONS: usize = 2;

impl Minions {
    /// Creates the client; results are sent to `engine`.
    pub fn new(engine: EngineHandle) -> Self {
        Self {
            http: HttpClient::new(IDLE_CONNECTIONS),
            engine,
        }
    }

    /// Sends a request to a minion, without retries.
    #[allow(clippy::too_many_arguments)]
    pub fn send(
        &self,
        request: Request,
        token: u64,
        addr: String,
        row: Name,
        key: Option<Key>,
        body: Vec<u8>,
        time_limit: Duration,
    ) {
        let this = self.clone();
        tokio::spawn(async move {
            let path = format!("/run/{row}");
            let mut call = Call::new(Method::POST, &addr, &path, time_limit.into()).with_body(body);
            if let Some(key) = key {
                call = call.with_header(api::REQUEST_KEY, key.as_str());
            }
            match this.http.call(call).await {
                Ok(answer) => {
                    let answer = MinionAnswer::new(&answer);
                    let message = Message::MinionAnswered {
                        request,
                        token,
                        answer,
                    };
                    this.engine.send(message).await;
                }
                Err(error) if error.is_not_sent() => {
                    this.engine.send_event(Event::RequestNotSent(request)).await;
                }
                Err(_) => {
                    this.engine
                        .send_event(Event::RequestInterrupted(request))
                        .await
                }
            }
        });
    }

    /// Reports to the engine that a request was not sent.
    pub fn not_sent(&self, request: Request) {
        let engine = self.engine.clone();
        tokio::spawn(async move { engine.send_event(Event::RequestNotSent(request)).await });
    }
}

//! Polls the platform's box list: `GET /boxes`.
//!
//! The list is long and rarely changes, so the requests are conditional (HTTP's
//! `ETag` and `If-None-Match`).

use crate::engine::EngineHandle;
use http::Method;
use ospreywing_http::{Call, HttpClient};
use ospreywing_node::Event;
use ospreywing_types::{BoxFacts, Duration};

const TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// Polls the list every `period`, without end, and sends it to the engine when it has changed.
pub async fn run(engine: EngineHandle, addr: String, period: Duration) {
    let http = HttpClient::new(1);
    let mut ticks = tokio::time::interval(period.into());
    let mut known: Option<Vec<BoxFacts>> = None;
    let mut tag = String::new();
    loop {
        ticks.tick().await;
        let mut call = Call::new(Method::GET, &addr, "/boxes", TIMEOUT);
        if !tag.is_empty() {
            call = call.with_header("if-none-match", &tag);
        }
        let Ok(answer) = http.call(call).await else {
            continue;
        };
        // The last list stays in use if this one is unchanged or can't be parsed.
        let Ok(boxes) = answer.json::<Vec<BoxFacts>>() else {
            continue;
        };
        tag = answer.header("etag").unwrap_or_default().to_owned();
        if known.as_ref() != Some(&boxes) {
            known = Some(boxes.clone());
            engine.send_event(Event::Boxes(boxes)).await;
        }
    }
}

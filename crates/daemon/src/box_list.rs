//! Polls the platform's box list: `GET /boxes`.
//!
//! The list is long and rarely changes, so the requests are conditional (HTTP's
//! `ETag` and `If-None-Match`).

use crate::box_entries::{parse_boxes, BoxEntryError};
use crate::engine::EngineHandle;
use http::{Method, StatusCode};
use ospreywing_http::{Answer, Call, HttpClient};
use ospreywing_node::Event;
use ospreywing_types::{BoxFacts, Duration};
use slog::{info, warn, Logger};

const TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);
/// Limits the unusable entries that are logged for one version of the list.
const LOGGED_ENTRIES_LIMIT_COUNT: usize = 8;

/// The last usable version of the list.
#[derive(Debug, Default)]
struct KnownList {
    boxes: Option<Vec<BoxFacts>>,
    tag: String,
    unusable: Vec<BoxEntryError>,
    /// Whether the last poll got no usable list.
    has_failed: bool,
}

impl KnownList {
    /// Applies the answer to a poll. Returns the boxes if they have changed; otherwise, and if the
    /// answer can't be used, the last list stays in use.
    fn apply(&mut self, answer: &Answer, log: &Logger) -> Option<Vec<BoxFacts>> {
        if answer.status == StatusCode::NOT_MODIFIED {
            self.record_success(log);
            return None;
        }
        if answer.status != StatusCode::OK {
            self.record_failure(log, &answer.status.to_string());
            return None;
        }
        let entries = match parse_boxes(&answer.body) {
            Ok(entries) => entries,
            Err(error) => {
                self.record_failure(log, &error.to_string());
                return None;
            }
        };
        self.record_success(log);
        answer
            .header("etag")
            .unwrap_or_default()
            .clone_into(&mut self.tag);
        self.record_unusable(log, entries.unusable);
        if self.boxes.as_ref() == Some(&entries.boxes) {
            return None;
        }
        self.boxes = Some(entries.boxes.clone());
        Some(entries.boxes)
    }

    /// Logs the entries that can't be used, if they are not those of the version before.
    fn record_unusable(&mut self, log: &Logger, unusable: Vec<BoxEntryError>) {
        if self.unusable == unusable {
            return;
        }
        let unusable_count = unusable.len();
        for error in unusable.iter().take(LOGGED_ENTRIES_LIMIT_COUNT) {
            warn!(log, "unusable box entry"; "error" => error.to_string(),
                "unusable" => unusable_count);
        }
        self.unusable = unusable;
    }

    fn record_failure(&mut self, log: &Logger, error: &str) {
        if !self.has_failed {
            warn!(log, "box list unavailable"; "error" => error);
        }
        self.has_failed = true;
    }

    fn record_success(&mut self, log: &Logger) {
        if self.has_failed {
            info!(log, "box list available");
        }
        self.has_failed = false;
    }
}

/// Polls the list every `period`, without end, and sends it to the engine when it has changed.
pub async fn run(engine: EngineHandle, addr: String, period: Duration, log: Logger) {
    let http = HttpClient::new(1);
    let mut ticks = tokio::time::interval(period.into());
    let mut known = KnownList::default();
    loop {
        ticks.tick().await;
        let mut call = Call::new(Method::GET, &addr, "/boxes", TIMEOUT);
        if !known.tag.is_empty() {
            call = call.with_header("if-none-match", &known.tag);
        }
        let answer = match http.call(call).await {
            Ok(answer) => answer,
            Err(error) => {
                known.record_failure(&log, &error.to_string());
                continue;
            }
        };
        if let Some(boxes) = known.apply(&answer, &log) {
            engine.send_event(Event::Boxes(boxes)).await;
        }
    }
}

//! Reads the platform's box list: `GET /boxes`.

use crate::engine::EngineHandle;
use http::Method;
use ospreywing_http::{Call, HttpClient};
use ospreywing_node::Event;
use ospreywing_types::{BoxFacts, Duration};

const TIME_LIMIT: std::time::Duration = std::time::Duration::from_secs(2);

/// Reads the list for ever and tells the engine when it has changed.
pub async fn run(engine: EngineHandle, addr: String, every: Duration) {
    let http = HttpClient::new(1);
    let mut ticks = tokio::time::interval(every.into());
    let mut known: Option<Vec<BoxFacts>> = None;
    loop {
        ticks.tick().await;
        let call = Call::new(Method::GET, &addr, "/boxes", TIME_LIMIT);
        let answer = http.call(call).await;
        let boxes = answer.and_then(|answer| answer.json::<Vec<BoxFacts>>());
        // A list that can't be read leaves the last one standing.
        let Ok(boxes) = boxes else { continue };
        if known.as_ref() != Some(&boxes) {
            known = Some(boxes.clone());
            engine.tell(Event::Boxes(boxes)).await;
        }
    }
}

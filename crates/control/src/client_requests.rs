//! Handles the requests of a client's connection.

use crate::body_reader::{self, BodyError};
use crate::client_connections::{ClientConnection, MadeRoom};
use crate::node::Node;
use crate::platform::{Call, Platform, Reply, RequestHead, RequestLimits, Retry};
use crate::refusal_log::Refusal;
use crate::{clock, requests};
use http::header::{HeaderValue, CONNECTION};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming as IncomingBody};
use ospreywing_types::Duration;
use std::convert::Infallible;
use std::rc::Rc;

/// The longest body that is read and discarded, and the time within which it must arrive.
/// Bodies of a few kilobytes arrive with the head or some milliseconds later.
const DISCARDED_BODY_LIMIT_BYTES: usize = 16 * 1024;
const DISCARD_BODY_TIMEOUT: Duration = Duration::from_ms(50);
/// When a client may retry a request that arrived before there was a configuration, or
/// while the configuration might be outdated.
const RETRY_LATER: Retry = Retry {
    after: Duration::from_ms(1000),
};

/// Responds to a client's request.
pub(crate) async fn respond<P: Platform>(
    node: &Rc<Node<P>>,
    request: Request<IncomingBody>,
    client: &ClientConnection,
) -> Result<Response<Full<Bytes>>, Infallible> {
    client.begin_request();
    let started_at = clock::now();
    let reply = handle_client_request(node, request, client).await;
    let is_room_wanted = client.end_request();
    node.metrics.count_reply(&reply, started_at);
    let mut response = node.platform.encode(&reply);
    if node.is_draining.get() || is_room_wanted {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

/// Handles a client request with the configuration that is active when its head is read.
async fn handle_client_request<P: Platform>(
    node: &Rc<Node<P>>,
    request: Request<IncomingBody>,
    client: &ClientConnection,
) -> Reply {
    let (parts, body) = request.into_parts();
    let Some(active) = node.current_configuration().await else {
        discard_body(body).await;
        return Reply::Unavailable(RETRY_LATER);
    };
    let head = RequestHead {
        method: &parts.method,
        path: parts.uri.path(),
        headers: &parts.headers,
    };
    let admission = match node.platform.admit(&active.routes, head) {
        Ok(admission) => admission,
        Err(reply) => {
            discard_body(body).await;
            return reply;
        }
    };
    let limits = P::limits(&active.routes);
    if let Err(reply) = read_client_body(node, body, limits, client).await {
        return reply;
    }
    let body = client.begin_handling().into_bytes();
    let parsed = node.platform.parse_call(admission, &body);
    drop(body);
    let call = match parsed {
        Ok(call) => call,
        Err(reply) => return reply,
    };
    if !record_room(node, &client.hold_parsed(parsed_bytes(&call))) {
        return Reply::Unavailable(RETRY_LATER);
    }
    let Some(_turn) = client.turn().await else {
        node.record_refusal(Refusal::RequestRefused);
        return Reply::Unavailable(RETRY_LATER);
    };
    requests::handle_call(node, call, &active.configuration).await
}

/// Returns how much memory a call takes up while it is handled.
fn parsed_bytes(call: &Call) -> usize {
    match call {
        Call::Submit { spec, .. } => spec.memory_bytes(),
        Call::Status { .. } | Call::Cancel { .. } | Call::Pending { .. } => 0,
    }
}

/// Reads a body into the memory that clients share.
async fn read_client_body<P: Platform>(
    node: &Rc<Node<P>>,
    body: IncomingBody,
    limits: RequestLimits,
    client: &ClientConnection,
) -> Result<(), Reply> {
    let limit_bytes = limits.body_limit_bytes;
    let keep = |data: &[u8]| record_room(node, &client.append_to_body(data));
    let reading = body_reader::read_with(body, limit_bytes, keep);
    match tokio::time::timeout(limits.read_timeout.into(), reading).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(BodyError::TooLong)) => Err(Reply::TooLarge { limit_bytes }),
        Ok(Err(BodyError::NoRoom)) => Err(Reply::Unavailable(RETRY_LATER)),
        Ok(Err(BodyError::Broken(error))) => Err(Reply::Invalid {
            field: "body".to_owned(),
            reason: error.to_string(),
        }),
        Err(_) => Err(Reply::TooSlow),
    }
}

/// Records the refusals that were needed to make room; returns whether there was room.
fn record_room<P: Platform>(node: &Rc<Node<P>>, room: &MadeRoom) -> bool {
    for _ in 0..room.displaced_count {
        node.record_refusal(Refusal::BodyDisplaced);
    }
    if !room.has_room {
        node.record_refusal(Refusal::BodyRefused);
    }
    room.has_room
}

/// Reads and discards the body of a request that is answered by its head alone, if the body
/// is short and arrives soon. Otherwise closing the connection would reset it, and the
/// answer would be lost.
async fn discard_body(body: IncomingBody) {
    let body = body_reader::discard_body(body, DISCARDED_BODY_LIMIT_BYTES);
    // A longer or slower body is dropped with its connection.
    let _ = tokio::time::timeout(DISCARD_BODY_TIMEOUT.into(), body).await;
}

//! Stores requests from arrival until the release of their last slot.

use crate::entity::{Minion, Request, Service};
use cranelift_entity::PrimaryMap;
use ospreywing_types::{Instant, Key};
use std::collections::HashMap;

/// Identifies the slot that a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SlotRef {
    pub(crate) minion: Minion,
    pub(crate) seat: u32,
}

/// The state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The entry is free for reuse.
    Vacant,
    /// The request waits for a slot.
    Queued,
    /// The request has a slot and waits for the grant of its only run.
    AwaitingKey(SlotRef),
    /// The request was sent.
    Sent(SlotRef),
}

/// One request.
#[derive(Clone, Debug)]
pub(crate) struct RequestData {
    pub(crate) service: Service,
    pub(crate) key: Option<Key>,
    pub(crate) sent_at: Instant,
    pub(crate) expires_at: Instant,
    pub(crate) retries_count: u32,
    pub(crate) stage: Stage,
    /// Whether the request's only run was granted.
    pub(crate) is_key_granted: bool,
    /// The caller; `None` once it has its final reply or has disconnected.
    pub(crate) token: Option<u64>,
}

/// All requests; free entries are reused.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestTable {
    requests: PrimaryMap<Request, RequestData>,
    free_entries: Vec<Request>,
    request_of_caller: HashMap<u64, Request>,
}

impl RequestTable {
    /// Adds a request.
    pub(crate) fn insert(&mut self, data: RequestData) -> Request {
        let token = data.token;
        let request = match self.free_entries.pop() {
            Some(request) => {
                self.requests[request] = data;
                request
            }
            None => self.requests.push(data),
        };
        if let Some(token) = token {
            self.request_of_caller.insert(token, request);
        }
        request
    }

    /// Frees a request's entry.
    pub(crate) fn remove(&mut self, request: Request) {
        self.detach_caller(request);
        self.requests[request].stage = Stage::Vacant;
        self.free_entries.push(request);
    }

    /// Removes and returns the caller, which gets no further reply.
    pub(crate) fn detach_caller(&mut self, request: Request) -> Option<u64> {
        let token = self.requests[request].token.take()?;
        self.request_of_caller.remove(&token);
        Some(token)
    }

    /// Returns the request of a caller.
    pub(crate) fn request_of_caller(&self, token: u64) -> Option<Request> {
        self.request_of_caller.get(&token).copied()
    }

    /// Returns a request's data.
    pub(crate) fn get(&self, request: Request) -> &RequestData {
        &self.requests[request]
    }

    /// Returns a request's data for modification.
    pub(crate) fn get_mut(&mut self, request: Request) -> &mut RequestData {
        &mut self.requests[request]
    }

    /// Iterates over all requests.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Request, &RequestData)> {
        let all = self.requests.iter();
        all.filter(|(_, data)| data.stage != Stage::Vacant)
    }

    /// Returns the number of requests.
    pub(crate) fn len(&self) -> usize {
        self.requests.len() - self.free_entries.len()
    }
}

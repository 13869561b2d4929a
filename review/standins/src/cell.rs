//! A small deployment: the platform's store, minions, and the system's nodes.

use crate::client::{call, HOST};
use crate::minion::{History, Minion, SERVICE};
use crate::node::{ip_of, Node};
use crate::record::Record;
use ospreywing_soak::store::{Store, StoreFault};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// The store's usual time for an answer, as on the pages.
const STORE_MS: u64 = 4;
/// The number of the store's entry for that time.
const USUAL_DELAY: usize = 0;

/// A deployment.
pub struct Cell {
    /// The store.
    pub store: Store,
    /// The minions.
    pub minions: Vec<Minion>,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// What the minions did.
    pub history: History,
    /// The record.
    pub record: Record,
}

/// Returns a route without advice.
pub fn route(name: &str, prefix: &str, priority: u32, max_attempts: u32) -> Value {
    json!({
        "name": name, "host": HOST, "pathPrefix": prefix, "service": SERVICE, "sloMs": 1000,
        "priority": priority, "maxAttempts": max_attempts, "stretch": 2.0,
    })
}

/// Returns a configuration.
pub fn configuration(version: u64, routes: &[Value]) -> Value {
    json!({
        "version": version, "routes": routes,
        "services": [{ "name": SERVICE, "enforcesCapacity": false }], "limits": {},
    })
}

impl Cell {
    /// Starts everything; returns `None` if the nodes are not ready in time.
    pub async fn start(
        dir: &Path,
        record: &Record,
        minions_count: u8,
        capacity: (u32, u32),
        nodes_count: u8,
        configuration: &Value,
    ) -> Option<Self> {
        let (store, address) = Store::start().await;
        store.set_large_pages();
        let fault = StoreFault {
            delay_ms: STORE_MS,
            ..StoreFault::default()
        };
        store.begin_fault(USUAL_DELAY, None, fault);
        store.write("op/config", configuration);
        let history = History::new(record.clone());
        let mut minions = Vec::new();
        for index in 0..minions_count {
            let ip = ip_of(100 + index);
            let address = SocketAddr::from((ip, 9000));
            let name = format!("m{index}");
            let rack = format!("r{}", index / 8);
            let mut minion = Minion::new(&name, address, &rack, capacity, &store, &history);
            minion.start().await;
            minions.push(minion);
        }
        let mut nodes: Vec<Node> = (1..=nodes_count)
            .map(|index| Node::new(dir, index, address))
            .collect();
        nodes.iter_mut().for_each(Node::start);
        let cell = Self {
            store,
            minions,
            nodes,
            history,
            record: record.clone(),
        };
        for _ in 0..150 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            if cell.are_ready().await {
                // The first leader has polled the minions by then.
                tokio::time::sleep(Duration::from_millis(2000)).await;
                record.line("all nodes are ready");
                return Some(cell);
            }
        }
        None
    }

    async fn are_ready(&self) -> bool {
        for node in &self.nodes {
            let answer = call(node.ready, "GET", "/v1/ready", "").await;
            if !matches!(answer, Some((200, _))) {
                return false;
            }
        }
        true
    }

    /// Sends a request to a node and records it.
    pub async fn call(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        send(
            &self.record,
            &self.nodes[node].name,
            self.nodes[node].front,
            method,
            path,
            body,
        )
        .await
    }
}

/// Sends a request and records it with its answer.
pub async fn send(
    record: &Record,
    name: &str,
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Option<(u16, String)> {
    record.line(&format!("client to {name}: {method} {path} {body}"));
    let answer = call(to, method, path, body).await;
    record.line(&format!(
        "client from {name}: {method} {path} -> {answer:?}"
    ));
    answer
}

//! A small deployment: the platform's store, the service for advice, minions and nodes.

use crate::client::{ADVISED_PREFIX, HOST, PREFIX, URGENT_PREFIX};
use crate::node::{ip_of, Node, NodeSpec};
use crate::workers::{Fleet, Workers, OTHER_SERVICE, SERVICE};
use crate::Case;
use http::Method;
use ospreywing_soak::event::NodeIndex;
use ospreywing_soak::store::Store;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

const ZONES: [&str; 3] = ["colombo-a", "colombo-b", "negombo"];

/// A deployment.
pub struct Cell {
    store: Store,
    specs: Vec<NodeSpec>,
    /// The minions.
    pub workers: Workers,
    /// The nodes.
    pub nodes: Vec<Node>,
}

impl Cell {
    /// Starts everything, and waits until every node is ready.
    pub async fn start(
        case: &Case,
        nodes_count: usize,
        fleet: Fleet,
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let (store, _) = Store::start().await;
        store.set_large_pages();
        let config = json!({
            "version": 1,
            "routes": [
                {
                    "name": "plan", "host": HOST, "pathPrefix": PREFIX, "service": SERVICE,
                    "sloMs": 1000, "priority": 1, "maxAttempts": 3, "stretch": 3.0,
                },
                {
                    "name": "urgent", "host": HOST, "pathPrefix": URGENT_PREFIX,
                    "service": SERVICE, "sloMs": 1000, "priority": 0, "maxAttempts": 3,
                    "stretch": 3.0,
                },
                {
                    "name": "advised", "host": HOST, "pathPrefix": ADVISED_PREFIX,
                    "service": SERVICE, "sloMs": 1000, "priority": 0, "maxAttempts": 3,
                    "stretch": 3.0,
                    "advice": { "decisionMs": 5.0, "perItemMs": 0.2, "validityMs": 2500.0 },
                },
            ],
            "services": [
                { "name": SERVICE, "enforcesCapacity": false },
                { "name": OTHER_SERVICE, "enforcesCapacity": false },
            ],
            "limits": {},
        });
        store.write("op/config", &config);
        let workers = Workers::start(fleet, &store, &case.record).await;
        let advice = ospreywing_soak::adviser::start(100).await;
        let mut nodes = Vec::new();
        let mut specs = Vec::new();
        for index in 0..nodes_count {
            let spec = NodeSpec {
                name: format!("front-{}-{index}", ZONES[index % ZONES.len()]),
                ip: ip_of(index),
                zone: ZONES[index % ZONES.len()].to_owned(),
                store: store.serve_node(NodeIndex(index)).await,
                advice,
            };
            nodes.push(Node::start(&spec, &case.binary, &case.dir)?);
            specs.push(spec);
        }
        let cell = Self {
            store,
            specs,
            workers,
            nodes,
        };
        for _ in 0..150 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            if cell.ready_count().await == nodes_count {
                case.record.say("all nodes are ready");
                return Ok(cell);
            }
        }
        Err("the nodes are not ready after 15 s".into())
    }

    /// Returns how many nodes say that they are ready.
    pub async fn ready_count(&self) -> usize {
        let client = ospreywing_http::HttpClient::new(1);
        let mut count = 0;
        for node in &self.nodes {
            let address = node.ready.to_string();
            let limit = Duration::from_millis(500);
            let call = ospreywing_http::Call::new(Method::GET, &address, "/v1/ready", limit);
            let answer = client.call(call).await;
            count += usize::from(answer.is_ok_and(|answer| answer.status.as_u16() == 200));
        }
        count
    }

    /// Kills the node that leads, by the store's record, and returns its index.
    pub fn kill_leader(&mut self) -> Option<usize> {
        let record = self.store.read("ospreywing/cell/leader")?;
        let has_name = |name: &str| {
            record
                .windows(name.len())
                .any(|text| text == name.as_bytes())
        };
        let index = self.specs.iter().position(|spec| has_name(&spec.name))?;
        self.nodes[index].kill();
        Some(index)
    }

    /// Starts a node that was killed, at the same addresses.
    pub fn restart(&mut self, index: usize, case: &Case) -> std::io::Result<()> {
        self.nodes[index].restart(&case.binary)
    }

    /// Returns the addresses for clients.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.front).collect()
    }

    /// Returns the nodes that have ended, with how.
    pub fn ended(&mut self) -> Vec<String> {
        let ended = self.nodes.iter_mut().enumerate();
        let ended =
            ended.filter_map(|(index, node)| Some(format!("node {index}: {}", node.ended()?)));
        ended.collect()
    }
}

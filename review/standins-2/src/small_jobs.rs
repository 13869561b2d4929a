//! Small jobs that come one after the other, and the judgement whether any of them was lost.

use crate::cell::Cell;
use crate::client::Client;
use crate::record::Record;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinHandle;

/// The time between two jobs.
pub const PERIOD: Duration = Duration::from_millis(500);
/// The time for which a job may have nothing running while there is room.
const IDLE_LIMIT_MS: u64 = 3000;
/// `finish_s`.
const FINISH: Duration = Duration::from_secs(14);

/// The jobs that were handed in.
pub struct SmallJobs {
    client: Client,
    record: Record,
    work_ms: u64,
    fronts: Vec<SocketAddr>,
    accepted_ms: Vec<JoinHandle<Option<u64>>>,
}

fn id_of(number: usize) -> String {
    format!("{:016x}", 0xa000_0000_0000_0000 + number as u64)
}

impl SmallJobs {
    /// Creates the client; each task works for `work_ms`.
    pub fn new(client: &Client, record: &Record, fronts: &[SocketAddr], work_ms: u64) -> Self {
        Self {
            work_ms,
            client: client.clone(),
            record: record.clone(),
            fronts: fronts.to_vec(),
            accepted_ms: Vec::new(),
        }
    }

    /// Hands `count` jobs in, one after the other, at the nodes in turn.
    pub async fn send(&mut self, count: usize) {
        for _ in 0..count {
            let number = self.accepted_ms.len();
            let (client, record) = (self.client.clone(), self.record.clone());
            let nodes = self.fronts.iter().cycle().skip(number % self.fronts.len());
            let nodes: Vec<SocketAddr> = nodes.take(self.fronts.len()).copied().collect();
            let body = json!({
                "spec": self.work_ms.to_string(),
                "steps": [{
                    "count": 2, "cpu": 5600, "memMb": 1000, "estimateMs": self.work_ms,
                }],
            });
            self.accepted_ms.push(tokio::spawn(async move {
                let is_accepted = client.submit(&nodes, &id_of(number), &body).await;
                is_accepted.then(|| record.now_ms())
            }));
            tokio::time::sleep(PERIOD).await;
        }
    }

    /// Waits for the end and asks for every accepted job; returns how many were lost: nothing of
    /// the job ran for 3 s although there was room, or it is not complete in the end.
    pub async fn judge(self, cell: &mut Cell) -> Result<usize, tokio::task::JoinError> {
        self.record.say("the traffic has ended");
        tokio::time::sleep(FINISH).await;
        let mut asked = Vec::new();
        for (number, accepted) in self.accepted_ms.into_iter().enumerate() {
            let Some(accepted_ms) = accepted.await? else {
                continue;
            };
            let (client, nodes) = (self.client.clone(), self.fronts.clone());
            let state = tokio::spawn(async move { client.state(&nodes, &id_of(number)).await });
            asked.push((id_of(number), accepted_ms, state));
        }
        let accepted_count = asked.len();
        let mut lost_count = 0;
        for (id, accepted_ms, state) in asked {
            let seen = cell.workers.seen(&id);
            let first_ms = seen.iter().map(|seen| seen.at_ms).min();
            let began_ms = first_ms.unwrap_or(self.record.now_ms());
            let state = state.await?;
            let is_idle = began_ms.saturating_sub(accepted_ms) > IDLE_LIMIT_MS;
            if is_idle || state.as_deref() != Some("complete") {
                lost_count += 1;
                self.record.line(&format!(
                    "LOST {id}: accepted at {accepted_ms} ms, first run at {first_ms:?} ms, \
                     state in the end {state:?}"
                ));
            }
        }
        let ended = cell.ended();
        let ready_count = cell.ready_count().await;
        self.record.say(&format!(
            "{accepted_count} small jobs accepted, {lost_count} of them lost; nodes that ended: \
             {ended:?}; nodes ready: {ready_count}"
        ));
        Ok(lost_count + ended.len())
    }
}

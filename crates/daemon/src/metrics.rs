//! Metrics, sent as StatsD packets over UDP and served as text over HTTP.

use crate::body_memory::BodyMemory;
use crate::engine::EngineHandle;
use cadence::{Gauged, StatsdClient, UdpMetricSink};
use ospreywing_node::CellReport;
use std::fmt::Write;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Numbers of store calls, by kind.
#[derive(Debug, Default)]
pub struct StoreCounts {
    /// Polls of the keys under `control/`.
    pub polls_count: AtomicU64,
    /// Commits to the log of a shard.
    pub commits_count: AtomicU64,
    /// Calls that claim or vacate shards and seats.
    pub claims_count: AtomicU64,
    /// Reads of the log of a shard.
    pub log_reads_count: AtomicU64,
    /// Calls that maintain this daemon's member entry.
    pub leases_count: AtomicU64,
    /// Reads and writes for table edits.
    pub edits_count: AtomicU64,
    /// Failed transactions for claims and commits.
    pub failures_count: AtomicU64,
}

impl StoreCounts {
    /// Increments a counter.
    pub fn add(count: &AtomicU64) {
        count.fetch_add(1, Ordering::Relaxed);
    }
}

/// A metric's name and value.
struct Metric {
    name: &'static str,
    value: u64,
}

fn metrics(report: &CellReport, store: &StoreCounts, bodies: &BodyMemory) -> Vec<Metric> {
    let stored = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let sum = |part: fn(&ospreywing_node::ShardReport) -> u64| report.shards.iter().map(part).sum();
    let metric = |name, value| Metric { name, value };
    vec![
        metric("requests_done", report.requests_done_count),
        metric("requests_not_run", report.requests_not_run_count),
        metric("requests_unknown", report.requests_unknown_count),
        metric("requests_open", report.requests_open_count as u64),
        metric("tasks_waiting", sum(|s| s.waiting_count as u64)),
        metric("tasks_started", sum(|s| s.started_count as u64)),
        metric("tasks_submitted", sum(|s| s.submitted_count)),
        metric("tasks_ended", sum(|s| s.ended_count)),
        metric("attempts_requeued", sum(|s| s.requeued_count)),
        metric("attempts_stray", sum(|s| s.stray_attempts_count)),
        metric("commit_bytes", sum(|s| s.commit_bytes)),
        metric("shards_owned", report.shards.len() as u64),
        metric("table_revision", report.table_revision),
        metric("bodies_refused", bodies.refused_count()),
        metric("store_polls", stored(&store.polls_count)),
        metric("store_commits", stored(&store.commits_count)),
        metric("store_claims", stored(&store.claims_count)),
        metric("store_log_reads", stored(&store.log_reads_count)),
        metric("store_leases", stored(&store.leases_count)),
        metric("store_edits", stored(&store.edits_count)),
        metric("store_failures", stored(&store.failures_count)),
    ]
}

/// Formats the metrics as text, one name and value per line.
pub fn text(report: &CellReport, store: &StoreCounts, bodies: &BodyMemory) -> String {
    let mut text = String::new();
    for metric in metrics(report, store, bodies) {
        // Writing to a string doesn't fail.
        let _ = writeln!(text, "ospreywing_{} {}", metric.name, metric.value);
    }
    text
}

const SEND_PERIOD: Duration = Duration::from_secs(10);

/// Creates a StatsD client.
///
/// # Errors
///
/// Returns an error if the UDP socket can't be opened.
pub fn client(addr: SocketAddr) -> Result<StatsdClient, std::io::Error> {
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(addr, socket).map_err(std::io::Error::other)?;
    Ok(StatsdClient::from_sink("ospreywing", sink))
}

/// Sends the metrics every [`SEND_PERIOD`] until the engine stops.
pub async fn run(
    client: StatsdClient,
    engine: EngineHandle,
    store: Arc<StoreCounts>,
    bodies: BodyMemory,
) {
    let mut ticks = tokio::time::interval(SEND_PERIOD);
    loop {
        ticks.tick().await;
        let report = engine.query_node(|node, now| node.report(now)).await;
        let Ok(report) = report else { return };
        for metric in metrics(&report, &store, &bodies) {
            // A failed send is ignored: the next period sends the value again.
            let _ = client.gauge(metric.name, metric.value);
        }
    }
}

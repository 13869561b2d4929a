//! Starts the daemon's components, runs them and shuts them down.

use crate::api::{self, Api};
use crate::body_memory::BodyMemory;
use crate::engine::{Effects, Engine, EngineHandle};
use crate::error::DaemonError;
use crate::layout::Layout;
use crate::metrics::{self, StoreCounts};
use crate::minions::Minions;
use crate::peer_client::PeerClients;
use crate::sessions::Sessions;
use crate::store_calls::{Backoff, StoreCalls};
use crate::store_poll::StorePoll;
use crate::table_edit::TableEdits;
use crate::{box_list, peer_server};
use ospreywing_membership::{Member, MembershipConfig};
use ospreywing_node::{Event, Node, NodeConfig};
use ospreywing_settings::Settings;
use ospreywing_store::{Compare, Op, StoreClient, Txn};
use ospreywing_types::DaemonIdentity;
use slog::{info, Logger};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::Notify;

/// Threads that serve the HTTP API.
const API_THREADS_COUNT: usize = 1;
/// Time for responses to reach callers after all work is done.
const REPLY_FLUSH_TIME: std::time::Duration = std::time::Duration::from_millis(300);

/// Runs the daemon until a signal stops it and it has drained.
///
/// # Errors
///
/// Returns an error if a socket can't be opened or the cell in the store has a different
/// number of shards.
pub async fn run(settings: Settings, log: Logger) -> Result<(), DaemonError> {
    let (engine, messages) = EngineHandle::new();
    let (rpc, rpc_addr) = peer_server::start(settings.rpc_addr, engine.clone())
        .await
        .map_err(|source| socket_error("--rpc-addr", settings.rpc_addr, source))?;
    let listener = TcpListener::bind(settings.http_addr)
        .map_err(|source| socket_error("--http-addr", settings.http_addr, source))?;
    let http_addr = listener
        .local_addr()
        .map_err(|source| socket_error("--http-addr", settings.http_addr, source))?;
    let member = member(&settings, rpc_addr, http_addr);
    let store_timeout = settings.store_time_limit.into();
    let store = StoreClient::new(&settings.store_addr.to_string(), store_timeout);
    let layout = Layout::new(&settings.cell);
    check_shards(&store, &layout, settings.shards_count).await?;

    let counts = Arc::new(StoreCounts::default());
    let wake = Arc::new(Notify::new());
    let calls = StoreCalls::new(
        store.clone(),
        layout.clone(),
        engine.clone(),
        Arc::clone(&counts),
        member.clone(),
        Arc::clone(&wake),
    );
    let edits = TableEdits::new(
        store.clone(),
        layout.clone(),
        engine.clone(),
        Arc::clone(&counts),
        settings.name.clone(),
        Arc::clone(&wake),
    );
    let bodies = BodyMemory::new(settings.body_memory_mib);
    let api = Api {
        engine: engine.clone(),
        edits,
        counts: Arc::clone(&counts),
        bodies: bodies.clone(),
        log: log.clone(),
        runtime: tokio::runtime::Handle::current(),
    };
    let stop_api = api::start(listener, api, API_THREADS_COUNT)
        .map_err(|source| socket_error("--http-addr", http_addr, source))?;

    let is_registered = Arc::new(AtomicBool::new(false));
    let member_key = layout.member(&settings.name);
    let poll = StorePoll::new(
        store,
        layout,
        engine.clone(),
        Arc::clone(&counts),
        member_key,
        Arc::clone(&is_registered),
    );
    tokio::spawn(poll.run(settings.poll_every, wake));
    tokio::spawn(calls.clone().maintain_member_entry(is_registered));
    let boxes_addr = settings.boxes_addr.to_string();
    tokio::spawn(box_list::run(
        engine.clone(),
        boxes_addr,
        settings.boxes_every,
        log.clone(),
    ));
    if let Some(addr) = settings.statsd_addr {
        let client =
            metrics::client(addr).map_err(|source| socket_error("--statsd-addr", addr, source))?;
        tokio::spawn(metrics::run(client, engine.clone(), counts, bodies));
    }
    tokio::spawn(drain_on_signal(engine.clone(), log.clone()));

    info!(log, "started"; "http" => http_addr.to_string(), "rpc" => rpc_addr.to_string(),
        "incarnation" => member.identity.incarnation);
    let effects = Effects {
        store: calls.clone(),
        sessions: Sessions::new(engine.clone()),
        peers: PeerClients::new(member.identity.clone(), engine.clone()),
        minions: Minions::new(engine),
    };
    let node = Node::new(node_config(&settings, member));
    let drain_limit = settings.drain_limit;
    Engine::new(node, effects, log)
        .run(messages, drain_limit)
        .await;
    calls.deregister().await;
    tokio::time::sleep(REPLY_FLUSH_TIME).await;
    stop_api();
    // The RPC endpoint closes last: a refused connection to it proves to other daemons that
    // this process has ended.
    let _ = rpc.stop();
    Ok(())
}

fn socket_error(what: &'static str, addr: SocketAddr, source: std::io::Error) -> DaemonError {
    DaemonError::Socket {
        what,
        addr: addr.to_string(),
        source,
    }
}

fn member(settings: &Settings, rpc_addr: SocketAddr, http_addr: SocketAddr) -> Member {
    Member {
        identity: DaemonIdentity {
            name: settings.name.clone(),
            incarnation: rand::random(),
            rpc_addr: rpc_addr.to_string(),
        },
        http_addr: http_addr.to_string(),
        data_centre: settings.data_centre.clone(),
        box_name: settings.box_name.clone(),
    }
}

fn node_config(settings: &Settings, member: Member) -> NodeConfig {
    let mut membership = MembershipConfig::new(member, settings.shards_count);
    membership.seat_quarantine = settings.seat_quarantine;
    membership.unlisted_quarantine = settings.unlisted_quarantine;
    let mut config = NodeConfig::new(membership, rand::random());
    config.commit_rate_per_s = settings.commit_rate_per_s;
    config.router.queue_limit_count = settings.queue_limit_count as usize;
    config.router.slot_quarantine = settings.seat_quarantine;
    config.owner.lease = settings.task_lease;
    config.owner.unlisted_quarantine = settings.unlisted_quarantine;
    config.owner.result_retention = settings.result_retention;
    config.owner.key_retention = settings.result_retention;
    config.owner.waiting_limit_count = settings.waiting_limit_count as usize;
    config
}

/// Stores the cell's number of shards, or checks it against the stored number.
///
/// # Errors
///
/// Returns [`DaemonError::ShardsCount`] if the numbers differ.
async fn check_shards(
    store: &StoreClient,
    layout: &Layout,
    shards_count: u32,
) -> Result<(), DaemonError> {
    let key = layout.shards();
    let txn = Txn::new()
        .with_compare(Compare::Absent { key: key.clone() })
        .with_then(Op::Put {
            key: key.clone(),
            value: shards_count.to_string().into_bytes(),
            lease: 0,
        })
        .with_otherwise(Op::Get { key });
    let mut backoff = Backoff::new();
    let reply = loop {
        match store.txn(&txn).await {
            Ok(reply) => break reply,
            // A daemon that starts during a store outage waits until the store responds.
            Err(_) => backoff.wait().await,
        }
    };
    let found = reply.pages.first().and_then(|page| page.key_values.first());
    let text = found.map(|found| String::from_utf8_lossy(&found.value).into_owned());
    match text.and_then(|text| text.parse::<u32>().ok()) {
        Some(cell) if cell != shards_count => Err(DaemonError::ShardsCount {
            setting: shards_count,
            cell,
        }),
        _ => Ok(()),
    }
}

async fn drain_on_signal(engine: EngineHandle, log: Logger) {
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    info!(log, "leaving");
    engine.send_event(Event::Leave).await;
}

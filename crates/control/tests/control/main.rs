//! Tests of a node's parts, mostly against an in-memory store.

mod admission;
mod body_buffer;
mod campaign;
mod cancels;
mod client_limits;
mod connection_table;
mod cordons;
mod failure_detector;
mod follow;
mod freshness;
mod handover;
mod held_starts;
mod intake_snapshot;
mod lateness;
mod logging;
mod metrics;
mod peer_messages;
mod recovery;
mod refusal_log;
mod relays;
mod store_outage;
mod store_writes;
mod stored_view;
mod support;
mod suspension;
mod worker_list;

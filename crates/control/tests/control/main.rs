//! Tests of a node's parts against a store in memory.

mod admission;
mod campaign;
mod cordons;
mod failure_detector;
mod following;
mod freshness;
mod handing_on;
mod lateness;
mod logging;
mod measuring;
mod recovering;
mod relays;
mod silence;
mod store_writes;
mod support;
mod suspension;
mod viewing;
mod worker_list;

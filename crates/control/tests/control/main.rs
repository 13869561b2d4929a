//! Tests of a node's parts against a store in memory.

mod campaign;
mod following;
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

//! Stand-ins for the processes around the system: the platform, workers, minions
//! and callers. None of them is part of the product.
//!
//! Workers and minions execute every order and record what was run. The platform's
//! store implements compare-and-swap, leases and rate limits. Faults are injected
//! over HTTP (`/admin/faults`) while a stand-in runs.

pub mod boxes;
pub mod drive;
pub mod faults;
pub mod judge;
pub mod kv;
pub mod minion;
pub mod platform;
pub mod rate;
pub mod record;
pub mod trace_maker;
pub mod web;
pub mod worker;

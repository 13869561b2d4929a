//! Stand-ins for what the system meets: the platform, workers, minions, callers.
//!
//! They are small and honest: a worker and a minion do what they are told and
//! keep a record of what really ran; the platform's store keeps its promises
//! and its limits. Each has switches for the faults of the brief, reachable
//! over HTTP while it runs. None of them is part of the product.

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

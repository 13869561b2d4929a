//! Replays a recorded trace through a shard owner's decisions and measures them.
//!
//! The decisions are those of [`ospreywing_shard::Owner`], with the trace's time
//! as time. The wall clock is read only to measure what a decision costs.

mod baseline;
mod error;
mod measurements;
mod replayer;
mod report;
mod trace;

pub use baseline::replay_first_fit;
pub use error::TraceError;
pub use replayer::replay_trace;
pub use report::{Packing, Quantiles, ReplayReport, RowWait};
pub use trace::{TaskArrival, Trace, TraceEvent, TraceStep, FORMAT};

//! Replays a recorded trace through the placement code of a shard owner and measures its
//! decisions.
//!
//! [`ospreywing_shard::Owner`] makes the decisions, with the trace's time as its clock. The
//! real clock is read only to measure how long decisions take.

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

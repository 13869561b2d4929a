//! The command-line tool for operators. It calls the daemons over HTTP.

mod client;
pub mod command;
mod delays;
mod error;
mod explain;
mod input;
mod print;
mod replay;
mod report;
mod run;
mod settings_check;
mod soak;
mod table_commands;
mod task_commands;

pub use client::Daemons;
pub use delays::{delays_by_queue, Delays, QueueDelays};
pub use error::{CliError, ExitKind};
pub use explain::{ClockJump, Entry, RequestTimeline};
pub use run::run;
pub use soak::Seeds;

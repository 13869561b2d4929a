//! The decisions of request routing.
//!
//! Which minion gets a request, whether it waits or is refused, and what its
//! caller is told when something breaks. No I/O, no clock: [`Event`]s and an
//! instant in, [`Action`]s out, choices drawn from a given seed.

mod action;
mod burn;
mod config;
mod entity;
mod event;
mod minion;
mod rate;
mod request;
mod router;
mod service;
mod verifier;

pub use action::{Action, GiveUp};
pub use burn::{Burn, BurnReport, Window};
pub use config::RouterConfig;
pub use entity::{Minion, Request, Service};
pub use event::{Arrival, Event};
pub use router::{Counts, Router};
pub use verifier::{verify, VerifierError};

//! Routes requests to minions.
//!
//! The router selects a minion for each request, queues or rejects the request,
//! and determines the caller's reply when no answer arrives. It performs no I/O
//! and reads no clock: it maps [`Event`]s and the current instant to
//! [`Action`]s, and draws random choices from a seeded generator.

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

//! A bounded HTTP/1.1 client that says whether a request can have been received.
//!
//! A thin layer over `hyper`. Every call has a time limit and a limit on
//! the size of the answer, nothing is sent twice, and an error tells apart
//! what was certainly not sent from what may have been received.

mod client;
mod connection;
mod error;
mod peer;
mod pool;

pub use client::{Answer, Call, HttpClient};
pub use error::HttpError;
pub use peer::{ConnectionId, PeerId};

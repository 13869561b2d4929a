//! An HTTP/1.1 client whose errors say whether the peer may have received the request.
//!
//! A thin layer over `hyper`. Every call has a timeout and a limit on the response
//! size, and no request is sent twice. Errors distinguish requests that were not sent
//! from requests that the peer may have received.

mod call;
mod client;
mod connection;
mod error;
mod peer;
mod pool;
mod timeouts;

pub use call::{Answer, Call, PeerAnswer};
pub use client::HttpClient;
pub use error::HttpError;
pub use peer::{ConnectionId, PeerId};

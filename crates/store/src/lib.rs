//! Client of the platform's key-value store.
//!
//! The client speaks etcd's v3 API in its JSON form (the gRPC gateway), a
//! published protocol that needs no code generator. The protocol is contained in
//! [`wire`]; supporting another store means replacing [`wire`] and
//! [`StoreClient`].

mod client;
mod error;
mod key_value;
mod txn;
pub mod wire;

pub use client::StoreClient;
pub use error::StoreError;
pub use key_value::{KeyValue, Page};
pub use txn::{Compare, Op, Txn, TxnReply};

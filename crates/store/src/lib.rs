//! Client of the platform's key-value store.
//!
//! The store is met through etcd's v3 interface in its JSON form (the gRPC
//! gateway): a published protocol that needs no code generator. Everything of
//! that protocol stays in [`wire`]; another store is another [`wire`] and
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

//! Transactions: operations that depend on conditions.

use crate::key_value::Page;

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key last changed at this revision; zero matches an absent key.
    ModRevision {
        /// The key.
        key: String,
        /// The revision.
        revision: u64,
    },
    /// The key is absent.
    Absent {
        /// The key.
        key: String,
    },
}

/// An operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Writes a value.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// The lease whose end deletes the key; zero for none.
        lease: u64,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        key: String,
    },
    /// Deletes the keys from `first` (inclusive) to `end` (exclusive).
    DeleteRange {
        /// The first key.
        first: String,
        /// The first key that is not deleted.
        end: String,
    },
    /// Reads a key.
    Get {
        /// The key.
        key: String,
    },
}

/// An atomic transaction: runs `then` if all conditions hold, else `otherwise`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions.
    pub compares: Vec<Compare>,
    /// The operations that run if all conditions hold.
    pub then: Vec<Op>,
    /// The operations that run if any condition does not hold.
    pub otherwise: Vec<Op>,
}

impl Txn {
    /// Creates an empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a condition.
    pub fn with_compare(mut self, compare: Compare) -> Self {
        self.compares.push(compare);
        self
    }

    /// Adds an operation that runs if all conditions hold.
    pub fn with_then(mut self, op: Op) -> Self {
        self.then.push(op);
        self
    }

    /// Adds an operation that runs if any condition does not hold.
    pub fn with_otherwise(mut self, op: Op) -> Self {
        self.otherwise.push(op);
        self
    }
}

/// The result of a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TxnReply {
    /// Whether all conditions held.
    pub succeeded: bool,
    /// The store revision after the transaction.
    pub revision: u64,
    /// The result of each [`Op::Get`], in order.
    pub pages: Vec<Page>,
}

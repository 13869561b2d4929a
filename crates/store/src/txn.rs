//! Transactions: writes on conditions.

use crate::key_value::Page;

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key's last change has this revision; zero where the key is absent.
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

/// One step of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Puts a value.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// The lease that it lives by; zero for none.
        lease: u64,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        key: String,
    },
    /// Deletes the keys from `first` up to but without `end`.
    DeleteRange {
        /// The first key.
        first: String,
        /// The first key that is kept.
        end: String,
    },
    /// Reads a key.
    Get {
        /// The key.
        key: String,
    },
}

/// Steps to take on conditions, all or none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions.
    pub compares: Vec<Compare>,
    /// The steps where all conditions hold.
    pub then: Vec<Op>,
    /// The steps where one does not.
    pub otherwise: Vec<Op>,
}

impl Txn {
    /// Creates a transaction that does nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a condition.
    pub fn with_compare(mut self, compare: Compare) -> Self {
        self.compares.push(compare);
        self
    }

    /// Adds a step for when all conditions hold.
    pub fn with_then(mut self, op: Op) -> Self {
        self.then.push(op);
        self
    }

    /// Adds a step for when a condition does not hold.
    pub fn with_otherwise(mut self, op: Op) -> Self {
        self.otherwise.push(op);
        self
    }
}

/// What a transaction did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TxnReply {
    /// Whether all conditions held.
    pub succeeded: bool,
    /// The store's revision after it.
    pub revision: u64,
    /// What the [`Op::Get`]s found, in order.
    pub pages: Vec<Page>,
}

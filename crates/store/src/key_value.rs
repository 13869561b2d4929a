//! Results of reads: keys with their values and revisions.

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The store revision at which the key last changed.
    pub mod_revision: u64,
}

/// A page of the keys of a range.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The store revision at which the page was read.
    pub revision: u64,
    /// The keys, in order.
    pub key_values: Vec<KeyValue>,
    /// The number of keys in the whole range.
    pub count: u64,
    /// Whether the range has more keys after this page.
    pub has_more: bool,
}

//! Keys with their values and revisions.

/// One key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// The store's revision of its last change.
    pub mod_revision: u64,
}

/// Some of the keys of a range.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The store's revision that the page shows.
    pub revision: u64,
    /// The keys, in order.
    pub key_values: Vec<KeyValue>,
    /// How many keys the whole range has.
    pub count: u64,
    /// Whether the range has more keys after these.
    pub has_more: bool,
}

//! The keys by which callers are identified as customers.

use siphasher::sip128::{Hasher128, SipHasher24};
use std::collections::HashMap;
use std::hash::Hasher;
use std::sync::Arc;

/// The longest key that is looked up; a longer one belongs to no customer.
const KEY_LIMIT_BYTES: usize = 1024;

/// A keyed hash under which a process keeps customers' keys.
#[derive(Clone, Copy)]
pub struct KeyHasher {
    low: u64,
    high: u64,
}

impl KeyHasher {
    /// Creates a hash with a secret, which must be chosen at random for each process.
    pub const fn new(secret: (u64, u64)) -> Self {
        Self {
            low: secret.0,
            high: secret.1,
        }
    }

    fn digest(&self, key: &[u8]) -> u128 {
        let mut hasher = SipHasher24::new_with_keys(self.low, self.high);
        hasher.write(key);
        hasher.finish128().as_u128()
    }
}

impl core::fmt::Debug for KeyHasher {
    fn fmt(&self, f: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        f.write_str("KeyHasher")
    }
}

/// The customers' keys of one configuration.
///
/// Only digests under the process's own secret are kept: a dump of them reveals no key, and
/// a look-up takes as long for an almost correct key as for any other.
#[derive(Clone)]
pub struct Credentials {
    hasher: KeyHasher,
    customers: HashMap<u128, Arc<str>>,
}

impl Credentials {
    /// Creates an empty table.
    pub fn new(hasher: KeyHasher) -> Self {
        Self {
            hasher,
            customers: HashMap::new(),
        }
    }

    /// Adds a customer's key. A key that is added for two customers belongs to the first; an
    /// empty or too long key is ignored.
    pub fn add(&mut self, key: &str, customer: &Arc<str>) {
        if !key.is_empty() && key.len() <= KEY_LIMIT_BYTES {
            let digest = self.hasher.digest(key.as_bytes());
            let known = self.customers.entry(digest);
            known.or_insert_with(|| customer.clone());
        }
    }

    /// Returns the customer to whom a key belongs.
    pub fn customer_of(&self, key: &[u8]) -> Option<&Arc<str>> {
        if key.len() > KEY_LIMIT_BYTES {
            return None;
        }
        self.customers.get(&self.hasher.digest(key))
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.customers.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }
}

impl core::fmt::Debug for Credentials {
    fn fmt(&self, f: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        let mut shown = f.debug_struct("Credentials");
        shown.field("keys_count", &self.len()).finish()
    }
}

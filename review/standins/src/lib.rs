//! Stand-ins for the scripts of the review: a client, minions, and the start of nodes. The
//! platform's store is the project's own stand-in.

#![recursion_limit = "256"]

pub mod cell;
pub mod client;
pub mod minion;
pub mod node;
pub mod record;

/// A small generator of repeatable random numbers.
pub struct Rng(pub u64);

impl Rng {
    /// Returns a number below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }
}

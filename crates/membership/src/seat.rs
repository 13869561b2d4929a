//! Sets of seats; a seat is a lease on one of the eight slots of every minion.

use crate::control::SEATS_COUNT;
use serde::{Deserialize, Serialize};

/// A set of seats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SeatSet(u8);

impl SeatSet {
    /// The empty set.
    pub const EMPTY: Self = Self(0);

    /// Adds a seat.
    pub fn insert(&mut self, seat: u32) {
        self.0 |= 1 << seat;
    }

    /// Removes a seat.
    pub fn remove(&mut self, seat: u32) {
        self.0 &= !(1 << seat);
    }

    /// Returns whether the seat is in the set.
    pub const fn contains(self, seat: u32) -> bool {
        self.0 & (1 << seat) != 0
    }

    /// Returns the number of seats.
    pub const fn len(self) -> u32 {
        self.0.count_ones()
    }

    /// Returns whether the set is empty.
    pub const fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Iterates over the seats in ascending order.
    pub fn iter(self) -> impl Iterator<Item = u32> {
        (0..SEATS_COUNT).filter(move |&seat| self.contains(seat))
    }
}

impl FromIterator<u32> for SeatSet {
    fn from_iter<I: IntoIterator<Item = u32>>(seats: I) -> Self {
        let mut set = Self::EMPTY;
        for seat in seats {
            set.insert(seat);
        }
        set
    }
}

/// Returns how many seats each of `daemons_count` daemons should hold.
///
/// The remainder of the division stays free, so that a daemon that starts can
/// claim a seat immediately.
pub const fn seat_target_count(daemons_count: usize) -> u32 {
    if daemons_count == 0 {
        return SEATS_COUNT;
    }
    let even = SEATS_COUNT / daemons_count as u32;
    if even == 0 {
        1
    } else {
        even
    }
}

//! Tracks the daemons of a cell and assigns shards and seats to them.
//!
//! The crate also determines whether the local table is known to be current,
//! and limits the rate of calls to the platform's store. It performs no I/O and
//! reads no clock: it maps observations and the current instant to
//! [`MembershipAction`]s.
//!
//! Safety does not depend on which daemons are considered live. A shard may be
//! claimed from a live owner at any time because its log is fenced. A seat is
//! not fenced, so it changes its holder only after the holder is proved to have
//! ended.

mod assignment;
mod control;
mod freshness;
mod membership;
mod peer;
mod rate_limiter;
mod seat;

pub use assignment::assign;
pub use control::{Control, ControlChange, ControlKey, Member, Versioned, SEATS_COUNT};
pub use freshness::{EditBlocked, Freshness, FRESH_FOR};
pub use membership::{Membership, MembershipAction, MembershipConfig};
pub use peer::{Peer, PeerState, Peers};
pub use rate_limiter::RateLimiter;
pub use seat::{seat_target_count, SeatSet};

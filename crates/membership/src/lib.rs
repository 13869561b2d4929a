//! The decisions of membership.
//!
//! Which daemons serve, who owns which shard, who may use which slots of the
//! minions, whether the table in hand is known to be current, and how often
//! the platform's store may be called. No I/O, no clock: facts and an instant
//! in, [`MembershipAction`]s out.
//!
//! Nothing unsafe rests on who is believed to be alive. A shard may be claimed
//! from a live owner at any time, because its log is fenced; a seat, which
//! nothing fences, changes hands only once its holder is proved gone.

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

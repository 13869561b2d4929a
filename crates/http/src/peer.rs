//! What tells the processes behind one address apart.

/// A connection of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(pub(crate) u64);

/// What the process at the other end of a connection is known by to the client's user.
///
/// A connection does not outlive the processes at its ends. So what a process has told of
/// itself over a connection holds for whatever is asked over the same connection later,
/// while another process may listen at the address by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerId(u64);

impl PeerId {
    /// Creates a mark from a number that tells processes apart.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

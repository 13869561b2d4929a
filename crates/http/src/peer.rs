//! Identifiers of connections and of the processes at their other end.

/// Identifies a connection of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(pub(crate) u64);

/// Identifies the process at the other end of a connection; assigned by the client's user.
///
/// A connection ends with the process at either end. So an identity that a process reported
/// over a connection stays valid for that connection, although another process may listen
/// at the same address by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerId(u64);

impl PeerId {
    /// Creates an ID from a number that is unique to the process.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

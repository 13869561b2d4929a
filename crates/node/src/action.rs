//! Actions that a node requests from the daemon.

use ospreywing_routing::Request;
use ospreywing_shard::Commit;
use ospreywing_types::peer::{
    CloseEpochReply, Pong, Query, QueryReply, Submit, SubmitReply, TakeKey, TakeKeyReply,
};
use ospreywing_types::worker::Order;
use ospreywing_types::{DaemonIdentity, Duration, Name};

/// A reply to a caller or a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Reply to a submission or a cancellation.
    Submit(SubmitReply),
    /// Reply to a query about a task.
    Query(QueryReply),
    /// Reply to a claim on a request key.
    TakeKey(TakeKeyReply),
    /// Reply to a ping.
    Pong(Pong),
    /// Reply to a request to close an epoch.
    CloseEpoch(CloseEpochReply),
    /// Reply to a request: forward the minion's answer.
    Deliver,
    /// Reply to a request: there will be no answer.
    GiveUp(ospreywing_routing::GiveUp),
}

/// A message to the owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Forward {
    /// Submits a task.
    Submit {
        /// The caller.
        token: u64,
        /// The task.
        submit: Submit,
    },
    /// Cancels a task.
    Cancel {
        /// The caller.
        token: u64,
        /// The task.
        query: Query,
    },
    /// Queries a task.
    Query {
        /// The caller.
        token: u64,
        /// The task.
        query: Query,
    },
    /// Claims a request key for the router.
    TakeKey {
        /// The request.
        request: Request,
        /// The claim.
        claim: TakeKey,
    },
}

/// One action. The daemon executes actions in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Reply to a caller or a peer.
    Answer {
        /// Identifies the caller or peer.
        token: u64,
        /// The reply.
        answer: Answer,
    },
    /// Forward a message to the owner of its shard.
    Forward {
        /// The owner.
        to: DaemonIdentity,
        /// The message.
        message: Forward,
    },
    /// Ping a process.
    Ping(DaemonIdentity),
    /// Ask a former owner to close its epoch.
    CloseEpoch {
        /// The shard.
        shard: u32,
        /// The epoch.
        epoch: u64,
        /// The former owner.
        owner: DaemonIdentity,
    },
    /// Claim a shard if its key has the given revision, then read its log.
    ClaimShard {
        /// The shard.
        shard: u32,
        /// The revision.
        revision: u64,
    },
    /// Vacate a shard's key if it has the given revision.
    VacateShard {
        /// The shard.
        shard: u32,
        /// The revision.
        revision: u64,
    },
    /// Write a commit if the revision of the shard's key equals the epoch.
    Commit {
        /// The shard.
        shard: u32,
        /// The epoch.
        epoch: u64,
        /// The commit.
        commit: Commit,
    },
    /// Claim a seat if its key has the given revision.
    ClaimSeat {
        /// The seat.
        seat: u32,
        /// The revision.
        revision: u64,
    },
    /// Vacate a seat's key if it has the given revision.
    VacateSeat {
        /// The seat.
        seat: u32,
        /// The revision.
        revision: u64,
    },
    /// Maintain a connection to a worker; reconnect when it breaks.
    Connect {
        /// The worker.
        worker: Name,
        /// `IP:port` of the worker.
        addr: String,
        /// The epoch that requested the connection; events on the connection
        /// carry it.
        epoch: u64,
    },
    /// Close the connection to a worker and don't reconnect.
    Disconnect {
        /// The worker.
        worker: Name,
    },
    /// Send an order to a worker over its open connection.
    Order {
        /// The worker.
        worker: Name,
        /// The order.
        order: Order,
    },
    /// Send a request to a minion, once.
    SendRequest {
        /// The request.
        request: Request,
        /// Identifies the caller.
        token: u64,
        /// `IP:port` of the minion.
        addr: String,
        /// The time until the send is aborted.
        timeout: Duration,
    },
}

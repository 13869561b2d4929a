//! What a node wants done.

use ospreywing_routing::Request;
use ospreywing_shard::Commit;
use ospreywing_types::peer::{
    CloseEpochReply, Pong, Query, QueryReply, Submit, SubmitReply, TakeKey, TakeKeyReply,
};
use ospreywing_types::worker::Order;
use ospreywing_types::{DaemonIdentity, Duration, Name};

/// An answer to a caller or a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// To a submission or a cancellation.
    Submit(SubmitReply),
    /// To a question about a task.
    Query(QueryReply),
    /// To a claim on a request key.
    TakeKey(TakeKeyReply),
    /// To a ping.
    Pong(Pong),
    /// To a request to close an epoch.
    CloseEpoch(CloseEpochReply),
    /// To a request: pass on the minion's answer.
    Deliver,
    /// To a request: there will be no answer.
    GiveUp(ospreywing_routing::GiveUp),
}

/// A message for the owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Forward {
    /// A task.
    Submit {
        /// The caller.
        token: u64,
        /// The task.
        submit: Submit,
    },
    /// A cancellation.
    Cancel {
        /// The caller.
        token: u64,
        /// The task.
        query: Query,
    },
    /// A question.
    Query {
        /// The caller.
        token: u64,
        /// The task.
        query: Query,
    },
    /// A claim of the router's.
    TakeKey {
        /// The request.
        request: Request,
        /// The claim.
        claim: TakeKey,
    },
}

/// One thing to do. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Answer a caller or a peer.
    Answer {
        /// Who waits.
        token: u64,
        /// The answer.
        answer: Answer,
    },
    /// Pass a message on to the owner of its shard.
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
    /// Claim a shard where its key has the revision, then read its log.
    ClaimShard {
        /// The shard.
        shard: u32,
        /// The revision.
        revision: u64,
    },
    /// Vacate a shard's key where it has the revision.
    VacateShard {
        /// The shard.
        shard: u32,
        /// The revision.
        revision: u64,
    },
    /// Write a commit where the shard's key has the epoch as its revision.
    Commit {
        /// The shard.
        shard: u32,
        /// The epoch.
        epoch: u64,
        /// The commit.
        commit: Commit,
    },
    /// Claim a seat where its key has the revision.
    ClaimSeat {
        /// The seat.
        seat: u32,
        /// The revision.
        revision: u64,
    },
    /// Vacate a seat's key where it has the revision.
    VacateSeat {
        /// The seat.
        seat: u32,
        /// The revision.
        revision: u64,
    },
    /// Keep a connection to a worker, opening it again when it breaks.
    Connect {
        /// The worker.
        worker: Name,
        /// `IP:port` of the worker.
        addr: String,
        /// The epoch under which it is asked for; what happens on the
        /// connection is reported with it.
        epoch: u64,
    },
    /// Close the connection to a worker and open it no more.
    Disconnect {
        /// The worker.
        worker: Name,
    },
    /// Give a worker an order over its open connection.
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
        /// The caller whose request it is.
        token: u64,
        /// `IP:port` of the minion.
        addr: String,
        /// When to break it off.
        timeout: Duration,
    },
}

//! Events that a node handles.

use ospreywing_membership::{ControlChange, Versioned};
use ospreywing_routing::{Arrival, Request};
use ospreywing_table::Row;
use ospreywing_types::peer::{
    CloseEpochReply, Ping, Pong, Query, Submit, SubmitReply, TakeKey, TakeKeyReply,
};
use ospreywing_types::worker::{Ended, Report};
use ospreywing_types::{AttemptId, BoxFacts, Instant, Name};

/// A change found in the store's control data.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A change of a member, an owner or a seat.
    Control(ControlChange),
    /// A change of a row of the table.
    Row {
        /// The row's name.
        name: Name,
        /// The row; `None` if it was removed.
        row: Versioned<Option<Row>>,
    },
}

/// The result of one poll of the store's control data.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    /// When the call began.
    pub asked_at: Instant,
    /// The changes since the previous poll, or the complete contents.
    pub changes: Vec<Change>,
    /// Whether the changes are the complete contents.
    pub is_snapshot: bool,
}

/// A shard's log, read after the shard was claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimedLog {
    /// The shard.
    pub shard: u32,
    /// The store's revision of the claim.
    pub epoch: u64,
    /// The numbers and values of the log's batches, in order.
    pub batches: Vec<(u64, Vec<u8>)>,
}

/// One event.
#[derive(Clone, Debug)]
pub enum Event {
    /// The store answered a poll.
    Polled(Poll),
    /// An edit of the table made through this daemon was written to the store.
    RowWritten {
        /// The row's name.
        name: Name,
        /// The row.
        row: Versioned<Option<Row>>,
    },
    /// A new version of the platform's box list.
    Boxes(Vec<BoxFacts>),
    /// A shard was claimed and its log was read.
    ShardClaimed(ClaimedLog),
    /// A claim on a shard failed or was lost to another daemon.
    ClaimFailed {
        /// The shard.
        shard: u32,
    },
    /// A commit was written to the store.
    CommitDone {
        /// The shard.
        shard: u32,
        /// The epoch.
        epoch: u64,
    },
    /// The store refused a commit because the shard's key has another revision.
    CommitFenced {
        /// The shard.
        shard: u32,
        /// The epoch.
        epoch: u64,
        /// Whether the commit certainly had no effect. It may have had an effect
        /// if the answer to an earlier attempt was lost.
        is_refused: bool,
    },
    /// A peer answered a ping.
    Ponged {
        /// When the ping was sent.
        asked_at: Instant,
        /// The answer.
        pong: Pong,
    },
    /// A process's address refused a connection.
    PeerConnectionRefused {
        /// The process.
        incarnation: u64,
    },
    /// A process is proved to have ended.
    ProcessGone {
        /// The process.
        incarnation: u64,
    },
    /// A former owner answered a request to close its epoch.
    CloseEpochAnswered {
        /// The shard.
        shard: u32,
        /// The epoch to be closed.
        epoch: u64,
        /// The answer.
        reply: CloseEpochReply,
    },
    /// A connection to a worker was opened and the worker's first report arrived.
    SessionOpened {
        /// The worker.
        worker: Name,
        /// The epoch that requested the connection.
        epoch: u64,
        /// The connection's number; this process never reuses it.
        session: u64,
        /// The worker's report.
        report: Report,
    },
    /// A worker answered a poll on its open connection.
    Reported {
        /// The worker.
        worker: Name,
        /// The epoch that requested the connection.
        epoch: u64,
        /// The connection.
        session: u64,
        /// When the poll was sent.
        asked_at: Instant,
        /// The worker's report.
        report: Report,
    },
    /// The connection to a worker was closed.
    SessionClosed {
        /// The worker.
        worker: Name,
        /// The epoch that requested the connection.
        epoch: u64,
        /// The connection.
        session: u64,
    },
    /// A worker acknowledged a start.
    StartAcked {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A start was not sent and never will be.
    StartNotSent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A start was sent, and its connection broke before the answer arrived.
    StartUnconfirmed {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A worker reported the end of an attempt.
    Ended {
        /// The worker.
        worker: Name,
        /// The attempt and how it ended.
        ended: Ended,
    },
    /// A caller, or a peer on its behalf, submits a task.
    Submit {
        /// Identifies the caller or peer to reply to.
        token: u64,
        /// The task.
        submit: Submit,
        /// Whether a peer forwarded it; a message is forwarded at most once.
        is_forwarded: bool,
    },
    /// A caller, or a peer on its behalf, cancels a task.
    Cancel {
        /// Identifies the caller or peer to reply to.
        token: u64,
        /// The task.
        query: Query,
        /// Whether a peer forwarded it.
        is_forwarded: bool,
    },
    /// A caller, or a peer on its behalf, queries a task.
    Query {
        /// Identifies the caller or peer to reply to.
        token: u64,
        /// The task.
        query: Query,
        /// Whether a peer forwarded it.
        is_forwarded: bool,
    },
    /// A peer claims the only run of a request.
    TakeKey {
        /// Identifies the caller or peer to reply to.
        token: u64,
        /// The claim.
        claim: TakeKey,
    },
    /// A peer sent a ping.
    Pinged {
        /// Identifies the caller or peer to reply to.
        token: u64,
        /// The ping.
        ping: Ping,
    },
    /// A peer requests that an epoch be closed.
    CloseEpoch {
        /// Identifies the caller or peer to reply to.
        token: u64,
        /// The shard.
        shard: u32,
        /// The epoch.
        epoch: u64,
        /// The process that held it.
        incarnation: u64,
    },
    /// A caller sent a request.
    Arrived(Arrival),
    /// A caller disconnected.
    CallerDisconnected {
        /// The caller.
        token: u64,
    },
    /// A peer answered a forwarded submission or cancellation.
    ForwardAnswered {
        /// The caller.
        token: u64,
        /// The answer.
        reply: SubmitReply,
    },
    /// A peer answered a claim of the router.
    KeyAnswered {
        /// The request.
        request: Request,
        /// The answer.
        reply: TakeKeyReply,
    },
    /// A minion's complete answer arrived.
    RequestAnswered(Request),
    /// No part of the request was sent, and none will be.
    RequestNotSent(Request),
    /// The connection broke or the timeout expired after sending had begun.
    RequestInterrupted(Request),
    /// The daemon received a request to stop.
    Leave,
    /// Periodic timer.
    Tick,
}

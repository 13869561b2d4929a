//! What a node is told.

use ospreywing_membership::{ControlChange, Versioned};
use ospreywing_routing::{Arrival, Request};
use ospreywing_table::Row;
use ospreywing_types::peer::{
    CloseEpochReply, Ping, Pong, Query, Submit, SubmitReply, TakeKey, TakeKeyReply,
};
use ospreywing_types::worker::{Ended, Report};
use ospreywing_types::{AttemptId, BoxFacts, Instant, Name};

/// A change found in the store's control part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Of a member, an owner or a seat.
    Control(ControlChange),
    /// Of a row of the table; `None` where the row was removed.
    Row {
        /// The row's name.
        name: Name,
        /// The row.
        row: Versioned<Option<Row>>,
    },
}

/// What the store's control part holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    /// When the call was begun.
    pub asked_at: Instant,
    /// The changes since the poll before, or all there is.
    pub changes: Vec<Change>,
    /// Whether the changes are all there is.
    pub is_snapshot: bool,
}

/// A shard's log, read after its claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimedLog {
    /// The shard.
    pub shard: u32,
    /// The store's revision of the claim.
    pub epoch: u64,
    /// The numbers and values of the log's batches, in order.
    pub batches: Vec<(u64, Vec<u8>)>,
}

/// One thing that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The store answered a poll.
    Polled(Poll),
    /// An edit made through this daemon took effect.
    RowWritten {
        /// The row's name.
        name: Name,
        /// The row.
        row: Versioned<Option<Row>>,
    },
    /// The platform's box list.
    Boxes(Vec<BoxFacts>),
    /// A shard was claimed and its log read.
    ShardClaimed(ClaimedLog),
    /// A claim was lost to another, or came to nothing.
    ClaimFailed {
        /// The shard.
        shard: u32,
    },
    /// A commit took effect.
    CommitDone {
        /// The shard.
        shard: u32,
        /// The epoch.
        epoch: u64,
    },
    /// The store names another owner.
    CommitFenced {
        /// The shard.
        shard: u32,
        /// The epoch.
        epoch: u64,
        /// Whether the commit certainly had no effect. It may have had one
        /// where the answer to an earlier try was lost.
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
    /// A process has certainly ended.
    ProcessGone {
        /// The process.
        incarnation: u64,
    },
    /// A former owner answered.
    CloseEpochAnswered {
        /// The shard.
        shard: u32,
        /// The epoch asked about.
        epoch: u64,
        /// The answer.
        reply: CloseEpochReply,
    },
    /// A connection to a worker is open and gave its first report.
    SessionOpened {
        /// The worker.
        worker: Name,
        /// The epoch under which the connection was asked for.
        epoch: u64,
        /// The connection's number, never used again by this process.
        session: u64,
        /// Its report.
        report: Report,
    },
    /// A worker answered on its open connection.
    Reported {
        /// The worker.
        worker: Name,
        /// The epoch under which the connection was asked for.
        epoch: u64,
        /// The connection.
        session: u64,
        /// When it was asked.
        asked_at: Instant,
        /// Its report.
        report: Report,
    },
    /// The connection to a worker is gone.
    SessionClosed {
        /// The worker.
        worker: Name,
        /// The epoch under which the connection was asked for.
        epoch: u64,
        /// The connection.
        session: u64,
    },
    /// A worker took a start.
    StartAcked {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A start was certainly not sent and will not be.
    StartNotSent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A start was sent and its connection broke before an answer.
    StartInDoubt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A worker said that an attempt ended.
    Ended {
        /// The worker.
        worker: Name,
        /// The attempt and its end.
        ended: Ended,
    },
    /// A caller, or a peer for one, hands in a task.
    Submit {
        /// Whom to answer.
        token: u64,
        /// The task.
        submit: Submit,
        /// Whether a peer passed it on, which is not done twice.
        is_forwarded: bool,
    },
    /// A caller, or a peer for one, wants a task stopped.
    Cancel {
        /// Whom to answer.
        token: u64,
        /// The task.
        query: Query,
        /// Whether a peer passed it on.
        is_forwarded: bool,
    },
    /// A caller, or a peer for one, asks about a task.
    Query {
        /// Whom to answer.
        token: u64,
        /// The task.
        query: Query,
        /// Whether a peer passed it on.
        is_forwarded: bool,
    },
    /// A peer claims the one run of a request.
    TakeKey {
        /// Whom to answer.
        token: u64,
        /// The claim.
        claim: TakeKey,
    },
    /// A peer pings.
    Pinged {
        /// Whom to answer.
        token: u64,
        /// The ping.
        ping: Ping,
    },
    /// A peer asks for an epoch to be closed.
    CloseEpoch {
        /// Whom to answer.
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
    /// A caller has gone away.
    CallerDisconnected {
        /// The caller.
        token: u64,
    },
    /// A peer answered a submission or cancellation passed on to it.
    ForwardAnswered {
        /// The caller.
        token: u64,
        /// The answer.
        reply: SubmitReply,
    },
    /// A peer answered a claim that the router made.
    KeyAnswered {
        /// The request.
        request: Request,
        /// The answer.
        reply: TakeKeyReply,
    },
    /// A minion's whole answer is there.
    RequestAnswered(Request),
    /// Certainly nothing of the request left this daemon, or will.
    RequestNotSent(Request),
    /// The connection broke, or the time was up, after sending had begun.
    RequestInterrupted(Request),
    /// The daemon was asked to stop.
    Leave,
    /// Time has passed.
    Tick,
}

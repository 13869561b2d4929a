//! What becomes of a request, from a client or from another node.

use crate::caller::Caller;
use crate::cell_view::LeaderRecord;
use crate::election;
use crate::handover::KeptLearned;
use crate::intake::IntakeOutcome;
use crate::node::Node;
use crate::peer::{self, AdviceAnswer, GoodWorker, PeerError, PeerReply, PeerRequest};
use crate::platform::{Call, Platform, Reply, Retry};
use crate::relay::server;
use crate::spread::draw_below;
use crate::store::{LeaseId, Store};
use crate::stored_view::{access, read_view, Access, StoredView};
use crate::{admission, clock, configuration_sharing, keys, leader_probe};
use ospreywing_scheduler::{
    AdviceReply, Configuration, Event, JobId, JobRecord, JobView, StoredJob,
};
use ospreywing_types::Duration;
use slog::info;
use std::rc::Rc;
use std::sync::Arc;
use tokio::time::timeout;

/// How long the leader may take for an answer.
const LEADER_LIMIT: Duration = Duration::from_ms(400);
/// How long another node may take to say who leads.
const ASK_LIMIT: Duration = Duration::from_ms(150);
/// How long another node may take to write to the store.
const FORWARD_LIMIT: Duration = Duration::from_ms(1500);
/// How long the store may take to answer a write before another node is asked to make it
/// too: many times what it takes, and well under the time limit of a call.
const FORWARD_AFTER: Duration = Duration::from_ms(120);
/// When a client that was turned away may come back.
const COME_BACK: Retry = Retry {
    after: Duration::from_ms(1000),
};
/// How many other nodes are asked to write.
pub const FORWARDS_COUNT: usize = 2;

/// Does what a client asks for; `configuration` is the one by which the call was read.
pub async fn execute<P: Platform>(
    node: &Rc<Node<P>>,
    call: Call,
    configuration: &Configuration,
) -> Reply {
    match call {
        Call::Submit {
            job,
            queue,
            service,
            spec,
            caller,
        } => {
            let record = JobRecord {
                queue,
                service,
                accepted_ms: clock::wall_ms(),
                spec,
                customer: caller.customer().map(str::to_owned),
            };
            submit(node, job, record, configuration).await
        }
        Call::Status { job, caller } => status(node, job, caller).await,
        Call::Cancel { job, caller } => cancel(node, job, caller).await,
        Call::Pending { queue } => pending(node, queue).await,
    }
}

async fn submit<P: Platform>(
    node: &Rc<Node<P>>,
    job: JobId,
    record: JobRecord,
    configuration: &Configuration,
) -> Reply {
    let customer = record.customer.clone();
    let reply = match impossible_step(&record, configuration) {
        Some(step) => Reply::BeyondLimit { step },
        None => match admission::refuse(node, job, &record, configuration).await {
            Some(retry) => Reply::Unavailable(retry),
            None => write_or_forward(node, job, record, configuration.version).await,
        },
    };
    let word = match reply {
        Reply::Accepted => "accepted",
        Reply::Unknown => "unknown",
        Reply::BeyondLimit { .. } => "beyond the customer's limit",
        Reply::IdTaken => "id of another customer",
        _ => "refused",
    };
    info!(node.log, "job answered"; "job" => %job, "outcome" => word, "customer" => customer);
    reply
}

/// Returns the first step of a job that its customer's limit never lets run.
fn impossible_step(record: &JobRecord, configuration: &Configuration) -> Option<usize> {
    let customer = configuration.customer(record.customer.as_deref()?)?;
    customer.impossible_step(record)
}

/// Writes a job to the store, through another node where the store does not answer this one
/// at once: whichever write comes first counts, since an id stays one job.
async fn write_or_forward<P: Platform>(
    node: &Rc<Node<P>>,
    job: JobId,
    record: JobRecord,
    version: u64,
) -> Reply {
    let mut own = std::pin::pin!(write_job(node, job, &record));
    if let Ok(written) = timeout(FORWARD_AFTER.into(), &mut own).await {
        if let Some(reply) = written.reply() {
            return reply;
        }
        let forwarded = forward_job(node, job, &record, version).await;
        return both_written(written, forwarded);
    }
    info!(node.log, "job forwarded"; "job" => %job, "reason" => "no answer of the store yet");
    let mut forwarded = std::pin::pin!(forward_job(node, job, &record, version));
    tokio::select! {
        written = &mut own => match written.reply() {
            Some(reply) => reply,
            None => both_written(written, forwarded.await),
        },
        reply = &mut forwarded => match reply {
            Reply::Unavailable(_) | Reply::Unknown => both_written(own.await, reply),
            reply => reply,
        },
    }
}

async fn forward_job<P: Platform>(
    node: &Rc<Node<P>>,
    job: JobId,
    record: &JobRecord,
    version: u64,
) -> Reply {
    let record = record.clone();
    let request = PeerRequest::Submit {
        job,
        record,
        version,
    };
    forward(node, request, Reply::Accepted).await
}

/// Returns what a client is told of a job that this node and another one tried to write.
fn both_written(own: JobWritten, forwarded: Reply) -> Reply {
    if let Some(reply) = own.reply() {
        return reply;
    }
    match (own, forwarded) {
        // This node's write may be done yet.
        (JobWritten::Unknown, Reply::Unavailable(_)) => Reply::Unknown,
        (_, forwarded) => forwarded,
    }
}

/// What became of a job that was to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobWritten {
    /// It is in the store.
    Stored,
    /// Another customer's job has its id.
    IdTaken,
    /// It certainly is not in the store and will not be.
    NotStored,
    /// It may be, or may come to be.
    Unknown,
}

impl JobWritten {
    /// Returns what a client is told, where another node's write changes nothing about it.
    const fn reply(self) -> Option<Reply> {
        match self {
            Self::Stored => Some(Reply::Accepted),
            Self::IdTaken => Some(Reply::IdTaken),
            Self::NotStored | Self::Unknown => None,
        }
    }
}

/// Writes a job to the store and tells the leader.
async fn write_job<P: Platform>(node: &Rc<Node<P>>, job: JobId, record: &JobRecord) -> JobWritten {
    if is_cut_off(node) {
        return JobWritten::NotStored;
    }
    let outcome = node.intake.write(keys::job(job), record.to_bytes()).await;
    let written = match outcome {
        IntakeOutcome::Stored => JobWritten::Stored,
        IntakeOutcome::Exists(value) if is_same_customer(&value, record) => JobWritten::Stored,
        IntakeOutcome::Exists(_) => JobWritten::IdTaken,
        IntakeOutcome::NotStored => JobWritten::NotStored,
        IntakeOutcome::Unknown => JobWritten::Unknown,
    };
    if written == JobWritten::Unknown {
        node.forecasts.note_doubt(clock::now());
    }
    if written == JobWritten::Stored {
        node.note_contact();
        tell_leader(node, job, record.clone());
    }
    written
}

/// Returns whether the job that has an id is one of the record's customer. One that can't
/// be read may be: a node of a later version may have written it.
fn is_same_customer(stored: &[u8], record: &JobRecord) -> bool {
    let stored = StoredJob::from_bytes(stored);
    stored.map_or(true, |stored| {
        stored.is_visible_to(record.customer.as_deref())
    })
}

/// Returns whether the store is known not to answer this node.
fn is_cut_off<P: Platform>(node: &Rc<Node<P>>) -> bool {
    !node.has_contact() || node.intake.is_failing()
}

fn tell_leader<P: Platform>(node: &Rc<Node<P>>, job: JobId, record: JobRecord) {
    if let Some(leading) = node.leading() {
        let record = Box::new(record);
        leading.tell(Event::JobAccepted { job, record });
        return;
    }
    send_to_leader(node, PeerRequest::JobTaken { job, record });
}

/// Sends the leader a message; it learns from the store where that is lost.
fn send_to_leader<P: Platform>(node: &Rc<Node<P>>, request: PeerRequest) {
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let Some(leader) = find_leader(&node).await else {
            return;
        };
        let lease = leader.lease;
        let asked_at = clock::now();
        match call_leader(&node, leader, &request).await {
            Ok(PeerReply::Taken) => node.forecasts.learn(lease, asked_at, None),
            Ok(PeerReply::TakenInOverload(forecast)) => {
                node.forecasts.learn(lease, asked_at, Some(forecast));
            }
            _ => {}
        }
    });
}

/// Returns the leader. A node that the store does not answer may be out of
/// date and asks others.
async fn find_leader<P: Platform>(node: &Rc<Node<P>>) -> Option<LeaderRecord> {
    if node.has_contact() {
        return node.cell.borrow().leader.clone();
    }
    for address in other_nodes(node) {
        let reply = peer::call(&node.peers, &address, &PeerRequest::Leader, ASK_LIMIT).await;
        if let Ok(PeerReply::NotLeader(Some(leader))) = reply {
            return Some(leader);
        }
    }
    node.cell.borrow().leader.clone()
}

/// Calls the leader; where nothing listens at its address, it is gone.
async fn call_leader<P: Platform>(
    node: &Rc<Node<P>>,
    leader: LeaderRecord,
    request: &PeerRequest,
) -> Result<PeerReply, PeerError> {
    let sent_at = clock::now();
    let reply = peer::call(&node.peers, &leader.address, request, LEADER_LIMIT).await;
    if reply.is_ok() {
        leader_probe::note_answer(node, leader.lease, sent_at);
    }
    if reply.as_ref().is_err_and(PeerError::is_not_sent) {
        election::suspect_leader(node, leader);
    }
    reply
}

/// Has another node write, where the store does not answer this one.
async fn forward<P: Platform>(node: &Rc<Node<P>>, request: PeerRequest, success: Reply) -> Reply {
    for address in other_nodes(node) {
        match peer::call(&node.peers, &address, &request, FORWARD_LIMIT).await {
            Ok(PeerReply::Accepted) => return success,
            Ok(PeerReply::NoJob) => return Reply::NoJob,
            Ok(PeerReply::IdTaken) => return Reply::IdTaken,
            Ok(PeerReply::Unknown) => return Reply::Unknown,
            Ok(_) => {}
            Err(error) if error.is_not_sent() => {}
            Err(_) => return Reply::Unknown,
        }
    }
    Reply::Unavailable(COME_BACK)
}

/// Returns a few other nodes, the leader first, then candidates: not the same ones for each
/// node, so that many that are cut off don't all burden one.
pub fn other_nodes<P: Platform>(node: &Rc<Node<P>>) -> Vec<String> {
    let cell = node.cell.borrow();
    let leader = cell.leader.iter().map(|leader| leader.address.clone());
    let count = cell.list.candidates.len();
    let first = draw_below(&node.settings.name, count as u64) as usize;
    let ring = cell.list.candidates.iter().cycle().skip(first).take(count);
    let candidates = ring.map(|candidate| candidate.record.address.clone());
    let own = node.settings.peer_address.to_string();
    let mut addresses: Vec<String> = Vec::new();
    for address in leader.chain(candidates) {
        if address != own && !addresses.contains(&address) {
            addresses.push(address);
        }
    }
    addresses.truncate(FORWARDS_COUNT);
    addresses
}

async fn cancel<P: Platform>(node: &Rc<Node<P>>, job: JobId, caller: Caller) -> Reply {
    let reply = match write_cancel(node, job, &caller).await {
        PeerReply::Accepted => Reply::Cancelled,
        PeerReply::NoJob => Reply::NoJob,
        PeerReply::Refused => {
            let request = PeerRequest::Cancel { job, caller };
            forward(node, request, Reply::Cancelled).await
        }
        _ => Reply::Unknown,
    };
    let is_done = reply == Reply::Cancelled;
    info!(node.log, "cancel answered"; "job" => %job, "is_done" => is_done);
    reply
}

/// Writes a cancel to the store and tells the leader.
async fn write_cancel<P: Platform>(node: &Rc<Node<P>>, job: JobId, caller: &Caller) -> PeerReply {
    if is_cut_off(node) {
        return PeerReply::Refused;
    }
    match node.store.get(&keys::job(job)).await {
        Ok(Some(item)) => match access(&item, caller) {
            Access::Open => {}
            Access::Closed => return PeerReply::NoJob,
            // Another node may be able to read it.
            Access::Unreadable => return PeerReply::Refused,
        },
        Ok(None) => return PeerReply::NoJob,
        Err(_) => return PeerReply::Refused,
    }
    match node.intake.write(keys::cancel(job), Vec::new()).await {
        IntakeOutcome::Stored | IntakeOutcome::Exists(_) => {
            match node.leading() {
                Some(leading) => leading.tell(Event::CancelAccepted { job }),
                None => send_to_leader(node, PeerRequest::CancelTaken(job)),
            }
            PeerReply::Accepted
        }
        IntakeOutcome::NotStored => PeerReply::Refused,
        IntakeOutcome::Unknown => PeerReply::Unknown,
    }
}

async fn status<P: Platform>(node: &Rc<Node<P>>, job: JobId, caller: Caller) -> Reply {
    let leaders = leaders_view(node, job, &caller).await;
    if let Some(view) = leaders.filter(|view| view.is_settled) {
        return reply_of(view);
    }
    let has_begun = leaders.is_some_and(|view| view.has_begun);
    match read_view(&node.store, &node.log, job, &caller).await {
        Ok(StoredView::Known(view)) => reply_of(JobView {
            has_begun: has_begun || view.has_begun,
            ..view
        }),
        Ok(StoredView::NoJob) => Reply::NoJob,
        Ok(StoredView::Unreadable) => Reply::Unavailable(COME_BACK),
        Err(error) => {
            info!(node.log, "status unknown"; "job" => %job, "error" => error.to_string());
            Reply::Unavailable(COME_BACK)
        }
    }
}

const fn reply_of(view: JobView) -> Reply {
    Reply::Status {
        phase: view.phase,
        has_begun: view.has_begun,
    }
}

/// Returns what the leader knows of a job, where it can be asked.
async fn leaders_view<P: Platform>(
    node: &Rc<Node<P>>,
    job: JobId,
    caller: &Caller,
) -> Option<JobView> {
    if let Some(leading) = node.leading() {
        return leading.job_for(caller, job);
    }
    let leader = find_leader(node).await?;
    let caller = caller.clone();
    let request = PeerRequest::Status { job, caller };
    match call_leader(node, leader, &request).await {
        Ok(PeerReply::Status(view)) => view,
        _ => None,
    }
}

async fn pending<P: Platform>(node: &Rc<Node<P>>, queue: String) -> Reply {
    if let Some(leading) = node.leading() {
        return Reply::Pending(leading.pending_count(&queue));
    }
    let Some(leader) = find_leader(node).await else {
        return Reply::Unavailable(COME_BACK);
    };
    match call_leader(node, leader, &PeerRequest::Pending(queue)).await {
        Ok(PeerReply::Pending(count)) => Reply::Pending(count),
        _ => Reply::Unavailable(COME_BACK),
    }
}

/// Answers another node.
pub async fn answer_peer<P: Platform>(node: &Rc<Node<P>>, request: PeerRequest) -> PeerReply {
    match request {
        PeerRequest::Status { job, caller } => match node.leading() {
            Some(leading) => PeerReply::Status(leading.job_for(&caller, job)),
            None => not_leader(node),
        },
        PeerRequest::Pending(queue) => match node.leading() {
            Some(leading) => PeerReply::Pending(leading.pending_count(&queue)),
            None => not_leader(node),
        },
        PeerRequest::JobTaken { job, record } => {
            let record = Box::new(record);
            note_for_leader(node, Event::JobAccepted { job, record })
        }
        PeerRequest::CancelTaken(job) => note_for_leader(node, Event::CancelAccepted { job }),
        PeerRequest::Submit {
            job,
            record,
            version,
        } => write_for_peer(node, job, &record, version).await,
        PeerRequest::Cancel { job, caller } => write_cancel(node, job, &caller).await,
        PeerRequest::Leader => match node.leading() {
            Some(_) => PeerReply::NotLeader(Some(election::own_record(node))),
            None => not_leader(node),
        },
        PeerRequest::Configuration { known, wait_ms } => {
            configuration_sharing::answer(node, known, Duration::from_ms(wait_ms)).await
        }
        PeerRequest::EndLease(lease) => end_lease(node, lease).await,
        PeerRequest::IsLeaderSilent(lease) => {
            PeerReply::LeaderSilent(leader_probe::is_silent(node, lease))
        }
        PeerRequest::Advise {
            step,
            workers,
            limit_ms,
        } => {
            let ids: Vec<Arc<str>> = workers.iter().map(|id| Arc::from(id.as_str())).collect();
            let limit = Duration::from_ms(limit_ms);
            PeerReply::Advice(answer_of(node.platform.advise(step, &ids, limit).await))
        }
        PeerRequest::RelayOrders { session, orders } => server::take_orders(node, session, orders),
        PeerRequest::RelayReplies { session } => server::collect_replies(node, session).await,
        PeerRequest::Learned(learned) => {
            *node.learned.borrow_mut() = KeptLearned::new(clock::now(), learned);
            PeerReply::Taken
        }
    }
}

/// Writes a job that another node has read, unless this node's configuration may be outdated
/// or does not let the job in.
async fn write_for_peer<P: Platform>(
    node: &Rc<Node<P>>,
    job: JobId,
    record: &JobRecord,
    version: u64,
) -> PeerReply {
    if !node.is_current() || !lets_in(node, record, version) {
        info!(node.log, "job of another node refused";
            "job" => %job, "version" => version, "known" => node.configuration.version());
        return PeerReply::Refused;
    }
    match write_job(node, job, record).await {
        JobWritten::Stored => PeerReply::Accepted,
        JobWritten::IdTaken => PeerReply::IdTaken,
        JobWritten::NotStored => PeerReply::Refused,
        JobWritten::Unknown => PeerReply::Unknown,
    }
}

/// Returns whether a job that was read by a configuration of this version may be let in by
/// the one that is in force here.
///
/// Versions may follow one another faster than a node that is cut off hears of them, and few
/// change its queue. Whose key it came with is not told, so that a customer's job needs the
/// version.
fn lets_in<P: Platform>(node: &Node<P>, record: &JobRecord, version: u64) -> bool {
    let Some(in_force) = node.configuration.in_force() else {
        return false;
    };
    let configuration = &in_force.configuration;
    if version >= configuration.version {
        return true;
    }
    let queue = configuration.queue(&record.queue);
    record.customer.is_none() && queue.is_some_and(|queue| queue.service == record.service)
}

fn note_for_leader<P: Platform>(node: &Rc<Node<P>>, event: Event) -> PeerReply {
    match node.leading() {
        Some(leading) => {
            leading.tell(event);
            let forecast = leading.forecast(clock::now());
            forecast.map_or(PeerReply::Taken, PeerReply::TakenInOverload)
        }
        None => not_leader(node),
    }
}

/// Names the leader, as far as this node knows it.
fn not_leader<P: Platform>(node: &Rc<Node<P>>) -> PeerReply {
    let leader = node.cell.borrow().leader.clone();
    PeerReply::NotLeader(leader.filter(|_| node.has_contact()))
}

async fn end_lease<P: Platform>(node: &Rc<Node<P>>, lease: LeaseId) -> PeerReply {
    if is_cut_off(node) {
        return PeerReply::Refused;
    }
    match node.store.end_lease(lease).await {
        Ok(()) => PeerReply::Ended,
        Err(_) => PeerReply::Refused,
    }
}

fn answer_of(reply: AdviceReply) -> Option<AdviceAnswer> {
    let AdviceReply::Answered { tickets, validity } = reply else {
        return None;
    };
    let good = tickets.into_iter().map(|ticket| GoodWorker {
        worker: ticket.worker,
        ticket: ticket.text,
    });
    Some(AdviceAnswer {
        good: good.collect(),
        validity_ms: validity.as_ms(),
    })
}

//! Handles requests of clients and of other nodes.

use crate::caller::Caller;
use crate::cancels::{cancel, write_cancel};
use crate::cell_view::LeaderRecord;
use crate::election;
use crate::handover::LearnedSnapshot;
use crate::intake::IntakeOutcome;
use crate::node::Node;
use crate::peer::{self, AdviceAnswer, PeerError, PeerReply, PeerRequest, SuitableWorker};
use crate::platform::{Call, Platform, Reply, Retry};
use crate::relay::server;
use crate::stable_hash::stable_hash_below;
use crate::store::{LeaseId, Store};
use crate::stored_view::{read_view, StoredView};
use crate::{admission, clock, configuration_sharing, keys, large_jobs, leader_probe};
use ospreywing_scheduler::{
    AdviceReply, Configuration, Event, JobId, JobPolicy, JobRecord, JobView, StoredJob,
};
use ospreywing_types::Duration;
use slog::info;
use std::rc::Rc;
use std::sync::Arc;
use tokio::time::timeout;

/// The timeout for a call to the leader.
const LEADER_TIMEOUT: Duration = Duration::from_ms(400);
/// The timeout for asking another node which node leads.
const LEADER_QUERY_TIMEOUT: Duration = Duration::from_ms(150);
/// The timeout for another node to write to the store.
const FORWARD_TIMEOUT: Duration = Duration::from_ms(1500);
/// How long a write to the store may be unanswered before it is forwarded to another node
/// as well: many times its usual duration, and well below a call's timeout.
const FORWARD_AFTER: Duration = Duration::from_ms(120);
/// When a client may retry a request that this node could not serve.
const RETRY_LATER: Retry = Retry {
    after: Duration::from_ms(1000),
};
/// The number of other nodes to which a write may be forwarded.
pub const FORWARD_TARGETS_COUNT: usize = 2;

/// Handles a client's call; `configuration` is the one with which it was parsed.
pub async fn handle_call<P: Platform>(
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
            let policy = configuration.policy(&queue, caller.customer());
            let record = JobRecord {
                queue,
                service,
                accepted_ms: clock::wall_ms(),
                spec,
                customer: caller.customer().map(str::to_owned),
                policy: policy.map(Box::new),
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
        None => match admission::check_forecast(node, job, &record, configuration).await {
            Some(retry) => Reply::Unavailable(retry),
            None if !large_jobs::has_room(node, job, &record).await => {
                Reply::Unavailable(RETRY_LATER)
            }
            None => write_or_forward(node, job, record, configuration.version).await,
        },
    };
    let outcome = match reply {
        Reply::Accepted => "accepted",
        Reply::Unknown => "unknown",
        Reply::BeyondLimit { .. } => "beyond the customer's limit",
        Reply::IdTaken => "id of another customer",
        _ => "refused",
    };
    info!(node.log, "job answered"; "job" => %job, "outcome" => outcome, "customer" => customer);
    reply
}

/// Returns the first step of a job that can never run within its customer's limit.
fn impossible_step(record: &JobRecord, configuration: &Configuration) -> Option<usize> {
    let customer = configuration.customer(record.customer.as_deref()?)?;
    customer.impossible_step(record)
}

/// Writes a job to the store, also through another node if the store does not answer this
/// one at once. It does not matter which write comes first: both have the same job id.
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
        return combine_write_outcomes(written, forwarded);
    }
    info!(node.log, "job forwarded"; "job" => %job, "reason" => "no answer of the store yet");
    let mut forwarded = std::pin::pin!(forward_job(node, job, &record, version));
    tokio::select! {
        written = &mut own => match written.reply() {
            Some(reply) => reply,
            None => combine_write_outcomes(written, forwarded.await),
        },
        reply = &mut forwarded => match reply {
            Reply::Unavailable(_) | Reply::Unknown => combine_write_outcomes(own.await, reply),
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
    let request = PeerRequest::submit(job, record.clone(), version);
    forward(node, request, Reply::Accepted).await
}

/// Combines the outcomes of a job write by this node and by another one into a reply.
fn combine_write_outcomes(own: JobWriteOutcome, forwarded: Reply) -> Reply {
    if let Some(reply) = own.reply() {
        return reply;
    }
    match (own, forwarded) {
        // This node's write may still be applied.
        (JobWriteOutcome::Unknown, Reply::Unavailable(_)) => Reply::Unknown,
        (_, forwarded) => forwarded,
    }
}

/// The outcome of writing a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobWriteOutcome {
    /// The job is in the store.
    Stored,
    /// The job was in the store before, and has ended.
    Ended,
    /// Another customer's job has its id.
    IdTaken,
    /// The job is not in the store and the write will not be applied.
    NotStored,
    /// The write may have been applied, or may still be.
    Unknown,
}

impl JobWriteOutcome {
    /// Returns the client's reply, if it does not depend on another node's write.
    const fn reply(self) -> Option<Reply> {
        match self {
            Self::Stored | Self::Ended => Some(Reply::Accepted),
            Self::IdTaken => Some(Reply::IdTaken),
            Self::NotStored | Self::Unknown => None,
        }
    }
}

/// Writes a job to the store and notifies the leader.
async fn write_job<P: Platform>(
    node: &Rc<Node<P>>,
    job: JobId,
    record: &JobRecord,
) -> JobWriteOutcome {
    if is_store_unreachable(node) {
        return JobWriteOutcome::NotStored;
    }
    let outcome = node.intake.write(keys::job(job), record.to_bytes()).await;
    let written = match outcome {
        IntakeOutcome::Stored => JobWriteOutcome::Stored,
        IntakeOutcome::Exists(value) => outcome_of_existing(&value, record),
        IntakeOutcome::NotStored => JobWriteOutcome::NotStored,
        IntakeOutcome::RequirementChanged | IntakeOutcome::Unknown => JobWriteOutcome::Unknown,
    };
    if written == JobWriteOutcome::Unknown {
        node.forecasts.record_unconfirmed_write(clock::now());
    }
    if written == JobWriteOutcome::Stored {
        node.record_store_contact();
        notify_leader(node, job, record.clone());
    }
    written
}

/// Returns the outcome if a job with the record's id is stored. A job that can't be parsed is
/// taken to belong to the record's customer: a node of a later version may have written it.
fn outcome_of_existing(stored: &[u8], record: &JobRecord) -> JobWriteOutcome {
    let Ok(stored) = StoredJob::from_bytes(stored) else {
        return JobWriteOutcome::Stored;
    };
    if !stored.is_visible_to(record.customer.as_deref()) {
        return JobWriteOutcome::IdTaken;
    }
    match stored {
        StoredJob::Accepted(_) => JobWriteOutcome::Stored,
        StoredJob::Ended(_) => JobWriteOutcome::Ended,
    }
}

/// Returns whether the store is known not to answer this node.
pub(crate) fn is_store_unreachable<P: Platform>(node: &Rc<Node<P>>) -> bool {
    !node.has_store_contact() || node.intake.is_failing()
}

fn notify_leader<P: Platform>(node: &Rc<Node<P>>, job: JobId, record: JobRecord) {
    if let Some(term) = node.valid_term() {
        let record = Box::new(record);
        term.send_event(Event::JobAccepted { job, record });
        return;
    }
    send_to_leader(node, PeerRequest::job_taken(job, record));
}

/// Sends a message to the leader. If the message is lost, the leader reads the change from
/// the store.
pub(crate) fn send_to_leader<P: Platform>(node: &Rc<Node<P>>, request: PeerRequest) {
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let Some(leader) = find_leader(&node).await else {
            return;
        };
        let lease = leader.lease;
        let sent_at = clock::now();
        match call_leader(&node, leader, &request).await {
            Ok(PeerReply::Taken) => node.forecasts.update(lease, sent_at, None),
            Ok(PeerReply::TakenInOverload(forecast)) => {
                node.forecasts.update(lease, sent_at, Some(forecast));
            }
            _ => {}
        }
    });
}

/// Returns the leader. A node without store contact may have an outdated view and asks
/// other nodes.
pub(crate) async fn find_leader<P: Platform>(node: &Rc<Node<P>>) -> Option<LeaderRecord> {
    if node.has_store_contact() {
        return node.cell.borrow().leader.clone();
    }
    for address in forward_addresses(node) {
        let reply = peer::call(
            &node.peers,
            &address,
            &PeerRequest::Leader,
            LEADER_QUERY_TIMEOUT,
        )
        .await;
        if let Ok(PeerReply::NotLeader(Some(leader))) = reply {
            return Some(leader);
        }
    }
    node.cell.borrow().leader.clone()
}

/// Calls the leader, and evicts it if its address refuses the connection.
pub(crate) async fn call_leader<P: Platform>(
    node: &Rc<Node<P>>,
    leader: LeaderRecord,
    request: &PeerRequest,
) -> Result<PeerReply, PeerError> {
    let sent_at = clock::now();
    let reply = peer::call(&node.peers, &leader.address, request, LEADER_TIMEOUT).await;
    if reply.is_ok() {
        leader_probe::record_answer(node, leader.lease, sent_at);
    }
    if reply.as_ref().is_err_and(PeerError::is_unreachable) {
        election::evict_unreachable_leader(node, leader);
    }
    reply
}

/// Forwards a write to other nodes, since the store does not answer this one.
pub(crate) async fn forward<P: Platform>(
    node: &Rc<Node<P>>,
    request: PeerRequest,
    success: Reply,
) -> Reply {
    for address in forward_addresses(node) {
        match peer::call(&node.peers, &address, &request, FORWARD_TIMEOUT).await {
            Ok(PeerReply::Accepted) => return success,
            Ok(PeerReply::NoJob) => return Reply::NoJob,
            Ok(PeerReply::IdTaken) => return Reply::IdTaken,
            Ok(PeerReply::Unknown) => return Reply::Unknown,
            Ok(_) => {}
            Err(error) if error.is_not_sent() => {}
            Err(_) => return Reply::Unknown,
        }
    }
    Reply::Unavailable(RETRY_LATER)
}

/// Returns the addresses of a few other nodes: the leader, then candidates. Which candidates
/// depends on this node's name, so that many partitioned nodes don't all load the same one.
pub fn forward_addresses<P: Platform>(node: &Rc<Node<P>>) -> Vec<String> {
    let cell = node.cell.borrow();
    let leader = cell.leader.iter().map(|leader| leader.address.clone());
    let count = cell.list.candidates.len();
    let first = stable_hash_below(&node.settings.name, count as u64) as usize;
    let rotated = cell.list.candidates.iter().cycle().skip(first).take(count);
    let candidates = rotated.map(|candidate| candidate.record.address.clone());
    let own = node.settings.peer_address.to_string();
    let mut addresses: Vec<String> = Vec::new();
    for address in leader.chain(candidates) {
        if address != own && !addresses.contains(&address) {
            addresses.push(address);
        }
    }
    addresses.truncate(FORWARD_TARGETS_COUNT);
    addresses
}

async fn status<P: Platform>(node: &Rc<Node<P>>, job: JobId, caller: Caller) -> Reply {
    let leader_view = query_leader_view(node, job, &caller).await;
    if let Some(view) = leader_view.filter(|view| view.is_settled) {
        return status_reply(view);
    }
    let has_begun = leader_view.is_some_and(|view| view.has_begun);
    match read_view(&node.store, &node.log, job, &caller).await {
        Ok(StoredView::Known(view)) => status_reply(JobView {
            has_begun: has_begun || view.has_begun,
            ..view
        }),
        Ok(StoredView::NoJob) => Reply::NoJob,
        Ok(StoredView::Unreadable) => Reply::Unavailable(RETRY_LATER),
        Err(error) => {
            info!(node.log, "job status unavailable"; "job" => %job, "error" => error.to_string());
            Reply::Unavailable(RETRY_LATER)
        }
    }
}

const fn status_reply(view: JobView) -> Reply {
    Reply::Status {
        phase: view.phase,
        has_begun: view.has_begun,
    }
}

/// Returns the leader's state of a job, if the leader answers and the caller may see the job.
async fn query_leader_view<P: Platform>(
    node: &Rc<Node<P>>,
    job: JobId,
    caller: &Caller,
) -> Option<JobView> {
    if let Some(term) = node.valid_term() {
        return term.job_for(caller, job);
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
    if let Some(term) = node.valid_term() {
        return Reply::Pending(term.pending_count(&queue));
    }
    let Some(leader) = find_leader(node).await else {
        return Reply::Unavailable(RETRY_LATER);
    };
    match call_leader(node, leader, &PeerRequest::Pending(queue)).await {
        Ok(PeerReply::Pending(count)) => Reply::Pending(count),
        _ => Reply::Unavailable(RETRY_LATER),
    }
}

/// Handles a request of another node.
pub async fn handle_peer_request<P: Platform>(
    node: &Rc<Node<P>>,
    request: PeerRequest,
) -> PeerReply {
    match request {
        PeerRequest::Status { job, caller } => match node.valid_term() {
            Some(term) => PeerReply::Status(term.job_for(&caller, job)),
            None => not_leader_reply(node),
        },
        PeerRequest::Pending(queue) => match node.valid_term() {
            Some(term) => PeerReply::Pending(term.pending_count(&queue)),
            None => not_leader_reply(node),
        },
        PeerRequest::JobTaken {
            job,
            mut record,
            policy,
        } => {
            record.policy = policy.0;
            let record = Box::new(record);
            deliver_to_own_term(node, Event::JobAccepted { job, record })
        }
        PeerRequest::CancelTaken(job) => deliver_to_own_term(node, Event::CancelAccepted { job }),
        PeerRequest::Submit {
            job,
            mut record,
            version,
            policy,
        } => {
            record.policy = policy.0;
            write_for_peer(node, job, record, version).await
        }
        PeerRequest::Cancel { job, caller } => write_cancel(node, job, &caller).await,
        PeerRequest::Leader => match node.valid_term() {
            Some(_) => PeerReply::NotLeader(Some(election::own_leader_record(node))),
            None => not_leader_reply(node),
        },
        PeerRequest::Configuration { known, wait_ms } => {
            configuration_sharing::handle_request(node, known, Duration::from_ms(wait_ms)).await
        }
        PeerRequest::EndLease(lease) => end_lease(node, lease).await,
        PeerRequest::ReserveRoom { job, bytes } => match node.valid_term() {
            Some(term) if term.reserve_room(clock::now(), job, bytes as usize) => PeerReply::Taken,
            Some(_) => PeerReply::Refused,
            None => not_leader_reply(node),
        },
        PeerRequest::IsLeaderSilent(lease) => {
            PeerReply::LeaderSilent(leader_probe::is_unresponsive(node, lease))
        }
        PeerRequest::Advise {
            step,
            workers,
            limit_ms,
        } => {
            let ids: Vec<Arc<str>> = workers.iter().map(|id| Arc::from(id.as_str())).collect();
            let limit = Duration::from_ms(limit_ms);
            PeerReply::Advice(advice_answer(node.platform.advise(step, &ids, limit).await))
        }
        PeerRequest::RelayOrders {
            session,
            orders,
            sent_at,
        } => server::accept_orders(node, session, orders, sent_at),
        PeerRequest::RelayReplies { session } => server::collect_replies(node, session).await,
        PeerRequest::Learned(learned) => {
            *node.learned.borrow_mut() = LearnedSnapshot::new(clock::now(), learned);
            PeerReply::Taken
        }
        PeerRequest::Clock => PeerReply::Clock(clock::now()),
    }
}

/// Writes a job that another node has parsed, unless this node's configuration may be
/// outdated or does not admit the job.
async fn write_for_peer<P: Platform>(
    node: &Rc<Node<P>>,
    job: JobId,
    mut record: JobRecord,
    version: u64,
) -> PeerReply {
    if !node.is_current() || !is_admissible(node, &record, version) {
        info!(node.log, "job of another node rejected";
            "job" => %job, "version" => version, "known" => node.configuration.version());
        return PeerReply::Refused;
    }
    if record.policy.is_none() {
        // A node of an earlier version sends none.
        record.policy = configured_policy(node, &record);
    }
    match write_job(node, job, &record).await {
        JobWriteOutcome::Stored | JobWriteOutcome::Ended => PeerReply::Accepted,
        JobWriteOutcome::IdTaken => PeerReply::IdTaken,
        JobWriteOutcome::NotStored => PeerReply::Refused,
        JobWriteOutcome::Unknown => PeerReply::Unknown,
    }
}

/// Returns whether this node's configuration admits a job that was parsed with a
/// configuration of version `version`.
///
/// An older version is accepted if it has the same queue for the same service: a partitioned
/// node may be several versions behind, and few versions change a queue. A customer's job
/// needs at least this node's version, since the request does not carry the customer's key
/// and so the key can't be checked again.
fn is_admissible<P: Platform>(node: &Node<P>, record: &JobRecord, version: u64) -> bool {
    let Some(active) = node.configuration.active() else {
        return false;
    };
    let configuration = &active.configuration;
    if version >= configuration.version {
        return true;
    }
    let queue = configuration.queue(&record.queue);
    record.customer.is_none() && queue.is_some_and(|queue| queue.service == record.service)
}

/// Returns what this node's configuration says for a job.
fn configured_policy<P: Platform>(node: &Node<P>, record: &JobRecord) -> Option<Box<JobPolicy>> {
    let active = node.configuration.active()?;
    let policy = active
        .configuration
        .policy(&record.queue, record.customer.as_deref());
    policy.map(Box::new)
}

fn deliver_to_own_term<P: Platform>(node: &Rc<Node<P>>, event: Event) -> PeerReply {
    match node.valid_term() {
        Some(term) => {
            term.send_event(event);
            let forecast = term.forecast(clock::now());
            forecast.map_or(PeerReply::Taken, PeerReply::TakenInOverload)
        }
        None => not_leader_reply(node),
    }
}

/// Returns the reply of a node that does not lead, with the leader if it knows it.
fn not_leader_reply<P: Platform>(node: &Rc<Node<P>>) -> PeerReply {
    let leader = node.cell.borrow().leader.clone();
    PeerReply::NotLeader(leader.filter(|_| node.has_store_contact()))
}

async fn end_lease<P: Platform>(node: &Rc<Node<P>>, lease: LeaseId) -> PeerReply {
    if is_store_unreachable(node) {
        return PeerReply::Refused;
    }
    match node.store.end_lease(lease).await {
        Ok(()) => PeerReply::Ended,
        Err(_) => PeerReply::Refused,
    }
}

fn advice_answer(reply: AdviceReply) -> Option<AdviceAnswer> {
    let AdviceReply::Answered { tickets, validity } = reply else {
        return None;
    };
    let good = tickets.into_iter().map(|ticket| SuitableWorker {
        worker: ticket.worker,
        ticket: ticket.text,
    });
    Some(AdviceAnswer {
        good: good.collect(),
        validity_ms: validity.as_ms(),
    })
}

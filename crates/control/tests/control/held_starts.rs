//! A start that was held on its way through a relay until its sender had given it up.
//!
//! The leader and the relay are two nodes with stores of their own. Between them is a link
//! that holds a batch as the socket of a relay that stands still does: the leader's calls are
//! accepted by the system, and the relay reads them when it wakes.

use crate::support::node::{
    spawn_node, wait_for, Messages, Worker, WorkerPlatform, CONDITION_CHECK_PERIOD, WORKERS_PREFIX,
};
use crate::support::{run_local, settings, MemoryStore, QUEUE, SERVICE};
use ospreywing_control::cell_view::NodeRecord;
use ospreywing_control::peer::{self, PeerReply, PeerRequest};
use ospreywing_control::relay::batch::START_HOLD_LIMIT;
use ospreywing_control::relay::message::{
    Order, OrderReply, RelaySession, RelayedOrder, RelayedReply, SentAt,
};
use ospreywing_control::{clock, keys, NodeSettings, Store, Transaction, WorkerPoll};
use ospreywing_http::HttpClient;
use ospreywing_scheduler::{
    Endpoint, HoldReply, JobId, JobRecord, JobSpec, RefusedStart, StartOrder, StartReply, StepKey,
    StepSpec, TaskKey, WorkerKey,
};
use ospreywing_types::{Duration, Instant, Resources};
use rstest::rstest;
use std::future::Future;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// The job's payload, by which the link recognises the batch with its start.
const PAYLOAD: &str = "the work that is held";
/// The message with which a relay logs that it gave up starts.
const GIVEN_UP: &str = "relayed starts given up";

/// A link to a relay. It holds the first batch with [`PAYLOAD`] until its sender has closed the
/// connection, and then delivers it.
struct HoldingLink {
    address: SocketAddr,
    has_held: Arc<AtomicBool>,
}

impl HoldingLink {
    fn open(relay: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let has_held = Arc::new(AtomicBool::new(false));
        let link = Self {
            address,
            has_held: has_held.clone(),
        };
        thread::spawn(move || {
            for from_leader in listener.incoming() {
                let from_leader = from_leader.expect("a connection");
                let to_relay = TcpStream::connect(relay).expect("a relay that listens");
                let from_relay = to_relay.try_clone().expect("a socket");
                let to_leader = from_leader.try_clone().expect("a socket");
                let has_held = has_held.clone();
                thread::spawn(move || forward_orders(from_leader, to_relay, &has_held));
                thread::spawn(move || forward_replies(from_relay, to_leader));
            }
        });
        link
    }

    fn has_held(&self) -> bool {
        self.has_held.load(Ordering::SeqCst)
    }
}

fn forward_orders(mut leader: TcpStream, mut relay: TcpStream, has_held: &AtomicBool) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let Ok(count @ 1..) = leader.read(&mut buffer) else {
            return;
        };
        let received = &buffer[..count];
        let has_payload = received
            .windows(PAYLOAD.len())
            .any(|window| window == PAYLOAD.as_bytes());
        if has_payload && !has_held.swap(true, Ordering::SeqCst) {
            // The sender closes the connection once it has waited for long enough.
            let mut later = Vec::new();
            let _ = leader.read_to_end(&mut later);
        }
        if relay.write_all(received).is_err() {
            return;
        }
    }
}

/// Forwards replies, or discards them if the leader no longer reads.
fn forward_replies(mut relay: TcpStream, mut leader: TcpStream) {
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(count @ 1..) = relay.read(&mut buffer) {
        let _ = leader.write_all(&buffer[..count]);
    }
}

/// Starts the node that is the relay and returns its address for calls of other nodes.
async fn spawn_relay(platform: &WorkerPlatform, messages: &Messages) -> SocketAddr {
    spawn_node(platform, settings(), messages);
    let record = || platform.store.value(&keys::node(&settings().name));
    wait_for("the relay is registered", || record().is_some()).await;
    let record = NodeRecord::from_bytes(&record().expect("a record")).expect("a record");
    record.address.parse().expect("an address")
}

/// Writes a configuration, the worker and the relay to the leader's store.
async fn write_initial_items(store: &MemoryStore, relay: SocketAddr) {
    let record = NodeRecord {
        address: relay.to_string(),
        cores_milli: 1000,
        data_centre: String::new(),
    };
    let record = postcard::to_allocvec(&record).expect("a record");
    let initial_items = Transaction::new()
        .with_put("configuration".to_owned(), vec![1])
        .with_put(format!("{WORKERS_PREFIX}w0"), vec![1])
        .with_put(keys::node("relay"), record);
    store.commit(&initial_items).await.expect("no condition");
}

/// Writes a job with one task to the leader's store.
async fn submit(store: &MemoryStore, number: u64) {
    let step = StepSpec {
        tasks_count: 1,
        demand: Resources::new(1000, 1000, 0),
        estimate_ms: 1000,
        ..StepSpec::default()
    };
    let job = JobRecord {
        queue: QUEUE.to_owned(),
        service: SERVICE.to_owned(),
        accepted_ms: 0,
        spec: JobSpec {
            payload: PAYLOAD.to_owned(),
            steps: vec![step],
            schedule: None,
        },
        customer: None,
        policy: None,
    };
    let write = Transaction::new().with_put(keys::job(JobId::new(number)), job.to_bytes());
    store.commit(&write).await.expect("no condition");
}

/// The worker may be another incarnation by the time a held start arrives, and would run an
/// ended task again. A relay that wakes must not send what its sender has given up.
#[test]
fn relay_start_held_beyond_senders_timeout() {
    run_local(async {
        let worker = Worker::default();
        let (leader, relay) = (WorkerPlatform::new(&worker), WorkerPlatform::new(&worker));
        let (leader_messages, relay_messages) = (Messages::default(), Messages::default());
        let relay_address = spawn_relay(&relay, &relay_messages).await;
        let link = HoldingLink::open(relay_address);
        write_initial_items(&leader.store, link.address).await;
        let leader_settings = NodeSettings {
            relays_min_workers_count: 1,
            ..settings()
        };
        spawn_node(&leader, leader_settings, &leader_messages);
        wait_for("the worker is polled through the relay", || {
            relay.agent.has_polled.get()
        })
        .await;
        submit(&leader.store, 1).await;
        wait_for("the start is held", || link.has_held()).await;
        wait_for("the leader has given the relay up", || {
            leader_messages.contain("relay lost")
        })
        .await;
        wait_for("the relay has handled the held batch", || {
            relay.agent.has_sent_start() || relay_messages.contain(GIVEN_UP)
        })
        .await;
        let sent = relay.agent.sent_starts.borrow();
        assert!(sent.is_empty(), "the relay sent held starts: {sent:?}");
    });
}

const SESSION: RelaySession = RelaySession {
    fence: 7,
    number: 1,
};
const START_NUMBER: u64 = 1;

/// A client that calls a relay as a leader does.
struct LeaderCalls {
    client: HttpClient,
    relay: String,
}

impl LeaderCalls {
    async fn call(&self, request: PeerRequest) -> PeerReply {
        let reply = peer::call(&self.client, &self.relay, &request, Duration::from_s(5)).await;
        reply.expect("a reply")
    }

    async fn relay_time(&self) -> Instant {
        match self.call(PeerRequest::Clock).await {
            PeerReply::Clock(relay_time) => relay_time,
            other => panic!("not a clock: {other:?}"),
        }
    }

    /// Sends a poll and a start, and returns the reply to the start.
    async fn relay_poll_and_start(&self, sent_at: Option<Instant>) -> OrderReply {
        let relayed = |number, order| RelayedOrder {
            number,
            to: Endpoint {
                worker: WorkerKey::from_u32(0),
                id: Arc::from("w0"),
                incarnation: None,
                address: Arc::from("127.0.0.1:9"),
            },
            order,
        };
        let poll = Order::Hold(WorkerPoll {
            until_ms: None,
            last_seen: 0,
            wait: Duration::ZERO,
            patience: Duration::from_s(1),
        });
        let step = StepKey {
            job: JobId::new(1),
            round: 0,
            step: 0,
        };
        let start = Order::Start(StartOrder {
            task: TaskKey { step, index: 0 },
            run: 1,
            payload: Arc::from(PAYLOAD),
            until_ms: 0,
            checkpoint: None,
            ticket: None,
        });
        let orders = PeerRequest::RelayOrders {
            session: SESSION,
            orders: vec![relayed(0, poll), relayed(START_NUMBER, start)],
            sent_at: SentAt(sent_at),
        };
        assert_eq!(self.call(orders).await, PeerReply::Taken);
        loop {
            let collect = PeerRequest::RelayReplies { session: SESSION };
            let PeerReply::Relayed(replies) = self.call(collect).await else {
                panic!("the relay refuses to tell replies");
            };
            let mut replies = replies.into_iter();
            if let Some(found) = replies.find(|relayed| relayed.number == START_NUMBER) {
                return found.reply;
            }
        }
    }
}

async fn open_relay() -> (WorkerPlatform, LeaderCalls) {
    let platform = WorkerPlatform::new(&Worker::default());
    let relay = spawn_relay(&platform, &Messages::default()).await;
    let calls = LeaderCalls {
        client: HttpClient::new(1),
        relay: relay.to_string(),
    };
    (platform, calls)
}

const NOT_SENT: StartReply = StartReply::Refused(RefusedStart::Late);
const LONG: Duration = Duration::from_s(30);

/// Runs a test on a thread of its own, on which only the test advances the clock.
fn run_with_stopped_clock<F: Future<Output = ()>>(test: impl FnOnce() -> F + Send + 'static) {
    let run = thread::spawn(move || {
        clock::simulation::stop();
        run_local(test());
    });
    run.join().expect("the test passes");
}

/// A start that was given up is answered as certainly not sent, so that the task may start
/// elsewhere at once. One that came in time is sent.
#[rstest]
#[case::in_time(Duration::ZERO, StartReply::Started)]
#[case::held_for_limit(START_HOLD_LIMIT, NOT_SENT)]
#[case::held_for_long(LONG, NOT_SENT)]
fn relay_start_by_age(#[case] age: Duration, #[case] expected: StartReply) {
    run_with_stopped_clock(move || async move {
        let (platform, calls) = open_relay().await;
        let sent_at = calls.relay_time().await;
        clock::simulation::suspend(age);
        let reply = calls.relay_poll_and_start(Some(sent_at)).await;
        assert_eq!(reply, OrderReply::Start(expected));
        assert_eq!(
            platform.agent.has_sent_start(),
            expected == StartReply::Started
        );
    });
}

/// The relay may stand still after it has read a batch, also one of a leader that does not tell
/// when it sent it.
#[rstest]
#[case::leader_tells_time(true, LONG, NOT_SENT)]
#[case::earlier_leader(false, LONG, NOT_SENT)]
#[case::earlier_leader_in_time(false, Duration::ZERO, StartReply::Started)]
fn relay_start_suspended_after_read(
    #[case] is_time_told: bool,
    #[case] length: Duration,
    #[case] expected: StartReply,
) {
    run_with_stopped_clock(move || async move {
        let (platform, calls) = open_relay().await;
        let sent_at = calls.relay_time().await;
        platform.agent.suspend_at_poll.set(length);
        let reply = calls
            .relay_poll_and_start(is_time_told.then_some(sent_at))
            .await;
        assert_eq!(reply, OrderReply::Start(expected));
        assert_eq!(
            platform.agent.has_sent_start(),
            expected == StartReply::Started
        );
    });
}

/// Reads one HTTP request and returns its body; `None` at the end of the connection.
fn read_request(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).expect("text").to_lowercase();
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    let length_bytes = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length_bytes];
    stream.read_exact(&mut body).ok()?;
    Some(body)
}

/// A relay of an earlier version, whose worker answers polls.
#[derive(Default)]
struct EarlierRelay {
    has_start: AtomicBool,
    replies: Mutex<Vec<RelayedReply>>,
}

impl EarlierRelay {
    /// Returns the reply to a request; `None` if this version can't parse it.
    fn reply(&self, request: Option<PeerRequest>) -> Option<PeerReply> {
        let mut replies = self.replies.lock().expect("no panic while locked");
        match request? {
            PeerRequest::RelayOrders { orders, .. } => {
                for relayed in orders {
                    match relayed.order {
                        Order::Start(_) => self.has_start.store(true, Ordering::SeqCst),
                        Order::Hold(_) => replies.push(RelayedReply {
                            number: relayed.number,
                            reply: OrderReply::Hold(HoldReply::Listed {
                                incarnation: None,
                                clock_ms: clock::now().as_ms(),
                                running: Vec::new(),
                                ended: Vec::new(),
                            }),
                        }),
                        Order::Stop { .. } => {}
                    }
                }
                Some(PeerReply::Taken)
            }
            PeerRequest::RelayReplies { .. } => {
                Some(PeerReply::Relayed(core::mem::take(&mut *replies)))
            }
            _ => None,
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(body) = read_request(&mut stream) {
            thread::sleep(CONDITION_CHECK_PERIOD);
            let (status, body) = match self.reply(peer::decode(&body)) {
                Some(reply) => ("200 OK", postcard::to_allocvec(&reply).expect("a reply")),
                None => ("400 Bad Request", Vec::new()),
            };
            let head = format!(
                "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            let answer = [head.into_bytes(), body].concat();
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }
}

/// During an upgrade, a leader must go on using relays that can't tell their clocks.
#[test]
fn relay_start_through_earlier_version() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let relay_address = listener.local_addr().expect("an address");
        let relay = Arc::new(EarlierRelay::default());
        let server = relay.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let server = server.clone();
                let stream = stream.expect("a connection");
                thread::spawn(move || server.serve(stream));
            }
        });
        let leader = WorkerPlatform::new(&Worker::default());
        write_initial_items(&leader.store, relay_address).await;
        submit(&leader.store, 1).await;
        let leader_settings = NodeSettings {
            relays_min_workers_count: 1,
            ..settings()
        };
        let messages = Messages::default();
        spawn_node(&leader, leader_settings, &messages);
        let has_start = || relay.has_start.load(Ordering::SeqCst);
        wait_for("a start goes through the relay", has_start).await;
        assert!(!messages.contain("relay lost"));
    });
}

//! A leader whose machine is suspended: its clocks move on while it stands still, and
//! another node leads meanwhile.
//!
//! A node that counts its lease by a clock which stands still in a suspend would wake up
//! and give orders until its next renewal is refused. Such a suspend is brought about at
//! one call after the other that the node makes.

use crate::support::{run_local, MemoryStore};
use http_body_util::Full;
use hyper::body::Bytes;
use ospreywing_control::cell_view::LeaderRecord;
use ospreywing_control::layered::{CallFailure, LayeredStore, StoreCall, StoreLayer};
use ospreywing_control::{
    clock, keys, Call, CallError, CordonError, EntryError, FrontLimits, Look, NodeSettings,
    Platform, Reply, RequestHead, Store, StoreError, Transaction,
};
use ospreywing_scheduler::{
    AdviceReply, Configuration, Endpoint, Features, HoldReply, JobId, JobRecord, JobSpec, Queue,
    RunningRun, ServicePolicy, StartOrder, StartReply, StepKey, StepSpec, StopReply, TaskKey,
    WorkerFacts,
};
use ospreywing_types::{Duration, Resources};
use rstest::rstest;
use slog::{o, Discard, Logger};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;

const SERVICE: &str = "gallery";
const QUEUE: &str = "render";
const WORKERS_PREFIX: &str = "workers/";
/// How long a node plays after it was suspended.
const PLAY: std::time::Duration = std::time::Duration::from_millis(600);
/// The longest that a node takes to make so many calls.
const PLAY_LIMIT: std::time::Duration = std::time::Duration::from_secs(10);
/// The leader's lease; in a shorter suspend nobody else is elected.
const LEADER_LEASE: Duration = Duration::from_ms(1500);

/// What surrounds the node: calls are counted, and one of them is when the machine is
/// suspended.
#[derive(Default)]
struct Surroundings {
    calls_count: Cell<usize>,
    suspend_at_call: Cell<usize>,
    length: Cell<Duration>,
    /// The orders that were given after another node was elected.
    late_orders: RefCell<Vec<&'static str>>,
    has_other_leader: Cell<bool>,
    running: RefCell<Vec<RunningRun>>,
}

impl Surroundings {
    /// Counts a call; at one of them the machine is suspended, and another node leads
    /// from then on where the leader's lease runs out meanwhile.
    async fn note_call(&self, store: &MemoryStore) {
        self.calls_count.set(self.calls_count.get() + 1);
        if self.calls_count.get() != self.suspend_at_call.get() {
            return;
        }
        clock::simulation::suspend(self.length.get());
        if self.length.get() >= LEADER_LEASE {
            self.has_other_leader.set(true);
            let record = LeaderRecord {
                name: "n1".to_owned(),
                address: "127.0.0.1:9".to_owned(),
                lease: 2,
            };
            let value = postcard::to_allocvec(&record).expect("a record");
            let mut taken = Transaction::new().with_put(keys::LEADER.to_owned(), value);
            for lane in 0..ospreywing_scheduler::LANES_COUNT {
                taken = taken.with_put(keys::lane(lane), vec![9]);
            }
            store.commit(&taken).await.expect("no condition");
        }
    }

    /// Notes an order; one after another leader's election must not be given. What was
    /// on its way when the machine was suspended is late and no new order.
    fn note_order(&self, kind: &'static str) {
        if self.has_other_leader.get() {
            self.late_orders.borrow_mut().push(kind);
        }
    }
}

/// Counts the calls of a store.
#[derive(Clone)]
struct Counting {
    store: MemoryStore,
    around: Rc<Surroundings>,
}

type CountingStore = LayeredStore<MemoryStore, Counting>;

impl StoreLayer for Counting {
    async fn around<T, E: CallFailure>(
        &self,
        call: StoreCall,
        made: impl Future<Output = Result<T, E>>,
    ) -> Result<T, E> {
        if call == StoreCall::Watch {
            // The store in memory answers at once.
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            return made.await;
        }
        self.around.note_call(&self.store).await;
        if call == StoreCall::KeepLease {
            // An answer takes its time, in which a node that knows nothing acts on.
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            if self.around.has_other_leader.get() {
                return Err(StoreError::LeaseOver.into());
            }
        }
        made.await
    }
}

/// A platform with one worker, on which whatever is started runs on.
#[derive(Clone)]
struct OneWorker {
    memory: MemoryStore,
    around: Rc<Surroundings>,
}

impl Platform for OneWorker {
    type Store = CountingStore;
    type Routes = ();
    type Admission = ();

    fn store(&self) -> CountingStore {
        let layer = Counting {
            store: self.memory.clone(),
            around: self.around.clone(),
        };
        LayeredStore::with_layer(self.memory.clone(), layer)
    }

    fn configuration_key(&self) -> &'static str {
        "configuration"
    }

    fn parse_configuration(&self, _value: &[u8]) -> Result<(Configuration, ()), CallError> {
        let queue = Queue {
            name: QUEUE.to_owned(),
            service: SERVICE.to_owned(),
            priority: 0,
            attempts_limit_count: 3,
            stretch: 2.0,
            objective_ms: 1000,
            advice: None,
        };
        let configuration = Configuration {
            version: 1,
            queues: [(QUEUE.to_owned(), queue)].into(),
            services: vec![ServicePolicy {
                name: SERVICE.to_owned(),
            }],
            ..Configuration::default()
        };
        Ok((configuration, ()))
    }

    fn workers_prefix(&self) -> &'static str {
        WORKERS_PREFIX
    }

    fn cordons_prefix(&self) -> &'static str {
        "cordons/"
    }

    fn parse_cordon(&self, key: &str, _value: &[u8]) -> Result<Arc<str>, CordonError> {
        Ok(Arc::from(key))
    }

    fn parse_worker(&self, _key: &str, _value: &[u8]) -> Result<WorkerFacts, EntryError> {
        Ok(WorkerFacts {
            id: Arc::from("w0"),
            incarnation: None,
            address: Arc::from("127.0.0.1:9"),
            service: Arc::from(SERVICE),
            machine: None,
            data_centre: Arc::from(""),
            rack: None,
            labels: Vec::new(),
            capacity: Resources::new(64_000, 64_000, 0),
            is_draining: false,
            departs_at_clock_ms: None,
        })
    }

    fn limits(_routes: &()) -> FrontLimits {
        FrontLimits {
            head_bytes: 4096,
            body_bytes: 4096,
            head_time: Duration::from_s(1),
            idle_time: Duration::from_s(1),
        }
    }

    fn admit(&self, _routes: &(), _head: RequestHead<'_>) -> Result<(), Reply> {
        Err(Reply::NoMethod)
    }

    fn read_call(&self, _admission: (), _body: &[u8]) -> Result<Call, Reply> {
        Err(Reply::NoMethod)
    }

    fn encode(&self, _reply: &Reply) -> http::Response<Full<Bytes>> {
        http::Response::new(Full::default())
    }

    fn is_ready_question(&self, _method: &http::Method, _path: &str) -> bool {
        false
    }

    async fn hold(&self, _to: &Endpoint, _fence: u64, look: Look) -> HoldReply {
        self.around.note_order("hold");
        self.around.note_call(&self.memory).await;
        let wait = look.wait.as_ms().min(20);
        tokio::time::sleep(std::time::Duration::from_millis(wait)).await;
        HoldReply::Listed {
            incarnation: None,
            clock_ms: clock::now().as_ms(),
            running: self.around.running.borrow().clone(),
            ended: Vec::new(),
        }
    }

    async fn start(&self, _to: &Endpoint, _fence: u64, order: &StartOrder) -> StartReply {
        self.around.note_order("start");
        self.around.note_call(&self.memory).await;
        self.around.running.borrow_mut().push(RunningRun {
            task: order.task,
            run: order.run,
            checkpoint: None,
            progress_percent: 0,
            usage_figure: 0,
        });
        StartReply::Started
    }

    async fn stop(&self, _to: &Endpoint, _fence: u64, _task: TaskKey, _run: u32) -> StopReply {
        self.around.note_order("stop");
        StopReply::Stopping
    }

    async fn advise(&self, _step: StepKey, _workers: &[Arc<str>], _limit: Duration) -> AdviceReply {
        AdviceReply::Unanswered
    }
}

fn settings() -> NodeSettings {
    let any_port = "127.0.0.1:0".parse().expect("an address");
    NodeSettings {
        name: "n0".to_owned(),
        front_address: any_port,
        ready_address: any_port,
        peer_address: any_port,
        metrics_address: None,
        data_centre: String::new(),
        cores_milli: 1000,
        relayed_workers_count: 600,
        sharing_nodes_count: 100,
        lease_limit: Duration::from_s(6),
        grace: Duration::from_s(6),
        retention: Duration::from_s(120),
        apply_limit: Duration::from_s(2),
        stretch_limit: Duration::from_s(5),
        cordon_limit: Duration::from_s(5),
        drain_limit: Duration::from_s(2),
        stop_grace: Duration::from_ms(200),
        revoke_limit: None,
        features: Features::default(),
    }
}

/// Writes what the node finds: a configuration, a worker and jobs.
async fn fill(store: &MemoryStore) {
    let mut filled = Transaction::new()
        .with_put("configuration".to_owned(), vec![1])
        .with_put(format!("{WORKERS_PREFIX}w0"), vec![1]);
    for number in 1..=8 {
        let step = StepSpec {
            tasks_count: 2,
            demand: Resources::new(1000, 1000, 0),
            estimate_ms: 1000,
            ..StepSpec::default()
        };
        let record = JobRecord {
            queue: QUEUE.to_owned(),
            service: SERVICE.to_owned(),
            accepted_ms: 0,
            spec: JobSpec {
                payload: "work".to_owned(),
                steps: vec![step],
                schedule: None,
            },
            customer: None,
        };
        filled = filled.with_put(keys::job(JobId::new(number)), record.to_bytes());
    }
    store.commit(&filled).await.expect("no condition");
}

/// After a suspend in which its lease ran out, a leader gives no order, whatever it was
/// waiting for; after a shorter one it goes on.
#[rstest]
fn may_order_after_suspend(
    #[values(8, 13, 17, 22, 26, 31, 37, 44, 52, 61)] call: usize,
    #[values(500, 2_000, 30_000)] length_ms: u64,
) {
    run_local(async move {
        let around = Rc::new(Surroundings::default());
        around.suspend_at_call.set(call);
        around.length.set(Duration::from_ms(length_ms));
        let memory = MemoryStore::new();
        fill(&memory).await;
        let platform = OneWorker {
            memory,
            around: around.clone(),
        };
        let log = Logger::root(Discard, o!());
        let buffer = ospreywing_control::log::LogBuffer::new();
        let node = ospreywing_control::run(platform, settings(), log, buffer);
        let played = async {
            while around.calls_count.get() < call {
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
            tokio::time::sleep(PLAY).await;
        };
        tokio::select! {
            _ = node => panic!("the node has stopped"),
            played = tokio::time::timeout(PLAY_LIMIT, played) => {
                played.expect("the node makes its calls");
            }
        }
        let late = around.late_orders.borrow();
        assert!(late.is_empty(), "orders after the lease was over: {late:?}");
        if length_ms < LEADER_LEASE.as_ms() {
            assert!(!around.running.borrow().is_empty(), "nothing was started");
        }
    });
}

//! A leader whose box is suspended, while time passes and another node is elected.
//!
//! If a node measured its lease by a clock that stops during a suspend, it would resume and
//! send orders until its next renewal fails. The test suspends the box at each of
//! several calls that the node makes.

use crate::support::node::{Agent, OneWorkerPlatform, Worker, WORKERS_PREFIX};
use crate::support::{run_local, settings, MemoryStore, QUEUE, SERVICE};
use ospreywing_control::cell_view::LeaderRecord;
use ospreywing_control::layered::{CallFailure, LayeredStore, StoreCall, StoreLayer};
use ospreywing_control::{clock, keys, Store, StoreError, Transaction, WorkerPoll};
use ospreywing_scheduler::{
    HoldReply, JobId, JobRecord, JobSpec, StartOrder, StartReply, StepSpec, StopReply,
};
use ospreywing_types::{Duration, Resources};
use rstest::rstest;
use slog::{o, Discard, Logger};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;

/// How long the node runs after it was suspended.
const RUN_TIME: std::time::Duration = std::time::Duration::from_millis(600);
/// The timeout for the node to make its calls and run on after the suspend.
const RUN_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);
/// The leader lease; during a shorter suspend no other node is elected.
const LEADER_LEASE: Duration = Duration::from_ms(1500);

/// The node's environment: counts calls, and suspends the box at one of them.
#[derive(Default)]
struct Environment {
    calls_count: Cell<usize>,
    suspend_at_call: Cell<usize>,
    length: Cell<Duration>,
    /// The orders that were sent after another node was elected.
    late_orders: RefCell<Vec<&'static str>>,
    has_other_leader: Cell<bool>,
    worker: Worker,
}

impl Environment {
    /// Counts a call. At the chosen one, suspends the box; if the leader lease expires
    /// during that time, another node is elected.
    async fn handle_call(&self, store: &MemoryStore) {
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
            let mut takeover = Transaction::new().with_put(keys::LEADER.to_owned(), value);
            for lane in 0..ospreywing_scheduler::LANES_COUNT {
                takeover = takeover.with_put(keys::lane(lane), vec![9]);
            }
            store.commit(&takeover).await.expect("no condition");
        }
    }

    /// Records an order if another leader was elected before, since then none may be sent.
    /// An order in flight when the box was suspended is only late, and is not recorded.
    fn record_order(&self, kind: &'static str) {
        if self.has_other_leader.get() {
            self.late_orders.borrow_mut().push(kind);
        }
    }
}

/// A store layer that counts calls.
#[derive(Clone)]
struct CountingLayer {
    store: MemoryStore,
    environment: Rc<Environment>,
}

type CountingStore = LayeredStore<MemoryStore, CountingLayer>;

impl StoreLayer for CountingLayer {
    async fn wrap_call<T, E: CallFailure>(
        &self,
        call: StoreCall,
        future: impl Future<Output = Result<T, E>>,
    ) -> Result<T, E> {
        if call == StoreCall::Watch {
            // The in-memory store would answer at once.
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            return future.await;
        }
        self.environment.handle_call(&self.store).await;
        if call == StoreCall::RenewLease {
            // Until the answer arrives, the node does not know that its lease is over.
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            if self.environment.has_other_leader.get() {
                return Err(StoreError::LeaseOver.into());
            }
        }
        future.await
    }
}

/// A worker on which started runs never end, in the node's environment.
#[derive(Clone)]
struct WorkerInEnvironment {
    memory: MemoryStore,
    environment: Rc<Environment>,
}

impl Agent for WorkerInEnvironment {
    async fn hold(&self, poll: WorkerPoll) -> HoldReply {
        self.environment.record_order("hold");
        self.environment.handle_call(&self.memory).await;
        self.environment.worker.list(&poll).await
    }

    async fn start(&self, order: &StartOrder) -> StartReply {
        self.environment.record_order("start");
        self.environment.handle_call(&self.memory).await;
        self.environment.worker.begin(order);
        StartReply::Started
    }

    async fn stop(&self) -> StopReply {
        self.environment.record_order("stop");
        StopReply::Stopping
    }
}

/// Returns a platform whose calls the environment counts.
fn platform(
    memory: MemoryStore,
    environment: &Rc<Environment>,
) -> OneWorkerPlatform<CountingStore, WorkerInEnvironment> {
    let layer = CountingLayer {
        store: memory.clone(),
        environment: environment.clone(),
    };
    OneWorkerPlatform {
        store: LayeredStore::with_layer(memory.clone(), layer),
        agent: WorkerInEnvironment {
            memory,
            environment: environment.clone(),
        },
    }
}

/// Writes the initial content of the store: a configuration, a worker and jobs.
async fn write_initial_items(store: &MemoryStore) {
    let mut initial_items = Transaction::new()
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
            policy: None,
        };
        initial_items = initial_items.with_put(keys::job(JobId::new(number)), record.to_bytes());
    }
    store.commit(&initial_items).await.expect("no condition");
}

/// After a suspend during which its lease expired, a leader sends no order, whichever call it
/// was waiting for; after a shorter one it continues.
#[rstest]
fn may_send_orders_after_suspend(
    #[values(8, 13, 17, 22, 26, 31, 37, 44, 52, 61)] call: usize,
    #[values(500, 2_000, 30_000)] length_ms: u64,
) {
    run_local(async move {
        let environment = Rc::new(Environment::default());
        environment.suspend_at_call.set(call);
        environment.length.set(Duration::from_ms(length_ms));
        let memory = MemoryStore::new();
        write_initial_items(&memory).await;
        let platform = platform(memory, &environment);
        let log = Logger::root(Discard, o!());
        let buffer = ospreywing_control::log::LogBuffer::new();
        let node = ospreywing_control::run(platform, settings(), log, buffer);
        let run = async {
            while environment.calls_count.get() < call {
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
            tokio::time::sleep(RUN_TIME).await;
        };
        tokio::select! {
            _ = node => panic!("the node has stopped"),
            run = tokio::time::timeout(RUN_TIMEOUT, run) => {
                run.expect("the node makes its calls");
            }
        }
        let late = environment.late_orders.borrow();
        assert!(late.is_empty(), "orders after the lease was over: {late:?}");
        if length_ms < LEADER_LEASE.as_ms() {
            assert!(!environment.worker.is_idle(), "nothing was started");
        }
    });
}

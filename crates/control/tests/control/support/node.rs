//! A node that runs in a test, on a platform with one worker.

use super::{one_queue_configuration, one_worker_facts, MemoryStore};
use http_body_util::Full;
use hyper::body::Bytes;
use ospreywing_control::{
    clock, Call, CallError, CordonError, NodeSettings, Platform, Reply, RequestHead, RequestLimits,
    Store, WorkerEntryError, WorkerPoll,
};
use ospreywing_scheduler::{
    AdviceReply, Configuration, Endpoint, HoldReply, RunningRun, StartOrder, StartReply, StepKey,
    StopReply, TaskKey, WorkerFacts,
};
use ospreywing_types::Duration;
use slog::{o, Drain, Logger, Never, OwnedKVList, Record};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use tokio::time::timeout;

pub const WORKERS_PREFIX: &str = "workers/";
pub const CONDITION_CHECK_PERIOD: std::time::Duration = std::time::Duration::from_millis(2);
pub const CONDITION_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(20);

/// The messages that a node logged.
#[derive(Clone, Default)]
pub struct Messages(Arc<Mutex<Vec<String>>>);

impl Messages {
    pub fn logger(&self) -> Logger {
        Logger::root(self.clone(), o!())
    }

    pub fn contain(&self, message: &str) -> bool {
        let messages = self.0.lock().expect("no panic while locked");
        messages.iter().any(|logged| logged == message)
    }
}

impl Drain for Messages {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), Never> {
        let mut messages = self.0.lock().expect("no panic while locked");
        messages.push(record.msg().to_string());
        Ok(())
    }
}

/// How the only worker answers a node's orders.
#[allow(async_fn_in_trait, reason = "every node runs on one thread")]
pub trait Agent: Clone + 'static {
    async fn hold(&self, poll: WorkerPoll) -> HoldReply;
    async fn start(&self, order: &StartOrder) -> StartReply;
    async fn stop(&self) -> StopReply;
}

/// A platform with one worker and one queue, and without clients.
#[derive(Clone)]
pub struct OneWorkerPlatform<S, A> {
    pub store: S,
    pub agent: A,
}

impl<S: Store, A: Agent> Platform for OneWorkerPlatform<S, A> {
    type Store = S;
    type Routes = ();
    type Admission = ();

    fn store(&self) -> S {
        self.store.clone()
    }

    fn configuration_key(&self) -> &'static str {
        "configuration"
    }

    fn parse_configuration(&self, _value: &[u8]) -> Result<(Configuration, ()), CallError> {
        Ok((one_queue_configuration(), ()))
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

    fn parse_worker(&self, _key: &str, _value: &[u8]) -> Result<WorkerFacts, WorkerEntryError> {
        Ok(one_worker_facts())
    }

    fn limits(_routes: &()) -> RequestLimits {
        RequestLimits {
            head_limit_bytes: 4096,
            body_limit_bytes: 4096,
            read_timeout: Duration::from_s(1),
            idle_timeout: Duration::from_s(60),
        }
    }

    fn admit(&self, _routes: &(), _head: RequestHead<'_>) -> Result<(), Reply> {
        Err(Reply::NoMethod)
    }

    fn parse_call(&self, _admission: (), _body: &[u8]) -> Result<Call, Reply> {
        Err(Reply::NoMethod)
    }

    fn encode(&self, _reply: &Reply) -> http::Response<Full<Bytes>> {
        http::Response::new(Full::default())
    }

    fn is_readiness_probe(&self, _method: &http::Method, _path: &str) -> bool {
        false
    }

    async fn hold(&self, _to: &Endpoint, _fence: u64, poll: WorkerPoll) -> HoldReply {
        self.agent.hold(poll).await
    }

    async fn start(&self, _to: &Endpoint, _fence: u64, order: &StartOrder) -> StartReply {
        self.agent.start(order).await
    }

    async fn stop(&self, _to: &Endpoint, _fence: u64, _task: TaskKey, _run: u32) -> StopReply {
        self.agent.stop().await
    }

    async fn advise(&self, _step: StepKey, _workers: &[Arc<str>], _limit: Duration) -> AdviceReply {
        AdviceReply::Unanswered
    }
}

/// A worker whose runs never end.
#[derive(Clone, Default)]
pub struct Worker {
    running: Rc<RefCell<Vec<RunningRun>>>,
}

impl Worker {
    /// Answers a poll with the runs, after a part of its wait.
    pub async fn list(&self, poll: &WorkerPoll) -> HoldReply {
        let wait = poll.wait.as_ms().min(20);
        tokio::time::sleep(std::time::Duration::from_millis(wait)).await;
        HoldReply::Listed {
            incarnation: None,
            clock_ms: clock::now().as_ms(),
            running: self.running.borrow().clone(),
            ended: Vec::new(),
        }
    }

    pub fn begin(&self, order: &StartOrder) {
        self.running.borrow_mut().push(RunningRun {
            task: order.task,
            run: order.run,
            checkpoint: None,
            progress_percent: 0,
            usage_figure: 0,
        });
    }

    pub fn is_idle(&self) -> bool {
        self.running.borrow().is_empty()
    }
}

/// One node's access to the worker, with the starts that this node sent.
#[derive(Clone)]
pub struct WorkerAccess {
    worker: Worker,
    pub sent_starts: Rc<RefCell<Vec<TaskKey>>>,
    pub has_polled: Rc<Cell<bool>>,
    /// For how long the next poll suspends the machine.
    pub suspend_at_poll: Rc<Cell<Duration>>,
}

impl WorkerAccess {
    pub fn has_sent_start(&self) -> bool {
        !self.sent_starts.borrow().is_empty()
    }
}

impl Agent for WorkerAccess {
    async fn hold(&self, poll: WorkerPoll) -> HoldReply {
        self.has_polled.set(true);
        clock::simulation::suspend(self.suspend_at_poll.take());
        self.worker.list(&poll).await
    }

    async fn start(&self, order: &StartOrder) -> StartReply {
        self.sent_starts.borrow_mut().push(order.task);
        self.worker.begin(order);
        StartReply::Started
    }

    async fn stop(&self) -> StopReply {
        StopReply::Stopping
    }
}

/// The platform of one of the nodes that share a worker.
pub type WorkerPlatform = OneWorkerPlatform<MemoryStore, WorkerAccess>;

impl WorkerPlatform {
    pub fn new(worker: &Worker) -> Self {
        Self {
            store: MemoryStore::new(),
            agent: WorkerAccess {
                worker: worker.clone(),
                sent_starts: Rc::default(),
                has_polled: Rc::default(),
                suspend_at_poll: Rc::default(),
            },
        }
    }
}

pub async fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(CONDITION_CHECK_PERIOD).await;
        }
    };
    let waited = timeout(CONDITION_TIMEOUT, wait).await;
    assert!(waited.is_ok(), "not seen in time: {what}");
}

/// Runs a node until the test ends.
pub fn spawn_node(platform: &WorkerPlatform, settings: NodeSettings, messages: &Messages) {
    let buffer = ospreywing_control::log::LogBuffer::new();
    let node = ospreywing_control::run(platform.clone(), settings, messages.logger(), buffer);
    tokio::task::spawn_local(async move {
        let _ = node.await;
    });
}

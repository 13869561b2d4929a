//! A store layer that detects the end of an outage at once.
//!
//! A call that was sent during an outage may hang until its timeout although the store
//! answers again. So after an unanswered call this layer sends small reads (probes) at a
//! short interval, without waiting for one another. Once probes are answered, calls that
//! have been open for much longer than a probe took are abandoned, so that their callers
//! can retry them.

use crate::layered::{CallFailure, LayeredStore, StoreCall, StoreLayer};
use crate::store::{transfer_time, Store, StoreError};
use crate::{clock, keys};
use ospreywing_types::{Duration, Instant};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use tokio::sync::Notify;

/// The time between two probes. The end of an outage is detected at most 0.1 s late, and
/// a cell of forty nodes sends 400 probes a second.
const PROBE_PERIOD: Duration = Duration::from_ms(100);
/// How long probes continue after the first answer: as long as the longest timeout of a
/// call, so that every call that was sent before is checked.
const PROBE_TAIL_TIME: Duration = Duration::from_ms(500);
/// The factor by which a call may take longer than a probe. A transaction is larger
/// than a probe, and a slow store's answer times vary by half.
const OVERDUE_FACTOR: u64 = 3;
/// The time that a call may take beyond that.
const OVERDUE_SLACK: Duration = Duration::from_ms(120);

/// The state of an outage of the store.
#[derive(Debug, Default)]
struct OutageState {
    is_probing: Cell<bool>,
    /// Calls that were sent before this instant are abandoned.
    overdue_before: Cell<Instant>,
    answered: Notify,
}

/// A layer that probes a store after an unanswered call.
#[derive(Clone, Debug)]
pub struct ProbingLayer<S> {
    store: S,
    outage: Rc<OutageState>,
}

/// A store that is probed after an unanswered call.
pub type ProbedStore<S> = LayeredStore<S, ProbingLayer<S>>;

impl<S: Store> ProbedStore<S> {
    /// Creates a store that probes `store` after an unanswered call.
    pub fn new(store: S) -> Self {
        let layer = ProbingLayer {
            store: store.clone(),
            outage: Rc::default(),
        };
        Self::with_layer(store, layer)
    }

    /// Waits until the store answers a probe after an outage.
    pub async fn answered(&self) {
        self.layer().answered().await;
    }
}

impl<S: Store> ProbingLayer<S> {
    async fn answered(&self) {
        self.outage.answered.notified().await;
    }

    /// Makes a call, and abandons it if it is overdue compared with a probe. The time for
    /// sending its data does not count.
    async fn abandon_when_overdue<T, E: CallFailure>(
        &self,
        call: impl Future<Output = Result<T, E>>,
        transfer_time: Duration,
    ) -> Result<T, E> {
        let sent_at = clock::now() + transfer_time;
        let mut call = std::pin::pin!(call);
        loop {
            let answered = self.outage.answered.notified();
            tokio::select! {
                result = &mut call => {
                    if result.as_ref().is_err_and(is_unanswered) {
                        self.start_probes();
                    }
                    return result;
                }
                () = answered => {
                    if sent_at < self.outage.overdue_before.get() {
                        let reason = "sent during an outage that is over".to_owned();
                        return Err(StoreError::Unknown(reason).into());
                    }
                }
            }
        }
    }

    fn start_probes(&self) {
        if !self.outage.is_probing.replace(true) {
            tokio::task::spawn_local(self.clone().probe());
        }
    }

    /// Sends probes until [`PROBE_TAIL_TIME`] after the first answer.
    async fn probe(self) {
        let first_answer_at = Rc::new(Cell::new(None));
        loop {
            let (store, answer_at) = (self.clone(), first_answer_at.clone());
            tokio::task::spawn_local(async move {
                if let Some(now) = store.probe_once().await {
                    answer_at.set(answer_at.get().or(Some(now)));
                }
            });
            tokio::time::sleep(PROBE_PERIOD.into()).await;
            let is_back = first_answer_at
                .get()
                .is_some_and(|at| clock::now().since(at) >= PROBE_TAIL_TIME);
            if is_back {
                self.outage.is_probing.set(false);
                return;
            }
        }
    }

    /// Sends one probe; returns when it was answered, if it was.
    async fn probe_once(&self) -> Option<Instant> {
        let sent_at = clock::now();
        // An error means that the outage continues.
        self.store.get(keys::LEADER).await.ok()?;
        let now = clock::now();
        let limit = now.since(sent_at).times(OVERDUE_FACTOR) + OVERDUE_SLACK;
        let overdue_before = self.outage.overdue_before.get().max(now - limit);
        self.outage.overdue_before.set(overdue_before);
        self.outage.answered.notify_waiters();
        Some(now)
    }
}

fn is_unanswered(error: &impl CallFailure) -> bool {
    matches!(error.store_error(), Some(StoreError::Unknown(_)))
}

impl<S: Store> StoreLayer for ProbingLayer<S> {
    async fn wrap_call<T, E: CallFailure>(
        &self,
        call: StoreCall,
        future: impl Future<Output = Result<T, E>>,
    ) -> Result<T, E> {
        match call {
            // How long these take depends on the size of their answers.
            StoreCall::Range | StoreCall::Watch => future.await,
            StoreCall::Commit { len_bytes } => {
                self.abandon_when_overdue(future, transfer_time(len_bytes))
                    .await
            }
            StoreCall::Get
            | StoreCall::GrantLease
            | StoreCall::RenewLease
            | StoreCall::EndLease => self.abandon_when_overdue(future, Duration::ZERO).await,
        }
    }

    async fn pause(&self, duration: Duration) {
        // It makes no difference which of the two ended the pause.
        let _ = tokio::time::timeout(duration.into(), self.answered()).await;
    }
}

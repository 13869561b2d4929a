//! A store whose return from silence is noticed at once.
//!
//! A call that was sent while the store was silent may hang until its time
//! limit, although the store answers again. So after a call without an answer
//! small reads go out at a short pace, without waiting for one another; once
//! they are answered, calls that have waited for much longer than they took
//! are given up, and whoever made them tries again.

use crate::layered::{CallFailure, LayeredStore, StoreCall, StoreLayer};
use crate::store::{transfer_time, Store, StoreError};
use crate::{clock, keys};
use ospreywing_types::{Duration, Instant};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use tokio::sync::Notify;

/// The time between two probes: a tenth of a second of an outage's end is lost
/// at most, and a cell of forty nodes reads 400 times a second.
const PROBE_PERIOD: Duration = Duration::from_ms(100);
/// How long probes go on after the first answer: as long as the longest time
/// limit of a call, so that each that was sent before is looked at.
const PROBE_TAIL_TIME: Duration = Duration::from_ms(500);
/// How many times as long as a probe a call may take. A transaction is larger
/// than a probe, and a slow store's answers differ by half.
const OVERDUE_FACTOR: u64 = 3;
/// What a call may take beyond that.
const OVERDUE_SLACK: Duration = Duration::from_ms(120);

/// What is known of the store's silence.
#[derive(Debug, Default)]
struct OutageState {
    is_probing: Cell<bool>,
    /// Calls that were sent before this are given up.
    overdue_before: Cell<Instant>,
    answered: Notify,
}

/// Probes a store after a call without an answer.
#[derive(Clone, Debug)]
pub struct ProbingLayer<S> {
    store: S,
    outage: Rc<OutageState>,
}

/// A store whose return from silence is noticed at once.
pub type ProbedStore<S> = LayeredStore<S, ProbingLayer<S>>;

impl<S: Store> ProbedStore<S> {
    /// Creates a store that probes `store` after a call without an answer.
    pub fn new(store: S) -> Self {
        let layer = ProbingLayer {
            store: store.clone(),
            outage: Rc::default(),
        };
        Self::with_layer(store, layer)
    }

    /// Waits until the store answers a probe after a silence.
    pub async fn answered(&self) {
        self.layer().answered().await;
    }
}

impl<S: Store> ProbingLayer<S> {
    async fn answered(&self) {
        self.outage.answered.notified().await;
    }

    /// Makes a call, and gives it up where probes have outrun it by more than
    /// what it has to send takes.
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
                        let reason = "sent in a silence that is over".to_owned();
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

    /// Sends probes until the store has answered them for a while.
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

    /// Sends one probe; returns when it was answered.
    async fn probe_once(&self) -> Option<Instant> {
        let sent_at = clock::now();
        // An error says what began the probes: there is no answer yet.
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
            // How long these take is a matter of the size of what they bring.
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

    async fn pause(&self, length: Duration) {
        // Which of the two ended it makes no difference.
        let _ = tokio::time::timeout(length.into(), self.answered()).await;
    }
}

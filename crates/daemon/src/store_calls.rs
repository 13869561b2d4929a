//! Writes to the store: claims of shards and seats, commits, and this daemon's member entry.
//!
//! Claims of shards and commits are transactions that take effect at most once. If a
//! response is lost, the transaction is retried until the store's reply shows whether it
//! took effect. Claims of seats and vacations are sent once; the next poll shows their result.

use crate::engine::EngineHandle;
use crate::layout::Layout;
use crate::metrics::StoreCounts;
use ospreywing_membership::Member;
use ospreywing_node::{ClaimedLog, Event};
use ospreywing_shard::Commit;
use ospreywing_store::{Compare, KeyValue, Op, StoreClient, StoreError, Txn, TxnReply};
use rand::Rng;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Maximum number of batches that a call returns.
const PAGE_SIZE: u64 = 500;
/// The upper bound of the first delay of a [`Backoff`].
const BACKOFF_FIRST: Duration = Duration::from_millis(40);
/// The upper bound of all delays of a [`Backoff`].
const BACKOFF_LIMIT: Duration = Duration::from_millis(1000);
/// The time to live of the lease of this daemon's member entry.
const MEMBER_TTL_S: u64 = 10;
/// The interval between renewals of that lease.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(3);

/// Writes to the store.
#[derive(Clone)]
pub struct StoreCalls {
    store: StoreClient,
    layout: Layout,
    engine: EngineHandle,
    counts: Arc<StoreCounts>,
    member: Member,
    wake: Arc<Notify>,
}

/// The outcome of a commit.
enum CommitOutcome {
    Done,
    Fenced { is_refused: bool },
}

/// The outcome of a claim.
enum ClaimOutcome {
    Won { revision: u64 },
    Lost,
}

impl StoreCalls {
    /// Creates the writer; it notifies `wake` after a write, so that the poller polls at once.
    pub fn new(
        store: StoreClient,
        layout: Layout,
        engine: EngineHandle,
        counts: Arc<StoreCounts>,
        member: Member,
        wake: Arc<Notify>,
    ) -> Self {
        Self {
            store,
            layout,
            engine,
            counts,
            member,
            wake,
        }
    }

    /// Claims a shard, reads its log and sends the result to the engine.
    pub fn claim_shard(&self, shard: u32, revision: u64) {
        let this = self.clone();
        tokio::spawn(async move {
            let key = this.layout.owner(shard);
            let event = match this.claim(key, revision).await {
                ClaimOutcome::Won { revision } => {
                    Event::ShardClaimed(this.read_log(shard, revision).await)
                }
                ClaimOutcome::Lost => Event::ClaimFailed { shard },
            };
            this.engine.send_event(event).await;
            this.wake.notify_one();
        });
    }

    /// Claims a seat; the next poll shows whether the claim succeeded.
    pub fn claim_seat(&self, seat: u32, revision: u64) {
        let this = self.clone();
        tokio::spawn(async move {
            let key = this.layout.seat(seat);
            let txn = Txn::new()
                .with_compare(Compare::ModRevision {
                    key: key.clone(),
                    revision,
                })
                .with_then(this.put_own_identity(key));
            StoreCounts::add(&this.counts.claims_count);
            let _ = this.store.txn(&txn).await;
            this.wake.notify_one();
        });
    }

    /// Vacates a shard; the next poll shows whether that took effect.
    pub fn vacate_shard(&self, shard: u32, revision: u64) {
        self.vacate(self.layout.owner(shard), revision);
    }

    /// Vacates a seat; the next poll shows whether that took effect.
    pub fn vacate_seat(&self, seat: u32, revision: u64) {
        self.vacate(self.layout.seat(seat), revision);
    }

    fn vacate(&self, key: String, revision: u64) {
        let this = self.clone();
        tokio::spawn(async move {
            let txn = Txn::new()
                .with_compare(Compare::ModRevision {
                    key: key.clone(),
                    revision,
                })
                .with_then(Op::Put {
                    key,
                    value: b"null".to_vec(),
                    lease: 0,
                });
            StoreCounts::add(&this.counts.claims_count);
            let _ = this.store.txn(&txn).await;
            this.wake.notify_one();
        });
    }

    fn put_own_identity(&self, key: String) -> Op {
        let identity = &self.member.identity;
        Op::Put {
            key,
            value: serde_json::to_vec(identity).unwrap_or_default(),
            lease: 0,
        }
    }

    /// Writes this daemon's identity to `key` if the key is at `revision`, and retries until
    /// it is known whether that took effect.
    async fn claim(&self, key: String, revision: u64) -> ClaimOutcome {
        let txn = Txn::new()
            .with_compare(Compare::ModRevision {
                key: key.clone(),
                revision,
            })
            .with_then(self.put_own_identity(key.clone()))
            .with_otherwise(Op::Get { key });
        let (reply, _) = self
            .txn_until_answered(&txn, &self.counts.claims_count)
            .await;
        if reply.succeeded {
            return ClaimOutcome::Won {
                revision: reply.revision,
            };
        }
        // An earlier attempt may have taken effect although its response was lost.
        match first_key_value(&reply) {
            Some(found) if self.is_own_identity(found) => ClaimOutcome::Won {
                revision: found.mod_revision,
            },
            _ => ClaimOutcome::Lost,
        }
    }

    fn is_own_identity(&self, found: &KeyValue) -> bool {
        let identity: Option<ospreywing_types::DaemonIdentity> =
            serde_json::from_slice(&found.value).unwrap_or(None);
        identity.is_some_and(|identity| identity == self.member.identity)
    }

    /// Reads a shard's log, which no longer changes because the former owner is fenced.
    async fn read_log(&self, shard: u32, epoch: u64) -> ClaimedLog {
        let prefix = self.layout.log(shard);
        let mut backoff = Backoff::new();
        loop {
            StoreCounts::add(&self.counts.log_reads_count);
            if let Ok(page) = self.store.range_all(&prefix, PAGE_SIZE).await {
                let found = page.key_values.into_iter().filter_map(|found| {
                    let seq = self.layout.parse_batch_seq(shard, &found.key)?;
                    Some((seq, found.value))
                });
                return ClaimedLog {
                    shard,
                    epoch,
                    batches: found.collect(),
                };
            }
            backoff.wait().await;
        }
    }

    /// Writes a commit and reports to the engine whether it took effect.
    pub fn commit(&self, shard: u32, epoch: u64, commit: Commit) {
        let this = self.clone();
        tokio::spawn(async move {
            let event = match this.commit_until_resolved(shard, epoch, &commit).await {
                CommitOutcome::Done => Event::CommitDone { shard, epoch },
                CommitOutcome::Fenced { is_refused } => Event::CommitFenced {
                    shard,
                    epoch,
                    is_refused,
                },
            };
            this.engine.send_event(event).await;
        });
    }

    async fn commit_until_resolved(
        &self,
        shard: u32,
        epoch: u64,
        commit: &Commit,
    ) -> CommitOutcome {
        let owner_key = self.layout.owner(shard);
        let batch_key = self.layout.batch(shard, commit.seq);
        let mut txn = Txn::new()
            .with_compare(Compare::ModRevision {
                key: owner_key,
                revision: epoch,
            })
            .with_compare(Compare::Absent {
                key: batch_key.clone(),
            })
            .with_then(Op::Put {
                key: batch_key.clone(),
                value: commit.value.clone(),
                lease: 0,
            })
            .with_otherwise(Op::Get { key: batch_key });
        if commit.first_kept_seq > 1 {
            txn = txn.with_then(Op::DeleteRange {
                first: self.layout.batch(shard, 0),
                end: self.layout.batch(shard, commit.first_kept_seq),
            });
        }
        let (reply, attempts_count) = self
            .txn_until_answered(&txn, &self.counts.commits_count)
            .await;
        // If the batch has this value, an earlier attempt took effect.
        let is_already_written =
            first_key_value(&reply).is_some_and(|found| found.value == commit.value);
        if reply.succeeded || is_already_written {
            return CommitOutcome::Done;
        }
        // After several attempts, an earlier one may have written the batch, and the batch may have
        // been deleted since. Only a first attempt proves that the store refused the commit.
        CommitOutcome::Fenced {
            is_refused: attempts_count == 1,
        }
    }

    /// Retries a transaction until the store responds; returns the reply and the number of
    /// attempts.
    async fn txn_until_answered(&self, txn: &Txn, count: &AtomicU64) -> (TxnReply, u32) {
        let mut backoff = Backoff::new();
        let mut attempts_count = 0;
        loop {
            attempts_count += 1;
            StoreCounts::add(count);
            match self.store.txn(txn).await {
                Ok(reply) => return (reply, attempts_count),
                Err(_) => {
                    StoreCounts::add(&self.counts.failures_count);
                    backoff.wait().await;
                }
            }
        }
    }

    /// Maintains this daemon's member entry in the store under a lease; never returns.
    ///
    /// `is_registered` is whether the last poll found the entry. It is checked in addition to
    /// the lease, because a live lease doesn't prove that the entry exists.
    pub async fn maintain_member_entry(self, is_registered: Arc<AtomicBool>) {
        let mut lease = None;
        let mut ticks = tokio::time::interval(KEEPALIVE_PERIOD);
        loop {
            ticks.tick().await;
            let is_renewed = match lease {
                Some(_) if !is_registered.load(Ordering::Relaxed) => Ok(false),
                Some(lease) => self.renew_lease(lease).await,
                None => Ok(false),
            };
            match is_renewed {
                Ok(true) => {}
                Ok(false) => lease = self.register().await.ok(),
                // The lease may still be alive; renew it again at the next tick.
                Err(_) => {}
            }
        }
    }

    async fn renew_lease(&self, lease: u64) -> Result<bool, StoreError> {
        StoreCounts::add(&self.counts.leases_count);
        self.store.lease_keepalive(lease).await
    }

    async fn register(&self) -> Result<u64, StoreError> {
        StoreCounts::add(&self.counts.leases_count);
        let lease = self.store.lease_grant(MEMBER_TTL_S).await?;
        let txn = Txn::new().with_then(Op::Put {
            key: self.layout.member(&self.member.identity.name),
            value: serde_json::to_vec(&self.member).unwrap_or_default(),
            lease,
        });
        StoreCounts::add(&self.counts.leases_count);
        self.store.txn(&txn).await?;
        self.wake.notify_one();
        Ok(lease)
    }

    /// Deletes this daemon's member entry, as its last write before it stops.
    pub async fn deregister(&self) {
        let key = self.layout.member(&self.member.identity.name);
        let txn = Txn::new().with_then(Op::Delete { key });
        StoreCounts::add(&self.counts.leases_count);
        // If the deletion fails, the entry is removed when its lease expires.
        let _ = self.store.txn(&txn).await;
    }
}

fn first_key_value(reply: &TxnReply) -> Option<&KeyValue> {
    reply.pages.first()?.key_values.first()
}

/// Exponential backoff with jitter and an upper limit.
pub struct Backoff {
    next: Duration,
}

impl Backoff {
    /// Creates a backoff that starts with the shortest delay.
    pub const fn new() -> Self {
        Self {
            next: BACKOFF_FIRST,
        }
    }

    /// Waits for the current delay and doubles the next one.
    pub async fn wait(&mut self) {
        let jitter_factor = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.next.mul_f64(jitter_factor)).await;
        self.next = (self.next * 2).min(BACKOFF_LIMIT);
    }
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new()
    }
}

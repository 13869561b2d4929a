//! The store's data model: keys, revisions and leases.

use ospreywing_store::wire::{
    Bytes, CompareRequest, CompareTarget, DeleteRangeRequest, Header, Int64, KeyValue, PutRequest,
    RangeReply, RangeRequest, RequestOp, ResponseOp, TxnReply, TxnRequest,
};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// A lease and the keys attached to it.
#[derive(Clone, Debug, Default)]
struct Lease {
    ttl_ms: u64,
    expires_at_ms: u64,
    keys: BTreeSet<Vec<u8>>,
}

/// The maximum size of a value, as specified for the platform's store.
pub const VALUE_LIMIT_BYTES: usize = 1024 * 1024;

/// The latest version of each key, and the leases.
#[derive(Clone, Debug, Default)]
pub struct Kv {
    revision: u64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

impl Kv {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self {
            revision: 1,
            ..Self::default()
        }
    }

    fn header(&self) -> Header {
        Header {
            revision: Int64::from(self.revision),
        }
    }

    fn bounds(key: &Bytes, range_end: &Bytes) -> (Bound<Vec<u8>>, Bound<Vec<u8>>) {
        let first = Bound::Included(key.0.clone());
        let end = match range_end.0.as_slice() {
            [] => Bound::Included(key.0.clone()),
            [0] => Bound::Unbounded,
            end => Bound::Excluded(end.to_vec()),
        };
        (first, end)
    }

    /// Returns the keys of a range.
    ///
    /// The count is that of all keys in the range; `min_mod_revision` and `limit`
    /// restrict the returned keys only.
    pub fn range(&self, request: &RangeRequest) -> RangeReply {
        let bounds = Self::bounds(&request.key, &request.range_end);
        if is_empty(&bounds) {
            return RangeReply {
                header: self.header(),
                ..RangeReply::default()
            };
        }
        let all = self.keys.range(bounds).map(|(_, kv)| kv);
        let count = all.clone().count() as u64;
        let mut kvs: Vec<KeyValue> = all
            .filter(|kv| kv.mod_revision >= request.min_mod_revision)
            .cloned()
            .collect();
        let limit = request.limit.as_u64() as usize;
        let more = limit > 0 && kvs.len() > limit;
        if more {
            kvs.truncate(limit);
        }
        RangeReply {
            header: self.header(),
            kvs,
            more,
            count: Int64::from(count),
        }
    }

    fn condition_holds(&self, compare: &CompareRequest) -> bool {
        let found = self.keys.get(&compare.key.0);
        match compare.target {
            CompareTarget::Version => found.map_or(Int64(0), |kv| kv.version) == compare.version,
            CompareTarget::Mod => {
                found.map_or(Int64(0), |kv| kv.mod_revision) == compare.mod_revision
            }
        }
    }

    /// Returns whether either branch of a transaction contains a write.
    pub fn is_write(txn: &TxnRequest) -> bool {
        let writes = |op: &RequestOp| op.request_range.is_none();
        txn.success.iter().chain(&txn.failure).any(writes)
    }

    /// Executes a transaction.
    pub fn txn(&mut self, txn: &TxnRequest) -> TxnReply {
        let succeeded = txn
            .compare
            .iter()
            .all(|compare| self.condition_holds(compare));
        let ops = if succeeded {
            &txn.success
        } else {
            &txn.failure
        };
        // All writes of a transaction have the same revision.
        let revision = self.revision + 1;
        let mut has_written = false;
        let mut responses = Vec::new();
        for op in ops {
            let mut response = ResponseOp::default();
            if let Some(range) = &op.request_range {
                response.response_range = Some(self.range(range));
            }
            if let Some(put) = &op.request_put {
                self.put(put, revision);
                has_written = true;
            }
            if let Some(delete) = &op.request_delete_range {
                has_written |= self.delete(delete) > 0;
            }
            responses.push(response);
        }
        if has_written {
            self.revision = revision;
        }
        TxnReply {
            header: self.header(),
            succeeded,
            responses,
        }
    }

    fn put(&mut self, put: &PutRequest, revision: u64) {
        let previous = self.keys.get(&put.key.0);
        let created = previous.map_or(Int64::from(revision), |kv| kv.create_revision);
        let version = previous.map_or(0, |kv| kv.version.0) + 1;
        let old_lease = previous.map_or(0, |kv| kv.lease.0);
        if let Some(lease) = self.leases.get_mut(&old_lease) {
            lease.keys.remove(&put.key.0);
        }
        if let Some(lease) = self.leases.get_mut(&put.lease.0) {
            lease.keys.insert(put.key.0.clone());
        }
        let kv = KeyValue {
            key: put.key.clone(),
            create_revision: created,
            mod_revision: Int64::from(revision),
            version: Int64(version),
            value: put.value.clone(),
            lease: put.lease,
        };
        self.keys.insert(put.key.0.clone(), kv);
    }

    fn delete(&mut self, delete: &DeleteRangeRequest) -> usize {
        let bounds = Self::bounds(&delete.key, &delete.range_end);
        if is_empty(&bounds) {
            return 0;
        }
        let removed_keys: Vec<Vec<u8>> = self.keys.range(bounds).map(|(k, _)| k.clone()).collect();
        for key in &removed_keys {
            let removed = self.keys.remove(key);
            let lease = removed.map_or(0, |kv| kv.lease.0);
            // Detach the key, so that it survives the old lease if it is put again.
            if let Some(lease) = self.leases.get_mut(&lease) {
                lease.keys.remove(key);
            }
        }
        removed_keys.len()
    }

    /// Grants a lease and returns its id.
    pub fn grant(&mut self, ttl_s: u64, now_ms: u64) -> i64 {
        self.next_lease += 1;
        let ttl_ms = ttl_s * 1000;
        let lease = Lease {
            ttl_ms,
            expires_at_ms: now_ms + ttl_ms,
            keys: BTreeSet::new(),
        };
        self.leases.insert(self.next_lease, lease);
        self.next_lease
    }

    /// Renews a lease and returns its TTL in seconds, or zero if it has expired.
    pub fn keep_alive(&mut self, id: i64, now_ms: u64) -> u64 {
        self.expire_leases(now_ms);
        let Some(lease) = self.leases.get_mut(&id) else {
            return 0;
        };
        lease.expires_at_ms = now_ms + lease.ttl_ms;
        lease.ttl_ms / 1000
    }

    /// Revokes a lease and deletes its keys.
    pub fn revoke(&mut self, id: i64) {
        let Some(lease) = self.leases.remove(&id) else {
            return;
        };
        let mut is_changed = false;
        for key in lease.keys {
            is_changed |= self.keys.remove(&key).is_some();
        }
        self.revision += u64::from(is_changed);
    }

    /// Revokes the leases that have expired and deletes their keys.
    pub fn expire_leases(&mut self, now_ms: u64) {
        let expired = self
            .leases
            .iter()
            .filter(|(_, l)| l.expires_at_ms <= now_ms);
        let expired: Vec<i64> = expired.map(|(&id, _)| id).collect();
        for id in expired {
            self.revoke(id);
        }
    }
}

fn is_empty(bounds: &(Bound<Vec<u8>>, Bound<Vec<u8>>)) -> bool {
    match bounds {
        (Bound::Included(first), Bound::Excluded(end)) => first >= end,
        _ => false,
    }
}

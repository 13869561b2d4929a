//! The store client.

use crate::key_value::{KeyValue, Page};
use crate::txn::{Compare, Op, Txn, TxnReply};
use crate::wire::{self, Bytes, Int64};
use crate::StoreError;
use http::Method;
use ospreywing_http::{Answer, Call, HttpClient};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::time::Duration;

/// A client of the store. It never retries a call.
#[derive(Clone, Debug)]
pub struct StoreClient {
    http: HttpClient,
    addr: String,
    timeout: Duration,
}

/// Idle connections kept open to the store.
const IDLE_CONNECTIONS: usize = 4;

impl StoreClient {
    /// Creates a client of the store at `addr` (`IP:port`); each call fails after `timeout`.
    pub fn new(addr: &str, timeout: Duration) -> Self {
        Self {
            http: HttpClient::new(IDLE_CONNECTIONS),
            addr: addr.to_owned(),
            timeout,
        }
    }

    /// Reads up to `max_count` keys that start with `prefix`, are at or after `first` and
    /// last changed at or after `min_mod_revision`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store sent no valid response.
    pub async fn range(
        &self,
        prefix: &str,
        first: &str,
        min_mod_revision: u64,
        max_count: u64,
    ) -> Result<Page, StoreError> {
        let request = wire::RangeRequest {
            key: bytes(first),
            range_end: Bytes(wire::prefix_end(prefix)),
            limit: Int64::from(max_count),
            min_mod_revision: Int64::from(min_mod_revision),
        };
        let reply: wire::RangeReply = self.post(wire::RANGE, &request).await?;
        page_from_reply(reply)
    }

    /// Reads all keys that start with `prefix`, with up to `page_size` keys in each call.
    ///
    /// Each page is read at a revision of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if the store sent no valid response.
    pub async fn range_all(&self, prefix: &str, page_size: u64) -> Result<Page, StoreError> {
        let mut whole = self.range(prefix, prefix, 0, page_size).await?;
        while whole.has_more {
            let Some(last) = whole.key_values.last() else {
                break;
            };
            // The smallest key greater than the last one.
            let first = format!("{}\0", last.key);
            let page = self.range(prefix, &first, 0, page_size).await?;
            whole.key_values.extend(page.key_values);
            whole.has_more = page.has_more;
            whole.revision = page.revision;
        }
        Ok(whole)
    }

    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// Returns an error if the store sent no valid response. Whether the transaction may
    /// have taken effect: [`StoreError::is_without_effect`].
    pub async fn txn(&self, txn: &Txn) -> Result<TxnReply, StoreError> {
        let request = wire::TxnRequest {
            compare: txn.compares.iter().map(compare_to_wire).collect(),
            success: txn.then.iter().map(op_to_wire).collect(),
            failure: txn.otherwise.iter().map(op_to_wire).collect(),
        };
        let reply: wire::TxnReply = self.post(wire::TXN, &request).await?;
        let ranges = reply.responses.into_iter().filter_map(|r| r.response_range);
        let pages: Result<Vec<Page>, StoreError> = ranges.map(page_from_reply).collect();
        Ok(TxnReply {
            succeeded: reply.succeeded,
            revision: reply.header.revision.as_u64(),
            pages: pages?,
        })
    }

    /// Requests a lease of `ttl_s` seconds and returns its ID.
    ///
    /// # Errors
    ///
    /// Returns an error if the store sent no valid response.
    pub async fn lease_grant(&self, ttl_s: u64) -> Result<u64, StoreError> {
        let request = wire::LeaseGrantRequest {
            ttl: Int64::from(ttl_s),
        };
        let reply: wire::LeaseReply = self.post(wire::LEASE_GRANT, &request).await?;
        Ok(reply.id.as_u64())
    }

    /// Renews a lease and returns whether it was still alive.
    ///
    /// # Errors
    ///
    /// Returns an error if the store sent no valid response.
    pub async fn lease_keepalive(&self, lease: u64) -> Result<bool, StoreError> {
        let request = wire::LeaseRequest {
            id: Int64::from(lease),
        };
        let reply: wire::Streamed<wire::LeaseReply> =
            self.post(wire::LEASE_KEEPALIVE, &request).await?;
        Ok(!reply.result.ttl.is_zero())
    }

    /// Revokes a lease, which deletes the keys attached to it.
    ///
    /// # Errors
    ///
    /// Returns an error if the store sent no valid response.
    pub async fn lease_revoke(&self, lease: u64) -> Result<(), StoreError> {
        let request = wire::LeaseRequest {
            id: Int64::from(lease),
        };
        let _: wire::LeaseReply = self.post(wire::LEASE_REVOKE, &request).await?;
        Ok(())
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        request: &impl Serialize,
    ) -> Result<T, StoreError> {
        let call = Call::new(Method::POST, &self.addr, path, self.timeout).with_json(request)?;
        let answer = self.http.call(call).await?;
        if !answer.status.is_success() {
            return Err(error_from_answer(&answer));
        }
        Ok(answer.json()?)
    }
}

fn error_from_answer(answer: &Answer) -> StoreError {
    let error: wire::ErrorReply = answer.json().unwrap_or_default();
    let status = answer.status.as_u16();
    if error.code == wire::CODE_RESOURCE_EXHAUSTED || status == 429 {
        return StoreError::RateLimited;
    }
    // A gateway that lost its connection to the store responds with a server error,
    // although the store may have applied the write.
    if answer.status.is_server_error() {
        return StoreError::Unanswered(format!("status {status}: {}", error.message));
    }
    StoreError::Refused {
        status,
        message: error.message,
    }
}

fn bytes(text: &str) -> Bytes {
    Bytes(text.as_bytes().to_vec())
}

fn page_from_reply(reply: wire::RangeReply) -> Result<Page, StoreError> {
    let key_values: Result<Vec<KeyValue>, StoreError> =
        reply.kvs.into_iter().map(key_value_from_wire).collect();
    Ok(Page {
        revision: reply.header.revision.as_u64(),
        key_values: key_values?,
        count: reply.count.as_u64(),
        has_more: reply.more,
    })
}

fn key_value_from_wire(kv: wire::KeyValue) -> Result<KeyValue, StoreError> {
    let key = String::from_utf8(kv.key.0);
    let key = key.map_err(|_| StoreError::Malformed("a key is not text".to_owned()))?;
    Ok(KeyValue {
        key,
        value: kv.value.0,
        mod_revision: kv.mod_revision.as_u64(),
    })
}

fn compare_to_wire(compare: &Compare) -> wire::CompareRequest {
    match compare {
        Compare::ModRevision { key, revision } => wire::CompareRequest {
            key: bytes(key),
            target: wire::CompareTarget::Mod,
            mod_revision: Int64::from(*revision),
            ..Default::default()
        },
        Compare::Absent { key } => wire::CompareRequest {
            key: bytes(key),
            target: wire::CompareTarget::Version,
            ..Default::default()
        },
    }
}

fn op_to_wire(op: &Op) -> wire::RequestOp {
    let mut request = wire::RequestOp::default();
    match op {
        Op::Put { key, value, lease } => {
            request.request_put = Some(wire::PutRequest {
                key: bytes(key),
                value: Bytes(value.clone()),
                lease: Int64::from(*lease),
            });
        }
        Op::Delete { key } => {
            request.request_delete_range = Some(wire::DeleteRangeRequest {
                key: bytes(key),
                range_end: Bytes::default(),
            });
        }
        Op::DeleteRange { first, end } => {
            request.request_delete_range = Some(wire::DeleteRangeRequest {
                key: bytes(first),
                range_end: bytes(end),
            });
        }
        Op::Get { key } => {
            request.request_range = Some(wire::RangeRequest {
                key: bytes(key),
                ..Default::default()
            });
        }
    }
    request
}

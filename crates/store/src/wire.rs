//! The JSON form of etcd's v3 API: the parts that the client uses.
//!
//! Defined by etcd's published API (`rpc.proto`, `kv.proto`) and the JSON mapping
//! of protocol buffers: 64-bit integers are strings, bytes are base64 strings, and
//! fields with default values are omitted.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Path of range reads.
pub const RANGE: &str = "/v3/kv/range";
/// Path of transactions.
pub const TXN: &str = "/v3/kv/txn";
/// Path that grants a lease.
pub const LEASE_GRANT: &str = "/v3/lease/grant";
/// Path that renews a lease.
pub const LEASE_KEEPALIVE: &str = "/v3/lease/keepalive";
/// Path that revokes a lease.
pub const LEASE_REVOKE: &str = "/v3/lease/revoke";

/// Bytes; a base64 string on the wire.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bytes(pub Vec<u8>);

impl Bytes {
    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text).map_err(serde::de::Error::custom)?;
        Ok(Self(bytes))
    }
}

/// A 64-bit integer; a string on the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Int64(pub i64);

impl Int64 {
    /// Returns the number, or zero if it is negative.
    pub fn as_u64(self) -> u64 {
        u64::try_from(self.0).unwrap_or(0)
    }

    /// Returns whether the number is zero.
    pub fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

impl From<u64> for Int64 {
    fn from(value: u64) -> Self {
        Self(i64::try_from(value).unwrap_or(i64::MAX))
    }
}

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Text(String),
            Number(i64),
        }
        match Form::deserialize(deserializer)? {
            Form::Number(number) => Ok(Self(number)),
            Form::Text(text) => text.parse().map(Self).map_err(serde::de::Error::custom),
        }
    }
}

/// The header of every reply.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// The current store revision.
    pub revision: Int64,
}

/// A key with its value.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Bytes,
    /// The revision at which the key was created.
    pub create_revision: Int64,
    /// The revision at which the key last changed.
    pub mod_revision: Int64,
    /// The number of changes since the key was created, including its creation.
    pub version: Int64,
    /// The value.
    pub value: Bytes,
    /// The lease whose end deletes the key; zero for none.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub lease: Int64,
}

/// A request to read a range.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key.
    pub key: Bytes,
    /// The first key after the range; empty to select only `key`.
    #[serde(skip_serializing_if = "Bytes::is_empty")]
    pub range_end: Bytes,
    /// The maximum number of keys to return; zero for all.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub limit: Int64,
    /// Omits keys that last changed before this revision.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub min_mod_revision: Int64,
}

/// The reply to a range read.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeReply {
    /// The reply header.
    pub header: Header,
    /// The keys.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    /// Whether the range has more keys.
    pub more: bool,
    /// The number of keys in the whole range.
    pub count: Int64,
}

/// A request to write a key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Bytes,
    /// The value.
    pub value: Bytes,
    /// The lease whose end deletes the key; zero for none.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub lease: Int64,
}

/// A request to delete a key or a range.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// The first key.
    pub key: Bytes,
    /// The first key after the range; empty to select only `key`.
    #[serde(skip_serializing_if = "Bytes::is_empty")]
    pub range_end: Bytes,
}

/// An operation of a transaction; exactly one field is set.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// Reads a key or a range.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
    /// Writes a key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// Deletes a key or a range.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteRangeRequest>,
}

/// The property of a key that a condition compares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareTarget {
    /// The number of changes of the key; zero if it is absent.
    #[default]
    Version,
    /// The revision of the key's last change; zero if it is absent.
    Mod,
}

/// A condition; always tests for equality, the protocol's default.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct CompareRequest {
    /// The key.
    pub key: Bytes,
    /// The compared property.
    pub target: CompareTarget,
    /// The expected number of changes.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub version: Int64,
    /// The expected revision.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub mod_revision: Int64,
}

/// A request to run a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// The conditions.
    pub compare: Vec<CompareRequest>,
    /// The operations that run if all conditions hold.
    pub success: Vec<RequestOp>,
    /// The operations that run if any condition does not hold.
    pub failure: Vec<RequestOp>,
}

/// The reply to an operation of a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseOp {
    /// The reply to a read; absent for other operations.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeReply>,
}

/// The reply to a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnReply {
    /// The reply header.
    pub header: Header,
    /// Whether all conditions held.
    pub succeeded: bool,
    /// The replies to the operations, in order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<ResponseOp>,
}

/// A request to grant a lease.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, rename_all = "UPPERCASE")]
pub struct LeaseGrantRequest {
    /// The requested time to live, in seconds.
    pub ttl: Int64,
}

/// A request to renew or revoke a lease.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, rename_all = "UPPERCASE")]
pub struct LeaseRequest {
    /// The lease ID.
    pub id: Int64,
}

/// The state of a lease.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, rename_all = "UPPERCASE")]
pub struct LeaseReply {
    /// The lease ID.
    pub id: Int64,
    /// The time to live, in seconds; zero if the lease has expired.
    pub ttl: Int64,
}

/// The envelope of a reply of a streaming method.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Streamed<T> {
    /// The reply.
    pub result: T,
}

/// An error reply of the gateway.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ErrorReply {
    /// The gRPC status code.
    pub code: u32,
    /// The error message.
    pub message: String,
}

/// The gRPC status code `RESOURCE_EXHAUSTED`, sent when the rate limit is reached.
pub const CODE_RESOURCE_EXHAUSTED: u32 = 8;

/// Returns the smallest key greater than all keys that start with `prefix`.
///
/// Returns `a zero byte`, which etcd reads as "no upper bound", if there is no such key.
pub fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

//! The JSON form of etcd's v3 interface, as far as it is used.
//!
//! Source: etcd's published API (`rpc.proto`, `kv.proto`) in the JSON mapping
//! of protocol buffers: 64-bit numbers and bytes are strings, bytes in base64,
//! and fields at their default are left out.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Path of range reads.
pub const RANGE: &str = "/v3/kv/range";
/// Path of transactions.
pub const TXN: &str = "/v3/kv/txn";
/// Path that grants a lease.
pub const LEASE_GRANT: &str = "/v3/lease/grant";
/// Path that keeps a lease alive.
pub const LEASE_KEEPALIVE: &str = "/v3/lease/keepalive";
/// Path that revokes a lease.
pub const LEASE_REVOKE: &str = "/v3/lease/revoke";
/// Bytes, in base64 on the wire.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bytes(pub Vec<u8>);

impl Bytes {
    /// Returns whether there are none.
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

/// A 64-bit number, a string on the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Int64(pub i64);

impl Int64 {
    /// Returns the number, zero where it is negative.
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

/// The head of every reply.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// The store's revision.
    pub revision: Int64,
}

/// A key with its value.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Bytes,
    /// The revision of its creation.
    pub create_revision: Int64,
    /// The revision of its last change.
    pub mod_revision: Int64,
    /// How often it was changed since its creation.
    pub version: Int64,
    /// Its value.
    pub value: Bytes,
    /// The lease that it lives by.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub lease: Int64,
}

/// A range read.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key.
    pub key: Bytes,
    /// The first key after the range; none for one key alone.
    #[serde(skip_serializing_if = "Bytes::is_empty")]
    pub range_end: Bytes,
    /// The most keys to return; zero for all.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub limit: Int64,
    /// Leaves out keys that did not change since this revision.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub min_mod_revision: Int64,
}

/// The reply to a range read.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeReply {
    /// The head.
    pub header: Header,
    /// The keys.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    /// Whether there are more.
    pub more: bool,
    /// How many keys the whole range has.
    pub count: Int64,
}

/// A put.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Bytes,
    /// The value.
    pub value: Bytes,
    /// The lease that it lives by.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub lease: Int64,
}

/// A deletion.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// The first key.
    pub key: Bytes,
    /// The first key after the range; none for one key alone.
    #[serde(skip_serializing_if = "Bytes::is_empty")]
    pub range_end: Bytes,
}

/// One step of a transaction: one field is set.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// A read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
    /// A put.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// A deletion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteRangeRequest>,
}

/// What a condition looks at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareTarget {
    /// How often the key was changed; zero where it is absent.
    #[default]
    Version,
    /// The revision of the last change; zero where the key is absent.
    Mod,
}

/// A condition, always of equality.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct CompareRequest {
    /// The key.
    pub key: Bytes,
    /// What is compared.
    pub target: CompareTarget,
    /// The expected number of changes.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub version: Int64,
    /// The expected revision.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub mod_revision: Int64,
}

/// A transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// The conditions.
    pub compare: Vec<CompareRequest>,
    /// The steps where all hold.
    pub success: Vec<RequestOp>,
    /// The steps where one does not.
    pub failure: Vec<RequestOp>,
}

/// The reply to one step.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseOp {
    /// To a read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeReply>,
}

/// The reply to a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnReply {
    /// The head.
    pub header: Header,
    /// Whether all conditions held.
    pub succeeded: bool,
    /// The replies to the steps.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<ResponseOp>,
}

/// Asks for a lease.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, rename_all = "UPPERCASE")]
pub struct LeaseGrantRequest {
    /// Its length, in seconds.
    pub ttl: Int64,
}

/// Names a lease.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, rename_all = "UPPERCASE")]
pub struct LeaseRequest {
    /// The lease.
    pub id: Int64,
}

/// The state of a lease.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, rename_all = "UPPERCASE")]
pub struct LeaseReply {
    /// The lease.
    pub id: Int64,
    /// Its length, in seconds; zero where it has lapsed.
    pub ttl: Int64,
}

/// The envelope of a streamed reply.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Streamed<T> {
    /// The reply.
    pub result: T,
}

/// An error of the gateway.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ErrorReply {
    /// The gRPC status code.
    pub code: u32,
    /// What happened.
    pub message: String,
}

/// The gRPC status code of a rate limit.
pub const CODE_RESOURCE_EXHAUSTED: u32 = 8;

/// Returns the first key after all that start with `prefix`.
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

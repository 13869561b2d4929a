//! Tests of the stand-in store's leases, transactions and ranges, on which the
//! daemons depend.

use ospreywing_standin::kv::Kv;
use ospreywing_store::wire::{
    Bytes, CompareRequest, CompareTarget, DeleteRangeRequest, Int64, PutRequest, RangeRequest,
    RequestOp, TxnRequest,
};
use rstest::rstest;

fn bytes(text: &str) -> Bytes {
    Bytes(text.as_bytes().to_vec())
}

fn put(key: &str, lease: i64) -> RequestOp {
    RequestOp {
        request_put: Some(PutRequest {
            key: bytes(key),
            value: bytes("v"),
            lease: Int64(lease),
        }),
        ..RequestOp::default()
    }
}

fn delete(key: &str) -> RequestOp {
    RequestOp {
        request_delete_range: Some(DeleteRangeRequest {
            key: bytes(key),
            ..DeleteRangeRequest::default()
        }),
        ..RequestOp::default()
    }
}

fn run(kv: &mut Kv, ops: Vec<RequestOp>) {
    let txn = TxnRequest {
        success: ops,
        ..TxnRequest::default()
    };
    assert!(kv.txn(&txn).succeeded);
}

fn count(kv: &Kv, key: &str) -> u64 {
    let request = RangeRequest {
        key: bytes(key),
        ..RangeRequest::default()
    };
    kv.range(&request).count.as_u64()
}

#[test]
fn expire_leases_drops_keys_of_the_lease() {
    let mut kv = Kv::new();
    let lease = kv.grant(10, 0);
    run(&mut kv, vec![put("a", lease)]);
    kv.expire_leases(9_999);
    assert_eq!(count(&kv, "a"), 1);
    kv.expire_leases(10_000);
    assert_eq!(count(&kv, "a"), 0);
}

/// Guards against losing a key that was put again under a new lease: a daemon deletes
/// its entry, its successor puts it again under another lease, and the expiry of the
/// first lease must not delete it.
#[test]
fn expire_leases_key_put_again_keeps_its_new_lease() {
    let mut kv = Kv::new();
    let first = kv.grant(10, 0);
    run(&mut kv, vec![put("a", first)]);
    run(&mut kv, vec![delete("a")]);
    let second = kv.grant(100, 0);
    run(&mut kv, vec![put("a", second)]);
    kv.expire_leases(10_000);
    assert_eq!(count(&kv, "a"), 1);
}

#[test]
fn keep_alive_expired_lease_is_zero() {
    let mut kv = Kv::new();
    let lease = kv.grant(10, 0);
    assert_eq!(kv.keep_alive(lease, 9_000), 10);
    assert_eq!(kv.keep_alive(lease, 18_999), 10);
    assert_eq!(kv.keep_alive(lease, 40_000), 0);
}

#[rstest]
#[case::absent(0, true)]
#[case::other(7, false)]
fn txn_compare_mod_revision(#[case] revision: i64, #[case] expected: bool) {
    let mut kv = Kv::new();
    let txn = TxnRequest {
        compare: vec![CompareRequest {
            key: bytes("a"),
            target: CompareTarget::Mod,
            mod_revision: Int64(revision),
            ..CompareRequest::default()
        }],
        success: vec![put("a", 0)],
        ..TxnRequest::default()
    };
    assert_eq!(kv.txn(&txn).succeeded, expected);
    assert_eq!(count(&kv, "a"), u64::from(expected));
}

#[test]
fn range_counts_all_and_returns_what_changed() {
    let mut kv = Kv::new();
    run(&mut kv, vec![put("k1", 0)]);
    run(&mut kv, vec![put("k2", 0)]);
    let request = RangeRequest {
        key: bytes("k"),
        range_end: bytes("l"),
        min_mod_revision: Int64(3),
        ..RangeRequest::default()
    };
    let reply = kv.range(&request);
    assert_eq!(reply.count, Int64(2));
    assert_eq!(reply.kvs.len(), 1);
}

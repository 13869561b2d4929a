//! Which bodies of clients are dropped when there is no room for all.

use ospreywing_control::body_buffer::SEGMENT_BYTES;
use ospreywing_control::body_pool::{BodyPool, Room};
use ospreywing_control::connection_table::{ConnectionId, ConnectionTable, Opening};

const LIMIT_COUNT: usize = 4;

/// Returns an empty pool and the ids of connections.
fn pool_and_connections<const COUNT: usize>() -> (BodyPool, [ConnectionId; COUNT]) {
    let mut table = ConnectionTable::new(COUNT);
    let connections = core::array::from_fn(|_| match table.open() {
        Opening::Opened(id) => id,
        other => panic!("there is room: {other:?}"),
    });
    (BodyPool::new(LIMIT_COUNT), connections)
}

/// Begins a body and appends this many segments.
fn arrive(pool: &mut BodyPool, connection: ConnectionId, segments_count: usize) -> Room {
    pool.begin(connection);
    pool.append(connection, &vec![0; segments_count * SEGMENT_BYTES])
}

fn appended(dropped: &[ConnectionId]) -> Room {
    Room {
        has_room: true,
        dropped: dropped.to_vec(),
    }
}

const NO_ROOM: Room = Room {
    has_room: false,
    dropped: Vec::new(),
};

#[test]
fn append_full_drops_oldest_long() {
    let (mut pool, [short, first, second, third]) = pool_and_connections();
    arrive(&mut pool, short, 1);
    arrive(&mut pool, first, 3);
    arrive(&mut pool, second, 3);
    assert_eq!(arrive(&mut pool, third, 2), appended(&[first]));
    assert_eq!(pool.shared_count(), 3);
    assert_eq!(pool.append(first, b"late"), NO_ROOM);
    assert_eq!(pool.append(short, b""), appended(&[]));
}

#[test]
fn append_full_oldest_drops_itself() {
    let (mut pool, [first, second]) = pool_and_connections();
    arrive(&mut pool, first, 3);
    arrive(&mut pool, second, 3);
    assert_eq!(pool.append(first, &[0]), NO_ROOM);
    assert_eq!(pool.shared_count(), 2);
    assert!(pool.take(first).is_none());
}

#[test]
fn append_short_always_has_room() {
    let (mut pool, [first, second]) = pool_and_connections();
    arrive(&mut pool, first, 1 + LIMIT_COUNT);
    pool.take(first).expect("the body is there");
    assert_eq!(arrive(&mut pool, second, 1), appended(&[]));
}

#[test]
fn append_all_handled_refuses() {
    let (mut pool, [first, second]) = pool_and_connections();
    arrive(&mut pool, first, 1 + LIMIT_COUNT);
    pool.take(first).expect("the body is there");
    assert_eq!(arrive(&mut pool, second, 2), NO_ROOM);
    pool.end(first);
    assert_eq!(arrive(&mut pool, second, 2), appended(&[]));
}

#[test]
fn hold_parsed_replaces_body() {
    let (mut pool, [first, second]) = pool_and_connections();
    arrive(&mut pool, first, 3);
    pool.take(first).expect("the body is there");
    assert_eq!(
        pool.hold_parsed(first, LIMIT_COUNT * SEGMENT_BYTES),
        appended(&[])
    );
    assert_eq!(pool.shared_count(), LIMIT_COUNT - 1);
    arrive(&mut pool, second, 2);
    pool.take(second).expect("the body is there");
    assert_eq!(pool.hold_parsed(second, 3 * SEGMENT_BYTES), NO_ROOM);
    assert_eq!(pool.hold_parsed(second, 2 * SEGMENT_BYTES), appended(&[]));
}

#[test]
fn hold_parsed_larger_than_all_room_alone() {
    let (mut pool, [first, second]) = pool_and_connections();
    arrive(&mut pool, first, 1);
    pool.take(first).expect("the body is there");
    assert_eq!(pool.hold_parsed(first, 9 * SEGMENT_BYTES), appended(&[]));
    assert_eq!(arrive(&mut pool, second, 1), appended(&[]));
    assert_eq!(arrive(&mut pool, second, 2), NO_ROOM);
    pool.end(first);
    assert_eq!(pool.shared_count(), 0);
}

#[test]
fn hold_parsed_small_beside_larger_than_all_room() {
    let (mut pool, [first, second]) = pool_and_connections();
    for connection in [first, second] {
        arrive(&mut pool, connection, 1);
        pool.take(connection).expect("the body is there");
    }
    assert_eq!(pool.hold_parsed(first, 9 * SEGMENT_BYTES), appended(&[]));
    assert_eq!(pool.hold_parsed(second, SEGMENT_BYTES), appended(&[]));
}

#[test]
fn hold_parsed_drops_arriving() {
    let (mut pool, [first, second, whole]) = pool_and_connections();
    arrive(&mut pool, first, 3);
    arrive(&mut pool, second, 2);
    arrive(&mut pool, whole, 1);
    pool.take(whole).expect("the body is there");
    assert_eq!(
        pool.hold_parsed(whole, 3 * SEGMENT_BYTES),
        appended(&[first])
    );
    let nine_segments = pool.hold_parsed(whole, 9 * SEGMENT_BYTES);
    assert_eq!(nine_segments, appended(&[second]));
}

#[test]
fn begin_again_frees_earlier_body() {
    let (mut pool, [connection]) = pool_and_connections();
    arrive(&mut pool, connection, 1 + LIMIT_COUNT);
    assert_eq!(arrive(&mut pool, connection, 2), appended(&[]));
    assert_eq!(pool.shared_count(), 1);
    let body = pool.take(connection).expect("the body is there");
    assert_eq!(body.len_bytes(), 2 * SEGMENT_BYTES);
    assert_eq!(pool.shared_count(), 1);
    pool.end(connection);
    assert_eq!(pool.shared_count(), 0);
}

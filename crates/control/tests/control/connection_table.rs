//! Which clients' connections stay open when there are too many.

use ospreywing_control::connection_table::{ConnectionId, ConnectionTable, Opening};

fn open(table: &mut ConnectionTable) -> ConnectionId {
    match table.open() {
        Opening::Opened(id) => id,
        other => panic!("there is room: {other:?}"),
    }
}

/// Opens a connection in a full table; returns it and the one that is displaced.
fn displace(table: &mut ConnectionTable) -> (ConnectionId, ConnectionId) {
    match table.open() {
        Opening::Displaced { opened, closing } => (opened, closing),
        other => panic!("a connection waits: {other:?}"),
    }
}

#[test]
fn open_full_displaces_longest_wait() {
    let mut table = ConnectionTable::new(2);
    let first = open(&mut table);
    let second = open(&mut table);
    let (third, closing) = displace(&mut table);
    assert_eq!(closing, first);
    assert!(!table.contains(first));
    assert_eq!(displace(&mut table).1, second);
    assert_eq!(displace(&mut table).1, third);
    assert_eq!(table.open_count(), 2);
}

#[test]
fn open_full_spares_answered() {
    let mut table = ConnectionTable::new(2);
    let first = open(&mut table);
    let second = open(&mut table);
    table.set_handling(first);
    table.set_waiting(first);
    assert_eq!(displace(&mut table).1, second);
}

#[test]
fn open_full_spares_handled() {
    let mut table = ConnectionTable::new(2);
    let first = open(&mut table);
    let second = open(&mut table);
    table.set_handling(first);
    assert_eq!(displace(&mut table).1, second);
}

#[test]
fn open_all_handled_refuses() {
    let mut table = ConnectionTable::new(2);
    let first = open(&mut table);
    let second = open(&mut table);
    table.set_handling(first);
    table.set_handling(second);
    assert_eq!(table.open(), Opening::Refused);
    table.close(first);
    open(&mut table);
    assert_eq!(table.open_count(), 2);
}

#[test]
fn close_displaced_changes_nothing() {
    let mut table = ConnectionTable::new(1);
    let first = open(&mut table);
    let (second, _) = displace(&mut table);
    table.set_waiting(first);
    table.set_handling(first);
    table.close(first);
    assert!(table.contains(second));
    assert_eq!(table.open_count(), 1);
}

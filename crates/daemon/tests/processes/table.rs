//! Edits of the table: concurrent edits, lost store responses and newly started daemons.

use crate::cell::Cell;
use http::Method;
use ospreywing_http::{Answer, Call};
use ospreywing_standin::faults::PlatformFaults;
use ospreywing_table::{Row, RowKind};
use ospreywing_types::Name;
use rustix::process::Signal;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(20);
const REFUSED_WITHIN: Duration = Duration::from_millis(200);

fn row(share: u32) -> Row {
    let mut row = Row::new(Name::new("edited").expect("a name"), RowKind::Batch);
    row.share = share;
    row
}

fn put(addr: &str, row: &Row, revision: u64) -> Call {
    let path = format!("/v1/table/rows/{}", row.name);
    Call::new(Method::PUT, addr, &path, LIMIT)
        .with_header("if-match", &revision.to_string())
        .with_json(row)
        .expect("a row has a JSON form")
}

fn body(answer: &Answer) -> serde_json::Value {
    answer.json().expect("the answer is JSON")
}

#[test]
fn concurrent_edits_one_wins() {
    let cell = Cell::new(2);
    let addrs = [0, 1].map(|daemon| cell.daemons[daemon].http_addr.clone());
    let answers = cell.runtime.block_on(async {
        let first = tokio::spawn({
            let (http, call) = (cell.http.clone(), put(&addrs[0], &row(11), 0));
            async move { http.call(call).await }
        });
        let (http, call) = (cell.http.clone(), put(&addrs[1], &row(22), 0));
        let second = http.call(call).await;
        [first.await.expect("the call ends"), second]
    });
    let answers = answers.map(|answer| answer.expect("an answer comes"));
    let mut statuses = answers.clone().map(|answer| answer.status.as_u16());
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409]);
    let loser = answers.iter().find(|answer| answer.status.as_u16() == 409);
    let loser = body(loser.expect("one lost"));
    // The losing operator gets the newer row and its differences to the rejected one.
    let winner_share = loser["newer"]["row"]["share"].as_u64();
    assert!(matches!(winner_share, Some(11 | 22)), "{loser}");
    assert_eq!(loser["changes"][0]["column"], "share", "{loser}");
    let read = Call::new(Method::GET, &addrs[0], "/v1/table/rows/edited", LIMIT);
    let there = body(&cell.call(read).expect("an answer comes"));
    assert_eq!(there["row"]["share"].as_u64(), winner_share);
}

#[test]
fn edit_with_lost_answers_applied_once() {
    let cell = Cell::new(2);
    let addr = cell.daemons[0].http_addr.clone();
    let faults = PlatformFaults {
        lose_answers_permille: 500,
        ..PlatformFaults::default()
    };
    cell.set_faults(&cell.platform_addr, &faults);
    let mut revision = 0;
    for share in 1..=8 {
        let answer = cell.call(put(&addr, &row(share), revision));
        let answer = answer.expect("an answer comes");
        assert_eq!(answer.status.as_u16(), 200, "{:?}", answer.body);
        let newer = body(&answer)["revision"].as_u64().unwrap_or_default();
        assert!(newer > revision, "{newer} after {revision}");
        revision = newer;
    }
    cell.set_faults(&cell.platform_addr, &PlatformFaults::default());
    let history = Call::new(Method::GET, &addr, "/v1/table/history/edited", LIMIT);
    let history = body(&cell.call(history).expect("an answer comes"));
    // The history has each edit exactly once.
    assert_eq!(history.as_array().map(Vec::len), Some(8), "{history}");
}

/// A daemon that has just started doesn't know yet whether it reaches the other daemons. An
/// edit sent to it must wait for their responses instead of failing. The others are suspended
/// here, so that their responses come late.
#[test]
fn edit_waits_for_new_daemons() {
    let mut cell = Cell::new(3);
    cell.wait_until_ready(3);
    cell.daemons[0].kill();
    for other in [1, 2] {
        cell.daemons[other].signal(Signal::STOP);
    }
    cell.daemons[0] = cell.start_daemon(0, false);
    cell.wait_for("it meets the others", |cell| {
        let report = cell.report(0);
        report.is_some_and(|report| report.freshness == "store" && report.members.len() >= 3)
    });
    let (http, call) = (
        cell.http.clone(),
        put(&cell.daemons[0].http_addr, &row(11), 0),
    );
    let edit = cell.runtime.spawn(async move { http.call(call).await });
    // A refusal would arrive within a few milliseconds.
    std::thread::sleep(REFUSED_WITHIN);
    for other in [1, 2] {
        cell.daemons[other].signal(Signal::CONT);
    }
    let answer = cell.runtime.block_on(edit).expect("the call ends");
    let answer = answer.expect("an answer comes");
    assert_eq!(answer.status.as_u16(), 200, "{:?}", answer.body);
}

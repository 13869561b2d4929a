//! Malformed input on each port is answered with a clear error or ignored, and the daemon
//! stays ready.

use crate::cell::Cell;
use http::Method;
use ospreywing_http::Call;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(10);

/// A bad request, the expected status and a word expected in the reason.
struct Bad {
    method: Method,
    path: &'static str,
    body: String,
    status: u16,
    reason: &'static str,
}

fn bad(method: Method, path: &'static str, body: &str, status: u16, reason: &'static str) -> Bad {
    let body = body.to_owned();
    Bad {
        method,
        path,
        body,
        status,
        reason,
    }
}

fn bad_requests() -> Vec<Bad> {
    let (post, put, get) = (Method::POST, Method::PUT, Method::GET);
    let task = |key: &str, row: &str, cores: &str| {
        format!(
            r#"{{"key":"{key}","row":"{row}","spec":{{"resources":{{"cores_milli":{cores},"memory_mib":1}},"command":"work 1 x"}}}}"#
        )
    };
    vec![
        bad(post.clone(), "/v1/tasks", "{", 400, "body"),
        bad(post.clone(), "/v1/tasks", r#"{"key":"a"}"#, 400, "row"),
        bad(
            post.clone(),
            "/v1/tasks",
            &task("a b", "season-plan", "1"),
            400,
            "character",
        ),
        bad(
            post.clone(),
            "/v1/tasks",
            &task("a", "season-plan", "-1"),
            400,
            "body",
        ),
        bad(
            post.clone(),
            "/v1/tasks",
            &task("a", "season-plan", "99999999999"),
            400,
            "body",
        ),
        bad(
            post.clone(),
            "/v1/tasks",
            &task("a", "none", "1"),
            422,
            "row",
        ),
        bad(
            post.clone(),
            "/v1/tasks",
            &task("a", "season-plan", "999999"),
            422,
            "resources",
        ),
        bad(
            post.clone(),
            "/v1/tasks",
            &"x".repeat(2_000_000),
            413,
            "body",
        ),
        bad(post.clone(), "/v1/call/none", "1 x", 422, "row"),
        bad(post, "/v1/call/seat-check", "1 x", 422, "request-key"),
        bad(put.clone(), "/v1/table/rows/season-plan", "[]", 400, "body"),
        bad(
            put.clone(),
            "/v1/table/rows/season-plan",
            r#"{"name":"other","kind":"batch"}"#,
            400,
            "name",
        ),
        bad(
            put,
            "/v1/table/rows/season-plan",
            r#"{"name":"season-plan","kind":"batch"}"#,
            400,
            "if-match",
        ),
        bad(get, "/v1/tasks/absent", "", 404, "key"),
    ]
}

#[test]
fn bad_request_error_names_field() {
    let cell = Cell::new(1);
    let addr = cell.daemons[0].http_addr.clone();
    for bad in bad_requests() {
        let call = Call::new(bad.method, &addr, bad.path, LIMIT).with_body(bad.body);
        let answer = cell.call(call).expect("an answer comes");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert_eq!(answer.status.as_u16(), bad.status, "{}: {text}", bad.path);
        assert!(text.contains(bad.reason), "{}: {text}", bad.path);
    }
    assert!(cell.report(0).is_some_and(|report| report.is_ready));
}

#[test]
fn malformed_bytes_leave_daemon_ready() {
    let cell = Cell::new(1);
    let daemon = &cell.daemons[0];
    let malformed: [&[u8]; 4] = [
        b"\x00\xff\x16\x03\x01garbage\r\n\r\n",
        b"POST /v1/tasks HTTP/1.1\r\ncontent-length: 10\r\n\r\nabc",
        b"GET / HTTP/1.1\r\nhost",
        b"POST /v1/tasks HTTP/1.1\r\ncontent-length: -5\r\n\r\n",
    ];
    for addr in [&daemon.http_addr, &daemon.rpc_addr] {
        for bytes in malformed {
            let mut stream = TcpStream::connect(addr).expect("the port is open");
            stream.write_all(bytes).expect("the bytes go out");
            let shut = stream.shutdown(std::net::Shutdown::Write);
            shut.expect("the end goes out");
            let limit = Some(LIMIT);
            stream.set_read_timeout(limit).expect("a limit is set");
            let mut answer = Vec::new();
            // The connection must end, with or without a response.
            let _ = stream.read_to_end(&mut answer);
        }
    }
    assert!(cell.report(0).is_some_and(|report| report.is_ready));
}

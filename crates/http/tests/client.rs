//! Tests the client against minimal servers.

use http::Method;
use ospreywing_http::{Answer, Call, HttpClient, HttpError, PeerAnswer, PeerId};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{mpsc, Arc, Barrier};
use std::thread;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::sync::oneshot;

const LIMIT: Duration = Duration::from_millis(200);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Listens on a free port and returns its address.
fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    (listener, address)
}

/// Accepts `count` connections and responds to one request on each; keeps all of them open
/// until the last response is sent.
fn serve_connections(listener: TcpListener, count: usize) {
    let streams = (0..count).map(|_| {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_head(&mut stream);
        stream.write_all(ANSWER).expect("an open connection");
        stream
    });
    // The connections stay open until the last request is answered.
    drop(streams.collect::<Vec<TcpStream>>());
}

/// While a machine is suspended, peers may close its idle connections, but its timers don't
/// advance. The client must count suspended time and not reuse such connections. This server
/// responds once on each connection, so a second request on it would time out.
#[test]
fn call_after_suspend() {
    let (listener, address) = listen();
    let server = thread::spawn(move || serve_connections(listener, 2));
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async move {
        let client = HttpClient::new(1);
        for _ in 0..2 {
            let call = Call::new(Method::GET, &address, "/", LIMIT);
            client.call(call).await.expect("an answer");
            ospreywing_clock::simulation::suspend(ospreywing_types::Duration::from_s(30));
        }
    });
    server.join().expect("a server that ends");
}

/// Reads the head of a request and returns it.
fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a whole head");
        head.push(byte[0]);
    }
    String::from_utf8(head).expect("text")
}

#[test]
fn call_answered_while_process_is_late() {
    let (listener, address) = listen();
    let (received, request_received) = oneshot::channel();
    let (late, process_is_late) = mpsc::channel();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_head(&mut stream);
        received.send(()).expect("a waiting client");
        process_is_late.recv().expect("a late client");
        stream.write_all(ANSWER).expect("an open connection");
        stream
    });
    let runtime = Builder::new_current_thread().enable_all().build();
    let answer = runtime.expect("a runtime").block_on(async move {
        let client = HttpClient::new(1);
        let call = client.call(Call::new(Method::GET, &address, "/", LIMIT));
        let block_thread = async {
            request_received.await.expect("a request");
            late.send(()).expect("a waiting server");
            // Blocks the client past its timeout, while the response arrives.
            thread::sleep(LIMIT * 2);
        };
        tokio::join!(call, block_thread).0
    });
    server.join().expect("a server that ends");
    assert_eq!(answer.expect("the answer that has come").body, "ok");
}

#[test]
fn call_not_answered() {
    let (listener, address) = listen();
    let runtime = Builder::new_current_thread().enable_all().build();
    let answer = runtime.expect("a runtime").block_on(async move {
        let client = HttpClient::new(1);
        let call = Call::new(Method::GET, &address, "/", LIMIT);
        client.call(call).await
    });
    drop(listener);
    assert!(
        matches!(answer, Err(HttpError::TimedOut { .. })),
        "{answer:?}"
    );
}

/// Responds to one call on each of the first `unresponsive_count` connections, once all are
/// open, and to nothing more on them; then responds to one call on one more connection.
fn serve_then_stop_answering(listener: TcpListener, unresponsive_count: usize) {
    let all_open = Arc::new(Barrier::new(unresponsive_count));
    let serve_one = |mut stream: TcpStream, all_open: Option<Arc<Barrier>>| {
        thread::spawn(move || {
            read_head(&mut stream);
            if let Some(all_open) = all_open {
                all_open.wait();
            }
            stream.write_all(ANSWER).expect("an open connection");
            // Later requests are read but not answered.
            let _ = stream.read_to_end(&mut Vec::new());
        });
    };
    for _ in 0..unresponsive_count {
        let (stream, _) = listener.accept().expect("a connection");
        serve_one(stream, Some(all_open.clone()));
    }
    let (stream, _) = listener.accept().expect("a connection");
    serve_one(stream, None);
}

/// If all idle connections stop responding, only one call may time out: the client must then
/// close all of them, including those opened in the same millisecond as the call.
#[rstest]
#[case::made_earlier(false)]
#[case::made_in_same_millisecond(true)]
fn call_after_all_connections_unresponsive(#[case] is_clock_stopped: bool) {
    const UNRESPONSIVE_COUNT: usize = 4;
    let (listener, address) = listen();
    let server = thread::spawn(move || serve_then_stop_answering(listener, UNRESPONSIVE_COUNT));
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async move {
        if is_clock_stopped {
            ospreywing_clock::simulation::stop();
        }
        let client = HttpClient::new(UNRESPONSIVE_COUNT);
        let call = || client.call(Call::new(Method::GET, &address, "/", LIMIT));
        let (a, b, c, d) = tokio::join!(call(), call(), call(), call());
        assert!([a, b, c, d].iter().all(Result::is_ok));
        let timed_out = call().await;
        assert!(
            matches!(timed_out, Err(HttpError::TimedOut { .. })),
            "{timed_out:?}"
        );
        assert_eq!(
            call().await.expect("an answer on a new connection").body,
            "ok"
        );
    });
    server.join().expect("a server that ends");
}

/// A peer may close an idle connection at any time. The next call must use a new connection
/// instead of failing, since nothing was sent on the closed one.
#[test]
fn call_after_peer_closed_connection() {
    let (listener, address) = listen();
    let (closed, connection_closed) = oneshot::channel();
    let server = thread::spawn(move || {
        let mut closed = Some(closed);
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().expect("a connection");
            read_head(&mut stream);
            stream.write_all(ANSWER).expect("an open connection");
            drop(stream);
            closed.take().map(|closed| closed.send(()));
        }
    });
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async move {
        let client = HttpClient::new(1);
        let call = || client.call(Call::new(Method::GET, &address, "/", LIMIT));
        assert_eq!(call().await.expect("an answer").body, "ok");
        connection_closed.await.expect("a server that closes");
        assert_eq!(call().await.expect("an answer").body, "ok");
    });
    server.join().expect("a server that ends");
}

#[rstest]
#[case::of_the_call(Some("queue.example"), "queue.example")]
#[case::of_the_address(None, "127.0.0.1")]
fn call_sets_host_header(#[case] host: Option<&'static str>, #[case] expected: &str) {
    let (listener, address) = listen();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let head = read_head(&mut stream);
        stream.write_all(ANSWER).expect("an open connection");
        head
    });
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async move {
        let mut call = Call::new(Method::GET, &address, "/", LIMIT);
        if let Some(host) = host {
            call = call.with_header("host", host);
        }
        let answer = HttpClient::new(1).call(call).await;
        assert!(answer.is_ok(), "{answer:?}");
    });
    let head = server.join().expect("a server that ends");
    assert!(head.contains(&format!("host: {expected}")), "{head}");
}

/// Responds to requests on each connection in turn with these bodies, and keeps the connections
/// open; then returns the first line of each request.
fn serve_bodies(listener: &TcpListener, connections: &[&[&str]]) -> Vec<String> {
    let mut open = Vec::new();
    let mut lines = Vec::new();
    for bodies in connections {
        let (mut stream, _) = listener.accept().expect("a connection");
        for body in *bodies {
            let head = read_head(&mut stream);
            lines.extend(head.lines().next().map(str::to_owned));
            let len = body.len();
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {len}\r\n\r\n{body}");
            stream
                .write_all(answer.as_bytes())
                .expect("an open connection");
        }
        open.push(stream);
    }
    lines
}

/// A call that is meant for one process must not be sent to another one, whether the client knows
/// of the other one from a connection or from a probe, and must not be probed for needlessly.
#[test]
fn call_peer_other_process() {
    const PROBE: &str = "GET /probe HTTP/1.1";
    const CALL: &str = "GET /call HTTP/1.1";
    let (listener, address) = listen();
    let server = thread::spawn(move || {
        let connections: [&[&str]; 2] = [&["2", "done"], &["1", "done", "done"]];
        serve_bodies(&listener, &connections)
    });
    let runtime = Builder::new_current_thread().enable_all().build();
    let outcomes = runtime.expect("a runtime").block_on(async move {
        let client = HttpClient::new(2);
        let call = |path| Call::new(Method::GET, &address, path, LIMIT);
        let identify = |answer: &Answer| answer.json().ok().map(PeerId::new);
        let mut outcomes = Vec::new();
        for number in [1, 2, 1, 1] {
            let peer = PeerId::new(number);
            let outcome = client.call_peer(call("/call"), peer, call("/probe"), identify);
            outcomes.push(match outcome.await.expect("an answer") {
                PeerAnswer::Answered(answer) => ("answered", answer.body),
                PeerAnswer::NotSent(answer) => ("not sent", answer.body),
            });
        }
        outcomes
    });
    let lines = server.join().expect("a server that ends");
    assert_eq!(lines, [PROBE, CALL, PROBE, CALL, CALL]);
    let expected = ["not sent", "answered", "answered", "answered"];
    assert!(outcomes.iter().map(|it| it.0).eq(expected), "{outcomes:?}");
}

/// If the probe is not answered, the call was certainly not sent.
#[test]
fn call_peer_probe_not_answered() {
    let (listener, address) = listen();
    let runtime = Builder::new_current_thread().enable_all().build();
    let outcome = runtime.expect("a runtime").block_on(async move {
        let client = HttpClient::new(1);
        let call = |path| Call::new(Method::GET, &address, path, LIMIT);
        let peer = PeerId::new(1);
        let identify = |_: &Answer| Some(peer);
        let outcome = client.call_peer(call("/call"), peer, call("/probe"), identify);
        outcome.await
    });
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut received = String::new();
    stream.read_to_string(&mut received).expect("text");
    assert!(received.starts_with("GET /probe "), "{received}");
    assert!(!received.contains("/call"), "{received}");
    let error = outcome.expect_err("nothing answers");
    assert!(matches!(error, HttpError::ProbeFailed(_)), "{error:?}");
    assert!(error.is_not_sent());
}

/// A pause of this process: its machine is suspended, or it is stopped itself.
#[derive(Clone, Copy, Debug)]
enum Pause {
    Suspended,
    Stopped,
}

impl Pause {
    fn take(self) {
        match self {
            Self::Suspended => {
                ospreywing_clock::simulation::suspend(ospreywing_types::Duration::from_s(30));
            }
            Self::Stopped => thread::sleep(LIMIT * 3),
        }
    }
}

/// A process that stands still while it connects must not send the request when it goes on: its
/// caller believes that the call is over, and another process may listen at the address.
#[rstest]
#[case::suspended(Pause::Suspended)]
#[case::stopped(Pause::Stopped)]
fn call_paused_while_connecting(#[case] pause: Pause) {
    let (listener, address) = listen();
    let runtime = Builder::new_current_thread().enable_all().build();
    let answer = runtime.expect("a runtime").block_on(async move {
        let client = HttpClient::new(1);
        let call = client.call(Call::new(Method::GET, &address, "/", LIMIT));
        // The call is polled first and connects; the pause comes before the connection is seen.
        tokio::join!(call, async { pause.take() }).0
    });
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    assert!(received.is_empty(), "the request was sent");
    let error = answer.expect_err("a call that was given up");
    assert!(error.is_not_sent(), "{error:?}");
}
